package dispatch

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// WorkerTime is a reading of a worker's own monotonic clock.
type WorkerTime time.Duration

type slotState string

const (
	slotGranted  slotState = "granted"  // reserved for a task that the owner may send
	slotOrdered  slotState = "ordered"  // start sent, reply pending
	slotUnknown  slotState = "unknown"  // start without a reply; it may still take effect
	slotRunning  slotState = "running"  // the worker has confirmed the run
	slotStopping slotState = "stopping" // must end; its room is still in use
)

// slot is the share of a worker's room that one task uses.
type slot struct {
	ref             TaskRef
	owner           ids.EntryID
	group           GroupID
	job             ids.JobID
	shape           Shape
	state           slotState
	startOrder      StartOrder // as sent, to send it again without a reply
	starts          int        // number of times that the start order was sent
	startSent       time.Time  // when it was last sent
	startExpires    WorkerTime // when an unconfirmed start order expires
	began           time.Time
	stopSent        time.Time
	stopReason      End // how a stop that this holder has decided is reported
	grant           GrantID
	remote          bool   // not on the rack of its data
	stalls          int    // earlier runs that were stopped for running too long
	unclaimed       bool   // listed by the worker, not claimed, not known to be long-running
	beganUnknown    bool   // began is the time at which this holder found the run
	listed          bool   // the worker has listed the run
	cold            bool   // the worker was cold when the run began
	confirmed       bool   // the worker has answered that it has started the run
	savedCheckpoint string // the latest checkpoint that the worker has listed
	// orphanedAt is when a long-running task lost its owner.
	orphanedAt time.Time
	// leaseLimit bounds the lease of the worker while the run must end because
	// its owner may start the task again. If it is zero in that state, the lease
	// is not extended.
	leaseLimit      time.Time
	moveAskedAt     time.Time  // when the owner was last asked whether the run may be moved
	stopConfirmedAt time.Time  // when the worker confirmed a stop
	crash           *Crash     // set once the lifetime of the worker that was sent the run has ended
	recall          recallStep // progress of recalling a start without a reply
	recallAt        time.Time  // when that step began
}

type workerPhase string

const (
	phaseFencing  workerPhase = "fencing"  // no hold with the new token has been answered
	phaseAdopting workerPhase = "adopting" // waiting for owners to claim the runs there
	phaseOpen     workerPhase = "open"
)

// worker is a worker that this entry holds.
type worker struct {
	info       WorkerInfo
	token      Token
	evac       *evacuations // of the holder
	cold       coldPhase
	coldLimits *coldLimits // of the holder
	phase      workerPhase
	slots      map[TaskRef]*slot
	used       Resources // sum of the slots

	polls             map[int64]time.Time // send times of the polls in flight, by PollID
	lastPoll          int64
	pollSent          time.Time
	holding           bool // a hold is in flight
	holdSent          time.Time
	nextHold          time.Time
	holdRequiredSince time.Time             // no new tasks until a hold sent at or after this time is answered
	failingSince      time.Time             // since when holds fail, zero while they succeed
	lostHolds         int                   // consecutive holds without a reply
	answeredAt        time.Time             // when the worker last answered a call
	listsAt           time.Time             // when the worker last answered with its lists of runs
	listsBefore       time.Time             // the same for the time before listsAt
	unansweredSince   time.Time             // since when short calls get no reply, zero if the last one got one
	leaseEnd          time.Time             // no lease that was requested lasts longer than this
	acked             int64                 // highest number of an end that has been processed
	forgotten         int64                 // highest number of an end that the worker has deleted
	holdAcked         int64                 // HoldOrder.Acked of the hold in flight
	retained          map[int64]retainedEnd // ends that the owners have not stored yet
	endsResentAt      time.Time             // when pending ends were last sent again
	// lapseSince is set while the lease is left to expire because of a superseded
	// end.
	lapseSince time.Time
	clock      WorkerTime // the worker's clock at clockAt
	clockAt    time.Time
	born       int64
	movingTo   ids.Incarnation // set while the worker moves to another holder

	awaitingAdopted map[ids.EntryID]bool // entries that have not answered Adopt
	adoptMessage    Adopt                // the message sent to them
	adoptUntil      time.Time
	taskOwners      []ids.EntryID // as named by the previous holder

	speed        speed
	failures     int       // consecutive failed runs, of different jobs
	failedAt     time.Time // when a run last failed
	blockedUntil time.Time // no task is placed before this time
	hasOverdue   bool      // a task runs far beyond its estimate
}

