package slotshare

import "time"

// Terms are the durations of a loan.
type Terms struct {
	// Use is how long a borrower may start work on a loan, measured from before
	// it sent the message that requested the loan.
	Use time.Duration
	// Margin is how much longer the home counts the loan. It must cover the run
	// time of the work that the borrower started last and the drift between the
	// clocks.
	Margin time.Duration
}

// Outstanding returns how long the home counts a loan after it granted it.
func (te Terms) Outstanding() time.Duration {
	return te.Use + te.Margin
}

type loan struct {
	number  uint64
	slots   int
	expires time.Duration
}

// Home records the slots of one back end that its home process has lent. The
// gate of the home process holds the others. Home is not safe for concurrent
// use. The slots lent plus the larger of the gate's allowance and its slots in
// use never exceed the slots of the back end, unless SetSlots has lowered that
// number below the slots in use.
type Home[B comparable] struct {
	gate         *Gate
	slots        int
	terms        Terms
	clock        Clock
	loans        map[B]loan
	blockedUntil time.Duration

	// reserved is the number of slots that are kept free for a borrower that
	// was granted too few because the home was still using them.
	reserved      int
	reservedUntil time.Duration
	draining      bool
}

// reservationTime limits how long a slot is kept free for a borrower that
// requested it. The borrower repeats its request several times within this
// time.
const reservationTime = time.Second

// NewHome returns the home of a back end with the given number of slots. Until
// the clock time blockedUntil the home neither uses nor lends any slot, because
// loans of an earlier home may still be in use. The gate must have the
// allowance 0 or a loan of the earlier home.
func NewHome[B comparable](gate *Gate, slots int, terms Terms, clock Clock, blockedUntil time.Duration) *Home[B] {
	ho := &Home[B]{gate: gate, slots: slots, terms: terms, clock: clock, loans: map[B]loan{}, blockedUntil: blockedUntil}
	ho.Refresh()
	return ho
}

// Exchange handles a message of a borrower that keeps keep slots and requests
// want slots in total. It returns the number of slots that the borrower may use
// from now on. It does not lower the home's own allowance below ownFloor to
// grant the request. For a message that is not newer than the last one, it
// changes nothing and reports false.
func (ho *Home[B]) Exchange(borrower B, number uint64, keep, want, ownFloor int) (int, bool) {
	ho.expire()
	lo := ho.loans[borrower]
	if number <= lo.number {
		return 0, false
	}
	lo.number = number
	// A borrower may state slots of a loan that has expired at the home.
	lo.slots = max(0, min(keep, lo.slots))
	ho.loans[borrower] = lo
	if ho.draining || ho.isBlocked() {
		want = 0
	}
	granted := min(want, lo.slots)
	if want > lo.slots {
		granted += ho.freeForLoan(want-lo.slots, ownFloor)
	}
	lo.slots = max(lo.slots, granted)
	lo.expires = ho.clock() + ho.terms.Outstanding()
	ho.loans[borrower] = lo
	ho.Refresh()
	return granted, true
}

// freeForLoan takes at most n slots from the home's own allowance and returns
// how many of them can be lent now.
func (ho *Home[B]) freeForLoan(n, ownFloor int) int {
	unlent := max(0, ho.slots-ho.Lent())
	own := max(unlent-n, min(ownFloor, unlent))
	used := ho.gate.SetAllowance(own)
	free := max(0, unlent-max(own, used))
	ho.reserved = max(0, unlent-own-free)
	ho.reservedUntil = ho.clock() + reservationTime
	return min(n, free)
}

// Refresh removes expired loans and sets the home's own allowance to all slots
// that are neither lent nor reserved.
func (ho *Home[B]) Refresh() {
	ho.expire()
	if ho.isBlocked() {
		return
	}
	own := max(0, ho.slots-ho.Lent())
	if ho.reserved > 0 && ho.clock() < ho.reservedUntil {
		own = max(0, own-ho.reserved)
	}
	if ho.draining {
		own = 0
	}
	// The allowance is replaced before the deadline is removed. Otherwise an
	// ended loan in the gate could be used again.
	ho.gate.SetAllowance(own)
	ho.gate.RemoveDeadline()
}

func (ho *Home[B]) expire() {
	now := ho.clock()
	for borrower, lo := range ho.loans {
		if now >= lo.expires {
			delete(ho.loans, borrower)
		}
	}
}

// RemoveBorrower removes the loan of a borrower process that has provably
// ended.
func (ho *Home[B]) RemoveBorrower(borrower B) {
	delete(ho.loans, borrower)
	ho.Refresh()
}

// SetSlots replaces the number of slots of the back end.
func (ho *Home[B]) SetSlots(slots int) {
	ho.slots = slots
	ho.Refresh()
}

// Slots returns the number of slots of the back end.
func (ho *Home[B]) Slots() int { return ho.slots }

// Lent returns the number of slots that count as lent.
func (ho *Home[B]) Lent() int {
	sum := 0
	for _, lo := range ho.loans {
		sum += lo.slots
	}
	return sum
}

// LentTo returns the number of slots that count as lent to the borrower.
func (ho *Home[B]) LentTo(borrower B) int { return ho.loans[borrower].slots }

// Drain stops further lending and the home's own use, so that Idle
// becomes true once loans and slots in use have ended.
func (ho *Home[B]) Drain() {
	ho.draining = true
	ho.Refresh()
}

// Resume undoes Drain.
func (ho *Home[B]) Resume() {
	ho.draining = false
	ho.Refresh()
}

// Draining reports whether Drain is in effect.
func (ho *Home[B]) Draining() bool { return ho.draining }

// Idle reports whether no slot is lent or in use and none can be acquired.
// Another process can then become the home without waiting.
func (ho *Home[B]) Idle() bool {
	ho.Refresh()
	_, used := ho.gate.Allowance()
	return ho.draining && !ho.isBlocked() && used == 0 && ho.Lent() == 0
}

func (ho *Home[B]) isBlocked() bool { return ho.clock() < ho.blockedUntil }
