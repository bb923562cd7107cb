package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// failedWorkers holds the workers on which tasks of a job have failed. A job that
// fails on several workers is assumed to be the cause itself; its further
// failures do not count against workers.
type failedWorkers map[ids.JobID]map[ids.WorkerID]bool

// The limits on attributing failures to workers.
const (
	// firstBlock is how long a worker gets no tasks after consecutive failures of
	// two jobs. It doubles with each further failure, up to maxBlock.
	// It is also the pause after a worker has refused a start because of its health,
	// its room or its lifetime.
	firstBlock = 500 * time.Millisecond
	maxBlock   = 4 * time.Second
	// maxDoublings bounds the doublings, so that the pause does not overflow.
	maxDoublings = 8
	// carefulTime is how long a failed task waits for a worker that is not
	// suspect: a few times the usual wait for room.
	carefulTime = 400 * time.Millisecond
	// cautionTime is the time after the last failure from which a worker counts as
	// sound again even if no run has ended done: it may have only long-running tasks.
	// It covers the longest pause and a try after it.
	cautionTime = 2 * maxBlock
	// maxFailedJobs bounds the number of jobs in failedWorkers.
	maxFailedJobs = 500
)

// recordFailure records a failed run. After one failure the worker runs only
// one task at a time until one succeeds. After a second consecutive failure it
// gets no tasks for a while.
func (en *Entry) recordFailure(wk *worker, sl *slot) {
	if len(en.failedWorkers) > maxFailedJobs {
		clear(en.failedWorkers)
	}
	at := en.failedWorkers[sl.job]
	if at == nil {
		at = map[ids.WorkerID]bool{}
		en.failedWorkers[sl.job] = at
	}
	again := at[wk.info.ID]
	at[wk.info.ID] = true
	if len(at) > 1 || again {
		return
	}
	wk.failures, wk.failedAt = wk.failuresAt(en.now())+1, en.now()
	if wk.failures > 1 {
		pause := min(maxBlock, firstBlock<<min(wk.failures-2, maxDoublings))
		wk.blockedUntil = en.now().Add(pause)
		en.eff.Log("worker-blocked", "worker", string(wk.info.ID), "failures", wk.failures, "pause-ms", pause.Milliseconds())
	}
}

// failuresAt returns the number of consecutive failures, 0 if the last one was more
// than cautionTime ago.
func (wk *worker) failuresAt(now time.Time) int {
	if now.Sub(wk.failedAt) > cautionTime {
		return 0
	}
	return wk.failures
}

// hasEndingTask reports whether the worker has a task that ends by itself, or room
// reserved for one.
func (wk *worker) hasEndingTask() bool {
	for _, sl := range wk.slots {
		if !sl.shape.Lasting {
			return true
		}
	}
	return false
}

// suspect reports whether a worker may be the cause of failures: a run has failed
// there since the last success, or a task of the given job has failed there.
func (en *Entry) suspect(wk *worker, id ids.JobID) bool {
	return wk.failuresAt(en.now()) > 0 || en.failedWorkers[id][wk.info.ID]
}
