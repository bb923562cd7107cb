package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// longKinds returns kinds of job whose tasks outlast the time after which an
// owner starts lost tasks again.
func longKinds() []kind {
	return []kind{
		{queue: "fit", perS: 20, width: 2, work: 500 * time.Millisecond},
		{queue: "pair", perS: 10, width: 4, work: 2500 * time.Millisecond},
	}
}

// cutFromEntries partitions an entry from the other entries for the given time.
// It still reaches the store and the workers.
func (wo *world) cutFromEntries(name string, du time.Duration) {
	for _, other := range wo.sortedEntries() {
		wo.setCut(name, string(other.id), true)
		wo.after(du, func() { wo.setCut(name, string(other.id), false) })
	}
}

// resetOutgoing ends the sessions of an entry towards the others without
// notifying them.
func (wo *world) resetOutgoing(name ids.EntryID) {
	for _, other := range wo.sortedEntries() {
		wo.entries[name].en.SessionDown(other.id, "reset")
	}
}

// loseStops makes all workers execute stops late and without a reply.
func (wo *world) loseStops(late time.Duration) {
	for _, wk := range wo.sortedWorkers() {
		wk.lateStops = late
	}
}

// resendPause is the pause after which a caller that has lost its connection
// sends its job again.
const resendPause = 1300 * time.Millisecond

// resend cancels the jobs of an entry and sends them to another one.
func (wo *world) resend(from, to *emuEntry) {
	for _, id := range sortedKeys(from.en.jobs) {
		sub := from.en.jobs[id].Submission
		from.en.Cancel(id, "connection closed")
		wo.after(resendPause, func() {
			sub.Arrived, sub.Deadline, sub.Done = wo.at, wo.at.Add(4*time.Second), func(Outcome) {}
			// The refusal, if any, was for the first submission.
			wo.jobs[id].refused = false
			to.en.Submit(sub)
		})
	}
}

// TestUnconfirmedStops guards against two concurrent runs of a task. Its owner
// starts it again, while the holder of the first run can't stop that run and
// keeps extending the lease of the worker.
func TestUnconfirmedStops(t *testing.T) {
	t.Parallel()
	const never = time.Hour
	rows := []struct {
		name  string
		late  time.Duration // of the stops
		fault func(wo *world)
		kinds []kind
	}{
		{"owner cut off, stops lost", never, func(wo *world) { wo.cutFromEntries("entry-01", 6*time.Second) }, longKinds()},
		{"owner cut off, stops late", 1200 * time.Millisecond, func(wo *world) { wo.cutFromEntries("entry-01", 6*time.Second) }, longKinds()},
		{"owner cut off and its connections reset, stops lost", never, func(wo *world) {
			wo.cutFromEntries("entry-01", 6*time.Second)
			wo.resetOutgoing("entry-01")
		}, longKinds()},
		{"holder cut off and slow, stops lost", never, func(wo *world) {
			wo.cutFromEntries("entry-02", 6*time.Second)
			wo.after(600*time.Millisecond, func() { wo.entries["entry-02"].freeze(pauseLimit - TickInterval) })
		}, longKinds()},
		{"owner cut off while holders pass their workers on, stops lost", never, func(wo *world) {
			wo.cutFromEntries("entry-01", 6*time.Second)
			wo.after(100*time.Millisecond, func() { wo.entries["entry-02"].en.Leave() })
			wo.after(700*time.Millisecond, func() { wo.entries["entry-03"].en.Leave() })
		}, longKinds()},
		{"holder killed, owner cut off, stops lost", never, func(wo *world) {
			wo.cutFromEntries("entry-01", 6*time.Second)
			wo.entries["entry-02"].kill()
			wo.after(300*time.Millisecond, func() { wo.entries["entry-02"].start(0.4) })
		}, longKinds()},
		{"owner of stored jobs restarts, stops lost", never, func(wo *world) {
			wo.entries["entry-01"].kill()
			wo.after(500*time.Millisecond, func() { wo.entries["entry-01"].start(0.4) })
		}, storedKinds()},
		{"owner of stored jobs cut off, stops lost", never, func(wo *world) { wo.cutFromEntries("entry-01", 6*time.Second) }, storedKinds()},
		{"jobs sent again to another entry, stops lost", never, func(wo *world) {
			wo.resend(wo.entries["entry-01"], wo.entries["entry-03"])
		}, longKinds()},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+800, 7, 48)
			wo.load(row.kinds, 1, 15*time.Second)
			wo.run(5 * time.Second)
			wo.loseStops(row.late)
			row.fault(wo)
			wo.run(5 * time.Second)
			wo.loseStops(0)
			wo.run(20 * time.Second)
			wo.check(t)
		})
	}
}

// TestConfirmedStops guards against leases that expire while stops take effect,
// which would end the other tasks on the workers.
func TestConfirmedStops(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world)
	}{
		{"owner cut off", func(wo *world) { wo.cutFromEntries("entry-01", 6*time.Second) }},
		{"owner killed", func(wo *world) { wo.entries["entry-01"].kill() }},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+820, 7, 48)
			wo.load(longKinds(), 0.6, 15*time.Second)
			held := map[string]bool{}
			wo.run(5 * time.Second)
			for _, id := range sortedKeys(wo.entries["entry-01"].en.workers) {
				held[string(id)] = true
			}
			row.fault(wo)
			wo.run(20 * time.Second)
			wo.check(t)
			for _, wk := range wo.sortedWorkers() {
				// The workers of a killed entry have no holder for a while.
				if wk.lapses > 0 && !held[string(wk.info.ID)] {
					t.Errorf("the lease of worker %s expired and ended %d runs", wk.info.ID, wk.lapses)
				}
			}
		})
	}
}

// TestLeaseOfSilentOwner guards against a run that outlasts lostTaskTimeout
// because its holder detects late that the owner is silent. The lease must end
// contactLease after their last contact, even if the stops get lost.
func TestLeaseOfSilentOwner(t *testing.T) {
	t.Parallel()
	wo := standardWorld(840, 7, 48)
	wo.load(longKinds(), 1.2, 5*time.Second)
	wo.run(5 * time.Second)
	wo.loseStops(time.Hour)
	wo.cutFromEntries("entry-01", 4*time.Second)
	wo.resetOutgoing("entry-01")
	owner := wo.entries["entry-01"]
	type place struct {
		wk  *emuWorker
		ref TaskRef
	}
	limits := map[place]WorkerTime{}
	for _, wk := range wo.sortedWorkers() {
		for _, run := range wk.sortedRuns() {
			if _, ta := owner.en.currentTask(run.ref); ta != nil && ta.holder != owner.id {
				limits[place{wk, run.ref}] = wk.clock() + WorkerTime(contactLease)
			}
		}
	}
	const least = 4
	if len(limits) < least {
		t.Fatalf("%d tasks of the owner run at other holders, want %d or more", len(limits), least)
	}
	for range 150 {
		wo.run(TickInterval)
		for pl, limit := range limits {
			if pl.wk.runs[pl.ref] != nil && pl.wk.lease > limit {
				t.Errorf("the lease of %v on %s is %s beyond its limit", pl.ref, pl.wk.info.ID, time.Duration(pl.wk.lease-limit))
				delete(limits, pl)
			}
		}
	}
	wo.check(t)
}
