package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/retrybudget"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// retryBurst is the maximum number of retries that the retry budget of a service
// accumulates.
const retryBurst = 20

// service is the state of one service in this entry. One mutex guards it. The
// mutex is held for the microseconds of one choice of a target and never during
// I/O.
type service struct {
	name   ids.ServiceName
	di     *Dispatcher
	budget *retrybudget.Budget

	mu       sync.Mutex
	conf     configuration.Service
	weights  map[ids.TeamID]float64
	view     boardView
	targets  map[ids.TargetID]*targetState
	live     int            // targets that the list of VMs shows as live
	listed   []*targetState // listed as live, with a gate
	usable   []*targetState // listed without suspects, or all when all are suspect
	failing  []*targetState // listed, whose last request failed
	times    runTimes
	queue    fairQueue
	inFlight int
	// nextRetryAt is the earliest time at which the next refused caller is asked
	// to retry.
	nextRetryAt time.Time
	// lastSlotsAt is the last time at which a target had slots.
	lastSlotsAt      time.Time
	lastRepeatableAt time.Time
}

// boardView is the set of snapshots that the state was built from.
type boardView struct {
	conf  *configuration.Version
	vms   *blackboard.VMs
	gates *blackboard.Gates
}

// ticket is a slot of a target that an attempt uses.
type ticket struct {
	ts    *targetState
	gate  *slotshare.Gate
	kt    *kindTimes
	est   seconds
	began time.Time
	trial bool
}

func newService(name ids.ServiceName, di *Dispatcher) *service {
	se := &service{
		name:        name,
		di:          di,
		budget:      retrybudget.New(configuration.DefaultRetryBudget, retryBurst),
		targets:     map[ids.TargetID]*targetState{},
		times:       newRunTimes(),
		queue:       newFairQueue(),
		lastSlotsAt: time.Now(),
	}
	se.queue.newestFirst = di.policy.newestFirst
	return se
}

// syncBoard updates the state if the snapshots of the board have changed.
func (se *service) syncBoard() {
	board := se.di.opt.Board
	view := boardView{conf: board.Configuration.Load(), vms: board.VMs.Load(), gates: board.Gates.Load()}
	if view == se.view {
		return
	}
	if view.conf != se.view.conf && view.conf != nil {
		se.configure(view.conf.Document)
	}
	se.view = view
	se.updateTargets(view)
}

func (se *service) configure(doc configuration.Document) {
	se.conf = doc.Services[se.name]
	ratio := se.conf.RetryBudget
	if ratio == 0 {
		ratio = configuration.DefaultRetryBudget
	}
	se.budget.SetRatio(ratio)
	se.weights = make(map[ids.TeamID]float64, len(doc.Teams))
	for id, team := range doc.Teams {
		se.weights[id] = float64(max(1, team.Weight))
	}
}

func (se *service) updateTargets(view boardView) {
	var vms []ids.VM
	if view.vms != nil {
		vms = view.vms.Targets[se.name]
	}
	listed := make(map[ids.TargetID]bool, len(vms))
	se.listed = se.listed[:0]
	se.live = 0
	for _, vm := range vms {
		id := ids.TargetID(vm.ID)
		listed[id] = true
		ts, ok := se.targets[id]
		if !ok {
			ts = newTargetState(id, se.di)
			se.targets[id] = ts
		}
		ts.update(vm, view.gates, se.conf)
		if ts.leaving {
			continue
		}
		se.live++
		if ts.gate != nil {
			se.listed = append(se.listed, ts)
		}
	}
	for id, ts := range se.targets {
		if !listed[id] {
			ts.markLeaving()
			delete(se.targets, id)
		}
	}
	se.selectUsable()
	se.times.summarize(se.listed, time.Now())
}

// selectUsable updates usable and failing. Suspect targets are usable only if
// all targets are suspect.
func (se *service) selectUsable() {
	se.usable, se.failing = se.usable[:0], se.failing[:0]
	for _, ts := range se.listed {
		if ts.failures > 0 {
			se.failing = append(se.failing, ts)
		}
		if !ts.suspect {
			se.usable = append(se.usable, ts)
		}
	}
	if len(se.usable) == 0 {
		se.usable = append(se.usable, se.listed...)
	}
}

// slots returns the number of slots of the usable targets and how many of them
// are free.
func (se *service) slots() (total, free int) {
	for _, ts := range se.usable {
		slots, used := ts.gate.Allowance()
		total += slots
		free += max(0, slots-used)
	}
	return total, free
}

