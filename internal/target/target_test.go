package target

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// With -policy=naive the tests run against the naive policy, which shows the
// failures that they guard against.
var policyName = flag.String("policy", "present", "policy under test: present or naive")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// doer is a dispatcher under test.
type doer interface {
	Do(ctx context.Context, req Request) (Answer, error)
	Close()
}

// bench is a set of targets behind proxies, and a dispatcher.
type bench struct {
	*WithT
	tb      testing.TB
	board   *blackboard.Board
	cnt     *counter.Set
	targets []*standin.Target
	proxies []*faultproxy.Proxy
	vms     []ids.VM
	do      doer
	mu      sync.Mutex
	count   int
}

type benchOptions struct {
	targets, slots int
	speed          func(i int) float64
	direct         bool // no proxies
	forwarder      Forwarder
	policy         *policy
	change         func(svc *configuration.Service)
}

func newBench(tb testing.TB, opt benchOptions) *bench {
	be := &bench{WithT: NewWithT(tb), tb: tb, board: &blackboard.Board{}, cnt: counter.New()}
	svc := configuration.Service{Slots: opt.slots, Connections: 8 * opt.slots}
	if opt.change != nil {
		opt.change(&svc)
	}
	doc := configuration.Default()
	doc.Services = map[ids.ServiceName]configuration.Service{"fitdesk": svc}
	doc.Teams = map[ids.TeamID]configuration.Team{"opticians": {Weight: 1}, "archive": {Weight: 1}}
	be.board.Configuration.Publish(&configuration.Version{Number: 1, Document: doc})
	for i := range opt.targets {
		be.addTarget(i, opt)
	}
	be.publish()
	switch {
	case *policyName == "naive":
		be.do = NewNaive(be.board)
	case opt.policy != nil:
		be.do = newWithPolicy(Options{Board: be.board, Counters: be.cnt}, *opt.policy)
	default:
		be.do = New(Options{Board: be.board, Counters: be.cnt, Forwarder: opt.forwarder})
	}
	tb.Cleanup(be.do.Close)
	return be
}

func (be *bench) addTarget(i int, opt benchOptions) {
	id := fmt.Sprintf("target-%d", i)
	topt := standin.TargetOptions{ID: id, Slots: opt.slots, Connections: 8 * opt.slots}
	if opt.speed != nil {
		topt.Speed = opt.speed(i)
	}
	ta := standin.NewTarget(topt)
	srv, err := standin.ServeTarget("127.0.0.1:0", ta)
	be.Expect(err).NotTo(HaveOccurred())
	be.tb.Cleanup(srv.Close)
	addr := srv.Address()
	if !opt.direct {
		px, err := faultproxy.New(addr)
		be.Expect(err).NotTo(HaveOccurred())
		be.tb.Cleanup(px.Close)
		be.proxies = append(be.proxies, px)
		addr = px.Address()
	}
	be.targets = append(be.targets, ta)
	be.vms = append(be.vms, ids.VM{ID: id, Kind: ids.KindTarget, State: ids.StateLive, Address: addr, Service: "fitdesk"})
}

func (be *bench) publish() {
	vms := append([]ids.VM(nil), be.vms...)
	be.board.VMs.Publish(&blackboard.VMs{Fetched: time.Now(), Targets: map[ids.ServiceName][]ids.VM{"fitdesk": vms}})
}

// request returns a request that runs for the given time on a target of speed 1.
func (be *bench) request(run time.Duration) Request {
	be.mu.Lock()
	be.count++
	id := fmt.Sprintf("request-%d", be.count)
	be.mu.Unlock()
	body, err := json.Marshal(standin.TargetRequest{RunMillis: run.Milliseconds(), Question: "question of " + id})
	be.Expect(err).NotTo(HaveOccurred())
	return Request{ID: id, Service: "fitdesk", Team: "opticians", Kind: "lens-tilt", Deadline: time.Now().Add(5 * time.Second), Body: body}
}

