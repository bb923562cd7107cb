package dispatch

import (
	"slices"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// In a large fleet the reports of all workers are too many for every entry to
// follow. A few entries of each zone, the watchers, follow them and tell the
// others what has changed. The others go through the whole table slowly, and
// read single reports where a decision needs a recent one.

// followMost is the largest number of workers whose reports every entry of a
// small fleet follows. A report comes every 1.5 s and takes half a kilobyte.
const followMost = 100

// WorkerNews tells an entry what has changed in the reports of workers.
type WorkerNews struct {
	Workers []WorkerInfo
	Gone    []GoneWorker
	// Whole tells that all workers of the receiver's zone are listed that had
	// reports at Version.
	Whole   bool
	Version Version
}

// GoneWorker is the removal of a worker's report.
type GoneWorker struct {
	Worker  ids.WorkerID
	Version Version
}

// FollowsWorkers tells whether this entry is to follow the reports of all
// workers.
func (en *Entry) FollowsWorkers() bool {
	return en.topology.watcher || en.allFollow()
}

// allFollow tells whether the fleet is small enough for all entries to follow
// the reports.
func (en *Entry) allFollow() bool {
	return en.topology.size <= fullMesh && len(en.known) <= followMost
}

// NewsExpected tells whether another entry is to tell this one about workers.
func (en *Entry) NewsExpected() bool {
	return en.topology.size > fullMesh && !en.topology.watcher
}

// HasNews tells whether another entry has listed the workers of this zone.
func (en *Entry) HasNews() bool { return en.newsTaken }

// NeedsAllWorkers tells whether a decision waits for a whole read of the reports:
// what has become of tasks of stored jobs depends on which workers are listed.
func (en *Entry) NeedsAllWorkers() bool {
	return len(en.records) > 0 && en.readAt[TableWorkers].IsZero()
}

// KnownWorkers lists the workers that have reports, as far as is known.
func (en *Entry) KnownWorkers() []ids.WorkerID {
	var list []ids.WorkerID
	for id, kw := range en.known {
		if kw.removed.IsZero() {
			list = append(list, id)
		}
	}
	return list
}

// differs tells whether a report says something new, beyond that the worker
// lives.
func (info WorkerInfo) differs(old WorkerInfo) bool {
	return info.Service != old.Service || info.Address != old.Address || info.Zone != old.Zone || info.Rack != old.Rack ||
		info.State != old.State || info.Room != old.Room || info.Born != old.Born || !slices.Equal(info.Labels, old.Labels)
}

// spread notes a change for the entries that do not follow the reports.
func (en *Entry) spread(change func(news *WorkerNews)) {
	if en.topology.watcher && !en.allFollow() {
		change(&en.news)
	}
}

// tellNews passes on what has changed since the last tick: to each entry the
// workers of its zone and those that it holds.
func (en *Entry) tellNews() {
	news := en.news
	en.news = WorkerNews{}
	if len(news.Workers)+len(news.Gone) == 0 {
		return
	}
	for _, id := range sortedKeys(en.sessions) {
		if !en.sessions[id].mutual() {
			continue
		}
		zone := en.zoneOf(id)
		concerns := func(wid ids.WorkerID, at ids.AvailabilityZone) bool {
			return at == zone || en.rows[wid].Holder.Entry() == id
		}
		var some WorkerNews
		for _, info := range news.Workers {
			if concerns(info.ID, info.Zone) {
				some.Workers = append(some.Workers, info)
			}
		}
		for _, gw := range news.Gone {
			if kw := en.known[gw.Worker]; kw != nil && concerns(gw.Worker, kw.info.Zone) {
				some.Gone = append(some.Gone, gw)
			}
		}
		if len(some.Workers)+len(some.Gone) > 0 {
			en.send(id, some)
		}
	}
}

// tellWhole lists the workers of its zone to an entry that has begun a session.
func (en *Entry) tellWhole(id ids.EntryID) {
	if !en.topology.watcher || en.allFollow() || en.readAt[TableWorkers].IsZero() || !en.session(id).mutual() {
		return
	}
	zone := en.zoneOf(id)
	news := WorkerNews{Whole: true, Version: en.workersAt}
	for _, wid := range sortedKeys(en.known) {
		if kw := en.known[wid]; kw.info.Zone == zone && kw.removed.IsZero() {
			news.Workers = append(news.Workers, kw.info)
		}
	}
	if len(news.Workers) > 0 {
		en.send(id, news)
	}
}

func (en *Entry) onWorkerNews(ms WorkerNews) {
	listed := map[ids.WorkerID]bool{}
	for _, info := range ms.Workers {
		listed[info.ID] = true
		en.takeReport(info, false)
	}
	for _, gw := range ms.Gone {
		en.DropWorker(gw.Worker, gw.Version)
	}
	if !ms.Whole {
		return
	}
	en.newsTaken = true
	for _, id := range sortedKeys(en.known) {
		if kw := en.known[id]; !listed[id] && kw.info.Zone == en.self.Zone && kw.info.Version < ms.Version {
			en.DropWorker(id, ms.Version)
		}
	}
}

// ReportsWanted lists the workers whose recent reports decide whether this
// entry takes them over, up to a number.
func (en *Entry) ReportsWanted(most int) []ids.WorkerID {
	if en.FollowsWorkers() {
		return nil
	}
	return en.doubtful[:min(most, len(en.doubtful))]
}
