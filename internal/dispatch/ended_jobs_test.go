package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// The bounds of the users' rules on cancelled jobs.
const (
	// emuCancelTime is the time after the acknowledgement of a cancelling from which no
	// entry in touch starts a task of the job, and emuStopTime the time after that from
	// which none runs.
	emuCancelTime = 3 * time.Second
	emuStopTime   = 2 * time.Second
	// emuContactTime is the time without an impairment after which an entry is in touch.
	emuContactTime = 3 * time.Second
)

// recordDisturbance records that the process is frozen, or that it does not reach the
// store as usual.
func (ee *emuEntry) recordDisturbance() {
	wo := ee.wo
	if ee.frozen || !wo.reachesStore(ee) || wo.storeSlowdown > 1 || wo.lostReplyShare > 0 {
		ee.disturbedAt = wo.at
	}
}

// checkCancelled checks that an entry in touch starts no task of a job whose cancelling
// was acknowledged emuCancelTime ago.
func (ee *emuEntry) checkCancelled(wk *emuWorker, order StartOrder) {
	wo := ee.wo
	at, _ := parseTaskID(order.Ref.Task)
	acked := wo.cancelAckedAt[at.job]
	if acked.IsZero() || wo.at.Sub(acked) <= emuCancelTime || wo.at.Sub(ee.disturbedAt) <= emuContactTime {
		return
	}
	wo.violation("task %v starts on %s, by %s, %s after the cancelling of its job was acknowledged", order.Ref, wk.info.ID, ee.id, wo.at.Sub(acked))
}

// checkCancelledRuns checks that no task of a job runs whose cancelling was acknowledged
// long ago. There must have been no fault since.
func (wo *world) checkCancelledRuns() {
	for task, runs := range wo.runningTasks() {
		at, _ := parseTaskID(task)
		if acked := wo.cancelAckedAt[at.job]; runs > 0 && !acked.IsZero() && wo.at.Sub(acked) > emuCancelTime+emuStopTime {
			wo.violation("task %s still runs %s after the cancelling of its job was acknowledged", task, wo.at.Sub(acked))
		}
	}
}

// cancel cancels a stored job at an entry.
func (wo *world) cancel(ee *emuEntry, id ids.JobID) {
	if !ee.alive || ee.frozen {
		return
	}
	wo.cancelled[id] = true
	gen := ee.gen
	ee.en.CancelStored(id, func(out Outcome) {
		if ee.gen == gen && out.Kind == Completed && wo.cancelAckedAt[id].IsZero() {
			wo.cancelAckedAt[id] = wo.at
		}
	})
}

// chains are stored jobs of many short steps.
var chains = kind{queue: "fit", width: 4, work: 250 * time.Millisecond, steps: 40, cpu: 4000, stored: true}

// TestCancelWhileOwnerIsCutFromStore guards against tasks of cancelled jobs that go on
// being started for as long as their owner does not reach the store: the entry that has
// acknowledged the cancelling has informed the holders, or the owner, or both.
func TestCancelWhileOwnerIsCutFromStore(t *testing.T) {
	t.Parallel()
	lasting := kind{queue: "pair", width: 4, work: time.Second, cpu: 4000, lasting: true, stored: true}
	rows := []struct {
		name  string
		kd    kind
		fault func(wo *world)
	}{
		{"all have sessions", chains, func(*world) {}},
		{"no session between the owner and the entry that cancels", chains, func(wo *world) { wo.setCut("entry-00", "entry-01", true) }},
		{"long-running tasks that fail", lasting, func(wo *world) {
			wo.setCut("entry-00", "entry-01", true)
			for num := range 8 {
				wo.after(time.Duration(num)*time.Second, wo.failRuns)
			}
		}},
		{"answers to the writes of the owner are lost", chains, func(wo *world) {
			wo.entries["entry-00"].writesCut = true
			wo.after(9*time.Second, func() { wo.entries["entry-00"].writesCut = false })
		}},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1080, 3, 12)
			owner, other := wo.entries["entry-00"], wo.entries["entry-01"]
			for range 6 {
				wo.submit(owner, row.kd)
			}
			wo.run(2 * time.Second)
			row.fault(wo)
			if !owner.writesCut {
				wo.storeCut[owner.id] = true
				wo.after(9*time.Second, func() { delete(wo.storeCut, owner.id) })
			}
			wo.run(300 * time.Millisecond)
			for _, id := range sortedKeys(wo.records) {
				wo.cancel(other, id)
			}
			wo.run(8 * time.Second)
			if len(wo.cancelAckedAt) != 6 {
				t.Errorf("the cancelling of %d of 6 jobs was acknowledged", len(wo.cancelAckedAt))
			}
			wo.checkCancelledRuns()
			clear(wo.cut)
			wo.run(10 * time.Second)
			wo.checkCancelledRuns()
			wo.check(t)
			wo.checkStored(t)
		})
	}
}

