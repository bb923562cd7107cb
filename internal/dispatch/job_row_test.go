package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// emuRowBytes is the size of the rows that the emulated store accepts.
const emuRowBytes = 65_536

// rowOf returns a record as an entry reads it from the store, and whether its row
// fits into the store.
func (wo *world) rowOf(rec JobRecord) (JobRecord, bool) {
	raw, err := EncodeJobRecord(rec)
	if err != nil {
		wo.violation("row of job %s: %v", rec.ID, err)
		return rec, true
	}
	read, err := DecodeJobRecord(rec.ID, rec.Version, raw)
	if err != nil {
		wo.violation("row of job %s: %v", rec.ID, err)
		return rec, true
	}
	wo.largestRow = max(wo.largestRow, len(raw))
	return read, len(raw) <= emuRowBytes
}

// TestLongScheduleTakenOver guards against an accepted job that is shown as failed
// because its row has outgrown the store. The runs of its later occurrences have
// longer numbers since it was taken over.
func TestLongScheduleTakenOver(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name         string
		steps, width int
		takeovers    int
		failShare    float64
	}{
		{"one task", 1, 1, 1, 0},
		{"one task, owners killed in turn", 1, 1, 12, 0},
		{"steps, some runs fail", 2, 5, 3, 0.2},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1120, 4, 12)
			wo.failShare = row.failShare
			wo.desired = standardDesired(2)
			for at := range wo.desired.Queues {
				wo.desired.Queues[at].MaxAttempts = 12
			}
			for _, ee := range wo.sortedEntries() {
				ee.en.Apply(wo.desired)
			}
			id := wo.submitSchedule(wo.entries["entry-00"], row.steps, row.width, MaxStoredTasks/(row.steps*row.width), 20*time.Millisecond)
			wo.run(3 * time.Second)
			for range row.takeovers {
				wo.killOwner(id, time.Second)
				wo.run(4 * time.Second)
			}
			wo.run(100 * time.Second)
			wo.check(t)
			wo.checkFailedJobs(t)
			if rec := wo.records[id]; rec.State != JobCompleted {
				t.Errorf("the job is %s with %d of %d tasks done", rec.State, len(rec.Done), MaxStoredTasks)
			}
			t.Logf("the largest row has %d bytes", wo.largestRow)
		})
	}
}

// submitSchedule submits a scheduled job of short tasks to an entry.
func (wo *world) submitSchedule(ee *emuEntry, steps, width, times int, interval time.Duration) ids.JobID {
	job, qu := wo.randomJob(kind{queue: "peek", width: 1, work: 20 * time.Millisecond, steps: steps, stored: true, repeat: times, cpu: 100})
	jb := wo.jobs[job.ID]
	job.Repeat.Interval, jb.repeat.Interval = interval, interval
	for step := range job.Steps {
		job.Steps[step].Count = width
		for occ := range times {
			for idx := range width {
				jb.length[TaskID(fmt.Sprintf("%s.%d.%d.%d", job.ID, occ, step, idx))] = 20 * time.Millisecond
			}
		}
	}
	jb.steps = job.Steps
	jb.sub = Submission{Job: job, Queue: qu, Arrived: wo.at, Done: func(Outcome) {}}
	ee.en.Submit(jb.sub)
	return job.ID
}

// killOwner kills the owner of a stored job and starts it again after a pause.
func (wo *world) killOwner(id ids.JobID, pause time.Duration) {
	ee := wo.entries[wo.records[id].Owner.Entry()]
	if ee == nil || !ee.alive || ee.frozen {
		return
	}
	ee.kill()
	ee.startAfter(pause)
}

