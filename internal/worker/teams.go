package worker

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// team holds the queues and the use of one team.
type team struct {
	id    ids.TeamID
	quota configuration.Team
	// entitlement is the room that the team may use while all teams have queued
	// tasks.
	entitlement size
	use         size
	// share is the largest part of the entitlement in use over the dimensions.
	share float64
	lanes map[ids.RequestKind]*lane
}

// lane is the queue of one team's tasks of one kind, in order of arrival. Each
// kind has a queue of its own, so that a task for which there is no room does
// not block smaller ones of another kind.
type lane struct {
	team    *team
	kind    ids.RequestKind
	tasks   []*task
	first   int
	served  int64
	blocked bool
	// need is the room that the first task needed when the lane was blocked.
	need          size
	reserves      *workerState
	reservedSince time.Time
}

func (sc *scheduler) team(id ids.TeamID) *team {
	tm := sc.teams[id]
	if tm == nil {
		tm = &team{id: id, lanes: map[ids.RequestKind]*lane{}}
		sc.teams[id] = tm
		sc.setEntitlement(tm)
	}
	return tm
}

func (tm *team) lane(sc *scheduler, kind ids.RequestKind) *lane {
	ln := tm.lanes[kind]
	if ln == nil {
		ln = &lane{team: tm, kind: kind}
		tm.lanes[kind] = ln
		sc.lanes = append(sc.lanes, ln)
	}
	return ln
}

func (ln *lane) push(tk *task) {
	ln.tasks = append(ln.tasks, tk)
}

// head returns the first task that has not been withdrawn.
func (ln *lane) head() *task {
	for ln.first < len(ln.tasks) {
		if tk := ln.tasks[ln.first]; tk.state == taskQueued {
			return tk
		}
		ln.pop()
	}
	return nil
}

func (ln *lane) pop() {
	const compactAt = 256
	ln.tasks[ln.first] = nil
	ln.first++
	if ln.first >= compactAt && 2*ln.first >= len(ln.tasks) {
		n := copy(ln.tasks, ln.tasks[ln.first:])
		clear(ln.tasks[n:])
		ln.tasks = ln.tasks[:n]
		ln.first = 0
	}
}

// nextLane returns the lane to serve next: that of the team with the smallest
// share of its entitlement in use, and among equals the one served least
// recently. Empty lanes are dropped.
func (sc *scheduler) nextLane() *lane {
	var best *lane
	for i := 0; i < len(sc.lanes); i++ {
		ln := sc.lanes[i]
		if ln.head() == nil {
			sc.dropLane(i)
			i--
			continue
		}
		if ln.blocked {
			continue
		}
		if best == nil || ln.team.share < best.team.share ||
			ln.team.share == best.team.share && ln.served < best.served {
			best = ln
		}
	}
	if best != nil {
		sc.served++
		best.served = sc.served
	}
	return best
}

func (sc *scheduler) dropLane(i int) {
	ln := sc.lanes[i]
	ln.unreserve(sc)
	delete(ln.team.lanes, ln.kind)
	last := len(sc.lanes) - 1
	sc.lanes[i] = sc.lanes[last]
	sc.lanes[last] = nil
	sc.lanes = sc.lanes[:last]
}

func (tm *team) addUse(_ *scheduler, by size) {
	tm.use = tm.use.plus(by)
	tm.share = max(
		fraction(tm.use.cores, tm.entitlement.cores),
		fraction(tm.use.memory, tm.entitlement.memory),
		fraction(tm.use.accelerators, tm.entitlement.accelerators),
	)
}

func fraction(use, of float64) float64 {
	if use <= 0 || of <= 0 {
		return 0
	}
	return use / of
}

// setTeams applies the quotas of a configuration.
func (sc *scheduler) setTeams(quotas map[ids.TeamID]configuration.Team) {
	sc.quotas = quotas
	sc.weights = 0
	for _, quota := range quotas {
		sc.weights += weightOf(quota)
	}
	sc.weights = max(sc.weights, 1)
	for _, tm := range sc.teams {
		sc.setEntitlement(tm)
	}
}

func weightOf(quota configuration.Team) float64 {
	return float64(max(quota.Weight, 1))
}

// setEntitlement computes the entitlement of a team: its quota in the
// dimensions for which the configuration states one, otherwise the part of all
// workers that corresponds to its weight.
func (sc *scheduler) setEntitlement(tm *team) {
	tm.quota = sc.quotas[tm.id]
	ent := sc.total.times(weightOf(tm.quota) / max(sc.weights, weightOf(tm.quota)))
	if tm.quota.Processors > 0 {
		ent.cores = float64(tm.quota.Processors)
	}
	if tm.quota.Memory > 0 {
		ent.memory = float64(tm.quota.Memory)
	}
	if tm.quota.Accelerators > 0 {
		ent.accelerators = float64(tm.quota.Accelerators)
	}
	tm.entitlement = ent
	tm.addUse(sc, size{})
}

// sweepTeams drops teams without queued or running tasks. Callers choose the
// names of teams, so their number would otherwise grow without bound.
func (sc *scheduler) sweepTeams() {
	for id, tm := range sc.teams {
		if len(tm.lanes) == 0 && tm.use.cores < 1e-6 && id != "" {
			delete(sc.teams, id)
		}
	}
}

const (
	// reservationAge is the age above which a reservation ends, so that the lane
	// can reserve another worker.
	reservationAge = 2 * time.Second
	// reservedPart limits the reserved workers to one in reservedPart workers.
	// The limit is at least one.
	reservedPart = 8
)

// reserveWorker reserves a worker for a task that fits no worker at present, so
// that smaller tasks do not take all room that comes free. Unless the reservation
// ends earlier, the task waits at most until the tasks that run on the worker
// have ended.
func (sc *scheduler) reserveWorker(ln *lane) {
	if ln.reserves != nil {
		return
	}
	if sc.reservedWorkers >= max(1, len(sc.workers)/reservedPart) && !sc.takeReservation(ln) {
		return
	}
	var best *workerState
	bestFree := -1.0
	for _, ws := range sc.workers {
		if ws.slots == 0 || ws.reservedBy != nil || !ln.need.fits(ws.ceiling) {
			continue
		}
		free := min(fraction(ws.room.cores, ln.need.cores), fraction(ws.room.memory, ln.need.memory))
		free -= ws.baseCost / costOtherZone
		if best == nil || free > bestFree {
			best, bestFree = ws, free
		}
	}
	if best == nil {
		return
	}
	best.reservedBy = ln
	ln.reserves = best
	ln.reservedSince = sc.now()
	sc.reservedWorkers++
}

// takeReservation ends the reservation of the team with the largest share, if
// that share is larger than that of the lane's team.
func (sc *scheduler) takeReservation(ln *lane) bool {
	var most *lane
	for _, other := range sc.lanes {
		if other.reserves != nil && (most == nil || other.team.share > most.team.share) {
			most = other
		}
	}
	if most == nil || most.team.share <= ln.team.share {
		return false
	}
	most.unreserve(sc)
	return true
}

func (ln *lane) unreserve(sc *scheduler) {
	if ln.reserves == nil {
		return
	}
	ln.reserves.reservedBy = nil
	sc.markGrown(ln.reserves)
	ln.reserves = nil
	sc.reservedWorkers--
}

func (sc *scheduler) moveReservations() {
	for _, ln := range sc.lanes {
		if ln.reserves != nil && sc.now().Sub(ln.reservedSince) > reservationAge {
			ln.unreserve(sc)
			sc.rescan = true
		}
	}
}
