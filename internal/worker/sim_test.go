package worker

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// placer is what the simulation drives: the scheduler, or a naive version.
type placer interface {
	enqueue(dm *Demand, assigned func(TaskID, Placement))
	place(limit int) []assignment
	ended(tk *task, rep Report)
	usage(wk platform.WorkerID, use Usage, at time.Time)
	tick(elapsed time.Duration)
}

// realPlacer adapts the scheduler.
type realPlacer struct{ *scheduler }

func (rp realPlacer) ended(tk *task, rep Report) { rp.finished(tk, rep) }

func (rp realPlacer) usage(wk platform.WorkerID, use Usage, at time.Time) {
	rp.report(rp.byID[wk], use, at)
}

// place marks the tasks as sent at once: the simulated network takes no time.
func (rp realPlacer) place(limit int) []assignment {
	out := rp.scheduler.place(limit)
	for _, as := range out {
		as.tk.state = taskSent
	}
	return out
}

// naivePlacer is the naive version: round robin over the workers, reserving
// declared sizes, without reports, health or teams.
type naivePlacer struct {
	vms   []platform.VM
	queue []*task
	next  int
	used  map[platform.WorkerID]size
	tasks map[TaskID]*task
}

func newNaive(vms []platform.VM) *naivePlacer {
	return &naivePlacer{vms: vms, used: map[platform.WorkerID]size{}, tasks: map[TaskID]*task{}}
}

func (np *naivePlacer) enqueue(dm *Demand, _ func(TaskID, Placement)) {
	np.queue = append(np.queue, &task{id: dm.Task, demand: *dm, size: declaredSize(dm)})
}

func (np *naivePlacer) place(int) []assignment {
	var out []assignment
	for len(np.queue) > 0 {
		tk := np.queue[0]
		placed := false
		for range np.vms {
			np.next++
			vm := np.vms[np.next%len(np.vms)]
			id := platform.WorkerID(vm.ID)
			if !np.used[id].plus(tk.size).fits(sizeOf(vm.Processors, vm.Memory, vm.Accelerators)) {
				continue
			}
			np.used[id] = np.used[id].plus(tk.size)
			tk.ma = &machine{id: id}
			out = append(out, assignment{tk: tk, pl: Placement{Worker: id}})
			placed = true
			break
		}
		if !placed {
			break
		}
		np.queue = np.queue[1:]
	}
	return out
}

func (np *naivePlacer) ended(tk *task, _ Report) {
	np.used[tk.ma.id] = np.used[tk.ma.id].minus(tk.size)
}

func (np *naivePlacer) usage(platform.WorkerID, Usage, time.Time) {}
func (np *naivePlacer) tick(time.Duration)                        {}

// truth is what a task really does.
type truth struct {
	size size
	run  time.Duration
	fail bool
}

type simWorker struct {
	vm      platform.VM
	running map[TaskID]*simTask
	used    size
	failAll bool
	slow    float64
}

type simTask struct {
	id      TaskID
	kind    platform.RequestKind
	truth   truth
	tk      *task
	owner   *simEntry
	worker  *simWorker
	arrived time.Time
	started time.Time
	endsAt  time.Time
	team    platform.TeamID
}

type simEntry struct {
	pl      placer
	polled  map[platform.WorkerID]time.Time
	pending []delayedReport
}

type delayedReport struct {
	worker  platform.WorkerID
	use     Usage
	sampled time.Time
}

// sim runs entries against workers on a virtual clock, in steps.
type sim struct {
	now     time.Time
	step    time.Duration
	lag     time.Duration
	polls   int // for each entry and second
	entries []*simEntry
	workers []*simWorker
	byID    map[platform.WorkerID]*simWorker
	waiting map[TaskID]*simTask
	rng     *rand.Rand
	nextID  int

	busySteps, overSteps int
	excess               float64
	waits                []time.Duration
	waitOf               map[platform.TeamID][]time.Duration
	startsOn             map[platform.WorkerID]int
	onStart              func(st *simTask, wk *simWorker)
}

