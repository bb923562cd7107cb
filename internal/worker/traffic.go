package worker

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
)

const (
	// defaultLease is the lease of a task that states none. It is renewed when
	// half of it is left, so tasks under 10 s need no renewal.
	defaultLease = 20 * time.Second
	// longPollGrace is added to timeouts.longPoll for the timeout of the long
	// poll.
	longPollGrace = 2 * time.Second
)

// trackingState is the state of the requests about a sent task.
type trackingState struct {
	sentAt   time.Time
	starting bool
	// unknownSince is when the reply to the start was lost.
	unknownSince time.Time
	lease        time.Duration
	leaseUntil   time.Time
	nextQuery    time.Time
	queryWait    time.Duration
	querying     bool
	checkpointed bool
	stopped      bool
}

// Start sends a task to its worker, once. After ErrRefused the task has
// provably not started and its room is free. After ErrNotAssigned nothing was
// sent. After any other error the task may have started; the dispatcher tracks
// it and reports its end to Events, which may happen before Start returns.
func (di *Dispatcher) Start(ctx context.Context, pl Placement, task Task) error {
	if task.LeaseMillis <= 0 {
		task.LeaseMillis = defaultLease.Milliseconds()
	}
	task.Owner = di.opt.Incarnation
	di.mu.Lock()
	tk := di.sched.tasks[task.ID]
	if tk == nil || tk.state != taskAssigned || tk.ws.id != pl.Worker || di.closed.Load() {
		di.mu.Unlock()
		return fmt.Errorf("start task %s on worker %s: %w", task.ID, pl.Worker, ErrNotAssigned)
	}
	lk := di.beginSending(tk, time.Duration(task.LeaseMillis)*time.Millisecond)
	di.mu.Unlock()

	err := di.send(ctx, lk, task)
	di.endSending(tk, lk, err)
	return err
}

var errNoContinue = errors.New("the worker did not send 100 Continue for the start request")

// send sends the start. An error wraps ErrRefused when the worker has refused
// the task, or has not sent 100 Continue within the timeout. In the second case
// the body was not sent, because the transport closes the connection before it
// returns.
func (di *Dispatcher) send(ctx context.Context, lk *link, task Task) error {
	ctx, cancel := context.WithTimeout(ctx, di.timeouts.start)
	defer cancel()
	// The timeout counts from the time at which the request has a connection,
	// because the request may wait for one behind other starts.
	timer := time.AfterFunc(di.timeouts.start, cancel)
	defer timer.Stop()
	var continued atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { timer.Reset(di.timeouts.sendContinue) },
		Got100Continue: func() {
			continued.Store(true)
			timer.Stop()
		},
	}
	err := lk.client.Start(httptrace.WithClientTrace(ctx, trace), task)
	if err != nil && !continued.Load() && jsonhttp.StatusOf(err) == 0 {
		di.count("start-not-invited", 1)
		lk.transport.CloseIdleConnections()
		return fmt.Errorf("%w (%w: %w)", ErrRefused, errNoContinue, err)
	}
	return err
}

func (di *Dispatcher) beginSending(tk *task, lease time.Duration) *link {
	now := time.Now()
	lk := di.linkOf(tk.ws)
	tk.state = taskSent
	tk.tracking = trackingState{sentAt: now, starting: true, lease: lease, leaseUntil: now.Add(lease)}
	di.startLongPoll(tk.ws, lk)
	return lk
}

func (di *Dispatcher) endSending(tk *task, lk *link, err error) {
	di.mu.Lock()
	defer di.mu.Unlock()
	ts := &tk.tracking
	ts.starting = false
	switch {
	case err == nil:
		di.recordAnswer(tk.ws, lk)
		return
	case errors.Is(err, ErrRefused):
		if errors.Is(err, errNoContinue) {
			// Otherwise each task would wait for the timeout at a frozen worker.
			di.recordNoAnswer(tk.ws, lk, err)
		}
		if tk.state == taskSent {
			di.sched.refused(tk)
			di.wakeUp()
		}
		return
	}
	di.count("start-unknown", 1)
	di.opt.Log.Warn().Str("task", string(tk.id)).Str("worker", string(tk.ws.id)).Err(err).Msg("start-reply-lost")
	// The other idle connections to the worker may have gone silent as well.
	lk.transport.CloseIdleConnections()
	ts.unknownSince = time.Now()
	ts.nextQuery = ts.unknownSince
}

// Query requests the state of a task from a worker, over a new connection. It
// reports false when the worker has no record of the task.
func (di *Dispatcher) Query(ctx context.Context, wk ids.WorkerID, task TaskID) (Report, bool, error) {
	di.mu.Lock()
	ws := di.sched.byID[wk]
	var address string
	if ws != nil {
		address = ws.address
	}
	di.mu.Unlock()
	if ws == nil {
		return Report{}, false, fmt.Errorf("query task %s: worker %q is not listed; treat the task as lost", task, wk)
	}
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	rep, found, err := di.fresh.to(address).Get(ctx, task)
	di.mu.Lock()
	defer di.mu.Unlock()
	lk := di.linkOf(ws)
	if err != nil && jsonhttp.StatusOf(err) == 0 {
		di.recordNoAnswer(ws, lk, err)
	} else {
		di.recordAnswer(ws, lk)
	}
	return rep, found, err
}

