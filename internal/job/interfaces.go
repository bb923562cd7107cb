package job

import (
	"context"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
)

// Rows reads and commits rows of the table service.
type Rows interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
}

// Objects stores large results.
type Objects interface {
	Put(ctx context.Context, key string, raw []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// Members returns a snapshot of which other entries are alive, suspect or gone. A
// nil snapshot means that the membership is unknown.
type Members interface {
	Load() *blackboard.Members
}

// Peers calls a method of another entry.
type Peers interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Scheduler assigns tasks to workers.
type Scheduler interface {
	// Admissible returns an *outcome.Error that names the resource dimension if
	// the task can never run.
	Admissible(dm worker.Demand) error
	// Enqueue queues tasks. It calls assigned later for each task, from a
	// goroutine of the scheduler, when room for the task is reserved.
	Enqueue(dms []worker.Demand, assigned func(task worker.TaskID, pl worker.Placement))
	// Withdraw removes tasks that were not assigned, or were assigned but not
	// sent.
	Withdraw(tasks []worker.TaskID)
}

// Traffic sends tasks to workers and tracks them there. It reports their ends
// through Manager.Finished and Manager.Lost.
type Traffic interface {
	// Start sends a task. worker.ErrRefused means that the task provably did not
	// start.
	Start(ctx context.Context, pl worker.Placement, task worker.Task) error
	Query(ctx context.Context, wk ids.WorkerID, task worker.TaskID) (worker.Report, bool, error)
	// Adopt starts to track tasks that an earlier owner started.
	Adopt(pl worker.Placement, tasks []worker.TaskID)
	Stop(tasks []worker.TaskID)
}
