package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// JobState is the state of a stored job.
type JobState string

// The states of a stored job.
const (
	JobAccepted  JobState = "accepted" // has not ended
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

func (js JobState) ended() bool { return js != JobAccepted }

// JobRecord is the row of a stored job. Updates are conditional on the version
// of the row, so an owner that has been replaced can no longer change it.
type JobRecord struct {
	ID        ids.JobID
	Version   Version
	Queue     string
	Service   ids.ServiceName // to which the owner sends the tasks, "" in rows written by earlier versions
	State     JobState
	Owner     ids.Incarnation // "" after the last owner has released the job
	Epoch     int64           // increases with each owner; the base of its run numbers
	Submitted int64           // Unix milliseconds
	Timed     bool            // the steps are repeated at given times
	Lasting   bool            // has long-running tasks, which run until the job is cancelled
	// LastingSteps lists the steps with long-running tasks. Rows written by
	// earlier versions don't have it; all steps count as long-running then.
	LastingSteps []int
	// StepTasks holds the number of tasks of each step. Rows written by earlier
	// versions don't have it.
	StepTasks []int
	// Done and Fails hold the runs that ended done and the runs that failed, by
	// task name (see taskName). FailsBefore is the number of failed runs of a task
	// that are lower than those in Fails and not listed any more, see shorten.
	Done        map[string]Run
	Fails       map[string][]Run
	FailsBefore map[string]int
	// Latest holds the latest run of each task that was started more than once
	// and was not done when the job ended.
	Latest map[string]Run
	// Crashes holds the runs that were lost with their workers, for tasks that are
	// not done.
	Crashes map[string][]Crash
}

// isLasting reports whether a task of the job is long-running.
func (re JobRecord) isLasting(id TaskID) bool {
	at, ok := parseTaskID(id)
	return ok && re.Lasting && (len(re.LastingSteps) == 0 || slices.Contains(re.LastingSteps, at.step))
}

// setFails sets the failed runs of a task.
func (re *JobRecord) setFails(name string, fr failedRuns) {
	if re.Fails == nil {
		re.Fails = map[string][]Run{}
	}
	re.Fails[name] = fr.runs
	if fr.before == 0 {
		return
	}
	if re.FailsBefore == nil {
		re.FailsBefore = map[string]int{}
	}
	re.FailsBefore[name] = fr.before
}

// failures returns how often a task has failed.
func (re JobRecord) failures(name string) int { return len(re.Fails[name]) + re.FailsBefore[name] }

// knowsFailure reports whether a failed run of a task has been counted. A run that is
// lower than those that are listed may be one of those that are not listed any more.
func (re JobRecord) knowsFailure(name string, run Run) bool {
	runs := re.Fails[name]
	return slices.Contains(runs, run) || (re.FailsBefore[name] > 0 && len(runs) > 0 && run < slices.Min(runs))
}

// shorten removes what a job can go on without, so that its row fits into the store
// whatever has happened to its tasks. Of the failed runs of a task the highest and the
// number of the others are left, unless the job has ended.
func (re *JobRecord) shorten() {
	re.Crashes = nil
	if re.State.ended() {
		re.Fails, re.FailsBefore = nil, nil
		return
	}
	for name, runs := range re.Fails {
		if len(runs) > 1 {
			re.setFails(name, failedRuns{runs: []Run{slices.Max(runs)}, before: re.failures(name) - 1})
		}
	}
}

// clone copies a record, so that later changes of the job do not affect a write
// in flight.
func (re JobRecord) clone() JobRecord {
	re.Done = maps.Clone(re.Done)
	re.Fails = maps.Clone(re.Fails)
	re.FailsBefore = maps.Clone(re.FailsBefore)
	re.Crashes = maps.Clone(re.Crashes)
	return re
}

// JobWrite updates the row of a job if the row has the expected version.
type JobWrite struct {
	Record   JobRecord
	Expected Version // 0 for an insertion
	Body     *Job    // only for an insertion
	Remove   bool
}

// JobWriteReply is the store's answer to a JobWrite.
type JobWriteReply struct {
	OK       bool
	Version  Version
	Conflict bool
	Present  *JobRecord // the present row, after a conflict
	Invalid  bool       // the store can never carry out the write
	Reason   string
}

// JobLoad is the result of a read of a job.
type JobLoad struct {
	Record *JobRecord // nil when there is none
	Body   *Job
	Failed bool
	Reason string
}

// JobNews sends the state of a stored job to the other entries.
type JobNews struct {
	Record JobRecord
	Begun  bool // a task of the job has been started
}

// Noted informs a holder that the ends of runs are stored, so that the holder
// may acknowledge them to the worker.
type Noted struct {
	Refs []TaskRef
}

// record is the state of a stored job as an entry has last read or received it.
type record struct {
	JobRecord
	begun       bool
	loading     bool      // being read in order to take the job over
	endedAt     time.Time // when this entry was first informed that the job has ended
	ownerToldAt time.Time // when this entry last informed an owner that the job has ended
}

// storedJob is the state that only stored jobs have at their owner.
type storedJob struct {
	rec         JobRecord
	writing     bool      // a write is in flight
	writeSentAt time.Time // when the last write was sent
	dirty       bool      // rec has changes that are not written yet
	dirtyAt     time.Time
	retryAt     time.Time     // earliest time of the next write after a failed one
	unstored    []unstoredEnd // ends for the next write
	inFlight    []unstoredEnd // ends in the write in flight
	short       bool          // the row does not fit into the store unless it is shortened
	accepted    bool          // the insertion has been confirmed
	cancels     []func(out Outcome)
}

// unstoredEnd is the end of a run that has been received and is not stored yet.
type unstoredEnd struct {
	holder ids.EntryID
	ref    TaskRef
}

// The limits on stored jobs.
const (
	// endWriteDelay is how long the ends of tasks may wait for a write while
	// the job has not ended. Until then the worker keeps them listed.
	endWriteDelay = 300 * time.Millisecond
	// writeRetry is the pause after a failed write.
	writeRetry = 100 * time.Millisecond
	// unstorableRetry is the pause after a shortened row was refused. Each such write
	// splits the transaction that it shares with others.
	unstorableRetry = 2 * time.Second
	// heartbeatFence is the age of the last stored heartbeat at which an owner
	// without sessions to some entries suspends its stored jobs, because other
	// entries may soon take them over.
	heartbeatFence = 5 * time.Second
	// ownerTimeout is the time without a heartbeat and without a session after
	// which other entries take over the jobs of an owner that is not proved dead.
	// It is heartbeatFence plus the time that the owner needs to stop its tasks.
	ownerTimeout = 7 * time.Second
	// maxClaims bounds the jobs that one tick takes over.
	maxClaims = 50
	// recordRetention is how long the state of an ended job can be read. Callers
	// are promised two minutes.
	recordRetention = 150 * time.Second
	// storeUnavailableTime is how long the store counts as unavailable after a
	// failed read.
	storeUnavailableTime = 400 * time.Millisecond
	// shutdownGrace is how long an owner that shuts down lets running tasks finish.
	shutdownGrace = 2500 * time.Millisecond
)

// submitStored handles the submission of a job that must be stored before it is
// accepted.
func (en *Entry) submitStored(sub Submission) {
	id := sub.Job.ID
	if re := en.records[id]; re != nil {
		sub.Done(Outcome{Kind: Accepted})
		return
	}
	if old := en.jobs[id]; old != nil {
		en.join(old, sub)
		return
	}
	if en.now().Sub(en.storeUnavailableAt) < storeUnavailableTime {
		sub.Done(Outcome{Kind: Refused, Reason: "store-away", RetryAfter: retryAfterStore})
		return
	}
	sub.Job.Route = &sub.Queue
	jb := &job{Submission: sub, waiters: 1, stored: &storedJob{rec: JobRecord{
		ID: id, Queue: sub.Queue.Name, Service: sub.Queue.Service, State: JobAccepted, Owner: en.self.Incarnation, Epoch: 1,
		Submitted: en.now().UnixMilli(),
		Timed:     sub.Job.Repeat.Count > 0, Lasting: sub.Job.lasting(), LastingSteps: sub.Job.lastingSteps(), StepTasks: sub.Job.stepTasks(),
	}}}
	en.jobs[id] = jb
	en.writeJob(jb)
}

// join adds a connection that waits for the outcome of a job.
func (en *Entry) join(jb *job, sub Submission) {
	en.eff.Log("job-joined", "job", string(sub.Job.ID))
	jb.waiters++
	first := jb.Done
	jb.Done = func(out Outcome) {
		first(out)
		sub.Done(out)
	}
}

// writeJob writes the present record of a job, unless a write is in flight.
func (en *Entry) writeJob(jb *job) {
	st := jb.stored
	if st.writing {
		return
	}
	st.writing, st.dirty, st.writeSentAt = true, false, en.now()
	st.inFlight, st.unstored = st.unstored, nil
	if st.short {
		st.rec.shorten()
	}
	wr := JobWrite{Record: st.rec.clone(), Expected: st.rec.Version}
	if !st.accepted {
		wr.Body = &jb.Job
	}
	en.eff.StoreJob(wr)
}

// JobStored handles the answer to a write.
func (en *Entry) JobStored(wr JobWrite, rep JobWriteReply) {
	if wr.Remove {
		return
	}
	jb := en.jobs[wr.Record.ID]
	if jb == nil || jb.stored == nil {
		en.handleCancelReply(wr, rep)
		return
	}
	st := jb.stored
	st.writing = false
	switch {
	case rep.OK:
		st.rec.Version = rep.Version
		wr.Record.Version = rep.Version
		en.handleWriteSuccess(jb, wr.Record)
	case rep.Conflict && rep.Present != nil && en.isOwnRow(st, rep.Present):
		// An earlier write took effect but its answer was lost.
		st.rec.Version = rep.Present.Version
		if !st.accepted {
			en.handleWriteSuccess(jb, *rep.Present)
			return
		}
		en.retryWrite(jb)
	case rep.Conflict:
		en.dropLostJob(jb, rep.Present)
	case rep.Invalid:
		en.handleUnstorable(jb, rep.Reason)
	default:
		en.eff.Log("job-write-failed", "job", string(wr.Record.ID), "state", string(wr.Record.State), "reason", rep.Reason)
		en.retryWrite(jb)
	}
}

// handleUnstorable handles a row that the store can never write. A job that is not
// accepted yet is refused. An accepted one goes on with a shorter row: a takeover may
// need the rest only to find out what the former owner had seen.
func (en *Entry) handleUnstorable(jb *job, reason string) {
	st := jb.stored
	en.eff.Count("job", "unstorable", 1)
	en.eff.Log("job-unstorable", "job", string(jb.Job.ID), "accepted", st.accepted, "state", string(st.rec.State),
		"tasks-done", len(st.rec.Done), "tasks-failed", len(st.rec.Fails), "tasks-crashed", len(st.rec.Crashes), "short", st.short, "reason", reason)
	if !st.accepted {
		answerCancels(st.cancels, Outcome{Kind: Abandoned, Reason: ReasonTooLarge})
		en.finish(jb, Outcome{Kind: Refused, Reason: ReasonTooLarge})
		return
	}
	en.retryWrite(jb)
	if st.short {
		// The store refuses it for another reason, which may pass.
		st.retryAt = en.now().Add(unstorableRetry)
	}
	st.short = true
}

// ReasonTooLarge is the reason of a refusal of a job that does not fit into the
// store.
const ReasonTooLarge = "job-too-large"

// isOwnRow reports whether a row was written by this owner in the same epoch
// and the job has not ended.
func (en *Entry) isOwnRow(st *storedJob, present *JobRecord) bool {
	return present.Owner == en.self.Incarnation && present.Epoch == st.rec.Epoch && !present.State.ended()
}

// retryWrite schedules another write of a job after a pause.
func (en *Entry) retryWrite(jb *job) {
	st := jb.stored
	st.unstored = append(st.inFlight, st.unstored...)
	st.inFlight = nil
	st.dirty, st.dirtyAt = true, en.now().Add(-endWriteDelay)
	st.retryAt = en.now().Add(writeRetry)
}

// handleWriteSuccess handles a successful write.
func (en *Entry) handleWriteSuccess(jb *job, rec JobRecord) {
	st := jb.stored
	storedEnds := tasksByHolder{}
	for _, ue := range st.inFlight {
		storedEnds[ue.holder] = append(storedEnds[ue.holder], ue.ref)
	}
	st.inFlight = nil
	en.sendEach(storedEnds, func(refs []TaskRef) Message { return Noted{Refs: refs} })
	en.updateRecord(rec, jb.begun)
	if !st.accepted {
		st.accepted = true
		en.eff.Log("job-accepted", "job", string(rec.ID), "queue", rec.Queue, "version", int64(rec.Version))
		done := jb.Done
		jb.Done = func(Outcome) {}
		done(Outcome{Kind: Accepted})
		en.broadcastJob(jb)
		switch {
		case rec.State.ended():
			en.finishStored(jb, rec.State)
		case st.rec.State.ended():
			// The job was cancelled while the answer to its insertion was lost.
			en.writeJob(jb)
		default:
			en.startJob(jb)
		}
		return
	}
	if rec.State.ended() {
		en.broadcastJob(jb)
		en.finishStored(jb, rec.State)
		return
	}
	if st.rec.Owner == "" {
		jb.continuedElsewhere = true
		en.finish(jb, Outcome{Kind: Abandoned, Reason: "released"})
		return
	}
	if jb.suspended && !en.fenced && !en.leaving && st.writeSentAt.After(en.unfencedAt) {
		en.resume(jb)
	}
	if st.dirty && st.rec.State.ended() {
		en.writeJob(jb)
	}
}

// startJob starts the first steps of a job after its record has been stored.
func (en *Entry) startJob(jb *job) {
	en.prepare(jb)
	en.advance(jb)
}

// broadcastJob sends the stored state of a job to all reachable entries.
func (en *Entry) broadcastJob(jb *job) {
	// The record of the job itself may have changes that are not stored yet.
	re := en.records[jb.Job.ID]
	if re == nil {
		return
	}
	en.broadcastNews(JobNews{Record: re.JobRecord, Begun: jb.begun})
}

// broadcastNews sends the state of a job to all reachable entries except this
// one.
func (en *Entry) broadcastNews(news JobNews) {
	for _, id := range en.reachable() {
		if id != en.id {
			en.eff.Send(id, news)
		}
	}
}

// Records returns the number of stored jobs of which this entry has a record.
func (en *Entry) Records() int { return len(en.records) }

// finishStored finishes a stored job after its final state has been stored.
func (en *Entry) finishStored(jb *job, state JobState) {
	answerCancels(jb.stored.cancels, Outcome{Kind: Completed, Reason: string(state)})
	kind := Completed
	switch state {
	case JobFailed:
		kind = Failed
	case JobCancelled:
		kind = Abandoned
	default:
	}
	en.finish(jb, Outcome{Kind: kind})
}

// dropLostJob drops a job whose row has been changed by another entry.
func (en *Entry) dropLostJob(jb *job, present *JobRecord) {
	en.eff.Log("job-lost", "job", string(jb.Job.ID), "accepted", jb.stored.accepted)
	if present != nil {
		en.updateRecord(*present, false)
		jb.continuedElsewhere = !present.State.ended()
	}
	// If an insertion has conflicted with a row, the job is already stored.
	en.finish(jb, Outcome{Kind: Accepted})
	for _, fn := range jb.stored.cancels {
		// The row belongs to another owner now, and is cancelled there.
		en.CancelStored(jb.Job.ID, fn)
	}
}

// updateRecord updates the record of a stored job, unless the present one is
// newer.
func (en *Entry) updateRecord(rec JobRecord, begun bool) {
	re := en.records[rec.ID]
	if re == nil {
		re = &record{}
		en.records[rec.ID] = re
	}
	if rec.Version < re.Version {
		return
	}
	en.recordIncarnation(rec.Owner, rec.Version)
	re.JobRecord = rec
	re.begun = re.begun || begun
	switch {
	case !rec.State.ended():
		en.openRecords[rec.ID] = re
		en.nameService(rec.Service)
	case re.endedAt.IsZero():
		re.endedAt = en.now()
		delete(en.openRecords, rec.ID)
		delete(en.savedCheckpoints, rec.ID)
		delete(en.keptCrashes, rec.ID)
		en.endedRecords = append(en.endedRecords, re)
	}
}

// PutRecord handles the row of a stored job that was read from the store.
func (en *Entry) PutRecord(rec JobRecord) {
	en.updateRecord(rec, false)
	jb := en.jobs[rec.ID]
	if jb == nil || jb.stored == nil {
		return
	}
	if st := jb.stored; st.writing && (!rec.State.ended() || st.rec.State.ended()) {
		// The row may be that of the write in flight, whose answer decides.
		return
	}
	en.checkOwnership(rec)
}

// checkOwnership drops a job that this entry owns if its present row shows that another
// entry has taken it over or ended it.
func (en *Entry) checkOwnership(rec JobRecord) {
	jb := en.jobs[rec.ID]
	if jb != nil && jb.stored != nil && rec.Version > jb.stored.rec.Version && !en.isOwnRow(jb.stored, &rec) {
		en.dropLostJob(jb, &rec)
	}
}

// DropRecord handles the removal of the row of a stored job.
func (en *Entry) DropRecord(id ids.JobID, version Version) {
	if re := en.records[id]; re != nil && re.Version <= version {
		delete(en.records, id)
		delete(en.openRecords, id)
	}
}

func (en *Entry) handleJobNews(ms JobNews) {
	en.updateRecord(ms.Record, ms.Begun)
	en.checkOwnership(ms.Record)
}

// recordEnd records the end of a run of a stored job and schedules its write.
// The worker keeps the end listed until it is stored.
func (en *Entry) recordEnd(jb *job, ref TaskRef, holder ids.EntryID, how End) {
	st := jb.stored
	name := taskName(ref.Task)
	if how == EndDone {
		if st.rec.Done == nil {
			st.rec.Done = map[string]Run{}
		}
		st.rec.Done[name] = ref.Run
		// Holders forget the failed ends of a task that is done, see statusOfEnd.
		delete(st.rec.Fails, name)
		delete(st.rec.FailsBefore, name)
		st.rec.setCrashes(name, nil)
	} else {
		st.rec.setFails(name, failedRuns{runs: append(slices.Clone(st.rec.Fails[name]), ref.Run), before: st.rec.FailsBefore[name]})
	}
	st.unstored = append(st.unstored, unstoredEnd{holder: holder, ref: ref})
	if !st.dirty {
		st.dirty, st.dirtyAt = true, en.now()
	}
}

// writeFinalState writes the final state of a job.
func (en *Entry) writeFinalState(jb *job, state JobState) {
	st := jb.stored
	if st.rec.State.ended() {
		return
	}
	st.rec.State = state
	if state != JobCompleted {
		st.rec.Latest = jb.latestRuns()
	}
	st.dirty, st.dirtyAt = true, en.now()
	en.writeJob(jb)
}

// State passes the state of a stored job to a function. If this entry has no
// record of the job it reads the row first, and calls the function later.
func (en *Entry) State(id ids.JobID, fn func(state JobState, begun, known, failed bool)) {
	if re := en.records[id]; re != nil {
		fn(re.State, re.begun, true, false)
		return
	}
	en.readJob(id, func(failed bool) {
		if re := en.records[id]; re != nil {
			fn(re.State, re.begun, true, false)
			return
		}
		fn("", false, false, failed)
	})
}

// readJob reads the row of a job. The function is called once the record has
// been updated, there is no row, or the read has failed.
func (en *Entry) readJob(id ids.JobID, fn func(failed bool)) {
	en.lookups[id] = append(en.lookups[id], fn)
	if len(en.lookups[id]) == 1 {
		en.eff.LoadJob(id)
	}
}

// JobLoaded handles the result of a read of a job.
func (en *Entry) JobLoaded(id ids.JobID, ld JobLoad) {
	if ld.Record != nil {
		en.PutRecord(*ld.Record)
	}
	calls := en.lookups[id]
	delete(en.lookups, id)
	for _, fn := range calls {
		fn(ld.Failed)
	}
	if re := en.records[id]; re != nil && re.loading {
		re.loading = false
		if ld.Body != nil && !ld.Failed {
			en.claimJob(re, *ld.Body)
		}
	}
}

// CancelStored cancels a stored job. It calls done once the cancellation is
// stored or has failed.
func (en *Entry) CancelStored(id ids.JobID, done func(out Outcome)) {
	if jb := en.jobs[id]; jb != nil && jb.stored != nil {
		jb.stored.cancels = append(jb.stored.cancels, done)
		en.writeFinalState(jb, JobCancelled)
		return
	}
	re := en.records[id]
	if re == nil {
		done(Outcome{Kind: Refused, Reason: "no-job"})
		return
	}
	if re.State.ended() {
		done(Outcome{Kind: Completed, Reason: string(re.State)})
		return
	}
	if ca := en.cancels[id]; ca != nil {
		ca.calls = append(ca.calls, done)
		return
	}
	en.cancels[id] = &cancellation{calls: []func(out Outcome){done}}
	en.writeCancel(re)
}

// cancellation is the cancellation of a stored job that another entry owns.
type cancellation struct {
	calls  []func(out Outcome) // the callers that wait for it
	writes int                 // attempts so far
}

// writeCancel writes the cancellation of a job that another entry owns.
func (en *Entry) writeCancel(re *record) {
	rec := re.JobRecord
	rec.State = JobCancelled
	// The owner would shorten a row that the store refuses; this entry does it at once.
	rec.shorten()
	en.cancels[re.ID].writes++
	en.eff.StoreJob(JobWrite{Record: rec, Expected: rec.Version})
}

// handleCancelReply handles the answer to writeCancel.
func (en *Entry) handleCancelReply(wr JobWrite, rep JobWriteReply) {
	id := wr.Record.ID
	if rep.Present != nil {
		en.updateRecord(*rep.Present, false)
	}
	ca := en.cancels[id]
	if ca == nil {
		return
	}
	re := en.records[id]
	switch {
	case rep.OK:
		wr.Record.Version = rep.Version
		en.updateRecord(wr.Record, false)
		en.broadcastNews(JobNews{Record: wr.Record})
	case re != nil && !re.State.ended() && ca.writes < maxCancelWrites:
		// The owner has changed the row in the meantime, or the answer was lost.
		en.writeCancel(re)
		return
	}
	delete(en.cancels, id)
	out := Outcome{Kind: Abandoned, Reason: "not stored"}
	if re != nil && re.State.ended() {
		out = Outcome{Kind: Completed, Reason: string(re.State)}
	}
	answerCancels(ca.calls, out)
}

// answerCancels passes the outcome of a cancellation to all callers that
// requested it.
func answerCancels(calls []func(out Outcome), out Outcome) {
	for _, fn := range calls {
		fn(out)
	}
}

// maxCancelWrites bounds the writes of one cancellation.
const maxCancelWrites = 12

// HeartbeatStored reports that the heartbeat that was sent at the given time is
// stored.
func (en *Entry) HeartbeatStored(sent time.Time) {
	if sent.After(en.lastBeatSent) {
		en.lastBeatSent = sent
	}
}

// tickStored writes pending changes of stored jobs, suspends jobs that another
// entry may take over, and takes over the jobs of owners that are gone.
func (en *Entry) tickStored(now time.Time) {
	fenced := en.partitioned(now, heartbeatFence)
	if fenced != en.fenced {
		en.fenced = fenced
		if !fenced {
			en.unfencedAt = now
		}
		en.eff.Log("jobs-fenced", "fenced", fenced, "beat-age-ms", now.Sub(en.lastBeatSent).Milliseconds())
	}
	for _, id := range sortedKeys(en.jobs) {
		jb := en.jobs[id]
		if jb == nil || jb.stored == nil {
			continue
		}
		if fenced {
			en.suspend(jb, now)
		} else if jb.suspended && !en.leaving && !jb.stored.dirty && !jb.stored.writing {
			// The job may have been taken over. A successful write shows that it has not.
			jb.stored.dirty, jb.stored.dirtyAt = true, time.Time{}
		}
		en.requestPastEnds(jb, now)
		st := jb.stored
		due := st.dirty && (now.Sub(st.dirtyAt) >= endWriteDelay || st.rec.State.ended())
		if due && !now.Before(st.retryAt) {
			en.writeJob(jb)
		}
		if en.leaving {
			en.releaseJob(jb, now)
		}
	}
	if now.Sub(en.lastJobClaimAt) < claimInterval {
		return
	}
	en.lastJobClaimAt = now
	en.claimJobs(now)
}

// findQueue returns the queue of the desired state with the given name.
func (en *Entry) findQueue(name string) (Queue, bool) {
	if en.desired == nil {
		return Queue{}, false
	}
	for _, qu := range en.desired.Queues {
		if qu.Name == name {
			return qu, true
		}
	}
	return Queue{}, false
}
