// Package dispatch decides where the tasks of jobs run: which entry holds which
// worker, which waiting task gets free room, what is refused, and what happens
// to tasks when a worker or an entry fails.
//
// The package does no input or output and reads no clock. A runtime calls the
// methods of Entry one at a time and carries out the Effects that they ask for;
// results come back as further calls. Tests drive several entries on a virtual
// clock in the same way.
//
// # Roles
//
// Each entry has three roles. As owner it answers for the jobs that callers
// sent to it: it alone decides when a task is started again. As holder it has
// exclusive use of some workers, proved by a fencing token, and keeps an exact
// account of their room. As member it takes part in sharing out the workers.
//
// # Placing a task
//
// The owner sends a task to a holder that has reported room. Where no room is
// left the owner leaves a Want with the holders and keeps the task. A holder
// whose room becomes free reserves it and sends a Grant for the want that
// ranks first; the owner answers with the task, or with nothing when another
// holder was faster. A task is therefore with at most one holder at a time.
//
// # Failures
//
// A holder stops the tasks of an owner whose session ends, and extends no lease
// beyond the time in which the owner counts on their end. An owner whose
// session to a holder ends treats the tasks there as lost only after the time
// in which they have surely been stopped. A new holder of a worker learns from
// the worker itself what runs there and asks the owners; it extends leases
// only once each running task has been claimed or has ended.
//
// # Usage
//
//	en := dispatch.New(dispatch.Self{...}, dispatch.Limits{...}, effects, now)
//	en.Submit(submission)
//	en.Tick()
package dispatch

