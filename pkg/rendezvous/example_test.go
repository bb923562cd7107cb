package rendezvous_test

import (
	"fmt"

	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

func ExampleScore() {
	best := "small"
	if rendezvous.Score("target-7", "large", 1000) > rendezvous.Score("target-7", "small", 0.001) {
		best = "large"
	}
	fmt.Println(best)
	// Output: large
}