// randomRecord returns a record of a job of the given number of tasks, each of which is
// done or has failed, in runs of many owners.
func randomRecord(rnd *rand.Rand, state JobState, tasks int) JobRecord {
	rec := JobRecord{
		ID: "0000000000000001", Queue: strings.Repeat("q", 100), Service: ids.ServiceName(strings.Repeat("s", 100)), State: state,
		Owner: "edge-somewhere-17/4442a5ca-fc6e-42e3-9a6a-c31e7a24cbd8", Epoch: 9999, Submitted: 1774523604686, Timed: true,
		Done: map[string]Run{}, Crashes: map[string][]Crash{}, Latest: map[string]Run{},
	}
	total := 1 + rnd.IntN(20)
	for left := total; left > 0; {
		count := 1 + rnd.IntN(left)
		rec.StepTasks = append(rec.StepTasks, count)
		left -= count
	}
	// The share of the tasks that are done, and in which order they are, varies.
	share, alternate := rnd.Float64(), rnd.IntN(3) == 0
	num := 0
	for occ := range tasks / total {
		for step, count := range rec.StepTasks {
			for idx := range count {
				name := fmt.Sprintf("%d.%d.%d", occ, step, idx)
				run := Run(1_000_000 + rnd.Int64N(9_000_000))
				num++
				switch {
				case (alternate && num%2 == 0) || (!alternate && rnd.Float64() < share):
					rec.Done[name] = run
				case state.ended():
					rec.Latest[name] = run
				default:
					for range 1 + rnd.IntN(99) {
						rec.setFails(name, failedRuns{runs: append(rec.Fails[name], run)})
						run += Run(1 + rnd.Int64N(3))
					}
				}
				if len(rec.Crashes) < maxRecordedTasks {
					rec.Crashes[name] = []Crash{{Run: run, Worker: "i-7000", Born: 1774523604686, Confirmed: true}}
				}
			}
		}
	}
	return rec
}

// TestShortRowsFit guards against accepted jobs that outgrow the store: in its
// shortest form the row of a job must fit, whatever has happened to its tasks.
func TestShortRowsFit(t *testing.T) {
	t.Parallel()
	for _, rowBytes := range []int{emuRowBytes, 32_768, 8_192} {
		tasks := StoredTasks(rowBytes)
		if rowBytes == emuRowBytes && tasks != MaxStoredTasks {
			t.Errorf("a job may have %d tasks, want %d", tasks, MaxStoredTasks)
		}
		most := rowBytes / 4 * 3 // the store may count the bytes as base64
		largest := 0
		for seed := range uint64(60) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			rec := randomRecord(rnd, []JobState{JobAccepted, JobFailed}[seed%2], tasks)
			rec.shorten()
			raw, err := EncodeJobRecord(rec)
			if err != nil {
				t.Fatal(err)
			}
			largest = max(largest, len(raw))
			if len(raw) > most {
				t.Errorf("seed %d: a row of %d tasks has %d bytes, %d fit", seed, tasks, len(raw), most)
			}
		}
		t.Logf("the largest row of %d tasks has %d bytes, %d fit", tasks, largest, most)
	}
}

// TestRowDropsFailuresOfDoneTasks guards against rows of accepted jobs that outgrow
// the store: a task has its run that ended done or its failed runs there, never both.
func TestRowDropsFailuresOfDoneTasks(t *testing.T) {
	t.Parallel()
	_, en, jb := takenOver(t, []Step{{Count: 2, Need: Resources{CPU: 1000}, Estimate: time.Second}})
	for num, ta := range jb.groups[0].tasks {
		ends := []Ended{{Ref: TaskRef{Task: ta.id, Run: 1}, Worker: "w", How: EndFailed}, {Ref: TaskRef{Task: ta.id, Run: 2}, Worker: "w", How: EndDone}}
		en.handlePastEnds("entry-00", PastEnds{Ends: ends[:2-num]})
	}
	rec := jb.stored.rec
	if rec.Done["0.0.0"] != 2 || rec.failures("0.0.0") != 0 || rec.failures("0.0.1") != 1 {
		t.Errorf("the row lists %v as done and %v as failed", rec.Done, rec.Fails)
	}
}

