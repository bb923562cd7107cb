package fleet

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/intake"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The timing of sessions between entries. Owners rely on inboundTimeout: a
// holder detects within this time that its owner has ended a session.
const (
	// linkHeartbeat is the longest pause between two batches of a session, in at
	// least one of the two directions between two entries.
	linkHeartbeat = 200 * time.Millisecond
	// linkSlowHeartbeat is the longest pause in the other direction, while the
	// batches and acks of the first one prove that both entries keep both
	// sessions. It detects connections that went silent.
	linkSlowHeartbeat = 800 * time.Millisecond
	// linkTimeout is the time without an answer after which a session ends. Round
	// trips take 1 ms; an entry that is slowed down five times still answers in
	// time.
	linkTimeout = 600 * time.Millisecond
	// inboundTimeout is the time without a batch after which the receiver ends a
	// session.
	inboundTimeout       = 900 * time.Millisecond
	silenceCheckInterval = 100 * time.Millisecond
	// abortMinAge is the least age of a session that abort ends. The other entry
	// may have made its batch before it accepted a younger session. abortMinAge is
	// below linkRetry, because an entry that ends a session waits for linkRetry
	// before it begins a new one.
	abortMinAge = 100 * time.Millisecond
	// linkRetry is the pause before an entry is dialled again.
	linkRetry   = 150 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxMessageBytes bounds a batch or an ack. The largest have a desired state
	// of hundreds of kilobytes, or the reports of all workers of a zone.
	maxMessageBytes = 8 << 20
)

// peerProtocol is the version of the messages between entries. Version 0
// supports neither omitted loads nor sessions with slow heartbeats, version 1 no
// messages about evacuations.
const peerProtocol = 2

// Batch is what one entry sends to another in one call.
type Batch struct {
	From    ids.Incarnation
	Session uint64
	// Protocol is the peerProtocol of the sender.
	Protocol int
	// Self is set in the first batch of a session.
	Self *dispatch.Self
	// Hears is set if the receiver has a session with the sender, in the other
	// direction.
	Hears bool
	// Spare is set if the sender keeps the session only because the receiver
	// keeps the one in the other direction.
	Spare bool
	// SameLoad is set if the load has not changed since it was last sent. Load is
	// then empty.
	SameLoad       bool
	Load           dispatch.Load
	DesiredVersion int64
	// EvacuationVersion is that of the set of evacuated zones.
	EvacuationVersion dispatch.Version
	Messages          []dispatch.Message
}

// Ack acknowledges a batch. Its sender is the receiver of the batch.
type Ack struct {
	Incarnation ids.Incarnation
	Protocol    int
	// Linked is set if the sender keeps its outbound session with the receiver.
	Linked bool
	// Untold is set if messages for the receiver are queued or in flight.
	Untold         bool
	SameLoad       bool // as in Batch
	Load           dispatch.Load
	DesiredVersion int64
	// EvacuationVersion is as in Batch.
	EvacuationVersion dispatch.Version
}

func init() {
	for _, msg := range []dispatch.Message{
		dispatch.Start{},
		dispatch.Want{},
		dispatch.Unwant{},
		dispatch.Grant{},
		dispatch.Running{},
		dispatch.Ended{},
		dispatch.Stop{},
		dispatch.Adopt{},
		dispatch.Adopted{},
		dispatch.Released{},
		dispatch.Handover{},
		dispatch.NewDesired{},
		dispatch.JobNews{},
		dispatch.Check{},
		dispatch.Noted{},
		dispatch.Claimed{},
		dispatch.PastEnds{},
		dispatch.WorkerNews{},
		dispatch.AskDesired{},
		dispatch.AskEvacuations{},
		dispatch.Evacuations{},
		dispatch.AskMove{},
	} {
		gob.Register(msg)
	}
}

// link keeps the outbound session with one entry. The lock of the daemon guards
// its fields.
type link struct {
	dm       *Daemon
	to       ids.EntryID
	address  string
	up       bool
	upAt     time.Time
	aborted  bool // the receiver has ended the session
	spare    bool // as in Batch
	unneeded bool // the session is no longer needed
	protocol int  // of the receiver
	queue    []dispatch.Message
	inFlight bool // messages are in flight
	wake     chan struct{}
}

// updateLinks starts the links that are needed and marks the others as unneeded.
func (dm *Daemon) updateLinks(en *dispatch.Entry) {
	list := en.Links()
	needed := make(map[ids.EntryID]bool, len(list))
	for _, want := range list {
		id := want.Incarnation.Entry()
		needed[id] = true
		lk := dm.links[id]
		if lk == nil {
			lk = &link{dm: dm, to: id, wake: make(chan struct{}, 1)}
			dm.links[id] = lk
			dm.grp.Go(lk.run)
		}
		lk.address, lk.spare, lk.unneeded = want.PeerAddress, want.Spare, false
	}
	for id, lk := range dm.links {
		if !needed[id] {
			lk.unneeded = true
		}
	}
}

