package dispatch

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

type wantKey struct {
	owner ids.EntryID
	group GroupID
}

// want is a number of tasks of one owner that wait for room at this holder.
type want struct {
	key     wantKey
	job     ids.JobID
	count   int // waiting tasks
	granted int // waiting tasks for which room is reserved
	shape   Shape
	inTime  time.Time
	late    time.Time
	// careful is the time until which only workers that are not suspect are used.
	careful time.Time
}

// grant is room that is reserved until the owner of the tasks answers.
type grant struct {
	key   wantKey
	until time.Time
	slots []grantSlot
}

type grantSlot struct {
	worker *worker
	ref    TaskRef
}

func (en *Entry) handleWant(from ids.EntryID, ms Want) {
	now := en.now()
	key := wantKey{owner: from, group: ms.Group}
	if en.refusesEnded(from, ms.Job, ms.Shape) {
		delete(en.wants, key)
		return
	}
	wa := en.wants[key]
	if wa == nil {
		wa = &want{key: key}
		en.wants[key] = wa
	}
	wa.job, wa.count, wa.shape = ms.Job, ms.Count, ms.Shape
	wa.inTime, wa.late = now.Add(ms.Shape.InTime), now.Add(ms.Shape.Late)
	if ms.Shape.Careful {
		wa.careful = now.Add(carefulTime)
	}
	if !en.passingOn() && wa.granted < wa.count {
		// The other wants have already been matched with the present room.
		en.grantWant(wa, now)
	}
}

func (en *Entry) handleUnwant(from ids.EntryID, ms Unwant) {
	delete(en.wants, wantKey{owner: from, group: ms.Group})
}

// match reserves free room for the wants in the order of their rank.
func (en *Entry) match() {
	if len(en.wants) == 0 || en.passingOn() {
		return
	}
	now := en.now()
	largest := en.mostFree(now)
	ranking := wantRanking{now: now}
	for _, wa := range en.wants {
		if wa.granted < wa.count && wa.shape.Need.CPU <= largest[wa.shape.Service] {
			ranking.wants = append(ranking.wants, wa)
		}
	}
	// Free room suffices for a few of the wants, so the others are not sorted.
	heap.Init(&ranking)
	for ranking.Len() > 0 {
		wa := heap.Pop(&ranking).(*want)
		// An earlier grant of this round may have caused the removal of the want.
		if en.wants[wa.key] != wa || wa.shape.Need.CPU > largest[wa.shape.Service] {
			continue
		}
		if en.grantWant(wa, now); wa.granted == 0 {
			continue
		}
		largest = en.mostFree(now)
		ranking.keepFitting(largest)
	}
}

// wantRanking is a heap of wants. The want that ranks first is at the top.
type wantRanking struct {
	now   time.Time
	wants []*want
}

func (wr *wantRanking) Len() int           { return len(wr.wants) }
func (wr *wantRanking) Less(a, b int) bool { return compareWants(wr.wants[a], wr.wants[b], wr.now) < 0 }
func (wr *wantRanking) Swap(a, b int)      { wr.wants[a], wr.wants[b] = wr.wants[b], wr.wants[a] }
func (wr *wantRanking) Push(wa any)        { wr.wants = append(wr.wants, wa.(*want)) }

// Pop removes the last want, as package heap requires.
func (wr *wantRanking) Pop() any {
	last := wr.wants[len(wr.wants)-1]
	wr.wants = wr.wants[:len(wr.wants)-1]
	return last
}

// keepFitting removes the wants that need more CPU than is free on one worker of
// their service.
func (wr *wantRanking) keepFitting(largest map[ids.ServiceName]Millicores) {
	before := len(wr.wants)
	wr.wants = slices.DeleteFunc(wr.wants, func(wa *want) bool { return wa.shape.Need.CPU > largest[wa.shape.Service] })
	if len(wr.wants) < before {
		heap.Init(wr)
	}
}

// mostFree returns for each service the largest amount of CPU that is free on a
// single worker. Wants that need more are not ranked.
func (en *Entry) mostFree(now time.Time) map[ids.ServiceName]Millicores {
	largest := map[ids.ServiceName]Millicores{}
	for _, wk := range en.workers {
		if !wk.usable(now) {
			continue
		}
		if free := wk.free().CPU; free > largest[wk.info.Service] {
			largest[wk.info.Service] = free
		}
	}
	return largest
}

