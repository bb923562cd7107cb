package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// partitioned reports whether no heartbeat of this entry has been stored for
// the given time and there is a member without a session from this entry, which
// therefore has no proof that this entry is alive.
func (en *Entry) partitioned(now time.Time, silence time.Duration) bool {
	if en.lastBeatSent.IsZero() || now.Sub(en.lastBeatSent) < silence {
		return false
	}
	for id := range en.members {
		if se := en.sessions[id]; se == nil || !se.up {
			return true
		}
	}
	return false
}

// claimInterval is the interval at which an entry searches for jobs to take over.
const claimInterval = 200 * time.Millisecond

// suspend stops the tasks of a job and places no more until it is resumed.
// Long-running tasks are left to their holders.
func (en *Entry) suspend(jb *job, now time.Time) {
	if jb.suspended {
		return
	}
	jb.suspended = true
	stops := tasksByHolder{}
	for _, gr := range jb.groups {
		en.withdrawWants(gr)
		for _, ta := range gr.tasks {
			if !ta.atHolder() {
				continue
			}
			if !gr.shape.Lasting {
				stops.add(ta)
			}
			en.markLost(gr, ta, now.Add(lostTaskTimeout))
		}
	}
	en.sendEach(stops, stopMessage)
}

// resume places the tasks of a suspended job, once its row shows that this entry owns
// it.
func (en *Entry) resume(jb *job) {
	jb.suspended = false
	for _, gr := range jb.groups {
		en.place(gr)
	}
}

// releaseJob gives up the ownership of a job during a shutdown once none of its
// tasks is active. After shutdownGrace it stops the tasks that still run.
func (en *Entry) releaseJob(jb *job, now time.Time) {
	st := jb.stored
	if !st.accepted || st.rec.State.ended() || st.rec.Owner == "" || st.writing {
		return
	}
	if jb.hasActiveTask() {
		// Another entry takes the job over once this one is gone.
		if now.Sub(en.leavingSince) > shutdownGrace {
			en.suspend(jb, now)
		}
		return
	}
	jb.suspended = true
	st.rec.Owner = ""
	st.dirty, st.dirtyAt = true, now
	en.writeJob(jb)
}

// hasActiveTask reports whether a task of the job that is not long-running is
// at a holder, or may be.
func (jb *job) hasActiveTask() bool {
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if !gr.shape.Lasting && (ta.atHolder() || ta.state == taskLost) {
				return true
			}
		}
	}
	return false
}

// ownerGone reports whether the owner of a job can no longer start tasks.
func (en *Entry) ownerGone(inc ids.Incarnation, now time.Time) bool {
	return en.goneOrSilent(inc, now, ownerTimeout)
}

// goneOrSilent reports whether an incarnation is dead, or has had neither a
// session with this entry nor a heartbeat in the store for the given time.
func (en *Entry) goneOrSilent(inc ids.Incarnation, now time.Time, silence time.Duration) bool {
	if inc == en.self.Incarnation {
		return false
	}
	if inc == "" || inc.Entry() == en.id {
		return true
	}
	if en.Replaced(inc) {
		return true
	}
	if en.session(inc.Entry()).up {
		return false
	}
	// The row of an entry that has just started may not have been read yet.
	// The time then counts from when the incarnation was first seen.
	lastSeen := en.incarnationRecord(inc).firstSeen
	if mb := en.members[inc.Entry()]; mb != nil && mb.Incarnation == inc {
		lastSeen = mb.heartbeatAt
	}
	return now.Sub(lastSeen) > silence && now.Sub(en.rowsMissedAt) > silence
}

