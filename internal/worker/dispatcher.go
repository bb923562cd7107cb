package worker

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// Demand is one task that waits for a worker, with its declared sizes.
type Demand struct {
	Task         TaskID
	Team         platform.TeamID
	Job          platform.JobID
	Kind         platform.RequestKind
	Processors   platform.Cores
	Memory       platform.Megabytes
	Accelerators int
	RunMillis    int64
}

// Placement names the worker that a task is to start on.
type Placement struct {
	Worker platform.WorkerID
	// Address is the worker's address as IP:PORT.
	Address string
}

// Events receives the ends of tasks. Each task that Start has sent (without
// ErrRefused) or that Adopt follows gets exactly one of the two calls. The
// methods are called from several goroutines and must not block.
type Events interface {
	// Finished says that the worker has reported the task as done, failed or
	// stopped.
	Finished(rep Report)
	// Lost says that no report of the task will come: its worker is gone, does
	// not answer, or does not know the task. The task may have run.
	Lost(task TaskID, reason string)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Board       *blackboard.Board
	Counters    *counter.Set
	Incarnation platform.Incarnation
	Zone        platform.AvailabilityZone
	Log         zerolog.Logger
}

// Dispatcher places tasks on workers and carries the traffic with them.
type Dispatcher struct {
	opt    Options
	events Events
}

// New returns a dispatcher. Call SetEvents and then Run before any other
// method.
func New(opt Options) *Dispatcher {
	return &Dispatcher{opt: opt}
}

// SetEvents sets the receiver of the ends of tasks.
func (di *Dispatcher) SetEvents(ev Events) {
	di.events = ev
}

// Run begins to place tasks.
func (di *Dispatcher) Run() {}

// Close ends all traffic and waits. Running tasks stay on their workers until
// their leases lapse.
func (di *Dispatcher) Close() {}

// Admissible returns nil when some worker is large enough for the demand. An
// *outcome.Error with status 422 names the dimension that fits no worker.
func (di *Dispatcher) Admissible(dm Demand) error {
	return nil
}

// Enqueue queues tasks. It calls assigned for each one, from a goroutine of the
// dispatcher, once room on a worker is reserved. assigned must not block. The
// room stays reserved until Start returns ErrRefused, the task ends, or
// Withdraw frees it.
func (di *Dispatcher) Enqueue(dms []Demand, assigned func(task TaskID, pl Placement)) {
}

// Withdraw takes back tasks that have not been sent: queued ones, and assigned
// ones whose room it frees. A call of assigned that is already under way may
// still arrive; such a task must not be passed to Start.
func (di *Dispatcher) Withdraw(tasks []TaskID) {
}

// Start sends a task to its worker, once. After ErrRefused the task has
// provably not started and its room is free. After any other error it may have
// started; the dispatcher follows it, and Events tells how it ended.
func (di *Dispatcher) Start(ctx context.Context, pl Placement, task Task) error {
	return errors.New("the dispatcher does not start tasks yet")
}

// Query asks a worker for the state of a task, over a new connection. It
// reports false when the worker does not know the task.
func (di *Dispatcher) Query(ctx context.Context, wk platform.WorkerID, task TaskID) (Report, bool, error) {
	return Report{}, false, errors.New("the dispatcher does not query workers yet")
}

// Adopt follows tasks that an earlier owner may have started on the worker, and
// renews their leases. It starts nothing.
func (di *Dispatcher) Adopt(pl Placement, tasks []TaskID) {
}

// Stop asks the workers of tasks that have been sent to stop them. A stopped
// task ends with a call of Events like any other.
func (di *Dispatcher) Stop(tasks []TaskID) {
}
