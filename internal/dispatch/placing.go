package dispatch

import (
	"iter"
	"math"
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// currentShape returns the shape of the group with the times relative to now.
func (gr *group) currentShape(now time.Time) Shape {
	sh := gr.shape
	sh.Started = gr.job.begun
	sh.Left = gr.job.undoneShare()
	sh.Careful = now.Sub(gr.failedAt) < carefulTime
	sh.InTime = gr.occ.inTime.Sub(now)
	sh.Late = gr.occ.late.Sub(now)
	if sh.Lasting {
		sh.InTime, sh.Late = lastingTimeLeft, lastingTimeLeft
	}
	return sh
}

// undoneShare returns the share of the job's tasks that are not done.
func (jb *job) undoneShare() float64 {
	left, all := 0, 0
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			all++
			if ta.state != taskDone {
				left++
			}
		}
	}
	return float64(left) / float64(max(all, 1))
}

// startsTasks reports whether tasks of the job may be started. Once this owner has
// decided that the job ends, the store may have the decision although no answer has
// arrived, and another entry may have acknowledged it to a caller.
func (jb *job) startsTasks() bool {
	return !jb.suspended && (jb.stored == nil || !jb.stored.rec.State.ended())
}

// place sends the queued tasks of a group to holders with free room and sends a
// Want for the rest.
func (en *Entry) place(gr *group) {
	if !gr.job.startsTasks() {
		return
	}
	if gr.shape.Advised && !en.hasTickets(gr) {
		return
	}
	if gr.shape.Gang {
		en.placeGang(gr)
		return
	}
	if gr.shape.Advised {
		// The reports of free room do not name the workers.
		en.sendWants(gr)
		return
	}
	waiting := gr.queued()
	for _, fr := range en.freeRoom(gr.shape) {
		if len(waiting) == 0 {
			break
		}
		if gr.avoidHolders[fr.holder] {
			// The free room may be on workers whose tasks fail at once.
			continue
		}
		take := min(fr.count, len(waiting))
		en.sendTasks(gr, fr.holder, waiting[:take], 0)
		waiting = gr.queued()
	}
	en.sendWants(gr)
}

// holderRoom is the free room at a holder, according to its last report, as a
// number of tasks.
type holderRoom struct {
	holder   ids.EntryID
	count    int
	speed    float64
	sameZone bool
	leaving  bool
}

// freeRoom lists the holders whose last report shows room for the shape, on the
// rack of its data if it names one. Holders that leave come last, because they
// are about to pass on their workers. Holders with fast free workers come first,
// then those in this zone, then those with the most room.
func (en *Entry) freeRoom(sh Shape) []holderRoom {
	var list []holderRoom
	if count, best := countFree(en.Load().Free, sh); count > 0 {
		list = append(list, holderRoom{holder: en.id, count: count, speed: best, sameZone: true, leaving: en.leaving})
	}
	for id, free := range en.reportedFree() {
		if count, best := countFree(free, sh); count > 0 {
			list = append(list, holderRoom{
				holder: id, count: count, speed: best, sameZone: en.zoneOf(id) == en.self.Zone, leaving: en.sessions[id].load.Leaving,
			})
		}
	}
	sort.Slice(list, func(a, b int) bool {
		left, right := list[a], list[b]
		if left.leaving != right.leaving {
			return right.leaving
		}
		if fastA, fastB := left.speed >= fastSpeed, right.speed >= fastSpeed; fastA != fastB {
			return fastA
		}
		if left.sameZone != right.sameZone {
			return left.sameZone
		}
		if left.count != right.count {
			return left.count > right.count
		}
		return left.holder < right.holder
	})
	return list
}

// reportedFree returns the free room that the reachable entries have reported.
func (en *Entry) reportedFree() iter.Seq2[ids.EntryID, []Free] {
	return func(yield func(ids.EntryID, []Free) bool) {
		for id, se := range en.sessions {
			if se.bidirectional() && !yield(id, se.load.Free) {
				return
			}
		}
	}
}

// fastSpeed is the least speed of a fast worker. The mean speed is 1.
const fastSpeed = 0.8

func countFree(free []Free, sh Shape) (int, float64) {
	count, best := 0, 0.0
	for _, fr := range free {
		fits := fr.tasks(sh.Need)
		if fr.Service != sh.Service || fits == 0 || (sh.Affinity != "" && fr.Rack != sh.Affinity) {
			continue
		}
		count += fits
		best = max(best, float64(fr.Speed))
	}
	return count, best
}

// tasks returns how many tasks fit into the free room. The report does not have the
// memory; a task that asks for nothing else counts once.
func (fr Free) tasks(need Resources) int {
	count := math.MaxInt32
	if need.CPU > 0 {
		count = min(count, int(fr.CPU/need.CPU))
	}
	if need.Accelerators > 0 {
		count = min(count, fr.Accelerators/need.Accelerators)
	}
	if count == math.MaxInt32 {
		return 1
	}
	return max(count, 0)
}

