package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// An operator evacuates an availability zone by a row in the store. From the
// moment at which the holder of a worker in the zone knows of the row, the worker
// gets no new tasks and no repeated start orders. Short tasks there end by
// themselves; the others are moved when there is room elsewhere.

// EvacuationRow is the row of the store that requests the evacuation of a zone.
type EvacuationRow struct {
	Zone    ids.AvailabilityZone
	Version Version
	Removed bool
}

// AskEvacuations requests the set of evacuated zones that the receiver has.
type AskEvacuations struct {
	Number uint64 // returned in the answer
}

// Evacuations is the set of evacuated zones, with all changes up to a version.
type Evacuations struct {
	Number  uint64 // of the AskEvacuations that it answers
	Version Version
	Zones   []ids.AvailabilityZone
}

// AskMove asks an owner whether long-running tasks may be stopped so that they
// start elsewhere. The owner answers with Stop for those that may. It is used for
// steps that limit how many of their tasks may be unavailable.
type AskMove struct {
	Refs []TaskRef
}

// evacuatedZone is the state of a zone that is evacuated.
type evacuatedZone struct {
	since time.Time // when this entry was first informed
	empty bool      // no run was left at the last check
	runs  ZoneRuns
}

// ZoneRuns counts the runs on the workers of an evacuated zone that this entry
// holds.
type ZoneRuns struct {
	Zone    ids.AvailabilityZone
	Workers int
	Runs    int
	Lasting int // the long-running tasks among them
}

// evacuations is the set of evacuated zones as this entry knows it. It contains
// all changes up to its version.
type evacuations struct {
	zones   map[ids.AvailabilityZone]*evacuatedZone
	version Version // of the last row that was written or removed
	readTo  Version // this entry has itself read all changes up to this version
	// bounded reports that the settings set a bound on evacuations. Without one no
	// entry waits for a fresh set.
	bounded bool
	// fresh is set once the set was read or received after staleSince, which is the
	// start of this entry or the end of its last pause. Until then no task is
	// started, because a zone may have been evacuated in the meantime.
	fresh      bool
	staleSince time.Time
	// behindSince is when another entry first reported a newer version, newest the
	// newest version that was reported, and askedAt when the set was last requested.
	behindSince time.Time
	newest      Version
	askedAt     time.Time
	number      uint64      // of the last request
	lastAsked   ids.EntryID // the entry to which it was sent, if this set is not fresh
	// usable holds the holders of workers outside evacuated zones, as of usableAt.
	usable    map[ids.EntryID]bool
	usableAt  time.Time
	checkedAt time.Time // when the runs in evacuated zones were last checked
	// moved is the number of runs that were stopped since movedSince.
	moved      int
	movedSince time.Time
}

// The timing of evacuations.
const (
	// defaultEvacuationBound is the time after the request from which no task may
	// start in the zone, if the settings name none.
	defaultEvacuationBound = 5 * time.Second
	// freshRequestPause is the pause between two requests for the set while this
	// entry may start no task. An answer takes one millisecond.
	freshRequestPause = 50 * time.Millisecond
	// evacuationCheckInterval is the interval at which the runs in evacuated zones
	// are checked, and usableInterval the one at which the holders of other workers
	// are listed.
	evacuationCheckInterval = 200 * time.Millisecond
	usableInterval          = 500 * time.Millisecond
	// moveWindow is the time after which reports of free room show the runs that
	// were moved: reports arrive every 0.2 s, and a stopped task starts again within
	// some 0.1 s.
	moveWindow = time.Second
	// moveAskInterval is the pause before an owner is asked again.
	moveAskInterval = 500 * time.Millisecond
	// retryAfterEvacuated is the least time after which the caller of a job that only
	// evacuated workers could run may retry. Evacuations last minutes.
	retryAfterEvacuated = 5 * time.Second
)

func newEvacuations(now time.Time, bounded bool) *evacuations {
	return &evacuations{zones: map[ids.AvailabilityZone]*evacuatedZone{}, staleSince: now, bounded: bounded}
}

// evacuated reports whether a zone is evacuated.
func (ev *evacuations) evacuated(zone ids.AvailabilityZone) bool {
	return ev != nil && ev.zones[zone] != nil
}