// compareWants ranks waiting work by tier, then by the priority of the queue,
// then started jobs before others, and then by the latest start that is still
// in time. In the late tiers wants with a shorter chain of steps come first, and
// the latest start decides between equal chains.
func compareWants(a, b *want, now time.Time) int {
	tier := a.tier(now)
	if byTier := cmp.Compare(tier, b.tier(now)); byTier != 0 {
		return byTier
	}
	if byPriority := cmp.Compare(a.shape.Priority, b.shape.Priority); byPriority != 0 {
		return byPriority
	}
	if a.shape.Started != b.shape.Started {
		if a.shape.Started {
			return -1
		}
		return 1
	}
	if tier != tierInTime {
		if byWork := cmp.Compare(a.shape.Chain, b.shape.Chain); byWork != 0 {
			return byWork
		}
	}
	if byStart := a.latestStart().Compare(b.latestStart()); byStart != 0 {
		return byStart
	}
	if byOwner := cmp.Compare(a.key.owner, b.key.owner); byOwner != 0 {
		return byOwner
	}
	return cmp.Compare(a.key.group, b.key.group)
}

func (wa *want) latestStart() time.Time { return wa.inTime.Add(-wa.shape.Chain) }

// The tiers of wants, in the order in which they are served.
const (
	tierInTime  = iota // can still be in time
	tierLate           // too late for the objective, still useful to the caller
	tierExpired        // too late for the caller, unless the estimate is wrong
)

// tier returns the tier of a want. The last tasks of a started job rank as in
// time: they cost little, and without them all work on the job is lost.
func (wa *want) tier(now time.Time) int {
	switch {
	case !now.After(wa.latestStart()), wa.shape.Started && wa.shape.Left <= lastTasksShare && now.Before(wa.late):
		return tierInTime
	case !now.Add(wa.shape.Chain).After(wa.late):
		return tierLate
	}
	return tierExpired
}

// lastTasksShare is the share of unfinished tasks up to which the tasks of a
// started job count as its last ones. A late answer is worth about a fifth of
// one in time.
const lastTasksShare = 0.25

// grantWant reserves as much room as one want needs and the workers have.
func (en *Entry) grantWant(wa *want, now time.Time) {
	var gt *grant
	var id GrantID
	for wa.granted < wa.count {
		wa.shape.Careful = now.Before(wa.careful)
		wk := en.pickWorker(wa.shape, wa.job, wa.inTime, wa.key, now, true)
		if wk == nil {
			break
		}
		if gt == nil {
			en.lastGrant++
			id = en.lastGrant
			gt = &grant{key: wa.key, until: now.Add(grantTimeout)}
			en.grants[id] = gt
		}
		ref := TaskRef{Task: TaskID("grant." + strconv.FormatUint(uint64(id), 10)), Run: Run(len(gt.slots))}
		wk.addSlot(&slot{
			ref: ref, owner: wa.key.owner, group: wa.key.group, shape: wa.shape, state: slotGranted,
			grant: id, began: now,
		})
		gt.slots = append(gt.slots, grantSlot{worker: wk, ref: ref})
		wa.granted++
	}
	if gt != nil {
		en.send(wa.key.owner, Grant{ID: id, Group: wa.key.group, Count: len(gt.slots)})
	}
}

// releaseGrant frees the room that is still reserved by a grant.
func (en *Entry) releaseGrant(id GrantID) {
	gt := en.grants[id]
	if gt == nil {
		return
	}
	delete(en.grants, id)
	for _, gs := range gt.slots {
		gs.worker.removeSlot(gs.ref)
	}
	if wa := en.wants[gt.key]; wa != nil {
		wa.granted = max(0, wa.granted-len(gt.slots))
	}
}

// handleStart places the tasks that an owner has sent and reports those for which
// there is no room.
func (en *Entry) handleStart(from ids.EntryID, ms Start) {
	now := en.now()
	inTime := now.Add(ms.Shape.InTime)
	key := wantKey{owner: from, group: ms.Group}
	var reserved []grantSlot
	if gt := en.grants[ms.Grant]; gt != nil && gt.key == key {
		reserved = gt.slots
		en.releaseGrant(ms.Grant)
	}
	if wa := en.wants[key]; wa != nil && ms.Grant != 0 {
		// An owner that sends fewer tasks than were granted has no others that wait.
		wa.count -= max(len(ms.Tasks), len(reserved))
		if len(ms.Tasks) == 0 || wa.count <= 0 {
			delete(en.wants, key)
		}
	}
	if len(ms.Tasks) > 0 && en.refusesEnded(from, ms.Job, ms.Shape) {
		en.match()
		return
	}
	for num, as := range ms.Tasks {
		var wk *worker
		if num < len(reserved) && reserved[num].worker.accepts(ms.Shape, key, now) {
			wk = reserved[num].worker
		} else {
			// Without a usable reservation, only tasks with data on a rack wait for a
			// better worker.
			wk = en.pickWorker(ms.Shape, ms.Job, inTime, key, now, ms.Shape.Affinity != "")
		}
		if wk == nil || en.passingOn() || wk.slots[as.TaskRef] != nil {
			en.send(from, Ended{Ref: as.TaskRef, How: EndNoRoom})
			continue
		}
		en.sendStart(wk, from, ms, as, now)
	}
	if len(reserved) > len(ms.Tasks) {
		en.match()
	}
}

