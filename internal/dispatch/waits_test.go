package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// statistics records what an entry counts and observes.
type statistics struct {
	*recorder
	counts map[string]int64
	waits  map[string][]time.Duration
}

func (st *statistics) Count(family, reason string, n int64) { st.counts[family+"."+reason] += n }
func (st *statistics) Observe(name string, took time.Duration) {
	st.waits[name] = append(st.waits[name], took)
}

// TestWaitStatistics guards against waits that are attributed to the wrong size or
// width or counted once for each run, and against free room that counts as unusable
// while a waiting task fits, or as usable while none does.
func TestWaitStatistics(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	st := &statistics{recorder: rc, counts: map[string]int64{}, waits: map[string][]time.Duration{}}
	en.eff = st
	hold := HoldReply{Clock: WorkerTime(time.Minute), Born: 1}
	en.HoldReplied("w", 50, hold)
	wo.tick(en, freeRoomInterval)
	qu, _ := en.desired.Route("example", "/pair/")
	submit := func(id ids.JobID, count int, cpu Millicores) {
		en.Submit(Submission{
			Job: Job{ID: id, Payload: "cpu=1", Steps: []Step{
				{Count: count, Need: Resources{CPU: cpu, Memory: 64}, Estimate: 3 * time.Second},
			}},
			Queue: qu, Arrived: wo.at, Done: func(Outcome) {},
		})
	}
	// The worker has 32 cores. One of the two large tasks runs, the other waits, and
	// the 12 cores that are left are of no use to it.
	submit("0000000000000001", 2, 20000)
	wo.at = wo.at.Add(40 * time.Millisecond)
	ref := rc.starts[0].Ref
	en.StartReplied("w", 50, ref, StartReply{Started: true, Clock: hold.Clock})
	en.handleRunning(en.id, Running{Ref: ref, Worker: "w"})
	wo.tick(en, freeRoomInterval)
	if free, unusable := st.counts["room.free-millicores"], st.counts["room.unusable-millicores"]; free != 12000 || unusable != 12000 {
		t.Errorf("%d free and %d unusable millicores beside a task of 20 cores that waits, want 12000 of both", free, unusable)
	}
	if list := st.waits["task.wait.large"]; len(list) != 1 || list[0] != 40*time.Millisecond {
		t.Errorf("waits of large tasks %v, want one of 40ms", list)
	}
	if list := st.waits["task.wait.width-2-to-9"]; len(list) != 1 {
		t.Errorf("waits of jobs of two tasks %v, want one", list)
	}
	submit("0000000000000002", 1, 8000)
	ref = rc.starts[len(rc.starts)-1].Ref
	en.StartReplied("w", 50, ref, StartReply{Started: true, Clock: hold.Clock})
	if len(st.waits["task.wait.small"]) != 1 || len(st.waits["task.wait.width-1"]) != 1 {
		t.Errorf("a small task of a job of its own is missing in the waits %v", st.waits)
	}
	// A task of 4 cores, with a label that no worker has, waits beside 4 free cores.
	en.handleWant("entry-01", Want{Group: 9, Count: 1, Shape: Shape{
		Service: "fitdesk", Need: Resources{CPU: 4000}, Requirement: "none", Estimate: time.Second, Chain: time.Second,
		InTime: time.Minute, Late: time.Minute,
	}})
	clear(st.counts)
	wo.tick(en, freeRoomInterval)
	if free, unusable := st.counts["room.free-millicores"], st.counts["room.unusable-millicores"]; free != 4000 || unusable != 0 {
		t.Errorf("%d free and %d unusable millicores beside a task of 4 cores that waits, want 4000 and 0", free, unusable)
	}
}
