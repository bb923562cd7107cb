package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// incarnationWorld returns an entry that has run for a minute and has read the
// report of one worker in its zone.
func incarnationWorld() (*world, *Entry) {
	wo := newWorld(4)
	en := New(Self{Incarnation: "entry-00/1", Zone: "north", Size: 1}, Limits{}, &emuEffects{ee: &emuEntry{wo: wo}}, func() time.Time { return wo.at })
	wo.at = wo.at.Add(time.Minute)
	en.PutWorker(WorkerInfo{ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 5})
	return wo, en
}

func rowOf(inc ids.Incarnation, version Version) Member {
	return Member{Self: Self{Incarnation: inc, Zone: "north", Size: 1}, Version: version, Heartbeat: int64(version)}
}

// claimsAndGone reports whether the entry claims the worker, and whether the
// owner counts as gone, right after a complete read of the rows of entries and
// holders.
func (en *Entry) claimsAndGone(wo *world, owner ids.Incarnation) (claims, gone bool) {
	wo.at = wo.at.Add(time.Millisecond)
	en.TableRead(TableHolders, wo.at)
	ro := newRoster([]Member{{Self: en.self}})
	return len(en.claimChanges(ro, wo.at)) > 0, en.ownerGone(owner, wo.at)
}

// TestLaterIncarnation guards against workers and stored jobs that are claimed
// from an entry that has just restarted. This happens if an earlier incarnation
// is mistaken for the later one, because its session is still up or because
// only its row has been read.
func TestLaterIncarnation(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		learn func(wo *world, en *Entry)
		// named is set if a holder's row names other/2.
		named bool
	}{
		{"session with the earlier one is up", func(wo *world, en *Entry) {
			en.PutMember(rowOf("other/1", 10))
			en.SessionUp("other", "other/1")
			en.Answered("other", wo.at)
			wo.at = wo.at.Add(100 * time.Millisecond)
			en.PutMember(rowOf("other/2", 20))
		}, true},
		{"holder's row is read while the session is up", func(wo *world, en *Entry) {
			en.PutMember(rowOf("other/1", 10))
			en.SessionUp("other", "other/1")
			en.Answered("other", wo.at)
			wo.at = wo.at.Add(100 * time.Millisecond)
		}, true},
		{"row of the earlier one is read late", func(wo *world, en *Entry) {
			en.PutMember(rowOf("other/1", 10))
			en.SessionUp("other", "other/2")
			wo.at = wo.at.Add(100 * time.Millisecond)
			en.Answered("other", wo.at)
			en.PutMember(rowOf("other/2", 20))
			wo.at = wo.at.Add(100 * time.Millisecond)
			en.PutMember(rowOf("other/1", 30))
		}, true},
		{"earlier one is met late", func(_ *world, en *Entry) {
			en.AddMember(Self{Incarnation: "other/1", Zone: "north", Size: 1})
		}, false},
		{"row of the later one is not read yet", func(_ *world, en *Entry) {
			en.PutMember(rowOf("other/1", 10))
		}, false},
		{"no row of the entry is read yet", func(*world, *Entry) {}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			wo, en := incarnationWorld()
			row.learn(wo, en)
			en.PutRecord(JobRecord{ID: "0000000000000001", State: JobAccepted, Owner: "other/2", Epoch: 1, Version: 25})
			if row.named {
				en.PutHolderRow(HolderRow{Worker: "w", Holder: "other/2", Version: 25})
			}
			claims, gone := en.claimsAndGone(wo, "other/2")
			if row.named && claims {
				t.Error("the worker of the later incarnation is claimed")
			}
			if gone {
				t.Error("the later incarnation counts as gone as an owner")
			}
		})
	}
}

