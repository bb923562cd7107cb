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
	born          int64 // the lifetime of the worker, 0 if unknown
	crashes       []crash
	tries         int   // runs since workers have crashed under the task, see maxTries
	triedRun      Run   // the last of these
	provenRun     Run   // a long-running task has run for provenTime in this run, and crashes until then don't count
	token         Token // of the last holder for which this owner claimed the run, 0 if there is none
	placedAt      time.Time
	waitUntil     time.Time // the time by which a lost task has stopped, or the end of the backoff
	sent          bool      // this owner has sent a run of the task to a holder
	waitObserved  bool
	checkpoint    string
	checkpointRun Run // the run that saved the checkpoint
	movedRun      Run // the run that was last stopped in order to move the task
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
	waiters     int           // connections that wait for the answer
	age         time.Duration // least age of the request when it arrived, see requestAge
	stored      *storedJob
	demand      *queueDemand // that the job counts towards, nil for none
	suspended   bool         // no task is placed
	runBase     Run          // runs started by this owner have higher numbers
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
	if en.onlyEvacuated(jb) {
		en.finish(jb, evacuatedOutcome(jb))
		return
	}
	if en.refuseAged(jb) || en.refuseOnArrival(jb) {
		return
	}
	en.advance(jb)
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

// Cancel records that a connection no longer waits for a job. When no connection
// is left the job ends.
func (en *Entry) Cancel(id ids.JobID, reason string) {
	if jb := en.jobs[id]; jb != nil && (jb.stored == nil || !jb.stored.accepted) {
		jb.waiters--
		if jb.waiters > 0 {
			return
		}
		if jb.stored != nil {
			// The insertion is in flight: the job may still be accepted after the
			// callers have received this answer.
			done := jb.Done
			jb.Done = func(Outcome) {}
			done(Outcome{Kind: Abandoned, Reason: reason})
			return
		}
		kind := Refused
		if !jb.notStarted() {
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
		"reason", out.Reason, "took-ms", took.Milliseconds(), "objective-ms", jb.inTime.Add(jb.age).Sub(jb.Arrived).Milliseconds(),
		"first-sent-ms", firstSent, "age-ms", jb.age.Milliseconds(), "begun", jb.begun, "tasks", jb.taskCounts(), "version", en.version())
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

func (en *Entry) tickOwner(now time.Time) {
	en.checkHolders(now)
	var ended []*job
	for _, id := range sortedKeys(en.jobs) {
		jb := en.jobs[id]
		en.requeueWaiting(jb, now)
		if en.jobs[id] != jb {
			// The job was given up.
			continue
		}
		if jb.nextDue < jb.Job.Repeat.Count && (jb.stored == nil || jb.stored.accepted) && !jb.suspended {
			en.openDue(jb)
			en.advance(jb)
			if en.jobs[id] != jb {
				continue
			}
		}
		en.clearAvoided(jb, now)
		en.widenWants(jb, now)
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
	en.finishUnserved(ended)
	en.tickDemand(now)
}

// finishUnserved answers jobs that can no longer be served, the oldest first.
func (en *Entry) finishUnserved(ended []*job) {
	slices.SortFunc(ended, func(a, b *job) int { return a.Arrived.Compare(b.Arrived) })
	waits := map[ids.ServiceName]time.Duration{}
	for _, jb := range ended {
		svc := jb.Queue.Service
		if _, ok := waits[svc]; !ok {
			waits[svc] = en.queueTime(svc)
		}
		kind, reason := Abandoned, "deadline"
		if jb.notStarted() {
			kind, reason = Refused, "overload"
		}
		en.finish(jb, Outcome{Kind: kind, Reason: reason, RetryAfter: retryAfterOverload(waits[svc], jb.Job.ID)})
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