type simOptions struct {
	entries, workers, racks int
	capacity                size
	zones                   int
	sharing                 sharing
	naive                   bool
	lag                     time.Duration
	polls                   int
}

func newSim(opt simOptions) *sim {
	si := &sim{
		now:      time.Unix(1_000_000, 0),
		step:     5 * time.Millisecond,
		lag:      opt.lag,
		polls:    opt.polls,
		byID:     map[platform.WorkerID]*simWorker{},
		waiting:  map[TaskID]*simTask{},
		rng:      rand.New(rand.NewPCG(1, 2)),
		waitOf:   map[platform.TeamID][]time.Duration{},
		startsOn: map[platform.WorkerID]int{},
	}
	zone := func(i int) platform.AvailabilityZone {
		return platform.AvailabilityZone(fmt.Sprintf("zone-%d", i%max(1, opt.zones)))
	}
	var vms []platform.VM
	for i := range opt.workers {
		vm := platform.VM{
			ID: fmt.Sprintf("worker-%d", i), Kind: platform.KindWorker, State: platform.StateLive,
			AvailabilityZone: zone(i), Rack: platform.RackID(fmt.Sprintf("rack-%d", i%max(1, opt.racks))),
			Processors: platform.Cores(opt.capacity.cores), Memory: platform.Megabytes(opt.capacity.memory),
			Accelerators: int(opt.capacity.accelerators),
		}
		vms = append(vms, vm)
		wk := &simWorker{vm: vm, running: map[TaskID]*simTask{}, slow: 1}
		si.workers = append(si.workers, wk)
		si.byID[platform.WorkerID(vm.ID)] = wk
	}
	var infos []entryInfo
	for i := range opt.entries {
		infos = append(infos, entryInfo{id: platform.EntryID(fmt.Sprintf("entry-%d", i)), zone: zone(i)})
	}
	for i := range opt.entries {
		en := &simEntry{polled: map[platform.WorkerID]time.Time{}}
		if opt.naive {
			en.pl = newNaive(vms)
		} else {
			sc := newScheduler(infos[i], nil, func() time.Time { return si.now })
			sc.sharing = opt.sharing
			sc.setMachines(vms)
			sc.setEntries(infos)
			en.pl = realPlacer{sc}
		}
		si.entries = append(si.entries, en)
	}
	return si
}

func (si *sim) scheduler(i int) *scheduler { return si.entries[i].pl.(realPlacer).scheduler }

// submit queues one task at the entry.
func (si *sim) submit(entry int, dm Demand, tr truth) {
	si.nextID++
	if dm.Task == "" {
		dm.Task = TaskID(fmt.Sprintf("task-%d", si.nextID))
	}
	if dm.Job == "" {
		dm.Job = platform.JobID(dm.Task)
	}
	st := &simTask{id: dm.Task, kind: dm.Kind, truth: tr, owner: si.entries[entry], arrived: si.now, team: dm.Team}
	si.waiting[dm.Task] = st
	si.entries[entry].pl.enqueue(&dm, nil)
}

// advance runs the clock for the duration, calling arrive before each step.
func (si *sim) advance(duration time.Duration, arrive func()) {
	const tickEvery = 100 // steps
	for n := 1; duration > 0; n++ {
		if arrive != nil {
			arrive()
		}
		for _, en := range si.entries {
			for _, as := range en.pl.place(1 << 20) {
				si.start(as)
			}
		}
		si.measure()
		si.now = si.now.Add(si.step)
		duration -= si.step
		si.endTasks()
		si.reports()
		if n%tickEvery == 0 {
			for _, en := range si.entries {
				en.pl.tick(tickEvery * si.step)
			}
		}
	}
}