// loadFor returns the load to send to an entry. If the load was sent before and
// may be omitted, it returns an empty load and true. Entries of protocol 0 need
// the load every time.
func (dm *Daemon) loadFor(en *dispatch.Entry, to ids.EntryID, protocol int, always bool) (dispatch.Load, bool) {
	load := en.Load()
	if !load.Same(dm.load) {
		load.Number = dm.load.Number + 1
		dm.load = load
	}
	if protocol > 0 && !always && dm.sentLoad[to] == dm.load.Number {
		return dispatch.Load{}, true
	}
	dm.sentLoad[to] = dm.load.Number
	return dm.load, false
}

// supported reports whether entries of a protocol version can decode a message.
func supported(msg dispatch.Message, protocol int) bool {
	switch msg.(type) {
	case dispatch.WorkerNews, dispatch.AskDesired:
		return protocol > 0
	case dispatch.AskEvacuations, dispatch.Evacuations, dispatch.AskMove:
		return protocol > 1
	default:
		return true
	}
}

// push queues a message. It drops the message if there is no session or if the
// receiver can't decode it.
func (lk *link) push(msg dispatch.Message) {
	if !lk.up || !supported(msg, lk.protocol) {
		return
	}
	lk.queue = append(lk.queue, msg)
	select {
	case lk.wake <- struct{}{}:
	default:
	}
}

// run keeps a session until ctx ends or the session is no longer needed.
func (lk *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		var address string
		needed := true
		lk.dm.locked(func(*dispatch.Entry) {
			address, needed = lk.address, lk.dm.links[lk.to] == lk && !lk.unneeded
			if !needed && lk.dm.links[lk.to] == lk {
				delete(lk.dm.links, lk.to)
			}
		})
		if !needed {
			return
		}
		err := lk.session(ctx, address)
		if ctx.Err() != nil {
			return
		}
		lk.dm.locked(func(en *dispatch.Entry) {
			lk.up, lk.queue, lk.inFlight = false, nil, false
			en.SessionDown(lk.to, err.Error())
			if errors.Is(err, syscall.ECONNREFUSED) {
				en.ConnectionRefused(lk.to)
			}
		})
		if !errors.Is(err, errUnneeded) {
			group.Sleep(ctx, linkRetry)
		}
	}
}

// errUnneeded ends a session that is no longer needed.
var errUnneeded = errors.New("this entry no longer needs its session to that entry")

// session runs one session until it fails.
func (lk *link) session(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	watched := &watchedConn{Conn: conn, ended: make(chan struct{})}
	cl := rpc.NewClient(intake.BoundMessages(watched, maxMessageBytes))
	defer cl.Close()
	var number uint64
	lk.dm.locked(func(*dispatch.Entry) {
		lk.aborted, lk.protocol = false, 0
		delete(lk.dm.sentLoad, lk.to)
		// Session numbers increase within an incarnation. Another incarnation
		// has another From.
		lk.dm.lastSession++
		number = lk.dm.lastSession
	})
	self := &lk.dm.opt.Self
	for {
		batch := Batch{From: lk.dm.opt.Self.Incarnation, Session: number, Protocol: peerProtocol, Self: self}
		unneeded := false
		var sent time.Time
		lk.dm.locked(func(en *dispatch.Entry) {
			unneeded = lk.unneeded && len(lk.queue) == 0
			batch.Load, batch.SameLoad = lk.dm.loadFor(en, lk.to, lk.protocol, len(lk.queue) > 0)
			batch.Hears, batch.Spare = en.HasInbound(lk.to), lk.spare
			if des := en.Desired(); des != nil {
				batch.DesiredVersion = des.Version
			}
			batch.EvacuationVersion = en.EvacuationVersion()
			batch.Messages, lk.queue = lk.queue, nil
			lk.inFlight, sent = len(batch.Messages) > 0, lk.dm.lockedAt
		})
		if unneeded {
			return errUnneeded
		}
		self = nil
		ack, err := lk.deliver(ctx, conn, cl, batch)
		if err != nil {
			return err
		}
		if !lk.handleAck(ack, sent) {
			return errSessionEnded
		}
		lk.wait(ctx, lk.heartbeatPause(), watched.ended)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// heartbeatPause returns the longest pause before the next batch. If both
// directions have a session, only the entry with the lower id sends fast
// heartbeats. Its batches and their acks prove the sessions of both directions.
func (lk *link) heartbeatPause() time.Duration {
	pause := linkHeartbeat
	lk.dm.locked(func(en *dispatch.Entry) {
		if lk.protocol > 0 && lk.to < lk.dm.opt.Self.Incarnation.Entry() && en.HasInbound(lk.to) {
			pause = linkSlowHeartbeat
		}
	})
	return pause
}

// watchedConn closes ended when a read of the connection fails, so that the
// session ends without waiting for the next heartbeat.
type watchedConn struct {
	net.Conn
	once  sync.Once
	ended chan struct{}
}

func (wc *watchedConn) Read(raw []byte) (int, error) {
	count, err := wc.Conn.Read(raw)
	if err != nil {
		wc.once.Do(func() { close(wc.ended) })
	}
	return count, err
}

// wait returns when there is a message to send, the pause is over, the connection
// has ended or ctx ends.
func (lk *link) wait(ctx context.Context, pause time.Duration, ended <-chan struct{}) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-lk.wake:
	case <-ended:
	case <-timer.C:
	}
}

