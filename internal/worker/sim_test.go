package worker

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// placer is the placement under simulation: the scheduler or a naive one.
type placer interface {
	enqueue(dm *Demand, assigned func(TaskID, Placement))
	place(limit int) []assignment
	ended(tk *task, rep Report)
	usage(wk ids.WorkerID, use Usage, at time.Time)
	tick(elapsed time.Duration)
}

// realPlacer adapts the scheduler. The simulated network has no latency.
type realPlacer struct{ *scheduler }

func (rp realPlacer) ended(tk *task, rep Report) { rp.finished(tk, rep) }

func (rp realPlacer) usage(wk ids.WorkerID, use Usage, at time.Time) {
	rp.applyReport(rp.byID[wk], use, at)
}

func (rp realPlacer) place(limit int) []assignment {
	out := rp.scheduler.place(limit)
	for _, as := range out {
		as.tk.state = taskSent
	}
	return out
}

// naivePlacer places round robin over the workers. It reserves declared sizes
// and uses no reports, health or teams.
type naivePlacer struct {
	vms   []ids.VM
	queue []*task
	next  int
	used  map[ids.WorkerID]size
}

func (np *naivePlacer) enqueue(dm *Demand, _ func(TaskID, Placement)) {
	np.queue = append(np.queue, &task{id: dm.Task, demand: *dm, size: declaredSize(dm)})
}

func (np *naivePlacer) place(int) []assignment {
	var out []assignment
	for tried := 0; len(np.queue) > 0 && tried < len(np.vms); tried++ {
		np.next++
		vm, tk := np.vms[np.next%len(np.vms)], np.queue[0]
		id := ids.WorkerID(vm.ID)
		if used := np.used[id].plus(tk.size); used.fits(capacityOf(vm)) {
			np.used[id] = used
			tk.ws = &workerState{id: id}
			out = append(out, assignment{tk: tk, pl: Placement{Worker: id}})
			np.queue = np.queue[1:]
			tried = -1
		}
	}
	return out
}

func (np *naivePlacer) ended(tk *task, _ Report) {
	np.used[tk.ws.id] = np.used[tk.ws.id].minus(tk.size)
}

func (np *naivePlacer) usage(ids.WorkerID, Usage, time.Time) {}
func (np *naivePlacer) tick(time.Duration)                   {}

func capacityOf(vm ids.VM) size { return sizeOf(vm.Processors, vm.Memory, vm.Accelerators) }

// truth is the actual size, run time and result of a task.
type truth struct {
	size size
	run  time.Duration
	fail bool
}

// runs returns the truth of a task that uses the cores for the time run.
func runs(cores float64, run time.Duration) truth {
	return truth{size: size{cores, 256, 0}, run: run}
}

type simWorker struct {
	vm      ids.VM
	running map[TaskID]*simTask
	used    size
	failAll bool
	slow    float64
}

type simTask struct {
	dm                       Demand
	truth                    truth
	tk                       *task
	owner                    *simEntry
	arrived, started, endsAt time.Time
}

type simEntry struct {
	pl     placer
	polled map[ids.WorkerID]time.Time
}

type simOptions struct {
	entries, workers, racks, zones int
	capacity                       size
	sharing                        sharing
	naive                          bool
	lag                            time.Duration
	polls                          int // per entry and second
}

// sim runs entries against workers on a virtual clock.
type sim struct {
	opt     simOptions
	now     time.Time
	entries []*simEntry
	workers []*simWorker
	byID    map[ids.WorkerID]*simWorker
	waiting map[TaskID]*simTask
	reports []func() bool // each delivers one report when its lag has passed
	rng     *rand.Rand
	nextID  int

	busySteps, overSteps int
	excess               float64
	waits                []time.Duration
	waitOf               map[ids.TeamID][]time.Duration
	startsOn             map[ids.WorkerID]int
	onStart              func(st *simTask, wk *simWorker)
}

const simStep = 5 * time.Millisecond

