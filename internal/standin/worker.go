package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// WorkerOptions are the settings of a worker stand-in.
type WorkerOptions struct {
	ID           string
	Processors   ids.Cores
	Memory       ids.Megabytes
	Accelerators int
	UsageLag     time.Duration
}

// WorkerFaults are the faults of a worker stand-in.
type WorkerFaults struct {
	// FailAll fails every task right after its start.
	FailAll bool `json:"fail-all,omitempty"`
	// RefuseAll refuses every start.
	RefuseAll bool `json:"refuse-all,omitempty"`
	// SlowFactor multiplies run times (a straggler); 0 means 1.
	SlowFactor float64 `json:"slow-factor,omitempty"`
	// DropStartReplies starts the task, but closes the connection without a
	// reply.
	DropStartReplies bool `json:"drop-start-replies,omitempty"`
}

// TaskPayload is the task payload of a worker stand-in. It holds the actual
// behaviour and resource use of the task, which may differ from the declared
// values.
type TaskPayload struct {
	RunMillis    int64         `json:"run-millis"`
	Answer       string        `json:"answer"`
	Fail         bool          `json:"fail,omitempty"`
	Processors   ids.Cores     `json:"processors,omitempty"`
	Memory       ids.Megabytes `json:"memory-mb,omitempty"`
	Accelerators int           `json:"accelerators,omitempty"`
}

// WorkerCounts are the counters of a worker stand-in.
type WorkerCounts struct {
	Starts  map[worker.TaskID]int `json:"starts"`
	Stopped int64                 `json:"stopped"`
	Lapsed  int64                 `json:"lapsed"`
}

type runningTask struct {
	task       worker.Task
	payload    TaskPayload
	report     worker.Report
	startedAt  time.Time
	leaseUntil time.Time
	cancel     context.CancelFunc
	share      float64
}

// Worker is a stand-in that runs tasks under leases. It starts every task
// without checking its capacity. Tasks slow down when together they use more
// processors than the worker has.
type Worker struct {
	opt    WorkerOptions
	faults atomic.Pointer[WorkerFaults]
	router chi.Router
	grp    *group.Group

	mu    sync.Mutex
	tasks map[worker.TaskID]*runningTask
	// running holds the unfinished tasks. Resource use is summed over it rather
	// than over tasks, because a sum over all tasks ever started makes each start
	// slower than the one before.
	running map[worker.TaskID]*runningTask
	// finished holds the reports of finished tasks by owner, in the order in
	// which the tasks finished; allOwners has the reports of all owners.
	finished  map[ids.Incarnation][]worker.Report
	wake      chan struct{}
	counts    WorkerCounts
	samples   []worker.Usage
	sampledAt []time.Time
}

// NewWorker returns a worker.
func NewWorker(opt WorkerOptions) *Worker {
	wk := &Worker{
		opt:      opt,
		router:   chi.NewRouter(),
		grp:      group.New(context.Background()),
		tasks:    map[worker.TaskID]*runningTask{},
		running:  map[worker.TaskID]*runningTask{},
		finished: map[ids.Incarnation][]worker.Report{},
		wake:     make(chan struct{}),
		counts:   WorkerCounts{Starts: map[worker.TaskID]int{}},
	}
	wk.faults.Store(&WorkerFaults{})
	wk.router.Post("/tasks", wk.start)
	wk.router.Get("/tasks/{id}", wk.get)
	wk.router.Delete("/tasks/{id}", wk.stop)
	wk.router.Post("/tasks/{id}/throttle", wk.throttle)
	wk.router.Post("/tasks/{id}/checkpoint", func(http.ResponseWriter, *http.Request) {})
	wk.router.Get("/finished", wk.listFinished)
	wk.router.Post("/leases", jsonhttp.Handle(wk.renew))
	wk.router.Get("/usage", jsonhttp.Handle(wk.reportUsage))
	wk.router.Put("/control/faults", faultsHandler(&wk.faults))
	wk.router.Get("/control/counts", jsonhttp.Handle(func(context.Context, jsonhttp.None) (WorkerCounts, error) {
		return wk.Counts(), nil
	}))
	wk.grp.Every(usageInterval, func(context.Context) { wk.sampleUsage() })
	return wk
}

const (
	usageInterval = 100 * time.Millisecond
	// allOwners is the value of an omitted owner parameter.
	allOwners ids.Incarnation = ""
)

