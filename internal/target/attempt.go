package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
)

const (
	// expectAfter is the idle time after which a connection is checked with
	// Expect: 100-continue before a body is sent on it.
	expectAfter = time.Second
	// continueTimeout is the timeout for 100 Continue on a reused connection. A
	// round trip takes less than 1 ms; the rest is a margin for a busy target. A
	// false timeout costs one new connection.
	continueTimeout = 50 * time.Millisecond
	// continueFreshTimeout is the same timeout on a new connection. It is longer
	// because a failure of a new connection counts against the target.
	continueFreshTimeout = 250 * time.Millisecond
)

// maxSendDelay is the maximum time between taking a slot and sending the
// request. If the process is paused in between, the slot may be lent to another
// entry; the margin of slot loans (1 s) covers this delay and the run time of
// most requests.
const maxSendDelay = 400 * time.Millisecond

// errSlotEnded ends an attempt before the request is sent.
var errSlotEnded = errors.New("the slot was taken too long ago to be used; this process may have been paused")

// exchange is one request on one connection.
type exchange struct {
	co    *connection
	req   *Request
	limit int64
	// slotTaken is when the slot for the request was taken.
	slotTaken time.Time
	// bodySent is set before the body, or a request without a body, is sent: from
	// then on the target may run the request. It is also set if the target
	// processes the request without the body and sends a final answer.
	bodySent bool
	// continued is set when the target has answered 100 Continue on the
	// connection.
	continued bool
	// reusable is set when the complete answer was read and the connection may
	// carry another request.
	reusable bool
}

// attempt sends the request to the target of the ticket. If a reused connection
// is silent or closed, and the request cannot have run or is repeatable, it
// sends the request once more on a new connection.
func (se *service) attempt(ctx context.Context, tk *ticket, req *Request, limit int64) (Answer, *failure) {
	// Without a body, a reused connection cannot be checked with 100 Continue.
	fresh := !req.Repeatable && len(req.Body) == 0
	for {
		co, err := tk.ts.conns.get(ctx, fresh)
		if err != nil {
			return Answer{}, dialFailure(ctx, err)
		}
		ans, fa := se.exchange(ctx, co, tk, req, limit)
		if fa == nil || !fa.reconnect || fresh || ctx.Err() != nil {
			return ans, fa
		}
		tk.ts.conns.dropIdle()
		se.di.opt.Counters.Add(counter.Retry, fa.reason+"-reconnect", 1)
		fresh = true
	}
}

func dialFailure(ctx context.Context, err error) *failure {
	fa := &failure{reason: reasonUnreachable, notRun: true, result: resultFailed, err: err}
	switch {
	case errors.Is(err, errConnLimit):
		fa.reason, fa.result = reasonConnLimit, resultNeutral
	case errors.Is(err, errRetired):
		fa.reason, fa.result = reasonLeaving, resultNeutral
	case ctx.Err() != nil:
		fa.reason, fa.result, fa.final = reasonCallerGone, resultNeutral, true
	}
	return fa
}

// exchange sends the request on the connection and reads the answer.
func (se *service) exchange(ctx context.Context, co *connection, tk *ticket, req *Request, limit int64) (Answer, *failure) {
	ex := &exchange{co: co, req: req, limit: limit, slotTaken: tk.began}
	co.rd.reset(ctx, req.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = co.SetDeadline(time.Unix(1, 0)) })
	ans, err := ex.roundTrip(ctx, func() {
		co.rd.watch(se.overdueAfter(tk), func() bool { return se.answersNewConnection(ctx, tk) })
	})
	stopped := stop()
	switch {
	case err == nil && ex.reusable && stopped:
		tk.ts.conns.put(co)
	case errors.Is(err, errSilent):
		tk.ts.conns.dropIdle()
		tk.ts.conns.linger(co, req.Deadline, func() { se.observeLate(tk) })
	default:
		co.close()
	}
	if err != nil {
		return Answer{}, ex.classify(ctx, err)
	}
	return ans, nil
}

// answersNewConnection reports whether the target answers on a new connection. If
// not, it marks the target as suspect.
func (se *service) answersNewConnection(ctx context.Context, tk *ticket) bool {
	err := tk.ts.conns.health(ctx, healthTimeout)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errConnLimit) {
		se.markSuspect(tk.ts)
	}
	return err == nil
}