func newSim(opt simOptions) *sim {
	si := &sim{
		opt: opt, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)),
		byID: map[ids.WorkerID]*simWorker{}, waiting: map[TaskID]*simTask{},
		waitOf: map[ids.TeamID][]time.Duration{}, startsOn: map[ids.WorkerID]int{},
	}
	zone := func(i int) ids.AvailabilityZone {
		return ids.AvailabilityZone(fmt.Sprintf("zone-%d", i%max(1, opt.zones)))
	}
	var vms []ids.VM
	for i := range opt.workers {
		vm := ids.VM{
			ID: fmt.Sprintf("worker-%d", i), State: ids.StateLive, AvailabilityZone: zone(i),
			Rack:       ids.RackID(fmt.Sprintf("rack-%d", i%max(1, opt.racks))),
			Processors: ids.Cores(opt.capacity.cores), Memory: ids.Megabytes(opt.capacity.memory),
			Accelerators: int(opt.capacity.accelerators),
		}
		vms = append(vms, vm)
		wk := &simWorker{vm: vm, running: map[TaskID]*simTask{}, slow: 1}
		si.workers = append(si.workers, wk)
		si.byID[ids.WorkerID(vm.ID)] = wk
	}
	var infos []entryInfo
	for i := range opt.entries {
		infos = append(infos, entryInfo{id: ids.EntryID(fmt.Sprintf("entry-%d", i)), zone: zone(i)})
	}
	for _, info := range infos {
		en := &simEntry{polled: map[ids.WorkerID]time.Time{}, pl: &naivePlacer{vms: vms, used: map[ids.WorkerID]size{}}}
		if !opt.naive {
			sc := newScheduler(info, nil, func() time.Time { return si.now })
			sc.sharing = opt.sharing
			sc.setWorkers(vms)
			sc.setEntries(infos)
			en.pl = realPlacer{sc}
		}
		si.entries = append(si.entries, en)
	}
	return si
}

func (si *sim) scheduler(i int) *scheduler { return si.entries[i].pl.(realPlacer).scheduler }

// submit enqueues one task at the entry, as a job of its own unless dm has one.
func (si *sim) submit(entry int, dm Demand, tr truth) {
	si.nextID++
	if dm.Task == "" {
		dm.Task = TaskID(fmt.Sprintf("task-%d", si.nextID))
	}
	if dm.Job == "" {
		dm.Job = ids.JobID(dm.Task)
	}
	si.waiting[dm.Task] = &simTask{dm: dm, truth: tr, owner: si.entries[entry], arrived: si.now}
	si.entries[entry].pl.enqueue(&dm, nil)
}

// advance advances the clock by the duration and calls arrive before each step.
func (si *sim) advance(duration time.Duration, arrive func()) {
	const tickEvery = 100
	for n := 1; duration > 0; n++ {
		if arrive != nil {
			arrive()
		}
		for _, en := range si.entries {
			for _, as := range en.pl.place(1 << 20) {
				si.start(as)
			}
		}
		for _, wk := range si.workers {
			si.measure(wk)
		}
		si.now = si.now.Add(simStep)
		duration -= simStep
		for _, wk := range si.workers {
			si.endTasks(wk)
		}
		for len(si.reports) > 0 && si.reports[0]() {
			si.reports = si.reports[1:]
		}
		for _, en := range si.entries {
			si.poll(en)
			if n%tickEvery == 0 {
				en.pl.tick(tickEvery * simStep)
			}
		}
	}
}

func (si *sim) start(as assignment) {
	st, wk := si.waiting[as.tk.id], si.byID[as.pl.Worker]
	delete(si.waiting, as.tk.id)
	run := time.Duration(float64(st.truth.run) * wk.slow)
	if wk.failAll {
		run = time.Millisecond
	}
	st.tk, st.started, st.endsAt = as.tk, si.now, si.now.Add(run)
	wk.running[st.dm.Task] = st
	wk.used = wk.used.plus(st.truth.size)
	si.startsOn[as.pl.Worker]++
	si.waits = append(si.waits, si.now.Sub(st.arrived))
	si.waitOf[st.dm.Team] = append(si.waitOf[st.dm.Team], si.now.Sub(st.arrived))
	if si.onStart != nil {
		si.onStart(st, wk)
	}
}

