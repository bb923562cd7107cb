package dispatch

import (
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

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
			ref: ref, state: slotStopping, unclaimed: true, listed: true, began: en.now(), beganUnknown: true, stopReason: EndStopped,
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
		sl.group, sl.job, sl.cold = kp.Group, kp.Job, wk.isCold(en.now())
		if kp.Ran > 0 {
			sl.began, sl.beganUnknown = en.now().Add(-kp.Ran), false
		}
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