// send sends the request and checks that an answer is complete and belongs to
// the request.
func (be *bench) send(req Request) *outcome.Error {
	ans, err := be.do.Do(context.Background(), req)
	if err != nil {
		return outcome.From(err)
	}
	var ta standin.TargetAnswer
	be.Expect(json.Unmarshal(ans.Body, &ta)).To(Succeed(), "the answer is not complete")
	be.Expect(ta.RequestID).To(Equal(req.ID), "the answer belongs to another request")
	be.Expect(ta.Question).To(Equal("question of " + req.ID))
	return nil
}

// parallel runs n calls of fn concurrently and waits for them.
func parallel(n int, fn func(i int)) {
	grp := group.New(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		grp.Go(func(context.Context) {
			defer wg.Done()
			fn(i)
		})
	}
	wg.Wait()
	grp.Close()
}

// warmUp makes the dispatcher observe run times and open connections.
func (be *bench) warmUp(n int, run time.Duration) {
	parallel(n, func(int) {
		for range 4 {
			be.Expect(be.send(be.request(run))).To(BeNil())
		}
	})
}

// executions returns how often the request ran, summed over all targets.
func (be *bench) executions(id string) int {
	sum := 0
	for _, ta := range be.targets {
		sum += ta.Counts().Executions[id]
	}
	return sum
}

// expectAtMostOnce checks that no request ran twice, that every answered request
// ran and that no refused request ran.
func (be *bench) expectAtMostOnce(reqs []Request, errs []*outcome.Error) {
	for i, req := range reqs {
		runs := be.executions(req.ID)
		be.Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times", req.ID, runs)
		if errs[i] == nil {
			be.Expect(runs).To(Equal(1), "%s", req.ID)
		} else if errs[i].Outcome == outcome.RefusedDidNotRun {
			be.Expect(runs).To(Equal(0), "%s was refused but ran: %s", req.ID, errs[i])
		}
	}
}

func answered(errs []*outcome.Error) int {
	sum := 0
	for _, err := range errs {
		if err == nil {
			sum++
		}
	}
	return sum
}

// TestFaults sends requests that are not repeatable while a fault begins. It
// guards against requests that run twice, refusals of requests that ran,
// truncated answers, answers of another request, and one faulty target that
// affects requests to the others.
func TestFaults(t *testing.T) {
	const targets, requests = 4, 40
	tests := []struct {
		name string
		// fault is called after the warm-up, inFlight while requests are running.
		fault, inFlight func(be *bench)
		// minAnswered is the minimum number of requests that must be answered, and
		// within bounds the time until the last outcome.
		minAnswered int
		within      time.Duration
	}{
		{"idle connections are silent", func(be *bench) {
			for _, px := range be.proxies {
				px.SetFaults(faultproxy.Faults{FreezeExisting: true})
			}
		}, nil, requests, 2 * time.Second},
		{"connections go silent in flight", nil, func(be *bench) {
			be.proxies[0].SetFaults(faultproxy.Faults{FreezeExisting: true})
		}, requests - 16, 2 * time.Second},
		{"a target closes connections within an answer", func(be *bench) {
			be.proxies[0].SetFaults(faultproxy.Faults{CloseAfter: 150})
		}, nil, requests - 16, 2 * time.Second},
		{"a target becomes unreachable", nil, func(be *bench) {
			be.proxies[0].SetFaults(faultproxy.Faults{Cut: true})
		}, requests - 16, 2 * time.Second},
		{"a target fails every request immediately", func(be *bench) {
			be.targets[0].SetFaults(standin.TargetFaults{FailAll: true})
		}, nil, requests - 16, 2 * time.Second},
		{"a target truncates every answer", func(be *bench) {
			be.targets[0].SetFaults(standin.TargetFaults{Truncate: true})
		}, nil, requests - 16, 2 * time.Second},
		{"replies are lost", func(be *bench) {
			be.proxies[0].SetFaults(faultproxy.Faults{DropReplies: true})
		}, nil, requests, 2 * time.Second},
		{"a target is 10 times slower", func(be *bench) {
			be.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 10})
		}, nil, requests, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			be := newBench(t, benchOptions{targets: targets, slots: 4})
			be.warmUp(16, 20*time.Millisecond)
			if tt.fault != nil {
				tt.fault(be)
			}
			reqs := make([]Request, requests)
			errs := make([]*outcome.Error, requests)
			for i := range reqs {
				reqs[i] = be.request(60 * time.Millisecond)
			}
			began := time.Now()
			grp := group.New(context.Background())
			if tt.inFlight != nil {
				grp.Go(func(context.Context) {
					time.Sleep(40 * time.Millisecond)
					tt.inFlight(be)
				})
			}
			parallel(requests, func(i int) { errs[i] = be.send(reqs[i]) })
			took := time.Since(began)
			grp.Close()
			be.expectAtMostOnce(reqs, errs)
			be.Expect(answered(errs)).To(BeNumerically(">=", tt.minAnswered), "%v", errs)
			be.Expect(took).To(BeNumerically("<", tt.within))
		})
	}
}

