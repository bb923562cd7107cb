// Package jsonhttp sends and receives JSON messages over HTTP, on the client and
// on the server side. Sizes are bounded, and servers decode strictly.
//
// # Usage
//
//	reply, err := jsonhttp.Call[Query, Rows](ctx, client, http.MethodPost, url, query)
//	router.Post("/rows", jsonhttp.Handle(srv.rows))
//
// # Errors
//
// Call returns a *StatusError for every answer outside 2xx; its Body holds the
// answer, at most MaxBody bytes. A transport error is returned unchanged; the
// request may have reached the server.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/intake"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

// MaxBody bounds the size of a message, in bytes.
const MaxBody = 16 << 20

// StatusError is an answer outside 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the start of the body.
func (er *StatusError) Error() string {
	const shown = 300
	body := er.Body
	if len(body) > shown {
		body = body[:shown]
	}
	return fmt.Sprintf("HTTP status %d: %s", er.Status, bytes.TrimSpace(body))
}

// StatusOf returns the HTTP status in err, or 0 when err is not a *StatusError.
func StatusOf(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Status
	}
	return 0
}

// None is the type of an absent message body.
type None struct{}

// Request is one HTTP request.
type Request struct {
	Method, URL string
	Header      http.Header
	Message     any   // sent as JSON, nil for none
	MaxReply    int64 // bounds the answer, in bytes
}

// Exchange sends a request and returns the status and the body of the answer. A
// status outside 2xx is not an error.
func Exchange(ctx context.Context, hc *http.Client, re Request) (int, []byte, error) {
	var body io.Reader
	if re.Message != nil {
		raw, err := json.Marshal(re.Message)
		if err != nil {
			return 0, nil, fmt.Errorf("encode the request to %s: %w", re.URL, err)
		}
		body = bytes.NewReader(raw)
	}
	hreq, err := http.NewRequestWithContext(ctx, re.Method, re.URL, body)
	if err != nil {
		return 0, nil, fmt.Errorf("build the request to %s: %w", re.URL, err)
	}
	hreq.Header = re.Header
	hrep, err := hc.Do(hreq)
	if err != nil {
		return 0, nil, err
	}
	defer hrep.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(hrep.Body, re.MaxReply+1))
	if err != nil {
		return 0, nil, fmt.Errorf("read the answer of %s: %w", re.URL, err)
	}
	if int64(len(raw)) > re.MaxReply {
		return 0, nil, fmt.Errorf("the answer of %s is larger than %d bytes", re.URL, re.MaxReply)
	}
	return hrep.StatusCode, raw, nil
}

// Call sends req as JSON and decodes the answer. A request of type None has no
// body.
func Call[Req, Rep any](ctx context.Context, hc *http.Client, method, url string, req Req) (Rep, error) {
	var rep Rep
	re := Request{Method: method, URL: url, Header: http.Header{"Content-Type": {"application/json"}}, MaxReply: MaxBody}
	if _, none := any(req).(None); !none {
		re.Message = req
	}
	status, raw, err := Exchange(ctx, hc, re)
	if err != nil {
		return rep, err
	}
	if status < 200 || status > 299 {
		return rep, &StatusError{Status: status, Body: raw}
	}
	if len(raw) == 0 {
		return rep, nil
	}
	if err := json.Unmarshal(raw, &rep); err != nil {
		return rep, fmt.Errorf("decode the answer of %s: %w", url, err)
	}
	return rep, nil
}

// Handle adapts a typed function to an HTTP handler. The request body is
// decoded strictly: an unknown field is an error of the client.
func Handle[Req, Rep any](fn func(ctx context.Context, req Req) (Rep, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, hreq *http.Request) {
		var req Req
		if err := Decode(hreq, &req); err != nil {
			WriteError(wr, err)
			return
		}
		rep, err := fn(hreq.Context(), req)
		if err != nil {
			WriteError(wr, err)
			return
		}
		Write(wr, http.StatusOK, rep)
	}
}

// Decode decodes a JSON body strictly and stores it in into. It does not read
// the body when into is a *None.
func Decode(hreq *http.Request, into any) error {
	if _, none := into.(*None); none {
		return nil
	}
	if hreq.ContentLength > MaxBody {
		return bodyTooLarge()
	}
	raw, err := io.ReadAll(io.LimitReader(hreq.Body, MaxBody+1))
	if err == nil && len(raw) <= MaxBody {
		err = intake.ChargeJSON(hreq.Context(), raw)
	}
	if limited, ok := LimitError(err); ok {
		return limited
	}
	if err != nil {
		return badRequest("unreadable-body", "the body could not be read: "+err.Error(), "send the request again")
	}
	if len(raw) > MaxBody {
		return bodyTooLarge()
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return badRequest("invalid-json", "the body is not the expected JSON: "+err.Error(), "correct the body")
	}
	return nil
}

func bodyTooLarge() error {
	msg := fmt.Sprintf("the body is larger than %d bytes", MaxBody)
	return outcome.Refuse(http.StatusRequestEntityTooLarge, "too-large", msg, "send a smaller body", 0)
}

// LimitError returns the answer to a request that exceeded a limit of
// internal/intake. It returns false for other errors.
func LimitError(err error) (error, bool) { //nolint:revive // the error is a result that the bool qualifies
	var limited *intake.Refusal
	if !errors.As(err, &limited) {
		return nil, false
	}
	return outcome.Refuse(limited.Status, limited.Reason, limited.Message, "send a smaller body, and send it as a whole", limited.Retry), true
}

func badRequest(reason, message, remedy string) error {
	return outcome.Refuse(http.StatusBadRequest, reason, message, remedy, 0)
}

// Write sends rep as JSON and ignores errors.
func Write(wr http.ResponseWriter, status int, rep any) {
	_ = Deliver(wr, status, rep)
}

// Deliver sends rep as JSON, and returns an error when rep was not sent.
func Deliver(wr http.ResponseWriter, status int, rep any) error {
	raw, err := json.Marshal(rep)
	if err != nil {
		err = fmt.Errorf("encode the answer: %w", err)
		WriteError(wr, err)
		return err
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	wr.WriteHeader(status)
	_, err = wr.Write(raw)
	return err
}

// SetRetryAfter sets the header Retry-After, in whole seconds rounded up. When
// after is 0 it sets nothing.
func SetRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
}

// ErrorBody is the JSON form of an *outcome.Error.
type ErrorBody struct {
	Outcome          outcome.Kind `json:"outcome"`
	Reason           string       `json:"reason"`
	Message          string       `json:"message"`
	Remedy           string       `json:"remedy"`
	RetryAfterMillis int64        `json:"retry-after-millis,omitempty"`
}

// WriteError sends err as an ErrorBody with its outcome and HTTP status.
func WriteError(wr http.ResponseWriter, err error) {
	oe := outcome.From(err)
	wr.Header().Set(outcome.Header, string(oe.Outcome))
	SetRetryAfter(wr.Header(), oe.RetryAfter)
	Write(wr, oe.Status, ErrorBody{
		Outcome:          oe.Outcome,
		Reason:           oe.Reason,
		Message:          oe.Message,
		Remedy:           oe.Remedy,
		RetryAfterMillis: oe.RetryAfter.Milliseconds(),
	})
}