// TestCancelOfFullRow guards against a cancelling that is refused, because the row of
// the job fits only once it is shortened and another entry than its owner cancels it.
func TestCancelOfFullRow(t *testing.T) {
	t.Parallel()
	wo := standardWorld(1160, 3, 12)
	rec := randomRecord(rand.New(rand.NewPCG(1, 5)), JobAccepted, MaxStoredTasks)
	rec.Owner = wo.entries["entry-00"].inc
	if _, fits := wo.rowOf(rec); fits {
		t.Fatal("the row is too small for this test")
	}
	wo.version++
	rec.Version = wo.version
	wo.records[rec.ID], wo.changes = rec, append(wo.changes, rec)
	wo.run(time.Second)
	var got Outcome
	wo.entries["entry-01"].en.CancelStored(rec.ID, func(out Outcome) { got = out })
	wo.run(2 * time.Second)
	if got.Kind != Completed || wo.records[rec.ID].State != JobCancelled {
		t.Errorf("the cancelling is answered with %+v, the job is %s", got, wo.records[rec.ID].State)
	}
}

// TestRowKeepsRuns guards against rows that are read as other runs than were written.
func TestRowKeepsRuns(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		rec := randomRecord(rnd, []JobState{JobAccepted, JobFailed}[seed%2], MaxStoredTasks)
		for _, runs := range []map[string]Run{rec.Done, rec.Latest} {
			// Equal runs of consecutive tasks share an item.
			for name := range runs {
				if rnd.IntN(2) == 0 {
					runs[name] = 1
				}
			}
		}
		if seed%4 == 0 {
			rec.shorten()
		}
		raw, err := EncodeJobRecord(rec)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJobRecord(rec.ID, rec.Version, raw)
		if err != nil {
			t.Fatal(err)
		}
		if !maps.Equal(got.Done, rec.Done) || !maps.Equal(got.Latest, rec.Latest) || !maps.Equal(got.FailsBefore, rec.FailsBefore) ||
			!maps.EqualFunc(got.Fails, rec.Fails, slices.Equal[[]Run]) || !slices.Equal(got.StepTasks, rec.StepTasks) {
			t.Errorf("seed %d: a row is not read as it was written", seed)
		}
	}
}

// TestRowOfOlderVersion guards against jobs that are started again, because the row
// that an older version has written is not understood.
func TestRowOfOlderVersion(t *testing.T) {
	t.Parallel()
	raw := []byte(`{"queue":"fit","state":"accepted","owner":"e/1","epoch":2,"submitted-unix-millis":5,"done":["0.0.2-4@1","1.0.0-0@2001"],
		"fails":{"1.0.1":[2001,2002]},"latest":{"1.0.2":2003}}`)
	want := JobRecord{
		ID: "j", Version: 7, Queue: "fit", State: JobAccepted, Owner: "e/1", Epoch: 2, Submitted: 5,
		Done:  map[string]Run{"0.0.2": 1, "0.0.3": 1, "0.0.4": 1, "1.0.0": 2001},
		Fails: map[string][]Run{"1.0.1": {2001, 2002}}, Latest: map[string]Run{"1.0.2": 2003}, Crashes: map[string][]Crash{},
	}
	rec, err := DecodeJobRecord("j", 7, raw)
	if err != nil || !reflect.DeepEqual(rec, want) {
		t.Fatalf("the row is read as %+v, %v", rec, err)
	}
	// An entry that cancels the job of another one writes the row as it has read it.
	again, err := EncodeJobRecord(rec)
	if err != nil {
		t.Fatal(err)
	}
	if rec, err = DecodeJobRecord("j", 7, again); err != nil || !reflect.DeepEqual(rec, want) {
		t.Errorf("the row is written as %s, %v", again, err)
	}
}

