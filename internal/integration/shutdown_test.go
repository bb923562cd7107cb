package integration

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// awaitExit waits for the process and returns its exit code.
func (en *entryProcess) awaitExit(bound string) int {
	Eventually(en.done, bound).Should(BeClosed(), "%s is still running", en.id)
	return en.cmd.ProcessState.ExitCode()
}

// balancer sends requests on keep-alive connections, and only to entries whose
// /readyz succeeds. It polls /readyz every 100 ms.
type balancer struct {
	hc      *http.Client
	entries []*entryProcess

	mu    sync.Mutex
	ready []bool

	sent, failed atomic.Int64
	firstFailure atomic.Pointer[string]
}

func newBalancer(entries []*entryProcess) *balancer {
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	DeferCleanup(tr.CloseIdleConnections)
	return &balancer{hc: &http.Client{Transport: tr, Timeout: 20 * time.Second}, entries: entries, ready: make([]bool, len(entries))}
}

func (ba *balancer) poll(context.Context) {
	for i, en := range ba.entries {
		rep, err := ba.hc.Get("http://" + en.operators + "/readyz")
		if err == nil {
			_ = rep.Body.Close()
		}
		ba.mu.Lock()
		ba.ready[i] = err == nil && rep.StatusCode == http.StatusOK
		ba.mu.Unlock()
	}
}

func (ba *balancer) pick(turn int) *entryProcess {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for k := range ba.entries {
		i := (turn + k) % len(ba.entries)
		if ba.ready[i] {
			return ba.entries[i]
		}
	}
	return nil
}

// run sends requests one after another until ctx ends.
func (ba *balancer) run(ctx context.Context, worker int) {
	for turn := worker; ctx.Err() == nil; turn++ {
		en := ba.pick(turn)
		if en == nil {
			ba.recordFailure("no entry is ready")
			time.Sleep(20 * time.Millisecond)
			continue
		}
		ba.sent.Add(1)
		body := fmt.Appendf(nil, `{"run-millis":%d,"question":"tilt"}`, 10+turn%5*10)
		rep, err := ba.hc.Post("http://"+en.callers+"/v1/services/fitdesk/requests", "application/json", bytes.NewReader(body))
		if err != nil {
			ba.recordFailure(err.Error())
			continue
		}
		raw, err := io.ReadAll(rep.Body)
		_ = rep.Body.Close()
		if err != nil || rep.StatusCode != http.StatusOK {
			ba.recordFailure(fmt.Sprintf("%s: %d %s %v", en.id, rep.StatusCode, raw, err))
		}
		time.Sleep(time.Duration(turn%7) * time.Millisecond)
	}
}

func (ba *balancer) recordFailure(what string) {
	ba.failed.Add(1)
	ba.firstFailure.CompareAndSwap(nil, &what)
}

// start runs the balancer and workers until the spec ends or stop is called.
func (ba *balancer) start(workers int) (stop func()) {
	ba.poll(context.Background())
	grp := group.New(context.Background())
	grp.Every(100*time.Millisecond, ba.poll)
	for i := range workers {
		grp.Go(func(ctx context.Context) { ba.run(ctx, i) })
	}
	DeferCleanup(grp.Close)
	return grp.Close
}

func (ba *balancer) expectNoFailure() {
	first := ""
	if text := ba.firstFailure.Load(); text != nil {
		first = *text
	}
	ExpectWithOffset(1, ba.failed.Load()).To(BeZero(), "failures among %d requests; the first: %s", ba.sent.Load(), first)
}

// slowRequests sends n requests that each run for millis and returns a function
// that waits for their replies.
func (en *entryProcess) slowRequests(n int, millis int) func() []reply {
	replies := make([]reply, n)
	grp := group.New(context.Background())
	for i := range n {
		grp.Go(func(context.Context) {
			defer GinkgoRecover()
			replies[i] = en.call(http.MethodPost, "/v1/services/fitdesk/requests",
				map[string]any{"run-millis": millis, "question": "realign"}, map[string]string{"Oleanderwall-Deadline-Millis": "15000"})
		})
	}
	time.Sleep(200 * time.Millisecond)
	return func() []reply {
		grp.Wait()
		return replies
	}
}

// keepAliveCaller is a caller with a single keep-alive connection.
type keepAliveCaller struct {
	hc               *http.Client
	connectionClosed bool // the last answer had Connection: close
}

func newKeepAliveCaller() *keepAliveCaller {
	tr := &http.Transport{MaxConnsPerHost: 1}
	DeferCleanup(tr.CloseIdleConnections)
	return &keepAliveCaller{hc: &http.Client{Transport: tr}}
}

