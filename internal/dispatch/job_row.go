package dispatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// MaxStoredTasks bounds the tasks of a stored job over all its occurrences, whatever
// the store takes.
const MaxStoredTasks = 4000

// The size of a row in its shortest form, see shorten.
const (
	// rowTaskBytes is what a task takes: a run number of seven digits, a count of failed
	// runs, and what separates it from the next one.
	rowTaskBytes = 11
	// rowHeadBytes is what the rest takes.
	rowHeadBytes = 4096
)

// StoredTasks returns the most tasks that a stored job may have over all its
// occurrences, if the store takes rows of the given size as base64. The row of such a
// job fits for its whole life.
func StoredTasks(rowBytes int) int {
	return max(0, min(MaxStoredTasks, (rowBytes/4*3-rowHeadBytes)/rowTaskBytes))
}

// jobRow is the row of a stored job.
type jobRow struct {
	Queue     string          `json:"queue"`
	Service   ids.ServiceName `json:"service,omitempty"`
	State     JobState        `json:"state"`
	Owner     ids.Incarnation `json:"owner,omitempty"`
	Epoch     int64           `json:"epoch"`
	Submitted int64           `json:"submitted-unix-millis"`
	Timed     bool            `json:"timed,omitempty"`
	Lasting   bool            `json:"lasting,omitempty"`
	// LastingSteps are the steps with long-running tasks. Rows of older versions
	// lack it.
	LastingSteps []int `json:"lasting-steps,omitempty"`
	// StepTasks are the numbers of tasks of the steps. Rows of older versions lack it.
	StepTasks []int `json:"step-tasks,omitempty"`
	// Done, Fails and Latest are lists as encoded by encodeList. In rows without
	// StepTasks they are a list as encoded by encodeNamedRuns and two maps by task name.
	// An older version can't read the new form, and leaves the job to others.
	Done   json.RawMessage `json:"done,omitempty"`
	Fails  json.RawMessage `json:"fails,omitempty"`
	Latest json.RawMessage `json:"latest,omitempty"`
	// Crashes holds the runs that were lost with their workers, by task.
	Crashes map[string][]crashRow `json:"crashes,omitempty"`
}

// crashRow is a run that was lost with its worker.
type crashRow struct {
	Run    Run          `json:"run"`
	Worker ids.WorkerID `json:"worker"`
	Born   int64        `json:"born-unix-millis,omitempty"` // the lifetime of the worker
	// Confirmed is set if the worker had confirmed the run, and Alone if no other
	// task was on it.
	Confirmed bool          `json:"confirmed,omitempty"`
	Alone     bool          `json:"alone,omitempty"`
	Ran       time.Duration `json:"-"`
}

// encodeCrashes and decodeCrashes convert the crashes of a job to and from its row.
func encodeCrashes(crashes map[string][]Crash) map[string][]crashRow {
	rows := map[string][]crashRow{}
	for name, list := range crashes {
		for _, cr := range list {
			rows[name] = append(rows[name], crashRow(cr))
		}
	}
	return rows
}

func decodeCrashes(rows map[string][]crashRow) map[string][]Crash {
	crashes := map[string][]Crash{}
	for name, list := range rows {
		for _, cr := range list {
			crashes[name] = append(crashes[name], Crash(cr))
		}
	}
	return crashes
}

// EncodeJobRecord encodes the row of a job.
func EncodeJobRecord(rec JobRecord) ([]byte, error) {
	row := jobRow{
		Queue: rec.Queue, Service: rec.Service, State: rec.State, Owner: rec.Owner, Epoch: rec.Epoch, Submitted: rec.Submitted,
		Timed: rec.Timed, Lasting: rec.Lasting, LastingSteps: rec.LastingSteps, StepTasks: rec.StepTasks, Crashes: encodeCrashes(rec.Crashes),
	}
	lists, err := encodeLists(rec)
	if err != nil {
		return nil, err
	}
	for num, field := range []*json.RawMessage{&row.Done, &row.Fails, &row.Latest} {
		if lists[num] == nil {
			continue
		}
		if *field, err = json.Marshal(lists[num]); err != nil {
			return nil, err
		}
	}
	return json.Marshal(row)
}

// encodeLists returns the lists of a row: Done, Fails and Latest, nil for empty ones.
func encodeLists(rec JobRecord) ([3]any, error) {
	var lists [3]any
	if len(rec.StepTasks) == 0 {
		if len(rec.Done) > 0 {
			lists[0] = encodeNamedRuns(rec.Done)
		}
		if len(rec.Fails) > 0 {
			lists[1] = rec.Fails
		}
		if len(rec.Latest) > 0 {
			lists[2] = rec.Latest
		}
		return lists, nil
	}
	tn, err := numberTasks(rec.StepTasks)
	if err != nil {
		return lists, err
	}
	fails := make(map[string]failedRuns, len(rec.Fails))
	for name, runs := range rec.Fails {
		fails[name] = failedRuns{runs: runs, before: rec.FailsBefore[name]}
	}
	done, okDone := encodeList(tn, rec.Done, formatRun)
	failed, okFailed := encodeList(tn, fails, failedRuns.format)
	latest, okLatest := encodeList(tn, rec.Latest, formatRun)
	if !okDone || !okFailed || !okLatest {
		return lists, fmt.Errorf("job %s lists tasks that its steps of %v tasks don't have", rec.ID, rec.StepTasks)
	}
	for num, text := range []string{done, failed, latest} {
		if text != "" {
			lists[num] = text
		}
	}
	return lists, nil
}

