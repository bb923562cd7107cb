package dispatch

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestTrace prints the decisions on what the variable TRACE names, for the
// random schedule with the seed in SEED.
func TestTrace(t *testing.T) {
	want := os.Getenv("TRACE")
	if want == "" {
		t.Skip("set TRACE and SEED to trace a schedule")
	}
	var seed uint64
	if _, err := fmt.Sscan(os.Getenv("SEED"), &seed); err != nil {
		t.Fatal(err)
	}
	wo := standardWorld(seed+100, 7, 48)
	start := wo.at
	for _, ee := range wo.sortedEntries() {
		ee.log = func(event string, fields ...any) {
			line := fmt.Sprint(wo.at.Sub(start), " ", ee.id, " ", event, " ", fields)
			for _, word := range strings.Split(want, ",") {
				if strings.Contains(line, word) {
					t.Log(line)
				}
			}
		}
	}
	randomSchedule(wo)
	for _, fa := range wo.faults {
		t.Log(fa)
	}
}

// randomSchedule plays the load and the faults of one random schedule.
func randomSchedule(wo *world) {
	wo.load(standardKinds, 0.5+wo.rnd.Float64(), 20*time.Second)
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*15)*time.Second, wo.randomFault)
	}
	wo.run(30 * time.Second)
}
