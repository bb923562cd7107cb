package home

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/rpc"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/peer"
	"github.com/oleanderwall/oleanderwall/internal/target"
)

const (
	offerMethod   = ServiceName + ".Offer"
	forwardMethod = ServiceName + ".Forward"
	familyForward = "forward"
)

const (
	// maxForwarded limits the requests of other entries that run here.
	maxForwarded = 64
	// maxTries limits the entries that one request is offered to.
	maxTries = 2
	// offerTimeout is the timeout of a query for free slots. A peer that does not
	// answer in time gets no request.
	offerTimeout = 100 * time.Millisecond
	// answerValidity is how long after an answer the connection to a peer is
	// assumed to work.
	answerValidity = 500 * time.Millisecond
	// The bounds of the backoff after a peer had no free slot.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// replyGrace is how long an answer is awaited after the deadline: the peer
	// decides at the deadline, and its reply needs time to arrive.
	replyGrace = 200 * time.Millisecond
	// The round-trip times that are assumed until one has been measured.
	sameZoneRoundTrip  = time.Millisecond
	otherZoneRoundTrip = 2 * time.Millisecond
)

// OfferArgs requests the number of free slots of a service.
type OfferArgs struct {
	Service ids.ServiceName
}

// OfferReply is the number of free slots of the service.
type OfferReply struct {
	Free int
}

// ForwardArgs is a service request that another entry forwards. Times are
// relative because the clocks of entries need not agree.
type ForwardArgs struct {
	ID         string
	Service    ids.ServiceName
	Team       ids.TeamID
	Kind       ids.RequestKind
	Repeatable bool
	Remaining  time.Duration
	Header     http.Header
	Body       []byte
}

// ForwardReply is the answer to a forwarded request. Refused means that the
// request provably did not run.
type ForwardReply struct {
	Refused bool
	Failed  bool
	Error   outcome.Error
	Answer  target.Answer
	Free    int
}

type peerKey struct {
	entry   ids.EntryID
	service ids.ServiceName
}

// peerLoad is the last known number of free slots of a peer in one service.
type peerLoad struct {
	free       int
	answeredAt time.Duration
	backoff    time.Duration
	askAfter   time.Duration
	roundTrip  time.Duration
}

// Forwarder forwards requests to entries with free slots, over at most one hop.
type Forwarder struct {
	co      *Controller
	peers   atomic.Pointer[[]entryView]
	running atomic.Int64

	mu    sync.Mutex
	loads map[peerKey]*peerLoad
}

func newForwarder(co *Controller) *Forwarder {
	return &Forwarder{co: co, loads: map[peerKey]*peerLoad{}}
}

func (fw *Forwarder) setPeers(peers []entryView) { fw.peers.Store(&peers) }

// Forward forwards the request if a peer has a free slot and the expected wait
// here is longer than the round trip. It returns false if the request provably
// did not run elsewhere.
func (fw *Forwarder) Forward(ctx context.Context, req target.Request, expectedWait time.Duration) (target.Answer, bool, error) {
	peers := fw.peers.Load()
	if req.Forwarded || peers == nil {
		return target.Answer{}, false, nil
	}
	for _, en := range fw.choose(*peers, req.Service, expectedWait) {
		if !fw.hasFree(ctx, en, req.Service) {
			continue
		}
		if ans, done, err := fw.send(ctx, en, req); done {
			return ans, true, err
		}
	}
	return target.Answer{}, false, nil
}

// choose returns at most maxTries peers to try: peers of the own zone first,
// then by free slots. The round trip to a peer must be shorter than the wait.
func (fw *Forwarder) choose(peers []entryView, service ids.ServiceName, wait time.Duration) []entryView {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	now := fw.co.opt.Clock()
	type choice struct {
		en   entryView
		far  bool
		free int
	}
	var found []choice
	for _, en := range peers {
		far := en.zone != fw.co.opt.Self.Zone
		pl := fw.load(en, service, far)
		if now < pl.askAfter || pl.roundTrip >= wait {
			continue
		}
		found = append(found, choice{en, far, pl.free})
	}
	sort.SliceStable(found, func(i, j int) bool {
		if found[i].far != found[j].far {
			return !found[i].far
		}
		return found[i].free > found[j].free
	})
	out := make([]entryView, 0, maxTries)
	for _, ch := range found[:min(maxTries, len(found))] {
		out = append(out, ch.en)
	}
	return out
}

