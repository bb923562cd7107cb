package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// For some queues an external advice service decides which workers may run a
// step. The owner asks it about a limited number of workers per call, and
// passes the tickets that it returns to the holders. A ticket is valid for all
// tasks of the step for a limited time.

// AdviceOrder asks the advice service which workers may run a step.
type AdviceOrder struct {
	Group   GroupID
	Step    string // job, occurrence and step, as in task ids
	Workers []ids.WorkerID
}

// AdviceReply is the answer to an AdviceOrder.
type AdviceReply struct {
	Tickets  map[ids.WorkerID]string // for the workers that may run the step
	Validity time.Duration
	Failed   bool
	Reason   string
}

// adviceState tracks which workers an owner has asked about for a step. The
// tickets are in the shape of the group.
type adviceState struct {
	inFlight   bool                  // a call is in flight
	asked      map[ids.WorkerID]bool // workers already asked about, whether they got a ticket or not
	notBefore  time.Time             // earliest time of the next call
	validUntil time.Time             // when the tickets expire
}

// The limits on calls of the advice service.
const (
	// adviceWorkers bounds the workers in one call. The answer takes longer with
	// each worker, and nearly every step may run on some of 30 workers.
	adviceWorkers = 30
	// ticketMargin is the remaining validity below which a ticket is not used for
	// new starts, because it must still be valid when it reaches the worker.
	ticketMargin = 200 * time.Millisecond
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * time.Millisecond
	// adviceMoreWait is how long tasks wait for the workers that may run them
	// before the owner asks about more workers.
	adviceMoreWait = 400 * time.Millisecond
)

// expired reports whether the tickets must no longer be used for new starts.
func (ad *adviceState) expired(now time.Time) bool { return now.Add(ticketMargin).After(ad.validUntil) }

// hasTickets reports whether a step has tasks to place and valid tickets for
// them. It requests new tickets if they have expired.
func (en *Entry) hasTickets(gr *group) bool {
	now := en.now()
	if len(gr.queued()) == 0 {
		return false
	}
	if !gr.advice.expired(now) {
		return true
	}
	// The workers that may run a step do not change, so only they are asked about
	// again.
	known := slices.DeleteFunc(sortedKeys(gr.shape.Tickets), func(id ids.WorkerID) bool {
		kw := en.known[id]
		if kw == nil || !en.evac.evacuated(kw.info.Zone) {
			return false
		}
		// It is asked about again once its zone is taken back.
		delete(gr.advice.asked, id)
		return true
	})
	gr.shape.Tickets = nil
	en.withdrawWants(gr)
	if len(known) == 0 {
		clear(gr.advice.asked)
	}
	en.requestAdvice(gr, known, now)
	return false
}

// tickAdvice renews expired tickets, and asks about more workers when tasks have
// waited for adviceMoreWait.
func (en *Entry) tickAdvice(jb *job, now time.Time) {
	if !jb.Queue.Advised || jb.suspended {
		return
	}
	for _, gr := range jb.groups {
		ad := &gr.advice
		if !ad.inFlight && !now.Before(ad.notBefore) && en.hasTickets(gr) {
			en.requestAdvice(gr, nil, now)
		}
	}
}

// requestAdvice asks the advice service about the given workers. Without any it
// asks about the next ones that have not been asked about.
func (en *Entry) requestAdvice(gr *group, workers []ids.WorkerID, now time.Time) {
	ad := &gr.advice
	if ad.inFlight || now.Before(ad.notBefore) {
		return
	}
	step := stepName(gr)
	if len(workers) == 0 {
		workers = en.workersToAsk(gr, step)
	}
	ad.notBefore = now.Add(adviceMoreWait)
	if len(workers) == 0 {
		return
	}
	ad.inFlight = true
	en.eff.Advise(AdviceOrder{Group: gr.id, Step: step, Workers: workers[:min(len(workers), adviceWorkers)]})
}

// stepName returns the part of a step's task ids before the index.
func stepName(gr *group) string {
	name := string(gr.tasks[0].id)
	return name[:len(name)-len(".0")]
}

// workersToAsk lists the ready workers of the service that have not been asked
// about, in an order that differs from step to step.
func (en *Entry) workersToAsk(gr *group, step string) []ids.WorkerID {
	var list []ids.WorkerID
	for id, kw := range en.known {
		if kw.removedAt.IsZero() && kw.info.Service == gr.shape.Service && kw.info.State == WorkerReady && !en.evac.evacuated(kw.info.Zone) && !gr.advice.asked[id] {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b ids.WorkerID) int {
		if rendezvous.Uniform(step, string(a)) < rendezvous.Uniform(step, string(b)) {
			return -1
		}
		return 1
	})
	return list
}

// AdviceReplied handles the answer to an AdviceOrder.
func (en *Entry) AdviceReplied(order AdviceOrder, rep AdviceReply) {
	gr := en.groups[order.Group]
	if gr == nil {
		return
	}
	now := en.now()
	ad := &gr.advice
	ad.inFlight = false
	if rep.Failed {
		ad.notBefore = now.Add(adviceRetry)
		en.eff.Log("advice-failed", "job", string(gr.job.Job.ID), "step", order.Step, "workers", len(order.Workers), "reason", rep.Reason)
		return
	}
	if ad.asked == nil {
		ad.asked = map[ids.WorkerID]bool{}
	}
	for _, id := range order.Workers {
		ad.asked[id] = true
	}
	if len(rep.Tickets) > 0 {
		until := now.Add(rep.Validity)
		if len(gr.shape.Tickets) == 0 || until.Before(ad.validUntil) {
			ad.validUntil = until
		}
		// A holder in this process shares the map, because messages within a process
		// are not copied.
		tickets := maps.Clone(gr.shape.Tickets)
		if tickets == nil {
			tickets = map[ids.WorkerID]string{}
		}
		maps.Copy(tickets, rep.Tickets)
		gr.shape.Tickets = tickets
	} else {
		ad.notBefore = now
	}
	en.eff.Log("advice", "job", string(gr.job.Job.ID), "step", order.Step, "workers", len(order.Workers), "allowed", len(rep.Tickets),
		"validity-ms", rep.Validity.Milliseconds())
	if len(gr.shape.Tickets) > 0 {
		en.place(gr)
	}
}

// dropTicket removes a ticket that a worker has refused because it was issued
// for an earlier lifetime of the worker, or has expired.
func (gr *group) dropTicket(id ids.WorkerID) {
	if _, ok := gr.shape.Tickets[id]; !ok {
		return
	}
	tickets := maps.Clone(gr.shape.Tickets)
	delete(tickets, id)
	gr.shape.Tickets = tickets
	delete(gr.advice.asked, id)
	if len(tickets) == 0 {
		gr.advice.validUntil = time.Time{}
	}
}
