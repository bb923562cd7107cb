package dispatch

import (
	"math"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A worker is cold for some time after its start: the same task takes longer there.
// Its reports say for how long. A cold worker gets tasks that are in time there, one
// at a time until one has ended done, and no more starts per second than the
// configuration allows.

// ServiceLimits are the properties of the workers of a service, from the desired
// state.
type ServiceLimits struct {
	Name ids.ServiceName
	// ColdPerSecond is how many starts per second a cold worker can sustain, 0 for no
	// limit.
	ColdPerSecond float64
}

// coldLimits limits the starts on cold workers.
type coldLimits struct {
	perSecond map[ids.ServiceName]float64 // services without an entry have no limit
	overshoot float64
	burst     float64
	// warm holds whether services had workers that are not cold at warmAt.
	warm   map[ids.ServiceName]bool
	warmAt time.Time
}

// coldPhase is the state of a worker that is cold.
type coldPhase struct {
	until  time.Time // zero if the worker is not cold
	proven bool      // a task has ended done since the worker is cold
	// tokens is the number of starts that were possible at tokensAt.
	tokens   float64
	tokensAt time.Time
}

// The weights for the speed of cold workers.
const (
	// initialColdFactor is the ratio of cold to warm speed before any run on a cold
	// worker of the class has ended.
	initialColdFactor = 0.5
	// coldPrior is the number of tasks that this initial value counts as, and
	// coldWindow the number of tasks over which the ratio is averaged.
	coldPrior  = 2
	coldWindow = 30
)

// coldSpeed is the learned ratio of cold to warm speed of a class of workers.
type coldSpeed struct {
	offLog  float64 // mean logarithm of the ratio, less that of initialColdFactor
	samples int
}

func (cs *classSpeed) coldFactor() float64 {
	if cs == nil {
		return initialColdFactor
	}
	return math.Min(1, initialColdFactor*math.Exp(cs.cold.offLog))
}

// learn updates the ratio from a run on a cold worker: its expected run time on the
// worker when it is warm, and the measured one.
func (co *coldSpeed) learn(warm, took time.Duration) {
	if warm <= 0 || took <= 0 {
		return
	}
	ratio := max(1/maxSpeedFactor, min(maxSpeedFactor, float64(warm)/float64(took)))
	co.samples = min(co.samples+1, coldWindow)
	co.offLog += (math.Log(ratio/initialColdFactor) - co.offLog) / float64(co.samples+coldPrior)
}

// isCold reports whether the worker is cold.
func (wk *worker) isCold(now time.Time) bool { return now.Before(wk.cold.until) }

// factor returns the present speed of the worker.
func (wk *worker) factor(now time.Time) float64 {
	if wk.isCold(now) {
		return wk.speed.factor() * wk.speed.class.coldFactor()
	}
	return wk.speed.factor()
}

// runFactor returns the speed of the worker for a run.
func (wk *worker) runFactor(sl *slot) float64 {
	if sl.cold {
		return wk.speed.factor() * wk.speed.class.coldFactor()
	}
	return wk.speed.factor()
}

// learnCold learns from a run on a cold worker that has ended done. It changes only the
// ratio of cold to warm speed. A run during which the worker became warm tells nothing.
func (wk *worker) learnCold(sl *slot, took time.Duration, now time.Time) {
	if wk.isCold(now) && wk.speed.class != nil {
		wk.speed.class.cold.learn(time.Duration(float64(sl.shape.Estimate)/wk.speed.factor()), took)
	}
}

// coldEnd returns the time until which a worker is cold according to a report that is
// read now. A report that was read before tells nothing new.
func (kw *knownWorker) coldEnd(info WorkerInfo, now time.Time) time.Time {
	switch {
	case kw.info.Version == info.Version && kw.info.ID != "":
		return kw.coldUntil
	case info.ColdRemaining <= 0:
		return time.Time{}
	}
	return now.Add(info.ColdRemaining)
}

// setCold sets until when a worker is cold, zero if it is not. restarted is set for a
// new lifetime.
func (wk *worker) setCold(until, now time.Time, restarted bool) {
	if wk.cold.until.IsZero() || restarted {
		wk.cold = coldPhase{tokens: wk.coldLimits.burst, tokensAt: now}
	}
	wk.cold.until = until
}

// takeCold sets until when a worker that has been taken is cold. Its previous holder
// may have used up the burst.
func (wk *worker) takeCold(until, now time.Time) {
	wk.cold = coldPhase{until: until, tokens: min(1, wk.coldLimits.burst), tokensAt: now}
}

func newColdLimits(lim Limits) *coldLimits {
	return &coldLimits{perSecond: map[ids.ServiceName]float64{}, warm: map[ids.ServiceName]bool{}, overshoot: lim.ColdOvershoot, burst: max(1, lim.ColdSlack)}
}

// apply sets the limits of a desired state.
func (cl *coldLimits) apply(des Desired) {
	clear(cl.perSecond)
	for _, sv := range des.Services {
		if limit := sv.ColdPerSecond * cl.overshoot; limit > 0 {
			cl.perSecond[sv.Name] = limit
		}
	}
}

// coldTokens returns how many tasks may start on the worker now, apart from those for
// which room is reserved.
func (wk *worker) coldTokens(now time.Time) float64 {
	if !wk.isCold(now) || wk.coldLimits == nil {
		return math.Inf(1)
	}
	limit, ok := wk.coldLimits.perSecond[wk.info.Service]
	if !ok {
		return math.Inf(1)
	}
	tokens := min(wk.coldLimits.burst, wk.cold.tokens+limit*now.Sub(wk.cold.tokensAt).Seconds())
	for _, sl := range wk.slots {
		if sl.state == slotGranted {
			tokens--
		}
	}
	return tokens
}

// useColdToken records that a task is started on a worker.
func (wk *worker) useColdToken(now time.Time) {
	if !wk.isCold(now) {
		return
	}
	limit := wk.coldLimits.perSecond[wk.info.Service]
	wk.cold.tokens = min(wk.coldLimits.burst, wk.cold.tokens+limit*now.Sub(wk.cold.tokensAt).Seconds()) - 1
	wk.cold.tokensAt = now
}

// held reports whether a cold worker should get no further task while warm workers
// have room: it has one and has not completed any since it is cold.
func (wk *worker) held(now time.Time) bool {
	return wk.isCold(now) && !wk.cold.proven && wk.hasEndingTask()
}

// reportsRoom reports whether the free room of a worker is reported to owners.
func (en *Entry) reportsRoom(wk *worker, now time.Time) bool {
	if wk.coldTokens(now) < 1 {
		return false
	}
	return !wk.held(now) || !en.hasWarmWorker(wk.info.Service, now)
}

// hasWarmWorker reports whether a service has ready workers that are not cold, outside
// evacuated zones.
func (en *Entry) hasWarmWorker(svc ids.ServiceName, now time.Time) bool {
	cl := en.coldLimits
	if now.Sub(cl.warmAt) >= TickInterval {
		clear(cl.warm)
		cl.warmAt = now
	}
	warm, ok := cl.warm[svc]
	if ok {
		return warm
	}
	for _, kw := range en.known {
		if kw.info.Service == svc && kw.info.State == WorkerReady && kw.removedAt.IsZero() && !now.Before(kw.coldUntil) && !en.evac.evacuated(kw.info.Zone) {
			warm = true
			break
		}
	}
	cl.warm[svc] = warm
	return warm
}

// warmRoomElsewhere reports whether another entry has reported room for a task on a
// fast worker.
func (en *Entry) warmRoomElsewhere(sh Shape) bool {
	for _, free := range en.reportedFree() {
		if count, best := countFree(free, sh); count > 0 && best >= fastSpeed {
			return true
		}
	}
	return false
}
