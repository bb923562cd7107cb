package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/platform"
	"github.com/oleanderwall/oleanderwall/internal/target"
)

// naive is the policy to compare with: round robin over the live targets, up
// to three tries on any error, and no limit on what waits.
type naive struct {
	board *blackboard.Board
	hc    *http.Client
	next  atomic.Uint64
}

const naiveTries = 3

func newNaive(board *blackboard.Board, start uint64) *naive {
	nv := &naive{board: board, hc: httpClient()}
	nv.next.Store(start)
	return nv
}

// Do sends the request to the targets in turn until one answers.
func (nv *naive) Do(ctx context.Context, req target.Request) (target.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var fault error
	for range naiveTries {
		vm, ok := nv.pick(req.Service)
		if !ok {
			return target.Answer{}, outcome.Refuse(http.StatusServiceUnavailable, "no-target", "no live target", "try again", time.Second)
		}
		ans, err := nv.send(ctx, vm, req)
		if err == nil {
			return ans, nil
		}
		fault = err
	}
	return target.Answer{}, outcome.MayHaveRun("target-failed", fault.Error(), "ask again")
}

func (nv *naive) pick(name platform.ServiceName) (platform.VM, bool) {
	var live []platform.VM
	for _, vm := range nv.board.VMs.Load().Targets[name] {
		if vm.State == platform.StateLive {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		return platform.VM{}, false
	}
	return live[nv.next.Add(1)%uint64(len(live))], true
}

func (nv *naive) send(ctx context.Context, vm platform.VM, req target.Request) (target.Answer, error) {
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Address+"/", bytes.NewReader(req.Body))
	if err != nil {
		return target.Answer{}, err
	}
	hreq.Header.Set("Oleanderwall-Request-Id", req.ID)
	rep, err := nv.hc.Do(hreq)
	if err != nil {
		return target.Answer{}, err
	}
	defer rep.Body.Close()
	raw, err := io.ReadAll(rep.Body)
	if err != nil {
		return target.Answer{}, err
	}
	if rep.StatusCode >= http.StatusInternalServerError {
		return target.Answer{}, fmt.Errorf("status %d", rep.StatusCode)
	}
	return target.Answer{Status: rep.StatusCode, Header: rep.Header, Body: raw}, nil
}
