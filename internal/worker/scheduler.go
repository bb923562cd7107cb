package worker

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

// taskState is the state of a task in the dispatcher.
type taskState int8

const (
	taskQueued taskState = iota
	taskAssigned
	taskSent
	taskEnded
)

// task is one task from Enqueue or Adopt until its end.
type task struct {
	id       TaskID
	demand   Demand
	job      *jobState
	team     *team
	state    taskState
	queuedAt time.Time
	assigned func(task TaskID, pl Placement)

	// The rest is set once the task has a worker.
	ws   *workerState
	size size
	// reserved is the room reserved at assignment; size is updated by usage
	// reports.
	reserved size
	// reservedAt is when the room was reserved.
	reservedAt time.Time
	adopted    bool
	// tracking is the state of the requests about the task.
	tracking trackingState
}

// assignment is a task with its worker, not yet passed to the caller of
// Enqueue.
type assignment struct {
	tk *task
	pl Placement
}

// scheduler decides which task runs on which worker. It sends no requests and
// starts no goroutine; the caller serializes all calls.
type scheduler struct {
	now      func() time.Time
	sharing  sharing
	self     entryInfo
	entries  []entryInfo
	counters *counter.Set

	learner *learner
	workers []*workerState
	byID    map[ids.WorkerID]*workerState
	racks   map[ids.RackID]int
	largest size
	total   size

	teams           map[ids.TeamID]*team
	quotas          map[ids.TeamID]configuration.Team
	weights         float64
	lanes           []*lane
	served          int64
	reservedWorkers int
	rescan          bool
	// expanded is set from the time at which a task has waited too long until
	// expandedUntil has passed; see expandShare and resetShare.
	expanded      bool
	expandedUntil time.Time
	mostAreSlow   bool
	grown         []*workerState

	tasks    map[TaskID]*task
	jobs     map[ids.JobID]*jobState
	idleJobs []*jobState
	queued   int
}

func newScheduler(self entryInfo, counters *counter.Set, now func() time.Time) *scheduler {
	return &scheduler{
		now:      now,
		sharing:  defaultSharing,
		self:     self,
		entries:  []entryInfo{self},
		counters: counters,
		learner:  newLearner(),
		byID:     map[ids.WorkerID]*workerState{},
		racks:    map[ids.RackID]int{},
		teams:    map[ids.TeamID]*team{},
		weights:  1,
		tasks:    map[TaskID]*task{},
		jobs:     map[ids.JobID]*jobState{},
	}
}

func (sc *scheduler) count(reason string) {
	if sc.counters != nil {
		sc.counters.Add(counterFamily, reason, 1)
	}
}

// admissible refuses a demand that fits no listed worker. The error names the
// dimension that is too large, or the combination of the dimensions when each
// of them alone fits the largest worker.
func (sc *scheduler) admissible(dm *Demand) error {
	if len(sc.workers) == 0 {
		return nil
	}
	need := sc.learner.need(dm, sc.largest)
	if ks := sc.learner.kinds[dm.Kind]; ks == nil || ks.cores.samples < minSamples {
		need = declaredSize(dm)
	}
	dimension, limit := "", 0.0
	switch {
	case need.cores > sc.largest.cores:
		dimension, limit = "processors", sc.largest.cores
	case need.memory > sc.largest.memory:
		dimension, limit = "memory-mb", sc.largest.memory
	case need.accelerators > sc.largest.accelerators:
		dimension, limit = "accelerators", sc.largest.accelerators
	default:
		for _, ws := range sc.workers {
			if ws.listed && need.fits(ws.capacity) {
				return nil
			}
		}
		dimension = "the combination of processors, memory-mb and accelerators"
	}
	sc.count("inadmissible")
	msg := fmt.Sprintf("task %s fits no worker: %s", dm.Task, dimension)
	if limit > 0 {
		msg += fmt.Sprintf(" is larger than the %v of the largest worker", limit)
	}
	return outcome.Refuse(http.StatusUnprocessableEntity, "fits-no-worker", msg, "lower the declared size or split the task", 0)
}

func (sc *scheduler) enqueue(dm *Demand, assigned func(TaskID, Placement)) {
	tm := sc.team(dm.Team)
	tk := &task{id: dm.Task, demand: *dm, team: tm, job: sc.job(dm.Job), queuedAt: sc.now(), assigned: assigned}
	sc.tasks[dm.Task] = tk
	tm.lane(sc, dm.Kind).push(tk)
	sc.queued++
}

