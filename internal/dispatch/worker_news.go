package dispatch

import (
	"slices"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// In a large fleet there are too many worker reports for every entry to follow
// all of them. A few entries of each zone, the watchers, follow the reports and
// send the changes to the other entries. These scan the whole table slowly, and
// read single reports when a decision needs a recent one.

// maxFollowedWorkers is the largest number of workers whose reports are
// followed by every entry of a small fleet. Each worker writes a report of half
// a kilobyte every 1.5 s.
const maxFollowedWorkers = 100

// WorkerNews sends changes of the reports of workers to an entry.
type WorkerNews struct {
	Workers []WorkerInfo
	Gone    []GoneWorker
	// Whole is set on a snapshot: Workers lists all workers of the receiver's zone
	// that had reports at Version.
	Whole   bool
	Version Version
}

// GoneWorker is the removal of a worker's report.
type GoneWorker struct {
	Worker  ids.WorkerID
	Version Version
}

// FollowsWorkers reports whether this entry must follow the reports of all
// workers.
func (en *Entry) FollowsWorkers() bool {
	return en.topology.watcher || en.everyEntryFollows()
}

// everyEntryFollows reports whether the fleet is small enough for every entry
// to follow the reports.
func (en *Entry) everyEntryFollows() bool {
	return en.topology.size <= fullMeshSize && len(en.known) <= maxFollowedWorkers
}

// ExpectsWorkerNews reports whether a watcher sends this entry the changes of
// reports.
func (en *Entry) ExpectsWorkerNews() bool {
	return en.topology.size > fullMeshSize && !en.topology.watcher
}

// HasWorkerSnapshot reports whether a watcher has sent a snapshot of the
// workers of this zone.
func (en *Entry) HasWorkerSnapshot() bool { return en.snapshotTaken }

// NeedsAllWorkers reports whether this entry must read all reports once: with
// stored jobs, whether a lost task may be started again depends on which workers
// are listed.
func (en *Entry) NeedsAllWorkers() bool {
	return len(en.records) > 0 && en.readAt[TableWorkers].IsZero()
}

// KnownWorkers lists the workers that have reports, as far as this entry has
// read or received them.
func (en *Entry) KnownWorkers() []ids.WorkerID {
	var list []ids.WorkerID
	for id, kw := range en.known {
		if kw.removedAt.IsZero() {
			list = append(list, id)
		}
	}
	return list
}

// changedFrom reports whether a report differs from an older one in more than
// its sequence number and version.
func (info WorkerInfo) changedFrom(old WorkerInfo) bool {
	return info.Service != old.Service || info.Address != old.Address || info.Zone != old.Zone || info.Rack != old.Rack ||
		info.State != old.State || info.Room != old.Room || info.Born != old.Born || (info.ColdRemaining > 0) != (old.ColdRemaining > 0) || !slices.Equal(info.Labels, old.Labels)
}

// queueWorkerNews adds a change to the next WorkerNews, for the entries that do
// not follow the reports.
func (en *Entry) queueWorkerNews(change func(news *WorkerNews)) {
	if en.topology.watcher && !en.everyEntryFollows() {
		change(&en.news)
	}
}

// informHolder sends a changed report to the holder of the worker in a fleet
// without watchers. The holder may be cut off from the store, and would start tasks
// in room that the worker no longer has.
func (en *Entry) informHolder(info WorkerInfo) {
	row, ok := en.rows[info.ID]
	if id := row.Holder.Entry(); ok && id != en.id && en.everyEntryFollows() && en.session(id).bidirectional() {
		en.send(id, WorkerNews{Workers: []WorkerInfo{info}})
	}
}

// sendWorkerNews sends the changes since the last tick. Each entry receives
// those of the workers in its zone and of the workers that it holds.
func (en *Entry) sendWorkerNews() {
	news := en.news
	en.news = WorkerNews{}
	if len(news.Workers)+len(news.Gone) == 0 {
		return
	}
	for _, id := range sortedKeys(en.sessions) {
		if !en.sessions[id].bidirectional() {
			continue
		}
		zone := en.zoneOf(id)
		isRelevant := func(wid ids.WorkerID, at ids.AvailabilityZone) bool {
			return at == zone || en.rows[wid].Holder.Entry() == id
		}
		var relevant WorkerNews
		for _, info := range news.Workers {
			if isRelevant(info.ID, info.Zone) {
				relevant.Workers = append(relevant.Workers, info)
			}
		}
		for _, gw := range news.Gone {
			if kw := en.known[gw.Worker]; kw != nil && isRelevant(gw.Worker, kw.info.Zone) {
				relevant.Gone = append(relevant.Gone, gw)
			}
		}
		if len(relevant.Workers)+len(relevant.Gone) > 0 {
			en.send(id, relevant)
		}
	}
}

// sendWorkerSnapshots sends a snapshot to every entry after the first read of all
// reports since this entry has become a watcher. The watchers before it may have
// sent it changes that they could not send to others.
func (en *Entry) sendWorkerSnapshots() {
	if !en.snapshotsDue || !en.readAt[TableWorkers].After(en.watcherSince) {
		return
	}
	en.snapshotsDue = false
	for _, id := range sortedKeys(en.sessions) {
		en.sendWorkerSnapshot(id)
	}
}

// sendWorkerSnapshot sends a snapshot of the workers of its zone to an entry
// with which a session has begun.
func (en *Entry) sendWorkerSnapshot(id ids.EntryID) {
	if !en.topology.watcher || en.everyEntryFollows() || en.readAt[TableWorkers].IsZero() || !en.session(id).bidirectional() {
		return
	}
	zone := en.zoneOf(id)
	news := WorkerNews{Whole: true, Version: en.workersVersion}
	for _, wid := range sortedKeys(en.known) {
		if kw := en.known[wid]; kw.info.Zone == zone && kw.removedAt.IsZero() {
			info := kw.info
			info.ColdRemaining = max(0, kw.coldUntil.Sub(en.now()))
			news.Workers = append(news.Workers, info)
		}
	}
	if len(news.Workers) > 0 {
		en.send(id, news)
	}
}

// handleWorkerNews applies changes of reports. With a snapshot, workers of this
// zone that are not in it are dropped.
func (en *Entry) handleWorkerNews(ms WorkerNews) {
	listed := map[ids.WorkerID]bool{}
	for _, info := range ms.Workers {
		listed[info.ID] = true
		en.applyReport(info, false)
	}
	for _, gw := range ms.Gone {
		en.DropWorker(gw.Worker, gw.Version)
	}
	if !ms.Whole {
		return
	}
	en.snapshotTaken = true
	for _, id := range sortedKeys(en.known) {
		if kw := en.known[id]; !listed[id] && kw.info.Zone == en.self.Zone && kw.info.Version < ms.Version {
			en.DropWorker(id, ms.Version)
		}
	}
}

// ReportsWanted lists up to the given number of workers whose takeover by this
// entry depends on a recent report.
func (en *Entry) ReportsWanted(most int) []ids.WorkerID {
	if en.FollowsWorkers() {
		return nil
	}
	return en.claimCandidates[:min(most, len(en.claimCandidates))]
}