// bars reports whether no task may start on the workers of a zone.
func (ev *evacuations) bars(zone ids.AvailabilityZone) bool {
	return ev != nil && (ev.zones[zone] != nil || (ev.bounded && !ev.fresh))
}

// knownTo returns the version up to which this entry knows all changes.
func (ev *evacuations) knownTo() Version { return max(ev.version, ev.readTo) }

// EvacuationVersion returns the version of the set of evacuated zones.
func (en *Entry) EvacuationVersion() Version { return en.evac.version }

// EvacuationsFresh reports whether the set of evacuated zones was read or received
// since the start of this entry and its last pause. It is always true if the settings
// set no bound on evacuations.
func (en *Entry) EvacuationsFresh() bool { return en.evac.fresh || !en.evac.bounded }

// EvacuationsRead processes the rows that were read from the store: all rows if
// full is set, and otherwise those that have changed. The store had the version
// when the read was answered; sent is when it was sent, zero if further changes
// follow.
func (en *Entry) EvacuationsRead(rows []EvacuationRow, version Version, full bool, sent time.Time) {
	ev := en.evac
	zones := map[ids.AvailabilityZone]bool{}
	latest := ev.version
	if !full {
		for zone := range ev.zones {
			zones[zone] = true
		}
	}
	rows = slices.SortedFunc(slices.Values(rows), func(a, b EvacuationRow) int { return cmp.Compare(a.Version, b.Version) })
	for _, ro := range rows {
		if !full && ro.Version <= ev.version {
			continue
		}
		latest = max(latest, ro.Version)
		if ro.Removed {
			delete(zones, ro.Zone)
		} else {
			zones[ro.Zone] = true
		}
	}
	if full {
		for zone := range ev.zones {
			if !zones[zone] {
				// Its row was removed at an unknown version.
				latest = version
			}
		}
		// Pages after the first one may contain later changes, but not all of them.
		latest = min(latest, version)
	}
	if latest >= ev.version {
		en.setEvacuated(zones, latest)
	}
	ev.readTo = max(ev.readTo, version)
	if !sent.Before(ev.staleSince) {
		en.evacuationsFresh()
	}
}

// HandlePeerEvacuations handles the version of the set of evacuated zones that
// another entry has reported.
func (en *Entry) HandlePeerEvacuations(id ids.EntryID, version Version) {
	ev, now := en.evac, en.now()
	if version <= ev.knownTo() {
		return
	}
	if ev.behindSince.IsZero() || ev.newest <= ev.knownTo() {
		ev.behindSince = now
	}
	ev.newest = max(ev.newest, version)
	if now.Sub(ev.behindSince) >= desiredRequestDelay && now.Sub(ev.askedAt) >= desiredRequestPause {
		en.askEvacuations(id)
	}
}

func (en *Entry) askEvacuations(id ids.EntryID) {
	ev := en.evac
	ev.number++
	ev.askedAt = en.now()
	en.eff.Log("evacuations-asked", "entry", string(id), "version", int64(ev.newest), "own", int64(ev.version), "fresh", ev.fresh)
	en.send(id, AskEvacuations{Number: ev.number})
}

// handleAskEvacuations sends the set of evacuated zones. An entry that may have
// missed changes itself does not answer.
func (en *Entry) handleAskEvacuations(from ids.EntryID, ms AskEvacuations) {
	if en.evac.fresh {
		en.send(from, Evacuations{Number: ms.Number, Version: en.evac.version, Zones: sortedKeys(en.evac.zones)})
	}
}

func (en *Entry) handleEvacuations(ms Evacuations) {
	ev := en.evac
	if ms.Version > ev.knownTo() {
		zones := map[ids.AvailabilityZone]bool{}
		for _, zone := range ms.Zones {
			zones[zone] = true
		}
		en.setEvacuated(zones, ms.Version)
	}
	// The number proves that the answer was sent after the request. An earlier
	// message may have waited in a connection during a pause.
	if ms.Number > 0 && ms.Number == ev.number {
		en.evacuationsFresh()
	}
}

// evacuationsStale records that this entry may have missed changes until now.
func (en *Entry) evacuationsStale(now time.Time) {
	ev := en.evac
	ev.fresh, ev.staleSince = false, now
	// An answer to an earlier request proves nothing.
	ev.number++
	ev.askedAt = time.Time{}
}

