package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// member is what this entry knows of another one from the store.
type member struct {
	Member
	beatAt time.Time // when its row was last seen to change
}

// knownWorker is a worker as the store lists it.
type knownWorker struct {
	info     WorkerInfo
	removed  time.Time // since when its row is gone, zero while it is there
	reported time.Time // when its report last changed
}

// The limits on membership.
const (
	// BeatInterval is the interval at which an entry rewrites its row.
	BeatInterval = time.Second
	// beatSilence without a beat, and without a session, makes an entry dead.
	// It covers two beats that are missed.
	beatSilence = 2200 * time.Millisecond
	// beatSilenceRefused is the silence that suffices when the entry's VM also
	// refuses connections, which means that no process listens there.
	beatSilenceRefused = 1200 * time.Millisecond
	// reportAge is the age above which a worker's report says that it may be cut
	// off: reports come every 1.5 s and are read with a delay of up to 0.4 s.
	reportAge = 2100 * time.Millisecond
	// storeRecovery is the time after an outage of the store in which rows that
	// are missing may come back.
	storeRecovery = 2500 * time.Millisecond
	// settleTime is how long an entry must have been reachable before workers
	// are passed to it, so that restarts in turn do not move workers twice.
	settleTime = 700 * time.Millisecond
	// memberInterval separates two looks at who should hold which worker.
	memberInterval = 60 * time.Millisecond
	// removalInterval separates two looks for rows of workers that are gone.
	removalInterval = 2 * time.Second
	// memberTime without a beat or a session an entry counts as removed for good.
	memberTime = time.Minute
	// commitPause separates two changes of rows after one that failed.
	commitPause = 150 * time.Millisecond
	// commitRows bounds the rows of one change; the store takes 100 entries.
	commitRows = 40
	// moveRows bounds the workers that are passed on at a time while this entry
	// stays, so that only few tasks change their holder at once.
	moveRows = 4
)

// PutMember takes the row of an entry from the store.
func (en *Entry) PutMember(mb Member) {
	id := mb.Incarnation.Entry()
	if id == en.id {
		return
	}
	old := en.members[id]
	if old != nil && old.Member == mb {
		return
	}
	if old == nil || old.Incarnation != mb.Incarnation {
		en.eff.Log("member", "entry", string(id), "incarnation", string(mb.Incarnation), "address", mb.PeerAddress, "leaving", mb.Leaving)
	}
	en.members[id] = &member{Member: mb, beatAt: en.now()}
}

// DropMember takes the removal of an entry's row. An entry removes its row when
// it has left; any other removal proves nothing.
func (en *Entry) DropMember(id ids.EntryID) {
	if mb := en.members[id]; mb != nil && mb.Leaving {
		en.eff.Log("member-gone", "entry", string(id))
		delete(en.members, id)
	}
}

// Members lists the other entries and the addresses for their sessions.
func (en *Entry) Members() []Member {
	list := make([]Member, 0, len(en.members))
	for _, mb := range en.members {
		list = append(list, mb.Member)
	}
	return list
}

// PutWorker takes a worker's report from the store.
func (en *Entry) PutWorker(info WorkerInfo) {
	now := en.now()
	kw := en.known[info.ID]
	if kw == nil {
		kw = &knownWorker{}
		en.known[info.ID] = kw
		en.eff.Log("worker-listed", "worker", string(info.ID), "service", string(info.Service), "zone", string(info.Zone))
	} else if kw.info.State != info.State {
		en.eff.Log("worker-state", "worker", string(info.ID), "state", string(info.State), "sequence", info.Sequence)
	}
	kw.info, kw.removed, kw.reported = info, time.Time{}, now
	wk := en.workers[info.ID]
	if wk == nil {
		if row, ok := en.rows[info.ID]; ok && row.Holder == en.self.Incarnation && !en.leaving {
			// This entry let go of it while it was not listed.
			en.takeWorker(info, Token(row.Version))
		}
		return
	}
	if wk.info.Address != info.Address || (wk.born != 0 && info.Born > wk.born) {
		// The next answer to a hold tells what runs in the new lifetime.
		wk.recheck(now)
	}
	wk.info = info
	en.match()
}

