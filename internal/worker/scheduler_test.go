package worker

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

var defaultSim = simOptions{
	entries: 1, workers: 10, racks: 5, capacity: size{16, 32_000, 2},
	sharing: defaultSharing, lag: 300 * time.Millisecond, polls: 10,
}

func (opt simOptions) asNaive() simOptions {
	opt.naive = true
	return opt
}

// TestNeverBeyondReportedRoom guards against a start that does not fit
// according to the last report and the own starts since, also while three
// entries share the workers. The naive placer overcommits, because declared
// sizes are wrong.
func TestNeverBeyondReportedRoom(t *testing.T) {
	gm := NewWithT(t)
	run := func(opt simOptions) (beyond int, over float64) {
		opt.entries, opt.zones = 3, 2
		si := newSim(opt)
		si.onStart = func(st *simTask, _ *simWorker) {
			if ws := st.tk.ws; !opt.naive && !ws.othersUse.plus(ws.ownUse).fits(ws.capacity) {
				beyond++
			}
		}
		si.advance(8*time.Second, func() {
			mk := mixedKinds[si.rng.IntN(3)]
			dm := Demand{Kind: mk.kind, Processors: ids.Cores(mk.declared.cores), Memory: ids.Megabytes(mk.declared.memory)}
			si.submit(si.rng.IntN(3), dm, mk.truth)
		})
		return beyond, si.overShare()
	}
	beyond, over := run(defaultSim)
	_, naiveOver := run(defaultSim.asNaive())
	t.Logf("busy time over capacity: %.3f, naive %.3f", over, naiveOver)
	gm.Expect(beyond).To(BeZero())
	gm.Expect(over).To(BeNumerically("<", naiveOver/2), "share of busy time over the capacity; naive %v", naiveOver)
}

// TestAdmissible guards against a job that waits forever because it fits no
// worker, and against a refusal that does not name the dimension.
func TestAdmissible(t *testing.T) {
	sc := newSim(defaultSim).scheduler(0)
	cases := []struct {
		dm   Demand
		want string
	}{
		{Demand{Processors: 16, Memory: 32_000, Accelerators: 2}, ""},
		{Demand{}, ""},
		{Demand{Processors: 17}, "processors"},
		{Demand{Memory: 32_001}, "memory-mb"},
		{Demand{Accelerators: 3}, "accelerators"},
	}
	for _, tc := range cases {
		gm := NewWithT(t)
		err := sc.admissible(&tc.dm)
		if tc.want == "" {
			gm.Expect(err).NotTo(HaveOccurred())
			continue
		}
		var oe *outcome.Error
		gm.Expect(errors.As(err, &oe)).To(BeTrue())
		gm.Expect(oe.Status).To(Equal(http.StatusUnprocessableEntity))
		gm.Expect(oe.Outcome).To(Equal(outcome.RefusedDidNotRun))
		gm.Expect(oe.Message).To(ContainSubstring(tc.want))
	}
}

// TestLongTasksOnNewWorkers guards against new workers that stay nearly empty
// until their first task has ended, when that task is long.
func TestLongTasksOnNewWorkers(t *testing.T) {
	gm := NewWithT(t)
	si := newSim(defaultSim)
	for range 100 {
		si.submit(0, Demand{Kind: "long", Processors: 1}, truth{size: size{1, 256, 0}, run: time.Minute})
	}
	si.advance(5*time.Second, func() {})
	starts := 0
	for _, n := range si.startsOn {
		starts += n
	}
	gm.Expect(starts).To(Equal(100))
}

// TestFailingWorkerIsSuspended guards against a worker that fails every task
// at once, is therefore always free, and so gets ever more tasks.
func TestFailingWorkerIsSuspended(t *testing.T) {
	gm := NewWithT(t)
	run := func(opt simOptions) (*sim, int) {
		si := newSim(opt)
		si.workers[0].failAll = true
		si.advance(10*time.Second, func() {
			si.submit(0, Demand{Kind: "check", Processors: 2}, runs(2, 200*time.Millisecond))
		})
		return si, si.startsOn["worker-0"]
	}
	si, bad := run(defaultSim)
	_, naive := run(defaultSim.asNaive())
	t.Logf("starts on the bad worker: %d, naive %d", bad, naive)
	gm.Expect(naive).To(BeNumerically(">=", 200))
	gm.Expect(bad).To(BeNumerically("<=", 2*maxUnprovenTasks))
	gm.Expect(si.scheduler(0).suspendedWorkers()).To(Equal(1))
	gm.Expect(si.startsOn["worker-1"]).To(BeNumerically(">", 100))

	// After the fault has ended, a probe ends the suspension.
	si.workers[0].failAll = false
	si.advance(2*minProbeWait, func() {
		si.submit(0, Demand{Kind: "check", Processors: 2}, runs(2, 200*time.Millisecond))
	})
	gm.Expect(si.scheduler(0).suspendedWorkers()).To(BeZero())
	gm.Expect(si.startsOn["worker-0"]).To(BeNumerically(">", 50))
}

