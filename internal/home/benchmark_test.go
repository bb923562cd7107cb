package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/peer"
	"github.com/oleanderwall/oleanderwall/internal/target"
)

// setUsed makes the entry use up to n slots. Requests for the missing slots wait.
func (en *testEntry) setUsed(n int) {
	gates := en.board.Gates.Load().ByTarget
	for len(en.used) > n {
		last := len(en.used) - 1
		gates[en.used[last]].Release()
		en.used = en.used[:last]
	}
	for id, gate := range gates {
		for len(en.used) < n && gate.TryAcquire() {
			en.used = append(en.used, id)
		}
	}
	en.waiting = n - len(en.used)
}

// BenchmarkLoans measures the messages and bytes of loans in virtual time. The
// demand of every entry changes twice a second, between 0.2 and 1.2 of its share
// of all slots.
func BenchmarkLoans(b *testing.B) {
	for _, row := range []struct{ entries, zones, targets int }{
		{3, 3, 50}, {7, 3, 50}, {21, 7, 50}, {3, 3, 560}, {7, 3, 560}, {21, 7, 560}, {7, 1, 50}, {7, 1, 560}, {21, 1, 560},
	} {
		b.Run(fmt.Sprintf("entries=%d/zones=%d/targets=%d", row.entries, row.zones, row.targets), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			var zones []ids.AvailabilityZone
			for i := range row.zones {
				zones = append(zones, ids.AvailabilityZone(fmt.Sprint("zone-", i)))
			}
			cl := newCluster(b, row.targets, zones...)
			cl.skipChecks = true
			for i := range row.entries {
				cl.add(zones[i%row.zones])
			}
			share := float64(8*row.targets) / float64(row.entries)
			cl.run(15 * time.Second)
			cl.messages, cl.bytes = 0, 0
			granted, wanted := 0, 0
			began := cl.now
			b.ResetTimer()
			for range b.N {
				for range 4 {
					for _, en := range cl.entries {
						en.setUsed(int((0.2 + rnd.Float64()) * share))
					}
					for range 5 {
						cl.run(100 * time.Millisecond)
						for _, en := range cl.entries {
							en.setUsed(len(en.used) + en.waiting)
							granted += len(en.used)
							wanted += len(en.used) + en.waiting
						}
					}
				}
			}
			b.StopTimer()
			seconds := (cl.now - began).Seconds() * float64(row.entries)
			b.ReportMetric(float64(cl.messages)/seconds, "messages/s/entry")
			b.ReportMetric(float64(cl.bytes)/seconds, "bytes/s/entry")
			b.ReportMetric(100*float64(granted)/float64(wanted), "%granted")
		})
	}
}

// BenchmarkRound measures one lending round of an entry that is the home of
// half of the targets and also borrows.
func BenchmarkRound(b *testing.B) {
	for _, targets := range []int{50, 560} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			cl := newCluster(b, targets, zone)
			one := cl.add(zone)
			cl.add(zone)
			cl.run(10 * time.Second)
			b.ResetTimer()
			for range b.N {
				one.co.lendingRound(context.Background())
			}
		})
	}
}

// BenchmarkNewEntry measures in virtual time how long a new entry waits for its
// first 32 slots and for half of its share of the homes, at 12 targets per
// entry.
func BenchmarkNewEntry(b *testing.B) {
	var first, half time.Duration
	for range b.N {
		cl := newCluster(b, 36, zone)
		cl.add(zone)
		cl.add(zone)
		cl.run(5 * time.Second)
		began := cl.now
		late := cl.add(zone)
		late.waiting = 40
		for late.total() < 32 {
			cl.run(50 * time.Millisecond)
		}
		first += cl.now - began
		for cl.homes()[late.co.opt.Self.ID] < 6 {
			cl.run(50 * time.Millisecond)
		}
		half += cl.now - began
	}
	b.ReportMetric(float64(first.Milliseconds())/float64(b.N), "ms-to-32-slots")
	b.ReportMetric(float64(half.Milliseconds())/float64(b.N), "ms-to-half-its-homes")
}

// BenchmarkForward measures the time that forwarding adds to a response: a
// request over net/rpc on loopback to an entry whose target answers immediately.
func BenchmarkForward(b *testing.B) {
	cl := newCluster(b, 8, zone)
	ho, bo := cl.add(zone), cl.add(zone)
	cl.run(10 * time.Second)
	srv, err := peer.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer srv.Close()
	if err := srv.Register(ServiceName, ho.co.Receiver()); err != nil {
		b.Fatal(err)
	}
	srv.Start()
	pool := peer.NewPool()
	defer pool.Close()
	bo.co.opt.ForwardPeers = pool
	bo.co.forwarder.setPeers([]entryView{{id: ho.co.opt.Self.ID, zone: zone, address: srv.Address()}})
	b.ResetTimer()
	for range b.N {
		req := target.Request{ID: "1", Service: "fitdesk", Deadline: time.Now().Add(time.Minute), Body: make([]byte, 1<<10)}
		if _, done, err := bo.co.Forwarder().Forward(context.Background(), req, time.Second); !done || err != nil {
			b.Fatal(done, err)
		}
	}
}
