package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// The admission of jobs. Every tick the entry computes from the figures of the
// fleet how much of the arriving work of each of its queues can be served; each
// job is then judged on arrival in constant time.

// queueLoad is the load of one queue, in core-seconds and core-seconds per second.
type queueLoad struct {
	priority int
	backlog  float64
	recent   float64
	usual    float64
}

// zoneLoad is the load of the callers of one zone.
type zoneLoad struct {
	queues map[uint32]queueLoad
	// capacity is that of the workers that the entries of the zone hold.
	capacity float64
}

// queuePlan is what an owner does with the jobs of a queue that arrive until the
// next tick.
type queuePlan struct {
	share float64       // of the jobs that the queue is entitled to
	wait  time.Duration // expected, of a new job
	// clears is when the present backlog is expected to be gone.
	clears    time.Duration
	shrinking bool // the backlog becomes smaller
}

// The admission of jobs under overload.
const (
	// shortShare is the share of the capacity from which on it counts as short.
	shortShare = 0.95
	// admitShare of the slack of a job is the expected wait up to which the job is
	// admitted. From there the admitted share falls to 0 at refuseShare.
	admitShare  = 0.5
	refuseShare = 1.0
	// correctTime is the time within which a backlog above targetWait is to be
	// worked off, at the expense of new jobs.
	correctTime = 400 * time.Millisecond
	targetWait  = 30 * time.Millisecond
	// leastAdmitted is the share of the capacity that goes to new jobs whatever the
	// backlog, and leastLeft the share that is left for the jobs of each priority.
	leastAdmitted = 0.3
	leastLeft     = 0.3
)

// leastUsual is the share of the recent demand of a queue that counts as usual at
// least. A queue without a usual demand would get nothing at a low priority.
const leastUsual = 0.1

// divide divides capacity among queues: each gets its usual demand, or the same
// share of it if that is too much for all; the rest goes to what else is demanded,
// by priority and then in proportion. It returns the part of each queue.
func divide(capacity float64, queues []queueLoad) []float64 {
	parts := make([]float64, len(queues))
	sum := 0.0
	for num, ql := range queues {
		parts[num] = min(max(ql.usual, leastUsual*ql.recent), ql.recent)
		sum += parts[num]
	}
	if sum >= capacity {
		for num := range parts {
			parts[num] *= max(capacity, 0) / sum
		}
		return parts
	}
	left := capacity - sum
	order := make([]int, len(queues))
	for num := range order {
		order[num] = num
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(queues[a].priority, queues[b].priority) })
	for from := 0; from < len(order); {
		to, more := from, 0.0
		for to < len(order) && queues[order[to]].priority == queues[order[from]].priority {
			more += queues[order[to]].recent - parts[order[to]]
			to++
		}
		given := min(1, left/max(more, tinyWork))
		for _, num := range order[from:to] {
			extra := (queues[num].recent - parts[num]) * given
			parts[num] += extra
			left -= extra
		}
		from = to
	}
	return parts
}

// tinyWork avoids divisions by zero, in core-seconds.
const tinyWork = 1e-9

// fair divides capacity among zones in proportion to their usual demand. What a
// zone does not demand goes to the others.
func fair(capacity float64, usual, demand []float64) []float64 {
	parts := make([]float64, len(usual))
	done := make([]bool, len(usual))
	for {
		weights := 0.0
		for num := range usual {
			if !done[num] {
				weights += usual[num] + tinyWork
			}
		}
		again := false
		for num := range usual {
			part := capacity * (usual[num] + tinyWork) / max(weights, tinyWork)
			if !done[num] && demand[num] <= part {
				parts[num], done[num], again = demand[num], true, true
				capacity = max(capacity-demand[num], 0)
				break
			}
			if !done[num] {
				parts[num] = part
			}
		}
		if !again {
			return parts
		}
	}
}

// planQueues plans the admission of the queues of one service at the entries of a
// zone. The plans are by queue.
func planQueues(own ids.AvailabilityZone, zones map[ids.AvailabilityZone]zoneLoad) map[uint32]queuePlan {
	total := queueSums{}
	capacity := 0.0
	var usual, demand []float64
	at := 0
	for num, zone := range sortedKeys(zones) {
		sums := queueSums{}
		for hash, ql := range zones[zone].queues {
			sums.add(hash, ql)
			total.add(hash, ql)
		}
		all := sums.all()
		usual, demand = append(usual, all.usual), append(demand, all.recent)
		capacity += zones[zone].capacity
		if zone == own {
			at = num
		}
	}
	all := total.all()
	plans := map[uint32]queuePlan{}
	if capacity <= 0 {
		return plans
	}
	// A backlog above the target is worked off at the expense of new jobs.
	excess := max(all.backlog-capacity*targetWait.Seconds(), 0)
	left := max(capacity-excess/correctTime.Seconds(), leastAdmitted*capacity)
	hashes := sortedKeys(zones[own].queues)
	loads := make([]queueLoad, len(hashes))
	for num, hash := range hashes {
		loads[num] = zones[own].queues[hash]
	}
	parts := divide(fair(left, usual, demand)[at], loads)
	shares := map[uint32]float64{}
	for num, hash := range hashes {
		shares[hash] = 1
		if loads[num].recent > 0 && all.recent > shortShare*left {
			shares[hash] = min(parts[num]/loads[num].recent, 1)
		}
	}
	for num, hash := range hashes {
		plans[hash] = queuePlan{
			share: shares[hash], wait: total.wait(loads[num].priority, capacity, shares),
			clears: seconds(all.backlog / capacity), shrinking: all.recent < shortShare*capacity,
		}
	}
	return plans
}

