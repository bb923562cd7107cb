package worker

import "time"

// ShortBounds shortens the times after which traffic is given up, so that tests
// of these times run quickly. The order of the bounds stays.
func (di *Dispatcher) ShortBounds() {
	di.bounds.start = 300 * time.Millisecond
	di.bounds.invite = 150 * time.Millisecond
	di.bounds.held = 2 * time.Second
	di.bounds.silent = 1500 * time.Millisecond
	di.bounds.refused = 500 * time.Millisecond
	di.bounds.unlisted = 800 * time.Millisecond
	di.bounds.unlistedSilence = 300 * time.Millisecond
	di.bounds.unknownStart = 500 * time.Millisecond
	di.bounds.ping = 400 * time.Millisecond
}

// RoomInUse returns the cores that are reserved on all workers.
func (di *Dispatcher) RoomInUse() float64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	sum := 0.0
	for _, ma := range di.sched.machines {
		sum += ma.ownUse.cores
	}
	return sum
}
