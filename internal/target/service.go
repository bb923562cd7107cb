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

// retryBurst is the number of retries that a quiet service can spend at once.
const retryBurst = 20

// service is the state of one service in this entry. One mutex guards it; it
// is held for the microseconds of one choice and never during I/O.
type service struct {
	name   ids.ServiceName
	di     *Dispatcher
	budget *retrybudget.Budget

	mu       sync.Mutex
	conf     configuration.Service
	weights  map[ids.TeamID]float64
	seen     boardView
	targets  map[ids.TargetID]*targetState
	live     int            // targets that the list of VMs shows as live
	listed   []*targetState // listed as live, with a gate
	usable   []*targetState // listed without suspects, or all when all are suspect
	troubled []*targetState // listed, whose last request failed
	times    runTimes
	queue    fairQueue
	inFlight int
	// nextReturn is the time for which the last refused caller was told to
	// come back.
	nextReturn time.Time
	// slotsSeen is the last time at which a target had an allowance.
	slotsSeen      time.Time
	lastRepeatable time.Time
}

// boardView is what the state was built from.
type boardView struct {
	conf  *configuration.Version
	vms   *blackboard.VMs
	gates *blackboard.Gates
}

// ticket is a slot of a target in use.
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
		name:      name,
		di:        di,
		budget:    retrybudget.New(configuration.DefaultRetryBudget, retryBurst),
		targets:   map[ids.TargetID]*targetState{},
		times:     newRunTimes(),
		queue:     newFairQueue(),
		slotsSeen: time.Now(),
	}
	se.queue.last = di.policy.last
	return se
}

// sync takes over the snapshots of the board when they have changed.
func (se *service) sync() {
	board := se.di.opt.Board
	view := boardView{conf: board.Configuration.Load(), vms: board.VMs.Load(), gates: board.Gates.Load()}
	if view == se.seen {
		return
	}
	if view.conf != se.seen.conf && view.conf != nil {
		se.configure(view.conf.Document)
	}
	se.seen = view
	se.listTargets(view)
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

func (se *service) listTargets(view boardView) {
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
			ts.leave()
			delete(se.targets, id)
		}
	}
	se.selectUsable()
	se.times.summarize(se.listed, time.Now())
}

// selectUsable leaves suspects out unless every target is suspect.
func (se *service) selectUsable() {
	se.usable, se.troubled = se.usable[:0], se.troubled[:0]
	for _, ts := range se.listed {
		if ts.fails > 0 {
			se.troubled = append(se.troubled, ts)
		}
		if !ts.suspect {
			se.usable = append(se.usable, ts)
		}
	}
	if len(se.usable) == 0 {
		se.usable = append(se.usable, se.listed...)
	}
}

// slots returns the slots of the usable targets and how many are free.
func (se *service) slots() (total, free int) {
	for _, ts := range se.usable {
		slots, used := ts.gate.Allowance()
		total += slots
		free += max(0, slots-used)
	}
	return total, free
}

