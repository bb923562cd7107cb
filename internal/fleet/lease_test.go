package fleet

import (
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// fakeOwner is the owner of a task that the entry under test runs. The test
// sends its batches.
type fakeOwner struct {
	self    dispatch.Self
	untold  bool
	batches atomic.Int64 // number of batches from the other entry
}

// Deliver answers a batch.
func (fo *fakeOwner) Deliver(_ Batch, ack *Ack) error {
	fo.batches.Add(1)
	*ack = Ack{Incarnation: fo.self.Incarnation, Protocol: peerProtocol, Linked: true, Untold: fo.untold}
	return nil
}

// serve acknowledges the batches of other entries until the test ends.
func (fo *fakeOwner) serve(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fo.self.PeerAddress = lis.Addr().String()
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", fo); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	time.AfterFunc(0, func() {
		defer close(served)
		srv.Accept(lis)
	})
	t.Cleanup(func() {
		if err := lis.Close(); err != nil {
			t.Error(err)
		}
		<-served
	})
}

// contact is a time at which the owner provably had contact with the holder. The
// holder may use it from the time since on.
type contact struct{ at, since time.Time }

// contacts holds the contacts of a session in order.
type contacts struct {
	mu   sync.Mutex
	list []contact
}

func (to *contacts) add(at, since time.Time) {
	to.mu.Lock()
	defer to.mu.Unlock()
	to.list = append(to.list, contact{at: at, since: since})
}

// last returns the last contact that a holder may use at a time.
func (to *contacts) last(now time.Time) (time.Time, bool) {
	to.mu.Lock()
	defer to.mu.Unlock()
	for num := len(to.list) - 1; num >= 0; num-- {
		if !to.list[num].since.After(now) {
			return to.list[num].at, true
		}
	}
	return time.Time{}, false
}

// TestLeaseAfterContact guards against a task that runs twice because its holder
// extends the lease for longer than its owner assumes. A batch of the owner
// proves only that it had contact when the previous batch was answered, and an
// ack proves nothing while messages of the owner are in flight.
func TestLeaseAfterContact(t *testing.T) {
	for _, untold := range []bool{true, false} {
		t.Run(fmt.Sprintf("untold %v", untold), func(t *testing.T) {
			cl := startCluster(t, 1, 1, time.Minute)
			fo := &fakeOwner{self: dispatch.Self{Incarnation: ids.NewIncarnation("z-owner"), Zone: "north", Size: 0.1}, untold: untold}
			fo.serve(t)
			end := time.Now().Add(waitLimit)
			for session := uint64(1); ; session++ {
				// A session that ends early on a busy machine is not a failure.
				err := fo.checkLeases(t, cl, session)
				if err == nil {
					return
				}
				if time.Now().After(end) {
					t.Fatalf("no session has lasted for %s: %v", waitLimit, err)
				}
			}
		})
	}
}

// checkLeases runs a session in which the owner sends few batches. It compares
// the leases that the holder requests with the times of contact.
func (fo *fakeOwner) checkLeases(t *testing.T, cl *cluster, session uint64) error {
	const (
		// ownerContact is the longest time from a contact to the end of a lease, see
		// docs/fleet.md.
		ownerContact = 1500 * time.Millisecond
		// tolerance covers the error of reading the worker's clock.
		tolerance = 30 * time.Millisecond
		// pause is the time between two batches. It is below inboundTimeout.
		pause = 600 * time.Millisecond
	)
	peer, err := rpc.Dial("tcp", cl.entries[0].opt.Self.PeerAddress)
	if err != nil {
		return err
	}
	defer peer.Close()
	known := &contacts{}
	var previous time.Time
	send := func(messages ...dispatch.Message) error {
		batch := Batch{From: fo.self.Incarnation, Session: session, Protocol: peerProtocol, Self: &fo.self, Hears: true, Messages: messages}
		sent := time.Now()
		if !previous.IsZero() {
			known.add(previous, sent)
		}
		err := peer.Call("Peer.Deliver", batch, &Ack{})
		previous = time.Now()
		if len(known.list) == 0 {
			known.add(previous, sent)
		}
		return err
	}
	received := fo.batches.Load()
	if err := send(); err != nil {
		return err
	}
	cl.eventually("the holder has a session with the owner", func() bool { return fo.batches.Load() > received+1 })
	ref := dispatch.TaskRef{Task: dispatch.TaskID(fmt.Sprintf("%016x.0.0.0", session)), Run: 1}
	if err := send(dispatch.Start{
		Group: dispatch.GroupID(session), Job: ids.JobID(fmt.Sprintf("%016x", session)),
		Shape: dispatch.Shape{
			Service: "fitdesk", Need: dispatch.Resources{CPU: 1000, Memory: 64},
			Estimate: time.Minute, InTime: time.Minute, Late: time.Hour,
		},
		Tasks: []dispatch.Assignment{{TaskRef: ref}},
	}); err != nil {
		return err
	}
	var mu sync.Mutex
	holds, full := 0, 0
	var violations []string
	setOnHold := func(hook func(order dispatch.HoldOrder)) {
		cl.workers.mu.Lock()
		defer cl.workers.mu.Unlock()
		cl.workers.onHold = hook
	}
	setOnHold(func(order dispatch.HoldOrder) {
		at, ok := known.last(time.Now())
		if !ok || !order.Extend {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		holds++
		if lease := time.Duration(order.Until - memClock()); lease > ownerContact-pause {
			full++
		}
		if excess := time.Duration(order.Until) - at.Add(ownerContact).Sub(memEpoch); fo.untold && excess > tolerance {
			violations = append(violations, fmt.Sprintf("a lease ends %s later than %s after the last contact with the owner", excess, ownerContact))
		}
	})
	defer setOnHold(nil)
	for range 4 {
		time.Sleep(pause)
		if err := send(); err != nil {
			return err
		}
	}
	cl.workers.mu.Lock()
	running := cl.workers.running[ref.Task]
	cl.workers.mu.Unlock()
	if running != 1 {
		return fmt.Errorf("%d runs of the task, want 1", running)
	}
	setOnHold(nil)
	mu.Lock()
	defer mu.Unlock()
	for _, text := range violations {
		t.Error(text)
	}
	if holds == 0 || (!fo.untold && full < holds/2) {
		t.Errorf("of %d leases, %d are extended in full", holds, full)
	}
	return nil
}
