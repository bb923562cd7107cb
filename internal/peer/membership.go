package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/pausedetect"
)

// MembershipOptions are the dependencies of a Membership.
type MembershipOptions struct {
	Board  *blackboard.Board
	Server *Server
	Pool   *Pool
	// Self describes this entry; PeerAddress is the address it listens on.
	Self blackboard.Member
	// Interval is the time between heartbeats to a peer of the same zone.
	Interval time.Duration
	// Addresses are peers that the settings name.
	Addresses []string
	Pause     *pausedetect.Detector
	Counters  *counter.Set
	Log       zerolog.Logger
	// OnHigherNumber, if set, is called when a peer reports a configuration number
	// above the one in force here. It must not block.
	OnHigherNumber func(addr string, number configuration.Number)
}

// Membership exchanges heartbeats with the other entries and publishes their
// state as blackboard.Members.
//
// An entry that stops answering becomes suspect after suspectPeriods. It counts
// as gone only with proof; suspicion alone is never proof.
type Membership struct {
	opt MembershipOptions
	grp *group.Group

	mu           sync.Mutex
	contacts     map[string]*contact
	states       map[ids.Incarnation]*peerState
	latest       map[ids.EntryID]*peerState // the incarnation that sent the latest heartbeat
	remoteFactor time.Duration              // factor of the heartbeat period between zones
	gone         map[ids.Incarnation]blackboard.GoneReason
	goneOrder    []ids.Incarnation
	listed       map[listing]bool
	listFetched  time.Time
	pauseEpoch   uint64
	dirty        bool
	publishedAt  time.Time // time of the last snapshot
	closing      bool
}

// contact is an address at which a peer is called.
type contact struct {
	id             ids.EntryID // "" until known
	nextCall       time.Time
	inFlight       bool
	identitySentTo ids.Incarnation // incarnation that has our identity
	callNow        bool            // call now, whichever side normally calls
	failures       int
}

// listing is a VM and its address in the VM list.
type listing struct {
	id   ids.EntryID
	addr string
}

// peerState is one incarnation of a peer.
type peerState struct {
	mem           blackboard.Member
	listenAddress string
	complete      bool
	refusedAt     time.Time // start of the first refused probe since the last heartbeat
	missingLists  int       // consecutive lists without the VM
	suspect       bool
}

const (
	// suspectPeriods covers two missed heartbeats and one more period, in which
	// the side that normally only answers makes a call.
	suspectPeriods = 3
	// silentPeriods is the time without heartbeats after which the side of a pair
	// that normally only answers makes a call.
	silentPeriods = 1.5
	// remotePeersPerInterval limits the cost of heartbeats between zones: with
	// more peers in other zones the period grows, up to maxRemoteFactor intervals.
	// See docs/membership.md for the measured cost.
	remotePeersPerInterval = 12
	maxRemoteFactor        = 4
	// ticksPerInterval is how often per interval contacts are checked for a due
	// call.
	ticksPerInterval = 5
	// unlistedFetches is how many consecutive lists must lack a VM: a single list
	// may come from a stale replica.
	unlistedFetches = 3
	// maxGone limits the proofs kept. At 180 restarts per day it is reached after
	// 22 days.
	maxGone = 4096
	// minRefusalGap is the minimum time between the two refused probes of a proof.
	minRefusalGap = 200 * time.Millisecond
	// After more than slowRetryFailures an address is called once per slowRetry,
	// which is often enough to agree within seconds after a partition heals.
	slowRetryFailures = 4
	slowRetry         = 2 * time.Second
	// leaveTimeout is the timeout of one leave message.
	leaveTimeout = 500 * time.Millisecond
)

// NewMembership registers the receiver of heartbeats with the server. Start
// begins to call peers.
func NewMembership(opt MembershipOptions) (*Membership, error) {
	me := &Membership{
		opt:          opt,
		grp:          group.New(context.Background()),
		contacts:     map[string]*contact{},
		states:       map[ids.Incarnation]*peerState{},
		latest:       map[ids.EntryID]*peerState{},
		remoteFactor: 1,
		gone:         map[ids.Incarnation]blackboard.GoneReason{},
		listed:       map[listing]bool{},
		pauseEpoch:   opt.Pause.Epoch(),
	}
	if err := opt.Server.Register(MembershipName, receiver{me}); err != nil {
		return nil, err
	}
	me.opt.Board.Members.Publish(me.snapshot())
	return me, nil
}

