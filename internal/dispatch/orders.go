package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// confirmSlot records that a worker runs a task and informs the owner.
func (en *Entry) confirmSlot(wk *worker, sl *slot) {
	sl.state, sl.confirmed = slotRunning, true
	en.send(sl.owner, Running{Ref: sl.ref, Worker: wk.info.ID})
}

// endSlot frees the room of a run and informs its owner.
func (en *Entry) endSlot(wk *worker, sl *slot, how End, checkpoint string, took time.Duration) {
	wk.removeSlot(sl.ref)
	if checkpoint == "" {
		checkpoint = sl.savedCheckpoint
	}
	if how != EndDone {
		en.keepCheckpoint(sl.ref, checkpoint)
	}
	var cr Crash
	if how == EndLost && sl.crash != nil && wk.info.State != WorkerDraining {
		how, cr = EndCrashed, *sl.crash
		en.keepCrash(sl.ref.Task, cr)
	}
	if sl.owner == "" {
		return
	}
	factor := wk.runFactor(sl)
	expected := time.Duration(float64(sl.shape.Estimate) / factor)
	work := time.Duration(0)
	switch how {
	case EndDone:
		switch {
		case sl.beganUnknown || !en.endTimeKnown(wk):
		case sl.cold:
			wk.learnCold(sl, took, en.now())
		default:
			work = time.Duration(float64(took) * factor)
			if sl.remote {
				work = time.Duration(float64(work) / en.remotePenalty)
			}
			wk.speed.learn(sl.shape.Estimate, took)
		}
		wk.failures, wk.blockedUntil, wk.cold.proven = 0, time.Time{}, true
		en.eff.Observe("task.took", took)
	case EndFailed:
		en.recordFailure(wk, sl)
	case EndStopped:
		if sl.stopReason != "" {
			how = sl.stopReason
		}
	}
	wk.hasOverdue = wk.anyOverdue(en.now())
	en.eff.Count("task", string(how), 1)
	if how != EndDone {
		en.eff.Log("run-ended", "job", string(sl.job), "task", string(sl.ref.Task), "run", int64(sl.ref.Run),
			"worker", string(wk.info.ID), "how", string(how), "took-ms", took.Milliseconds(),
			"expected-ms", expected.Milliseconds(), "speed", factor)
	}
	en.send(sl.owner, Ended{Ref: sl.ref, Worker: wk.info.ID, How: how, Checkpoint: checkpoint, Work: work, Crash: cr})
}

// endTimeKnown reports whether an end in the latest lists of a worker has just
// happened. While calls get lost, it may have been listed in a reply that did not
// arrive.
func (en *Entry) endTimeKnown(wk *worker) bool {
	return !en.now().Before(en.lossyUntil) || wk.listsAt.Sub(wk.listsBefore) <= duePollPause
}

// StartReply is the reply to a start order.
type StartReply struct {
	Started bool
	Reason  StartRefusal // why the worker did not start the run, "" if it may have started it
	Clock   WorkerTime
	Detail  string
}

// StartRefusal is the reason for which a worker has not started a run.
type StartRefusal string

// The reasons for which a worker refuses a start.
const (
	RefusedFence     StartRefusal = "fence"
	RefusedOld       StartRefusal = "old"
	RefusedLate      StartRefusal = "late"
	RefusedRoom      StartRefusal = "room"
	RefusedUnhealthy StartRefusal = "unhealthy"
	RefusedLifetime  StartRefusal = "lifetime"
	RefusedInvalid   StartRefusal = "invalid"
	RefusedTicket    StartRefusal = "ticket"
)