// The limits on the traffic with workers.
const (
	// holdRetry is the pause after a failed hold.
	holdRetry = 100 * time.Millisecond
	// holdMargin is how long after its wait a hold may still be answered, and
	// lossyMargin the same while single calls get lost.
	holdMargin  = 300 * time.Millisecond
	lossyMargin = 80 * time.Millisecond
	// lossyWait bounds the wait of holds while single calls get lost, because the
	// end of a task is reported only by the next hold that is answered.
	lossyWait = 60 * time.Millisecond
	// lossyDuration is the time after the last lost call until calls are no longer
	// treated as lossy.
	lossyDuration = 3 * time.Second
	// limitedWait bounds the wait of holds that do not extend the whole lease.
	limitedWait = 60 * time.Millisecond
	// maxLostHolds is the number of consecutive holds without a reply after which a
	// worker counts as silent, if it has not answered any other call for
	// unresponsiveAfter either.
	maxLostHolds = 2
	// unresponsiveAfter is how long short calls to a worker may remain unanswered
	// before it gets no new tasks. Calls are repeated every 20 to 30 ms, so a worker
	// that leaves four in ten calls unanswered rarely exceeds it.
	unresponsiveAfter = 200 * time.Millisecond
	// maxClockDrift is the factor by which a worker's clock may be slower than that
	// of this entry.
	maxClockDrift = 1.03
	// lateOrderMargin covers the uncertainty of a worker's clock reading.
	lateOrderMargin = WorkerTime(20 * time.Millisecond)
	// grantTimeout bounds how long a grant without an answer reserves room.
	grantTimeout = 150 * time.Millisecond
	// adoptTimeout bounds how long owners may take to claim tasks.
	adoptTimeout = 250 * time.Millisecond
	// stopRetryAfter is the time after which a stop is sent again if the run has not
	// ended.
	stopRetryAfter = 150 * time.Millisecond
	// overdueFactor times the expected run time is the age of a run from which
	// its worker gets no new tasks. It is three times the spread of estimates.
	overdueFactor = 2.5
	// overdueFloor prevents noise in short run times from counting as overdue.
	overdueFloor = 140 * time.Millisecond
	// stallFactor times the expected run time is the age at which a task is
	// stopped if there is room elsewhere. At forcedStallFactor times that age it is
	// stopped in any case. A stallFactor of 2.5 stopped too many healthy tasks,
	// whose work was lost.
	stallFactor       = 4
	forcedStallFactor = 1.5
	// maxCountedStalls bounds how often the limit is quadrupled. Each earlier stop
	// of the task quadruples it once.
	maxCountedStalls = 6
	// stallFloor prevents short tasks from being stopped because of noise.
	stallFloor = 300 * time.Millisecond
	// staleGap is the gap between two calls of DetectPause after which the age of a
	// run is not meaningful: its end may have been listed in the meantime.
	staleGap = 100 * time.Millisecond
	// staleDuration is how long after such a gap run times are not judged.
	staleDuration = 300 * time.Millisecond
)

// clockNow estimates the present reading of the worker's clock.
func (wk *worker) clockNow(now time.Time) WorkerTime {
	return wk.clock + WorkerTime(now.Sub(wk.clockAt))
}

// free returns the room that no slot uses.
func (wk *worker) free() Resources { return wk.info.Room.minus(wk.used) }

func (wk *worker) addSlot(sl *slot) {
	wk.slots[sl.ref] = sl
	wk.used = wk.used.plus(sl.shape.Need)
}

func (wk *worker) removeSlot(ref TaskRef) {
	if sl := wk.slots[ref]; sl != nil {
		delete(wk.slots, ref)
		wk.used = wk.used.minus(sl.shape.Need)
	}
}

// resizeSlot sets the actual shape of a run that its owner has claimed.
func (wk *worker) resizeSlot(sl *slot, sh Shape) {
	wk.used = wk.used.minus(sl.shape.Need).plus(sh.Need)
	sl.shape = sh
}

// usable reports whether new tasks may be placed on the worker. They may not
// while its lease is about to expire because of a run that must end.
func (wk *worker) usable(now time.Time) bool {
	return wk.phase == phaseOpen && wk.failingSince.IsZero() && wk.holdRequiredSince.IsZero() && wk.reportCurrent() && wk.info.State == WorkerReady &&
		wk.movingTo == "" && !now.Before(wk.blockedUntil) && !wk.hasOverdue && wk.lapseSince.IsZero() && (wk.failuresAt(now) == 0 || !wk.hasEndingTask()) &&
		!wk.leaseExpiring(now) && !wk.unresponsive(now) && !wk.evac.bars(wk.info.Zone)
}

// reportCurrent reports whether the latest report is of the lifetime that answers.
// After a restart the worker may be of another kind: the service, the labels and
// the room of its former lifetime say nothing about it.
func (wk *worker) reportCurrent() bool {
	return wk.born == 0 || wk.info.Born == 0 || wk.info.Born == wk.born
}

// unresponsive reports whether the worker has left all short calls unanswered
// for unresponsiveAfter.
func (wk *worker) unresponsive(now time.Time) bool {
	return !wk.unansweredSince.IsZero() && now.Sub(wk.unansweredSince) >= unresponsiveAfter
}

// listsReceived records that the worker has answered with its lists of runs.
func (wk *worker) listsReceived(now time.Time) {
	wk.listsBefore, wk.listsAt = wk.listsAt, now
	wk.callAnswered(now)
}

// callSent records that a call was sent to the worker that it answers at once.
func (wk *worker) callSent(now time.Time) {
	if wk.unansweredSince.IsZero() {
		wk.unansweredSince = now
	}
}

