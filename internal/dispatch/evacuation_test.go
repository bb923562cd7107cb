package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// The bound on starts in an evacuated zone, the longest time between two reads of
// the requests, and the time after an entry reaches the store again within which it
// must know of them.
const (
	emuEvacuationBound = 5 * time.Second
	emuEvacuationPoll  = 2 * time.Second
	emuEvacuationCatch = 2 * time.Second
)

// emuEvacuation is the state of the requests to evacuate zones.
type emuEvacuation struct {
	changes   []EvacuationRow                    // in the order of their versions
	requested map[ids.AvailabilityZone]time.Time // when the store acknowledged the request
	cutUntil  map[ids.EntryID]time.Time          // when an entry last failed to reach the store
	// mostMoving is the largest number of tasks of a step with a limit that did not
	// run when one of them was stopped in an evacuated zone, that task included.
	mostMoving int
}

// evacuate requests the evacuation of a zone and takes it back after a time. While
// the store is down, requests fail and are repeated.
func (wo *world) evacuate(zone ids.AvailabilityZone, du time.Duration) {
	ev := &wo.evacuation
	if !wo.storeUp || !ev.requested[zone].IsZero() {
		return
	}
	wo.version++
	ev.changes = append(ev.changes, EvacuationRow{Zone: zone, Version: wo.version})
	ev.requested[zone] = wo.at
	wo.after(du, func() { wo.takeBack(zone) })
}

func (wo *world) takeBack(zone ids.AvailabilityZone) {
	if !wo.storeUp {
		wo.after(time.Second, func() { wo.takeBack(zone) })
		return
	}
	wo.version++
	wo.evacuation.changes = append(wo.evacuation.changes, EvacuationRow{Zone: zone, Version: wo.version, Removed: true})
	delete(wo.evacuation.requested, zone)
}

// loseEvacuationHistory makes all entries read all requests again.
func (wo *world) loseEvacuationHistory() {
	for _, ee := range wo.sortedEntries() {
		ee.evacuationsVersion = -1
	}
}

// evacuationRows returns the rows after a version, or the present ones for -1.
func (wo *world) evacuationRows(after Version) []EvacuationRow {
	var rows []EvacuationRow
	latest := map[ids.AvailabilityZone]EvacuationRow{}
	for _, ro := range wo.evacuation.changes {
		latest[ro.Zone] = ro
		if after >= 0 && ro.Version > after {
			rows = append(rows, ro)
		}
	}
	for _, zone := range sortedKeys(latest) {
		if after < 0 && !latest[zone].Removed {
			rows = append(rows, latest[zone])
		}
	}
	return rows
}

// pollEvacuations reads the requests to evacuate zones, at the longest interval of
// the follower.
func (ee *emuEntry) pollEvacuations(gen int) {
	wo := ee.wo
	if ee.gen != gen || !ee.alive {
		return
	}
	again := func(pause time.Duration) { wo.after(pause, func() { ee.pollEvacuations(gen) }) }
	if !wo.reachesStore(ee) {
		again(emuReadTimeout)
		return
	}
	if ee.frozen {
		again(emuPollInterval)
		return
	}
	full, version, sent := ee.evacuationsVersion < 0, wo.version, wo.at
	rows := wo.evacuationRows(ee.evacuationsVersion)
	wo.after(wo.storeTime(), func() {
		if ee.gen != gen || !ee.alive {
			return
		}
		ee.deliver(func() {
			ee.en.EvacuationsRead(rows, version, full, sent)
			ee.evacuationsVersion = version
		})
		pause := emuEvacuationPoll
		if !ee.en.EvacuationsFresh() || ee.frozen {
			pause = emuPollInterval
		}
		again(pause)
	})
}

// checkEvacuated checks that no task starts in an evacuated zone after the bound. The
// entry that has sent the order may be late only if it has not reached the store.
func (ee *emuEntry) checkEvacuated(wk *emuWorker, order StartOrder) {
	wo := ee.wo
	since := wo.evacuation.requested[wk.info.Zone]
	if since.IsZero() {
		return
	}
	if wo.at.Sub(since) <= emuEvacuationBound || !wo.reachesStore(ee) || wo.at.Sub(wo.evacuation.cutUntil[ee.id]) <= emuEvacuationCatch {
		return
	}
	wo.violation("task %v starts on %s %s after the evacuation of its zone, by %s", order.Ref, wk.info.ID, wo.at.Sub(since), ee.id)
}

