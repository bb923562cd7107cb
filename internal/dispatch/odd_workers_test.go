package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// addOddRow adds a row of another writer to the reports of workers, which its
// writer renews. It names a service and an address where nothing listens.
func (wo *world) addOddRow(service ids.ServiceName) {
	wk := wo.addWorker(len(wo.workers), "north", 32000, 1)
	wk.info.Service, wk.up, wk.dead, wk.refuses = service, false, true, true
}

// TestOddRowAtTakeover guards against a row of another writer that keeps lost tasks
// from being started again: nothing answers at its address, so its holder never
// learns what has ended there.
func TestOddRowAtTakeover(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name    string
		service ids.ServiceName
	}{
		{"of an unknown service", "other"},
		{"of the service of the jobs", "fitdesk"},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1000, 5, 12)
			for range 3 {
				wo.addOddRow(row.service)
			}
			wo.run(12 * time.Second)
			wo.load(storedKinds(), 0.08, 8*time.Second)
			wo.run(4 * time.Second)
			wo.entries["entry-01"].kill()
			wo.after(time.Second, func() { wo.entries["entry-01"].start(0.4) })
			wo.run(30 * time.Second)
			wo.check(t)
			wo.checkStored(t)
		})
	}
}

// TestOddRowBesideLostLastingTasks guards against long-running tasks that are never
// started again after their workers and their owner were lost, because a row of another
// writer names their service: its holder is never reached there.
func TestOddRowBesideLostLastingTasks(t *testing.T) {
	t.Parallel()
	for num, service := range []ids.ServiceName{"other", "fitdesk"} {
		t.Run(string(service), func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1100, 3, 12)
			wo.addOddRow(service)
			wo.run(12 * time.Second)
			for _, ee := range wo.sortedEntries() {
				wo.submit(ee, kind{queue: "pair", width: 6, work: time.Second, cpu: 8000, lasting: true, stored: true})
			}
			wo.run(4 * time.Second)
			wo.entries["entry-01"].kill()
			for _, id := range sortedKeys(wo.workers)[:6] {
				wo.workers[id].crash(2 * time.Second)
			}
			wo.after(time.Second, func() { wo.entries["entry-01"].start(0.4) })
			wo.run(lastingTimeout + 10*time.Second)
			wo.check(t)
			if wo.checkLasting(t) == 0 {
				t.Error("no long-running task was accepted")
			}
		})
	}
}

// TestNoClaimBeforeDesiredState guards against a row of another writer that an entry
// claims because it has not read the desired state yet: from then on lost tasks wait for
// the holder of that row. A worker that has been held is claimed all the same.
func TestNoClaimBeforeDesiredState(t *testing.T) {
	t.Parallel()
	wo := newWorld(1)
	rc := &recorder{emuEffects: emuEffects{ee: &emuEntry{wo: wo}}}
	en := New(Self{Incarnation: "entry-00/2", Zone: "north", Size: 1}, Limits{}, rc, func() time.Time { return wo.at })
	for num, id := range []ids.WorkerID{"new", "held"} {
		en.PutWorker(WorkerInfo{ID: id, Service: "fitdesk", Zone: "north", State: WorkerReady, Version: Version(5 + num), Born: 1})
	}
	en.PutWorker(WorkerInfo{ID: "odd", Service: "other", Zone: "north", State: WorkerReady, Version: 7, Born: 1})
	en.PutHolderRow(HolderRow{Worker: "held", Holder: "entry-00/1", Version: 50})
	claims := func() []ids.WorkerID {
		wo.at = wo.at.Add(workerClaimInterval)
		var list []ids.WorkerID
		for _, ch := range en.claimChanges(en.updateTopology(en.candidates(wo.at)), wo.at) {
			list = append(list, ch.Worker)
		}
		return list
	}
	if list := claims(); !slices.Equal(list, []ids.WorkerID{"held"}) {
		t.Errorf("without a desired state the workers %v are claimed, want only the one that was held", list)
	}
	en.Apply(standardDesired(1))
	if list := claims(); !slices.Equal(list, []ids.WorkerID{"held", "new"}) {
		t.Errorf("the workers %v are claimed, want the one that was held and the new one", list)
	}
}
