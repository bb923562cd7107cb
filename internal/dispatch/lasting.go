package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Long-running tasks (Shape.Lasting) run until their job is cancelled. They
// outlive the session of their owner: the holder keeps them running until the
// owner, or the entry that takes over the job, asks for them. The holder stops
// them only when it has been partitioned for lastingFence.
const (
	// lastingFence is how long a partitioned holder keeps long-running tasks that
	// have no owner.
	lastingFence = 15 * time.Second
	// lastingTimeout is how long an owner waits for a holder that is silent
	// together with its workers. It is lastingFence plus the time that the holder
	// needs to stop the tasks.
	lastingTimeout = lastingFence + 2*time.Second
	// lastingTimeLeft is the remaining time that owners report for long-running
	// tasks, so that these rank after work that is due and are never dropped as
	// late.
	lastingTimeLeft = time.Minute
)

// outlivesOwner reports whether a slot is kept when the session of its owner
// ends.
func (sl *slot) outlivesOwner() bool {
	return sl.shape.Lasting && sl.shape.Stored && sl.state != slotGranted && sl.state != slotStopping
}

// orphan removes the owner of a long-running task that keeps running.
func (en *Entry) orphan(sl *slot) {
	sl.owner, sl.orphanedAt = "", en.now()
}

// tickLasting stops a long-running task that no owner will ask for, and one
// whose worker is draining while there is room elsewhere.
func (en *Entry) tickLasting(wk *worker, sl *slot, now time.Time) {
	if !sl.outlivesOwner() {
		return
	}
	re := en.recordOf(sl.ref.Task)
	reason := ""
	switch {
	case sl.owner != "":
		if wk.info.State == WorkerDraining && sl.state == slotRunning && en.roomElsewhere(wk, sl.shape, now) && en.mayStop(sl, now) {
			reason = "worker draining"
		}
	case re != nil && re.State.ended():
		reason = "job ended"
	case re == nil && en.readAt[TableJobs].After(sl.orphanedAt):
		reason = "no such job"
	case re != nil && !re.isLasting(sl.ref.Task):
		reason = "not long-running"
	case en.partitioned(now, lastingFence):
		reason = "partitioned"
	}
	if reason == "" {
		sl.unclaimed = sl.unclaimed && re == nil
		return
	}
	en.eff.Log("lasting-stopped", "task", string(sl.ref.Task), "run", int64(sl.ref.Run), "worker", string(wk.info.ID),
		"reason", reason, "owner", string(sl.owner))
	en.stopSlot(wk, sl, EndStopped)
}

// mayBeLasting reports whether a run that no owner has claimed may be a
// long-running task.
func (en *Entry) mayBeLasting(ref TaskRef) bool {
	if _, ok := parseTaskID(ref.Task); !ok {
		return false
	}
	re := en.recordOf(ref.Task)
	return (re != nil && re.isLasting(ref.Task) && !re.State.ended()) || (re == nil && en.readAt[TableJobs].IsZero())
}

// lastingRuns lists the long-running tasks of the jobs that run on a worker, and
// reports whether the list is complete. Only the owner in the row of a job may
// take a task from another owner.
func (en *Entry) lastingRuns(from ids.EntryID, wk *worker, jobs map[ids.JobID]bool) ([]Running, bool) {
	var list []Running
	for _, sl := range wk.sortedSlots() {
		at, ok := parseTaskID(sl.ref.Task)
		if !ok || !jobs[at.job] || !sl.outlivesOwner() {
			continue
		}
		re := en.records[at.job]
		ownsRow := re != nil && re.Owner.Entry() == from
		if sl.state != slotRunning || (sl.owner != "" && sl.owner != from && !ownsRow) {
			return nil, false
		}
		list = append(list, Running{Ref: sl.ref, Worker: wk.info.ID})
	}
	return list, true
}

// adoptRunning claims a long-running task that a holder has kept running, or
// stops it if another run has superseded it.
func (en *Entry) adoptRunning(from ids.EntryID, ru Running) {
	gr, ta := en.task(ru.Ref.Task)
	if ta == nil || gr.job.suspended || !gr.shape.Lasting {
		return
	}
	known := ta.run == ru.Ref.Run && ta.holder == from && (ta.state == taskRunning || ta.state == taskPlaced)
	if !known && (ta.state != taskLost || (ta.sent && ta.run != ru.Ref.Run)) {
		en.send(from, Stop{Refs: []TaskRef{ru.Ref}})
		return
	}
	if !known {
		en.eff.Log("lasting-adopted", "task", string(ta.id), "run", int64(ru.Ref.Run), "holder", string(from), "worker", string(ru.Worker))
	}
	ta.state, ta.run, ta.holder, ta.worker, ta.placedAt = taskRunning, ru.Ref.Run, from, ru.Worker, en.now()
	gr.job.begun = true
	en.send(from, Adopted{Worker: ru.Worker, Keep: []Kept{
		{Ref: ru.Ref, Group: gr.id, Job: gr.job.Job.ID, Shape: gr.currentShape(en.now())},
	}})
}
