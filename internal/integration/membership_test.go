package integration

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/standin"
)

// partitionLength is the duration of the partition of a zone. The long version
// of the test is: go test ./internal/integration -partition 30s
var partitionLength = flag.Duration("partition", 3*time.Second, "length of the partition of a zone")

// pairProxies holds a proxy for each ordered pair of entries, so that single
// pairs and single directions can be cut.
type pairProxies map[[2]int]*faultproxy.Proxy

// prepare serves a separate list of VMs to each entry. In it, the peer address
// of another entry is the address of the proxy between the two.
func (pp pairProxies) prepare(cl *cluster) {
	for i, from := range cl.entries {
		var pairs []string
		for k, to := range cl.entries {
			if i != k {
				pp[[2]int{i, k}] = newProxy(to.peers)
				pairs = append(pairs, to.peer.Address(), pp[[2]int{i, k}].Address())
			}
		}
		rewrite := strings.NewReplacer(pairs...)
		srv, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
			rec := httptest.NewRecorder()
			cl.fleet.VMs.ServeHTTP(rec, req)
			if etag := rec.Header().Get("ETag"); etag != "" {
				wr.Header().Set("ETag", etag)
			}
			wr.WriteHeader(rec.Code)
			_, _ = rewrite.WriteString(wr, rec.Body.String())
		}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(srv.Close)
		old := from.vms.Address()
		from.vms = newProxy(srv.Address())
		from.replaceSetting(old, from.vms.Address())
	}
}

// setFaults sets the faults on every connection of entry i with other entries and
// with the platform.
func (pp pairProxies) setFaults(cl *cluster, i int, faults faultproxy.Faults) {
	for pair, px := range pp {
		if pair[0] == i || pair[1] == i {
			px.SetFaults(faults)
		}
	}
	for _, px := range []*faultproxy.Proxy{cl.entries[i].table, cl.entries[i].objects, cl.entries[i].vms} {
		px.SetFaults(faults)
	}
}

// memberStates returns the members' states as the entry reports them, such as
// "entry-2=alive".
func (en *entryProcess) memberStates() []string {
	var out []string
	for _, mem := range en.status().Members {
		out = append(out, mem.ID+"="+mem.State+mem.Reason)
	}
	return out
}

func (cl *cluster) awaitAllAlive() {
	for i, en := range cl.entries {
		var want []string
		for k, other := range cl.entries {
			if i != k {
				want = append(want, other.id+"=alive")
			}
		}
		Eventually(en.memberStates, "5s", "20ms").Should(ConsistOf(want), en.id)
	}
}

