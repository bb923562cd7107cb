package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

const (
	// dialTimeout is shorter than the 1 s after which TCP first retransmits a lost
	// SYN; a round trip takes less than 1 ms.
	dialTimeout   = 300 * time.Millisecond
	healthTimeout = 300 * time.Millisecond
	// idleTimeout is the idle time after which a connection is closed, before a
	// network device on the path is likely to drop its state.
	idleTimeout = 30 * time.Second
	// maxLingering bounds, for each target, the connections that were given up
	// as silent but are kept open to detect a late answer. lingerTimeout bounds
	// how long each is kept open.
	maxLingering  = 2
	lingerTimeout = 10 * time.Second
)

var (
	errConnLimit = errors.New("all connections that this entry may open to the target are in use")
	errRetired   = errors.New("the target is leaving")
)

// connections is the pool of connections of this entry to one target. A
// connection carries one request at a time and is never reused while an answer
// is outstanding on it.
type connections struct {
	grp       *group.Group
	lingering atomic.Int64

	mu      sync.Mutex
	address string
	retired bool
	idle    []*connection // in order of use, the most recently used last
	open    int
	// The limit on open connections is proportional to the allowance of the
	// gate: allowance * connections / slots.
	gate               *slotshare.Gate
	slots, connections int
}

// connection is one connection to a target.
type connection struct {
	net.Conn
	owner     *connections
	address   string
	br        *bufio.Reader
	rd        *answerReader
	idleSince time.Time // end of the last answer
	fresh     bool
	closing   sync.Once
}

func newConnections(grp *group.Group) *connections {
	return &connections{grp: grp}
}

func (cs *connections) setAddress(addr string) {
	cs.mu.Lock()
	cs.address = addr
	idle := cs.takeIdle()
	cs.mu.Unlock()
	closeAll(idle)
}

func (cs *connections) setLimit(gate *slotshare.Gate, conf configuration.Service) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.gate, cs.slots, cs.connections = gate, conf.Slots, conf.Connections
}

// retire closes the idle connections. Connections in use are closed after their
// answer.
func (cs *connections) retire() {
	cs.mu.Lock()
	cs.retired = true
	idle := cs.takeIdle()
	cs.mu.Unlock()
	closeAll(idle)
}

// dropIdle closes the idle connections. It is called after one connection was
// found silent or closed, because others of the same age probably are too.
func (cs *connections) dropIdle() {
	cs.mu.Lock()
	idle := cs.takeIdle()
	cs.mu.Unlock()
	closeAll(idle)
}

func (cs *connections) takeIdle() []*connection {
	idle := cs.idle
	cs.idle = nil
	return idle
}

// closeIdle closes connections that have been idle for longer than idleTimeout
// or that exceed a lowered limit.
func (cs *connections) closeIdle(now time.Time) {
	cs.mu.Lock()
	old := 0
	surplus := cs.open - cs.limit()
	for old < len(cs.idle) && (old < surplus || now.Sub(cs.idle[old].idleSince) > idleTimeout) {
		old++
	}
	idle := cs.idle[:old:old]
	cs.idle = cs.idle[old:]
	cs.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*connection) {
	for _, co := range conns {
		co.close()
	}
}

// limit returns the maximum number of open connections.
func (cs *connections) limit() int {
	if cs.gate == nil || cs.slots == 0 {
		return 0
	}
	slots, _ := cs.gate.Allowance()
	return min(cs.connections, slots*cs.connections/cs.slots)
}

// get returns an idle connection that is still open, or a new one. If fresh is
// set, it always returns a new one.
func (cs *connections) get(ctx context.Context, fresh bool) (*connection, error) {
	for !fresh {
		co := cs.popIdle()
		if co == nil {
			break
		}
		if co.usable() {
			return co, nil
		}
		co.close()
	}
	return cs.dial(ctx, false)
}

func (cs *connections) popIdle() *connection {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	last := len(cs.idle) - 1
	if last < 0 {
		return nil
	}
	co := cs.idle[last]
	cs.idle = cs.idle[:last]
	return co
}

// dial opens a connection within the limit. If the limit is reached, it closes
// an idle connection first. Connections to a leaving target are opened only for
// health probes.
func (cs *connections) dial(ctx context.Context, probe bool) (*connection, error) {
	cs.mu.Lock()
	if cs.retired && !probe {
		cs.mu.Unlock()
		return nil, errRetired
	}
	var surplus []*connection
	if limit := cs.limit(); cs.open >= limit {
		if len(cs.idle) == 0 || cs.open > limit {
			cs.mu.Unlock()
			return nil, errConnLimit
		}
		surplus = cs.idle[:1:1]
		cs.idle = cs.idle[1:]
	}
	cs.open++
	addr := cs.address
	cs.mu.Unlock()
	closeAll(surplus)
	nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		cs.decrementOpen()
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	co := &connection{Conn: nc, owner: cs, address: addr, fresh: true}
	co.rd = &answerReader{conn: nc}
	co.br = bufio.NewReader(co.rd)
	return co, nil
}

func (cs *connections) decrementOpen() {
	cs.mu.Lock()
	cs.open--
	cs.mu.Unlock()
}

