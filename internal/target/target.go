// Package target sends service requests to the targets of a service.
//
// # Usage
//
//	di := target.New(board, counters)
//	defer di.Close()
//	ans, err := di.Do(ctx, target.Request{Service: "fitdesk", Body: raw})
//
// # Errors
//
// Do returns *outcome.Error. Its outcome is RefusedDidNotRun only when no
// target has started the request.
package target

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// Request is a service request of a caller.
type Request struct {
	ID         string
	Service    platform.ServiceName
	Team       platform.TeamID
	Kind       platform.RequestKind
	Repeatable bool
	Deadline   time.Time
	Header     http.Header
	Body       []byte
}

// Answer is the whole answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatcher sends requests to targets.
type Dispatcher struct {
	board *blackboard.Board
	cnt   *counter.Set
	next  atomic.Uint64
}

// New returns a dispatcher that finds targets on the board.
func New(board *blackboard.Board, cnt *counter.Set) *Dispatcher {
	return &Dispatcher{board: board, cnt: cnt}
}

// Close releases the connections.
func (di *Dispatcher) Close() {}

// Do sends the request to one target and returns its answer.
func (di *Dispatcher) Do(ctx context.Context, req Request) (Answer, error) {
	conf := di.board.Configuration.Load()
	svc, ok := conf.Document.Services[req.Service]
	if !ok {
		return Answer{}, outcome.Refuse(http.StatusNotFound, "unknown-service",
			fmt.Sprintf("service %q does not exist", req.Service), "create the service or correct the name", 0)
	}
	vm, ok := di.pick(req.Service)
	if !ok {
		return Answer{}, outcome.Refuse(http.StatusServiceUnavailable, "no-target",
			fmt.Sprintf("service %q has no live target", req.Service), "try again after the given time", time.Second)
	}
	return di.send(ctx, vm, svc, req)
}

func (di *Dispatcher) pick(name platform.ServiceName) (platform.VM, bool) {
	vms := di.board.VMs.Load()
	if vms == nil {
		return platform.VM{}, false
	}
	live := make([]platform.VM, 0, len(vms.Targets[name]))
	for _, vm := range vms.Targets[name] {
		if vm.State == platform.StateLive {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		return platform.VM{}, false
	}
	return live[di.next.Add(1)%uint64(len(live))], true
}

func (di *Dispatcher) send(ctx context.Context, vm platform.VM, svc configuration.Service, req Request) (Answer, error) {
	dialer := net.Dialer{Deadline: req.Deadline}
	conn, err := dialer.DialContext(ctx, "tcp", vm.Address)
	if err != nil {
		return Answer{}, outcome.Refuse(http.StatusServiceUnavailable, "target-unreachable",
			"the target cannot be connected to: "+err.Error(), "try again after the given time", time.Second)
	}
	defer conn.Close()
	if err := conn.SetDeadline(req.Deadline); err != nil {
		return Answer{}, err
	}
	ans, err := roundTrip(ctx, conn, vm.Address, req, svc.AnswerLimit())
	if err != nil {
		return Answer{}, outcome.MayHaveRun("target-failed", "the target gave no whole answer: "+err.Error(), "check whether the request took effect before sending it again")
	}
	return ans, nil
}

func roundTrip(ctx context.Context, conn net.Conn, addr string, req Request, limit int64) (Answer, error) {
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", bytes.NewReader(req.Body))
	if err != nil {
		return Answer{}, err
	}
	hreq.Header = req.Header.Clone()
	if hreq.Header == nil {
		hreq.Header = http.Header{}
	}
	hreq.Header.Set("Oleanderwall-Request-Id", req.ID)
	if err := hreq.Write(conn); err != nil {
		return Answer{}, fmt.Errorf("write the request: %w", err)
	}
	hrep, err := http.ReadResponse(bufio.NewReader(conn), hreq)
	if err != nil {
		return Answer{}, fmt.Errorf("read the answer: %w", err)
	}
	defer hrep.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(hrep.Body, limit+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read the body of the answer: %w", err)
	}
	if int64(len(raw)) > limit {
		return Answer{}, fmt.Errorf("the answer is larger than %d bytes", limit)
	}
	return Answer{Status: hrep.StatusCode, Header: hrep.Header, Body: raw}, nil
}
