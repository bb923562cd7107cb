package dispatch

import "testing"

// TestRetainedEndAfterRestart guards against an end of a stored job that is
// acknowledged before it is stored. The row of another job, whose end had the
// same number in an earlier lifetime of the worker, turns out not to exist.
func TestRetainedEndAfterRestart(t *testing.T) {
	wo, en, _ := newHolder()
	wk := en.workers["w"]
	earlier := EndedRun{Number: 1, Ref: TaskRef{Task: "0000000000000001.0.0.0", Run: 1}, How: EndDone}
	later := EndedRun{Number: 1, Ref: TaskRef{Task: "0000000000000002.0.0.0", Run: 1}, How: EndDone}
	en.retainEnd(wk, earlier)
	wo.at = wo.at.Add(jobRowInterval)
	en.requestJobRow(wk, 1, wo.at)
	wk.retained = map[int64]retainedEnd{}
	en.retainEnd(wk, later)
	en.JobLoaded("0000000000000001", JobLoad{})
	if wk.retained[1].absent {
		t.Error("the end of a later run counts as that of a job that is not stored")
	}
}
