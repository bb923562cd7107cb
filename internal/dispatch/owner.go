package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Submission is a job that a caller waits for.
type Submission struct {
	Job      Job
	Queue    Queue
	Arrived  time.Time
	Deadline time.Time // when the caller stops waiting, zero if unknown
	// Done receives the final answer. It is called once.
	Done func(out Outcome)
}

// OutcomeKind is the kind of an Outcome.
type OutcomeKind string

// The kinds of outcome.
const (
	// Accepted jobs are stored; the caller asks for their result later.
	Accepted  OutcomeKind = "accepted"
	Completed OutcomeKind = "completed"
	Failed    OutcomeKind = "failed"
	// Refused jobs have not run and will not run.
	Refused OutcomeKind = "refused"
	// Abandoned jobs may have run in part; none of their tasks runs any more.
	Abandoned OutcomeKind = "abandoned"
)

// Outcome is the final answer to a submission or to a cancellation.
type Outcome struct {
	Kind       OutcomeKind
	Reason     string
	RetryAfter time.Duration
}

type taskState string

const (
	taskBlocked taskState = "blocked" // waits for earlier steps
	taskQueued  taskState = "queued"  // waits for room
	taskPlaced  taskState = "placed"  // sent to a holder
	taskRunning taskState = "running" // started on a worker
	taskLost    taskState = "lost"    // its holder cannot be reached; it may still run
	taskDone    taskState = "done"
	taskFailed  taskState = "failed" // permanently
	// taskBackoff tasks wait for a backoff before they are queued again.
	taskBackoff taskState = "resting"
)

type task struct {
	id            TaskID
	state         taskState
	run           Run
	failed        int // runs that ended failed
	stalls        int // runs that were stopped for running too long
	holder        ids.EntryID
	worker        ids.WorkerID
	token         Token // of the last holder for which this owner claimed the run, 0 if there is none
	placedAt      time.Time
	waitUntil     time.Time // the time by which a lost task has stopped, or the end of the backoff
	sent          bool      // this owner has sent a run of the task to a holder
	checkpoint    string
	checkpointRun Run // the run that saved the checkpoint
}

func (ta *task) ref() TaskRef { return TaskRef{Task: ta.id, Run: ta.run} }

// atHolder reports whether the task is at a holder, according to the messages
// received so far.
func (ta *task) atHolder() bool { return ta.state == taskPlaced || ta.state == taskRunning }

// tasksByHolder groups runs of tasks by holder.
type tasksByHolder map[ids.EntryID][]TaskRef

func (ht tasksByHolder) add(ta *task) { ht[ta.holder] = append(ht[ta.holder], ta.ref()) }

// sendEach sends one message to each holder about its tasks.
func (en *Entry) sendEach(ht tasksByHolder, message func(refs []TaskRef) Message) {
	for _, holder := range sortedKeys(ht) {
		en.send(holder, message(ht[holder]))
	}
}

func stopMessage(refs []TaskRef) Message { return Stop{Refs: refs} }

// occurrence is one execution of the steps of a job. A job that is not timed has
// exactly one.
type occurrence struct {
	num    int
	groups []*group // by step
	// inherited reports that the previous owner may have started tasks. They have
	// stopped by inheritedUntil of the job.
	inherited bool
	inTime    time.Time
	late      time.Time
}

// group is one step of an occurrence. Its tasks have the same requirements on a
// worker.
type group struct {
	id         GroupID
	job        *job
	occ        *occurrence
	step       int
	tasks      []*task
	shape      Shape // without the times, which are filled in on sending
	wantedFrom map[ids.EntryID]bool
	gang       gangState
	advice     adviceState
	// failedAt is when a run last failed. avoidHolders holds the holders of the
	// workers on which runs have failed; it is cleared when no run has failed for
	// carefulTime.
	failedAt     time.Time
	avoidHolders map[ids.EntryID]bool
}

