package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// The bound on starts in an evacuated zone, the longest time between two reads of
// the requests, and the time after an entry reaches the store again within which it
// must know of them.
const (
	emuEvacuationBound = 5 * time.Second
	emuEvacuationPoll  = 2 * time.Second
	emuEvacuationCatch = 2 * time.Second
)

// emuEvacuation is the state of the requests to evacuate zones.
type emuEvacuation struct {
	changes   []EvacuationRow                    // in the order of their versions
	requested map[ids.AvailabilityZone]time.Time // when the store acknowledged the request
	cutUntil  map[ids.EntryID]time.Time          // when an entry last failed to reach the store
	starts    int                                // in evacuated zones, within the bound
}

// evacuate requests the evacuation of a zone and takes it back after a time. While
// the store is down, requests fail and are repeated.
func (wo *world) evacuate(zone ids.AvailabilityZone, du time.Duration) {
	ev := &wo.evacuation
	if !wo.storeUp || !ev.requested[zone].IsZero() {
		return
	}
	wo.version++
	ev.changes = append(ev.changes, EvacuationRow{Zone: zone, Version: wo.version})
	ev.requested[zone] = wo.at
	wo.after(du, func() { wo.takeBack(zone) })
}

func (wo *world) takeBack(zone ids.AvailabilityZone) {
	if !wo.storeUp {
		wo.after(time.Second, func() { wo.takeBack(zone) })
		return
	}
	wo.version++
	wo.evacuation.changes = append(wo.evacuation.changes, EvacuationRow{Zone: zone, Version: wo.version, Removed: true})
	delete(wo.evacuation.requested, zone)
}

// loseEvacuationHistory makes all entries read all requests again.
func (wo *world) loseEvacuationHistory() {
	for _, ee := range wo.sortedEntries() {
		ee.evacuationsVersion = -1
	}
}

// evacuationRows returns the rows after a version, or the present ones for -1.
func (wo *world) evacuationRows(after Version) []EvacuationRow {
	var rows []EvacuationRow
	latest := map[ids.AvailabilityZone]EvacuationRow{}
	for _, ro := range wo.evacuation.changes {
		latest[ro.Zone] = ro
		if after >= 0 && ro.Version > after {
			rows = append(rows, ro)
		}
	}
	for _, zone := range sortedKeys(latest) {
		if after < 0 && !latest[zone].Removed {
			rows = append(rows, latest[zone])
		}
	}
	return rows
}

// pollEvacuations reads the requests to evacuate zones, at the longest interval of
// the follower.
func (ee *emuEntry) pollEvacuations(gen int) {
	wo := ee.wo
	if ee.gen != gen || !ee.alive {
		return
	}
	again := func(pause time.Duration) { wo.after(pause, func() { ee.pollEvacuations(gen) }) }
	if !wo.reachesStore(ee) {
		again(emuReadTimeout)
		return
	}
	if ee.frozen {
		again(emuPollInterval)
		return
	}
	full, version, sent := ee.evacuationsVersion < 0, wo.version, wo.at
	rows := wo.evacuationRows(ee.evacuationsVersion)
	wo.after(wo.storeTime(), func() {
		if ee.gen != gen || !ee.alive {
			return
		}
		ee.deliver(func() {
			ee.en.EvacuationsRead(rows, version, full, sent)
			ee.evacuationsVersion = version
		})
		pause := emuEvacuationPoll
		if !ee.en.EvacuationsFresh() || ee.frozen {
			pause = emuPollInterval
		}
		again(pause)
	})
}

// checkEvacuated checks that no task starts in an evacuated zone after the bound. The
// entry that has sent the order may be late only if it has not reached the store.
func (ee *emuEntry) checkEvacuated(wk *emuWorker, order StartOrder) {
	wo := ee.wo
	since := wo.evacuation.requested[wk.info.Zone]
	if since.IsZero() {
		return
	}
	if wo.at.Sub(since) <= emuEvacuationBound || !wo.reachesStore(ee) || wo.at.Sub(wo.evacuation.cutUntil[ee.id]) <= emuEvacuationCatch {
		wo.evacuation.starts++
		return
	}
	wo.violation("task %v starts on %s %s after the evacuation of its zone, by %s", order.Ref, wk.info.ID, wo.at.Sub(since), ee.id)
}

// recordCut records that an entry does not reach the store.
func (ee *emuEntry) recordCut() {
	if !ee.wo.reachesStore(ee) {
		ee.wo.evacuation.cutUntil[ee.id] = ee.wo.at
	}
}

// TestRandomEvacuations runs random schedules in which zones are evacuated and taken
// back, mixed with all other faults.
func TestRandomEvacuations(t *testing.T) {
	playSchedules(t, "evacuations", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkLasting(t)
	})
}

// evacuationSchedule runs one random schedule with load, faults and at least two
// evacuations, which may overlap.
func evacuationSchedule(wo *world) {
	wo.load(standardKinds, 0.4+0.6*wo.rnd.Float64(), 25*time.Second)
	wo.load([]kind{
		{queue: "pair", perS: 1, width: 2, work: 4 * time.Second, checkpointing: true, stored: true},
		{queue: "pair", perS: 0.3, width: 2, work: time.Second, lasting: true, stored: true},
		{queue: "fit", perS: 1, width: 3, work: 300 * time.Millisecond, gang: true, stored: true},
	}, 1, 20*time.Second)
	for range 2 {
		zone := []ids.AvailabilityZone{"north", "east", "south", "west"}[wo.rnd.IntN(4)]
		length := time.Duration((6 + 8*wo.rnd.Float64()) * float64(time.Second))
		wo.after(time.Duration(wo.rnd.Float64()*12)*time.Second, func() { wo.evacuate(zone, length) })
	}
	if wo.rnd.IntN(3) == 0 {
		wo.after(time.Duration(5+wo.rnd.Float64()*10)*time.Second, wo.loseEvacuationHistory)
	}
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*15)*time.Second, wo.randomFault)
	}
	wo.run(40 * time.Second)
}
