package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// largeWorld returns a fleet of five zones with seven workers for each entry.
func largeWorld(seed uint64, entries int) *world {
	return zonedWorld(seed, entries, 7*entries, emuZones)
}

// loadPerWorker is the load factor of standardKinds for one worker.
const loadPerWorker = 1.0 / 48

// heldWorkers returns the number of workers that living entries hold.
func (wo *world) heldWorkers() int {
	count := 0
	for _, ee := range wo.sortedEntries() {
		if ee.alive {
			count += ee.en.Held()
		}
	}
	return count
}

// runUntilHeld runs the world until all workers have a holder, and fails the
// test after the given time.
func (wo *world) runUntilHeld(t *testing.T, workers int, most time.Duration) {
	t.Helper()
	begin := wo.at
	for wo.heldWorkers() < workers {
		if wo.at.Sub(begin) > most {
			t.Fatalf("after %s %d of %d workers have a holder", most, wo.heldWorkers(), workers)
		}
		wo.run(100 * time.Millisecond)
	}
	t.Logf("all %d workers have a holder after %s", workers, wo.at.Sub(begin))
}

// TestLargeIdle guards against a control overhead per entry that grows with the
// fleet. From 30 entries on, an entry has the same bound on sessions and follows
// reports only as a watcher, and an idle fleet sends no messages.
func TestLargeIdle(t *testing.T) {
	t.Parallel()
	// An entry has sessions with neighbours on both sides, far links and watchers,
	// and as many again that other entries keep.
	const mostSessions = 2 * (2*sideNeighbours + 2*crossZoneNeighbours + 2*watchersPerZone)
	// Two watchers in each of the five zones read all reports every 0.2 s, which
	// are seven for each entry of this fleet. The other entries read a page every
	// 1.5 s.
	const secs = 4
	for _, entries := range []int{30, 60} {
		wo := largeWorld(uint64(entries), entries)
		wo.run(8 * time.Second)
		if held := wo.heldWorkers(); held != 7*entries {
			t.Errorf("%d entries: %d of %d workers have a holder", entries, held, 7*entries)
		}
		sessions, pages := 0, 0
		for _, ee := range wo.sortedEntries() {
			for _, se := range ee.en.sessions {
				if se.bidirectional() {
					sessions++
				}
			}
			if !ee.en.FollowsWorkers() {
				pages++
			}
		}
		if watchers := entries - pages; watchers != 5*watchersPerZone {
			t.Errorf("%d entries: %d follow all reports, want two in each of five zones", entries, watchers)
		}
		if per := float64(sessions) / float64(entries); per > mostSessions/2 {
			t.Errorf("%d entries: %.1f sessions an entry, want at most %d", entries, per, mostSessions/2)
		}
		messages, connects := wo.messages, wo.connects
		wo.run(secs * time.Second)
		if sent := wo.messages - messages; sent > 0 {
			t.Errorf("%d entries: %d messages in an idle fleet", entries, sent)
		}
		if begun := wo.connects - connects; begun > 0 {
			t.Errorf("%d entries: %d new sessions in an idle fleet", entries, begun)
		}
		wo.check(t)
	}
}

// TestLargeCompletesInTime guards against a large fleet that completes a
// smaller share of the jobs in time than a small one at the same load per
// worker.
func TestLargeCompletesInTime(t *testing.T) {
	t.Parallel()
	share := map[int]float64{}
	for _, entries := range []int{7, 25} {
		wo := largeWorld(9, entries)
		wo.run(9 * time.Second)
		wo.load(standardKinds, float64(7*entries)*loadPerWorker, 6*time.Second)
		wo.run(10 * time.Second)
		wo.check(t)
		share[entries] = wo.inTimeShare()
	}
	t.Log(share)
	if share[25] < share[7]-0.02 {
		t.Errorf("25 entries serve %.3f of the jobs in time, 7 entries %.3f", share[25], share[7])
	}
}

