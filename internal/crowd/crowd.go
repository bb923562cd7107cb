// Package crowd plays clients that do not behave, in tests of the HTTP
// listeners. Each kind of client opens many connections to one path, sends what
// it sends, and keeps its connections open until the crowd is closed.
//
// # Usage
//
//	cr := crowd.Open(ctx, kind, crowd.Target{Address: addr, Host: "h", Path: "/q/1"})
//	defer cr.Close()
//	cr.Settle()
//
// Only tests import it.
package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Target is a path of a listener.
type Target struct {
	Name    string
	Address string
	Host    string
	Path    string
	// List is the key of the list of steps in a job, "" for "steps".
	List string
}

// Kind is one kind of client.
type Kind struct {
	Name string
	// Connections is the number of connections of the crowd.
	Connections int
	// Send plays the client on one connection. It ends when nothing is left to
	// send, or when the connection or ctx has ended.
	Send func(ctx context.Context, conn net.Conn, to Target)
}

// The sizes of what the clients send.
const (
	// BodyBytes is the largest permitted body.
	BodyBytes = 256 << 10
	// HeaderBytes is the largest permitted header.
	HeaderBytes = 16 << 10
	// connections of permitted bodies hold 250 MB together.
	connections = 1000
	// stepConnections is the number of connections with many short steps: each
	// of these bodies takes over 10 MB when it is decoded.
	stepConnections = 48
	// overLimit is the announced size of a body over the limit, and overSent what
	// is sent of it.
	overLimit  = 64 << 20
	overSent   = 4 * BodyBytes
	pieceBytes = 2 << 10
	chunkBytes = 4 << 10
	// slowPause is the pause between two bytes of a slow client.
	slowPause = 50 * time.Millisecond
	// sendTimeout bounds the sending of a client whose bytes are not read.
	sendTimeout = 3 * time.Second
	dialTimeout = 5 * time.Second
	// settleTime is how long the crowd is held after it has sent its bytes.
	settleTime = 400 * time.Millisecond
)

// Kinds returns all kinds of clients.
func Kinds() []Kind {
	return []Kind{
		{"body in one piece", connections, sendWhole},
		{"body in small pieces", connections, sendPieces},
		{"chunked body", connections, sendChunked},
		{"body over the limit", connections, sendOverLimit},
		{"short header fields", connections, sendFields},
		{"short JSON keys", connections, sendBody(shortKeys())},
		{"short steps", stepConnections, sendBody(shortSteps())},
		{"long after lists", connections, sendBody(longAfter())},
		{"pipelined requests", connections, sendPipelined},
		{"slow senders", connections, sendSlowly},
		{"slow readers", connections, readSlowly},
		{"stopped half-way", connections, stopHalfWay},
	}
}

// Crowd is a number of open connections of one kind of client.
type Crowd struct {
	grp     *group.Group
	sending atomic.Int64
}

// Open opens the connections and begins to send. Close closes them.
func Open(ctx context.Context, kind Kind, to Target) *Crowd {
	cr := &Crowd{grp: group.New(ctx)}
	cr.sending.Store(int64(kind.Connections))
	for range kind.Connections {
		cr.grp.Go(func(ctx context.Context) {
			cr.play(ctx, kind, to)
		})
	}
	return cr
}

func (cr *Crowd) play(ctx context.Context, kind Kind, to Target) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		cr.sending.Add(-1)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	kind.Send(ctx, conn, to)
	cr.sending.Add(-1)
	<-ctx.Done()
}

// Settle returns when the clients have sent their bytes, or can't send more,
// and have been held for a while.
func (cr *Crowd) Settle(ctx context.Context) {
	const check = 10 * time.Millisecond
	for end := time.Now().Add(sendTimeout); cr.sending.Load() > 0 && time.Now().Before(end); {
		group.Sleep(ctx, check)
	}
	group.Sleep(ctx, settleTime)
}

// Close closes the connections.
func (cr *Crowd) Close() { cr.grp.Close() }

func header(to Target, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", to.Path, to.Host, fields)
}

func announced(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size) }

// write sends text and reports whether the connection is still usable.
func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// filler is a body without a job.
var filler = strings.Repeat(" ", overSent)

