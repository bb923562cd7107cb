package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// member is the record of another entry.
type member struct {
	Member
	heartbeatAt time.Time // when a change of its row was last read
}

// knownWorker is the record of a worker that has or recently had a report in
// the store.
type knownWorker struct {
	info          WorkerInfo
	removedAt     time.Time // when its row was found missing, zero while it exists
	reportedAfter time.Time // the worker is known to have reported at this time or later
	readAt        time.Time // when this entry last read the report from the store
	coldUntil     time.Time // the worker is slow after its start until then, zero if it is not
}

// The limits on membership.
const (
	// MinHeartbeatInterval is the minimum interval between the heartbeats of an
	// entry, each of which rewrites its row.
	MinHeartbeatInterval = time.Second
	// heartbeatTimeout is the time without a heartbeat after which an entry
	// without a session counts as dead, if it sends a heartbeat once a second. It
	// covers two missed heartbeats.
	heartbeatTimeout = 2200 * time.Millisecond
	// heartbeatTimeoutRefused replaces heartbeatTimeout when the entry's VM refuses
	// connections, which means that no process listens there.
	heartbeatTimeoutRefused = 1200 * time.Millisecond
	// maxReportAge is the age above which a worker's report is stale and the worker
	// may be partitioned: reports are written every 1.5 s and read with a delay of up
	// to 0.4 s.
	maxReportAge = 2100 * time.Millisecond
	// storeRecovery is the time after an outage of the store during which missing
	// rows may reappear.
	storeRecovery = 2500 * time.Millisecond
	// settleTime is how long an entry must have been reachable before workers
	// are moved to it, so that a rolling restart does not move workers twice.
	settleTime = 700 * time.Millisecond
	// memberTickInterval is the base interval between two checks of the assignment
	// of workers to entries. memberSpacing is added for each entry of the fleet,
	// because the cost of a check grows with the number of entries and workers.
	memberTickInterval = 100 * time.Millisecond
	memberSpacing      = time.Millisecond
	// maxReadAge is the age up to which a read of the members' rows counts as
	// current when the time without a heartbeat is measured. It is the longest wait
	// for a read plus the shortest pause after it.
	maxReadAge = 1500 * time.Millisecond
	// probeTime is how long an entry without a session is dialled before missed
	// heartbeats make it count as dead.
	probeTime = 700 * time.Millisecond
	// removalInterval is the interval between two searches for holder rows of
	// removed workers.
	removalInterval = 2 * time.Second
	// memberExpiry is the time without a heartbeat and a session after which an
	// entry counts as permanently removed.
	memberExpiry = time.Minute
	// forgetInterval is the interval between two searches for permanently removed
	// entries.
	forgetInterval = time.Second
	// workerClaimInterval is the maximum interval between two searches for workers
	// without a living holder. A change triggers a search earlier, but the death of
	// a holder that is leaving may trigger none.
	workerClaimInterval = time.Second
	// commitRetryPause is the minimum pause after a failed commit.
	commitRetryPause = 150 * time.Millisecond
	// maxCommitRows bounds the rows of one commit. Each row takes a check and a
	// write, and the store accepts 100 of these in a transaction.
	maxCommitRows = 40
	// maxMoveRows bounds the workers of one commit that moves them to other entries
	// while this entry stays, so that only few tasks change their holder at once.
	maxMoveRows = 4
)

// PutMember processes the row of an entry that was read from the store.
func (en *Entry) PutMember(mb Member) {
	id := mb.Incarnation.Entry()
	if id == en.id {
		return
	}
	old := en.members[id]
	en.recordIncarnation(mb.Incarnation, mb.Version)
	if old != nil && (old.Member == mb || mb.Version < old.Version) {
		return
	}
	if old != nil && old.Incarnation != mb.Incarnation && en.laterAnswered(mb.Incarnation) {
		// A heartbeat of an earlier incarnation that the store wrote late.
		return
	}
	if old == nil || old.Incarnation != mb.Incarnation {
		en.eff.Log("member", "entry", string(id), "incarnation", string(mb.Incarnation), "address", mb.PeerAddress, "leaving", mb.Leaving)
		en.linksChanged = true
	}
	en.members[id] = &member{Member: mb, heartbeatAt: en.now()}
}

