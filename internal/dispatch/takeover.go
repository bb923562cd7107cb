package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// replaceable tells whether other entries may take over this one's jobs: it
// has not beaten for long, and some member can't see that it lives.
func (en *Entry) replaceable(now time.Time) bool {
	if en.beaten.IsZero() || now.Sub(en.beaten) < beatFence {
		return false
	}
	for id := range en.members {
		if se := en.sessions[id]; se == nil || !se.up {
			return true
		}
	}
	return false
}

// claimInterval separates two looks at jobs without an owner.
const claimInterval = 200 * time.Millisecond

// suspend stops the tasks of a job and places none.
func (en *Entry) suspend(jb *job, now time.Time) {
	if jb.suspended {
		return
	}
	jb.suspended = true
	stops := map[ids.EntryID][]TaskRef{}
	for _, gr := range jb.groups {
		en.unwant(gr)
		for _, ta := range gr.tasks {
			if ta.state == taskPlaced || ta.state == taskRunning {
				stops[ta.holder] = append(stops[ta.holder], TaskRef{Task: ta.id, Run: ta.run})
				en.lose(gr, ta, now.Add(loseAfter))
			}
		}
	}
	for _, holder := range sortedKeys(stops) {
		en.send(holder, Stop{Refs: stops[holder]})
	}
}

func (en *Entry) resume(jb *job) {
	jb.suspended = false
	for _, gr := range jb.groups {
		en.place(gr)
	}
}

// release gives up a job in a shutdown, once its tasks have ended or have had
// time to.
func (en *Entry) release(jb *job, now time.Time) {
	st := jb.stored
	if !st.accepted || st.rec.State.over() || st.rec.Owner == "" || st.writing {
		return
	}
	if jb.active() {
		// Another entry takes over once this one is gone.
		if now.Sub(en.leftAt) > leaveWait {
			en.suspend(jb, now)
		}
		return
	}
	jb.suspended = true
	st.rec.Owner = ""
	st.dirty, st.dirtyAt = true, now
	en.write(jb)
}

// active tells whether a task of the job is with a holder.
func (jb *job) active() bool {
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if ta.state == taskPlaced || ta.state == taskRunning || ta.state == taskLost {
				return true
			}
		}
	}
	return false
}

// ownerGone tells whether the owner of a job surely no longer starts tasks.
func (en *Entry) ownerGone(inc ids.Incarnation, now time.Time) bool {
	if inc == en.self.Incarnation {
		return false
	}
	if inc == "" || inc.Entry() == en.id {
		return true
	}
	mb := en.members[inc.Entry()]
	se := en.session(inc.Entry())
	if se.up {
		return se.incarnation != inc
	}
	if mb == nil {
		return now.Sub(en.started) > ownerSilence
	}
	if mb.Incarnation != inc {
		return true
	}
	return !se.up && now.Sub(mb.beatAt) > ownerSilence && now.Sub(en.storeLost) > ownerSilence
}

// claimJobs takes over jobs whose owners are gone.
func (en *Entry) claimJobs(now time.Time) {
	if en.leaving || en.fenced || !en.recordsRead {
		return
	}
	list := en.candidates(now)
	count := 0
	for _, id := range sortedKeys(en.records) {
		re := en.records[id]
		if re.State.over() {
			if now.Sub(re.endedAt) > recordTime {
				en.forgetRecord(re)
			}
			continue
		}
		if re.loading || en.jobs[id] != nil || !en.ownerGone(re.Owner, now) || count >= claimsAtOnce {
			continue
		}
		if assigned(WorkerInfo{ID: ids.WorkerID(id)}, list) == en.self.Incarnation {
			count++
			re.loading = true
			en.eff.LoadJob(id)
		}
	}
}

// forgetRecord removes the row of a job that ended long ago. Its last owner
// does so, or any entry once that owner is gone.
func (en *Entry) forgetRecord(re *record) {
	if re.Owner == en.self.Incarnation || en.ownerGone(re.Owner, en.now()) {
		delete(en.records, re.ID)
		en.eff.StoreJob(JobWrite{Record: re.JobRecord, Expected: re.Version, Remove: true})
	}
}

