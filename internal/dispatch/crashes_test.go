package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// crashLog records which tasks crash their workers and how often workers have
// crashed under each task.
type crashLog struct {
	deadly map[TaskID]bool
	under  map[TaskID]int // crashes under a task
	after  map[TaskID]int // starts of a deadly task after the third crash under it
	// renewed makes a crashed worker return under another id and address.
	renewed bool
	crashes int // caused by deadly tasks
	lost    int // runs that ended with them
}

// The limits of the users: a task is given up after two crashes at the earliest,
// and not started three times more after the third crash.
const (
	emuGiveUpCrashes = 2
	emuCountedFrom   = 3
	emuBudget        = 3
	// emuDownTime is how long a worker that was crashed by a task is down.
	emuDownTime = 3 * time.Second
)

// crashUnder makes a deadly task crash its worker soon after its start.
func (wk *emuWorker) crashUnder(run *emuRun) {
	wo, id := wk.wo, run.ref.Task
	if wo.crash.under[id] >= emuCountedFrom {
		if wo.crash.after[id]++; wo.crash.after[id] >= emuBudget {
			wo.violation("task %s is started %d times more after %d workers have crashed under it", id, wo.crash.after[id], wo.crash.under[id])
		}
	}
	wo.after(time.Duration(10+wo.rnd.IntN(200))*time.Millisecond, func() {
		if run.ended || !wk.up {
			return
		}
		wo.crash.crashes++
		wo.crash.lost += len(wk.runs)
		wk.refuses = true
		wo.after(emuDownTime, func() { wk.refuses = false })
		open := wk.openHolds
		wk.up = false
		for _, answer := range open {
			answer()
		}
		if !wo.crash.renewed {
			wk.crash(emuDownTime)
			return
		}
		wk.crash(0)
		wo.after(emuDownTime, func() {
			next := wo.addWorker(len(wo.workers), wk.info.Zone, wk.info.Room.CPU, wk.speed)
			next.info.Labels, next.info.Rack = wk.info.Labels, wk.info.Rack
		})
	})
}

// submitDeadly submits jobs of a kind to random entries. The first task of their
// last step crashes its workers.
func (wo *world) submitDeadly(kd kind, perS float64, du time.Duration) []ids.JobID {
	var list []ids.JobID
	for at := time.Duration(0); at < du; at += time.Duration(float64(time.Second) / perS) {
		wo.after(at, func() {
			entries := wo.sortedEntries()
			ee := entries[wo.rnd.IntN(len(entries))]
			if !ee.alive || ee.frozen {
				return
			}
			wo.submit(ee, kd)
			id := ids.JobID(fmt.Sprintf("%016x", wo.lastJob))
			for occ := range max(kd.repeat, 1) {
				wo.crash.deadly[TaskID(fmt.Sprintf("%s.%d.%d.0", id, occ, max(kd.steps, 1)-1))] = true
			}
			list = append(list, id)
		})
	}
	return list
}

// hasDeadlyTask reports whether a task of a job crashes its workers.
func (wo *world) hasDeadlyTask(id ids.JobID) bool {
	for task := range wo.crash.deadly {
		if at, _ := parseTaskID(task); at.job == id {
			return true
		}
	}
	return false
}

// mayGiveUp reports whether two workers have crashed under a task of a job.
func (wo *world) mayGiveUp(id ids.JobID) bool {
	for task, count := range wo.crash.under {
		if at, _ := parseTaskID(task); at.job == id && count >= emuGiveUpCrashes {
			return true
		}
	}
	return false
}