// DropMember processes the removal of an entry's row. An entry removes its row
// when it has left. Any other removal does not prove that the entry has ended.
func (en *Entry) DropMember(id ids.EntryID) {
	if mb := en.members[id]; mb != nil && mb.Leaving {
		en.eff.Log("member-gone", "entry", string(id))
		delete(en.members, id)
	}
}

// Members lists the other entries with the addresses for their sessions.
func (en *Entry) Members() []Member {
	list := make([]Member, 0, len(en.members))
	for _, mb := range en.members {
		list = append(list, mb.Member)
	}
	return list
}

// PutWorker processes a worker's report that was read from the store as soon as
// it had changed.
func (en *Entry) PutWorker(info WorkerInfo) {
	now := en.now()
	kw := en.applyReport(info, true)
	kw.reportedAfter, kw.readAt = now, now
}

// PutPolledWorker processes a worker's report that was read from the store
// again after some time. It may have changed at any moment since the previous
// read.
func (en *Entry) PutPolledWorker(info WorkerInfo) {
	now := en.now()
	reported := now
	if kw := en.known[info.ID]; kw != nil {
		reported = kw.reportedAfter
		if kw.info.Version != info.Version && kw.readAt.After(reported) {
			reported = kw.readAt
		}
	}
	kw := en.applyReport(info, true)
	kw.reportedAfter, kw.readAt = reported, now
}

// applyReport updates the record of a worker from a report. A report that
// another entry passed on (own is false) may be older than the record.
func (en *Entry) applyReport(info WorkerInfo, own bool) *knownWorker {
	kw := en.known[info.ID]
	first := kw == nil
	switch {
	case first:
		kw = &knownWorker{reportedAfter: en.now()}
		en.known[info.ID] = kw
		en.eff.Log("worker-listed", "worker", string(info.ID), "service", string(info.Service), "zone", string(info.Zone))
	case info.Version < kw.info.Version || (!own && info.Version == kw.info.Version):
		return kw
	case kw.info.State != info.State:
		en.eff.Log("worker-state", "worker", string(info.ID), "state", string(info.State), "sequence", info.Sequence, "own-read", own)
	}
	changed := info.changedFrom(kw.info) || !kw.removedAt.IsZero()
	kw.coldUntil = kw.coldEnd(info, en.now())
	restarted := info.Born != kw.info.Born
	en.claimsChanged = en.claimsChanged || changed
	kw.info, kw.removedAt = info, time.Time{}
	if changed {
		// A change that another entry has passed on is passed on too: that entry may
		// have no session with entries that this one reaches, and the report that
		// this one reads later then shows no change.
		en.queueWorkerNews(func(news *WorkerNews) { news.Workers = append(news.Workers, info) })
		if own && !first {
			en.informHolder(info)
		}
		en.logForeign(info)
	}
	wk := en.workers[info.ID]
	if wk == nil {
		if row, ok := en.rows[info.ID]; ok && row.Holder == en.self.Incarnation && !en.leaving && en.mayUse(row) {
			// This entry dropped the worker while it was not listed.
			en.takeWorker(info, Token(row.Version))
		}
		return kw
	}
	if wk.info.Address != info.Address || (wk.born != 0 && info.Born > wk.born) {
		// The next reply to a hold lists the runs of the worker's new lifetime.
		wk.requireHold(en.now())
	}
	wk.info = info
	wk.setCold(kw.coldUntil, en.now(), restarted)
	if cs := en.classSpeed(info); cs != wk.speed.class {
		// The worker has restarted on a machine of another kind.
		wk.speed = speed{class: cs}
	}
	if changed {
		en.match()
	}
	return kw
}

// DropWorker processes the removal of a worker's row at a version, 0 if unknown.
// The row of a living worker may reappear shortly after an outage of the store.
func (en *Entry) DropWorker(id ids.WorkerID, version Version) {
	kw := en.known[id]
	if kw == nil || !kw.removedAt.IsZero() || (version > 0 && version < kw.info.Version) {
		return
	}
	kw.removedAt = en.now()
	en.eff.Log("worker-unlisted", "worker", string(id), "version", int64(version))
	en.queueWorkerNews(func(news *WorkerNews) { news.Gone = append(news.Gone, GoneWorker{Worker: id, Version: version}) })
}

