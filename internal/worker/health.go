package worker

import (
	"math"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

const (
	// suspendAt is the suspicion, in failures that speak against the worker,
	// at which a worker gets no more work.
	suspendAt = 3
	// maxEvidence bounds the failures remembered for each worker.
	maxEvidence = 16
	// unprovenTasks bounds the tasks in flight on a worker that has not yet
	// finished one, or has failed since: they may all fail together.
	unprovenTasks = 4
	// survivalTime is how long a task runs before it speaks for an unproven
	// worker like a finished one: workers that fail everything fail at once.
	// Without it, a new worker that gets tasks of 20 s ran four of them on 64
	// cores.
	survivalTime = time.Second
	// The time between probes of a suspended worker doubles between these. A
	// probe that fails costs a job.
	firstProbe = 10 * time.Second
	lastProbe  = 10 * time.Minute
	// slowLimit is the slowness above which a straggler gets no work until the
	// estimate has decayed.
	slowLimit = 4
	// slownessHalfLife is the time in which an unconfirmed estimate of slowness
	// halves (as a logarithm), so that a recovered worker is tried again.
	slownessHalfLife = time.Minute
)

// evidence is one failure on a worker since its last success.
type evidence struct {
	job     *jobState
	kind    ids.RequestKind
	refusal bool
}

// health is what the ends of tasks say about one worker.
type health struct {
	evidence  []evidence
	proven    bool
	suspended bool
	nextProbe time.Time
	probeWait time.Duration
	// slowness is the natural logarithm of how much longer tasks run here than
	// their kind does on average.
	slowness float64
}

// jobState is what the scheduler knows about one job with tasks here.
type jobState struct {
	id    ids.JobID
	tasks int
	racks map[int]int
	// doneOn and failedOn are the workers on which tasks of the job succeeded
	// and failed. They stay short: a job has up to 540 tasks.
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

// suspicion adds up the failures on the worker since its last success, each
// weighed by how well the same job and kind fare on other workers. Failures of
// a job that has succeeded nowhere else count once.
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
		blame := 1.0
		if done+failed > 0 {
			blame = float64(done) / float64(done+failed)
		}
		if ks := sc.learner.kinds[ev.kind]; ks != nil {
			// Two samples count as doubt: a kind seen on few workers proves little.
			doubt := float64(ks.failures.samples) / float64(ks.failures.samples+2)
			blame *= 1 - ks.failures.mean*doubt
		}
		sum += blame
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

func (sc *scheduler) noteSuccess(ws *workerState, tk *task) {
	tk.job.doneOn = addWorker(tk.job.doneOn, ws)
	sc.learner.kind(tk.demand.Kind, sc.now()).failures.add(0)
	he := &ws.health
	changed := len(he.evidence) > 0 || !he.proven
	he.evidence = he.evidence[:0]
	he.proven, he.suspended, he.probeWait = true, false, 0
	if changed {
		sc.refreshWorker(ws)
	}
}

func (sc *scheduler) noteFailure(ws *workerState, tk *task) {
	tk.job.failedOn = addWorker(tk.job.failedOn, ws)
	if len(ws.health.evidence) == 0 {
		sc.learner.kind(tk.demand.Kind, sc.now()).failures.add(1)
	}
	sc.addEvidence(ws, evidence{job: tk.job, kind: tk.demand.Kind})
}

func (sc *scheduler) noteRefusal(ws *workerState) {
	sc.addEvidence(ws, evidence{refusal: true})
}

func (sc *scheduler) addEvidence(ws *workerState, ev evidence) {
	he := &ws.health
	if len(he.evidence) >= maxEvidence {
		he.evidence = append(he.evidence[:0], he.evidence[1:]...)
	}
	he.evidence = append(he.evidence, ev)
	if sc.suspicion(ws) >= suspendAt {
		sc.suspend(ws)
	}
	sc.refreshWorker(ws)
	if !ev.refusal {
		sc.reconsider()
	}
}

// reconsider lifts suspensions that later failures of the same jobs and kinds
// on other workers have explained.
func (sc *scheduler) reconsider() {
	for _, ws := range sc.workers {
		if ws.health.suspended && sc.suspicion(ws) < suspendAt {
			ws.health.suspended = false
			sc.refreshWorker(ws)
		}
	}
}

// suspend stops new work for the worker, unless half of the workers are
// suspended already: then the cause lies elsewhere.
func (sc *scheduler) suspend(ws *workerState) {
	he := &ws.health
	if !he.suspended {
		if 2*(sc.suspendedWorkers()+1) > len(sc.workers) {
			return
		}
		sc.count("suspended")
	}
	he.suspended = true
	he.probeWait = min(max(2*he.probeWait, firstProbe), lastProbe)
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

// slotsOpen returns how many tasks the worker may have in flight.
func (sc *scheduler) slotsOpen(ws *workerState) int {
	he := &ws.health
	switch {
	case !ws.listed || ws.leaving || ws.silent:
		return 0
	case he.suspended:
		if sc.now().Before(he.nextProbe) {
			return 0
		}
		return 1
	case he.slowness > math.Log(slowLimit) && !sc.mostAreSlow:
		return 0
	case sc.suspicion(ws) >= 0.5:
		return unprovenTasks
	case !he.proven:
		return unprovenTasks * (1 + sc.survivors(ws))
	}
	return math.MaxInt
}

// survivors counts the own tasks that have run for the survival time.
func (sc *scheduler) survivors(ws *workerState) int {
	n := 0
	for _, tk := range ws.own {
		if sc.now().Sub(tk.reservedAt) >= survivalTime {
			n++
		}
	}
	return n
}

// noteSpeed learns from a task that took ratio times as long as its kind.
func (sc *scheduler) noteSpeed(ws *workerState, ratio float64) {
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
		if ws.health.slowness > math.Log(slowLimit) {
			slow++
		}
	}
	sc.mostAreSlow = 2*slow > len(sc.workers)
}