// sendStart sends a start order to a worker and reserves room there for the task.
func (en *Entry) sendStart(wk *worker, from ids.EntryID, ms Start, as Assignment, now time.Time) {
	shape, remote := ms.Shape, !wk.near(ms.Shape)
	if remote {
		shape.Estimate = time.Duration(float64(shape.Estimate) * en.remotePenalty)
	}
	sl := &slot{
		ref: as.TaskRef, owner: from, group: ms.Group, job: ms.Job, shape: shape, state: slotOrdered,
		began: now, remote: remote, stalls: as.Stalls,
	}
	sl.cold = wk.isCold(now)
	wk.useColdToken(now)
	wk.addSlot(sl)
	lease := en.allowedLease(wk, en.startLease, now)
	sl.startExpires = wk.clockNow(now) + WorkerTime(lease)
	wk.recordLease(now, lease)
	sl.startOrder = StartOrder{
		Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Ref: as.TaskRef,
		Payload: ms.Payload, Checkpoint: as.Checkpoint, Ticket: ms.Shape.Tickets[wk.info.ID], Until: sl.startExpires,
	}
	en.sendStartOrder(wk, sl, now)
}

// sendStartOrder sends the start order of a slot for the first time or again.
func (en *Entry) sendStartOrder(wk *worker, sl *slot, now time.Time) {
	sl.starts++
	sl.startSent = now
	wk.callSent(now)
	en.eff.StartTask(sl.startOrder)
}

// accepts reports whether a worker may run one more task of a job. The job ID is
// "" if it is not known.
func (en *Entry) accepts(wk *worker, sh Shape, id ids.JobID, key wantKey, now time.Time) bool {
	if en.leaving && sh.Lasting {
		return false
	}
	return wk.accepts(sh, key, now) && (!sh.Careful || !en.suspect(wk, id))
}

// accepts reports whether a worker may run one more task of a shape.
func (wk *worker) accepts(sh Shape, key wantKey, now time.Time) bool {
	if wk.info.Service != sh.Service || !wk.usable(now) {
		return false
	}
	if wk.coldTokens(now) < 1 {
		return false
	}
	if sh.Advised && sh.Tickets[wk.info.ID] == "" {
		return false
	}
	if sh.Requirement != "" && !slices.Contains(wk.info.Labels, sh.Requirement) {
		return false
	}
	if sh.AntiAffinity > 0 && wk.tasksOf(key) >= sh.AntiAffinity {
		return false
	}
	return sh.Need.fits(wk.free())
}

func (wk *worker) tasksOf(key wantKey) int {
	count := 0
	for _, sl := range wk.slots {
		if sl.owner == key.owner && sl.group == key.group {
			count++
		}
	}
	return count
}

// estimateMargin is the factor on the estimated run time with which a task must
// still be in time on a worker. The margin makes a task wait for a fast worker
// rather than be late on a slow one that is free.
const estimateMargin = 1.15