var (
	errStatus       = errors.New("the target answered with a server error")
	errNoLength     = errors.New("the answer has neither a length nor chunks, so its end cannot be verified")
	errTooLarge     = errors.New("the answer is larger than max-answer-bytes of the service")
	errWrongRequest = errors.New("the answer names another request")
	errRefusedBody  = errors.New("the target refused the request before it had the body")
)

// roundTrip sends the request and reads the complete answer. It calls watch right
// before the write after which the target may run the request.
func (ex *exchange) roundTrip(ctx context.Context, watch func()) (Answer, error) {
	raw, split, err := ex.encode(ctx)
	if err != nil {
		return Answer{}, err
	}
	if err := ex.co.SetWriteDeadline(ex.req.Deadline); err != nil {
		return Answer{}, err
	}
	if err := ctx.Err(); err != nil {
		return Answer{}, err
	}
	if ex.expectsContinue() {
		hrep, err := ex.awaitContinue(raw[:split])
		if err != nil {
			return Answer{}, err
		}
		if hrep != nil {
			defer hrep.Body.Close()
			ans, err := ex.readAnswer(hrep)
			ex.reusable = false // the target may still wait for the body
			return ans, err
		}
		raw = raw[split:]
	}
	if time.Since(ex.slotTaken) > maxSendDelay {
		return Answer{}, errSlotEnded
	}
	ex.bodySent = true
	watch()
	if err := ex.write(ctx, raw); err != nil {
		return Answer{}, fmt.Errorf("write the request: %w", err)
	}
	hrep, err := ex.readHead(0)
	if err != nil {
		return Answer{}, fmt.Errorf("read the answer: %w", err)
	}
	defer hrep.Body.Close()
	return ex.readAnswer(hrep)
}

// write sends raw. If no byte can be written until the request is overdue and
// the target answers on a new connection, it returns errSilent: otherwise a body
// larger than the socket buffer would block on a silent connection until the
// deadline.
func (ex *exchange) write(ctx context.Context, raw []byte) error {
	rd := ex.co.rd
	for {
		if err := ex.co.SetWriteDeadline(rd.nextDeadline()); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		n, err := ex.co.Write(raw)
		raw = raw[n:]
		blocked := isTimeout(err) && ctx.Err() == nil && time.Now().Before(rd.deadline) && rd.answersNewConnection != nil
		if err != nil && !blocked {
			return err
		}
		if err != nil && n == 0 {
			if rd.answersNewConnection() {
				return errSilent
			}
			rd.checkInterval *= 2
		}
		rd.overdueAt = time.Now().Add(rd.checkInterval)
		if err == nil {
			return nil
		}
	}
}

// expectsContinue reports whether the connection must be checked with Expect:
// 100-continue before the body is sent.
func (ex *exchange) expectsContinue() bool {
	if len(ex.req.Body) == 0 {
		return false
	}
	idle := !ex.co.fresh && time.Since(ex.co.idleSince) > expectAfter
	return !ex.req.Repeatable || idle
}

// encode returns the request as written by http.Request.Write, and the offset
// of its body.
func (ex *exchange) encode(ctx context.Context) (raw []byte, split int, err error) {
	url := "http://" + ex.co.RemoteAddr().String() + "/"
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(ex.req.Body))
	if err != nil {
		return nil, 0, err
	}
	hreq.Header = targetHeader(*ex.req)
	if ex.expectsContinue() {
		hreq.Header.Set("Expect", "100-continue")
	}
	var buf bytes.Buffer
	const headSize = 512
	buf.Grow(headSize + len(ex.req.Body))
	if err := hreq.Write(&buf); err != nil {
		return nil, 0, fmt.Errorf("encode the request: %w", err)
	}
	return buf.Bytes(), buf.Len() - len(ex.req.Body), nil
}

// awaitContinue sends the head of the request. It returns nil when the target
// answers 100 Continue, or the final answer of a target that does not request
// the body. On an error the target has not received the body, so the request
// has not run.
func (ex *exchange) awaitContinue(head []byte) (*http.Response, error) {
	timeout := continueTimeout
	if ex.co.fresh {
		timeout = continueFreshTimeout
	}
	rd := ex.co.rd
	if limit := time.Now().Add(timeout); limit.Before(rd.deadline) {
		rd.deadline = limit
	}
	if _, err := ex.co.Write(head); err != nil {
		return nil, fmt.Errorf("write the head of the request: %w", err)
	}
	hrep, err := ex.readHead(http.StatusContinue)
	if err != nil {
		return nil, fmt.Errorf("wait for 100 Continue: %w", err)
	}
	rd.deadline = ex.req.Deadline
	switch status := hrep.StatusCode; {
	case status == http.StatusContinue:
		ex.continued = true
		return nil, hrep.Body.Close()
	case status >= http.StatusInternalServerError, status == http.StatusExpectationFailed, status == http.StatusTooManyRequests:
		_ = hrep.Body.Close()
		return nil, fmt.Errorf("%w: status %d", errRefusedBody, status)
	}
	ex.bodySent = true
	return hrep, nil
}