// DecodeJobRecord decodes the row of a job.
func DecodeJobRecord(id ids.JobID, version Version, raw []byte) (JobRecord, error) {
	var row jobRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return JobRecord{}, err
	}
	rec := JobRecord{
		ID: id, Version: version, Queue: row.Queue, Service: row.Service, State: row.State, Owner: row.Owner, Epoch: row.Epoch,
		Submitted: row.Submitted, Timed: row.Timed, Lasting: row.Lasting, LastingSteps: row.LastingSteps, StepTasks: row.StepTasks,
		Crashes: decodeCrashes(row.Crashes),
	}
	if len(row.StepTasks) == 0 {
		return rec, row.decodeNamedLists(&rec)
	}
	return rec, row.decodeLists(&rec)
}

// decodeField decodes a field of a row unless the row lacks it.
func decodeField(raw json.RawMessage, val any) error {
	if len(raw) == 0 {
		return nil
	}
	return json.Unmarshal(raw, val)
}

func (row jobRow) decodeLists(rec *JobRecord) error {
	tn, err := numberTasks(row.StepTasks)
	if err != nil {
		return err
	}
	var done, failed, latest string
	if err := cmp.Or(decodeField(row.Done, &done), decodeField(row.Fails, &failed), decodeField(row.Latest, &latest)); err != nil {
		return err
	}
	if rec.Done, err = decodeList(tn, done, parseRun); err != nil {
		return err
	}
	if rec.Latest, err = decodeList(tn, latest, parseRun); err != nil {
		return err
	}
	fails, err := decodeList(tn, failed, parseFailedRuns)
	for name, fr := range fails {
		rec.setFails(name, fr)
	}
	return err
}

// decodeNamedLists decodes the lists of a row that was written by an older version.
func (row jobRow) decodeNamedLists(rec *JobRecord) error {
	var done []string
	if err := cmp.Or(decodeField(row.Done, &done), decodeField(row.Fails, &rec.Fails), decodeField(row.Latest, &rec.Latest)); err != nil {
		return err
	}
	var err error
	rec.Done, err = decodeNamedRuns(done)
	return err
}

// encodeNamedRuns encodes tasks and their runs as occurrence, step, range of indices
// and run, for example "0.0.2-17@1". Only rows of older versions have such lists.
func encodeNamedRuns(runs map[string]Run) []string {
	type taskRun struct {
		occ, step, idx int
		run            Run
	}
	cells := make([]taskRun, 0, len(runs))
	for name, run := range runs {
		if at, ok := parseTaskID(TaskID("." + name)); ok {
			cells = append(cells, taskRun{occ: at.occ, step: at.step, idx: at.idx, run: run})
		}
	}
	slices.SortFunc(cells, func(a, b taskRun) int {
		return cmp.Or(cmp.Compare(a.occ, b.occ), cmp.Compare(a.step, b.step), cmp.Compare(a.idx, b.idx))
	})
	var list []string
	for from := 0; from < len(cells); {
		to := from
		for to+1 < len(cells) && cells[to+1] == (taskRun{cells[from].occ, cells[from].step, cells[to].idx + 1, cells[from].run}) {
			to++
		}
		list = append(list, fmt.Sprintf("%d.%d.%d-%d@%d", cells[from].occ, cells[from].step, cells[from].idx, cells[to].idx, cells[from].run))
		from = to + 1
	}
	return list
}

func decodeNamedRuns(list []string) (map[string]Run, error) {
	if len(list) == 0 {
		return nil, nil
	}
	runs := map[string]Run{}
	for _, text := range list {
		var occ, step, from, to int
		var run Run
		if _, err := fmt.Sscanf(text, "%d.%d.%d-%d@%d", &occ, &step, &from, &to, &run); err != nil {
			return nil, fmt.Errorf("completed tasks: %q: %w", text, err)
		}
		if from < 0 || to >= maxRowTasks || len(runs)+max(to-from+1, 0) > maxRowTasks {
			return nil, fmt.Errorf("completed tasks: with %q they are more than %d", text, maxRowTasks)
		}
		for idx := from; idx <= to; idx++ {
			runs[fmt.Sprintf("%d.%d.%d", occ, step, idx)] = run
		}
	}
	return runs, nil
}