// DropWorker takes the removal of a worker's row. It may come back shortly
// after an outage of the store, if the worker lives.
func (en *Entry) DropWorker(id ids.WorkerID) {
	if kw := en.known[id]; kw != nil && kw.removed.IsZero() {
		kw.removed = en.now()
		en.eff.Log("worker-unlisted", "worker", string(id))
	}
}

// StoreAway notes that the store did not answer.
func (en *Entry) StoreAway() { en.storeLost = en.now() }

// PutRow takes the row of a worker's holder from the store.
func (en *Entry) PutRow(row HolderRow) {
	old, ok := en.rows[row.Worker]
	if ok && row.Version < old.Version {
		return
	}
	en.rows[row.Worker] = row
	if !ok || row.Version != old.Version {
		en.forgetHeard()
	}
	wk := en.workers[row.Worker]
	if row.Holder != en.self.Incarnation {
		delete(en.unfenced, row.Worker)
		if wk != nil && row.Version > Version(wk.token) {
			en.dropWorker(wk, "held by "+string(row.Holder))
		}
		return
	}
	if wk != nil {
		if Version(wk.token) == row.Version {
			return
		}
		en.dropWorker(wk, "new token")
	}
	if kw := en.known[row.Worker]; kw != nil && !en.leaving {
		en.takeWorker(kw.info, Token(row.Version))
	}
}

// DropRow takes the removal of a holder's row.
func (en *Entry) DropRow(id ids.WorkerID, version Version) {
	if old, ok := en.rows[id]; ok && old.Version > version {
		return
	}
	delete(en.rows, id)
}

func (en *Entry) onHandover(ms Handover) {
	for _, row := range ms.Rows {
		en.PutRow(row)
	}
}

func (en *Entry) zoneOf(id ids.EntryID) ids.AvailabilityZone {
	if id == en.id {
		return en.self.Zone
	}
	if mb := en.members[id]; mb != nil {
		return mb.Zone
	}
	return ""
}

// alive tells whether the process of an incarnation may still be running. An
// entry counts as dead only when it neither answers this entry nor reaches the
// store, so that one which is merely cut off from here keeps its workers.
func (en *Entry) alive(inc ids.Incarnation, now time.Time) bool {
	if inc == en.self.Incarnation {
		return true
	}
	id := inc.Entry()
	if id == en.id {
		return false
	}
	mb := en.members[id]
	if mb == nil || mb.Incarnation != inc {
		return false
	}
	se := en.session(id)
	if se.up {
		// Another incarnation that answers proves that this one has ended.
		return se.incarnation == inc
	}
	limit := beatSilence
	if se.refused {
		limit = beatSilenceRefused
	}
	if now.Sub(mb.beatAt) < limit {
		return true
	}
	// Just after the store was away no beat could have been seen. Only a process
	// that refuses connections is known to be gone.
	return now.Sub(en.storeLost) < limit && (!se.refused || now.Sub(se.downSince) < limit+storeRecovery)
}

// candidates lists the entries that may hold workers.
func (en *Entry) candidates(now time.Time) []Member {
	var list []Member
	if !en.leaving {
		list = append(list, Member{Self: en.self})
	}
	for _, id := range sortedKeys(en.members) {
		mb := en.members[id]
		if se := en.sessions[id]; se != nil && se.up && se.load.Leaving {
			continue
		}
		if !mb.Leaving && en.alive(mb.Incarnation, now) {
			list = append(list, mb.Member)
		}
	}
	return list
}

