package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The properties of the workers of a small deployment.
const (
	serviceName    = "surco"
	reportEvery    = 1500 * time.Millisecond
	reportExpiry   = 3 * reportEvery
	maxHold        = time.Second
	stopTakes      = 5 * time.Millisecond
	leaseCheck     = 5 * time.Millisecond
	maxEndsListed  = 500
	headerInstance = "X-Expected-Instance"
	howDone        = "done"
	howFailed      = "failed"
	howStopped     = "stopped"
	howLapsed      = "lapsed"
)

type room struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPUs  int   `json:"gpus"`
}

// kind is what one lifetime of a worker offers.
type kind struct {
	name string
	room room
}

type runState struct {
	task    string
	run     int64
	cpu     int64
	mem     int64
	began   time.Duration
	stopped bool
	timer   *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Duration
}

// start is a task that a worker has begun on an order.
type start struct {
	at       time.Duration
	worker   string
	kind     string
	task     string
	run      int64
	cpuUsed  int64 // including the task itself and what is being stopped
	cpuRoom  int64
	lifetime int64
}

// worker is a stand-in of a runner that does not guard its room.
type worker struct {
	bd   *bed
	id   string
	zone string
	rack string

	mu       sync.Mutex
	kind     kind
	address  string
	srv      *http.Server
	grp      *group.Group
	born     int64
	bornAt   time.Time
	sequence int64
	draining bool
	token    int64
	deadline time.Duration // on the clock of the worker
	running  map[string]*runState
	highest  map[string]int64 // the highest run of a task that was stopped or has ended
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{}
	lapsed   bool
	// reportedAt is when the worker has last written its report.
	reportedAt time.Time
}

// startWorker begins a lifetime of a worker.
func (wk *worker) startLife(kd kind) error {
	address := wk.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	cfg := net.ListenConfig{}
	lis, err := cfg.Listen(wk.bd.grp.Context(), "tcp", address)
	if err != nil {
		return err
	}
	wk.mu.Lock()
	wk.kind, wk.address = kd, lis.Addr().String()
	wk.bornAt, wk.sequence, wk.draining = time.Now(), 0, false
	wk.born = wk.bornAt.UnixMilli()
	wk.token, wk.deadline, wk.lastEnd = 0, 0, 0
	wk.running, wk.highest, wk.ended = map[string]*runState{}, map[string]int64{}, nil
	wk.changed = make(chan struct{})
	wk.grp = group.New(context.Background())
	wk.srv = &http.Server{Handler: wk, ReadHeaderTimeout: maxFeedWait}
	srv, grp := wk.srv, wk.grp
	wk.mu.Unlock()
	wk.bd.rec.logf("worker %s up kind=%s cpu=%d born=%d", wk.id, kd.name, kd.room.CPU, wk.born)
	grp.Go(func(context.Context) {
		if err := srv.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			wk.bd.rec.logf("worker %s server: %v", wk.id, err)
		}
	})
	grp.Every(leaseCheck, func(context.Context) { wk.lapse() })
	wk.report()
	grp.Every(reportEvery, func(context.Context) { wk.report() })
	return nil
}

// crash ends a lifetime: nothing runs any more and no call is answered.
func (wk *worker) crash() {
	wk.mu.Lock()
	srv, grp := wk.srv, wk.grp
	wk.srv = nil
	for _, rn := range wk.running {
		rn.timer.Stop()
		wk.bd.ran(wk.id, rn, "lost")
	}
	wk.running = map[string]*runState{}
	wk.mu.Unlock()
	if srv == nil {
		return
	}
	wk.bd.rec.logf("worker %s crashed", wk.id)
	if err := srv.Close(); err != nil {
		wk.bd.rec.logf("worker %s close: %v", wk.id, err)
	}
	grp.Close()
}

type workerReport struct {
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version"`
	Capacity int      `json:"capacity"`
	State    string   `json:"state"`
	Cold     int64    `json:"coldRemainingMs"`
	Room     room     `json:"freeCapacity"`
	Labels   []string `json:"labels"`
	ClockMs  int64    `json:"clockMs"`
	Sequence int64    `json:"sequence"`
	Born     int64    `json:"born"`
}

