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
	if en.leaving || en.fenced || en.readAt[TableJobs].IsZero() {
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
	rec := re.clone()
	before := rec.Owner
	rec.Owner = en.self.Incarnation
	rec.Nonce = string(en.self.Incarnation)
	rec.Epoch++
	jb := &job{
		Submission: Submission{Job: body, Queue: qu, Arrived: en.now(), Done: func(Outcome) {}},
		begun:      re.begun,
		stored:     &storedJob{rec: rec, accepted: true},
		claimed:    true,
		lostAt:     en.now(),
	}
	en.jobs[re.ID] = jb
	en.eff.Log("job-claimed", "job", string(re.ID), "before", string(before), "epoch", rec.Epoch, "done", len(rec.Done))
	en.prepare(jb)
	until := en.now().Add(loseAfter)
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			name := taskName(ta.id)
			ta.run = Run(rec.Epoch * runStep)
			ta.failed = len(rec.Fails[name])
			if _, done := rec.Done[name]; done {
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
	// Held holds the workers that the answer is about.
	Held []HolderRow
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
	if now.Sub(jb.askAt) < askInterval || !jb.anyLost() {
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
		reply.Held = append(reply.Held, HolderRow{Worker: id, Version: Version(wk.token)})
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
	if !en.coversAll(from, ms.Held) {
		return
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

// coversAll tells whether a holder has taken all the workers that it holds
// according to the store. It may not know yet of the latest ones.
func (en *Entry) coversAll(from ids.EntryID, held []HolderRow) bool {
	tokens := map[ids.WorkerID]Version{}
	for _, row := range held {
		tokens[row.Worker] = row.Version
	}
	for id, row := range en.rows {
		if row.Holder.Entry() == from && en.listed(id) && tokens[id] < row.Version {
			return false
		}
	}
	return true
}

// listed tells whether a worker has a row in the store.
func (en *Entry) listed(id ids.WorkerID) bool {
	kw := en.known[id]
	return kw != nil && kw.removed.IsZero()
}

// pastEnd takes one end that may belong to an earlier run than the latest.
func (en *Entry) pastEnd(from ids.EntryID, ed Ended) {
	jid, step, idx, ok := splitTask(ed.Ref.Task)
	jb := en.jobs[jid]
	if !ok || jb == nil || jb.stored == nil || step >= len(jb.groups) || idx >= len(jb.groups[step].tasks) {
		return
	}
	gr := jb.groups[step]
	ta := gr.tasks[idx]
	if ta.state == taskDone || ta.state == taskFailed {
		return
	}
	if ed.How == EndDone {
		if ta.sent && ta.run != ed.Ref.Run {
			// A later run has been started; its end counts.
			return
		}
		ta.state, ta.run = taskLost, ed.Ref.Run
		en.onEnded(from, ed)
		return
	}
	if slices.Contains(jb.stored.rec.Fails[taskName(ta.id)], ed.Ref.Run) {
		return
	}
	latest := ta.run
	ta.failed++
	ta.run = ed.Ref.Run
	en.endedStored(jb, ta, from, EndFailed)
	ta.run = max(latest, ta.run)
	if ta.failed >= jb.Queue.MaxAttempts {
		ta.state = taskFailed
		en.settle(jb, JobFailed)
	}
}

// needs tells whose answers are needed before a lost task of a stored job is
// started again.
type needs struct {
	at      time.Time
	wait    bool // the holder of some worker is not known
	holders []ids.EntryID
}

// mayHaveEnded tells whether a lost task of a stored job may have ended, or may
// still run, at an entry that has not told. It is not started again meanwhile:
// its end may be noted there at any moment.
func (en *Entry) mayHaveEnded(jb *job, now time.Time) bool {
	if jb.stored == nil {
		return false
	}
	if en.needs.at != now {
		en.needs = en.findNeeds(now)
	}
	if en.needs.wait || !en.readAt[TableHolders].After(jb.lostAt) {
		return true
	}
	for _, id := range en.needs.holders {
		if !jb.heard[id] {
			return true
		}
	}
	return false
}

// findNeeds looks at the holders of all workers. The holder of a worker that is
// no longer listed may be cut off together with it and go on using it.
func (en *Entry) findNeeds(now time.Time) needs {
	out := needs{at: now, holders: []ids.EntryID{en.id}, wait: en.readAt[TableWorkers].IsZero()}
	gone := map[ids.Incarnation]bool{}
	for id, row := range en.rows {
		listed := en.listed(id)
		is, ok := gone[row.Holder]
		if !ok {
			is = en.ownerGone(row.Holder, now)
			gone[row.Holder] = is
		}
		if !en.alive(row.Holder, now) && (listed || !is) {
			out.wait = true
			return out
		}
	}
	for _, id := range sortedKeys(en.members) {
		if en.alive(en.members[id].Incarnation, now) {
			out.holders = append(out.holders, id)
		}
	}
	return out
}

// latestRuns returns the latest runs of the tasks that are not done, where they
// were started more than once.
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
