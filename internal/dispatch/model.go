// Package dispatch decides where the tasks of jobs run: which entry holds which
// worker, which waiting task gets free room, which jobs are refused, and what
// happens to tasks when a worker or an entry fails.
//
// The package does no I/O and reads no clock. A runtime calls the methods of
// Entry one at a time and executes the Effects that they request; results come
// back as further calls. Tests drive several entries on a virtual clock in the
// same way.
//
// # Roles
//
// Each entry has three roles. As owner it is responsible for the jobs that
// callers sent to it: it alone decides when a task is restarted. As holder it
// has exclusive use of some workers, guarded by a fencing token, and keeps an
// exact account of their room. As member it takes part in the assignment of
// workers to entries.
//
// # Placing a task
//
// The owner sends a task to a holder that has reported room. If there is none,
// the owner keeps the task and sends a Want to the holders. When room becomes
// free, a holder reserves it and sends a Grant for the Want that ranks first.
// The owner answers with the task, or with none if another holder was faster. A
// task is therefore at no more than one holder at a time. Gangs and tasks that
// need a ticket are always placed through Wants.
//
// # Failures
//
// A holder stops the tasks of an owner whose session ends, and extends no lease
// beyond the time at which the owner expects those tasks to have ended.
// Long-running tasks of stored jobs are exempt: they keep running without an owner
// until the owner, or the entry that takes over the job, claims them. Only a
// holder that is partitioned for long stops them.
//
// An owner whose session to a holder ends restarts the tasks there only after the
// time by which they have been stopped or their leases have expired. A new holder
// of a worker gets the list of runs from the worker itself and asks the owners
// about them; it extends leases only once each running task has been claimed, has
// ended or is known to be long-running.
//
// # Terms
//
// A run is one start of a task. A group is one step of one occurrence of a job;
// a job that is not timed has one occurrence. A hold is a call by which a holder
// renews the leases on a worker, if it may, and gets the list of its runs; the
// worker may keep the call open while nothing changes. A poll is a hold that
// renews no lease and runs in parallel with another one. A slot is the room on a
// worker that one run uses or that is reserved for one. A run lapses when the
// worker ends it because its lease has expired.
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

// Millicores is an amount of CPU in thousandths of a core.
type Millicores int64

// TaskID identifies a task of a job.
type TaskID string

// Run is the number of one start of a task; later starts have higher numbers.
type Run int64

// Token is a fencing token. A worker ignores orders with a token lower than the
// highest it has received.
type Token int64

// Version is the version of a row in the platform's store.
type Version int64

// Resources is an amount of room on a worker.
type Resources struct {
	CPU          Millicores    `json:",omitempty"`
	Memory       ids.Megabytes `json:",omitempty"`
	Accelerators int           `json:",omitempty"`
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

// Step is a set of tasks of a job with the same requirements.
type Step struct {
	Count    int
	Need     Resources
	Estimate time.Duration `json:",omitempty"` // run time declared by the caller, often wrong
	After    []int         `json:",omitempty"` // earlier steps whose tasks must all be done first
	// Requirement is a label that the worker must have, "" for none.
	Requirement string `json:",omitempty"`
	// Affinity is the rack that holds the data, "" for any.
	Affinity ids.RackID `json:",omitempty"`
	// AntiAffinity is the largest number of tasks of the step on one worker, 0 for
	// no limit.
	AntiAffinity int `json:",omitempty"`
	// Checkpointing tasks save checkpoints and can be resumed.
	Checkpointing bool `json:",omitempty"`
	// Gang tasks must run together: all are started at the same time. When the
	// first one is done all are done; any other end stops the runs of all.
	Gang bool `json:",omitempty"`
	// Colocated tasks are slower when they run on more than one rack.
	Colocated bool `json:",omitempty"`
	// Lasting marks long-running tasks, which run until the job is cancelled. They
	// are restarted however they end.
	Lasting bool `json:",omitempty"`
	// MaxUnavailable is the largest number of long-running tasks of the step that may
	// be stopped at a time in order to move them, 0 for no limit.
	MaxUnavailable int `json:",omitempty"`
}

// Repeat makes the steps of a job run several times at given times. The zero
// value means one run as soon as possible.
type Repeat struct {
	Count    int           // runs of the steps, 0 if the job is not timed
	First    int64         // due time of the first run, in Unix milliseconds
	Interval time.Duration // from one run to the next
}

// Job is a submission: steps of tasks that share a payload.
type Job struct {
	ID      ids.JobID
	Payload string
	Steps   []Step
	Repeat  Repeat
	// Stored jobs are accepted once they are in the store. They survive the loss of
	// the caller's connection and of the owner.
	Stored bool
	// Route is the queue at which a stored job was accepted. The job goes on when the
	// queue is removed.
	Route *Queue `json:",omitempty"`
}

// Queue is a route of the desired state: where jobs are received and which
// service runs them.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     ids.ServiceName
	Priority    int // 0 comes first
	MaxAttempts int // failed runs of a task after which the job fails
	Stretch     float64
	Slack       time.Duration // the objective is the estimated run time times Stretch, plus Slack
	Advised     bool          // an external service decides which workers may run its tasks
	// Timeout is how long callers wait on their first attempt at least, 0 if unknown.
	Timeout time.Duration `json:",omitempty"`
}