func (fw *Forwarder) load(en entryView, service ids.ServiceName, far bool) *peerLoad {
	key := peerKey{en.id, service}
	pl := fw.loads[key]
	if pl == nil {
		pl = &peerLoad{roundTrip: sameZoneRoundTrip, answeredAt: math.MinInt64 / 2}
		if far {
			pl.roundTrip = otherZoneRoundTrip
		}
		fw.loads[key] = pl
	}
	return pl
}

// hasFree reports whether the peer has a free slot. It queries the peer unless
// a recent answer reported one, because a request that is not repeatable must
// not be written to a connection that no longer responds.
func (fw *Forwarder) hasFree(ctx context.Context, en entryView, service ids.ServiceName) bool {
	far := en.zone != fw.co.opt.Self.Zone
	fw.mu.Lock()
	pl := fw.load(en, service, far)
	now := fw.co.opt.Clock()
	if pl.free > 0 && now-pl.answeredAt < answerValidity {
		pl.free--
		fw.mu.Unlock()
		return true
	}
	// Other requests skip this peer while the query is in flight.
	pl.askAfter = now + minBackoff
	fw.mu.Unlock()
	octx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	rep := &OfferReply{}
	err := fw.co.opt.ForwardPeers.Call(octx, en.address, offerMethod, &OfferArgs{Service: service}, rep)
	fw.co.opt.Counters.Add(familyForward, "offer", 1)
	fw.recordAnswer(pl, rep.Free, err == nil)
	if err != nil || rep.Free == 0 {
		return false
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	pl.free--
	// A moving average over about four round trips.
	pl.roundTrip += (fw.co.opt.Clock() - now - pl.roundTrip) / 4
	return true
}

// recordAnswer records the free slots of a peer. A peer without any is not queried
// again until a backoff has passed; the backoff doubles each time.
func (fw *Forwarder) recordAnswer(pl *peerLoad, free int, answered bool) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	now := fw.co.opt.Clock()
	pl.free = free
	if answered {
		pl.answeredAt = now
	}
	if free > 0 {
		pl.backoff, pl.askAfter = 0, 0
		return
	}
	pl.backoff = min(maxBackoff, max(minBackoff, 2*pl.backoff))
	pl.askAfter = now + pl.backoff
}

type forwardResult struct {
	rep *ForwardReply
	err error
}

// send forwards the request. It returns false if the peer was unreachable or
// refused the request without running it.
func (fw *Forwarder) send(ctx context.Context, en entryView, req target.Request) (target.Answer, bool, error) {
	remaining := time.Until(req.Deadline)
	args := &ForwardArgs{
		ID: req.ID, Service: req.Service, Team: req.Team, Kind: req.Kind, Repeatable: req.Repeatable,
		Remaining: remaining, Header: req.Header, Body: req.Body,
	}
	cnt := fw.co.opt.Counters
	cnt.Add(familyForward, "sent", 1)
	done := make(chan forwardResult, 1)
	// The call does not end with ctx: a cancelled call closes the connection, on
	// which other requests wait for answers.
	started := fw.co.grp.Go(func(gctx context.Context) {
		cctx, cancel := context.WithTimeout(gctx, remaining+replyGrace)
		defer cancel()
		rep := &ForwardReply{}
		err := fw.co.opt.ForwardPeers.Call(cctx, en.address, forwardMethod, args, rep)
		done <- forwardResult{rep, err}
	})
	if !started {
		return target.Answer{}, false, nil
	}
	select {
	case <-ctx.Done():
		cnt.Add(familyForward, "unknown", 1)
		return target.Answer{}, true, outcome.MayHaveRun("forward-abandoned", "the request was passed on to another entry, whose answer did not arrive in time: "+ctx.Err().Error(), "check whether the request took effect before sending it again")
	case res := <-done:
		return fw.handleResult(en, req.Service, res)
	}
}

