package worker

import (
	"context"
	"fmt"
	"math"
	"time"
)

// bounds are the times after which traffic and tasks are given up.
type bounds struct {
	// start bounds one start. A worker answers in about a millisecond.
	start time.Duration
	// invite is how long a worker may take to ask for the body of a start.
	invite time.Duration
	// held is how long a worker may hold the request for finished tasks. At 560
	// workers, 400 bytes each time cost 11 KB/s.
	held time.Duration
	// silent is how long a worker with tasks may answer nothing before they are
	// given up. It is half a lease, so a cut-off worker has stopped them soon
	// after.
	silent time.Duration
	// refused is the same while it refuses connections, which a live worker
	// does not do for long.
	refused time.Duration
	// unlisted allows for the lag of the list of VMs.
	unlisted time.Duration
	// unlistedSilence is how recently an unlisted worker must have answered to
	// keep its tasks.
	unlistedSilence time.Duration
	// unknownStart is how long a start whose reply was lost may stay unknown to
	// the worker.
	unknownStart time.Duration
	// ping is how long a worker with tasks may be quiet before one of them is
	// queried.
	ping time.Duration
}

var defaultBounds = bounds{
	start:           2 * time.Second,
	invite:          500 * time.Millisecond,
	held:            20 * time.Second,
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

	firstQueryWait = 250 * time.Millisecond
	lastQueryWait  = 8 * time.Second

	// A task of a known kind is stopped as a runaway after this long and this
	// many times the time that few of its kind exceed.
	runawayBound  = time.Minute
	runawayFactor = 50
)

type lossOf struct {
	tks    []*task
	reason string
}

// followAll looks after all sent tasks: it gives up those of workers that are
// gone and queries the late ones over new connections.
func (di *Dispatcher) followAll() {
	now := time.Now()
	var losses []lossOf
	di.mu.Lock()
	for _, ws := range di.sched.workers {
		if len(ws.own) == 0 || !ws.anySent() {
			continue
		}
		lk := di.linkOf(ws)
		if reason := di.goneReason(ws, lk, now); reason != "" {
			losses = append(losses, lossOf{tks: ws.sent(), reason: reason})
			continue
		}
		di.queryLate(ws, lk, now)
	}
	di.mu.Unlock()
	for _, ls := range losses {
		di.lose(ls.tks, ls.reason)
	}
}

// goneReason tells why the tasks of the worker are to be given up, "" if not.
func (di *Dispatcher) goneReason(ws *workerState, lk *link, now time.Time) string {
	quiet := now.Sub(lk.heardAt)
	switch {
	case !ws.listed && now.Sub(ws.unlistedSince) > di.bounds.unlisted && quiet > di.bounds.unlistedSilence:
		return unlisted(ws)
	case !lk.refusedSince.IsZero() && now.Sub(lk.refusedSince) > di.bounds.refused:
		return fmt.Sprintf("worker %s refuses connections", ws.id)
	case lk.failures > 0 && quiet > di.bounds.silent:
		return fmt.Sprintf("worker %s does not answer", ws.id)
	}
	return ""
}

func (ws *workerState) sent() []*task {
	var out []*task
	for _, tk := range ws.own {
		if tk.state == taskSent && !tk.followed.starting {
			out = append(out, tk)
		}
	}
	return out
}

// queryLate queries tasks that should have ended, at most maxQueries at a time
// for each worker, and one task when the worker has been quiet.
func (di *Dispatcher) queryLate(ws *workerState, lk *link, now time.Time) {
	const maxQueries = 4
	querying := 0
	for _, tk := range ws.own {
		if tk.followed.querying {
			querying++
		}
	}
	ping := now.Sub(lk.heardAt) > di.bounds.ping
	for _, tk := range ws.own {
		if querying >= maxQueries {
			return
		}
		fo := &tk.followed
		if tk.state != taskSent || fo.starting || fo.querying {
			continue
		}
		if fo.nextQuery.IsZero() {
			fo.nextQuery = fo.sentAt.Add(di.lateAfter(tk))
		}
		pinged := ping && querying == 0
		if now.Before(fo.nextQuery) && !pinged {
			continue
		}
		if !pinged {
			di.handleStraggler(tk, lk, now)
		}
		fo.queryWait = min(max(2*fo.queryWait, firstQueryWait), lastQueryWait)
		fo.nextQuery = now.Add(fo.queryWait)
		fo.querying = true
		querying++
		di.grp.Go(func(ctx context.Context) { di.compare(ctx, tk, lk) })
	}
}

