package dispatch

import (
	"slices"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// In a large fleet the reports of all workers are too many for every entry to
// follow. A few entries of each zone, the watchers, follow them and tell the
// others what has changed. The others go through the whole table slowly, and
// read single reports where a decision needs a recent one.

// followMost is the largest number of workers whose reports every entry
// follows. A report comes every 1.5 s and takes half a kilobyte.
const followMost = 100

// WorkerNews tells an entry what has changed in the reports of workers.
type WorkerNews struct {
	Workers []WorkerInfo
	Gone    []GoneWorker
}

// GoneWorker is the removal of a worker's report.
type GoneWorker struct {
	Worker  ids.WorkerID
	Version Version
}

// FollowsWorkers tells whether this entry is to follow the reports of all
// workers.
func (en *Entry) FollowsWorkers() bool {
	return en.topology.watcher || len(en.known) <= followMost
}

// differs tells whether a report says something new, beyond that the worker
// lives.
func (info WorkerInfo) differs(old WorkerInfo) bool {
	return info.Service != old.Service || info.Address != old.Address || info.Zone != old.Zone || info.Rack != old.Rack ||
		info.State != old.State || info.Room != old.Room || info.Born != old.Born || !slices.Equal(info.Labels, old.Labels)
}

// spread notes a change for the entries that do not follow the reports.
func (en *Entry) spread(change func(news *WorkerNews)) {
	if en.topology.watcher && len(en.known) > followMost {
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

func (en *Entry) onWorkerNews(ms WorkerNews) {
	for _, info := range ms.Workers {
		en.takeReport(info, false)
	}
	for _, gw := range ms.Gone {
		en.DropWorker(gw.Worker, gw.Version)
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
