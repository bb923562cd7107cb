package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/pausedetect"
)

const testInterval = 100 * time.Millisecond

// node is the membership part of one entry.
type node struct {
	id      ids.EntryID
	board   *blackboard.Board
	srv     *Server
	pool    *Pool
	me      *Membership
	cnt     *counter.Set
	inc     ids.Incarnation
	stopped bool
}

func startNode(tb testing.TB, id, zone, listen string, interval time.Duration) *node {
	tb.Helper()
	srv, err := Listen(listen)
	if err != nil {
		tb.Fatal(err)
	}
	nd := &node{
		id:    ids.EntryID(id),
		board: &blackboard.Board{},
		srv:   srv,
		pool:  NewPool(),
		cnt:   counter.New(),
		inc:   ids.NewIncarnation(ids.EntryID(id)),
	}
	det := pausedetect.New(10 * time.Second)
	nd.me, err = NewMembership(MembershipOptions{
		Board:  nd.board,
		Server: srv,
		Pool:   nd.pool,
		Self: blackboard.Member{
			ID:               nd.id,
			Incarnation:      nd.inc,
			AvailabilityZone: ids.AvailabilityZone(zone),
			PeerAddress:      srv.Address(),
			Size:             1,
		},
		Interval: interval,
		Pause:    det,
		Counters: nd.cnt,
		Log:      zerolog.Nop(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	srv.Start()
	nd.me.Start()
	tb.Cleanup(func() {
		det.Close()
		nd.stop()
	})
	return nd
}

// stop stops the node without a leave message, as in a crash.
func (nd *node) stop() {
	if !nd.stopped {
		nd.stopped = true
		nd.me.Close()
		nd.srv.Close()
		nd.pool.Close()
	}
}

func (nd *node) publishList(vms ...ids.VM) {
	nd.board.VMs.Publish(&blackboard.VMs{Fetched: time.Now(), Entries: vms})
}

func listedEntry(id ids.EntryID, addr string) ids.VM {
	return ids.VM{ID: string(id), Kind: ids.KindEntry, PeerAddress: addr}
}

func eventually(tb testing.TB, bound time.Duration, what string, done func() bool) {
	tb.Helper()
	for began := time.Now(); time.Since(began) < bound; time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	tb.Fatalf("waited %s for: %s", bound, what)
}

func (nd *node) alive(id ids.EntryID) bool {
	_, ok := nd.board.Members.Load().Alive[id]
	return ok
}

func (nd *node) suspect(id ids.EntryID) bool {
	_, ok := nd.board.Members.Load().Suspect[id]
	return ok
}

func (nd *node) gone(inc ids.Incarnation) blackboard.GoneReason {
	return nd.board.Members.Load().Gone[inc]
}

func newTestProxy(tb testing.TB, addr string) *faultproxy.Proxy {
	tb.Helper()
	px, err := faultproxy.New(addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(px.Close)
	return px
}

// pair starts two entries that reach each other through proxies.
func pair(t *testing.T) (a, b *node, toA, toB *faultproxy.Proxy) {
	t.Helper()
	a = startNode(t, "entry-a", "north", "127.0.0.1:0", testInterval)
	b = startNode(t, "entry-b", "south", "127.0.0.1:0", testInterval)
	toA, toB = newTestProxy(t, a.srv.Address()), newTestProxy(t, b.srv.Address())
	vms := []ids.VM{listedEntry(a.id, toA.Address()), listedEntry(b.id, toB.Address())}
	a.publishList(vms...)
	b.publishList(vms...)
	eventually(t, 5*time.Second, "each entry is alive for the other", func() bool { return a.alive(b.id) && b.alive(a.id) })
	return a, b, toA, toB
}

// TestPartitionDoesNotProveEnd guards against a partition that counts as proof
// that an entry has ended: a cut-off entry stays suspect, and both sides agree
// soon after the partition heals.
func TestPartitionDoesNotProveEnd(t *testing.T) {
	t.Parallel()
	a, b, toA, toB := pair(t)
	toA.SetFaults(faultproxy.Faults{Cut: true})
	toB.SetFaults(faultproxy.Faults{Cut: true})
	eventually(t, 5*time.Second, "both suspect each other", func() bool { return a.suspect(b.id) && b.suspect(a.id) })
	time.Sleep(10 * testInterval)
	if len(a.board.Members.Load().Gone) > 0 || len(b.board.Members.Load().Gone) > 0 {
		t.Fatal("an entry behind a partition counts as gone")
	}
	toA.SetFaults(faultproxy.Faults{})
	toB.SetFaults(faultproxy.Faults{})
	eventually(t, 4*time.Second, "both agree again", func() bool { return a.alive(b.id) && b.alive(a.id) })
}

// TestOneWayPartition guards against false suspicion when connections can be
// opened in one direction only: heartbeats of the other side serve both.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	for _, blocked := range []string{"caller", "answerer"} {
		a, b, toA, toB := pair(t)
		if blocked == "caller" {
			toB.SetFaults(faultproxy.Faults{Cut: true}) // entry-a, which calls, cannot connect
		} else {
			toA.SetFaults(faultproxy.Faults{Cut: true})
		}
		time.Sleep(10 * testInterval)
		if !a.alive(b.id) || !b.alive(a.id) {
			t.Fatalf("blocked %s: an entry is falsely suspected: %+v %+v", blocked, a.board.Members.Load(), b.board.Members.Load())
		}
	}
}

// TestSilentConnection guards against a connection that never responds again and
// keeps an entry suspect although new connections work.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	a, b, toA, toB := pair(t)
	opened := toA.Opened() + toB.Opened()
	toA.SetFaults(faultproxy.Faults{FreezeExisting: true})
	toB.SetFaults(faultproxy.Faults{FreezeExisting: true})
	began := time.Now()
	eventually(t, 5*time.Second, "a new connection", func() bool { return toA.Opened()+toB.Opened() > opened })
	// Two intervals, and one more for a loaded test machine.
	if took := time.Since(began); took > 3*testInterval {
		t.Errorf("new connection opened only after %s", took)
	}
	eventually(t, 5*time.Second, "a heartbeat on it", func() bool {
		mem, ok := a.board.Members.Load().Alive[b.id]
		return ok && mem.LastHeard.After(began.Add(testInterval))
	})
}

// TestGoneReasons guards against an entry that has ended but does not count as
// gone, and against a wrong reason.
func TestGoneReasons(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		reason blackboard.GoneReason
		cause  func(a, b *node)
	}{
		{blackboard.GoneRefused, func(_, b *node) { b.stop() }},
		{blackboard.GoneLeft, func(_, b *node) { b.me.Leave(context.Background()) }},
		{blackboard.GoneReplaced, func(_, b *node) {
			addr := b.srv.Address()
			b.stop()
			startNode(t, string(b.id), "south", addr, testInterval)
		}},
		{blackboard.GoneReplaced, func(_, b *node) {
			addr := b.srv.Address()
			b.stop()
			startNode(t, "entry-c", "south", addr, testInterval)
		}},
		{blackboard.GoneUnlisted, func(a, b *node) {
			addr := b.srv.Address()
			b.stop()
			// Another process listens on the address, so no connection is refused.
			ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			for range 4 {
				time.Sleep(testInterval)
				a.publishList(listedEntry(a.id, a.srv.Address()))
			}
		}},
	} {
		a, b, _, _ := pair(t)
		row.cause(a, b)
		eventually(t, 5*time.Second, string(row.reason), func() bool { return a.gone(b.inc) == row.reason })
	}
}