// TestLargeFaults guards against faults that a fleet with a bounded number of
// neighbours does not recover from. In a full mesh every entry detects them
// itself.
func TestLargeFaults(t *testing.T) {
	t.Parallel()
	const entries, workers = 25, 175
	rows := []struct {
		name  string
		fault func(wo *world)
		// back is the time after the fault in which all workers must have a living
		// holder again: heartbeats of 1.5 s, two reports of a worker, and a margin.
		back time.Duration
	}{
		{"a third of the entries killed at once", func(wo *world) {
			for num, ee := range wo.sortedEntries() {
				if num%3 == 0 {
					ee.kill()
					wo.after(3*time.Second, func() { ee.start(0.4) })
				}
			}
		}, 8 * time.Second},
		{"all entries without power", func(wo *world) { wo.restartAll(1300 * time.Millisecond) }, 8 * time.Second},
		{"a zone cut off", func(wo *world) { wo.cutZone("north", 5*time.Second) }, 12 * time.Second},
		{"all entries of a zone killed for good", func(wo *world) {
			for _, ee := range wo.sortedEntries() {
				if ee.zone == "east" {
					ee.kill()
				}
			}
		}, 40 * time.Second},
		{"watchers killed", func(wo *world) {
			for _, id := range wo.sortedEntries()[0].en.topology.roster.watchers("north") {
				ee := wo.entries[id]
				ee.kill()
				wo.after(3*time.Second, func() { ee.start(0.4) })
			}
		}, 8 * time.Second},
		{"a fifth of the entries frozen", func(wo *world) {
			for num, ee := range wo.sortedEntries() {
				if num%5 == 0 {
					ee.freeze(4 * time.Second)
				}
			}
		}, 10 * time.Second},
		{"a fifth of the entries cut off from the store", func(wo *world) {
			for num, ee := range wo.sortedEntries() {
				if num%5 == 0 {
					wo.storeCut[ee.id] = true
					wo.after(6*time.Second, func() { delete(wo.storeCut, ee.id) })
				}
			}
		}, 8 * time.Second},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := zonedWorld(uint64(num)+40, entries, workers, emuZones)
			wo.run(6 * time.Second)
			wo.load(standardKinds, workers*loadPerWorker*0.5, 8*time.Second)
			wo.run(2 * time.Second)
			row.fault(wo)
			wo.run(3 * time.Second)
			wo.runUntilHeld(t, workers, row.back)
			wo.run(10 * time.Second)
			wo.check(t)
		})
	}
}

// TestWorkerChangesForwarded guards against changes of workers that reach their
// holders late. Entries that do not follow the reports receive changes, such as
// a worker that drains, from a watcher.
func TestWorkerChangesForwarded(t *testing.T) {
	t.Parallel()
	const entries, workers = 30, 210
	wo := zonedWorld(5, entries, workers, emuZones)
	wo.run(8 * time.Second)
	drained := map[ids.WorkerID]bool{}
	for num, wk := range wo.sortedWorkers() {
		if num%4 == 0 {
			wk.info.State = WorkerDraining
			drained[wk.info.ID] = true
		}
	}
	// A report is written every 1.5 s and read up to 0.2 s later.
	wo.run(2 * time.Second)
	for _, ee := range wo.sortedEntries() {
		for id, wk := range ee.en.workers {
			if drained[id] && wk.info.State != WorkerDraining {
				t.Errorf("%s has no record that its worker %s drains", ee.id, id)
			}
		}
	}
}

// TestDesiredFromNeighbours guards against an entry that receives a large
// desired state from all of its neighbours at once: copies of 200 KB filled the
// links, and sessions ended. An entry that does not get the desired state from
// the store requests it from one neighbour after the other.
func TestDesiredFromNeighbours(t *testing.T) {
	t.Parallel()
	const entries = 35
	wo := zonedWorld(6, entries, 70, emuZones)
	wo.run(5 * time.Second)
	wo.sortedEntries()[0].en.Apply(standardDesired(2))
	// Six steps from neighbour to neighbour reach all entries. Each step takes
	// 0.5 s plus the link interval of 0.2 s.
	wo.run(5 * time.Second)
	for _, ee := range wo.sortedEntries() {
		if got := ee.en.version(); got != 2 {
			t.Errorf("%s has version %d of the desired state, want 2", ee.id, got)
		}
	}
	if copies := wo.sent["dispatch.NewDesired"]; copies > entries {
		t.Errorf("%d copies of the desired state were sent to %d entries", copies, entries)
	}
}

