package dispatch

import (
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// WorkerTime is a reading of a worker's own steady clock.
type WorkerTime time.Duration

type slotState string

const (
	slotGranted  slotState = "granted"  // reserved for a task that the owner may send
	slotOrdered  slotState = "ordered"  // start sent, no answer yet
	slotUnknown  slotState = "unknown"  // start without an answer
	slotRunning  slotState = "running"  // the worker has confirmed the run
	slotStopping slotState = "stopping" // must end; its room is still taken
)

// slot is a task's share of a worker's room.
type slot struct {
	ref      TaskRef
	owner    ids.EntryID
	group    GroupID
	job      ids.JobID
	shape    Shape
	state    slotState
	until    WorkerTime // after it an order without an answer has no effect
	began    time.Time
	stopSent time.Time
	why      End // how to report a stop that this holder has decided
	grant    GrantID
	far      bool   // runs away from the rack of its data
	stalls   int    // earlier runs that were stopped for running too long
	foreign  bool   // found on the worker, not claimed, not known to last
	checked  bool   // the worker has listed the run
	saved    string // the last progress that the worker has listed
	// orphanedAt is when a lasting task lost its owner.
	orphanedAt time.Time
	// leaseLimit bounds the lease of the worker while the run must end for an
	// owner that may start the task again. Without it the lease is not extended.
	leaseLimit time.Time
	stopDone   time.Time // when the worker has confirmed a stop
	doubt      doubtStep // search for a run whose start got no answer
	doubtAt    time.Time // when the present step was begun
}

type workerPhase string

const (
	phaseFencing  workerPhase = "fencing"  // the token has not been shown yet
	phaseAdopting workerPhase = "adopting" // owners are asked for what runs there
	phaseOpen     workerPhase = "open"
)

// worker is a worker that this entry holds.
type worker struct {
	info  WorkerInfo
	token Token
	phase workerPhase
	slots map[TaskRef]*slot
	taken Resources // sum of the slots

	looking   bool // a look is in flight
	lookSent  time.Time
	holding   bool // a Hold is in flight
	holdSent  time.Time
	nextHold  time.Time
	recheckAt time.Time            // no new tasks until a hold sent after it is answered
	failing   time.Time            // since when holds fail, zero while they succeed
	fails     int                  // holds without an answer in a row
	heardAt   time.Time            // when the worker last answered
	leaseEnd  time.Time            // when all leases that were asked for have surely ended
	acked     int64                // ends up to it have been taken
	unnoted   map[int64]unnotedEnd // ends whose owners have not stored them yet
	// lapseSince is set while the lease is to run out because of a void end.
	lapseSince time.Time
	clock      WorkerTime // the worker's clock at clockAt
	clockAt    time.Time
	born       int64
	handingTo  ids.Incarnation // set while the worker is passed on

	awaiting   map[ids.EntryID]bool // entries that have not answered Adopt
	adopt      Adopt                // what they are asked
	adoptUntil time.Time
	taskOwners []ids.EntryID // named by the holder before

	speed   speed
	streak  int       // failed runs in a row, of different jobs
	blocked time.Time // no task is placed before this time
	overdue bool      // a task runs far beyond its estimate
}

// The limits on the traffic with workers.
const (
	// holdRetry is the pause after a hold that failed.
	holdRetry = 100 * time.Millisecond
	// holdMargin is the time for the answer to a hold beyond its wait, and
	// lossyMargin the same while single calls get lost.
	holdMargin  = 300 * time.Millisecond
	lossyMargin = 80 * time.Millisecond
	// lossyWait bounds the wait of holds while single calls get lost, because the
	// ends of tasks show only with the next hold that is answered.
	lossyWait = 60 * time.Millisecond
	// lossyTime after the last call that got lost, calls count as safe again.
	lossyTime = 3 * time.Second
	// limitedWait bounds the wait of holds that do not extend the whole lease.
	limitedWait = 60 * time.Millisecond
	// failsMost holds without an answer in a row make a worker silent.
	failsMost = 2
	// clockError bounds how much slower a worker's clock may run.
	clockError = 1.03
	// lateOrderMargin covers the uncertainty of a worker's clock reading.
	lateOrderMargin = WorkerTime(20 * time.Millisecond)
	// grantTime bounds how long a grant reserves room without an answer.
	grantTime = 150 * time.Millisecond
	// adoptTime bounds how long owners may take to claim tasks.
	adoptTime = 250 * time.Millisecond
	// stopAgain is the pause before a stop without effect is sent again.
	stopAgain = 150 * time.Millisecond
	// overdueFactor times the expected run time makes a worker unattractive: it
	// is three times the spread of estimates.
	overdueFactor = 2.5
	// overdueFloor keeps noise of short tasks from counting as overdue.
	overdueFloor = 140 * time.Millisecond
	// stallFactor times the expected run time is when a task is stopped if there
	// is room elsewhere, and hopelessFactor times that when it is stopped anyway.
	// At 2.5 too many sound tasks lost their work.
	stallFactor    = 4
	hopelessFactor = 1.5
	// stallsMost bounds the growth of the limit, by four for each stop.
	stallsMost = 6
	// stallFloor keeps short tasks from being stopped for mere noise.
	stallFloor = 300 * time.Millisecond
	// staleAfter is the gap between two ticks after which the age of a run says
	// nothing: its end may have been listed meanwhile.
	staleAfter = 100 * time.Millisecond
	// staleTime is how long run times are not judged after such a gap.
	staleTime = 300 * time.Millisecond
)

// clockNow estimates the worker's clock.
func (wk *worker) clockNow(now time.Time) WorkerTime {
	return wk.clock + WorkerTime(now.Sub(wk.clockAt))
}

// free returns the room that no slot takes.
func (wk *worker) free() Resources { return wk.info.Room.minus(wk.taken) }

func (wk *worker) addSlot(sl *slot) {
	wk.slots[sl.ref] = sl
	wk.taken = wk.taken.plus(sl.shape.Need)
}

func (wk *worker) removeSlot(ref TaskRef) {
	if sl := wk.slots[ref]; sl != nil {
		delete(wk.slots, ref)
		wk.taken = wk.taken.minus(sl.shape.Need)
	}
}

// resizeSlot takes the true shape of a run whose owner has been found.
func (wk *worker) resizeSlot(sl *slot, sh Shape) {
	wk.taken = wk.taken.minus(sl.shape.Need).plus(sh.Need)
	sl.shape = sh
}

// usable tells whether new tasks may be placed on the worker. Where a run must
// end the lease may be about to run out.
func (wk *worker) usable(now time.Time) bool {
	return wk.phase == phaseOpen && wk.failing.IsZero() && wk.recheckAt.IsZero() && wk.info.State == WorkerReady &&
		wk.handingTo == "" && !now.Before(wk.blocked) && !wk.overdue && wk.lapseSince.IsZero() && (wk.streak == 0 || len(wk.slots) == 0) &&
		!wk.expires(now)
}

// takeWorker begins to hold a worker under a token.
func (en *Entry) takeWorker(info WorkerInfo, token Token) {
	wk := &worker{
		info: info, token: token, phase: phaseFencing, slots: map[TaskRef]*slot{}, born: info.Born,
		unnoted: map[int64]unnotedEnd{}, taskOwners: en.handed[info.ID],
	}
	for _, id := range wk.taskOwners {
		if !en.canTell(id) {
			en.wantLink(id)
		}
	}
	en.workers[info.ID] = wk
	en.unfenced[info.ID] = en.now()
	en.eff.Log("worker-taken", "worker", string(info.ID), "token", int64(token), "zone", string(info.Zone))
	en.hold(wk)
}

// dropWorker ends holding a worker. Its tasks pass to the next holder.
func (en *Entry) dropWorker(wk *worker, why string) {
	delete(en.workers, wk.info.ID)
	owners := map[ids.EntryID]bool{}
	for _, sl := range wk.list() {
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
	en.eff.Log("worker-dropped", "worker", string(wk.info.ID), "token", int64(wk.token), "reason", why, "slots", len(wk.slots))
}

// hold sends the next hold to a worker.
func (en *Entry) hold(wk *worker) {
	now := en.now()
	wk.holding, wk.holdSent = true, now
	order := HoldOrder{Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Acked: wk.ackThrough(), Margin: holdMargin}
	lossy := now.Before(en.lossyUntil)
	if wk.phase == phaseOpen && wk.failing.IsZero() && !wk.lapses(now) {
		switch {
		case wk.fails > 0:
			order.Margin = lossyMargin
		case len(wk.unnoted) > 0:
		case lossy:
			order.Wait, order.Margin = min(lossyWait, en.holdWait), lossyMargin
		default:
			order.Wait = en.holdWait
		}
		lease := en.leaseFor(wk, en.lease, now)
		if lease < en.lease {
			// The whole lease is asked for as soon as it may be.
			order.Wait = min(order.Wait, limitedWait)
		}
		if lease > 0 {
			order.Extend = true
			order.Until = wk.clockNow(now) + WorkerTime(lease)
			wk.extendLease(now, lease)
		}
	}
	en.eff.Hold(order)
}

// ackThrough returns the number up to which the worker may forget ends.
func (wk *worker) ackThrough() int64 {
	through := wk.acked
	for number := range wk.unnoted {
		through = min(through, number-1)
	}
	return through
}

// extendLease notes that a lease of a length was asked for at a time.
func (wk *worker) extendLease(now time.Time, lease time.Duration) {
	end := now.Add(time.Duration(float64(lease)*clockError) + leaseMargin)
	if end.After(wk.leaseEnd) {
		wk.leaseEnd = end
	}
}

// leaseMargin covers the round trip by which a clock reading may be wrong.
const leaseMargin = 60 * time.Millisecond

// HoldReply is a worker's answer to a hold.
type HoldReply struct {
	Clock   WorkerTime
	Born    int64
	Running []TaskRef
	Saved   map[TaskRef]string // the progress that running tasks have saved
	Ended   []EndedRun
	More    bool // the worker has more ends than it lists at a time
	Fenced  bool // the worker has seen a higher token
	Other   bool // another lifetime of the worker answered
	Failed  bool // no answer, or none that can be used
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

// EndedRun is an end that a worker lists until it is acknowledged.
type EndedRun struct {
	Number     int64
	Ref        TaskRef
	How        End
	Checkpoint string
}

// HoldReplied takes the answer to a hold.
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
		en.dropWorker(wk, "fenced")
		return
	case rep.Failed || rep.Other:
		en.holdFailed(wk, rep)
		return
	}
	en.holdAnswered(wk)
	if !sent.Before(wk.recheckAt) {
		wk.recheckAt = time.Time{}
	}
	if wk.born != 0 && rep.Born != 0 && rep.Born != wk.born {
		en.workerReborn(wk, rep)
	}
	if rep.Born != 0 {
		wk.born = rep.Born
	}
	wk.clock, wk.clockAt = rep.Clock, now
	if wk.phase == phaseFencing {
		delete(en.unfenced, id)
		en.beginAdopting(wk, rep)
	} else {
		en.reconcile(wk, rep, sent)
	}
	if en.workers[id] == wk && !wk.holding && wk.phase == phaseOpen {
		if len(wk.unnoted) > 0 {
			// The worker would answer at once with the same ends.
			wk.nextHold = now.Add(unnotedPause)
		} else {
			en.hold(wk)
		}
	}
	en.match()
}

// holdFailed acts on a hold without an answer that can be used.
func (en *Entry) holdFailed(wk *worker, rep HoldReply) {
	if rep.Failed && wk.phase == phaseOpen && wk.failing.IsZero() && wk.fails+1 < failsMost {
		// A single call may get lost.
		wk.fails++
		en.hold(wk)
		return
	}
	now := en.now()
	if wk.failing.IsZero() {
		wk.failing = now
		en.eff.Log("worker-silent", "worker", string(wk.info.ID), "reason", rep.Reason, "slots", len(wk.slots))
	}
	wk.nextHold = now.Add(holdRetry)
}

// holdAnswered notes that a worker answers.
func (en *Entry) holdAnswered(wk *worker) {
	now := en.now()
	if wk.fails > 0 && wk.failing.IsZero() {
		en.loseCall(wk, "hold")
	}
	wk.fails, wk.heardAt = 0, now
	if !wk.failing.IsZero() {
		en.eff.Log("worker-back", "worker", string(wk.info.ID), "after-ms", now.Sub(wk.failing).Milliseconds())
		wk.failing = time.Time{}
	}
}

// loseCall notes that a single call of a worker got lost, which answers others.
func (en *Entry) loseCall(wk *worker, what string) {
	now := en.now()
	if !now.Before(en.lossyUntil) {
		en.eff.Log("calls-lossy", "worker", string(wk.info.ID), "call", what)
	}
	en.lossyUntil = now.Add(lossyTime)
	en.eff.Count("retry", "lost-"+what, 1)
}

// unnotedPause separates two holds while ends wait to be stored.
const unnotedPause = 30 * time.Millisecond

// recheck keeps new tasks away from a worker until a hold that is sent from now
// on has been answered.
func (wk *worker) recheck(now time.Time) {
	wk.recheckAt = now
}

// workerReborn forgets what ran in an earlier lifetime of a worker. An order on
// its way may have reached the new lifetime, whose clock differs, or may still
// reach it.
func (en *Entry) workerReborn(wk *worker, rep HoldReply) {
	en.eff.Log("worker-restarted", "worker", string(wk.info.ID), "born", rep.Born, "before", wk.born, "slots", len(wk.slots))
	wk.acked, wk.unnoted, wk.lapseSince = 0, map[int64]unnotedEnd{}, time.Time{}
	listed := rep.listed()
	for _, sl := range wk.list() {
		switch {
		case sl.state == slotGranted || listed[sl.ref]:
		case sl.state == slotOrdered || sl.state == slotUnknown || (sl.state == slotRunning && !sl.checked):
			// Only a stop that this lifetime confirms makes it refuse the order.
			sl.doubt = doubtNone
			sl.state, sl.until = slotUnknown, rep.Clock+WorkerTime(en.startLease)
		default:
			en.endSlot(wk, sl, EndLost, "", 0)
		}
	}
}

// list returns the slots in a fixed order, so that they may be removed while
// the list is walked.
func (wk *worker) list() []*slot {
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

// beginAdopting asks all entries for the tasks that a new worker runs.
func (en *Entry) beginAdopting(wk *worker, rep HoldReply) {
	ended := make([]Ended, 0, len(rep.Ended))
	for _, er := range rep.Ended {
		ended = append(ended, Ended{Ref: er.Ref, Worker: wk.info.ID, How: er.How, Checkpoint: er.Checkpoint})
		wk.acked = max(wk.acked, er.Number)
		if er.How != EndDone {
			en.keepProgress(er.Ref, er.Checkpoint)
		}
		if en.mayBeStored(er.Ref) && (er.How == EndDone || er.How == EndFailed) {
			en.keepEnd(wk, er)
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
	// The holder before may have extended the leases until now.
	wk.extendLease(en.now(), en.lease)
	wk.adoptUntil = en.now().Add(adoptTime)
	wk.awaiting = map[ids.EntryID]bool{}
	for _, ref := range rep.Running {
		// The size of an unclaimed task is unknown: it takes all the room.
		wk.addSlot(&slot{
			ref: ref, state: slotStopping, foreign: true, checked: true, began: en.now(), why: EndStopped,
			shape: Shape{Need: wk.info.Room},
		})
	}
	list := en.reachable()
	for _, id := range list {
		wk.awaiting[id] = true
	}
	for _, id := range wk.taskOwners {
		if en.members[id] != nil {
			// askOwner asks it once there is a session.
			wk.awaiting[id] = true
		}
	}
	wk.adopt = Adopt{Worker: wk.info.ID, Token: wk.token, Running: rep.Running, Ended: ended}
	for _, id := range list {
		en.send(id, wk.adopt)
	}
}

// askOwner asks an entry that has become reachable for its tasks on workers that
// this entry has taken.
func (en *Entry) askOwner(id ids.EntryID) {
	for _, wid := range sortedKeys(en.workers) {
		if wk := en.workers[wid]; wk.phase == phaseAdopting && wk.awaiting[id] {
			en.send(id, wk.adopt)
		}
	}
}

func (en *Entry) onAdopted(from ids.EntryID, ms Adopted) {
	wk := en.workers[ms.Worker]
	if wk == nil || wk.phase == phaseFencing {
		// The worker is asked anew what runs there, and then the owner.
		return
	}
	if wk.phase != phaseAdopting {
		en.adoptedLate(wk, from, ms)
		return
	}
	for _, kp := range ms.Keep {
		sl := wk.slots[kp.Ref]
		if sl == nil || !sl.foreign {
			continue
		}
		sl.foreign, sl.state, sl.owner = false, slotRunning, from
		sl.group, sl.job = kp.Group, kp.Job
		wk.resizeSlot(sl, kp.Shape)
	}
	delete(wk.awaiting, from)
	if len(wk.awaiting) == 0 {
		en.openWorker(wk)
	}
}

// adoptedLate takes a claim that comes after unclaimed tasks have been stopped.
// The owner hears of the end of its task when the worker lists it.
func (en *Entry) adoptedLate(wk *worker, from ids.EntryID, ms Adopted) {
	for _, kp := range ms.Keep {
		sl := wk.slots[kp.Ref]
		if sl == nil {
			en.send(from, Ended{Ref: kp.Ref, Worker: ms.Worker, How: EndLost})
			continue
		}
		if sl.foreign || sl.keeps() {
			sl.foreign, sl.owner, sl.group, sl.job = false, from, kp.Group, kp.Job
			wk.resizeSlot(sl, kp.Shape)
		}
	}
}

// endAdoptions no longer waits for an entry that can't answer.
func (en *Entry) endAdoptions(id ids.EntryID) {
	for _, wid := range sortedKeys(en.workers) {
		wk := en.workers[wid]
		if wk.phase == phaseAdopting && wk.awaiting[id] {
			delete(wk.awaiting, id)
			if len(wk.awaiting) == 0 {
				en.openWorker(wk)
			}
		}
	}
}

// openWorker lets new tasks run on a worker, and stops those that no owner has
// claimed.
func (en *Entry) openWorker(wk *worker) {
	wk.phase = phaseOpen
	wk.awaiting = nil
	stopped := 0
	for _, sl := range wk.list() {
		switch {
		case !sl.foreign:
		case en.mayLast(sl.ref):
			// Until the row of its job is read it stays unclaimed.
			sl.foreign, sl.state = en.recordOf(sl.ref.Task) == nil, slotRunning
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
// after the hold was sent may be missing in its answer.
func (en *Entry) reconcile(wk *worker, rep HoldReply, sent time.Time) {
	en.takeEnds(wk, rep)
	for _, ref := range rep.Running {
		en.takeRunning(wk, ref)
		if sl := wk.slots[ref]; sl != nil && rep.Saved[ref] != "" {
			sl.saved = rep.Saved[ref]
		}
	}
	if rep.More {
		// A run that is not listed may have ended.
		return
	}
	listed := rep.listed()
	for _, sl := range wk.list() {
		if listed[sl.ref] || sl.state == slotGranted {
			continue
		}
		en.missing(wk, sl, rep.Clock, sent)
	}
}

// takeEnds takes the ends that have not been taken before.
func (en *Entry) takeEnds(wk *worker, rep HoldReply) {
	for _, er := range rep.Ended {
		if er.Number > wk.acked {
			en.takeEnd(wk, er)
		}
	}
}

// takeEnd takes an end that the worker lists for the first time.
func (en *Entry) takeEnd(wk *worker, er EndedRun) {
	wk.acked = er.Number
	sl := wk.slots[er.Ref]
	// Without an owner the shape of a slot may not be known.
	unknown := sl == nil || sl.owner == ""
	stored := (sl != nil && sl.shape.Stored && !sl.shape.Lasting) || en.storedHere(er.Ref) || (unknown && en.mayBeStored(er.Ref))
	if stored && (er.How == EndDone || er.How == EndFailed) {
		en.keepEnd(wk, er)
		if unknown {
			en.tellEnd(wk, er)
		}
	}
	if sl != nil && sl.state != slotGranted {
		en.endSlot(wk, sl, er.How, er.Checkpoint, en.now().Sub(sl.began))
	} else if er.How != EndDone {
		en.keepProgress(er.Ref, er.Checkpoint)
	}
}

// takeRunning takes a run that the worker lists.
func (en *Entry) takeRunning(wk *worker, ref TaskRef) {
	sl := wk.slots[ref]
	if sl == nil {
		// An order that was given up has been carried out late.
		sl = &slot{ref: ref, foreign: true, checked: true, began: en.now(), shape: Shape{Need: wk.info.Room}}
		wk.addSlot(sl)
		en.eff.Log("unknown-run", "worker", string(wk.info.ID), "task", string(ref.Task), "run", int64(ref.Run))
		en.stopSlot(wk, sl, EndStopped)
		return
	}
	sl.checked = true
	if sl.state == slotOrdered || sl.state == slotUnknown {
		en.confirmSlot(wk, sl)
	}
}

// missing decides on a run that the worker does not list.
func (en *Entry) missing(wk *worker, sl *slot, clock WorkerTime, sent time.Time) {
	switch {
	case sl.state == slotUnknown && clock > sl.until+lateOrderMargin:
		en.endSlot(wk, sl, EndLost, "", 0)
	case sl.state == slotStopping && !sl.stopDone.IsZero() && sent.After(sl.stopDone):
		// The worker refuses the start from the stop on.
		en.endSlot(wk, sl, EndLost, "", 0)
	case (sl.state == slotRunning || sl.state == slotStopping) && sl.checked && sl.until < clock:
		en.endSlot(wk, sl, EndLost, "", 0)
	case (sl.state == slotRunning || sl.state == slotStopping) && !sl.checked && sent.Sub(sl.began) > en.startLease && sl.until < clock:
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
	en.judgeEnds(wk, now)
	if wk.phase == phaseAdopting && now.After(wk.adoptUntil) {
		en.openWorker(wk)
	}
	if !wk.failing.IsZero() && now.After(wk.leaseEnd) {
		for _, sl := range wk.list() {
			// A stored job's task may have ended done; the worker tells when it is
			// back, and its row goes when it is not.
			if sl.state != slotGranted && (!sl.shape.Stored || sl.shape.Lasting) {
				en.endSlot(wk, sl, EndLost, "", 0)
			}
		}
	}
	if !wk.holding && wk.phase != phaseAdopting && !now.Before(wk.nextHold) {
		en.hold(wk)
	}
	if !wk.failing.IsZero() {
		return
	}
	for _, sl := range wk.list() {
		switch sl.state {
		case slotStopping:
			if now.Sub(sl.stopSent) > stopAgain {
				en.stopSlot(wk, sl, sl.why)
			}
		case slotRunning:
			en.tickDue(wk, sl, now)
			en.checkOverdue(wk, sl, now)
		case slotOrdered, slotUnknown:
			en.tickDoubt(wk, sl, now)
		}
		en.tickLasting(wk, sl, now)
	}
	wk.overdue = wk.anyOverdue(now)
}