// TestRowBounds guards against an entry that runs out of memory because of a
// malformed row of a job.
func TestRowBounds(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"0.0.0-99999999999@1", "0.0.-5-1@1", "0.0.0-65536@1"} {
		if runs, err := decodeNamedRuns([]string{text}); err == nil {
			t.Errorf("%q is decoded as %d tasks, want an error", text, len(runs))
		}
	}
	if runs, err := decodeNamedRuns([]string{"0.0.0-65535@1"}); err != nil || len(runs) != maxRowTasks {
		t.Errorf("%d tasks, %v", len(runs), err)
	}
	tn, err := numberTasks([]int{1})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"1x65537", "1x65536 1", "65536+1", "-1+1", "1x-1", "1x99999999999999999999", "x", "1+", "65000+1x600"} {
		if runs, err := decodeList(tn, text, parseRun); err == nil {
			t.Errorf("%q is decoded as %d tasks, want an error", text, len(runs))
		}
	}
	if runs, err := decodeList(tn, "1x65536", parseRun); err != nil || len(runs) != maxRowTasks {
		t.Errorf("%d tasks, %v", len(runs), err)
	}
	for _, counts := range [][]int{{0}, {-1, 2}, {maxRowTasks, 1}} {
		if _, err := numberTasks(counts); err == nil {
			t.Errorf("steps of %v tasks are accepted", counts)
		}
	}
}

// TestRowKeepsLastingSteps guards against a holder that handles a short task as
// a long-running one, because the row of the job does not list the long-running
// steps.
func TestRowKeepsLastingSteps(t *testing.T) {
	t.Parallel()
	rows := [][]int{nil, {1}, {0, 2}}
	for _, steps := range rows {
		raw, err := EncodeJobRecord(JobRecord{ID: "0000000000000001", State: JobAccepted, Lasting: true, LastingSteps: steps})
		if err != nil {
			t.Fatal(err)
		}
		rec, err := DecodeJobRecord("0000000000000001", 0, raw)
		if err != nil {
			t.Fatal(err)
		}
		if !rec.Lasting || !slices.Equal(rec.LastingSteps, steps) {
			t.Errorf("long-running steps %v are decoded from the row as %v", steps, rec.LastingSteps)
		}
	}
}

// TestRowKeepsCrashes guards against an owner that starts a task which crashes its
// workers again, because the row of its job does not name the crashes.
func TestRowKeepsCrashes(t *testing.T) {
	t.Parallel()
	want := Crash{Run: 1001, Worker: "w-1", Born: 1774523604686, Confirmed: true, Alone: true}
	raw, err := EncodeJobRecord(JobRecord{ID: "0000000000000001", State: JobAccepted, Crashes: map[string][]Crash{"0.0.1": {want}}})
	if err != nil {
		t.Fatal(err)
	}
	rec, err := DecodeJobRecord("0000000000000001", 0, raw)
	if err != nil {
		t.Fatal(err)
	}
	if got := rec.Crashes["0.0.1"]; len(got) != 1 || got[0] != want {
		t.Errorf("the crashes are decoded from the row as %+v", rec.Crashes)
	}
}

// FuzzJobRow guards against a row of a job that ends the process, or that takes
// far more memory decoded than in the store.
func FuzzJobRow(f *testing.F) {
	f.Add([]byte(`{"state":"accepted","done":["0.0.2-17@1"],"crashes":{"0.0.1":[{"run":1}]}}`))
	f.Add([]byte(`{"done":["0.0.9223372036854775806-9223372036854775807@1"]}`))
	f.Add([]byte(`{"step-tasks":[1,3],"done":"1x3 2+2001","fails":"3+1,2002/7","latest":"4+9x2"}`))
	f.Add([]byte(`{"step-tasks":[65536],"done":"1x65536","fails":"65535+1"}`))
	var many []string
	for num := range 300 {
		many = append(many, fmt.Sprintf(`"0.%d.0-%d@1"`, num, maxRowTasks-1))
	}
	f.Add([]byte(`{"done":[` + strings.Join(many, ",") + `]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec, err := DecodeJobRecord("j", 0, raw)
		if err != nil {
			return
		}
		if len(rec.Done) > maxRowTasks {
			t.Fatalf("%d completed tasks in a row, a job has %d at most", len(rec.Done), maxRowTasks)
		}
		for name := range rec.Fails {
			rec.knowsFailure(name, 1)
		}
	})
}
