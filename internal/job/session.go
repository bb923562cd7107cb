package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

// session holds the jobs of the manager under one incarnation. It ends when a
// commit fails because its incarnation is fenced.
type session struct {
	mg    *Manager
	inc   ids.Incarnation
	began time.Time
	com   *groupcommit.Committer[*record]
	grp   *group.Group

	mu         sync.Mutex
	dropped    bool
	jobs       map[ids.JobID]*ownedJob
	ownedBytes int // of the bodies and results of the jobs
	logs       map[string]*logInfo
	recent     recentRows
	// leaving prevents the sending of tasks that have no committed intent;
	// sending counts the tasks that are being sent.
	leaving bool
	sending int
	// outage is a channel that is closed while the table is down.
	outage chan struct{}
}

// taskPhase is the progress of a task. A task beyond taskAssigned may have
// started.
type taskPhase uint8

const (
	taskQueued   taskPhase = iota // queued at the scheduler
	taskAssigned                  // assigned; the intent is not committed yet
	taskSent
	taskStoring // its result is being written to the object store
	taskDone
)

type task struct {
	phase         taskPhase
	inObjectStore bool
	attempts      int
	placement     worker.Placement
}

// ownedJob is a job of this session. Its fields are guarded by session.mu.
type ownedJob struct {
	sub         Submission
	issued      bool
	size        int
	version     int64 // of the job row; 0 until the admission is committed
	enqueued    bool  // the tasks are enqueued at the scheduler
	tasks       []task
	remaining   int
	results     []json.RawMessage
	inlineBytes int // bytes of the results that are stored in the row
	resultBytes int // bytes of all results, in the row or the object store
	finalRow    *jobRow
	logs        []string
	// admitted is closed when the outcome of the admission is known, or when
	// the job runs without the table. admitErr is set if the admission failed;
	// existingRow is the row in the table if the id was already in use.
	admitted    chan struct{}
	admitErr    error
	existingRow []byte
	// done is closed when answered is set. Then finalRow is the answer for the
	// callers, or nil if the session gave up the job, if the admission failed,
	// or if another entry took the job over.
	done     chan struct{}
	answered bool
}

// errSessionEnded means that the session ended before the job was admitted.
var errSessionEnded = errors.New("the session met its fence")

func newSession(mg *Manager, num int) *session {
	se := &session{
		mg:    mg,
		inc:   sessionName(mg.opt.Incarnation, num),
		began: time.Now(),
		grp:   group.New(context.Background()),
		jobs:  map[ids.JobID]*ownedJob{},
		logs:  map[string]*logInfo{},

		outage: make(chan struct{}),
	}
	se.com = groupcommit.New(groupcommit.Options[*record]{
		Store:     mg.store,
		Guards:    []string{fenceKey(se.inc)},
		LogKey:    func(seq int64) string { return logKey(se.inc, seq) },
		Encode:    encodeLog,
		Token:     logToken,
		NewToken:  uuid.NewString,
		Interval:  mg.store.interval,
		Committed: se.handleCommit,
	})
	return se
}

func (se *session) start() {
	const outageTick = 100 * time.Millisecond
	se.com.Start()
	se.grp.Every(outageTick, func(context.Context) { se.checkOutage() })
	se.grp.Every(sweepInterval, se.sweep)
}

// owns reports whether the session has jobs that another entry would have to
// take over.
func (se *session) owns() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.jobs) > 0
}

// drop gives up the jobs of the session. Their tasks keep running on the
// workers, where the next owner queries their results.
func (se *session) drop() {
	se.mu.Lock()
	se.dropped = true
	jobs := se.jobs
	se.jobs = map[ids.JobID]*ownedJob{}
	var waiting []worker.TaskID
	for _, oj := range jobs {
		waiting = append(waiting, oj.unsentTasks()...)
		se.abandonJob(oj, errSessionEnded)
	}
	se.mu.Unlock()
	se.mg.opt.Scheduler.Withdraw(waiting)
}

// close stops the goroutines of the session and waits for them. None of them may
// call it.
func (se *session) close() {
	se.grp.Close()
	se.com.Close()
}

// abandonJob wakes all callers that wait for a job that the session gives up. It
// discards a decision that was not returned to callers, because the next owner
// may decide differently.
func (se *session) abandonJob(oj *ownedJob, err error) {
	if !oj.isAdmitted() {
		oj.admitErr = err
		close(oj.admitted)
	}
	if !oj.answered {
		oj.finalRow = nil
		oj.answered = true
		close(oj.done)
	}
}

