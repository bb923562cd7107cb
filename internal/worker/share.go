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
	// pressed lets an entry whose tasks have waited for longer than patience
	// use half of the free room less a margin instead.
	pressed bool
}

var defaultSharing = sharing{homes: true, divide: true, pressed: true}

const (
	// patience is how long a task may wait for room before the entry uses a
	// larger part of the workers whose home is another entry.
	patience = 200 * time.Millisecond
	// pressedFor is how long the entry then does so.
	pressedFor = 2 * time.Second
	// pressedPart is the part of the free room that it uses, and pressedMargin
	// the part of the capacity that it leaves free for the home.
	pressedPart   = 0.5
	pressedMargin = 0.2
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
	return free.minus(ws.ownUse).maxWith(size{}).times(part)
}

// press raises the part of the workers of other entries that this entry may
// use, when a task has waited too long. It reports whether that part has
// changed.
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
