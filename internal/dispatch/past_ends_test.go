package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// recordFailedRun records that a run has failed at its worker.
func (wo *world) recordFailedRun(ref TaskRef) {
	if wo.failedRuns[ref.Task] == nil {
		wo.failedRuns[ref.Task] = map[Run]bool{}
	}
	wo.failedRuns[ref.Task][ref.Run] = true
}

// checkFailures reports runs that a row counts as failed although they have not
// failed at their worker.
func (wo *world) checkFailures(rec JobRecord) {
	for _, name := range sortedKeys(rec.Fails) {
		id := TaskID(string(rec.ID) + "." + name)
		for _, run := range rec.Fails[name] {
			if !wo.failedRuns[id][run] {
				wo.violation("run %d of task %s counts as failed, but has not failed at its worker", run, id)
			}
		}
	}
}

// takenOver returns an entry that has taken over a stored job of two attempts whose
// former owner is gone.
func takenOver(t *testing.T, steps []Step) (*world, *Entry, *job) {
	t.Helper()
	wo, en, _ := newHolder()
	en.TableRead(TableJobs, wo.at)
	en.PutMember(Member{Self: Self{Incarnation: "other/2", Zone: "north", Size: 1}, Version: 80, Heartbeat: 1})
	en.PutRecord(JobRecord{ID: "0000000000000001", Queue: "pair", State: JobAccepted, Owner: "other/1", Epoch: 1, Version: 60})
	wo.at = wo.at.Add(time.Second)
	en.PutMember(Member{Self: Self{Incarnation: "other/2", Zone: "north", Size: 1}, Version: 90, Heartbeat: 2})
	en.claimJob(en.records["0000000000000001"], Job{ID: "0000000000000001", Stored: true, Steps: steps})
	jb := en.jobs["0000000000000001"]
	if jb == nil || jb.Queue.MaxAttempts != 2 {
		t.Fatalf("the job is not taken over with two attempts: %+v", jb)
	}
	return wo, en, jb
}

// TestPastEndsThatAreNoFailures guards against jobs that are shown as failed too
// early: an entry that had taken a job over counted runs that had been stopped or had
// lapsed with its former owner as failed attempts.
func TestPastEndsThatAreNoFailures(t *testing.T) {
	t.Parallel()
	for _, how := range []End{EndStopped, EndLapsed, EndLost, EndCrashed, EndStalled} {
		t.Run(string(how), func(t *testing.T) {
			_, en, jb := takenOver(t, []Step{{Count: 1, Need: Resources{CPU: 1000}, Estimate: time.Second}})
			task := jb.groups[0].tasks[0].id
			ends := []Ended{{Ref: TaskRef{Task: task, Run: 1}, Worker: "w", How: EndFailed}}
			for run := range Run(3) {
				ends = append(ends, Ended{Ref: TaskRef{Task: task, Run: run + 2}, Worker: "w", How: how})
			}
			en.handleAdopt("entry-00", Adopt{Worker: "w", Token: 50, Ended: ends})
			if fails := jb.stored.rec.Fails["0.0.0"]; jb.stored.rec.State != JobAccepted || len(fails) != 1 {
				t.Errorf("the job is %s after one failed and three %s runs, with %v counted as failed", jb.stored.rec.State, how, fails)
			}
			en.handleAdopt("entry-00", Adopt{Worker: "w", Token: 50, Ended: []Ended{{Ref: TaskRef{Task: task, Run: 5}, Worker: "w", How: EndFailed}}})
			if jb.stored.rec.State != JobFailed {
				t.Errorf("the job is %s after two failed runs of two", jb.stored.rec.State)
			}
		})
	}
}