func (oj *ownedJob) isAdmitted() bool {
	select {
	case <-oj.admitted:
		return true
	default:
		return false
	}
}

// unsentTasks returns the tasks that were not sent to a worker.
func (oj *ownedJob) unsentTasks() []worker.TaskID {
	var out []worker.TaskID
	for i := range oj.tasks {
		if oj.enqueued && oj.tasks[i].phase <= taskAssigned {
			out = append(out, taskID(oj.sub.ID, i))
		}
	}
	return out
}

// findAdmitted returns an admitted job of the session, or nil.
func (se *session) findAdmitted(id ids.JobID) *ownedJob {
	se.mu.Lock()
	defer se.mu.Unlock()
	if oj := se.jobs[id]; oj != nil && oj.isAdmitted() {
		return oj
	}
	return nil
}

// statusOf returns the state of a job. A decision that is not yet answered is
// reported as running.
func (se *session) statusOf(ctx context.Context, oj *ownedJob) (Status, error) {
	se.mu.Lock()
	finalRow := oj.finalRow
	if !oj.answered {
		finalRow = nil
	}
	se.mu.Unlock()
	if finalRow == nil {
		return Status{ID: oj.sub.ID, State: StateRunning}, nil
	}
	return se.mg.statusOfRow(ctx, oj.sub.ID, finalRow)
}