// StoreUnavailable records that the store did not answer.
func (en *Entry) StoreUnavailable() { en.rowsMissedAt, en.storeUnavailableAt = en.now(), en.now() }

// PutHolderRow processes the holder row of a worker.
func (en *Entry) PutHolderRow(row HolderRow) {
	old, ok := en.rows[row.Worker]
	if ok && row.Version < old.Version {
		return
	}
	en.recordIncarnation(row.Holder, row.Version)
	en.rows[row.Worker] = row
	en.rowAt[row.Worker] = en.now()
	en.claimsChanged = true
	if !ok || row.Version != old.Version {
		en.resetAnswers()
	}
	wk := en.workers[row.Worker]
	if row.Holder != en.self.Incarnation {
		delete(en.unreached, row.Worker)
		if wk != nil && row.Version > Version(wk.token) {
			en.releaseWorker(wk, "held by "+string(row.Holder))
		}
		return
	}
	if wk != nil {
		if Version(wk.token) == row.Version {
			return
		}
		en.releaseWorker(wk, "new token")
	}
	if kw := en.known[row.Worker]; kw != nil && !en.leaving && en.mayUse(row) {
		en.takeWorker(kw.info, Token(row.Version))
	}
}

// DropHolderRow processes the removal of a holder row.
func (en *Entry) DropHolderRow(id ids.WorkerID, version Version) {
	if old, ok := en.rows[id]; ok && old.Version > version {
		return
	}
	delete(en.rows, id)
	delete(en.rowAt, id)
	en.claimsChanged = true
}

func (en *Entry) handleHandover(ms Handover) {
	en.handoverOwners = ms.Owners
	for _, row := range ms.Rows {
		en.PutHolderRow(row)
	}
	en.handoverOwners = nil
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

// alive reports whether the process of an incarnation may still be running. An
// entry counts as dead only if it neither answers this entry nor reaches the
// store, so that an entry that is only partitioned from this one keeps its
// workers.
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
		// This incarnation answers, or another one does and it is not yet known
		// which of the two is later. The next answer or the end of the session
		// decides.
		return true
	}
	mb := en.members[id]
	if mb == nil || mb.Incarnation != inc {
		return false
	}
	limit := heartbeatTimeout
	if se.refused {
		limit = heartbeatTimeoutRefused
	}
	// Heartbeats are less frequent in a large fleet.
	limit += max(0, mb.HeartbeatInterval-MinHeartbeatInterval)
	if en.observedUntil(now).Sub(mb.heartbeatAt) < limit {
		return true
	}
	// No heartbeat could be read during an outage of the store. Shortly after it,
	// only a process whose VM refuses connections is known to have ended.
	return now.Sub(en.rowsMissedAt) < limit && (!se.refused || now.Sub(se.downSince) < limit+storeRecovery)
}

// observedUntil returns the time up to which a heartbeat would have been read.
func (en *Entry) observedUntil(now time.Time) time.Time {
	read := en.readAt[TableHolders]
	if seen := read.Add(maxReadAge); !read.IsZero() && seen.Before(now) {
		return seen
	}
	return now
}

// probeDone reports whether an entry without heartbeats and without a session
// has been dialled for long enough. An entry that is only partitioned from the
// store answers and keeps its workers.
func (en *Entry) probeDone(id ids.EntryID, now time.Time) bool {
	mb := en.members[id]
	if mb == nil || en.topology.neighbours[id] || len(en.members) < fullMeshSize {
		return true
	}
	se := en.session(id)
	if !se.probedAt.After(mb.heartbeatAt) {
		se.probedAt = now
		en.requestLink(id)
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
		mb := en.presentMember(id)
		if se := en.sessions[id]; se != nil && se.up && se.load.Leaving {
			continue
		}
		if !mb.Leaving && en.alive(mb.Incarnation, now) {
			list = append(list, mb)
		}
	}
	return list
}

// presentMember returns the description of the present incarnation of an entry.
// After a restart the entry may answer before its new row has been read. Without
// its answer the others would not count it as alive and would claim its share of
// the workers.
func (en *Entry) presentMember(id ids.EntryID) Member {
	mb, se := en.members[id].Member, en.sessions[id]
	if se == nil || !se.up || se.self.Incarnation != se.incarnation || se.incarnation == mb.Incarnation {
		return mb
	}
	if !en.Replaced(mb.Incarnation) || en.Replaced(se.incarnation) {
		return mb
	}
	return Member{Self: se.self}
}