// claimJob makes this entry the owner of a job.
func (en *Entry) claimJob(re *record, body Job) {
	if re.State.over() || en.jobs[re.ID] != nil || !en.ownerGone(re.Owner, en.now()) {
		return
	}
	qu, ok := en.queue(re.Queue)
	if !ok {
		return
	}
	rec := re.JobRecord
	before := rec.Owner
	rec.Owner = en.self.Incarnation
	rec.Nonce = string(en.self.Incarnation)
	rec.Epoch++
	jb := &job{
		Submission: Submission{Job: body, Queue: qu, Arrived: en.now(), Done: func(Outcome) {}},
		begun:      re.begun,
		stored:     &storedJob{rec: rec, accepted: true},
		claimed:    true,
	}
	en.jobs[re.ID] = jb
	en.eff.Log("job-claimed", "job", string(re.ID), "before", string(before), "epoch", rec.Epoch, "done", len(rec.Done))
	en.prepare(jb)
	until := en.now().Add(loseAfter)
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			name := taskName(ta.id)
			ta.run = Run(rec.Epoch * runStep)
			ta.failed = rec.Fails[name]
			if slices.Contains(rec.Done, name) {
				ta.state = taskDone
			} else if before != "" {
				// The tasks of the former owner may take that long to be stopped.
				ta.notBefore = until
			}
		}
	}
	en.write(jb)
	en.advance(jb)
}

// Claimed asks holders for ends of the jobs' tasks that are not stored yet.
type Claimed struct {
	Jobs []ids.JobID
}

// PastEnds answers Claimed.
type PastEnds struct {
	Jobs []ids.JobID
	Ends []Ended
}

// runsAny tells whether a slot of one of the jobs is left on the worker.
func (wk *worker) runsAny(jobs []ids.JobID) bool {
	for ref, sl := range wk.slots {
		if jid, _, _, ok := splitTask(ref.Task); ok && sl.state != slotGranted && slices.Contains(jobs, jid) {
			return true
		}
	}
	return false
}

// askEnds asks an entry for the ends of stored jobs' tasks that it may know.
func (en *Entry) askEnds(to ids.EntryID, jobs []ids.JobID) {
	if len(jobs) > 0 {
		en.send(to, Claimed{Jobs: jobs})
	}
}

// askInterval separates two questions about the ends of a job's tasks.
const askInterval = 200 * time.Millisecond

// askAround asks the entries that have not told yet how runs of a job ended.
func (en *Entry) askAround(jb *job, now time.Time) {
	if !jb.anyLost() || !en.settled(now) || now.Sub(jb.askAt) < askInterval {
		return
	}
	jb.askAt = now
	for _, id := range en.reachable() {
		if !jb.heard[id] {
			en.askEnds(id, []ids.JobID{jb.Job.ID})
		}
	}
}

func (jb *job) anyLost() bool {
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if ta.state == taskLost {
				return true
			}
		}
	}
	return false
}

// onClaimed answers with the ends that workers here still list.
func (en *Entry) onClaimed(from ids.EntryID, ms Claimed) {
	reply := PastEnds{Jobs: ms.Jobs}
	for _, id := range sortedKeys(en.workers) {
		wk := en.workers[id]
		if wk.phase != phaseOpen || wk.runsAny(ms.Jobs) {
			// More ends may come; the owner asks again.
			return
		}
		for _, number := range sortedKeys(wk.unnoted) {
			un := wk.unnoted[number]
			if jid, _, _, ok := splitTask(un.ref.Task); ok && slices.Contains(ms.Jobs, jid) {
				reply.Ends = append(reply.Ends, Ended{Ref: un.ref, Worker: id, How: un.how})
			}
		}
	}
	en.send(from, reply)
}