// choose returns a usable target with a free slot and the expected run time on
// it. It returns nil if there is no such target, or if a slot is free but
// waiting for a faster target is better; then wait is true.
func (se *service) choose(wa *waiter, now time.Time) (found *targetState, est seconds, wait bool) {
	if ts := se.dueTrial(wa, now); ts != nil {
		return ts, se.times.estimate(wa.kt, &ts.times, 0), false
	}
	pol := &se.di.policy
	var avoided *targetState
	best, tried := 0.0, 0
	start := rand.IntN(max(1, len(se.usable)))
	for i := range se.usable {
		ts := se.usable[(start+i)%len(se.usable)]
		slots, used := ts.gate.Allowance()
		if used >= slots {
			continue
		}
		if ts == wa.avoid {
			avoided = ts
			continue
		}
		rank := pol.rank(se, wa.kt, ts, slots, used)
		if found == nil || rank < best {
			found, best = ts, rank
		}
		if tried++; tried == pol.sample {
			break
		}
	}
	if found == nil {
		found = avoided
	}
	if found == nil {
		return nil, 0, false
	}
	est = se.times.estimate(wa.kt, &found.times, 1)
	if pol.waitForFaster && se.shouldWait(wa, est, now) {
		return nil, 0, true
	}
	return found, est, false
}

const (
	// maxWaitShare bounds the wait for a faster target plus the run time there, as
	// a share of the run time on the free target. At 0.8, with speeds from half to
	// twice the mean, most requests waited: p50 was 1.07 instead of 0.84 of the
	// ideal, at the same p99.
	maxWaitShare = 0.4
	// maxWaitShareLate replaces maxWaitShare if a run on the free target would
	// probably miss the deadline.
	maxWaitShareLate = 0.9
)

// shouldWait reports whether waiting for a slot of a faster target is expected
// to be better than running now on the free target, whose estimate is est. The
// time already waited counts, which bounds the wait.
func (se *service) shouldWait(wa *waiter, est seconds, now time.Time) bool {
	if wa.kt.n < minObservations {
		return false
	}
	limit, ahead := est*maxWaitShare, se.queue.count
	waited := seconds(now.Sub(wa.arrivedAt).Seconds())
	wa.missesDeadline = now.Add((est * seconds(1+2*wa.kt.dev)).std()).After(wa.req.Deadline)
	if wa.missesDeadline {
		// The other waiters take the slow slots and this one takes the next fast
		// slot. Its deadline bounds its wait.
		limit, ahead, waited = est*maxWaitShareLate, 0, 0
	}
	if limit <= wa.kt.base*seconds(se.times.best) {
		return false
	}
	var busy, rate seconds // slots in use on faster targets, and how many of them become free per second
	for _, ts := range se.usable {
		faster := se.times.estimate(wa.kt, &ts.times, 1)
		if faster >= limit {
			continue
		}
		if _, used := ts.gate.Allowance(); used > 0 {
			busy += seconds(used)
			rate += seconds(used) / faster
		}
	}
	if busy == 0 {
		return false
	}
	// rate assumes requests of this kind; scale corrects it to the mean time for
	// which slots are held.
	scale := wa.kt.base * seconds(se.times.mean) / se.times.meanHold
	next := seconds(ahead+1) / (rate * scale)
	return waited+next+busy/rate < limit
}

// dueTrial returns a target that has failed and is due for a trial request.
// Without trials a target that failed once would keep ranking behind the others,
// because errors count as slow runs. Requests that are not repeatable are used for
// trials only if there was no repeatable one recently: the failure of a
// repeatable request costs the caller least.
func (se *service) dueTrial(wa *waiter, now time.Time) *targetState {
	const repeatableWindow = 10 * time.Second
	if wa.req.Repeatable {
		se.lastRepeatableAt = now
	} else if now.Sub(se.lastRepeatableAt) < repeatableWindow {
		return nil
	}
	for _, ts := range se.failing {
		if (ts.healthy || !ts.suspect) && !ts.trialInFlight && now.After(ts.nextTrial) && ts != wa.avoid {
			if slots, used := ts.gate.Allowance(); used < slots {
				return ts
			}
		}
	}
	return nil
}

// acquireSlot acquires a slot for the waiter. It returns nil if there is none, or
// if the waiter should wait for a faster target; then wait is true.
func (se *service) acquireSlot(wa *waiter, now time.Time) (tk *ticket, wait bool) {
	const maxTries = 3 // attempts; the controller may lower an allowance between choice and acquisition
	for range maxTries {
		ts, est, wait := se.choose(wa, now)
		if ts == nil {
			return nil, wait
		}
		gate := ts.gate
		if !gate.TryAcquire() {
			continue
		}
		tk = &ticket{ts: ts, gate: gate, kt: wa.kt, est: est, began: now, trial: ts.failures > 0}
		if tk.trial {
			ts.trialInFlight = true
		}
		se.inFlight++
		return tk, false
	}
	return nil, false
}