// claimJobs takes over jobs whose owners are gone, and removes the rows of jobs
// that ended more than recordRetention ago.
func (en *Entry) claimJobs(now time.Time) {
	if en.leaving || en.fenced || en.readAt[TableJobs].IsZero() {
		return
	}
	for len(en.endedRecords) > 0 && now.Sub(en.endedRecords[0].endedAt) > recordRetention {
		re := en.endedRecords[0]
		en.endedRecords = en.endedRecords[1:]
		if en.records[re.ID] == re && !en.removeRecord(re) {
			// The owner is alive and removes the row itself. This entry tries again
			// later, in case the owner dies first.
			re.endedAt = now
			en.endedRecords = append(en.endedRecords, re)
		}
	}
	ro := en.topology.roster
	count := 0
	for _, id := range sortedKeys(en.openRecords) {
		re := en.openRecords[id]
		if re.loading || en.jobs[id] != nil || !en.ownerGone(re.Owner, now) || count >= maxClaims {
			continue
		}
		if ro.assigned(string(id), "") == en.self.Incarnation {
			count++
			re.loading = true
			en.eff.LoadJob(id)
		}
	}
}

// removeRecord removes the row of a job that ended long ago, if this entry is
// the last owner or the last owner is gone.
func (en *Entry) removeRecord(re *record) bool {
	if re.Owner != en.self.Incarnation && !en.ownerGone(re.Owner, en.now()) {
		return false
	}
	delete(en.records, re.ID)
	en.eff.StoreJob(JobWrite{Record: re.JobRecord, Expected: re.Version, Remove: true})
	return true
}

// claimJob makes this entry the owner of a job whose owner is gone.
func (en *Entry) claimJob(re *record, body Job) {
	if re.State.ended() || en.jobs[re.ID] != nil || !en.ownerGone(re.Owner, en.now()) {
		return
	}
	qu, ok := en.findQueue(re.Queue)
	if !ok && body.Route == nil {
		// Rows written by earlier versions do not say what the queue was.
		return
	}
	if !ok {
		qu = *body.Route
	}
	rec := re.clone()
	before := rec.Owner
	rec.Owner = en.self.Incarnation
	rec.Epoch++
	// The route may lead to another service than at the submission.
	rec.Service = qu.Service
	en.nameService(qu.Service)
	rec.StepTasks = body.stepTasks()
	jb := &job{
		Submission: Submission{Job: body, Queue: qu, Arrived: en.now(), Done: func(Outcome) {}},
		begun:      re.begun,
		stored:     &storedJob{rec: rec, accepted: true},
		lostAt:     en.now(),
		// Another entry may claim the job too. The stored claim decides, see resume.
		suspended:      true,
		runBase:        Run(rec.Epoch * runNumberStep),
		inheritedUntil: en.now(),
	}
	if before != "" {
		// The previous owner's tasks may still run for up to lostTaskTimeout.
		jb.inheritedUntil = en.now().Add(lostTaskTimeout)
	}
	en.jobs[re.ID] = jb
	en.eff.Log("job-claimed", "job", string(re.ID), "before", string(before), "epoch", rec.Epoch, "done", len(rec.Done))
	en.prepare(jb)
	en.writeJob(jb)
	en.advance(jb)
}

// restoreTasks restores the tasks of an occurrence from the row of a job that
// was taken over.
func (en *Entry) restoreTasks(jb *job, oc *occurrence) {
	rec := &jb.stored.rec
	oc.inherited = !en.now().After(jb.inheritedUntil)
	for _, gr := range oc.groups {
		for _, ta := range gr.tasks {
			name := taskName(ta.id)
			ta.run, ta.failed = jb.runBase, rec.failures(name)
			if gr.shape.Gang {
				for _, run := range rec.Fails[name] {
					gr.addFailedRun(run)
				}
				if before := rec.FailsBefore[name]; before > gr.gang.failedBefore {
					// Other tasks may list the same runs, so only those of one task count.
					gr.gang.failedBefore, gr.gang.failedFloor = before, slices.Min(rec.Fails[name])
				}
			}
			for _, cr := range rec.Crashes[name] {
				ta.crashes = append(ta.crashes, crash{Crash: cr, at: en.now()})
			}
			if run, done := rec.Done[name]; done {
				ta.state, ta.run = taskDone, run
			}
		}
	}
}

// occurrenceDone reports whether all tasks of an occurrence are done according
// to the row of the job.
func (jb *job) occurrenceDone(num int) bool {
	if jb.stored == nil {
		return false
	}
	for step, st := range jb.Job.Steps {
		for idx := range st.Count {
			if _, done := jb.stored.rec.Done[fmt.Sprintf("%d.%d.%d", num, step, idx)]; !done {
				return false
			}
		}
	}
	return true
}

