package target

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

const (
	// maxWaiting and maxWaitingBytes bound the memory of one queue. Deadlines
	// bound it earlier once run times are known.
	maxWaiting            = 10_000
	maxWaitingBytes int64 = 32 << 20
	// The expected wait varies. A request is admitted with room to spare, and
	// refused later only when it is further off, so that few wait in vain.
	admitMargin, sweepMargin = 1.2, 0.8
	// forwardWorth is the shortest expected wait for which a request is offered
	// to another entry; a round trip between entries takes about 1 ms.
	forwardWorth = 5 * time.Millisecond
	// slotsPatience is how long requests wait in an entry that has no slots at
	// all: a home that is taken over may use its slots after 3 s.
	slotsPatience = 5 * time.Second
	// maxReturn bounds the time after which a refused caller is asked back.
	maxReturn = 30 * time.Second
	minReturn = 20 * time.Millisecond
)

// acquire returns a slot for the request, waiting for its turn. A request that
// is sent a second time goes before the others of its team.
func (se *service) acquire(ctx context.Context, req *Request, avoid *targetState, again bool) (*ticket, error) {
	now := time.Now()
	wa, tk, err := se.admit(now, req, avoid, again)
	if err != nil || tk != nil {
		return tk, err
	}
	select {
	case gr := <-wa.granted:
		return se.accept(ctx, gr)
	case <-ctx.Done():
		return nil, se.abandon(ctx, wa)
	}
}

// admit takes a free slot, queues the request, or refuses it.
func (se *service) admit(now time.Time, req *Request, avoid *targetState, again bool) (*waiter, *ticket, error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.sync()
	wa := &waiter{req: req, kt: se.times.kind(req.Kind), avoid: avoid, since: now}
	wa.cost = wa.kt.cost()
	if now.Add(se.times.quickest(wa.kt, now).std()).After(req.Deadline) {
		return nil, nil, se.tooLate(now, 0, req, "deadline-too-short")
	}
	if se.queue.count == 0 {
		if tk, _ := se.take(wa, now); tk != nil {
			return nil, tk, nil
		}
	}
	if req.Forwarded {
		return nil, nil, noFreeSlot(se.name)
	}
	tq := se.queue.team(req.Team, se.weights)
	if err := se.refuse(now, wa, tq, again); err != nil {
		return nil, nil, err
	}
	wa.granted = make(chan grant, 1)
	se.queue.push(wa, tq, again)
	se.serveQueue(now)
	return wa, nil, nil
}

// refuse returns the refusal of a request that must wait but cannot be
// answered in time, nil for a request that may wait.
func (se *service) refuse(now time.Time, wa *waiter, tq *teamQueue, again bool) error {
	if se.live == 0 {
		return noTarget(se.name, se.returnAfter(now, time.Second))
	}
	total, _ := se.slots()
	if total == 0 {
		if now.Sub(se.slotsSeen) > slotsPatience {
			return noSlots(se.name, se.returnAfter(now, time.Second))
		}
	} else {
		se.slotsSeen = now
	}
	if se.queue.count >= maxWaiting || se.queue.bytes+int64(len(wa.req.Body)) > maxWaitingBytes {
		return se.tooLate(now, se.wait(tq.cost, total), wa.req, "queue-full")
	}
	own := tq.cost
	if again {
		own = 0
	}
	wait := se.wait(se.queue.ahead(tq, own), total)
	if se.times.hold > 0 && now.Add((admitMargin*wait + se.times.usual(wa.kt, now)).std()).After(wa.req.Deadline) {
		return se.tooLate(now, wait, wa.req, "deadline-cannot-be-met")
	}
	return nil
}

// expectedWait returns the wait that the request would have now; worth is
// false when a slot is free or the wait is too short to forward the request.
func (se *service) expectedWait(req *Request) (wait time.Duration, worth bool) {
	now := time.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	se.sync()
	total, free := se.slots()
	if total == 0 {
		return req.Deadline.Sub(now), true
	}
	if free > 0 && se.queue.count == 0 {
		return 0, false
	}
	tq := se.queue.team(req.Team, se.weights)
	wait = se.wait(se.queue.ahead(tq, tq.cost), total).std()
	return wait, wait >= forwardWorth
}

