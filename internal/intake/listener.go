package intake

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// listener bounds the connections of a listener.
type listener struct {
	net.Listener
	gu  *Guard
	opt Options

	mu    sync.Mutex
	conns map[*conn]bool
}

// Accept returns the next connection. At the limit it closes the connection
// that is idle or makes the least progress, or else the new one.
func (gl *listener) Accept() (net.Conn, error) {
	for {
		nc, err := gl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if gl.makeRoom() {
			return gl.add(nc), nil
		}
		gl.gu.limited(ReasonConnection)
		_ = nc.Close()
	}
}

func (gl *listener) add(nc net.Conn) *conn {
	now := time.Now()
	co := &conn{Conn: nc, gl: gl, since: now, progress: now}
	co.charge = gl.gu.bud.newCharge(func() {
		gl.gu.limited(ReasonShed)
		_ = co.closeNow()
	})
	gl.mu.Lock()
	defer gl.mu.Unlock()
	gl.conns[co] = true
	return co
}

// makeRoom closes a connection if the limit is reached. If none may be closed it
// waits for one. It returns false if there is still none.
func (gl *listener) makeRoom() bool {
	for end := time.Now().Add(replaceWait); ; {
		if gl.count() < gl.opt.Connections || gl.replaceOne() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
		time.Sleep(replacePoll)
	}
}

func (gl *listener) count() int {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	return len(gl.conns)
}

// replaceOne closes the connection of the highest rank, if any may be closed.
func (gl *listener) replaceOne() bool {
	gl.mu.Lock()
	now := time.Now()
	var victim *conn
	var most rank
	for co := range gl.conns {
		if rk := co.rank(now, gl.opt.ReplaceOldest); rk.class > classKept && most.less(rk) {
			victim, most = co, rk
		}
	}
	gl.mu.Unlock()
	if victim == nil || !victim.replace() {
		return false
	}
	if most.class < classClosing {
		gl.gu.limited(ReasonReplaced)
	}
	return true
}

func (gl *listener) remove(co *conn) {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	delete(gl.conns, co)
}

// phase is what a connection is doing.
type phase int

const (
	phaseHeader  phase = iota // the header of a request arrives
	phaseBody                 // its body arrives
	phaseRunning              // the request has arrived as a whole
	phaseIdle                 // between two requests
)

// The classes of connections in the order in which they are replaced, the last
// first.
const (
	classKept    = iota // has a request that runs, or is new
	classOldest         // replaced only where a new connection replaces the oldest
	classUnread         // does not take its answer
	classArrives        // has a request that has not arrived as a whole
	classIdle
	classClosing // has its answer, and is about to be closed
)

// rank orders connections by how soon they are replaced.
type rank struct {
	class int
	time  time.Duration
}

func (rk rank) less(other rank) bool {
	if rk.class != other.class {
		return rk.class < other.class
	}
	return rk.time < other.time
}

// conn is a connection with the state that the limits need.
type conn struct {
	net.Conn
	gl     *listener
	charge *charge

	mu        sync.Mutex
	phase     phase
	since     time.Time // start of the phase
	progress  time.Time // arrival of the last byte
	answering bool      // the deadline of the answer is set
	writingAt time.Time // start of a write that has not returned
	abandoned bool      // closed some time after its answer
	closed    bool

	// The state of the header that arrives.
	headerBytes int
	lines       int
	headerEnded bool
	inLine      bool // the present line is not blank
	charged     int64
}

func (co *conn) rank(now time.Time, oldest bool) rank {
	co.mu.Lock()
	defer co.mu.Unlock()
	switch {
	case co.abandoned:
		return rank{classClosing, now.Sub(co.since)}
	case co.phase == phaseIdle:
		return rank{classIdle, now.Sub(co.since)}
	case co.phase != phaseRunning && now.Sub(co.since) >= arrivalGrace:
		return rank{classArrives, now.Sub(co.since) + now.Sub(co.progress)}
	case !co.writingAt.IsZero() && now.Sub(co.writingAt) >= writeSlow:
		return rank{classUnread, now.Sub(co.writingAt)}
	case oldest:
		return rank{classOldest, now.Sub(co.since)}
	}
	return rank{class: classKept}
}

// replace closes the connection in favour of another, unless a request has
// arrived as a whole since it was chosen.
func (co *conn) replace() bool {
	co.mu.Lock()
	if co.phase == phaseRunning && !co.abandoned && co.writingAt.IsZero() && !co.gl.opt.ReplaceOldest {
		co.mu.Unlock()
		return false
	}
	wasClosed := co.closed
	co.closed = true
	co.mu.Unlock()
	if !wasClosed {
		co.gl.remove(co)
		_ = co.Conn.Close()
	}
	return true
}

// run begins to run a request. It returns false if the connection is closed.
func (co *conn) run() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.phase, co.since = phaseRunning, time.Now()
	// The request may have been sent ahead, so that no read precedes its answer.
	co.answering = false
	return !co.closed
}

// enter begins a phase.
func (co *conn) enter(ph phase) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.phase, co.since, co.answering = ph, time.Now(), false
	if ph == phaseIdle {
		co.resetHeader()
	}
}