func sendWhole(_ context.Context, conn net.Conn, to Target) {
	_ = write(conn, header(to, announced(BodyBytes))) && write(conn, filler[:BodyBytes-1])
}

func sendPieces(ctx context.Context, conn net.Conn, to Target) {
	ok := write(conn, header(to, announced(BodyBytes)))
	for left := BodyBytes - 1; ok && left > 0; left -= pieceBytes {
		ok = write(conn, filler[:min(pieceBytes, left)])
		group.Sleep(ctx, time.Millisecond)
	}
}

func sendChunked(_ context.Context, conn net.Conn, to Target) {
	ok := write(conn, header(to, "Transfer-Encoding: chunked\r\n"))
	for sent := chunkBytes; ok && sent < BodyBytes; sent += chunkBytes {
		ok = write(conn, fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, filler[:chunkBytes]))
	}
}

func sendOverLimit(_ context.Context, conn net.Conn, to Target) {
	_ = write(conn, header(to, announced(overLimit))) && write(conn, filler)
}

func sendFields(_ context.Context, conn net.Conn, to Target) {
	var fields strings.Builder
	fields.WriteString(announced(2))
	// The product counts the bytes of names and values.
	for num, size := 0, 0; size < HeaderBytes-len(announced(2))-len(to.Path); num++ {
		name := fmt.Sprintf("%x", num)
		fields.WriteString(name + ":\r\n")
		size += len(name)
		if fields.Len() > HeaderBytes {
			break
		}
	}
	_ = write(conn, header(to, fields.String())) && write(conn, " ")
}

// sendBody returns a client that sends a whole body.
func sendBody(body string) func(context.Context, net.Conn, Target) {
	return func(_ context.Context, conn net.Conn, to Target) {
		text := body
		if to.List != "" {
			text = strings.Replace(body, "steps", to.List, 1)
		}
		_ = write(conn, header(to, announced(len(text)))) && write(conn, text)
	}
}

func shortKeys() string {
	var body strings.Builder
	body.WriteString(`{"steps":[]`)
	for num := 0; body.Len() < BodyBytes-16; num++ {
		fmt.Fprintf(&body, `,"%x":0`, num)
	}
	return body.String() + "}"
}

func shortSteps() string {
	const tail = "{}]}"
	head := `{"steps":[`
	return head + strings.Repeat("{},", (BodyBytes-len(head)-len(tail))/len("{},")) + tail
}

// longAfter returns a job whose second step has a list that is refused for its
// last element, so that the job takes no room of the workers.
func longAfter() string {
	const tail = "9]}]}"
	head := `{"bestEffort":true,"steps":[{"count":1},{"count":1,"after":[`
	return head + strings.Repeat("0,", (BodyBytes-len(head)-len(tail))/len("0,")) + tail
}

func sendPipelined(_ context.Context, conn net.Conn, to Target) {
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", to.Path, to.Host)
	batch := strings.Repeat(request, chunkBytes/len(request))
	ok := true
	for sent := 0; ok && sent < BodyBytes; sent += len(batch) {
		ok = write(conn, batch)
	}
}

func sendSlowly(ctx context.Context, conn net.Conn, to Target) {
	ok := write(conn, header(to, announced(BodyBytes)))
	for end := time.Now().Add(sendTimeout); ok && ctx.Err() == nil && time.Now().Before(end); {
		ok = write(conn, " ")
		group.Sleep(ctx, slowPause)
	}
}

func readSlowly(ctx context.Context, conn net.Conn, to Target) {
	if tc, ok := conn.(*net.TCPConn); ok {
		_ = tc.SetReadBuffer(1)
	}
	sendPipelined(ctx, conn, to)
	one := make([]byte, 1)
	for end := time.Now().Add(sendTimeout); ctx.Err() == nil && time.Now().Before(end); {
		if _, err := conn.Read(one); err != nil {
			return
		}
		group.Sleep(ctx, slowPause)
	}
}

func stopHalfWay(_ context.Context, conn net.Conn, to Target) {
	text := header(to, announced(BodyBytes))
	_ = write(conn, text[:len(text)/2])
}