// Claimed is sent by the owner of stored jobs to a holder. It asks for the ends
// of the jobs' tasks that are not stored yet; the holder answers with PastEnds.
type Claimed struct {
	Jobs []ids.JobID
}

// PastEnds answers Claimed.
type PastEnds struct {
	Jobs []ids.JobID
	Ends []Ended
	// Running holds the long-running tasks that still run.
	Running []Running
	// Saved holds the checkpoints that ended runs had saved.
	Saved []SavedRun
	// Crashed holds the runs that were lost with their workers.
	Crashed []PastCrash
	// Held holds the workers that the answer covers.
	Held []HolderRow
	// Unreached is set when the sender has not reached one of its workers yet.
	// The previous holder may still use that worker and keep long-running tasks
	// there.
	Unreached bool
}

// runsTaskOf reports whether the worker has a slot for a task of one of the
// jobs that is not long-running.
func (wk *worker) runsTaskOf(jobs map[ids.JobID]bool) bool {
	for ref, sl := range wk.slots {
		at, ok := parseTaskID(ref.Task)
		if ok && sl.state != slotGranted && !sl.shape.Lasting && jobs[at.job] {
			return true
		}
	}
	return false
}

// pastEndsInterval is the interval at which an owner asks for the ends of a
// job's tasks.
const pastEndsInterval = 200 * time.Millisecond

// requestPastEnds asks the reachable entries that have not yet answered for the
// ends of a job's tasks, while the job has lost tasks.
func (en *Entry) requestPastEnds(jb *job, now time.Time) {
	if jb.suspended || now.Sub(jb.askedAt) < pastEndsInterval || !jb.hasLostTask() {
		return
	}
	jb.askedAt = now
	for _, id := range en.reachable() {
		if !jb.answered[id] {
			en.send(id, Claimed{Jobs: []ids.JobID{jb.Job.ID}})
		}
	}
}

// hasLostTask reports whether a task of the job is lost.
func (jb *job) hasLostTask() bool {
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if ta.state == taskLost {
				return true
			}
		}
	}
	return false
}

// handleClaimed answers with the ends that the workers held here still list. It
// does not answer while the answer would be incomplete.
func (en *Entry) handleClaimed(from ids.EntryID, ms Claimed) {
	reply := PastEnds{Jobs: ms.Jobs}
	ready := false
	if reply.Unreached, ready = en.checkUnreached(); !ready {
		return
	}
	jobs := map[ids.JobID]bool{}
	for _, id := range ms.Jobs {
		jobs[id] = true
		reply.Saved = append(reply.Saved, en.checkpointsOf(id)...)
		reply.Crashed = append(reply.Crashed, en.crashesOf(id)...)
	}
	for _, id := range sortedKeys(en.workers) {
		wk := en.workers[id]
		if wk.phase == phaseFencing {
			// It has not answered for ownerTimeout or longer, see checkUnreached. Waiting
			// longer would block all jobs for ever if nothing answers there. An end that it
			// lists later is superseded by that of the next run.
			reply.Held = append(reply.Held, HolderRow{Worker: id, Version: Version(wk.token)})
			continue
		}
		if wk.phase != phaseOpen || wk.runsTaskOf(jobs) {
			// More ends may follow; the owner asks again.
			return
		}
		running, ok := en.lastingRuns(from, wk, jobs)
		if !ok {
			return
		}
		reply.Running = append(reply.Running, running...)
		reply.Held = append(reply.Held, HolderRow{Worker: id, Version: Version(wk.token)})
		for _, number := range sortedKeys(wk.retained) {
			rt := wk.retained[number]
			if at, ok := parseTaskID(rt.ref.Task); ok && jobs[at.job] {
				reply.Ends = append(reply.Ends, Ended{Ref: rt.ref, Worker: id, How: rt.how})
			}
		}
	}
	en.send(from, reply)
}