// minWeight is the minimum weight of an entry, so that an entry of unknown size
// still gets a share of the workers.
const minWeight = 0.05

// Leave makes this entry hand over its workers and accept no new ones.
func (en *Entry) Leave() {
	if en.leaving {
		return
	}
	en.leaving, en.leavingSince = true, en.now()
	en.eff.Log("leaving", "workers", len(en.workers), "jobs", len(en.jobs))
}

// passingOn reports whether this entry is leaving and can pass on its workers.
// While the store does not answer, no other entry can become their holder, so
// this one continues to use them.
func (en *Entry) passingOn() bool {
	return en.leaving && en.readAt[TableHolders].After(en.storeUnavailableAt)
}

// Held returns the number of workers that this entry holds.
func (en *Entry) Held() int { return len(en.workers) }

// Ready reports whether this entry can serve callers.
func (en *Entry) Ready() bool {
	return en.desired != nil && !en.leaving && len(en.known) > 0
}

// forgetWorkers drops the workers whose rows are permanently gone. The row of a
// worker that still answers, or that disappeared during an outage of the store,
// has some time to reappear.
func (en *Entry) forgetWorkers(now time.Time) {
	removed := map[ids.WorkerID]bool{}
	for id, kw := range en.known {
		if !kw.removedAt.IsZero() {
			removed[id] = true
		}
	}
	for _, id := range sortedKeys(removed) {
		kw := en.known[id]
		wk := en.workers[id]
		answers := wk != nil && wk.failingSince.IsZero()
		if now.Sub(kw.removedAt) < storeRecovery && (answers || now.Sub(en.rowsMissedAt) < storeRecovery) {
			continue
		}
		if wk != nil && !answers && !now.After(wk.leaseEnd) {
			// The worker's tasks may still run.
			continue
		}
		delete(en.known, id)
		if wk == nil {
			continue
		}
		if !answers {
			en.loseRuns(wk, wk.born, func(*slot) bool { return true })
		}
		en.releaseWorker(wk, "unlisted")
		en.giveUpRow(wk)
	}
}

// forgetMembers drops the entries that have had neither a session nor a heartbeat
// for memberExpiry.
func (en *Entry) forgetMembers(now time.Time) {
	if now.Sub(en.lastForgetAt) < forgetInterval {
		return
	}
	en.lastForgetAt = now
	for _, id := range sortedKeys(en.members) {
		mb := en.members[id]
		if en.session(id).up || en.observedUntil(now).Sub(mb.heartbeatAt) < memberExpiry || now.Sub(en.rowsMissedAt) < memberExpiry {
			continue
		}
		en.eff.Log("member-forgotten", "entry", string(id), "beat-age-ms", now.Sub(mb.heartbeatAt).Milliseconds())
		delete(en.members, id)
		delete(en.sessions, id)
		delete(en.incarnations, id)
		en.eff.ForgetMember(id, mb.Version)
	}
}

func (en *Entry) tickMember(now time.Time) {
	en.forgetMembers(now)
	en.forgetWorkers(now)
	ro := en.updateTopology(en.candidates(now))
	if en.committing || now.Before(en.commitAt) || now.Sub(en.rowsMissedAt) < commitRetryPause {
		return
	}
	changes := en.claimChanges(ro, now)
	if len(changes) == 0 {
		changes = en.givenUpChanges(now)
	}
	if len(changes) == 0 {
		changes = en.moveChanges(ro, now)
	}
	if len(changes) == 0 && now.Sub(en.lastRemovalAt) >= removalInterval {
		en.lastRemovalAt = now
		changes = en.removalChanges(ro, now)
	}
	if len(changes) == 0 {
		return
	}
	en.committing = true
	en.eff.Commit(changes)
}