// wait returns the time that new work of a priority is expected to wait, if the
// given shares of the arriving work are admitted.
func (qs queueSums) wait(priority int, capacity float64, shares map[uint32]float64) time.Duration {
	ahead, higher := 0.0, 0.0
	for _, hash := range sortedKeys(qs) {
		ql := qs[hash]
		if ql.priority <= priority {
			ahead += ql.backlog
		}
		if share, ok := shares[hash]; ok && ql.priority < priority {
			higher += ql.recent * share
		}
	}
	return seconds(ahead / max(capacity-higher, leastLeft*capacity))
}

func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }

// queueSums are sums of loads by queue.
type queueSums map[uint32]queueLoad

func (qs queueSums) add(hash uint32, ql queueLoad) {
	sum := qs[hash]
	qs[hash] = queueLoad{
		priority: ql.priority, backlog: sum.backlog + ql.backlog, recent: sum.recent + ql.recent, usual: sum.usual + ql.usual,
	}
}

// all returns the sums of all queues.
func (qs queueSums) all() queueLoad {
	sum := queueLoad{}
	for _, hash := range sortedKeys(qs) {
		ql := qs[hash]
		sum.backlog, sum.recent, sum.usual = sum.backlog+ql.backlog, sum.recent+ql.recent, sum.usual+ql.usual
	}
	return sum
}

// verdict is the decision on a job that arrives.
type verdict string

// The verdicts.
const (
	verdictServed  verdict = "served"          // expected in time
	verdictWaits   verdict = "waits"           // expected late, but of use to the caller
	verdictBacklog verdict = "refused-backlog" // too much work waits before it
	verdictShare   verdict = "refused-share"   // its queue has used its share of the capacity
)

// decide decides on a job: slack is the time that it can wait and be in time, and
// useful the time after which it is of no use. The credit of its queue is a number
// from 0 to 1.
func (pl queuePlan) decide(slack, useful time.Duration, credit float64) (verdict, float64) {
	fits := 1.0
	if first, last := seconds(admitShare*slack.Seconds()), seconds(refuseShare*slack.Seconds()); pl.wait > first {
		fits = max(0, float64(last-pl.wait)/float64(max(last-first, 1)))
	}
	if fits == 0 && pl.shrinking && pl.wait < useful {
		return verdictWaits, credit
	}
	credit += min(pl.share, fits)
	switch {
	case credit >= 1:
		return verdictServed, credit - 1
	case fits < pl.share:
		return verdictBacklog, credit
	}
	return verdictShare, credit
}

// admissible reports whether admission decides on a job. Stored jobs wait as long
// as it takes, and the time of timed jobs is fixed.
func (jb *job) admissible() bool {
	return jb.stored == nil && !jb.Job.Stored && jb.Job.Repeat.Count == 0 && !jb.Job.lasting()
}

// refuseOnArrival refuses a job that has just arrived if it can't be served in
// time, and reports whether it did so.
func (en *Entry) refuseOnArrival(jb *job) bool {
	if !jb.admissible() {
		return false
	}
	qd := en.queueDemand(jb.Queue)
	jb.demand = qd
	qd.arrived += jb.work()
	now := en.now()
	vd := verdictServed
	if qd.plan.share < 1 || qd.plan.wait > 0 {
		vd, qd.credit = qd.plan.decide(jb.inTime.Sub(now)-jb.estimate, jb.late.Sub(now)-jb.estimate, qd.credit)
	}
	if (vd == verdictBacklog || vd == verdictShare) && en.hasRoomInTime(jb, now) {
		vd = verdictServed
	}
	en.eff.Count("admission", string(vd), 1)
	if vd == verdictServed || vd == verdictWaits {
		return false
	}
	en.demand.refused++
	en.finish(jb, Outcome{Kind: Refused, Reason: "overload", RetryAfter: retryAfterOverload(qd.plan.clears, jb.Job.ID)})
	return true
}

