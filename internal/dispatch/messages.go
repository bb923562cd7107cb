package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Message is a one-way message between entries. The messages of one session arrive
// in order, each at most once.
type Message any

// Start asks a holder to run tasks. In answer to a grant it may carry fewer tasks
// than granted, or none; the rest of the grant is then released.
type Start struct {
	Group   GroupID
	Job     ids.JobID
	Shape   Shape
	Payload string
	Tasks   []Assignment
	Grant   GrantID // 0 without a grant
}

// Want asks a holder for room for the queued tasks of a group.
type Want struct {
	Group GroupID
	Job   ids.JobID
	Count int
	Shape Shape
}

// Unwant withdraws a Want.
type Unwant struct {
	Group GroupID
}

// Grant reserves room for tasks of a group until the owner answers with Start.
type Grant struct {
	ID    GrantID
	Group GroupID
	Count int
}

// Running informs an owner that a worker runs a task.
type Running struct {
	Ref    TaskRef
	Worker ids.WorkerID
}

// Ended informs an owner that a run has ended or will not begin.
type Ended struct {
	Ref        TaskRef
	Worker     ids.WorkerID
	How        End
	Checkpoint string
	// Work is the run time scaled to a worker of speed 1, 0 if unknown.
	Work time.Duration
	// Crash describes an EndCrashed.
	Crash Crash
}

// Stop asks a holder to stop tasks.
type Stop struct {
	Refs []TaskRef
	// Report requests an Ended for each task. Without it the owner needs none.
	Report bool
}

// Check asks a holder whether it has the given runs. The holder answers with
// Ended for those that it does not have.
type Check struct {
	Refs []TaskRef
}

// Adopt informs owners of the runs that a new holder has found on a worker.
type Adopt struct {
	Worker  ids.WorkerID
	Token   Token // of the holder, 0 from an entry that does not send it
	Running []TaskRef
	Ended   []Ended
}

// Adopted answers Adopt with the runs that the owner claims.
type Adopted struct {
	Worker ids.WorkerID
	Keep   []Kept
}

// Kept is a run that an owner claims from a new holder.
type Kept struct {
	Ref   TaskRef
	Group GroupID
	Job   ids.JobID
	Shape Shape
	// Ran is the time since the run was sent to its first holder, 0 if unknown.
	Ran time.Duration
}

// Released informs an owner that its tasks on a worker pass to another holder,
// which will send Adopt.
type Released struct {
	Worker ids.WorkerID
}

// Handover informs the new holder of workers that their rows have changed, and
// which entries own the tasks that run there.
type Handover struct {
	Rows   []HolderRow
	Owners map[ids.WorkerID][]ids.EntryID
}

// NewDesired forwards a version of the desired state to an entry that has an older
// one.
type NewDesired struct {
	Desired Desired
}

// AskDesired requests the desired state that the receiver has.
type AskDesired struct{}

// Free is the free room of one worker.
type Free struct {
	Service      ids.ServiceName
	CPU          Millicores
	Accelerators int
	Speed        float32
	Rack         ids.RackID
}

// Load is the report of an entry about the workers that it holds.
type Load struct {
	// Number increases with each change, so that the receiver can detect an older
	// report that arrives late. It is 0 if it is not known.
	Number  uint64
	Free    []Free
	Leaving bool
	// Queues and Capacity are the figures for admission, see demand.go. Entries
	// of older programs send none.
	Queues   []QueueDemand
	Capacity []ServiceCapacity
}

// Same reports whether two reports are equal apart from their numbers.
func (ld Load) Same(other Load) bool {
	return ld.Leaving == other.Leaving && slices.Equal(ld.Free, other.Free) &&
		slices.Equal(ld.Queues, other.Queues) && slices.Equal(ld.Capacity, other.Capacity)
}

// HolderRow records in the store which entry holds a worker. The version of
// the row is the holder's fencing token.
type HolderRow struct {
	Worker  ids.WorkerID
	Holder  ids.Incarnation
	Version Version
}
