package dispatch

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Level is an amount on a logarithmic scale, see levelOf. Reports carry amounts in
// this form, so that small changes cause no new report.
type Level uint8

// levelSteps is the number of levels for a factor of e.
const levelSteps = 12

// levelOf rounds an amount to its level, with an error of 4%.
func levelOf(amount float64) Level {
	return Level(min(math.Round(levelSteps*math.Log1p(max(amount, 0))), math.MaxUint8))
}

func (le Level) amount() float64 { return math.Expm1(float64(le) / levelSteps) }

// QueueDemand reports the load of the callers of one queue at an owner. Amounts
// are in core-seconds of estimated work, rates in core-seconds per second.
type QueueDemand struct {
	Queue   uint32 // see nameHash
	Backlog Level  // tasks that have not been started
	Recent  Level  // arrival rate over recentTime
	Usual   Level  // arrival rate over usualTime
}

// ServiceCapacity reports the capacity of the workers of one service at a holder.
type ServiceCapacity struct {
	Service uint32 // see nameHash
	// Rate is how much work the workers complete per second when work waits, in
	// core-seconds per second.
	Rate Level
	// Wanted is the work that may run anywhere and that owners have asked this holder
	// to take, in core-seconds. Owners ask several holders for the same work.
	Wanted Level
}

// nameHash identifies a queue or service in reports. Names would make them several
// times as large.
func nameHash(name string) uint32 {
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(name))
	return ha.Sum32()
}

// The times over which demand and capacity are measured.
const (
	// recentTime is the time over which the recent arrival rate is measured.
	recentTime = 400 * time.Millisecond
	// usualTime is the time over which the usual arrival rate is measured. While
	// capacity is short the usual rate follows at shortUsualTime, so that a burst
	// does not become usual.
	usualTime      = 20 * time.Second
	shortUsualTime = 5 * time.Minute
	// capacityInterval is the interval between two measurements of the capacity.
	capacityInterval = 100 * time.Millisecond
	// figuresInterval is the interval at which the reported figures are updated.
	figuresInterval = 60 * time.Millisecond
	// gaugeInterval is the interval at which the gauges are set.
	gaugeInterval = time.Second
	// fillTime is the time over which the used share of the workers is measured.
	fillTime = 2 * time.Second
)

// The shares of the capacity of workers that tasks can use.
const (
	// usualFill is the used share of the workers that is assumed until it was
	// measured while work waited, and leastFill the least one.
	usualFill = 0.9
	leastFill = 0.6
)

// queueDemand is what an owner measures of one queue.
type queueDemand struct {
	name     string
	hash     uint32
	service  uint32
	priority int
	backlog  float64 // of tasks that are queued or wait for earlier steps, at the last tick
	arrived  float64 // since the last tick
	recent   float64 // arrival rate over recentTime
	usual    float64 // arrival rate over usualTime
	age      time.Duration
	plan     queuePlan
	// credit decides which of the jobs are admitted: each job adds the admitted
	// share, and a job is admitted when the sum reaches 1.
	credit float64
}

// demand is what an entry measures as owner and as holder.
type demand struct {
	queues     map[uint32]*queueDemand // by nameHash
	tickedAt   time.Time
	short      bool      // capacity is short
	shortFrom  time.Time // since when it is
	shortAt    time.Time // when it last was
	refused    int64     // jobs refused since shortFrom
	capacities map[uint32]*capacity
	measuredAt time.Time
	// reported figures
	queueReport    []QueueDemand
	capacityReport []ServiceCapacity
	reportedAt     time.Time
	gaugedAt       time.Time
}

// capacity is what a holder measures of the workers of one service.
type capacity struct {
	occupied float64 // used share of it
	total    float64 // cores times speed of the usable workers
	fill     float64 // used share of it while work waited
	wanted   float64
}

func (ca *capacity) rate() float64 { return ca.total * ca.fill }

// queueDemand returns what is measured of a queue.
func (en *Entry) queueDemand(qu Queue) *queueDemand {
	hash := nameHash(qu.Name)
	qd := en.demand.queues[hash]
	if qd == nil {
		qd = &queueDemand{name: qu.Name, hash: hash, plan: queuePlan{share: 1}}
		en.demand.queues[hash] = qd
	}
	qd.service, qd.priority = nameHash(string(qu.Service)), qu.Priority
	return qd
}

// work returns the estimated work of tasks of a shape, in core-seconds. It is a
// multiple of a power of 2, so that sums do not depend on the order.
func (sh Shape) work(count int) float64 {
	if sh.Lasting {
		return 0
	}
	const unit = 1.0 / 1024
	return float64(count) * math.Round(float64(sh.Need.CPU)/1000*sh.Estimate.Seconds()/unit) * unit
}

