package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Tasks that last go on without their owner: when its session ends the holder
// keeps them, until the owner, or the one that takes over the job, asks for
// them. Only a holder that has been cut off for long stops them.
const (
	// lastingFence is how long a holder that is cut off keeps tasks without an
	// owner.
	lastingFence = 15 * time.Second
	// lastingSilence is how long an owner waits for a holder that is silent
	// together with its workers: lastingFence, and the time to stop.
	lastingSilence = lastingFence + 2*time.Second
	// lastingTime is the time that a lasting task is said to have left, so that
	// it ranks after work that is due and is never given up as late.
	lastingTime = time.Minute
)

// keeps tells whether a slot is kept when its owner can't be heard.
func (sl *slot) keeps() bool {
	return sl.shape.Lasting && sl.shape.Stored && sl.state != slotGranted && sl.state != slotStopping
}

// orphan keeps a lasting task without an owner.
func (en *Entry) orphan(sl *slot) {
	sl.owner, sl.orphanedAt = "", en.now()
}

// tickLasting stops a lasting task that nobody will ask for, and one whose
// worker leaves while there is room elsewhere.
func (en *Entry) tickLasting(wk *worker, sl *slot, now time.Time) {
	if !sl.keeps() {
		return
	}
	re := en.recordOf(sl.ref.Task)
	reason := ""
	switch {
	case sl.owner != "":
		if wk.info.State == WorkerDraining && sl.state == slotRunning && en.roomElsewhere(wk, sl.shape, now) {
			reason = "worker leaves"
		}
	case re != nil && re.State.over():
		reason = "job over"
	case re == nil && en.readAt[TableJobs].After(sl.orphanedAt):
		reason = "no such job"
	case re != nil && !re.lasts(sl.ref.Task):
		reason = "no owner"
	case en.cutOff(now, lastingFence):
		reason = "cut off"
	}
	if reason == "" {
		sl.foreign = sl.foreign && re == nil
		return
	}
	en.eff.Log("lasting-stopped", "task", string(sl.ref.Task), "run", int64(sl.ref.Run), "worker", string(wk.info.ID),
		"reason", reason, "owner", string(sl.owner))
	en.stopSlot(wk, sl, EndStopped)
}

// mayLast tells whether a run that no owner has claimed may be a lasting task.
func (en *Entry) mayLast(ref TaskRef) bool {
	if _, ok := splitTask(ref.Task); !ok {
		return false
	}
	re := en.recordOf(ref.Task)
	return (re != nil && re.lasts(ref.Task) && !re.State.over()) || (re == nil && en.readAt[TableJobs].IsZero())
}

// lastingRuns lists the lasting tasks of jobs that run here, and tells whether
// the list is complete. Only the owner that the row of the job names may take
// tasks from another one.
func (en *Entry) lastingRuns(from ids.EntryID, wk *worker, jobs map[ids.JobID]bool) ([]Running, bool) {
	var list []Running
	for _, sl := range wk.list() {
		at, ok := splitTask(sl.ref.Task)
		if !ok || !jobs[at.job] || !sl.keeps() {
			continue
		}
		re := en.records[at.job]
		named := re != nil && re.Owner.Entry() == from
		if sl.state != slotRunning || (sl.owner != "" && sl.owner != from && !named) {
			return nil, false
		}
		list = append(list, Running{Ref: sl.ref, Worker: wk.info.ID})
	}
	return list, true
}

// adoptRunning takes a lasting task that a holder has kept, or has it stopped
// when another run has replaced it.
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
		{Ref: ru.Ref, Group: gr.id, Job: gr.job.Job.ID, Shape: gr.current(en.now())},
	}})
}