import (
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Millicores counts processors, in thousandths of a core.
type Millicores int64

// TaskID names a task of a job.
type TaskID string

// Run numbers the starts of one task; later starts have higher numbers.
type Run int64

// Token is a fencing token. A worker ignores orders under a lower token than
// the highest it has seen.
type Token int64

// Version is the version of a row in the platform's store.
type Version int64

// Resources is an amount of room on a worker.
type Resources struct {
	CPU          Millicores
	Memory       ids.Megabytes
	Accelerators int
}

func (re Resources) minus(other Resources) Resources {
	return Resources{
		CPU:          re.CPU - other.CPU,
		Memory:       re.Memory - other.Memory,
		Accelerators: re.Accelerators - other.Accelerators,
	}
}

func (re Resources) plus(other Resources) Resources {
	return Resources{
		CPU:          re.CPU + other.CPU,
		Memory:       re.Memory + other.Memory,
		Accelerators: re.Accelerators + other.Accelerators,
	}
}

func (re Resources) fits(room Resources) bool {
	return re.CPU <= room.CPU && re.Memory <= room.Memory && re.Accelerators <= room.Accelerators
}

// Step is a set of like tasks of a job.
type Step struct {
	Count    int
	Need     Resources
	Estimate time.Duration // run time as declared by the caller, often wrong
	After    []int         // earlier steps whose tasks must all be done first
	// Requirement is a label that the worker must have, "" for none.
	Requirement string
	// Affinity is the rack that holds the data, "" for any.
	Affinity ids.RackID
	// AntiAffinity bounds the tasks of the step on one worker, 0 for no bound.
	AntiAffinity int
	// Checkpointing tasks save their progress and can be resumed.
	Checkpointing bool
	// Gang tasks work only together: all are started at once, the first end done
	// counts for all, and any other end breaks the run of all.
	Gang bool
	// Colocated tasks are slower on more than one rack.
	Colocated bool
	// Lasting tasks run until the job is cancelled, and are started again however
	// they end.
	Lasting bool
}

// Repeat makes the steps of a job run several times. The zero value is one run
// as soon as possible.
type Repeat struct {
	Count    int           // runs of the steps, 0 when they are not timed
	First    int64         // Unix milliseconds when the first run is due
	Interval time.Duration // from one run to the next
}

// Job is a submission: steps of tasks that share a payload.
type Job struct {
	ID      ids.JobID
	Payload string
	Steps   []Step
	Repeat  Repeat
	// Stored jobs are accepted once they are stored, and outlive their caller's
	// connection and their owner.
	Stored bool
}

// Queue is a route of the desired state: where jobs come in and which service
// runs them.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     ids.ServiceName
	Priority    int // 0 comes first
	MaxAttempts int // runs of a task that may fail
	Stretch     float64
	Slack       time.Duration // added to the stretched run time to give the objective
	Advised     bool          // a service outside tells which workers may run its tasks
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Desired is one version of the desired state.
type Desired struct {
	Version int64
	Queues  []Queue
	Limits  CallerLimits
}

// WorkerState tells whether a worker takes new tasks.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// WorkerInfo is what a worker reports of itself.
type WorkerInfo struct {
	ID       ids.WorkerID
	Service  ids.ServiceName
	Address  string
	Zone     ids.AvailabilityZone
	Rack     ids.RackID
	Labels   []string
	State    WorkerState
	Room     Resources // the whole room of the worker, free or not
	Born     int64     // start of this lifetime, in Unix milliseconds
	Sequence int64     // rises with each report of this lifetime
	Version  Version   // of the row in the store
}

// Limits are properties of the workers that the platform's settings tell.
type Limits struct {
	// LeaseMost is the longest lease that a worker grants, 0 for a second.
	LeaseMost time.Duration
	// RemotePenalty is how many times as long a task takes that runs away from
	// the rack of its data, 0 for no difference.
	RemotePenalty float64
}

// Self describes this entry to the others.
type Self struct {
	Incarnation ids.Incarnation
	Zone        ids.AvailabilityZone
	PeerAddress string
	Size        float64 // processor share, in cores
}

// Member is an entry as its row in the store describes it.
type Member struct {
	Self
	Leaving bool
	Version Version // of its row
	Beat    int64   // rises while the entry lives and reaches the store
	// BeatEvery is the interval at which the entry beats, 0 for BeatInterval.
	BeatEvery time.Duration
}

// TaskRef names one run of a task.
type TaskRef struct {
	Task TaskID
	Run  Run
}

// Shape is what tasks of one step need of a worker and how urgent they are.
// Times are relative to the moment of sending, because entries share no clock.
type Shape struct {
	Service      ids.ServiceName
	Need         Resources
	Requirement  string
	Affinity     ids.RackID
	AntiAffinity int
	Estimate     time.Duration // expected run time on a worker of speed 1
	Chain        time.Duration // the same for this step and the longest chain after it
	Priority     int
	Stored       bool // ends must be stored before the worker forgets them
	Lasting      bool // runs until it is stopped
	Gang         bool // of use only with room for all
	Advised      bool // only workers with a ticket may run it
	Tickets      map[ids.WorkerID]string
	// Careful tasks have failed shortly before. They wait a moment for a worker
	// that has not failed since it last succeeded, and on which no task of the job
	// has failed.
	Careful bool
	Started bool          // a task of the job has been started already
	Left    float64       // share of the job's tasks that are not done
	InTime  time.Duration // time left until the objective is missed
	Late    time.Duration // time left until nobody waits any more
}

// GroupID numbers the steps of jobs at their owner.
type GroupID uint64

// GrantID numbers the grants of a holder.
type GrantID uint64

// Assignment is one task of a Start message.
type Assignment struct {
	TaskRef
	Checkpoint string
	Attempt    int // failed runs so far
	Stalls     int // runs so far that were stopped for running too long
}

// End tells how a run ended.
type End string

// The ways in which a run ends. EndLost and EndStalled are beliefs of this
// system; the others are reported by the worker.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndLost    End = "lost"    // the worker is gone or the start never took effect
	EndStalled End = "stalled" // stopped because it ran far beyond its estimate
	EndNoRoom  End = "no-room" // never sent to a worker
	EndTicket  End = "ticket"  // the worker has refused the ticket
	EndOldRun  End = "old-run" // the worker has seen a later run
	// EndUnknown answers a question about a run that the holder does not have. It
	// may run on under another holder.
	EndUnknown End = "unknown"
)

// Route returns the queue whose host matches and whose prefix is the longest
// one that the path begins with.
func (de *Desired) Route(host, path string) (Queue, bool) {
	best, found := Queue{}, false
	for _, qu := range de.Queues {
		if qu.Host == host && strings.HasPrefix(path, qu.Prefix) && (!found || len(qu.Prefix) > len(best.Prefix)) {
			best, found = qu, true
		}
	}
	return best, found
}
