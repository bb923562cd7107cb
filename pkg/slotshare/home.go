package slotshare

import "time"

// Terms are the two sides of a loan.
type Terms struct {
	// Use is how long a borrower may start work on a loan, counted from before
	// it sent the message that asked for it.
	Use time.Duration
	// Margin is how much longer the home counts the loan. It covers the work
	// that the borrower started last and the drift between the clocks.
	Margin time.Duration
}

// Outstanding is how long the home counts a loan, from when it granted it.
func (te Terms) Outstanding() time.Duration {
	return te.Use + te.Margin
}

type loan struct {
	number  uint64
	slots   int
	expires time.Duration
}

// Home records the slots of one back end that its home has lent; the home's
// own gate holds the others. It is not safe for concurrent use. At all times
// the slots lent, and the larger of the gate's allowance and its slots in use,
// add up to at most the slots of the back end, unless SetSlots has lowered
// these below what is in use.
type Home[B comparable] struct {
	gate    *Gate
	slots   int
	terms   Terms
	clock   Clock
	loans   map[B]loan
	blocked time.Duration

	// owed slots are kept free for a borrower that was granted too few because
	// the home was still using them.
	owed      int
	owedUntil time.Duration
	closing   bool
}

// owedTerm bounds how long a slot waits for a borrower that asked for it; the
// borrower asks again several times in this time.
const owedTerm = time.Second

// NewHome returns the home of a back end with the slots. Until the clock reads
// blocked it neither uses nor lends any: loans of an earlier home may still be
// in use. The gate must have the allowance 0 or a loan of the earlier home.
func NewHome[B comparable](gate *Gate, slots int, terms Terms, clock Clock, blocked time.Duration) *Home[B] {
	ho := &Home[B]{gate: gate, slots: slots, terms: terms, clock: clock, loans: map[B]loan{}, blocked: blocked}
	ho.Settle()
	return ho
}

// Exchange handles a message of a borrower that keeps so many slots and wants
// so many in all. It returns the slots that the borrower may use from now on.
// The home's own allowance is not lowered below ownFloor for it. It reports
// false, and changes nothing, for a message that is not newer than the last.
func (ho *Home[B]) Exchange(borrower B, number uint64, keep, want, ownFloor int) (int, bool) {
	ho.expire()
	lo := ho.loans[borrower]
	if number <= lo.number {
		return 0, false
	}
	lo.number = number
	// A borrower may state slots whose loan has expired here.
	lo.slots = max(0, min(keep, lo.slots))
	ho.loans[borrower] = lo
	if ho.closing || ho.isBlocked() {
		want = 0
	}
	granted := min(want, lo.slots)
	if want > lo.slots {
		granted += ho.give(want-lo.slots, ownFloor)
	}
	lo.slots = max(lo.slots, granted)
	lo.expires = ho.clock() + ho.terms.Outstanding()
	ho.loans[borrower] = lo
	ho.Settle()
	return granted, true
}

// give takes at most n slots from the own allowance and returns how many are
// free to lend.
func (ho *Home[B]) give(n, ownFloor int) int {
	unlent := max(0, ho.slots-ho.Lent())
	own := max(unlent-n, min(ownFloor, unlent))
	used := ho.gate.SetAllowance(own)
	free := max(0, unlent-max(own, used))
	ho.owed = max(0, unlent-own-free)
	ho.owedUntil = ho.clock() + owedTerm
	return min(n, free)
}

// Settle drops loans that have expired and gives the home all slots that are
// neither lent nor owed.
func (ho *Home[B]) Settle() {
	ho.expire()
	if ho.isBlocked() {
		return
	}
	own := max(0, ho.slots-ho.Lent())
	if ho.owed > 0 && ho.clock() < ho.owedUntil {
		own = max(0, own-ho.owed)
	}
	if ho.closing {
		own = 0
	}
	// In this order a loan that has ended is never usable without its deadline.
	ho.gate.SetAllowance(own)
	ho.gate.Own()
}

func (ho *Home[B]) expire() {
	now := ho.clock()
	for borrower, lo := range ho.loans {
		if now >= lo.expires {
			delete(ho.loans, borrower)
		}
	}
}

// Forget ends the loans of a borrower that is proved to have ended.
func (ho *Home[B]) Forget(borrower B) {
	delete(ho.loans, borrower)
	ho.Settle()
}

// SetSlots replaces the number of slots of the back end.
func (ho *Home[B]) SetSlots(slots int) {
	ho.slots = slots
	ho.Settle()
}

// Slots returns the number of slots of the back end.
func (ho *Home[B]) Slots() int { return ho.slots }

// Lent returns the slots that are counted as lent.
func (ho *Home[B]) Lent() int {
	sum := 0
	for _, lo := range ho.loans {
		sum += lo.slots
	}
	return sum
}

// LentTo returns the slots that are counted as lent to the borrower.
func (ho *Home[B]) LentTo(borrower B) int { return ho.loans[borrower].slots }

// CloseWhenIdle stops lending and the home's own use.
func (ho *Home[B]) CloseWhenIdle() {
	ho.closing = true
	ho.Settle()
}

// Reopen undoes CloseWhenIdle.
func (ho *Home[B]) Reopen() {
	ho.closing = false
	ho.Settle()
}

// Closing reports whether CloseWhenIdle has been called.
func (ho *Home[B]) Closing() bool { return ho.closing }

// Idle reports whether no slot is lent or in use and none can be taken, so
// that another process may become the home without waiting.
func (ho *Home[B]) Idle() bool {
	ho.Settle()
	_, used := ho.gate.Allowance()
	return ho.closing && !ho.isBlocked() && used == 0 && ho.Lent() == 0
}

func (ho *Home[B]) isBlocked() bool { return ho.clock() < ho.blocked }
