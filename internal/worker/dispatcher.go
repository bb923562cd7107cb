package worker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Demand is one task that waits for a worker, with its declared sizes.
type Demand struct {
	Task         TaskID
	Team         ids.TeamID
	Job          ids.JobID
	Kind         ids.RequestKind
	Processors   ids.Cores
	Memory       ids.Megabytes
	Accelerators int
	RunMillis    int64
}

// Placement names the worker that a task is to start on.
type Placement struct {
	Worker ids.WorkerID
	// Address is the worker's address as IP:PORT.
	Address string
}

// Events receives the end of each task. For a task that Start has sent without
// ErrRefused, or that Adopt tracks, exactly one of the two methods is called,
// once. The methods are called from several goroutines and must not block.
type Events interface {
	// Finished is called when the worker has reported the task as done, failed
	// or stopped.
	Finished(rep Report)
	// Lost is called when no report of the task will come: its worker is gone,
	// does not answer, or has no record of the task. The task may have run.
	Lost(task TaskID, reason string)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Board       *blackboard.Board
	Counters    *counter.Set
	Incarnation ids.Incarnation
	Zone        ids.AvailabilityZone
	Log         zerolog.Logger
}

// counterFamily is the family of all counters of this package.
const counterFamily = "worker"

// ErrNotAssigned is returned by Start for a task without reserved room: it was
// withdrawn, sent before, or has ended. Start has then sent nothing.
var ErrNotAssigned = errors.New("the task has no reserved place; enqueue it first, and start it once")

// Dispatcher places tasks on workers and communicates with the workers.
type Dispatcher struct {
	opt      Options
	events   Events
	grp      *group.Group
	wake     chan struct{}
	fresh    *freshClient
	polls    pollBudget
	timeouts timeouts

	mu    sync.Mutex
	sched *scheduler

	// The snapshots of the blackboard that were last passed to the scheduler.
	vms      *blackboard.VMs
	members  *blackboard.Members
	version  *configuration.Version
	ticks    int
	lastTick time.Time
	closed   atomic.Bool
}

// New returns a dispatcher. Call SetEvents and then Run before any other
// method.
func New(opt Options) *Dispatcher {
	self := entryInfo{id: opt.Incarnation.Entry(), zone: opt.Zone}
	return &Dispatcher{
		opt:      opt,
		grp:      group.New(context.Background()),
		wake:     make(chan struct{}, 1),
		fresh:    newFreshClient(),
		polls:    newPollBudget(time.Now()),
		timeouts: defaultTimeouts,
		sched:    newScheduler(self, opt.Counters, time.Now),
	}
}

// SetEvents sets the receiver of task ends.
func (di *Dispatcher) SetEvents(ev Events) {
	di.events = ev
}

// tickInterval is the interval of the periodic work: leases, polls, late tasks,
// and changes of the blackboard.
const tickInterval = 100 * time.Millisecond

// Run starts to place tasks.
func (di *Dispatcher) Run() {
	di.applySnapshots()
	di.grp.Go(di.placeLoop)
	di.grp.Every(tickInterval, di.tick)
}

// Close stops the goroutines of the dispatcher, waits for them and closes idle
// connections. Running tasks stay on their workers until their leases lapse.
func (di *Dispatcher) Close() {
	di.closed.Store(true)
	di.grp.Close()
	di.mu.Lock()
	defer di.mu.Unlock()
	for _, ws := range di.sched.workers {
		if ws.link != nil {
			ws.link.close()
		}
	}
}

// Admissible returns nil when some worker is large enough for the demand. An
// *outcome.Error with status 422 names the dimension that fits no worker.
func (di *Dispatcher) Admissible(dm Demand) error {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.sched.admissible(&dm)
}

// Enqueue queues tasks. It calls assigned for each one, from a goroutine of the
// dispatcher, once room on a worker is reserved. assigned must not block. The
// room stays reserved until Start returns ErrRefused, the task ends, or
// Withdraw frees it. A task that is already queued, assigned or running is
// skipped.
func (di *Dispatcher) Enqueue(dms []Demand, assigned func(task TaskID, pl Placement)) {
	di.mu.Lock()
	for i := range dms {
		if di.sched.tasks[dms[i].Task] == nil {
			di.sched.enqueue(&dms[i], assigned)
		}
	}
	di.mu.Unlock()
	di.wakeUp()
}

