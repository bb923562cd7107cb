package target

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// alternatives returns expectedCompletion and the policies that it is compared
// with.
func alternatives() map[string]policy {
	load := func(_ *service, _ *kindTimes, _ *targetState, slots, used int) float64 {
		return float64(used) / float64(slots)
	}
	fastest := func(_ *service, _ *kindTimes, ts *targetState, _, _ int) float64 { return ts.times.factor }
	newest, noWait := expectedCompletion(), expectedCompletion()
	newest.newestFirst, noWait.waitForFaster = true, false
	return map[string]policy{
		"expected-completion":         expectedCompletion(),
		"expected-completion-no-wait": noWait,
		"least-loaded":                {rank: load},
		"two-random":                  {rank: load, sample: 2},
		"fastest-first":               {rank: fastest},
		"newest-first":                newest,
	}
}

// loadRun is an open-loop run against targets of half to twice the mean speed.
type loadRun struct {
	be       *bench
	duration time.Duration
	load     float64
	deadline time.Duration
	mu       sync.Mutex
	ratios   []float64
	sent     int
	unknown  int
	refused  []float64 // milliseconds until the refusal
}

const (
	loadTargets, loadSlots = 20, 8
	loadMinRun, loadMaxRun = 20 * time.Millisecond, 200 * time.Millisecond
)

func (lr *loadRun) run() {
	rng := rand.New(rand.NewPCG(1, 2))
	span := math.Log(float64(loadMaxRun) / float64(loadMinRun))
	rate := lr.load * loadTargets * loadSlots / (float64(loadMaxRun-loadMinRun) / span)
	grp := group.New(context.Background())
	var wg sync.WaitGroup
	began, at := time.Now(), 0.0
	for at < float64(lr.duration) {
		at += rng.ExpFloat64() / rate
		run := time.Duration(float64(loadMinRun) * math.Exp(rng.Float64()*span))
		time.Sleep(time.Until(began.Add(time.Duration(at))))
		measured := at > float64(lr.duration)/4
		wg.Add(1)
		grp.Go(func(context.Context) {
			defer wg.Done()
			lr.sendOne(run, measured)
		})
	}
	wg.Wait()
	grp.Close()
}

func (lr *loadRun) sendOne(run time.Duration, measured bool) {
	req := lr.be.request(run)
	req.Kind = "quick"
	if run > 70*time.Millisecond {
		req.Kind = "full"
	}
	req.Deadline = time.Now().Add(lr.deadline)
	began := time.Now()
	err := lr.be.send(req)
	took := time.Since(began)
	if !measured {
		return
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.sent++
	switch {
	case err == nil:
		lr.ratios = append(lr.ratios, float64(took)/float64(run))
	case err.Outcome == outcome.Unknown:
		lr.unknown++
	default:
		lr.refused = append(lr.refused, took.Seconds()*1e3)
	}
}

func (lr *loadRun) report(bm *testing.B) {
	sort.Float64s(lr.ratios)
	bm.ReportMetric(lr.ratios[len(lr.ratios)/2], "p50/ideal")
	bm.ReportMetric(lr.ratios[len(lr.ratios)*99/100], "p99/ideal")
	bm.ReportMetric(float64(len(lr.ratios))/float64(lr.sent), "answered/sent")
	bm.ReportMetric(float64(lr.unknown), "unknown")
	if sort.Float64s(lr.refused); len(lr.refused) > 0 {
		bm.ReportMetric(lr.refused[len(lr.refused)*9/10], "refused-after-p90-ms")
	}
}

// runPolicies runs the load with each policy. The mean target speed is about 1.
func runPolicies(bm *testing.B, load float64, deadline time.Duration, names ...string) {
	for _, name := range names {
		bm.Run(name, func(bm *testing.B) {
			pol := alternatives()[name]
			speed := func(i int) float64 { return 0.924 * math.Pow(2, 2*float64(i)/(loadTargets-1)-1) }
			lr := &loadRun{
				be:       newBench(bm, benchOptions{targets: loadTargets, slots: loadSlots, speed: speed, direct: true, policy: &pol}),
				duration: 8 * time.Second, load: load, deadline: deadline,
			}
			for bm.Loop() {
				lr.run()
			}
			lr.report(bm)
		})
	}
}

// BenchmarkChoice compares policies for the choice of target at 80% load. Run it
// with -benchtime 1x.
func BenchmarkChoice(bm *testing.B) {
	runPolicies(bm, 0.8, 5*time.Second, "expected-completion", "expected-completion-no-wait", "fastest-first", "least-loaded", "two-random")
}

// BenchmarkOrder compares policies for the order of service at 130% load. Run it
// with -benchtime 1x.
func BenchmarkOrder(bm *testing.B) {
	runPolicies(bm, 1.3, 500*time.Millisecond, "expected-completion", "newest-first")
}

// BenchmarkAddedLatency measures the latency that the dispatcher adds: the time of a
// request that runs 0 ms, minus the time of the same request on a separate
// connection to one target. All targets share the address of one stand-in that
// has enough slots for them.
func BenchmarkAddedLatency(bm *testing.B) {
	for _, targets := range []int{50, 560} {
		bm.Run(fmt.Sprintf("targets=%d", targets), func(bm *testing.B) {
			be := newBench(bm, benchOptions{targets: 1, slots: 80, direct: true})
			for i := 1; i < targets; i++ {
				be.vms = append(be.vms, ids.VM{
					ID: fmt.Sprintf("target-%d", i), Kind: ids.KindTarget, State: ids.StateLive, Address: be.vms[0].Address, Service: "fitdesk",
				})
			}
			be.publish()
			be.warmUp(8, 0)
			var direct, through []float64
			body, _ := json.Marshal(standin.TargetRequest{Question: "question of direct"})
			cs := newConnections(be.do.(*Dispatcher).grp)
			se := be.do.(*Dispatcher).service("fitdesk")
			cs.setAddress(be.vms[0].Address)
			cs.setLimit(se.listed[0].gate, se.conf)
			for bm.Loop() {
				req := be.request(0)
				began := time.Now()
				be.Expect(be.send(req)).To(BeNil())
				through = append(through, time.Since(began).Seconds())
				direct = append(direct, directTime(cs, &Request{ID: "direct", Body: body, Repeatable: false, Deadline: time.Now().Add(time.Second)}))
			}
			cs.retire()
			sort.Float64s(direct)
			sort.Float64s(through)
			bm.ReportMetric(1e6*(through[len(through)/2]-direct[len(direct)/2]), "added-µs")
			bm.ReportMetric(1e6*direct[len(direct)/2], "direct-µs")
		})
	}
}

// directTime sends the request without choice of a target, queue or check for
// silence, and returns the time taken.
func directTime(cs *connections, req *Request) float64 {
	began := time.Now()
	co, err := cs.get(context.Background(), false)
	if err != nil {
		return 0
	}
	co.rd.reset(context.Background(), req.Deadline)
	ex := &exchange{co: co, req: req, limit: 1 << 20}
	if _, err := ex.roundTrip(context.Background(), func() {}); err != nil {
		co.close()
		return 0
	}
	cs.put(co)
	return time.Since(began).Seconds()
}