type job struct {
	Submission
	occs        []*occurrence // the due occurrences that are not done, in order
	nextDue     int           // the first occurrence that is not due yet
	groups      []*group      // of all occurrences in occs
	estimate    time.Duration // expected run time of the longest chain of steps at speed 1
	inTime      time.Time
	late        time.Time
	begun       bool // a task has been started, or may have been
	firstSentAt time.Time
	waiters     int // connections that wait for the answer
	stored      *storedJob
	suspended   bool // no task is placed
	runBase     Run  // runs started by this owner have higher numbers
	// inheritedUntil is the time by which the runs of the previous owner have
	// stopped, zero for a job that was not taken over.
	inheritedUntil     time.Time
	continuedElsewhere bool // another entry continues the job
	// answered holds the entries that have reported which runs of the job have
	// ended on their workers. It is reset when a task is lost.
	answered map[ids.EntryID]bool
	askedAt  time.Time // when the other entries were last asked for ended runs
	lostAt   time.Time // when a task was last lost
	// waitLoggedAt is when the reason for not restarting a lost task was last
	// logged.
	waitLoggedAt time.Time
}

// The limits on jobs at their owner.
const (
	// lateFactor times the objective is the age above which an answer has no value
	// for the caller.
	lateFactor = 3
	// lostTaskTimeout is the time after the end of a session by which the tasks at
	// the holder have ended, even if the holder is dead and does not stop them.
	// Leases end at most contactLease after the last contact between holder and
	// owner; 90 ms for a slow clock and a late reading (maxClockDrift, leaseMargin)
	// leave 110 ms.
	lostTaskTimeout = 1700 * time.Millisecond
	// runNumberStep is the distance between the ranges of run numbers of different
	// owners. A task whose run a worker has refused as old skips one range, because
	// another entry has started the same task before.
	runNumberStep = 1000
	// maxWantHolders limits the number of holders that one group asks for room.
	maxWantHolders = 10
)

// Submit starts a job. Its Done is called once, possibly before Submit returns.
func (en *Entry) Submit(sub Submission) {
	if sub.Job.Stored {
		en.submitStored(sub)
		return
	}
	if old := en.jobs[sub.Job.ID]; old != nil {
		// The caller has lost its first connection and repeats the request.
		en.join(old, sub)
		return
	}
	jb := &job{Submission: sub, waiters: 1}
	en.jobs[sub.Job.ID] = jb
	en.prepare(jb)
	if !en.hasReadyWorker(sub.Queue.Service) && en.now().Sub(en.started) > startupTime {
		en.finish(jb, Outcome{Kind: Refused, Reason: "no-worker", RetryAfter: retryAfterNoWorker})
		return
	}
	en.advance(jb)
}

// prepare builds the tasks of a job and computes when it should end.
func (en *Entry) prepare(jb *job) {
	if jb.Job.Repeat.Count > 0 {
		jb.inTime, jb.late = jb.Arrived, jb.Arrived
		en.openDue(jb)
		return
	}
	jb.nextDue = 1
	oc := en.openOccurrence(jb, 0, jb.Arrived)
	jb.inTime, jb.late = oc.inTime, oc.late
	if sub := jb.Submission; !sub.Deadline.IsZero() && sub.Deadline.Before(jb.late) {
		jb.late, oc.late = sub.Deadline, sub.Deadline
	}
}

// openOccurrence builds the tasks of the occurrence with the given number and
// due time.
func (en *Entry) openOccurrence(jb *job, num int, due time.Time) *occurrence {
	oc := &occurrence{num: num}
	en.buildGroups(jb, oc)
	jb.estimate = oc.setChains(jb.Job.Steps)
	objective := time.Duration(float64(jb.estimate)*jb.Queue.Stretch) + jb.Queue.Slack
	oc.inTime = due.Add(objective)
	oc.late = due.Add(lateFactor * objective)
	jb.occs = append(jb.occs, oc)
	jb.groups = append(jb.groups, oc.groups...)
	if !jb.inheritedUntil.IsZero() {
		en.restoreTasks(jb, oc)
	}
	return oc
}