// TestSuspectTarget guards against a target that attracts load because it fails
// immediately, and against a recovered target that never receives load again.
func TestSuspectTarget(t *testing.T) {
	t.Parallel()
	be := newBench(t, benchOptions{targets: 3, slots: 2})
	be.warmUp(6, 10*time.Millisecond)
	be.targets[0].SetFaults(standin.TargetFaults{FailAll: true})
	before := be.targets[0].Counts().Requests
	parallel(4, func(int) {
		for range 15 {
			req := be.request(10 * time.Millisecond)
			req.Repeatable = true
			be.send(req)
		}
	})
	be.Expect(be.targets[0].Counts().Requests-before).To(BeNumerically("<=", 8), "requests sent to the failing target")
	be.targets[0].SetFaults(standin.TargetFaults{})
	before = be.targets[0].Counts().Requests
	be.Eventually(func() int64 {
		parallel(6, func(int) {
			req := be.request(10 * time.Millisecond)
			req.Repeatable = true
			be.send(req)
		})
		return be.targets[0].Counts().Requests - before
	}, "6s", "10ms").Should(BeNumerically(">=", 4))
}

// TestEveryTargetFails guards against excluding all targets, and against retries
// that multiply the load on failing targets.
func TestEveryTargetFails(t *testing.T) {
	t.Parallel()
	const requests = 200
	be := newBench(t, benchOptions{targets: 3, slots: 2, direct: true})
	be.warmUp(6, 5*time.Millisecond)
	for _, ta := range be.targets {
		ta.SetFaults(standin.TargetFaults{FailAll: true})
	}
	before := be.totalRequests()
	parallel(4, func(int) {
		for range requests / 4 {
			req := be.request(5 * time.Millisecond)
			req.Repeatable = true
			be.send(req)
		}
	})
	be.Expect(be.totalRequests()-before).To(BeNumerically("<=", requests+requests/10+retryBurst+1), "requests sent to failing targets")
	for _, ta := range be.targets {
		ta.SetFaults(standin.TargetFaults{})
	}
	be.Expect(be.send(be.request(5 * time.Millisecond))).To(BeNil())
}

func (be *bench) totalRequests() int64 {
	sum := int64(0)
	for _, ta := range be.targets {
		sum += ta.Counts().Requests
	}
	return sum
}

// TestBurst sends five times the capacity, from callers that retry. It guards
// against an unbounded queue, refusals that come late or without a retry-after
// time, and a burst of one team that starves another.
func TestBurst(t *testing.T) {
	t.Parallel()
	const run, deadline, callers = 40 * time.Millisecond, 400 * time.Millisecond, 400
	be := newBench(t, benchOptions{targets: 2, slots: 4, direct: true})
	be.warmUp(8, run)
	var mu sync.Mutex
	var noRetryAfter, missed, otherTeam, otherAnswered int
	slowestRefusal := time.Duration(0)
	send := func(team ids.TeamID) *outcome.Error {
		req := be.request(run)
		req.Team, req.Deadline = team, time.Now().Add(deadline)
		began := time.Now()
		err := be.send(req)
		mu.Lock()
		defer mu.Unlock()
		if err != nil && err.Outcome == outcome.RefusedDidNotRun {
			slowestRefusal = max(slowestRefusal, time.Since(began))
			if err.RetryAfter <= 0 {
				noRetryAfter++
			}
		} else if err != nil {
			missed++
		}
		return err
	}
	parallel(callers+4, func(i int) {
		if i < 4 {
			time.Sleep(100 * time.Millisecond)
			for range 5 {
				err := send("opticians")
				mu.Lock()
				otherTeam++
				if err == nil {
					otherAnswered++
				}
				mu.Unlock()
			}
			return
		}
		for range 3 {
			err := send("archive")
			if err == nil {
				return
			}
			time.Sleep(err.RetryAfter)
		}
	})
	be.Expect(noRetryAfter).To(BeZero(), "refusals without a retry-after time")
	be.Expect(missed).To(BeNumerically("<=", callers/50), "requests that were accepted and not answered in time")
	be.Expect(otherAnswered).To(BeNumerically(">=", otherTeam-2), "answers for the team without a burst")
	be.Expect(slowestRefusal).To(BeNumerically("<", deadline), "a refusal must not wait for the deadline")
}

