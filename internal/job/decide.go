package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

const (
	// maxInlineResultBytes limits the bytes of one result in the row, and
	// maxInlineTotalBytes the bytes of all results in it. Other results go to
	// the object store.
	maxInlineResultBytes = 8 << 10
	maxInlineTotalBytes  = 64 << 10
	// maxAnswerBytes limits the bytes of all results of a job, because one
	// message carries them.
	maxAnswerBytes = 15 << 20
	// maxReasonBytes limits the bytes of one failure reason in the row.
	maxReasonBytes = 200
)

// handleFinished handles the report of a task that has ended.
func (se *session) handleFinished(rep worker.Report) {
	switch rep.State {
	case worker.StateDone:
		se.taskDone(rep.ID, rep.Result)
	case worker.StateFailed:
		se.handleLost(rep.ID, "the task failed: "+rep.Error)
	case worker.StateStopped:
		se.handleLost(rep.ID, "the worker stopped the task: "+rep.Error)
	}
}

// handleLost fails the job of a task whose result cannot be obtained.
func (se *session) handleLost(id worker.TaskID, reason string) {
	se.mu.Lock()
	oj, index := se.findTask(id)
	if oj == nil || oj.tasks[index].phase >= taskStoring {
		se.mu.Unlock()
		return
	}
	withdraw := se.fail(oj, index, reason)
	se.mu.Unlock()
	withdraw()
}

// fail decides a job as failed. One failed task is enough: the job can no longer
// complete, so its other tasks are withdrawn or stopped. The caller holds the
// lock and calls the returned function after unlocking.
func (se *session) fail(oj *ownedJob, index int, reason string) func() {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	return se.decide(oj, &jobRow{
		State:    StateFailed,
		Reason:   fmt.Sprintf("task %d failed", index),
		Failures: []TaskFailure{{Task: index, Reason: reason}},
	})
}

// cancel decides a job as failed unless it is already decided.
func (se *session) cancel(oj *ownedJob) {
	se.mu.Lock()
	if oj.finalRow != nil || se.dropped {
		se.mu.Unlock()
		return
	}
	row := &jobRow{State: StateFailed, Reason: ReasonCancelled}
	for i := range oj.tasks {
		if oj.tasks[i].phase < taskDone {
			row.Failures = append(row.Failures, TaskFailure{Task: i, Reason: ReasonCancelled})
		}
	}
	withdraw := se.decide(oj, row)
	se.mu.Unlock()
	withdraw()
}

// taskDone keeps the result of a task, or starts to put it into the object store
// if it is large.
func (se *session) taskDone(id worker.TaskID, result json.RawMessage) {
	se.mu.Lock()
	oj, index := se.findTask(id)
	if oj == nil || oj.tasks[index].phase >= taskStoring {
		se.mu.Unlock()
		return
	}
	oj.resultBytes += len(result)
	if oj.resultBytes > maxAnswerBytes {
		withdraw := se.fail(oj, index, fmt.Sprintf("the results of the job exceed %d bytes", maxAnswerBytes))
		se.mu.Unlock()
		withdraw()
		return
	}
	if len(result) > maxInlineResultBytes || oj.inlineBytes+len(result) > maxInlineTotalBytes {
		oj.tasks[index].phase = taskStoring
		se.ownedBytes += len(result)
		se.mu.Unlock()
		se.grp.Go(func(ctx context.Context) { se.storeResult(ctx, oj, index, result) })
		return
	}
	oj.inlineBytes += len(result)
	oj.results[index] = result
	oj.size += len(result)
	se.ownedBytes += len(result)
	withdraw := se.completeTask(oj, index)
	se.mu.Unlock()
	withdraw()
}