// openDue opens the occurrences of a timed job that are due.
func (en *Entry) openDue(jb *job) {
	rp := jb.Job.Repeat
	wall := en.eff.Wall().UnixMilli()
	for jb.nextDue < rp.Count {
		ago := time.Duration(wall-rp.First)*time.Millisecond - time.Duration(jb.nextDue)*rp.Interval
		if ago < 0 {
			return
		}
		if !jb.occurrenceDone(jb.nextDue) {
			oc := en.openOccurrence(jb, jb.nextDue, en.now().Add(-ago))
			en.eff.Log("occurrence-due", "job", string(jb.Job.ID), "occurrence", oc.num, "late-ms", ago.Milliseconds())
		}
		jb.nextDue++
	}
}

// closeOccurrences removes the occurrences of a timed job that are done.
func (en *Entry) closeOccurrences(jb *job) {
	if jb.Job.Repeat.Count == 0 {
		return
	}
	var occs []*occurrence
	var groups []*group
	for _, oc := range jb.occs {
		if !oc.done() {
			occs, groups = append(occs, oc), append(groups, oc.groups...)
			continue
		}
		for _, gr := range oc.groups {
			en.withdrawWants(gr)
			delete(en.groups, gr.id)
		}
	}
	jb.occs, jb.groups = occs, groups
}

func (oc *occurrence) done() bool {
	for _, gr := range oc.groups {
		if !gr.done() {
			return false
		}
	}
	return true
}

// lasting reports whether some tasks of the job run until it is cancelled.
func (jb Job) lasting() bool {
	return slices.ContainsFunc(jb.Steps, func(st Step) bool { return st.Lasting })
}

// lastingSteps lists the steps whose tasks run until the job is cancelled.
func (jb Job) lastingSteps() []int {
	var list []int
	for num, st := range jb.Steps {
		if st.Lasting {
			list = append(list, num)
		}
	}
	return list
}

// startupTime is the time after the start of an entry in which its list of
// workers may be incomplete. Jobs wait during that time; reading the store and
// becoming the holder of workers takes 0.5 s.
const startupTime = 1500 * time.Millisecond

// retryAfterNoWorker is the time after which the caller may retry when there is
// no worker of the service. It is about two report intervals of a worker.
const retryAfterNoWorker = 3 * time.Second

func (en *Entry) hasReadyWorker(svc ids.ServiceName) bool {
	for _, kw := range en.known {
		if kw.info.Service == svc && kw.info.State == WorkerReady {
			return true
		}
	}
	return false
}

func (en *Entry) buildGroups(jb *job, oc *occurrence) {
	for num, st := range jb.Job.Steps {
		en.lastGroup++
		gr := &group{id: en.lastGroup, job: jb, occ: oc, step: num, wantedFrom: map[ids.EntryID]bool{}}
		gr.shape = Shape{
			Service:      jb.Queue.Service,
			Need:         st.Need,
			Requirement:  st.Requirement,
			Affinity:     st.Affinity,
			AntiAffinity: st.AntiAffinity,
			Estimate:     en.estimators[jb.Queue.Name].estimate(st.Estimate),
			Priority:     jb.Queue.Priority,
			Stored:       jb.stored != nil,
			Lasting:      st.Lasting,
			Gang:         st.Gang,
			Advised:      jb.Queue.Advised,
		}
		prefix := string(jb.Job.ID) + "." + strconv.Itoa(oc.num) + "." + strconv.Itoa(num) + "."
		for idx := range st.Count {
			gr.tasks = append(gr.tasks, &task{id: TaskID(prefix + strconv.Itoa(idx)), state: taskBlocked})
		}
		oc.groups = append(oc.groups, gr)
		en.groups[gr.id] = gr
	}
}

