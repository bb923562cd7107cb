// Package blackboard holds the state that the controllers of an entry share.
//
// Each entry of the board is an immutable snapshot behind an atomic pointer.
// A controller builds a new snapshot and publishes it whole (read-copy-update);
// the request path loads it without locks and must not change it.
//
// # Usage
//
//	snap := board.Targets.Load()
//	board.Targets.Publish(&blackboard.Targets{Number: n, ByService: m})
//	changed := board.Targets.Changed() // closed at the next Publish
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Cell holds one snapshot. The zero value holds nil.
type Cell[T any] struct {
	value atomic.Pointer[T]

	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the present snapshot, nil before the first Publish.
func (ce *Cell[T]) Load() *T {
	return ce.value.Load()
}

// Publish replaces the snapshot and closes the channel of Changed.
func (ce *Cell[T]) Publish(snap *T) {
	ce.Update(func(*T) *T { return snap })
}

// Update replaces the snapshot by the result of fn for the present one. The
// updates of one cell are serialized. fn returns its argument to leave the cell
// unchanged.
func (ce *Cell[T]) Update(fn func(old *T) *T) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	old := ce.value.Load()
	snap := fn(old)
	if snap == old {
		return
	}
	ce.value.Store(snap)
	if ce.changed != nil {
		close(ce.changed)
		ce.changed = nil
	}
}

// Changed returns a channel that is closed by the next change of the cell.
func (ce *Cell[T]) Changed() <-chan struct{} {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if ce.changed == nil {
		ce.changed = make(chan struct{})
	}
	return ce.changed
}
