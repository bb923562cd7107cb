package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestGangs guards against gangs of which only a part runs: all tasks of a gang
// must be started at the same time or not at all, and be stopped together.
func TestGangs(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name       string
		stored     bool
		fault      func(wo *world)
		wholeGangs bool // no task may be stopped because the rest of its gang did not start
		least      float64
	}{
		{"no fault", false, func(*world) {}, true, 0.7},
		{"no fault, stored", true, func(*world) {}, true, 0.7},
		{"failing workers end runs, not jobs", false, func(wo *world) {
			wo.workers["w-003"].fails, wo.workers["w-010"].fails = true, true
		}, true, 0.5},
		{"entry killed", false, func(wo *world) { wo.entries["entry-01"].kill() }, false, 0.5},
		{"entry killed, stored", true, func(wo *world) { wo.entries["entry-01"].kill() }, false, 0.4},
		{"workers lost", true, func(wo *world) {
			wo.workers["w-004"].crash(0)
			wo.workers["w-009"].crash(time.Second)
		}, false, 0.5},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+700, 7, 48)
			kinds := slices.Clone(standardKinds)
			for at := range kinds {
				kinds[at].stored = row.stored
			}
			kinds[0].gang, kinds[0].colocated, kinds[2].gang = true, true, true
			kinds[2].steps = 2
			wo.load(kinds, 0.3, 12*time.Second)
			wo.run(4 * time.Second)
			row.fault(wo)
			wo.run(30 * time.Second)
			wo.check(t)
			if row.stored {
				wo.checkStored(t)
			} else {
				wo.checkAnswered(t)
			}
			if row.wholeGangs && wo.gangTimeouts > 0 {
				t.Errorf("%d tasks were stopped because the rest of their gang did not start", wo.gangTimeouts)
			}
			if share := wo.inTimeShare(); !row.stored && share < row.least {
				t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, row.least, wo.inTime, wo.submitted, wo.done)
			}
		})
	}
}

// TestGangOnAccelerators guards against a gang that never starts although there is
// room for it: its tasks ask for accelerators and no CPU, and one worker has room for
// several of them.
func TestGangOnAccelerators(t *testing.T) {
	t.Parallel()
	wo := standardWorld(761, 3, 4)
	for _, wk := range wo.workers {
		wk.info.Room.Accelerators = 4
	}
	wo.run(2 * time.Second)
	kd := kind{queue: "pair", width: 10, work: 300 * time.Millisecond, gang: true, stored: true, accelerators: 1}
	wo.submit(wo.sortedEntries()[0], kd)
	if tasks := len(wo.jobs["0000000000000001"].length); tasks <= 4 || tasks > 16 {
		t.Fatalf("the gang has %d tasks, want more than the 4 workers and at most their 16 accelerators", tasks)
	}
	wo.run(10 * time.Second)
	wo.check(t)
	wo.checkStored(t)
}

// TestTimedJobs guards against occurrences of timed jobs that start early or are
// skipped, also when an owner dies while it waits for the next one.
func TestTimedJobs(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world)
	}{
		{"no fault", func(*world) {}},
		{"owner killed", func(wo *world) { wo.entries["entry-01"].kill() }},
		{"all entries restart at once", func(wo *world) { wo.restartAll(time.Second) }},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+720, 7, 48)
			kinds := storedKinds()
			for at := range kinds {
				kinds[at].repeat = 5
			}
			wo.load(kinds, 0.04, 6*time.Second)
			wo.run(5 * time.Second)
			row.fault(wo)
			wo.run(30 * time.Second)
			wo.check(t)
			wo.checkStored(t)
			for _, id := range sortedKeys(wo.jobs) {
				jb := wo.jobs[id]
				for occ := range jb.repeat.Count {
					if wo.records[id].Version > 0 && !jb.done[TaskID(fmt.Sprintf("%s.%d.0.0", id, occ))] {
						t.Errorf("job %s: occurrence %d has not run", id, occ)
					}
				}
			}
		})
	}
}

