package dispatch

import (
	"math"
	"time"
)

// estimator estimates the run times of one queue from completed tasks. Declared
// estimates are off by tens of percent, and so is the mean run time of a kind of
// task. The geometric mean of the two is more accurate than either.
type estimator struct {
	count   int
	meanLog float64 // mean logarithm of the run time in milliseconds
	biasLog float64 // mean logarithm of the ratio of run time to declared estimate
}

// The weights of the estimator.
const (
	// maxSampleCount keeps the weight of a new sample at 1/maxSampleCount or more,
	// so that the estimate adapts to a change in the work within some hundred
	// tasks.
	maxSampleCount = 200
	// declaredWeight is the weight of the declared estimate; the mean of the queue
	// has the rest. They are equal because both have a spread of about 40%.
	declaredWeight = 0.5
	// minSamples is the number of completed tasks from which on the mean of the
	// queue is used.
	minSamples = 10
	// defaultEstimate is used if the caller has declared no estimate and there are
	// not enough samples.
	defaultEstimate = 200 * time.Millisecond
)

func (es *estimator) learn(declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	es.count = min(es.count+1, maxSampleCount)
	weight := 1 / float64(es.count)
	al := math.Log(max(millis(actual), 1))
	es.meanLog += weight * (al - es.meanLog)
	if declared > 0 {
		es.biasLog += weight * (al - math.Log(max(millis(declared), 1)) - es.biasLog)
	}
}

// estimate returns the expected run time of a task on a worker of speed 1.
func (es *estimator) estimate(declared time.Duration) time.Duration {
	if es == nil || es.count < minSamples {
		if declared <= 0 {
			return defaultEstimate
		}
		return declared
	}
	if declared <= 0 {
		return fromLog(es.meanLog)
	}
	corrected := math.Log(max(millis(declared), 1)) + es.biasLog
	return fromLog(declaredWeight*corrected + (1-declaredWeight)*es.meanLog)
}

func millis(du time.Duration) float64 {
	return float64(du) / float64(time.Millisecond)
}

func fromLog(lg float64) time.Duration {
	return time.Duration(math.Exp(lg) * float64(time.Millisecond))
}

// speed is the estimated speed of a worker, relative to the mean of the service.
type speed struct {
	class   *classSpeed // of workers with the same labels, nil if there is none
	meanLog float64     // mean logarithm, valid if there are samples
	samples int
}

// classSpeed is the mean speed of the workers of a service that have the same
// labels. It is the estimate for a worker that has not run a task for this entry
// yet: after a restart or a hand-over, or of a new worker.
type classSpeed struct {
	meanLog float64
	samples int
	cold    coldSpeed
}

func (cs *classSpeed) learn(ratioLog float64) {
	cs.samples = min(cs.samples+1, classWindow)
	cs.meanLog += (ratioLog - cs.meanLog) / float64(cs.samples+1)
}

// The weights for the speed of a worker.
const (
	// speedWindow is the number of tasks over which the speed is averaged.
	// With task estimates off by 40% it leaves an error of about 10%.
	speedWindow = 12
	// classWindow is the number of tasks over which the speed of a class is
	// averaged.
	classWindow = 100
	// priorSamples is the largest number of tasks that the speed of the class counts
	// as for a worker's own.
	priorSamples = 3
	// maxSpeedFactor limits the factor by which one task can deviate from the
	// expected time.
	maxSpeedFactor = 10.0
	// outlierLog is the largest deviation of the logarithm towards a slower worker
	// with which one task counts. It is 2.5 times the spread of estimates.
	outlierLog = 0.9
)

// typical returns the logarithm of the speed.
func (sp *speed) typical() float64 {
	if sp.samples == 0 && sp.class != nil {
		return sp.class.meanLog
	}
	return sp.meanLog
}

// learn updates the speed from a completed task: its expected run time at speed
// 1 and its measured run time. Runs that took far longer than expected count
// as outlierLog: a passing slowness, during which the worker gets no new tasks
// (see anyOverdue), changes the speed little, and a lasting one is learned.
func (sp *speed) learn(expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := max(1/maxSpeedFactor, min(maxSpeedFactor, float64(expected)/float64(took)))
	if sp.samples == 0 && sp.class != nil {
		sp.meanLog, sp.samples = sp.class.meanLog, min(sp.class.samples, priorSamples)
	}
	off := math.Log(ratio) - sp.meanLog
	if sp.samples >= priorSamples && off < -outlierLog {
		off = -outlierLog
	}
	if sp.class != nil {
		sp.class.learn(sp.meanLog + off)
	}
	sp.samples = min(sp.samples+1, speedWindow)
	// The prior, speed 1, counts as one sample, so the first task of a class without
	// run times has a weight of one half.
	sp.meanLog += off / float64(sp.samples+1)
}

func (sp *speed) factor() float64 { return math.Exp(sp.typical()) }