// recordMove records how many tasks of a step do not run when one of them is stopped in
// an evacuated zone.
func (wo *world) recordMove(wk *emuWorker, run *emuRun) {
	at, _ := parseTaskID(run.ref.Task)
	st := wo.jobs[at.job].steps[at.step]
	if st.MaxUnavailable == 0 || run.stopping || wo.evacuation.requested[wk.info.Zone].IsZero() || wo.cancelled[at.job] {
		return
	}
	run.stopping = true
	down := st.Count
	for _, other := range wo.runsOf(at.job) {
		if !other.stopping {
			down--
		}
	}
	wo.evacuation.mostMoving = max(wo.evacuation.mostMoving, down)
}

// runsOf lists the runs of a job.
func (wo *world) runsOf(id ids.JobID) []*emuRun {
	var list []*emuRun
	for _, wk := range wo.sortedWorkers() {
		for _, run := range wk.sortedRuns() {
			if at, _ := parseTaskID(run.ref.Task); at.job == id {
				list = append(list, run)
			}
		}
	}
	return list
}

// recordCut records that an entry does not reach the store.
func (ee *emuEntry) recordCut() {
	if !ee.wo.reachesStore(ee) {
		ee.wo.evacuation.cutUntil[ee.id] = ee.wo.at
	}
}

// TestRandomEvacuations runs random schedules in which zones are evacuated and taken
// back, mixed with all other faults.
func TestRandomEvacuations(t *testing.T) {
	playSchedules(t, "evacuations", func(wo *world, t *testing.T) {
		wo.checkStored(t)
		wo.checkLasting(t)
	})
}

// evacuationSchedule runs one random schedule with load, faults and at least two
// evacuations, which may overlap.
func evacuationSchedule(wo *world) {
	wo.load(standardKinds, 0.4+0.6*wo.rnd.Float64(), 25*time.Second)
	wo.load([]kind{
		{queue: "pair", perS: 1, width: 2, work: 4 * time.Second, checkpointing: true, stored: true},
		{queue: "pair", perS: 0.3, width: 2, work: time.Second, lasting: true, stored: true},
		{queue: "fit", perS: 1, width: 3, work: 300 * time.Millisecond, gang: true, stored: true},
	}, 1, 20*time.Second)
	for range 2 {
		zone := []ids.AvailabilityZone{"north", "east", "south", "west"}[wo.rnd.IntN(4)]
		length := time.Duration((6 + 8*wo.rnd.Float64()) * float64(time.Second))
		wo.after(time.Duration(wo.rnd.Float64()*12)*time.Second, func() { wo.evacuate(zone, length) })
	}
	if wo.rnd.IntN(3) == 0 {
		wo.after(time.Duration(5+wo.rnd.Float64()*10)*time.Second, wo.loseEvacuationHistory)
	}
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*15)*time.Second, wo.randomFault)
	}
	wo.run(40 * time.Second)
}

// evacuationTest is an entry that holds the worker w in the zone north and, if
// wanted, the worker x in the zone east, and owns jobs itself.
type evacuationTest struct {
	*testing.T
	wo *world
	en *Entry
	rc *recorder
}

func newEvacuationTest(t *testing.T, others ...ids.WorkerID) *evacuationTest {
	t.Helper()
	wo, en, rc := newHolder()
	et := &evacuationTest{T: t, wo: wo, en: en, rc: rc}
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	for _, id := range others {
		et.addWorker(id, "east")
	}
	en.TableRead(TableWorkers, wo.at)
	return et
}

