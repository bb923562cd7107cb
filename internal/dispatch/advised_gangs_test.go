package dispatch

import (
	"testing"
	"time"
)

// adviseAll makes all queues of the world advised.
func (wo *world) adviseAll() {
	des := standardDesired(2)
	for at := range des.Queues {
		des.Queues[at].Advised = true
	}
	wo.desired = des
	for _, ee := range wo.sortedEntries() {
		ee.en.Apply(des)
	}
}

// TestAdvisedGangs guards against gangs that are never placed although workers that
// may run them have room. A gang needs valid tickets for many workers at once; a call
// for advice gives tickets for some of 30.
func TestAdvisedGangs(t *testing.T) {
	t.Parallel()
	const third = 1.0 / 3
	rows := []struct {
		name     string
		workers  int
		allowed  float64 // share of the workers that may run a step
		validity time.Duration
		width    int
		spread   int // tasks of the gang on one worker
		label    string
		faults   int
	}{
		{"narrow", 48, third, 2 * time.Second, 6, 0, "", 0},
		{"more workers than one call names", 48, third, 2 * time.Second, 12, 1, "", 0},
		{"tickets expire before the second call", 48, third, 500 * time.Millisecond, 12, 1, "", 0},
		{"more tickets than one call renews", 192, third, 2 * time.Second, 50, 1, "", 0},
		{"tickets on few of many workers", 240, third, 2 * time.Second, 16, 1, "large", 0},
		{"few workers may run a step", 144, 0.02, 2 * time.Second, 1, 0, "", 0},
		{"narrow, random faults", 48, third, 2 * time.Second, 6, 0, "", 5},
		{"more workers than one call names, random faults", 48, third, 2 * time.Second, 11, 1, "", 5},
		{"short tickets, random faults", 48, third, 500 * time.Millisecond, 10, 2, "", 5},
		{"label, random faults", 144, third, time.Second, 8, 1, "large", 5},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				wo := standardWorld(uint64(num)*10+seed+830, 7, row.workers)
				wo.ticketValidity, wo.allowedShare = row.validity, row.allowed
				wo.adviseAll()
				wo.load([]kind{
					{queue: "pair", perS: 0.5, width: row.width, work: 300 * time.Millisecond, stored: true, gang: true, spread: row.spread, label: row.label},
					{queue: "fit", perS: 3, width: 2, work: 200 * time.Millisecond, stored: true},
				}, 1, 8*time.Second)
				for range row.faults {
					wo.after(time.Duration(wo.rnd.Float64()*8)*time.Second, wo.randomFault)
				}
				wo.run(45 * time.Second)
				wo.check(t)
				for _, id := range sortedKeys(wo.records) {
					if jb := wo.jobs[id]; !wo.records[id].State.ended() && wo.hasTicketedRoom(string(id), jb) {
						t.Errorf("seed %d: job %s of %d tasks has not ended, although workers that may run it are free", seed, id, jb.steps[0].Count)
					}
				}
			}
		})
	}
}

// hasTicketedRoom reports whether the workers that may run the first step of a job
// could run all its tasks at once if they ran nothing else.
func (wo *world) hasTicketedRoom(id string, jb *emuJob) bool {
	st, room := jb.steps[0], 0
	for _, wk := range wo.sortedWorkers() {
		if !wk.up || !wo.allows(id+".0.0", wk.info.ID) || (st.Requirement != "" && wk.info.Labels[0] != st.Requirement) {
			continue
		}
		count := int(wk.info.Room.CPU / st.Need.CPU)
		if st.AntiAffinity > 0 {
			count = min(count, st.AntiAffinity)
		}
		room += count
	}
	return room >= st.Count
}