// choose returns a usable target with a free slot. Without one it returns nil;
// wait tells that a slot is free but waiting for a faster target is better.
func (se *service) choose(wa *waiter, now time.Time) (found *targetState, est seconds, wait bool) {
	if ts := se.trial(wa, now); ts != nil {
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
	if pol.wait && se.betterWait(wa, est, now) {
		return nil, 0, true
	}
	return found, est, false
}

const (
	// waitGain is the share of the run time on the free target that the wait
	// and the run on a faster target must stay under. At 0.8, with speeds from
	// half to twice the mean, most requests waited: p50 1.07 instead of 0.84 of
	// ideal at the same p99.
	waitGain = 0.4
	// waitGainDeadline replaces it when the free target would probably miss the
	// deadline.
	waitGainDeadline = 0.9
)

// betterWait reports whether the free target is slow, and a slot of a faster
// one will probably be free so soon that waiting for it is better. The time
// already waited counts, so that the wait is bounded.
func (se *service) betterWait(wa *waiter, est seconds, now time.Time) bool {
	if wa.kt.n < fewObservations {
		return false
	}
	limit, ahead := est*waitGain, se.queue.count
	waited := seconds(now.Sub(wa.since).Seconds())
	wa.misses = now.Add((est * seconds(1+2*wa.kt.dev)).std()).After(wa.req.Deadline)
	if wa.misses {
		// The others take the slow slots; this one takes the next fast one. The
		// deadline bounds its wait.
		limit, ahead, waited = est*waitGainDeadline, 0, 0
	}
	if limit <= wa.kt.base*seconds(se.times.best) {
		return false
	}
	var busy, rate seconds // slots in use on faster targets, and how many of them become free in a second
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
	// rate holds for requests of this kind; the slots are held for hold.
	scale := wa.kt.base * seconds(se.times.mean) / se.times.hold
	next := seconds(ahead+1) / (rate * scale)
	return waited+next+busy/rate < limit
}

// trial returns a target that has failed and whose next trial is due. Without
// trials a target that failed once would stay behind the others, because errors
// count as slow runs. Trials prefer repeatable requests, whose failure costs
// the caller least.
func (se *service) trial(wa *waiter, now time.Time) *targetState {
	const quiet = 10 * time.Second
	if wa.req.Repeatable {
		se.lastRepeatable = now
	} else if now.Sub(se.lastRepeatable) < quiet {
		return nil
	}
	for _, ts := range se.troubled {
		if (ts.healthy || !ts.suspect) && !ts.onTrial && now.After(ts.nextTrial) && ts != wa.avoid {
			if slots, used := ts.gate.Allowance(); used < slots {
				return ts
			}
		}
	}
	return nil
}

// take takes a slot for the waiter. It returns nil when there is none, or when
// the waiter should wait for a faster target.
func (se *service) take(wa *waiter, now time.Time) (tk *ticket, wait bool) {
	const races = 3 // the controller may lower an allowance between choice and acquisition
	for range races {
		ts, est, wait := se.choose(wa, now)
		if ts == nil {
			return nil, wait
		}
		gate := ts.gate
		if !gate.TryAcquire() {
			continue
		}
		tk = &ticket{ts: ts, gate: gate, kt: wa.kt, est: est, began: now, trial: ts.fails > 0}
		if tk.trial {
			ts.onTrial = true
		}
		se.inFlight++
		return tk, false
	}
	return nil, false
}

// result tells what a request showed about its target.
type result int

const (
	resultAnswered   result = iota
	resultFailed            // the target is to blame
	resultUnfinished        // the run takes at least as long as it was under way
	resultNeutral           // nothing about the target
)

// release gives the slot back, learns from the result and serves the queue.
func (se *service) release(tk *ticket, res result) {
	now := time.Now()
	took := seconds(now.Sub(tk.began).Seconds())
	se.mu.Lock()
	defer se.mu.Unlock()
	tk.gate.Release()
	se.inFlight--
	ts := tk.ts
	if tk.trial {
		ts.onTrial = false
	}
	switch res {
	case resultAnswered:
		se.times.observe(tk.kt, &ts.times, took, now)
		if ts.succeed(tk.trial) {
			se.selectUsable()
		}
	case resultFailed:
		se.times.penalize(&ts.times, now)
		ts.fail(now)
		se.selectUsable()
	case resultUnfinished:
		if took > tk.est {
			se.times.observe(tk.kt, &ts.times, took, now)
		}
	}
	se.serveQueue(now)
}

// serveQueue gives free slots to the waiters whose turn it is.
func (se *service) serveQueue(now time.Time) {
	const maxPassed = 8 // bounds the time under the mutex
	var skip kindSet
	se.queue.round++
	for passed := 0; passed < maxPassed; {
		wa := se.queue.next(skip)
		if wa == nil {
			return
		}
		tk, wait := se.take(wa, now)
		if wait {
			passed++
			if wa.round = se.queue.round; !wa.misses {
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

// tick serves slots that have appeared without a release, and refuses waiters
// that can no longer be answered in time.
func (se *service) tick(now time.Time, sweep bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.sync()
	if se.queue.count == 0 {
		return
	}
	se.serveQueue(now)
	if sweep {
		se.sweep(now)
	}
}

// maintain refreshes the summaries, closes idle connections and probes
// suspects. It runs once a second.
func (se *service) maintain(ctx context.Context, now time.Time) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.times.summarize(se.listed, now)
	if total, _ := se.slots(); total > 0 {
		se.slotsSeen = now
	}
	for _, ts := range se.listed {
		ts.conns.closeIdle(now)
		if ts.suspect && !ts.healthy && !ts.probing && now.After(ts.nextTrial) {
			ts.probing = true
			se.di.grp.Go(func(context.Context) { se.probe(ctx, ts) })
		}
	}
}

// probe asks a suspect target for its health. Only a healthy one is tried with
// a request again.
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

// condemnTarget makes a target suspect that answers neither a request nor a
// new connection.
func (se *service) condemnTarget(ts *targetState) {
	now := time.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	ts.fails = suspectAfter
	ts.fail(now)
	se.selectUsable()
}

// observeLate learns from an answer that came after its connection had been
// given up.
func (se *service) observeLate(tk *ticket) {
	now := time.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	se.times.observe(tk.kt, &tk.ts.times, seconds(now.Sub(tk.began).Seconds()), now)
}

func (se *service) due(tk *ticket) time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	return tk.kt.due(tk.est)
}

// load returns the present load.
func (se *service) load() ServiceLoad {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.sync()
	out := ServiceLoad{Service: se.name, Waiting: se.queue.count, InFlight: se.inFlight}
	if total, free := se.slots(); free == 0 || se.queue.count > 0 {
		var ahead seconds
		for tq := range se.queue.active {
			ahead += tq.cost
		}
		out.ExpectedWait = se.wait(ahead, total).std()
	}
	return out
}
