package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// waitStatistics measures what the sizes of tasks and jobs do to their waits, and
// how much free CPU no waiting task fits into.
type waitStatistics struct {
	sampledAt time.Time
	// smallest is the CPU of the smallest worker of each service.
	smallest map[ids.ServiceName]Millicores
}

// freeRoomInterval is the interval between two samples of the free CPU. A sample
// goes once through the reports of all workers.
const freeRoomInterval = time.Second

// sampleWaits counts the free cores of the usable workers of the services for
// which tasks wait here, and those of them that are on workers where none of these
// tasks fits. The ratio of the two counters is the share of free cores that is of no
// use.
func (en *Entry) sampleWaits(now time.Time) {
	ws := &en.waitStats
	if now.Sub(ws.sampledAt) < freeRoomInterval {
		return
	}
	ws.sampledAt = now
	en.findSmallestWorkers()
	if len(en.wants) == 0 {
		return
	}
	free, unusable := en.freeBesideWants(now)
	en.eff.Count("room", "free-millicores", int64(free))
	en.eff.Count("room", "unusable-millicores", int64(unusable))
}

func (en *Entry) findSmallestWorkers() {
	ws := &en.waitStats
	if ws.smallest == nil {
		ws.smallest = map[ids.ServiceName]Millicores{}
	}
	clear(ws.smallest)
	for _, kw := range en.known {
		svc, cpu := kw.info.Service, kw.info.Room.CPU
		if least, ok := ws.smallest[svc]; kw.removedAt.IsZero() && (!ok || cpu < least) {
			ws.smallest[svc] = cpu
		}
	}
}

// freeBesideWants returns the free CPU of the usable workers of services for
// which tasks wait, and how much of it is on workers where none of them fits.
func (en *Entry) freeBesideWants(now time.Time) (free, unusable Millicores) {
	waiting := map[ids.ServiceName]Millicores{}
	for _, wa := range en.wants {
		if least, ok := waiting[wa.shape.Service]; wa.granted < wa.count && (!ok || wa.shape.Need.CPU < least) {
			waiting[wa.shape.Service] = wa.shape.Need.CPU
		}
	}
	for _, wk := range en.workers {
		least, ok := waiting[wk.info.Service]
		if !ok || !wk.usable(now) {
			continue
		}
		room := max(wk.free().CPU, 0)
		free += room
		if room < least {
			unusable += room
		}
	}
	return free, unusable
}

// observeWait records how long a task has waited for its first run, by its size
// and by the width of its job.
func (en *Entry) observeWait(gr *group, ta *task, now time.Time) {
	if ta.waitObserved || gr.queuedAt.IsZero() {
		return
	}
	ta.waitObserved = true
	wait := now.Sub(gr.queuedAt)
	if least, ok := en.waitStats.smallest[gr.shape.Service]; ok {
		size := "task.wait.small"
		if 2*gr.shape.Need.CPU > least {
			size = "task.wait.large"
		}
		en.eff.Observe(size, wait)
	}
	en.eff.Observe(gr.job.widthMetric(), wait)
}

// widthMetric returns the name of the histogram for the waits of a job, by the
// number of tasks of its widest step.
func (jb *job) widthMetric() string {
	count := 0
	for _, st := range jb.Job.Steps {
		count = max(count, st.Count)
	}
	switch {
	case count < 2:
		return "task.wait.width-1"
	case count < 10:
		return "task.wait.width-2-to-9"
	case count < 100:
		return "task.wait.width-10-to-99"
	}
	return "task.wait.width-100-up"
}