// Close stops every task.
func (wk *Worker) Close() {
	wk.grp.Close()
}

// ServeHTTP serves the worker's protocol.
func (wk *Worker) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	wk.router.ServeHTTP(wr, req)
}

// SetFaults replaces the faults.
func (wk *Worker) SetFaults(faults WorkerFaults) {
	wk.faults.Store(&faults)
}

// Counts returns a copy of the counters.
func (wk *Worker) Counts() WorkerCounts {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	out := wk.counts
	out.Starts = make(map[worker.TaskID]int, len(wk.counts.Starts))
	for id, n := range wk.counts.Starts {
		out.Starts[id] = n
	}
	return out
}

func (wk *Worker) start(wr http.ResponseWriter, req *http.Request) {
	var task worker.Task
	if err := jsonhttp.Decode(req, &task); err != nil {
		jsonhttp.WriteError(wr, err)
		return
	}
	faults := *wk.faults.Load()
	if faults.RefuseAll {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusConflict, "worker-refused", "the worker refuses tasks", "use another worker", 0))
		return
	}
	var payload TaskPayload
	if len(task.Payload) > 0 {
		if err := json.Unmarshal(task.Payload, &payload); err != nil {
			payload = TaskPayload{Fail: true}
		}
	}
	report := wk.startTask(task, payload, faults)
	if faults.DropStartReplies {
		dropReply(wr)
		return
	}
	jsonhttp.Write(wr, http.StatusCreated, report)
}

func (wk *Worker) startTask(task worker.Task, payload TaskPayload, faults WorkerFaults) worker.Report {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.counts.Starts[task.ID]++
	ctx, cancel := context.WithCancel(wk.grp.Context())
	rt := &runningTask{
		task:       task,
		payload:    payload,
		report:     worker.Report{ID: task.ID, State: worker.StateRunning},
		startedAt:  time.Now(),
		leaseUntil: time.Now().Add(time.Duration(task.LeaseMillis) * time.Millisecond),
		cancel:     cancel,
		share:      1,
	}
	wk.tasks[task.ID] = rt
	wk.running[task.ID] = rt
	wk.grp.Go(func(context.Context) { wk.run(ctx, rt, faults) })
	return rt.report
}

// run simulates the task in steps, so that changes of its throttling, its lease
// and the number of tasks that share the processors take effect while it runs.
func (wk *Worker) run(ctx context.Context, rt *runningTask, faults WorkerFaults) {
	const maxStep = 20 * time.Millisecond
	defer rt.cancel()
	remaining := time.Duration(rt.payload.RunMillis) * time.Millisecond
	if faults.SlowFactor > 0 {
		remaining = time.Duration(float64(remaining) * faults.SlowFactor)
	}
	if faults.FailAll {
		remaining = 0
	}
	for remaining > 0 && ctx.Err() == nil {
		speed := wk.speed(rt)
		if speed == 0 {
			wk.finish(rt, worker.StateStopped, "the lease has lapsed")
			return
		}
		step := min(maxStep, time.Duration(float64(remaining)/speed))
		began := time.Now()
		group.Sleep(ctx, step)
		remaining -= time.Duration(float64(time.Since(began)) * speed)
	}
	switch {
	case ctx.Err() != nil:
		wk.finish(rt, worker.StateStopped, "stopped")
	case faults.FailAll || rt.payload.Fail:
		wk.finish(rt, worker.StateFailed, "the task failed")
	default:
		wk.finish(rt, worker.StateDone, "")
	}
}

// speed returns the speed of the task as a fraction of full speed, or 0 if its
// lease has expired.
func (wk *Worker) speed(rt *runningTask) float64 {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if rt.task.LeaseMillis > 0 && time.Now().After(rt.leaseUntil) {
		wk.counts.Lapsed++
		return 0
	}
	var used ids.Cores
	for _, other := range wk.running {
		used += orDeclared(other.payload.Processors, other.task.Processors)
	}
	share := rt.share
	if wk.opt.Processors > 0 && used > wk.opt.Processors {
		share *= float64(wk.opt.Processors / used)
	}
	return max(share, 0.01)
}

