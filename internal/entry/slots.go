package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/home"
	"github.com/oleanderwall/oleanderwall/internal/table"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// handOverBound bounds how long a leaving entry waits for loans to come back.
// Homes that are still in use then are taken over with proof of its end.
const handOverBound = 5 * time.Second

// slotsBound is how long a starting entry may stay unready for want of slots.
// It outlasts the loans of a home that it takes over from its last incarnation.
const slotsBound = 5 * time.Second

// awaitsSlots tells whether a starting entry knows targets but may use none of
// their slots yet, so that the balancer had better use another entry. An entry
// that has been ready once stays ready.
func (en *Entry) awaitsSlots() bool {
	if en.wasReady.Load() || time.Since(en.began) > slotsBound {
		return false
	}
	targets := 0
	for name := range en.Configuration().Document.Services {
		targets += len(en.board.VMs.Load().Targets[name])
	}
	if targets == 0 {
		return false
	}
	gates := en.board.Gates.Load()
	if gates == nil {
		return true
	}
	for _, gate := range gates.ByTarget {
		if slots, _ := gate.Allowance(); slots > 0 {
			return false
		}
	}
	return true
}

// buildSlots builds the controller that shares the targets' slots.
func (en *Entry) buildSlots(rows *table.Client) error {
	en.slots = home.New(home.Options{
		Self: home.Self{
			ID:          en.set.EntryID,
			Incarnation: en.inc,
			Zone:        en.set.AvailabilityZone,
			Region:      en.set.Region,
			Size:        en.set.Size,
		},
		Board:        en.board,
		Rows:         rows,
		Peers:        en.pool,
		ForwardPeers: en.forwardPool,
		Counters:     en.cnt,
		Log:          en.log,
	})
	en.AddLeaveStep("finish-forwarded", en.finishForwarded)
	en.AddLeaveStep("hand-over-homes", en.handOverHomes)
	return en.peers.Register(home.ServiceName, en.slots.Receiver())
}

// finishForwarded waits for the requests that other entries have forwarded.
func (en *Entry) finishForwarded(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	for {
		busy := 0
		for _, load := range en.targets.Load() {
			busy += load.Waiting + load.InFlight
		}
		if busy == 0 {
			return nil
		}
		group.Sleep(ctx, interval)
		if ctx.Err() != nil {
			return fmt.Errorf("%d forwarded requests were in flight: %w", busy, ctx.Err())
		}
	}
}

// handOverHomes hands over the homes of an entry that has no request in flight.
func (en *Entry) handOverHomes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverBound)
	defer cancel()
	en.slots.Leave(ctx)
	return ctx.Err()
}
