package dispatch

import (
	"math"
	"time"
)

// estimator learns the run times of one queue from finished tasks. Declared
// estimates are off by tens of percent, and so is the mean of a kind of task;
// their geometric mean is nearer to the truth than either.
type estimator struct {
	count   int
	meanLog float64 // mean of the logarithm of the run time in milliseconds
	biasLog float64 // mean of the logarithm of run time over declared estimate
}

// The weights of the estimator.
const (
	// learningFloor keeps the weight of a new sample at 1/learningFloor or more,
	// so that a change of the work is followed within some hundred tasks.
	learningFloor = 200
	// declaredShare is the weight of the declared estimate against the mean of
	// the queue: both have a spread of about 40%.
	declaredShare = 0.5
	// enoughSamples is the number of tasks before the queue's mean counts.
	enoughSamples = 10
	// defaultEstimate stands in for an estimate that is missing.
	defaultEstimate = 200 * time.Millisecond
)

func (es *estimator) learn(declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	es.count = min(es.count+1, learningFloor)
	weight := 1 / float64(es.count)
	al := math.Log(max(millis(actual), 1))
	es.meanLog += weight * (al - es.meanLog)
	if declared > 0 {
		es.biasLog += weight * (al - math.Log(max(millis(declared), 1)) - es.biasLog)
	}
}

// estimate returns the expected run time of a task on a worker of speed 1.
func (es *estimator) estimate(declared time.Duration) time.Duration {
	if es == nil || es.count < enoughSamples {
		if declared <= 0 {
			return defaultEstimate
		}
		return declared
	}
	if declared <= 0 {
		return fromLog(es.meanLog)
	}
	corrected := math.Log(max(millis(declared), 1)) + es.biasLog
	return fromLog(declaredShare*corrected + (1-declaredShare)*es.meanLog)
}

func millis(du time.Duration) float64 {
	return float64(du) / float64(time.Millisecond)
}

func fromLog(lg float64) time.Duration {
	return time.Duration(math.Exp(lg) * float64(time.Millisecond))
}

// speed is the learned speed of a worker: 1 is the mean of the service. It adds
// a lasting part, learned slowly, and a recent deviation, which follows a worker
// that turns slow within a few tasks and fades so that the worker is tried again.
type speed struct {
	lasting float64 // logarithm
	samples int
	recent  float64 // logarithm, at recentAt
	at      time.Time
}

// The weights of the speed of a worker.
const (
	// speedWindow is the number of tasks after which older ones fade. With task
	// estimates off by 40% it leaves an error of about 10%.
	speedWindow = 12
	// speedBound bounds what one task can say, as a factor.
	speedBound = 10.0
	// outlier is the deviation of the logarithm above which a task says that the
	// worker has changed: 2.5 times the spread of estimates.
	outlier = 0.9
	// recentFade is the time in which a recent deviation falls to a third.
	recentFade = 2 * time.Second
)

// deviation returns the recent deviation at a time.
func (sp *speed) deviation(now time.Time) float64 {
	if sp.recent == 0 {
		return 0
	}
	return sp.recent * math.Exp(-float64(now.Sub(sp.at))/float64(recentFade))
}

// learn takes the expected time at speed 1 and the time that it took.
func (sp *speed) learn(expected, took time.Duration, now time.Time) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := max(1/speedBound, min(speedBound, float64(expected)/float64(took)))
	off := math.Log(ratio) - sp.lasting
	dev := sp.deviation(now)
	if off < -outlier || dev < -outlier {
		// Half of the new evidence counts at once; the lasting part stays as it is.
		sp.recent, sp.at = dev+(min(off, 0)-dev)/2, now
		return
	}
	sp.samples = min(sp.samples+1, speedWindow)
	// One sample counts half against the prior that the worker is like others.
	sp.lasting += off / float64(sp.samples+1)
	sp.recent, sp.at = dev, now
}

// atMost takes the evidence of a task that has already run for longer than
// expected and has not ended.
func (sp *speed) atMost(expected, ran time.Duration, now time.Time) {
	if expected <= 0 || ran <= expected {
		return
	}
	off := math.Log(max(1/speedBound, float64(expected)/float64(ran))) - sp.lasting
	if off < min(-outlier, sp.deviation(now)) {
		sp.recent, sp.at = off, now
	}
}

func (sp *speed) factor(now time.Time) float64 {
	return math.Exp(sp.lasting + sp.deviation(now))
}