// Adopt tracks tasks that an earlier owner may have started on the worker, and
// renews their leases. It starts no task. The worker reports their ends to the
// earlier owner, so the dispatcher detects them by Query.
func (di *Dispatcher) Adopt(pl Placement, tasks []TaskID) {
	di.mu.Lock()
	defer di.mu.Unlock()
	ws := di.sched.byID[pl.Worker]
	if ws == nil {
		ws = di.sched.addUnlisted(pl)
	}
	now := time.Now()
	lk := di.linkOf(ws)
	for _, id := range tasks {
		if di.sched.tasks[id] != nil {
			continue
		}
		tk := di.sched.adopt(id, ws)
		// The lease may lapse soon: renew it in the next tick.
		tk.tracking = trackingState{sentAt: now, lease: defaultLease, leaseUntil: now, nextQuery: now}
		di.startLongPoll(ws, lk)
	}
	di.count("adopted", len(tasks))
}

// Stop sends stop requests for those of the tasks that have been sent. The end
// of a stopped task is reported to Events like any other.
func (di *Dispatcher) Stop(tasks []TaskID) {
	di.mu.Lock()
	defer di.mu.Unlock()
	byLink := map[*link][]TaskID{}
	for _, id := range tasks {
		if tk := di.sched.tasks[id]; tk != nil && tk.state == taskSent {
			lk := di.linkOf(tk.ws)
			byLink[lk] = append(byLink[lk], id)
		}
	}
	for lk, ids := range byLink {
		di.sendStops(lk, ids)
	}
}

func (di *Dispatcher) sendStops(lk *link, ids []TaskID) {
	di.count("stopped", len(ids))
	di.grp.Go(func(ctx context.Context) {
		for _, id := range ids {
			ctx, cancel := context.WithTimeout(ctx, di.timeouts.start)
			err := lk.client.Stop(ctx, id)
			cancel()
			if err != nil {
				di.opt.Log.Warn().Str("task", string(id)).Err(err).Msg("stop-failed")
			}
		}
	})
}

// startLongPoll starts the long poll for finished tasks of the worker unless
// one runs.
func (di *Dispatcher) startLongPoll(ws *workerState, lk *link) {
	if lk.longPolling {
		return
	}
	lk.longPolling = true
	lk.answeredAt = time.Now()
	lk.failures = 0
	if !di.grp.Go(func(ctx context.Context) { di.runLongPoll(ctx, ws, lk) }) {
		lk.longPolling = false
	}
}

// runLongPoll collects finished tasks by long polls while the worker has tasks
// of this entry.
func (di *Dispatcher) runLongPoll(ctx context.Context, ws *workerState, lk *link) {
	const minPause, maxPause = 50 * time.Millisecond, time.Second
	pause := minPause
	for {
		di.mu.Lock()
		if ctx.Err() != nil || !ws.anySent() || ws.link != lk {
			lk.longPolling = false
			di.mu.Unlock()
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, di.timeouts.longPoll+longPollGrace)
		lk.cancelLongPoll = cancel
		after := lk.cursor
		di.mu.Unlock()

		page, err := lk.longPollClient.Finished(callCtx, di.opt.Incarnation, after, di.timeouts.longPoll)
		ctxEnded := err != nil && callCtx.Err() != nil
		cancel()
		switch {
		case err == nil:
			pause = minPause
			di.handlePage(ws, lk, after, page)
		case ctxEnded:
			// The next poll uses a new connection at once.
		default:
			di.mu.Lock()
			di.recordNoAnswer(ws, lk, err)
			di.mu.Unlock()
			sleep(ctx, pause)
			pause = min(2*pause, maxPause)
		}
	}
}

func (ws *workerState) anySent() bool {
	for _, tk := range ws.own {
		if tk.state == taskSent {
			return true
		}
	}
	return false
}

// handlePage processes a page of finished tasks. A cursor that goes back shows
// that the worker has restarted with an empty list. The list is then read from
// the start, and every task is queried, because the earlier ones are gone.
func (di *Dispatcher) handlePage(ws *workerState, lk *link, after Cursor, page FinishedPage) {
	di.mu.Lock()
	di.recordAnswer(ws, lk)
	lk.cursor = page.Next
	if page.Next < after {
		lk.cursor = 0
		di.count("worker-restarted", 1)
		for _, tk := range ws.own {
			tk.tracking.nextQuery = time.Now()
		}
	}
	di.mu.Unlock()
	di.finish(ws, page.Tasks)
}

// finish ends tasks whose end their worker has reported.
func (di *Dispatcher) finish(ws *workerState, reps []Report) {
	if len(reps) == 0 {
		return
	}
	ended := reps[:0:0]
	di.mu.Lock()
	for _, rep := range reps {
		tk := di.sched.tasks[rep.ID]
		if tk != nil && tk.ws == ws && tk.state == taskSent && rep.State != StateRunning {
			di.sched.finished(tk, rep)
			ended = append(ended, rep)
		}
	}
	di.mu.Unlock()
	di.wakeUp()
	for _, rep := range ended {
		di.events.Finished(rep)
	}
}

// markLost ends tasks as lost.
func (di *Dispatcher) markLost(tks []*task, reason string) {
	lost := tks[:0:0]
	di.mu.Lock()
	for _, tk := range tks {
		if tk.state == taskSent {
			di.sched.lost(tk)
			lost = append(lost, tk)
		}
	}
	di.mu.Unlock()
	di.wakeUp()
	di.count("lost", len(lost))
	for _, tk := range lost {
		di.opt.Log.Warn().Str("task", string(tk.id)).Str("worker", string(tk.ws.id)).Str("reason", reason).Msg("task-lost")
		di.events.Lost(tk.id, reason)
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
