package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

func (en *Entry) handleRunning(from ids.EntryID, ms Running) {
	gr, ta := en.currentTask(ms.Ref)
	if ta == nil || ta.holder != from {
		return
	}
	ta.state, ta.worker = taskRunning, ms.Worker
	ta.countTry()
	en.observeWait(gr, ta, en.now())
	if kw := en.known[ms.Worker]; kw != nil {
		ta.born = kw.info.Born
	}
	if !gr.job.begun {
		gr.job.begun = true
		en.eff.Observe("job.first-start", en.now().Sub(gr.job.Arrived))
		if gr.job.stored != nil {
			if re := en.records[gr.job.Job.ID]; re != nil {
				re.begun = true
			}
			en.broadcastJob(gr.job)
		}
	}
}

// handleEnded handles the end of a run and decides how the task continues.
func (en *Entry) handleEnded(from ids.EntryID, ms Ended) {
	gr, ta := en.currentTask(ms.Ref)
	if ta == nil {
		return
	}
	if ms.How == EndUnknown {
		// The worker may have passed to another holder, which reports the run or
		// stops it within lostTaskTimeout.
		if ta.atHolder() && ta.holder == from {
			en.markLost(gr, ta, en.now().Add(lostTaskTimeout))
		}
		return
	}
	if (ms.How == EndLost || ms.How == EndCrashed) && from != ta.holder {
		// The lease that has expired at the previous holder may have been extended by
		// the present one.
		return
	}
	jb := gr.job
	if ms.Checkpoint != "" {
		ta.checkpointRun = ms.Ref.Run
		gr.setCheckpoint(ta, ms.Checkpoint)
	}
	if ms.How == EndCrashed {
		en.recordCrash(gr, ta, ms.Crash)
	}
	if ms.How == EndTicket {
		gr.dropTicket(ms.Worker)
		ms.How = EndNoRoom
	}
	if ms.How != EndNoRoom && ms.How != EndOldRun {
		jb.begun = true
	}
	switch {
	case gr.shape.Lasting && ms.How != EndNoRoom && ms.How != EndOldRun:
		en.logRetry(jb, ta, ms, from)
		en.backOff(ta, ms.How)
		return
	case ms.How == EndDone:
		en.completeTask(gr, ta, from, ms.Work)
		return
	case ms.How == EndFailed:
		if en.failTask(gr, ta, from, ms) {
			return
		}
	case ms.How == EndOldRun:
		ta.run += runNumberStep
	case ms.How == EndNoRoom:
	default:
		if ms.How == EndStalled {
			ta.stalls++
		}
		en.logRetry(jb, ta, ms, from)
	}
	en.requeue(gr, ta, ms.How == EndNoRoom)
}

func (en *Entry) logRetry(jb *job, ta *task, ms Ended, from ids.EntryID) {
	en.eff.Count("retry", string(ms.How), 1)
	en.eff.Log("task-again", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(ta.run),
		"worker", string(ms.Worker), "holder", string(from), "reason", string(ms.How))
}

// completeTask marks a task as done, and with it all tasks of its gang.
func (en *Entry) completeTask(gr *group, ta *task, from ids.EntryID, work time.Duration) {
	en.learn(gr.job, gr, work)
	together := []*task{ta}
	if gr.shape.Gang {
		together = gr.tasks
	}
	for _, other := range together {
		if other.state == taskDone {
			continue
		}
		holder := from
		if other != ta {
			other.run, holder = ta.run, other.holder
		}
		other.state = taskDone
		if gr.job.stored != nil {
			en.recordEnd(gr.job, other.ref(), holder, EndDone)
		}
	}
	en.advance(gr.job)
}

// failTask records that a run of a task has failed, and reports whether the job
// has ended because of it.
func (en *Entry) failTask(gr *group, ta *task, from ids.EntryID, ms Ended) bool {
	jb := gr.job
	gr.failedAt = en.now()
	if gr.avoidHolders == nil {
		gr.avoidHolders = map[ids.EntryID]bool{}
	}
	gr.avoidHolders[from] = true
	failed := en.countFailure(gr, ta, ta.ref(), from)
	en.eff.Log("task-failed", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(ta.run),
		"worker", string(ms.Worker), "holder", string(from), "failed", failed, "attempts", jb.Queue.MaxAttempts)
	if failed < jb.Queue.MaxAttempts {
		return false
	}
	if jb.stored != nil {
		ta.state = taskFailed
		en.writeFinalState(jb, JobFailed)
		return true
	}
	en.finish(jb, Outcome{Kind: Failed, Reason: "attempts"})
	return true
}

// countFailure counts a failed run of a task, and returns how often the task has
// failed, or its gang: runs of different tasks of a gang add up.
func (en *Entry) countFailure(gr *group, ta *task, ref TaskRef, from ids.EntryID) int {
	ta.failed++
	failed := ta.failed
	if gr.shape.Gang {
		failed = gr.addFailedRun(ref.Run)
	}
	if gr.job.stored != nil {
		en.recordEnd(gr.job, ref, from, EndFailed)
	}
	return failed
}

// lastingBackoff is the backoff before a long-running task that has ended by
// itself is restarted. Without it a task that fails at once would be restarted in a
// tight loop.
const lastingBackoff = 300 * time.Millisecond

// backOff makes a long-running task wait before it is queued again: for
// lastingBackoff after a run that ended as done or failed, else until the next
// tick.
func (en *Entry) backOff(ta *task, how End) {
	ta.state, ta.holder, ta.worker, ta.token, ta.waitUntil = taskBackoff, "", "", 0, en.now()
	if how == EndDone || how == EndFailed {
		ta.waitUntil = en.now().Add(lastingBackoff)
	}
}

// setCheckpoint records the checkpoint that a run has saved. A checkpoint of one
// task of a gang is valid for all of them.
func (gr *group) setCheckpoint(ta *task, checkpoint string) {
	if !gr.shape.Gang {
		ta.checkpoint = checkpoint
		return
	}
	for _, other := range gr.tasks {
		other.checkpoint = checkpoint
	}
}

// requeue queues a task again. The other tasks of its gang are stopped.
func (en *Entry) requeue(gr *group, ta *task, noRoom bool) {
	if en.jobs[gr.job.Job.ID] != gr.job {
		// The job was given up because of another task.
		return
	}
	ta.state, ta.holder, ta.worker, ta.token, ta.born = taskQueued, "", "", 0, 0
	heldBack := en.holdBack(gr, ta)
	if en.jobs[gr.job.Job.ID] != gr.job {
		return
	}
	if gr.shape.Gang {
		en.stopGang(gr)
		return
	}
	if heldBack {
		return
	}
	if noRoom && !gr.shape.Advised {
		en.sendWants(gr)
		return
	}
	en.place(gr)
}

func (en *Entry) learn(jb *job, gr *group, work time.Duration) {
	es := en.estimators[jb.Queue.Name]
	if es == nil {
		es = &estimator{}
		en.estimators[jb.Queue.Name] = es
	}
	es.learn(jb.Job.Steps[gr.step].Estimate, work)
}
