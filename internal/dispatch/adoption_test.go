package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// recorder records what an entry sends to workers and to other entries.
type recorder struct {
	emuEffects
	holds  []HoldOrder
	stops  []StopOrder
	starts []StartOrder
	sent   []Message
}

func (rc *recorder) Hold(order HoldOrder)              { rc.holds = append(rc.holds, order) }
func (rc *recorder) StopTask(order StopOrder)          { rc.stops = append(rc.stops, order) }
func (rc *recorder) StartTask(order StartOrder)        { rc.starts = append(rc.starts, order) }
func (rc *recorder) Send(_ ids.EntryID, msg Message)   { rc.sent = append(rc.sent, msg) }
func (rc *recorder) Commit([]RowChange)                {}
func (rc *recorder) ForgetMember(ids.EntryID, Version) {}

// newHolder returns a single entry that has just become the holder of a worker.
func newHolder() (*world, *Entry, *recorder) {
	wo := newWorld(1)
	rc := &recorder{emuEffects: emuEffects{ee: &emuEntry{wo: wo}}}
	en := New(Self{Incarnation: "entry-00/1", Zone: "north", Size: 1}, Limits{EvacuationBound: emuEvacuationBound}, rc, func() time.Time { return wo.at })
	en.Apply(standardDesired(1))
	en.EvacuationsRead(nil, 0, true, wo.at)
	en.PutWorker(WorkerInfo{
		ID: "w", Service: "fitdesk", Zone: "north", State: WorkerReady, Version: 5, Born: 1,
		Room: Resources{CPU: 32000, Memory: 65536},
	})
	en.PutHolderRow(HolderRow{Worker: "w", Holder: "entry-00/1", Version: 50})
	return wo, en, rc
}

// tick advances the clock of an entry that does not run in an emulated world.
func (wo *world) tick(en *Entry, du time.Duration) {
	for end := wo.at.Add(du); wo.at.Before(end); {
		wo.at = wo.at.Add(TickInterval)
		en.DetectPause()
		en.Tick()
	}
}

// TestNoLeaseForUnclaimedRuns guards against a run that continues under a new
// holder after its owner has started the task again. The holder can't reach the
// owner, its stops get lost, and it extends the leases on the worker.
func TestNoLeaseForUnclaimedRuns(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	rep := HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Running: []TaskRef{ref}}
	answer := func() {
		rep.Clock += WorkerTime(TickInterval)
		en.HoldReplied("w", 50, rep)
	}
	answer()
	for range 100 {
		wo.tick(en, TickInterval)
		answer()
	}
	if len(rc.stops) < 2 {
		t.Errorf("%d stops are sent for an unclaimed run while it runs, want more", len(rc.stops))
	}
	for _, order := range rc.holds {
		if order.Extend {
			t.Fatal("the lease is extended while an unclaimed run is not known to have ended")
		}
	}
	rep.Running, rep.Ended = nil, []EndedRun{{Number: 1, Ref: ref, How: EndStopped}}
	answer()
	if last := rc.holds[len(rc.holds)-1]; !last.Extend {
		t.Error("the lease is not extended after the run has ended")
	}
}

// TestHolderRestarted guards against a task that runs twice after its holder has
// been killed and restarted. The new incarnation takes its workers before it has
// sessions with the owners, and its stops of unclaimed runs get lost.
func TestHolderRestarted(t *testing.T) {
	t.Parallel()
	const entries, workers = 25, 75
	for seed := range uint64(6) {
		wo := zonedWorld(seed+500, entries, workers, emuZones[:3])
		wo.run(5 * time.Second)
		for _, ee := range wo.sortedEntries() {
			wo.submit(ee, kind{queue: "pair", width: 3, work: 3 * time.Second})
		}
		wo.run(time.Second)
		for num, ee := range wo.sortedEntries() {
			if num%4 != 0 {
				continue
			}
			for _, id := range sortedKeys(ee.en.workers) {
				wk := wo.workers[id]
				wk.lateShare = 0.9
				wo.after(3*time.Second, func() { wk.lateShare = 0 })
			}
			ee.kill()
			wo.after(100*time.Millisecond, func() { ee.start(0.4) })
		}
		wo.run(8 * time.Second)
		wo.check(t)
		t.Log(wo.done)
	}
}