// Start begins to call peers.
func (me *Membership) Start() {
	me.grp.Every(me.opt.Interval/ticksPerInterval, me.tick)
}

// Close stops heartbeats and waits.
func (me *Membership) Close() {
	me.grp.Close()
}

// Leave stops heartbeats and notifies every peer that this incarnation leaves.
// A peer that misses the message needs another proof that it has ended.
func (me *Membership) Leave(ctx context.Context) {
	me.mu.Lock()
	me.closing = true
	me.mu.Unlock()
	me.grp.Close()
	grp := group.New(ctx)
	for _, addr := range me.Addresses() {
		grp.Go(func(context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
			defer cancel()
			args := Leave{Incarnation: me.opt.Self.Incarnation}
			_ = me.opt.Pool.Call(callCtx, addr, MembershipName+".Leave", &args, &Nothing{})
		})
	}
	grp.Wait()
}

// Announce sends a heartbeat to every peer now, so that they receive a new
// configuration number without waiting for the next period.
func (me *Membership) Announce() {
	me.mu.Lock()
	defer me.mu.Unlock()
	for addr, co := range me.contacts {
		co.callNow = true // a call in flight may carry the old number
		me.startHeartbeat(addr, co, me.period(co.id))
	}
}

// Addresses returns the addresses of all known peers, reachable or not.
func (me *Membership) Addresses() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.updateContacts()
	out := make([]string, 0, len(me.contacts))
	for addr := range me.contacts {
		out = append(out, addr)
	}
	return out
}

func (me *Membership) tick(context.Context) {
	epoch := me.opt.Pause.Epoch()
	me.mu.Lock()
	defer me.mu.Unlock()
	now := time.Now()
	if epoch != me.pauseEpoch {
		me.resetAfterPause(now)
		me.pauseEpoch = epoch
	}
	me.updateContacts()
	me.updateRemoteFactor()
	me.updateSuspects(now)
	for addr, co := range me.contacts {
		period := me.period(co.id)
		due := !now.Before(co.nextCall) && me.shouldCall(co, now, period)
		if co.callNow || due {
			me.startHeartbeat(addr, co, period)
		}
	}
	if now.Sub(me.publishedAt) >= me.opt.Interval {
		me.dirty = true
	}
	me.publish()
	me.updateGauges()
}

// updateGauges updates the gauges of the traffic between entries.
func (me *Membership) updateGauges() {
	received, sent := me.opt.Pool.Traffic().Bytes()
	serverReceived, serverSent := me.opt.Server.Traffic().Bytes()
	me.opt.Counters.Gauge("peer.bytes-received", received+serverReceived)
	me.opt.Counters.Gauge("peer.bytes-sent", sent+serverSent)
}

// resetAfterPause discards observations made before a pause: missing heartbeats
// and refused probes of that time contain no information about the peers.
func (me *Membership) resetAfterPause(now time.Time) {
	me.opt.Log.Warn().Dur("gap", me.opt.Pause.LastGap()).Msg("paused")
	me.opt.Counters.Add(counter.Peer, "paused", 1)
	for _, st := range me.states {
		st.mem.LastHeard = now
		st.refusedAt = time.Time{}
		st.missingLists = 0
	}
}

// updateContacts updates the contacts from the VM list, or from the settings
// while there is no list.
func (me *Membership) updateContacts() {
	vms := me.opt.Board.VMs.Load()
	if vms == nil || len(vms.Entries) == 0 {
		for _, addr := range me.opt.Addresses {
			me.addContact(addr, "")
		}
		return
	}
	if vms.Fetched.Equal(me.listFetched) {
		return
	}
	me.listFetched = vms.Fetched
	current := map[listing]bool{}
	for _, vm := range vms.Entries {
		id := ids.EntryID(vm.ID)
		if id == me.opt.Self.ID || vm.PeerAddress == "" {
			continue
		}
		row := listing{id: id, addr: vm.PeerAddress}
		current[row] = true
		me.listed[row] = true
		me.addContact(vm.PeerAddress, id)
	}
	for _, st := range me.states {
		row := listing{id: st.mem.ID, addr: st.mem.PeerAddress}
		if current[row] || !me.listed[row] {
			st.missingLists = 0
			continue
		}
		st.missingLists++
	}
	me.dropContacts(current)
}

