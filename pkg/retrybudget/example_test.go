package retrybudget_test

import (
	"fmt"

	"github.com/oleanderwall/oleanderwall/pkg/retrybudget"
)

func ExampleBudget() {
	bu := retrybudget.New(0.5, 1) // one retry per two requests, at most one saved
	fmt.Println(bu.Withdraw(), bu.Withdraw())
	bu.Deposit()
	bu.Deposit()
	fmt.Println(bu.Withdraw())
	// Output:
	// true false
	// true
}
