package worker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// maxStartConnections bounds the connections for starts to one worker. One
	// connection carries over 1,000 starts a second.
	maxStartConnections = 4
	// idleTimeout is how long an idle connection is kept for reuse. A start
	// on a connection that has gone silent would be lost.
	idleTimeout = time.Second
	// bufferBytes keeps 560 workers with two connections each within the
	// memory budget; the default is 4 KB in each direction.
	bufferBytes = 1 << 10
	// freshTimeout is the timeout of a request on a new connection.
	freshTimeout = time.Second
)

// newTransport returns a transport for POST requests that must not be sent
// twice. Go's transport retries a request only when no byte of it has been
// written, or when the request is replayable. A POST without an Idempotency-Key
// header is not replayable.
func newTransport(maxConnections int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		DisableCompression:  true,
	}
}

// continueTimeout is the timeout of the wait for 100 Continue. It is longer
// than the timeout of any request, because Go's transport sends the body after
// it.
const continueTimeout = 24 * time.Hour

// continueTransport is a transport that sends POST requests with Expect:
// 100-continue, and the body only after the worker's 100 Continue. If the
// connection goes silent or the worker ends before that, the task has provably
// not run.
type continueTransport struct {
	tr *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (ct continueTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method == http.MethodPost {
		req = req.Clone(req.Context())
		req.Header.Set("Expect", "100-continue")
	}
	return ct.tr.RoundTrip(req)
}

// newHTTPClient returns a client that follows no redirect: following a 307
// would send a start twice.
func newHTTPClient(tr http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// link holds the connections to one worker and the state of its requests.
type link struct {
	address           string
	transport         *http.Transport
	longPollTransport *http.Transport
	client            *Client
	longPollClient    *Client

	// The rest is guarded by Dispatcher.mu.
	cursor         Cursor
	longPolling    bool
	cancelLongPoll context.CancelFunc
	renewing       bool
	polling        bool
	polledAt       time.Time
	// answeredAt is when the worker last answered a request. It is reset when the
	// first task is sent after a time without tasks.
	answeredAt time.Time
	// failures counts failed requests since then.
	failures int
	// refusedSince is when the worker began to refuse connections; zero after
	// any other result.
	refusedSince time.Time
	throttled    bool
}

func newLink(address string) *link {
	lk := &link{
		address:           address,
		transport:         newTransport(maxStartConnections),
		longPollTransport: newTransport(1),
	}
	lk.transport.ExpectContinueTimeout = continueTimeout
	lk.client = NewClient("http://"+address, newHTTPClient(continueTransport{lk.transport}))
	lk.longPollClient = NewClient("http://"+address, newHTTPClient(lk.longPollTransport))
	return lk
}

func (lk *link) close() {
	lk.transport.CloseIdleConnections()
	lk.longPollTransport.CloseIdleConnections()
}

// freshClient opens a new connection for each request, so that a connection
// that has gone silent does not affect it, and counts the bytes of control
// traffic.
type freshClient struct {
	hc    *http.Client
	tr    *http.Transport
	bytes atomic.Int64
}

// handshakeBytes is the cost of opening and closing a TCP connection, packet
// headers included.
const handshakeBytes = 400

func newFreshClient() *freshClient {
	fc := &freshClient{}
	dialer := &net.Dialer{Timeout: dialTimeout}
	fc.tr = newTransport(0)
	fc.tr.DisableKeepAlives = true
	fc.tr.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		fc.bytes.Add(handshakeBytes)
		return &countingConn{Conn: conn, bytes: &fc.bytes}, nil
	}
	fc.hc = newHTTPClient(fc.tr)
	return fc
}

func (fc *freshClient) to(address string) *Client {
	return NewClient("http://"+address, fc.hc)
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cc *countingConn) Read(buf []byte) (int, error) {
	n, err := cc.Conn.Read(buf)
	cc.bytes.Add(int64(n))
	return n, err
}

func (cc *countingConn) Write(buf []byte) (int, error) {
	n, err := cc.Conn.Write(buf)
	cc.bytes.Add(int64(n))
	return n, err
}

// linkOf returns the link of a worker. It makes a new one when the address of
// the worker has changed. Dispatcher.mu is held.
func (di *Dispatcher) linkOf(ws *workerState) *link {
	if ws.link == nil || ws.link.address != ws.address {
		if ws.link != nil {
			ws.link.close()
		}
		ws.link = newLink(ws.address)
	}
	return ws.link
}

// recordAnswer records an answer of the worker.
func (di *Dispatcher) recordAnswer(ws *workerState, lk *link) {
	lk.answeredAt = time.Now()
	lk.failures = 0
	lk.refusedSince = time.Time{}
	if ws.silent {
		ws.silent = false
		di.sched.refreshWorker(ws)
	}
}

// recordNoAnswer records a failed request. After two consecutive failures the
// worker gets no new tasks until it answers.
func (di *Dispatcher) recordNoAnswer(ws *workerState, lk *link, err error) {
	const threshold = 2
	lk.failures++
	switch {
	case !isConnectionRefused(err):
		lk.refusedSince = time.Time{}
	case lk.refusedSince.IsZero():
		lk.refusedSince = time.Now()
	}
	if lk.failures >= threshold && !ws.silent {
		ws.silent = true
		di.count("silent-worker", 1)
		di.opt.Log.Warn().Str("worker", string(ws.id)).Err(err).Msg("worker-does-not-answer")
		di.sched.refreshWorker(ws)
	}
}

func unlisted(ws *workerState) string {
	return fmt.Sprintf("worker %s is no longer listed and does not answer", ws.id)
}
