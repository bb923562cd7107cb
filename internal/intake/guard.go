package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
)

// The reasons of refusals and closed connections. They are counted and logged
// under these names.
const (
	ReasonBudget     = "over-memory-budget"  // 503
	ReasonShed       = "shed-memory"         // the connection was closed in favour of another request
	ReasonConnection = "connection-limit"    // a new connection was closed
	ReasonReplaced   = "connection-replaced" // an idle or slow connection was closed for a new one
	ReasonBodySlow   = "body-slow"           // 408
	ReasonBodyClosed = "body-ignored"        // the answer needs no body; the connection was closed after it
	ReasonAnswer     = "answer-unread"       // the client did not take its answer in time
	ReasonHeader     = "header-too-large"    // 431
	ReasonFields     = "too-many-fields"     // 431
	ReasonDecoded    = "decoded-too-large"   // 413
	ReasonDepth      = "nested-too-deep"     // 400
)

const (
	// logEvent is the log line of all reasons, written once in logInterval for
	// each.
	logEvent    = "caller-limited"
	logInterval = time.Second
	// budgetRetry is the time to come back after a refusal for lack of memory.
	budgetRetry = time.Second
	// bodyStep is the largest part of a body that is charged at once, and
	// chargeStep divides all charges.
	bodyStep   = 16 << 10
	chargeStep = 4 << 10
	// defaultHeaderBytes bounds a header unless the listener has a limit of its
	// own. headerSlack is added for the request line.
	defaultHeaderBytes = 16 << 10
	headerSlack        = 1 << 10
	// freeHeaderBytes are in the buffer that each connection has.
	freeHeaderBytes = 4 << 10
	// lingerTime is the time in which a client reads an answer before its
	// connection is reset.
	lingerTime = 500 * time.Millisecond
	// writeSlow is the time after which a connection that takes no answer may be
	// replaced.
	writeSlow = 250 * time.Millisecond
	// arrivalGrace is the time for which a connection whose request arrives is not
	// replaced. While the others run requests that were sent ahead, a connection
	// that was just opened would otherwise be the only one to replace.
	arrivalGrace = 250 * time.Millisecond
	// replaceWait is the time to wait for a connection that may be replaced. It is
	// above arrivalGrace, and replacePoll is the interval of looking for one.
	replaceWait = 300 * time.Millisecond
	replacePoll = 5 * time.Millisecond
)

// Refusal is the error of a request that exceeds a limit and has not run.
type Refusal struct {
	Status  int
	Reason  string
	Message string
	Retry   time.Duration // time to come back, 0 for none
}

// Error returns the message.
func (re *Refusal) Error() string { return re.Message }

// Guard applies limits to the listeners of a process.
type Guard struct {
	lim Limits
	bud *budget
	cnt *counter.Set
	log func(event string, fields ...any)

	mu     sync.Mutex
	logged map[string]*logState
}

type logState struct {
	at    time.Time
	count int64 // since the last line
}

// New returns a guard. log writes a line with alternating keys and values.
func New(lim Limits, cnt *counter.Set, log func(event string, fields ...any)) *Guard {
	lim = lim.WithDefaults()
	return &Guard{lim: lim, bud: newBudget(lim.BudgetBytes, time.Now), cnt: cnt, log: log, logged: map[string]*logState{}}
}

// Limits returns the limits in force.
func (gu *Guard) Limits() Limits { return gu.lim }

// limited counts a reason, and logs it once a second at most.
func (gu *Guard) limited(reason string) {
	gu.cnt.Add(counter.Refusal, reason, 1)
	gu.mu.Lock()
	st := gu.logged[reason]
	if st == nil {
		st = &logState{}
		gu.logged[reason] = st
	}
	st.count++
	now := time.Now()
	if now.Sub(st.at) < logInterval {
		gu.mu.Unlock()
		return
	}
	count := st.count
	st.at, st.count = now, 0
	gu.mu.Unlock()
	gu.log(logEvent, "reason", reason, "count", count)
}

// Options describe one listener.
type Options struct {
	// Connections bounds the connections.
	Connections int
	// HeaderBytes returns the largest size of a header, 0 for the default. It may
	// be nil.
	HeaderBytes func() int
	// ReplaceOldest is set if a new connection replaces the oldest one when no
	// other can be replaced.
	ReplaceOldest bool
}

// Guard applies the limits to a server and returns the listener that it has to
// serve.
func (gu *Guard) Guard(srv *http.Server, lis net.Listener, opt Options) net.Listener {
	gl := &listener{Listener: lis, gu: gu, opt: opt, conns: map[*conn]bool{}}
	srv.Handler = gu.handler(srv.Handler)
	srv.ReadHeaderTimeout, srv.IdleTimeout = gu.lim.HeaderTime, gu.lim.IdleTime
	next := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		co, ok := nc.(*conn)
		switch {
		case !ok:
		case state == http.StateIdle:
			co.enter(phaseIdle)
		case state == http.StateClosed:
			co.charge.release()
		}
	}
	return gl
}

type (
	connKey    struct{}
	requestKey struct{}
)

// request is one request in a handler.
type request struct {
	gu *Guard
	ch *charge
}

