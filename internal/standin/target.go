package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// TargetOptions are the settings of a target stand-in.
type TargetOptions struct {
	ID          string
	Slots       int
	Connections int
	// Speed divides the run time of every request; 0 means 1.
	Speed float64
}

// TargetFaults are the faults of a target stand-in.
type TargetFaults struct {
	// FailAll answers every request with status 500 without running it.
	FailAll bool `json:"fail-all,omitempty"`
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64 `json:"slow-factor,omitempty"`
	// Truncate closes the connection in the middle of every answer.
	Truncate bool `json:"truncate,omitempty"`
}

// TargetRequest is the request body of a target stand-in.
type TargetRequest struct {
	RunMillis   int64  `json:"run-millis"`
	Question    string `json:"question"`
	AnswerBytes int    `json:"answer-bytes,omitempty"`
}

// TargetAnswer is the answer of a target stand-in.
type TargetAnswer struct {
	Question  string `json:"question"`
	RequestID string `json:"request-id"`
	Target    string `json:"target"`
	Padding   string `json:"padding,omitempty"`
}

// TargetCounts are the counters of a target stand-in.
type TargetCounts struct {
	Requests       int64          `json:"requests"`
	Executions     map[string]int `json:"executions"`
	MaxConnections int64          `json:"max-connections"`
	MaxBusy        int64          `json:"max-busy"`
	Abandoned      int64          `json:"abandoned"`
}

// Target is a stand-in for a back end of a service.
type Target struct {
	opt    TargetOptions
	faults atomic.Pointer[TargetFaults]
	slots  chan struct{}
	router chi.Router

	conns atomic.Int64
	busy  atomic.Int64

	mu     sync.Mutex
	counts TargetCounts
}

// NewTarget returns a target.
func NewTarget(opt TargetOptions) *Target {
	if opt.Speed == 0 {
		opt.Speed = 1
	}
	ta := &Target{
		opt:    opt,
		slots:  make(chan struct{}, opt.Slots),
		router: chi.NewRouter(),
		counts: TargetCounts{Executions: map[string]int{}},
	}
	ta.faults.Store(&TargetFaults{})
	ta.router.Post("/", ta.run)
	ta.router.Get("/health", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	ta.router.Put("/control/faults", faultsHandler(&ta.faults))
	ta.router.Get("/control/counts", jsonhttp.Handle(func(context.Context, jsonhttp.None) (TargetCounts, error) {
		return ta.Counts(), nil
	}))
	return ta
}

// ServeTarget serves the target on the address and enforces its connection
// limit.
func ServeTarget(addr string, ta *Target) (*Server, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return ServeListener(&limitedListener{Listener: ln, ta: ta}, ta), nil
}

// ServeHTTP serves the target's protocol.
func (ta *Target) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	ta.router.ServeHTTP(wr, req)
}

// SetFaults replaces the faults.
func (ta *Target) SetFaults(faults TargetFaults) {
	ta.faults.Store(&faults)
}

// Counts returns a copy of the counters.
func (ta *Target) Counts() TargetCounts {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	out := ta.counts
	out.Executions = make(map[string]int, len(ta.counts.Executions))
	for id, n := range ta.counts.Executions {
		out.Executions[id] = n
	}
	return out
}

func (ta *Target) run(wr http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var tr TargetRequest
	if err := json.Unmarshal(raw, &tr); err != nil {
		http.Error(wr, "not a request: "+err.Error(), http.StatusBadRequest)
		return
	}
	faults := *ta.faults.Load()
	id := req.Header.Get("Oleanderwall-Request-Id")
	ta.mu.Lock()
	ta.counts.Requests++
	ta.mu.Unlock()
	if faults.FailAll {
		http.Error(wr, "the target fails everything", http.StatusInternalServerError)
		return
	}
	if !ta.execute(req.Context(), id, tr, faults) {
		return
	}
	ta.answer(wr, id, tr, faults)
}

func (ta *Target) execute(ctx context.Context, id string, tr TargetRequest, faults TargetFaults) bool {
	select {
	case ta.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-ta.slots }()
	busy := ta.busy.Add(1)
	defer ta.busy.Add(-1)
	ta.mu.Lock()
	ta.counts.Executions[id]++
	ta.counts.MaxBusy = max(ta.counts.MaxBusy, busy)
	ta.mu.Unlock()
	run := float64(tr.RunMillis) * float64(time.Millisecond) / ta.opt.Speed
	if faults.SlowFactor > 0 {
		run *= faults.SlowFactor
	}
	group.Sleep(ctx, time.Duration(run))
	if ctx.Err() != nil {
		ta.mu.Lock()
		ta.counts.Abandoned++
		ta.mu.Unlock()
	}
	return true
}

func (ta *Target) answer(wr http.ResponseWriter, id string, tr TargetRequest, faults TargetFaults) {
	ans := TargetAnswer{Question: tr.Question, RequestID: id, Target: ta.opt.ID}
	if tr.AnswerBytes > 0 {
		ans.Padding = strings.Repeat("x", tr.AnswerBytes)
	}
	raw, err := json.Marshal(ans)
	if err != nil {
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if faults.Truncate {
		_, _ = wr.Write(raw[:len(raw)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = wr.Write(raw)
}

// limitedListener closes new connections above the target's limit.
type limitedListener struct {
	net.Listener
	ta *Target
}

func (ll *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := ll.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := ll.ta.conns.Add(1)
		if open > int64(ll.ta.opt.Connections) {
			ll.ta.conns.Add(-1)
			_ = conn.Close()
			continue
		}
		ll.ta.mu.Lock()
		ll.ta.counts.MaxConnections = max(ll.ta.counts.MaxConnections, open)
		ll.ta.mu.Unlock()
		return &countedConn{Conn: conn, ta: ll.ta}, nil
	}
}

type countedConn struct {
	net.Conn
	ta   *Target
	once sync.Once
}

func (cc *countedConn) Close() error {
	cc.once.Do(func() { cc.ta.conns.Add(-1) })
	return cc.Conn.Close()
}