// TestPastFailuresOfGang guards against a gang that is started again after all its
// attempts: an entry that had taken its job over counted the failed runs of each of
// its tasks apart.
func TestPastFailuresOfGang(t *testing.T) {
	t.Parallel()
	_, en, jb := takenOver(t, []Step{{Count: 2, Need: Resources{CPU: 1000}, Estimate: time.Second, Gang: true}})
	for num, ta := range jb.groups[0].tasks {
		if jb.stored.rec.State != JobAccepted {
			t.Errorf("the job is %s after %d failed runs of a gang, two are allowed", jb.stored.rec.State, num)
		}
		en.handlePastEnds("entry-00", PastEnds{Ends: []Ended{{Ref: TaskRef{Task: ta.id, Run: Run(num + 1)}, Worker: "w", How: EndFailed}}})
	}
	if jb.stored.rec.State != JobFailed {
		t.Errorf("the job is %s after two failed runs of a gang, two are allowed", jb.stored.rec.State)
	}
}

// TestOwnerRestartsAmongFailures guards against the same in a fleet: the workers of a
// killed entry are passed back to it while the others take over its jobs, some runs of
// which fail by their own fault.
func TestOwnerRestartsAmongFailures(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(seed+1100, 6, 24)
			wo.failShare = 0.2
			first := wo.entries["entry-00"]
			long := kind{queue: "pair", width: 3, work: 5 * time.Second, stored: true, cpu: 20}
			for at := time.Duration(0); at < 6*time.Second; at += 6 * time.Millisecond {
				wo.after(at, func() { wo.submit(first, long) })
			}
			wo.run(6 * time.Second)
			first.kill()
			wo.after(3*time.Second, func() { first.start(0.4) })
			wo.run(40 * time.Second)
			wo.check(t)
			wo.checkFailedJobs(t)
		})
	}
}

// checkFailedJobs reports jobs that are shown as failed although no task has failed
// as often as its queue allows, or has lost two runs with its workers.
func (wo *world) checkFailedJobs(t *testing.T) {
	t.Helper()
	failed := 0
	for _, id := range sortedKeys(wo.records) {
		if wo.records[id].State != JobFailed {
			continue
		}
		failed++
		if most, attempts := wo.mostFailures(id), wo.jobs[id].sub.Queue.MaxAttempts; most < attempts && !wo.mayGiveUp(id) {
			t.Errorf("job %s is shown as failed after %d failed runs of a task, %d are allowed", id, most, attempts)
		}
	}
	t.Logf("%d of %d stored jobs have failed", failed, len(wo.records))
}

// mostFailures returns the most failed runs of a task or of a gang of a job.
func (wo *world) mostFailures(id ids.JobID) int {
	most := 0
	gangs := map[string]map[Run]bool{}
	for task, runs := range wo.failedRuns {
		at, _ := parseTaskID(task)
		if at.job != id {
			continue
		}
		most = max(most, len(runs))
		if !wo.jobs[id].steps[at.step].Gang {
			continue
		}
		key := fmt.Sprint(at.occ, ".", at.step)
		if gangs[key] == nil {
			gangs[key] = map[Run]bool{}
		}
		for run := range runs {
			gangs[key][run] = true
		}
		most = max(most, len(gangs[key]))
	}
	return most
}

// TestUnstoredClaim guards against a task that two entries run: an entry that took a
// job over started its tasks although the store had not answered, and the store had
// accepted another entry as the owner.
func TestUnstoredClaim(t *testing.T) {
	t.Parallel()
	_, en, jb := takenOver(t, []Step{{Count: 1, Need: Resources{CPU: 1000}, Estimate: time.Second}})
	ta := jb.groups[0].tasks[0]
	// All holders have answered, and the runs of the former owner have stopped.
	en.readAt[TableWorkers], en.readAt[TableHolders] = en.now().Add(time.Second), en.now().Add(time.Second)
	later := en.now().Add(2 * lostTaskTimeout)
	en.rows, en.members = nil, nil
	jb.answered = map[ids.EntryID]bool{en.id: true}
	en.requeueWaiting(jb, later)
	if ta.state != taskLost {
		t.Errorf("the task is %v before the claim of its job is stored", ta.state)
	}
	en.JobStored(JobWrite{Record: jb.stored.rec.clone()}, JobWriteReply{OK: true, Version: 95})
	en.requeueWaiting(jb, later)
	if ta.state != taskQueued {
		t.Errorf("the task is %v after the claim of its job was stored", ta.state)
	}
}
