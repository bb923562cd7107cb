// Package target sends service requests to the targets of a service.
//
// # Usage
//
//	di := target.New(target.Options{Board: board, Counters: counters})
//	defer di.Close()
//	ans, err := di.Do(ctx, target.Request{Service: "fitdesk", Body: raw})
//
// # Errors
//
// Do returns *outcome.Error. Its outcome is RefusedDidNotRun only when no
// target has started the request.
package target

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Request is a service request of a caller.
type Request struct {
	ID         string
	Service    ids.ServiceName
	Team       ids.TeamID
	Kind       ids.RequestKind
	Repeatable bool
	// Forwarded marks a request that another entry has forwarded. It is never
	// forwarded again.
	Forwarded bool
	Deadline  time.Time
	Header    http.Header
	Body      []byte
}

// Answer is the complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder forwards requests to other entries.
type Forwarder interface {
	// Forward is called when this entry has no free slot. expectedWait is the
	// expected wait of the request in the local queue, or the time to its
	// deadline if this entry has no usable target. Forward returns false if
	// the request was not forwarded or the other entry refused it without
	// running it; the request then enters the local queue. If it returns true,
	// the answer or the error is final. The error is an *outcome.Error.
	Forward(ctx context.Context, req Request, expectedWait time.Duration) (Answer, bool, error)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Board    *blackboard.Board
	Counters *counter.Set
	// Forwarder may be nil; then no request is forwarded.
	Forwarder Forwarder
}

// ServiceLoad is the current load of one service in this entry.
type ServiceLoad struct {
	Service  ids.ServiceName
	Waiting  int
	InFlight int
	// ExpectedWait is the expected wait for a slot of a request that arrives
	// now; 0 if a slot is free.
	ExpectedWait time.Duration
}

// Dispatcher sends requests to targets.
type Dispatcher struct {
	opt      Options
	policy   policy
	grp      *group.Group
	services sync.Map // ids.ServiceName to *service
}

const (
	// tickInterval bounds how long a newly granted slot stays unused if the
	// controller does not call SlotsChanged.
	tickInterval        = 10 * time.Millisecond
	sweepInterval       = 50 * time.Millisecond
	maintenanceInterval = time.Second
	// maxAttempts is the maximum number of targets that one request is sent to.
	maxAttempts = 3
)

// New returns a dispatcher that reads the targets from the board.
func New(opt Options) *Dispatcher {
	return newWithPolicy(opt, expectedCompletion())
}

func newWithPolicy(opt Options, pol policy) *Dispatcher {
	di := &Dispatcher{opt: opt, policy: pol, grp: group.New(context.Background())}
	var swept time.Time
	di.grp.Every(tickInterval, func(context.Context) {
		now := time.Now()
		sweep := now.Sub(swept) >= sweepInterval
		if sweep {
			swept = now
		}
		di.forEachService(func(se *service) { se.tick(now, sweep) })
	})
	di.grp.Every(maintenanceInterval, func(ctx context.Context) {
		now := time.Now()
		di.forEachService(func(se *service) { se.maintain(ctx, now) })
	})
	return di
}

// Close stops the background goroutines, waits for them and closes the idle
// connections. Call it after all requests in flight have finished.
func (di *Dispatcher) Close() {
	di.grp.Close()
	di.forEachService(func(se *service) {
		se.mu.Lock()
		defer se.mu.Unlock()
		for _, ts := range se.targets {
			ts.conns.retire()
		}
	})
}

func (di *Dispatcher) forEachService(fn func(se *service)) {
	di.services.Range(func(_, val any) bool {
		fn(val.(*service))
		return true
	})
}

func (di *Dispatcher) service(name ids.ServiceName) *service {
	if val, ok := di.services.Load(name); ok {
		return val.(*service)
	}
	val, _ := di.services.LoadOrStore(name, newService(name, di))
	return val.(*service)
}

