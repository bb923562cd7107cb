package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// slowLinks delays the messages between some pairs of entries, so that the messages of
// different entries arrive in another order than they were sent in. Heartbeats are not
// delayed.
type slowLinks struct {
	extra map[[2]ids.EntryID]time.Duration
	// latest is when the latest message of a pair arrives. Later ones do not overtake it.
	latest map[[2]ids.EntryID]time.Time
}

// delay returns the time that a message takes.
func (sl *slowLinks) delay(now time.Time, from, to ids.EntryID) time.Duration {
	if sl.latest == nil {
		return emuNetworkDelay
	}
	pair := [2]ids.EntryID{from, to}
	at := now.Add(emuNetworkDelay + sl.extra[pair])
	if latest := sl.latest[pair]; latest.After(at) {
		at = latest
	}
	sl.latest[pair] = at
	return at.Sub(now)
}

// slow delays the messages from one entry to another for a time.
func (wo *world) slow(from, to ids.EntryID, extra, du time.Duration) {
	sl, pair := &wo.slowLinks, [2]ids.EntryID{from, to}
	if sl.latest == nil {
		sl.extra, sl.latest = map[[2]ids.EntryID]time.Duration{}, map[[2]ids.EntryID]time.Time{}
	}
	sl.extra[pair] = extra
	wo.after(du, func() { delete(sl.extra, pair) })
}

// TestRandomFaultsTakeovers runs random schedules in which owners of stored jobs are
// killed and return soon, while some runs fail. It guards against runs that count as
// failed although they have not, ends that are never taken note of, and accepted jobs
// that outgrow their rows.
func TestRandomFaultsTakeovers(t *testing.T) {
	playSchedules(t, "takeovers", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkFailedJobs(t)
	})
}

// takeoverSchedule runs the load and the faults of one random schedule.
func takeoverSchedule(wo *world) {
	wo.failShare = 0.2 * wo.rnd.Float64()
	wo.desired = standardDesired(2)
	for at := range wo.desired.Queues {
		wo.desired.Queues[at].MaxAttempts = 2 + wo.rnd.IntN(6)
	}
	for _, ee := range wo.sortedEntries() {
		ee.en.Apply(wo.desired)
	}
	entries := wo.sortedEntries()
	wo.load(storedKinds(), 0.02+0.08*wo.rnd.Float64(), 20*time.Second)
	var schedules []ids.JobID
	for range 1 + wo.rnd.IntN(4) {
		width := 1 + wo.rnd.IntN(8)
		times := MaxStoredTasks / width
		interval := max(20*time.Millisecond, scheduleSpan/time.Duration(times))
		schedules = append(schedules, wo.submitSchedule(entries[wo.rnd.IntN(len(entries))], 1, width, times, interval))
	}
	// Many jobs of one entry: the others take a while to take them over.
	ee := entries[wo.rnd.IntN(len(entries))]
	long := kind{queue: "pair", width: 2, work: 4 * time.Second, stored: true, cpu: 100}
	for num := range 600 * wo.rnd.IntN(2) {
		wo.after(time.Duration(num)*10*time.Millisecond, func() { wo.submit(ee, long) })
	}
	for range 6 {
		wo.after(wo.span(2*time.Second, 25*time.Second), func() {
			switch wo.rnd.IntN(5) {
			case 0, 1:
				wo.killOwner(schedules[wo.rnd.IntN(len(schedules))], wo.span(200*time.Millisecond, 4*time.Second))
			case 2:
				if ee.alive && !ee.frozen {
					ee.kill()
					ee.startAfter(wo.span(time.Second, 4*time.Second))
				}
			case 3:
				from, to := wo.rnd.IntN(len(entries)), wo.rnd.IntN(len(entries))
				wo.slow(entries[from].id, entries[to].id, wo.span(50*time.Millisecond, 400*time.Millisecond), wo.span(time.Second, 10*time.Second))
			default:
				wo.randomFault()
			}
		})
	}
	// The last fault is over after 29 s, the schedules are not.
	wo.run(29*time.Second + 2*emuEndWait)
	wo.checkEndsForgotten()
	wo.run(70 * time.Second)
	wo.checkEndsForgotten()
}

// scheduleSpan is the least time from the first to the last occurrence of a scheduled
// job.
const scheduleSpan = 60 * time.Second
