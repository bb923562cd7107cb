package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

var _ = Describe("slot sharing", func() {
	const targetSlots = 8

	// startSharing starts two entries of one zone. The stand-in targets accept
	// 64 concurrent requests, so that the tests detect requests above the 8
	// slots.
	startSharing := func(targets int) *cluster {
		fleet := defaultFleet()
		fleet.Zones = []ids.AvailabilityZone{"nalon"}
		fleet.Targets, fleet.Workers = targets, 0
		fleet.Slots, fleet.Connections = 64, 1000
		fleet.VMLag = 100 * time.Millisecond
		cl := startCluster(clusterOptions{fleet: fleet, zones: []ids.AvailabilityZone{"nalon", "nalon"}})
		Eventually(func() int64 {
			return cl.entries[0].counter("slots_homes") + cl.entries[1].counter("slots_homes")
		}, "5s", "20ms").Should(Equal(int64(targets)))
		return cl
	}

	// startLoad sends requests from 12 concurrent callers until stop is called;
	// stop returns how many were answered.
	startLoad := func(en *entryProcess) (stop func() int64) {
		grp := group.New(context.Background())
		var answered atomic.Int64
		for range 12 {
			grp.Go(func(ctx context.Context) {
				for ctx.Err() == nil {
					rep := en.call(http.MethodPost, "/v1/services/fitdesk/requests", standin.TargetRequest{RunMillis: 30}, nil)
					if rep.outcome == "answered" {
						answered.Add(1)
					}
				}
			})
		}
		return func() int64 { grp.Close(); return answered.Load() }
	}

	checkTargets := func(cl *cluster) {
		for _, ta := range cl.fleet.Targets {
			Expect(ta.Counts().MaxBusy).To(BeNumerically("<=", targetSlots))
			Expect(ta.Counts().MaxConnections).To(BeNumerically("<=", 64))
			for id, runs := range ta.Counts().Executions {
				Expect(runs).To(Equal(1), "executions of %s", id)
			}
		}
	}

	// Guards against entries that use a target's slots twice while, in a
	// partition within a zone, neither receives heartbeats of the other.
	It("never exceeds a target's slots while entries disagree on who is alive", func() {
		cl := startSharing(2)
		stopOne, stopTwo := startLoad(cl.entries[0]), startLoad(cl.entries[1])
		time.Sleep(500 * time.Millisecond)
		for _, en := range cl.entries {
			en.peer.SetFaults(faultproxy.Faults{Cut: true})
		}
		time.Sleep(3300 * time.Millisecond)
		for _, en := range cl.entries {
			en.peer.SetFaults(faultproxy.Faults{})
		}
		time.Sleep(500 * time.Millisecond)
		Expect(stopOne()).To(BeNumerically(">", 0))
		Expect(stopTwo()).To(BeNumerically(">", 0))
		checkTargets(cl)
	})

	// Guards against targets that stay idle after their home was killed, and
	// against a claim that is lost together with the reply of the table.
	It("takes over the homes of a killed entry with proof, though replies of the table are lost", func() {
		cl := startSharing(4)
		// Wait for two heartbeats: an entry from which no peer has received a
		// heartbeat is not declared gone.
		time.Sleep(time.Second)
		stop := startLoad(cl.entries[1])
		cl.fleet.Table.SetFaults(standin.TableFaults{DropReplies: 1})
		cl.entries[0].kill()
		began := time.Now()
		Eventually(func() int64 { return cl.entries[1].counter("slots_own") }, "10s", "20ms").Should(Equal(int64(4 * targetSlots)))
		AddReportEntry("full capacity after kill -9", time.Since(began).String())
		stop()
		checkTargets(cl)
	})

	// Guards against a forwarded request that runs twice, or that is reported as
	// not run although it ran, when the entry that runs it dies.
	It("forwards requests to free slots and never runs one twice when the peer dies", func() {
		cl := startSharing(1)
		home, borrower := cl.entries[0], cl.entries[1]
		if home.counter("slots_homes") == 0 {
			home, borrower = borrower, home
		}
		request := func(id string, millis int64) reply {
			return borrower.call(http.MethodPost, "/v1/services/fitdesk/requests", standin.TargetRequest{RunMillis: millis}, map[string]string{"Oleanderwall-Request-Id": id})
		}
		for i := range 5 {
			Expect(request(fmt.Sprint("warm-", i), 50).outcome).To(Equal("answered"))
		}
		grp := group.New(context.Background())
		var mu sync.Mutex
		outcomes := map[string]string{}
		for i := range 6 {
			grp.Go(func(context.Context) {
				id := fmt.Sprint("burst-", i)
				rep := request(id, 800)
				mu.Lock()
				defer mu.Unlock()
				outcomes[id] = rep.outcome
			})
		}
		Eventually(func() int64 { return home.counter("forward_received") }, "2s", "10ms").Should(BeNumerically(">", 0))
		time.Sleep(200 * time.Millisecond)
		home.kill()
		grp.Close()
		checkTargets(cl)
		executions := cl.fleet.Targets[0].Counts().Executions
		unknown := 0
		for id, outcome := range outcomes {
			if outcome == "refused-did-not-run" {
				Expect(executions).NotTo(HaveKey(id))
			}
			if outcome == "outcome-unknown" {
				unknown++
			}
		}
		Expect(unknown).To(BeNumerically(">", 0), "%v", outcomes)
	})

	// Guards against an entry that uses an expired loan after a pause.
	It("never uses a loan that expired while the entry was paused", func() {
		cl := startSharing(1)
		home, borrower := cl.entries[0], cl.entries[1]
		if home.counter("slots_homes") == 0 {
			home, borrower = borrower, home
		}
		stopHome, stopBorrower := startLoad(home), startLoad(borrower)
		Eventually(func() int64 { return borrower.counter("slots_borrowed") }, "3s", "20ms").Should(BeNumerically(">=", 3))
		borrower.signal(syscall.SIGSTOP)
		Eventually(func() int64 { return home.counter("slots_own") }, "5s", "20ms").Should(Equal(int64(targetSlots)))
		borrower.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
		Expect(stopHome()).To(BeNumerically(">", 0))
		Expect(stopBorrower()).To(BeNumerically(">", 0))
		checkTargets(cl)
	})
})