// TestTasksOfEndedJob guards against a holder that starts, or goes on running, tasks of
// a job that has ended, because their owner does not know it and is not told.
func TestTasksOfEndedJob(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	en.SessionUp("entry-09", "entry-09/1")
	en.InboundUp("entry-09", 1)
	rec := JobRecord{ID: "0000000000000001", State: JobAccepted, Owner: "entry-09/1", Version: 60}
	en.PutRecord(rec)
	start := func(task TaskID) {
		en.Receive("entry-09", Start{
			Group: 1, Job: rec.ID, Shape: Shape{Service: "fitdesk", Stored: true, Need: Resources{CPU: 1000}, Estimate: time.Minute, InTime: time.Hour, Late: time.Hour},
			Tasks: []Assignment{{TaskRef: TaskRef{Task: task, Run: 1}}},
		})
	}
	news := func() int {
		count := 0
		for _, msg := range rc.sent {
			if ms, ok := msg.(JobNews); ok && ms.Record.State == JobCancelled {
				count++
			}
		}
		return count
	}
	start("0000000000000001.0.0.0")
	if len(rc.starts) != 1 {
		t.Fatalf("%d orders before the end of the job, want 1", len(rc.starts))
	}
	rec.State, rec.Version = JobCancelled, 70
	en.PutRecord(rec)
	wo.tick(en, 2*TickInterval)
	if len(rc.stops) == 0 {
		t.Error("the task of a cancelled job is not stopped")
	}
	if news() != 1 {
		t.Errorf("the owner of a running task is informed of the end of its job %d times, want once", news())
	}
	wo.tick(en, 2*ownerToldInterval)
	start("0000000000000001.0.0.1")
	if len(rc.starts) != 1 {
		t.Error("a task is started after its job was cancelled")
	}
	if news() != 2 {
		t.Error("the owner that sends a task of a cancelled job is not informed")
	}
}

// TestNoStartAfterDecidedEnd guards against an owner that starts further tasks of a job
// while the write of its cancelling has no answer: the store may have it, and another
// entry may have acknowledged it.
func TestNoStartAfterDecidedEnd(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	wo.submitStoredTask(en)
	jb := en.jobs["0000000000000001"]
	en.JobStored(JobWrite{Record: jb.stored.rec}, JobWriteReply{OK: true, Version: 60})
	en.CancelStored("0000000000000001", func(Outcome) {})
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	wo.tick(en, time.Second)
	if len(rc.starts) != 0 {
		t.Errorf("%d tasks are started after the owner was asked to cancel the job", len(rc.starts))
	}
}

// TestEndedRowDuringWrite guards against an owner that goes on with a job although it
// has read that the job has ended, because one of its own writes is never answered.
func TestEndedRowDuringWrite(t *testing.T) {
	t.Parallel()
	for _, news := range []bool{false, true} {
		wo, en, _ := newHolder()
		en.TableRead(TableJobs, wo.at)
		wo.submitStoredTask(en)
		jb := en.jobs["0000000000000001"]
		en.JobStored(JobWrite{Record: jb.stored.rec}, JobWriteReply{OK: true, Version: 60})
		en.writeJob(jb)
		row := jb.stored.rec.clone()
		row.State, row.Version = JobCancelled, 70
		if news {
			en.Receive("entry-09", JobNews{Record: row})
		} else {
			en.PutRecord(row)
		}
		if en.jobs["0000000000000001"] != nil {
			t.Errorf("news %v: the owner goes on with a cancelled job", news)
		}
		en.JobStored(JobWrite{Record: jb.stored.rec, Expected: 60}, JobWriteReply{Conflict: true, Present: &row})
		if re := en.records["0000000000000001"]; re.State != JobCancelled {
			t.Errorf("news %v: the job is shown as %s", news, re.State)
		}
	}
}

// TestRandomFaultsCancels runs random schedules in which jobs are cancelled at any entry,
// many of them while their owner is cut off from the store alone. It guards against
// tasks of cancelled jobs that are started or go on running.
func TestRandomFaultsCancels(t *testing.T) {
	playSchedules(t, "cancels", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkLasting(t)
	})
}

// cancelsSchedule runs the load and the faults of one random schedule.
func cancelsSchedule(wo *world) {
	entries := wo.sortedEntries()
	long := chains
	long.perS = 4
	wo.load(append(mixedKinds(), long), 0.1+0.2*wo.rnd.Float64(), 16*time.Second)
	for range 30 {
		wo.after(wo.span(time.Second, 20*time.Second), func() {
			wo.cancelSome(1, func(JobRecord) bool { return wo.rnd.IntN(20) == 0 })
		})
	}
	for range 3 {
		ee, begin, du := entries[wo.rnd.IntN(len(entries))], wo.span(2*time.Second, 14*time.Second), wo.span(3*time.Second, 9*time.Second)
		wo.after(begin, func() {
			wo.storeCut[ee.id] = true
			if wo.rnd.IntN(3) == 0 {
				other := entries[wo.rnd.IntN(len(entries))]
				wo.setCut(string(ee.id), string(other.id), true)
				wo.after(du, func() { wo.setCut(string(ee.id), string(other.id), false) })
			}
		})
		wo.after(begin+wo.span(0, time.Second), func() {
			wo.cancelSome(4, func(rec JobRecord) bool { return rec.Owner.Entry() == ee.id })
		})
		wo.after(begin+du, func() { delete(wo.storeCut, ee.id) })
	}
	for range 2 {
		wo.after(wo.span(time.Second, 16*time.Second), wo.randomFault)
	}
	wo.run(60 * time.Second)
	wo.checkCancelledRuns()
}

// cancelSome cancels some of the open jobs that match, each at any entry.
func (wo *world) cancelSome(most int, match func(rec JobRecord) bool) {
	entries := wo.sortedEntries()
	for _, id := range sortedKeys(wo.records) {
		if rec := wo.records[id]; most > 0 && !rec.State.ended() && match(rec) {
			most--
			wo.cancel(entries[wo.rnd.IntN(len(entries))], id)
		}
	}
}