func (co *conn) resetHeader() {
	co.headerBytes, co.lines, co.headerEnded, co.inLine, co.charged = 0, 0, false, false, 0
}

// errLimited ends the reading of a connection. It has the form of an error of
// the network, because the server answers others itself.
var errLimited = &net.OpError{Op: "read", Err: errors.New("a limit on callers is exceeded")}

// Read reads, and checks the header of a request before the server parses it.
func (co *conn) Read(raw []byte) (int, error) {
	count, err := co.Conn.Read(raw)
	if count == 0 {
		return count, err
	}
	reason, need := co.arrived(raw[:count])
	if reason != "" {
		co.gl.gu.limited(reason)
		co.refuseHeader()
		return 0, errLimited
	}
	if need > 0 && !co.charge.grow(need) {
		co.gl.gu.limited(ReasonBudget)
		return 0, errLimited
	}
	return count, err
}

// arrived records bytes. It returns the limit that the header exceeds, and the
// bytes to charge for the header.
func (co *conn) arrived(raw []byte) (string, int64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.progress, co.answering = time.Now(), false
	if co.phase == phaseIdle {
		co.phase, co.since = phaseHeader, co.progress
	}
	if co.phase != phaseHeader || co.headerEnded {
		return "", 0
	}
	co.scanHeader(raw)
	limit := defaultHeaderBytes
	if co.gl.opt.HeaderBytes != nil {
		limit = orDefault(co.gl.opt.HeaderBytes(), defaultHeaderBytes)
	}
	// A field has a colon, a space and the end of its line besides its name and
	// value.
	const separators = 4
	switch most := co.gl.gu.lim.HeaderFields; {
	case co.lines > most+1: // the first line is that of the request
		return ReasonFields, 0
	case co.headerBytes > limit+separators*most+headerSlack:
		return ReasonHeader, 0
	}
	need := int64(co.headerBytes)*2 - co.charged
	if co.headerBytes <= freeHeaderBytes || need < chargeStep {
		return "", 0
	}
	co.charged += need
	return "", need
}

// scanHeader counts the bytes and the lines of a header up to its blank line.
func (co *conn) scanHeader(raw []byte) {
	for len(raw) > 0 {
		line, rest, ended := bytes.Cut(raw, []byte{'\n'})
		co.headerBytes += len(raw) - len(rest)
		raw = rest
		co.inLine = co.inLine || len(bytes.TrimRight(line, "\r")) > 0
		if !ended {
			return
		}
		switch {
		case co.inLine:
			co.lines++
		case co.lines > 0: // a blank line before the request is none of its end
			co.headerEnded = true
			return
		}
		co.inLine = false
	}
}

// refuseHeader answers a request whose header is not read further.
func (co *conn) refuseHeader() {
	const status = http.StatusRequestHeaderFieldsTooLarge
	text := http.StatusText(status)
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, text, len(text), text)
	_, _ = co.Write([]byte(answer))
	co.abandon()
}

// Write writes a part of an answer. The time for the answer begins with its
// first byte, since a request may wait long for its job.
func (co *conn) Write(raw []byte) (int, error) {
	now := time.Now()
	co.mu.Lock()
	begins := !co.answering
	co.answering, co.writingAt = true, now
	co.mu.Unlock()
	if begins {
		if err := co.SetWriteDeadline(now.Add(co.gl.gu.lim.AnswerTime)); err != nil {
			return 0, err
		}
	}
	count, err := co.Conn.Write(raw)
	co.mu.Lock()
	co.writingAt = time.Time{}
	co.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		co.gl.gu.limited(ReasonAnswer)
	}
	return count, err
}

// abandon ends the reading of a connection, which is closed after its answer.
func (co *conn) abandon() {
	co.mu.Lock()
	co.abandoned, co.since = true, time.Now()
	co.mu.Unlock()
	_ = co.SetReadDeadline(time.Unix(1, 0))
}

// Close closes the connection. If bytes of a request were not read, the client
// would lose its answer to a reset of the connection, so it is left half open
// for a moment.
func (co *conn) Close() error {
	co.mu.Lock()
	linger := co.abandoned && !co.closed
	co.mu.Unlock()
	if !linger || co.CloseWrite() != nil {
		return co.closeNow()
	}
	time.AfterFunc(lingerTime, func() { _ = co.closeNow() })
	return nil
}

// closeNow closes the connection at once.
func (co *conn) closeNow() error {
	co.mu.Lock()
	if co.closed {
		co.mu.Unlock()
		return nil
	}
	co.closed = true
	co.mu.Unlock()
	co.gl.remove(co)
	return co.Conn.Close()
}

// errNoTCP reports a connection of another kind.
var errNoTCP = errors.New("not a TCP connection")

// CloseWrite ends the sending side of the connection.
func (co *conn) CloseWrite() error {
	if tc, ok := co.Conn.(*net.TCPConn); ok {
		return tc.CloseWrite()
	}
	return errNoTCP
}

// SyscallConn gives access to the descriptor.
func (co *conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := co.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoTCP
}
