package target

import (
	"math"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// seconds is an estimated duration.
type seconds float64

func (sc seconds) std() time.Duration {
	return time.Duration(float64(sc) * float64(time.Second))
}

const (
	// maxKinds bounds the memory for kinds, whose names callers choose. Further
	// kinds of a service share one estimate. It is the number of bits of a
	// kindSet.
	maxKinds = 64
	// priorWeight is the number of observations of a kind on a target at which
	// they count as much as the estimate from kind and target speed.
	priorWeight = 8
	// maxWeight bounds the weight of the observations, so that an estimate
	// follows a change of speed.
	maxWeight = 16
	// defaultCost is the assumed run time of a kind without observations.
	defaultCost seconds = 0.1
	// minObservations is the number of observations below which an estimate
	// does not refuse requests, and requests are overdue after defaultDue.
	minObservations = 8
	defaultDue      = 10 * time.Second
	// minDue is the minimum time until a request is overdue. Most tasks take
	// 50 ms to 1 s, whatever run times of their kind were observed so far; with
	// 250 ms, running requests were given up.
	minDue = time.Second
	// minDueRatio is the minimum ratio of the time until overdue to the
	// estimate. It lets a target that has become 10 times slower finish; with 4
	// its requests were given up as silent.
	minDueRatio = 12
	// estimateMaxAge is the age after which an estimate no longer refuses
	// requests: otherwise a wrong estimate could block a kind forever.
	estimateMaxAge = time.Second
	// peakDecay is the decay of kindTimes.peak per observation. A rare long run
	// extends the time until overdue for about a thousand observations.
	peakDecay = 0.998
)

// kindTimes has the run time statistics of one kind of request. The estimate for
// a target is base times the factor of the target; mean is over all targets.
type kindTimes struct {
	index int
	base  seconds
	mean  seconds
	// dev is the mean deviation and peak the decaying maximum of the ratio of
	// observed to estimated run time.
	dev, peak    float64
	n            int
	lastObserved time.Time
}

// targetTimes has the speed statistics of one target. A higher factor means a
// slower target.
type targetTimes struct {
	factor       float64
	n            int
	lastObserved time.Time
	perKind      []kindOnTarget
}

// kindOnTarget is the mean run time of one kind on one target, with its weight n.
type kindOnTarget struct {
	mean seconds
	n    float64
}

// runTimes estimates the run times of one service by kind and target.
type runTimes struct {
	kinds map[ids.RequestKind]*kindTimes
	// meanHold is the mean time for which a slot is held, over all kinds and targets.
	meanHold seconds
	// best and mean are the lowest and the mean factor of the targets.
	best, mean float64
}

func newRunTimes() runTimes {
	return runTimes{kinds: map[ids.RequestKind]*kindTimes{}, best: 1, mean: 1}
}

// kind returns the statistics of the kind. Kinds above maxKinds share one
// kindTimes.
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

// estimate returns the expected run time on the target. A target without
// observations counts as one of the fastest until its first request is in
// flight, so that it receives that request.
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
		base = defaultCost
	}
	prior := base * seconds(factor)
	if kt.index >= len(tt.perKind) {
		return prior
	}
	own := tt.perKind[kt.index]
	return (own.mean*seconds(own.n) + prior*priorWeight) / seconds(own.n+priorWeight)
}

// cost returns the expected time for which a request of the kind holds a slot.
func (kt *kindTimes) cost() seconds {
	if kt.n == 0 {
		return defaultCost
	}
	return kt.mean
}

// lowEstimate returns a low estimate of the run time on the fastest target; few
// requests of the kind are faster. It returns 0 if there are too few or no
// recent observations to refuse requests.
func (rt *runTimes) lowEstimate(kt *kindTimes, now time.Time) seconds {
	if kt.n < minObservations || now.Sub(kt.lastObserved) > estimateMaxAge {
		return 0
	}
	const minShare = 0.25
	return kt.base * seconds(rt.best*max(minShare, 1-2*kt.dev))
}

