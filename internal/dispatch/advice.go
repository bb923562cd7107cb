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
// tickets that are valid are in the shape of the group.
type adviceState struct {
	inFlight  bool                  // a call is in flight
	asked     map[ids.WorkerID]bool // workers already asked about, whether they got a ticket or not
	notBefore time.Time             // earliest time of the next call about further workers
	renewAt   time.Time             // earliest time of the next call about workers that had a ticket
	// validUntil holds the workers that may run the step, with the time when their
	// latest ticket expires.
	validUntil map[ids.WorkerID]time.Time
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
	// gangRenewal is how long before a ticket of a gang is no longer used the owner
	// asks for the next one. A gang needs all its tickets at the same time.
	gangRenewal = 150 * time.Millisecond
	// minRenewalInterval bounds the calls that renew tickets of short validity.
	minRenewalInterval = 100 * time.Millisecond
)

// firstExpiry returns when the first of the latest tickets expires, zero without any.
func (ad *adviceState) firstExpiry() time.Time {
	first := time.Time{}
	for _, until := range ad.validUntil {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// dropExpired removes the tickets that must no longer be used for new starts.
func (gr *group) dropExpired(now time.Time) {
	tickets := maps.Clone(gr.shape.Tickets)
	maps.DeleteFunc(tickets, func(id ids.WorkerID, _ string) bool { return !now.Add(ticketMargin).Before(gr.advice.validUntil[id]) })
	gr.shape.Tickets = tickets
}

// toRenew lists the workers that may run the step, those whose tickets expire first
// at the front. The workers that may run a step do not change, so only these are
// asked about again.
func (ad *adviceState) toRenew() []ids.WorkerID {
	list := sortedKeys(ad.validUntil)
	slices.SortStableFunc(list, func(a, b ids.WorkerID) int { return ad.validUntil[a].Compare(ad.validUntil[b]) })
	return list
}

// hasTickets reports whether a step has tasks to place and valid tickets for
// them. It requests new tickets if some expire.
func (en *Entry) hasTickets(gr *group) bool {
	now := en.now()
	if len(gr.queued()) == 0 {
		return false
	}
	ad := &gr.advice
	en.forgetEvacuated(gr)
	if len(ad.validUntil) == 0 {
		en.requestAdvice(gr, now)
		return false
	}
	due := now.Add(ticketMargin)
	if gr.shape.Gang {
		due = due.Add(gangRenewal)
	}
	if due.Before(ad.firstExpiry()) {
		return true
	}
	if !ad.inFlight && !now.Before(ad.renewAt) {
		en.advise(gr, stepName(gr), ad.toRenew())
	}
	gr.dropExpired(now)
	if len(gr.shape.Tickets) == 0 {
		en.withdrawWants(gr)
	}
	return len(gr.shape.Tickets) > 0
}

// forgetEvacuated drops the tickets of workers in evacuated zones. These workers are
// asked about again once their zone is taken back.
func (en *Entry) forgetEvacuated(gr *group) {
	for _, id := range sortedKeys(gr.advice.validUntil) {
		if kw := en.known[id]; kw != nil && en.evac.evacuated(kw.info.Zone) {
			gr.dropTicket(id)
			delete(gr.advice.asked, id)
			delete(gr.advice.validUntil, id)
		}
	}
}

// tickAdvice renews expired tickets, and asks about more workers when tasks have
// waited for adviceMoreWait.
func (en *Entry) tickAdvice(jb *job, now time.Time) {
	if !jb.Queue.Advised || jb.suspended {
		return
	}
	for _, gr := range jb.groups {
		if en.hasTickets(gr) {
			en.requestAdvice(gr, now)
		}
	}
}

// requestAdvice asks the advice service about the next workers that have not been
// asked about. If none of all workers may run the step, it begins again.
func (en *Entry) requestAdvice(gr *group, now time.Time) {
	ad := &gr.advice
	if ad.inFlight || now.Before(ad.notBefore) {
		return
	}
	step := stepName(gr)
	workers := en.workersToAsk(gr, step)
	ad.notBefore = now.Add(adviceMoreWait)
	if len(workers) == 0 {
		if len(ad.validUntil) == 0 {
			clear(ad.asked)
		}
		return
	}
	en.advise(gr, step, workers)
}

// advise asks the advice service about the first of the given workers.
func (en *Entry) advise(gr *group, step string, workers []ids.WorkerID) {
	gr.advice.inFlight = true
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
		ad.notBefore, ad.renewAt = now.Add(adviceRetry), now.Add(adviceRetry)
		en.eff.Log("advice-failed", "job", string(gr.job.Job.ID), "step", order.Step, "workers", len(order.Workers), "reason", rep.Reason)
		return
	}
	ad.renewAt = now.Add(minRenewalInterval)
	gr.applyAdvice(order, rep, now)
	if len(rep.Tickets) == 0 || (gr.shape.Gang && en.ticketRoom(gr) < len(gr.tasks)) {
		// Waiting for room would be in vain.
		ad.notBefore = now
	}
	en.eff.Log("advice", "job", string(gr.job.Job.ID), "step", order.Step, "workers", len(order.Workers), "allowed", len(rep.Tickets),
		"validity-ms", rep.Validity.Milliseconds())
	if len(gr.shape.Tickets) > 0 {
		en.place(gr)
	}
}

// applyAdvice replaces the tickets of the workers that were asked about.
func (gr *group) applyAdvice(order AdviceOrder, rep AdviceReply, now time.Time) {
	ad := &gr.advice
	if ad.asked == nil {
		ad.asked, ad.validUntil = map[ids.WorkerID]bool{}, map[ids.WorkerID]time.Time{}
	}
	// A holder in this process shares the map, because messages within a process
	// are not copied.
	tickets := maps.Clone(gr.shape.Tickets)
	if tickets == nil {
		tickets = map[ids.WorkerID]string{}
	}
	for _, id := range order.Workers {
		ad.asked[id] = true
		ticket, ok := rep.Tickets[id]
		if !ok {
			delete(tickets, id)
			delete(ad.validUntil, id)
			continue
		}
		tickets[id], ad.validUntil[id] = ticket, now.Add(rep.Validity)
	}
	gr.shape.Tickets = tickets
}

// ticketRoom returns how many tasks of a step the workers with tickets could run if
// they ran nothing else.
func (en *Entry) ticketRoom(gr *group) int {
	total := 0
	for id := range gr.shape.Tickets {
		kw := en.known[id]
		if kw == nil || !kw.removedAt.IsZero() || kw.info.State != WorkerReady || en.evac.evacuated(kw.info.Zone) ||
			(gr.shape.Requirement != "" && !slices.Contains(kw.info.Labels, gr.shape.Requirement)) {
			continue
		}
		count := len(gr.tasks)
		if need := gr.shape.Need; need.CPU > 0 || need.Accelerators > 0 {
			count = min(count, Free{CPU: kw.info.Room.CPU, Accelerators: kw.info.Room.Accelerators}.tasks(need))
		}
		if gr.shape.AntiAffinity > 0 {
			count = min(count, gr.shape.AntiAffinity)
		}
		total += count
	}
	return total
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
	delete(gr.advice.validUntil, id)
}
