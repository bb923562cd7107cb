package worker

import (
	"math"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

const (
	// suspendThreshold is the suspicion, as a weighted number of failures, at
	// which a worker is suspended.
	suspendThreshold = 3
	// maxEvidence bounds the failures recorded for each worker.
	maxEvidence = 16
	// maxUnprovenTasks bounds the tasks in flight on a worker that has not yet
	// finished a task, or on which tasks have failed since, because all of them
	// may fail.
	maxUnprovenTasks = 4
	// healthyRunTime is the run time from which on a task raises the bound of an
	// unproven worker. It is short, because workers that fail every task fail
	// them at once. Without it, a new worker with 64 cores ran only four tasks
	// of 20 s.
	healthyRunTime = time.Second
	// minProbeWait and maxProbeWait bound the time until the next probe of a
	// suspended worker, which doubles with each further failure. A probe that
	// fails costs a job.
	minProbeWait = 10 * time.Second
	maxProbeWait = 10 * time.Minute
	// maxSlowness is the slowness, as a factor, above which a worker gets no
	// tasks until the estimate has decayed.
	maxSlowness = 4
	// slownessHalfLife is the time in which the logarithm of the slowness halves
	// without new samples, so that a recovered worker gets tasks again.
	slownessHalfLife = time.Minute
)

// evidence is one failure on a worker since its last success.
type evidence struct {
	job     *jobState
	kind    ids.RequestKind
	refusal bool
}

// health is the state of one worker as estimated from the ends of its tasks.
type health struct {
	evidence  []evidence
	proven    bool
	suspended bool
	nextProbe time.Time
	probeWait time.Duration
	// slowness is the natural logarithm of the run time of tasks on this worker
	// in relation to the average of their kinds.
	slowness float64
}

// jobState is the state of one job of which the scheduler has tasks.
type jobState struct {
	id    ids.JobID
	tasks int
	racks map[int]int
	// doneOn and failedOn are the workers on which tasks of the job have
	// succeeded and failed. The lists stay short: a job has up to 540 tasks.
	doneOn, failedOn []*workerState
	idleSince        time.Time
}

func addWorker(list []*workerState, ws *workerState) []*workerState {
	for _, known := range list {
		if known == ws {
			return list
		}
	}
	return append(list, ws)
}

func countOthers(list []*workerState, ws *workerState) int {
	n := 0
	for _, other := range list {
		if other != ws {
			n++
		}
	}
	return n
}

// suspicion adds up the failures on the worker since its last success. Each is
// weighted by the success rate of the same job on other workers and reduced by
// the failure rate of its kind. The failures of a job that has not succeeded on
// any other worker count once together.
func (sc *scheduler) suspicion(ws *workerState) float64 {
	sum := 0.0
	for i, ev := range ws.health.evidence {
		if ev.refusal {
			sum++
			continue
		}
		done, failed := countOthers(ev.job.doneOn, ws), countOthers(ev.job.failedOn, ws)
		if done == 0 && countedBefore(ws.health.evidence[:i], ev.job) {
			continue
		}
		weight := 1.0
		if done+failed > 0 {
			weight = float64(done) / float64(done+failed)
		}
		if ks := sc.learner.kinds[ev.kind]; ks != nil {
			// Two samples are added, because a failure rate from few samples is
			// unreliable.
			confidence := float64(ks.failureRate.samples) / float64(ks.failureRate.samples+2)
			weight *= 1 - ks.failureRate.mean*confidence
		}
		sum += weight
	}
	return sum
}

func countedBefore(evs []evidence, job *jobState) bool {
	for _, ev := range evs {
		if !ev.refusal && ev.job == job {
			return true
		}
	}
	return false
}

func (sc *scheduler) recordSuccess(ws *workerState, tk *task) {
	tk.job.doneOn = addWorker(tk.job.doneOn, ws)
	sc.learner.kind(tk.demand.Kind, sc.now()).failureRate.add(0)
	he := &ws.health
	changed := len(he.evidence) > 0 || !he.proven
	he.evidence = he.evidence[:0]
	he.proven, he.suspended, he.probeWait = true, false, 0
	if changed {
		sc.refreshWorker(ws)
	}
}

func (sc *scheduler) recordFailure(ws *workerState, tk *task) {
	tk.job.failedOn = addWorker(tk.job.failedOn, ws)
	if len(ws.health.evidence) == 0 {
		sc.learner.kind(tk.demand.Kind, sc.now()).failureRate.add(1)
	}
	sc.addEvidence(ws, evidence{job: tk.job, kind: tk.demand.Kind})
}

func (sc *scheduler) recordRefusal(ws *workerState) {
	sc.addEvidence(ws, evidence{refusal: true})
}

func (sc *scheduler) addEvidence(ws *workerState, ev evidence) {
	he := &ws.health
	if len(he.evidence) >= maxEvidence {
		he.evidence = append(he.evidence[:0], he.evidence[1:]...)
	}
	he.evidence = append(he.evidence, ev)
	if sc.suspicion(ws) >= suspendThreshold {
		sc.suspend(ws)
	}
	sc.refreshWorker(ws)
	if !ev.refusal {
		sc.liftSuspensions()
	}
}

// liftSuspensions ends the suspension of workers whose suspicion has fallen,
// because the same jobs and kinds have since failed on other workers.
func (sc *scheduler) liftSuspensions() {
	for _, ws := range sc.workers {
		if ws.health.suspended && sc.suspicion(ws) < suspendThreshold {
			ws.health.suspended = false
			sc.refreshWorker(ws)
		}
	}
}

// suspend stops new tasks for the worker, unless more than half of the workers
// would then be suspended: so many failures have another cause than the
// workers.
func (sc *scheduler) suspend(ws *workerState) {
	he := &ws.health
	if !he.suspended {
		if 2*(sc.suspendedWorkers()+1) > len(sc.workers) {
			return
		}
		sc.count("suspended")
	}
	he.suspended = true
	he.probeWait = min(max(2*he.probeWait, minProbeWait), maxProbeWait)
	he.nextProbe = sc.now().Add(he.probeWait)
}

func (sc *scheduler) suspendedWorkers() int {
	n := 0
	for _, ws := range sc.workers {
		if ws.health.suspended {
			n++
		}
	}
	return n
}

// openSlots returns the number of tasks that the worker may have in flight.
func (sc *scheduler) openSlots(ws *workerState) int {
	he := &ws.health
	switch {
	case !ws.listed || ws.leaving || ws.silent:
		return 0
	case he.suspended:
		if sc.now().Before(he.nextProbe) {
			return 0
		}
		return 1
	case he.slowness > math.Log(maxSlowness) && !sc.mostAreSlow:
		return 0
	case sc.suspicion(ws) >= 0.5:
		return maxUnprovenTasks
	case !he.proven:
		return maxUnprovenTasks * (1 + sc.countHealthyRuns(ws))
	}
	return math.MaxInt
}

// countHealthyRuns counts the own tasks that have run for at least
// healthyRunTime.
func (sc *scheduler) countHealthyRuns(ws *workerState) int {
	n := 0
	for _, tk := range ws.own {
		if sc.now().Sub(tk.reservedAt) >= healthyRunTime {
			n++
		}
	}
	return n
}

// recordSpeed updates the slowness of the worker after a task that took ratio
// times the average run time of its kind.
func (sc *scheduler) recordSpeed(ws *workerState, ratio float64) {
	const (
		weight   = 1.0 / 8
		maxRatio = 64
	)
	if ratio <= 0 {
		return
	}
	val := math.Log(min(max(ratio, 1.0/maxRatio), maxRatio))
	ws.health.slowness += weight * (val - ws.health.slowness)
}

func (sc *scheduler) decaySlowness(elapsed time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(slownessHalfLife))
	slow := 0
	for _, ws := range sc.workers {
		ws.health.slowness *= factor
		if ws.health.slowness > math.Log(maxSlowness) {
			slow++
		}
	}
	sc.mostAreSlow = 2*slow > len(sc.workers)
}