// TestFailingJobsSuspendNoWorker guards against the suspension of healthy
// workers because a job, or a kind of single-task jobs, fails on every worker.
func TestFailingJobsSuspendNoWorker(t *testing.T) {
	for name, job := range map[string]ids.JobID{"one job": "job-1", "one kind": ""} {
		gm := NewWithT(t)
		si := newSim(defaultSim)
		good := func() {
			si.submit(0, Demand{Team: "good", Kind: "check"}, runs(1, 100*time.Millisecond))
		}
		si.advance(time.Second, good)
		for i := range 540 {
			task := TaskID(fmt.Sprintf("bad/%d", i))
			si.submit(0, Demand{Task: task, Job: job, Kind: "broken"}, truth{size: size{1, 256, 0}, run: 20 * time.Millisecond, fail: true})
		}
		si.waitOf["good"] = nil
		si.advance(5*time.Second, good)
		gm.Expect(si.scheduler(0).suspendedWorkers()).To(BeZero(), name)
		gm.Expect(quantile(si.waitOf["good"], 0.99)).To(BeNumerically("<=", 20*time.Millisecond), name)
		gm.Expect(si.waiting).To(BeEmpty(), name)
	}
}

// TestWrongSizesAreLearned guards against the use of wrong declared sizes: too
// small ones overload workers, too large ones leave them idle.
func TestWrongSizesAreLearned(t *testing.T) {
	for _, tc := range []struct {
		name           string
		declared, real ids.Cores
	}{{"too small", 1, 8}, {"too large", 16, 1}} {
		run := func(opt simOptions) (float64, int) {
			si := newSim(opt)
			arrive := func() {
				for len(si.waiting) < 50 {
					si.submit(0, Demand{Kind: "match", Processors: tc.declared}, runs(float64(tc.real), 500*time.Millisecond))
				}
			}
			si.advance(3*time.Second, arrive)
			si.busySteps, si.overSteps = 0, 0
			before := len(si.waits)
			si.advance(5*time.Second, arrive)
			return si.overShare(), len(si.waits) - before
		}
		gm := NewWithT(t)
		over, started := run(defaultSim)
		naiveOver, naiveStarted := run(defaultSim.asNaive())
		t.Logf("%s: over %.3f, naive %.3f; started %d, naive %d", tc.name, over, naiveOver, started, naiveStarted)
		gm.Expect(over).To(BeNumerically("<", 0.01), tc.name)
		switch tc.declared {
		case 1: // 10 workers of 16 cores run 20 tasks of 8 cores twice a second
			gm.Expect(naiveOver).To(BeNumerically(">", 0.9))
			gm.Expect(started).To(BeNumerically(">", 150), tc.name)
		default:
			gm.Expect(started).To(BeNumerically(">", 5*naiveStarted), tc.name)
		}
	}
}

// TestBurstOfOneTeam guards against a burst that delays the other 39 teams by
// more than the length of one of its tasks, and against room that stays idle
// although a team has queued tasks beyond its entitlement.
func TestBurstOfOneTeam(t *testing.T) {
	gm := NewWithT(t)
	const length = time.Second
	run := func(opt simOptions) (longest time.Duration, borrowed int) {
		si := newSim(opt)
		for range 2000 {
			si.submit(0, Demand{Team: "burst", Kind: "match", Processors: 2}, runs(2, length))
		}
		si.advance(5*length/2, nil)
		for _, wk := range si.workers {
			borrowed += len(wk.running)
		}
		for i := range 39 {
			si.submit(0, Demand{Team: ids.TeamID(fmt.Sprintf("team-%d", i)), Kind: "check", Processors: 2}, runs(2, 100*time.Millisecond))
		}
		si.advance(30*length, nil)
		for i := range 39 {
			longest = max(longest, quantile(si.waitOf[ids.TeamID(fmt.Sprintf("team-%d", i))], 1))
		}
		return longest, borrowed
	}
	longest, borrowed := run(defaultSim)
	naiveLongest, _ := run(defaultSim.asNaive())
	t.Logf("longest wait of the others: %v, naive %v", longest, naiveLongest)
	gm.Expect(longest).To(BeNumerically("<=", length))
	gm.Expect(borrowed).To(Equal(80), "10 workers of 16 cores hold 80 tasks of 2 cores")
	gm.Expect(naiveLongest).To(BeNumerically(">", 10*length))
}