func (me *Membership) addContact(addr string, id ids.EntryID) {
	if addr == me.opt.Self.PeerAddress {
		return
	}
	co := me.contacts[addr]
	if co == nil {
		// The first calls are spread over one interval, so that a start does not
		// open a burst of connections.
		delay := time.Duration(rand.Int64N(int64(me.opt.Interval)))
		co = &contact{nextCall: time.Now().Add(delay)}
		me.contacts[addr] = co
	}
	if id != "" {
		co.id = id
	}
}

// dropContacts removes the contacts of identified entries whose address is
// neither listed nor that of an incarnation of an unlisted entry. So an address
// from the settings is removed when its entry is listed under another address.
func (me *Membership) dropContacts(current map[listing]bool) {
	ids := map[ids.EntryID]bool{}
	addrs := map[string]bool{}
	for row := range current {
		ids[row.id] = true
		addrs[row.addr] = true
	}
	for _, st := range me.states {
		if !ids[st.mem.ID] {
			addrs[st.mem.PeerAddress] = true
		}
	}
	for addr, co := range me.contacts {
		if !addrs[addr] && co.id != "" {
			delete(me.contacts, addr)
		}
	}
	for row := range me.listed {
		if !addrs[row.addr] {
			delete(me.listed, row)
		}
	}
}

// shouldCall reports whether this side calls. The entry with the lower id calls.
// The other side calls only if it has received no heartbeat for silentPeriods,
// because a partition may block connections in one direction only.
func (me *Membership) shouldCall(co *contact, now time.Time, period time.Duration) bool {
	st := me.latest[co.id]
	if co.id == "" || st == nil || me.opt.Self.ID < co.id {
		return true
	}
	return now.Sub(st.mem.LastHeard) > time.Duration(silentPeriods*float64(period))
}

// period returns the time between heartbeats with the entry.
func (me *Membership) period(id ids.EntryID) time.Duration {
	st := me.latest[id]
	if st == nil || st.mem.AvailabilityZone == me.opt.Self.AvailabilityZone {
		return me.opt.Interval
	}
	return me.opt.Interval * me.remoteFactor
}

// updateRemoteFactor sets the factor of the period between zones.
func (me *Membership) updateRemoteFactor() {
	remote := 0
	for _, st := range me.latest {
		if st.mem.AvailabilityZone != me.opt.Self.AvailabilityZone {
			remote++
		}
	}
	factor := (remote + remotePeersPerInterval - 1) / remotePeersPerInterval
	me.remoteFactor = time.Duration(min(maxRemoteFactor, max(1, factor)))
}

// startHeartbeat starts a heartbeat. The caller holds the lock.
func (me *Membership) startHeartbeat(addr string, co *contact, period time.Duration) {
	if co.inFlight || me.closing {
		return
	}
	co.inFlight = true
	co.callNow = false
	wait := period
	if co.failures > slowRetryFailures {
		wait = max(period, slowRetry)
	}
	co.nextCall = time.Now().Add(jitter(wait))
	me.grp.Go(func(ctx context.Context) {
		me.sendHeartbeat(ctx, addr, period)
		me.mu.Lock()
		co.inFlight = false
		me.mu.Unlock()
	})
}

// jitter varies a period randomly by up to a tenth in both directions.
func jitter(period time.Duration) time.Duration {
	return period*9/10 + time.Duration(rand.Int64N(int64(period/5)+1))
}

func (me *Membership) needsIdentity(addr string) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	co := me.contacts[addr]
	return co == nil || co.identitySentTo == ""
}

// handleHeartbeat records a heartbeat from a peer and returns the answer to it.
func (me *Membership) handleHeartbeat(args *Beat) Beat {
	me.mu.Lock()
	defer me.mu.Unlock()
	reply := me.ownHeartbeat(args.Identity != nil)
	if reason, ok := me.gone[args.Incarnation]; ok {
		reply.DeclaredGone = reason
		if reason != blackboard.GoneLeft {
			me.opt.Counters.Add(counter.Peer, "heard-though-gone", 1)
		}
		return reply
	}
	st := me.recordHeartbeat(args)
	reply.NeedIdentity = !st.complete
	me.publish()
	return reply
}