// TestLasting guards against interruptions of long-running tasks: they must run until
// their job is cancelled, and must not be stopped because an owner or a holder
// fails.
func TestLasting(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world)
		stops int // permitted stops of tasks on workers that stay
	}{
		{"no fault", func(*world) {}, 0},
		{"entry killed: its tasks are kept and taken over", func(wo *world) { wo.entries["entry-01"].kill() }, 0},
		{"entries leave in turn and come back", (*world).rollingRestart, 0},
		{"all entries restart at once, within the leases", func(wo *world) { wo.restartAll(300 * time.Millisecond) }, 0},
		{"all entries restart after the leases", func(wo *world) { wo.restartAll(2 * time.Second) }, 0},
		{"store down", func(wo *world) {
			wo.storeUp = false
			wo.after(6*time.Second, func() { wo.storeUp = true })
		}, 0},
		{"zone cut off", func(wo *world) { wo.cutZone("east", 6*time.Second) }, 0},
		{"workers are lost", func(wo *world) {
			wo.workers["w-004"].crash(0)
			wo.workers["w-009"].crash(time.Second)
		}, 0},
		{"workers fail their tasks for a while", func(wo *world) {
			for _, id := range sortedKeys(wo.workers)[:12] {
				wo.workers[id].fails = true
				wo.after(3*time.Second, func() { wo.workers[id].fails = false })
			}
			wo.workers["w-001"].crash(500 * time.Millisecond)
		}, 0},
		{"workers drain and leave", func(wo *world) {
			for _, id := range sortedKeys(wo.workers)[:6] {
				wk := wo.workers[id]
				wk.info.State = WorkerDraining
				wo.after(4*time.Second, func() { wk.crash(0) })
			}
		}, 0},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+740, 7, 48)
			wo.load([]kind{{queue: "pair", perS: 6, width: 3, work: time.Second, lasting: true, stored: true}}, 1, 3*time.Second)
			wo.load(standardKinds, 0.2, 25*time.Second)
			wo.run(8 * time.Second)
			row.fault(wo)
			wo.run(32 * time.Second)
			wo.check(t)
			if wo.checkLasting(t) == 0 {
				t.Error("no long-running task was accepted")
			}
			if wo.lastingStops > row.stops {
				t.Errorf("%d long-running tasks were stopped on workers that stay, want at most %d", wo.lastingStops, row.stops)
			}
			if row.name == "no fault" {
				wo.checkLastingCancel(t)
			}
		})
	}
}

// TestSavedProgress guards against the loss of checkpoints: saved work must not
// be repeated when the owner dies or leaves.
func TestSavedProgress(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world)
		least int // starts that must resume from a checkpoint
	}{
		{"owner killed", func(wo *world) { wo.entries["entry-01"].kill() }, 5},
		{"owner leaves", func(wo *world) {
			wo.entries["entry-01"].en.Leave()
			wo.after(5*time.Second, wo.entries["entry-01"].kill)
		}, 5},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+780, 7, 48)
			wo.load([]kind{{queue: "pair", perS: 5, width: 3, work: 5 * time.Second, checkpointing: true, stored: true}}, 1, 6*time.Second)
			wo.run(7 * time.Second)
			row.fault(wo)
			wo.run(40 * time.Second)
			wo.check(t)
			wo.checkStored(t)
			if wo.resumed < row.least {
				t.Errorf("%d starts resumed from a checkpoint, want %d or more", wo.resumed, row.least)
			}
		})
	}
}

// TestProgressForgotten guards against checkpoints that holders never discard:
// those of jobs that are not stored or have ended.
func TestProgressForgotten(t *testing.T) {
	t.Parallel()
	wo := standardWorld(790, 7, 48)
	kinds := slices.Clone(standardKinds)
	for at := range kinds {
		kinds[at].checkpointing, kinds[at].stored = true, at == 0
	}
	wo.load(kinds, 0.5, 8*time.Second)
	wo.after(5*time.Second, wo.entries["entry-01"].kill)
	wo.run(30 * time.Second)
	wo.check(t)
	for _, ee := range wo.sortedEntries() {
		if count := len(ee.en.savedCheckpoints); ee.alive && count > 0 {
			t.Errorf("%s keeps checkpoints of %d jobs", ee.id, count)
		}
	}
}