// addWorker makes the entry the holder of another worker.
func (et *evacuationTest) addWorker(id ids.WorkerID, zone ids.AvailabilityZone) {
	et.en.PutWorker(WorkerInfo{
		ID: id, Service: "fitdesk", Zone: zone, State: WorkerReady, Version: 6, Born: 1,
		Room: Resources{CPU: 32000, Memory: 65536},
	})
	et.en.PutHolderRow(HolderRow{Worker: id, Holder: "entry-00/1", Version: 60})
	et.en.HoldReplied(id, 60, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
}

// answer answers the holds of both workers with the runs of the given orders.
func (et *evacuationTest) answer(orders []StartOrder) {
	for id, wk := range et.en.workers {
		rep := HoldReply{Clock: wk.clockNow(et.wo.at), Born: 1}
		for _, order := range orders {
			if order.Worker == id {
				rep.Running = append(rep.Running, order.Ref)
			}
		}
		et.en.HoldReplied(id, wk.token, rep)
	}
}

// evacuate reads the request to evacuate north at a version.
func (et *evacuationTest) evacuate(version Version) {
	et.en.EvacuationsRead([]EvacuationRow{{Zone: "north", Version: version}}, version, false, et.wo.at)
}

// submit submits a job of one step and returns where its answer is stored.
func (et *evacuationTest) submit(num int, st Step, change func(sub *Submission)) *Outcome {
	out := &Outcome{}
	qu, _ := et.en.desired.Route("example", "/fit/")
	if st.Estimate == 0 {
		st.Estimate = 200 * time.Millisecond
	}
	st.Need = Resources{CPU: 16000, Memory: 64}
	sub := Submission{
		Job: Job{ID: ids.JobID(fmt.Sprintf("%016x", num)), Payload: "cpu=16000", Steps: []Step{st}}, Queue: qu, Arrived: et.wo.at,
		Done: func(answer Outcome) { *out = answer },
	}
	if change != nil {
		change(&sub)
	}
	et.en.Submit(sub)
	return out
}

// confirm makes the workers confirm all starts that were sent.
func (et *evacuationTest) confirm() {
	for _, order := range et.rc.starts {
		et.en.StartReplied(order.Worker, order.Token, order.Ref, StartReply{Started: true, Clock: order.Until})
	}
}

// TestEvacuationSet guards against a set of evacuated zones that an older one
// replaces, or that keeps a zone after its row was removed.
func TestEvacuationSet(t *testing.T) {
	t.Parallel()
	put := func(zone ids.AvailabilityZone, version Version) EvacuationRow {
		return EvacuationRow{Zone: zone, Version: version}
	}
	gone := func(zone ids.AvailabilityZone, version Version) EvacuationRow {
		return EvacuationRow{Zone: zone, Version: version, Removed: true}
	}
	read := func(version Version, full bool, rows ...EvacuationRow) func(et *evacuationTest) {
		return func(et *evacuationTest) { et.en.EvacuationsRead(rows, version, full, et.wo.at) }
	}
	receive := func(version Version, zones ...ids.AvailabilityZone) func(et *evacuationTest) {
		return func(et *evacuationTest) { et.en.Receive("entry-01", Evacuations{Version: version, Zones: zones}) }
	}
	rows := []struct {
		name  string
		steps []func(et *evacuationTest)
		want  string
	}{
		{"a row", []func(*evacuationTest){read(5, false, put("north", 5))}, "[north] 5"},
		{"several rows in any order", []func(*evacuationTest){read(9, false, put("east", 9), gone("north", 8), put("north", 7))}, "[east] 9"},
		{"a removed row", []func(*evacuationTest){read(5, false, put("north", 5)), read(6, false, gone("north", 6))}, "[] 6"},
		{"a repeated change", []func(*evacuationTest){read(6, false, put("north", 5), gone("north", 6)), read(6, false, put("north", 5))}, "[] 6"},
		{"lost history: absent rows count as removed", []func(*evacuationTest){
			read(6, false, put("north", 5), put("east", 6)), read(20, true, put("east", 6)),
		}, "[east] 20"},
		{"lost history, no change", []func(*evacuationTest){read(5, false, put("north", 5)), read(20, true, put("north", 5))}, "[north] 5"},
		{"a newer set of another entry", []func(*evacuationTest){read(5, false, put("north", 5)), receive(7, "east")}, "[east] 7"},
		{"an older set of another entry", []func(*evacuationTest){read(5, false, put("north", 5)), receive(4, "east")}, "[north] 5"},
		{"an older full read after a newer set", []func(*evacuationTest){receive(30, "east"), read(20, true, put("north", 5))}, "[east] 30"},
		{"a set from before this entry's own read", []func(*evacuationTest){read(20, true), receive(7, "east")}, "[] 0"},
		{"a full read with a later change on its second page", []func(*evacuationTest){
			read(20, true, put("east", 22)), read(22, false, gone("north", 21), put("east", 22)),
		}, "[east] 22"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			et := newEvacuationTest(t)
			for _, step := range row.steps {
				step(et)
			}
			if got := fmt.Sprint(sortedKeys(et.en.evac.zones), " ", et.en.EvacuationVersion()); got != row.want {
				t.Errorf("the set and its version are %s, want %s", got, row.want)
			}
		})
	}
}

