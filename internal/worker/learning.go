package worker

import (
	"math"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// size is a resource vector: cores, megabytes and accelerators.
type size struct {
	cores, memory, accelerators float64
}

func sizeOf(cores ids.Cores, memory ids.Megabytes, accelerators int) size {
	return size{float64(cores), float64(memory), float64(accelerators)}
}

func (sz size) plus(other size) size {
	return size{sz.cores + other.cores, sz.memory + other.memory, sz.accelerators + other.accelerators}
}

func (sz size) minus(other size) size {
	return size{sz.cores - other.cores, sz.memory - other.memory, sz.accelerators - other.accelerators}
}

func (sz size) times(factor float64) size {
	return size{sz.cores * factor, sz.memory * factor, sz.accelerators * factor}
}

func (sz size) maxWith(other size) size {
	return size{max(sz.cores, other.cores), max(sz.memory, other.memory), max(sz.accelerators, other.accelerators)}
}

func (sz size) minWith(other size) size {
	return size{min(sz.cores, other.cores), min(sz.memory, other.memory), min(sz.accelerators, other.accelerators)}
}

// fits reports whether sz fits into room. The tolerance absorbs rounding in sums
// of many sizes.
func (sz size) fits(room size) bool {
	const tolerance = 1e-6
	return sz.cores <= room.cores+tolerance && sz.memory <= room.memory+tolerance &&
		sz.accelerators <= room.accelerators+tolerance
}

const (
	// minSamples is the number of samples of a kind that replace its
	// declared sizes. With fewer, a single outlier would decide.
	minSamples = 8
	// maxAverageSamples bounds the weight of old samples: after this many further
	// samples an old one counts less than 1/e.
	maxAverageSamples = 64
	// maxKinds bounds the number of kinds with statistics, because callers
	// choose the names of kinds.
	maxKinds = 4096
)

// The sizes and run time of a task that declares none and whose kind is
// unknown.
const (
	defaultCores     = 1
	defaultMemory    = 256
	defaultRunMillis = 500
)

// average is a running mean and mean absolute deviation. Old samples lose
// weight exponentially.
type average struct {
	samples   int
	mean, dev float64
}

func (av *average) add(val float64) {
	av.samples = min(av.samples+1, maxAverageSamples)
	if av.samples == 1 {
		av.mean = val
		return
	}
	alpha := 1 / float64(av.samples)
	av.dev += alpha * (math.Abs(val-av.mean) - av.dev)
	av.mean += alpha * (val - av.mean)
}

// kindStats holds the statistics of the tasks of one kind.
type kindStats struct {
	cores, memory, accelerators average
	// runMillis is the run time in milliseconds on a worker of average speed.
	runMillis average
	// failureRate is the fraction of tasks that fail. A failure on a worker that
	// already has evidence against it is not added, so that one faulty worker
	// does not raise the failure rate of a kind.
	failureRate average
	lastUsed    time.Time
}

// learner holds the statistics of all kinds.
type learner struct {
	kinds map[ids.RequestKind]*kindStats
}

func newLearner() *learner {
	return &learner{kinds: map[ids.RequestKind]*kindStats{}}
}

func (le *learner) kind(name ids.RequestKind, now time.Time) *kindStats {
	ks := le.kinds[name]
	if ks == nil {
		if len(le.kinds) >= maxKinds {
			le.evictOldest()
		}
		ks = &kindStats{}
		le.kinds[name] = ks
	}
	ks.lastUsed = now
	return ks
}

func (le *learner) evictOldest() {
	var oldest ids.RequestKind
	var at time.Time
	for name, ks := range le.kinds {
		if at.IsZero() || ks.lastUsed.Before(at) {
			oldest, at = name, ks.lastUsed
		}
	}
	delete(le.kinds, oldest)
}

// observeSize records the size of one running task.
func (le *learner) observeSize(name ids.RequestKind, sz size, now time.Time) {
	ks := le.kind(name, now)
	ks.cores.add(sz.cores)
	ks.memory.add(sz.memory)
	ks.accelerators.add(sz.accelerators)
}

// need returns the room to reserve for a task: the mean plus the deviation of
// its kind once there are enough samples. Until then it is the larger of that
// and the declared size. A learned size is capped at the largest worker.
func (le *learner) need(dm *Demand, largest size) size {
	declared := declaredSize(dm)
	ks := le.kinds[dm.Kind]
	if ks == nil || ks.cores.samples == 0 {
		return declared
	}
	learned := size{
		cores:        ks.cores.mean + ks.cores.dev,
		memory:       ks.memory.mean + ks.memory.dev,
		accelerators: math.Ceil(ks.accelerators.mean + ks.accelerators.dev - 0.1),
	}.minWith(largest)
	if ks.cores.samples < minSamples {
		return learned.maxWith(declared)
	}
	return learned
}

func declaredSize(dm *Demand) size {
	sz := sizeOf(dm.Processors, dm.Memory, dm.Accelerators)
	if sz.cores == 0 {
		sz.cores = defaultCores
	}
	if sz.memory == 0 {
		sz.memory = defaultMemory
	}
	return sz
}

// runTime returns the expected run time of a task on a worker of average speed,
// and a time that few tasks of its kind exceed.
func (le *learner) runTime(dm *Demand) (expected, late time.Duration) {
	ks := le.kinds[dm.Kind]
	if ks == nil || ks.runMillis.samples < minSamples {
		millis := dm.RunMillis
		if millis == 0 {
			millis = defaultRunMillis
		}
		expected = time.Duration(millis) * time.Millisecond
		return expected, 3 * expected
	}
	expected = time.Duration(ks.runMillis.mean * float64(time.Millisecond))
	return expected, expected + time.Duration(3*ks.runMillis.dev*float64(time.Millisecond))
}

// finished records the run time of a finished task. It returns the ratio of the
// run time to the mean of its kind, 0 while the kind has too few samples.
func (le *learner) finished(name ids.RequestKind, ranMillis, slowness float64, now time.Time) float64 {
	ks := le.kind(name, now)
	ratio := 0.0
	if ks.runMillis.samples >= minSamples && ks.runMillis.mean > 0 {
		ratio = ranMillis / ks.runMillis.mean
	}
	ks.runMillis.add(ranMillis / slowness)
	return ratio
}