// TestAdvice covers queues for which an external service selects the workers:
// starts must carry valid tickets, a step must need few calls, and jobs must
// complete despite lost calls and restarted workers.
func TestAdvice(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		gang  bool
		fault func(wo *world)
		bad   int // permitted starts that are refused because of their ticket
		least float64
	}{
		{"no fault", false, func(*world) {}, 0, 0.75},
		{"gangs", true, func(*world) {}, 0, 0.5},
		{"a third of the calls is lost", false, func(wo *world) { wo.adviceLossShare = 0.3 }, 0, 0.4},
		{"workers restart: their tickets become invalid", false, func(wo *world) {
			for _, id := range sortedKeys(wo.workers)[:8] {
				wo.workers[id].crash(100 * time.Millisecond)
			}
		}, 40, 0.6},
		{"owner killed", false, func(wo *world) { wo.entries["entry-01"].kill() }, 0, 0.6},
		{"two zones are evacuated: workers of the others are asked about", false, func(wo *world) {
			wo.evacuate("north", 25*time.Second)
			wo.evacuate("west", 25*time.Second)
		}, 0, 0.6},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+800, 7, 48)
			des := standardDesired(2)
			for at := range des.Queues {
				des.Queues[at].Advised, des.Queues[at].Slack = true, 200*time.Millisecond
			}
			wo.desired = des
			for _, ee := range wo.sortedEntries() {
				ee.en.Apply(des)
			}
			kinds := slices.Clone(standardKinds)
			kinds[1].stored, kinds[1].steps, kinds[0].gang = true, 2, row.gang
			wo.load(kinds, 0.3, 12*time.Second)
			wo.run(4 * time.Second)
			row.fault(wo)
			wo.run(30 * time.Second)
			wo.check(t)
			wo.checkStored(t)
			steps := 0
			for _, jb := range wo.jobs {
				steps += len(jb.steps)
			}
			if wo.advised == 0 {
				t.Error("no advice was requested")
			}
			if wo.adviceLossShare == 0 && !row.gang && wo.advised > 2*steps {
				t.Errorf("%d calls for advice on %d steps", wo.advised, steps)
			}
			if wo.badTickets > row.bad {
				t.Errorf("%d starts were refused because of their ticket, want at most %d", wo.badTickets, row.bad)
			}
			share := float64(wo.inTime["peek"]+wo.inTime["pair"]) / float64(wo.submitted["peek"]+wo.submitted["pair"])
			if share < row.least {
				t.Errorf("%.3f of the jobs were in time, want %.2f or more: %v of %v, %v", share, row.least, wo.inTime, wo.submitted, wo.done)
			}
		})
	}
}

// checkLasting reports long-running tasks that do not run, and returns the number
// that should run.
func (wo *world) checkLasting(t *testing.T) int {
	t.Helper()
	running := wo.runningTasks()
	total, missing := 0, 0
	for _, id := range sortedKeys(wo.jobs) {
		jb := wo.jobs[id]
		if rec := wo.records[id]; rec.Version == 0 || rec.State.ended() || !jb.steps[0].Lasting {
			continue
		}
		for idx := range jb.steps[0].Count {
			total++
			name := TaskID(fmt.Sprintf("%s.0.0.%d", id, idx))
			if running[name] == 0 {
				if missing++; missing <= 3 {
					t.Errorf("the long-running task %s does not run; owner %s", name, wo.records[id].Owner)
				}
			}
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d long-running tasks do not run", missing, total)
	}
	return total
}

// runningTasks returns the number of runs of each task on workers that are up.
func (wo *world) runningTasks() map[TaskID]int {
	running := map[TaskID]int{}
	for _, wk := range wo.workers {
		for ref := range wk.runs {
			if wk.up {
				running[ref.Task]++
			}
		}
	}
	return running
}

// checkLastingCancel cancels all jobs with long-running tasks, also at entries
// that do not own them, and reports tasks that still run afterwards.
func (wo *world) checkLastingCancel(t *testing.T) {
	t.Helper()
	for num, id := range sortedKeys(wo.records) {
		if wo.records[id].Lasting {
			wo.cancelled[id] = true
			wo.sortedEntries()[num%3].en.CancelStored(id, func(out Outcome) {
				if out.Kind != Completed {
					t.Errorf("cancelling job %s gave outcome %s, want completed", id, out.Kind)
				}
			})
		}
	}
	wo.run(3 * time.Second)
	for name := range wo.runningTasks() {
		if at, _ := parseTaskID(name); wo.cancelled[at.job] {
			t.Errorf("the task %s of a cancelled job still runs", name)
		}
	}
}

// mixedKinds returns the users' kinds of job in all the forms that the owner
// treats differently.
func mixedKinds() []kind {
	kinds := storedKinds()
	kinds[0].gang, kinds[0].stored = true, false
	kinds[1].label = "small"
	return append(kinds,
		kind{queue: "fit", perS: 5, width: 2, work: 200 * time.Millisecond, stored: true, repeat: 3},
		kind{queue: "peek", perS: 5, width: 4, work: 100 * time.Millisecond, stored: true, gang: true, colocated: true},
		kind{queue: "pair", perS: 1, width: 3, work: time.Second, lasting: true, stored: true},
	)
}

// TestRandomFaultsMixed runs random schedules of faults with jobs of all forms.
func TestRandomFaultsMixed(t *testing.T) {
	playSchedules(t, "mixed", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkLasting(t)
	})
}

// mixedSchedule runs the load and the faults of one random schedule.
func mixedSchedule(wo *world) {
	wo.load(mixedKinds(), 0.1+0.4*wo.rnd.Float64(), 12*time.Second)
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*12)*time.Second, wo.randomFault)
	}
	wo.run(60 * time.Second)
}
