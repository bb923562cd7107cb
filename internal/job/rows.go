package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

// jobRow is the value of job/<job-id>.
type jobRow struct {
	Owner    ids.Incarnation   `json:"owner"`
	Token    string            `json:"token,omitempty"`
	State    State             `json:"state"`
	Reason   string            `json:"reason,omitempty"`
	Results  []json.RawMessage `json:"results,omitempty"`
	Objects  []int             `json:"objects,omitempty"` // tasks whose results are in the object store
	Failures []TaskFailure     `json:"failures,omitempty"`
}

// logRow is the value of log/<incarnation>/<seq>. It holds what one group commit
// records in addition to the job rows.
type logRow struct {
	Token    string                  `json:"token"`
	Admitted []admission             `json:"admitted,omitempty"`
	Workers  map[ids.WorkerID]string `json:"workers,omitempty"` // addresses
	Intents  []intent                `json:"intents,omitempty"`
	Decided  []decision              `json:"decided,omitempty"`
}

// admission holds the body of a job. After an adoption it also holds the intents
// of earlier owners.
type admission struct {
	Job     json.RawMessage `json:"job"`
	Intents []intent        `json:"intents,omitempty"`
}

// intent records that tasks of a job may have been sent to a worker.
type intent struct {
	Job    ids.JobID    `json:"job,omitempty"`
	Worker ids.WorkerID `json:"worker"`
	// Address is set in admissions. For other intents the address is in
	// logRow.Workers.
	Address string `json:"address,omitempty"`
	Tasks   []int  `json:"tasks"`
}

// decision lists a job that was decided, and its tasks with results in the object
// store.
type decision struct {
	Job     ids.JobID `json:"job"`
	Objects []int     `json:"objects,omitempty"`
}

// fenceRow is the value of fence/<incarnation>.
type fenceRow struct {
	By ids.Incarnation `json:"by"`
}

const (
	logPrefix = "log/"
	// afterSeqs sorts after all sequence numbers.
	afterSeqs = ":"
)

func jobKey(id ids.JobID) string          { return "job/" + string(id) }
func fenceKey(inc ids.Incarnation) string { return "fence/" + string(inc) }

func logKey(inc ids.Incarnation, seq int64) string {
	return fmt.Sprintf("%s%s/%012d", logPrefix, inc, seq)
}

// logOwner returns the incarnation that wrote the log row with the given key.
func logOwner(key string) ids.Incarnation {
	key = strings.TrimPrefix(key, logPrefix)
	return ids.Incarnation(key[:max(0, strings.LastIndexByte(key, '/'))])
}

func resultKey(id ids.JobID, task int) string {
	return fmt.Sprintf("result/%s/%d", id, task)
}

func taskID(id ids.JobID, index int) worker.TaskID {
	return worker.TaskID(fmt.Sprintf("%s/%d", id, index))
}

func parseTaskID(task worker.TaskID) (ids.JobID, int, bool) {
	var index int
	cut := strings.LastIndexByte(string(task), '/')
	if cut < 0 {
		return "", 0, false
	}
	if _, err := fmt.Sscanf(string(task[cut+1:]), "%d", &index); err != nil {
		return "", 0, false
	}
	return ids.JobID(task[:cut]), index, true
}

// record is what one step of a job contributes to a group commit.
type record struct {
	changes   []groupcommit.Change
	admit     *admission
	intent    *intent
	placement worker.Placement
	decided   *decision
}

// Changes implements groupcommit.Record.
func (rec *record) Changes() []groupcommit.Change { return rec.changes }

// Size implements groupcommit.Record. The constants are upper bounds for the JSON
// around the values and for the digits of a task number.
func (rec *record) Size() int {
	const frame, perTask = 64, 8
	size := 0
	for _, ch := range rec.changes {
		size += len(ch.Value)
	}
	sizeOf := func(in intent) int {
		return frame + len(in.Job) + len(in.Worker) + len(in.Address) + perTask*len(in.Tasks)
	}
	if rec.admit != nil {
		size += frame + len(rec.admit.Job)
		for _, in := range rec.admit.Intents {
			size += sizeOf(in)
		}
	}
	if rec.intent != nil {
		size += sizeOf(*rec.intent) + len(rec.placement.Worker) + len(rec.placement.Address)
	}
	if rec.decided != nil {
		size += frame + len(rec.decided.Job) + perTask*len(rec.decided.Objects)
	}
	return size
}

func encodeLog(token string, recs []*record) ([]byte, error) {
	row := logRow{Token: token}
	type pair struct {
		job ids.JobID
		wk  ids.WorkerID
	}
	index := map[pair]int{}
	for _, rec := range recs {
		if rec.admit != nil {
			row.Admitted = append(row.Admitted, *rec.admit)
		}
		if rec.decided != nil {
			row.Decided = append(row.Decided, *rec.decided)
		}
		if rec.placement.Worker != "" {
			if row.Workers == nil {
				row.Workers = map[ids.WorkerID]string{}
			}
			row.Workers[rec.placement.Worker] = rec.placement.Address
		}
		if rec.intent == nil {
			continue
		}
		key := pair{rec.intent.Job, rec.intent.Worker}
		at, ok := index[key]
		if !ok {
			at = len(row.Intents)
			index[key] = at
			row.Intents = append(row.Intents, intent{Job: key.job, Worker: key.wk})
		}
		row.Intents[at].Tasks = append(row.Intents[at].Tasks, rec.intent.Tasks...)
	}
	return json.Marshal(row)
}

func logToken(raw []byte) string {
	var row struct {
		Token string `json:"token"`
	}
	_ = json.Unmarshal(raw, &row)
	return row.Token
}

// tableStore adapts the table client to package groupcommit.
type tableStore struct {
	rows Rows
}

// Commit implements groupcommit.Store. It returns ErrNotApplied for a status of
// 503, because the table service answers 503 before it applies anything.
func (st tableStore) Commit(ctx context.Context, tx groupcommit.Transaction) (int64, error) {
	out := table.Transaction{ID: tx.ID}
	for _, ck := range tx.Checks {
		out.Checks = append(out.Checks, table.Check{Key: ck.Key, Version: table.Version(ck.Version)})
	}
	for _, wt := range tx.Writes {
		out.Writes = append(out.Writes, table.Write{Key: wt.Key, Value: wt.Value, Delete: wt.Delete})
	}
	version, err := st.rows.Commit(ctx, out)
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		con := &groupcommit.ConflictError{}
		for _, row := range ce.Rows {
			con.Rows = append(con.Rows, groupcommit.Row{Key: row.Key, Version: int64(row.Version), Value: row.Value})
		}
		return 0, con
	}
	if jsonhttp.StatusOf(err) == http.StatusServiceUnavailable {
		return 0, fmt.Errorf("%w: %w", groupcommit.ErrNotApplied, err)
	}
	return int64(version), err
}
