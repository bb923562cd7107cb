package target

import (
	"math"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// seconds is a learned duration.
type seconds float64

func (sc seconds) std() time.Duration {
	return time.Duration(float64(sc) * float64(time.Second))
}

const (
	// maxKinds bounds the memory for kinds, which callers name freely. Further
	// kinds of a service share one estimate. A kindSet holds that many.
	maxKinds = 64
	// priorWeight is how many observations of its own a target needs before
	// they count as much as the estimate from kind and speed.
	priorWeight = 8
	// maxWeight bounds the observations that count, so that an estimate
	// follows a change of speed.
	maxWeight = 16
	// unlearnedCost stands for the run time of a kind without observations.
	unlearnedCost seconds = 0.1
	// fewObservations is the number of observations below which an estimate
	// refuses nothing and the time for unlearned kinds decides what is overdue.
	fewObservations = 8
	unlearnedDue    = 10 * time.Second
	// minDue is the upper end of ordinary run times: most tasks take 50 ms to
	// 1 s whatever their kind has shown so far. 250 ms condemned live requests.
	minDue = time.Second
	// minDueRatio lets a target that has become 10 times slower finish: it is
	// slow, not silent. With 4 its requests were condemned.
	minDueRatio = 12
	// estimateMaxAge is the age after which an estimate refuses nothing, so
	// that a wrong one cannot keep a kind from ever running again.
	estimateMaxAge = time.Second
	// peakDecay lets a rare long run widen the time until overdue for about a
	// thousand observations.
	peakDecay = 0.998
)

// kindTimes is what is known about the run times of one kind of request. An
// estimate is base times the factor of the target; mean is over all targets.
type kindTimes struct {
	index int
	base  seconds
	mean  seconds
	// dev is the mean deviation and peak the decaying maximum of the ratio of
	// observed to estimated run time.
	dev, peak float64
	n         int
	seen      time.Time
}

// targetTimes is what is known about the speed of one target.
type targetTimes struct {
	factor float64
	n      int
	seen   time.Time
	own    []ownTime
}

// ownTime is the run time of one kind on one target.
type ownTime struct {
	mean seconds
	n    float64
}

// runTimes learns the run times of one service by kind and target.
type runTimes struct {
	kinds map[ids.RequestKind]*kindTimes
	// hold is the mean time that a slot is held, over all kinds and targets.
	hold seconds
	// best and mean are the lowest and the mean factor of the targets.
	best, mean float64
}

func newRunTimes() runTimes {
	return runTimes{kinds: map[ids.RequestKind]*kindTimes{}, best: 1, mean: 1}
}

// kind returns the entry of the kind. Kinds above maxKinds share one entry.
func (rt *runTimes) kind(name ids.RequestKind) *kindTimes {
	if kt, ok := rt.kinds[name]; ok {
		return kt
	}
	if len(rt.kinds) >= maxKinds-1 {
		name = ""
		if kt, ok := rt.kinds[name]; ok {
			return kt
		}
	}
	kt := &kindTimes{index: len(rt.kinds), peak: 1}
	rt.kinds[name] = kt
	return kt
}

// estimate returns the expected run time. A target without observations counts
// as one of the fastest until its first request is under way, so that it gets
// that request.
func (rt *runTimes) estimate(kt *kindTimes, tt *targetTimes, used int) seconds {
	factor := tt.factor
	if tt.n == 0 {
		factor = rt.best
		if used > 0 {
			factor = rt.mean
		}
	}
	base := kt.base
	if kt.n == 0 {
		base = unlearnedCost
	}
	prior := base * seconds(factor)
	if kt.index >= len(tt.own) {
		return prior
	}
	own := tt.own[kt.index]
	return (own.mean*seconds(own.n) + prior*priorWeight) / seconds(own.n+priorWeight)
}

// cost returns the mean time for which a request of the kind holds a slot.
func (kt *kindTimes) cost() seconds {
	if kt.n == 0 {
		return unlearnedCost
	}
	return kt.mean
}

// quickest returns a run time that few requests of the kind undercut on the
// fastest target; 0 when too little is known to refuse anything.
func (rt *runTimes) quickest(kt *kindTimes, now time.Time) seconds {
	if kt.n < fewObservations || now.Sub(kt.seen) > estimateMaxAge {
		return 0
	}
	const least = 0.25
	return kt.base * seconds(rt.best*max(least, 1-2*kt.dev))
}

// usual returns a run time that most requests of the kind stay under. A
// request that waits is refused when it has less left: with the quickest run
// time here, one in three requests accepted under overload missed its deadline
// on the target.
func (rt *runTimes) usual(kt *kindTimes, now time.Time) seconds {
	if rt.quickest(kt, now) == 0 {
		return 0
	}
	return kt.mean * seconds(1+2*kt.dev)
}

// due returns the time after which a request with the estimate is overdue.
func (kt *kindTimes) due(est seconds) time.Duration {
	if kt.n < fewObservations {
		return unlearnedDue
	}
	ratio := max(minDueRatio, 1+8*kt.dev, 2*kt.peak)
	return max(minDue, (est * seconds(ratio)).std())
}

// observe learns from one run. Base and factor move by shares of the same
// logarithmic error: with arithmetic means of the quotients the two drifted
// apart, one growing while the other shrank.
func (rt *runTimes) observe(kt *kindTimes, tt *targetTimes, took seconds, now time.Time) {
	const (
		kindGain, factorGain    = 0.05, 0.15
		devGain, holdGain, tiny = 0.02, 0.02, 1e-5
	)
	took = max(took, tiny)
	ratio := float64(took / rt.estimate(kt, tt, 1))
	if kt.n >= fewObservations {
		kt.dev += devGain * (min(1, math.Abs(ratio-1)) - kt.dev)
		kt.peak = max(1, ratio, kt.peak*peakDecay)
	}
	if kt.n == 0 {
		kt.base, kt.mean = took/seconds(tt.factorOr(rt.mean)), took
	}
	kt.n++
	kt.seen = now
	kt.mean += kindGain * (took - kt.mean)
	if tt.n == 0 {
		tt.factor = rt.mean
	}
	tt.n++
	tt.seen = now
	err := math.Log(float64(took / (kt.base * seconds(tt.factor))))
	kt.base *= seconds(math.Exp(err * max(kindGain, 1/float64(kt.n))))
	tt.factor *= math.Exp(err * max(factorGain, 1/float64(tt.n)))
	tt.observeOwn(kt.index, took)
	if rt.hold == 0 {
		rt.hold = took
	}
	rt.hold += holdGain * (took - rt.hold)
}

func (tt *targetTimes) factorOr(fallback float64) float64 {
	if tt.n == 0 {
		return fallback
	}
	return tt.factor
}

func (tt *targetTimes) observeOwn(index int, took seconds) {
	for len(tt.own) <= index {
		tt.own = append(tt.own, ownTime{})
	}
	own := &tt.own[index]
	own.n = min(maxWeight, own.n+1)
	own.mean += (took - own.mean) / seconds(own.n)
}

// penalize counts an error as a slow run: a target that fails at once would
// otherwise look like the fastest one.
func (rt *runTimes) penalize(tt *targetTimes, now time.Time) {
	const most = 100
	tt.factor = min(most*rt.mean, 2*max(tt.factorOr(rt.mean), rt.mean))
	tt.n = 2
	tt.seen = now
	tt.own = tt.own[:0]
}

// summarize refreshes best and mean, and lets slow estimates without recent
// observations decay to the mean, so that a target that has recovered gets
// requests again.
func (rt *runTimes) summarize(targets []*targetState, now time.Time) {
	const quiet, gain = 10 * time.Second, 0.03
	best, sum, n := math.Inf(1), 0.0, 0
	for _, ts := range targets {
		tt := &ts.times
		if tt.n == 0 {
			continue
		}
		if tt.factor > rt.mean && now.Sub(tt.seen) > quiet {
			tt.factor += gain * (rt.mean - tt.factor)
			for i := range tt.own {
				tt.own[i].n *= 1 - gain
			}
		}
		best = min(best, tt.factor)
		sum += tt.factor
		n++
	}
	if n > 0 {
		rt.best, rt.mean = best, sum/float64(n)
	}
}
