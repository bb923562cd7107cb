// Package faultproxy forwards TCP connections and injects faults. Only tests and
// the load tool import it.
//
// # Usage
//
//	px, err := faultproxy.New("127.0.0.1:9001")
//	defer px.Close()
//	px.SetFaults(faultproxy.Faults{Freeze: true}) // stops forwarding
package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Faults are the faults of a proxy. The zero value forwards everything.
type Faults struct {
	// Cut closes connections and refuses new ones.
	Cut bool
	// Freeze keeps every connection open, accepts new ones, and forwards nothing.
	Freeze bool
	// FreezeExisting permanently freezes the connections that are open when the
	// fault is set; new ones work.
	FreezeExisting bool
	// Delay delays every chunk in each direction.
	Delay time.Duration
	// DropRequests discards what clients send (half-open); DropReplies discards
	// what servers send.
	DropRequests bool
	DropReplies  bool
	// CloseAfter closes a connection after the server has sent this many bytes
	// on it since the fault was set; 0 means never.
	CloseAfter int64
}

// Proxy forwards connections to one address.
type Proxy struct {
	target string
	ln     net.Listener
	grp    *group.Group
	faults atomic.Pointer[Faults]
	opened atomic.Int64

	mu    sync.Mutex
	links map[*link]bool
}

type link struct {
	client, server net.Conn
	frozen         atomic.Bool
	repliedBytes   atomic.Int64
}

// New starts a proxy on a free loopback port.
func New(target string) (*Proxy, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	px := &Proxy{target: target, ln: ln, grp: group.New(context.Background()), links: map[*link]bool{}}
	px.faults.Store(&Faults{})
	px.grp.Go(px.accept)
	return px, nil
}

// Address returns the address to connect to.
func (px *Proxy) Address() string {
	return px.ln.Addr().String()
}

// Opened returns how many connections clients have opened.
func (px *Proxy) Opened() int64 {
	return px.opened.Load()
}

// SetFaults replaces the faults.
func (px *Proxy) SetFaults(faults Faults) {
	px.faults.Store(&faults)
	px.mu.Lock()
	defer px.mu.Unlock()
	for li := range px.links {
		li.repliedBytes.Store(0)
		if faults.FreezeExisting {
			li.frozen.Store(true)
		}
		if faults.Cut {
			li.close()
		}
	}
}

// Close closes the proxy and its connections and waits for its goroutines.
func (px *Proxy) Close() {
	_ = px.ln.Close()
	px.mu.Lock()
	for li := range px.links {
		li.close()
	}
	px.mu.Unlock()
	px.grp.Close()
}

func (px *Proxy) accept(context.Context) {
	for {
		client, err := px.ln.Accept()
		if err != nil {
			return
		}
		px.opened.Add(1)
		if !px.grp.Go(func(ctx context.Context) { px.serve(ctx, client) }) {
			_ = client.Close()
		}
	}
}

func (px *Proxy) serve(ctx context.Context, client net.Conn) {
	if px.faults.Load().Cut {
		_ = client.Close()
		return
	}
	server, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", px.target)
	if err != nil {
		_ = client.Close()
		return
	}
	li := &link{client: client, server: server}
	px.mu.Lock()
	px.links[li] = true
	px.mu.Unlock()
	started := px.grp.Go(func(ctx context.Context) { px.pump(ctx, li, server, client, false) })
	if started {
		px.pump(ctx, li, client, server, true)
	}
	li.close()
	px.mu.Lock()
	delete(px.links, li)
	px.mu.Unlock()
}

func (li *link) close() {
	_ = li.client.Close()
	_ = li.server.Close()
}

const chunkSize = 32 << 10

// pump copies from src to dst until either closes.
func (px *Proxy) pump(ctx context.Context, li *link, dst, src net.Conn, replies bool) {
	defer li.close()
	buf := make([]byte, chunkSize)
	for {
		n, err := src.Read(buf)
		if n > 0 && !px.forward(ctx, li, dst, buf[:n], replies) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (px *Proxy) forward(ctx context.Context, li *link, dst net.Conn, chunk []byte, replies bool) bool {
	faults := px.faults.Load()
	if faults.Delay > 0 {
		group.Sleep(ctx, faults.Delay)
	}
	for px.faults.Load().Freeze || li.frozen.Load() {
		if !group.Sleep(ctx, time.Millisecond) {
			return false
		}
	}
	if replies && faults.DropReplies || !replies && faults.DropRequests {
		return true
	}
	if replies && faults.CloseAfter > 0 {
		left := faults.CloseAfter - li.repliedBytes.Load()
		if int64(len(chunk)) >= left {
			_, _ = dst.Write(chunk[:max(0, left)])
			return false
		}
	}
	if replies {
		li.repliedBytes.Add(int64(len(chunk)))
	}
	_, err := dst.Write(chunk)
	return err == nil
}