// TestJobsAtStart guards against jobs that are refused because their entry has
// just started and has no record of the workers yet. After a power loss of all
// entries, the balancer sends callers to them as soon as they listen.
func TestJobsAtStart(t *testing.T) {
	t.Parallel()
	wo := standardWorld(8, 7, 48)
	wo.restartAll(time.Second)
	wo.run(time.Second + time.Millisecond)
	for _, ee := range wo.sortedEntries() {
		wo.submit(ee, kind{queue: "fit", width: 2, work: 200 * time.Millisecond})
	}
	wo.run(5 * time.Second)
	wo.check(t)
	if wo.done[Completed] != 7 {
		t.Errorf("outcomes of 7 jobs submitted right after the start: %v, want all completed", wo.done)
	}
}

// TestStaleWorkerReport guards against a worker that is used again after it has
// left or begun to drain, because another entry passed on an older report.
func TestStaleWorkerReport(t *testing.T) {
	t.Parallel()
	wo := standardWorld(4, 1, 0)
	en := wo.sortedEntries()[0].en
	ready := WorkerInfo{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 5}
	draining := ready
	draining.State, draining.Version = WorkerDraining, 7
	en.PutWorker(draining)
	en.Receive("other", WorkerNews{Workers: []WorkerInfo{ready}})
	if state := en.known["w"].info.State; state != WorkerDraining {
		t.Errorf("after an older report the worker is %s, want draining", state)
	}
	en.Receive("other", WorkerNews{Gone: []GoneWorker{{Worker: "w", Version: 6}}})
	if !en.known["w"].removedAt.IsZero() {
		t.Error("an older removal drops a newer report")
	}
	en.DropWorker("w", 9)
	en.Receive("other", WorkerNews{Workers: []WorkerInfo{draining}})
	if en.known["w"].removedAt.IsZero() {
		t.Error("a worker that has left is listed again by an older report")
	}
	en.Receive("other", WorkerNews{Whole: true, Version: 8})
	if en.known["w"].removedAt.IsZero() {
		t.Error("a complete list without the worker lists it again")
	}
}

// TestUnknownHolder guards against a worker that is taken from a living entry
// whose row has not been read yet. That entry has just started, and its holder
// row arrived first, in the reply to a commit that lost the conflict.
func TestUnknownHolder(t *testing.T) {
	t.Parallel()
	for _, known := range []bool{true, false} {
		wo := newWorld(4)
		en := New(Self{Incarnation: "entry-00/1", Zone: "north", Size: 1}, Limits{}, &emuEffects{ee: &emuEntry{wo: wo}}, func() time.Time { return wo.at })
		if known {
			en.PutMember(Member{Self: Self{Incarnation: "other/1", Zone: "north", Size: 1}, Version: 10})
		}
		en.PutWorker(WorkerInfo{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 5})
		en.PutHolderRow(HolderRow{Worker: "w", Holder: "other/2", Version: 50})
		ro := en.updateTopology(en.candidates(wo.at))
		if known {
			// The earlier incarnation is dead.
			ro = newRoster([]Member{{Self: en.self}})
		}
		if changes := en.claimChanges(ro, wo.at); len(changes) > 0 {
			t.Errorf("known %v: %v is claimed before the row of its holder can have been read", known, changes)
		}
		wo.at = wo.at.Add(time.Second)
		en.TableRead(TableHolders, wo.at)
		en.PutWorker(WorkerInfo{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 6})
		if changes := en.claimChanges(ro, wo.at); len(changes) != 1 {
			t.Errorf("known %v: %v is claimed although the holder has no row, want one worker", known, changes)
		}
	}
}