func (wk *Worker) currentUsage() worker.Usage {
	var use worker.Usage
	for id, rt := range wk.running {
		tu := worker.TaskUsage{
			ID:           id,
			Kind:         rt.task.Kind,
			Processors:   orDeclared(rt.payload.Processors, rt.task.Processors),
			Memory:       orDeclared(rt.payload.Memory, rt.task.Memory),
			Accelerators: orDeclared(rt.payload.Accelerators, rt.task.Accelerators),
		}
		use.Processors += tu.Processors
		use.Memory += tu.Memory
		use.Accelerators += tu.Accelerators
		use.Tasks = append(use.Tasks, tu)
	}
	return use
}

func orDeclared[T ids.Cores | ids.Megabytes | int](actual, declared T) T {
	if actual != 0 {
		return actual
	}
	return declared
}

func (wk *Worker) finish(rt *runningTask, state worker.State, reason string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if rt.report.State != worker.StateRunning {
		return
	}
	rt.report.State = state
	rt.report.Error = reason
	rt.report.RanMillis = time.Since(rt.startedAt).Milliseconds()
	if state == worker.StateDone {
		rt.report.Result, _ = json.Marshal(rt.payload.Answer)
	}
	if state == worker.StateStopped {
		wk.counts.Stopped++
	}
	delete(wk.running, rt.task.ID)
	wk.finished[allOwners] = append(wk.finished[allOwners], rt.report)
	if rt.task.Owner != allOwners {
		wk.finished[rt.task.Owner] = append(wk.finished[rt.task.Owner], rt.report)
	}
	close(wk.wake)
	wk.wake = make(chan struct{})
}

func (wk *Worker) findTask(req *http.Request) (*runningTask, bool) {
	rt, ok := wk.tasks[worker.TaskID(pathParam(req, "id"))]
	return rt, ok
}

func (wk *Worker) get(wr http.ResponseWriter, req *http.Request) {
	wk.mu.Lock()
	rt, ok := wk.findTask(req)
	var report worker.Report
	if ok {
		report = rt.report
	}
	wk.mu.Unlock()
	if !ok {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusNotFound, "no-such-task", "the worker does not know the task", "check the id", 0))
		return
	}
	jsonhttp.Write(wr, http.StatusOK, report)
}

func (wk *Worker) stop(wr http.ResponseWriter, req *http.Request) {
	wk.mu.Lock()
	if rt, ok := wk.findTask(req); ok {
		rt.cancel()
	}
	wk.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

func (wk *Worker) throttle(wr http.ResponseWriter, req *http.Request) {
	var tr worker.ThrottleRequest
	if err := jsonhttp.Decode(req, &tr); err != nil {
		jsonhttp.WriteError(wr, err)
		return
	}
	wk.mu.Lock()
	if rt, ok := wk.findTask(req); ok {
		rt.share = tr.Share
	}
	wk.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

func (wk *Worker) renew(_ context.Context, ren worker.Renewal) (jsonhttp.None, error) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	until := time.Now().Add(time.Duration(ren.LeaseMillis) * time.Millisecond)
	for _, id := range ren.TaskIDs {
		if rt, ok := wk.tasks[id]; ok {
			rt.leaseUntil = until
		}
	}
	return jsonhttp.None{}, nil
}

func (wk *Worker) listFinished(wr http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	owner := ids.Incarnation(query.Get("owner"))
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait-millis"), 10, 64)
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(waitMillis)*time.Millisecond)
	defer cancel()
	for {
		wk.mu.Lock()
		after = min(max(after, 0), int64(len(wk.finished[owner])))
		tasks := append([]worker.Report(nil), wk.finished[owner][after:]...)
		wake := wk.wake
		wk.mu.Unlock()
		if len(tasks) > 0 || ctx.Err() != nil {
			next := worker.Cursor(after + int64(len(tasks)))
			jsonhttp.Write(wr, http.StatusOK, worker.FinishedPage{Next: next, Tasks: tasks})
			return
		}
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
}

func (wk *Worker) sampleUsage() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.samples = append(wk.samples, wk.currentUsage())
	wk.sampledAt = append(wk.sampledAt, time.Now())
	for len(wk.sampledAt) > 1 && time.Since(wk.sampledAt[1]) >= wk.opt.UsageLag {
		wk.samples = wk.samples[1:]
		wk.sampledAt = wk.sampledAt[1:]
	}
}

func (wk *Worker) reportUsage(context.Context, jsonhttp.None) (worker.Usage, error) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if len(wk.samples) == 0 {
		return worker.Usage{}, nil
	}
	use := wk.samples[0]
	use.AgeMillis = time.Since(wk.sampledAt[0]).Milliseconds()
	return use, nil
}
