package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// VMsName is the name under which the receiver of VM list fetches is
// registered.
const VMsName = "vms"

// VMsReply is the list of VMs that a peer read last, in JSON form. It is empty
// if the peer has none.
type VMsReply struct {
	List []byte
}

// vmsReceiver serves the list of VMs.
type vmsReceiver struct {
	board *blackboard.Board
}

// RegisterVMs lets peers fetch the list of VMs.
func RegisterVMs(srv *Server, board *blackboard.Board) error {
	return srv.Register(VMsName, vmsReceiver{board})
}

// Fetch returns the list of VMs.
func (re vmsReceiver) Fetch(_ *Nothing, reply *VMsReply) error {
	vms := re.board.VMs.Load()
	if vms == nil {
		return nil
	}
	raw, err := json.Marshal(vms.All())
	reply.List = raw
	return err
}

// VMPeers fetches the list of VMs from the members.
type VMPeers struct {
	Pool    *Pool
	Members *Membership
}

// ErrNoPeerList means that no peer has returned a list of VMs.
var ErrNoPeerList = errors.New("no reachable peer returned a list of VMs; check the platform's list and the peers in the settings")

// Fetch returns the list of the first peer that has one.
func (vp VMPeers) Fetch(ctx context.Context) ([]ids.VM, error) {
	const timeout = 500 * time.Millisecond
	for _, addr := range vp.Members.Addresses() {
		vms, err := vp.fetchFrom(ctx, addr, timeout)
		if err == nil && len(vms) > 0 {
			return vms, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, ErrNoPeerList
}

func (vp VMPeers) fetchFrom(ctx context.Context, addr string, timeout time.Duration) ([]ids.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply VMsReply
	if err := vp.Pool.Call(ctx, addr, VMsName+".Fetch", &Nothing{}, &reply); err != nil || len(reply.List) == 0 {
		return nil, err
	}
	var vms []ids.VM
	if err := json.Unmarshal(reply.List, &vms); err != nil {
		return nil, fmt.Errorf("decode the list of VMs from %s: %w", addr, err)
	}
	return vms, nil
}
