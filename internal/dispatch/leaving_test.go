package dispatch

import (
	"testing"
	"time"
)

// TestLeavingWhileCutOff guards against jobs that are refused although workers
// are free: an entry shuts down while its zone is cut off from the store. It can't
// pass on its workers, and no other entry can use them.
func TestLeavingWhileCutOff(t *testing.T) {
	t.Parallel()
	wo := standardWorld(90, 8, 48)
	wo.cutZone("east", 8*time.Second)
	wo.run(2 * time.Second)
	ee := wo.entries["entry-01"]
	ee.en.Leave()
	for range 20 {
		wo.submit(ee, standardKinds[1])
		wo.submit(wo.entries["entry-05"], standardKinds[1])
		wo.run(100 * time.Millisecond)
	}
	wo.run(2 * time.Second)
	wo.check(t)
	if share := wo.inTimeShare(); share < 0.8 {
		t.Errorf("%.2f of the jobs are in time, want 0.80 or more: %v", share, wo.done)
	}
	// Once the store answers, the workers are passed on.
	wo.run(7 * time.Second)
	if held := ee.en.Held(); held > 0 {
		t.Errorf("the entry still holds %d workers", held)
	}
}