// TestQuotasHoldUnderContention guards against quotas without effect: teams
// that all have queued tasks get the shares of their quotas.
func TestQuotasHoldUnderContention(t *testing.T) {
	gm := NewWithT(t)
	si := newSim(defaultSim)
	si.scheduler(0).setTeams(map[ids.TeamID]configuration.Team{
		"large": {Processors: 120}, "small": {Processors: 40},
	})
	running := map[ids.TeamID]int{}
	si.advance(5*time.Second, func() {
		waiting := map[ids.TeamID]int{}
		for _, st := range si.waiting {
			waiting[st.dm.Team]++
		}
		for _, team := range []ids.TeamID{"small", "large"} {
			for ; waiting[team] < 200; waiting[team]++ {
				si.submit(0, Demand{Team: team, Kind: "check"}, runs(1, 300*time.Millisecond))
			}
		}
	})
	for _, wk := range si.workers {
		for _, st := range wk.running {
			running[st.dm.Team]++
		}
	}
	gm.Expect(running["large"]).To(BeNumerically("~", 120, 4))
	gm.Expect(running["small"]).To(BeNumerically("~", 40, 4))
}

// TestLargeTaskIsNotStarved guards against a task as large as a worker that
// never starts, because smaller tasks take all room that comes free.
func TestLargeTaskIsNotStarved(t *testing.T) {
	gm := NewWithT(t)
	si := newSim(defaultSim)
	flood := func() {
		for len(si.waiting) < 300 {
			si.submit(0, Demand{Team: "flood", Kind: "check"}, runs(1, time.Duration(500+si.rng.IntN(500))*time.Millisecond))
		}
	}
	si.advance(2*time.Second, flood)
	si.submit(0, Demand{Team: "large", Kind: "realign", Processors: 16}, runs(16, time.Second))
	si.advance(2*time.Second, flood)
	gm.Expect(si.waitOf["large"]).To(HaveLen(1))
	gm.Expect(si.waitOf["large"][0]).To(BeNumerically("<=", time.Second), "the maximum length of the tasks before it")
}

// TestStragglersAndRacks guards against tasks on a straggler while faster
// workers are free, and against a job whose tasks all run in one rack.
func TestStragglersAndRacks(t *testing.T) {
	gm := NewWithT(t)
	si := newSim(defaultSim)
	si.workers[3].slow = 8
	si.advance(10*time.Second, func() {
		si.submit(0, Demand{Kind: "check"}, runs(1, 100*time.Millisecond))
	})
	gm.Expect(si.startsOn["worker-3"]).To(BeNumerically("<", 40), "an equal share would be 200")

	racks := map[ids.RackID]int{}
	si.onStart = func(_ *simTask, wk *simWorker) { racks[wk.vm.Rack]++ }
	for i := range 10 {
		si.submit(0, Demand{Task: TaskID(fmt.Sprintf("spread/%d", i)), Job: "spread", Kind: "check"}, runs(1, time.Second))
	}
	si.advance(10*time.Millisecond, nil)
	gm.Expect(racks).To(HaveLen(5))
	for rack, n := range racks {
		gm.Expect(n).To(BeNumerically("<=", 3), string(rack))
	}
}

// TestPauseLosesNoTasks guards against an entry that reports the tasks of all
// workers as lost after a pause, because no worker has answered during it.
func TestPauseLosesNoTasks(t *testing.T) {
	gm := NewWithT(t)
	di := New(Options{Board: &blackboard.Board{}})
	now := time.Now()
	for _, paused := range []bool{false, true} {
		ws := di.sched.addUnlisted(Placement{Worker: "worker-0"})
		ws.listed = true
		ws.link = &link{answeredAt: now.Add(-30 * time.Second), failures: 1}
		di.lastTick = now.Add(-tickInterval)
		if paused {
			di.lastTick = now.Add(-30 * time.Second)
		}
		di.detectPause(now)
		gm.Expect(di.lossReason(ws, ws.link, now) == "").To(Equal(paused))
	}
}