// lateAfter returns the run time after which the task counts as late.
func (di *Dispatcher) lateAfter(tk *task) time.Duration {
	_, late := di.sched.learner.runTime(&tk.demand)
	return time.Duration(float64(late)*max(1, math.Exp(tk.ws.health.slowness))) + lateSlack
}

// compare queries a task over a new connection. When the worker reports an end
// that the held request has not delivered, its connection has gone silent.
func (di *Dispatcher) compare(ctx context.Context, tk *task, lk *link) {
	rep, found, err := di.Query(ctx, tk.ws.id, tk.id)
	di.mu.Lock()
	fo := &tk.followed
	fo.querying = false
	ongoing := tk.state == taskSent
	silent := err == nil && found && rep.State != StateRunning && ongoing && !tk.adopted
	if silent && lk.cancelHold != nil {
		lk.cancelHold()
		lk.starts.CloseIdleConnections()
		di.count("silent-connection", 1)
	}
	forgotten := err == nil && !found && ongoing &&
		(fo.unknownSince.IsZero() || time.Since(fo.unknownSince) > di.bounds.unknownStart)
	if err == nil && !found && !forgotten {
		fo.queryWait = 0
	}
	di.mu.Unlock()
	switch {
	case err != nil || !ongoing:
	case found:
		di.finish(tk.ws, []Report{rep})
	case forgotten:
		di.lose([]*task{tk}, fmt.Sprintf("worker %s does not know the task", tk.ws.id))
	}
}

// handleStraggler has a late task checkpointed once, and stops one that has run
// far beyond its kind. No second copy is ever started.
func (di *Dispatcher) handleStraggler(tk *task, lk *link, now time.Time) {
	fo := &tk.followed
	age := now.Sub(fo.sentAt)
	ks := di.sched.learner.kinds[tk.demand.Kind]
	if tk.adopted || ks == nil || ks.run.samples < enoughSamples {
		return
	}
	_, late := di.sched.learner.runTime(&tk.demand)
	if age > runawayBound && age > runawayFactor*late && !fo.stopped {
		fo.stopped = true
		di.count("runaway-stopped", 1)
		di.stopOn(lk, []TaskID{tk.id})
		return
	}
	if fo.checkpointed || age < time.Second {
		return
	}
	fo.checkpointed = true
	di.count("checkpointed", 1)
	di.grp.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, di.bounds.start)
		defer cancel()
		if err := lk.sender.Checkpoint(ctx, tk.id); err != nil {
			di.opt.Log.Debug().Str("task", string(tk.id)).Err(err).Msg("checkpoint-failed")
		}
	})
}

// renewLeases renews, in one request for each worker, the leases of which half
// or less is left.
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
			break // another lease length follows with the next tick
		}
	}
}

// expiring returns the tasks whose leases are to be renewed, by the length of
// the lease, once half or less of any lease is left. Leases with up to three
// quarters left come along, so that later batches carry all tasks together.
func (ws *workerState) expiring(now time.Time) map[time.Duration][]*task {
	due, byLease := false, map[time.Duration][]*task(nil)
	for _, tk := range ws.own {
		fo := &tk.followed
		left := fo.leaseUntil.Sub(now)
		if tk.state != taskSent || fo.starting || left > fo.lease*3/4 {
			continue
		}
		if byLease == nil {
			byLease = map[time.Duration][]*task{}
		}
		byLease[fo.lease] = append(byLease[fo.lease], tk)
		due = due || left <= fo.lease/2
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
		wait(ctx, firstQueryWait)
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	lk.renewing = false
	if err != nil {
		di.unheard(ws, lk, err)
		return
	}
	di.heard(ws, lk)
	di.count("lease-batches", 1)
	for _, tk := range tks {
		tk.followed.leaseUntil = sentAt.Add(lease)
	}
}