// hasRoomInTime reports whether the holders have reported room for the first tasks
// of a job on workers that end them in time.
func (en *Entry) hasRoomInTime(jb *job, now time.Time) bool {
	for _, gr := range jb.groups {
		if len(jb.Job.Steps[gr.step].After) > 0 {
			continue
		}
		speed := gr.shape.Chain.Seconds() * estimateMargin / max(jb.inTime.Sub(now).Seconds(), tinyWork)
		count := countFreeOfSpeed(en.Load().Free, gr.shape, speed)
		for _, free := range en.reportedFree() {
			if count >= len(gr.tasks) {
				break
			}
			count += countFreeOfSpeed(free, gr.shape, speed)
		}
		if count < len(gr.tasks) {
			return false
		}
	}
	return true
}

// countFreeOfSpeed counts the tasks for which there is free room on workers that
// have at least the given speed.
func countFreeOfSpeed(free []Free, sh Shape, speed float64) int {
	count := 0
	for _, fr := range free {
		if float64(fr.Speed) >= speed {
			fits, _ := countFree([]Free{fr}, sh)
			count += fits
		}
	}
	return count
}

// planAdmission plans the admission of the queues of this entry until the next
// tick.
func (en *Entry) planAdmission(now time.Time) {
	byService := map[uint32]map[uint32]queuePlan{}
	short := false
	for _, qd := range en.demand.queues {
		plans, ok := byService[qd.service]
		if !ok {
			plans = planQueues(en.self.Zone, en.zoneLoads(qd.service))
			byService[qd.service] = plans
		}
		qd.plan, ok = plans[qd.hash]
		if !ok {
			qd.plan = queuePlan{share: 1}
		}
		short = short || qd.plan.share < 1
	}
	en.setShort(short, now)
}

// logDemand logs the load of the queues together with an event.
func (en *Entry) logDemand(event string, fields ...any) {
	for _, hash := range sortedKeys(en.demand.queues) {
		if qd := en.demand.queues[hash]; qd.recent >= 1 {
			fields = append(fields, qd.name, fmt.Sprintf("%.0f/%.0f/%.0f/%.2f", qd.usual, qd.recent, qd.backlog, qd.plan.share))
		}
	}
	en.eff.Log(event, fields...)
}

// shortHysteresis is the time without refusals after which an entry logs that it
// no longer refuses jobs.
const shortHysteresis = 500 * time.Millisecond

// setShort records whether capacity is short, and logs changes.
func (en *Entry) setShort(short bool, now time.Time) {
	de := &en.demand
	if short {
		if !de.short {
			de.short, de.shortFrom, de.refused = true, now, 0
			en.logDemand("admission-short")
		}
		de.shortAt = now
		return
	}
	if de.short && now.Sub(de.shortAt) >= shortHysteresis {
		de.short = false
		en.logDemand("admission-normal", "after-ms", now.Sub(de.shortFrom).Milliseconds(), "refused", de.refused)
	}
}

// zoneLoads sums the figures of the entries by zone. Entries without a session are
// assumed to have as much as the others of their zone.
func (en *Entry) zoneLoads(service uint32) map[ids.AvailabilityZone]zoneLoad {
	zones := map[ids.AvailabilityZone]zoneLoad{}
	seen := map[ids.AvailabilityZone]float64{}
	sizes := map[ids.AvailabilityZone]float64{}
	for id, ld := range en.reports {
		zone := en.zoneOf(id)
		if ld.Queues == nil && ld.Capacity == nil && id != en.id {
			// The entry reports no figures.
			continue
		}
		zl, ok := zones[zone]
		if !ok {
			zl.queues = map[uint32]queueLoad{}
		}
		seen[zone]++
		sizes[zone] += en.sizeOf(id)
		zl.capacity += ld.capacityOf(service).Rate.amount()
		for _, re := range ld.Queues {
			if qd := en.demand.queues[re.Queue]; qd != nil && qd.service == service {
				queueSums(zl.queues).add(re.Queue, queueLoad{
					priority: qd.priority, backlog: re.Backlog.amount(), recent: re.Recent.amount(), usual: re.Usual.amount(),
				})
			}
		}
		zones[zone] = zl
	}
	for zone, zl := range zones {
		ring := en.topology.roster.zones[zone]
		size := 0.0
		for _, re := range ring {
			size += max(re.Size, minWeight)
		}
		zl.capacity *= max(1, size/max(sizes[zone], tinyWork))
		scale := max(1, float64(len(ring))/max(seen[zone], 1))
		for hash, ql := range zl.queues {
			ql.backlog, ql.recent, ql.usual = ql.backlog*scale, ql.recent*scale, ql.usual*scale
			zl.queues[hash] = ql
		}
		zones[zone] = zl
	}
	return zones
}

// sizeOf returns the size of an entry by which workers are assigned.
func (en *Entry) sizeOf(id ids.EntryID) float64 {
	if mb := en.members[id]; mb != nil && id != en.id {
		return max(mb.Size, minWeight)
	}
	return max(en.self.Size, minWeight)
}