// storeResult puts a large result into the object store. It retries until this
// succeeds, the job is answered or ctx ends.
func (se *session) storeResult(ctx context.Context, oj *ownedJob, index int, result []byte) {
	const retry = 200 * time.Millisecond
	for {
		err := se.mg.opt.Objects.Put(ctx, resultKey(oj.sub.ID, index), result)
		if err == nil || ctx.Err() != nil {
			break
		}
		se.mg.opt.Counters.Add(counter.Retry, "objects-unavailable", 1)
		waitFor(ctx, oj.done, retry)
		if se.isAnswered(oj) {
			break
		}
	}
	se.mu.Lock()
	se.ownedBytes -= len(result)
	if oj.finalRow != nil || se.dropped || ctx.Err() != nil {
		decided := oj.finalRow != nil
		se.mu.Unlock()
		if decided {
			_ = se.mg.opt.Objects.Delete(ctx, resultKey(oj.sub.ID, index))
		}
		return
	}
	oj.tasks[index].inObjectStore = true
	withdraw := se.completeTask(oj, index)
	se.mu.Unlock()
	withdraw()
}

func (se *session) isAnswered(oj *ownedJob) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return oj.answered
}

// completeTask counts a task as done, and decides the job as complete after the
// last one.
func (se *session) completeTask(oj *ownedJob, index int) func() {
	oj.tasks[index].phase = taskDone
	oj.remaining--
	if oj.remaining > 0 {
		return func() {}
	}
	return se.decide(oj, &jobRow{State: StateComplete, Results: oj.results, Objects: oj.objectTasks()})
}

// objectTasks returns the tasks whose results are in the object store.
func (oj *ownedJob) objectTasks() []int {
	var out []int
	for i := range oj.tasks {
		if oj.tasks[i].inObjectStore {
			out = append(out, i)
		}
	}
	return out
}

// decide sets the answer of a job and records it. The answer is returned to
// callers only after the commit, except for a job with an issued id while the
// table is down. Running tasks are stopped after the commit too, because a fenced
// session must not stop tasks that the next owner has adopted. The returned
// function withdraws the tasks that were not sent.
func (se *session) decide(oj *ownedJob, row *jobRow) func() {
	row.Owner = se.inc
	oj.finalRow = row
	unsentTasks := oj.unsentTasks()
	if oj.version > 0 {
		se.recordDecision(oj)
	}
	if oj.issued && se.com.Down() {
		se.markAnswered(oj)
	}
	return func() {
		if len(unsentTasks) > 0 {
			se.mg.opt.Scheduler.Withdraw(unsentTasks)
		}
	}
}

// sentTasks returns the tasks that may be running.
func (oj *ownedJob) sentTasks() []worker.TaskID {
	var out []worker.TaskID
	for i := range oj.tasks {
		if oj.tasks[i].phase == taskSent {
			out = append(out, taskID(oj.sub.ID, i))
		}
	}
	return out
}

// recordDecision adds the decision of a job to the group commit. The caller
// holds the lock.
func (se *session) recordDecision(oj *ownedJob) {
	const fullRetry = 100 * time.Millisecond
	raw, err := json.Marshal(oj.finalRow)
	if err != nil {
		// A worker sent a result that is not valid JSON.
		oj.finalRow = &jobRow{Owner: se.inc, State: StateFailed, Reason: "a result is not valid JSON: " + err.Error()}
		raw, _ = json.Marshal(oj.finalRow)
	}
	rec := &record{
		changes: []groupcommit.Change{{Key: jobKey(oj.sub.ID), If: oj.version, Value: raw}},
		decided: &decision{Job: oj.sub.ID, Objects: oj.objectTasks()},
	}
	_, err = se.com.Add(rec, func(res groupcommit.Result) { se.handleDecision(oj, res) })
	if errors.Is(err, groupcommit.ErrFull) {
		se.grp.Go(func(ctx context.Context) {
			waitFor(ctx, nil, fullRetry)
			se.mu.Lock()
			defer se.mu.Unlock()
			if ctx.Err() == nil && !se.dropped {
				se.recordDecision(oj)
			}
		})
	}
}

