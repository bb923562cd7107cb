// Package caller serves the HTTP interface for callers: service requests and
// jobs.
//
// # Usage
//
//	router.Mount("/", caller.New(dispatcher, jobs, board, counters).Router())
//
// # Errors
//
// Every answer carries the header Oleanderwall-Outcome. Refusals also carry
// Retry-After where a retry may succeed, and a JSON body with the reason and the
// remedy.
package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/job"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/target"
)

// The headers of a service request.
const (
	HeaderTeam       = "Oleanderwall-Team"
	HeaderKind       = "Oleanderwall-Kind"
	HeaderDeadline   = "Oleanderwall-Deadline-Millis"
	HeaderRepeatable = "Oleanderwall-Repeatable"
	HeaderRequestID  = target.HeaderRequestID
)

// maxWait bounds how long a caller may wait for a job in one request.
const maxWait = time.Minute

// Services answers service requests.
type Services interface {
	Do(ctx context.Context, req target.Request) (target.Answer, error)
}

// Jobs admits and reads jobs.
type Jobs interface {
	Submit(ctx context.Context, sub job.Submission) (job.Status, error)
	Get(ctx context.Context, id ids.JobID) (job.Status, error)
	Wait(ctx context.Context, id ids.JobID, wait time.Duration) (job.Status, error)
	Cancel(ctx context.Context, id ids.JobID) (job.Status, error)
	IssueID() ids.JobID
}

// Handler serves callers.
type Handler struct {
	svc   Services
	jobs  Jobs
	board *blackboard.Board
	cnt   *counter.Set
}

// New returns a handler.
func New(svc Services, jobs Jobs, board *blackboard.Board, cnt *counter.Set) *Handler {
	return &Handler{svc: svc, jobs: jobs, board: board, cnt: cnt}
}

// Router returns the routes for callers.
func (ha *Handler) Router() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/services/{service}/requests", ha.request)
	router.Post("/v1/jobs", ha.submit)
	router.Post("/v1/job-ids", ha.issueID)
	router.Get("/v1/jobs/{id}", ha.get)
	router.Delete("/v1/jobs/{id}", ha.cancel)
	return router
}

// fail counts an error by its reason and its outcome, and sends it.
func (ha *Handler) fail(wr http.ResponseWriter, err error) {
	oe := outcome.From(err)
	ha.cnt.Add(counter.Refusal, oe.Reason, 1)
	ha.cnt.Add(counter.Request, string(oe.Outcome), 1)
	jsonhttp.WriteError(wr, oe)
}

func (ha *Handler) request(wr http.ResponseWriter, hreq *http.Request) {
	req, err := ha.parse(wr, hreq)
	if err != nil {
		ha.fail(wr, err)
		return
	}
	ans, err := ha.svc.Do(hreq.Context(), req)
	if err != nil {
		ha.fail(wr, err)
		return
	}
	ha.cnt.Add(counter.Request, string(outcome.Answered), 1)
	for key, vals := range ans.Header {
		wr.Header()[key] = vals
	}
	wr.Header().Set(outcome.Header, string(outcome.Answered))
	wr.Header().Set(HeaderRequestID, req.ID)
	wr.Header().Set("Content-Length", strconv.Itoa(len(ans.Body)))
	wr.WriteHeader(ans.Status)
	_, _ = wr.Write(ans.Body)
}

