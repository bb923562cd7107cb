package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// MembershipName is the name under which the receiver of heartbeats is
// registered.
const MembershipName = "membership"

// Identity holds the properties that do not change during an incarnation. It is
// sent only until the receiver has it.
type Identity struct {
	AvailabilityZone ids.AvailabilityZone
	Region           ids.RegionName
	Size             int
	// ListenAddress is the address that the process itself listens on. Only a
	// refused connection at this address proves that the process has ended: the
	// address in the VM list may belong to a proxy that refuses connections on
	// behalf of other processes.
	ListenAddress string
}

// Beat is a heartbeat and also the answer to one. Call and answer carry the same
// data, so one call serves both directions.
type Beat struct {
	Incarnation   ids.Incarnation
	Configuration configuration.Number
	// Identity is nil once the other side has it.
	Identity *Identity
	// NeedIdentity, in an answer, requests the identity of the caller.
	NeedIdentity bool
	// DeclaredGone, in an answer, is the reason for which the answering entry
	// counts the caller's incarnation as gone. It is empty otherwise.
	DeclaredGone blackboard.GoneReason
}

// Leave announces that an incarnation has left gracefully.
type Leave struct {
	Incarnation ids.Incarnation
}

// Nothing is an empty answer.
type Nothing struct{}

// receiver holds the methods that peers call.
type receiver struct {
	me *Membership
}

// Beat answers a heartbeat.
func (re receiver) Beat(args, reply *Beat) error {
	*reply = re.me.handleHeartbeat(args)
	return nil
}

// Leave records that the peer has left.
func (re receiver) Leave(args *Leave, _ *Nothing) error {
	re.me.handleLeave(args.Incarnation)
	return nil
}

// sendHeartbeat sends a heartbeat to one contact. After a failure it retries once
// without a pause: the connection may no longer respond, and the pool then opens
// a new one.
func (me *Membership) sendHeartbeat(ctx context.Context, addr string, period time.Duration) {
	const tries = 2
	var err error
	for range tries {
		var reply Beat
		args := me.ownHeartbeat(me.needsIdentity(addr))
		callCtx, cancel := context.WithTimeout(ctx, period/2)
		err = me.opt.Pool.Call(callCtx, addr, MembershipName+".Beat", &args, &reply)
		cancel()
		if err == nil {
			me.handleAnswer(addr, &reply)
			return
		}
		if ctx.Err() != nil {
			return
		}
		me.opt.Counters.Add(counter.Peer, "heartbeat-failed", 1)
	}
	me.opt.Log.Debug().Str("address", addr).Err(err).Msg("heartbeat-failed")
	for _, inc := range me.recordFailure(addr) {
		me.probe(ctx, inc)
	}
}

func (me *Membership) ownHeartbeat(withIdentity bool) Beat {
	out := Beat{Incarnation: me.opt.Self.Incarnation}
	if version := me.opt.Board.Configuration.Load(); version != nil {
		out.Configuration = version.Number
	}
	if withIdentity {
		out.Identity = &Identity{
			AvailabilityZone: me.opt.Self.AvailabilityZone,
			Region:           me.opt.Self.Region,
			Size:             me.opt.Self.Size,
			ListenAddress:    me.opt.Self.PeerAddress,
		}
	}
	return out
}

// probe opens a connection to the address that the incarnation itself listens
// on. The kernel accepts connections for a paused process, and drops them when
// the backlog is full, so a refused connection shows that no process listens
// there.
func (me *Membership) probe(ctx context.Context, inc ids.Incarnation) {
	addr := me.probeAddress(inc)
	if addr == "" {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	began := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	me.recordProbe(inc, began, errors.Is(err, syscall.ECONNREFUSED))
}

// identifiesProcess reports whether addr identifies one process for a process
// that listens on own, so that a refused connection at addr proves that the
// process has ended. A loopback address does so only if both processes run on
// the same VM.
func identifiesProcess(addr, own string) bool {
	ip, ownIP := ipOf(addr), ipOf(own)
	if ip == nil || ip.IsUnspecified() {
		return false
	}
	return !ip.IsLoopback() || ownIP != nil && ownIP.IsLoopback()
}

func ipOf(addr string) net.IP {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}
