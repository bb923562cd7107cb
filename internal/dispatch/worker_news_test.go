package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// newWatched returns an entry of a zone of twenty entries, with sessions to all
// of them. The entry is a watcher if it is one of the two largest.
func newWatched(size float64) (*world, *Entry, *recorder) {
	wo := newWorld(1)
	rc := &recorder{emuEffects: emuEffects{ee: &emuEntry{wo: wo}}}
	en := New(Self{Incarnation: "entry-00/1", Zone: "north", Size: size}, Limits{}, rc, func() time.Time { return wo.at })
	for num := range 19 {
		id := ids.EntryID(fmt.Sprintf("entry-%02d", num+1))
		en.PutMember(Member{Self: Self{Incarnation: ids.Incarnation(id + "/1"), Zone: "north", Size: 1 + float64(num)/100}, Version: Version(num + 1)})
		en.SessionUp(id, ids.Incarnation(id+"/1"))
		en.InboundUp(id, 1)
	}
	wo.tick(en, time.Second)
	return wo, en, rc
}

// newsOf counts the messages about a worker in a state.
func (rc *recorder) newsOf(id ids.WorkerID, state WorkerState) int {
	count := 0
	for _, msg := range rc.sent {
		news, _ := msg.(WorkerNews)
		for _, info := range news.Workers {
			if info.ID == id && info.State == state {
				count++
			}
		}
	}
	return count
}

// TestRoomShrinks guards against tasks that are started beyond the room of a worker
// that has shrunk while it runs. Its holder may be unable to read the report.
func TestRoomShrinks(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name    string
		entries int
		fault   func(wo *world)
	}{
		{"calm", 7, func(*world) {}},
		{"holder cut off from the store", 7, func(wo *world) { wo.cutFromStore("entry-01", 9*time.Second) }},
		{"half of the holders cut off from the store", 7, func(wo *world) {
			for _, id := range []ids.EntryID{"entry-01", "entry-03", "entry-05"} {
				wo.cutFromStore(id, 9*time.Second)
			}
		}},
		{"holder cut off from the store in a fleet with watchers", 20, func(wo *world) { wo.cutFromStore("entry-01", 9*time.Second) }},
		{"holder killed", 7, func(wo *world) { wo.entries["entry-01"].kill() }},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+980, row.entries, 48)
			wo.load(standardKinds, 0.8, 24*time.Second)
			wo.run(2 * time.Second)
			row.fault(wo)
			for _, wk := range wo.sortedWorkers() {
				cpu := wk.info.Room.CPU
				wk.resize(cpu / 2)
				wo.after(14*time.Second, func() { wk.resize(cpu) })
			}
			wo.run(18 * time.Second)
			before, beforeInTime := wo.jobCounts()
			wo.run(6 * time.Second)
			after, afterInTime := wo.jobCounts()
			if share := float64(afterInTime-beforeInTime) / float64(after-before); share < 0.8 {
				t.Errorf("%.3f of the jobs are in time after the room has grown again, want 0.80 or more", share)
			}
			wo.check(t)
		})
	}
}

// cutFromStore partitions an entry from the store for the given time.
func (wo *world) cutFromStore(id ids.EntryID, du time.Duration) {
	wo.storeCut[id] = true
	wo.after(du, func() { delete(wo.storeCut, id) })
}

// TestForwardedNewsPassedOn guards against entries that start tasks on a worker
// long after it has begun to drain. A watcher of another zone read the change
// first and sent it to the watchers of the worker's zone. These saw no change in
// the report that they read later, so entries without a session to the other
// zone's watcher were not informed.
func TestForwardedNewsPassedOn(t *testing.T) {
	t.Parallel()
	wo, en, rc := newWatched(2)
	info := WorkerInfo{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 5}
	en.PutWorker(info)
	en.TableRead(TableWorkers, wo.at)
	info.State, info.Version = WorkerDraining, 6
	en.Receive("entry-07", WorkerNews{Workers: []WorkerInfo{info}})
	en.PutWorker(info)
	wo.tick(en, 2*TickInterval)
	if got := rc.newsOf("w", WorkerDraining); got != 19 {
		t.Errorf("%d of 19 entries are informed that the worker drains", got)
	}
	// The change comes back from the others and is not passed on again.
	en.Receive("entry-08", WorkerNews{Workers: []WorkerInfo{info}})
	wo.tick(en, 2*TickInterval)
	if got := rc.newsOf("w", WorkerDraining); got != 19 {
		t.Errorf("the change is sent %d times to 19 entries", got)
	}
}

// TestNewWatcherSendsSnapshots guards against changes that are never forwarded:
// a watcher that dies has sent them to the entry that replaces it, but not to
// the others.
func TestNewWatcherSendsSnapshots(t *testing.T) {
	t.Parallel()
	wo, en, rc := newWatched(1.165) // the third largest
	en.PutPolledWorker(WorkerInfo{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 5})
	en.Receive("entry-19", WorkerNews{Workers: []WorkerInfo{{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerDraining, Version: 6}}})
	if en.FollowsWorkers() {
		t.Fatal("the entry is a watcher from the start")
	}
	en.SessionDown("entry-19", "reset")
	en.ConnectionRefused("entry-19")
	wo.tick(en, heartbeatTimeoutRefused+time.Second)
	if !en.FollowsWorkers() {
		t.Fatal("the entry is not a watcher after a larger one has died")
	}
	en.TableRead(TableWorkers, wo.at)
	if got := rc.newsOf("w", WorkerDraining); got != 18 {
		t.Errorf("%d of 18 entries are informed that the worker drains", got)
	}
}
