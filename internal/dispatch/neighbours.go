package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// Each entry and each worker has a position on a hash ring. The entries of a
// zone form a ring in the order of their positions. A worker is held by one of
// the entries that follow its position, and an entry keeps sessions with the
// entries next to it. Entries that may hold the same worker are therefore
// neighbours, and the cost per entry does not grow with the fleet.

// The bounds on the neighbours of an entry.
const (
	// fullMeshSize is the largest fleet in which every entry is a neighbour of
	// every other. Heartbeats to 15 others take about a hundredth of a core.
	fullMeshSize = 16
	// sideNeighbours is the number of neighbours on each side of an entry on the
	// ring of its zone. With both sides, an owner can use the free room of
	// thirteen entries.
	sideNeighbours = 6
	// holderWindow is the number of entries that may hold a worker. It is at most
	// sideNeighbours, so that all of them are neighbours.
	holderWindow = 6
	// crossZoneNeighbours is the number of neighbours in other zones, at least one
	// in each.
	crossZoneNeighbours = 4
	// watchersPerZone is the number of entries of a zone that follow all reports of
	// workers and pass on changes. The second one is a backup for the first.
	watchersPerZone = 2
	// linkRequestTime is how long a requested session is kept without use.
	linkRequestTime = 5 * time.Second
	// linkIdleTimeout is how long a session with an entry that is not a neighbour
	// is kept after its last message about tasks. Owners poll for running tasks
	// once a second.
	linkIdleTimeout = 10 * time.Second
)

// position returns the position of an entry or a worker on the hash ring.
func position(name string) float64 { return rendezvous.Uniform(name, "position") }

// ringEntry is an entry with its position on a ring.
type ringEntry struct {
	Member
	position float64
}

// roster lists the entries that may hold workers, by position. Each zone has its
// own ring.
type roster struct {
	all   []ringEntry
	zones map[ids.AvailabilityZone][]ringEntry
}

