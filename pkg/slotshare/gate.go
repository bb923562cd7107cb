// Package slotshare divides the slots of one back end among several processes.
// The sum of their parts never exceeds the slots of the back end.
//
// One process is the home of the back end. Its Home records the slots that it
// has lent; the process uses the remaining ones itself. Other processes borrow
// slots for a limited time. The home counts a loan for Terms.Margin longer than
// its borrower may use it, and the borrower measures the time from before it
// sent its request. Messages may therefore be lost, delayed or repeated, and
// either side may be paused. Clocks are monotonic and need not agree.
//
// # Usage
//
// A Gate holds the part of one process. The request path acquires and releases
// slots without locks. The controller that lends and returns slots sets the
// allowance.
//
//	gate := slotshare.NewGate(3)
//	if gate.TryAcquire() {
//		defer gate.Release()
//		...
//	}
//	used := gate.SetAllowance(1) // the other slots can be lent or returned once used <= 1
//
// The home replies to the numbered messages of its borrowers:
//
//	home := slotshare.NewHome[string](gate, 8, terms, slotshare.Monotonic, 0)
//	granted, ok := home.Exchange("borrower", number, keep, want, ownFloor)
//
// A borrower numbers its messages, lowers the allowance of its gate before it
// states how many slots it keeps, and applies only the reply to its newest
// message:
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

// Clock returns the time since an arbitrary origin. It never goes back and
// keeps running while the process is paused.
type Clock func() time.Duration

var origin = time.Now()

// Monotonic is the monotonic clock of the process.
func Monotonic() time.Duration {
	return time.Since(origin)
}

// Gate limits the slots in use to an allowance that may end at a deadline. It
// is safe for concurrent use.
type Gate struct {
	// word holds the allowance in its upper half and the slots in use in its
	// lower half. With both in one word, SetAllowance lowers the allowance and
	// reads the slots in use atomically, and no slot above the allowance can be
	// acquired in between.
	word atomic.Uint64
	// deadline is the clock time from which no slot can be acquired.
	deadline atomic.Int64
	clock    Clock
}

const (
	halfBits   = 32
	noDeadline = time.Duration(math.MaxInt64)
)

// NewGate returns a gate with the allowance, in slots, and no deadline.
func NewGate(allowance int) *Gate {
	return NewGateWithClock(allowance, Monotonic)
}

// NewGateWithClock returns a gate whose deadlines are times of the clock.
func NewGateWithClock(allowance int, clock Clock) *Gate {
	ga := &Gate{clock: clock}
	ga.deadline.Store(int64(noDeadline))
	ga.SetAllowance(allowance)
	return ga
}

// TryAcquire acquires a slot. It reports false if the allowance is used up or
// has ended.
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

// Release releases an acquired slot.
func (ga *Gate) Release() {
	ga.word.Add(^uint64(0))
}

// Ended reports whether the allowance has ended. A caller that takes long to
// prepare a request after TryAcquire should call Ended just before it sends the
// request.
func (ga *Gate) Ended() bool {
	deadline := ga.deadline.Load()
	return deadline != int64(noDeadline) && int64(ga.clock()) >= deadline
}

// SetAllowance replaces the allowance and returns the number of slots in use.
// An allowance below this number does not release slots.
func (ga *Gate) SetAllowance(slots int) int {
	for {
		old := ga.word.Load()
		used := uint32(old)
		if ga.word.CompareAndSwap(old, uint64(slots)<<halfBits|uint64(used)) {
			return int(used)
		}
	}
}

// SetLoan replaces the allowance and the deadline, which is a time of the
// clock. It sets the allowance first, because a higher old allowance must not
// get the later deadline.
func (ga *Gate) SetLoan(slots int, deadline time.Duration) {
	ga.SetAllowance(slots)
	ga.deadline.Store(int64(deadline))
}

// RemoveDeadline removes the deadline of the gate. The allowance must be 0 or
// covered by slots that are not lent.
func (ga *Gate) RemoveDeadline() {
	ga.deadline.Store(int64(noDeadline))
}

// Allowance returns the allowance, which is 0 after it has ended, and the slots
// in use.
func (ga *Gate) Allowance() (slots, used int) {
	word := ga.word.Load()
	if ga.Ended() {
		return 0, int(uint32(word))
	}
	return int(word >> halfBits), int(uint32(word))
}