func (en *Entry) evacuationsFresh() {
	ev := en.evac
	if ev.fresh {
		return
	}
	ev.fresh = true
	en.match()
}

// setEvacuated replaces the set of evacuated zones.
func (en *Entry) setEvacuated(zones map[ids.AvailabilityZone]bool, version Version) {
	ev, now := en.evac, en.now()
	ev.version = version
	if ev.newest <= ev.knownTo() {
		ev.behindSince = time.Time{}
	}
	changed := false
	for _, zone := range sortedKeys(zones) {
		if ev.zones[zone] == nil {
			ev.zones[zone] = &evacuatedZone{since: now}
			changed = true
			en.eff.Log("zone-evacuated", "zone", string(zone), "version", int64(version), "workers", en.heldIn(zone))
		}
	}
	for _, zone := range sortedKeys(ev.zones) {
		if !zones[zone] {
			en.eff.Log("zone-returned", "zone", string(zone), "version", int64(version), "after-ms", now.Sub(ev.zones[zone].since).Milliseconds())
			delete(ev.zones, zone)
			changed = true
		}
	}
	if !changed {
		return
	}
	ev.usable, ev.usableAt, ev.checkedAt = nil, time.Time{}, time.Time{}
	en.releaseEvacuatedGrants()
	en.refuseEvacuated()
	en.replaceQueued()
	en.match()
}

// heldIn returns the number of workers of a zone that this entry holds.
func (en *Entry) heldIn(zone ids.AvailabilityZone) int {
	count := 0
	for _, wk := range en.workers {
		if wk.info.Zone == zone {
			count++
		}
	}
	return count
}

// releaseEvacuatedGrants releases the grants that reserve room in evacuated zones.
func (en *Entry) releaseEvacuatedGrants() {
	for _, id := range sortedKeys(en.grants) {
		if slices.ContainsFunc(en.grants[id].slots, func(gs grantSlot) bool { return en.evac.evacuated(gs.worker.info.Zone) }) {
			en.releaseGrant(id)
		}
	}
}

// replaceQueued places the queued tasks of all groups again, because other
// holders are to be asked for room.
func (en *Entry) replaceQueued() {
	for _, id := range sortedKeys(en.groups) {
		if gr := en.groups[id]; gr != nil && !gr.shape.Gang && len(gr.queued()) > 0 {
			en.withdrawWants(gr)
			en.place(gr)
		}
	}
}

// refuseEvacuated refuses the best-effort jobs that have not started and that only
// workers of evacuated zones could run.
func (en *Entry) refuseEvacuated() {
	for _, id := range sortedKeys(en.jobs) {
		if jb := en.jobs[id]; jb != nil && jb.notStarted() && en.onlyEvacuated(jb) {
			en.finish(jb, evacuatedOutcome(jb))
		}
	}
}

// evacuatedOutcome returns the answer to a job that only workers of evacuated zones
// could run. The times are spread, so that not all callers return at once.
func evacuatedOutcome(jb *job) Outcome {
	spread := 1 + rendezvous.Uniform(string(jb.Job.ID), "retry")
	return Outcome{Kind: Refused, Reason: "evacuated", RetryAfter: time.Duration(spread * float64(retryAfterEvacuated))}
}

// onlyEvacuated reports whether a job that is neither stored nor timed has a step
// that only workers of evacuated zones could run. It is false until the reports of
// all workers have been read.
func (en *Entry) onlyEvacuated(jb *job) bool {
	if len(en.evac.zones) == 0 || jb.Job.Stored || jb.Job.Repeat.Count > 0 || en.readAt[TableWorkers].IsZero() {
		return false
	}
	return slices.ContainsFunc(jb.groups, func(gr *group) bool { return en.onlyEvacuatedWorkers(gr.shape) })
}

// onlyEvacuatedWorkers reports whether all ready workers that have the service and
// the label of a shape are in evacuated zones, and there is one.
func (en *Entry) onlyEvacuatedWorkers(sh Shape) bool {
	found := false
	for _, kw := range en.known {
		if !kw.removedAt.IsZero() || kw.info.State != WorkerReady || kw.info.Service != sh.Service ||
			(sh.Requirement != "" && !slices.Contains(kw.info.Labels, sh.Requirement)) {
			continue
		}
		if !en.evac.evacuated(kw.info.Zone) {
			return false
		}
		found = true
	}
	return found
}

