package slotshare_test

import (
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

func ExampleHome() {
	terms := slotshare.Terms{Use: 2 * time.Second, Margin: time.Second}
	own := slotshare.NewGate(0)
	home := slotshare.NewHome[string](own, 8, terms, slotshare.Monotonic, 0)
	home.Refresh()

	borrower := slotshare.NewBorrower(terms, slotshare.Monotonic)
	loan := slotshare.NewGateWithClock(0, slotshare.Monotonic)
	number := borrower.Begin()
	keep := slotshare.Keep(loan, 0)
	granted, _ := home.Exchange("borrower", number, keep, 3, 1)
	if deadline, ok := borrower.Accept(number); ok {
		loan.SetLoan(granted, deadline)
	}

	lent, _ := loan.Allowance()
	kept, _ := own.Allowance()
	fmt.Println("lent", lent, "kept", kept)
	_, ok := home.Exchange("borrower", number, 0, 8, 0)
	fmt.Println("repeated message accepted:", ok)
	// Output:
	// lent 3 kept 5
	// repeated message accepted: false
}