// claimChanges returns the row changes that take over the workers without a
// living holder that are assigned to this entry.
func (en *Entry) claimChanges(ro roster, now time.Time) []RowChange {
	if en.leaving || (!en.claimsChanged && now.Sub(en.claimsAt) < workerClaimInterval) {
		return nil
	}
	en.claimCandidates, en.claimsAt, en.claimsChanged = nil, now, false
	var changes []RowChange
	alive := map[ids.Incarnation]bool{}
	for id, kw := range en.known {
		row, ok := en.rows[id]
		if !kw.removedAt.IsZero() || (ok && en.aliveCached(alive, row.Holder, now)) || en.foreign(id) {
			continue
		}
		if ro.assigned(string(id), kw.info.Zone) != en.self.Incarnation {
			continue
		}
		if ok && (en.holderRowUnread(row) || !en.mayTakeOver(id, row.Holder, now)) {
			en.claimsChanged = true
			continue
		}
		changes = append(changes, RowChange{Worker: id, Expected: row.Version, Holder: en.self.Incarnation})
	}
	slices.Sort(en.claimCandidates)
	en.claimsChanged = en.claimsChanged || len(changes) > 0
	return limitChanges(changes, maxCommitRows)
}

// foreign reports whether a listed worker is not one of ours: no entry has ever held
// it, and neither a desired state nor an open job has named its service to this entry.
// A worker with a holder row may have runs, whatever this entry has read since its
// start: its route may have been moved or removed before. Only the claim of a worker
// depends on the services. What is asked, answered and awaited about runs follows from
// the holder rows alone, so that all entries agree on it.
func (en *Entry) foreign(id ids.WorkerID) bool {
	kw := en.known[id]
	_, held := en.rows[id]
	return kw != nil && !held && !en.services[kw.info.Service]
}

// logForeign logs a changed report of a foreign worker. Before the first desired state
// every new worker counts as foreign.
func (en *Entry) logForeign(info WorkerInfo) {
	if en.desired != nil && en.foreign(info.ID) {
		en.eff.Count("worker", "foreign", 1)
		en.eff.Log("worker-foreign", "worker", string(info.ID), "service", string(info.Service), "version", int64(info.Version))
	}
}

// nameService records that a desired state or an open job names a service, so that
// workers of this service may be claimed.
func (en *Entry) nameService(name ids.ServiceName) {
	if name != "" && !en.services[name] {
		en.services[name], en.claimsChanged = true, true
	}
}

// aliveCached is alive with its results cached in answers.
func (en *Entry) aliveCached(answers map[ids.Incarnation]bool, inc ids.Incarnation, now time.Time) bool {
	living, ok := answers[inc]
	if !ok {
		living = en.alive(inc, now)
		answers[inc] = living
	}
	return living
}

// holderRowUnread reports whether the holder in a row may be an entry or an
// incarnation whose own row has not been read yet. Holder rows also arrive in
// the replies to commits, rows of entries only with a read of the table.
func (en *Entry) holderRowUnread(row HolderRow) bool {
	mb := en.members[row.Holder.Entry()]
	if mb != nil && (mb.Incarnation == row.Holder || mb.Version > row.Version) {
		return false
	}
	return row.Holder.Entry() != en.id && !en.readAt[TableHolders].After(en.rowAt[row.Worker])
}

// mayTakeOver reports whether a worker whose holder counts as dead may be taken
// over. If the worker's reports are stale too, both may be partitioned from
// this entry, and the holder may still use the worker.
func (en *Entry) mayTakeOver(id ids.WorkerID, holder ids.Incarnation, now time.Time) bool {
	if en.Replaced(holder) {
		return true
	}
	if !en.probeDone(holder.Entry(), now) {
		return false
	}
	if now.Sub(en.known[id].reportedAfter) <= maxReportAge {
		return true
	}
	en.claimCandidates = append(en.claimCandidates, id)
	return false
}

// removalChanges returns the row changes that delete the holder rows of workers
// that have had no report for memberExpiry.
func (en *Entry) removalChanges(ro roster, now time.Time) []RowChange {
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
		// An entry that does not follow the reports needs some time to read them all.
		old := now.Sub(since) > memberExpiry && now.Sub(en.rowsMissedAt) > memberExpiry && en.readAt[TableWorkers].After(since)
		if old && ro.assigned(string(id), "") == en.self.Incarnation {
			changes = append(changes, RowChange{Worker: id, Expected: row.Version})
		}
	}
	return limitChanges(changes, maxCommitRows)
}

