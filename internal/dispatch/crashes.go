package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A task may crash each worker that starts it. Such a task is given up: it would
// never end, and each start costs the work of all tasks on the worker.
//
// A holder can't tell a crashed worker from one that is cut off. It reports the
// runs of both as crashed, with the lifetime of the worker. When the owner decides
// whether to start the task again it counts the crashes of those lifetimes that
// have not been seen since. Crashes of a stored job are part of its row, so that
// the count survives the owner.

// Crash is a run that was lost with its worker.
type Crash struct {
	Run    Run
	Worker ids.WorkerID
	Born   int64 // the lifetime of the worker, in Unix milliseconds
	// Confirmed is set if the worker had confirmed the run. Otherwise the order may
	// have reached a worker that had crashed before.
	Confirmed bool
	// Alone is set if no other task was on the worker.
	Alone bool
	// Ran is how long the run had lasted, 0 if unknown.
	Ran time.Duration
}

// crash is a Crash as its owner knows it.
type crash struct {
	Crash
	// at is when this owner was informed. A report that is read later proves that
	// the worker was only cut off.
	at time.Time
}

// The limits on tasks that crash workers.
const (
	// maxCrashes is the number of crashes after which a task is given up.
	// maxCrashesAlone is the same if the last run was alone on its worker, so that
	// no other task can have been the cause.
	maxCrashes      = 3
	maxCrashesAlone = 2
	// maxTries is the number of runs after maxCrashesAlone crashes after which a task
	// is given up however they end. A crash may have been lost with the owner and the
	// holder, and runs of a gang are stopped with those of the others.
	maxTries = 2
	// maxLostStarts is the number of crashes after which a task is given up although
	// few of its runs had been confirmed: it may crash workers before they answer.
	maxLostStarts = 5
	// provenTime is the run time after which a long-running task counts as sound.
	// Over weeks each of them loses some workers.
	provenTime = 10 * time.Second
	// reportExpiry is the time without a report after which the row of a worker has
	// certainly been removed.
	reportExpiry = 6 * time.Second
	// crashCheckInterval is the pause before it is checked again whether a worker
	// has crashed.
	crashCheckInterval = 200 * time.Millisecond
	// maxRecordedTasks bounds the tasks with crashes in the row of a job. When many
	// workers crash at once a job of many tasks must still fit into its row.
	maxRecordedTasks = 30
)

// loseRuns ends the runs on a worker that has crashed, or that was silent until
// its lease had expired. The function lost selects the runs.
func (en *Entry) loseRuns(wk *worker, born int64, lost func(sl *slot) bool) {
	list := wk.sortedSlots()
	runs := 0
	for _, sl := range list {
		if sl.state != slotGranted {
			runs++
		}
	}
	for _, sl := range list {
		if sl.state == slotGranted {
			continue
		}
		if sl.crash == nil {
			sl.crash = &Crash{
				Run: sl.ref.Run, Worker: wk.info.ID, Born: born, Alone: runs == 1, Confirmed: sl.listed || sl.confirmed,
			}
			if !sl.beganUnknown {
				sl.crash.Ran = en.now().Sub(sl.began)
			}
		}
		if lost(sl) {
			en.endSlot(wk, sl, EndLost, "", 0)
		}
	}
}

// reportLikelyCrash informs the owners of stored jobs that the worker of their
// tasks has probably crashed. It is known for certain only seconds later, and
// until then this holder may be lost too.
func (en *Entry) reportLikelyCrash(wk *worker) {
	en.loseRuns(wk, wk.born, func(*slot) bool { return false })
	crashed := map[ids.EntryID][]PastCrash{}
	for _, sl := range wk.sortedSlots() {
		if sl.crash != nil && sl.shape.Stored && sl.owner != "" {
			crashed[sl.owner] = append(crashed[sl.owner], PastCrash{Task: sl.ref.Task, Crash: *sl.crash})
		}
	}
	for _, id := range sortedKeys(crashed) {
		en.send(id, PastEnds{Crashed: crashed[id]})
	}
}

// countTry counts a run of a task under which workers have crashed, once its worker
// has confirmed it.
func (ta *task) countTry() {
	if len(ta.crashes) >= maxCrashesAlone && ta.triedRun != ta.run {
		ta.tries, ta.triedRun = ta.tries+1, ta.run
	}
}