// TestLeavingTarget guards against new requests to a leaving target, and against
// interrupting requests in flight there.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	be := newBench(t, benchOptions{targets: 2, slots: 4})
	be.warmUp(8, 5*time.Millisecond)
	before := be.targets[0].Counts().Requests
	errs := make([]*outcome.Error, 8)
	parallel(9, func(i int) {
		if i < 8 {
			errs[i] = be.send(be.request(300 * time.Millisecond))
			return
		}
		be.Eventually(func() int64 { return be.targets[0].Counts().Requests - before }, "2s", "1ms").Should(Equal(int64(4)))
		be.vms[0].State = ids.StateLeaving
		be.publish()
		for range 8 {
			be.Expect(be.send(be.request(5 * time.Millisecond))).To(BeNil())
		}
		be.Expect(be.targets[0].Counts().Requests-before).To(Equal(int64(4)), "new requests to a leaving target")
	})
	be.Expect(answered(errs)).To(Equal(8), "%v", errs)
}

// TestLateAnswer guards against a late answer that the next request on the
// connection receives, and against answers above the limit.
func TestLateAnswer(t *testing.T) {
	t.Parallel()
	be := newBench(t, benchOptions{targets: 1, slots: 2, change: func(svc *configuration.Service) { svc.MaxAnswerBytes = 4096 }})
	be.Expect(be.send(be.request(5 * time.Millisecond))).To(BeNil())
	late := be.request(100 * time.Millisecond)
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	err := be.send(late)
	be.Expect(err).NotTo(BeNil())
	be.Expect(err.Outcome).To(Equal(outcome.Unknown))
	for range 20 {
		be.Expect(be.send(be.request(10 * time.Millisecond))).To(BeNil())
	}
	big := be.request(0)
	big.Body = []byte(`{"answer-bytes":5000,"question":"` + strings.Repeat("q", 10) + `"}`)
	err = be.send(big)
	be.Expect(err).NotTo(BeNil(), "an answer above the limit")
	be.Expect(err.Outcome).To(Equal(outcome.Unknown))
	be.Expect(err.Reason).To(Equal("answer-too-large"))
	be.Expect(be.executions(big.ID)).To(Equal(1))
}

// TestCallerGone guards against slots that are not released, or are released
// twice, when callers disconnect while they wait or while their request runs.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	be := newBench(t, benchOptions{targets: 1, slots: 2, direct: true})
	parallel(40, func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*2*time.Millisecond)
		defer cancel()
		_, _ = be.do.Do(ctx, be.request(30*time.Millisecond))
	})
	began := time.Now()
	parallel(2, func(int) { be.Expect(be.send(be.request(30 * time.Millisecond))).To(BeNil()) })
	be.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	if di, ok := be.do.(*Dispatcher); ok {
		_, used := di.service("fitdesk").listed[0].gate.Allowance()
		be.Expect(used).To(Equal(0))
		be.Expect(di.Load()).To(Equal([]ServiceLoad{{Service: "fitdesk"}}))
	}
	be.Expect(be.targets[0].Counts().MaxBusy).To(BeNumerically("<=", 2))
}

// forwarderFunc is a function as a Forwarder.
type forwarderFunc func(req Request, wait time.Duration) (Answer, bool, error)