// Withdraw removes tasks that have not been sent, and frees the room of those
// that are assigned. A call of assigned that is already in progress may still
// arrive; Start then returns ErrNotAssigned.
func (di *Dispatcher) Withdraw(tasks []TaskID) {
	di.mu.Lock()
	for _, id := range tasks {
		di.sched.withdraw(id)
	}
	di.mu.Unlock()
	di.wakeUp()
}

func (di *Dispatcher) wakeUp() {
	select {
	case di.wake <- struct{}{}:
	default:
	}
}

// placeLoop announces assignments in small batches, so that the lock is held
// for well under a millisecond.
func (di *Dispatcher) placeLoop(ctx context.Context) {
	const batch = 64
	for {
		select {
		case <-ctx.Done():
			return
		case <-di.wake:
		}
		for ctx.Err() == nil {
			di.mu.Lock()
			placed := di.sched.place(batch)
			di.mu.Unlock()
			for _, as := range placed {
				as.tk.assigned(as.tk.id, as.pl)
			}
			if len(placed) < batch {
				break
			}
		}
	}
}

// applySnapshots passes new snapshots of the blackboard to the scheduler.
func (di *Dispatcher) applySnapshots() {
	board := di.opt.Board
	di.mu.Lock()
	defer di.mu.Unlock()
	if vms := board.VMs.Load(); vms != nil && vms != di.vms {
		di.vms = vms
		di.sched.setWorkers(vms.Workers)
	}
	if members := board.Members.Load(); members != nil && members != di.members {
		di.members = members
		di.sched.setEntries(di.liveEntries(members))
	}
	if version := board.Configuration.Load(); version != nil && version != di.version {
		di.version = version
		di.sched.setTeams(version.Document.Teams)
	}
}

func (di *Dispatcher) liveEntries(members *blackboard.Members) []entryInfo {
	entries := []entryInfo{di.sched.self}
	for id, me := range members.Alive {
		if id != di.sched.self.id {
			entries = append(entries, entryInfo{id: id, zone: me.AvailabilityZone})
		}
	}
	return entries
}

func (di *Dispatcher) tick(ctx context.Context) {
	const slowEvery = 5
	di.applySnapshots()
	di.detectPause(time.Now())
	di.ticks++
	if di.ticks%slowEvery == 0 {
		di.mu.Lock()
		di.sched.tick(slowEvery * tickInterval)
		di.publishGauges()
		di.mu.Unlock()
	}
	di.checkTasks()
	di.renewLeases()
	di.pollUsage(time.Now())
	di.wakeUp()
}

// pauseGap is the time between two ticks above which this process counts as
// paused.
const pauseGap = 10 * tickInterval

// detectPause resets the answer times and failures of all workers after a pause
// of this process, because missing answers during the pause do not show that a
// worker has failed.
func (di *Dispatcher) detectPause(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	paused := !di.lastTick.IsZero() && now.Sub(di.lastTick) > pauseGap
	di.lastTick = now
	if !paused {
		return
	}
	di.count("paused", 1)
	for _, ws := range di.sched.workers {
		if ws.link != nil {
			ws.link.answeredAt, ws.link.failures, ws.link.refusedSince = now, 0, time.Time{}
		}
	}
}

func (di *Dispatcher) publishGauges() {
	if di.opt.Counters == nil {
		return
	}
	di.opt.Counters.Gauge(counterFamily+".queued", int64(di.sched.queued))
	di.opt.Counters.Gauge(counterFamily+".in-flight", int64(len(di.sched.tasks)-di.sched.queued))
	di.opt.Counters.Gauge(counterFamily+".suspended-now", int64(di.sched.suspendedWorkers()))
	di.opt.Counters.Gauge(counterFamily+".control-bytes", di.fresh.bytes.Load())
}

func (di *Dispatcher) count(reason string, n int) {
	if di.opt.Counters != nil && n > 0 {
		di.opt.Counters.Add(counterFamily, reason, int64(n))
	}
}