// callAnswered records that the worker has answered a call.
func (wk *worker) callAnswered(now time.Time) {
	wk.answeredAt, wk.unansweredSince = now, time.Time{}
}

// takeWorker makes this entry the holder of a worker, under a fencing token.
func (en *Entry) takeWorker(info WorkerInfo, token Token) {
	wk := &worker{
		info: info, token: token, evac: en.evac, coldLimits: en.coldLimits, phase: phaseFencing, slots: map[TaskRef]*slot{}, polls: map[int64]time.Time{}, born: info.Born,
		retained: map[int64]retainedEnd{}, taskOwners: en.handoverOwners[info.ID],
		speed: speed{class: en.classSpeed(info)},
	}
	for _, id := range wk.taskOwners {
		if !en.canSend(id) {
			en.requestLink(id)
		}
	}
	if kw := en.known[info.ID]; kw != nil {
		wk.takeCold(kw.coldUntil, en.now())
	}
	en.workers[info.ID] = wk
	en.unreached[info.ID] = en.now()
	en.eff.Log("worker-taken", "worker", string(info.ID), "token", int64(token), "zone", string(info.Zone))
	en.hold(wk)
}

// classSpeed returns the speed of the workers of the same service that have the
// same labels apart from the rack.
func (en *Entry) classSpeed(info WorkerInfo) *classSpeed {
	labels := slices.DeleteFunc(slices.Clone(info.Labels), func(label string) bool { return label == string(info.Rack) })
	key := strings.Join(append([]string{string(info.Service)}, labels...), " ")
	cs := en.classSpeeds[key]
	if cs == nil {
		cs = &classSpeed{}
		en.classSpeeds[key] = cs
	}
	return cs
}

// releaseWorker stops holding a worker. Its tasks pass to the next holder.
func (en *Entry) releaseWorker(wk *worker, reason string) {
	delete(en.workers, wk.info.ID)
	owners := map[ids.EntryID]bool{}
	for _, sl := range wk.sortedSlots() {
		switch sl.state {
		case slotGranted:
			en.releaseGrant(sl.grant)
		case slotOrdered, slotUnknown:
			owners[sl.owner] = true
			en.send(sl.owner, Running{Ref: sl.ref, Worker: wk.info.ID})
		default:
			owners[sl.owner] = true
		}
	}
	for _, id := range sortedKeys(owners) {
		if id != "" {
			en.send(id, Released{Worker: wk.info.ID})
		}
	}
	en.eff.Log("worker-dropped", "worker", string(wk.info.ID), "token", int64(wk.token), "reason", reason, "slots", len(wk.slots))
}

// sortedSlots returns a sorted copy of the slots. Slots may be removed while
// the caller iterates over it.
func (wk *worker) sortedSlots() []*slot {
	list := make([]*slot, 0, len(wk.slots))
	for _, sl := range wk.slots {
		list = append(list, sl)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].ref.Task != list[b].ref.Task {
			return list[a].ref.Task < list[b].ref.Task
		}
		return list[a].ref.Run < list[b].ref.Run
	})
	return list
}

func (en *Entry) tickHolder(now time.Time) {
	for _, id := range sortedKeys(en.grants) {
		if now.After(en.grants[id].until) {
			en.releaseGrant(id)
		}
	}
	for _, id := range sortedKeys(en.workers) {
		if wk := en.workers[id]; wk != nil {
			en.tickWorker(wk, now)
		}
	}
	en.match()
}

func (en *Entry) tickWorker(wk *worker, now time.Time) {
	en.checkRetainedEnds(wk, now)
	if wk.phase == phaseAdopting && now.After(wk.adoptUntil) {
		en.openWorker(wk)
	}
	if !wk.failingSince.IsZero() && now.After(wk.leaseEnd) {
		// A task of a stored job may have ended done. The worker reports that when it
		// answers again; if it does not come back, its row is removed.
		en.loseRuns(wk, wk.born, func(sl *slot) bool { return !sl.shape.Stored || sl.shape.Lasting })
	}
	if !wk.holding && wk.phase != phaseAdopting && !now.Before(wk.nextHold) {
		en.hold(wk)
	}
	if !wk.failingSince.IsZero() {
		return
	}
	if wk.lostHolds > 0 || wk.unresponsive(now) {
		en.poll(wk, now)
	}
	for _, sl := range wk.sortedSlots() {
		en.tickSlot(wk, sl, now)
	}
	wk.hasOverdue = wk.anyOverdue(now)
}

func (en *Entry) tickSlot(wk *worker, sl *slot, now time.Time) {
	en.stopEnded(wk, sl)
	switch sl.state {
	case slotStopping:
		// While owners may still claim the runs on a new worker, no stop is sent.
		if wk.phase != phaseAdopting && now.Sub(sl.stopSent) > en.retryInterval(now, stopRetryAfter) {
			en.stopSlot(wk, sl, sl.stopReason)
		}
	case slotRunning:
		en.pollDueRun(wk, sl, now)
		en.stopStalled(wk, sl, now)
	case slotOrdered, slotUnknown:
		en.tickRecall(wk, sl, now)
	}
	en.tickLasting(wk, sl, now)
}
