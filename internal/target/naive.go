package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

// Naive is the baseline that Dispatcher is compared with: round robin over the
// live targets, up to three attempts whatever the error, and the unbounded
// queue of an HTTP transport. Only tests and benchmarks use it: it may run a
// request more than once, may refuse a request that has run, and truncates
// answers above the limit.
type Naive struct {
	board *blackboard.Board
	hc    *http.Client
	next  atomic.Uint64
}

const (
	naiveAttempts    = 3
	naiveConnections = 64
)

var errNaiveStatus = errors.New("the target answered with a server error")

// NewNaive returns a dispatcher with the naive policy for the targets on the
// board.
func NewNaive(board *blackboard.Board) *Naive {
	return &Naive{board: board, hc: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     naiveConnections,
		MaxIdleConnsPerHost: naiveConnections,
	}}}
}

// Close closes the idle connections.
func (na *Naive) Close() { na.hc.CloseIdleConnections() }

// Do sends the request to the next target in round-robin order.
func (na *Naive) Do(ctx context.Context, req Request) (Answer, error) {
	svc, ok := na.board.Configuration.Load().Document.Services[req.Service]
	if !ok {
		return Answer{}, unknownService(req.Service)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var err error
	for range naiveAttempts {
		vm, ok := na.pick(req.Service)
		if !ok {
			return Answer{}, noTarget(req.Service, time.Second)
		}
		var ans Answer
		if ans, err = na.send(ctx, vm.Address, req, svc.AnswerLimit()); err == nil {
			return ans, nil
		}
	}
	return Answer{}, outcome.MayHaveRun("target-failed", "no target gave a whole answer: "+err.Error(), remedyUnknown)
}

func (na *Naive) pick(name ids.ServiceName) (ids.VM, bool) {
	vms := na.board.VMs.Load()
	if vms == nil {
		return ids.VM{}, false
	}
	live := make([]ids.VM, 0, len(vms.Targets[name]))
	for _, vm := range vms.Targets[name] {
		if vm.State == ids.StateLive {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		return ids.VM{}, false
	}
	return live[na.next.Add(1)%uint64(len(live))], true
}

func (na *Naive) send(ctx context.Context, addr string, req Request, limit int64) (Answer, error) {
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", bytes.NewReader(req.Body))
	if err != nil {
		return Answer{}, err
	}
	hreq.Header = targetHeader(req)
	hrep, err := na.hc.Do(hreq)
	if err != nil {
		return Answer{}, fmt.Errorf("send the request: %w", err)
	}
	defer hrep.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(hrep.Body, limit))
	if err != nil {
		return Answer{}, fmt.Errorf("read the body of the answer: %w", err)
	}
	if hrep.StatusCode >= http.StatusInternalServerError {
		return Answer{}, fmt.Errorf("status %d: %w", hrep.StatusCode, errNaiveStatus)
	}
	return Answer{Status: hrep.StatusCode, Header: hrep.Header, Body: raw}, nil
}