func (si *sim) measure(wk *simWorker) {
	if len(wk.running) == 0 {
		return
	}
	si.busySteps++
	if capacity := capacityOf(wk.vm); !wk.used.fits(capacity) {
		si.overSteps++
		si.excess += max(wk.used.cores/capacity.cores, wk.used.memory/capacity.memory) - 1
	}
}

func (wk *simWorker) sorted() []*simTask {
	var out []*simTask
	for _, st := range wk.running {
		out = append(out, st)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].dm.Task < out[j].dm.Task })
	return out
}

func (si *sim) endTasks(wk *simWorker) {
	for _, st := range wk.sorted() {
		if st.endsAt.After(si.now) {
			continue
		}
		delete(wk.running, st.dm.Task)
		wk.used = wk.used.minus(st.truth.size)
		rep := Report{ID: st.dm.Task, State: StateDone, RanMillis: si.now.Sub(st.started).Milliseconds()}
		if wk.failAll || st.truth.fail {
			rep.State = StateFailed
		}
		st.owner.pl.ended(st.tk, rep)
	}
}

// poll samples the worker with the oldest poll. The entry receives the report
// when the lag has passed.
func (si *sim) poll(en *simEntry) {
	if si.rng.Float64() >= float64(si.opt.polls)*simStep.Seconds() {
		return
	}
	rp, isReal := en.pl.(realPlacer)
	var id ids.WorkerID
	for _, wk := range si.workers {
		next := ids.WorkerID(wk.vm.ID)
		wanted := !isReal || rp.needsPoll(rp.byID[next], si.now)
		if wanted && si.now.Sub(en.polled[next]) >= minPollInterval && (id == "" || en.polled[next].Before(en.polled[id])) {
			id = next
		}
	}
	if id == "" {
		return
	}
	en.polled[id] = si.now
	use, sampled := si.byID[id].usage(), si.now
	si.reports = append(si.reports, func() bool {
		if si.now.Sub(sampled) < si.opt.lag {
			return false
		}
		en.pl.usage(id, use, sampled)
		return true
	})
}

func usageOf(id TaskID, kind ids.RequestKind, sz size) TaskUsage {
	return TaskUsage{ID: id, Kind: kind, Processors: ids.Cores(sz.cores), Memory: ids.Megabytes(sz.memory), Accelerators: int(sz.accelerators)}
}

func (wk *simWorker) usage() Usage {
	sum := usageOf("", "", wk.used)
	use := Usage{Processors: sum.Processors, Memory: sum.Memory, Accelerators: sum.Accelerators}
	for _, st := range wk.sorted() {
		use.Tasks = append(use.Tasks, usageOf(st.dm.Task, st.dm.Kind, st.truth.size))
	}
	return use
}

func (si *sim) overShare() float64 { return float64(si.overSteps) / float64(max(1, si.busySteps)) }

func quantile(vals []time.Duration, q float64) time.Duration {
	if len(vals) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), vals...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// ShortTimeouts shortens the timeouts, so that tests of them run quickly. The
// order of their lengths stays.
func (di *Dispatcher) ShortTimeouts() {
	di.timeouts = timeouts{
		start: 300 * time.Millisecond, sendContinue: 150 * time.Millisecond, longPoll: 2 * time.Second,
		silent: 1500 * time.Millisecond, refused: 500 * time.Millisecond,
		unlisted: 800 * time.Millisecond, unlistedSilence: 300 * time.Millisecond,
		unknownStart: 500 * time.Millisecond, ping: 400 * time.Millisecond,
	}
}

// RoomInUse returns the cores that are reserved on all workers.
func (di *Dispatcher) RoomInUse() float64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	sum := 0.0
	for _, ws := range di.sched.workers {
		sum += ws.ownUse.cores
	}
	return sum
}