// Do sends the request to a target and returns the answer. It returns as soon
// as the answer is complete, the request is refused, or its outcome can no
// longer be determined.
func (di *Dispatcher) Do(ctx context.Context, req Request) (Answer, error) {
	svc, ok := di.opt.Board.Configuration.Load().Document.Services[req.Service]
	if !ok {
		return Answer{}, unknownService(req.Service)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	se := di.service(req.Service)
	if ans, done, err := di.forward(ctx, se, req); done {
		return ans, err
	}
	se.budget.Deposit()
	return se.sendWithRetries(ctx, &req, svc.AnswerLimit())
}

// forward offers the request to another entry if the expected local wait is
// at least minForwardWait.
func (di *Dispatcher) forward(ctx context.Context, se *service, req Request) (Answer, bool, error) {
	if di.opt.Forwarder == nil || req.Forwarded {
		return Answer{}, false, nil
	}
	wait, forward := se.expectedWait(&req)
	if !forward {
		return Answer{}, false, nil
	}
	return di.opt.Forwarder.Forward(ctx, req, wait)
}

// sendWithRetries sends the request to one target after another until it is
// answered or must not be retried.
func (se *service) sendWithRetries(ctx context.Context, req *Request, limit int64) (Answer, error) {
	mayHaveRun := false
	var avoid *targetState
	var last *failure
	for attempt := 1; ; attempt++ {
		tk, err := se.acquire(ctx, req, avoid, attempt > 1)
		if err != nil && mayHaveRun {
			return Answer{}, last.outcome(true, 0)
		}
		if err != nil {
			return Answer{}, err
		}
		ans, fa := se.attempt(ctx, tk, req, limit)
		if fa == nil {
			se.release(tk, resultAnswered)
			return ans, nil
		}
		se.release(tk, fa.result)
		mayHaveRun = mayHaveRun || !fa.notRun
		if !se.mayRetry(fa, req, attempt) {
			return Answer{}, fa.outcome(mayHaveRun, se.retryAfter())
		}
		avoid, last = tk.ts, fa
	}
}

// mayRetry reports whether the request may be retried. If so, it counts the
// retry and charges the retry budget.
func (se *service) mayRetry(fa *failure, req *Request, attempt int) bool {
	if fa.final || attempt >= maxAttempts || !fa.notRun && !req.Repeatable {
		return false
	}
	if !se.budget.Withdraw() {
		se.di.opt.Counters.Add(counter.Retry, "budget-exhausted", 1)
		return false
	}
	se.di.opt.Counters.Add(counter.Retry, fa.reason, 1)
	return true
}

func (se *service) retryAfter() time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.nextRetryAfter(time.Now(), minRetryAfter)
}

// DoForwarded is Do for a request that another entry has forwarded.
func (di *Dispatcher) DoForwarded(ctx context.Context, req Request) (Answer, error) {
	req.Forwarded = true
	return di.Do(ctx, req)
}

// Load returns the load of every service that has received a request, sorted
// by name.
func (di *Dispatcher) Load() []ServiceLoad {
	var out []ServiceLoad
	di.forEachService(func(se *service) { out = append(out, se.load()) })
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// SlotsChanged assigns new slots to waiting requests at once. Call it after an
// allowance has grown; without the call the slots are assigned within 10 ms.
func (di *Dispatcher) SlotsChanged() {
	now := time.Now()
	di.forEachService(func(se *service) { se.tick(now, false) })
}

// HeaderRequestID is the HTTP header that carries the id of a request, from
// the caller to the entry and from the entry to the target.
const HeaderRequestID = "Oleanderwall-Request-Id"

// targetHeader returns the HTTP header of the request as sent to a target.
func targetHeader(req Request) http.Header {
	hdr := req.Header.Clone()
	if hdr == nil {
		hdr = http.Header{}
	}
	hdr.Set(HeaderRequestID, req.ID)
	return hdr
}