// clearCrashes forgets that the runs on a worker counted as lost. The worker was
// only cut off.
func (wk *worker) clearCrashes() {
	for _, sl := range wk.slots {
		if sl.crash != nil && sl.crash.Born == wk.born {
			sl.crash = nil
		}
	}
}

// keepCrash keeps a crash under a task of a stored job, for an entry that takes
// over the job.
func (en *Entry) keepCrash(id TaskID, cr Crash) {
	at, ok := parseTaskID(id)
	if !ok || !en.inOpenJob(TaskRef{Task: id, Run: cr.Run}) {
		return
	}
	kept := en.keptCrashes[at.job]
	if kept == nil {
		kept = map[TaskID][]Crash{}
		en.keptCrashes[at.job] = kept
	}
	kept[id] = append(kept[id], cr)
	kept[id] = kept[id][max(0, len(kept[id])-maxCrashes):]
}

// recordCrash records a crash under a task at its owner.
func (en *Entry) recordCrash(gr *group, ta *task, cr Crash) {
	jb := gr.job
	if cr.Run <= ta.provenRun || slices.ContainsFunc(ta.crashes, func(old crash) bool { return old.Run == cr.Run }) {
		return
	}
	if cr.Ran == 0 && cr.Run == ta.run && !ta.placedAt.IsZero() {
		cr.Ran = en.now().Sub(ta.placedAt)
	}
	if gr.shape.Lasting && cr.Ran == 0 {
		// The task may have run for weeks.
		return
	}
	ta.crashes = append(ta.crashes, crash{Crash: cr, at: en.now()})
	if gr.shape.Lasting && cr.Ran > provenTime {
		ta.provenRun = cr.Run
		ta.crashes = slices.DeleteFunc(ta.crashes, func(old crash) bool { return old.Run <= cr.Run })
	}
	en.eff.Count("task", "crashes", 1)
	en.eff.Log("task-crashed", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(cr.Run), "worker", string(cr.Worker),
		"born", cr.Born, "confirmed", cr.Confirmed, "alone", cr.Alone, "ran-ms", cr.Ran.Milliseconds(), "crashes", len(ta.crashes))
	if jb.stored != nil {
		jb.stored.rec.setCrashes(taskName(ta.id), ta.crashes)
		// The owner may be lost next, so the row is written at once.
		jb.stored.dirty, jb.stored.dirtyAt = true, en.now().Add(-endWriteDelay)
	}
}

// setCrashes sets the crashes under a task in the row of its job.
func (re *JobRecord) setCrashes(name string, list []crash) {
	if len(list) == 0 {
		delete(re.Crashes, name)
		return
	}
	if re.Crashes == nil {
		re.Crashes = map[string][]Crash{}
	}
	if re.Crashes[name] == nil && len(re.Crashes) >= maxRecordedTasks {
		return
	}
	crashes := make([]Crash, 0, len(list))
	for _, cr := range list {
		crashes = append(crashes, cr.Crash)
	}
	re.Crashes[name] = crashes
}

// recordLostWorker records a crash if the worker of a run that was lost together
// with its holder has ended since.
func (en *Entry) recordLostWorker(gr *group, ta *task) {
	if ta.worker == "" || ta.born == 0 {
		return
	}
	kw := en.known[ta.worker]
	if kw != nil && (kw.info.State == WorkerDraining || (kw.removedAt.IsZero() && kw.info.Born == ta.born)) {
		return
	}
	en.recordCrash(gr, ta, Crash{
		Run: ta.run, Worker: ta.worker, Born: ta.born, Confirmed: true, Ran: gr.job.lostAt.Sub(ta.placedAt),
	})
}

// crashState states whether a worker has crashed.
type crashState int

const (
	crashRefuted   crashState = iota // the same lifetime has been seen since
	crashPending                     // its report is still listed
	crashConfirmed                   // its row is gone, or names another lifetime
)