// wait returns the time in which the slots work off the given work and free
// one more slot.
func (se *service) wait(ahead seconds, slots int) seconds {
	if slots == 0 {
		return 0
	}
	return (ahead + se.times.hold) / seconds(slots)
}

// tooLate returns a refusal with the time to come back: when the queue will
// have room, after the callers that were refused before.
func (se *service) tooLate(now time.Time, wait seconds, req *Request, reason string) *outcome.Error {
	left := req.Deadline.Sub(now)
	excess := max(minReturn, wait.std()-left/2)
	back := se.returnAfter(now, excess)
	return outcome.Refuse(http.StatusTooManyRequests, reason,
		fmt.Sprintf("service %q cannot answer within %s: the expected wait for a slot is %s", se.name, left.Round(time.Millisecond), wait.std().Round(time.Millisecond)),
		remedyRetry+", or with a longer deadline", back)
}

// returnAfter spaces the callers that are asked to come back at the rate at
// which slots become free, with a jitter of a quarter.
func (se *service) returnAfter(now time.Time, least time.Duration) time.Duration {
	at := now.Add(least)
	if se.nextReturn.After(at) {
		at = se.nextReturn
	}
	if limit := now.Add(maxReturn); at.After(limit) {
		at = limit
	}
	if total, _ := se.slots(); total > 0 {
		se.nextReturn = at.Add((se.times.hold / seconds(total)).std())
	}
	wait := at.Sub(now)
	return wait + time.Duration(rand.Int64N(int64(wait)/4+1))
}

// accept passes a grant on, unless the caller has gone in the meantime.
func (se *service) accept(ctx context.Context, gr grant) (*ticket, error) {
	if gr.err != nil {
		return nil, gr.err
	}
	if ctx.Err() != nil {
		se.cancelTicket(gr.tk)
		return nil, goneBeforeRun(ctx)
	}
	return gr.tk, nil
}

// abandon takes a waiter out whose caller has gone or whose deadline has
// passed. A slot that was granted in the same moment goes back.
func (se *service) abandon(ctx context.Context, wa *waiter) error {
	se.mu.Lock()
	waiting := se.queue.remove(wa)
	se.mu.Unlock()
	if !waiting {
		gr := <-wa.granted
		if gr.err != nil {
			return gr.err
		}
		se.cancelTicket(gr.tk)
	}
	return goneBeforeRun(ctx)
}

// cancelTicket gives back a slot on which nothing was sent.
func (se *service) cancelTicket(tk *ticket) {
	se.release(tk, resultNeutral)
}

// sweep refuses the waiters that cannot be answered in time any more, because
// targets or slots have gone since they were admitted.
func (se *service) sweep(now time.Time) {
	total, _ := se.slots()
	if total > 0 {
		se.slotsSeen = now
	}
	stranded := se.live == 0 || total == 0 && now.Sub(se.slotsSeen) > slotsPatience
	for tq := range se.queue.active {
		var own seconds
		for elem := tq.waiters.Front(); elem != nil; {
			wa := elem.Value.(*waiter)
			elem = elem.Next()
			wait := sweepMargin * se.wait(se.queue.ahead(tq, own), total)
			own += wa.cost
			late := now.Add((wait + se.times.usual(wa.kt, now)).std()).After(wa.req.Deadline)
			switch {
			case stranded:
				se.queue.remove(wa)
				wa.granted <- grant{err: noTarget(se.name, se.returnAfter(now, time.Second))}
			case late:
				se.queue.remove(wa)
				own -= wa.cost
				wa.granted <- grant{err: se.tooLate(now, wait, wa.req, "deadline-cannot-be-met")}
			}
		}
	}
}

// goneBeforeRun is the outcome of a request that ended before it was sent.
func goneBeforeRun(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Refuse(http.StatusTooManyRequests, "deadline-passed",
			"the deadline passed before a slot was free", remedyRetry+", or with a longer deadline", time.Second)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, "caller-gone",
		"the caller closed the connection before the request was sent", "send the request again", 0)
}