// TestJobsUnreadAtTakeover guards against a task that runs twice after its holder
// has restarted and has not read the rows of jobs yet. The holder treats an
// unclaimed run as a long-running task and extends its lease.
func TestJobsUnreadAtTakeover(t *testing.T) {
	t.Parallel()
	const entries, workers = 25, 75
	for seed := range uint64(6) {
		wo := zonedWorld(seed+520, entries, workers, emuZones[:3])
		wo.run(5 * time.Second)
		for _, ee := range wo.sortedEntries() {
			wo.submit(ee, kind{queue: "pair", width: 3, work: 3 * time.Second})
		}
		wo.run(time.Second)
		wo.jobsReadDelay = 3 * time.Second
		for num, ee := range wo.sortedEntries() {
			if num%4 == 0 {
				ee.kill()
				wo.after(100*time.Millisecond, func() { ee.start(0.4) })
			}
		}
		wo.run(8 * time.Second)
		wo.check(t)
	}
}

// TestLeaseOfRunsThatMayLast guards against two faults at the holder: the lease
// of an unclaimed run is extended before the rows of jobs are read, and the lease
// of a long-running task expires although the row of its job is known.
func TestLeaseOfRunsThatMayLast(t *testing.T) {
	t.Parallel()
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	lasting := JobRecord{ID: "0000000000000001", Version: 7, State: JobAccepted, Lasting: true}
	brief := lasting
	brief.Lasting = false
	rows := []struct {
		name   string
		before *JobRecord // read before the worker is taken
		after  *JobRecord // read afterwards
		early  bool       // the lease is extended before the second read
		late   bool       // it is extended afterwards
		stops  bool
	}{
		{"the row says that it lasts", &lasting, &lasting, true, true, false},
		{"the row says so later", nil, &lasting, false, true, false},
		{"the row says later that it does not", nil, &brief, false, false, true},
		{"there is no row", nil, nil, false, false, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			wo, en, rc := newHolder()
			if row.before != nil {
				en.PutRecord(*row.before)
				en.TableRead(TableJobs, wo.at)
			}
			rep := HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Running: []TaskRef{ref}}
			extended := func() bool {
				from := len(rc.holds)
				for range 25 {
					rep.Clock += WorkerTime(TickInterval)
					en.HoldReplied("w", 50, rep)
					wo.tick(en, TickInterval)
				}
				for _, order := range rc.holds[from:] {
					if order.Extend {
						return true
					}
				}
				return false
			}
			if got := extended(); got != row.early {
				t.Errorf("before the rows of jobs are read the lease is extended: %v, want %v", got, row.early)
			}
			if row.after != nil {
				en.PutRecord(*row.after)
			}
			en.TableRead(TableJobs, wo.at)
			if got := extended(); got != row.late {
				t.Errorf("after the rows of jobs are read the lease is extended: %v, want %v", got, row.late)
			}
			if got := len(rc.stops) > 0; got != row.stops {
				t.Errorf("%d stops are sent, want some: %v", len(rc.stops), row.stops)
			}
		})
	}
}

// TestClaimBeforeLists guards against reporting a task as lost while it runs. The
// claim of its owner arrives when the holder has just taken the worker again and
// the worker has not listed its runs yet.
func TestClaimBeforeLists(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	const owner = ids.EntryID("entry-01")
	en.AddMember(Self{Incarnation: "entry-01/1", Zone: "north", Size: 1})
	en.SessionUp(owner, "entry-01/1")
	en.InboundUp(owner, 1)
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	rep := HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Running: []TaskRef{ref}}
	en.HoldReplied("w", 50, rep)
	claim := Adopted{Worker: "w", Keep: []Kept{{Ref: ref, Group: 1, Job: "0000000000000001", Shape: Shape{Need: Resources{CPU: 1000}}}}}
	en.PutHolderRow(HolderRow{Worker: "w", Holder: "entry-00/1", Version: 60})
	en.Receive(owner, claim)
	for _, msg := range rc.sent {
		if ed, ok := msg.(Ended); ok {
			t.Errorf("the owner is sent %v before the worker has listed its runs", ed)
		}
	}
	en.HoldReplied("w", 60, rep)
	en.Receive(owner, claim)
	wo.tick(en, adoptTimeout+TickInterval)
	if sl := en.workers["w"].slots[ref]; sl == nil || sl.owner != owner || sl.state != slotRunning {
		t.Errorf("after the second claim the run is %+v, want running for its owner", sl)
	}
}

