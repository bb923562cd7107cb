package worker

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// workerState is the state of one worker in the scheduler.
type workerState struct {
	id       ids.WorkerID
	address  string
	zone     ids.AvailabilityZone
	rack     int
	capacity size

	listed        bool
	leaving       bool
	unlistedSince time.Time
	// silent is set while the worker does not answer.
	silent bool

	// othersUse is the use of tasks of other entries according to the last
	// report.
	othersUse size
	reported  bool
	sampledAt time.Time
	// ceiling is the room that all own tasks together may use until the next
	// report.
	ceiling size
	// room is the ceiling less the own tasks.
	room   size
	ownUse size
	own    map[TaskID]*task
	// ended holds own tasks that have ended since the last report was sampled;
	// a report that still lists them must not count them as use of others.
	ended map[TaskID]time.Time

	rank          int
	baseCost      float64
	slots         int
	grown         bool
	reservedBy    *lane
	guestPlacedAt time.Time

	health health
	// link holds the connections to the worker; nil in simulations.
	link *link
}

// accepts reports whether a task of the lane may start on the worker.
func (ws *workerState) accepts(need size, ln *lane) bool {
	return need.fits(ws.room) && len(ws.own) < ws.slots && (ws.reservedBy == nil || ws.reservedBy == ln)
}

func (ws *workerState) load() float64 {
	return fraction(ws.ownUse.cores+ws.othersUse.cores, ws.capacity.cores)
}

func (ws *workerState) addUse(by size) {
	ws.ownUse = ws.ownUse.plus(by)
	if len(ws.own) == 0 {
		ws.ownUse = size{} // drops rounding errors
	}
	ws.room = ws.ceiling.minus(ws.ownUse)
}

// setWorkers applies the platform's list of workers. A worker that is no longer
// listed stays until all of its tasks have ended or are lost.
func (sc *scheduler) setWorkers(vms []ids.VM) {
	seen := map[ids.WorkerID]bool{}
	for _, vm := range vms {
		id := ids.WorkerID(vm.ID)
		seen[id] = true
		ws := sc.byID[id]
		if ws == nil {
			ws = &workerState{id: id, own: map[TaskID]*task{}, ended: map[TaskID]time.Time{}}
			sc.byID[id] = ws
			sc.workers = append(sc.workers, ws)
		}
		ws.listed = true
		ws.leaving = vm.State == ids.StateLeaving
		ws.address = vm.Address
		ws.zone = vm.AvailabilityZone
		ws.rack = sc.rackNumber(vm.Rack)
		ws.capacity = sizeOf(vm.Processors, vm.Memory, vm.Accelerators)
	}
	kept := sc.workers[:0]
	for _, ws := range sc.workers {
		if !seen[ws.id] && ws.listed {
			ws.listed = false
			ws.unlistedSince = sc.now()
		}
		if !ws.listed && len(ws.own) == 0 {
			delete(sc.byID, ws.id)
			continue
		}
		kept = append(kept, ws)
	}
	clear(sc.workers[len(kept):])
	sc.workers = kept
	sc.refresh()
}

// addUnlisted adds a worker that is not listed but is named in a placement of
// an earlier owner.
func (sc *scheduler) addUnlisted(pl Placement) *workerState {
	ws := &workerState{
		id:            pl.Worker,
		address:       pl.Address,
		own:           map[TaskID]*task{},
		ended:         map[TaskID]time.Time{},
		unlistedSince: sc.now(),
	}
	sc.byID[ws.id] = ws
	sc.workers = append(sc.workers, ws)
	return ws
}

func (sc *scheduler) rackNumber(id ids.RackID) int {
	n, ok := sc.racks[id]
	if !ok {
		n = len(sc.racks)
		sc.racks[id] = n
	}
	return n
}

// setEntries sets the live entries, self included.
func (sc *scheduler) setEntries(entries []entryInfo) {
	sc.entries = entries
	sc.refresh()
}