// stateOf compares a crash with the latest report of the worker.
func (en *Entry) stateOf(cr crash) crashState {
	now := en.now()
	kw := en.known[cr.Worker]
	switch {
	case kw == nil || !kw.removedAt.IsZero() || kw.info.Born != cr.Born:
		return crashConfirmed
	case kw.reportedAfter.After(cr.at):
		return crashRefuted
	case now.Sub(cr.at) > reportExpiry && now.Sub(en.rowsMissedAt) > reportExpiry:
		return crashRefuted
	}
	return crashPending
}

// crashesStored reports whether the row of a stored job has all crashes under a
// task. Otherwise they would be forgotten if this owner were lost.
func (en *Entry) crashesStored(gr *group, ta *task) bool {
	name := taskName(ta.id)
	st, re := gr.job.stored, en.records[gr.job.Job.ID]
	if st == nil || st.rec.Crashes[name] == nil {
		return true
	}
	return re != nil && !slices.ContainsFunc(ta.crashes, func(cr crash) bool {
		return !slices.ContainsFunc(re.Crashes[name], func(other Crash) bool { return other.Run == cr.Run })
	})
}

// crashVerdict states what an owner does with a task under which workers have
// crashed.
type crashVerdict int

const (
	crashStartAgain crashVerdict = iota
	crashWait                    // until it is known whether the workers have crashed, or until the crashes are stored
	crashGiveUp
)

// judge decides whether a task may be started again.
func (en *Entry) judge(gr *group, ta *task) crashVerdict {
	if len(ta.crashes) < maxCrashesAlone {
		return crashStartAgain
	}
	ta.crashes = slices.DeleteFunc(ta.crashes, func(cr crash) bool { return en.stateOf(cr) == crashRefuted })
	confirmed, limit := 0, maxCrashes
	for _, cr := range ta.crashes {
		if !cr.Confirmed {
			continue
		}
		confirmed++
		if confirmed == maxCrashesAlone && cr.Alone && !gr.shape.Lasting {
			limit = maxCrashesAlone
		}
	}
	tried := confirmed >= maxCrashesAlone && ta.tries >= maxTries && !gr.shape.Lasting
	switch {
	case confirmed < limit && len(ta.crashes) < maxLostStarts && !tried:
		if len(ta.crashes) >= maxCrashesAlone && !en.crashesStored(gr, ta) {
			return crashWait
		}
		return crashStartAgain
	case gr.job.stored != nil && slices.ContainsFunc(ta.crashes, func(cr crash) bool { return en.stateOf(cr) == crashPending }):
		// The caller of a job that is not stored has no time for that.
		return crashWait
	}
	return crashGiveUp
}

// holdBack gives up a task that crashes its workers, or makes it wait until that
// is known. It reports whether the task must not be queued.
func (en *Entry) holdBack(gr *group, ta *task) bool {
	jb := gr.job
	switch en.judge(gr, ta) {
	case crashWait:
		ta.state, ta.waitUntil = taskBackoff, en.now().Add(crashCheckInterval)
		return true
	case crashGiveUp:
		ta.state = taskFailed
		en.eff.Count("task", "given-up", 1)
		en.eff.Log("task-given-up", "job", string(jb.Job.ID), "task", string(ta.id), "crashes", len(ta.crashes))
		if jb.stored != nil {
			en.writeFinalState(jb, JobFailed)
		} else {
			en.finish(jb, Outcome{Kind: Failed, Reason: "crashes"})
		}
		return true
	default:
		return false
	}
}

// PastCrash is a crash under a task of a job that another entry has taken over.
type PastCrash struct {
	Task  TaskID
	Crash Crash
}

// crashesOf lists the crashes that this holder keeps under the tasks of a job.
func (en *Entry) crashesOf(id ids.JobID) []PastCrash {
	var list []PastCrash
	for _, task := range sortedKeys(en.keptCrashes[id]) {
		for _, cr := range en.keptCrashes[id][task] {
			list = append(list, PastCrash{Task: task, Crash: cr})
		}
	}
	return list
}

// applyPastCrash records a crash that a former owner may not have stored.
func (en *Entry) applyPastCrash(pc PastCrash) {
	gr, ta := en.task(pc.Task)
	if ta != nil && gr.job.stored != nil && ta.state != taskDone && ta.state != taskFailed {
		en.recordCrash(gr, ta, pc.Crash)
	}
}
