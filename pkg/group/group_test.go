package group_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestCloseWaits guards against a Close that returns while a goroutine still runs.
func TestCloseWaits(t *testing.T) {
	gm := NewWithT(t)
	grp := group.New(context.Background())
	var ended atomic.Bool
	gm.Expect(grp.Go(func(ctx context.Context) {
		<-ctx.Done()
		time.Sleep(20 * time.Millisecond)
		ended.Store(true)
	})).To(BeTrue())
	grp.Close()
	gm.Expect(ended.Load()).To(BeTrue())
	gm.Expect(grp.Go(func(context.Context) {})).To(BeFalse())
}
