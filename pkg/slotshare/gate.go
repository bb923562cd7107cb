// Package slotshare shares the slots of one back end among several processes,
// so that their parts never add up to more than the back end has.
//
// # Usage
//
// A Gate holds the part of one process. The request path takes and releases
// slots without locks; the controller that lends and returns slots sets the
// allowance.
//
//	gate := slotshare.NewGate(3)
//	if gate.TryAcquire() {
//		defer gate.Release()
//		...
//	}
//	used := gate.SetAllowance(1) // slots above 1 are free to give away once used <= 1
package slotshare

import "sync/atomic"

// Gate counts the slots in use against an allowance. It may be used by several
// goroutines at the same time.
type Gate struct {
	// The allowance in the upper half and the slots in use in the lower half,
	// in one word: a slot can never be taken after a lower allowance has been
	// set and the slots in use have been read.
	word atomic.Uint64
}

const halfBits = 32

// NewGate returns a gate with the allowance, in slots.
func NewGate(allowance int) *Gate {
	ga := &Gate{}
	ga.SetAllowance(allowance)
	return ga
}

// TryAcquire takes a slot unless the allowance is used up.
func (ga *Gate) TryAcquire() bool {
	for {
		old := ga.word.Load()
		if uint32(old) >= uint32(old>>halfBits) {
			return false
		}
		if ga.word.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// Release gives a slot back.
func (ga *Gate) Release() {
	ga.word.Add(^uint64(0))
}

// SetAllowance replaces the allowance and returns the slots in use. Slots in
// use stay in use when the allowance falls below them.
func (ga *Gate) SetAllowance(slots int) int {
	for {
		old := ga.word.Load()
		used := uint32(old)
		if ga.word.CompareAndSwap(old, uint64(slots)<<halfBits|uint64(used)) {
			return int(used)
		}
	}
}

// Allowance returns the allowance and the slots in use.
func (ga *Gate) Allowance() (slots, used int) {
	word := ga.word.Load()
	return int(word >> halfBits), int(uint32(word))
}
