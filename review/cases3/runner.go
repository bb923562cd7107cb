package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The bounds of a small deployment.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 1000 // milliseconds
	stopTime    = 20 * time.Millisecond
	memoryMB    = 32768
	missedBeats = 3
)

type runKey struct {
	Task string
	Run  int64
}

// run is a run of a task on a runner.
type run struct {
	key      runKey
	cpu      int64
	timer    *time.Timer
	stopping bool
}

// ended is a row of the ends that a runner lists.
type ended struct {
	number int64
	key    runKey
	how    string
}

// runner is a stand-in of a runner in the mode "request". It checks no capacity.
type runner struct {
	fl            *deployment
	id            string
	service, zone string
	labels        []string // kind and rack
	cpu           int64

	mu       sync.Mutex
	address  string
	life     *group.Group // of the present lifetime, nil while the runner is down
	born     time.Time
	sequence int64
	fence    int64
	lease    int64 // end of the lease on the runner's clock
	runs     map[runKey]*run
	last     map[string]int64 // highest run of a task that was stopped or has ended
	ends     []ended
	number   int64
	acked    int64
	changed  chan struct{}
}

// start begins a lifetime.
func (ru *runner) start(ctx context.Context) error {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	address := ru.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	ru.address, ru.born = lis.Addr().String(), time.Now()
	ru.sequence, ru.fence, ru.lease, ru.number, ru.acked = 0, 0, 0, 0, 0
	ru.runs, ru.last, ru.ends, ru.changed = map[runKey]*run{}, map[string]int64{}, nil, make(chan struct{})
	life := group.New(ctx)
	ru.life = life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", ru.handle(life, ru.startRun))
	mux.HandleFunc("POST /run-stop", ru.handle(life, ru.stopRun))
	mux.HandleFunc("POST /hold", ru.handle(life, ru.hold))
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	serve(life, &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}, lis)
	life.Go(ru.beat)
	life.Every(lapseCheck, func(context.Context) { ru.checkLease() })
	ru.fl.rec.write("runner %s starts", ru.id)
	return nil
}

// lapseCheck is the interval at which a runner checks its lease.
const lapseCheck = 5 * time.Millisecond

// crash ends the lifetime: everything that runs ends, and connections are refused.
func (ru *runner) crash() {
	ru.mu.Lock()
	life := ru.life
	ru.life = nil
	for key, rn := range ru.runs {
		rn.timer.Stop()
		ru.fl.runEnded(ru, rn, "crashed")
		delete(ru.runs, key)
	}
	ru.mu.Unlock()
	ru.fl.rec.write("runner %s crashes", ru.id)
	life.Close()
	// Its entry is removed after three silent intervals unless it is back.
	ru.fl.grp.Go(func(ctx context.Context) {
		if group.Sleep(ctx, missedBeats*heartbeat); ru.down() {
			ru.fl.st.drop(tableRunners, ru.id)
		}
	})
}

func (ru *runner) down() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.life == nil
}

func (ru *runner) clock() int64 { return time.Since(ru.born).Milliseconds() + 1 }

// beat writes the runner's entry.
func (ru *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		ru.mu.Lock()
		ru.sequence++
		entry := map[string]any{
			"service": ru.service, "address": ru.address, "zone": ru.zone, "version": "v1", "capacity": 8, "state": "ready",
			"coldRemainingMs": 0, "freeCapacity": map[string]any{"cpu": ru.cpu, "memMb": memoryMB, "gpus": 0}, "labels": ru.labels,
			"clockMs": ru.clock(), "sequence": ru.sequence, "born": ru.born.UnixMilli(),
		}
		ru.mu.Unlock()
		if err := ru.fl.st.put(tableRunners, ru.id, entry); err != nil {
			ru.fl.rec.write("runner %s: %v", ru.id, err)
		}
		group.Sleep(ctx, heartbeat)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Acked      int64  `json:"ackedThrough"`
	WaitMs     int64  `json:"waitMs"`
}

func (or order) key() runKey { return runKey{or.Task, or.Run} }

type answer struct {
	ClockMs int64   `json:"clockMs"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"endedRuns,omitempty"`
}

// handle returns a handler that decodes an order and answers with what fn returns.
func (ru *runner) handle(life *group.Group, fn func(ctx context.Context, or order) (int, answer)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		if id := rq.Header.Get("X-Expected-Instance"); id != "" && id != ru.id {
			reply(wr, http.StatusMisdirectedRequest, answer{ClockMs: ru.clock(), Born: ru.born.UnixMilli()})
			return
		}
		var or order
		if err := json.NewDecoder(rq.Body).Decode(&or); err != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		group.Sleep(rq.Context(), time.Millisecond)
		status, ans := fn(rq.Context(), or)
		if life.Context().Err() == nil {
			reply(wr, status, ans)
		}
	}
}

func (ru *runner) answer(status int, reason string) (int, answer) {
	return status, answer{ClockMs: ru.clock(), Born: ru.born.UnixMilli(), Reason: reason}
}