// readHead reads the head of the final answer, or of the interim answer with
// the given status.
func (ex *exchange) readHead(interim int) (*http.Response, error) {
	const maxInterim = 5
	for range maxInterim {
		hrep, err := http.ReadResponse(ex.co.br, &http.Request{Method: http.MethodPost})
		if err != nil || hrep.StatusCode >= http.StatusOK || hrep.StatusCode == interim {
			return hrep, err
		}
	}
	return nil, fmt.Errorf("more than %d interim responses: %w", maxInterim, errStatus)
}

func (ex *exchange) readAnswer(hrep *http.Response) (Answer, error) {
	if id := hrep.Header.Get(HeaderRequestID); id != "" && id != ex.req.ID {
		return Answer{}, errWrongRequest
	}
	if hrep.ContentLength > ex.limit {
		return Answer{}, fmt.Errorf("%w: %d of at most %d bytes", errTooLarge, hrep.ContentLength, ex.limit)
	}
	if hrep.ContentLength < 0 && len(hrep.TransferEncoding) == 0 {
		return Answer{}, errNoLength
	}
	raw, err := io.ReadAll(io.LimitReader(hrep.Body, ex.limit+1))
	if err != nil {
		return Answer{}, fmt.Errorf("read the body of the answer: %w", err)
	}
	if int64(len(raw)) > ex.limit {
		return Answer{}, fmt.Errorf("%w: more than %d bytes", errTooLarge, ex.limit)
	}
	ex.reusable = !hrep.Close && ex.co.br.Buffered() == 0
	if hrep.StatusCode >= http.StatusInternalServerError {
		return Answer{}, fmt.Errorf("%w: status %d", errStatus, hrep.StatusCode)
	}
	for _, key := range hopByHopHeaders {
		hrep.Header.Del(key)
	}
	return Answer{Status: hrep.StatusCode, Header: hrep.Header, Body: raw}, nil
}

// hopByHopHeaders are the hop-by-hop headers, which are removed from an answer.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection"}

// classify returns the classified error of an exchange.
func (ex *exchange) classify(ctx context.Context, err error) *failure {
	fa := &failure{notRun: !ex.bodySent, err: err, result: resultFailed}
	switch {
	case !time.Now().Before(ex.req.Deadline):
		fa.reason, fa.result, fa.final = reasonDeadline, resultUnfinished, true
	case ctx.Err() != nil:
		fa.reason, fa.result, fa.final = reasonCallerGone, resultUnfinished, true
	case errors.Is(err, errSilent):
		fa.reason, fa.result = reasonSilent, resultNeutral
	case errors.Is(err, errSlotEnded):
		fa.reason, fa.result = reasonSlotEnded, resultNeutral
	case errors.Is(err, errTooLarge):
		fa.reason, fa.result, fa.final = reasonTooLarge, resultNeutral, true
	case errors.Is(err, errWrongRequest):
		fa.reason, fa.result = reasonCrossed, resultNeutral
	case errors.Is(err, errStatus), errors.Is(err, errRefusedBody):
		fa.reason = reasonFailed
	case errors.Is(err, errNoLength):
		fa.reason = reasonTruncated
	case isTimeout(err):
		ex.classifyTimeout(fa)
	default:
		ex.classifyClosed(fa)
	}
	return fa
}

// classifyTimeout classifies a timeout before the deadline: no 100 Continue
// arrived.
func (ex *exchange) classifyTimeout(fa *failure) {
	fa.reason = reasonSilent
	if !ex.co.fresh {
		fa.result, fa.reconnect = resultNeutral, true
	}
}

// classifyClosed classifies the error of a connection that the target or a
// network device in between closed. A reused connection may have been closed
// because it was idle.
func (ex *exchange) classifyClosed(fa *failure) {
	switch {
	case ex.bodySent && ex.co.rd.received > 0:
		fa.reason = reasonTruncated
	case ex.co.fresh, ex.continued:
		fa.reason = reasonClosed
	default:
		fa.reason, fa.result = reasonClosed, resultNeutral
		fa.reconnect = fa.notRun || ex.req.Repeatable
	}
}
