package target

import (
	"container/list"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

// waiter is a request that waits for a slot.
type waiter struct {
	req       *Request
	kt        *kindTimes
	cost      seconds
	avoid     *targetState
	arrivedAt time.Time
	// granted receives the result once. Its buffer of one keeps the sender from
	// blocking when the caller has disconnected.
	granted chan grant
	// missesDeadline is set when a run on the best free target would probably
	// miss the deadline.
	missesDeadline bool
	// skippedRound is the last round of serveQueue in which the waiter was skipped.
	skippedRound int

	team *teamQueue
	elem *list.Element
}

// grant is the result for a waiter: a slot or a refusal.
type grant struct {
	tk  *ticket
	err *outcome.Error
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	waiters list.List
	weight  float64
	cost    seconds
	// pass is the stride scheduling pass of the team: the work done for the team
	// divided by its weight. The team with the lowest pass is served next.
	pass float64
}

// fairQueue shares the service among teams by weight, independently of the
// number of requests of each team (stride scheduling over expected run times).
type fairQueue struct {
	teams  map[ids.TeamID]*teamQueue
	active map[*teamQueue]bool
	pass   float64
	count  int
	round  int
	bytes  int64
	// newestFirst serves the waiters of a team last in, first out; only benchmarks
	// set it.
	newestFirst bool
}

func newFairQueue() fairQueue {
	return fairQueue{teams: map[ids.TeamID]*teamQueue{}, active: map[*teamQueue]bool{}}
}

// team returns the queue of a team. Teams that the configuration does not list
// share one queue, so that invented team names give no advantage.
func (fq *fairQueue) team(id ids.TeamID, weights map[ids.TeamID]float64) *teamQueue {
	weight, ok := weights[id]
	if !ok {
		id, weight = "", 1
	}
	tq, ok := fq.teams[id]
	if !ok {
		tq = &teamQueue{}
		fq.teams[id] = tq
	}
	tq.weight = weight
	return tq
}

// push appends a waiter to the queue of its team. If first is set, for a request
// that has already waited once, it puts the waiter at the front.
func (fq *fairQueue) push(wa *waiter, tq *teamQueue, first bool) {
	if tq.waiters.Len() == 0 {
		tq.pass = max(tq.pass, fq.pass)
		fq.active[tq] = true
	}
	wa.team = tq
	if first {
		wa.elem = tq.waiters.PushFront(wa)
	} else {
		wa.elem = tq.waiters.PushBack(wa)
	}
	tq.cost += wa.cost
	fq.count++
	fq.bytes += int64(len(wa.req.Body))
}

// kindSet is a bit set of kinds, by kindTimes.index.
type kindSet uint64

func (ks kindSet) has(kt *kindTimes) bool { return ks&(1<<kt.index) != 0 }

// maxSkipped bounds the number of waiters that are examined in one team while
// those at the front wait for a faster target.
const maxSkipped = 64

// next returns the waiter to serve next, or nil. It skips the kinds in skip and
// the waiters already skipped in this round.
func (fq *fairQueue) next(skip kindSet) *waiter {
	var first *waiter
	for tq := range fq.active {
		if first != nil && first.team.pass <= tq.pass {
			continue
		}
		if wa := tq.first(skip, fq.round, fq.newestFirst); wa != nil {
			first = wa
		}
	}
	return first
}

func (tq *teamQueue) first(skip kindSet, round int, newestFirst bool) *waiter {
	elem, step := tq.waiters.Front(), (*list.Element).Next
	if newestFirst {
		elem, step = tq.waiters.Back(), (*list.Element).Prev
	}
	for range maxSkipped {
		if elem == nil {
			return nil
		}
		if wa := elem.Value.(*waiter); wa.skippedRound != round && !skip.has(wa.kt) {
			return wa
		}
		elem = step(elem)
	}
	return nil
}

// serve removes a waiter that was given a slot and charges its cost to its
// team.
func (fq *fairQueue) serve(wa *waiter) {
	fq.pass = max(fq.pass, wa.team.pass)
	wa.team.pass += float64(wa.cost) / wa.team.weight
	fq.remove(wa)
}

// remove removes a waiter. It returns false if the waiter was already removed.
func (fq *fairQueue) remove(wa *waiter) bool {
	if wa.elem == nil {
		return false
	}
	tq := wa.team
	tq.waiters.Remove(wa.elem)
	wa.elem = nil
	tq.cost -= wa.cost
	fq.count--
	fq.bytes -= int64(len(wa.req.Body))
	if tq.waiters.Len() == 0 {
		tq.cost = 0
		delete(fq.active, tq)
	}
	return true
}

// workAhead returns the work of all teams that is served before a request of the
// team tq, where own is the work of tq itself that is ahead of the request.
func (fq *fairQueue) workAhead(tq *teamQueue, own seconds) seconds {
	sum := own
	for other := range fq.active {
		if other != tq {
			sum += min(other.cost, own*seconds(other.weight/tq.weight))
		}
	}
	return sum
}