func (fw *Forwarder) handleResult(en entryView, service ids.ServiceName, res forwardResult) (target.Answer, bool, error) {
	cnt := fw.co.opt.Counters
	fw.mu.Lock()
	pl := fw.load(en, service, en.zone != fw.co.opt.Self.Zone)
	fw.mu.Unlock()
	var se rpc.ServerError
	switch {
	// Receiver.Forward returns no error, so a ServerError means that the peer
	// could not call it.
	case errors.Is(res.err, peer.ErrUnreachable), errors.As(res.err, &se):
		fw.recordAnswer(pl, 0, false)
		cnt.Add(familyForward, "unreachable", 1)
		return target.Answer{}, false, nil
	case res.err != nil:
		fw.recordAnswer(pl, 0, false)
		cnt.Add(familyForward, "unknown", 1)
		return target.Answer{}, true, outcome.MayHaveRun("forward-broken", "the request was passed on to another entry, and the connection broke: "+res.err.Error(), "check whether the request took effect before sending it again")
	}
	fw.recordAnswer(pl, res.rep.Free, true)
	if res.rep.Refused {
		cnt.Add(familyForward, "refused", 1)
		return target.Answer{}, false, nil
	}
	cnt.Add(familyForward, "answered", 1)
	if res.rep.Failed {
		oe := res.rep.Error
		return target.Answer{}, true, &oe
	}
	return res.rep.Answer, true, nil
}

// Offer returns how many slots of the service are free for other entries.
func (rc *Receiver) Offer(args OfferArgs, rep *OfferReply) error {
	rep.Free = rc.co.freeForPeers(args.Service)
	return nil
}

// Forward runs the request of another entry if a slot is free.
func (rc *Receiver) Forward(args ForwardArgs, rep *ForwardReply) error {
	co := rc.co
	running := &co.forwarder.running
	defer running.Add(-1)
	if running.Add(1) > maxForwarded || args.Remaining <= 0 || co.freeForPeers(args.Service) == 0 {
		co.opt.Counters.Add(familyForward, "received-refused", 1)
		rep.Refused = true
		return nil
	}
	co.opt.Counters.Add(familyForward, "received", 1)
	ctx, cancel := context.WithTimeout(co.grp.Context(), args.Remaining)
	defer cancel()
	ans, err := co.dispatcher.DoForwarded(ctx, target.Request{
		ID: args.ID, Service: args.Service, Team: args.Team, Kind: args.Kind, Repeatable: args.Repeatable,
		Forwarded: true, Deadline: time.Now().Add(args.Remaining), Header: args.Header, Body: args.Body,
	})
	rep.Free = co.freeForPeers(args.Service)
	if err != nil {
		rep.Error = *outcome.From(err)
		rep.Refused = rep.Error.Outcome == outcome.RefusedDidNotRun
		rep.Failed = !rep.Refused
		return nil
	}
	rep.Answer = ans
	return nil
}

// freeForPeers returns how many slots requests of other entries may take now:
// all free slots but the last, and none while requests wait here.
func (co *Controller) freeForPeers(service ids.ServiceName) int {
	vms, gates := co.opt.Board.VMs.Load(), co.opt.Board.Gates.Load()
	if vms == nil || gates == nil {
		return 0
	}
	co.mu.Lock()
	leaving := co.leaving
	co.mu.Unlock()
	if leaving {
		return 0
	}
	for _, sl := range co.dispatcher.Load() {
		if sl.Service == service && sl.Waiting > 0 {
			return 0
		}
	}
	sum := 0
	for _, vm := range vms.Targets[service] {
		if gate := gates.ByTarget[ids.TargetID(vm.ID)]; gate != nil && vm.State == ids.StateLive {
			slots, used := gate.Allowance()
			sum += max(0, slots-used)
		}
	}
	return max(0, sum-1)
}