// work returns the estimated work of a job, in core-seconds.
func (jb *job) work() float64 {
	sum := 0.0
	for _, gr := range jb.groups {
		sum += gr.shape.work(len(gr.tasks))
	}
	return sum
}

// waitingTasks counts the tasks that have not been sent to a worker.
func (gr *group) waitingTasks() int {
	count := 0
	for _, ta := range gr.tasks {
		if ta.state == taskQueued || ta.state == taskBlocked {
			count++
		}
	}
	return count
}

// tickDemand measures demand and capacity and plans the admission of jobs until
// the next tick.
func (en *Entry) tickDemand(now time.Time) {
	de := &en.demand
	took := now.Sub(de.tickedAt)
	if de.tickedAt.IsZero() {
		took = TickInterval
	}
	de.tickedAt = now
	for _, qd := range de.queues {
		qd.backlog = 0
		qd.fold(took, de.short)
	}
	for _, gr := range en.groups {
		if qd := gr.job.demand; qd != nil {
			qd.backlog += gr.shape.work(gr.waitingTasks())
		}
	}
	if now.Sub(de.measuredAt) >= capacityInterval {
		en.measureCapacity(now.Sub(de.measuredAt), now)
		de.measuredAt = now
	}
	if now.Sub(de.reportedAt) >= figuresInterval {
		de.reportedAt = now
		en.updateReport()
	}
	if now.Sub(de.gaugedAt) >= gaugeInterval {
		de.gaugedAt = now
		en.updateGauges()
	}
	en.planAdmission(now)
}

// fold adds the arrivals since the last tick to the rates.
func (qd *queueDemand) fold(took time.Duration, short bool) {
	rate := qd.arrived / max(took.Seconds(), time.Millisecond.Seconds())
	qd.arrived = 0
	qd.age += took
	slow := usualTime
	if short {
		slow = shortUsualTime
	}
	qd.recent += (rate - qd.recent) * min(1, float64(took)/float64(recentTime))
	// At first the usual rate is the mean of all arrivals so far.
	share := float64(took) / float64(slow)
	if !short {
		share = max(share, float64(took)/float64(qd.age))
	}
	qd.usual += (rate - qd.usual) * min(1, share)
}

// measureCapacity measures the workers that this entry holds.
func (en *Entry) measureCapacity(took time.Duration, now time.Time) {
	de := &en.demand
	used, occupied := map[uint32]float64{}, map[uint32]float64{}
	for _, ca := range de.capacities {
		ca.total, ca.wanted = 0, 0
	}
	for _, id := range sortedKeys(en.workers) {
		wk := en.workers[id]
		if !wk.usable(now) {
			continue
		}
		hash := nameHash(string(wk.info.Service))
		ca := de.capacities[hash]
		if ca == nil {
			ca = &capacity{fill: usualFill}
			de.capacities[hash] = ca
		}
		factor := wk.speed.factor() / 1000
		near, remote, lasting := wk.usedByKind()
		ca.total += float64(wk.info.Room.CPU-lasting) * factor
		used[hash] += (float64(near) + float64(remote)/en.remotePenalty) * factor
		occupied[hash] += float64(near+remote) * factor
	}
	for _, wa := range en.wants {
		if ca := de.capacities[nameHash(string(wa.shape.Service))]; ca != nil && wa.tier(now) != tierExpired && wa.shape.runsAnywhere() {
			ca.wanted += wa.shape.work(wa.count - wa.granted)
		}
	}
	for hash, ca := range de.capacities {
		ca.occupied = occupied[hash] / max(ca.total, tinyWork)
		if ca.occupied >= fullShare && ca.wanted > ca.total*fullWait.Seconds() {
			ca.fill = max(leastFill, ca.fill+(min(used[hash]/ca.total, 1)-ca.fill)*min(1, float64(took)/float64(fillTime)))
		}
	}
}

// usedByKind returns the CPU in use for tasks near their data, for tasks away from
// it, and for long-running tasks, whose room is not available for other work.
func (wk *worker) usedByKind() (near, remote, lasting Millicores) {
	for _, sl := range wk.slots {
		switch {
		case sl.shape.Lasting:
			lasting += sl.shape.Need.CPU
		case sl.remote:
			remote += sl.shape.Need.CPU
		default:
			near += sl.shape.Need.CPU
		}
	}
	return near, remote, lasting
}

