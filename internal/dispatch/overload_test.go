package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestOverload guards against collapse under a load of several times the capacity
// of the workers. The workers' time must go to jobs that end in time, and the
// other jobs must be refused immediately.
func TestOverload(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name   string
		factor float64
		steps  int
		least  float64 // share of all jobs in time
	}{
		{"1.3 times", 1.3, 1, 0.5},
		{"2 times", 2, 1, 0.35},
		{"3 times", 3, 1, 0.25},
		{"jobs of three steps in a chain, 1.8 times", 0.6, 3, 0.35},
		{"jobs of three steps in a chain, 3 times", 1, 3, 0.2},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+70, 7, 48)
			kinds := slices.Clone(standardKinds)
			for at := range kinds {
				kinds[at].steps = row.steps
			}
			wo.load(kinds, row.factor, 15*time.Second)
			wo.run(20 * time.Second)
			wo.check(t)
			t.Log(wo.inTimeShare(), wo.inTime, wo.submitted, wo.done)
			if share := wo.inTimeShare(); share < row.least {
				t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, row.least, wo.inTime, wo.submitted, wo.done)
			}
		})
	}
}

// TestRetryAfterFollowsQueue guards against refused callers that return while the
// queue is still full, or that all return at the same time.
func TestRetryAfterFollowsQueue(t *testing.T) {
	t.Parallel()
	wait := func(jobs int) (least, most time.Duration) {
		wo, en, _ := newHolder()
		en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
		qu, _ := en.desired.Route("example", "/fit/")
		for num := range jobs {
			en.Submit(Submission{
				Job: Job{ID: ids.JobID(fmt.Sprintf("%016x", num)), Payload: "cpu=16000", Steps: []Step{
					{Count: 1, Need: Resources{CPU: 16000, Memory: 64}, Estimate: 200 * time.Millisecond},
				}},
				Queue: qu, Arrived: wo.at, Done: func(out Outcome) {
					if out.Kind != Refused {
						return
					}
					if least == 0 || out.RetryAfter < least {
						least = out.RetryAfter
					}
					most = max(most, out.RetryAfter)
				},
			})
		}
		wo.tick(en, 2*time.Second)
		return least, most
	}
	least, _ := wait(5)
	if least != minRetryAfter {
		t.Errorf("with a short queue callers return after %s at the earliest, want %s", least, minRetryAfter)
	}
	// The worker runs two of the 62 waiting tasks of 0.2 s at a time.
	least, most := wait(64)
	if least < 6*time.Second || most > 12800*time.Millisecond || most < least+3*time.Second {
		t.Errorf("with 6.2 s of waiting tasks callers return after %s to %s, want from 6 s to 12.8 s", least, most)
	}
}

// TestFailingWorkers guards against jobs that fail because all attempts of a task
// went to workers that fail every run immediately and are therefore always free.
func TestFailingWorkers(t *testing.T) {
	t.Parallel()
	for _, bad := range []int{5, 10} {
		t.Run(fmt.Sprintf("%d of 48 workers", bad), func(t *testing.T) {
			t.Parallel()
			failed, total := 0, 0
			// About 2,900 jobs end in one world, too few to count one in a thousand.
			for seed := range uint64(4) {
				wo := standardWorld(uint64(bad)+100*seed, 7, 48)
				wo.load(standardKinds, 1, 20*time.Second)
				wo.run(3 * time.Second)
				for num, wk := range wo.sortedWorkers() {
					wk.fails = num%(48/bad) == 0
				}
				wo.run(20 * time.Second)
				wo.check(t)
				for _, count := range wo.done {
					total += count
				}
				failed += wo.done[Failed]
			}
			// One job in a thousand may be sent to three workers that have not failed
			// before.
			if failed*1000 > total {
				t.Errorf("%d of 48 workers fail everything: %d of %d jobs have failed, want one in a thousand at most", bad, failed, total)
			}
		})
	}
}
