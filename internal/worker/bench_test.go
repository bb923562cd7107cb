package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// mixedKinds are kinds of 50 ms to 4 s whose declared sizes are wrong by
// factors of 0.5 to 2.
var mixedKinds = []struct {
	kind     ids.RequestKind
	declared size
	truth    truth
	part     float64
}{
	{"lookup", size{cores: 1, memory: 1000}, truth{size: size{1, 1500, 0}, run: 50 * time.Millisecond}, 0.5},
	{"match", size{cores: 4, memory: 4000}, truth{size: size{8, 8000, 0}, run: 600 * time.Millisecond}, 0.3},
	{"check", size{cores: 4, memory: 6000}, truth{size: size{2, 3000, 0}, run: 300 * time.Millisecond}, 0.18},
	{"realign", size{cores: 8, memory: 12000}, truth{size: size{16, 24000, 0}, run: 4 * time.Second}, 0.02},
}

// BenchmarkSharing compares the variants of sharing workers among seven
// entries. It reports the share of busy worker time over the capacity and the
// waits.
func BenchmarkSharing(b *testing.B) {
	policies := []struct {
		name  string
		sh    sharing
		naive bool
	}{
		{"naive", sharing{}, true},
		{"whole", sharing{}, false},
		{"divide", sharing{divide: true}, false},
		{"homes", sharing{homes: true}, false},
		{"both", sharing{homes: true, divide: true}, false},
		{"pressed", sharing{homes: true, divide: true, expanded: true}, false},
	}
	for _, skew := range []float64{0, 0.5} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, po := range policies {
				b.Run(fmt.Sprintf("skew=%v/load=%v/%s", skew, load, po.name), func(b *testing.B) {
					for range b.N {
						runSharing(b, po.sh, po.naive, load, skew)
					}
				})
			}
		}
	}
}

// runSharing runs 50 workers for 20 s after a warm-up of 10 s. load is given as
// a share of all cores. One of seven entries receives the share skew of all
// tasks and an equal share of the rest.
func runSharing(b *testing.B, sh sharing, naive bool, load, skew float64) {
	const entries, workers = 7, 50
	capacity := size{64, 128_000, 0}
	si := newSim(simOptions{
		entries: entries, workers: workers, racks: 7, zones: 3, capacity: capacity,
		sharing: sh, naive: naive, lag: time.Second, polls: 8,
	})
	work := 0.0 // core seconds of an average task
	for _, mk := range mixedKinds {
		work += mk.part * mk.truth.size.cores * mk.truth.run.Seconds()
	}
	perStep := load * workers * capacity.cores / work * simStep.Seconds()
	owed := 0.0
	arrive := func() {
		for owed += perStep; owed >= 1; owed-- {
			entry := si.rng.IntN(entries)
			if si.rng.Float64() < skew {
				entry = 0
			}
			pick := si.rng.Float64()
			for _, mk := range mixedKinds {
				if pick -= mk.part; pick < 0 {
					dm := Demand{Kind: mk.kind, Processors: ids.Cores(mk.declared.cores), Memory: ids.Megabytes(mk.declared.memory)}
					tr := mk.truth
					tr.run = time.Duration(float64(tr.run) * (0.5 + si.rng.Float64()))
					si.submit(entry, dm, tr)
					break
				}
			}
		}
	}
	si.advance(10*time.Second, arrive) // warm-up: statistics and first reports
	si.busySteps, si.overSteps, si.excess, si.waits = 0, 0, 0, nil
	si.advance(20*time.Second, arrive)
	b.ReportMetric(100*si.overShare(), "over-%")
	b.ReportMetric(100*si.excess/float64(si.busySteps), "excess-%")
	b.ReportMetric(float64(quantile(si.waits, 0.5).Milliseconds()), "wait-p50-ms")
	b.ReportMetric(float64(quantile(si.waits, 0.99).Milliseconds()), "wait-p99-ms")
	b.ReportMetric(float64(len(si.waiting)), "left")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkScheduler measures enqueue, placement and end of one task, with 40
// teams and 400 tasks in flight.
func BenchmarkScheduler(b *testing.B) {
	for _, workers := range []int{50, 560} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			opt := simOptions{entries: 7, workers: workers, racks: workers / 7, zones: 3, capacity: size{64, 128_000, 2}, sharing: defaultSharing}
			sc := newSim(opt).scheduler(0)
			var flying []assignment
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += 10 {
				for k := range 10 {
					sc.enqueue(&Demand{
						Task: TaskID(fmt.Sprintf("task-%d", i+k)), Job: ids.JobID(fmt.Sprintf("job-%d", i)), Kind: mixedKinds[i%3].kind,
						Team: ids.TeamID(fmt.Sprintf("team-%d", i/10%40)), Processors: 1, Memory: 100,
					}, nil)
				}
				for _, as := range sc.place(64) {
					as.tk.state = taskSent
					flying = append(flying, as)
				}
				for len(flying) > 400 {
					sc.finished(flying[0].tk, Report{State: StateDone, RanMillis: 100})
					flying = flying[1:]
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}