// put returns the connection to the pool. It closes the connection instead if
// the target is leaving or has a new address, or the limit is exceeded.
func (cs *connections) put(co *connection) {
	co.idleSince = time.Now()
	co.fresh = false
	cs.mu.Lock()
	keep := !cs.retired && co.address == cs.address && cs.open <= cs.limit()
	if keep {
		cs.idle = append(cs.idle, co)
	}
	cs.mu.Unlock()
	if !keep {
		co.close()
	}
}

func (co *connection) close() {
	co.closing.Do(func() {
		_ = co.Close()
		co.owner.decrementOpen()
	})
}

// usable reports whether an idle connection is open and has no unread bytes.
// Unread bytes are a late answer to an earlier request.
func (co *connection) usable() bool {
	sc, ok := co.Conn.(syscall.Conn)
	if !ok || co.br.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

var errUnhealthy = errors.New("the target does not answer GET /health with status 200")

// health sends GET /health on a new connection. It returns nil if the target
// answers with status 200.
func (cs *connections) health(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	co, err := cs.dial(ctx, true)
	if err != nil {
		return err
	}
	defer co.close()
	hreq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+co.RemoteAddr().String()+"/health", nil)
	if err != nil {
		return err
	}
	co.rd.reset(ctx, time.Now().Add(timeout))
	if err := co.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := hreq.Write(co); err != nil {
		return err
	}
	hrep, err := http.ReadResponse(co.br, hreq)
	if err != nil {
		return err
	}
	_ = hrep.Body.Close()
	if hrep.StatusCode != http.StatusOK {
		return errUnhealthy
	}
	return nil
}

// linger keeps a connection open that was given up as silent, and calls late if
// an answer starts to arrive, which shows that the target was slow and the
// connection was not silent. The bytes received are discarded.
func (cs *connections) linger(co *connection, until time.Time, late func()) {
	if limit := time.Now().Add(lingerTimeout); until.After(limit) {
		until = limit
	}
	if cs.lingering.Add(1) > maxLingering {
		cs.lingering.Add(-1)
		co.close()
		return
	}
	started := cs.grp.Go(func(ctx context.Context) {
		defer cs.lingering.Add(-1)
		defer co.close()
		stop := context.AfterFunc(ctx, co.close)
		defer stop()
		var buf [1]byte
		if err := co.SetReadDeadline(until); err != nil {
			return
		}
		if n, _ := co.Read(buf[:]); n > 0 {
			late()
		}
	})
	if !started {
		cs.lingering.Add(-1)
		co.close()
	}
}

// errSilent is the error of an exchange on a connection that has become silent.
var errSilent = errors.New("the connection went silent while the target answers on a new one")

// answerReader reads an answer. If nothing arrives until overdueAt, it checks
// whether the target answers on a new connection; if so, this connection is
// silent.
type answerReader struct {
	conn          net.Conn
	ctx           context.Context //nolint:containedctx // of the request in flight
	deadline      time.Time
	overdueAt     time.Time
	checkInterval time.Duration // between two checks
	// answersNewConnection reports whether the target answers on a new connection.
	answersNewConnection func() bool
	received             int
}

// reset resets the reader for a new answer with the given deadline.
func (ar *answerReader) reset(ctx context.Context, deadline time.Time) {
	*ar = answerReader{conn: ar.conn, ctx: ctx, deadline: deadline}
}

// watch sets the time after which the answer is overdue.
func (ar *answerReader) watch(due time.Duration, answersNewConnection func() bool) {
	ar.checkInterval = due
	ar.overdueAt = time.Now().Add(due)
	ar.answersNewConnection = answersNewConnection
	ar.received = 0
}

// Read reads from the connection.
func (ar *answerReader) Read(buf []byte) (int, error) {
	for {
		n, err := ar.readUntil(buf, ar.nextDeadline())
		if n > 0 {
			ar.received += n
			if ar.answersNewConnection != nil {
				ar.overdueAt = time.Now().Add(ar.checkInterval)
			}
			return n, err
		}
		if !isTimeout(err) {
			return n, err
		}
		if cerr := ar.ctx.Err(); cerr != nil {
			return 0, cerr
		}
		if ar.answersNewConnection == nil || !time.Now().Before(ar.deadline) {
			return 0, err
		}
		if n, err := ar.confirmSilent(buf); n > 0 || err != nil {
			return n, err
		}
	}
}

// confirmSilent checks whether the target answers on a new connection. It then
// tries once more to read the answer, which may have arrived in the meantime.
func (ar *answerReader) confirmSilent(buf []byte) (int, error) {
	const lastReadTimeout = 5 * time.Millisecond
	answers := ar.answersNewConnection()
	n, err := ar.readUntil(buf, time.Now().Add(lastReadTimeout))
	switch {
	case n > 0:
		ar.received += n
	case !isTimeout(err):
		return 0, err
	case answers:
		return 0, errSilent
	}
	ar.checkInterval *= 2
	ar.overdueAt = time.Now().Add(ar.checkInterval)
	return n, nil
}

func (ar *answerReader) nextDeadline() time.Time {
	if ar.answersNewConnection != nil && ar.overdueAt.Before(ar.deadline) {
		return ar.overdueAt
	}
	return ar.deadline
}

func (ar *answerReader) readUntil(buf []byte, limit time.Time) (int, error) {
	if err := ar.conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	// SetReadDeadline has overwritten the deadline of a cancellation that came
	// before it.
	if err := ar.ctx.Err(); err != nil {
		return 0, err
	}
	return ar.conn.Read(buf)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