// assigned returns the entry that is to hold a worker: one of the worker's zone
// where there is any, chosen by weighted rendezvous hashing, so that a change
// of the members moves only the workers that it must.
func assigned(info WorkerInfo, list []Member) ids.Incarnation {
	var best ids.Incarnation
	bestScore, bestNear := math.Inf(-1), false
	for _, mb := range list {
		near := mb.Zone == info.Zone
		if bestNear && !near {
			continue
		}
		size := max(mb.Size, minSize)
		score := rendezvous.Score(string(info.ID), string(mb.Incarnation.Entry()), size)
		if score > bestScore || (near && !bestNear) {
			best, bestScore, bestNear = mb.Incarnation, score, near
		}
	}
	return best
}

// minSize keeps an entry without a known size from getting no share.
const minSize = 0.05

// Leave makes this entry pass its workers on and take no more.
func (en *Entry) Leave() {
	if en.leaving {
		return
	}
	en.leaving, en.leftAt = true, en.now()
	en.eff.Log("leaving", "workers", len(en.workers), "jobs", len(en.jobs))
}

// Held returns the number of workers that this entry holds.
func (en *Entry) Held() int { return len(en.workers) }

// Ready tells whether this entry can serve callers.
func (en *Entry) Ready() bool {
	return en.desired != nil && !en.leaving && len(en.known) > 0
}

// forgetWorkers drops the workers whose rows are gone for good. A worker that
// still answers, or whose row went with an outage of the store, has some time
// to come back.
func (en *Entry) forgetWorkers(now time.Time) {
	for _, id := range sortedKeys(en.known) {
		kw := en.known[id]
		if kw.removed.IsZero() {
			continue
		}
		wk := en.workers[id]
		answers := wk != nil && wk.failing.IsZero()
		if now.Sub(kw.removed) < storeRecovery && (answers || now.Sub(en.storeLost) < storeRecovery) {
			continue
		}
		if wk != nil && !answers && !now.After(wk.leaseEnd) {
			// Its tasks may still run.
			continue
		}
		delete(en.known, id)
		if wk == nil {
			continue
		}
		for _, sl := range wk.list() {
			if sl.state != slotGranted && !answers {
				en.endSlot(wk, sl, EndLost, "", 0)
			}
		}
		en.dropWorker(wk, "unlisted")
	}
}

// forgetMembers drops the entries that have been silent for long.
func (en *Entry) forgetMembers(now time.Time) {
	for _, id := range sortedKeys(en.members) {
		mb := en.members[id]
		if en.session(id).up || now.Sub(mb.beatAt) < memberTime || now.Sub(en.storeLost) < memberTime {
			continue
		}
		en.eff.Log("member-forgotten", "entry", string(id), "beat-age-ms", now.Sub(mb.beatAt).Milliseconds())
		delete(en.members, id)
		delete(en.sessions, id)
		en.eff.ForgetMember(id, mb.Version)
	}
}

func (en *Entry) tickMember(now time.Time) {
	en.forgetMembers(now)
	en.forgetWorkers(now)
	if en.committing || now.Before(en.commitAt) || now.Sub(en.storeLost) < commitPause {
		return
	}
	list := en.candidates(now)
	changes := en.claims(list, now)
	if len(changes) == 0 {
		changes = en.moves(list, now)
	}
	if len(changes) == 0 && now.Sub(en.removalTick) >= removalInterval {
		en.removalTick = now
		changes = en.removals(list, now)
	}
	if len(changes) == 0 {
		return
	}
	en.committing = true
	en.eff.Commit(changes)
}

// claims lists the workers without a living holder that fall to this entry.
func (en *Entry) claims(list []Member, now time.Time) []RowChange {
	var changes []RowChange
	if en.leaving {
		return nil
	}
	for id, kw := range en.known {
		row, ok := en.rows[id]
		if !kw.removed.IsZero() || (ok && en.alive(row.Holder, now)) {
			continue
		}
		if ok && now.Sub(kw.reported) > reportAge {
			// It is as silent as its holder: both may be cut off from here, and the
			// holder may go on using it.
			continue
		}
		if assigned(kw.info, list) == en.self.Incarnation {
			changes = append(changes, RowChange{Worker: id, Expected: row.Version, Holder: en.self.Incarnation})
		}
	}
	return limitChanges(changes, commitRows)
}