// setChains sets, for each step, the estimated run time of the longest chain of
// steps that begins with it, and returns the longest of all.
func (oc *occurrence) setChains(steps []Step) time.Duration {
	longest := time.Duration(0)
	for num := len(oc.groups) - 1; num >= 0; num-- {
		sh := &oc.groups[num].shape
		sh.Chain += sh.Estimate
		longest = max(longest, sh.Chain)
		for _, dep := range steps[num].After {
			before := &oc.groups[dep].shape
			before.Chain = max(before.Chain, sh.Chain)
		}
	}
	return longest
}

// advance unblocks the steps whose earlier steps are done, and ends the job when
// all steps are done.
func (en *Entry) advance(jb *job) {
	for _, gr := range jb.groups {
		if gr.blocked() && gr.ready() {
			en.unblock(gr)
		}
	}
	en.closeOccurrences(jb)
	if jb.nextDue < max(1, jb.Job.Repeat.Count) || slices.ContainsFunc(jb.groups, func(gr *group) bool { return !gr.done() }) {
		return
	}
	if jb.stored != nil {
		en.writeFinalState(jb, JobCompleted)
		return
	}
	en.finish(jb, Outcome{Kind: Completed})
}

// unblock queues the tasks of a step, or marks them as lost if the previous
// owner may have started them.
func (en *Entry) unblock(gr *group) {
	for _, ta := range gr.tasks {
		switch {
		case ta.state != taskBlocked:
		case gr.occ.inherited:
			ta.state, ta.waitUntil = taskLost, gr.job.inheritedUntil
		default:
			ta.state = taskQueued
		}
	}
	en.chooseRack(gr)
	en.place(gr)
}

// ready reports whether all steps that the step waits for are done.
func (gr *group) ready() bool {
	for _, dep := range gr.job.Job.Steps[gr.step].After {
		if !gr.occ.groups[dep].done() {
			return false
		}
	}
	return true
}

func (gr *group) blocked() bool {
	for _, ta := range gr.tasks {
		if ta.state == taskBlocked {
			return true
		}
	}
	return false
}

func (gr *group) done() bool {
	for _, ta := range gr.tasks {
		if ta.state != taskDone {
			return false
		}
	}
	return true
}

func (gr *group) queued() []*task {
	var list []*task
	for _, ta := range gr.tasks {
		if ta.state == taskQueued {
			list = append(list, ta)
		}
	}
	return list
}

// task returns the group and the task for an id, nil if this entry does not own
// the job or has no such task.
func (en *Entry) task(id TaskID) (*group, *task) {
	at, ok := parseTaskID(id)
	jb := en.jobs[at.job]
	if !ok || jb == nil {
		return nil, nil
	}
	for _, oc := range jb.occs {
		if oc.num == at.occ && at.step < len(oc.groups) && at.idx < len(oc.groups[at.step].tasks) {
			gr := oc.groups[at.step]
			return gr, gr.tasks[at.idx]
		}
	}
	return nil, nil
}

// currentTask returns the task of a reference, nil unless the reference names
// its latest run and that run has not ended.
func (en *Entry) currentTask(ref TaskRef) (*group, *task) {
	gr, ta := en.task(ref.Task)
	if ta == nil || ta.run != ref.Run {
		return nil, nil
	}
	switch ta.state {
	case taskDone, taskQueued, taskFailed, taskBackoff:
		return nil, nil
	default:
		return gr, ta
	}
}

func (en *Entry) handleRunning(from ids.EntryID, ms Running) {
	gr, ta := en.currentTask(ms.Ref)
	if ta == nil || ta.holder != from {
		return
	}
	ta.state, ta.worker = taskRunning, ms.Worker
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
	if ms.How == EndLost && from != ta.holder {
		// The lease that has expired at the previous holder may have been extended by
		// the present one.
		return
	}
	jb := gr.job
	if ms.Checkpoint != "" {
		ta.checkpointRun = ms.Ref.Run
		gr.setCheckpoint(ta, ms.Checkpoint)
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
			en.recordEnd(gr.job, other, holder, EndDone)
		}
	}
	en.advance(gr.job)
}

