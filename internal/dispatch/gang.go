package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// gangState tracks the room that the owner of a gang gathers for it. The tasks
// of a gang are started only once holders have reserved room for all of them.
type gangState struct {
	askedAt    time.Time // when the present attempt asked holders, zero between attempts
	notBefore  time.Time // earliest time of the next attempt
	attempts   int
	offers     []gangOffer
	failedRuns map[Run]bool // runs of the gang that have failed
	// failedBefore runs lower than failedFloor have failed, in place of those in
	// failedRuns: a shortened row does not list them.
	failedBefore int
	failedFloor  Run
}

// gangOffer is room that a holder has reserved for tasks of a gang.
type gangOffer struct {
	from  ids.EntryID
	grant GrantID
	count int
}

// The limits on gathering room for a gang.
const (
	// gangOfferTimeout bounds how long offers are gathered. It is less than
	// grantTimeout, after which a holder releases the reserved room.
	gangOfferTimeout = 110 * time.Millisecond
	// minGangRetry is the initial backoff before the next attempt. It doubles up to
	// maxGangRetry, with jitter so that gangs do not keep blocking each other.
	minGangRetry = 60 * time.Millisecond
	maxGangRetry = 500 * time.Millisecond
)

// allQueued reports whether all tasks of the group are queued.
func (gr *group) allQueued() bool { return len(gr.queued()) == len(gr.tasks) }

// placeGang asks holders to reserve room once their load reports add up to
// enough room for the gang, and the workers with tickets are large enough.
func (en *Entry) placeGang(gr *group) {
	now := en.now()
	ga := &gr.gang
	if !ga.askedAt.IsZero() || now.Before(ga.notBefore) || !gr.allQueued() {
		return
	}
	if gr.job.Job.Steps[gr.step].Colocated {
		// The rack chosen by an earlier attempt may have less room now.
		gr.shape.Affinity = gr.job.Job.Steps[gr.step].Affinity
		en.chooseRack(gr)
	}
	free := 0
	for _, ro := range en.freeRoom(gr.shape) {
		free += ro.count
	}
	if free < len(gr.tasks) || (gr.shape.Advised && en.ticketRoom(gr) < len(gr.tasks)) {
		// An attempt would only keep the room from others.
		ga.notBefore = now.Add(minGangRetry)
		return
	}
	ga.askedAt = now
	for _, id := range en.reachable() {
		if ga.askedAt.IsZero() {
			// The offers of the first holders were sufficient.
			return
		}
		en.sendWant(gr, id, len(gr.tasks))
	}
}

// handleGangGrant handles room that a holder has reserved, and starts the gang
// once there is enough for all of its tasks.
func (en *Entry) handleGangGrant(gr *group, from ids.EntryID, ms Grant) {
	ga := &gr.gang
	if ga.askedAt.IsZero() || !gr.allQueued() {
		en.send(from, Start{Group: gr.id, Grant: ms.ID})
		return
	}
	// Offers of holders that have become unreachable can no longer be used.
	ga.offers = slices.DeleteFunc(ga.offers, func(of gangOffer) bool { return !en.canSend(of.from) })
	ga.offers = append(ga.offers, gangOffer{from: from, grant: ms.ID, count: ms.Count})
	total := 0
	for _, of := range ga.offers {
		total += of.count
	}
	if total < len(gr.tasks) {
		return
	}
	// The runs of one start of a gang all have the same number.
	latest := gr.job.runBase
	for _, ta := range gr.tasks {
		latest = max(latest, ta.run)
	}
	offers := ga.offers
	ga.offers, ga.askedAt, ga.attempts = nil, time.Time{}, 0
	waiting := gr.tasks
	for _, ta := range waiting {
		ta.run = latest
	}
	for _, of := range offers {
		take := min(of.count, len(waiting))
		en.sendTasks(gr, of.from, waiting[:take], of.grant)
		waiting = waiting[take:]
	}
	en.withdrawWants(gr)
}

// tickGangs ends attempts to gather room that have timed out, and starts new
// ones.
func (en *Entry) tickGangs(jb *job, now time.Time) {
	for _, gr := range jb.groups {
		if !gr.shape.Gang {
			continue
		}
		ga := &gr.gang
		if !ga.askedAt.IsZero() && now.Sub(ga.askedAt) > gangOfferTimeout {
			offers := ga.offers
			ga.offers, ga.askedAt = nil, time.Time{}
			pause := min(maxGangRetry, minGangRetry<<min(ga.attempts, 4))
			ga.attempts++
			spread := rendezvous.Uniform(string(jb.Job.ID), now.String())
			ga.notBefore = now.Add(pause/2 + time.Duration(spread*float64(pause)))
			en.withdrawWants(gr)
			for _, of := range offers {
				en.send(of.from, Start{Group: gr.id, Grant: of.grant})
			}
			en.eff.Log("gang-without-room", "job", string(jb.Job.ID), "step", gr.step, "tasks", len(gr.tasks),
				"offers", len(offers), "pause-ms", ga.notBefore.Sub(now).Milliseconds())
		}
		en.place(gr)
	}
}

// stopGang stops the remaining runs of a gang after one of them has ended and
// was not done. The gang is started again once all runs have ended.
func (en *Entry) stopGang(gr *group) {
	stops := tasksByHolder{}
	for _, ta := range gr.tasks {
		if ta.atHolder() {
			stops.add(ta)
		}
	}
	en.sendEach(stops, func(refs []TaskRef) Message { return Stop{Refs: refs, Report: true} })
	en.place(gr)
}

// addFailedRun records a failed run of a gang and returns the number of failed
// runs.
func (gr *group) addFailedRun(run Run) int {
	if gr.gang.failedRuns == nil {
		gr.gang.failedRuns = map[Run]bool{}
	}
	gr.gang.failedRuns[run] = true
	failed := gr.gang.failedBefore
	for run := range gr.gang.failedRuns {
		if run >= gr.gang.failedFloor {
			failed++
		}
	}
	return failed
}

// chooseRack chooses the rack with the most free room for a step whose tasks are
// slower on more than one rack. For a gang it chooses none if no rack has room for
// all tasks.
func (en *Entry) chooseRack(gr *group) {
	if !gr.job.Job.Steps[gr.step].Colocated || gr.shape.Affinity != "" || gr.shape.Need.CPU <= 0 {
		return
	}
	room := map[ids.RackID]int{}
	add := func(list []Free) {
		for _, fr := range list {
			if fr.Service == gr.shape.Service {
				room[fr.Rack] += int(fr.CPU / gr.shape.Need.CPU)
			}
		}
	}
	add(en.Load().Free)
	for _, free := range en.reportedFree() {
		add(free)
	}
	best := ids.RackID("")
	for _, rack := range sortedKeys(room) {
		if room[rack] > room[best] {
			best = rack
		}
	}
	if gr.shape.Gang && room[best] < len(gr.tasks) {
		return
	}
	gr.shape.Affinity = best
}