// TestEvacuationsBehind guards against an entry without the store that never learns
// of an evacuation, and one that asks for what it has read itself.
func TestEvacuationsBehind(t *testing.T) {
	t.Parallel()
	et := newEvacuationTest(t)
	asked := func() int {
		return len(slices.DeleteFunc(slices.Clone(et.rc.sent), func(msg Message) bool { _, ok := msg.(AskEvacuations); return !ok }))
	}
	et.en.EvacuationsRead(nil, 20, true, et.wo.at)
	for range 10 {
		et.en.HandlePeerEvacuations("entry-01", 7)
		et.wo.tick(et.en, 100*time.Millisecond)
	}
	if asked() > 0 {
		t.Error("the set is requested although this entry has read a later one")
	}
	for range 10 {
		et.en.HandlePeerEvacuations("entry-01", 25)
		et.wo.tick(et.en, 100*time.Millisecond)
	}
	if count := asked(); count < 1 || count > 2 {
		t.Errorf("the set is requested %d times in a second, want once or twice", count)
	}
}

// TestFreshEvacuations guards against starts in a zone that was evacuated while an
// entry was paused or not started yet.
func TestFreshEvacuations(t *testing.T) {
	t.Parallel()
	et := newEvacuationTest(t)
	et.en.SessionUp("entry-01", "entry-01/1")
	et.en.InboundUp("entry-01", 1)
	et.wo.at = et.wo.at.Add(time.Second)
	beforePause := et.wo.at.Add(-time.Millisecond)
	et.en.DetectPause()
	et.en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	et.en.InboundUp("entry-01", 2)
	old := et.en.evac.number
	et.submit(1, Step{Count: 1}, nil)
	et.en.EvacuationsRead(nil, 30, false, beforePause)
	et.en.Receive("entry-01", Evacuations{Number: old - 1})
	et.wo.tick(et.en, 40*time.Millisecond)
	if len(et.rc.starts) > 0 || len(et.en.Load().Free) > 0 {
		t.Error("a task is started after a pause, before the evacuated zones are known")
	}
	ask, ok := et.rc.sent[len(et.rc.sent)-1].(AskEvacuations)
	if !ok {
		t.Fatalf("the last message is %T, want a request for the evacuated zones", et.rc.sent[len(et.rc.sent)-1])
	}
	et.rc.sent = nil
	et.en.Receive("entry-01", AskEvacuations{Number: 9})
	if len(et.rc.sent) > 0 {
		t.Error("an entry that may have missed an evacuation has answered another one")
	}
	et.en.Receive("entry-01", Evacuations{Number: ask.Number})
	et.wo.tick(et.en, 40*time.Millisecond)
	if len(et.rc.starts) == 0 {
		t.Error("no task is started after another entry has sent the evacuated zones")
	}
}

// TestEvacuatedWorker guards against work that a holder gives to a worker of an
// evacuated zone: new tasks, repeated orders and reserved room.
func TestEvacuatedWorker(t *testing.T) {
	t.Parallel()
	et := newEvacuationTest(t)
	et.en.SessionUp("entry-01", "entry-01/1")
	et.en.InboundUp("entry-01", 1)
	sh := Shape{Service: "fitdesk", Need: Resources{CPU: 16000}, Estimate: time.Second, InTime: 5 * time.Second, Late: 9 * time.Second}
	et.en.Receive("entry-01", Start{Group: 3, Job: "0000000000000001", Shape: sh, Tasks: []Assignment{{TaskRef: TaskRef{Task: "0000000000000001.0.0.0", Run: 1}}}})
	et.en.Receive("entry-01", Want{Group: 4, Job: "0000000000000002", Count: 1, Shape: sh})
	if len(et.rc.starts) != 1 || len(et.en.grants) != 1 {
		t.Fatalf("%d starts and %d grants before the evacuation, want one of each", len(et.rc.starts), len(et.en.grants))
	}
	et.evacuate(5)
	if len(et.en.grants) != 0 || len(et.en.Load().Free) != 0 {
		t.Error("room in an evacuated zone is still reserved or reported")
	}
	et.wo.tick(et.en, 150*time.Millisecond)
	if len(et.rc.starts) != 1 {
		t.Errorf("the order is sent %d times, although its zone is evacuated", len(et.rc.starts))
	}
	et.en.Receive("entry-01", Start{Group: 5, Job: "0000000000000003", Shape: sh, Tasks: []Assignment{{TaskRef: TaskRef{Task: "0000000000000003.0.0.0", Run: 1}}}})
	if len(et.rc.starts) != 1 {
		t.Error("a task is started in an evacuated zone")
	}
	et.en.EvacuationsRead([]EvacuationRow{{Zone: "north", Version: 6, Removed: true}}, 6, false, et.wo.at)
	if len(et.en.grants) != 1 {
		t.Error("the waiting task gets no room in the zone that was taken back")
	}
}

