package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestRetainedEndAfterRestart guards against an end of a stored job that is
// acknowledged before it is stored. The row of another job, whose end had the
// same number in an earlier lifetime of the worker, turns out not to exist.
func TestRetainedEndAfterRestart(t *testing.T) {
	t.Parallel()
	wo, en, _ := newHolder()
	wk := en.workers["w"]
	earlier := EndedRun{Number: 1, Ref: TaskRef{Task: "0000000000000001.0.0.0", Run: 1}, How: EndDone}
	later := EndedRun{Number: 1, Ref: TaskRef{Task: "0000000000000002.0.0.0", Run: 1}, How: EndDone}
	en.retainEnd(wk, earlier)
	wo.at = wo.at.Add(jobRowInterval)
	en.requestJobRow(wk, 1, wo.at)
	wk.retained = map[int64]retainedEnd{}
	en.retainEnd(wk, later)
	en.JobLoaded("0000000000000001", JobLoad{})
	if wk.retained[1].absent {
		t.Error("the end of a later run counts as that of a job that is not stored")
	}
}

// holdEnds returns a single entry that holds a worker which lists the given ends of a
// job that another entry owns.
func holdEnds(ends ...EndedRun) (*world, *Entry, *recorder, JobRecord) {
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	rec := JobRecord{ID: "0000000000000001", State: JobAccepted, Owner: "other/1", Version: 60, StepTasks: []int{2}}
	en.PutRecord(rec)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Ended: ends})
	return wo, en, rc, rec
}

// TestFailedEndOfDoneTask guards against a worker that can't forget any end, because
// the first one is a failed run of a task that is done: an owner that learns first that
// the task is done does not store its earlier failures.
func TestFailedEndOfDoneTask(t *testing.T) {
	t.Parallel()
	task := TaskID("0000000000000001.0.0.0")
	wo, en, rc, rec := holdEnds(EndedRun{Number: 1, Ref: TaskRef{Task: task, Run: 1}, How: EndFailed})
	wo.tick(en, time.Second)
	if last := rc.holds[len(rc.holds)-1]; last.Acked != 0 {
		t.Errorf("the end is acknowledged before anything is stored")
	}
	rec.Version, rec.Done = 70, map[string]Run{"0.0.0": 2}
	en.PutRecord(rec)
	wo.tick(en, time.Second)
	en.hold(en.workers["w"])
	if last := rc.holds[len(rc.holds)-1]; last.Acked != 1 {
		t.Errorf("the ends up to %d are acknowledged, want 1", last.Acked)
	}
}

// TestEndsOfNextLifetime guards against a task that is started again although its end
// was acknowledged: a hold with the number of an end in the earlier lifetime of a worker
// made the next one forget its first ends, which nobody had seen.
func TestEndsOfNextLifetime(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	last := func() int64 { return rc.holds[len(rc.holds)-1].Acked }
	clock := WorkerTime(time.Minute)
	reply := func(rep HoldReply) {
		clock += WorkerTime(TickInterval)
		rep.Clock, rep.Born = clock, 1
		en.HoldReplied("w", 50, rep)
		wo.tick(en, time.Second)
	}
	end := EndedRun{Number: 7, Ref: TaskRef{Task: "1-1", Run: 1}, How: EndDone}
	reply(HoldReply{})
	if reply(HoldReply{Ended: []EndedRun{end}}); last() != 7 {
		t.Errorf("the hold after an end acknowledges the ends up to %d, want 7", last())
	}
	if reply(HoldReply{Failed: true}); last() != 0 {
		t.Errorf("the hold after one that got lost acknowledges the ends up to %d", last())
	}
	if reply(HoldReply{Ended: []EndedRun{end}}); last() != 7 {
		t.Errorf("the hold after the next answer acknowledges the ends up to %d, want 7", last())
	}
	if reply(HoldReply{}); last() != 0 {
		t.Errorf("a hold acknowledges the ends up to %d again", last())
	}
}

// TestPendingEndsSentAgain guards against ends that stay on the list of a worker
// because the message that named them got lost, or because the entry that got it did
// not own the job yet.
func TestPendingEndsSentAgain(t *testing.T) {
	t.Parallel()
	var ends []EndedRun
	for num := range int64(3) {
		how := []End{EndFailed, EndDone, EndLapsed}[num]
		ends = append(ends, EndedRun{Number: num + 1, Ref: TaskRef{Task: TaskID(fmt.Sprintf("0000000000000001.0.0.%d", num%2)), Run: Run(num + 1)}, How: how})
	}
	wo, en, rc, _ := holdEnds(ends...)
	rc.sent = nil
	wo.tick(en, 10*time.Second)
	counts := map[TaskRef]int{}
	for _, msg := range rc.sent {
		if pe, ok := msg.(PastEnds); ok {
			for _, ed := range pe.Ends {
				counts[ed.Ref]++
			}
		}
	}
	for num, er := range ends {
		if got := counts[er.Ref]; (er.How == EndLapsed) != (got == 0) || got > 10 {
			t.Errorf("end %d, %s, is sent %d times in 10 s to the owner of its job", num+1, er.How, got)
		}
	}
}

// TestSchedulesAmongKills guards against ends that are never taken note of, and jobs
// that stand still behind them: owners of scheduled jobs are killed one after the
// other while some runs fail.
func TestSchedulesAmongKills(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(seed+1140, 4, 12)
			wo.failShare = 0.1
			var schedules []ids.JobID
			for range 12 {
				schedules = append(schedules, wo.submitSchedule(wo.entries["entry-00"], 1, 8, 240, 200*time.Millisecond))
			}
			for num := range 6 {
				wo.after(time.Duration(6*num+6)*time.Second, func() { wo.killOwner(schedules[0], time.Second) })
			}
			wo.load([]kind{{queue: "peek", perS: 20, width: 4, work: 400 * time.Millisecond, steps: 2, stored: true, cpu: 500}}, 1, 40*time.Second)
			wo.run(52 * time.Second)
			wo.checkEndsForgotten()
			wo.run(18 * time.Second)
			wo.checkEndsForgotten()
			wo.check(t)
			wo.checkStored(t)
			wo.checkFailedJobs(t)
		})
	}
}

// emuEndWait is the time after which a worker should have forgotten an end.
const emuEndWait = 10 * time.Second

// checkEndsForgotten finds workers that still list an end that they have listed for
// long.
func (wo *world) checkEndsForgotten() {
	for _, wk := range wo.sortedWorkers() {
		if !wk.up || len(wk.endedRuns) == 0 {
			continue
		}
		if er := wk.endedRuns[0]; wo.at.Sub(wk.endedAt[er.Number]) > emuEndWait {
			wo.violation("worker %s still lists %d ends, the first for %s: %s of run %d of task %s", wk.info.ID, len(wk.endedRuns),
				wo.at.Sub(wk.endedAt[er.Number]), er.How, er.Ref.Run, er.Ref.Task)
		}
	}
}
