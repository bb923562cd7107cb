package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/intake"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// httpServer is a listener with its HTTP server.
type httpServer struct {
	ln net.Listener
	hs *http.Server
}

func newHTTPServer(addr string) (*httpServer, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &httpServer{ln: ln, hs: &http.Server{}}, nil //nolint:gosec // handle sets the timeouts
}

func (sv *httpServer) address() string { return sv.ln.Addr().String() }

// handle sets the handler and the limits of the listener.
func (sv *httpServer) handle(handler http.Handler, guard *intake.Guard, opt intake.Options) {
	sv.hs.Handler = handler
	sv.hs.ReadHeaderTimeout = guard.Limits().HeaderTime
	sv.ln = guard.Guard(sv.hs, sv.ln, opt)
}

// logLimit writes a line about limited callers.
func (en *Entry) logLimit(event string, fields ...any) { en.log.Warn().Fields(fields).Msg(event) }

func (sv *httpServer) start(grp *group.Group) {
	grp.Go(func(context.Context) { _ = sv.hs.Serve(sv.ln) })
}

func (sv *httpServer) close() {
	_ = sv.hs.Close()
	_ = sv.ln.Close()
}

// onlyReady refuses requests while the entry has no configuration or no list of
// VMs. A draining entry still serves, because the balancer may not have noticed
// the drain yet.
func (en *Entry) onlyReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		err := en.Ready()
		if errors.Is(err, ErrNoConfiguration) || errors.Is(err, ErrNoVMList) {
			jsonhttp.WriteError(wr, outcome.Refuse(http.StatusServiceUnavailable, "not-ready", err.Error(), "use another entry or try again", time.Second))
			return
		}
		next.ServeHTTP(wr, req)
	})
}
