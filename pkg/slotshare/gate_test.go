package slotshare_test

import (
	"context"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// TestLoweredAllowance guards against a slot that is acquired after it was given
// to another process: after SetAllowance the slots in use must not exceed the
// larger of the new allowance and the returned number.
func TestLoweredAllowance(t *testing.T) {
	gm := NewWithT(t)
	const rounds = 200
	for range rounds {
		gate := slotshare.NewGate(8)
		grp := group.New(context.Background())
		var taken atomic.Int64
		for range 4 {
			grp.Go(func(ctx context.Context) {
				for ctx.Err() == nil && gate.TryAcquire() {
					taken.Add(1)
				}
			})
		}
		used := gate.SetAllowance(2)
		grp.Close()
		gm.Expect(taken.Load()).To(BeNumerically("<=", max(2, used)))
	}
}