func (kc *keepAliveCaller) post(en *entryProcess) error {
	rep, err := kc.hc.Post("http://"+en.callers+"/v1/services/fitdesk/requests", "application/json", bytes.NewReader([]byte(`{"run-millis":10}`)))
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	kc.connectionClosed = rep.Close
	raw, err := io.ReadAll(rep.Body)
	if rep.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", rep.StatusCode, raw)
	}
	return err
}

var _ = Describe("shutdown", func() {
	// Guards against requests that fail while every entry is replaced in turn.
	It("replaces every entry under load with no failed request", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		ba := newBalancer(cl.entries)
		stop := ba.start(6)
		for _, en := range cl.entries {
			en.signal(syscall.SIGTERM)
			Expect(en.awaitExit("10s")).To(Equal(0), en.log.String())
			en.start()
			en.awaitReady()
			time.Sleep(300 * time.Millisecond) // the balancer polls /readyz
		}
		stop()
		ba.expectNoFailure()
		Expect(ba.sent.Load()).To(BeNumerically(">", 200))
	})

	// Guards against a drain that aborts requests of several seconds, closes a
	// connection without Connection: close in its last answer, or reports unready
	// too late.
	It("finishes requests of several seconds after SIGTERM", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		en := cl.entries[0]
		early, late := newKeepAliveCaller(), newKeepAliveCaller()
		Expect(late.post(en)).To(Succeed())
		wait := en.slowRequests(8, 2500)
		en.signal(syscall.SIGTERM)
		Eventually(func() string { return en.get("/readyz") }, "200ms", "5ms").Should(ContainSubstring("draining"))
		// A request that the balancer sends after SIGTERM is served, and so is one
		// on a connection that stayed idle until the listener had been closed. Both
		// answers have Connection: close.
		Expect(early.post(en)).To(Succeed())
		Expect(early.connectionClosed).To(BeTrue(), "the answer lacks Connection: close")
		time.Sleep(700 * time.Millisecond)
		Expect(late.post(en)).To(Succeed())
		Expect(late.connectionClosed).To(BeTrue(), "the answer lacks Connection: close")
		for _, rep := range wait() {
			Expect(rep.err).NotTo(HaveOccurred())
			Expect(rep.outcome).To(Equal("answered"))
		}
		Expect(en.awaitExit("5s")).To(Equal(0))
		Eventually(func() string { return cl.entries[1].get("/v1/status") }, "2s", "20ms").Should(ContainSubstring("left-gracefully"))
	})

	// Guards against a shutdown that cannot be cut short, and against one that
	// ends without logging what it abandoned.
	It("ends at the second signal and logs what it abandoned", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		en := cl.entries[0]
		wait := en.slowRequests(4, 8000)
		en.signal(syscall.SIGTERM)
		time.Sleep(600 * time.Millisecond)
		en.signal(syscall.SIGTERM)
		Expect(en.awaitExit("3s")).To(Equal(1))
		Expect(en.log.String()).To(MatchRegexp(`message=shutdown-abandoned.*requests="fitdesk: 4 in flight, oldest [0-9.]+s".*steps=.*tell-peers`))
		for _, rep := range wait() {
			Expect(rep.outcome).To(Equal("outcome-unknown"), "%+v", rep)
		}
	})

	// Guards against a drain by an operator that differs from SIGTERM, and
	// against counting the platform's SIGTERM during such a drain as the second
	// signal.
	It("drains on command as on SIGTERM", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		en := cl.entries[0]
		wait := en.slowRequests(4, 1500)
		_, err := command("drain", "-entry", "http://"+en.operators)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		en.signal(syscall.SIGTERM)
		for _, rep := range wait() {
			Expect(rep.outcome).To(Equal("answered"))
		}
		Expect(en.awaitExit("5s")).To(Equal(0))
	})

	// Guards against a shutdown that takes longer than its bound.
	It("ends when the shutdown bound has passed", func() {
		cl := startCluster(clusterOptions{
			fleet: defaultFleet(), zones: threeZones()[:1],
			prepare: func(cl *cluster) { cl.entries[0].replaceSetting("shutdown-bound: 20s", "shutdown-bound: 1s") },
		})
		wait := cl.entries[0].slowRequests(2, 6000)
		cl.entries[0].signal(syscall.SIGTERM)
		Expect(cl.entries[0].awaitExit("4s")).To(Equal(1))
		Expect(cl.entries[0].log.String()).To(ContainSubstring("shutdown-abandoned"))
		wait()
	})
})