// recordHeartbeat records that an incarnation is alive. The caller holds the lock.
func (me *Membership) recordHeartbeat(heartbeat *Beat) *peerState {
	st := me.states[heartbeat.Incarnation]
	if st == nil {
		st = &peerState{mem: blackboard.Member{ID: heartbeat.Incarnation.Entry(), Incarnation: heartbeat.Incarnation}}
		me.states[heartbeat.Incarnation] = st
		me.dirty = true
	}
	if id := heartbeat.Identity; id != nil && !st.complete {
		st.complete = true
		st.listenAddress = id.ListenAddress
		st.mem.AvailabilityZone = id.AvailabilityZone
		st.mem.Region = id.Region
		st.mem.Size = id.Size
		me.dirty = true
	}
	if st.mem.PeerAddress == "" {
		st.mem.PeerAddress = me.addressOf(st)
	}
	if st.mem.Configuration != heartbeat.Configuration || st.suspect {
		me.dirty = true
	}
	st.mem.Configuration = heartbeat.Configuration
	st.mem.LastHeard = time.Now()
	if me.latest[st.mem.ID] != st {
		me.latest[st.mem.ID] = st
		me.dirty = true
	}
	st.refusedAt = time.Time{}
	st.suspect = false
	if me.opt.OnHigherNumber != nil && st.mem.PeerAddress != "" {
		own := me.opt.Board.Configuration.Load()
		if own == nil || own.Number < heartbeat.Configuration {
			me.opt.OnHigherNumber(st.mem.PeerAddress, heartbeat.Configuration)
		}
	}
	return st
}

// addressOf returns the address for calls to the entry of an inbound heartbeat:
// the one from the list or the settings, else the one that the entry listens on.
func (me *Membership) addressOf(st *peerState) string {
	for addr, co := range me.contacts {
		if co.id == st.mem.ID {
			return addr
		}
	}
	if st.listenAddress != "" && identifiesProcess(st.listenAddress, me.opt.Self.PeerAddress) {
		me.addContact(st.listenAddress, st.mem.ID)
		return st.listenAddress
	}
	return ""
}

// handleAnswer records the answer to our own call.
func (me *Membership) handleAnswer(addr string, reply *Beat) {
	me.mu.Lock()
	defer me.mu.Unlock()
	co := me.contacts[addr]
	if co == nil {
		return
	}
	if reply.Incarnation == me.opt.Self.Incarnation {
		delete(me.contacts, addr) // our own address in the settings
		return
	}
	if co.identitySentTo != "" && co.identitySentTo != reply.Incarnation || reply.NeedIdentity {
		co.nextCall = time.Time{} // the new incarnation needs our identity now
		co.identitySentTo = ""
	} else {
		co.identitySentTo = reply.Incarnation
	}
	co.id = reply.Incarnation.Entry()
	co.failures = 0
	if reply.DeclaredGone != "" {
		me.reportDeclaredGone(addr, reply.DeclaredGone)
	}
	if _, ok := me.gone[reply.Incarnation]; ok {
		me.opt.Counters.Add(counter.Peer, "heard-though-gone", 1)
		return
	}
	// Two processes can't listen on one address, so the one that answers now has
	// replaced the others. An inbound heartbeat is no such proof, because it may
	// be a delayed one of an old incarnation.
	for inc, st := range me.states {
		sameEntry := st.mem.PeerAddress == addr && st.mem.ID == co.id
		if inc != reply.Incarnation && (sameEntry || me.sameListener(st, reply.Identity)) {
			me.markGone(inc, blackboard.GoneReplaced)
		}
	}
	st := me.recordHeartbeat(reply)
	if st.mem.PeerAddress != addr {
		st.mem.PeerAddress = addr
		me.dirty = true
	}
	if !st.complete {
		co.identitySentTo = ""
	}
	me.publish()
}

// sameListener reports whether the process of the identity listens at the address
// of the incarnation: the platform may reuse the address of an old VM for a new
// one.
func (me *Membership) sameListener(st *peerState, id *Identity) bool {
	return id != nil && id.ListenAddress == st.listenAddress && identifiesProcess(st.listenAddress, me.opt.Self.PeerAddress)
}

func (me *Membership) reportDeclaredGone(addr string, reason blackboard.GoneReason) {
	me.opt.Counters.Add(counter.Peer, "declared-gone", 1)
	me.opt.Log.Error().Str("peer", addr).Str("reason", string(reason)).Msg("declared-gone")
}