// pickWorker chooses the worker for a task. It returns nil if none is suitable.
// Workers on which the task can be in time come first, and among these the ones on
// the rack of the data. Of several such workers pickWorker prefers a slow one, so
// that the fast ones stay free for long tasks, and then the one with the least free
// room. With wait set, a
// task that may still be in time on a fast worker does not start on a slow one,
// or away from its data, if it would be late there, and a task does not start away
// from its data while the workers are too full for that, see crowded.
func (en *Entry) pickWorker(sh Shape, id ids.JobID, inTime time.Time, key wantKey, now time.Time, wait bool) *worker {
	var best *worker
	var bestScore pickScore
	// The steps that depend on this one have to be in time too.
	inTime = inTime.Add(sh.Estimate - sh.Chain)
	// A rack may have no worker that can run the task.
	remoteFrom := inTime.Add(time.Duration(float64(sh.Chain) * en.remotePenalty))
	mayBeInTime := wait && !now.Add(sh.Estimate).After(inTime)
	for _, wk := range en.workers {
		if !en.accepts(wk, sh, id, key, now) {
			continue
		}
		score := en.score(wk, sh, inTime, now)
		if !score.inTime && mayBeInTime && (!score.near || wk.factor(now) < fastSpeed) {
			continue
		}
		if !score.near && wait && !now.After(remoteFrom) && en.crowded(sh.Service, score.inTime) {
			continue
		}
		if best == nil || score.better(bestScore, best, wk) {
			best, bestScore = wk, score
		}
	}
	if bestScore.held && en.warmRoomElsewhere(sh) {
		return nil
	}
	return best
}

type pickScore struct {
	inTime bool
	near   bool // on the rack of the task's data, or the task names no rack
	fast   bool
	held   bool // see worker.held
	spare  Millicores
}

// near reports whether a worker is on the rack of a task's data. It is true for
// tasks that name no rack.
func (wk *worker) near(sh Shape) bool { return sh.Affinity == "" || sh.Affinity == wk.info.Rack }

func (en *Entry) score(wk *worker, sh Shape, inTime time.Time, now time.Time) pickScore {
	factor := wk.factor(now)
	if !wk.near(sh) {
		factor /= en.remotePenalty
	}
	took := time.Duration(float64(sh.Estimate) * estimateMargin / factor)
	return pickScore{
		inTime: !now.Add(took).After(inTime),
		near:   wk.near(sh),
		fast:   factor >= fastSpeed,
		held:   wk.held(now),
		spare:  wk.free().CPU - sh.Need.CPU,
	}
}

// better reports whether wk, whose score is ps, is preferred to otherWorker, whose
// score is other.
func (ps pickScore) better(other pickScore, otherWorker, wk *worker) bool {
	if ps.inTime != other.inTime {
		return ps.inTime
	}
	if ps.near != other.near {
		return ps.near
	}
	if ps.held != other.held {
		return other.held
	}
	if ps.fast != other.fast {
		// If the task is in time on both workers, the fast one stays free. If it is
		// late on both, it runs on the fast one.
		return ps.fast != ps.inTime
	}
	if ps.spare != other.spare {
		return ps.spare < other.spare
	}
	return wk.info.ID < otherWorker.info.ID
}

// speedSteps is the number of steps into which reported speeds up to 1 are
// rounded. The speed of a worker changes continuously, and each change of the
// rounded value causes a new report.
const speedSteps = 20

// Load reports the free room of the workers that this entry holds.
func (en *Entry) Load() Load {
	now := en.now()
	ld := Load{Leaving: en.leaving, Queues: en.demand.queueReport, Capacity: en.demand.capacityReport}
	if en.passingOn() {
		return ld
	}
	for _, id := range sortedKeys(en.workers) {
		wk := en.workers[id]
		if !wk.usable(now) || !en.reportsRoom(wk, now) {
			continue
		}
		room := wk.free()
		if room.CPU > 0 || room.Accelerators > 0 {
			ld.Free = append(ld.Free, Free{
				Service: wk.info.Service, CPU: room.CPU, Accelerators: room.Accelerators, Rack: wk.info.Rack,
				Speed: float32(math.Round(wk.factor(now)*speedSteps) / speedSteps),
			})
		}
	}
	return ld
}

// taskPosition is the position of a task in its job, as encoded in the task ID.
type taskPosition struct {
	job  ids.JobID
	occ  int // number of the occurrence, 0 for a job that is not timed
	step int
	idx  int
}

// parseTaskID parses a task ID into job, occurrence, step and index. It returns
// false if the ID is malformed.
func parseTaskID(id TaskID) (taskPosition, bool) {
	const partCount = 4
	parts := strings.Split(string(id), ".")
	if len(parts) != partCount {
		return taskPosition{}, false
	}
	occ, errOcc := strconv.Atoi(parts[1])
	step, errStep := strconv.Atoi(parts[2])
	idx, errIdx := strconv.Atoi(parts[3])
	if errOcc != nil || errStep != nil || errIdx != nil || occ < 0 || step < 0 || idx < 0 {
		return taskPosition{}, false
	}
	return taskPosition{job: ids.JobID(parts[0]), occ: occ, step: step, idx: idx}, true
}
