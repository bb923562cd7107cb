package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

// jobRequests is the service name under which requests about jobs are listed.
const jobRequests = "jobs"

// inflight tracks the requests of callers that are in flight.
type inflight struct {
	mu       sync.Mutex
	draining bool
	closed   bool
	requests map[*request]bool
	changed  chan struct{} // closed when a request ends during a drain
}

// request is one request of a caller.
type request struct {
	service   string
	method    string
	startedAt time.Time
	cancel    context.CancelFunc
}

func newInflight() *inflight {
	return &inflight{requests: map[*request]bool{}, changed: make(chan struct{})}
}

// track registers each request while it is in flight, and adds
// Connection: close to the answers of a draining entry. The entry does not close
// connections itself, because a request may be on its way on a connection that
// looks idle.
func (in *inflight) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, hreq *http.Request) {
		dw := &drainWriter{ResponseWriter: wr, in: in}
		ctx, cancel := context.WithCancel(hreq.Context())
		defer cancel()
		req := &request{service: serviceOf(hreq.URL.Path), method: hreq.Method, startedAt: time.Now(), cancel: cancel}
		if !in.begin(req) {
			jsonhttp.WriteError(dw, outcome.Refuse(http.StatusServiceUnavailable, "draining",
				"this entry has stopped serving", "use another entry", time.Second))
			return
		}
		defer in.end(req)
		next.ServeHTTP(dw, hreq.WithContext(ctx))
	})
}

func serviceOf(path string) string {
	if rest, ok := strings.CutPrefix(path, "/v1/services/"); ok {
		name, _, _ := strings.Cut(rest, "/")
		return name
	}
	return jobRequests
}

func (in *inflight) begin(req *request) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return false
	}
	in.requests[req] = true
	return true
}

func (in *inflight) end(req *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.requests, req)
	if in.draining {
		close(in.changed)
		in.changed = make(chan struct{})
	}
}

// drain adds Connection: close to all answers that begin after it.
func (in *inflight) drain() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.draining = true
}

const (
	// admissionBound is the time allowed for the admission of a job. A
	// submission in flight for longer is assumed to wait for the result of the
	// job.
	admissionBound      = 2 * time.Second
	cancelWaitsInterval = 100 * time.Millisecond
)

// finish waits until no request is in flight and then refuses new ones. It ends
// the waits for jobs, whose callers receive the present state: a wait may be
// longer than a shutdown, and another entry can answer the next one.
func (in *inflight) finish(ctx context.Context) error {
	for {
		in.mu.Lock()
		if len(in.requests) == 0 {
			in.closed = true
			in.mu.Unlock()
			return nil
		}
		changed := in.changed
		in.cancelWaits()
		in.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(cancelWaitsInterval):
		}
	}
}

func (in *inflight) cancelWaits() {
	for req := range in.requests {
		if req.service == jobRequests && (req.method == http.MethodGet || time.Since(req.startedAt) > admissionBound) {
			req.cancel()
		}
	}
}

// abandon cancels the requests in flight, so that their callers receive an
// outcome, and returns the number and the age of these requests by service.
func (in *inflight) abandon() []AbandonedRequests {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	byService := map[string]AbandonedRequests{}
	for req := range in.requests {
		ab := byService[req.service]
		ab.Service = req.service
		ab.Count++
		ab.Oldest = max(ab.Oldest, time.Since(req.startedAt))
		byService[req.service] = ab
		req.cancel()
	}
	out := make([]AbandonedRequests, 0, len(byService))
	for _, ab := range byService {
		out = append(out, ab)
	}
	slices.SortFunc(out, func(a, b AbandonedRequests) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// drainWriter adds Connection: close to answers that begin while the entry
// drains, including answers to requests that arrived before the drain.
type drainWriter struct {
	http.ResponseWriter
	in    *inflight
	wrote bool
}

// WriteHeader sends the header.
func (dw *drainWriter) WriteHeader(status int) {
	if !dw.wrote {
		dw.wrote = true
		dw.in.mu.Lock()
		draining := dw.in.draining
		dw.in.mu.Unlock()
		if draining {
			dw.Header().Set("Connection", "close")
		}
	}
	dw.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (dw *drainWriter) Write(raw []byte) (int, error) {
	if !dw.wrote {
		dw.WriteHeader(http.StatusOK)
	}
	return dw.ResponseWriter.Write(raw)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (dw *drainWriter) Unwrap() http.ResponseWriter { return dw.ResponseWriter }

// AbandonedRequests summarizes the requests of one service that a shutdown
// abandoned.
type AbandonedRequests struct {
	Service string
	Count   int
	Oldest  time.Duration
}

// String returns the service, the number of requests and the age of the oldest
// one.
func (ab AbandonedRequests) String() string {
	return fmt.Sprintf("%s: %d in flight, oldest %.1fs", ab.Service, ab.Count, ab.Oldest.Seconds())
}
