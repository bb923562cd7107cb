package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
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

// event is a start or an end of a run on a runner.
type event struct {
	at         time.Time
	runner     string
	task       string
	run        int64
	what       string // "start", or how the run ended
	checkpoint string
	born       int64
	number     int64 // of an end
}

// history is what all runners have done.
type history struct {
	mu     sync.Mutex
	events []event
	acked  map[string]time.Time // by runner, lifetime and number of an end
}

func (hi *history) add(ev event) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.events = append(hi.events, ev)
}

func endKey(runner string, born, number int64) string {
	return fmt.Sprint(runner, "/", born, "/", number)
}

func (hi *history) ack(runner string, born, from, through int64) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for number := from; number <= through; number++ {
		if key := endKey(runner, born, number); hi.acked[key].IsZero() {
			hi.acked[key] = time.Now()
		}
	}
}

// all returns a copy of the events so far.
func (hi *history) all() []event {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return append([]event(nil), hi.events...)
}

type liveRun struct {
	run    int64
	how    string
	timer  *time.Timer
	began  time.Time
	base   time.Duration // work saved by earlier runs
	saves  bool
	task   string
	runner *runner
}

// saved returns the checkpoint of the run: "TASK@MS" with the work that is saved.
func (lr *liveRun) saved(final bool) string {
	if !lr.saves {
		return ""
	}
	done := lr.base
	if !lr.began.IsZero() {
		done += time.Since(lr.began)
	}
	if !final {
		done = done / (500 * time.Millisecond) * (500 * time.Millisecond)
	}
	if done == 0 {
		return ""
	}
	return fmt.Sprintf("%s@%d", lr.task, done.Milliseconds())
}

// gangs tracks the members of the runs of gangs that are present.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[string]*runner // by job, occurrence, step and run: by task
}

func gangKey(task string, run int64) string {
	return fmt.Sprint(task[:strings.LastIndexByte(task, '.')], "@", run)
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
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
	acked    int64
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
	ru.token, ru.leaseEnd, ru.lastEnd, ru.acked, ru.sequence = 0, 0, 0, 0, 0
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
		ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: task, run: lr.run, what: "crashed", born: ru.born})
		ru.bd.leaveGang(task, lr.run, "crashed")
	}
	ru.running = map[string]*liveRun{}
	srv := ru.server
	ru.mu.Unlock()
	ru.bd.rec.add("runner %s crashes", ru.id)
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
	Checkpoint string `json:"checkpoint"`
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
		ru.bd.hist.add(event{at: time.Now(), runner: ru.id, what: "lease over", born: ru.born})
		for task := range ru.running {
			ru.end(task, "lapsed")
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
	saved := ""
	if how != "done" {
		saved = lr.saved(how == "stopped" || how == "broken")
	}
	ru.ended = append(ru.ended, endedRun{number: ru.lastEnd, task: task, run: lr.run, how: how, saved: saved})
	ru.bd.leaveGang(task, lr.run, how)
	ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: task, run: lr.run, what: how, born: ru.born, number: ru.lastEnd})
	close(ru.changed)
	ru.changed = make(chan struct{})
}

// spec is what a task does.
type spec struct {
	took  time.Duration
	how   string
	gang  int // tasks of the gang, 0 for none
	saves bool
}

// parseSpec reads the spec of a task, for example "ms=200 how=done gang=3 saves=1".
func parseSpec(text string, run int64) spec {
	sp := spec{took: 100 * time.Millisecond, how: "done"}
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		num, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			sp.took = time.Duration(num) * time.Millisecond
		case "how":
			sp.how = value
		case "first":
			if run == 1 {
				sp.took, sp.how = time.Duration(num)*time.Millisecond, "failed"
			}
		case "flaky":
			if rand.IntN(100) < num {
				sp.how = "failed"
			}
		case "gang":
			sp.gang = num
		case "saves":
			sp.saves = true
		}
	}
	return sp
}