// TestEvacuatedRuns guards against runs in an evacuated zone that are stopped
// without need, and those that stay although they could continue elsewhere.
func TestEvacuatedRuns(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name    string
		step    Step
		room    bool // elsewhere
		ran     time.Duration
		stopped int
	}{
		{"short task", Step{Count: 1, Checkpointing: true}, true, 0, 0},
		{"long task without checkpoints", Step{Count: 1, Estimate: time.Minute}, true, 0, 0},
		{"long task with checkpoints", Step{Count: 1, Estimate: time.Minute, Checkpointing: true}, true, 0, 1},
		{"long task with checkpoints, no room", Step{Count: 1, Estimate: time.Minute, Checkpointing: true}, false, 0, 0},
		{"long task that ends within the bound", Step{Count: 1, Estimate: 10 * time.Second, Checkpointing: true}, true, 6 * time.Second, 0},
		{"gang", Step{Count: 2, Estimate: time.Minute, Checkpointing: true, Gang: true}, true, 0, 0},
		{"long-running tasks", Step{Count: 2, Lasting: true}, true, 0, 2},
		{"long-running tasks, no room", Step{Count: 2, Lasting: true}, false, 0, 0},
		{"long-running tasks, one of which may be unavailable", Step{Count: 2, Lasting: true, MaxUnavailable: 1}, true, 0, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			et := newEvacuationTest(t)
			et.submit(1, row.step, func(sub *Submission) { sub.Job.Stored = row.step.Lasting })
			if row.step.Lasting {
				et.en.JobStored(JobWrite{Record: et.en.jobs["0000000000000001"].stored.rec}, JobWriteReply{OK: true, Version: 70})
			}
			et.wo.tick(et.en, 40*time.Millisecond)
			if len(et.rc.starts) != row.step.Count {
				t.Fatalf("%d tasks are started on the only worker, want %d", len(et.rc.starts), row.step.Count)
			}
			et.confirm()
			if row.room {
				et.addWorker("x", "east")
			}
			for range row.ran / (100 * time.Millisecond) {
				et.wo.tick(et.en, 100*time.Millisecond)
				et.answer(et.rc.starts)
			}
			et.evacuate(80)
			for range 10 {
				et.wo.tick(et.en, 30*time.Millisecond)
				et.answer(et.rc.starts[:row.step.Count])
			}
			refs := map[TaskRef]bool{}
			for _, order := range et.rc.stops {
				refs[order.Ref] = true
			}
			if len(refs) != row.stopped {
				t.Errorf("%d runs are stopped, want %d", len(refs), row.stopped)
			}
		})
	}
}

// TestDrainedRuns guards against a draining worker whose long-running tasks are all
// stopped at the same time, although their step limits how many may be unavailable.
func TestDrainedRuns(t *testing.T) {
	t.Parallel()
	for limit, want := range []int{2, 1, 2} {
		et := newEvacuationTest(t)
		et.submit(1, Step{Count: 2, Lasting: true, MaxUnavailable: limit}, func(sub *Submission) { sub.Job.Stored = true })
		et.en.JobStored(JobWrite{Record: et.en.jobs["0000000000000001"].stored.rec}, JobWriteReply{OK: true, Version: 70})
		et.wo.tick(et.en, 40*time.Millisecond)
		et.confirm()
		et.addWorker("x", "east")
		info := et.en.known["w"].info
		info.State, info.Version = WorkerDraining, 10
		et.en.PutWorker(info)
		for range 10 {
			et.wo.tick(et.en, 30*time.Millisecond)
			et.answer(et.rc.starts[:2])
		}
		refs := map[TaskRef]bool{}
		for _, order := range et.rc.stops {
			refs[order.Ref] = true
		}
		if len(refs) != want {
			t.Errorf("%d runs on a draining worker are stopped with limit %d, want %d", len(refs), limit, want)
		}
	}
}

