package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// suspectJobs remembers on which workers the tasks of a job have failed. A job
// that fails on several workers is at fault itself, and says nothing more
// about the workers.
type suspectJobs map[ids.JobID]map[ids.WorkerID]bool

// The limits on blaming workers for failures.
const (
	// blockFirst is how long a worker is spared after failures of two jobs in a
	// row; it doubles with each further one.
	blockFirst = 500 * time.Millisecond
	blockMost  = 4 * time.Second
	// carefulTime is how long a task that has failed waits for a worker that is
	// above suspicion: a few times the usual wait for room.
	carefulTime = 400 * time.Millisecond
	// jobsBlamed bounds the jobs that are remembered.
	jobsBlamed = 500
)

// blame notes a failed run. One failure lets the worker run only one task at a
// time until it succeeds; a second in a row keeps tasks away for a while.
func (en *Entry) blame(wk *worker, sl *slot) {
	if len(en.suspects) > jobsBlamed {
		clear(en.suspects)
	}
	at := en.suspects[sl.job]
	if at == nil {
		at = map[ids.WorkerID]bool{}
		en.suspects[sl.job] = at
	}
	again := at[wk.info.ID]
	at[wk.info.ID] = true
	if len(at) > 1 || again {
		return
	}
	wk.streak++
	if wk.streak > 1 {
		pause := min(blockMost, blockFirst<<(wk.streak-2))
		wk.blocked = en.now().Add(pause)
		en.eff.Log("worker-blocked", "worker", string(wk.info.ID), "failures", wk.streak, "pause-ms", pause.Milliseconds())
	}
}

// suspect tells whether a worker may be at fault, as far as a job can tell that
// has just failed.
func (en *Entry) suspect(wk *worker, id ids.JobID) bool {
	return wk.streak > 0 || en.suspects[id][wk.info.ID]
}
