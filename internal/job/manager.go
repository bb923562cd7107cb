package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/platform"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Rows reads and commits rows of the table service.
type Rows interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
}

// Options are the dependencies of a Manager.
type Options struct {
	Board       *blackboard.Board
	Rows        Rows
	Client      *http.Client
	Counters    *counter.Set
	Incarnation platform.Incarnation
	Log         zerolog.Logger
}

// Manager owns the jobs that this entry has admitted.
type Manager struct {
	opt Options
	grp *group.Group

	mu   sync.Mutex
	jobs map[platform.JobID]*ownedJob
	next int
}

type ownedJob struct {
	status Status
	done   chan struct{}
}

type jobRow struct {
	Owner  platform.Incarnation `json:"owner"`
	Status Status               `json:"status"`
}

// New returns a manager.
func New(opt Options) *Manager {
	return &Manager{opt: opt, grp: group.New(context.Background()), jobs: map[platform.JobID]*ownedJob{}}
}

// Start begins to own jobs.
func (mg *Manager) Start() {}

// Close stops the work on jobs and waits.
func (mg *Manager) Close() {
	mg.grp.Close()
}

// Submit admits a job. Submitting the same id again joins the first one.
func (mg *Manager) Submit(ctx context.Context, sub Submission) (Status, error) {
	limits := mg.opt.Board.Configuration.Load().Document.Limits
	if err := checkSubmission(sub, limits.MaxTasksPerJob); err != nil {
		return Status{}, err
	}
	if sub.ID == "" {
		sub.ID = platform.JobID(uuid.NewString())
	}
	status := Status{ID: sub.ID, State: StateRunning}
	raw, err := json.Marshal(jobRow{Owner: mg.opt.Incarnation, Status: status})
	if err != nil {
		return Status{}, err
	}
	_, err = mg.opt.Rows.Commit(ctx, table.Transaction{
		ID:     uuid.NewString(),
		Checks: []table.Check{{Key: jobKey(sub.ID), Version: table.Absent}},
		Writes: []table.Write{{Key: jobKey(sub.ID), Value: raw}},
	})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		return mg.Get(ctx, sub.ID)
	}
	if err != nil {
		return Status{}, outcome.MayHaveRun("table-unavailable", err.Error(), "ask again with the same id")
	}
	oj := &ownedJob{status: status, done: make(chan struct{})}
	mg.mu.Lock()
	mg.jobs[sub.ID] = oj
	mg.mu.Unlock()
	mg.grp.Go(func(ctx context.Context) { mg.run(ctx, sub, oj) })
	return status, nil
}

func jobKey(id platform.JobID) string {
	return "job/" + string(id)
}

// Get returns the state of a job.
func (mg *Manager) Get(ctx context.Context, id platform.JobID) (Status, error) {
	mg.mu.Lock()
	oj := mg.jobs[id]
	mg.mu.Unlock()
	if oj != nil {
		select {
		case <-oj.done:
			return oj.status, nil
		default:
			return Status{ID: id, State: StateRunning}, nil
		}
	}
	row, err := mg.opt.Rows.Get(ctx, jobKey(id))
	if err != nil {
		return Status{}, outcome.MayHaveRun("table-unavailable", err.Error(), "ask again with the same id")
	}
	if row.Version == table.Absent {
		return Status{}, outcome.Refuse(http.StatusNotFound, "unknown-job", fmt.Sprintf("job %q does not exist", id), "check the id", 0)
	}
	var jr jobRow
	if err := json.Unmarshal(row.Value, &jr); err != nil {
		return Status{}, err
	}
	return jr.Status, nil
}

// Wait returns the state of a job, after up to wait when it is not final.
func (mg *Manager) Wait(ctx context.Context, id platform.JobID, wait time.Duration) (Status, error) {
	const pollInterval = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := mg.Get(context.WithoutCancel(ctx), id)
		if err != nil || status.Final() || ctx.Err() != nil {
			return status, err
		}
		select {
		case <-ctx.Done():
		case <-mg.doneOf(id):
		case <-time.After(pollInterval):
		}
	}
}

func (mg *Manager) doneOf(id platform.JobID) <-chan struct{} {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	if oj := mg.jobs[id]; oj != nil {
		return oj.done
	}
	return nil
}

func (mg *Manager) run(ctx context.Context, sub Submission, oj *ownedJob) {
	final := Status{ID: sub.ID, State: StateComplete, Results: make([]json.RawMessage, len(sub.Tasks))}
	var wait sync.Mutex
	tasks := group.New(ctx)
	left := len(sub.Tasks)
	done := make(chan struct{})
	for i, ts := range sub.Tasks {
		tasks.Go(func(ctx context.Context) {
			result, err := mg.runTask(ctx, sub.ID, i, ts)
			wait.Lock()
			defer wait.Unlock()
			if err != nil {
				final.State = StateFailed
				final.Failures = append(final.Failures, TaskFailure{Task: i, Reason: err.Error()})
			}
			final.Results[i] = result
			if left--; left == 0 {
				close(done)
			}
		})
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	tasks.Close()
	if ctx.Err() != nil {
		return
	}
	if final.State == StateFailed {
		final.Results = nil
	}
	mg.decide(ctx, oj, final)
}

func (mg *Manager) decide(ctx context.Context, oj *ownedJob, final Status) {
	raw, err := json.Marshal(jobRow{Owner: mg.opt.Incarnation, Status: final})
	if err == nil {
		_, err = mg.opt.Rows.Commit(ctx, table.Transaction{
			ID:     uuid.NewString(),
			Writes: []table.Write{{Key: jobKey(final.ID), Value: raw}},
		})
	}
	if err != nil {
		mg.opt.Log.Error().Err(err).Str("job", string(final.ID)).Msg("job-decision-not-recorded")
		return
	}
	oj.status = final
	close(oj.done)
	mg.opt.Counters.Add(counter.Job, string(final.State), 1)
}

var errNoWorker = errors.New("no live worker")

func (mg *Manager) runTask(ctx context.Context, id platform.JobID, index int, ts TaskSpec) (json.RawMessage, error) {
	const (
		poll  = 10 * time.Millisecond
		lease = 30 * time.Second
	)
	vm, ok := mg.pick()
	if !ok {
		return nil, errNoWorker
	}
	wc := worker.NewClient("http://"+vm.Address, mg.opt.Client)
	task := worker.Task{
		ID:           worker.TaskID(fmt.Sprintf("%s/%d", id, index)),
		Kind:         ts.Kind,
		Payload:      ts.Payload,
		Processors:   ts.Processors,
		Memory:       ts.Memory,
		Accelerators: ts.Accelerators,
		RunMillis:    ts.RunMillis,
		LeaseMillis:  lease.Milliseconds(),
	}
	if err := wc.Start(ctx, task); err != nil {
		return nil, err
	}
	for {
		rep, _, err := wc.Get(ctx, task.ID)
		switch {
		case err != nil:
			return nil, err
		case rep.State == worker.StateDone:
			return rep.Result, nil
		case rep.State != worker.StateRunning:
			return nil, fmt.Errorf("the worker reports %s: %s", rep.State, rep.Error)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(poll):
		}
	}
}

func (mg *Manager) pick() (platform.VM, bool) {
	vms := mg.opt.Board.VMs.Load()
	if vms == nil || len(vms.Workers) == 0 {
		return platform.VM{}, false
	}
	mg.mu.Lock()
	defer mg.mu.Unlock()
	mg.next++
	return vms.Workers[mg.next%len(vms.Workers)], true
}
