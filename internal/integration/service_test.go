package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// sendRequests sends n requests concurrently to the entry, by HTTP.
func sendRequests(en *entryProcess, prefix string, n int, run time.Duration) []reply {
	out := make([]reply, n)
	grp := group.New(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		grp.Go(func(context.Context) {
			defer GinkgoRecover()
			defer wg.Done()
			id := fmt.Sprintf("%s-%d", prefix, i)
			body := standin.TargetRequest{RunMillis: run.Milliseconds(), Question: id}
			out[i] = en.call(http.MethodPost, "/v1/services/fitdesk/requests", body, map[string]string{
				"Oleanderwall-Request-Id": id, "Oleanderwall-Deadline-Millis": "5000",
			})
		})
	}
	wg.Wait()
	grp.Close()
	return out
}

// checkReplies checks that each request ran at most once, that a request refused
// as not run did not run and has a Retry-After header, and that an answer is
// complete and belongs to its request. It returns how many were answered.
func (cl *cluster) checkReplies(prefix string, reps []reply) int {
	answered := 0
	for i, rep := range reps {
		id := fmt.Sprintf("%s-%d", prefix, i)
		Expect(rep.err).NotTo(HaveOccurred())
		runs := 0
		for _, ta := range cl.fleet.Targets {
			runs += ta.Counts().Executions[id]
		}
		Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times", id, runs)
		switch rep.outcome {
		case "answered":
			answered++
			var ans standin.TargetAnswer
			Expect(json.Unmarshal([]byte(rep.body), &ans)).To(Succeed(), "%s: the answer is incomplete", id)
			Expect(ans.Question).To(Equal(id))
		case "refused-did-not-run":
			Expect(runs).To(Equal(0), "%s was refused as not run", id)
			Expect(rep.header.Get("Retry-After")).NotTo(BeEmpty())
		default:
			Expect(rep.outcome).To(Equal("outcome-unknown"))
			Expect(rep.status).To(Equal(http.StatusGatewayTimeout))
		}
	}
	return answered
}

var _ = Describe("service requests", func() {
	start := func() (*cluster, *entryProcess) {
		opt := clusterOptions{fleet: defaultFleet(), zones: threeZones()[:1], proxyTargets: true}
		opt.fleet.VMLag = 0 // the first list that the entry reads has the proxies
		opt.fleet.Zones = opt.zones
		cl := startCluster(opt)
		en := cl.entries[0]
		Eventually(func() int64 { return en.counter("slots_homes") }, "5s").Should(Equal(int64(opt.fleet.Targets)))
		for _, rep := range sendRequests(en, "warm", 24, 20*time.Millisecond) {
			Expect(rep.outcome).To(Equal("answered"))
		}
		return cl, en
	}

	// Guards against requests that hang on silent connections.
	It("answers every request when all open connections are silent", func() {
		cl, en := start()
		for _, px := range cl.targetProxies {
			px.SetFaults(faultproxy.Faults{FreezeExisting: true})
		}
		began := time.Now()
		Expect(cl.checkReplies("silent", sendRequests(en, "silent", 24, 20*time.Millisecond))).To(Equal(24))
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
		Expect(en.counter("retry_connection_silent_reconnect")).To(BeNumerically(">", 0))
	})

	// Guards against a second run and a truncated answer when a target dies.
	It("gives typed outcomes when a target is killed while it runs requests", func() {
		cl, en := start()
		grp := group.New(context.Background())
		grp.Go(func(context.Context) {
			time.Sleep(100 * time.Millisecond)
			cl.fleet.TargetServers[0].Close()
		})
		reps := sendRequests(en, "killed", 40, 200*time.Millisecond)
		grp.Close()
		Expect(cl.checkReplies("killed", reps)).To(BeNumerically(">=", 32))
		Expect(cl.checkReplies("after", sendRequests(en, "after", 24, 20*time.Millisecond))).To(Equal(24))
	})

	// Guards against new requests to a target that the list shows as leaving.
	It("sends no new requests to a leaving target", func() {
		cl, en := start()
		cl.fleet.VMs.Change(func(vms []ids.VM) []ids.VM {
			for i := range vms {
				if vms[i].ID == "target-0" {
					vms[i].State = ids.StateLeaving
				}
			}
			return vms
		})
		leaving := cl.fleet.Targets[0]
		time.Sleep(defaultFleet().VMLag + 500*time.Millisecond) // the lag and two polls of the list
		before := leaving.Counts().Requests
		Expect(cl.checkReplies("leaving", sendRequests(en, "leaving", 48, 20*time.Millisecond))).To(Equal(48))
		Expect(leaving.Counts().Requests).To(Equal(before))
	})

	// Guards against an answer that is forwarded although it is truncated or too
	// large.
	It("forwards no answer that is truncated or above the limit", func() {
		cl, en := start()
		for _, ta := range cl.fleet.Targets {
			ta.SetFaults(standin.TargetFaults{Truncate: true})
		}
		Expect(cl.checkReplies("cut", sendRequests(en, "cut", 4, 5*time.Millisecond))).To(Equal(0))
		for _, ta := range cl.fleet.Targets {
			ta.SetFaults(standin.TargetFaults{})
		}
		big := standin.TargetRequest{Question: "big", AnswerBytes: 17 << 20}
		Eventually(func() string {
			return en.call(http.MethodPost, "/v1/services/fitdesk/requests", big, nil).reason
		}, "5s", "50ms").Should(Equal("answer-too-large"))
	})
})