// report writes the report of the worker to the store.
func (wk *worker) report() {
	wk.mu.Lock()
	if wk.srv == nil {
		wk.mu.Unlock()
		return
	}
	wk.sequence++
	state := "ready"
	if wk.draining {
		state = "draining"
	}
	rep := workerReport{
		Service: serviceName, Address: wk.address, Zone: wk.zone, Version: "v1", Capacity: 8, State: state, Room: wk.kind.room,
		Labels: []string{wk.kind.name, wk.rack}, ClockMs: wk.clock().Milliseconds(), Sequence: wk.sequence, Born: wk.born,
	}
	wk.reportedAt = time.Now()
	wk.mu.Unlock()
	if err := wk.bd.store.put(tableWorkers, wk.id, rep); err != nil {
		wk.bd.rec.logf("worker %s report: %v", wk.id, err)
	}
}

// leave takes the worker away after a drain.
func (wk *worker) leave(drain time.Duration) {
	wk.mu.Lock()
	wk.draining = true
	wk.mu.Unlock()
	wk.bd.rec.logf("worker %s drains", wk.id)
	wk.report()
	time.Sleep(drain)
	wk.crash()
	wk.bd.store.remove(tableWorkers, wk.id)
	wk.bd.rec.logf("worker %s has left", wk.id)
}

// clock returns the clock of the lifetime. The lock must be held.
func (wk *worker) clock() time.Duration { return time.Since(wk.bornAt) }

// ServeHTTP answers the orders of the entries.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if want := rq.Header.Get(headerInstance); want != "" && want != wk.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call struct {
		Task         string `json:"task"`
		Run          int64  `json:"run"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		AckedThrough int64  `json:"ackedThrough"`
		WaitMs       int64  `json:"waitMs"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&call); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wk.mu.Lock()
	if call.FencingToken < wk.token {
		rep := wk.reply("fence")
		wk.mu.Unlock()
		writeJSON(wr, http.StatusConflict, rep)
		return
	}
	wk.token = call.FencingToken
	status, reason := http.StatusOK, ""
	switch rq.URL.Path {
	case "/run-start":
		status, reason = wk.begin(call.Task, call.Run, call.Spec, call.DeadlineMs)
	case "/run-stop":
		wk.stop(call.Task, call.Run)
	case "/hold":
		wk.acknowledge(call.AckedThrough)
		wk.extend(call.DeadlineMs)
	default:
		status = http.StatusNotFound
	}
	rep := wk.reply(reason)
	changed, ends := wk.changed, len(wk.ended)
	wk.mu.Unlock()
	if rq.URL.Path != "/hold" {
		writeJSON(wr, status, rep)
		return
	}
	if call.WaitMs > 0 && ends == 0 {
		timer := time.NewTimer(time.Duration(call.WaitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-rq.Context().Done():
			return
		}
	}
	writeJSON(wr, http.StatusOK, wk.lists())
}

type workerReply struct {
	ClockMs int64   `json:"clockMs"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"endedRuns,omitempty"`
}

// reply returns a reply without the lists. The lock must be held.
func (wk *worker) reply(reason string) workerReply {
	return workerReply{ClockMs: wk.clock().Milliseconds(), Born: wk.born, Reason: reason}
}

func (wk *worker) lists() workerReply {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	rep := wk.reply("")
	rep.Running, rep.Ended = [][]any{}, [][]any{}
	for _, rn := range wk.running {
		rep.Running = append(rep.Running, []any{rn.task, rn.run, "", 100})
	}
	for _, ed := range wk.ended[:min(maxEndsListed, len(wk.ended))] {
		rep.Ended = append(rep.Ended, []any{ed.number, ed.task, ed.run, ed.how, ""})
	}
	return rep
}