// onPastEnds takes the ends of runs that this owner has not heard of, or that
// a former owner has started.
func (en *Entry) onPastEnds(from ids.EntryID, ms PastEnds) {
	for _, ed := range ms.Ends {
		en.pastEnd(from, ed)
	}
	for _, jid := range ms.Jobs {
		jb := en.jobs[jid]
		if jb == nil || jb.stored == nil {
			continue
		}
		if jb.heard == nil {
			jb.heard = map[ids.EntryID]bool{}
		}
		jb.heard[from] = true
	}
}

// pastEnd takes one end that may belong to an earlier run than the latest.
func (en *Entry) pastEnd(from ids.EntryID, ed Ended) {
	jid, step, idx, ok := splitTask(ed.Ref.Task)
	jb := en.jobs[jid]
	if !ok || jb == nil || jb.stored == nil || step >= len(jb.groups) || idx >= len(jb.groups[step].tasks) {
		return
	}
	ta := jb.groups[step].tasks[idx]
	st := jb.stored
	st.unsaved = append(st.unsaved, unsavedEnd{holder: from, ref: ed.Ref})
	if !st.dirty {
		st.dirty, st.dirtyAt = true, en.now()
	}
	if ta.state == taskDone || ta.state == taskFailed {
		return
	}
	if ed.How != EndDone {
		// An earlier run has failed; a later one may have ended otherwise.
		ta.failed++
		en.endedStored(jb, ta, from, EndFailed)
		if ta.failed >= jb.Queue.MaxAttempts {
			ta.state = taskFailed
			en.settle(jb, JobFailed)
		}
		return
	}
	if ta.state != taskLost && ta.state != taskQueued {
		// A later run is on its way: the first end counts, the later run is stopped.
		en.send(ta.holder, Stop{Refs: []TaskRef{{Task: ta.id, Run: ta.run}}})
	}
	ta.state = taskLost
	ed.Ref.Run = ta.run
	en.onEnded(from, ed)
}

// mayHaveEnded tells whether a lost task of a stored job may have ended, or may
// still run, at an entry that has not told. It is not started again meanwhile:
// its end may be noted there at any moment.
func (en *Entry) mayHaveEnded(jb *job, now time.Time) bool {
	if jb.stored == nil {
		return false
	}
	en.noteSettled(now)
	if !en.settled(now) || !jb.heard[en.id] {
		return true
	}
	for id, mb := range en.members {
		if !jb.heard[id] && en.alive(mb.Incarnation, now) {
			return true
		}
	}
	return false
}

// settled tells whether all workers have living holders that have read what the
// workers list.
func (en *Entry) settled(now time.Time) bool {
	return !en.settledAt.IsZero() && now.Sub(en.settledAt) >= settledTime
}

// noteSettled notes since when all workers have living holders.
func (en *Entry) noteSettled(now time.Time) {
	for id, kw := range en.known {
		row, ok := en.rows[id]
		if !kw.removed.IsZero() || (ok && en.alive(row.Holder, now)) {
			continue
		}
		en.settledAt = time.Time{}
		return
	}
	if en.settledAt.IsZero() {
		en.settledAt = now
	}
}

// settledTime covers the time from the claim of a worker until its new holder
// has told the owners what the worker lists.
const settledTime = 700 * time.Millisecond

// forgetHeard makes the owner ask again how lost tasks ended, because a worker
// has changed its holder.
func (en *Entry) forgetHeard() {
	for _, jb := range en.jobs {
		if jb.stored != nil {
			jb.heard = nil
		}
	}
}

// tellEnd tells the owner of a stored job of an end that no slot stands for.
func (en *Entry) tellEnd(wk *worker, er EndedRun) {
	jid, _, _, ok := splitTask(er.Ref.Task)
	if re := en.records[jid]; ok && re != nil && re.Owner != "" {
		en.send(re.Owner.Entry(), PastEnds{Ends: []Ended{{Ref: er.Ref, Worker: wk.info.ID, How: er.How}}})
	}
}