// handler returns a handler that charges the bodies of requests and closes the
// connections of those that were not read.
func (gu *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		co, _ := rq.Context().Value(connKey{}).(*conn)
		if co == nil {
			next.ServeHTTP(wr, rq)
			return
		}
		defer co.charge.release()
		bo := &body{ReadCloser: rq.Body, gu: gu, co: co, done: rq.ContentLength == 0}
		if !bo.done {
			co.enter(phaseBody)
		} else if !bo.complete() {
			return // the connection has just been closed in favour of another
		}
		out := &writer{ResponseWriter: wr, bo: bo}
		defer out.finish()
		if fieldCount(rq.Header) > gu.lim.HeaderFields {
			gu.limited(ReasonFields)
			out.Header().Set("Connection", "close")
			http.Error(out, fmt.Sprintf("the header has more than %d fields", gu.lim.HeaderFields), http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		rq = rq.WithContext(context.WithValue(rq.Context(), requestKey{}, &request{gu: gu, ch: co.charge}))
		rq.Body = bo
		next.ServeHTTP(out, rq)
	})
}

func fieldCount(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// ChargeJSON charges what decoding a body takes. It returns a *Refusal if that
// is more than one request may hold, or than is free.
func ChargeJSON(ctx context.Context, raw []byte) error {
	re, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return nil
	}
	sh := scan(raw)
	if sh.depth > maxDepth {
		re.gu.limited(ReasonDepth)
		return &Refusal{Status: http.StatusBadRequest, Reason: ReasonDepth, Message: fmt.Sprintf("the body is nested more than %d deep", maxDepth)}
	}
	need := sh.decodedBytes(len(raw))
	// A single request must not take what others need.
	if most := (re.gu.bud.total - re.gu.bud.reserve) / 2; need > most {
		re.gu.limited(ReasonDecoded)
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonDecoded, Message: fmt.Sprintf("the body takes about %d bytes when it is decoded, the most is %d", need, most)}
	}
	if !re.ch.grow(need) {
		re.gu.limited(ReasonBudget)
		return overBudget()
	}
	return nil
}

func overBudget() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: ReasonBudget, Retry: budgetRetry,
		Message: "the request has not run: the process holds too many bytes of requests",
	}
}

// body reads the body of a request within the limits.
type body struct {
	io.ReadCloser
	gu      *Guard
	co      *conn
	began   time.Time // of the reading
	read    int64
	charged int64
	done    bool // the body was read to its end
	err     error
}

// Read charges the bytes before it reads them.
func (bo *body) Read(raw []byte) (int, error) {
	if bo.err != nil {
		return 0, bo.err
	}
	raw = raw[:min(len(raw), bodyStep)]
	// A reader of the whole body holds the bytes twice while its buffer grows.
	need := (2*(bo.read+int64(len(raw))) + chargeStep - 1) / chargeStep * chargeStep
	if need > bo.charged {
		if !bo.co.charge.grow(need - bo.charged) {
			bo.gu.limited(ReasonBudget)
			bo.err = overBudget()
			return 0, bo.err
		}
		bo.charged = need
	}
	if bo.began.IsZero() {
		bo.began = time.Now()
	}
	deadline := bo.began.Add(bo.gu.lim.BodyTime + time.Duration(bo.read)*time.Second/time.Duration(bo.gu.lim.BodyBytesPerSecond))
	if err := bo.co.SetReadDeadline(deadline); err != nil {
		bo.err = err
		return 0, err
	}
	count, err := bo.ReadCloser.Read(raw)
	bo.read += int64(count)
	switch {
	case errors.Is(err, io.EOF):
		bo.done = true
		if !bo.complete() {
			err = overBudget()
		}
		bo.err = err
	case errors.Is(err, os.ErrDeadlineExceeded):
		bo.gu.limited(ReasonBodySlow)
		err = &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonBodySlow, Message: "the request has not run: its body arrived too slowly"}
		bo.err = err
	case err != nil:
		bo.err = err
	}
	return count, err
}

// complete marks a request that has arrived as a whole. From then on its
// connection is not closed in favour of others. It returns false if that has
// already happened.
func (bo *body) complete() bool {
	if !bo.co.charge.finish() || !bo.co.run() {
		return false
	}
	// The server reads ahead to detect the end of the connection. A deadline
	// would end the request.
	return bo.co.SetReadDeadline(time.Time{}) == nil
}

// writer closes the connection of a request whose body has not been read.
type writer struct {
	http.ResponseWriter
	bo    *body
	wrote bool
}

// WriteHeader sends the header of the answer.
func (wr *writer) WriteHeader(status int) {
	if !wr.wrote && status >= http.StatusOK {
		wr.wrote = true
		if !wr.bo.done {
			// The server would otherwise wait for the rest of the body.
			wr.Header().Set("Connection", "close")
			wr.bo.co.abandon()
			if wr.bo.err == nil {
				wr.bo.gu.limited(ReasonBodyClosed)
			}
		}
	}
	wr.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (wr *writer) Write(raw []byte) (int, error) {
	if !wr.wrote {
		wr.WriteHeader(http.StatusOK)
	}
	return wr.ResponseWriter.Write(raw)
}

// finish sends the header of an answer without a body.
func (wr *writer) finish() {
	if !wr.wrote {
		wr.WriteHeader(http.StatusOK)
	}
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (wr *writer) Unwrap() http.ResponseWriter { return wr.ResponseWriter }