// TestEvacuatedJobs guards against callers that wait for workers that no task may
// use, and against stored or timed jobs that are lost because of an evacuation.
func TestEvacuatedJobs(t *testing.T) {
	t.Parallel()
	timed := func(sub *Submission) {
		sub.Job.Repeat = Repeat{Count: 1, First: sub.Arrived.UnixMilli() + 500, Interval: time.Second}
	}
	rows := []struct {
		name    string
		workers []ids.WorkerID // in the zone that is not evacuated
		label   string
		change  func(sub *Submission)
		refused bool
	}{
		{"all workers of the service are evacuated", nil, "", nil, true},
		{"another zone has workers", []ids.WorkerID{"x"}, "", nil, false},
		{"all workers with the label are evacuated", []ids.WorkerID{"x"}, "large", nil, true},
		{"no worker has the label", []ids.WorkerID{"x"}, "none", nil, false},
		{"a timed job", nil, "", timed, false},
		{"a stored job", nil, "", func(sub *Submission) { sub.Job.Stored = true }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			et := newEvacuationTest(t, row.workers...)
			info := et.en.known["w"].info
			info.Labels, info.Version = []string{"large"}, 10
			et.en.PutWorker(info)
			et.wo.at = et.wo.at.Add(100 * time.Millisecond)
			et.evacuate(5)
			out := et.submit(1, Step{Count: 1, Requirement: row.label}, row.change)
			if refused := out.Kind == Refused && out.Reason == "evacuated" && out.RetryAfter >= retryAfterEvacuated; refused != row.refused {
				t.Errorf("the answer is %+v; refused because of the evacuation is to be %v", out, row.refused)
			}
		})
	}
	t.Run("a waiting job when the evacuation begins", func(t *testing.T) {
		et := newEvacuationTest(t)
		et.submit(1, Step{Count: 2}, nil)
		out := et.submit(2, Step{Count: 1}, nil)
		et.evacuate(5)
		if out.Reason != "evacuated" {
			t.Errorf("the answer is %+v, want a refusal", out)
		}
	})
}

// TestAdviceOutsideEvacuatedZones guards against an owner that asks for advice about
// workers that may run nothing.
func TestAdviceOutsideEvacuatedZones(t *testing.T) {
	t.Parallel()
	et := newEvacuationTest(t, "x")
	et.evacuate(5)
	if list := et.en.workersToAsk(&group{shape: Shape{Service: "fitdesk"}}, "step"); len(list) != 1 || list[0] != "x" {
		t.Errorf("advice is requested about %v, want x, which is not evacuated", list)
	}
}

// TestWantsOutsideEvacuatedZones guards against an owner that asks only the holders
// of its own zone for room, when that zone is evacuated.
func TestWantsOutsideEvacuatedZones(t *testing.T) {
	t.Parallel()
	et := newEvacuationTest(t)
	for num := range 20 {
		id, zone := fmt.Sprintf("entry-%02d", num+1), ids.AvailabilityZone("north")
		if num >= 15 {
			zone = "east"
		}
		inc := ids.Incarnation(id + "/1")
		et.en.PutMember(Member{Self: Self{Incarnation: inc, Zone: zone}, Version: 5})
		et.en.SessionUp(ids.EntryID(id), inc)
		et.en.InboundUp(ids.EntryID(id), 1)
		wid := ids.WorkerID("worker-" + id)
		et.en.PutWorker(WorkerInfo{ID: wid, Service: "fitdesk", Zone: zone, State: WorkerReady, Version: 5})
		et.en.PutHolderRow(HolderRow{Worker: wid, Holder: inc, Version: 5})
	}
	asked := func() int {
		count := 0
		for _, id := range et.en.wantTargets(Shape{}) {
			if et.en.zoneOf(id) == "east" {
				count++
			}
		}
		return count
	}
	if count := asked(); count != 0 {
		t.Errorf("%d of the holders that are asked are in another zone, want none without an evacuation", count)
	}
	et.evacuate(90)
	if count := asked(); count != 5 {
		t.Errorf("%d holders outside the evacuated zone are asked, want all 5", count)
	}
}