// deliver sends a batch and waits for its ack up to linkTimeout.
func (lk *link) deliver(ctx context.Context, conn net.Conn, cl *rpc.Client, batch Batch) (Ack, error) {
	if err := conn.SetDeadline(time.Now().Add(linkTimeout + linkSlowHeartbeat)); err != nil {
		return Ack{}, err
	}
	var ack Ack
	timer := time.NewTimer(linkTimeout)
	defer timer.Stop()
	call := cl.Go("Peer.Deliver", batch, &ack, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return ack, call.Error
	case <-timer.C:
		return Ack{}, fmt.Errorf("no answer within %s", linkTimeout)
	case <-ctx.Done():
		return Ack{}, ctx.Err()
	}
}

// handleAck applies the ack of a batch that was sent at a time. It reports
// whether the session continues.
func (lk *link) handleAck(ack Ack, sent time.Time) bool {
	continues := true
	lk.dm.locked(func(en *dispatch.Entry) {
		if lk.aborted {
			continues = false
			return
		}
		lk.protocol, lk.inFlight = ack.Protocol, false
		if !lk.up {
			lk.up, lk.upAt = true, lk.dm.lockedAt
			en.SessionUp(lk.to, ack.Incarnation)
		}
		en.Answered(lk.to, sent)
		if ack.Linked {
			lk.dm.recordInboundContact(en, lk.to)
			if !ack.Untold {
				en.RecordContact(lk.to, sent)
			}
		}
		if !ack.SameLoad {
			en.HandlePeerLoad(lk.to, ack.Load)
		}
		lk.dm.handleDesiredVersion(en, lk.to, ack.Protocol, ack.DesiredVersion)
		en.HandlePeerEvacuations(lk.to, ack.EvacuationVersion)
	})
	return continues
}

// abort ends a session that its receiver has ended: the receiver has begun a
// new session in the other direction and does not have this one. If the end were
// detected later, it would end the new session too, and the sessions of both
// directions would end each other again and again.
func (lk *link) abort(en *dispatch.Entry) {
	if !lk.up || lk.dm.lockedAt.Sub(lk.upAt) < abortMinAge {
		return
	}
	lk.up, lk.aborted, lk.queue = false, true, nil
	en.SessionDown(lk.to, "ended by the receiver")
	select {
	case lk.wake <- struct{}{}:
	default:
	}
}

// handleDesiredVersion handles the version of the desired state that another
// entry has reported. An entry of protocol 0 does not request a newer version,
// so it is sent one.
func (dm *Daemon) handleDesiredVersion(en *dispatch.Entry, to ids.EntryID, protocol int, version int64) {
	if protocol > 0 {
		en.HandlePeerDesired(to, version)
		return
	}
	if des := en.Desired(); des != nil && des.Version > version {
		if lk := dm.links[to]; lk != nil {
			lk.push(dispatch.NewDesired{Desired: *des})
		}
	}
}

// inbound is the receiving end of a session. The lock of the daemon guards its
// fields.
type inbound struct {
	dm          *Daemon
	conn        net.Conn
	from        ids.EntryID
	number      uint64
	lastContact time.Time
	// answeredAt is when the last batch was answered. The sender makes the next
	// batch after that time.
	answeredAt time.Time
	ended      bool
}

// accept accepts and serves connections of other entries until ctx ends.
func (dm *Daemon) accept(ctx context.Context) {
	dm.grp.Go(func(ctx context.Context) {
		<-ctx.Done()
		if err := dm.lis.Close(); err != nil {
			dm.log.Log("listener-close", "error", err.Error())
		}
	})
	for ctx.Err() == nil {
		conn, err := dm.lis.Accept()
		if err != nil {
			if ctx.Err() == nil {
				dm.log.Log("accept-failed", "error", err.Error())
				group.Sleep(ctx, linkRetry)
			}
			continue
		}
		dm.grp.Go(func(ctx context.Context) { dm.serve(ctx, conn) })
	}
}