func newOwnedJob(sub Submission, size int) *ownedJob {
	_, issued := parseIssuedID(sub.ID)
	return &ownedJob{
		sub:       sub,
		issued:    issued,
		size:      size,
		tasks:     make([]task, len(sub.Tasks)),
		remaining: len(sub.Tasks),
		results:   make([]json.RawMessage, len(sub.Tasks)),
		admitted:  make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// submit admits a job and waits until the admission is committed.
func (se *session) submit(ctx context.Context, sub Submission, maxJobs int) (Status, error) {
	oj, ticket, err := se.admit(sub, maxJobs)
	if err != nil {
		return Status{}, err
	}
	if err := se.awaitAdmission(ctx, oj, ticket); err != nil {
		return Status{}, err
	}
	if oj.existingRow != nil {
		status, _, err := se.mg.readRow(ctx, sub.ID, oj.existingRow)
		return status, err
	}
	return se.statusOf(ctx, oj)
}

type admitTicket = *groupcommit.Ticket[*record]

// admit queues the admission of a job. If the session already has the job, it
// returns that one with a nil ticket.
func (se *session) admit(sub Submission, maxJobs int) (*ownedJob, admitTicket, error) {
	raw, err := json.Marshal(sub)
	if err != nil {
		return nil, nil, refuseInput("invalid-payload", err.Error(), "send valid JSON")
	}
	if oj := se.findJob(sub.ID); oj != nil {
		return oj, nil, nil
	}
	if err := se.checkAdmission(sub, len(raw)); err != nil {
		return nil, nil, err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.dropped {
		return nil, nil, errSessionEnded
	}
	if oj := se.jobs[sub.ID]; oj != nil {
		return oj, nil, nil
	}
	if len(se.jobs) >= maxJobs || se.ownedBytes+len(raw) > maxOwnedBytes {
		return nil, nil, se.refuseBusy("too-many-jobs", "this entry holds as many jobs as it may", time.Second)
	}
	oj := newOwnedJob(sub, len(raw))
	row, err := json.Marshal(jobRow{Owner: se.inc, Token: uuid.NewString(), State: StateRunning})
	if err != nil {
		return nil, nil, err
	}
	rec := &record{
		changes: []groupcommit.Change{{Key: jobKey(sub.ID), Value: row}},
		admit:   &admission{Job: raw},
	}
	ticket, err := se.com.Add(rec, func(res groupcommit.Result) { se.handleAdmission(oj, res) })
	switch {
	case errors.Is(err, groupcommit.ErrFull):
		return nil, nil, se.refuseBusy("table-backlog", "too many records wait for the table", outageRetry)
	case errors.Is(err, groupcommit.ErrGuarded), errors.Is(err, groupcommit.ErrUnresolved):
		return nil, nil, errSessionEnded
	case err != nil:
		return nil, nil, err
	}
	se.jobs[sub.ID] = oj
	se.ownedBytes += oj.size
	return oj, &ticket, nil
}

func (se *session) findJob(id ids.JobID) *ownedJob {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.jobs[id]
}

func (se *session) refuseBusy(reason, message string, retryAfter time.Duration) error {
	return outcome.Refuse(http.StatusServiceUnavailable, reason, message, "try again later or use another entry", retryAfter)
}

// checkAdmission makes the checks of a submission that do not need the table.
func (se *session) checkAdmission(sub Submission, size int) error {
	if size > maxBodyBytes {
		return outcome.Refuse(http.StatusRequestEntityTooLarge, "too-large",
			fmt.Sprintf("the job has %d bytes; the limit is %d", size, maxBodyBytes), "split the job, or pass large payloads by reference", 0)
	}
	for i := range sub.Tasks {
		if err := se.mg.opt.Scheduler.Admissible(demandOf(&sub, i)); err != nil {
			return err
		}
	}
	iss, issued := parseIssuedID(sub.ID)
	if issued && time.Since(se.began)-iss.age > issuedLifetime {
		return refuseInput("expired-id", fmt.Sprintf("the id was issued more than %s ago", issuedLifetime), "ask for a new id")
	}
	if !issued && se.com.Down() {
		return errTableDown()
	}
	return nil
}

func errTableDown() error {
	return outcome.Refuse(http.StatusServiceUnavailable, "table-unavailable",
		"the table is down; this submission was not admitted", "come back later with the same id, or submit under an id issued beforehand", outageRetry)
}

func demandOf(sub *Submission, index int) worker.Demand {
	ts := &sub.Tasks[index]
	return worker.Demand{
		Task:         taskID(sub.ID, index),
		Team:         sub.Team,
		Job:          sub.ID,
		Kind:         ts.Kind,
		Processors:   ts.Processors,
		Memory:       ts.Memory,
		Accelerators: ts.Accelerators,
		RunMillis:    ts.RunMillis,
	}
}

// awaitAdmission waits for the outcome of an admission. On a timeout or an
// outage it refuses the submission if the record can be withdrawn; otherwise the
// outcome is unknown.
func (se *session) awaitAdmission(ctx context.Context, oj *ownedJob, ticket admitTicket) error {
	var outage <-chan struct{}
	if !oj.issued {
		outage = se.outageSignal()
	}
	timer := time.NewTimer(commitTimeout)
	defer timer.Stop()
	select {
	case <-oj.admitted:
	case <-outage:
	case <-ctx.Done():
	case <-timer.C:
	}
	if oj.isAdmitted() || ticket != nil && se.withdrawAdmission(oj, ticket) || oj.isAdmitted() {
		return oj.admitErr
	}
	return unknownOutcome("commit-outcome-unknown", "the table has not confirmed the submission")
}

// outageSignal returns a channel that is closed while the table is down.
func (se *session) outageSignal() <-chan struct{} {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.outage
}

func (se *session) signalOutage(down bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	select {
	case <-se.outage:
		if !down {
			se.outage = make(chan struct{})
		}
	default:
		if down {
			close(se.outage)
		}
	}
}

// withdrawAdmission withdraws the admission of a job that is not running. It
// reports false if the admission may have been committed.
func (se *session) withdrawAdmission(oj *ownedJob, ticket admitTicket) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if oj.isAdmitted() || !ticket.Withdraw() {
		return false
	}
	delete(se.jobs, oj.sub.ID)
	se.ownedBytes -= oj.size
	se.abandonJob(oj, errTableDown())
	return true
}

// handleCommit keeps track of each log row, so that sweep deletes it later.
func (se *session) handleCommit(com groupcommit.Commit) {
	cnt := se.mg.opt.Counters
	cnt.Add(counter.Table, "job-commits", 1)
	cnt.Add(counter.Table, "job-records", int64(com.Records))
	cnt.Add(counter.Table, "job-rows", int64(com.Rows))
	cnt.Add(counter.Table, "job-bytes", int64(com.Bytes))
	se.mu.Lock()
	defer se.mu.Unlock()
	se.logs[logKey(se.inc, com.Seq)] = &logInfo{version: com.Version, committedAt: time.Now()}
}

// handleAdmission handles the outcome of an admission.
func (se *session) handleAdmission(oj *ownedJob, res groupcommit.Result) {
	if errors.Is(res.Err, groupcommit.ErrGuarded) {
		se.mg.replaceSession(se)
		return
	}
	se.mu.Lock()
	if se.dropped {
		se.mu.Unlock()
		return
	}
	if res.Err != nil {
		unsentTasks := se.removeUnadmitted(oj, res)
		se.mu.Unlock()
		se.mg.opt.Scheduler.Withdraw(unsentTasks)
		return
	}
	oj.version = res.Version
	se.pin(oj, res)
	run := !oj.enqueued
	oj.enqueued = true
	if !oj.isAdmitted() {
		close(oj.admitted)
	}
	if oj.finalRow != nil {
		se.recordDecision(oj)
	}
	se.mu.Unlock()
	se.mg.opt.Counters.Add(counter.Job, "admitted", 1)
	if run {
		se.enqueue(oj)
	}
}

// removeUnadmitted removes a job whose admission failed, usually because its row
// already exists. It returns the tasks to withdraw.
func (se *session) removeUnadmitted(oj *ownedJob, res groupcommit.Result) []worker.TaskID {
	if se.jobs[oj.sub.ID] == oj {
		delete(se.jobs, oj.sub.ID)
	}
	se.ownedBytes -= oj.size
	err := unknownOutcome("commit-outcome-unknown", "the entry stopped before the table confirmed the submission")
	if len(res.Conflicts) > 0 {
		oj.existingRow = res.Conflicts[0].Value
		err = nil
	}
	unsentTasks := oj.unsentTasks()
	se.abandonJob(oj, err)
	return unsentTasks
}

// enqueue queues the tasks that have no intent at the scheduler.
func (se *session) enqueue(oj *ownedJob) {
	se.mu.Lock()
	var dms []worker.Demand
	if oj.finalRow == nil && !se.dropped {
		for i := range oj.tasks {
			if oj.tasks[i].phase == taskQueued {
				dms = append(dms, demandOf(&oj.sub, i))
			}
		}
	}
	se.mu.Unlock()
	if len(dms) > 0 {
		se.mg.opt.Scheduler.Enqueue(dms, se.handleAssignment)
	}
}

// findTask returns the job of a task and the index of the task in it, or nil if
// the job is decided or not in the session. The caller holds the lock.
func (se *session) findTask(id worker.TaskID) (*ownedJob, int) {
	job, index, ok := parseTaskID(id)
	oj := se.jobs[job]
	if !ok || oj == nil || oj.finalRow != nil || index >= len(oj.tasks) {
		return nil, 0
	}
	return oj, index
}

// handleAssignment is called when the scheduler has reserved room for a task.
// It records the intent to send the task.
func (se *session) handleAssignment(id worker.TaskID, pl worker.Placement) {
	se.mu.Lock()
	oj, index := se.findTask(id)
	if oj == nil || oj.tasks[index].phase != taskQueued || !se.shouldSend(oj, index) {
		se.mu.Unlock()
		// The next session may have queued the task again under the same id.
		if job, _, _ := parseTaskID(id); se.mg.session() == se || se.mg.session().findJob(job) == nil {
			se.mg.opt.Scheduler.Withdraw([]worker.TaskID{id})
		}
		return
	}
	oj.tasks[index].phase = taskAssigned
	oj.tasks[index].placement = pl
	se.mu.Unlock()
	se.recordIntent(oj, index, pl)
	if oj.issued && se.com.Down() {
		se.startSend(oj, index)
	}
}

// recordIntent commits the intent to send a task.
func (se *session) recordIntent(oj *ownedJob, index int, pl worker.Placement) {
	const fullRetry = 100 * time.Millisecond
	rec := &record{
		intent:    &intent{Job: oj.sub.ID, Worker: pl.Worker, Tasks: []int{index}},
		placement: pl,
	}
	_, err := se.com.Add(rec, func(res groupcommit.Result) { se.handleIntent(oj, index, res) })
	switch {
	case errors.Is(err, groupcommit.ErrGuarded):
		se.mg.replaceSession(se)
	case errors.Is(err, groupcommit.ErrFull):
		se.grp.Go(func(ctx context.Context) {
			waitFor(ctx, nil, fullRetry)
			if ctx.Err() == nil {
				se.recordIntent(oj, index, pl)
			}
		})
	}
}

func (se *session) handleIntent(oj *ownedJob, index int, res groupcommit.Result) {
	if errors.Is(res.Err, groupcommit.ErrGuarded) {
		se.mg.replaceSession(se)
		return
	}
	if res.Err != nil {
		return
	}
	se.mu.Lock()
	if oj.finalRow == nil && !se.dropped {
		se.pin(oj, res)
	}
	se.mu.Unlock()
	se.startSend(oj, index)
}

// startSend starts to send a task whose intent is committed, or a task of a job
// with an issued id while the table is down.
func (se *session) startSend(oj *ownedJob, index int) {
	se.mu.Lock()
	if oj.finalRow != nil || se.dropped || oj.tasks[index].phase != taskAssigned {
		se.mu.Unlock()
		return
	}
	oj.tasks[index].phase = taskSent
	se.sending++
	pl := oj.tasks[index].placement
	ts := oj.sub.Tasks[index]
	se.mu.Unlock()
	se.grp.Go(func(ctx context.Context) {
		se.send(ctx, oj, index, pl, ts)
		se.mu.Lock()
		se.sending--
		se.mu.Unlock()
	})
}

const (
	sendTimeout = 5 * time.Second
	taskLease   = 15 * time.Second
	// maxRefusals is the number of refusals by workers after which a task fails.
	maxRefusals = 50
)

func (se *session) send(ctx context.Context, oj *ownedJob, index int, pl worker.Placement, ts TaskSpec) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := se.mg.opt.Traffic.Start(ctx, pl, worker.Task{
		ID:           taskID(oj.sub.ID, index),
		Kind:         ts.Kind,
		Payload:      ts.Payload,
		Processors:   ts.Processors,
		Memory:       ts.Memory,
		Accelerators: ts.Accelerators,
		RunMillis:    ts.RunMillis,
		LeaseMillis:  taskLease.Milliseconds(),
	})
	if errors.Is(err, worker.ErrRefused) {
		se.handleRefusal(oj, index, pl)
		return
	}
	if errors.Is(err, worker.ErrNotAssigned) {
		// The reserved room was freed before the start, so no report will come.
		se.handleLost(taskID(oj.sub.ID, index), err.Error())
		return
	}
	// After any other error the task may be running; Traffic tracks it and
	// reports its end.
	se.mu.Lock()
	stop := oj.finalRow != nil && oj.answered && !se.dropped
	if err == nil && oj.tasks[index].phase >= taskSent {
		oj.sub.Tasks[index].Payload = nil
	}
	se.mu.Unlock()
	if stop {
		se.mg.opt.Traffic.Stop([]worker.TaskID{taskID(oj.sub.ID, index)})
	}
}

// handleRefusal enqueues a task again that a worker provably did not start.
func (se *session) handleRefusal(oj *ownedJob, index int, pl worker.Placement) {
	se.mg.opt.Counters.Add(counter.Retry, "worker-refused", 1)
	se.mu.Lock()
	if oj.finalRow != nil || se.dropped || oj.tasks[index].phase != taskSent {
		se.mu.Unlock()
		return
	}
	oj.tasks[index].phase = taskQueued
	oj.tasks[index].attempts++
	if oj.tasks[index].attempts >= maxRefusals {
		withdraw := se.fail(oj, index, fmt.Sprintf("%d workers refused the task, %s the last", maxRefusals, pl.Worker))
		se.mu.Unlock()
		withdraw()
		return
	}
	dm := demandOf(&oj.sub, index)
	se.mu.Unlock()
	se.mg.opt.Scheduler.Enqueue([]worker.Demand{dm}, se.handleAssignment)
}

// checkOutage replaces the session if it is fenced, signals whether the table is
// down, and advances the jobs with issued ids while it is. Only this session may
// ever start them, so no record is needed to prevent another entry from doing so.
func (se *session) checkOutage() {
	if se.com.Guarded() {
		se.mg.replaceSession(se)
	}
	down := se.com.Down()
	se.signalOutage(down)
	if !down {
		return
	}
	var run []*ownedJob
	var answer []*ownedJob
	type sending struct {
		oj    *ownedJob
		index int
	}
	var send []sending
	se.mu.Lock()
	for _, oj := range se.jobs {
		if !oj.issued || se.dropped {
			continue
		}
		if !oj.enqueued {
			oj.enqueued = true
			close(oj.admitted)
			run = append(run, oj)
		}
		if oj.finalRow != nil && !oj.answered {
			answer = append(answer, oj)
		}
		for i := range oj.tasks {
			if oj.tasks[i].phase == taskAssigned {
				send = append(send, sending{oj, i})
			}
		}
	}
	for _, oj := range answer {
		se.markAnswered(oj)
	}
	se.mu.Unlock()
	for _, oj := range run {
		se.mg.opt.Counters.Add(counter.Job, "admitted-without-table", 1)
		se.enqueue(oj)
	}
	for _, sd := range send {
		se.startSend(sd.oj, sd.index)
	}
}