// TestEvacuations evacuates a zone under load, with one fault at a time. It guards
// against starts in the zone after the bound (see checkEvacuated), runs that stay
// there although there is room elsewhere, steps of which too many tasks are moved at
// a time, and a zone that is not used again.
func TestEvacuations(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world)
	}{
		{"no fault", func(*world) {}},
		{"two zones at a time", func(wo *world) { wo.evacuate("west", 12*time.Second) }},
		{"entries cut off from the store learn of it from others", func(wo *world) {
			wo.storeCut["entry-00"], wo.storeCut["entry-04"] = true, true
			wo.after(12*time.Second, func() { clear(wo.storeCut) })
		}},
		{"an entry starts while the zone is evacuated", func(wo *world) {
			wo.after(5*time.Second, wo.entries["entry-00"].kill)
			wo.after(6*time.Second, func() { wo.entries["entry-00"].start(0.4) })
		}},
		{"an entry is paused when the zone is evacuated", func(wo *world) { wo.entries["entry-04"].freeze(7 * time.Second) }},
		{"a holder dies", func(wo *world) { wo.after(time.Second, wo.entries["entry-00"].kill) }},
		{"history lost", func(wo *world) { wo.after(3*time.Second, wo.loseEvacuationHistory) }},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+900, 7, 48)
			for num := range 8 {
				wo.after(time.Duration(num)*200*time.Millisecond, func() {
					ee := wo.sortedEntries()[num%7]
					wo.submit(ee, kind{queue: "pair", width: 3, work: time.Second, lasting: true, stored: true, unavailable: 1})
					wo.submit(ee, kind{queue: "pair", width: 2, work: 15 * time.Second, checkpointing: true, stored: true})
				})
			}
			wo.load(standardKinds, 0.3, 25*time.Second)
			wo.run(7 * time.Second)
			row.fault(wo)
			wo.evacuate("north", 12*time.Second)
			wo.run(11 * time.Second)
			for _, wk := range wo.sortedWorkers() {
				if left := len(wk.runs); wk.info.Zone == "north" && left > 0 {
					t.Errorf("%d runs are left on %s after 11 s, among them %v", left, wk.info.ID, wk.sortedRuns()[0].ref)
				}
			}
			wo.run(14 * time.Second)
			wo.check(t)
			if wo.checkLasting(t) == 0 || wo.resumed == 0 {
				t.Errorf("%d runs were resumed from checkpoints, want some", wo.resumed)
			}
			if most := wo.evacuation.mostMoving; most != 1 {
				t.Errorf("up to %d tasks of a step were stopped in the zone at a time, want 1", most)
			}
			used := 0
			for _, wk := range wo.sortedWorkers() {
				if at := wk.startedAt; wk.info.Zone == "north" && wo.at.Sub(at) < 13*time.Second {
					used++
				}
			}
			if used < 6 {
				t.Errorf("%d of the 12 workers are used after the zone was taken back, want half of them at least", used)
			}
		})
	}
}

// TestEvacuationLargeFleet guards against owners in an evacuated zone of a large fleet
// that find no room: most of their neighbours hold workers of the same zone.
func TestEvacuationLargeFleet(t *testing.T) {
	t.Parallel()
	const entries = 60
	wo := largeWorld(990, entries)
	wo.run(4 * time.Second)
	wo.evacuate("north", 20*time.Second)
	wo.run(4 * time.Second)
	// Jobs arrive at entries of the evacuated zone only.
	wo.loadAt("north", standardKinds, 0.7*7*entries*loadPerWorker, 6*time.Second)
	wo.run(10 * time.Second)
	wo.check(t)
	wo.checkAnswered(t)
	if share := wo.inTimeShare(); share < 0.9 {
		t.Errorf("%.3f of the jobs were in time, want 0.90 or more: %v of %v, %v", share, wo.inTime, wo.submitted, wo.done)
	}
}

// loadAt submits jobs of the given kinds at random times to the entries of a zone.
func (wo *world) loadAt(zone ids.AvailabilityZone, kinds []kind, factor float64, du time.Duration) {
	var list []*emuEntry
	for _, ee := range wo.sortedEntries() {
		if ee.zone == zone {
			list = append(list, ee)
		}
	}
	end := wo.at.Add(du)
	for _, kd := range kinds {
		var next func()
		next = func() {
			if wo.at.After(end) {
				return
			}
			wo.submit(list[wo.rnd.IntN(len(list))], kd)
			wo.after(time.Duration(wo.rnd.ExpFloat64()/(kd.perS*factor)*float64(time.Second)), next)
		}
		wo.after(0, next)
	}
}