var _ = Describe("membership", func() {
	// Guards against a partitioned zone that stops serving or changes its
	// configuration, and against entries that disagree or overload the table
	// after the partition has healed.
	It("serves on both sides of a partition of a zone and converges after it heals", func() {
		pp := pairProxies{}
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones(), prepare: pp.prepare})
		cl.awaitAllAlive()
		Expect(cl.entries[0].configurationNumber()).To(Equal(int64(1)))
		sides := []*balancer{newBalancer(cl.entries[:1]), newBalancer(cl.entries[1:])}
		stops := []func(){sides[0].start(2), sides[1].start(2)}
		// The connections are frozen, not closed, because a partition does not
		// close connections.
		opened := cl.entries[0].table.Opened()
		pp.setFaults(cl, 0, faultproxy.Faults{Freeze: true})
		cutAt := time.Now()
		Eventually(cl.entries[0].memberStates, "5s", "20ms").Should(ConsistOf("entry-2=suspect", "entry-3=suspect"))
		Eventually(cl.entries[1].memberStates, "5s", "20ms").Should(ConsistOf("entry-1=suspect", "entry-3=alive"))
		_, err := cl.entries[1].patch(1, "during-the-partition", "one")
		Expect(err).NotTo(HaveOccurred())
		cl.awaitNumber(2, cl.entries[1:]...)
		time.Sleep(time.Until(cutAt.Add(*partitionLength)))
		st := cl.entries[0].status()
		Expect(st.Ready).To(BeTrue())
		Expect(st.Number).To(Equal(int64(1)))
		Expect(st.Table).To(BeFalse())
		reads := cl.fleet.Table.Counts().Reads
		abandoned := cl.entries[0].table.Opened() - opened
		pp.setFaults(cl, 0, faultproxy.Faults{})
		healed := time.Now()
		cl.awaitNumber(2, cl.entries...)
		cl.awaitAllAlive()
		// A call that the cut-off entry abandoned during the partition reaches the
		// table afterwards, as a retransmission would; each such call has its own
		// connection. In addition, three entries poll twice a second and fetch once.
		Expect(cl.fleet.Table.Counts().Reads - reads - abandoned).To(BeNumerically("<", 20+10*time.Since(healed).Seconds()))
		for i, stop := range stops {
			stop()
			sides[i].expectNoFailure()
		}
	})

	// Guards against a suspicion of an entry that can be reached in one direction
	// only, or by all other entries except one.
	It("keeps entries alive in one-way partitions and suspects only across a cut pair", func() {
		pp := pairProxies{}
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones(), prepare: pp.prepare})
		cl.awaitAllAlive()
		pp[[2]int{0, 1}].SetFaults(faultproxy.Faults{Cut: true})
		pp[[2]int{2, 0}].SetFaults(faultproxy.Faults{Freeze: true})
		Consistently(func() int64 {
			return cl.entries[0].counter("peer_suspected") + cl.entries[1].counter("peer_suspected") + cl.entries[2].counter("peer_suspected")
		},
			"2s", "100ms").Should(BeZero())
		_, err := cl.entries[0].patch(1, "one-way", "one")
		Expect(err).NotTo(HaveOccurred())
		cl.awaitNumber(2, cl.entries...)
		pp[[2]int{1, 0}].SetFaults(faultproxy.Faults{Cut: true})
		Eventually(cl.entries[0].memberStates, "5s", "20ms").Should(ConsistOf("entry-2=suspect", "entry-3=alive"))
		Expect(cl.entries[2].memberStates()).To(ConsistOf("entry-1=alive", "entry-2=alive"))
	})

	// Guards against a paused process that is declared gone, and against one that
	// acts on its stale view of the others when it resumes.
	It("does not declare a paused entry gone, and the resumed entry suspects no others", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		cl.awaitAllAlive()
		cl.entries[0].signal(syscall.SIGSTOP)
		Eventually(cl.entries[1].memberStates, "5s", "20ms").Should(ContainElement("entry-1=suspect"))
		Consistently(cl.entries[1].memberStates, "1s", "100ms").Should(ContainElement("entry-1=suspect"))
		cl.entries[0].signal(syscall.SIGCONT)
		cl.awaitAllAlive()
		Expect(cl.entries[0].counter("peer_paused")).To(BeNumerically(">=", 1))
		Expect(cl.entries[0].counter("peer_suspected")).To(BeZero())
	})

	// Guards against a killed entry that no peer declares gone, a restart that
	// does not replace the old incarnation in the table and at the peers, and a
	// list of members that does not show which entry lags.
	It("declares a killed entry gone and registers its next incarnation", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		cl.awaitAllAlive()
		row := func() string {
			rows := cl.fleet.Table.Rows("entry/entry-1")
			if len(rows) != 1 {
				return fmt.Sprint(rows)
			}
			return string(rows[0].Value)
		}
		Eventually(row, "3s", "20ms").Should(ContainSubstring("entry-1/"))
		before := row()
		Eventually(func() (string, error) { return command("status", "-all", "-entry", "http://"+cl.entries[0].operators) }, "5s", "100ms").
			Should(And(MatchRegexp(`entry-1 +austin-north +self +1 +false`), MatchRegexp(`entry-3 +temple-south +alive +1 +false`)))
		cl.entries[0].kill()
		for _, en := range cl.entries[1:] {
			Eventually(en.memberStates, "5s", "20ms").Should(ContainElement("entry-1=goneconnection-refused"))
		}
		cl.entries[0].start()
		cl.awaitAllAlive()
		Eventually(row, "3s", "20ms").ShouldNot(Equal(before))
	})
})
