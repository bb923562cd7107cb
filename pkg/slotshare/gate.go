// Package slotshare shares the slots of one back end among several processes,
// so that their parts never add up to more than the back end has.
//
// One process is the home of the back end. It keeps a Home, which records the
// slots that it has lent, and uses the remaining ones itself. Other processes
// borrow slots for a limited time. The home counts a loan for Terms.Margin
// longer than its borrower may use it, and the borrower counts from before it
// sent its request, so messages may be lost, delayed or repeated and either
// side may be paused. Clocks are monotonic and need not agree.
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
//
// The home answers the numbered messages of its borrowers:
//
//	home := slotshare.NewHome[string](gate, 8, terms, slotshare.Monotonic, 0)
//	granted, ok := home.Exchange("borrower", number, keep, want, ownFloor)
//
// A borrower numbers its messages, lowers its gate before it states what it
// keeps, and applies the reply to its newest message only:
//
//	number := borrower.Begin()
//	keep := slotshare.Keep(gate, 2)
//	... // send number and keep, receive granted
//	deadline, ok := borrower.Accept(number)
//	if ok {
//		gate.SetLoan(granted, deadline)
//	}
package slotshare

import (
	"math"
	"sync/atomic"
	"time"
)

// Clock returns the time since an origin of its own. It never goes back and
// goes on while the process is paused.
type Clock func() time.Duration

var origin = time.Now()

// Monotonic is the monotonic clock of the process.
func Monotonic() time.Duration {
	return time.Since(origin)
}

// Gate counts the slots in use against an allowance that may end at a
// deadline. It may be used by several goroutines at the same time.
type Gate struct {
	// The allowance in the upper half and the slots in use in the lower half,
	// in one word: a slot can never be taken after a lower allowance has been
	// set and the slots in use have been read.
	word atomic.Uint64
	// deadline is the reading of the clock from which no slot can be taken.
	deadline atomic.Int64
	clock    Clock
}

const (
	halfBits = 32
	forever  = time.Duration(math.MaxInt64)
)

// NewGate returns a gate with the allowance, in slots, and no deadline.
func NewGate(allowance int) *Gate {
	return NewGateWithClock(allowance, Monotonic)
}

// NewGateWithClock returns a gate whose deadlines are readings of the clock.
func NewGateWithClock(allowance int, clock Clock) *Gate {
	ga := &Gate{clock: clock}
	ga.deadline.Store(int64(forever))
	ga.SetAllowance(allowance)
	return ga
}

// TryAcquire takes a slot unless the allowance is used up or has ended.
func (ga *Gate) TryAcquire() bool {
	for {
		old := ga.word.Load()
		if uint32(old) >= uint32(old>>halfBits) || ga.Ended() {
			return false
		}
		if !ga.word.CompareAndSwap(old, old+1) {
			continue
		}
		// The process may have been paused since the check above.
		if ga.Ended() {
			ga.Release()
			return false
		}
		return true
	}
}

// Release gives a slot back.
func (ga *Gate) Release() {
	ga.word.Add(^uint64(0))
}

// Ended reports whether the allowance has ended. A caller that prepares a
// request for long after TryAcquire should ask again just before it sends it.
func (ga *Gate) Ended() bool {
	deadline := ga.deadline.Load()
	return deadline != int64(forever) && int64(ga.clock()) >= deadline
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

// SetLoan replaces the allowance and the deadline, a reading of the clock. The
// allowance is set first: a lower one must not get the later deadline.
func (ga *Gate) SetLoan(slots int, deadline time.Duration) {
	ga.SetAllowance(slots)
	ga.deadline.Store(int64(deadline))
}

// Own removes the deadline of a gate. Its allowance must be 0 or backed by
// slots that are not lent.
func (ga *Gate) Own() {
	ga.deadline.Store(int64(forever))
}

// Allowance returns the allowance, 0 when it has ended, and the slots in use.
func (ga *Gate) Allowance() (slots, used int) {
	word := ga.word.Load()
	if ga.Ended() {
		return 0, int(uint32(word))
	}
	return int(word >> halfBits), int(uint32(word))
}
