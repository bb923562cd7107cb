package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// largeTaskWorld returns 12 entries and 120 workers of 64 and 96 cores, whose
// speeds are 0.7, 0.7 and 1.7.
func largeTaskWorld(seed uint64) *world {
	wo := newWorld(seed)
	wo.desired = standardDesired(1)
	for num := range 12 {
		wo.addEntry(fmt.Sprintf("entry-%02d", num), emuZones[num%4], 0.4)
	}
	for num := range 120 {
		cpu := Millicores(64000)
		if num%3 == 2 {
			cpu = 96000
		}
		wo.addWorker(num, emuZones[num%4], cpu, []float64{0.7, 0.7, 1.7}[num/3%3])
	}
	wo.run(4 * time.Second)
	return wo
}

// largeTaskKinds are standardKinds with tasks of 20 to 48 cores.
func largeTaskKinds() []kind {
	kinds := slices.Clone(standardKinds)
	for num := range kinds {
		kinds[num].leastCPU, kinds[num].mostCPU = 20000, 48000
	}
	return kinds
}

// loadDrawnBefore is like load, but draws all jobs from seeds of their own, so that
// two placements are measured with the same jobs.
func (wo *world) loadDrawnBefore(seed uint64, kinds []kind, factor float64, du time.Duration) {
	list := wo.sortedEntries()
	for num, kd := range kinds {
		rnd := rand.New(rand.NewPCG(seed, uint64(num)))
		for at := 0.0; at < du.Seconds(); at += rnd.ExpFloat64() / (kd.perS * factor) {
			ee, job := list[rnd.IntN(len(list))], rand.New(rand.NewPCG(seed, rnd.Uint64()))
			wo.after(time.Duration(at*float64(time.Second)), func() {
				shared := wo.rnd
				wo.rnd = job
				wo.submit(ee, kd)
				wo.rnd = shared
			})
		}
	}
}

// roomUse samples how much of the free CPU fits no waiting task.
type roomUse struct {
	room, free, unusable int64 // sums over the samples in which tasks wait
}

// sample adds one sample every 20 ms until the given time.
func (ru *roomUse) sample(wo *world, end time.Time) {
	smallest := map[ids.ServiceName]Millicores{}
	for _, ee := range wo.entries {
		for _, gr := range ee.en.groups {
			if svc := gr.shape.Service; len(gr.queued()) > 0 && (smallest[svc] == 0 || gr.shape.Need.CPU < smallest[svc]) {
				smallest[svc] = gr.shape.Need.CPU
			}
		}
	}
	for _, wk := range wo.workers {
		least := smallest[wk.info.Service]
		if least == 0 {
			continue
		}
		free := wk.info.Room.CPU
		for _, run := range wk.runs {
			free -= run.need.CPU
		}
		ru.room += int64(wk.info.Room.CPU)
		ru.free += int64(free)
		if free < least {
			ru.unusable += int64(free)
		}
	}
	if wo.at.Before(end) {
		wo.after(20*time.Millisecond, func() { ru.sample(wo, end) })
	}
}

// jobClass sums up the jobs of one class.
type jobClass struct {
	jobs, inTime int
	waits        []float64 // from the arrival of the job to the start of a task, in milliseconds
}

func (jc *jobClass) add(wo *world, jb *emuJob) {
	jc.jobs++
	if jb.inTime {
		jc.inTime++
	}
	for id := range jb.length {
		if at, ok := wo.lastStart[id]; ok {
			jc.waits = append(jc.waits, millis(at.Sub(jb.arrived)))
		}
	}
}

func (jc *jobClass) report(b *testing.B, name string) {
	b.Helper()
	slices.Sort(jc.waits)
	sum := 0.0
	for _, wait := range jc.waits {
		sum += wait
	}
	count := max(len(jc.waits), 1)
	b.ReportMetric(100*float64(jc.inTime)/float64(max(jc.jobs, 1)), name+"-in-time-%")
	b.ReportMetric(sum/float64(count), name+"-mean-ms")
	if len(jc.waits) > 0 {
		b.ReportMetric(jc.waits[len(jc.waits)*95/100], name+"-p95-ms")
	}
}

// BenchmarkLargeTasks measures what large tasks and wide jobs wait for and how
// much free room no waiting task fits into. It guards against a change of the
// placement that pays on paper only.
func BenchmarkLargeTasks(b *testing.B) {
	// With this factor on the rates, tasks ask for as much CPU time as the workers
	// serve under a multiple of the load: 88% of all.
	const whole = 2.8
	for _, load := range []float64{0.58, 0.85, 1.3} {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("load=%.2f/seed=%d", load, seed), func(b *testing.B) {
				for b.Loop() {
					wo := largeTaskWorld(seed)
					var ru roomUse
					ru.sample(wo, wo.at.Add(8*time.Second))
					wo.loadDrawnBefore(seed, largeTaskKinds(), load*whole, 8*time.Second)
					wo.run(12 * time.Second)
					for _, text := range wo.violations {
						b.Error(text)
					}
					wo.reportLargeTasks(b, ru)
				}
			})
		}
	}
}

// reportLargeTasks reports the jobs by the size of their tasks and by width.
func (wo *world) reportLargeTasks(b *testing.B, ru roomUse) {
	b.Helper()
	var small, large, wide, all jobClass
	widths := map[string][]int{}
	for _, jb := range wo.jobs {
		widths[jb.queue] = append(widths[jb.queue], jb.steps[0].Count)
	}
	for queue := range widths {
		slices.Sort(widths[queue])
	}
	for _, id := range sortedKeys(wo.jobs) {
		jb := wo.jobs[id]
		all.add(wo, jb)
		if jb.steps[0].Need.CPU <= 32000 {
			small.add(wo, jb)
		} else {
			large.add(wo, jb)
		}
		if list := widths[jb.queue]; jb.steps[0].Count >= list[len(list)*9/10] {
			wide.add(wo, jb)
		}
	}
	all.report(b, "all")
	small.report(b, "small")
	large.report(b, "large")
	wide.report(b, "wide")
	b.ReportMetric(100*float64(ru.unusable)/float64(max(ru.free, 1)), "unusable-%")
	b.ReportMetric(100*float64(ru.free)/float64(max(ru.room, 1)), "free-%")
	b.ReportMetric(float64(wo.messages)/float64(wo.lastJob), "messages/job")
	b.ReportMetric(0, "ns/op")
}