func (sc *scheduler) job(id ids.JobID) *jobState {
	job := sc.jobs[id]
	if job == nil {
		job = &jobState{id: id}
		sc.jobs[id] = job
	}
	job.tasks++
	return job
}

// releaseJob removes one task from the count of its job and drops a job without
// tasks. A job with failures is kept for a while, because they count in the
// suspicion of other workers.
func (sc *scheduler) releaseJob(job *jobState) {
	job.tasks--
	if job.tasks > 0 {
		return
	}
	if len(job.failedOn) == 0 {
		delete(sc.jobs, job.id)
		return
	}
	job.idleSince = sc.now()
	sc.idleJobs = append(sc.idleJobs, job)
}

func (sc *scheduler) sweepJobs() {
	const keep = 2 * time.Second
	kept := sc.idleJobs[:0]
	for _, job := range sc.idleJobs {
		switch {
		case job.tasks > 0:
		case sc.now().Sub(job.idleSince) < keep:
			kept = append(kept, job)
		default:
			delete(sc.jobs, job.id)
		}
	}
	clear(sc.idleJobs[len(kept):])
	sc.idleJobs = kept
}

// withdraw removes a task that has not been sent.
func (sc *scheduler) withdraw(id TaskID) {
	tk := sc.tasks[id]
	if tk == nil {
		return
	}
	switch tk.state {
	case taskQueued:
		tk.state = taskEnded
		sc.queued--
		delete(sc.tasks, id)
		sc.releaseJob(tk.job)
	case taskAssigned:
		sc.release(tk)
	}
}

// place assigns at most limit queued tasks, as far as there is room. The team
// with the smallest share of its entitlement in use comes first.
func (sc *scheduler) place(limit int) []assignment {
	sc.unblock()
	var out []assignment
	for len(out) < limit {
		ln := sc.nextLane()
		if ln == nil {
			break
		}
		tk := ln.head()
		need := sc.learner.need(&tk.demand, sc.largest)
		ws := sc.selectWorker(tk, need)
		if ws == nil && sc.expandShare(sc.now().Sub(tk.queuedAt)) {
			continue
		}
		if ws == nil {
			ln.blocked = true
			ln.need = need
			sc.reserveWorker(ln)
			continue
		}
		ln.pop()
		sc.queued--
		ln.unreserve(sc)
		sc.assign(tk, ws, need)
		out = append(out, assignment{tk: tk, pl: Placement{Worker: ws.id, Address: ws.address}})
	}
	return out
}

// unblock unblocks the lanes whose first task fits a worker that has gained
// room since the last call.
func (sc *scheduler) unblock() {
	for _, ln := range sc.lanes {
		if !ln.blocked {
			continue
		}
		if sc.rescan {
			ln.blocked = false
			continue
		}
		for _, ws := range sc.grown {
			if ws.accepts(ln.need, ln) {
				ln.blocked = false
				break
			}
		}
	}
	sc.rescan = false
	for _, ws := range sc.grown {
		ws.grown = false
	}
	sc.grown = sc.grown[:0]
}

// The weights of the cost of a worker; the lowest cost wins. The zone outweighs
// everything else. The rank among entries outweighs load and racks. A worker
// that is twice as slow costs more than one on which this entry has rank 2.
const (
	costOtherZone = 1000.0
	costRank      = 10.0
	costSlowness  = 30.0
	costLoad      = 4.0
	costRack      = 0.5
	maxRackCount  = 10
)

func (sc *scheduler) selectWorker(tk *task, need size) *workerState {
	var best *workerState
	bestCost := math.Inf(1)
	ln := tk.team.lanes[tk.demand.Kind]
	for _, ws := range sc.workers {
		if ws.baseCost >= bestCost || !ws.accepts(need, ln) {
			continue
		}
		cost := ws.baseCost + costLoad*ws.load()
		if tk.job.racks != nil {
			cost += costRack * float64(min(tk.job.racks[ws.rack], maxRackCount))
		}
		if cost < bestCost {
			best, bestCost = ws, cost
		}
	}
	if best != nil && best.rank > 0 {
		best.guestPlacedAt = sc.now()
	}
	return best
}