func (ff forwarderFunc) Forward(_ context.Context, req Request, wait time.Duration) (Answer, bool, error) {
	return ff(req, wait)
}

// TestForward guards against forwarding while a slot is free, against forwarding
// a forwarded request, and against losing a request that was not forwarded.
func TestForward(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var offered []string
	accept := true
	be := newBench(t, benchOptions{targets: 1, slots: 1, direct: true, forwarder: forwarderFunc(func(req Request, wait time.Duration) (Answer, bool, error) {
		mu.Lock()
		defer mu.Unlock()
		offered = append(offered, req.ID)
		if wait < minForwardWait {
			t.Errorf("offered at an expected wait of %s", wait)
		}
		return Answer{Status: http.StatusOK, Body: []byte("elsewhere")}, accept, nil
	})})
	di, ok := be.do.(*Dispatcher)
	if !ok {
		t.Skip("the naive policy has no forwarding")
	}
	be.warmUp(1, 50*time.Millisecond)
	be.Expect(offered).To(BeEmpty())
	hold := group.New(context.Background())
	hold.Go(func(context.Context) { be.send(be.request(400 * time.Millisecond)) })
	be.Eventually(func() int { return di.Load()[0].InFlight }, "2s", "1ms").Should(Equal(1))
	ans, err := di.Do(context.Background(), be.request(50*time.Millisecond))
	be.Expect(err).NotTo(HaveOccurred())
	be.Expect(string(ans.Body)).To(Equal("elsewhere"))
	_, err = di.DoForwarded(context.Background(), be.request(50*time.Millisecond))
	be.Expect(outcome.From(err).Outcome).To(Equal(outcome.RefusedDidNotRun), "a forwarded request must not wait in the queue of this entry")
	be.Expect(offered).To(HaveLen(1))
	accept = false
	be.Expect(be.send(be.request(50 * time.Millisecond))).To(BeNil())
	hold.Close()
}

// TestSlowTarget guards against a target that has become 10 times slower but
// still receives an equal share of the load.
func TestSlowTarget(t *testing.T) {
	t.Parallel()
	be := newBench(t, benchOptions{targets: 4, slots: 4, direct: true})
	be.warmUp(16, 20*time.Millisecond)
	be.targets[0].SetFaults(standin.TargetFaults{SlowFactor: 10})
	before := be.targets[0].Counts().Requests
	parallel(8, func(int) {
		for range 20 {
			be.Expect(be.send(be.request(20 * time.Millisecond))).To(BeNil())
		}
	})
	be.Expect(be.targets[0].Counts().Requests-before).To(BeNumerically("<=", 16), "of 160 requests to the slow target")
}

// TestMovedTarget guards against reuse of connections that were busy when the
// address of their target changed in the VM list.
func TestMovedTarget(t *testing.T) {
	t.Parallel()
	be := newBench(t, benchOptions{targets: 1, slots: 4})
	px, err := faultproxy.New(be.proxies[0].Address())
	be.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(px.Close)
	parallel(5, func(i int) {
		if i < 4 {
			be.Expect(be.send(be.request(100 * time.Millisecond))).To(BeNil())
			return
		}
		be.Eventually(func() int64 { return be.targets[0].Counts().MaxBusy }, "2s", "1ms").Should(Equal(int64(4)))
		be.vms[0].Address = px.Address()
		be.publish()
	})
	be.Expect(be.send(be.request(time.Millisecond))).To(BeNil())
	be.Expect(px.Opened()).To(Equal(int64(1)))
}

// TestSilentUpload guards against a large body whose write blocks on a silent
// connection until the deadline. Nothing reads from the other end of the pipe.
func TestSilentUpload(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	co := &connection{Conn: near, rd: &answerReader{conn: near}}
	asked := 0
	co.rd.reset(context.Background(), time.Now().Add(10*time.Second))
	co.rd.watch(20*time.Millisecond, func() bool {
		asked++
		return asked == 2
	})
	ex := &exchange{co: co}
	gm.Expect(ex.write(context.Background(), []byte("body"))).To(MatchError(errSilent))
	gm.Expect(asked).To(Equal(2))
}
