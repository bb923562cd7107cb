package retrybudget_test

import (
	"context"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/retrybudget"
)

// TestRetriesStayInProportion guards against more retries than the ratio
// allows when many requests fail at the same time.
func TestRetriesStayInProportion(t *testing.T) {
	gm := NewWithT(t)
	const requests, burst = 1000, 5
	bu := retrybudget.New(0.1, burst)
	var retries atomic.Int64
	grp := group.New(context.Background())
	for range 4 {
		grp.Go(func(context.Context) {
			for range requests / 4 {
				bu.Deposit()
				if bu.Withdraw() {
					retries.Add(1)
				}
			}
		})
	}
	grp.Close()
	gm.Expect(retries.Load()).To(BeNumerically("<=", requests/10+burst))
	gm.Expect(retries.Load()).To(BeNumerically(">=", requests/10-1))
}
