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
	// maxWaiting and maxWaitingBytes bound the memory of one queue. Once run
	// times are known, deadlines limit the queue before these bounds do.
	maxWaiting            = 10_000
	maxWaitingBytes int64 = 32 << 20
	// The estimate of the wait varies. It is scaled up on admission and scaled
	// down for requests that are already queued, so that few queued requests
	// are refused.
	admitMargin, sweepMargin = 1.2, 0.8
	// minForwardWait is the minimum expected wait for which a request is offered
	// to another entry. A round trip between entries takes about 1 ms.
	minForwardWait = 5 * time.Millisecond
	// noSlotsTimeout is how long requests wait in an entry without any slots: an
	// entry that takes over a home may use its slots only after 3 s.
	noSlotsTimeout = 5 * time.Second
	// maxRetryAfter and minRetryAfter bound the retry-after time of a refusal; a
	// jitter of up to a quarter is added.
	maxRetryAfter = 30 * time.Second
	minRetryAfter = 20 * time.Millisecond
)

// acquire waits until the request gets a slot. A retry is queued before the
// other requests of its team.
func (se *service) acquire(ctx context.Context, req *Request, avoid *targetState, isRetry bool) (*ticket, error) {
	now := time.Now()
	wa, tk, err := se.admit(now, req, avoid, isRetry)
	if err != nil || tk != nil {
		return tk, err
	}
	select {
	case gr := <-wa.granted:
		return se.acceptGrant(ctx, gr)
	case <-ctx.Done():
		return nil, se.cancelWait(ctx, wa)
	}
}

// admit takes a free slot, or queues or refuses the request.
func (se *service) admit(now time.Time, req *Request, avoid *targetState, isRetry bool) (*waiter, *ticket, error) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.syncBoard()
	wa := &waiter{req: req, kt: se.times.kind(req.Kind), avoid: avoid, arrivedAt: now}
	wa.cost = wa.kt.cost()
	if now.Add(se.times.lowEstimate(wa.kt, now).std()).After(req.Deadline) {
		return nil, nil, se.refuseLate(now, 0, req, "deadline-too-short")
	}
	if se.queue.count == 0 {
		if tk, _ := se.acquireSlot(wa, now); tk != nil {
			return nil, tk, nil
		}
	}
	if req.Forwarded {
		return nil, nil, noFreeSlot(se.name)
	}
	tq := se.queue.team(req.Team, se.weights)
	if err := se.checkAdmission(now, wa, tq, isRetry); err != nil {
		return nil, nil, err
	}
	wa.granted = make(chan grant, 1)
	se.queue.push(wa, tq, isRetry)
	se.serveQueue(now)
	return wa, nil, nil
}

// checkAdmission returns an error if the request cannot be queued or, once
// queued, cannot be answered before its deadline.
func (se *service) checkAdmission(now time.Time, wa *waiter, tq *teamQueue, isRetry bool) error {
	if se.live == 0 {
		return noTarget(se.name, se.nextRetryAfter(now, time.Second))
	}
	total, _ := se.slots()
	if total == 0 {
		if now.Sub(se.lastSlotsAt) > noSlotsTimeout {
			return noSlots(se.name, se.nextRetryAfter(now, time.Second))
		}
	} else {
		se.lastSlotsAt = now
	}
	if se.queue.count >= maxWaiting || se.queue.bytes+int64(len(wa.req.Body)) > maxWaitingBytes {
		return se.refuseLate(now, se.estimateWait(tq.cost, total), wa.req, "queue-full")
	}
	own := tq.cost
	if isRetry {
		own = 0
	}
	wait := se.estimateWait(se.queue.workAhead(tq, own), total)
	if se.times.meanHold > 0 && now.Add((admitMargin*wait + se.times.highEstimate(wa.kt, now)).std()).After(wa.req.Deadline) {
		return se.refuseLate(now, wait, wa.req, "deadline-cannot-be-met")
	}
	return nil
}

// expectedWait returns the expected wait of a request that arrives now. forward
// is false if a slot is free or the wait is too short to forward the request.
func (se *service) expectedWait(req *Request) (wait time.Duration, forward bool) {
	now := time.Now()
	se.mu.Lock()
	defer se.mu.Unlock()
	se.syncBoard()
	total, free := se.slots()
	if total == 0 {
		return req.Deadline.Sub(now), true
	}
	if free > 0 && se.queue.count == 0 {
		return 0, false
	}
	tq := se.queue.team(req.Team, se.weights)
	wait = se.estimateWait(se.queue.workAhead(tq, tq.cost), total).std()
	return wait, wait >= minForwardWait
}

