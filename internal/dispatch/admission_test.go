package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestDivide guards against a burst that takes the capacity of others, and against
// a queue that is left with nothing.
func TestDivide(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name     string
		capacity float64
		queues   []queueLoad
		want     []float64
	}{
		{"enough for all", 100, []queueLoad{{recent: 30, usual: 30}, {priority: 1, recent: 50, usual: 40}}, []float64{30, 50}},
		{"a burst in one queue", 100, []queueLoad{{recent: 30, usual: 30}, {priority: 1, recent: 130, usual: 50}}, []float64{30, 70}},
		{"a burst in all queues", 100, []queueLoad{{recent: 60, usual: 20}, {priority: 1, recent: 120, usual: 40}}, []float64{60, 40}},
		{"less than the usual demand", 30, []queueLoad{{recent: 60, usual: 20}, {priority: 1, recent: 120, usual: 40}}, []float64{10, 20}},
		{"equal priorities", 100, []queueLoad{{recent: 90, usual: 30}, {recent: 60, usual: 30}}, []float64{30 + 60*40.0/90, 30 + 30*40.0/90}},
		{"no usual demand", 60, []queueLoad{{recent: 90}, {priority: 1, recent: 60}}, []float64{54, 6}},
	}
	for _, row := range rows {
		for num, part := range divide(row.capacity, row.queues) {
			if math.Abs(part-row.want[num]) > 0.001 {
				t.Errorf("%s: queue %d gets %.2f, want %.2f", row.name, num, part, row.want[num])
			}
		}
	}
}

// TestFair guards against a zone whose callers are starved by those of another.
func TestFair(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name          string
		usual, demand []float64
		want          []float64
	}{
		{"a burst in one zone", []float64{20, 20, 20}, []float64{200, 20, 20}, []float64{50, 20, 20}},
		{"bursts of different size", []float64{20, 20, 20}, []float64{200, 40, 20}, []float64{35, 35, 20}},
		{"unequal zones", []float64{40, 20, 0}, []float64{200, 200, 0}, []float64{60, 30, 0}},
	}
	for _, row := range rows {
		for num, part := range fair(90, row.usual, row.demand) {
			if math.Abs(part-row.want[num]) > 0.001 {
				t.Errorf("%s: zone %d gets %.2f, want %.2f", row.name, num, part, row.want[num])
			}
		}
	}
}

// TestDecide guards against jobs that are admitted although they can't be in time,
// and against refusals after an overload while the backlog is worked off.
func TestDecide(t *testing.T) {
	t.Parallel()
	const slack, useful = 100 * time.Millisecond, time.Second
	rows := []struct {
		name string
		plan queuePlan
		want map[verdict]int // of 100 jobs
	}{
		{"no backlog", queuePlan{share: 1}, map[verdict]int{verdictServed: 100}},
		{"half of the slack", queuePlan{share: 1, wait: 50 * time.Millisecond}, map[verdict]int{verdictServed: 100}},
		{"three quarters of the slack", queuePlan{share: 1, wait: 75 * time.Millisecond}, map[verdict]int{verdictServed: 50, verdictBacklog: 50}},
		{"the whole slack", queuePlan{share: 1, wait: slack}, map[verdict]int{verdictBacklog: 100}},
		{"a backlog that shrinks", queuePlan{share: 1, wait: slack, shrinking: true}, map[verdict]int{verdictWaits: 100}},
		{"a backlog that shrinks too slowly", queuePlan{share: 1, wait: useful, shrinking: true}, map[verdict]int{verdictBacklog: 100}},
		{"a quarter of the jobs", queuePlan{share: 0.25}, map[verdict]int{verdictServed: 25, verdictShare: 75}},
	}
	for _, row := range rows {
		got, credit := map[verdict]int{}, 0.0
		for range 100 {
			var vd verdict
			vd, credit = row.plan.decide(slack, useful, credit)
			got[vd]++
		}
		for vd, want := range row.want {
			if got[vd] != want {
				t.Errorf("%s: %d of 100 jobs %s, want %d: %v", row.name, got[vd], vd, want, got)
			}
		}
	}
}

// TestPlanWithoutFigures guards against refusals by an entry that knows of no
// capacity, as after its start.
func TestPlanWithoutFigures(t *testing.T) {
	t.Parallel()
	zones := map[ids.AvailabilityZone]zoneLoad{"north": {queues: map[uint32]queueLoad{1: {backlog: 1000, recent: 1000}}}}
	if plans := planQueues("north", zones); len(plans) != 0 {
		t.Errorf("without a capacity the plans are %v, want none", plans)
	}
}

// TestLevels guards against figures that a report distorts.
func TestLevels(t *testing.T) {
	t.Parallel()
	for _, amount := range []float64{0, 0.5, 3, 40, 2000, 90_000} {
		if got := levelOf(amount).amount(); math.Abs(got-amount) > 0.05*(amount+1) {
			t.Errorf("%g is reported as %g", amount, got)
		}
	}
}