const (
	// fullWait times the capacity of a holder is the wanted work from which its
	// workers count as full. Less may wait for a moment at any load.
	fullWait = 50 * time.Millisecond
	// fullShare is the used share below which workers don't count as full: the work
	// that waits there waits for the rack of its data.
	fullShare = 0.7
)

// The used shares of the workers from which on no task starts away from its data,
// where it takes the room of several others.
const (
	crowdedShare = 0.3
	// crowdedInTime applies to tasks that end in time there, while capacity is not
	// short.
	crowdedInTime = 0.9
)

// crowded reports whether the workers of a service at this holder are too full to
// start tasks away from their data.
func (en *Entry) crowded(svc ids.ServiceName, inTime bool) bool {
	limit := crowdedShare
	if inTime && !en.demand.short {
		limit = crowdedInTime
	}
	ca := en.demand.capacities[nameHash(string(svc))]
	return ca != nil && ca.occupied >= limit
}

// maxReportedQueues limits the reports, which go to every neighbour, to the queues
// with the most work. Jobs of the other queues are admitted.
const maxReportedQueues = 12

// updateReport updates the figures that go to the other entries.
func (en *Entry) updateReport() {
	de := &en.demand
	de.queueReport, de.capacityReport = nil, nil
	for _, qd := range de.queues {
		re := QueueDemand{Queue: qd.hash, Backlog: levelOf(qd.backlog), Recent: levelOf(qd.recent), Usual: levelOf(qd.usual)}
		if re.Backlog > 0 || re.Recent > 0 || re.Usual > 0 {
			de.queueReport = append(de.queueReport, re)
		}
	}
	// Most queues of a large configuration have no work, so only the report is sorted.
	slices.SortFunc(de.queueReport, func(a, b QueueDemand) int { return cmp.Compare(a.Queue, b.Queue) })
	if len(de.queueReport) > maxReportedQueues {
		slices.SortStableFunc(de.queueReport, func(a, b QueueDemand) int {
			return cmp.Compare(max(b.Recent, b.Backlog), max(a.Recent, a.Backlog))
		})
		de.queueReport = de.queueReport[:maxReportedQueues]
	}
	if en.passingOn() {
		return
	}
	for _, hash := range sortedKeys(de.capacities) {
		if ca := de.capacities[hash]; ca.total > 0 {
			de.capacityReport = append(de.capacityReport, ServiceCapacity{Service: hash, Rate: levelOf(ca.rate()), Wanted: levelOf(ca.wanted)})
		}
	}
}

// updateGauges sets the gauges of the load of this entry, in core-seconds and
// core-seconds per second.
func (en *Entry) updateGauges() {
	for _, qd := range en.demand.queues {
		if qd.age == 0 {
			continue
		}
		en.eff.Gauge("admission.demand."+qd.name, int64(qd.recent))
		en.eff.Gauge("admission.usual."+qd.name, int64(qd.usual))
		en.eff.Gauge("admission.backlog."+qd.name, int64(qd.backlog))
		en.eff.Gauge("admission.share-percent."+qd.name, int64(100*qd.plan.share))
	}
	for svc := range en.services {
		if ca := en.demand.capacities[nameHash(string(svc))]; ca != nil {
			en.eff.Gauge("admission.capacity."+string(svc), int64(ca.rate()))
		}
	}
}

// capacityOf returns the reported capacity of a service.
func (ld Load) capacityOf(service uint32) ServiceCapacity {
	for _, sc := range ld.Capacity {
		if sc.Service == service {
			return sc
		}
	}
	return ServiceCapacity{}
}

// othersBacklog returns the work that waits at the other entries, in core-seconds.
// It reports false if none of them has reported figures.
func (en *Entry) othersBacklog(svc ids.ServiceName) (float64, bool) {
	service, sum, reported := nameHash(string(svc)), 0.0, 0
	for id, ld := range en.reports {
		if id == en.id || (ld.Queues == nil && ld.Capacity == nil) {
			continue
		}
		reported++
		for _, re := range ld.Queues {
			if qd := en.demand.queues[re.Queue]; qd != nil && qd.service == service {
				sum += re.Backlog.amount()
			}
		}
	}
	return sum * float64(en.topology.size-1) / float64(max(reported, 1)), reported > 0
}

// reports lists the latest figures of this entry and of the reachable ones.
func (en *Entry) reports(yield func(id ids.EntryID, ld Load) bool) {
	if !yield(en.id, Load{Queues: en.demand.queueReport, Capacity: en.demand.capacityReport}) {
		return
	}
	for _, id := range sortedKeys(en.sessions) {
		if se := en.sessions[id]; se.bidirectional() && !yield(id, se.load) {
			return
		}
	}
}