// CallerLimits are the limits on requests of callers.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Desired is one version of the desired state.
type Desired struct {
	Version int64
	Queues  []Queue
	Limits  CallerLimits
	// Services holds the limits of services that have any.
	Services []ServiceLimits
}

// WorkerState is whether a worker accepts new tasks.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// WorkerInfo is the report of a worker about itself.
type WorkerInfo struct {
	ID       ids.WorkerID
	Service  ids.ServiceName
	Address  string
	Zone     ids.AvailabilityZone
	Rack     ids.RackID
	Labels   []string
	State    WorkerState
	Room     Resources // the total room of the worker, free or used
	Born     int64     // start of the worker's present lifetime, in Unix milliseconds
	Sequence int64     // increases with each report of this lifetime
	Version  Version   // of the row in the store
	// ColdRemaining is how much longer the worker is slow after its start, from the
	// time of the report.
	ColdRemaining time.Duration
}

// Limits are properties of the workers, from the platform's settings.
type Limits struct {
	// MaxLease is the longest lease that a worker grants, 0 for one second.
	MaxLease time.Duration
	// RemotePenalty is the factor by which the run time of a task increases when it
	// runs on another rack than that of its data, 0 for no increase.
	RemotePenalty float64
	// EvacuationBound is the time after the request to evacuate a zone from which no
	// task may start there, 0 for 5 seconds.
	EvacuationBound time.Duration
	// A cold worker gets at most ColdOvershoot times the ColdPerSecond of its service
	// starts per second, 0 for no limit, and ColdSlack at once.
	ColdOvershoot float64
	ColdSlack     float64
}

// Self describes this entry to the others.
type Self struct {
	Incarnation ids.Incarnation
	Zone        ids.AvailabilityZone
	PeerAddress string
	Size        float64 // CPU share, in cores
}

// Member is an entry as its row in the store describes it.
type Member struct {
	Self
	Leaving   bool
	Version   Version // of its row
	Heartbeat int64   // increases while the entry is alive and reaches the store
	// HeartbeatInterval is the heartbeat interval of the entry, 0 for
	// MinHeartbeatInterval.
	HeartbeatInterval time.Duration
}

// TaskRef identifies one run of a task.
type TaskRef struct {
	Task TaskID
	Run  Run
}

// Shape is the requirements of the tasks of one step on a worker, and their
// urgency. Times are relative to the time of sending, because entries share no
// clock.
type Shape struct {
	Service      ids.ServiceName
	Need         Resources
	Requirement  string
	Affinity     ids.RackID
	AntiAffinity int
	Estimate     time.Duration // expected run time on a worker of speed 1
	Chain        time.Duration // the same for this step and the longest chain of steps after it
	Priority     int
	Stored       bool // ends must be stored before the worker discards them
	Lasting      bool // long-running: the tasks run until they are stopped
	Gang         bool // all tasks need room at the same time
	Advised      bool // only workers with a ticket may run it
	// Checkpointing and MaxUnavailable are as in Step.
	Checkpointing  bool
	MaxUnavailable int
	Tickets        map[ids.WorkerID]string
	// Careful is set when a run of the step has failed recently. The tasks then
	// wait for a short time for a worker on which no task has failed since the last
	// success, and on which no task of the job has failed.
	Careful bool
	Started bool          // a task of the job has already been started
	Left    float64       // share of the job's tasks that are not done
	InTime  time.Duration // time left until the objective is missed
	Late    time.Duration // time left until no caller waits for the answer
}

// GroupID is the number of a group at its owner.
type GroupID uint64

// GrantID is the number of a grant at its holder.
type GrantID uint64

// Assignment is one task of a Start message.
type Assignment struct {
	TaskRef
	Checkpoint string
	Attempt    int // number of failed runs so far
	Stalls     int // number of runs so far that were stopped for running too long
}

// End is how a run ended.
type End string

// The ways in which a run ends. EndDone, EndFailed, EndStopped and EndLapsed are
// reported by the worker. EndLost, EndCrashed and EndStalled are
// conclusions of the holder.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"  // ended by the worker because its lease expired
	EndLost    End = "lost"    // the start never took effect, or the worker has left
	EndCrashed End = "crashed" // the worker has crashed, or was cut off until the lease had expired
	EndStalled End = "stalled" // stopped because it ran far beyond its estimate
	EndNoRoom  End = "no-room" // not sent to a worker
	EndTicket  End = "ticket"  // the worker has refused the ticket
	EndOldRun  End = "old-run" // the worker has received a later run of the task
	// EndUnknown answers a Check for a run that the holder does not have. The run
	// may continue under another holder.
	EndUnknown End = "unknown"
)

// Route returns the queue with this host and the longest prefix that matches the
// path. It reports false if there is none.
func (de *Desired) Route(host, path string) (Queue, bool) {
	best, found := Queue{}, false
	for _, qu := range de.Queues {
		if qu.Host == host && strings.HasPrefix(path, qu.Prefix) && (!found || len(qu.Prefix) > len(best.Prefix)) {
			best, found = qu, true
		}
	}
	return best, found
}
