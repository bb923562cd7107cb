package worker

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// machine is one worker as the scheduler sees it.
type machine struct {
	id       platform.WorkerID
	address  string
	zone     platform.AvailabilityZone
	rack     int
	capacity size

	listed        bool
	leaving       bool
	unlistedSince time.Time
	// silent says that the worker does not answer at present.
	silent bool

	// others is what tasks of others use according to the last report.
	others    size
	reported  bool
	sampledAt time.Time
	// ceiling is what the own tasks may use in all until the next report.
	ceiling size
	// room is the ceiling less the own tasks.
	room   size
	ownUse size
	own    map[TaskID]*task
	// ended holds own tasks that have ended since the last report was sampled;
	// a report that still lists them must not count them as use of others.
	ended map[TaskID]time.Time

	rank       int
	baseCost   float64
	slots      int
	grown      bool
	reservedBy *lane
	wantedAt   time.Time

	health health
	// link is the traffic with the worker; nil in simulations.
	link *link
}

// open tells whether a task of the lane may go to the worker.
func (ma *machine) open(need size, ln *lane) bool {
	return need.fits(ma.room) && len(ma.own) < ma.slots && (ma.reservedBy == nil || ma.reservedBy == ln)
}

func (ma *machine) load() float64 {
	return part(ma.ownUse.cores+ma.others.cores, ma.capacity.cores)
}

func (ma *machine) change(by size) {
	ma.ownUse = ma.ownUse.plus(by)
	if len(ma.own) == 0 {
		ma.ownUse = size{} // drops rounding errors
	}
	ma.room = ma.ceiling.minus(ma.ownUse)
}

// setMachines takes over the platform's list of workers. A worker that is no
// longer listed keeps its tasks until the traffic gives them up.
func (sc *scheduler) setMachines(vms []platform.VM) {
	seen := map[platform.WorkerID]bool{}
	for _, vm := range vms {
		id := platform.WorkerID(vm.ID)
		seen[id] = true
		ma := sc.byID[id]
		if ma == nil {
			ma = &machine{id: id, own: map[TaskID]*task{}, ended: map[TaskID]time.Time{}}
			sc.byID[id] = ma
			sc.machines = append(sc.machines, ma)
		}
		ma.listed = true
		ma.leaving = vm.State == platform.StateLeaving
		ma.address = vm.Address
		ma.zone = vm.AvailabilityZone
		ma.rack = sc.rackNumber(vm.Rack)
		ma.capacity = sizeOf(vm.Processors, vm.Memory, vm.Accelerators)
	}
	kept := sc.machines[:0]
	for _, ma := range sc.machines {
		if !seen[ma.id] && ma.listed {
			ma.listed = false
			ma.unlistedSince = sc.now()
		}
		if !ma.listed && len(ma.own) == 0 {
			delete(sc.byID, ma.id)
			continue
		}
		kept = append(kept, ma)
	}
	clear(sc.machines[len(kept):])
	sc.machines = kept
	sc.refresh()
}

// addUnlisted adds a worker that only a placement of an earlier owner names.
func (sc *scheduler) addUnlisted(pl Placement) *machine {
	ma := &machine{
		id:            pl.Worker,
		address:       pl.Address,
		own:           map[TaskID]*task{},
		ended:         map[TaskID]time.Time{},
		unlistedSince: sc.now(),
	}
	sc.byID[ma.id] = ma
	sc.machines = append(sc.machines, ma)
	return ma
}

func (sc *scheduler) rackNumber(id platform.RackID) int {
	n, ok := sc.racks[id]
	if !ok {
		n = len(sc.racks)
		sc.racks[id] = n
	}
	return n
}

// setEntries takes over the live entries, self included.
func (sc *scheduler) setEntries(entries []entryInfo) {
	sc.entries = entries
	sc.refresh()
}

// refresh recomputes everything that depends on the lists of workers and
// entries.
func (sc *scheduler) refresh() {
	sc.largest, sc.total = size{}, size{}
	for _, ma := range sc.machines {
		if ma.listed && !ma.leaving {
			sc.largest = sc.largest.atLeast(ma.capacity)
			sc.total = sc.total.plus(ma.capacity)
		}
		ma.rank = 0
		if sc.sharing.homes {
			ma.rank = rankOf(sc.self, sc.entries, ma.id, ma.zone)
		}
		sc.setCeiling(ma)
		sc.refreshMachine(ma)
	}
	for _, tm := range sc.teams {
		sc.entitle(tm)
	}
	sc.rescan = true
}

// refreshMachine recomputes what the choice of a worker reads.
func (sc *scheduler) refreshMachine(ma *machine) {
	before := ma.slots
	ma.slots = sc.slotsOpen(ma)
	if ma.slots > before {
		sc.noteGrown(ma)
	}
	cost := costRank*float64(ma.rank) + costSlowness*ma.health.slowness
	if ma.zone != sc.self.zone {
		cost += costOtherZone
	}
	ma.baseCost = cost
}

// setCeiling divides the room that the last report leaves. The home of a worker
// may use all of it, another entry its own use and a part of the rest.
func (sc *scheduler) setCeiling(ma *machine) {
	free := ma.capacity.minus(ma.others)
	home := ma.rank == 0 && sc.sharing.homes
	if !home && sc.sharing.divide {
		free = free.atMost(ma.ownUse.plus(sc.guestRoom(ma, free)))
	}
	ma.ceiling = free
	ma.room = free.minus(ma.ownUse)
	sc.noteGrown(ma)
}

// report takes over a usage report that was sampled at the given time.
func (sc *scheduler) report(ma *machine, use Usage, sampledAt time.Time) {
	if ma.reported && sampledAt.Before(ma.sampledAt) {
		return
	}
	others := sizeOf(use.Processors, use.Memory, use.Accelerators)
	if len(use.Tasks) == 0 {
		others = others.minus(ma.sentBefore(sampledAt))
	}
	for _, tu := range use.Tasks {
		sz := sizeOf(tu.Processors, tu.Memory, tu.Accelerators)
		sc.learner.observe(tu.Kind, sz, sc.now())
		if tk := ma.own[tu.ID]; tk != nil {
			others = others.minus(sz)
			sc.resize(tk, sz)
		} else if _, own := ma.ended[tu.ID]; own {
			others = others.minus(sz)
		}
	}
	for id, at := range ma.ended {
		if at.Before(sampledAt) {
			delete(ma.ended, id)
		}
	}
	ma.others = others.atLeast(size{})
	ma.reported, ma.sampledAt = true, sampledAt
	sc.setCeiling(ma)
}

// sentBefore returns the reserved size of the own tasks that a report sampled at
// the given time can contain.
func (ma *machine) sentBefore(at time.Time) size {
	var sum size
	for _, tk := range ma.own {
		if tk.state == taskSent && tk.reservedAt.Before(at) {
			sum = sum.plus(tk.size)
		}
	}
	return sum
}

// forgetEnded bounds the memory for ended tasks of a worker that is seldom
// polled. A report older than this counts some of them as use of others, which
// errs towards too little work.
func (ma *machine) forgetEnded(now time.Time) {
	const keep = 10 * time.Second
	for id, at := range ma.ended {
		if now.Sub(at) > keep {
			delete(ma.ended, id)
		}
	}
}

// resize replaces the reserved size of a task by what it really uses.
func (sc *scheduler) resize(tk *task, sz size) {
	by := sz.minus(tk.size)
	tk.size = sz
	tk.ma.change(by)
	tk.team.change(sc, by)
}
