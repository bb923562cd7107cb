package dispatch

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestTrace prints the log lines that contain one of the comma-separated words
// in TRACE, for the random schedule SCHEDULE with the seed SEED. SCHEDULE is
// plain (the default), store, callers, crashes, evacuations, stored, takeovers,
// routes, cancels or mixed.
func TestTrace(t *testing.T) {
	want := os.Getenv("TRACE")
	if want == "" {
		t.Skip("set TRACE and SEED to trace a schedule")
	}
	var seed uint64
	if _, err := fmt.Sscan(os.Getenv("SEED"), &seed); err != nil {
		t.Fatal(err)
	}
	sc := schedules[cmp.Or(os.Getenv("SCHEDULE"), "plain")]
	wo := sc.world(seed)
	start := wo.at
	wo.trace = func(line string) {
		line = fmt.Sprint(wo.at.Sub(start), " ", line)
		for _, word := range strings.Split(want, ",") {
			if strings.Contains(line, word) {
				t.Log(line)
				return
			}
		}
	}
	sc.play(wo)
	for _, fa := range wo.violations {
		t.Log(fa)
	}
}

// schedule is a family of random schedules, one for each seed.
type schedule struct {
	offset      uint64 // added to the seed
	faultKinds  int    // number of kinds of faults
	play        func(wo *world)
	inCI        uint64   // number of seeds that run without the variable SEEDS
	regressions []uint64 // seeds that have failed in the past; they always run
}

var schedules = map[string]schedule{
	"plain": {offset: 100, faultKinds: plainFaults, play: randomSchedule, inCI: 40, regressions: []uint64{
		// A frozen entry later started tasks from messages that had waited in its
		// connections. Their owners had started the same tasks elsewhere.
		19, 229, 463, 617, 749, 1158,
		// A start order reached a restarted worker before the holder had detected the
		// restart. The holder then treated the order as lost.
		293,
	}},
	"store": {offset: 20_000, faultKinds: allFaults, play: randomSchedule, inCI: 12, regressions: []uint64{
		// An owner treated tasks as lost when messages from their holder did not
		// arrive. The holder continued to run them.
		33,
	}},
	"callers": {offset: 60_000, faultKinds: allFaults, play: callersSchedule, inCI: 10, regressions: []uint64{
		// An owner attributed an end that a new holder had found to its own run.
		// It belonged to a run of another owner of the same job with the same number.
		5, 29, 46,
	}},
	"crashes": {offset: 80_000, faultKinds: allFaults, play: crashesSchedule, inCI: 8, regressions: []uint64{
		// Runs of a gang that were stopped with those of the others did not count.
		20,
		// A crash of a long-running task whose holder had changed reset the count.
		34,
	}},
	"evacuations": {offset: 100_000, faultKinds: evacuationFaults, play: evacuationSchedule, inCI: 12},
	"stored": {offset: 5000, faultKinds: allFaults, play: storedSchedule, inCI: 40, regressions: []uint64{
		// A hold with the number of an end in the earlier lifetime of a worker made the
		// next one forget an end that its holder had not seen.
		8, 287, 385,
	}},
	"takeovers": {offset: 120_000, faultKinds: allFaults, play: takeoverSchedule, inCI: 6, regressions: []uint64{
		// A lapsed run of the former owner counted as a failed attempt, and the row of a
		// job of 4,000 tasks outgrew the store.
		31,
		// Two entries claimed a job, and the one whose claim was not stored started its
		// tasks too.
		67,
	}},
	"routes":  {offset: 140_000, faultKinds: allFaults, play: routesSchedule, inCI: 8},
	"cancels": {offset: 160_000, faultKinds: allFaults, play: cancelsSchedule, inCI: 8},
	"mixed": {offset: 40_000, faultKinds: allFaults, play: mixedSchedule, inCI: 10, regressions: []uint64{
		// A partitioned owner placed tasks again before it had detected that its jobs
		// had been taken over.
		9,
		// A holder that had not reached a worker yet answered for its tasks.
		166,
		// Tasks that were sent at the moment when a session ended stayed placed
		// forever.
		50, 76,
	}},
}

// seeds returns the seeds to run. The environment variable SEEDS sets their
// number, in place of inCI.
func (sc schedule) seeds(t *testing.T) []uint64 {
	t.Helper()
	count := sc.inCI
	if text := os.Getenv("SEEDS"); text != "" {
		if _, err := fmt.Sscan(text, &count); err != nil {
			t.Fatal(err)
		}
	}
	list := slices.Clone(sc.regressions)
	for seed := range count {
		if !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

// world returns the world for a seed.
func (sc schedule) world(seed uint64) *world {
	wo := standardWorld(seed+sc.offset, 7, 48)
	wo.faultKinds = sc.faultKinds
	return wo
}

// playSchedules runs the schedules of a family as subtests, one for each seed.
func playSchedules(t *testing.T, name string, check func(wo *world, t *testing.T)) {
	t.Helper()
	t.Parallel()
	sc := schedules[name]
	for _, seed := range sc.seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			wo := sc.world(seed)
			sc.play(wo)
			wo.check(t)
			check(wo, t)
		})
	}
}

// randomSchedule runs one random schedule with load and faults.
func randomSchedule(wo *world) {
	wo.load(standardKinds, 0.5+wo.rnd.Float64(), 20*time.Second)
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*15)*time.Second, wo.randomFault)
	}
	wo.run(30 * time.Second)
}
