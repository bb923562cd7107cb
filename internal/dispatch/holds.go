package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// hold sends the next hold to a worker.
func (en *Entry) hold(wk *worker) {
	now := en.now()
	wk.holding, wk.holdSent = true, now
	order := HoldOrder{Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Acked: wk.endsToForget(), Margin: holdMargin}
	wk.holdAcked = order.Acked
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

// endsToForget returns the number up to which the next hold lets the worker delete
// ends, 0 for none. The numbers begin again when a worker restarts under its id. A hold
// that reaches the new lifetime must not make it forget an end that this entry has not
// seen, so only the hold after an answer names a number, once.
func (wk *worker) endsToForget() int64 {
	if through := wk.ackThrough(); through > wk.forgotten && wk.lostHolds == 0 && wk.failingSince.IsZero() {
		return through
	}
	return 0
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
	Refused bool // the worker's machine refuses connections
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
	wk.clock, wk.clockAt = rep.Clock, now
	before := wk.born
	if rep.Born != 0 {
		wk.born = rep.Born
	}
	if before != 0 && wk.born != before {
		// The tasks that are lost may be placed again at once, so the worker must
		// already count as one whose report has not been read.
		en.workerRestarted(wk, rep, before)
	} else {
		wk.clearCrashes()
		wk.forgotten = max(wk.forgotten, wk.holdAcked)
	}
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
	now := en.now()
	wk.lostHolds++
	wk.callSent(now)
	if rep.Failed && wk.phase == phaseOpen && wk.failingSince.IsZero() && (wk.lostHolds < maxLostHolds || !wk.unresponsive(now)) {
		// Single lost calls do not make the worker silent.
		wk.nextHold = now.Add(pollPause)
		en.poll(wk, now)
		return
	}
	if wk.failingSince.IsZero() {
		wk.failingSince = now
		en.eff.Log("worker-silent", "worker", string(wk.info.ID), "reason", rep.Reason, "refused", rep.Refused, "slots", len(wk.slots))
		if rep.Refused {
			en.reportLikelyCrash(wk)
		}
	}
	wk.nextHold = now.Add(holdRetry)
}

// holdAnswered records that a worker has answered.
func (en *Entry) holdAnswered(wk *worker) {
	now := en.now()
	if wk.lostHolds > 0 && wk.failingSince.IsZero() {
		en.recordLostCall(wk, "hold")
	}
	wk.lostHolds = 0
	wk.listsReceived(now)
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
func (en *Entry) workerRestarted(wk *worker, rep HoldReply, before int64) {
	en.eff.Log("worker-restarted", "worker", string(wk.info.ID), "born", rep.Born, "before", before,
		"report-born", wk.info.Born, "slots", len(wk.slots))
	wk.acked, wk.forgotten, wk.retained, wk.lapseSince = 0, 0, map[int64]retainedEnd{}, time.Time{}
	listed := rep.listed()
	en.loseRuns(wk, before, func(sl *slot) bool {
		switch {
		case listed[sl.ref]:
			return false
		case sl.state == slotOrdered || sl.state == slotUnknown || (sl.state == slotRunning && (!sl.listed || sl.starts > 1)):
			// This lifetime refuses the order only after it has confirmed a stop. The
			// order is not sent again: it names a time on the clock of the earlier one.
			sl.recall, sl.starts = recallNone, maxStarts
			sl.state, sl.startExpires = slotUnknown, rep.Clock+WorkerTime(en.startLease)
			return false
		}
		return true
	})
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
