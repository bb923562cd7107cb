package worker

import (
	"context"
	"fmt"
	"math"
	"time"
)

// timeouts are the timeouts of requests to workers and of tasks on them.
type timeouts struct {
	// start is the timeout of a start. A worker answers in about a millisecond.
	start time.Duration
	// sendContinue is how long a worker may take to send 100 Continue for a
	// start.
	sendContinue time.Duration
	// longPoll is how long a worker may hold the long poll for finished tasks.
	// With 560 workers, at 400 bytes for each poll, this costs 11 KB/s.
	longPoll time.Duration
	// silent is how long a worker may answer no request before its tasks count
	// as lost. It is half of the default lease, so that a partitioned worker has
	// stopped them soon after.
	silent time.Duration
	// refused is the same for a worker that refuses connections, which a live
	// worker does only for a short time.
	refused time.Duration
	// unlisted is how long a worker may be missing in the list of VMs, which
	// lags.
	unlisted time.Duration
	// unlistedSilence is how recently an unlisted worker must have answered to
	// keep its tasks.
	unlistedSilence time.Duration
	// unknownStart is how long after a lost reply to a start the worker may have
	// no record of the task.
	unknownStart time.Duration
	// ping is how long a worker with tasks may send no answer before one of the
	// tasks is queried.
	ping time.Duration
}

var defaultTimeouts = timeouts{
	start:           2 * time.Second,
	sendContinue:    500 * time.Millisecond,
	longPoll:        20 * time.Second,
	silent:          10 * time.Second,
	refused:         3 * time.Second,
	unlisted:        5 * time.Second,
	unlistedSilence: 2 * time.Second,
	unknownStart:    2 * time.Second,
	ping:            3 * time.Second,
}

const (
	// lateSlack is added to the time after which a task counts as late.
	lateSlack = 250 * time.Millisecond

	minQueryWait = 250 * time.Millisecond
	maxQueryWait = 8 * time.Second

	// runawayBound and runawayFactor determine when a task is stopped as a
	// runaway: it has run for longer than runawayBound, and for longer than
	// runawayFactor times the time that few tasks of its kind exceed. Its kind
	// must have at least minSamples run times.
	runawayBound  = time.Minute
	runawayFactor = 50
)

type loss struct {
	tks    []*task
	reason string
}

// checkTasks checks all sent tasks: it reports those of failed workers as lost
// and queries the late ones over new connections.
func (di *Dispatcher) checkTasks() {
	now := time.Now()
	var losses []loss
	di.mu.Lock()
	for _, ws := range di.sched.workers {
		if len(ws.own) == 0 || !ws.anySent() {
			continue
		}
		lk := di.linkOf(ws)
		if reason := di.lossReason(ws, lk, now); reason != "" {
			losses = append(losses, loss{tks: ws.sent(), reason: reason})
			continue
		}
		di.queryLate(ws, lk, now)
	}
	di.mu.Unlock()
	for _, ls := range losses {
		di.markLost(ls.tks, ls.reason)
	}
}

// lossReason returns the reason for which the tasks of the worker count as
// lost, "" if they do not.
func (di *Dispatcher) lossReason(ws *workerState, lk *link, now time.Time) string {
	quiet := now.Sub(lk.answeredAt)
	switch {
	case !ws.listed && now.Sub(ws.unlistedSince) > di.timeouts.unlisted && quiet > di.timeouts.unlistedSilence:
		return unlisted(ws)
	case !lk.refusedSince.IsZero() && now.Sub(lk.refusedSince) > di.timeouts.refused:
		return fmt.Sprintf("worker %s refuses connections", ws.id)
	case lk.failures > 0 && quiet > di.timeouts.silent:
		return fmt.Sprintf("worker %s does not answer", ws.id)
	}
	return ""
}

func (ws *workerState) sent() []*task {
	var out []*task
	for _, tk := range ws.own {
		if tk.state == taskSent && !tk.tracking.starting {
			out = append(out, tk)
		}
	}
	return out
}

// queryLate queries tasks that should have ended, at most maxQueries at a time
// for each worker, and one task when the worker has sent no answer for a while.
func (di *Dispatcher) queryLate(ws *workerState, lk *link, now time.Time) {
	const maxQueries = 4
	querying := 0
	for _, tk := range ws.own {
		if tk.tracking.querying {
			querying++
		}
	}
	ping := now.Sub(lk.answeredAt) > di.timeouts.ping
	for _, tk := range ws.own {
		if querying >= maxQueries {
			return
		}
		ts := &tk.tracking
		if tk.state != taskSent || ts.starting || ts.querying {
			continue
		}
		if ts.nextQuery.IsZero() {
			ts.nextQuery = ts.sentAt.Add(di.lateAfter(tk))
		}
		pinged := ping && querying == 0
		if now.Before(ts.nextQuery) && !pinged {
			continue
		}
		if !pinged {
			di.handleStraggler(tk, lk, now)
		}
		ts.queryWait = min(max(2*ts.queryWait, minQueryWait), maxQueryWait)
		ts.nextQuery = now.Add(ts.queryWait)
		ts.querying = true
		querying++
		di.grp.Go(func(ctx context.Context) { di.checkTask(ctx, tk, lk) })
	}
}

