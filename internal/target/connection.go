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
	// dialTimeout lies below the second after which TCP first repeats a lost
	// SYN; a round trip takes less than 1 ms.
	dialTimeout   = 300 * time.Millisecond
	healthTimeout = 300 * time.Millisecond
	// idleLimit closes connections before something between the two ends is
	// likely to forget them.
	idleLimit = 30 * time.Second
	// maxLingering bounds, for each target, the condemned connections that are
	// kept open to learn whether their answer comes after all.
	maxLingering = 2
	maxLinger    = 10 * time.Second
)

var (
	errConnLimit = errors.New("all connections that this entry may open to the target are in use")
	errRetired   = errors.New("the target is leaving")
)

// connections are the connections of this entry to one target. A connection
// carries one request at a time and is never used again while an answer is due
// on it.
type connections struct {
	grp       *group.Group
	lingering atomic.Int64

	mu      sync.Mutex
	address string
	retired bool
	idle    []*connection // the most recently used last
	open    int
	// The limit follows the allowance: gate slots * connections / slots.
	gate               *slotshare.Gate
	slots, connections int
}

// connection is one connection to a target.
type connection struct {
	net.Conn
	owner   *connections
	address string
	br      *bufio.Reader
	rd      *answerReader
	since   time.Time // of the end of the last answer
	fresh   bool
	closing sync.Once
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

// retire closes the idle connections; connections in use close after their
// answer.
func (cs *connections) retire() {
	cs.mu.Lock()
	cs.retired = true
	idle := cs.takeIdle()
	cs.mu.Unlock()
	closeAll(idle)
}

// dropIdle closes the idle connections: after one has gone silent, those of
// the same age have probably gone silent too.
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

// closeIdle closes connections that have been idle for long, or that are above
// a lowered limit.
func (cs *connections) closeIdle(now time.Time) {
	cs.mu.Lock()
	old := 0
	surplus := cs.open - cs.limit()
	for old < len(cs.idle) && (old < surplus || now.Sub(cs.idle[old].since) > idleLimit) {
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

// limit returns how many connections may be open.
func (cs *connections) limit() int {
	if cs.gate == nil || cs.slots == 0 {
		return 0
	}
	slots, _ := cs.gate.Allowance()
	return min(cs.connections, slots*cs.connections/cs.slots)
}

// get returns an idle connection that still looks alive, or a new one.
func (cs *connections) get(ctx context.Context, fresh bool) (*connection, error) {
	for !fresh {
		co := cs.popIdle()
		if co == nil {
			break
		}
		if co.quiet() {
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

// dial opens a connection within the limit, for which it closes an idle one if
// it must. A leaving target is connected to only for probes of its health.
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
		cs.closed()
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	co := &connection{Conn: nc, owner: cs, address: addr, fresh: true}
	co.rd = &answerReader{conn: nc}
	co.br = bufio.NewReader(co.rd)
	return co, nil
}

func (cs *connections) closed() {
	cs.mu.Lock()
	cs.open--
	cs.mu.Unlock()
}

// put keeps the connection for the next request, unless the target has moved
// to another address or the limit has fallen.
func (cs *connections) put(co *connection) {
	co.since = time.Now()
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
		co.owner.closed()
	})
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Bytes that arrive without a request are a late answer to an earlier one.
func (co *connection) quiet() bool {
	sc, ok := co.Conn.(syscall.Conn)
	if !ok || co.br.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

var errUnhealthy = errors.New("the target does not answer GET /health with status 200")

// health returns nil when the target answers GET /health on a new connection.
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
	co.rd.begin(ctx, time.Now().Add(timeout))
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

// linger keeps a condemned connection open for a while and calls late if its
// answer begins to arrive after all, which shows that the connection was slow
// and not silent. Nothing that arrives reaches a caller.
func (cs *connections) linger(co *connection, until time.Time, late func()) {
	if limit := time.Now().Add(maxLinger); until.After(limit) {
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

// errSilent ends the reading of an answer on a connection that has gone silent.
var errSilent = errors.New("the connection went silent while the target answers on a new one")

// answerReader reads an answer. When nothing arrives until overdue, it asks
// whether the target answers elsewhere; if so, the connection is silent.
type answerReader struct {
	conn     net.Conn
	ctx      context.Context //nolint:containedctx // of the request under way
	deadline time.Time
	overdue  time.Time
	pause    time.Duration
	// elsewhere reports whether the target answers on a new connection.
	elsewhere func() bool
	received  int
}

// begin starts a new answer that must arrive by the deadline.
func (ar *answerReader) begin(ctx context.Context, deadline time.Time) {
	*ar = answerReader{conn: ar.conn, ctx: ctx, deadline: deadline}
}

// watch sets the time until the answer is overdue.
func (ar *answerReader) watch(due time.Duration, elsewhere func() bool) {
	ar.pause = due
	ar.overdue = time.Now().Add(due)
	ar.elsewhere = elsewhere
	ar.received = 0
}

// Read reads from the connection.
func (ar *answerReader) Read(buf []byte) (int, error) {
	for {
		n, err := ar.readUntil(buf, ar.nextLimit())
		if n > 0 {
			ar.received += n
			if ar.elsewhere != nil {
				ar.overdue = time.Now().Add(ar.pause)
			}
			return n, err
		}
		if !isTimeout(err) {
			return n, err
		}
		if cerr := ar.ctx.Err(); cerr != nil {
			return 0, cerr
		}
		if ar.elsewhere == nil || !time.Now().Before(ar.deadline) {
			return 0, err
		}
		if n, err := ar.confirm(buf); n > 0 || err != nil {
			return n, err
		}
	}
}

// confirm asks whether the target answers elsewhere. It gives the answer one
// more chance, because it may have arrived in the meantime.
func (ar *answerReader) confirm(buf []byte) (int, error) {
	const chance = 5 * time.Millisecond
	answers := ar.elsewhere()
	n, err := ar.readUntil(buf, time.Now().Add(chance))
	switch {
	case n > 0:
		ar.received += n
	case !isTimeout(err):
		return 0, err
	case answers:
		return 0, errSilent
	}
	ar.pause *= 2
	ar.overdue = time.Now().Add(ar.pause)
	return n, nil
}

func (ar *answerReader) nextLimit() time.Time {
	if ar.elsewhere != nil && ar.overdue.Before(ar.deadline) {
		return ar.overdue
	}
	return ar.deadline
}

func (ar *answerReader) readUntil(buf []byte, limit time.Time) (int, error) {
	if err := ar.conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	// A cancellation before this line has moved the deadline in vain.
	if err := ar.ctx.Err(); err != nil {
		return 0, err
	}
	return ar.conn.Read(buf)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
