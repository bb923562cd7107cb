package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestLastingFailures guards against a worker that gets tasks again because its
// pause has overflowed after many consecutive failures.
func TestLastingFailures(t *testing.T) {
	t.Parallel()
	wo, en, _ := newHolder()
	wk := en.workers["w"]
	for num := range 70 {
		en.recordFailure(wk, &slot{job: ids.JobID(fmt.Sprintf("%016x", num))})
		if pause := wk.blockedUntil.Sub(wo.at); num > 0 && (pause < firstBlock || pause > maxBlock) {
			t.Fatalf("the pause after %d failures is %s, want %s to %s", num+1, pause, firstBlock, maxBlock)
		}
	}
}

// TestFailuresBesideLasting guards against workers that get no task any more after
// single failures, because long-running tasks on them never end done.
func TestFailuresBesideLasting(t *testing.T) {
	t.Parallel()
	wo := standardWorld(1040, 3, 4)
	lasting := kind{queue: "fit", width: 3, work: time.Second, lasting: true, stored: true, spread: 1}
	for _, wk := range wo.workers {
		wk.resize(100_000)
	}
	wo.run(2 * time.Second)
	want := 0
	for range 3 {
		wo.submit(wo.sortedEntries()[0], lasting)
	}
	for _, jb := range wo.jobs {
		want += min(len(jb.length), len(wo.workers)) // one on each worker
	}
	wo.run(2 * time.Second)
	for _, wk := range wo.sortedWorkers() {
		if runs := wk.sortedRuns(); len(runs) > 0 {
			wk.end(runs[0], EndFailed)
		}
		wo.run(3 * time.Second)
	}
	wo.load([]kind{{queue: "peek", perS: 2, width: 2, work: 100 * time.Millisecond, stored: true}}, 1, 5*time.Second)
	wo.run(8 * time.Second)
	wo.check(t)
	wo.checkStored(t)
	running := 0
	for _, wk := range wo.workers {
		running += len(wk.runs)
	}
	if running != want {
		t.Errorf("%d long-running tasks run, want %d", running, want)
	}
}