// lateAfter returns the run time after which the task counts as late.
func (di *Dispatcher) lateAfter(tk *task) time.Duration {
	_, late := di.sched.learner.runTime(&tk.demand)
	return time.Duration(float64(late)*max(1, math.Exp(tk.ws.health.slowness))) + lateSlack
}

// checkTask queries a task over a new connection. When the worker reports an
// end that the long poll has not returned, the connection of the poll is assumed
// to be silent; the poll is then cancelled and repeated on a new connection.
func (di *Dispatcher) checkTask(ctx context.Context, tk *task, lk *link) {
	rep, found, err := di.Query(ctx, tk.ws.id, tk.id)
	di.mu.Lock()
	ts := &tk.tracking
	ts.querying = false
	ongoing := tk.state == taskSent
	silent := err == nil && found && rep.State != StateRunning && ongoing && !tk.adopted
	if silent && lk.cancelLongPoll != nil {
		lk.cancelLongPoll()
		lk.transport.CloseIdleConnections()
		di.count("silent-connection", 1)
	}
	unknown := err == nil && !found && ongoing &&
		(ts.unknownSince.IsZero() || time.Since(ts.unknownSince) > di.timeouts.unknownStart)
	if err == nil && !found && !unknown {
		ts.queryWait = 0
	}
	di.mu.Unlock()
	switch {
	case err != nil || !ongoing:
	case found:
		di.finish(tk.ws, []Report{rep})
	case unknown:
		di.markLost([]*task{tk}, fmt.Sprintf("worker %s does not know the task", tk.ws.id))
	}
}

// handleStraggler requests one checkpoint of a late task, and stops a runaway
// task. It never starts a second copy.
func (di *Dispatcher) handleStraggler(tk *task, lk *link, now time.Time) {
	ts := &tk.tracking
	age := now.Sub(ts.sentAt)
	ks := di.sched.learner.kinds[tk.demand.Kind]
	if tk.adopted || ks == nil || ks.runMillis.samples < minSamples {
		return
	}
	_, late := di.sched.learner.runTime(&tk.demand)
	if age > runawayBound && age > runawayFactor*late && !ts.stopped {
		ts.stopped = true
		di.count("runaway-stopped", 1)
		di.sendStops(lk, []TaskID{tk.id})
		return
	}
	if ts.checkpointed || age < time.Second {
		return
	}
	ts.checkpointed = true
	di.count("checkpointed", 1)
	di.grp.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, di.timeouts.start)
		defer cancel()
		if err := lk.client.Checkpoint(ctx, tk.id); err != nil {
			di.opt.Log.Debug().Str("task", string(tk.id)).Err(err).Msg("checkpoint-failed")
		}
	})
}

// renewLeases renews the leases of which half or less is left, in one request
// for each worker.
func (di *Dispatcher) renewLeases() {
	now := time.Now()
	di.mu.Lock()
	defer di.mu.Unlock()
	for _, ws := range di.sched.workers {
		if ws.link == nil || ws.link.renewing {
			continue
		}
		for lease, tks := range ws.expiring(now) {
			ws.link.renewing = true
			lk := ws.link
			di.grp.Go(func(ctx context.Context) { di.renew(ctx, ws, lk, lease, tks) })
			break // the next tick renews the leases of another length
		}
	}
}

// expiring returns the tasks whose leases are to be renewed, by the length of
// the lease, once half or less of any lease is left. Leases with up to three
// quarters left are included, so that later batches renew all tasks together.
func (ws *workerState) expiring(now time.Time) map[time.Duration][]*task {
	due, byLease := false, map[time.Duration][]*task(nil)
	for _, tk := range ws.own {
		ts := &tk.tracking
		left := ts.leaseUntil.Sub(now)
		if tk.state != taskSent || ts.starting || left > ts.lease*3/4 {
			continue
		}
		if byLease == nil {
			byLease = map[time.Duration][]*task{}
		}
		byLease[ts.lease] = append(byLease[ts.lease], tk)
		due = due || left <= ts.lease/2
	}
	if !due {
		return nil
	}
	return byLease
}

func (di *Dispatcher) renew(ctx context.Context, ws *workerState, lk *link, lease time.Duration, tks []*task) {
	ids := make([]TaskID, len(tks))
	for i, tk := range tks {
		ids[i] = tk.id
	}
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, freshTimeout)
	err := di.fresh.to(lk.address).Renew(callCtx, Renewal{TaskIDs: ids, LeaseMillis: lease.Milliseconds()})
	cancel()
	if err != nil {
		sleep(ctx, minQueryWait)
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	lk.renewing = false
	if err != nil {
		di.recordNoAnswer(ws, lk, err)
		return
	}
	di.recordAnswer(ws, lk)
	di.count("lease-batches", 1)
	for _, tk := range tks {
		tk.tracking.leaseUntil = sentAt.Add(lease)
	}
}
