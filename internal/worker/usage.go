package worker

import (
	"context"
	"sort"
	"time"
)

const (
	// pollBytesPerSecond bounds the bytes of usage polls. It is less than half of
	// the 27 KB/s that one daemon may use for control traffic, because leases,
	// queries and the traffic between entries need the rest.
	pollBytesPerSecond = 12 << 10
	// pollBurst is the capacity of the token bucket in bytes.
	pollBurst = 24 << 10
	// minPollInterval is the minimum interval between two polls of one worker.
	minPollInterval = time.Second
	// guestPollDuration is how long a worker whose home is another entry is
	// polled after a task was placed on it.
	guestPollDuration = 5 * time.Second
	// maxPolls bounds the polls in progress.
	maxPolls = 8
)

// pollBudget is a token bucket in bytes. The size of a report is known only
// after the poll, so the balance may become negative.
type pollBudget struct {
	balance      float64
	filledAt     time.Time
	chargedBytes int64
	polling      int
}

func newPollBudget(now time.Time) pollBudget {
	return pollBudget{balance: pollBurst, filledAt: now}
}

// update refills the bucket for the time since the last call and subtracts the
// bytes of all requests on new connections since then.
func (pb *pollBudget) update(now time.Time, bytes int64) {
	pb.balance += pollBytesPerSecond * now.Sub(pb.filledAt).Seconds()
	pb.balance = min(pb.balance, pollBurst)
	pb.filledAt = now
	pb.balance -= float64(bytes - pb.chargedBytes)
	pb.chargedBytes = bytes
}

// pollUsage polls the workers that are in use or will probably be used next,
// the one with the oldest poll first, as far as the budget allows.
func (di *Dispatcher) pollUsage(now time.Time) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.polls.update(now, di.fresh.bytes.Load())
	if di.polls.balance <= 0 || di.polls.polling >= maxPolls {
		return
	}
	due := make([]*workerState, 0, len(di.sched.workers))
	for _, ws := range di.sched.workers {
		if di.sched.needsPoll(ws, now) {
			due = append(due, ws)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].polledAt().Before(due[j].polledAt()) })
	// The bytes of the polls in progress are not yet subtracted; each is assumed
	// to be small.
	const minCost = 1 << 10
	room := min(maxPolls-di.polls.polling, int(di.polls.balance/minCost)+1)
	for _, ws := range due[:min(len(due), room)] {
		lk := di.linkOf(ws)
		lk.polling = true
		lk.polledAt = now
		di.polls.polling++
		di.grp.Go(func(ctx context.Context) { di.poll(ctx, ws, lk) })
	}
}

func (ws *workerState) polledAt() time.Time {
	if ws.link == nil {
		return time.Time{}
	}
	return ws.link.polledAt
}

// needsPoll reports whether the worker is to be polled: it has own tasks, does
// not answer, has recently got a task, or this entry is its home and needs a
// report to place the next tasks.
func (sc *scheduler) needsPoll(ws *workerState, now time.Time) bool {
	if ws.link != nil && (ws.link.polling || now.Sub(ws.link.polledAt) < minPollInterval) {
		return false
	}
	if !ws.listed {
		return false
	}
	next := ws.rank == 0 && (!ws.reported || sc.queued > 0)
	return len(ws.own) > 0 || now.Sub(ws.guestPlacedAt) < guestPollDuration || ws.silent || next
}

func (di *Dispatcher) poll(ctx context.Context, ws *workerState, lk *link) {
	callCtx, cancel := context.WithTimeout(ctx, freshTimeout)
	use, err := di.fresh.to(lk.address).Usage(callCtx)
	cancel()
	at := time.Now().Add(-time.Duration(use.AgeMillis) * time.Millisecond)
	di.mu.Lock()
	defer di.mu.Unlock()
	di.polls.polling--
	lk.polling = false
	if err != nil {
		di.recordNoAnswer(ws, lk, err)
		return
	}
	di.recordAnswer(ws, lk)
	di.count("usage-polls", 1)
	di.sched.applyReport(ws, use, at)
	di.throttleOverusers(ws, lk, use)
	di.wakeUp()
}

// throttleOverusers throttles the own tasks that use far more processors than
// were reserved for them while their worker has too few, so that its other
// tasks are not slowed down as well. It restores their speed once the reported
// use fits.
func (di *Dispatcher) throttleOverusers(ws *workerState, lk *link, use Usage) {
	const factor = 1.5
	over := float64(use.Processors) > ws.capacity.cores && ws.capacity.cores > 0
	if over == lk.throttled {
		return
	}
	share := 1.0
	if over {
		share = ws.capacity.cores / float64(use.Processors)
	}
	var overusers []TaskID
	for _, tu := range use.Tasks {
		tk := ws.own[tu.ID]
		if tk != nil && float64(tu.Processors) > factor*tk.reserved.cores {
			overusers = append(overusers, tu.ID)
		}
	}
	lk.throttled = over && len(overusers) > 0
	if len(overusers) == 0 {
		return
	}
	di.count("throttled", len(overusers))
	di.grp.Go(func(ctx context.Context) {
		for _, id := range overusers {
			ctx, cancel := context.WithTimeout(ctx, di.timeouts.start)
			if err := lk.client.Throttle(ctx, id, share); err != nil {
				di.opt.Log.Debug().Str("task", string(id)).Err(err).Msg("throttle-failed")
			}
			cancel()
		}
	})
}