// refresh recomputes the state that depends on the lists of workers and
// entries.
func (sc *scheduler) refresh() {
	sc.largest, sc.total = size{}, size{}
	for _, ws := range sc.workers {
		if ws.listed && !ws.leaving {
			sc.largest = sc.largest.maxWith(ws.capacity)
			sc.total = sc.total.plus(ws.capacity)
		}
		ws.rank = 0
		if sc.sharing.homes {
			ws.rank = rankOf(sc.self, sc.entries, ws.id, ws.zone)
		}
		sc.setCeiling(ws)
		sc.refreshWorker(ws)
	}
	for _, tm := range sc.teams {
		sc.setEntitlement(tm)
	}
	sc.rescan = true
}

// refreshWorker recomputes the slots and the base cost of a worker.
func (sc *scheduler) refreshWorker(ws *workerState) {
	before := ws.slots
	ws.slots = sc.openSlots(ws)
	if ws.slots > before {
		sc.markGrown(ws)
	}
	cost := costRank*float64(ws.rank) + costSlowness*ws.health.slowness
	if ws.zone != sc.self.zone {
		cost += costOtherZone
	}
	ws.baseCost = cost
}

// setCeiling computes the ceiling from the room that is free according to the
// last report. The home of a worker may use all of it, another entry its own
// use and a part of the rest.
func (sc *scheduler) setCeiling(ws *workerState) {
	free := ws.capacity.minus(ws.othersUse)
	home := ws.rank == 0 && sc.sharing.homes
	if !home && sc.sharing.divide {
		free = free.minWith(ws.ownUse.plus(sc.guestRoom(ws, free)))
	}
	ws.ceiling = free
	ws.room = free.minus(ws.ownUse)
	sc.markGrown(ws)
}

// applyReport applies a usage report that was sampled at the given time.
func (sc *scheduler) applyReport(ws *workerState, use Usage, sampledAt time.Time) {
	if ws.reported && sampledAt.Before(ws.sampledAt) {
		return
	}
	othersUse := sizeOf(use.Processors, use.Memory, use.Accelerators)
	if len(use.Tasks) == 0 {
		othersUse = othersUse.minus(ws.sentBefore(sampledAt))
	}
	for _, tu := range use.Tasks {
		sz := sizeOf(tu.Processors, tu.Memory, tu.Accelerators)
		sc.learner.observeSize(tu.Kind, sz, sc.now())
		if tk := ws.own[tu.ID]; tk != nil {
			othersUse = othersUse.minus(sz)
			sc.resize(tk, sz)
		} else if _, own := ws.ended[tu.ID]; own {
			othersUse = othersUse.minus(sz)
		}
	}
	for id, at := range ws.ended {
		if at.Before(sampledAt) {
			delete(ws.ended, id)
		}
	}
	ws.othersUse = othersUse.maxWith(size{})
	ws.reported, ws.sampledAt = true, sampledAt
	sc.setCeiling(ws)
}

// sentBefore returns the total size of the own tasks that a report sampled at
// the given time can contain.
func (ws *workerState) sentBefore(at time.Time) size {
	var sum size
	for _, tk := range ws.own {
		if tk.state == taskSent && tk.reservedAt.Before(at) {
			sum = sum.plus(tk.size)
		}
	}
	return sum
}

// dropEnded bounds the memory for ended tasks of a worker that is rarely
// polled. A report older than keep counts some of them as use of others, so
// that the worker gets too few tasks rather than too many.
func (ws *workerState) dropEnded(now time.Time) {
	const keep = 10 * time.Second
	for id, at := range ws.ended {
		if now.Sub(at) > keep {
			delete(ws.ended, id)
		}
	}
}

// resize replaces the size of a task by its measured use.
func (sc *scheduler) resize(tk *task, sz size) {
	by := sz.minus(tk.size)
	tk.size = sz
	tk.ws.addUse(by)
	tk.team.addUse(sc, by)
}