// moveChanges returns the row changes that pass workers held by this entry to
// the entries that they are assigned to.
func (en *Entry) moveChanges(ro roster, now time.Time) []RowChange {
	if en.leaving && !en.passingOn() {
		for _, wk := range en.workers {
			wk.movingTo = ""
		}
		return nil
	}
	limit := maxMoveRows
	list, settled := en.settledMembers(ro, now)
	if en.leaving {
		// A leaving entry has no time to wait for sessions with others.
		limit, ro = maxCommitRows, newRoster(list)
	}
	var changes []RowChange
	for id, wk := range en.workers {
		to := ro.assigned(string(id), wk.info.Zone)
		row := en.rows[id]
		if to == "" || to == en.self.Incarnation || row.Holder != en.self.Incarnation || wk.phase != phaseOpen {
			continue
		}
		if !settled[to.Entry()] {
			en.requestLink(to.Entry())
			continue
		}
		if wk.hasPendingStarts() {
			if en.leaving {
				wk.movingTo = to
			}
			continue
		}
		changes = append(changes, RowChange{Worker: id, Expected: row.Version, Holder: to})
	}
	changes = limitChanges(changes, limit)
	for _, ch := range changes {
		en.workers[ch.Worker].movingTo = ch.Holder
	}
	return changes
}

// settledMembers returns the entries that have been reachable for settleTime, this
// one included, as a list and as a set.
func (en *Entry) settledMembers(ro roster, now time.Time) ([]Member, map[ids.EntryID]bool) {
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
	return list, settled
}

// hasPendingStarts reports whether the worker has slots that are granted or
// whose start is not confirmed yet.
func (wk *worker) hasPendingStarts() bool {
	for _, sl := range wk.slots {
		if sl.state == slotOrdered || sl.state == slotUnknown || sl.state == slotGranted {
			return true
		}
	}
	return false
}

func limitChanges(changes []RowChange, limit int) []RowChange {
	slices.SortFunc(changes, func(a, b RowChange) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes[:min(limit, len(changes))]
}

// CommitReply is the store's reply to a commit of holder rows.
type CommitReply struct {
	OK       bool
	Version  Version     // of the changed rows, if OK
	Present  []HolderRow // the current rows after a conflict; version 0 for a missing row
	Conflict bool
	Reason   string
}

// Committed processes the reply to a Commit.
func (en *Entry) Committed(changes []RowChange, rep CommitReply) {
	en.committing = false
	for _, ch := range changes {
		if wk := en.workers[ch.Worker]; wk != nil {
			wk.movingTo = ""
		}
	}
	if !rep.OK {
		en.commitFailed(changes, rep)
		return
	}
	moved := map[ids.EntryID][]HolderRow{}
	owners := map[ids.WorkerID][]ids.EntryID{}
	for _, ch := range changes {
		if ch.Holder == "" {
			en.DropHolderRow(ch.Worker, math.MaxInt64)
			delete(en.vanished, ch.Worker)
			continue
		}
		row := HolderRow{Worker: ch.Worker, Holder: ch.Holder, Version: rep.Version}
		id := ch.Holder.Entry()
		if wk := en.workers[ch.Worker]; wk != nil && id != en.id {
			owners[ch.Worker] = wk.owners()
		}
		en.PutHolderRow(row)
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

// commitFailed delays the next commit and processes the current rows of a
// conflict.
func (en *Entry) commitFailed(changes []RowChange, rep CommitReply) {
	en.commitAt = en.now().Add(commitRetryPause)
	en.eff.Log("holders-unchanged", "rows", len(changes), "conflict", rep.Conflict, "reason", rep.Reason)
	for _, row := range rep.Present {
		if row.Version == 0 {
			en.DropHolderRow(row.Worker, math.MaxInt64)
			continue
		}
		en.PutHolderRow(row)
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

// AddMember processes the description of itself that an entry sends when it
// begins a session. The row of that entry may not have been read yet.
func (en *Entry) AddMember(self Self) {
	id := self.Incarnation.Entry()
	if id == en.id {
		return
	}
	en.session(id).self = self
	if en.members[id] != nil {
		return
	}
	en.eff.Log("member-met", "entry", string(id), "incarnation", string(self.Incarnation), "address", self.PeerAddress)
	en.members[id] = &member{Member: Member{Self: self}, heartbeatAt: en.now()}
	en.linksChanged = true
}