func (se *session) handleDecision(oj *ownedJob, res groupcommit.Result) {
	if errors.Is(res.Err, groupcommit.ErrGuarded) {
		se.mg.replaceSession(se)
		return
	}
	if stop := se.applyDecision(oj, res); len(stop) > 0 {
		se.mg.opt.Traffic.Stop(stop)
	}
}

// applyDecision handles the outcome of a recorded decision and returns the tasks
// to stop.
func (se *session) applyDecision(oj *ownedJob, res groupcommit.Result) []worker.TaskID {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.dropped || errors.Is(res.Err, groupcommit.ErrUnresolved) {
		return nil
	}
	if se.jobs[oj.sub.ID] == oj {
		delete(se.jobs, oj.sub.ID)
	}
	se.ownedBytes -= oj.size
	se.unpin(oj)
	if res.Err == nil {
		se.markDecided(res)
		se.recent.add(oj.sub.ID, oj.finalRow)
		se.markAnswered(oj)
		se.mg.opt.Counters.Add(counter.Job, string(oj.finalRow.State), 1)
		return oj.sentTasks()
	}
	// Another entry has cancelled the job or taken it over. The row in the table
	// holds the answer, and callers read it there.
	var row jobRow
	var stop []worker.TaskID
	if len(res.Conflicts) == 0 || json.Unmarshal(res.Conflicts[0].Value, &row) != nil || row.State == StateRunning {
		oj.finalRow = nil
	} else {
		oj.finalRow = &row
		stop = oj.sentTasks()
	}
	se.markAnswered(oj)
	se.mg.opt.Counters.Add(counter.Job, "decided-elsewhere", 1)
	return stop
}

// recentRows caches the latest answers. Without it, each job that ends between
// its admission and the wait of its caller would cost a read of the table, which
// serves about 2,000 reads per second.
type recentRows struct {
	rows map[ids.JobID]*jobRow
	ring [maxRecent]ids.JobID
	next int
}

const (
	maxRecent      = 2048
	maxRecentBytes = 8 << 10 // of the results in one cached answer
)

func (rr *recentRows) add(id ids.JobID, row *jobRow) {
	size := 0
	for _, raw := range row.Results {
		size += len(raw)
	}
	if size > maxRecentBytes {
		return
	}
	if rr.rows == nil {
		rr.rows = map[ids.JobID]*jobRow{}
	}
	delete(rr.rows, rr.ring[rr.next])
	rr.ring[rr.next] = id
	rr.rows[id] = row
	rr.next = (rr.next + 1) % maxRecent
}

func (se *session) recentRow(id ids.JobID) *jobRow {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.recent.rows[id]
}

// markAnswered wakes all callers that wait for the job. The caller holds the
// lock.
func (se *session) markAnswered(oj *ownedJob) {
	if !oj.answered {
		oj.answered = true
		close(oj.done)
	}
}

// changeRow sets a job row if it has the given version. It returns the row that
// is then in the table: the given one, or the conflicting one.
func (se *session) changeRow(ctx context.Context, id ids.JobID, version int64, jr jobRow) ([]byte, error) {
	raw, err := json.Marshal(jr)
	if err != nil {
		return nil, err
	}
	rec := &record{
		changes: []groupcommit.Change{{Key: jobKey(id), If: version, Value: raw}},
		decided: &decision{Job: id},
	}
	results := make(chan groupcommit.Result, 1)
	ticket, err := se.com.Add(rec, func(res groupcommit.Result) { results <- res })
	if err != nil {
		return nil, unknownOutcome("table-unavailable", err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	select {
	case res := <-results:
		if res.Err == nil {
			se.mu.Lock()
			se.markDecided(res)
			se.mu.Unlock()
			return raw, nil
		}
		if len(res.Conflicts) > 0 && len(res.Conflicts[0].Value) > 0 {
			return res.Conflicts[0].Value, nil
		}
		return nil, unknownOutcome("row-changed", res.Err.Error())
	case <-ctx.Done():
		ticket.Withdraw()
		return nil, unknownOutcome("commit-outcome-unknown", "the table has not confirmed the change")
	}
}
