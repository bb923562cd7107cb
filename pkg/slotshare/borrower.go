package slotshare

import "time"

// Borrower numbers the messages from one borrower to one home process. It is not
// safe for concurrent use.
type Borrower struct {
	terms  Terms
	clock  Clock
	number uint64
	sent   time.Duration
}

// NewBorrower returns a borrower that has sent nothing.
func NewBorrower(terms Terms, clock Clock) *Borrower {
	return &Borrower{terms: terms, clock: clock}
}

// Begin returns the number of the next message and records the time. Call it
// before Keep and before the message is sent.
func (bo *Borrower) Begin() uint64 {
	bo.number++
	bo.sent = bo.clock()
	return bo.number
}

// Accept returns the deadline of the loan in the reply to the message, as a time
// of the borrower's clock. It reports false for a reply to any message but the
// newest. The caller must drop such a reply, because a later message may have
// stated fewer slots.
func (bo *Borrower) Accept(number uint64) (time.Duration, bool) {
	if number != bo.number {
		return 0, false
	}
	return bo.sent + bo.terms.Use, true
}

// Keep lowers the allowance of a borrowed gate to want if it is higher. It
// returns the number of slots that the borrower must state as kept: the new
// allowance or the slots in use, whichever is larger.
func Keep(gate *Gate, want int) int {
	slots, _ := gate.Allowance()
	slots = min(slots, max(0, want))
	return max(slots, gate.SetAllowance(slots))
}
