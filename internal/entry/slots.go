package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/home"
	"github.com/oleanderwall/oleanderwall/internal/table"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// handOverBound bounds the wait of a leaving entry for the return of its loans.
// Other entries take over the homes that are still in use after that, once they
// have proof that this incarnation has ended.
const handOverBound = 5 * time.Second

// noSlotsBound is how long a starting entry may stay unready because it has no
// slots. It is longer than the loans of a home that the entry takes over from
// its last incarnation.
const noSlotsBound = 5 * time.Second

// lacksSlots reports whether a starting entry has targets listed but no slots
// of them yet. The balancer should then use another entry. An entry that has
// been ready once stays ready.
func (en *Entry) lacksSlots() bool {
	if en.wasReady.Load() || time.Since(en.createdAt) > noSlotsBound {
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

// buildSlots builds the controller that shares the targets' slots with the
// other entries.
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

// finishForwarded waits for the requests that other entries have forwarded to
// this one.
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

// handOverHomes hands the homes over to other entries. It runs when no request
// is in flight.
func (en *Entry) handOverHomes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverBound)
	defer cancel()
	en.slots.Leave(ctx)
	return ctx.Err()
}
