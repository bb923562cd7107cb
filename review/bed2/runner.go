package main

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the runners, as the pages give them.
const (
	maxHold      = time.Second
	stopTime     = 20 * time.Millisecond
	beatPause    = 1500 * time.Millisecond
	beatsToLapse = 3
	maxEnds      = 500
	maxHoldWait  = 2 * time.Second
	runnerCPU    = 16000
	runnerMemory = 32768
)

// What happens to runs.
const (
	runStarted = "start"
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	runCrashed = "crashed with its runner"
)

// event is a start or an end of a run on a runner.
type event struct {
	at     time.Time
	runner string
	task   string
	run    int64
	what   string // "start", or how the run ended
}

// history is what all runners have done.
type history struct {
	mu     sync.Mutex
	events []event
}

func (hi *history) add(ev event) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.events = append(hi.events, ev)
}

// all returns a copy of the events so far.
func (hi *history) all() []event {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return append([]event(nil), hi.events...)
}

type liveRun struct {
	run   int64
	timer *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
}

// runner is a stand-in of a runner.
type runner struct {
	bd      *bed
	id      string
	zone    string
	rack    string
	address string

	mu       sync.Mutex
	up       bool
	server   *http.Server
	born     int64
	bornAt   time.Time
	token    int64
	leaseEnd time.Duration
	running  map[string]*liveRun
	highest  map[string]int64 // the highest run that was stopped or has ended, by task
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{}
	sequence int64
	state    string
	lapse    *time.Timer
}

// clock is the runner's own steady clock.
func (ru *runner) clock() time.Duration { return time.Since(ru.bornAt) }

// start begins a lifetime of the runner.
func (ru *runner) start() error {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	at := ru.address
	if at == "" {
		at = ru.bd.host(1) + ":0"
	}
	cfg := net.ListenConfig{}
	lis, err := cfg.Listen(ru.bd.grp.Context(), "tcp", at)
	if err != nil {
		return err
	}
	ru.address = lis.Addr().String()
	ru.up, ru.state = true, "ready"
	ru.bornAt, ru.born = time.Now(), time.Now().UnixMilli()
	ru.token, ru.leaseEnd, ru.lastEnd, ru.sequence = 0, 0, 0, 0
	ru.running, ru.highest, ru.ended, ru.changed = map[string]*liveRun{}, map[string]int64{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", ru.runStart)
	mux.HandleFunc("POST /run-stop", ru.runStop)
	mux.HandleFunc("POST /hold", ru.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	ru.server = srv
	ru.bd.grp.Go(func(context.Context) {
		if err := srv.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			ru.bd.rec.add("runner %s: %v", ru.id, err)
		}
	})
	return nil
}

// crash ends the lifetime of the runner. All that runs there is lost.
func (ru *runner) crash() {
	ru.mu.Lock()
	ru.up = false
	for task, lr := range ru.running {
		lr.timer.Stop()
		ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: task, run: lr.run, what: runCrashed})
	}
	ru.running = map[string]*liveRun{}
	srv := ru.server
	ru.mu.Unlock()
	ru.bd.rec.add("runner %s crashes", ru.id)
	if err := srv.Close(); err != nil {
		ru.bd.rec.add("runner %s: %v", ru.id, err)
	}
}

// close ends the stand-in.
func (ru *runner) close() {
	ru.mu.Lock()
	up, srv := ru.up, ru.server
	ru.up = false
	ru.mu.Unlock()
	if !up {
		return
	}
	if err := srv.Close(); err != nil {
		ru.bd.rec.add("runner %s: %v", ru.id, err)
	}
}

// beat writes the report of the runner until the context ends.
func (ru *runner) beat(ctx context.Context) {
	missed := 0
	for ctx.Err() == nil {
		ru.mu.Lock()
		up := ru.up
		ru.sequence++
		report := map[string]any{
			"service": service, "address": ru.address, "zone": ru.zone, "version": "v1", "capacity": 8, "state": ru.state,
			"coldRemainingMs": 0, "freeCapacity": map[string]int{"cpu": runnerCPU, "memMb": runnerMemory, "gpus": 0},
			"labels": []string{"a", ru.rack}, "clockMs": ru.clock().Milliseconds(), "sequence": ru.sequence, "born": ru.born,
		}
		ru.mu.Unlock()
		switch {
		case up:
			missed = 0
			ru.bd.store.put("servers", ru.id, report)
		default:
			if missed++; missed == beatsToLapse {
				ru.bd.store.remove("servers", ru.id)
			}
		}
		sleep(ctx, beatPause)
	}
}

type runCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Acked      int64  `json:"ackedThrough"`
	WaitMs     int64  `json:"waitMs"`
}

// decode reads a call and checks that it is for this runner.
func (ru *runner) decode(wr http.ResponseWriter, rq *http.Request) (runCall, bool) {
	var call runCall
	if rq.Header.Get("X-Expected-Instance") != ru.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return call, false
	}
	if err := json.NewDecoder(rq.Body).Decode(&call); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return call, false
	}
	return call, true
}

type runReply struct {
	ClockMs int64   `json:"clockMs"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"endedRuns,omitempty"`
}

// fenced applies the token of a call and reports whether it is too low.
func (ru *runner) fenced(token int64) bool {
	if token < ru.token {
		return true
	}
	ru.token = token
	return false
}