func (ha *Handler) parse(wr http.ResponseWriter, hreq *http.Request) (target.Request, error) {
	doc := ha.board.Configuration.Load().Document
	name := ids.ServiceName(chi.URLParam(hreq, "service"))
	limit := doc.Limits.MaxRequestBytes
	body, err := []byte(nil), error(&http.MaxBytesError{Limit: limit})
	if hreq.ContentLength <= limit {
		body, err = io.ReadAll(http.MaxBytesReader(wr, hreq.Body, limit))
	}
	if limited, ok := jsonhttp.LimitError(err); ok {
		return target.Request{}, limited
	}
	if err != nil {
		return target.Request{}, outcome.Refuse(http.StatusRequestEntityTooLarge, "too-large",
			fmt.Sprintf("the request body is larger than %d bytes or broken: %s", limit, err), "send a smaller body", 0)
	}
	deadline, err := parseDeadline(hreq.Header.Get(HeaderDeadline), doc.Services[name].Deadline())
	if err != nil {
		return target.Request{}, err
	}
	repeatable, err := parseRepeatable(hreq.Header.Get(HeaderRepeatable))
	if err != nil {
		return target.Request{}, err
	}
	req := target.Request{
		ID:         hreq.Header.Get(HeaderRequestID),
		Service:    name,
		Team:       ids.TeamID(hreq.Header.Get(HeaderTeam)),
		Kind:       ids.RequestKind(hreq.Header.Get(HeaderKind)),
		Repeatable: repeatable,
		Deadline:   time.Now().Add(deadline),
		Header:     http.Header{"Content-Type": hreq.Header.Values("Content-Type")},
		Body:       body,
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	return req, nil
}

const maxDeadline = 10 * time.Minute

func parseDeadline(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
		return 0, outcome.Refuse(http.StatusBadRequest, "invalid-deadline",
			fmt.Sprintf("%s is %q", HeaderDeadline, text), fmt.Sprintf("send a number from 1 to %d", maxDeadline.Milliseconds()), 0)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func parseRepeatable(text string) (bool, error) {
	switch text {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, outcome.Refuse(http.StatusBadRequest, "invalid-repeatable",
		fmt.Sprintf("%s is %q", HeaderRepeatable, text), "send true or false", 0)
}

func (ha *Handler) submit(wr http.ResponseWriter, hreq *http.Request) {
	var sub job.Submission
	if err := jsonhttp.Decode(hreq, &sub); err != nil {
		ha.fail(wr, err)
		return
	}
	wait, err := parseWait(hreq.URL.Query().Get("wait"))
	if err != nil {
		ha.fail(wr, err)
		return
	}
	status, err := ha.jobs.Submit(hreq.Context(), sub)
	if err == nil && wait > 0 && !status.Final() {
		status, err = ha.jobs.Wait(hreq.Context(), status.ID, wait)
	}
	ha.writeStatus(wr, status, err)
}

func (ha *Handler) get(wr http.ResponseWriter, hreq *http.Request) {
	wait, err := parseWait(hreq.URL.Query().Get("wait"))
	if err != nil {
		ha.fail(wr, err)
		return
	}
	status, err := ha.jobs.Wait(hreq.Context(), jobID(hreq), wait)
	ha.writeStatus(wr, status, err)
}

// jobID returns the id in the path without its percent encoding.
func jobID(hreq *http.Request) ids.JobID {
	raw := chi.URLParam(hreq, "id")
	if id, err := url.PathUnescape(raw); err == nil {
		return ids.JobID(id)
	}
	return ids.JobID(raw)
}

// cancel lets a job fail that has not been decided yet. The answer is the final
// state, which is complete when the cancellation came too late.
func (ha *Handler) cancel(wr http.ResponseWriter, hreq *http.Request) {
	status, err := ha.jobs.Cancel(hreq.Context(), jobID(hreq))
	ha.writeStatus(wr, status, err)
}

// IssuedID is the answer to POST /v1/job-ids.
type IssuedID struct {
	ID ids.JobID `json:"id"`
}

// issueID issues an id under which this entry admits a job even while the table
// is down.
func (ha *Handler) issueID(wr http.ResponseWriter, _ *http.Request) {
	wr.Header().Set(outcome.Header, string(outcome.Answered))
	jsonhttp.Write(wr, http.StatusOK, IssuedID{ID: ha.jobs.IssueID()})
}

func (ha *Handler) writeStatus(wr http.ResponseWriter, status job.Status, err error) {
	if err != nil {
		ha.fail(wr, err)
		return
	}
	wr.Header().Set(outcome.Header, string(outcome.Answered))
	code := http.StatusOK
	if !status.Final() {
		code = http.StatusAccepted
	}
	jsonhttp.Write(wr, code, status)
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, outcome.Refuse(http.StatusBadRequest, "invalid-wait",
			fmt.Sprintf("wait is %q", text), fmt.Sprintf("send a duration from 0s to %s", maxWait), 0)
	}
	return wait, nil
}