// checkGivenUp reports deadly stored jobs that have not been given up, and failed
// jobs under no task of which two workers have crashed.
func (wo *world) checkGivenUp(t *testing.T) {
	t.Helper()
	open, failed, innocent := 0, 0, 0
	for _, id := range sortedKeys(wo.records) {
		rec := wo.records[id]
		switch {
		case !rec.State.ended() && wo.hasDeadlyTask(id):
			open++
			t.Errorf("job %s with a task that crashes its workers is not given up", id)
		case rec.State == JobFailed && len(rec.Fails) == 0 && !wo.mayGiveUp(id):
			t.Errorf("job %s is given up although no task has crashed two workers", id)
		case rec.State == JobFailed && !wo.hasDeadlyTask(id):
			innocent++
		case rec.State == JobFailed:
			failed++
		}
	}
	t.Logf("%d jobs given up, %d of them without a deadly task, %d open; %d workers crashed, %d runs were lost with them",
		failed+innocent, innocent, open, wo.crash.crashes, wo.crash.lost)
	const mostInnocent = 0.02
	if share := float64(innocent) / float64(max(len(wo.records), 1)); share > mostInnocent {
		t.Errorf("%.3f of the jobs were given up although they have no deadly task", share)
	}
}

// TestDeadlyTasks guards against tasks that crash one worker after the other. A
// stored job with such a task must be given up, whatever happens to its owner and
// to the holders of its workers between the crashes. Other jobs must go on.
func TestDeadlyTasks(t *testing.T) {
	t.Parallel()
	oneStep := kind{queue: "peek", width: 4, work: 300 * time.Millisecond, stored: true}
	steps, gang, lasting, timed := oneStep, oneStep, oneStep, oneStep
	steps.steps = 3
	gang.gang = true
	lasting.lasting = true
	timed.repeat = 2
	rows := []struct {
		name    string
		kinds   []kind
		renewed bool // crashed workers return under other ids
		fault   func(wo *world)
	}{
		{"one step", []kind{oneStep}, false, func(*world) {}},
		{"one step, workers return under other ids", []kind{oneStep}, true, func(*world) {}},
		{"steps and occurrences", []kind{steps, timed}, false, func(*world) {}},
		{"gangs", []kind{gang}, false, func(*world) {}},
		{"gangs, workers return under other ids", []kind{gang}, true, func(*world) {}},
		{"long-running", []kind{lasting}, false, func(*world) {}},
		{"long-running, workers return under other ids", []kind{lasting}, true, func(*world) {}},
		{"entries killed in turn", []kind{oneStep, lasting}, false, (*world).killInTurn},
		{"entries killed in turn, workers return under other ids", []kind{oneStep, gang}, true, (*world).killInTurn},
		{"all entries restart", []kind{oneStep, steps}, false, func(wo *world) {
			for num := range 4 {
				wo.after(time.Duration(num)*4*time.Second, func() { wo.restartAll(500 * time.Millisecond) })
			}
		}},
		{"entries leave in turn", []kind{oneStep, lasting}, true, (*world).rollingRestart},
		{"store down", []kind{oneStep, lasting}, true, func(wo *world) {
			wo.storeUp = false
			wo.after(4*time.Second, func() { wo.storeUp = true })
		}},
		{"answers of the store are lost", []kind{oneStep}, false, func(wo *world) { wo.lostReplyShare = 0.3 }},
		{"workers cut off", []kind{oneStep, lasting}, true, func(wo *world) { wo.isolateWorkers(6, 6*time.Second) }},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+900, 7, 48)
			wo.crash.renewed = row.renewed
			wo.load(storedKinds(), 0.15, 15*time.Second)
			wo.run(time.Second)
			for _, kd := range row.kinds {
				wo.submitDeadly(kd, 0.8, 6*time.Second)
			}
			wo.run(2 * time.Second)
			row.fault(wo)
			wo.run(60 * time.Second)
			wo.check(t)
			wo.checkStored(t)
			wo.checkGivenUp(t)
		})
	}
}

// TestRandomFaultsCrashes runs random schedules of faults while tasks crash their
// workers.
func TestRandomFaultsCrashes(t *testing.T) {
	playSchedules(t, "crashes", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkGivenUp(t)
	})
}