// extend extends the lease of all that runs.
func (ru *runner) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	until := min(time.Duration(deadlineMs)*time.Millisecond, ru.clock()+maxHold)
	if until <= ru.leaseEnd {
		return
	}
	ru.leaseEnd = until
	if ru.lapse != nil {
		ru.lapse.Stop()
	}
	born := ru.born
	ru.lapse = time.AfterFunc(until-ru.clock(), func() {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		if ru.born != born || !ru.up || ru.clock() < ru.leaseEnd {
			return
		}
		for task := range ru.running {
			ru.end(task, endLapsed)
		}
	})
}

// end ends a run and lists its end.
func (ru *runner) end(task, how string) {
	lr := ru.running[task]
	if lr == nil {
		return
	}
	lr.timer.Stop()
	delete(ru.running, task)
	ru.lastEnd++
	ru.highest[task] = max(ru.highest[task], lr.run)
	ru.ended = append(ru.ended, endedRun{number: ru.lastEnd, task: task, run: lr.run, how: how})
	ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: task, run: lr.run, what: how})
	close(ru.changed)
	ru.changed = make(chan struct{})
}

// parseSpec returns how long a run of a task takes and how it ends, for example
// "ms=200 fails=15": of a hundred runs 15 fail.
func parseSpec(text string) (time.Duration, string) {
	took, how := 100*time.Millisecond, endDone
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		num, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		switch name {
		case "ms":
			took = time.Duration(num) * time.Millisecond
		case "fails":
			if rand.IntN(100) < num {
				how = endFailed
			}
		}
	}
	return took, how
}

// refusal returns why a start is refused, "" if it is not.
func (ru *runner) refusal(call runCall) string {
	switch lr := ru.running[call.Task]; {
	case ru.fenced(call.Token):
		return "fence"
	case lr != nil && lr.run == call.Run:
		ru.extend(call.DeadlineMs)
		return ""
	case ru.highest[call.Task] >= call.Run || (lr != nil && lr.run > call.Run):
		ru.extend(call.DeadlineMs)
		return "old"
	case time.Duration(call.DeadlineMs)*time.Millisecond <= ru.clock():
		return "late"
	}
	return ""
}

func (ru *runner) runStart(wr http.ResponseWriter, rq *http.Request) {
	call, ok := ru.decode(wr, rq)
	if !ok {
		return
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	rep := runReply{ClockMs: ru.clock().Milliseconds(), Born: ru.born}
	if rep.Reason = ru.refusal(call); rep.Reason != "" {
		ru.bd.rec.add("runner %s refuses %s run %d: %s", ru.id, call.Task, call.Run, rep.Reason)
		reply(wr, http.StatusConflict, rep)
		return
	}
	if lr := ru.running[call.Task]; lr != nil && lr.run == call.Run {
		reply(wr, http.StatusOK, rep)
		return
	}
	ru.extend(call.DeadlineMs)
	took, how := parseSpec(call.Spec)
	born := ru.born
	lr := &liveRun{run: call.Run}
	lr.timer = time.AfterFunc(took, func() {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		if ru.born == born && ru.up && ru.running[call.Task] == lr {
			ru.end(call.Task, how)
		}
	})
	ru.running[call.Task] = lr
	ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: call.Task, run: call.Run, what: runStarted})
	reply(wr, http.StatusOK, rep)
}

func (ru *runner) runStop(wr http.ResponseWriter, rq *http.Request) {
	call, ok := ru.decode(wr, rq)
	if !ok {
		return
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	rep := runReply{ClockMs: ru.clock().Milliseconds(), Born: ru.born}
	if ru.fenced(call.Token) {
		rep.Reason = "fence"
		reply(wr, http.StatusConflict, rep)
		return
	}
	ru.highest[call.Task] = max(ru.highest[call.Task], call.Run)
	if lr := ru.running[call.Task]; lr != nil && lr.run <= call.Run {
		born := ru.born
		time.AfterFunc(stopTime, func() {
			ru.mu.Lock()
			defer ru.mu.Unlock()
			if ru.born == born && ru.running[call.Task] == lr {
				ru.end(call.Task, endStopped)
			}
		})
	}
	reply(wr, http.StatusOK, rep)
}

func (ru *runner) hold(wr http.ResponseWriter, rq *http.Request) {
	call, ok := ru.decode(wr, rq)
	if !ok {
		return
	}
	ru.mu.Lock()
	if ru.fenced(call.Token) {
		rep := runReply{ClockMs: ru.clock().Milliseconds(), Born: ru.born, Reason: "fence"}
		ru.mu.Unlock()
		reply(wr, http.StatusConflict, rep)
		return
	}
	ru.extend(call.DeadlineMs)
	for len(ru.ended) > 0 && ru.ended[0].number <= call.Acked {
		ru.ended = ru.ended[1:]
	}
	waiting, changed := len(ru.ended) == 0, ru.changed
	ru.mu.Unlock()
	if waiting && call.WaitMs > 0 {
		timer := time.NewTimer(min(time.Duration(call.WaitMs)*time.Millisecond, maxHoldWait))
		select {
		case <-changed:
		case <-timer.C:
		case <-rq.Context().Done():
		}
		timer.Stop()
	}
	ru.mu.Lock()
	rep := runReply{ClockMs: ru.clock().Milliseconds(), Born: ru.born, Running: [][]any{}, Ended: [][]any{}}
	for task, lr := range ru.running {
		rep.Running = append(rep.Running, []any{task, lr.run, "", 100})
	}
	for _, er := range ru.ended[:min(maxEnds, len(ru.ended))] {
		rep.Ended = append(rep.Ended, []any{er.number, er.task, er.run, er.how, ""})
	}
	ru.mu.Unlock()
	reply(wr, http.StatusOK, rep)
}
