package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// emuCold is the state of an emulated worker that is slow after each start.
type emuCold struct {
	lasts  time.Duration // how long the worker is cold after a start, 0 for never
	perS   float64       // starts per second that are permitted with the overshoot, 0 for no limit
	since  time.Time
	until  time.Time
	starts int // since then
}

// emuColdSpeed is the ratio of cold to warm speed, and emuColdBurst the number of starts
// that are permitted beyond the rate.
const (
	emuColdSpeed = 0.4
	emuColdBurst = 5
)

func (co *emuCold) begin(now time.Time) {
	if co.lasts > 0 {
		co.since, co.until, co.starts = now, now.Add(co.lasts), 0
	}
}

// coldStart returns the speed of a run that starts now, and checks the rate of starts
// while the worker is cold.
func (wk *emuWorker) coldStart(order StartOrder) float64 {
	co, now := &wk.cold, wk.wo.at
	if !now.Before(co.until) {
		return wk.speed
	}
	co.starts++
	permitted := co.perS*now.Sub(co.since).Seconds() + emuColdBurst
	if co.perS > 0 && !wk.wo.hidesCold && float64(co.starts) > permitted {
		wk.wo.violation("task %v is start %d on the cold worker %s after %s, %.1f are permitted", order.Ref, co.starts, wk.info.ID, now.Sub(co.since), permitted)
	}
	return wk.speed * emuColdSpeed
}

// coldWorld returns a world whose workers are cold for 8 s after each start.
func coldWorld(seed uint64, perS float64) *world {
	wo := standardWorld(seed, 7, 48)
	wo.desired.Version, wo.desired.Services = 2, []ServiceLimits{{Name: "fitdesk", ColdPerSecond: perS}}
	for _, ee := range wo.sortedEntries() {
		ee.en.Apply(wo.desired)
	}
	for _, wk := range wo.sortedWorkers() {
		wk.cold.lasts, wk.cold.perS = 8*time.Second, 1.5*perS
	}
	return wo
}

// replaceWorkers restarts every n-th worker of a zone, or of all zones for "".
func (wo *world) replaceWorkers(nth int, zone ids.AvailabilityZone) {
	for num, wk := range wo.sortedWorkers() {
		if num%nth == 0 && (zone == "" || wk.info.Zone == zone) {
			wk.crash(500 * time.Millisecond)
		}
	}
}

// TestColdWorkers starts many cold workers at once. It guards against tasks that rush to
// cold workers and are late there, and against more starts than a cold worker may get.
// Knowing which workers are cold must not cost jobs in time.
func TestColdWorkers(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name string
		load float64
		perS float64
		// cost is the share of jobs by which the result may be worse than without the
		// reports. Where all workers are cold there is no better choice, and the two
		// results differ by chance.
		cost  float64
		event func(wo *world)
	}{
		{"a third of the workers is replaced", 0.6, 0, 0, func(wo *world) { wo.replaceWorkers(3, "") }},
		{"a third of the workers is replaced, starts are limited", 0.5, 1.5, 0, func(wo *world) { wo.replaceWorkers(3, "") }},
		{"a zone is taken back cold", 0.6, 0, 0, func(wo *world) {
			wo.evacuate("north", 8*time.Second)
			wo.after(7*time.Second, func() { wo.replaceWorkers(1, "north") })
		}},
		{"the fleet starts cold under full load", 1, 0, 0.005, func(wo *world) { wo.replaceWorkers(1, "") }},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			share := func(hide bool) float64 {
				sum := 0.0
				const seeds = 3
				for seed := range uint64(seeds) {
					wo := coldWorld(uint64(num)*10+seed+950, row.perS)
					wo.hidesCold = hide
					wo.load(standardKinds, row.load, 22*time.Second)
					wo.run(4 * time.Second)
					row.event(wo)
					wo.run(24 * time.Second)
					wo.check(t)
					wo.checkAnswered(t)
					sum += wo.inTimeShare() / seeds
				}
				return sum
			}
			with, without := share(false), share(true)
			t.Logf("in time: %.3f, and %.3f if the workers do not report that they are cold", with, without)
			if with < without-row.cost {
				t.Errorf("%.3f of the jobs are in time, %.3f if no worker reports that it is cold", with, without)
			}
		})
	}
}

// TestColdFactor guards against a learned speed that runs on a cold worker change, and a
// ratio of cold to warm speed that is not learned.
func TestColdFactor(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	et := &evacuationTest{T: t, wo: wo, en: en, rc: rc}
	info := en.known["w"].info
	info.Version, info.ColdRemaining = 6, time.Hour
	en.PutWorker(info)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	wk := en.workers["w"]
	if got := wk.factor(wo.at); got != initialColdFactor {
		t.Errorf("the first factor of a cold worker is %.2f, want %.2f", got, initialColdFactor)
	}
	for num := range 40 {
		et.submit(num, Step{Count: 2}, func(sub *Submission) { sub.Queue.Slack = time.Minute })
		if num == 0 && len(rc.starts) != 2 {
			t.Fatalf("%d tasks are started on a cold worker when no other one has room, want 2", len(rc.starts))
		}
		et.confirm()
		orders := rc.starts[len(rc.starts)-2:]
		for range 40 {
			wo.tick(en, TickInterval)
			et.answer(orders)
		}
		var ends []EndedRun
		for at, order := range orders {
			ends = append(ends, EndedRun{Number: int64(2*num + at + 1), Ref: order.Ref, How: EndDone})
		}
		en.HoldReplied("w", 50, HoldReply{Clock: wk.clockNow(wo.at), Born: 1, Ended: ends})
	}
	if wk.speed.samples != 0 || wk.speed.class.samples != 0 {
		t.Error("runs on a cold worker have changed its learned speed")
	}
	if got := wk.factor(wo.at); math.Abs(got-0.25) > 0.05 {
		t.Errorf("the factor is %.2f after tasks of 0.2 s that took 0.8 s, want 0.25", got)
	}
	info.Version, info.ColdRemaining = 7, 0
	en.PutWorker(info)
	if got := wk.factor(wo.at); got != 1 {
		t.Errorf("the factor of the warm worker is %.2f, want 1", got)
	}
}