// result is what an attempt showed about its target.
type result int

const (
	resultAnswered   result = iota
	resultFailed            // the target failed
	resultUnfinished        // no answer yet; the run takes at least the elapsed time
	resultNeutral           // says nothing about the target
)

// release releases the slot, updates the estimates and the state of the target
// with the result, and serves the queue.
func (se *service) release(tk *ticket, res result) {
	now := time.Now()
	took := seconds(now.Sub(tk.began).Seconds())
	se.mu.Lock()
	defer se.mu.Unlock()
	tk.gate.Release()
	se.inFlight--
	ts := tk.ts
	if tk.trial {
		ts.trialInFlight = false
	}
	switch res {
	case resultAnswered:
		se.times.observe(tk.kt, &ts.times, took, now)
		if ts.recordSuccess(tk.trial) {
			se.selectUsable()
		}
	case resultFailed:
		se.times.penalize(&ts.times, now)
		ts.recordFailure(now)
		se.selectUsable()
	case resultUnfinished:
		if took > tk.est {
			se.times.observe(tk.kt, &ts.times, took, now)
		}
	}
	se.serveQueue(now)
}

// serveQueue assigns free slots to waiters in the order of the queue.
func (se *service) serveQueue(now time.Time) {
	const maxSkippedWaiters = 8 // bounds the time for which the mutex is held
	var skip kindSet
	se.queue.round++
	for skipped := 0; skipped < maxSkippedWaiters; {
		wa := se.queue.next(skip)
		if wa == nil {
			return
		}
		tk, wait := se.acquireSlot(wa, now)
		if wait {
			skipped++
			if wa.skippedRound = se.queue.round; !wa.missesDeadline {
				// Later waiters of the kind have waited less and would wait too.
				skip |= 1 << wa.kt.index
			}
			continue
		}
		if tk == nil {
			return
		}
		se.queue.serve(wa)
		wa.granted <- grant{tk: tk}
	}
}

// tick assigns slots that became free without a release. If sweep is set, it
// also refuses waiters that can no longer be answered before their deadlines.
func (se *service) tick(now time.Time, sweep bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.syncBoard()
	if se.queue.count == 0 {
		return
	}
	se.serveQueue(now)
	if sweep {
		se.sweep(now)
	}
}

// maintain updates the summaries, closes idle connections and probes suspect
// targets. It runs once a second.
func (se *service) maintain(ctx context.Context, now time.Time) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.times.summarize(se.listed, now)
	if total, _ := se.slots(); total > 0 {
		se.lastSlotsAt = now
	}
	for _, ts := range se.listed {
		ts.conns.closeIdle(now)
		if ts.suspect && !ts.healthy && !ts.probing && now.After(ts.nextTrial) {
			ts.probing = true
			se.di.grp.Go(func(context.Context) { se.probe(ctx, ts) })
		}
	}
}

// probe checks the health of a suspect target. A suspect target receives a trial
// request only if it is healthy.
func (se *service) probe(ctx context.Context, ts *targetState) {
	healthy := ts.conns.health(ctx, healthTimeout) == nil
	se.mu.Lock()
	defer se.mu.Unlock()
	ts.probing = false
	ts.healthy = healthy
	if !healthy {
		ts.postponeTrial(time.Now())
	}
}

// markSuspect marks a target as suspect that answers neither a request nor a
// health probe on a new connection.
func (se *service) markSuspect(ts *targetState) {
	now := time.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	ts.failures = suspectAfter
	ts.recordFailure(now)
	se.selectUsable()
}

// observeLate updates the estimates with an answer that arrived after its
// connection was given up as silent.
func (se *service) observeLate(tk *ticket) {
	now := time.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	se.times.observe(tk.kt, &tk.ts.times, seconds(now.Sub(tk.began).Seconds()), now)
}

func (se *service) overdueAfter(tk *ticket) time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	return tk.kt.due(tk.est)
}

// load returns the current load.
func (se *service) load() ServiceLoad {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.syncBoard()
	out := ServiceLoad{Service: se.name, Waiting: se.queue.count, InFlight: se.inFlight}
	if total, free := se.slots(); free == 0 || se.queue.count > 0 {
		var ahead seconds
		for tq := range se.queue.active {
			ahead += tq.cost
		}
		out.ExpectedWait = se.estimateWait(ahead, total).std()
	}
	return out
}
