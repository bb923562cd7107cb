package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// BenchmarkOverload measures the CPU time of the decisions during two seconds at
// twice the capacity of the workers, with as many entries and workers as the
// larger deployment of present users.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		wo := standardWorld(1, 32, 350)
		wo.load(standardKinds, 12, 2*time.Second)
		wo.run(3 * time.Second)
		if len(wo.violations) > 0 {
			b.Fatal(wo.violations[0])
		}
		b.ReportMetric(float64(wo.lastJob)/2, "jobs/s")
	}
}

// check reports every violated rule.
func (wo *world) check(t *testing.T) {
	t.Helper()
	for _, fa := range wo.violations {
		t.Error(fa)
	}
}

// inTimeShare returns the share of the jobs of all kinds that were answered
// within their objective.
func (wo *world) inTimeShare() float64 {
	asked, inTime := 0, 0
	for name, count := range wo.submitted {
		asked += count
		inTime += wo.inTime[name]
	}
	return float64(inTime) / float64(max(asked, 1))
}

// checkAnswered reports jobs that wait for an answer at an entry that is alive.
func (wo *world) checkAnswered(t *testing.T) {
	t.Helper()
	count := 0
	for _, ee := range wo.entries {
		if ee.alive {
			count += ee.en.Jobs()
		}
	}
	if count > 0 {
		t.Errorf("%d jobs have no answer", count)
	}
}

// TestFaults injects one fault at a time under load and checks the rules by what
// workers and callers observe. The name of each row says what it guards against.
func TestFaults(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world)
		least float64 // share of all jobs of the 20 s that must be in time
	}{
		{"no fault: nothing is lost or refused without cause", func(*world) {}, 0.9},
		{"killed entry: its workers are taken over and the tasks that it owned are stopped", func(wo *world) {
			wo.entries["entry-01"].kill()
		}, 0.7},
		{"restarted entry: the new incarnation does not use the old one's workers without adoption", func(wo *world) {
			ee := wo.entries["entry-01"]
			ee.kill()
			wo.after(500*time.Millisecond, func() { ee.start(0.4) })
		}, 0.7},
		{"frozen entry: it resumes with stale state after others have taken over", func(wo *world) {
			wo.entries["entry-02"].freeze(3500 * time.Millisecond)
		}, 0.7},
		{"short freeze: leases and sessions barely survive or barely expire", func(wo *world) {
			wo.entries["entry-02"].freeze(950 * time.Millisecond)
		}, 0.8},
		{"partition between entries: both sides are alive and reach the store", func(wo *world) {
			for _, other := range []string{"entry-00", "entry-02", "entry-03", "entry-04"} {
				wo.setCut("entry-01", other, true)
			}
			wo.after(5*time.Second, func() { clear(wo.cut) })
		}, 0.8},
		{"worker cut off: its runs continue until the lease expires", func(wo *world) {
			for _, ee := range wo.sortedEntries() {
				wo.setCut(string(ee.id), "w-005", true)
				wo.setCut(string(ee.id), "w-006", true)
			}
			wo.after(4*time.Second, func() { clear(wo.cut) })
		}, 0.8},
		{"worker restarts under its id: it has lost tokens, runs and clock", func(wo *world) {
			wo.workers["w-004"].crash(300 * time.Millisecond)
			wo.workers["w-009"].crash(3 * time.Second)
		}, 0.8},
		{"worker lost for good", func(wo *world) { wo.workers["w-004"].crash(0) }, 0.8},
		{"orders executed seconds late do not start tasks twice or exceed the room", func(wo *world) {
			for _, wk := range wo.sortedWorkers() {
				wk.lateShare = 0.05
			}
			wo.after(5*time.Second, func() {
				for _, wk := range wo.sortedWorkers() {
					wk.lateShare = 0
				}
			})
		}, 0.75},
		{"store down: held workers continue to run tasks", func(wo *world) {
			wo.storeUp = false
			wo.after(6*time.Second, func() { wo.storeUp = true })
		}, 0.85},
		{"store down while an entry dies: its workers are taken over afterwards", func(wo *world) {
			wo.storeUp = false
			wo.entries["entry-03"].kill()
			wo.after(4*time.Second, func() { wo.storeUp = true })
		}, 0.6},
		{"all entries restart at once", func(wo *world) { wo.restartAll(time.Second) }, 0.6},
		{"entries leave in turn and come back", (*world).rollingRestart, 0.6},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1, 7, 48)
			wo.load(standardKinds, 0.6, 20*time.Second)
			wo.run(5 * time.Second)
			row.fault(wo)
			wo.run(23 * time.Second)
			wo.check(t)
			if share := wo.inTimeShare(); share < row.least {
				t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, row.least, wo.inTime, wo.submitted, wo.done)
			}
			wo.checkAnswered(t)
		})
	}
}