// usableHolders returns the entries that hold workers outside evacuated zones, nil
// if no zone is evacuated.
func (en *Entry) usableHolders() map[ids.EntryID]bool {
	ev, now := en.evac, en.now()
	if len(ev.zones) == 0 {
		return nil
	}
	if ev.usable != nil && now.Sub(ev.usableAt) < usableInterval {
		return ev.usable
	}
	ev.usable, ev.usableAt = map[ids.EntryID]bool{}, now
	for id, row := range en.rows {
		holder := row.Holder.Entry()
		if ev.usable[holder] {
			continue
		}
		// Workers are usually held by an entry of their zone.
		zone := en.zoneOf(holder)
		if kw := en.known[id]; kw != nil {
			zone = kw.info.Zone
		}
		if !ev.evacuated(zone) {
			ev.usable[holder] = true
		}
	}
	return ev.usable
}

// linkUsableHolders requests sessions with holders of workers outside evacuated
// zones. An entry of a large fleet has only a few neighbours in other zones.
func (en *Entry) linkUsableHolders() {
	if !en.evac.evacuated(en.self.Zone) || en.topology.size <= fullMeshSize || len(en.groups) == 0 {
		return
	}
	list := sortedKeys(en.usableHolders())
	slices.SortStableFunc(list, func(a, b ids.EntryID) int {
		return cmp.Compare(rendezvous.Uniform(string(en.id), string(b)), rendezvous.Uniform(string(en.id), string(a)))
	})
	for _, id := range list[:min(maxWantHolders, len(list))] {
		if id != en.id && !en.topology.neighbours[id] {
			en.requestLink(id)
		}
	}
}

func (en *Entry) tickEvacuations(now time.Time) {
	ev := en.evac
	if !ev.fresh && now.Sub(ev.askedAt) >= freshRequestPause {
		en.askNextEntry()
	}
	if len(ev.zones) == 0 || now.Sub(ev.checkedAt) < evacuationCheckInterval {
		return
	}
	ev.checkedAt = now
	en.linkUsableHolders()
	for _, zone := range sortedKeys(ev.zones) {
		ev.zones[zone].runs = ZoneRuns{Zone: zone}
	}
	for _, id := range sortedKeys(en.workers) {
		wk := en.workers[id]
		if wk == nil || !ev.evacuated(wk.info.Zone) {
			continue
		}
		en.evacuateWorker(wk, ev.zones[wk.info.Zone], now)
	}
	for _, zone := range sortedKeys(ev.zones) {
		ez := ev.zones[zone]
		empty := ez.runs.Workers > 0 && ez.runs.Runs == 0
		if empty && !ez.empty {
			en.eff.Log("zone-empty", "zone", string(zone), "workers", ez.runs.Workers, "after-ms", now.Sub(ez.since).Milliseconds())
		}
		ez.empty = empty
	}
}

// askNextEntry requests the set from one entry after the other.
func (en *Entry) askNextEntry() {
	list := en.reachable()
	list = slices.DeleteFunc(list, func(id ids.EntryID) bool { return id == en.id })
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	next := list[0]
	if num := slices.IndexFunc(list, func(id ids.EntryID) bool { return id > en.evac.lastAsked }); num >= 0 {
		next = list[num]
	}
	en.evac.lastAsked = next
	en.askEvacuations(next)
}

// EvacuatedRuns returns what is left on the workers of evacuated zones that this
// entry holds.
func (en *Entry) EvacuatedRuns() []ZoneRuns {
	var list []ZoneRuns
	for _, zone := range sortedKeys(en.evac.zones) {
		runs := en.evac.zones[zone].runs
		runs.Zone = zone
		list = append(list, runs)
	}
	return list
}