// failTask records that a run of a task has failed, and reports whether the job
// has ended because of it.
func (en *Entry) failTask(gr *group, ta *task, from ids.EntryID, ms Ended) bool {
	jb := gr.job
	ta.failed++
	gr.failedAt = en.now()
	if gr.avoidHolders == nil {
		gr.avoidHolders = map[ids.EntryID]bool{}
	}
	gr.avoidHolders[from] = true
	failed := ta.failed
	if gr.shape.Gang {
		failed = gr.addFailedRun(ta.run)
	}
	en.eff.Log("task-failed", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(ta.run),
		"worker", string(ms.Worker), "holder", string(from), "failed", failed, "attempts", jb.Queue.MaxAttempts)
	if jb.stored != nil {
		en.recordEnd(jb, ta, from, EndFailed)
	}
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
	ta.state, ta.holder, ta.worker, ta.token = taskQueued, "", "", 0
	if gr.shape.Gang {
		en.stopGang(gr)
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
		reply.Keep = append(reply.Keep, Kept{Ref: ref, Group: gr.id, Job: gr.job.Job.ID, Shape: gr.currentShape(now)})
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

// Cancel records that a connection no longer waits for a job. When no connection
// is left the job ends.
func (en *Entry) Cancel(id ids.JobID, reason string) {
	if jb := en.jobs[id]; jb != nil && (jb.stored == nil || !jb.stored.accepted) {
		if jb.stored != nil {
			// The insertion is in flight: the job may still be accepted after the
			// callers have received this answer.
			done := jb.Done
			jb.Done = func(Outcome) {}
			done(Outcome{Kind: Abandoned, Reason: reason})
			return
		}
		jb.waiters--
		if jb.waiters > 0 {
			return
		}
		kind := Refused
		if jb.begun {
			kind = Abandoned
		}
		en.finish(jb, Outcome{Kind: kind, Reason: reason})
	}
}

// finish answers a job and stops the tasks that may still run.
func (en *Entry) finish(jb *job, out Outcome) {
	delete(en.jobs, jb.Job.ID)
	stops := tasksByHolder{}
	for _, gr := range jb.groups {
		delete(en.groups, gr.id)
		en.withdrawWants(gr)
		for _, ta := range gr.tasks {
			if jb.continuedElsewhere && gr.shape.Lasting {
				continue
			}
			if ta.atHolder() || ta.state == taskLost {
				stops.add(ta)
			}
		}
	}
	en.sendEach(stops, stopMessage)
	took := en.now().Sub(jb.Arrived)
	en.eff.Observe("job."+string(out.Kind), took)
	en.eff.Count("job", string(out.Kind), 1)
	if out.Reason != "" {
		en.eff.Count("refusal", out.Reason, 1)
	}
	firstSent := int64(-1)
	if !jb.firstSentAt.IsZero() {
		firstSent = jb.firstSentAt.Sub(jb.Arrived).Milliseconds()
	}
	en.eff.Log("job-ended", "job", string(jb.Job.ID), "queue", jb.Queue.Name, "outcome", string(out.Kind),
		"reason", out.Reason, "took-ms", took.Milliseconds(), "objective-ms", jb.inTime.Sub(jb.Arrived).Milliseconds(),
		"first-sent-ms", firstSent, "begun", jb.begun, "tasks", jb.taskCounts(), "version", en.version())
	jb.Done(out)
}

func (en *Entry) version() int64 {
	if en.desired == nil {
		return 0
	}
	return en.desired.Version
}

// taskCounts formats the number of tasks in each state for the log.
func (jb *job) taskCounts() string {
	counts := map[taskState]int{}
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			counts[ta.state]++
		}
	}
	var text []string
	for _, st := range []taskState{taskBlocked, taskQueued, taskPlaced, taskRunning, taskLost, taskBackoff, taskDone, taskFailed} {
		if counts[st] > 0 {
			text = append(text, string(st)+":"+strconv.Itoa(counts[st]))
		}
	}
	return strings.Join(text, ",")
}

