package dispatch

import (
	"sort"
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
	startExpires    WorkerTime // when an unconfirmed start order expires
	began           time.Time
	stopSent        time.Time
	stopReason      End // how a stop that this holder has decided is reported
	grant           GrantID
	remote          bool   // not on the rack of its data
	stalls          int    // earlier runs that were stopped for running too long
	unclaimed       bool   // listed by the worker, not claimed, not known to be long-running
	listed          bool   // the worker has listed the run
	savedCheckpoint string // the latest checkpoint that the worker has listed
	// orphanedAt is when a long-running task lost its owner.
	orphanedAt time.Time
	// leaseLimit bounds the lease of the worker while the run must end because
	// its owner may start the task again. If it is zero in that state, the lease
	// is not extended.
	leaseLimit      time.Time
	stopConfirmedAt time.Time  // when the worker confirmed a stop
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
	info  WorkerInfo
	token Token
	phase workerPhase
	slots map[TaskRef]*slot
	used  Resources // sum of the slots

	polling           bool // a poll is in flight
	pollSent          time.Time
	holding           bool // a hold is in flight
	holdSent          time.Time
	nextHold          time.Time
	holdRequiredSince time.Time             // no new tasks until a hold sent at or after this time is answered
	failingSince      time.Time             // since when holds fail, zero while they succeed
	lostHolds         int                   // consecutive holds without a reply
	answeredAt        time.Time             // when the worker last answered
	leaseEnd          time.Time             // no lease that was requested lasts longer than this
	acked             int64                 // highest number of an end that has been processed
	retained          map[int64]retainedEnd // ends that the owners have not stored yet
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
	// worker counts as silent.
	maxLostHolds = 2
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
	return wk.phase == phaseOpen && wk.failingSince.IsZero() && wk.holdRequiredSince.IsZero() && wk.info.State == WorkerReady &&
		wk.movingTo == "" && !now.Before(wk.blockedUntil) && !wk.hasOverdue && wk.lapseSince.IsZero() && (wk.failures == 0 || len(wk.slots) == 0) &&
		!wk.leaseExpiring(now)
}

