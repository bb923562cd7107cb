// Package peer carries messages between entries over net/rpc.
//
// A Server registers receivers of other packages under names. A Pool holds one
// connection to each peer and calls methods with a context.
//
// # Usage
//
//	srv, err := peer.Listen("10.0.0.5:7000")
//	err = srv.Register("slots", receiver)
//	srv.Start()
//	pool := peer.NewPool()
//	err = pool.Call(ctx, "10.0.0.6:7000", "slots.Exchange", &args, &reply)
//
// # Errors
//
// A call that ends with its context, or whose connection breaks, may have
// reached the peer. ErrUnreachable means that no connection could be opened, so
// the peer has not received the call.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/intake"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// ErrUnreachable means that no connection to the peer could be opened, so the
// peer has not received the call.
var ErrUnreachable = errors.New("the peer cannot be reached; it has not seen the call")

// Server accepts calls from peers.
type Server struct {
	ln  net.Listener
	rs  *rpc.Server
	grp *group.Group

	traffic Traffic

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

// Listen returns a server that listens on the address. Start begins to accept.
func Listen(addr string) (*Server, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	return &Server{ln: ln, rs: rpc.NewServer(), grp: group.New(context.Background()), conns: map[net.Conn]bool{}}, nil
}

// Address returns the address as IP:PORT.
func (srv *Server) Address() string {
	return srv.ln.Addr().String()
}

// Register makes the methods of rcvr callable as name.Method.
func (srv *Server) Register(name string, rcvr any) error {
	if err := srv.rs.RegisterName(name, rcvr); err != nil {
		return fmt.Errorf("register the methods of %s: %w", name, err)
	}
	return nil
}

// Start accepts connections until Close.
func (srv *Server) Start() {
	srv.grp.Go(func(context.Context) {
		for {
			conn, err := srv.ln.Accept()
			if err != nil {
				return
			}
			srv.serve(conn)
		}
	})
}

func (srv *Server) serve(conn net.Conn) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	// A connection accepted while Close runs would otherwise stay open, and Close
	// would wait for it forever.
	if srv.closed {
		_ = conn.Close()
		return
	}
	srv.conns[conn] = true
	srv.grp.Go(func(context.Context) {
		srv.rs.ServeConn(intake.BoundMessages(srv.traffic.Meter(conn), intake.MaxPeerMessage))
		srv.mu.Lock()
		delete(srv.conns, conn)
		srv.mu.Unlock()
	})
}

// Traffic returns the bytes carried by the server's connections.
func (srv *Server) Traffic() *Traffic {
	return &srv.traffic
}

// Close closes the listener and all connections and waits.
func (srv *Server) Close() {
	_ = srv.ln.Close()
	srv.mu.Lock()
	srv.closed = true
	for conn := range srv.conns {
		_ = conn.Close()
	}
	srv.mu.Unlock()
	srv.grp.Close()
}

// Pool holds one connection to each peer.
type Pool struct {
	traffic Traffic

	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{clients: map[string]*rpc.Client{}}
}

const dialTimeout = 300 * time.Millisecond

// Call calls a method of the peer at the address.
func (po *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	cl, err := po.client(ctx, addr)
	if err != nil {
		return err
	}
	call := cl.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The connection may no longer respond. The next call opens a new one.
		po.drop(addr, cl)
		return ctx.Err()
	case <-call.Done:
	}
	var se rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &se) {
		po.drop(addr, cl)
	}
	return call.Error
}

func (po *Pool) client(ctx context.Context, addr string) (*rpc.Client, error) {
	po.mu.Lock()
	cl := po.clients[addr]
	po.mu.Unlock()
	if cl != nil {
		return cl, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	if other := po.clients[addr]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	cl = rpc.NewClient(intake.BoundMessages(po.traffic.Meter(conn), intake.MaxPeerMessage))
	po.clients[addr] = cl
	return cl, nil
}

func (po *Pool) drop(addr string, cl *rpc.Client) {
	po.mu.Lock()
	if po.clients[addr] == cl {
		delete(po.clients, addr)
	}
	po.mu.Unlock()
	_ = cl.Close()
}

// Traffic returns the bytes carried by the pool's connections.
func (po *Pool) Traffic() *Traffic {
	return &po.traffic
}

// Close closes all connections.
func (po *Pool) Close() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for addr, cl := range po.clients {
		_ = cl.Close()
		delete(po.clients, addr)
	}
}