// TestRandomFaults runs random schedules of overlapping faults. It guards
// against failures that only a combination of faults causes.
func TestRandomFaults(t *testing.T) { playSchedules(t, "plain", (*world).checkAnswered) }

// TestRandomFaultsStore runs random schedules that also include faults of the
// store and of many entries: some entries are cut off from the store, its
// answers are lost, it is slow, all entries restart at once, a zone is cut off,
// an entry is replaced.
func TestRandomFaultsStore(t *testing.T) { playSchedules(t, "store", (*world).checkAnswered) }

// randomFault injects one random fault.
func (wo *world) randomFault() {
	entries, workers := wo.sortedEntries(), wo.sortedWorkers()
	ee, wk := entries[wo.rnd.IntN(len(entries))], workers[wo.rnd.IntN(len(workers))]
	span := time.Duration((0.2 + 4*wo.rnd.Float64()) * float64(time.Second))
	switch wo.rnd.IntN(wo.faultKinds) {
	case 0:
		if ee.alive && !ee.frozen {
			ee.kill()
			ee.startAfter(span)
		}
	case 1:
		if ee.alive && !ee.frozen {
			ee.freeze(span)
		}
	case 2:
		for _, other := range entries {
			wo.setCut(string(ee.id), string(other.id), true)
			wo.after(span, func() { wo.setCut(string(ee.id), string(other.id), false) })
		}
	case 3:
		for _, other := range entries {
			wo.setCut(string(other.id), string(wk.info.ID), true)
			wo.after(span, func() { wo.setCut(string(other.id), string(wk.info.ID), false) })
		}
	case 4:
		if wk.up {
			wk.crash(span)
		}
	case 5:
		wk.fails = true
		wo.after(span, func() { wk.fails = false })
	case 6:
		wk.hangs = true
		wo.after(span, func() { wk.hangs = false })
	case 7:
		wo.storeUp = false
		wo.after(span, func() { wo.storeUp = true })
	case 8:
		wk.lateShare, wk.lateHolds = 0.3, span > 2*time.Second
		wo.after(span, func() { wk.lateShare = 0 })
	case 9:
		wo.storeCut[ee.id] = true
		wo.after(span, func() { delete(wo.storeCut, ee.id) })
	case 10:
		wo.lostReplyShare = 0.35
		wo.after(span, func() { wo.lostReplyShare = 0 })
	case 11:
		wo.storeSlowdown = 60
		wo.after(span, func() { wo.storeSlowdown = 1 })
	case 12:
		for _, other := range entries {
			if !other.alive || other.frozen {
				continue
			}
			other.kill()
			other.startAfter(span / 4)
		}
	case 13:
		wo.cutZone(ee.zone, span)
	case 14:
		if ee.alive && !ee.frozen && len(entries) < 10 {
			ee.kill()
			wo.after(span, func() { wo.addEntry(fmt.Sprintf("entry-%02d", len(wo.entries)), ee.zone, 0.4) })
		}
	case 15:
		wo.evacuate(ee.zone, emuEvacuationBound+3*span)
	}
}

// seededFault replaces the sending of start orders, to break a rule on purpose.
type seededFault struct {
	*emuEffects
	start func(ef *emuEffects, order StartOrder)
}

func (sf *seededFault) StartTask(order StartOrder) { sf.start(sf.emuEffects, order) }

