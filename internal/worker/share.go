package worker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// sharing says how the entries share the room of workers without a
// coordinator. docs/placement.md has the measurements behind the choice.
type sharing struct {
	// homes gives each worker one home entry, which may use all of its free
	// room; other entries come to it in the order of their ranks.
	homes bool
	// divide lets an entry that is not the home use only the free room divided
	// by the number of live entries, for each usage report.
	divide bool
	// pressed lets an entry whose tasks have waited for longer than patience
	// use half of the free room less a margin instead.
	pressed bool
}

var defaultSharing = sharing{homes: true, divide: true, pressed: true}

const (
	// patience is how long a task may wait for room before the entry takes
	// more than its part of other entries' workers.
	patience = 200 * time.Millisecond
	// pressedFor is how long it then goes on doing so.
	pressedFor = 2 * time.Second
	// pressedPart is the part of the free room that it takes, and
	// pressedMargin the part of the capacity that it leaves to the home.
	pressedPart   = 0.5
	pressedMargin = 0.2
)

// entryInfo is one live entry as placement sees it.
type entryInfo struct {
	id   ids.EntryID
	zone ids.AvailabilityZone
}

// rankOf returns the place of the entry self in the rendezvous order of the
// worker; 0 is the home. Entries of the worker's own zone come before others.
// All entries with the same view of membership compute the same order.
func rankOf(self entryInfo, entries []entryInfo, worker ids.WorkerID, zone ids.AvailabilityZone) int {
	mine := rendezvous(worker, self.id)
	rank := 0
	for _, en := range entries {
		if en.id == self.id {
			continue
		}
		near, selfNear := en.zone == zone, self.zone == zone
		if near != selfNear {
			if near {
				rank++
			}
			continue
		}
		score := rendezvous(worker, en.id)
		if score > mine || score == mine && en.id < self.id {
			rank++
		}
	}
	return rank
}

// guestRoom returns the part of the free room that an entry may use on a worker
// of which it is not the home.
func (sc *scheduler) guestRoom(ws *workerState, free size) size {
	part := 1 / float64(max(1, len(sc.entries)))
	if sc.pressed {
		part = max(part, pressedPart)
		free = free.minus(ws.capacity.times(pressedMargin))
	}
	return free.minus(ws.ownUse).atLeast(size{}).times(part)
}

// press takes more of other entries' workers while tasks wait too long. It
// reports whether that has changed anything.
func (sc *scheduler) press(waited time.Duration) bool {
	if !sc.sharing.pressed || waited < patience {
		return false
	}
	sc.pressedUntil = sc.now().Add(pressedFor)
	if sc.pressed {
		return false
	}
	sc.pressed = true
	sc.count("pressed")
	sc.setCeilings()
	return true
}

func (sc *scheduler) unpress() {
	if sc.pressed && sc.now().After(sc.pressedUntil) {
		sc.pressed = false
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
