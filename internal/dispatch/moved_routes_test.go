package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// labService is a service that no route names until one is moved to it.
const labService ids.ServiceName = "lab"

// addLab adds workers of labService in turn over the zones of the entries.
func (wo *world) addLab(count int) {
	entries := wo.sortedEntries()
	for num := range count {
		wk := wo.addWorker(100+num, entries[num%len(entries)].zone, 32000, 1)
		wk.info.Service, wk.info.Labels = labService, []string{emuLabels[num%len(emuLabels)]}
	}
}

// moveRoute moves a queue to another service, or removes it if the service is "".
// Each entry applies the new version within the given time. Tasks of the queue may
// start on workers of every service that it has ever led to.
func (wo *world) moveRoute(name string, service ids.ServiceName, spread time.Duration) {
	wo.desired.Version++
	wo.desired.Queues = slices.DeleteFunc(slices.Clone(wo.desired.Queues), func(qu Queue) bool { return qu.Name == name })
	if service != "" {
		standard := standardDesired(1)
		moved, _ := standard.Route("example", "/"+name+"/")
		moved.Service = service
		wo.desired.Queues = append(wo.desired.Queues, moved)
		if wo.routed == nil {
			wo.routed = map[string][]ids.ServiceName{}
		}
		wo.routed[name] = append(wo.routed[name], service)
	}
	for _, ee := range wo.sortedEntries() {
		wo.after(time.Duration(wo.rnd.Float64()*float64(spread)), func() {
			if ee.alive {
				ee.deliver(func() { ee.en.Apply(wo.desired) })
			}
		})
	}
}

// failRuns lets all runs fail by themselves.
func (wo *world) failRuns() {
	for _, wk := range wo.sortedWorkers() {
		for _, run := range wk.sortedRuns() {
			wk.end(run, EndFailed)
		}
	}
}

// TestMovedRoute guards against tasks that run twice, and jobs that stand still, after a
// route was moved to another service and back while the entries were restarted in turn:
// the last entries have seen no desired state that names the service on whose workers
// tasks still run.
func TestMovedRoute(t *testing.T) {
	t.Parallel()
	lasting := kind{queue: "pair", width: 3, work: time.Hour, cpu: 2000, lasting: true, stored: true}
	long := kind{queue: "pair", width: 3, work: 8 * time.Second, cpu: 2000, stored: true}
	for num, kd := range []kind{lasting, long} {
		for _, back := range []ids.ServiceName{"fitdesk", ""} {
			t.Run(fmt.Sprintf("lasting %v, moved to %q", kd.lasting, back), func(t *testing.T) {
				t.Parallel()
				wo := standardWorld(uint64(num)+1040, 3, 9)
				wo.addLab(9)
				wo.run(2 * time.Second)
				restart := func() {
					// Each entry is back for two seconds before the next one is stopped.
					const interval, pause = 4800 * time.Millisecond, time.Second
					list := wo.sortedEntries()
					restartInTurn(list, interval, pause)
					wo.run(time.Duration(len(list)) * interval)
				}
				for _, ee := range slices.Repeat(wo.sortedEntries(), 2) {
					wo.submit(ee, kd)
				}
				wo.run(3 * time.Second)
				wo.moveRoute("pair", labService, 0)
				restart()
				wo.failRuns()
				wo.run(3 * time.Second)
				wo.moveRoute("pair", back, 0)
				restart()
				wo.run(45 * time.Second)
				wo.check(t)
				wo.checkStored(t)
				wo.checkLasting(t)
			})
		}
	}
}

// TestRouteMovedBeforeRestart guards against accepted jobs that stand still because one
// entry has restarted since a route of other jobs was moved or removed: it waits for
// answers about workers that the others leave out, or the other way round.
func TestRouteMovedBeforeRestart(t *testing.T) {
	t.Parallel()
	for num, to := range []ids.ServiceName{"fitdesk", ""} {
		t.Run(fmt.Sprintf("moved to %q", to), func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1060, 3, 9)
			wo.addLab(9)
			wo.moveRoute("peek", labService, 0)
			wo.run(2 * time.Second)
			wo.load([]kind{{queue: "pair", perS: 10, width: 3, work: 600 * time.Millisecond, steps: 6, cpu: 2000, stored: true}}, 1, 3*time.Second)
			wo.moveRoute("peek", to, 0)
			wo.run(3 * time.Second)
			ee := wo.entries["entry-01"]
			ee.kill()
			wo.after(time.Second, func() { ee.start(0.4) })
			wo.run(30 * time.Second)
			wo.check(t)
			wo.checkStored(t)
		})
	}
}

// TestRandomFaultsRoutes runs random schedules in which routes are moved between
// services and back, or removed, while processes start between the changes. It guards
// against tasks that run twice and jobs that stand still because entries that started
// at different times know of different services.
func TestRandomFaultsRoutes(t *testing.T) {
	playSchedules(t, "routes", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkLasting(t)
	})
}

// routesSchedule runs the load and the faults of one random schedule.
func routesSchedule(wo *world) {
	wo.addLab(24)
	wo.run(time.Second)
	wo.failShare = 0.1 * wo.rnd.Float64()
	queue := "pair"
	if wo.rnd.IntN(4) == 0 {
		queue = standardKinds[wo.rnd.IntN(len(standardKinds))].queue
	}
	entries := wo.sortedEntries()
	for range 1 + wo.rnd.IntN(4) {
		wo.submit(entries[wo.rnd.IntN(len(entries))], kind{queue: queue, width: 3, work: time.Second, lasting: true, stored: true})
	}
	at := wo.span(3*time.Second, 6*time.Second)
	// A job that is submitted later names the service that the route leads to then, so
	// half of the schedules have none.
	submissions := at
	if wo.rnd.IntN(2) == 0 {
		submissions = 14 * time.Second
	}
	wo.load(mixedKinds(), 0.1+0.2*wo.rnd.Float64(), submissions)
	for num := range 2 + wo.rnd.IntN(3) {
		service := labService
		if num%2 == 1 {
			service = []ids.ServiceName{"fitdesk", ""}[wo.rnd.IntN(2)]
		}
		wo.after(at, func() { wo.moveRoute(queue, service, 2*time.Second) })
		at += wo.span(2*time.Second, 3*time.Second)
		wo.after(at, wo.randomRestart)
		at += wo.span(3*time.Second, 10*time.Second)
		if wo.rnd.IntN(4) > 0 {
			wo.after(at, wo.failRuns)
			at += wo.span(0, time.Second)
		}
	}
	for range 2 {
		wo.after(wo.span(0, at), wo.randomFault)
	}
	wo.run(at + 60*time.Second)
}

// randomRestart restarts one entry, some of them or all.
func (wo *world) randomRestart() {
	entries := wo.sortedEntries()
	pause := 300*time.Millisecond + time.Duration(wo.rnd.Float64()*float64(2*time.Second))
	switch wo.rnd.IntN(4) {
	case 0:
		ee := entries[wo.rnd.IntN(len(entries))]
		ee.kill()
		ee.startAfter(pause)
	case 1:
		wo.restartAll(pause)
	default:
		// Planned restarts, each of which begins before the one before is over.
		restartInTurn(entries[wo.rnd.IntN(len(entries))*wo.rnd.IntN(2):], time.Second, emuRestartPause)
	}
}
