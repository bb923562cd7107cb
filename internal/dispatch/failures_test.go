package dispatch

import (
	"fmt"
	"testing"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestLastingFailures guards against a worker that gets tasks again because its
// pause has overflowed after many consecutive failures.
func TestLastingFailures(t *testing.T) {
	wo, en, _ := newHolder()
	wk := en.workers["w"]
	for num := range 70 {
		en.recordFailure(wk, &slot{job: ids.JobID(fmt.Sprintf("%016x", num))})
		if pause := wk.blockedUntil.Sub(wo.at); num > 0 && (pause < firstBlock || pause > maxBlock) {
			t.Fatalf("the pause after %d failures is %s, want %s to %s", num+1, pause, firstBlock, maxBlock)
		}
	}
}
