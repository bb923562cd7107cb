package integration

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// processWaiters runs the goroutines that wait for the processes to exit.
var processWaiters = group.New(context.Background())

var _ = Describe("end to end", func() {
	// Guards against parts that work alone but not together as processes.
	It("serves a job and a service request through separate processes", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		base := "http://" + cl.entries[1].callers
		out, err := command("job", "submit", "-entry", base, "-file", "../../examples/job.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"complete"`))
		Expect(out).To(ContainSubstring("bridge 17 mm"))
		out, err = command("request", "-entry", base, "-service", "fitdesk", "-body", `{"run-millis":50,"question":"tilt"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"question":"tilt"`))
	})

	// Guards against a refusal without an outcome, a reason or a remedy.
	It("refuses an unknown service as not run", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		rep := cl.entries[0].call(http.MethodPost, "/v1/services/none/requests", struct{}{}, nil)
		Expect(rep.status).To(Equal(http.StatusNotFound))
		Expect(rep.outcome).To(Equal("refused-did-not-run"))
		Expect(rep.reason).To(Equal("unknown-service"))
		Expect(rep.body).To(ContainSubstring(`"remedy"`))
		Expect(cl.entries[0].counter("refusal_unknown_service")).To(Equal(int64(1)))
	})

	// Guards against entries that depend on each other to serve.
	It("keeps serving after kill -9 of one entry, which serves again after a restart", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		cl.entries[0].kill()
		body := standin.TargetRequest{RunMillis: 20, Question: "tilt"}
		for _, en := range cl.entries[1:] {
			Expect(en.call(http.MethodPost, "/v1/services/fitdesk/requests", body, nil).outcome).To(Equal("answered"))
		}
		cl.entries[0].start()
		cl.entries[0].awaitReady()
		rep := cl.entries[0].call(http.MethodPost, "/v1/services/fitdesk/requests", body, nil)
		Expect(rep.outcome).To(Equal("answered"), rep.body)
	})

	// Guards against an entry that cannot start while the whole platform is down,
	// although its peers have the configuration and the list of VMs.
	It("restarts during an outage of the whole platform and serves through its peers", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		restarted := cl.entries[1]
		Eventually(func() int64 { return restarted.counter("slots_homes") }, "5s").Should(BeNumerically(">", 0))
		cl.fleet.Table.SetFaults(standin.TableFaults{Outage: true})
		cl.fleet.VMs.SetFaults(standin.VMListFaults{Outage: true})
		restarted.kill()
		restarted.writeSettings(fmt.Sprintf("peers: [%q, %q]\n", cl.entries[0].peer.Address(), cl.entries[2].peer.Address()))
		restarted.start()
		restarted.awaitReady()
		body := standin.TargetRequest{RunMillis: 20, Question: "tilt"}
		rep := restarted.call(http.MethodPost, "/v1/services/fitdesk/requests", body, nil)
		Expect(rep.outcome).To(Equal("answered"), rep.body)
	})
})