// TestGoneAfterLateList guards against an entry that is never declared gone. It
// called first, so its peer recorded the address that it listens on; the VM list
// that the peer reads later names another address for it.
func TestGoneAfterLateList(t *testing.T) {
	a := startNode(t, "entry-a", "north", "127.0.0.1:0", testInterval)
	b := startNode(t, "entry-b", "north", "127.0.0.1:0", testInterval)
	toA, toB := newTestProxy(t, a.srv.Address()), newTestProxy(t, b.srv.Address())
	a.publishList(listedEntry(a.id, toA.Address()), listedEntry(b.id, toB.Address()))
	eventually(t, 5*time.Second, "the caller is alive for the other", func() bool { return b.alive(a.id) })
	b.publishList(listedEntry(a.id, toA.Address()), listedEntry(b.id, toB.Address()))
	time.Sleep(3 * testInterval)
	a.stop()
	eventually(t, 5*time.Second, "the stopped entry is gone", func() bool { return b.gone(a.inc) == blackboard.GoneRefused })
}

// TestUnlistedEntryAlive guards against a stale list: an entry that sends
// heartbeats is alive even if it is not listed.
func TestUnlistedEntryAlive(t *testing.T) {
	t.Parallel()
	a, b, _, _ := pair(t)
	for range 6 {
		time.Sleep(testInterval)
		a.publishList(listedEntry(a.id, a.srv.Address()))
	}
	if a.gone(b.inc) != "" || !a.alive(b.id) {
		t.Fatalf("an entry that answers counts as gone: %+v", a.board.Members.Load())
	}
}