func newRoster(list []Member) roster {
	ro := roster{zones: map[ids.AvailabilityZone][]ringEntry{}}
	for _, mb := range list {
		ro.all = append(ro.all, ringEntry{Member: mb, position: position(string(mb.Incarnation.Entry()))})
	}
	slices.SortFunc(ro.all, func(a, b ringEntry) int {
		if byPosition := cmp.Compare(a.position, b.position); byPosition != 0 {
			return byPosition
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	for _, re := range ro.all {
		ro.zones[re.Zone] = append(ro.zones[re.Zone], re)
	}
	return ro
}

// indexAfter returns the index of the first entry at or after a position.
func indexAfter(ring []ringEntry, at float64) int {
	num, _ := slices.BinarySearchFunc(ring, at, func(re ringEntry, at float64) int { return cmp.Compare(re.position, at) })
	return num % max(1, len(ring))
}

// assigned returns the entry that should hold a worker, or take over a job when
// no zone is given. The candidates are the holderWindow entries that follow its
// position on the ring of the zone, or on the ring of all entries if the zone
// has none. Weighted rendezvous hashing selects one of them, so that a change
// of the members moves only the workers that it must.
func (ro roster) assigned(name string, zone ids.AvailabilityZone) ids.Incarnation {
	ring := ro.zones[zone]
	if len(ring) == 0 {
		ring = ro.all
	}
	first := indexAfter(ring, position(name))
	var best ids.Incarnation
	bestScore := math.Inf(-1)
	for num := range min(holderWindow, len(ring)) {
		re := ring[(first+num)%len(ring)]
		score := rendezvous.Score(name, string(re.Incarnation.Entry()), max(re.Size, minWeight))
		if score > bestScore {
			best, bestScore = re.Incarnation, score
		}
	}
	return best
}

// neighbours returns the entries that an entry should keep sessions with.
func (ro roster) neighbours(id ids.EntryID, zone ids.AvailabilityZone) map[ids.EntryID]bool {
	set := map[ids.EntryID]bool{}
	if len(ro.all) <= fullMeshSize {
		for _, re := range ro.all {
			set[re.Incarnation.Entry()] = true
		}
		delete(set, id)
		return set
	}
	at := position(string(id))
	far := max(1, crossZoneNeighbours/max(1, len(ro.zones)-1))
	for name, ring := range ro.zones {
		back, count := 0, far
		if name == zone {
			back, count = sideNeighbours, 2*sideNeighbours+1
		}
		first := indexAfter(ring, at) - back
		for num := range min(count, len(ring)) {
			set[ring[(first+num+len(ring)*sideNeighbours)%len(ring)].Incarnation.Entry()] = true
		}
	}
	for _, watcher := range ro.watchers(zone) {
		set[watcher] = true
	}
	delete(set, id)
	return set
}

// watchers returns the entries of a zone that follow the reports of workers for
// the others. These are the largest ones, because following the reports takes
// a few percent of a core.
func (ro roster) watchers(zone ids.AvailabilityZone) []ids.EntryID {
	ring := slices.Clone(ro.zones[zone])
	slices.SortStableFunc(ring, func(a, b ringEntry) int { return cmp.Compare(b.Size, a.Size) })
	var list []ids.EntryID
	for _, re := range ring[:min(watchersPerZone, len(ring))] {
		list = append(list, re.Incarnation.Entry())
	}
	return list
}

// topology is derived from the list of living entries.
type topology struct {
	list       []Member // the living entries
	roster     roster
	neighbours map[ids.EntryID]bool
	watcher    bool
	size       int // entries, this one included
}

// samePlacement reports whether an entry has the same position on the rings and
// the same share of the workers in both versions.
func samePlacement(a, b Member) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Size == b.Size
}

// updateTopology updates the topology if the living entries have changed, and
// returns the roster.
func (en *Entry) updateTopology(list []Member) roster {
	old := &en.topology
	if old.size > 0 && slices.EqualFunc(list, old.list, samePlacement) {
		return old.roster
	}
	ro := newRoster(list)
	en.linksChanged, en.claimsChanged = true, true
	watches := slices.Contains(ro.watchers(en.self.Zone), en.id)
	if watches && !old.watcher {
		en.watcherSince, en.snapshotsDue = en.now(), true
	}
	en.topology = topology{
		list:       list,
		roster:     ro,
		neighbours: ro.neighbours(en.id, en.self.Zone),
		watcher:    watches,
		size:       max(1, len(list)),
	}
	return ro
}

// LinksChanged reports whether Links may return another list than at the last
// call that returned true. It returns true at least once in linkReviewInterval.
func (en *Entry) LinksChanged() bool {
	changed := en.linksChanged || en.now().Sub(en.linksAt) >= linkReviewInterval
	if changed {
		en.linksChanged, en.linksAt = false, en.now()
	}
	return changed
}

// linkReviewInterval is the interval between two searches for idle sessions.
const linkReviewInterval = time.Second

// Link is a session that this entry should keep towards another one.
type Link struct {
	Member
	// Spare is set if the link is kept only because the other entry keeps one
	// towards this one.
	Spare bool
}

// Links lists the sessions that this entry should keep: those with its
// neighbours, those that are in use or requested, and the opposite direction of
// those that other entries keep.
func (en *Entry) Links() []Link {
	now := en.now()
	list := make([]Link, 0, len(en.topology.neighbours))
	for id, mb := range en.members {
		se := en.sessions[id]
		switch {
		case en.topology.neighbours[id], len(en.members) < fullMeshSize, se != nil && se.inUse(now):
			list = append(list, Link{Member: mb.Member})
		case se != nil && se.inbound != 0 && !se.spareInbound:
			list = append(list, Link{Member: mb.Member, Spare: true})
		}
	}
	return list
}

// setSpareInbound records whether an entry keeps its session towards this one
// only because of the session in the opposite direction.
func (en *Entry) setSpareInbound(se *session, spare bool) {
	if se.spareInbound != spare {
		se.spareInbound, en.linksChanged = spare, true
	}
}

// inUse reports whether a session has recently carried messages about tasks, or
// was recently requested.
func (se *session) inUse(now time.Time) bool {
	return now.Before(se.requestedUntil) || ((se.up || se.inbound != 0) && !se.usedAt.IsZero() && now.Sub(se.usedAt) < linkIdleTimeout)
}

// requestLink requests a session with an entry that is not a neighbour.
func (en *Entry) requestLink(id ids.EntryID) {
	if id == en.id || en.members[id] == nil {
		return
	}
	se := en.session(id)
	if se.requestedUntil.Before(en.now()) {
		en.linksChanged = true
	}
	se.requestedUntil = en.now().Add(linkRequestTime)
}

// markUsed marks a session as used if the message concerns tasks.
func (en *Entry) markUsed(id ids.EntryID, msg Message) {
	if id == en.id {
		return
	}
	switch msg.(type) {
	case WorkerNews, NewDesired, AskDesired, JobNews, Unwant, AskEvacuations, Evacuations:
	default:
		en.session(id).usedAt = en.now()
	}
}

// FleetSize returns the number of entries that are alive, this one included.
func (en *Entry) FleetSize() int { return en.topology.size }

// The intervals of store calls, per entry of the fleet.
const (
	// heartbeatSpacing limits the heartbeats of a fleet to 40 writes per second. A
	// part of the store accepts 200 writes per second, for heartbeats and changes
	// of holders together. Each entry reads all heartbeats, a third of a kilobyte
	// each.
	heartbeatSpacing = time.Second / 40
	// readSpacing limits the rows of entries that each entry reads to 40 per
	// second.
	readSpacing = time.Second / 40
)

// HeartbeatInterval returns the interval between two heartbeats of this entry.
func (en *Entry) HeartbeatInterval() time.Duration {
	return max(MinHeartbeatInterval, time.Duration(en.topology.size)*heartbeatSpacing)
}

// HoldersPause returns the pause between two reads of the rows of entries and of
// the holder rows. It is at least the given one.
func (en *Entry) HoldersPause(least time.Duration) time.Duration {
	return max(least, time.Duration(en.topology.size)*readSpacing)
}