// highEstimate returns a high estimate of the run time; most requests of the
// kind are faster. A waiting request with less time to its deadline is refused:
// with lowEstimate in place of highEstimate, one in three requests accepted under
// overload missed its deadline on the target.
func (rt *runTimes) highEstimate(kt *kindTimes, now time.Time) seconds {
	if rt.lowEstimate(kt, now) == 0 {
		return 0
	}
	return kt.mean * seconds(1+2*kt.dev)
}

// due returns the time after which a request with the given estimate is
// overdue.
func (kt *kindTimes) due(est seconds) time.Duration {
	if kt.n < minObservations {
		return defaultDue
	}
	ratio := max(minDueRatio, 1+8*kt.dev, 2*kt.peak)
	return max(minDue, (est * seconds(ratio)).std())
}

// observe updates the estimates with one run. Base and factor are corrected by
// shares of the same logarithmic error: with arithmetic means of the quotients
// they drifted apart, one growing while the other shrank.
func (rt *runTimes) observe(kt *kindTimes, tt *targetTimes, took seconds, now time.Time) {
	const (
		kindGain, factorGain       = 0.05, 0.15
		devGain, holdGain, minTook = 0.02, 0.02, 1e-5
	)
	took = max(took, minTook)
	ratio := float64(took / rt.estimate(kt, tt, 1))
	if kt.n >= minObservations {
		kt.dev += devGain * (min(1, math.Abs(ratio-1)) - kt.dev)
		kt.peak = max(1, ratio, kt.peak*peakDecay)
	}
	if kt.n == 0 {
		kt.base, kt.mean = took/seconds(tt.factorOr(rt.mean)), took
	}
	kt.n++
	kt.lastObserved = now
	kt.mean += kindGain * (took - kt.mean)
	if tt.n == 0 {
		tt.factor = rt.mean
	}
	tt.n++
	tt.lastObserved = now
	err := math.Log(float64(took / (kt.base * seconds(tt.factor))))
	kt.base *= seconds(math.Exp(err * max(kindGain, 1/float64(kt.n))))
	tt.factor *= math.Exp(err * max(factorGain, 1/float64(tt.n)))
	tt.observeKind(kt.index, took)
	if rt.meanHold == 0 {
		rt.meanHold = took
	}
	rt.meanHold += holdGain * (took - rt.meanHold)
}

func (tt *targetTimes) factorOr(fallback float64) float64 {
	if tt.n == 0 {
		return fallback
	}
	return tt.factor
}

func (tt *targetTimes) observeKind(index int, took seconds) {
	for len(tt.perKind) <= index {
		tt.perKind = append(tt.perKind, kindOnTarget{})
	}
	own := &tt.perKind[index]
	own.n = min(maxWeight, own.n+1)
	own.mean += (took - own.mean) / seconds(own.n)
}

// penalize counts an error as a slow run: otherwise a target that fails
// immediately would have the lowest estimate.
func (rt *runTimes) penalize(tt *targetTimes, now time.Time) {
	const maxRatio = 100
	tt.factor = min(maxRatio*rt.mean, 2*max(tt.factorOr(rt.mean), rt.mean))
	tt.n = 2
	tt.lastObserved = now
	tt.perKind = tt.perKind[:0]
}

// summarize updates best and mean. Factors above the mean without recent
// observations decay towards the mean, so that a target that has recovered
// receives requests again.
func (rt *runTimes) summarize(targets []*targetState, now time.Time) {
	const idlePeriod, gain = 10 * time.Second, 0.03
	best, sum, n := math.Inf(1), 0.0, 0
	for _, ts := range targets {
		tt := &ts.times
		if tt.n == 0 {
			continue
		}
		if tt.factor > rt.mean && now.Sub(tt.lastObserved) > idlePeriod {
			tt.factor += gain * (rt.mean - tt.factor)
			for i := range tt.perKind {
				tt.perKind[i].n *= 1 - gain
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