// TestEarlierIncarnation guards against workers and stored jobs that stay with
// an incarnation although its entry has provably started a later one.
func TestEarlierIncarnation(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name          string
		before, after func(wo *world, en *Entry) // run before and after the rows that name other/1 are read
	}{
		{"row of the later one is read", putEarlier, func(_ *world, en *Entry) {
			en.PutMember(rowOf("other/2", 20))
		}},
		{"row of the later one is read while a session is up", putEarlier, func(wo *world, en *Entry) {
			en.SessionUp("other", "other/1")
			en.Answered("other", wo.at)
			en.PutMember(rowOf("other/2", 20))
		}},
		{"the later one answers", putEarlier, func(wo *world, en *Entry) {
			en.SessionUp("other", "other/2")
			en.Answered("other", wo.at)
		}},
		{"the later one still answers", func(wo *world, en *Entry) {
			en.SessionUp("other", "other/2")
			en.Answered("other", wo.at)
		}, func(wo *world, en *Entry) {
			en.PutMember(rowOf("other/1", 10))
			wo.at = wo.at.Add(100 * time.Millisecond)
			en.Answered("other", wo.at)
		}},
		{"only the row of the later one is there", func(_ *world, en *Entry) {
			en.PutMember(rowOf("other/2", 20))
		}, func(*world, *Entry) {}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			wo, en := incarnationWorld()
			row.before(wo, en)
			en.PutHolderRow(HolderRow{Worker: "w", Holder: "other/1", Version: 11})
			en.PutRecord(JobRecord{ID: "0000000000000001", State: JobAccepted, Owner: "other/1", Epoch: 1, Version: 12})
			wo.at = wo.at.Add(time.Second)
			row.after(wo, en)
			claims, gone := en.claimsAndGone(wo, "other/1")
			if !claims {
				t.Error("the worker of the earlier incarnation is not claimed")
			}
			if !gone {
				t.Error("the earlier incarnation does not count as gone as an owner")
			}
		})
	}
}

// TestCandidatesAfterRestart guards against an entry that counts itself as the
// only one that may hold workers, because the rows that it has read name ended
// incarnations of entries that answer again, and against candidates that are not
// known to run.
func TestCandidatesAfterRestart(t *testing.T) {
	t.Parallel()
	self := Self{Incarnation: "other/2", Zone: "north", Size: 1}
	rows := []struct {
		name  string
		learn func(wo *world, en *Entry)
		want  ids.Incarnation // "" if the other entry is no candidate
	}{
		{"the later one answers before its row is read", func(_ *world, en *Entry) {
			en.AddMember(self)
			en.SessionUp("other", "other/2")
		}, "other/2"},
		{"the row of the earlier one says that it leaves", func(_ *world, en *Entry) {
			mb := rowOf("other/1", 11)
			mb.Leaving = true
			en.PutMember(mb)
			en.AddMember(self)
			en.SessionUp("other", "other/2")
		}, "other/2"},
		{"the later one answers and leaves", func(_ *world, en *Entry) {
			en.AddMember(self)
			en.SessionUp("other", "other/2")
			en.HandlePeerLoad("other", Load{Leaving: true})
		}, ""},
		{"the later one answers, but its messages do not arrive", func(_ *world, en *Entry) {
			en.SessionUp("other", "other/2")
		}, ""},
		{"the session with the later one has ended", func(_ *world, en *Entry) {
			en.AddMember(self)
			en.SessionUp("other", "other/2")
			en.Answered("other", en.now())
			en.SessionDown("other", "reset")
		}, ""},
		{"the earlier one still answers", func(_ *world, en *Entry) {
			en.AddMember(self)
			en.SessionUp("other", "other/1")
		}, "other/1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			wo, en := incarnationWorld()
			putEarlier(wo, en)
			wo.at = wo.at.Add(100 * time.Millisecond)
			row.learn(wo, en)
			en.Answered("other", wo.at)
			var got ids.Incarnation
			for _, mb := range en.candidates(wo.at) {
				if mb.Incarnation.Entry() == "other" {
					got = mb.Incarnation
				}
			}
			if got != row.want {
				t.Errorf("the candidate is %q, want %q", got, row.want)
			}
		})
	}
}

// TestReturnOfAllEntries guards against one entry that claims all workers after
// all entries have restarted at once. The entries have sessions with each other
// before they can read each other's new rows.
func TestReturnOfAllEntries(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		wo := standardWorld(seed+600, 6, 48)
		wo.firstHeartbeat, wo.dialDelay, wo.exchangeInterval = 700*time.Millisecond, 0, 20*time.Millisecond
		wo.load(standardKinds, 0.5, 4*time.Second)
		wo.run(time.Second)
		wo.restartAll(500 * time.Millisecond)
		wo.run(1100 * time.Millisecond)
		held := 0
		for _, ee := range wo.sortedEntries() {
			held += ee.en.Held()
			// Weighted rendezvous hashing gives six entries 8 workers each on average.
			if ee.en.Held() > 24 {
				t.Errorf("seed %d: entry %s holds %d of 48 workers", seed, ee.id, ee.en.Held())
			}
		}
		if held < 40 {
			t.Errorf("seed %d: %d of 48 workers have a holder 0.6 s after the return", seed, held)
		}
		wo.run(5 * time.Second)
		wo.check(t)
		wo.checkAnswered(t)
	}
}

func putEarlier(_ *world, en *Entry) { en.PutMember(rowOf("other/1", 10)) }
