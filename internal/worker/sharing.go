package worker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// sharing selects how the entries share the room of workers without a
// coordinator. docs/placement.md has the measurements of the variants.
type sharing struct {
	// homes gives each worker one home entry, which may use all of its free
	// room. Other entries prefer the workers on which their rank is lower.
	homes bool
	// divide lets an entry that is not the home use only the free room of the
	// last usage report divided by the number of live entries.
	divide bool
	// expanded lets an entry whose tasks have waited for longer than expandAfter
	// use half of the free room less a margin instead.
	expanded bool
}

var defaultSharing = sharing{homes: true, divide: true, expanded: true}

const (
	// expandAfter is how long a task may wait for room before the entry uses a
	// larger part of the workers whose home is another entry.
	expandAfter = 200 * time.Millisecond
	// expandDuration is how long the entry does so after such a wait.
	expandDuration = 2 * time.Second
	// expandedPart is the part of the free room that it uses, and expandedMargin
	// the part of the capacity that it leaves free for the home.
	expandedPart   = 0.5
	expandedMargin = 0.2
)

// entryInfo describes one live entry for the scheduler.
type entryInfo struct {
	id   ids.EntryID
	zone ids.AvailabilityZone
}

// rankOf returns the rank of the entry self in the rendezvous order of the
// worker; 0 is the home. Entries of the worker's own zone come before others.
// All entries with the same list of members compute the same order.
func rankOf(self entryInfo, entries []entryInfo, worker ids.WorkerID, zone ids.AvailabilityZone) int {
	selfScore := rendezvous(worker, self.id)
	rank := 0
	for _, en := range entries {
		if en.id == self.id {
			continue
		}
		sameZone, selfSameZone := en.zone == zone, self.zone == zone
		if sameZone != selfSameZone {
			if sameZone {
				rank++
			}
			continue
		}
		score := rendezvous(worker, en.id)
		if score > selfScore || score == selfScore && en.id < self.id {
			rank++
		}
	}
	return rank
}

// guestRoom returns the part of the free room that an entry may use on a worker
// of which it is not the home.
func (sc *scheduler) guestRoom(ws *workerState, free size) size {
	part := 1 / float64(max(1, len(sc.entries)))
	if sc.expanded {
		part = max(part, expandedPart)
		free = free.minus(ws.capacity.times(expandedMargin))
	}
	return free.minus(ws.ownUse).maxWith(size{}).times(part)
}

// expandShare raises the part of the workers of other entries that this entry
// may use, when a task has waited too long. It reports whether that part has
// changed.
func (sc *scheduler) expandShare(waited time.Duration) bool {
	if !sc.sharing.expanded || waited < expandAfter {
		return false
	}
	sc.expandedUntil = sc.now().Add(expandDuration)
	if sc.expanded {
		return false
	}
	sc.expanded = true
	sc.count("pressed")
	sc.setCeilings()
	return true
}

func (sc *scheduler) resetShare() {
	if sc.expanded && sc.now().After(sc.expandedUntil) {
		sc.expanded = false
		sc.setCeilings()
	}
}

func (sc *scheduler) setCeilings() {
	for _, ws := range sc.workers {
		sc.setCeiling(ws)
	}
}

func rendezvous(worker ids.WorkerID, entry ids.EntryID) uint64 {
	return xxhash.Sum64String(string(worker) + "\x00" + string(entry))
}