func (sc *scheduler) assign(tk *task, ws *workerState, need size) {
	tk.state = taskAssigned
	tk.ws = ws
	tk.size, tk.reserved = need, need
	tk.reservedAt = sc.now()
	ws.own[tk.id] = tk
	ws.addUse(need)
	tk.team.addUse(sc, need)
	if tk.job.tasks > 1 {
		if tk.job.racks == nil {
			tk.job.racks = map[int]int{}
		}
		tk.job.racks[ws.rack]++
	}
}

// adopt adds a task that an earlier owner may have started. Its size is
// unknown; it counts as use of others until a usage report lists the task.
func (sc *scheduler) adopt(id TaskID, ws *workerState) *task {
	tk := &task{id: id, team: sc.team(""), job: sc.job(""), state: taskSent, ws: ws, reservedAt: sc.now(), adopted: true}
	sc.tasks[id] = tk
	ws.own[id] = tk
	return tk
}

// release frees the room of a task that has a worker and drops the task.
func (sc *scheduler) release(tk *task) {
	if tk.state != taskAssigned && tk.state != taskSent {
		return
	}
	ws := tk.ws
	if tk.state == taskSent {
		ws.ended[tk.id] = sc.now()
	}
	tk.state = taskEnded
	delete(sc.tasks, tk.id)
	delete(ws.own, tk.id)
	ws.addUse(size{}.minus(tk.size))
	tk.team.addUse(sc, size{}.minus(tk.size))
	if tk.job.racks != nil {
		tk.job.racks[ws.rack]--
	}
	sc.releaseJob(tk.job)
	sc.markGrown(ws)
}

func (sc *scheduler) markGrown(ws *workerState) {
	if !ws.grown {
		ws.grown = true
		sc.grown = append(sc.grown, ws)
	}
}

// finished records the end of a task as its worker reports it.
func (sc *scheduler) finished(tk *task, rep Report) {
	ws := tk.ws
	switch {
	case tk.adopted:
	case rep.State == StateDone:
		sc.recordSuccess(ws, tk)
		slowness := math.Exp(ws.health.slowness)
		sc.recordSpeed(ws, sc.learner.finished(tk.demand.Kind, float64(rep.RanMillis), slowness, sc.now()))
	case rep.State == StateFailed:
		sc.recordFailure(ws, tk)
	}
	sc.release(tk)
}

// lost records the end of a task of which no report will come.
func (sc *scheduler) lost(tk *task) {
	sc.release(tk)
}

// refused records a start after which the task provably did not run.
func (sc *scheduler) refused(tk *task) {
	sc.count("start-refused")
	ws := tk.ws
	sc.release(tk)
	delete(ws.ended, tk.id)
	sc.recordRefusal(ws)
}

// tick updates the state that depends on time alone.
func (sc *scheduler) tick(elapsed time.Duration) {
	sc.decaySlowness(elapsed)
	sc.sweepJobs()
	sc.sweepTeams()
	sc.resetShare()
	sc.expandForBlocked()
	sc.detectLateTasks()
	for _, ws := range sc.workers {
		ws.dropEnded(sc.now())
		sc.refreshWorker(ws)
	}
	sc.moveReservations()
}

// detectLateTasks raises the slowness of a worker before its tasks have ended,
// when at least two of them run for more than twice the time that few tasks of
// their kinds exceed.
func (sc *scheduler) detectLateTasks() {
	const (
		minLate = 2
		minAge  = 100 * time.Millisecond
	)
	now := sc.now()
	for _, ws := range sc.workers {
		late, sum := 0, 0.0
		for _, tk := range ws.own {
			age := now.Sub(tk.reservedAt)
			expected, bound := sc.learner.runTime(&tk.demand)
			if tk.state == taskSent && age > minAge && age > 2*bound && expected > 0 {
				late++
				sum += float64(age) / float64(expected)
			}
		}
		if late >= minLate {
			estimate := math.Log(sum / float64(late))
			ws.health.slowness = max(ws.health.slowness, (ws.health.slowness+estimate)/2)
		}
	}
}

// expandForBlocked calls expandShare for the blocked lanes, which place skips
// while no room comes free.
func (sc *scheduler) expandForBlocked() {
	for _, ln := range sc.lanes {
		if tk := ln.head(); tk != nil && ln.blocked {
			sc.expandShare(sc.now().Sub(tk.queuedAt))
		}
	}
}
