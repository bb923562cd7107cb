package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// gangState is what the owner of a gang knows of the room for it. The tasks of
// a gang are started only once holders have reserved room for all of them.
type gangState struct {
	since     time.Time // when holders were asked, zero when they are not
	notBefore time.Time // when they may be asked again
	attempts  int
	offers    []gangOffer
	failed    map[Run]bool
}

type gangOffer struct {
	from  ids.EntryID
	grant GrantID
	count int
}

// The limits on gathering room for a gang.
const (
	// gangOfferTime bounds how long offers are gathered. It is below grantTime,
	// after which a holder gives the room to others.
	gangOfferTime = 110 * time.Millisecond
	// gangRetry is the least pause before room is gathered again; it doubles up
	// to gangRetryMost, with a spread so that gangs don't keep getting in each
	// other's way.
	gangRetry     = 60 * time.Millisecond
	gangRetryMost = 500 * time.Millisecond
)

// allQueued tells whether no task of the group is with a holder or done.
func (gr *group) allQueued() bool { return len(gr.queued()) == len(gr.tasks) }

// placeGang asks holders for room once they report enough of it.
func (en *Entry) placeGang(gr *group) {
	now := en.now()
	ga := &gr.gang
	if !ga.since.IsZero() || now.Before(ga.notBefore) || !gr.allQueued() {
		return
	}
	if gr.job.Job.Steps[gr.step].Colocated {
		// The rack that was chosen before may have less room now.
		gr.shape.Affinity = gr.job.Job.Steps[gr.step].Affinity
		en.colocate(gr)
	}
	free := 0
	for _, ro := range en.freeRoom(gr.shape) {
		free += ro.count
	}
	if free < len(gr.tasks) {
		ga.notBefore = now.Add(gangRetry)
		return
	}
	ga.since = now
	for _, id := range en.reachable() {
		if ga.since.IsZero() {
			// The offers of the first holders were enough.
			return
		}
		en.sendWant(gr, id, len(gr.tasks))
	}
}

// offerGang takes room that a holder has reserved, and starts the gang when
// there is enough for all.
func (en *Entry) offerGang(gr *group, from ids.EntryID, ms Grant) {
	ga := &gr.gang
	if ga.since.IsZero() || !gr.allQueued() {
		en.send(from, Start{Group: gr.id, Grant: ms.ID})
		return
	}
	// Offers of holders that have become unreachable are void.
	ga.offers = slices.DeleteFunc(ga.offers, func(of gangOffer) bool { return !en.canTell(of.from) })
	ga.offers = append(ga.offers, gangOffer{from: from, grant: ms.ID, count: ms.Count})
	total := 0
	for _, of := range ga.offers {
		total += of.count
	}
	if total < len(gr.tasks) {
		return
	}
	// All runs of a gang that belong together have the same number.
	latest := gr.job.runBase
	for _, ta := range gr.tasks {
		latest = max(latest, ta.run)
	}
	offers := ga.offers
	ga.offers, ga.since, ga.attempts = nil, time.Time{}, 0
	waiting := gr.tasks
	for _, ta := range waiting {
		ta.run = latest
	}
	for _, of := range offers {
		take := min(of.count, len(waiting))
		en.sendTasks(gr, of.from, waiting[:take], of.grant)
		waiting = waiting[take:]
	}
	en.unwant(gr)
}

// tickGangs gives up gathering room that takes too long, and tries again.
func (en *Entry) tickGangs(jb *job, now time.Time) {
	for _, gr := range jb.groups {
		if !gr.shape.Gang {
			continue
		}
		ga := &gr.gang
		if !ga.since.IsZero() && now.Sub(ga.since) > gangOfferTime {
			offers := ga.offers
			ga.offers, ga.since = nil, time.Time{}
			pause := min(gangRetryMost, gangRetry<<min(ga.attempts, 4))
			ga.attempts++
			spread := rendezvous.Uniform(string(jb.Job.ID), now.String())
			ga.notBefore = now.Add(pause/2 + time.Duration(spread*float64(pause)))
			en.unwant(gr)
			for _, of := range offers {
				en.send(of.from, Start{Group: gr.id, Grant: of.grant})
			}
			en.eff.Log("gang-without-room", "job", string(jb.Job.ID), "step", gr.step, "tasks", len(gr.tasks),
				"offers", len(offers), "pause-ms", ga.notBefore.Sub(now).Milliseconds())
		}
		en.place(gr)
	}
}

// breakGang stops what still runs of a gang after one of its runs has ended
// otherwise than done. The gang is started again when all have ended.
func (en *Entry) breakGang(gr *group) {
	stops := heldTasks{}
	for _, ta := range gr.tasks {
		if ta.atHolder() {
			stops.add(ta)
		}
	}
	en.tellEach(stops, func(refs []TaskRef) Message { return Stop{Refs: refs, Report: true} })
	en.place(gr)
}

// gangFailed counts the runs of a gang that have failed.
func (gr *group) gangFailed(run Run) int {
	if gr.gang.failed == nil {
		gr.gang.failed = map[Run]bool{}
	}
	gr.gang.failed[run] = true
	return len(gr.gang.failed)
}

// colocate chooses the rack for a step whose tasks belong on one: the one with
// the most free room.
func (en *Entry) colocate(gr *group) {
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
	for _, free := range en.reported() {
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
