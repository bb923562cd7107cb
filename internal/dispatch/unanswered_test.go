package dispatch

import (
	"testing"
	"time"
)

// TestUnansweredOrders guards against a collapse while workers leave a large
// share of all calls unanswered and carry them out seconds later. The lost calls
// must not cause so much further work that hardly any job is served, and service
// must return to normal once calls are answered again.
func TestUnansweredOrders(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		share float64 // of the calls that are not answered
		least float64 // share of the jobs submitted meanwhile that must be in time
	}{
		{"a tenth of the calls", 0.1, 0.8},
		{"four in ten calls", 0.4, 0.3},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+40, 6, 48)
			setShare := func(share float64) {
				for _, wk := range wo.sortedWorkers() {
					wk.lateHolds, wk.lateShare = true, share
				}
			}
			wo.load(standardKinds, 0.7, 16*time.Second)
			wo.run(2 * time.Second)
			setShare(row.share)
			for range 4 {
				before, beforeInTime := wo.jobCounts()
				wo.run(2 * time.Second)
				after, afterInTime := wo.jobCounts()
				if share := float64(afterInTime-beforeInTime) / float64(after-before); share < row.least {
					t.Errorf("%.3f of the jobs are in time within two seconds, want %.2f or more", share, row.least)
				}
			}
			setShare(0)
			wo.run(time.Second)
			before, beforeInTime := wo.jobCounts()
			wo.run(8 * time.Second)
			after, afterInTime := wo.jobCounts()
			if share := float64(afterInTime-beforeInTime) / float64(after-before); share < 0.9 {
				t.Errorf("%.3f of the jobs are in time after calls are answered again, want 0.90 or more", share)
			}
			wo.check(t)
			wo.run(3 * time.Second) // the last callers wait until four seconds after the end of the load
			wo.checkAnswered(t)
		})
	}
}

// jobCounts returns how many jobs have been submitted, and how many of them were
// answered in time.
func (wo *world) jobCounts() (submitted, inTime int) {
	for name, count := range wo.submitted {
		submitted += count
		inTime += wo.inTime[name]
	}
	return submitted, inTime
}

// TestResentStart guards against a task that runs again although it has run. The
// reply to its start is lost, and the start that is sent again is refused because
// the run has ended meanwhile.
func TestResentStart(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	qu, _ := en.desired.Route("example", "/pair/")
	var out Outcome
	en.Submit(Submission{
		Job: Job{ID: "0000000000000001", Payload: "cpu=1000", Steps: []Step{
			{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, Estimate: 40 * time.Millisecond},
		}},
		Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(10 * time.Second), Done: func(ou Outcome) { out = ou },
	})
	wo.tick(en, resendAfter+TickInterval)
	if len(rc.starts) < 2 || rc.starts[0] != rc.starts[1] {
		t.Fatalf("the start is not sent again unchanged: %v", rc.starts)
	}
	ref := rc.starts[0].Ref
	en.StartReplied("w", 50, ref, StartReply{Reason: RefusedOld, Clock: WorkerTime(time.Minute)})
	if _, ta := en.currentTask(ref); ta == nil || ta.state != taskPlaced {
		t.Fatal("a refusal of the repeated start counts as an end of the run")
	}
	poll := rc.holds[len(rc.holds)-1]
	if poll.PollID == 0 {
		t.Fatal("the worker is not polled for the run")
	}
	en.PollReplied("w", 50, poll.PollID, HoldReply{
		Clock: WorkerTime(time.Minute), Born: 1, Ended: []EndedRun{{Number: 1, Ref: ref, How: EndDone}},
	})
	if out.Kind != Completed {
		t.Errorf("the job is answered with %q, want %q", out.Kind, Completed)
	}
}