// begin starts a run. The lock must be held.
func (wk *worker) begin(task string, run int64, spec string, deadlineMs int64) (int, string) {
	if rn := wk.running[task]; rn != nil && rn.run == run {
		return http.StatusOK, ""
	}
	if run <= wk.highest[task] || wk.running[task] != nil {
		wk.extend(deadlineMs)
		return http.StatusConflict, "old"
	}
	if time.Duration(deadlineMs)*time.Millisecond <= wk.clock() {
		return http.StatusConflict, "late"
	}
	wk.extend(deadlineMs)
	st, known := wk.bd.stepOf(task)
	rn := &runState{task: task, run: run, cpu: st.CPU, mem: st.MemMB, began: wk.bd.rec.now()}
	wk.running[task] = rn
	used := int64(0)
	for _, other := range wk.running {
		used += other.cpu
	}
	wk.bd.began(start{
		at: rn.began, worker: wk.id, kind: wk.kind.name, task: task, run: run, cpuUsed: used, cpuRoom: wk.kind.room.CPU, lifetime: wk.born,
	})
	if !known {
		wk.bd.rec.logf("worker %s got task=%s of no job, spec=%q", wk.id, task, spec)
	}
	took := time.Duration(st.runMs) * time.Millisecond
	if st.LongRunning {
		took = time.Hour
	}
	lifetime, how := wk.born, howDone
	if st.fails != nil && st.fails(task, run) {
		how = howFailed
	}
	rn.timer = time.AfterFunc(took, func() { wk.finish(lifetime, rn, how) })
	return http.StatusOK, ""
}

// stop stops a run. The lock must be held.
func (wk *worker) stop(task string, run int64) {
	wk.highest[task] = max(wk.highest[task], run)
	rn := wk.running[task]
	if rn == nil || rn.run != run || rn.stopped {
		return
	}
	rn.stopped = true
	lifetime := wk.born
	rn.timer.Stop()
	rn.timer = time.AfterFunc(stopTakes, func() { wk.finish(lifetime, rn, howStopped) })
}

func (wk *worker) finish(lifetime int64, rn *runState, how string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.born == lifetime && wk.running[rn.task] == rn {
		wk.end(rn, how)
	}
}

// end lists the end of a run. The lock must be held.
func (wk *worker) end(rn *runState, how string) {
	rn.timer.Stop()
	delete(wk.running, rn.task)
	wk.highest[rn.task] = max(wk.highest[rn.task], rn.run)
	wk.lastEnd++
	wk.ended = append(wk.ended, endedRun{number: wk.lastEnd, task: rn.task, run: rn.run, how: how, at: wk.bd.rec.now()})
	wk.bd.ran(wk.id, rn, how)
	close(wk.changed)
	wk.changed = make(chan struct{})
}

// acknowledge forgets ends. The lock must be held.
func (wk *worker) acknowledge(through int64) {
	for len(wk.ended) > 0 && wk.ended[0].number <= through {
		wk.bd.noted(wk.id, wk.ended[0])
		wk.ended = wk.ended[1:]
	}
}

// extend extends the leases of all runs. The lock must be held.
func (wk *worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, wk.clock()+maxHold)
	wk.deadline = max(wk.deadline, until)
}

// lapse ends all runs when the lease has expired.
func (wk *worker) lapse() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.clock() <= wk.deadline {
		wk.lapsed = false
		return
	}
	if !wk.lapsed {
		wk.lapsed = true
		wk.bd.lapsed(wk.id)
	}
	for _, rn := range wk.running {
		wk.end(rn, howLapsed)
	}
}

// load returns the CPU in use and the number of ends that are not acknowledged.
func (wk *worker) load() (int64, int) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	used := int64(0)
	for _, rn := range wk.running {
		used += rn.cpu
	}
	return used, len(wk.ended)
}

// jobOf returns the job and the step of a task.
func jobOf(task string) (string, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step := 0
	if _, err := fmt.Sscan(parts[2], &step); err != nil {
		return "", 0
	}
	return parts[0], step
}

// fail lets the first run of a job that is found end failed.
func (wk *worker) fail(job string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for _, rn := range wk.running {
		if id, _ := jobOf(rn.task); id == job {
			wk.end(rn, howFailed)
			return
		}
	}
}