// StartReplied handles the reply to a start order.
func (en *Entry) StartReplied(id ids.WorkerID, token Token, ref TaskRef, rep StartReply) {
	wk := en.workers[id]
	if wk == nil || wk.token != token {
		return
	}
	if rep.Started || rep.Reason != "" {
		wk.callAnswered(en.now())
	}
	sl := wk.slots[ref]
	if sl == nil || (sl.state != slotOrdered && sl.state != slotUnknown && sl.state != slotStopping) {
		return
	}
	switch {
	case rep.Started:
		if sl.starts > 1 {
			en.recordLostCall(wk, "start")
		}
		if sl.state != slotStopping {
			sl.recall = recallNone
			en.confirmSlot(wk, sl)
		}
		return
	case rep.Reason == "":
		if sl.state == slotOrdered {
			sl.state = slotUnknown
		}
		en.eff.Count("retry", "start-unanswered", 1)
		en.eff.Log("start-unanswered", "job", string(sl.job), "task", string(ref.Task), "run", int64(ref.Run),
			"worker", string(id), "detail", rep.Detail)
		return
	}
	if sl.starts > 1 && rep.Reason != RefusedFence {
		// An earlier order may have started the run, which may have ended since.
		if sl.state != slotStopping && sl.recall == recallNone {
			sl.recall, sl.recallAt = recallPoll, en.now()
			en.poll(wk, en.now())
		}
		return
	}
	en.startRefused(wk, sl, rep)
	en.match()
}

func (en *Entry) startRefused(wk *worker, sl *slot, rep StartReply) {
	en.eff.Count("retry", "start-"+string(rep.Reason), 1)
	en.eff.Log("start-refused", "job", string(sl.job), "task", string(sl.ref.Task), "run", int64(sl.ref.Run),
		"worker", string(wk.info.ID), "reason", string(rep.Reason), "token", int64(wk.token))
	how := EndNoRoom
	switch rep.Reason {
	case RefusedFence:
		if sl.starts == 1 {
			en.endSlot(wk, sl, EndNoRoom, "", 0)
		}
		en.releaseWorker(wk, "fenced")
		return
	case RefusedOld:
		how = EndOldRun
	case RefusedInvalid:
		how = EndFailed
	case RefusedTicket:
		how = EndTicket
	case RefusedUnhealthy, RefusedRoom, RefusedLifetime:
		wk.blockedUntil = en.now().Add(firstBlock)
		wk.requireHold(en.now())
	case RefusedLate:
		// The worker's clock is not as expected: it may have restarted.
		wk.requireHold(en.now())
	}
	en.endSlot(wk, sl, how, "", 0)
}

// stopSlot stops a run. Its room stays in use until the worker lists its end.
func (en *Entry) stopSlot(wk *worker, sl *slot, stopReason End) {
	if sl.state == slotGranted {
		return
	}
	sl.state, sl.stopReason = slotStopping, stopReason
	if sl.owner == "" && !sl.unclaimed && sl.leaseLimit.IsZero() {
		sl.leaseLimit = en.now().Add(en.lease)
	}
	en.sendStop(wk, sl)
}

func (en *Entry) sendStop(wk *worker, sl *slot) {
	sl.stopSent = en.now()
	wk.callSent(sl.stopSent)
	en.eff.StopTask(StopOrder{Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Ref: sl.ref})
}

// handleCheck sends an owner the ends of those runs that are not here.
func (en *Entry) handleCheck(from ids.EntryID, ms Check) {
	for _, ref := range ms.Refs {
		if how, here := en.findRun(from, ref); !here {
			en.eff.Log("run-unknown", "task", string(ref.Task), "run", int64(ref.Run), "owner", string(from), "how", string(how))
			en.send(from, Ended{Ref: ref, How: how})
		}
	}
}

// claimableOrEnding reports whether a run without an owner may still be claimed
// or has to end.
func (sl *slot) claimableOrEnding() bool {
	return sl.owner == "" && (sl.unclaimed || !sl.outlivesOwner())
}

// findRun reports whether a run of an owner is here, and otherwise how it ended.
// A run that its owner may still claim counts as here, because the owner starts
// the task again once it is informed that the run is not here.
func (en *Entry) findRun(from ids.EntryID, ref TaskRef) (End, bool) {
	for _, id := range sortedKeys(en.workers) {
		wk := en.workers[id]
		if sl := wk.slots[ref]; sl != nil && (sl.owner == from || sl.claimableOrEnding()) {
			return "", true
		}
		for _, rt := range wk.retained {
			if rt.ref == ref {
				return rt.how, false
			}
		}
	}
	return EndUnknown, false
}