// TestEmulatorFindsSeededFaults verifies that the checks of the emulator detect
// the violations that they are for.
func TestEmulatorFindsSeededFaults(t *testing.T) {
	t.Parallel()
	// other sends an order to another worker, with a token and an expiry that this
	// worker accepts.
	other := func(ef *emuEffects, order StartOrder, id ids.WorkerID) {
		order.Worker, order.Token = id, 1<<40
		order.Until += WorkerTime(24 * time.Hour)
		ef.StartTask(order)
	}
	rows := []struct {
		name    string
		start   func(ef *emuEffects, order StartOrder)
		message string // part of the expected message
	}{
		{"a task is started on two workers", func(ef *emuEffects, order StartOrder) {
			ef.StartTask(order)
			other(ef, order, "w-001")
		}, "runs twice at a time"},
		{"a worker gets more tasks than it has room for", func(ef *emuEffects, order StartOrder) {
			other(ef, order, "w-001")
		}, "is given"},
		{"a task is started on a worker of another service", func(ef *emuEffects, order StartOrder) {
			other(ef, order, "w-100")
		}, "of service fitdesk starts on worker w-100 of service lab"},
		{"a task is started on a worker without its label", func(ef *emuEffects, order StartOrder) {
			other(ef, order, "w-002")
		}, "has no label small"},
		{"tasks of a step are started on one worker against their anti-affinity", func(ef *emuEffects, order StartOrder) {
			other(ef, order, "w-000")
		}, "at most 1 may run there"},
		{"a step is started before the step that it depends on", func(ef *emuEffects, order StartOrder) {
			ef.StartTask(order)
			at, _ := parseTaskID(order.Ref.Task)
			order.Ref.Task = TaskID(fmt.Sprintf("%s.0.1.%d", at.job, at.idx))
			ef.StartTask(order)
		}, "is done"},
		{"a task is started in an evacuated zone", func(ef *emuEffects, order StartOrder) {
			ef.ee.wo.evacuation.requested["north"] = emuEpoch.Add(-emuEvacuationBound)
			ef.StartTask(order)
		}, "after the evacuation of its zone"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			wo := standardWorld(1, 3, 12)
			wo.addService("lab", "test", 1)
			kinds := slices.Clone(standardKinds)
			for at := range kinds {
				kinds[at].steps, kinds[at].label, kinds[at].spread = 2, "small", 1
			}
			for _, ee := range wo.sortedEntries() {
				ee.en.eff = &seededFault{emuEffects: &emuEffects{ee: ee, en: ee.en}, start: row.start}
			}
			wo.load(kinds, 0.2, 5*time.Second)
			wo.run(8 * time.Second)
			if !slices.ContainsFunc(wo.violations, func(fa string) bool { return strings.Contains(fa, row.message) }) {
				t.Errorf("no violation contains %q among %d violations", row.message, len(wo.violations))
			}
		})
	}
}

// TestLoads runs load patterns and misbehaving workers, and checks the least
// share of jobs in time.
func TestLoads(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		shape func(wo *world)
		least float64
	}{
		{"burst: short jobs overtake long ones, throughput does not collapse", func(wo *world) {
			wo.after(5*time.Second, func() { wo.load(standardKinds, 0.9, 4*time.Second) })
		}, 0.55},
		{"failing workers do not attract the load", func(wo *world) {
			wo.workers["w-003"].fails, wo.workers["w-010"].fails = true, true
		}, 0.85},
		{"workers whose tasks hang get no further tasks", func(wo *world) {
			wo.workers["w-003"].hangs, wo.workers["w-010"].hangs = true, true
		}, 0.8},
		{"a tenth of the orders gets no answer and is executed seconds later", func(wo *world) {
			for _, wk := range wo.sortedWorkers() {
				wk.lateShare = 0.1
			}
		}, 0.8},
		{"a tenth of the orders and holds gets no answer and is executed seconds later", func(wo *world) {
			for _, wk := range wo.sortedWorkers() {
				wk.lateShare, wk.lateHolds = 0.1, true
			}
		}, 0.75},
		{"workers that become slow get no urgent work", func(wo *world) {
			for _, id := range []ids.WorkerID{"w-003", "w-010", "w-017", "w-022"} {
				wo.after(5*time.Second, func() { wo.workers[id].speed /= 6 })
			}
		}, 0.8},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+50, 7, 48)
			row.shape(wo)
			wo.load(standardKinds, 0.6, 20*time.Second)
			wo.run(25 * time.Second)
			wo.check(t)
			if share := wo.inTimeShare(); share < row.least {
				t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, row.least, wo.inTime, wo.submitted, wo.done)
			}
		})
	}
}

// TestRemovedEntry guards against rows and sessions of permanently removed
// entries, which would be dialled forever.
func TestRemovedEntry(t *testing.T) {
	t.Parallel()
	wo := standardWorld(600, 4, 12)
	wo.entries["entry-01"].kill()
	wo.run(memberExpiry + 5*time.Second)
	for _, ee := range wo.sortedEntries() {
		if ee.alive && len(ee.en.Members()) != 2 {
			t.Errorf("%s lists %d other entries, want 2", ee.id, len(ee.en.Members()))
		}
	}
	if !wo.removedEntries["entry-01"] {
		t.Error("the row of the removed entry is still there")
	}
}

