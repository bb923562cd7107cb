package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// For some queues a service outside tells which workers may run a step. The
// owner asks it, a number of workers a call, and passes the tickets that it
// gets to the holders. Tickets hold for all tasks of the step for a time.

// AdviceOrder asks which workers may run a step.
type AdviceOrder struct {
	Group   GroupID
	Step    string // job, occurrence and step
	Workers []ids.WorkerID
}

// AdviceReply is the answer to an AdviceOrder.
type AdviceReply struct {
	Tickets  map[ids.WorkerID]string // of the workers that may run the step
	Validity time.Duration
	Failed   bool
	Reason   string
}

// adviceState is what an owner knows of the workers that may run a step.
type adviceState struct {
	asking    bool
	asked     map[ids.WorkerID]bool // workers that the tickets or the lack of them are about
	notBefore time.Time             // when the service may be asked again
	until     time.Time             // when the tickets run out
}

// The limits on asking for advice.
const (
	// adviceWorkers is how many workers are named in a call. Each makes the
	// answer later, and some of 30 may run nearly every step.
	adviceWorkers = 30
	// adviceMargin before its end a ticket is not used for new starts: it has to
	// reach the worker.
	adviceMargin = 200 * time.Millisecond
	// adviceRetry is the pause after a call without an answer, and adviceMore the
	// time for which tasks wait for the workers that may run them before other
	// workers are asked about.
	adviceRetry = 300 * time.Millisecond
	adviceMore  = 400 * time.Millisecond
)

// expired tells whether the tickets no longer hold for new starts.
func (ad *adviceState) expired(now time.Time) bool { return now.Add(adviceMargin).After(ad.until) }

// advised tells whether a step has tasks to place and tickets for them. It asks
// for tickets when they have run out.
func (en *Entry) advised(gr *group) bool {
	now := en.now()
	if len(gr.queued()) == 0 {
		return false
	}
	if !gr.advice.expired(now) {
		return true
	}
	// The workers that may run the step stay the same.
	known := sortedKeys(gr.shape.Tickets)
	gr.shape.Tickets = nil
	en.unwant(gr)
	if len(known) == 0 {
		clear(gr.advice.asked)
	}
	en.askAdvice(gr, known, now)
	return false
}

// tickAdvice renews tickets, and asks about more workers when tasks wait for
// those that may run them.
func (en *Entry) tickAdvice(jb *job, now time.Time) {
	if !jb.Queue.Advised || jb.suspended {
		return
	}
	for _, gr := range jb.groups {
		ad := &gr.advice
		if !ad.asking && !now.Before(ad.notBefore) && en.advised(gr) {
			en.askAdvice(gr, nil, now)
		}
	}
}

// askAdvice asks about workers, or about the next ones when none are given.
func (en *Entry) askAdvice(gr *group, workers []ids.WorkerID, now time.Time) {
	ad := &gr.advice
	if ad.asking || now.Before(ad.notBefore) {
		return
	}
	step := stepName(gr)
	if len(workers) == 0 {
		workers = en.nextAdvised(gr, step)
	}
	ad.notBefore = now.Add(adviceMore)
	if len(workers) == 0 {
		return
	}
	ad.asking = true
	en.eff.Advise(AdviceOrder{Group: gr.id, Step: step, Workers: workers[:min(len(workers), adviceWorkers)]})
}

// stepName is the part of the tasks' ids before their index.
func stepName(gr *group) string {
	name := string(gr.tasks[0].id)
	return name[:len(name)-len(".0")]
}

// nextAdvised lists workers of the service that have not been asked about, in
// an order that differs from step to step.
func (en *Entry) nextAdvised(gr *group, step string) []ids.WorkerID {
	var list []ids.WorkerID
	for id, kw := range en.known {
		if kw.removed.IsZero() && kw.info.Service == gr.shape.Service && kw.info.State == WorkerReady && !gr.advice.asked[id] {
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

// Advised takes the answer to an AdviceOrder.
func (en *Entry) Advised(order AdviceOrder, rep AdviceReply) {
	gr := en.groups[order.Group]
	if gr == nil {
		return
	}
	now := en.now()
	ad := &gr.advice
	ad.asking = false
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
		if len(gr.shape.Tickets) == 0 || until.Before(ad.until) {
			ad.until = until
		}
		// Holders of this process share the map that was sent to them.
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

// dropTicket forgets a ticket that a worker has refused: it belongs to an
// earlier lifetime, or has run out.
func (gr *group) dropTicket(id ids.WorkerID) {
	if _, ok := gr.shape.Tickets[id]; !ok {
		return
	}
	tickets := maps.Clone(gr.shape.Tickets)
	delete(tickets, id)
	gr.shape.Tickets = tickets
	delete(gr.advice.asked, id)
	if len(tickets) == 0 {
		gr.advice.until = time.Time{}
	}
}
