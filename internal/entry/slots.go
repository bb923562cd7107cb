package entry

import (
	"context"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/home"
	"github.com/oleanderwall/oleanderwall/internal/table"
)

// handOverBound bounds how long a leaving entry waits for loans to come back.
// Homes that are still in use then are taken over with proof of its end.
const handOverBound = 5 * time.Second

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
	return en.peers.Register(home.ServiceName, en.slots.Receiver())
}

// leaveSlots hands over the homes of an entry that has no request in flight.
func (en *Entry) leaveSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverBound)
	defer cancel()
	en.slots.Leave(ctx)
}