// joinGang adds a member to a run of a gang. Once all are present their work begins.
func (bd *bed) joinGang(ru *runner, lr *liveRun, size int, left time.Duration) {
	ga := &bd.gangs
	ga.mu.Lock()
	defer ga.mu.Unlock()
	key := gangKey(lr.task, lr.run)
	if ga.members[key] == nil {
		ga.members[key] = map[string]*runner{}
	}
	ga.members[key][lr.task] = ru
	if len(ga.members[key]) < size {
		return
	}
	members := ga.members[key]
	bd.grp.Go(func(ctx context.Context) {
		now := time.Now()
		for task, other := range members {
			other.mu.Lock()
			if o := other.running[task]; o != nil && o.run == lr.run {
				o.began = now
			}
			other.mu.Unlock()
		}
		sleep(ctx, left)
		bd.endGang(key, lr.run, "done")
	})
}

// leaveGang handles the end of a member that was not done. The others end broken.
func (bd *bed) leaveGang(task string, run int64, how string) {
	ga := &bd.gangs
	ga.mu.Lock()
	defer ga.mu.Unlock()
	key := gangKey(task, run)
	if ga.members[key] == nil || how == "done" || how == "broken" || how == "alone" {
		return
	}
	bd.grp.Go(func(context.Context) { bd.endGang(key, run, "broken") })
}

// endGang ends all members of a run of a gang.
func (bd *bed) endGang(key string, run int64, how string) {
	ga := &bd.gangs
	ga.mu.Lock()
	members := ga.members[key]
	delete(ga.members, key)
	ga.mu.Unlock()
	for task, other := range members {
		other.mu.Lock()
		if lr := other.running[task]; lr != nil && lr.run == run && other.up {
			other.end(task, how)
		}
		other.mu.Unlock()
	}
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
	if rand.Int64N(1000) < ru.bd.late.Load() {
		born := ru.born
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
			if ru.born == born {
				ru.applyStart(httptest.NewRecorder(), call)
			}
		})
		<-rq.Context().Done()
		return
	}
	ru.applyStart(wr, call)
}

// applyStart carries out a start order.
func (ru *runner) applyStart(wr http.ResponseWriter, call runCall) {
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
	sp := parseSpec(call.Spec, call.Run)
	born := ru.born
	lr := &liveRun{run: call.Run, how: sp.how, saves: sp.saves, task: call.Task, runner: ru}
	if call.Checkpoint != "" {
		from, ms, _ := strings.Cut(call.Checkpoint, "@")
		if n, err := strconv.Atoi(ms); err == nil {
			lr.base = time.Duration(n) * time.Millisecond
		}
		same := from == call.Task || (sp.gang > 0 && gangKey(from, 0) == gangKey(call.Task, 0))
		if !same {
			ru.bd.rec.add("BROKEN UNASKED %s run %d starts with checkpoint %s", call.Task, call.Run, call.Checkpoint)
		}
	}
	left := max(sp.took-lr.base, time.Millisecond)
	if sp.gang > 0 {
		lr.timer = time.AfterFunc(3*time.Second, func() {
			ru.mu.Lock()
			defer ru.mu.Unlock()
			if ru.born == born && ru.up && ru.running[call.Task] == lr && lr.began.IsZero() {
				ru.end(call.Task, "alone")
			}
		})
		ru.running[call.Task] = lr
		ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: call.Task, run: call.Run, what: "start", born: ru.born, checkpoint: call.Checkpoint})
		ru.bd.joinGang(ru, lr, sp.gang, left)
		reply(wr, http.StatusOK, rep)
		return
	}
	lr.began = time.Now()
	lr.timer = time.AfterFunc(left, func() {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		if ru.born == born && ru.up && ru.running[call.Task] == lr {
			ru.end(call.Task, lr.how)
		}
	})
	ru.running[call.Task] = lr
	ru.bd.hist.add(event{at: time.Now(), runner: ru.id, task: call.Task, run: call.Run, what: "start", born: ru.born})
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
				ru.end(call.Task, "stopped")
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
	through := min(call.Acked, ru.lastEnd)
	if through > ru.acked {
		ru.bd.hist.ack(ru.id, ru.born, ru.acked+1, through)
		ru.acked = through
	}
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
		rep.Running = append(rep.Running, []any{task, lr.run, lr.saved(false), 100})
	}
	for _, er := range ru.ended[:min(maxEnds, len(ru.ended))] {
		rep.Ended = append(rep.Ended, []any{er.number, er.task, er.run, er.how, er.saved})
	}
	ru.mu.Unlock()
	reply(wr, http.StatusOK, rep)
}

// newGroup returns the group of a bed.
func newGroup(ctx context.Context) *group.Group { return group.New(ctx) }
