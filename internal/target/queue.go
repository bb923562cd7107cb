package target

import (
	"container/list"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// waiter is a request that waits for a slot.
type waiter struct {
	req   *Request
	kt    *kindTimes
	cost  seconds
	avoid *targetState
	since time.Time
	// granted receives the result once; its buffer of one keeps the sender from
	// waiting for a caller that has gone.
	granted chan grant

	team *teamQueue
	elem *list.Element
}

// grant is a slot, or the refusal of a waiter.
type grant struct {
	tk  *ticket
	err *outcome.Error
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	waiters list.List
	weight  float64
	cost    seconds
	// pass is the team's place in the order of service: the work done for the
	// team divided by its weight.
	pass float64
}

// fairQueue shares the service among teams by weight, whatever the number of
// requests of each team (stride scheduling over expected run times).
type fairQueue struct {
	teams  map[platform.TeamID]*teamQueue
	active map[*teamQueue]bool
	pass   float64
	count  int
	bytes  int64
	// last serves the newest waiter of a team first; only measurements set it.
	last bool
}

func newFairQueue() fairQueue {
	return fairQueue{teams: map[platform.TeamID]*teamQueue{}, active: map[*teamQueue]bool{}}
}

// team returns the queue of a team. Teams that the configuration does not name
// share one, so that nobody gains by inventing team names.
func (fq *fairQueue) team(id platform.TeamID, weights map[platform.TeamID]float64) *teamQueue {
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

// push appends a waiter to its team, or puts it first when it has already
// waited once.
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

// next returns the waiter to serve next, nil when there is none.
func (fq *fairQueue) next() *waiter {
	var first *teamQueue
	for tq := range fq.active {
		if first == nil || tq.pass < first.pass {
			first = tq
		}
	}
	if first == nil {
		return nil
	}
	elem := first.waiters.Front()
	if fq.last {
		elem = first.waiters.Back()
	}
	return elem.Value.(*waiter)
}

// serve removes a waiter that has got a slot and charges its team.
func (fq *fairQueue) serve(wa *waiter) {
	fq.pass = max(fq.pass, wa.team.pass)
	wa.team.pass += float64(wa.cost) / wa.team.weight
	fq.remove(wa)
}

// remove takes a waiter out. It reports false when it was already out.
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

// ahead returns the work that is served before a request of the team whose own
// team has the given work in front of it.
func (fq *fairQueue) ahead(tq *teamQueue, own seconds) seconds {
	sum := own
	for other := range fq.active {
		if other != tq {
			sum += min(other.cost, own*seconds(other.weight/tq.weight))
		}
	}
	return sum
}