// checkUnreached reports whether this entry has not reached some of its workers yet,
// and whether it may answer owners all the same: after ownerTimeout a former holder
// keeps at most long-running tasks there, and after lastingTimeout none. A worker that
// is never reached, for example the row of another writer, must not hold up the tasks
// of others for longer.
func (en *Entry) checkUnreached() (unreached, ready bool) {
	for id, since := range en.unreached {
		age := en.now().Sub(since)
		switch {
		case age < ownerTimeout:
			return true, false
		case age <= lastingTimeout:
			unreached = true
		case en.workers[id] == nil:
			delete(en.unreached, id)
		}
	}
	return unreached, true
}

// handlePastEnds handles ends that this owner has not received yet, among them
// ends of runs that a previous owner started.
func (en *Entry) handlePastEnds(from ids.EntryID, ms PastEnds) {
	for _, ed := range ms.Ends {
		en.applyPastEnd(from, ed)
	}
	for _, ru := range ms.Running {
		en.adoptRunning(from, ru)
	}
	for _, sv := range ms.Saved {
		en.resumeFrom(sv)
	}
	for _, pc := range ms.Crashed {
		en.applyPastCrash(pc)
	}
	if !en.coversAllWorkers(from, ms.Held) {
		return
	}
	for _, jid := range ms.Jobs {
		jb := en.jobs[jid]
		if jb == nil || jb.stored == nil || jb.suspended || (ms.Unreached && jb.Job.lasting()) {
			continue
		}
		if jb.answered == nil {
			jb.answered = map[ids.EntryID]bool{}
		}
		jb.answered[from] = true
	}
}

// coversAllWorkers reports whether an answer covers all workers that the sender
// holds according to the store. The sender may not have read its latest rows
// yet.
func (en *Entry) coversAllWorkers(from ids.EntryID, held []HolderRow) bool {
	tokens := map[ids.WorkerID]Version{}
	for _, row := range held {
		tokens[row.Worker] = row.Version
	}
	for id, row := range en.rows {
		if row.Holder.Entry() == from && en.workerListed(id) && tokens[id] < row.Version {
			return false
		}
	}
	return true
}

// workerListed reports whether a worker has a row in the store.
func (en *Entry) workerListed(id ids.WorkerID) bool {
	kw := en.known[id]
	return kw != nil && kw.removedAt.IsZero()
}

// applyPastEnd handles one end, which may belong to an earlier run than the
// latest. Only ends by the task itself say anything about it: a run that was
// stopped or has lapsed ended with its holder or its owner.
func (en *Entry) applyPastEnd(from ids.EntryID, ed Ended) {
	gr, ta := en.task(ed.Ref.Task)
	if ta == nil || gr.job.stored == nil || gr.shape.Lasting || ta.state == taskDone || ta.state == taskFailed {
		return
	}
	switch ed.How {
	case EndDone:
		if ta.sent && ta.run != ed.Ref.Run {
			// A later run has been started. Only its end counts.
			return
		}
		ta.state, ta.run = taskLost, ed.Ref.Run
		en.handleEnded(from, ed)
	case EndFailed:
		if _, current := en.currentTask(ed.Ref); current != nil {
			en.handleEnded(from, ed)
			return
		}
		en.countPastFailure(gr, ta, from, ed)
	default:
	}
}

// countPastFailure counts a failed run that may be earlier than the latest.
func (en *Entry) countPastFailure(gr *group, ta *task, from ids.EntryID, ed Ended) {
	jb, latest := gr.job, ta.run
	if jb.stored.rec.knowsFailure(taskName(ta.id), ed.Ref.Run) {
		return
	}
	ta.run = max(latest, ed.Ref.Run)
	failed := en.countFailure(gr, ta, ed.Ref, from)
	en.eff.Log("past-failure", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(ed.Ref.Run), "latest", int64(latest),
		"worker", string(ed.Worker), "holder", string(from), "failed", failed, "attempts", jb.Queue.MaxAttempts)
	if failed >= jb.Queue.MaxAttempts {
		ta.state = taskFailed
		en.writeFinalState(jb, JobFailed)
	}
}

// requiredAnswers states which answers are required before a lost task of a
// stored job may be started again.
type requiredAnswers struct {
	at            time.Time // when it was determined
	holderUnknown bool      // some worker may be in use by a holder that can't be asked
	// holderUnknownLasting is the same for long-running tasks, which a partitioned
	// holder keeps for longer.
	holderUnknownLasting bool
	holders              []ids.EntryID // must all have answered Claimed
}