// recordFailure records a failed call and returns the incarnations to probe:
// those at the address and those of the entry that the address belongs to. An
// incarnation that called before the VM list was read is recorded with the
// address that it listens on, which the list may not contain.
func (me *Membership) recordFailure(addr string) []ids.Incarnation {
	me.mu.Lock()
	defer me.mu.Unlock()
	co := me.contacts[addr]
	if co == nil {
		return nil
	}
	co.identitySentTo = ""
	co.failures++
	var out []ids.Incarnation
	for inc, st := range me.states {
		if st.mem.PeerAddress == addr || (co.id != "" && st.mem.ID == co.id) {
			out = append(out, inc)
		}
	}
	return out
}

func (me *Membership) probeAddress(inc ids.Incarnation) string {
	me.mu.Lock()
	defer me.mu.Unlock()
	st := me.states[inc]
	if st == nil || !identifiesProcess(st.listenAddress, me.opt.Self.PeerAddress) {
		return ""
	}
	return st.listenAddress
}

// recordProbe records the result of a probe that began at the given time. Two
// consecutive refused probes, with no heartbeat since the first began, are
// proof that the incarnation has ended.
func (me *Membership) recordProbe(inc ids.Incarnation, began time.Time, refused bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	st := me.states[inc]
	switch {
	case st == nil || st.mem.LastHeard.After(began):
		return
	case !refused:
		st.refusedAt = time.Time{}
	case st.refusedAt.IsZero():
		st.refusedAt = began
	case began.Sub(st.refusedAt) >= minRefusalGap:
		me.markGone(inc, blackboard.GoneRefused)
		me.publish()
	}
}

func (me *Membership) handleLeave(inc ids.Incarnation) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.markGone(inc, blackboard.GoneLeft)
	me.publish()
}

// updateSuspects marks silent incarnations as suspect. It marks suspects as gone
// if their VM is no longer listed.
func (me *Membership) updateSuspects(now time.Time) {
	for inc, st := range me.states {
		limit := suspectPeriods * me.period(st.mem.ID)
		if !st.suspect && now.Sub(st.mem.LastHeard) > limit {
			st.suspect = true
			me.dirty = true
			me.opt.Counters.Add(counter.Peer, "suspected", 1)
			me.opt.Log.Warn().Str("incarnation", string(inc)).Msg("peer-suspect")
		}
		// An entry that answers is not gone, even if its VM is not listed.
		if st.suspect && st.missingLists >= unlistedFetches {
			me.markGone(inc, blackboard.GoneUnlisted)
		}
	}
}

// markGone records the proof that an incarnation has ended. The caller holds the
// lock.
func (me *Membership) markGone(inc ids.Incarnation, reason blackboard.GoneReason) {
	if _, ok := me.gone[inc]; ok {
		return
	}
	if st := me.states[inc]; st != nil && me.latest[st.mem.ID] == st {
		delete(me.latest, st.mem.ID)
	}
	delete(me.states, inc)
	next := maps.Clone(me.gone) // published maps never change
	next[inc] = reason
	me.goneOrder = append(me.goneOrder, inc)
	if len(me.goneOrder) > maxGone {
		delete(next, me.goneOrder[0])
		me.goneOrder = me.goneOrder[1:]
	}
	me.gone = next
	me.dirty = true
	me.opt.Counters.Add(counter.Peer, string(reason), 1)
	me.opt.Log.Info().Str("incarnation", string(inc)).Str("reason", string(reason)).Msg("peer-gone")
}

// publish replaces the snapshot if it has changed. Changes only in the times of
// the last heartbeats are published once per interval, by tick. The caller holds
// the lock.
func (me *Membership) publish() {
	if me.dirty {
		me.dirty = false
		me.publishedAt = time.Now()
		me.opt.Board.Members.Publish(me.snapshot())
	}
}

func (me *Membership) snapshot() *blackboard.Members {
	out := &blackboard.Members{
		Alive:   map[ids.EntryID]blackboard.Member{},
		Suspect: map[ids.EntryID]blackboard.Member{},
		Gone:    me.gone,
	}
	for _, st := range me.states {
		if !st.complete || me.latest[st.mem.ID] != st {
			continue
		}
		if st.suspect {
			out.Suspect[st.mem.ID] = st.mem
		} else {
			out.Alive[st.mem.ID] = st.mem
		}
	}
	return out
}