// takeWorker makes this entry the holder of a worker, under a fencing token.
func (en *Entry) takeWorker(info WorkerInfo, token Token) {
	wk := &worker{
		info: info, token: token, phase: phaseFencing, slots: map[TaskRef]*slot{}, born: info.Born,
		retained: map[int64]retainedEnd{}, taskOwners: en.handoverOwners[info.ID],
	}
	for _, id := range wk.taskOwners {
		if !en.canSend(id) {
			en.requestLink(id)
		}
	}
	en.workers[info.ID] = wk
	en.unreached[info.ID] = en.now()
	en.eff.Log("worker-taken", "worker", string(info.ID), "token", int64(token), "zone", string(info.Zone))
	en.hold(wk)
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

// hold sends the next hold to a worker.
func (en *Entry) hold(wk *worker) {
	now := en.now()
	wk.holding, wk.holdSent = true, now
	order := HoldOrder{Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Acked: wk.ackThrough(), Margin: holdMargin}
	lossy := now.Before(en.lossyUntil)
	if wk.phase == phaseOpen && wk.failingSince.IsZero() && !wk.leaseLapsing(now) {
		switch {
		case wk.lostHolds > 0:
			order.Margin = lossyMargin
		case len(wk.retained) > 0:
		case lossy:
			order.Wait, order.Margin = min(lossyWait, en.holdWait), lossyMargin
		default:
			order.Wait = en.holdWait
		}
		lease := en.allowedLease(wk, en.lease, now)
		if lease < en.lease {
			// A short wait allows a request for the whole lease soon after the limit
			// is lifted.
			order.Wait = min(order.Wait, limitedWait)
		}
		if lease > 0 {
			order.Extend = true
			order.Until = wk.clockNow(now) + WorkerTime(lease)
			wk.recordLease(now, lease)
		}
	}
	en.eff.Hold(order)
}

// ackThrough returns the highest number up to which the worker may delete ends.
func (wk *worker) ackThrough() int64 {
	through := wk.acked
	for number := range wk.retained {
		through = min(through, number-1)
	}
	return through
}

// recordLease records that a lease of the given length was requested at now.
func (wk *worker) recordLease(now time.Time, lease time.Duration) {
	end := now.Add(time.Duration(float64(lease)*maxClockDrift) + leaseMargin)
	if end.After(wk.leaseEnd) {
		wk.leaseEnd = end
	}
}

// leaseMargin covers the error of a clock reading, which is at most a round trip.
const leaseMargin = 60 * time.Millisecond

// HoldReply is a worker's reply to a hold.
type HoldReply struct {
	Clock   WorkerTime
	Born    int64
	Running []TaskRef
	Saved   map[TaskRef]string // the checkpoints that running tasks have saved
	Ended   []EndedRun
	More    bool // the worker has more ends than fit into one reply
	Fenced  bool // the worker has seen a higher token
	Other   bool // the reply is from another lifetime of the worker
	Failed  bool // no reply, or an unusable one
	Reason  string
}

// listed returns the runs that the worker lists as running.
func (rep HoldReply) listed() map[TaskRef]bool {
	listed := map[TaskRef]bool{}
	for _, ref := range rep.Running {
		listed[ref] = true
	}
	return listed
}

// EndedRun is the end of a run. The worker lists it until it is acknowledged.
type EndedRun struct {
	Number     int64
	Ref        TaskRef
	How        End
	Checkpoint string
}

// HoldReplied handles the reply to a hold.
func (en *Entry) HoldReplied(id ids.WorkerID, token Token, rep HoldReply) {
	wk := en.workers[id]
	if wk == nil || wk.token != token {
		return
	}
	now := en.now()
	sent := wk.holdSent
	wk.holding, wk.nextHold = false, now
	switch {
	case rep.Fenced:
		en.releaseWorker(wk, "fenced")
		return
	case rep.Failed || rep.Other:
		en.holdFailed(wk, rep)
		return
	}
	en.holdAnswered(wk)
	if !sent.Before(wk.holdRequiredSince) {
		wk.holdRequiredSince = time.Time{}
	}
	if wk.born != 0 && rep.Born != 0 && rep.Born != wk.born {
		en.workerRestarted(wk, rep)
	}
	if rep.Born != 0 {
		wk.born = rep.Born
	}
	wk.clock, wk.clockAt = rep.Clock, now
	if wk.phase == phaseFencing {
		delete(en.unreached, id)
		en.beginAdopting(wk, rep)
	} else {
		en.reconcile(wk, rep, sent)
	}
	if en.workers[id] == wk && !wk.holding && wk.phase == phaseOpen {
		if len(wk.retained) > 0 {
			// The worker would reply immediately with the same ends.
			wk.nextHold = now.Add(retainedPause)
		} else {
			en.hold(wk)
		}
	}
	en.match()
}

// holdFailed handles a hold without a usable reply.
func (en *Entry) holdFailed(wk *worker, rep HoldReply) {
	if rep.Failed && wk.phase == phaseOpen && wk.failingSince.IsZero() && wk.lostHolds+1 < maxLostHolds {
		// A single lost call does not make the worker silent.
		wk.lostHolds++
		en.hold(wk)
		return
	}
	now := en.now()
	if wk.failingSince.IsZero() {
		wk.failingSince = now
		en.eff.Log("worker-silent", "worker", string(wk.info.ID), "reason", rep.Reason, "slots", len(wk.slots))
	}
	wk.nextHold = now.Add(holdRetry)
}

// holdAnswered records that a worker has answered.
func (en *Entry) holdAnswered(wk *worker) {
	now := en.now()
	if wk.lostHolds > 0 && wk.failingSince.IsZero() {
		en.recordLostCall(wk, "hold")
	}
	wk.lostHolds, wk.answeredAt = 0, now
	if !wk.failingSince.IsZero() {
		en.eff.Log("worker-back", "worker", string(wk.info.ID), "after-ms", now.Sub(wk.failingSince).Milliseconds())
		wk.failingSince = time.Time{}
	}
}

// recordLostCall records that a single call to a worker got lost although the
// worker answers other calls.
func (en *Entry) recordLostCall(wk *worker, what string) {
	now := en.now()
	if !now.Before(en.lossyUntil) {
		en.eff.Log("calls-lossy", "worker", string(wk.info.ID), "call", what)
	}
	en.lossyUntil = now.Add(lossyDuration)
	en.eff.Count("retry", "lost-"+what, 1)
}

// retainedPause is the pause between two holds while ends wait to be stored.
const retainedPause = 30 * time.Millisecond

// requireHold places no new tasks on a worker until a hold that is sent at or
// after now has been answered.
func (wk *worker) requireHold(now time.Time) {
	wk.holdRequiredSince = now
}

// workerRestarted discards the runs of an earlier lifetime of a worker. A start
// order in flight may have reached the new lifetime, whose clock differs, or may
// still reach it.
func (en *Entry) workerRestarted(wk *worker, rep HoldReply) {
	en.eff.Log("worker-restarted", "worker", string(wk.info.ID), "born", rep.Born, "before", wk.born, "slots", len(wk.slots))
	wk.acked, wk.retained, wk.lapseSince = 0, map[int64]retainedEnd{}, time.Time{}
	listed := rep.listed()
	for _, sl := range wk.sortedSlots() {
		switch {
		case sl.state == slotGranted || listed[sl.ref]:
		case sl.state == slotOrdered || sl.state == slotUnknown || (sl.state == slotRunning && !sl.listed):
			// This lifetime refuses the order only after it has confirmed a stop.
			sl.recall = recallNone
			sl.state, sl.startExpires = slotUnknown, rep.Clock+WorkerTime(en.startLease)
		default:
			en.endSlot(wk, sl, EndLost, "", 0)
		}
	}
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

// beginAdopting asks the reachable entries to claim the tasks that a newly taken
// worker runs. If it runs none, the worker is opened at once.
func (en *Entry) beginAdopting(wk *worker, rep HoldReply) {
	ended := make([]Ended, 0, len(rep.Ended))
	for _, er := range rep.Ended {
		ended = append(ended, Ended{Ref: er.Ref, Worker: wk.info.ID, How: er.How, Checkpoint: er.Checkpoint})
		wk.acked = max(wk.acked, er.Number)
		if er.How != EndDone {
			en.keepCheckpoint(er.Ref, er.Checkpoint)
		}
		if en.mayBeInOpenJob(er.Ref) && (er.How == EndDone || er.How == EndFailed) {
			en.retainEnd(wk, er)
		}
	}
	if len(rep.Running) == 0 {
		for _, id := range en.reachable() {
			if len(ended) > 0 {
				en.send(id, Adopt{Worker: wk.info.ID, Token: wk.token, Ended: ended})
			}
		}
		en.openWorker(wk)
		return
	}
	wk.phase = phaseAdopting
	// The previous holder may have extended the leases until now.
	wk.recordLease(en.now(), en.lease)
	wk.adoptUntil = en.now().Add(adoptTimeout)
	wk.awaitingAdopted = map[ids.EntryID]bool{}
	for _, ref := range rep.Running {
		// The size of an unclaimed task is unknown, so it occupies the whole worker.
		wk.addSlot(&slot{
			ref: ref, state: slotStopping, unclaimed: true, listed: true, began: en.now(), stopReason: EndStopped,
			shape: Shape{Need: wk.info.Room},
		})
	}
	list := en.reachable()
	for _, id := range list {
		wk.awaitingAdopted[id] = true
	}
	for _, id := range wk.taskOwners {
		if en.members[id] != nil {
			// resendAdopts sends Adopt to it once there is a session.
			wk.awaitingAdopted[id] = true
		}
	}
	wk.adoptMessage = Adopt{Worker: wk.info.ID, Token: wk.token, Running: rep.Running, Ended: ended}
	for _, id := range list {
		en.send(id, wk.adoptMessage)
	}
}

// resendAdopts asks an entry that has become reachable to claim its tasks on
// workers that this entry has taken.
func (en *Entry) resendAdopts(id ids.EntryID) {
	for _, wid := range sortedKeys(en.workers) {
		if wk := en.workers[wid]; wk.phase == phaseAdopting && wk.awaitingAdopted[id] {
			en.send(id, wk.adoptMessage)
		}
	}
}

func (en *Entry) handleAdopted(from ids.EntryID, ms Adopted) {
	wk := en.workers[ms.Worker]
	if wk == nil || wk.phase == phaseFencing {
		// The worker has not listed its runs yet. Once it has, the owner is sent
		// Adopt again.
		return
	}
	if wk.phase != phaseAdopting {
		en.handleLateAdopted(wk, from, ms)
		return
	}
	for _, kp := range ms.Keep {
		sl := wk.slots[kp.Ref]
		if sl == nil || !sl.unclaimed {
			continue
		}
		sl.unclaimed, sl.state, sl.owner = false, slotRunning, from
		sl.group, sl.job = kp.Group, kp.Job
		wk.resizeSlot(sl, kp.Shape)
	}
	delete(wk.awaitingAdopted, from)
	if len(wk.awaitingAdopted) == 0 {
		en.openWorker(wk)
	}
}

// handleLateAdopted handles a claim that arrives after the stops of unclaimed
// tasks were sent. The owner is sent the end of its task when the worker lists
// it.
func (en *Entry) handleLateAdopted(wk *worker, from ids.EntryID, ms Adopted) {
	for _, kp := range ms.Keep {
		sl := wk.slots[kp.Ref]
		if sl == nil {
			en.send(from, Ended{Ref: kp.Ref, Worker: ms.Worker, How: EndLost})
			continue
		}
		if sl.unclaimed || sl.outlivesOwner() {
			sl.unclaimed, sl.owner, sl.group, sl.job = false, from, kp.Group, kp.Job
			wk.resizeSlot(sl, kp.Shape)
		}
	}
}

// stopAwaitingAdopted stops waiting for the claims of an entry that can't answer.
func (en *Entry) stopAwaitingAdopted(id ids.EntryID) {
	for _, wid := range sortedKeys(en.workers) {
		wk := en.workers[wid]
		if wk.phase == phaseAdopting && wk.awaitingAdopted[id] {
			delete(wk.awaitingAdopted, id)
			if len(wk.awaitingAdopted) == 0 {
				en.openWorker(wk)
			}
		}
	}
}

// openWorker allows new tasks on a worker and stops the tasks that no owner has
// claimed, except those that may be long-running.
func (en *Entry) openWorker(wk *worker) {
	wk.phase = phaseOpen
	wk.awaitingAdopted = nil
	stopped := 0
	for _, sl := range wk.sortedSlots() {
		switch {
		case !sl.unclaimed:
		case en.mayBeLasting(sl.ref):
			// The run stays unclaimed until the row of its job has been read.
			sl.unclaimed, sl.state = en.recordOf(sl.ref.Task) == nil, slotRunning
			sl.shape.Lasting, sl.shape.Stored = true, true
			en.orphan(sl)
		default:
			stopped++
			en.stopSlot(wk, sl, EndStopped)
		}
	}
	en.eff.Log("worker-open", "worker", string(wk.info.ID), "adopted", len(wk.slots)-stopped, "unclaimed", stopped)
	if !wk.holding {
		en.hold(wk)
	}
	en.match()
}

// reconcile compares the worker's lists with the slots. A run that was started
// after the hold was sent may be missing from the reply.
func (en *Entry) reconcile(wk *worker, rep HoldReply, sent time.Time) {
	en.processEnds(wk, rep)
	for _, ref := range rep.Running {
		en.processRunning(wk, ref)
		if sl := wk.slots[ref]; sl != nil && rep.Saved[ref] != "" {
			sl.savedCheckpoint = rep.Saved[ref]
		}
	}
	if rep.More {
		// A run that is not listed may be among the ends that are still to come.
		return
	}
	listed := rep.listed()
	for _, sl := range wk.sortedSlots() {
		if listed[sl.ref] || sl.state == slotGranted {
			continue
		}
		en.processUnlisted(wk, sl, rep.Clock, sent)
	}
}

// processEnds processes the ends that have not been processed before.
func (en *Entry) processEnds(wk *worker, rep HoldReply) {
	for _, er := range rep.Ended {
		if er.Number > wk.acked {
			en.processEnd(wk, er)
		}
	}
}

// processEnd processes an end that the worker lists for the first time.
func (en *Entry) processEnd(wk *worker, er EndedRun) {
	wk.acked = er.Number
	sl := wk.slots[er.Ref]
	// If a slot has no owner, its shape may be unknown.
	unknown := sl == nil || sl.owner == ""
	stored := (sl != nil && sl.shape.Stored && !sl.shape.Lasting) || en.inOpenJob(er.Ref) || (unknown && en.mayBeInOpenJob(er.Ref))
	if stored && (er.How == EndDone || er.How == EndFailed) {
		en.retainEnd(wk, er)
		if unknown {
			en.reportEnd(wk, er)
		}
	}
	if sl != nil && sl.state != slotGranted {
		en.endSlot(wk, sl, er.How, er.Checkpoint, en.now().Sub(sl.began))
	} else if er.How != EndDone {
		en.keepCheckpoint(er.Ref, er.Checkpoint)
	}
}

// processRunning processes a run that the worker lists as running.
func (en *Entry) processRunning(wk *worker, ref TaskRef) {
	sl := wk.slots[ref]
	if sl == nil {
		// A start order that was given up has been executed late.
		sl = &slot{ref: ref, unclaimed: true, listed: true, began: en.now(), shape: Shape{Need: wk.info.Room}}
		wk.addSlot(sl)
		en.eff.Log("unknown-run", "worker", string(wk.info.ID), "task", string(ref.Task), "run", int64(ref.Run))
		en.stopSlot(wk, sl, EndStopped)
		return
	}
	sl.listed = true
	if sl.state == slotOrdered || sl.state == slotUnknown {
		en.confirmSlot(wk, sl)
	}
}

// processUnlisted decides whether a run that the worker does not list is lost.
func (en *Entry) processUnlisted(wk *worker, sl *slot, clock WorkerTime, sent time.Time) {
	switch {
	case sl.state == slotUnknown && clock > sl.startExpires+lateOrderMargin:
		en.endSlot(wk, sl, EndLost, "", 0)
	case sl.state == slotStopping && !sl.stopConfirmedAt.IsZero() && sent.After(sl.stopConfirmedAt):
		// The worker refuses the start once it has confirmed the stop.
		en.endSlot(wk, sl, EndLost, "", 0)
	case (sl.state == slotRunning || sl.state == slotStopping) && sl.listed && sl.startExpires < clock:
		en.endSlot(wk, sl, EndLost, "", 0)
	case (sl.state == slotRunning || sl.state == slotStopping) && !sl.listed && sent.Sub(sl.began) > en.startLease && sl.startExpires < clock:
		en.endSlot(wk, sl, EndLost, "", 0)
	}
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
		for _, sl := range wk.sortedSlots() {
			// A task of a stored job may have ended done. The worker reports that when
			// it answers again; if it does not come back, its row is removed.
			if sl.state != slotGranted && (!sl.shape.Stored || sl.shape.Lasting) {
				en.endSlot(wk, sl, EndLost, "", 0)
			}
		}
	}
	if !wk.holding && wk.phase != phaseAdopting && !now.Before(wk.nextHold) {
		en.hold(wk)
	}
	if !wk.failingSince.IsZero() {
		return
	}
	for _, sl := range wk.sortedSlots() {
		switch sl.state {
		case slotStopping:
			if now.Sub(sl.stopSent) > stopRetryAfter {
				en.stopSlot(wk, sl, sl.stopReason)
			}
		case slotRunning:
			en.pollDueRun(wk, sl, now)
			en.checkOverdue(wk, sl, now)
		case slotOrdered, slotUnknown:
			en.tickRecall(wk, sl, now)
		}
		en.tickLasting(wk, sl, now)
	}
	wk.hasOverdue = wk.anyOverdue(now)
}