// Jobs returns the number of jobs that this entry owns and that have not ended.
func (en *Entry) Jobs() int { return len(en.jobs) }

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

func (en *Entry) tickOwner(now time.Time) {
	en.checkHolders(now)
	var ended []*job
	for _, id := range sortedKeys(en.jobs) {
		jb := en.jobs[id]
		en.requeueWaiting(jb, now)
		if jb.nextDue < jb.Job.Repeat.Count && (jb.stored == nil || jb.stored.accepted) && !jb.suspended {
			en.openDue(jb)
			en.advance(jb)
			if en.jobs[id] != jb {
				continue
			}
		}
		en.clearAvoided(jb, now)
		en.tickGangs(jb, now)
		en.tickAdvice(jb, now)
		if jb.stored != nil {
			continue
		}
		if !jb.Deadline.IsZero() && now.After(jb.Deadline) {
			ended = append(ended, jb)
			continue
		}
		if en.tooLate(jb, now) {
			ended = append(ended, jb)
		}
	}
	slices.SortFunc(ended, func(a, b *job) int { return a.Arrived.Compare(b.Arrived) })
	for _, jb := range ended {
		kind, reason := Abandoned, "deadline"
		if jb.notStarted() {
			kind, reason = Refused, "overload"
		}
		en.finish(jb, Outcome{Kind: kind, Reason: reason, RetryAfter: retryAfterOverload})
	}
}

// clearAvoided allows all holders again for tasks of a group in which no run has
// failed for carefulTime.
func (en *Entry) clearAvoided(jb *job, now time.Time) {
	for _, gr := range jb.groups {
		if gr.avoidHolders == nil || now.Sub(gr.failedAt) < carefulTime {
			continue
		}
		gr.avoidHolders = nil
		if !gr.shape.Gang && len(gr.queued()) > 0 {
			en.place(gr)
		}
	}
}

// retryAfterOverload is the time after which the caller may retry when a job was
// refused because of overload. It is a few times the longest task that this
// system is designed for.
const retryAfterOverload = 2 * time.Second

// tooLate reports whether no task of a job has begun and the job can no longer
// end in time to be of use to its caller.
func (en *Entry) tooLate(jb *job, now time.Time) bool {
	return jb.Job.Repeat.Count == 0 && jb.notStarted() && now.Add(jb.estimate).After(jb.late)
}

// notStarted reports whether no worker can have started a task of the job.
func (jb *job) notStarted() bool {
	if jb.begun {
		return false
	}
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if ta.state != taskBlocked && ta.state != taskQueued {
				return false
			}
		}
	}
	return true
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
				en.eff.Log("task-again", "job", string(jb.Job.ID), "task", string(ta.id), "run", int64(ta.run),
					"worker", string(ta.worker), "holder", string(ta.holder), "reason", "holder-lost")
				en.requeue(gr, ta, false)
			}
		}
	}
}

// Pending returns the number of jobs of a queue of which no task has begun. It
// counts the stored jobs of all entries and the other jobs of this entry.
func (en *Entry) Pending(queue string) int {
	count := 0
	for _, jb := range en.jobs {
		if jb.Queue.Name == queue && !jb.begun && jb.stored == nil && jb.Job.Repeat.Count == 0 {
			count++
		}
	}
	for _, re := range en.openRecords {
		if re.Queue == queue && !re.begun && !re.Timed {
			count++
		}
	}
	return count
}

// HasCaller reports whether the caller of a job that is not stored waits at this
// entry.
func (en *Entry) HasCaller(id ids.JobID) bool {
	jb := en.jobs[id]
	return jb != nil && jb.stored == nil
}

// taskName returns the part of a task id that follows the job id.
func taskName(id TaskID) string {
	_, name, _ := strings.Cut(string(id), ".")
	return name
}