// TestWorkerRelisted guards against workers that stay without a holder after
// their rows were missing for a while and their holders had released them.
func TestWorkerRelisted(t *testing.T) {
	t.Parallel()
	wo := standardWorld(620, 4, 12)
	for _, id := range []ids.WorkerID{"w-003", "w-006"} {
		wk := wo.workers[id]
		wk.unlisted, wk.downAt = true, wo.at.Add(-10*time.Second)
		wo.after(6*time.Second, func() { wk.unlisted = false })
	}
	wo.run(10 * time.Second)
	held := 0
	for _, ee := range wo.sortedEntries() {
		held += ee.en.Held()
	}
	if held != 12 {
		t.Errorf("%d of 12 workers are held", held)
	}
}

// TestVanishedWorker guards against holder rows of permanently removed workers,
// which would accumulate in the store.
func TestVanishedWorker(t *testing.T) {
	t.Parallel()
	wo := standardWorld(610, 4, 12)
	wo.workers["w-003"].crash(0)
	wo.run(memberExpiry + 15*time.Second)
	if row, ok := wo.rows["w-003"]; ok {
		t.Errorf("the row of the worker is still there: %+v", row)
	}
	if len(wo.rows) != 11 {
		t.Errorf("%d rows, want 11", len(wo.rows))
	}
}

// TestAffinity guards against starts on other racks than that of the task's
// data, where the task takes three times as long, while there is room on that
// rack.
func TestAffinity(t *testing.T) {
	t.Parallel()
	wo := standardWorld(500, 7, 48)
	kinds := slices.Clone(standardKinds)
	for at := range kinds {
		kinds[at].racks = emuRacks
	}
	wo.load(kinds, 0.4, 20*time.Second)
	wo.run(25 * time.Second)
	wo.check(t)
	// If racks were ignored, seven of eight starts would be on another rack.
	const most = 0.2
	if share := float64(wo.remoteStarts) / float64(wo.starts); share > most {
		t.Errorf("%.3f of the starts were on another rack than their data, want at most %.2f", share, most)
	}
	const least = 0.75
	if share := wo.inTimeShare(); share < least {
		t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, least, wo.inTime, wo.submitted, wo.done)
	}
}

// addService adds workers of another service and a queue for it. The other
// queues do not change.
func (wo *world) addService(name ids.ServiceName, queue string, count int) {
	des := standardDesired(wo.desired.Version + 1)
	des.Queues = append(slices.Clone(wo.desired.Queues), Queue{
		Name: queue, Host: "example", Prefix: "/" + queue + "/", Service: name, Priority: 1,
		MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond,
	})
	wo.desired = des
	for _, ee := range wo.sortedEntries() {
		ee.en.Apply(des)
	}
	for num := range count {
		wo.addWorker(100+num, "north", 32000, 1).info.Service = name
	}
	wo.run(2 * time.Second)
}

// TestPlaceRules guards against starts on a worker of another service, without
// the required label, or with too many tasks of the same step.
func TestPlaceRules(t *testing.T) {
	t.Parallel()
	wo := standardWorld(510, 7, 48)
	wo.addService("lab", "test", 6)
	kinds := slices.Clone(standardKinds)
	kinds[0].label, kinds[1].spread, kinds[2].label, kinds[2].spread = "small", 1, "large", 2
	kinds = append(kinds, kind{queue: "test", perS: 10, width: 3, work: 150 * time.Millisecond, steps: 2})
	wo.load(kinds, 0.4, 15*time.Second)
	wo.after(5*time.Second, wo.entries["entry-01"].kill)
	wo.run(20 * time.Second)
	wo.check(t)
	const least = 0.75
	if share := wo.inTimeShare(); share < least {
		t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, least, wo.inTime, wo.submitted, wo.done)
	}
	if wo.inTime["test"] == 0 {
		t.Error("no job of the other service was in time")
	}
}

// TestSeveredZone guards against entries that take over the workers of a zone
// that they cannot reach. When the partition heals, these workers would change
// from live holders to other ones.
func TestSeveredZone(t *testing.T) {
	t.Parallel()
	wo := standardWorld(400, 7, 48)
	wo.load(standardKinds, 0.6, 20*time.Second)
	wo.run(5 * time.Second)
	before := map[ids.WorkerID]Version{}
	for id, row := range wo.rows {
		before[id] = row.Version
	}
	wo.cutZone("east", 6*time.Second)
	wo.run(25 * time.Second)
	wo.check(t)
	for _, wk := range wo.sortedWorkers() {
		if row := wo.rows[wk.info.ID]; row.Version != before[wk.info.ID] {
			t.Errorf("worker %s of zone %s has changed its holder to %s", wk.info.ID, wk.info.Zone, row.Holder)
		}
	}
}