// TestEndOfFormerOwnersRun guards against a task that is started again while it
// runs. Its caller has lost the first owner and has sent the job to another one,
// whose first run has the same number as that of the first owner. When a worker
// with the older run is taken over, the end of that run must not count as the end
// of the present one.
func TestEndOfFormerOwnersRun(t *testing.T) {
	t.Parallel()
	rows := []struct {
		worker ids.WorkerID
		how    End
		keeps  bool // the present run continues
	}{
		{"old", EndLapsed, true},
		{"old", EndStopped, true},
		{"old", EndFailed, true},
		{"w", EndLapsed, false},
		{"w", EndStopped, false},
	}
	for _, row := range rows {
		wo, en, rc := newHolder()
		en.TableRead(TableJobs, wo.at)
		en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
		qu, _ := en.desired.Route("example", "/pair/")
		en.Submit(Submission{
			Job: Job{ID: "0000000000000001", Payload: "cpu=1000", Steps: []Step{
				{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
			}},
			Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(10 * time.Second), Done: func(Outcome) {},
		})
		if len(rc.starts) != 1 {
			t.Fatalf("%d starts, want 1", len(rc.starts))
		}
		ref := rc.starts[0].Ref
		en.StartReplied("w", 50, ref, StartReply{Started: true})
		en.Receive("entry-01", Adopt{Worker: row.worker, Ended: []Ended{{Ref: ref, Worker: row.worker, How: row.how}}})
		_, ta := en.currentTask(ref)
		if got := ta != nil && ta.state == taskRunning; got != row.keeps {
			t.Errorf("an end %s on %s: the present run continues: %v, want %v", row.how, row.worker, got, row.keeps)
		}
		en.Receive("entry-01", Adopt{Worker: "old", Running: []TaskRef{ref}})
		if row.keeps && ta != nil && ta.worker != "w" {
			t.Errorf("the owner claims the run on %s in place of the one on w", ta.worker)
		}
	}
}

// TestJobSentToOtherEntry guards against the same fault in a fleet. Entries
// freeze, and their callers send the jobs to other entries before the workers
// of the frozen ones are taken over.
func TestJobSentToOtherEntry(t *testing.T) {
	t.Parallel()
	const entries, workers = 25, 75
	// resendPause is the pause after which a caller that has lost its connection
	// sends its job again.
	const resendPause = 1300 * time.Millisecond
	for seed := range uint64(6) {
		wo := zonedWorld(seed+540, entries, workers, emuZones[:3])
		wo.run(5 * time.Second)
		list := wo.sortedEntries()
		var lost []ids.JobID
		for num, ee := range list {
			wo.submit(ee, kind{queue: "pair", width: 3, work: 3 * time.Second})
			if num%6 == 0 {
				lost = append(lost, ids.JobID(fmt.Sprintf("%016x", wo.lastJob)))
			}
		}
		wo.run(time.Second)
		for num, ee := range list {
			if num%6 == 0 {
				ee.freeze(20 * time.Second)
			}
		}
		wo.run(resendPause)
		for num, id := range lost {
			wo.submitAgain(list[(num*6+1)%24], id)
		}
		wo.run(8 * time.Second)
		wo.check(t)
		t.Log(wo.done)
	}
}

// TestClaimFromLatestHolder guards against an owner that treats a delayed Adopt
// of a former holder as that of the present one. The former holder later
// answers that it does not have the run, and the task is started again while it
// runs at the present holder.
func TestClaimFromLatestHolder(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	qu, _ := en.desired.Route("example", "/pair/")
	en.Submit(Submission{
		Job: Job{ID: "0000000000000001", Payload: "cpu=1000", Steps: []Step{
			{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
		}},
		Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(10 * time.Second), Done: func(Outcome) {},
	})
	ref := rc.starts[0].Ref
	en.StartReplied("w", 50, ref, StartReply{Started: true})
	for _, id := range []ids.EntryID{"former", "present"} {
		en.AddMember(Self{Incarnation: ids.Incarnation(id + "/1"), Zone: "north", Size: 1})
		en.SessionUp(id, ids.Incarnation(id+"/1"))
		en.InboundUp(id, 1)
	}
	en.Receive("present", Adopt{Worker: "w", Token: 70, Running: []TaskRef{ref}})
	en.Receive("former", Adopt{Worker: "w", Token: 60, Running: []TaskRef{ref}})
	if _, ta := en.currentTask(ref); ta == nil || ta.holder != "present" {
		t.Errorf("after an Adopt of a former holder the task is %+v, want it with the present holder", ta)
	}
}

// TestCheckOfUnclaimedRun guards against a task that is started again while it
// runs. Its holder has taken the worker again and has sent Adopt. If it answers a
// Check that was in flight with EndUnknown and then receives the claim, it keeps
// the run that the owner treats as lost.
func TestCheckOfUnclaimedRun(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	const owner = ids.EntryID("entry-01")
	en.AddMember(Self{Incarnation: "entry-01/1", Zone: "north", Size: 1})
	en.SessionUp(owner, "entry-01/1")
	en.InboundUp(owner, 1)
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	rep := HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Running: []TaskRef{ref}}
	en.HoldReplied("w", 50, rep)
	reportedUnknown := func() bool {
		en.Receive(owner, Check{Refs: []TaskRef{ref}})
		for _, msg := range rc.sent {
			if ed, ok := msg.(Ended); ok && ed.How == EndUnknown {
				return true
			}
		}
		return false
	}
	if reportedUnknown() {
		t.Error("a run that the worker lists is reported as unknown while its owner is asked to claim it")
	}
	wo.tick(en, adoptTimeout+2*TickInterval)
	if reportedUnknown() {
		t.Error("a run that is being stopped is reported as unknown")
	}
	rep.Running, rep.Ended = nil, []EndedRun{{Number: 1, Ref: ref, How: EndStopped}}
	en.HoldReplied("w", 50, rep)
	if !reportedUnknown() {
		t.Error("a run that has ended is not reported as unknown")
	}
}

// TestUnlistedWorkerIsReleased guards against runs that stay on a worker after
// its holder has dropped it. The worker is no longer listed but still answers.
// The owners must be notified, also of a start without a reply, and no lease
// may be extended afterwards.
func TestUnlistedWorkerIsReleased(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	rep := HoldReply{Clock: WorkerTime(time.Minute), Born: 1}
	en.HoldReplied("w", 50, rep)
	const owner = ids.EntryID("entry-01")
	en.AddMember(Self{Incarnation: "entry-01/1", Zone: "north", Size: 1})
	en.SessionUp(owner, "entry-01/1")
	en.InboundUp(owner, 1)
	en.DropWorker("w", 0)
	// The worker answers throughout.
	for range int(storeRecovery/TickInterval) - 5 {
		wo.tick(en, TickInterval)
		rep.Clock += WorkerTime(TickInterval)
		en.HoldReplied("w", 50, rep)
	}
	en.Receive(owner, Start{
		Group: 1, Job: "0000000000000001", Payload: "cpu=1000",
		Shape: Shape{Service: "fitdesk", Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
		Tasks: []Assignment{{TaskRef: TaskRef{Task: "0000000000000001.0.0.0", Run: 1}}},
	})
	if len(rc.starts) != 1 {
		t.Fatalf("%d starts, want 1", len(rc.starts))
	}
	wo.tick(en, storeRecovery)
	if en.workers["w"] != nil {
		t.Fatal("the worker is still held")
	}
	var received []string
	for _, msg := range rc.sent {
		switch msg.(type) {
		case Running, Released, Ended:
			received = append(received, fmt.Sprintf("%T", msg))
		}
	}
	if want := []string{"dispatch.Running", "dispatch.Released"}; !slices.Equal(received, want) {
		t.Errorf("the owner is sent %v, want %v", received, want)
	}
	holds := len(rc.holds)
	wo.tick(en, time.Second)
	if len(rc.holds) > holds {
		t.Error("a hold is sent to a worker after it was dropped")
	}
}

// TestStopOfFormerOwner guards against stopping a run for an owner to which it
// does not belong. The caller has sent the job to another entry, whose run has
// the same number, while the former owner was frozen.
func TestStopOfFormerOwner(t *testing.T) {
	t.Parallel()
	for _, report := range []bool{false, true} {
		wo, en, rc := newHolder()
		en.TableRead(TableJobs, wo.at)
		en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
		ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
		en.Receive("present", Start{
			Group: 1, Job: "0000000000000001", Payload: "cpu=1000",
			Shape: Shape{Service: "fitdesk", Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
			Tasks: []Assignment{{TaskRef: ref}},
		})
		en.StartReplied("w", 50, ref, StartReply{Started: true})
		en.Receive("former", Stop{Refs: []TaskRef{ref}, Report: report})
		if sl := en.workers["w"].slots[ref]; len(rc.stops) > 0 || sl == nil || sl.owner != "present" {
			t.Errorf("report %v: after the stop of a former owner the run is %+v, %d stops are sent", report, sl, len(rc.stops))
		}
		en.Receive("present", Stop{Refs: []TaskRef{ref}, Report: report})
		if len(rc.stops) != 1 {
			t.Errorf("report %v: %d stops are sent for the present owner, want 1", report, len(rc.stops))
		}
	}
}

// TestLossReportedByFormerHolder guards against a task that is started again
// while it runs. Another entry has taken its worker, and the former holder,
// which does not reach the worker, reports the run as lost when the last lease
// that it requested has expired.
func TestLossReportedByFormerHolder(t *testing.T) {
	t.Parallel()
	rows := []struct {
		from  ids.EntryID
		how   End
		keeps bool // the run continues
	}{
		{"former", EndLost, true},
		{"present", EndLost, false},
		{"former", EndLapsed, false}, // the worker has listed the end
	}
	for _, row := range rows {
		wo, en, rc := newHolder()
		en.TableRead(TableJobs, wo.at)
		en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
		qu, _ := en.desired.Route("example", "/pair/")
		en.Submit(Submission{
			Job: Job{ID: "0000000000000001", Payload: "cpu=1000", Steps: []Step{
				{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
			}},
			Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(10 * time.Second), Done: func(Outcome) {},
		})
		ref := rc.starts[0].Ref
		en.StartReplied("w", 50, ref, StartReply{Started: true})
		for _, id := range []ids.EntryID{"former", "present"} {
			en.AddMember(Self{Incarnation: ids.Incarnation(id + "/1"), Zone: "north", Size: 1})
			en.SessionUp(id, ids.Incarnation(id+"/1"))
			en.InboundUp(id, 1)
		}
		en.Receive("former", Adopt{Worker: "w", Token: 60, Running: []TaskRef{ref}})
		en.Receive("present", Adopt{Worker: "w", Token: 70, Running: []TaskRef{ref}})
		en.Receive(row.from, Ended{Ref: ref, Worker: "w", How: row.how})
		_, ta := en.currentTask(ref)
		if got := ta != nil && ta.state == taskRunning && ta.holder == "present"; got != row.keeps {
			t.Errorf("an end %s from the %s holder: the run continues: %v, want %v", row.how, row.from, got, row.keeps)
		}
	}
}

// TestNoStopBeforeClaims guards against runs that are stopped at a hand-over
// although their owner claims them: a tick between the question to the owner and
// its answer sent the stops.
func TestNoStopBeforeClaims(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	en.AddMember(Self{Incarnation: "entry-01/1", Zone: "north", Size: 1})
	en.SessionUp("entry-01", "entry-01/1")
	en.InboundUp("entry-01", 1)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Running: []TaskRef{ref}})
	wo.tick(en, adoptTimeout-2*TickInterval)
	if len(rc.stops) > 0 {
		t.Fatal("a stop is sent before the owner has answered")
	}
	en.Receive("entry-01", Adopted{Worker: "w", Keep: []Kept{{Ref: ref, Group: 1, Job: "0000000000000001", Shape: Shape{
		Service: "fitdesk", Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second,
	}}}})
	en.Receive("entry-00", Adopted{Worker: "w"})
	wo.tick(en, 500*time.Millisecond)
	if len(rc.stops) > 0 {
		t.Error("the claimed run is stopped")
	}
}

// TestAdoptedRunTime guards against a worker that counts as many times faster
// than it is, because the run time of a task was measured from the moment at
// which a new holder found it. Tasks on the worker were then stopped as stalled
// again and again.
func TestAdoptedRunTime(t *testing.T) {
	t.Parallel()
	const before, after = 380 * time.Millisecond, 20 * time.Millisecond
	for _, ran := range []time.Duration{before, 0} {
		wo, en, _ := newHolder()
		en.TableRead(TableJobs, wo.at)
		ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
		clock := WorkerTime(time.Minute)
		en.HoldReplied("w", 50, HoldReply{Clock: clock, Born: 1, Running: []TaskRef{ref}})
		en.Receive("entry-00", Adopted{Worker: "w", Keep: []Kept{{Ref: ref, Group: 1, Job: "0000000000000001", Ran: ran, Shape: Shape{
			Service: "fitdesk", Need: Resources{CPU: 1000, Memory: 64}, Estimate: before + after, InTime: time.Second, Late: time.Second,
		}}}})
		wo.tick(en, after)
		en.HoldReplied("w", 50, HoldReply{Clock: clock, Born: 1, Ended: []EndedRun{{Number: 1, Ref: ref, How: EndDone}}})
		if factor := en.workers["w"].speed.factor(); factor < 0.95 || factor > 1.05 {
			t.Errorf("after a run of 0.4 s that was expected to take as long, the speed of the worker is %.2f, want 1", factor)
		}
	}
}

// TestRecallAfterWorkerRestart guards against a task that runs twice. Its start
// is in flight when the worker confirms a stop. The worker then restarts with
// the same ID and no longer refuses the late start.
func TestRecallAfterWorkerRestart(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	rep := HoldReply{Clock: WorkerTime(time.Minute), Born: 1}
	en.HoldReplied("w", 50, rep)
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	en.Receive("entry-00", Start{
		Group: 1, Job: "0000000000000001", Payload: "cpu=1000",
		Shape: Shape{Service: "fitdesk", Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
		Tasks: []Assignment{{TaskRef: ref}},
	})
	// The order is sent again before it is recalled.
	wo.tick(en, resendAfter+maxStarts*lossyRetry)
	if len(rc.starts) != maxStarts {
		t.Fatalf("the start is sent %d times, want %d", len(rc.starts), maxStarts)
	}
	replyToPoll := func() {
		wo.tick(en, pollTimeout+2*TickInterval)
		for _, order := range slices.Backward(rc.holds) {
			if order.PollID != 0 {
				en.PollReplied("w", 50, order.PollID, rep)
				return
			}
		}
		t.Fatal("the worker is not polled for its runs")
	}
	replyToPoll()
	if len(rc.stops) == 0 {
		t.Fatal("the start is not recalled")
	}
	en.StopReplied("w", 50, ref, true)
	rep = HoldReply{Clock: WorkerTime(time.Second), Born: 2}
	en.HoldReplied("w", 50, rep)
	replyToPoll()
	if en.workers["w"].slots[ref] == nil {
		t.Fatal("the run counts as lost although the new lifetime of the worker has not confirmed a stop of it")
	}
	replyToPoll()
	en.StopReplied("w", 50, ref, true)
	replyToPoll()
	if en.workers["w"].slots[ref] != nil {
		t.Error("the run does not count as lost although the new lifetime of the worker refuses it")
	}
	if len(rc.starts) != maxStarts {
		t.Error("the start order with a time on the clock of the earlier lifetime is sent to the new one")
	}
}

// TestPlainTaskOfLastingJob guards against a task that runs twice. It is not
// long-running but belongs to a job with long-running tasks. A new holder that
// can't reach its owner keeps it, and the owner starts it again.
func TestPlainTaskOfLastingJob(t *testing.T) {
	t.Parallel()
	const entries, workers = 25, 75
	for seed := range uint64(6) {
		wo := zonedWorld(seed+560, entries, workers, emuZones[:3])
		wo.run(5 * time.Second)
		for _, ee := range wo.sortedEntries() {
			job, qu := wo.randomJob(kind{queue: "pair", width: 3, steps: 2, work: 6 * time.Second, stored: true})
			job.Steps[1].Lasting = true
			ee.en.Submit(Submission{Job: job, Queue: qu, Arrived: wo.at, Done: func(Outcome) {}})
		}
		wo.run(time.Second)
		for num, ee := range wo.sortedEntries() {
			if num%4 == 0 {
				ee.kill()
				wo.after(100*time.Millisecond, func() { ee.start(0.4) })
			}
		}
		wo.run(12 * time.Second)
		wo.check(t)
	}
}