// extend takes over the end of a lease, which is never shortened.
func (ru *runner) extend(deadline int64) {
	ru.lease = max(ru.lease, min(deadline, ru.clock()+maxHold))
}

func (ru *runner) startRun(_ context.Context, or order) (int, answer) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	switch {
	case ru.life == nil:
		return ru.answer(http.StatusServiceUnavailable, "")
	case or.Token < ru.fence:
		return ru.answer(http.StatusConflict, "fence")
	}
	ru.fence = or.Token
	switch {
	case ru.runs[or.key()] != nil:
		return ru.answer(http.StatusOK, "")
	case or.DeadlineMs <= ru.clock():
		return ru.answer(http.StatusConflict, "late")
	case or.Run <= ru.highest(or.Task):
		ru.extend(or.DeadlineMs)
		return ru.answer(http.StatusConflict, "old")
	}
	took, cpu, ok := ru.fl.work(or.Task)
	if !ok {
		ru.fl.rec.write("start of the unknown task %s on %s", or.Task, ru.id)
		return ru.answer(http.StatusBadRequest, "")
	}
	ru.extend(or.DeadlineMs)
	rn := &run{key: or.key(), cpu: cpu}
	rn.timer = time.AfterFunc(took, func() { ru.end(rn, "done") })
	ru.runs[rn.key] = rn
	ru.fl.runStarted(ru, rn, or.Token)
	return ru.answer(http.StatusOK, "")
}

// highest returns the highest run of a task that is there or was.
func (ru *runner) highest(task string) int64 {
	most := ru.last[task]
	for key := range ru.runs {
		if key.Task == task {
			most = max(most, key.Run)
		}
	}
	return most
}

func (ru *runner) stopRun(_ context.Context, or order) (int, answer) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.life == nil || or.Token < ru.fence {
		return ru.answer(http.StatusConflict, "fence")
	}
	ru.fence = or.Token
	rn := ru.runs[or.key()]
	if rn == nil {
		ru.last[or.Task] = max(ru.last[or.Task], or.Run)
		return ru.answer(http.StatusOK, "")
	}
	if !rn.stopping {
		rn.stopping = true
		time.AfterFunc(stopTime, func() { ru.end(rn, "stopped") })
	}
	return ru.answer(http.StatusOK, "")
}

// end ends a run and lists its end.
func (ru *runner) end(rn *run, how string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.endLocked(rn, how)
}

func (ru *runner) endLocked(rn *run, how string) {
	if ru.runs[rn.key] != rn {
		return
	}
	rn.timer.Stop()
	delete(ru.runs, rn.key)
	ru.last[rn.key.Task] = max(ru.last[rn.key.Task], rn.key.Run)
	ru.number++
	ru.ends = append(ru.ends, ended{number: ru.number, key: rn.key, how: how})
	close(ru.changed)
	ru.changed = make(chan struct{})
	ru.fl.runEnded(ru, rn, how)
}

// checkLease kills everything when the lease has expired.
func (ru *runner) checkLease() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.life == nil || ru.clock() <= ru.lease {
		return
	}
	for _, rn := range ru.runs {
		ru.endLocked(rn, "lapsed")
	}
}

func (ru *runner) hold(ctx context.Context, or order) (int, answer) {
	timer := time.NewTimer(time.Duration(or.WaitMs) * time.Millisecond)
	defer timer.Stop()
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if or.Token < ru.fence {
		return ru.answer(http.StatusConflict, "fence")
	}
	ru.fence = or.Token
	ru.acked = max(ru.acked, or.Acked)
	ru.ends = slices.DeleteFunc(ru.ends, func(en ended) bool { return en.number <= ru.acked })
	if or.DeadlineMs > 0 {
		ru.extend(or.DeadlineMs)
	}
	for waiting := true; waiting && len(ru.ends) == 0; {
		changed := ru.changed
		ru.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		ru.mu.Lock()
	}
	status, ans := ru.answer(http.StatusOK, "")
	ans.Running, ans.Ended = [][]any{}, [][]any{}
	for key := range ru.runs {
		ans.Running = append(ans.Running, []any{key.Task, key.Run, "", 100, ru.runs[key].cpu})
	}
	for _, en := range ru.ends[:min(len(ru.ends), pageRows)] {
		ans.Ended = append(ans.Ended, []any{en.number, en.key.Task, en.key.Run, en.how, ""})
	}
	return status, ans
}

// used returns the capacity that runs use.
func (ru *runner) used() int64 {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	sum := int64(0)
	for _, rn := range ru.runs {
		sum += rn.cpu
	}
	return sum
}

// runsTaskOf reports whether a task of a job runs here.
func (ru *runner) runsTaskOf(job string) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	for key := range ru.runs {
		if strings.HasPrefix(key.Task, job+".") {
			return true
		}
	}
	return false
}

func (ru *runner) String() string { return fmt.Sprintf("%s (%s, %s)", ru.id, ru.service, ru.zone) }
