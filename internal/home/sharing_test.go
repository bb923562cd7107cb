package home

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/target"
)

const zone = ids.AvailabilityZone("nalon")

// pair returns a cluster with one target of 8 slots, the entry that is its home,
// and an entry that borrows.
func pair(t *testing.T) (*cluster, *testEntry, *testEntry) {
	cl := newCluster(t, 1, zone)
	cl.add(zone)
	cl.add(zone)
	cl.run(time.Second)
	for i, en := range cl.entries {
		if en.co.targets["target-0"].home != nil {
			return cl, en, cl.entries[1-i]
		}
	}
	t.Fatal("no entry has claimed the target")
	return nil, nil, nil
}

// TestSplitMembership guards against two entries that together use more than
// the 8 slots of a target while neither has a record of the other.
func TestSplitMembership(t *testing.T) {
	gm := NewWithT(t)
	cl := newCluster(t, 1, zone)
	one, two := cl.add(zone), cl.add(zone)
	one.setAlive(one)
	two.setAlive(two)
	for range 40 {
		one.takeAll()
		two.takeAll()
		cl.run(200 * time.Millisecond)
		one.releaseAll()
		two.releaseAll()
	}
	gm.Expect(one.total() + two.total()).To(Equal(8))
}

// TestLoansFollowDemand guards against slots that stay with an entry that does
// not need them.
func TestLoansFollowDemand(t *testing.T) {
	gm := NewWithT(t)
	cl, ho, bo := pair(t)
	bo.waiting = 20
	cl.run(600 * time.Millisecond)
	gm.Expect(bo.total()).To(Equal(7), "the home keeps a reserve of one slot")
	ho.waiting = 20
	cl.run(2 * time.Second)
	gm.Expect(ho.total()).To(Equal(4), "equal sizes share equally under overload")
	bo.waiting, ho.waiting = 0, 0
	cl.run(2 * time.Second)
	gm.Expect(bo.total()).To(Equal(1), "unused slots are returned except for the borrower's reserve")
}

// TestPausedBorrower guards against a process that is paused past the end of a
// loan and uses the loan after SIGCONT, before any of its controllers has run.
func TestPausedBorrower(t *testing.T) {
	gm := NewWithT(t)
	cl, ho, bo := pair(t)
	bo.waiting = 20
	cl.run(time.Second)
	gm.Expect(bo.total()).To(Equal(7))
	bo.stopped.Store(true)
	ho.waiting = 20
	cl.run(DefaultTerms.Outstanding() + lendingTick)
	gm.Expect(ho.total()).To(Equal(8))
	bo.takeAll()
	gm.Expect(bo.used).To(BeEmpty())
	bo.stopped.Store(false)
	cl.run(time.Second)
}

// TestPartitionInZone guards against a home that reuses slots while a borrower
// on the other side of a partition still uses them.
func TestPartitionInZone(t *testing.T) {
	gm := NewWithT(t)
	cl, ho, bo := pair(t)
	bo.waiting = 20
	cl.run(time.Second)
	bo.takeAll()
	cl.cut[bo.id] = true
	ho.waiting = 20
	cl.run(DefaultTerms.Use)
	gm.Expect(ho.total()).To(Equal(1), "the loan is still counted")
	bo.releaseAll()
	cl.run(DefaultTerms.Margin + lendingTick)
	gm.Expect([]int{ho.total(), bo.total()}).To(Equal([]int{8, 0}))
	cl.cut[bo.id] = false
	cl.run(2 * time.Second)
	gm.Expect(bo.total()).To(Equal(4))
}

// TestTakeOver guards against a home that is taken over on suspicion alone, and
// against targets that stay unused after proof that their home has ended.
func TestTakeOver(t *testing.T) {
	gm := NewWithT(t)
	cl, ho, bo := pair(t)
	ho.stopped.Store(true)
	bo.setAlive(bo)
	cl.run(10 * time.Second)
	gm.Expect(bo.co.targets["target-0"].home).To(BeNil(), "there is no proof yet")
	ho.endWithProof()
	cl.run(DefaultTerms.Outstanding() + 2*claimTick)
	gm.Expect(bo.total()).To(Equal(8))
}

// TestLostClaimReplies guards against two homes of one target, and against a
// claim that has no effect because its reply was lost.
func TestLostClaimReplies(t *testing.T) {
	gm := NewWithT(t)
	cl := newCluster(t, 6, zone)
	one, two := cl.add(zone), cl.add(zone)
	cl.table.SetFaults(standin.TableFaults{DropReplies: 1})
	cl.run(2 * time.Second)
	gm.Expect(one.total() + two.total()).To(Equal(48))
	cl.table.SetFaults(standin.TableFaults{Outage: true})
	cl.run(20 * time.Second)
	gm.Expect(one.total()+two.total()).To(Equal(48), "an outage changes nothing")
	cl.table.SetFaults(standin.TableFaults{})
	cl.run(2 * time.Second)
	gm.Expect(one.total() + two.total()).To(Equal(48))
}

