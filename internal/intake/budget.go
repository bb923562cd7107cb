package intake

import (
	"sync"
	"time"
)

// The reserve of a budget.
const (
	// reserveShare is the part of the budget for small bodies that arrive in one
	// piece: a quarter.
	reserveShare = 4
	// smallBytes bounds the charge of a request that may use the reserve: a body
	// below 64 KB, counted twice.
	smallBytes = 2 * 64 << 10
	// pieceTime is the time in which a body in one piece arrives.
	pieceTime = 250 * time.Millisecond
	// shedWait bounds the wait for the bytes of a request that was shed.
	shedWait = 250 * time.Millisecond
)

// budget bounds the bytes that requests hold together.
type budget struct {
	total, reserve int64
	clock          func() time.Time

	mu       sync.Mutex
	used     int64
	shedding int64 // of used, held by requests that have been shed
	held     map[*charge]bool
	freed    chan struct{} // closed when bytes are released
}

// charge is what one request holds.
type charge struct {
	bu *budget
	// close ends the reading of the request.
	close func()

	// The lock of the budget guards the rest.
	bytes    int64
	began    time.Time
	progress time.Time
	complete bool // the request has arrived as a whole and is never shed
	shed     bool
}

func newBudget(total int64, clock func() time.Time) *budget {
	return &budget{
		total: total, reserve: total / reserveShare, clock: clock, held: map[*charge]bool{}, freed: make(chan struct{}),
	}
}

func (bu *budget) newCharge(closeFn func()) *charge { return &charge{bu: bu, close: closeFn} }

// verdict is the result of an attempt to charge.
type verdict int

const (
	granted verdict = iota
	wait            // bytes of requests that were shed are about to be released
	refused
)

// try charges bytes. If the budget is short it names the request to shed.
func (bu *budget) try(ch *charge, count int64, now time.Time) (verdict, *charge) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if ch.shed {
		return refused, nil
	}
	if ch.bytes == 0 {
		ch.began, ch.progress = now, now
	}
	limit := bu.total - bu.reserve
	if ch.bytes+count <= smallBytes && (ch.complete || now.Sub(ch.began) <= pieceTime) {
		limit = bu.total
	}
	if bu.used+count <= limit {
		bu.used += count
		ch.bytes += count
		ch.progress = now
		bu.held[ch] = true
		return granted, nil
	}
	if bu.used-bu.shedding+count <= limit {
		return wait, nil
	}
	victim := bu.worst(ch, bu.used-bu.shedding+count-limit, now)
	if victim == nil {
		return refused, nil
	}
	victim.shed = true
	bu.shedding += victim.bytes
	return wait, victim
}

// worst returns the request with the largest product of bytes and time without
// progress or completion. It returns nil if that is the request itself, or if
// all that may be shed for it hold less than the bytes needed.
func (bu *budget) worst(ch *charge, need int64, now time.Time) *charge {
	var victim *charge
	own := ch.score(now)
	most, sum := own, int64(0)
	for other := range bu.held {
		if other == ch || other.complete || other.shed {
			continue
		}
		score := other.score(now)
		if score > own {
			sum += other.bytes
		}
		if score > most {
			victim, most = other, score
		}
	}
	if sum < need {
		return nil
	}
	return victim
}

func (ch *charge) score(now time.Time) float64 {
	return float64(ch.bytes) * float64(now.Sub(ch.began)+now.Sub(ch.progress))
}

// grow charges bytes. It sheds others and waits for their bytes if needed. It
// reports whether the bytes may be held.
func (ch *charge) grow(count int64) bool {
	for end := ch.bu.clock().Add(shedWait); ; {
		freed := ch.bu.released()
		now := ch.bu.clock()
		verd, victim := ch.bu.try(ch, count, now)
		if victim != nil {
			victim.close()
			continue
		}
		if verd == granted {
			return true
		}
		if verd == refused || !now.Before(end) {
			return false
		}
		timer := time.NewTimer(end.Sub(now))
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// released returns a channel that is closed at the next release.
func (bu *budget) released() <-chan struct{} {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.freed
}

// finish marks a request that has arrived as a whole. It returns false if the
// request has been shed.
func (ch *charge) finish() bool {
	ch.bu.mu.Lock()
	defer ch.bu.mu.Unlock()
	ch.complete = !ch.shed
	return ch.complete
}

// release returns all bytes of a request. The charge can be used again.
func (ch *charge) release() {
	bu := ch.bu
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ch.complete = false
	if ch.bytes == 0 {
		return
	}
	if ch.shed {
		bu.shedding -= ch.bytes
	}
	bu.used -= ch.bytes
	ch.bytes = 0
	delete(bu.held, ch)
	close(bu.freed)
	bu.freed = make(chan struct{})
}