// removals lists the rows of workers that have been gone for long.
func (en *Entry) removals(list []Member, now time.Time) []RowChange {
	if en.leaving || en.readAt[TableWorkers].IsZero() {
		return nil
	}
	var changes []RowChange
	for id, row := range en.rows {
		if en.known[id] != nil {
			delete(en.vanished, id)
			continue
		}
		since, ok := en.vanished[id]
		if !ok {
			en.vanished[id] = now
			continue
		}
		old := now.Sub(since) > memberTime && now.Sub(en.storeLost) > memberTime
		if old && assigned(WorkerInfo{ID: id}, list) == en.self.Incarnation {
			changes = append(changes, RowChange{Worker: id, Expected: row.Version})
		}
	}
	return limitChanges(changes, commitRows)
}

// moves lists the workers held here that are to be held by another entry.
func (en *Entry) moves(list []Member, now time.Time) []RowChange {
	most := moveRows
	var settled []Member
	for _, mb := range list {
		id := mb.Incarnation.Entry()
		se := en.sessions[id]
		if id == en.id || (se != nil && se.up && now.Sub(se.upSince) > settleTime) {
			settled = append(settled, mb)
		}
	}
	if en.leaving {
		most = commitRows
	}
	var changes []RowChange
	for id, wk := range en.workers {
		to := assigned(wk.info, settled)
		row := en.rows[id]
		if to == "" || to == en.self.Incarnation || row.Holder != en.self.Incarnation || wk.phase != phaseOpen {
			continue
		}
		if wk.busyOrders() {
			if en.leaving {
				wk.handingTo = to
			}
			continue
		}
		changes = append(changes, RowChange{Worker: id, Expected: row.Version, Holder: to})
	}
	changes = limitChanges(changes, most)
	for _, ch := range changes {
		en.workers[ch.Worker].handingTo = ch.Holder
	}
	return changes
}

// busyOrders tells whether orders to a worker are on their way.
func (wk *worker) busyOrders() bool {
	for _, sl := range wk.slots {
		if sl.state == slotOrdered || sl.state == slotUnknown || sl.state == slotGranted {
			return true
		}
	}
	return false
}

func limitChanges(changes []RowChange, most int) []RowChange {
	slices.SortFunc(changes, func(a, b RowChange) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes[:min(most, len(changes))]
}

// CommitReply is the store's answer to a change of holders' rows.
type CommitReply struct {
	OK       bool
	Version  Version     // of the changed rows, when OK
	Present  []HolderRow // the rows as they are, after a conflict; version 0 for none
	Conflict bool
	Reason   string
}

// Committed takes the answer to a Commit.
func (en *Entry) Committed(changes []RowChange, rep CommitReply) {
	en.committing = false
	for _, ch := range changes {
		if wk := en.workers[ch.Worker]; wk != nil {
			wk.handingTo = ""
		}
	}
	if !rep.OK {
		en.commitAt = en.now().Add(commitPause)
		en.eff.Log("holders-unchanged", "rows", len(changes), "conflict", rep.Conflict, "reason", rep.Reason)
		for _, row := range rep.Present {
			if row.Version == 0 {
				delete(en.rows, row.Worker)
				continue
			}
			en.PutRow(row)
		}
		return
	}
	moved := map[ids.EntryID][]HolderRow{}
	for _, ch := range changes {
		if ch.Holder == "" {
			delete(en.rows, ch.Worker)
			delete(en.vanished, ch.Worker)
			continue
		}
		row := HolderRow{Worker: ch.Worker, Holder: ch.Holder, Version: rep.Version}
		en.PutRow(row)
		if id := ch.Holder.Entry(); id != en.id {
			moved[id] = append(moved[id], row)
		}
	}
	en.eff.Log("holders-changed", "rows", len(changes), "version", int64(rep.Version), "passed-on", len(changes) > 0 && len(moved) > 0)
	for _, id := range sortedKeys(moved) {
		en.send(id, Handover{Rows: moved[id]})
	}
}