// serve handles one connection. The session ends with the connection.
func (dm *Daemon) serve(ctx context.Context, conn net.Conn) {
	// Other entries keep their connections open; Close must not wait for them.
	stop := context.AfterFunc(ctx, func() {
		if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			dm.log.Log("session-close", "error", err.Error())
		}
	})
	defer stop()
	in := &inbound{dm: dm, conn: conn, lastContact: dm.clock()}
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", &Peer{in: in}); err != nil {
		dm.log.Log("register-failed", "error", err.Error())
		return
	}
	dm.locked(func(*dispatch.Entry) { dm.inbound[in] = true })
	srv.ServeConn(intake.BoundMessages(conn, maxMessageBytes))
	dm.locked(func(en *dispatch.Entry) { in.end(en, "connection closed") })
}

// end ends the session of a connection.
func (in *inbound) end(en *dispatch.Entry, reason string) {
	delete(in.dm.inbound, in)
	if in.ended {
		return
	}
	in.ended = true
	if in.from != "" {
		en.InboundDown(in.from, in.number, reason)
	}
}

// checkSilence ends the inbound sessions without a batch for inboundTimeout.
func (dm *Daemon) checkSilence(en *dispatch.Entry) {
	now := dm.lockedAt
	if now.Sub(dm.silenceCheckedAt) < silenceCheckInterval {
		return
	}
	dm.silenceCheckedAt = now
	for in := range dm.inbound {
		if now.Sub(in.lastContact) > inboundTimeout {
			in.end(en, "silent")
			if err := in.conn.Close(); err != nil {
				dm.log.Log("session-close", "error", err.Error())
			}
		}
	}
}

// Peer is the net/rpc service that entries call.
type Peer struct{ in *inbound }

// errSessionEnded answers a batch on a session that has ended.
var errSessionEnded = errors.New("the session has ended")

// Deliver handles a batch.
func (pe *Peer) Deliver(batch Batch, ack *Ack) error {
	in := pe.in
	var err error
	in.dm.locked(func(en *dispatch.Entry) {
		if in.ended || (in.from != "" && !en.IsInbound(in.from, in.number)) {
			err = errSessionEnded
			return
		}
		if in.from == "" && en.Replaced(batch.From) {
			in.dm.log.Log("session-refused", "incarnation", string(batch.From))
			err = errSessionEnded
			return
		}
		in.lastContact = in.dm.lockedAt
		from := batch.From.Entry()
		if in.from == "" {
			in.begin(en, from, batch)
		}
		en.HandlePeerSpare(from, batch.Spare)
		if !batch.SameLoad {
			en.HandlePeerLoad(from, batch.Load)
		}
		for _, msg := range batch.Messages {
			en.Receive(from, msg)
		}
		en.RecordContact(from, in.answeredAt)
		in.answeredAt = in.dm.lockedAt
		ack.Incarnation = in.dm.opt.Self.Incarnation
		ack.Protocol = peerProtocol
		if lk := in.dm.links[from]; lk != nil && en.HasInbound(from) {
			ack.Linked = lk.up
			ack.Untold = lk.inFlight || len(lk.queue) > 0
		}
		ack.Load, ack.SameLoad = in.dm.loadFor(en, from, batch.Protocol, len(batch.Messages) > 0)
		if des := en.Desired(); des != nil {
			ack.DesiredVersion = des.Version
		}
		ack.EvacuationVersion = en.EvacuationVersion()
		in.dm.handleDesiredVersion(en, from, batch.Protocol, batch.DesiredVersion)
		en.HandlePeerEvacuations(from, batch.EvacuationVersion)
	})
	return err
}

// begin handles the first batch of a session.
func (in *inbound) begin(en *dispatch.Entry, from ids.EntryID, batch Batch) {
	dm := in.dm
	if lk := dm.links[from]; lk != nil && !batch.Hears {
		lk.abort(en)
	}
	in.from, in.number = from, dm.nextSession()
	if batch.Self != nil {
		en.AddMember(*batch.Self)
	}
	delete(dm.sentLoad, from)
	en.InboundUp(from, in.number)
	en.HandlePeerSpare(from, batch.Spare)
	if en.LinksChanged() {
		dm.updateLinks(en)
	}
}

// recordInboundContact records that an entry still keeps its session with this
// one.
func (dm *Daemon) recordInboundContact(en *dispatch.Entry, id ids.EntryID) {
	for in := range dm.inbound {
		if in.from == id && !in.ended && en.IsInbound(id, in.number) {
			in.lastContact = dm.lockedAt
		}
	}
}

// nextSession returns a number for an inbound session.
func (dm *Daemon) nextSession() uint64 {
	dm.lastSession++
	return dm.lastSession
}
