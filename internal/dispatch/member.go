package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
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
	reported time.Time // a time since which its report has changed
	readAt   time.Time // when this entry last read its report itself
}

// The limits on membership.
const (
	// BeatInterval is the least interval at which an entry rewrites its row.
	BeatInterval = time.Second
	// beatSilence without a beat, and without a session, makes an entry dead, if
	// it beats once a second. It covers two beats that are missed.
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
	// memberInterval separates two looks at who should hold which worker, and
	// memberSpacing is added for each entry of the fleet, because a look costs as
	// much as there are entries and workers.
	memberInterval = 100 * time.Millisecond
	memberSpacing  = time.Millisecond
	// observedLag is how old a read of the members' rows may be for silence to
	// count up to now: the longest wait of a read and the least pause after it.
	observedLag = 1500 * time.Millisecond
	// probeTime is how long an entry without a session is dialled before its
	// silence in the store makes it dead.
	probeTime = 700 * time.Millisecond
	// removalInterval separates two looks for rows of workers that are gone.
	removalInterval = 2 * time.Second
	// memberTime without a beat or a session an entry counts as removed for good.
	memberTime = time.Minute
	// forgetInterval separates two looks for entries that are gone for good.
	forgetInterval = time.Second
	// claimReview is the interval at which the workers without a living holder are
	// looked for although nothing is known to have changed: a holder that is
	// leaving may die.
	claimReview = time.Second
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
	en.named(mb.Incarnation, mb.Version)
	if old != nil && (old.Member == mb || mb.Version < old.Version) {
		return
	}
	if old != nil && old.Incarnation != mb.Incarnation && en.outlived(mb.Incarnation) {
		// A beat that the store has carried out late.
		return
	}
	if old == nil || old.Incarnation != mb.Incarnation {
		en.eff.Log("member", "entry", string(id), "incarnation", string(mb.Incarnation), "address", mb.PeerAddress, "leaving", mb.Leaving)
		en.linksChanged = true
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

// PutWorker takes a worker's report from the store as soon as it has changed.
func (en *Entry) PutWorker(info WorkerInfo) {
	now := en.now()
	kw := en.takeReport(info, true)
	kw.reported, kw.readAt = now, now
}

// SeeWorker takes a worker's report that was read again after some time. A
// change may have come at any moment since the last time.
func (en *Entry) SeeWorker(info WorkerInfo) {
	now := en.now()
	reported := now
	if kw := en.known[info.ID]; kw != nil {
		reported = kw.reported
		if kw.info.Version != info.Version && kw.readAt.After(reported) {
			reported = kw.readAt
		}
	}
	kw := en.takeReport(info, true)
	kw.reported, kw.readAt = reported, now
}

// takeReport takes what a report says of a worker. One that another entry
// passed on may be older than what is known.
func (en *Entry) takeReport(info WorkerInfo, own bool) *knownWorker {
	kw := en.known[info.ID]
	switch {
	case kw == nil:
		kw = &knownWorker{reported: en.now()}
		en.known[info.ID] = kw
		en.eff.Log("worker-listed", "worker", string(info.ID), "service", string(info.Service), "zone", string(info.Zone))
	case info.Version < kw.info.Version || (!own && info.Version == kw.info.Version):
		return kw
	case kw.info.State != info.State:
		en.eff.Log("worker-state", "worker", string(info.ID), "state", string(info.State), "sequence", info.Sequence, "own-read", own)
	}
	changed := info.differs(kw.info) || !kw.removed.IsZero()
	en.claimsChanged = en.claimsChanged || changed
	kw.info, kw.removed = info, time.Time{}
	if own && changed {
		en.spread(func(news *WorkerNews) { news.Workers = append(news.Workers, info) })
	}
	wk := en.workers[info.ID]
	if wk == nil {
		if row, ok := en.rows[info.ID]; ok && row.Holder == en.self.Incarnation && !en.leaving {
			// This entry let go of it while it was not listed.
			en.takeWorker(info, Token(row.Version))
		}
		return kw
	}
	if wk.info.Address != info.Address || (wk.born != 0 && info.Born > wk.born) {
		// The next answer to a hold tells what runs in the new lifetime.
		wk.recheck(en.now())
	}
	wk.info = info
	if changed {
		en.match()
	}
	return kw
}

// DropWorker takes the removal of a worker's row at a version, 0 when that is
// not known. It may come back shortly after an outage of the store, if the
// worker lives.
func (en *Entry) DropWorker(id ids.WorkerID, version Version) {
	kw := en.known[id]
	if kw == nil || !kw.removed.IsZero() || (version > 0 && version < kw.info.Version) {
		return
	}
	kw.removed = en.now()
	en.eff.Log("worker-unlisted", "worker", string(id), "version", int64(version))
	en.spread(func(news *WorkerNews) { news.Gone = append(news.Gone, GoneWorker{Worker: id, Version: version}) })
}

// StoreAway notes that the store did not answer.
func (en *Entry) StoreAway() { en.storeLost, en.storeAway = en.now(), en.now() }

// PutRow takes the row of a worker's holder from the store.
func (en *Entry) PutRow(row HolderRow) {
	old, ok := en.rows[row.Worker]
	if ok && row.Version < old.Version {
		return
	}
	en.named(row.Holder, row.Version)
	en.rows[row.Worker] = row
	en.rowAt[row.Worker] = en.now()
	en.claimsChanged = true
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
	delete(en.rowAt, id)
	en.claimsChanged = true
}

func (en *Entry) onHandover(ms Handover) {
	en.handed = ms.Owners
	for _, row := range ms.Rows {
		en.PutRow(row)
	}
	en.handed = nil
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
	if en.Replaced(inc) {
		return false
	}
	se := en.session(id)
	if se.up {
		// It answers, or another one does of which it is not known whether it is
		// the later one; the next answer or the end of the session shows that.
		return true
	}
	mb := en.members[id]
	if mb == nil || mb.Incarnation != inc {
		return false
	}
	limit := beatSilence
	if se.refused {
		limit = beatSilenceRefused
	}
	// A large fleet beats more rarely.
	limit += max(0, mb.BeatEvery-BeatInterval)
	if en.observed(now).Sub(mb.beatAt) < limit {
		return true
	}
	// Just after the store was away no beat could have been seen. Only a process
	// that refuses connections is known to be gone.
	return now.Sub(en.storeLost) < limit && (!se.refused || now.Sub(se.downSince) < limit+storeRecovery)
}

// observed returns the time up to which a beat would have been seen.
func (en *Entry) observed(now time.Time) time.Time {
	read := en.readAt[TableHolders]
	if seen := read.Add(observedLag); !read.IsZero() && seen.Before(now) {
		return seen
	}
	return now
}

// probed tells whether a silent entry, with which there is no session, has been
// dialled for long enough. One that is merely cut off from the store answers,
// and keeps its workers.
func (en *Entry) probed(id ids.EntryID, now time.Time) bool {
	mb := en.members[id]
	if mb == nil || en.topology.neighbours[id] || len(en.members) < fullMesh {
		return true
	}
	se := en.session(id)
	if !se.probedAt.After(mb.beatAt) {
		se.probedAt = now
		en.wantLink(id)
	}
	return se.refused || now.Sub(se.probedAt) >= probeTime
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
	removed := map[ids.WorkerID]bool{}
	for id, kw := range en.known {
		if !kw.removed.IsZero() {
			removed[id] = true
		}
	}
	for _, id := range sortedKeys(removed) {
		kw := en.known[id]
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
	if now.Sub(en.forgetTick) < forgetInterval {
		return
	}
	en.forgetTick = now
	for _, id := range sortedKeys(en.members) {
		mb := en.members[id]
		if en.session(id).up || en.observed(now).Sub(mb.beatAt) < memberTime || now.Sub(en.storeLost) < memberTime {
			continue
		}
		en.eff.Log("member-forgotten", "entry", string(id), "beat-age-ms", now.Sub(mb.beatAt).Milliseconds())
		delete(en.members, id)
		delete(en.sessions, id)
		delete(en.lives, id)
		en.eff.ForgetMember(id, mb.Version)
	}
}

func (en *Entry) tickMember(now time.Time) {
	en.forgetMembers(now)
	en.forgetWorkers(now)
	ro := en.arrange(en.candidates(now))
	if en.committing || now.Before(en.commitAt) || now.Sub(en.storeLost) < commitPause {
		return
	}
	changes := en.claims(ro, now)
	if len(changes) == 0 {
		changes = en.moves(ro, now)
	}
	if len(changes) == 0 && now.Sub(en.removalTick) >= removalInterval {
		en.removalTick = now
		changes = en.removals(ro, now)
	}
	if len(changes) == 0 {
		return
	}
	en.committing = true
	en.eff.Commit(changes)
}

// claims lists the workers without a living holder that fall to this entry.
func (en *Entry) claims(ro roster, now time.Time) []RowChange {
	if en.leaving || (!en.claimsChanged && now.Sub(en.claimsAt) < claimReview) {
		return nil
	}
	en.doubtful, en.claimsAt, en.claimsChanged = nil, now, false
	var changes []RowChange
	alive := map[ids.Incarnation]bool{}
	for id, kw := range en.known {
		row, ok := en.rows[id]
		if !kw.removed.IsZero() || (ok && en.aliveOnce(alive, row.Holder, now)) {
			continue
		}
		if ro.assigned(string(id), kw.info.Zone) != en.self.Incarnation {
			continue
		}
		if ok && (en.newcomer(row) || !en.mayTakeOver(id, row.Holder, now)) {
			en.claimsChanged = true
			continue
		}
		changes = append(changes, RowChange{Worker: id, Expected: row.Version, Holder: en.self.Incarnation})
	}
	slices.Sort(en.doubtful)
	en.claimsChanged = en.claimsChanged || len(changes) > 0
	return limitChanges(changes, commitRows)
}

// aliveOnce is alive with the answers of one look kept.
func (en *Entry) aliveOnce(answers map[ids.Incarnation]bool, inc ids.Incarnation, now time.Time) bool {
	living, ok := answers[inc]
	if !ok {
		living = en.alive(inc, now)
		answers[inc] = living
	}
	return living
}

// newcomer tells whether the holder in a row may be an entry or an incarnation
// whose own row has not been read yet. Rows of holders come with the answers to
// changes too, rows of entries only with a read of the table.
func (en *Entry) newcomer(row HolderRow) bool {
	mb := en.members[row.Holder.Entry()]
	if mb != nil && (mb.Incarnation == row.Holder || mb.Version > row.Version) {
		return false
	}
	return row.Holder.Entry() != en.id && !en.readAt[TableHolders].After(en.rowAt[row.Worker])
}

// mayTakeOver tells whether a worker whose holder is silent may be taken over.
// One that is as silent as its holder may be cut off from here together with it,
// and the holder may go on using it.
func (en *Entry) mayTakeOver(id ids.WorkerID, holder ids.Incarnation, now time.Time) bool {
	if en.Replaced(holder) {
		return true
	}
	if !en.probed(holder.Entry(), now) {
		return false
	}
	if now.Sub(en.known[id].reported) <= reportAge {
		return true
	}
	en.doubtful = append(en.doubtful, id)
	return false
}

// removals lists the rows of workers that have been gone for long.
func (en *Entry) removals(ro roster, now time.Time) []RowChange {
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
		// An entry that does not follow the reports takes a while to see them all.
		old := now.Sub(since) > memberTime && now.Sub(en.storeLost) > memberTime && en.readAt[TableWorkers].After(since)
		if old && ro.assigned(string(id), "") == en.self.Incarnation {
			changes = append(changes, RowChange{Worker: id, Expected: row.Version})
		}
	}
	return limitChanges(changes, commitRows)
}

// moves lists the workers held here that are to be held by another entry.
func (en *Entry) moves(ro roster, now time.Time) []RowChange {
	most := moveRows
	settled := map[ids.EntryID]bool{en.id: true}
	var list []Member
	for _, st := range ro.all {
		id := st.Incarnation.Entry()
		se := en.sessions[id]
		if id == en.id || (se != nil && se.up && now.Sub(se.upSince) > settleTime) {
			settled[id] = true
			list = append(list, st.Member)
		}
	}
	if en.leaving {
		// There is no time to wait for sessions with others.
		most, ro = commitRows, newRoster(list)
	}
	var changes []RowChange
	for id, wk := range en.workers {
		to := ro.assigned(string(id), wk.info.Zone)
		row := en.rows[id]
		if to == "" || to == en.self.Incarnation || row.Holder != en.self.Incarnation || wk.phase != phaseOpen {
			continue
		}
		if !settled[to.Entry()] {
			en.wantLink(to.Entry())
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
		en.notCommitted(changes, rep)
		return
	}
	moved := map[ids.EntryID][]HolderRow{}
	owners := map[ids.WorkerID][]ids.EntryID{}
	for _, ch := range changes {
		if ch.Holder == "" {
			en.DropRow(ch.Worker, math.MaxInt64)
			delete(en.vanished, ch.Worker)
			continue
		}
		row := HolderRow{Worker: ch.Worker, Holder: ch.Holder, Version: rep.Version}
		id := ch.Holder.Entry()
		if wk := en.workers[ch.Worker]; wk != nil && id != en.id {
			owners[ch.Worker] = wk.owners()
		}
		en.PutRow(row)
		if id != en.id {
			moved[id] = append(moved[id], row)
		}
	}
	en.eff.Log("holders-changed", "rows", len(changes), "version", int64(rep.Version), "passed-on", len(changes) > 0 && len(moved) > 0)
	for _, id := range sortedKeys(moved) {
		msg := Handover{Rows: moved[id], Owners: map[ids.WorkerID][]ids.EntryID{}}
		for _, row := range moved[id] {
			msg.Owners[row.Worker] = owners[row.Worker]
		}
		en.send(id, msg)
	}
}

// notCommitted takes the rows as they are.
func (en *Entry) notCommitted(changes []RowChange, rep CommitReply) {
	en.commitAt = en.now().Add(commitPause)
	en.eff.Log("holders-unchanged", "rows", len(changes), "conflict", rep.Conflict, "reason", rep.Reason)
	for _, row := range rep.Present {
		if row.Version == 0 {
			en.DropRow(row.Worker, math.MaxInt64)
			continue
		}
		en.PutRow(row)
	}
}

// owners lists the entries whose tasks a worker runs.
func (wk *worker) owners() []ids.EntryID {
	set := map[ids.EntryID]bool{}
	for _, sl := range wk.slots {
		if sl.owner != "" && sl.state != slotGranted {
			set[sl.owner] = true
		}
	}
	return sortedKeys(set)
}

// Meet takes what an entry says of itself when it begins a session. Its row may
// not have been read yet.
func (en *Entry) Meet(self Self) {
	id := self.Incarnation.Entry()
	if id == en.id || en.members[id] != nil {
		return
	}
	en.eff.Log("member-met", "entry", string(id), "incarnation", string(self.Incarnation), "address", self.PeerAddress)
	en.members[id] = &member{Member: Member{Self: self}, beatAt: en.now()}
	en.linksChanged = true
}