// sendTasks sends tasks of a group to a holder. Each send increases the run
// number of a task, because an earlier order that got no reply may still be
// executed.
func (en *Entry) sendTasks(gr *group, holder ids.EntryID, tasks []*task, grant GrantID) {
	now := en.now()
	msg := Start{
		Group: gr.id, Job: gr.job.Job.ID, Shape: gr.currentShape(now), Payload: gr.job.Job.Payload, Grant: grant,
	}
	for _, ta := range tasks {
		ta.run = max(ta.run, gr.job.runBase) + 1
		ta.sent = true
		ta.state, ta.holder, ta.worker, ta.token, ta.placedAt = taskPlaced, holder, "", 0, now
		msg.Tasks = append(msg.Tasks, Assignment{
			TaskRef: ta.ref(), Checkpoint: ta.checkpoint, Attempt: ta.failed, Stalls: ta.stalls,
		})
	}
	if len(tasks) > 0 {
		if gr.job.firstSentAt.IsZero() {
			gr.job.firstSentAt = now
		}
		en.reduceFree(holder, gr.shape, len(tasks))
	}
	en.send(holder, msg)
}

// reduceFree subtracts tasks that were sent to a holder from the free room that
// the holder last reported.
func (en *Entry) reduceFree(holder ids.EntryID, sh Shape, count int) {
	se := en.sessions[holder]
	if se == nil {
		return
	}
	free := se.load.Free
	for num := range free {
		if free[num].Service != sh.Service {
			continue
		}
		fits := min(count, free[num].tasks(sh.Need))
		free[num].CPU -= Millicores(fits) * sh.Need.CPU
		free[num].Accelerators -= fits * sh.Need.Accelerators
		count -= fits
	}
}

// sendWants sends a Want for the queued tasks of a group to the holders, or
// withdraws it if no task is queued.
func (en *Entry) sendWants(gr *group) {
	count := len(gr.queued())
	if count == 0 || !gr.job.startsTasks() {
		en.withdrawWants(gr)
		return
	}
	for _, id := range en.askedHolders(gr) {
		en.sendWant(gr, id, count)
	}
}

func (en *Entry) sendWant(gr *group, id ids.EntryID, count int) {
	gr.wantedFrom[id] = true
	en.send(id, Want{Group: gr.id, Job: gr.job.Job.ID, Count: count, Shape: gr.currentShape(en.now())})
}

// wantTargets lists the holders to ask for room: all reachable ones, or
// wantTargets lists the holders to ask for room: all reachable ones, or
// maxWantHolders of them if there are more. Holders of workers outside evacuated
// zones come first, then those where the least work waits for the capacity. Work
// that waits in another zone seems longer by farWait.
func (en *Entry) wantTargets(sh Shape) []ids.EntryID {
	list := en.reachable()
	if len(list) <= maxWantHolders {
		return list
	}
	usable := en.usableHolders()
	service := nameHash(string(sh.Service))
	waits := make(map[ids.EntryID]time.Duration, len(list))
	for _, id := range list {
		waits[id] = en.waitAt(id, service)
		if en.zoneOf(id) != en.self.Zone {
			waits[id] += farWait
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if usable[list[a]] != usable[list[b]] {
			return usable[list[a]]
		}
		if waits[list[a]] != waits[list[b]] {
			return waits[list[a]] < waits[list[b]]
		}
		return rendezvous.Uniform(string(en.id), string(list[a])) > rendezvous.Uniform(string(en.id), string(list[b]))
	})
	return list[:maxWantHolders]
}

// farWait is how much shorter the wait at a holder in another zone must be for it
// to be asked first.
const farWait = 40 * time.Millisecond

// waitAt returns the time in which a holder can do the work that it was asked for.
func (en *Entry) waitAt(id ids.EntryID, service uint32) time.Duration {
	ld := Load{Capacity: en.demand.capacityReport}
	if se := en.sessions[id]; id != en.id && se != nil {
		ld = se.load
	}
	sc := ld.capacityOf(service)
	switch {
	case ld.Capacity == nil:
		// The entry reports no capacity.
		return 0
	case sc.Rate == 0:
		return time.Minute
	}
	return seconds(sc.Wanted.amount() / sc.Rate.amount())
}

func (en *Entry) withdrawWants(gr *group) {
	asked := gr.wantedFrom
	gr.wantedFrom = map[ids.EntryID]bool{}
	for _, id := range sortedKeys(asked) {
		en.send(id, Unwant{Group: gr.id})
	}
}

// resendWants sends the wants of all groups to an entry that has just become
// reachable.
func (en *Entry) resendWants(id ids.EntryID) {
	for _, gid := range sortedKeys(en.groups) {
		gr := en.groups[gid]
		if count := len(gr.queued()); count > 0 && gr.job.startsTasks() && !gr.shape.Gang && (!gr.shape.Advised || len(gr.shape.Tickets) > 0) {
			en.sendWant(gr, id, count)
		}
	}
}

// handleGrant sends queued tasks to a holder that has reserved room for them.
func (en *Entry) handleGrant(from ids.EntryID, ms Grant) {
	if !en.canSend(from) {
		// The reply would not arrive; the holder releases the room on its own timeout.
		return
	}
	gr := en.groups[ms.Group]
	if gr == nil || !gr.job.startsTasks() {
		en.send(from, Start{Group: ms.Group, Grant: ms.ID})
		return
	}
	if gr.shape.Gang {
		en.handleGangGrant(gr, from, ms)
		return
	}
	waiting := gr.queued()
	en.sendTasks(gr, from, waiting[:min(ms.Count, len(waiting))], ms.ID)
	if len(waiting) <= ms.Count {
		en.withdrawWants(gr)
	}
}