// handleStop stops tasks that their owner no longer needs.
func (en *Entry) handleStop(from ids.EntryID, ms Stop) {
	for _, ref := range ms.Refs {
		for _, id := range sortedKeys(en.workers) {
			wk := en.workers[id]
			if sl := wk.slots[ref]; sl != nil && sl.owner != "" && sl.owner != from && !sl.shape.Stored {
				// The run belongs to another owner of the same job, which has used the
				// same run number.
				continue
			}
			if sl := wk.slots[ref]; sl != nil && ms.Report && sl.owner == from {
				if sl.state != slotStopping {
					en.stopSlot(wk, sl, EndStopped)
				}
			} else if sl != nil && sl.state != slotGranted && sl.state != slotStopping {
				en.detachOwner(sl)
				en.stopSlot(wk, sl, EndStopped)
			} else if sl != nil && sl.owner == from {
				en.detachOwner(sl)
			}
		}
	}
}

// dropOwner stops the tasks of an owner whose messages no longer arrive.
func (en *Entry) dropOwner(id ids.EntryID, reason string) {
	stopped := 0
	for _, wid := range sortedKeys(en.workers) {
		wk := en.workers[wid]
		for _, sl := range wk.sortedSlots() {
			if sl.owner != id {
				continue
			}
			if sl.state == slotGranted {
				en.releaseGrant(sl.grant)
				continue
			}
			if sl.outlivesOwner() {
				en.orphan(sl)
				continue
			}
			en.detachOwner(sl)
			stopped++
			if sl.state != slotStopping {
				en.stopSlot(wk, sl, EndStopped)
			}
		}
	}
	for key := range en.wants {
		if key.owner == id {
			delete(en.wants, key)
		}
	}
	if stopped > 0 {
		en.eff.Log("owner-dropped", "entry", string(id), "reason", reason, "stopped", stopped)
	}
	en.match()
}

// stopStalled stops a task that runs far longer than expected, so that its owner
// can start it elsewhere.
func (en *Entry) stopStalled(wk *worker, sl *slot, now time.Time) {
	if sl.shape.Lasting {
		return
	}
	ran := now.Sub(sl.began)
	if now.Before(en.lossyUntil) {
		// The reply that reports the end may have been lost.
		ran = wk.listsAt.Sub(sl.began)
	}
	if now.Before(en.ignoreRunTimesUntil) {
		return
	}
	expected := time.Duration(float64(sl.shape.Estimate) / wk.runFactor(sl))
	// A task that was stopped before may take longer than estimated.
	limit := max(stallFloor, time.Duration(stallFactor*float64(expected))) << (2 * min(sl.stalls, maxCountedStalls))
	if ran < limit || (float64(ran) < forcedStallFactor*float64(limit) && !en.roomElsewhere(wk, sl.shape, now)) {
		return
	}
	en.eff.Log("task-stalled", "job", string(sl.job), "task", string(sl.ref.Task), "run", int64(sl.ref.Run),
		"worker", string(wk.info.ID), "ran-ms", ran.Milliseconds(), "limit-ms", limit.Milliseconds())
	en.stopSlot(wk, sl, EndStalled)
}

// roomElsewhere reports whether another fast worker has room for a task now.
func (en *Entry) roomElsewhere(except *worker, sh Shape, now time.Time) bool {
	for _, wk := range en.workers {
		if wk != except && wk.factor(now) >= fastSpeed && wk.accepts(sh, wantKey{}, now) {
			return true
		}
	}
	for _, free := range en.reportedFree() {
		if count, best := countFree(free, sh); count > 0 && best >= fastSpeed {
			return true
		}
	}
	return false
}

func (wk *worker) anyOverdue(now time.Time) bool {
	for _, sl := range wk.slots {
		expected := float64(sl.shape.Estimate) / wk.runFactor(sl) * overdueFactor
		if sl.state == slotRunning && !sl.shape.Lasting && now.Sub(sl.began) > max(overdueFloor, time.Duration(expected)) {
			return true
		}
	}
	return false
}