// TestLeaveAndJoin guards against targets that stay unused after a graceful
// leave, and against a new entry that gets no homes.
func TestLeaveAndJoin(t *testing.T) {
	gm := NewWithT(t)
	cl := newCluster(t, 12, zone)
	one, two := cl.add(zone), cl.add(zone)
	cl.run(time.Second)
	one.stopped.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	one.co.Leave(ctx)
	cl.run(2 * claimTick)
	gm.Expect([]int{one.total(), two.total()}).To(Equal([]int{0, 96}))
	three := cl.add(zone)
	one.endWithProof()
	cl.run(10 * time.Second)
	gm.Expect(cl.homes()[three.co.opt.Self.ID]).To(BeNumerically(">=", 3))
	gm.Expect(two.total() + three.total()).To(Equal(96))
}

// TestZoneWithoutEntry guards against targets that stay unused because their
// zone has no entry, and against homes claimed or kept by an entry of another
// zone although the zone has an entry.
func TestZoneWithoutEntry(t *testing.T) {
	gm := NewWithT(t)
	cl := newCluster(t, 4, zone, "cimadevilla")
	en := cl.add(zone)
	cl.run(otherZoneDelay - time.Second)
	gm.Expect(en.total()).To(Equal(16), "the list lags: the other zone may have an entry")
	cl.run(2 * time.Second)
	gm.Expect(en.total()).To(Equal(32))
	late := cl.add("cimadevilla")
	cl.run(10 * time.Second)
	gm.Expect([]int{en.total(), late.total()}).To(Equal([]int{16, 16}))
}

// TestForward guards against a request that runs twice, that is forwarded
// without benefit, or that competes with waiting requests of the peer.
func TestForward(t *testing.T) {
	for _, row := range []struct {
		name    string
		prepare func(cl *cluster, ho *testEntry)
		wait    time.Duration
		done    bool
		outcome outcome.Kind
		runs    int
	}{
		{"free slots", func(*cluster, *testEntry) {}, time.Second, true, "", 1},
		{"wait shorter than round trip", func(*cluster, *testEntry) {}, 500 * time.Microsecond, false, "", 0},
		{"requests waiting at peer", func(_ *cluster, ho *testEntry) { ho.waiting = 1 }, time.Second, false, "", 0},
		{"no free slot", func(_ *cluster, ho *testEntry) { ho.takeAll() }, time.Second, false, "", 0},
		{"peer unreachable", func(cl *cluster, ho *testEntry) { cl.cut[ho.id] = true }, time.Second, false, "", 0},
		{"answer lost", func(cl *cluster, _ *testEntry) { cl.dropAnswers = true }, time.Second, true, outcome.Unknown, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			gm := NewWithT(t)
			cl, ho, bo := pair(t)
			cl.run(time.Second)
			row.prepare(cl, ho)
			req := target.Request{ID: "1", Service: "fitdesk", Deadline: time.Now().Add(time.Minute)}
			_, done, err := bo.co.Forwarder().Forward(context.Background(), req, row.wait)
			gm.Expect(done).To(Equal(row.done))
			gm.Expect(ho.runs).To(Equal(row.runs))
			if row.outcome != "" {
				gm.Expect(outcome.From(err).Outcome).To(Equal(row.outcome))
			}
			req.Forwarded = true
			_, done, _ = bo.co.Forwarder().Forward(context.Background(), req, time.Minute)
			gm.Expect(done).To(BeFalse(), "one hop at most")
		})
	}
}

// TestUnknownOwner guards against a home that stays unused forever because its
// owner ended before any current entry received a heartbeat from it, and against
// a takeover from an owner that has only just started.
func TestUnknownOwner(t *testing.T) {
	start := time.Now()
	for _, row := range []struct {
		name        string
		listed      bool
		heartbeatAt time.Duration // time of a heartbeat of another incarnation, 0 for none
		elapsed     time.Duration
		gone        bool
	}{
		{"listed without heartbeat", true, 0, time.Hour, false},
		{"not listed yet", false, 0, unlistedFor, false},
		{"unlisted for longer than the limit", false, 0, unlistedFor + time.Second, true},
		{"early heartbeat of another incarnation", true, time.Second, time.Hour, false},
		{"late heartbeat of another incarnation", true, replacedAfter + time.Second, time.Hour, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			uo := &unknownOwner{firstSeen: start}
			mem := &blackboard.Members{Alive: map[ids.EntryID]blackboard.Member{}}
			if row.heartbeatAt > 0 {
				mem.Alive["entry-9"] = blackboard.Member{Incarnation: "entry-9/2", LastHeard: start.Add(row.heartbeatAt)}
			}
			for _, fetched := range []time.Duration{0, row.elapsed} {
				uo.update(mem, &blackboard.VMs{Fetched: start.Add(fetched)}, "entry-9", row.listed)
			}
			NewWithT(t).Expect(uo.gone).To(Equal(row.gone))
		})
	}
}
