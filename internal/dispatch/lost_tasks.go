package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// markHolderLost marks the tasks at an entry as lost after its session has
// ended. It returns the runs of those that are not long-running.
func (en *Entry) markHolderLost(id ids.EntryID) []TaskRef {
	until := en.now().Add(lostTaskTimeout)
	var lost []TaskRef
	for _, gid := range sortedKeys(en.groups) {
		gr := en.groups[gid]
		delete(gr.wantedFrom, id)
		for _, ta := range gr.tasks {
			if ta.holder != id || !ta.atHolder() {
				continue
			}
			if !gr.shape.Lasting {
				lost = append(lost, ta.ref())
			}
			en.markLost(gr, ta, until)
		}
	}
	return lost
}

// dropHolder marks the tasks at an entry as lost when messages can be sent to it
// but its messages no longer arrive. It may not have detected the loss of its
// messages, so it is asked to stop the tasks.
func (en *Entry) dropHolder(id ids.EntryID) {
	if lost := en.markHolderLost(id); len(lost) > 0 {
		en.send(id, Stop{Refs: lost})
	}
}

func (en *Entry) markLost(gr *group, ta *task, until time.Time) {
	gr.job.begun = true
	gr.job.answered, gr.job.lostAt = nil, en.now()
	ta.state, ta.waitUntil = taskLost, until
}

// handleReleased marks the tasks on a released worker as lost until its next
// holder reports them.
func (en *Entry) handleReleased(from ids.EntryID, ms Released) {
	until := en.now().Add(lostTaskTimeout)
	for _, gr := range en.groups {
		for _, ta := range gr.tasks {
			if ta.holder == from && ta.worker == ms.Worker && ta.state == taskRunning {
				en.markLost(gr, ta, until)
			}
		}
	}
}

// mayRunOn reports whether a run that a new holder has found on a worker can be
// the latest run of a task. A caller may have sent the same job to another entry
// before. That entry uses the same run numbers and may have left a run on that
// worker. For stored jobs this cannot happen, because each owner uses a
// different range of run numbers. If the task has just been placed and its
// worker is not known yet, the run is not the latest one: the previous holder of
// the worker would have reported the worker.
func (gr *group) mayRunOn(ta *task, id ids.WorkerID) bool {
	return gr.job.stored != nil || ta.worker == id || (ta.worker == "" && ta.state == taskLost)
}

// handleAdopt claims the tasks that a new holder has found on a worker.
func (en *Entry) handleAdopt(from ids.EntryID, ms Adopt) {
	reply := Adopted{Worker: ms.Worker}
	now := en.now()
	reached := from == en.id || en.session(from).bidirectional()
	for _, ref := range ms.Running {
		gr, ta := en.currentTask(ref)
		// The holder would stop the task if the claim did not reach it.
		if ta == nil || gr.job.suspended || !reached || !gr.mayRunOn(ta, ms.Worker) {
			continue
		}
		if ta.worker == ms.Worker && ms.Token != 0 && ms.Token < ta.token {
			// A later holder of the worker has already claimed the run.
			continue
		}
		ta.state, ta.holder, ta.worker, ta.token = taskRunning, from, ms.Worker, ms.Token
		gr.job.begun = true
		reply.Keep = append(reply.Keep, Kept{Ref: ref, Group: gr.id, Job: gr.job.Job.ID, Shape: gr.currentShape(now), Ran: now.Sub(ta.placedAt)})
	}
	for _, ed := range ms.Ended {
		gr, ta := en.currentTask(ed.Ref)
		switch {
		case ta == nil:
			en.applyPastEnd(from, ed)
		case !gr.mayRunOn(ta, ms.Worker):
		case ta.worker == "" && gr.job.stored == nil && ed.How != EndDone:
			// The lost run may be on another worker, which this owner has no record of,
			// and may still run there.
		default:
			en.handleEnded(from, ed)
		}
	}
	en.send(from, reply)
}

// checkInterval is the interval at which holders are asked for the tasks placed
// there. It finds tasks whose messages were lost with a session.
const checkInterval = time.Second

// checkHolders asks the holders whether they still have the tasks placed there.
func (en *Entry) checkHolders(now time.Time) {
	if now.Sub(en.lastHolderCheckAt) < checkInterval {
		return
	}
	en.lastHolderCheckAt = now
	checks := tasksByHolder{}
	for _, gid := range sortedKeys(en.groups) {
		for _, ta := range en.groups[gid].tasks {
			switch {
			case !ta.atHolder():
			case !en.canSend(ta.holder):
				// The session ended while the task was being sent.
				en.markLost(en.groups[gid], ta, now.Add(lostTaskTimeout))
			case now.Sub(ta.placedAt) > checkInterval:
				checks.add(ta)
			}
		}
	}
	en.sendEach(checks, func(refs []TaskRef) Message { return Check{Refs: refs} })
}

// requeueWaiting queues lost tasks again after the time by which their runs have
// stopped, unless their ends may still arrive, and tasks in backoff after it.
func (en *Entry) requeueWaiting(jb *job, now time.Time) {
	if jb.suspended {
		return
	}
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			switch {
			case ta.state == taskBackoff && !now.Before(ta.waitUntil):
				en.requeue(gr, ta, false)
			case ta.state == taskLost && now.After(ta.waitUntil) && !en.endMayArrive(gr, now):
				en.eff.Count("retry", "holder-lost", 1)
				en.recordLostWorker(gr, ta)
				en.eff.Log("task-again", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(ta.run),
					"worker", string(ta.worker), "holder", string(ta.holder), "reason", "holder-lost")
				en.requeue(gr, ta, false)
			}
		}
	}
}