// evacuateWorker counts the runs on a worker of an evacuated zone and moves those
// that do not end by themselves in time.
func (en *Entry) evacuateWorker(wk *worker, ez *evacuatedZone, now time.Time) {
	ez.runs.Workers++
	for _, sl := range wk.sortedSlots() {
		if sl.state == slotGranted {
			continue
		}
		ez.runs.Runs++
		if sl.shape.Lasting {
			ez.runs.Lasting++
		}
		if wk.phase == phaseOpen && wk.slots[sl.ref] == sl && en.mustMove(wk, sl, ez, now) && en.mayMove(wk, sl, now) {
			en.eff.Log("run-moved", "task", string(sl.ref.Task), "run", int64(sl.ref.Run), "worker", string(wk.info.ID),
				"zone", string(wk.info.Zone), "lasting", sl.shape.Lasting, "owner", string(sl.owner))
			en.stopSlot(wk, sl, EndStopped)
		}
	}
}

// mustMove reports whether a run in an evacuated zone is to be continued elsewhere.
// Running gangs and tasks without checkpoints continue where they are, and so do
// tasks that are expected to end before the bound.
func (en *Entry) mustMove(wk *worker, sl *slot, ez *evacuatedZone, now time.Time) bool {
	if sl.owner == "" || sl.state != slotRunning || sl.shape.Gang {
		return false
	}
	if sl.shape.Lasting {
		return sl.outlivesOwner()
	}
	if !sl.shape.Checkpointing {
		return false
	}
	end := sl.began.Add(time.Duration(float64(sl.shape.Estimate) / wk.runFactor(sl)))
	if end.Before(now) {
		end = now
	}
	return end.After(ez.since.Add(en.evacuationBound))
}

// mayMove reports whether a run may be stopped now because there is room for it
// elsewhere. Each holder of the zone uses its share of that room, and room that
// was used up by earlier moves does not count until reports show the new state.
func (en *Entry) mayMove(wk *worker, sl *slot, now time.Time) bool {
	ev := en.evac
	if now.Sub(ev.movedSince) >= moveWindow {
		ev.moved, ev.movedSince = 0, now
	}
	if !en.roomElsewhere(wk, sl.shape, now) {
		return false
	}
	if sl.shape.MaxUnavailable > 0 {
		return en.mayStop(sl, now)
	}
	room := 0
	for _, ro := range en.freeRoom(sl.shape) {
		room += ro.count
	}
	if ev.moved >= max(1, room/en.evacuatingHolders()) {
		return false
	}
	ev.moved++
	return true
}

// evacuatingHolders returns the number of entries that hold workers in evacuated
// zones, at least 1.
func (en *Entry) evacuatingHolders() int {
	holders := map[ids.EntryID]bool{}
	for id, row := range en.rows {
		if kw := en.known[id]; kw != nil && en.evac.evacuated(kw.info.Zone) {
			holders[row.Holder.Entry()] = true
		}
	}
	return max(1, len(holders))
}

// mayStop reports whether a holder may stop a long-running task to move it. If the
// step limits the tasks that are unavailable, the owner is asked, which sends the
// stop itself.
func (en *Entry) mayStop(sl *slot, now time.Time) bool {
	if sl.shape.MaxUnavailable == 0 {
		return true
	}
	if now.Sub(sl.moveAskedAt) >= moveAskInterval {
		sl.moveAskedAt = now
		en.send(sl.owner, AskMove{Refs: []TaskRef{sl.ref}})
	}
	return false
}

// handleAskMove stops the tasks that a holder wants to move, as far as the limits
// of their steps allow.
func (en *Entry) handleAskMove(from ids.EntryID, ms AskMove) {
	for _, ref := range ms.Refs {
		gr, ta := en.currentTask(ref)
		if ta == nil || ta.holder != from || ta.state != taskRunning || gr.job.suspended {
			continue
		}
		// A task that is being moved already is stopped again, in case the first stop
		// was lost.
		if ta.movedRun != ta.run && gr.unavailable() >= gr.shape.MaxUnavailable {
			continue
		}
		ta.movedRun = ta.run
		en.eff.Log("task-moved", "task", string(ta.id), "run", int64(ta.run), "holder", string(from), "worker", string(ta.worker))
		en.send(from, Stop{Refs: []TaskRef{ref}, Report: true})
	}
}

// unavailable returns the number of tasks of a group that do not run or are being
// stopped.
func (gr *group) unavailable() int {
	count := 0
	for _, ta := range gr.tasks {
		if ta.state != taskRunning || ta.movedRun == ta.run {
			count++
		}
	}
	return count
}
