package group_test

import (
	"context"
	"fmt"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func ExampleGroup() {
	grp := group.New(context.Background())
	results := make(chan int, 1)
	grp.Go(func(context.Context) { results <- 6 * 7 })
	fmt.Println(<-results)
	grp.Close()
	fmt.Println(grp.Go(func(context.Context) {}))
	// Output:
	// 42
	// false
}