// estimateWait returns the expected time until the slots have done the given work
// and one more slot is free.
func (se *service) estimateWait(ahead seconds, slots int) seconds {
	if slots == 0 {
		return 0
	}
	return (ahead + se.times.meanHold) / seconds(slots)
}

// refuseLate returns the refusal of a request that cannot meet its deadline. It
// asks the caller to retry when the queue is expected to have room, and after
// the callers that were refused earlier.
func (se *service) refuseLate(now time.Time, wait seconds, req *Request, reason string) *outcome.Error {
	left := req.Deadline.Sub(now)
	excess := max(minRetryAfter, wait.std()-left/2)
	retryAfter := se.nextRetryAfter(now, excess)
	return outcome.Refuse(http.StatusTooManyRequests, reason,
		fmt.Sprintf("service %q cannot answer within %s: the expected wait for a slot is %s", se.name, left.Round(time.Millisecond), wait.std().Round(time.Millisecond)),
		remedyRetry+", or with a longer deadline", retryAfter)
}

// nextRetryAfter returns the retry-after time of a refusal, at least the given
// time. It spaces the retries of refused callers at the rate at which slots
// become free, with a jitter of up to a quarter.
func (se *service) nextRetryAfter(now time.Time, earliest time.Duration) time.Duration {
	at := now.Add(earliest)
	if se.nextRetryAt.After(at) {
		at = se.nextRetryAt
	}
	if limit := now.Add(maxRetryAfter); at.After(limit) {
		at = limit
	}
	if total, _ := se.slots(); total > 0 {
		se.nextRetryAt = at.Add((se.times.meanHold / seconds(total)).std())
	}
	wait := at.Sub(now)
	return wait + time.Duration(rand.Int64N(int64(wait)/4+1))
}

// acceptGrant returns the granted slot. If the request has ended in the meantime,
// it releases the slot.
func (se *service) acceptGrant(ctx context.Context, gr grant) (*ticket, error) {
	if gr.err != nil {
		return nil, gr.err
	}
	if ctx.Err() != nil {
		se.releaseUnused(gr.tk)
		return nil, endedBeforeSend(ctx)
	}
	return gr.tk, nil
}

// cancelWait removes a waiter whose caller has disconnected or whose deadline has
// passed. It releases a slot that was granted at the same time.
func (se *service) cancelWait(ctx context.Context, wa *waiter) error {
	se.mu.Lock()
	waiting := se.queue.remove(wa)
	se.mu.Unlock()
	if !waiting {
		gr := <-wa.granted
		if gr.err != nil {
			return gr.err
		}
		se.releaseUnused(gr.tk)
	}
	return endedBeforeSend(ctx)
}

// releaseUnused releases a slot on which nothing was sent.
func (se *service) releaseUnused(tk *ticket) {
	se.release(tk, resultNeutral)
}

// sweep refuses waiters that can no longer be answered before their deadlines
// because targets or slots were lost after their admission.
func (se *service) sweep(now time.Time) {
	total, _ := se.slots()
	if total > 0 {
		se.lastSlotsAt = now
	}
	noCapacity := se.live == 0 || total == 0 && now.Sub(se.lastSlotsAt) > noSlotsTimeout
	for tq := range se.queue.active {
		var own seconds
		for elem := tq.waiters.Front(); elem != nil; {
			wa := elem.Value.(*waiter)
			elem = elem.Next()
			wait := sweepMargin * se.estimateWait(se.queue.workAhead(tq, own), total)
			own += wa.cost
			late := now.Add((wait + se.times.highEstimate(wa.kt, now)).std()).After(wa.req.Deadline)
			switch {
			case noCapacity:
				se.queue.remove(wa)
				wa.granted <- grant{err: noTarget(se.name, se.nextRetryAfter(now, time.Second))}
			case late:
				se.queue.remove(wa)
				own -= wa.cost
				wa.granted <- grant{err: se.refuseLate(now, wait, wa.req, "deadline-cannot-be-met")}
			}
		}
	}
}

// endedBeforeSend returns the error of a request that ended before it was sent.
func endedBeforeSend(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Refuse(http.StatusTooManyRequests, "deadline-passed",
			"the deadline passed before a slot was free", remedyRetry+", or with a longer deadline", time.Second)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, "caller-gone",
		"the caller closed the connection before the request was sent", "send the request again", 0)
}