func (si *sim) start(as assignment) {
	st := si.waiting[as.tk.id]
	delete(si.waiting, as.tk.id)
	wk := si.byID[as.pl.Worker]
	run := time.Duration(float64(st.truth.run) * wk.slow)
	if wk.failAll {
		run = time.Millisecond
	}
	st.tk, st.worker, st.started = as.tk, wk, si.now
	st.endsAt = si.now.Add(run)
	wk.running[st.id] = st
	wk.used = wk.used.plus(st.truth.size)
	si.startsOn[as.pl.Worker]++
	wait := si.now.Sub(st.arrived)
	si.waits = append(si.waits, wait)
	si.waitOf[st.team] = append(si.waitOf[st.team], wait)
	if si.onStart != nil {
		si.onStart(st, wk)
	}
}

func (si *sim) measure() {
	for _, wk := range si.workers {
		if len(wk.running) == 0 {
			continue
		}
		si.busySteps++
		if !wk.used.fits(sizeOf(wk.vm.Processors, wk.vm.Memory, wk.vm.Accelerators)) {
			si.overSteps++
			si.excess += max(wk.used.cores/float64(wk.vm.Processors), wk.used.memory/float64(wk.vm.Memory)) - 1
		}
	}
}

func (si *sim) endTasks() {
	for _, wk := range si.workers {
		var ended []*simTask
		for _, st := range wk.running {
			if !st.endsAt.After(si.now) {
				ended = append(ended, st)
			}
		}
		sort.Slice(ended, func(i, j int) bool { return ended[i].id < ended[j].id })
		for _, st := range ended {
			delete(wk.running, st.id)
			wk.used = wk.used.minus(st.truth.size)
			state := StateDone
			if wk.failAll || st.truth.fail {
				state = StateFailed
			}
			st.owner.pl.ended(st.tk, Report{ID: st.id, State: state, RanMillis: si.now.Sub(st.started).Milliseconds()})
		}
	}
}

// reports lets each entry poll the workers with the oldest reports, and
// delivers what was sampled a lag ago.
func (si *sim) reports() {
	for e, en := range si.entries {
		for len(en.pending) > 0 && si.now.Sub(en.pending[0].sampled) >= si.lag {
			dr := en.pending[0]
			en.pending = en.pending[1:]
			en.pl.usage(dr.worker, dr.use, dr.sampled)
		}
		quota := float64(si.polls) * si.step.Seconds()
		n := int(quota)
		if si.rng.Float64() < quota-float64(n) {
			n++
		}
		for range n {
			wk := si.oldest(e, en)
			if wk == nil {
				break
			}
			id := platform.WorkerID(wk.vm.ID)
			en.polled[id] = si.now
			en.pending = append(en.pending, delayedReport{worker: id, use: wk.usage(), sampled: si.now})
		}
	}
}

func (si *sim) oldest(e int, en *simEntry) *simWorker {
	rp, isReal := en.pl.(realPlacer)
	var best *simWorker
	for _, wk := range si.workers {
		id := platform.WorkerID(wk.vm.ID)
		if isReal && !rp.wantsPoll(rp.byID[id], si.now) {
			continue
		}
		if si.now.Sub(en.polled[id]) < pollEvery {
			continue
		}
		if best == nil || en.polled[id].Before(en.polled[platform.WorkerID(best.vm.ID)]) {
			best = wk
		}
	}
	_ = e
	return best
}

func (wk *simWorker) usage() Usage {
	use := Usage{Processors: platform.Cores(wk.used.cores), Memory: platform.Megabytes(wk.used.memory), Accelerators: int(wk.used.accelerators)}
	for _, st := range wk.running {
		use.Tasks = append(use.Tasks, TaskUsage{
			ID: st.id, Kind: st.kind, Processors: platform.Cores(st.truth.size.cores),
			Memory: platform.Megabytes(st.truth.size.memory), Accelerators: int(st.truth.size.accelerators),
		})
	}
	sort.Slice(use.Tasks, func(i, j int) bool { return use.Tasks[i].ID < use.Tasks[j].ID })
	return use
}

func (si *sim) overShare() float64 {
	return float64(si.overSteps) / float64(max(1, si.busySteps))
}

func quantile(vals []time.Duration, q float64) time.Duration {
	if len(vals) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), vals...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
