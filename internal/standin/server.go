// Package standin implements small stand-ins for the platform and the back ends:
// the table service, the object store, the list of VMs, workers and targets.
// Tests, the demo and benchmarks use them; no product package imports them.
//
// Faults can be injected while a stand-in runs: by its SetFaults method, or by
// PUT /control/faults with the same values as JSON.
//
// # Usage
//
//	tb := standin.NewTable(standin.TableOptions{CommitDelay: 5 * time.Millisecond})
//	srv, err := standin.Serve("127.0.0.1:0", tb)
//	defer srv.Close()
//	fmt.Println(srv.URL())
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Server serves one stand-in on one address.
type Server struct {
	ln  net.Listener
	hs  *http.Server
	grp *group.Group
}

// Serve starts serving the handler on the address; port 0 picks a free port.
func Serve(addr string, handler http.Handler) (*Server, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return ServeListener(ln, handler), nil
}

// ServeListener starts serving the handler on the listener.
func ServeListener(ln net.Listener, handler http.Handler) *Server {
	srv := &Server{
		ln:  ln,
		hs:  &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		grp: group.New(context.Background()),
	}
	srv.grp.Go(func(context.Context) { _ = srv.hs.Serve(ln) })
	return srv
}

// Address returns the address as IP:PORT.
func (srv *Server) Address() string {
	return srv.ln.Addr().String()
}

// URL returns the base URL.
func (srv *Server) URL() string {
	return "http://" + srv.Address()
}

// Close closes the listener and every connection at once, as a crash would.
func (srv *Server) Close() {
	_ = srv.hs.Close()
	srv.grp.Close()
}

// dropReply closes the connection of a request without answering it.
func dropReply(wr http.ResponseWriter) {
	hj, ok := wr.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hj.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// faultsHandler returns a handler that replaces the faults of a stand-in.
func faultsHandler[T any](faults *atomic.Pointer[T]) http.HandlerFunc {
	return jsonhttp.Handle(func(_ context.Context, req T) (T, error) {
		faults.Store(&req)
		return req, nil
	})
}
