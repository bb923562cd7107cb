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

// MembershipName is the name that the receiver of heartbeats is registered
// under.
const MembershipName = "membership"

// Identity is what stays the same during an incarnation. It travels only until
// the receiver knows it.
type Identity struct {
	AvailabilityZone ids.AvailabilityZone
	Region           ids.RegionName
	Size             int
	// ListenAddress is the address that the process itself listens on. Only a
	// refusal at this address proves that the process has ended: the address
	// of the VM list may belong to a proxy that refuses for others.
	ListenAddress string
}

// Beat is a heartbeat and the answer to one. The answer tells the caller as
// much as the call tells the receiver, so one call serves both directions.
type Beat struct {
	Incarnation   ids.Incarnation
	Configuration configuration.Number
	// Identity is nil once the other side knows it.
	Identity *Identity
	// NeedIdentity, in an answer, asks the caller to send its identity.
	NeedIdentity bool
	// DeclaredGone, in an answer, tells the caller that the answering entry
	// holds a proof that the caller's incarnation has ended.
	DeclaredGone blackboard.GoneReason
}

// Leave tells that an incarnation has left gracefully.
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
	*reply = re.me.received(args)
	return nil
}

// Leave notes that the peer has left.
func (re receiver) Leave(args *Leave, _ *Nothing) error {
	re.me.left(args.Incarnation)
	return nil
}

// beat calls one contact. After a failure it tries once more at once: the
// connection may have gone silent, and the pool then opens a new one.
func (me *Membership) beat(ctx context.Context, addr string, period time.Duration) {
	const tries = 2
	var err error
	for range tries {
		var reply Beat
		args := me.ownBeat(me.needsIdentity(addr))
		callCtx, cancel := context.WithTimeout(ctx, period/2)
		err = me.opt.Pool.Call(callCtx, addr, MembershipName+".Beat", &args, &reply)
		cancel()
		if err == nil {
			me.answered(addr, &reply)
			return
		}
		if ctx.Err() != nil {
			return
		}
		me.opt.Counters.Add(counter.Peer, "heartbeat-failed", 1)
	}
	me.opt.Log.Debug().Str("address", addr).Err(err).Msg("heartbeat-failed")
	for _, inc := range me.failed(addr) {
		me.probe(ctx, inc)
	}
}

func (me *Membership) ownBeat(withIdentity bool) Beat {
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
// on. The kernel accepts for a process that is paused, and drops when its
// backlog is full, so a refusal shows that no process listens there.
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
	me.probed(inc, began, errors.Is(err, syscall.ECONNREFUSED))
}

// provable tells whether a refusal at addr proves anything to a process that
// listens on own. A loopback address names another process
// only when both run on the same VM.
func provable(addr, own string) bool {
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