// TestIdentifiesProcess guards against proofs from addresses that identify no
// single process: loopback addresses of other machines and unspecified
// addresses.
func TestIdentifiesProcess(t *testing.T) {
	for _, row := range []struct {
		addr, own string
		want      bool
	}{
		{"10.0.0.5:7000", "10.0.0.6:7000", true},
		{"127.0.0.1:7000", "10.0.0.6:7000", false},
		{"127.0.0.1:7000", "127.0.0.1:7001", true},
		{"0.0.0.0:7000", "10.0.0.6:7000", false},
		{"[::]:7000", "10.0.0.6:7000", false},
		{"", "10.0.0.6:7000", false},
	} {
		if got := identifiesProcess(row.addr, row.own); got != row.want {
			t.Errorf("identifiesProcess(%q, %q) = %v", row.addr, row.own, got)
		}
	}
}

// TestDelayedHeartbeat guards against a delayed heartbeat of an old
// incarnation that ends the current one.
func TestDelayedHeartbeat(t *testing.T) {
	t.Parallel()
	a, b, _, _ := pair(t)
	late := Beat{Incarnation: ids.NewIncarnation(b.id), Identity: &Identity{AvailabilityZone: "south", Size: 1}}
	a.me.handleHeartbeat(&late)
	time.Sleep(5 * testInterval)
	if a.gone(b.inc) != "" {
		t.Fatal("a delayed heartbeat ended the current incarnation")
	}
	eventually(t, 5*time.Second, "the old incarnation is replaced", func() bool {
		return a.gone(late.Incarnation) == blackboard.GoneReplaced && a.board.Members.Load().Alive[b.id].Incarnation == b.inc
	})
}

// BenchmarkIdle measures the traffic and the processor time of idle entries.
// One process holds all entries, so both are divided by their number.
func BenchmarkIdle(b *testing.B) {
	const zones = 7
	for _, size := range []int{7, 21, 49} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			var nodes []*node
			var vms []ids.VM
			for i := range size {
				nd := startNode(b, fmt.Sprintf("entry-%02d", i), fmt.Sprintf("zone-%d", i%zones), "127.0.0.1:0", 500*time.Millisecond)
				nodes = append(nodes, nd)
				vms = append(vms, listedEntry(nd.id, nd.srv.Address()))
			}
			for _, nd := range nodes {
				nd.publishList(vms...)
			}
			for _, nd := range nodes {
				eventually(b, 20*time.Second, "all entries are alive for each other", func() bool { return len(nd.board.Members.Load().Alive) == size-1 })
			}
			time.Sleep(2 * time.Second)
			b.ResetTimer()
			for range b.N {
				measureIdle(b, nodes)
			}
		})
	}
}

func measureIdle(b *testing.B, nodes []*node) {
	b.Helper()
	const span = 6 * time.Second
	bytes := func() (sum int64) {
		for _, nd := range nodes {
			r, s := nd.pool.Traffic().Bytes()
			r2, s2 := nd.srv.Traffic().Bytes()
			sum += r + s + r2 + s2
		}
		return sum
	}
	cpu, sum := processorTime(b), bytes()
	time.Sleep(span)
	size := float64(len(nodes))
	b.ReportMetric(float64(bytes()-sum)/span.Seconds()/size, "bytes/s/entry")
	b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/span.Seconds()/size, "%core/entry")
}