// endMayArrive reports whether a lost task of a stored job may have ended, or
// may still run, at a holder that has not answered yet. Until then the task
// must not be started again, because that holder may receive its end at any
// moment.
func (en *Entry) endMayArrive(gr *group, now time.Time) bool {
	jb := gr.job
	if jb.stored == nil {
		return false
	}
	if en.requiredAnswers.at != now {
		en.requiredAnswers = en.findRequiredAnswers(now)
	}
	holderUnknown := en.requiredAnswers.holderUnknown || (gr.shape.Lasting && en.requiredAnswers.holderUnknownLasting)
	staleRows := !en.readAt[TableHolders].After(jb.lostAt)
	var unanswered []string
	for _, id := range en.requiredAnswers.holders {
		if !jb.answered[id] {
			unanswered = append(unanswered, string(id))
			if !en.canSend(id) {
				en.requestLink(id)
			}
		}
	}
	if !holderUnknown && !staleRows && len(unanswered) == 0 {
		return false
	}
	if now.Sub(jb.lostAt) > waitLogInterval && now.Sub(jb.waitLoggedAt) > waitLogInterval {
		jb.waitLoggedAt = now
		en.eff.Log("task-waits", "job", string(jb.Job.ID), "step", gr.step, "lost-ms", now.Sub(jb.lostAt).Milliseconds(),
			"holder-unknown", holderUnknown, "holders-age-ms", now.Sub(en.readAt[TableHolders]).Milliseconds(), "silent", strings.Join(unanswered, ","))
	}
	return true
}

// waitLogInterval is the interval at which the reason is logged for which a
// lost task is not started again.
const waitLogInterval = 2 * time.Second

// findRequiredAnswers determines the required answers from the holders of all
// workers. The holder of a worker that is no longer listed may be partitioned
// together with it and still use it.
func (en *Entry) findRequiredAnswers(now time.Time) requiredAnswers {
	out := requiredAnswers{at: now, holders: []ids.EntryID{en.id}, holderUnknown: en.readAt[TableWorkers].IsZero()}
	type holderState struct{ alive, gone, goneLong bool }
	holders := map[ids.Incarnation]holderState{}
	for id, row := range en.rows {
		hs, ok := holders[row.Holder]
		if !ok {
			hs = holderState{
				alive: en.alive(row.Holder, now), gone: en.ownerGone(row.Holder, now),
				goneLong: en.goneOrSilent(row.Holder, now, lastingTimeout),
			}
			holders[row.Holder] = hs
		}
		if hs.alive {
			continue
		}
		listed := en.workerListed(id)
		out.holderUnknown = out.holderUnknown || listed || !hs.gone
		out.holderUnknownLasting = out.holderUnknownLasting || !hs.goneLong
	}
	for _, id := range sortedKeys(en.members) {
		if en.alive(en.members[id].Incarnation, now) {
			out.holders = append(out.holders, id)
		}
	}
	return out
}

// latestRuns returns the latest run of each task that was started more than once
// and is not done.
func (jb *job) latestRuns() map[string]Run {
	latest := map[string]Run{}
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if ta.state != taskDone && ta.sent && ta.run > 1 {
				latest[taskName(ta.id)] = ta.run
			}
		}
	}
	return latest
}

// resetAnswers makes the owner ask all holders again for the ends of lost tasks,
// because the holder of a worker has changed.
func (en *Entry) resetAnswers() {
	for _, jb := range en.jobs {
		if jb.stored != nil {
			jb.answered = nil
		}
	}
}

// reportEnd sends an end to the owner of a stored job when there is no slot
// with an owner for the run.
func (en *Entry) reportEnd(wk *worker, er EndedRun) {
	if re := en.recordOf(er.Ref.Task); re != nil && re.Owner != "" {
		en.send(re.Owner.Entry(), PastEnds{Ends: []Ended{{Ref: er.Ref, Worker: wk.info.ID, How: er.How}}})
	}
}