// crashesSchedule runs the load, deadly jobs and the faults of one random
// schedule.
func crashesSchedule(wo *world) {
	wo.crash.renewed = wo.rnd.IntN(2) == 0
	wo.load(storedKinds(), 0.1+0.1*wo.rnd.Float64(), 15*time.Second)
	for _, kd := range []kind{
		{queue: "peek", width: 4, work: 300 * time.Millisecond, stored: true, steps: 2},
		{queue: "peek", width: 4, work: 300 * time.Millisecond, stored: true, gang: true},
		{queue: "fit", width: 2, work: time.Second, stored: true, lasting: true},
	} {
		wo.submitDeadly(kd, 0.3, 12*time.Second)
	}
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*12)*time.Second, wo.randomFault)
	}
	wo.run(70 * time.Second)
}

// TestGivenUpOnce guards against a caller that is answered twice: the job is given up
// in the tick in which its deadline passes.
func TestGivenUpOnce(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	qu, _ := en.findQueue("fit")
	answers := 0
	en.Submit(Submission{
		Job:   Job{ID: "0000000000000001", Steps: []Step{{Count: 2, Need: Resources{CPU: 1000}, Estimate: time.Second}}},
		Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(time.Second), Done: func(Outcome) { answers++ },
	})
	for num, gr := range en.jobs["0000000000000001"].groups {
		for _, ta := range gr.tasks {
			ta.state, ta.run = taskLost, Run(num+3)
			for run := range Run(2) {
				ta.crashes = append(ta.crashes, crash{Crash: Crash{Run: run + 1, Worker: "gone", Confirmed: true, Alone: true}})
			}
		}
	}
	wo.at = wo.at.Add(1100 * time.Millisecond)
	en.Tick()
	if answers != 1 || len(rc.starts) != 0 {
		t.Errorf("the caller is answered %d times and %d tasks are started, want one answer", answers, len(rc.starts))
	}
}

// killInTurn kills the entry that has sent the latest start order, several times.
func (wo *world) killInTurn() {
	for num := range 5 {
		wo.after(time.Duration(num)*2500*time.Millisecond, func() {
			ee := wo.entries[wo.lastStarter]
			if ee == nil || !ee.alive {
				return
			}
			ee.kill()
			wo.after(500*time.Millisecond, func() { ee.start(0.4) })
		})
	}
}

// isolateWorkers partitions some workers from all entries and from the store.
func (wo *world) isolateWorkers(count int, du time.Duration) {
	list := wo.sortedWorkers()
	wo.rnd.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, wk := range slices.Clone(list[:count]) {
		wk.unlisted, wk.downAt = true, wo.at
		for _, ee := range wo.sortedEntries() {
			wo.setCut(string(ee.id), string(wk.info.ID), true)
		}
		wo.after(du, func() {
			wk.unlisted = false
			for _, ee := range wo.sortedEntries() {
				wo.setCut(string(ee.id), string(wk.info.ID), false)
			}
		})
	}
}

// TestCrashesOfSoundTasks guards against sound jobs that are given up because the
// workers of their tasks were lost or cut off.
func TestCrashesOfSoundTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		wo := standardWorld(seed+950, 7, 48)
		kinds := storedKinds()
		kinds = append(kinds, kind{queue: "pair", perS: 3, width: 3, work: 4 * time.Second, stored: true},
			kind{queue: "pair", perS: 1, width: 3, work: time.Second, stored: true, lasting: true})
		wo.load(kinds, 0.3, 20*time.Second)
		wo.run(2 * time.Second)
		for num := range 4 {
			wo.after(time.Duration(num)*5*time.Second, func() {
				wo.isolateWorkers(5, 5500*time.Millisecond)
				list := wo.sortedWorkers()
				for range 3 {
					if wk := list[wo.rnd.IntN(len(list))]; wk.up {
						wk.crash(4 * time.Second)
					}
				}
			})
		}
		wo.run(60 * time.Second)
		wo.check(t)
		wo.checkStored(t)
		wo.checkGivenUp(t)
	}
}
