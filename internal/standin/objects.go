package standin

import (
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// ObjectsFaults are the faults of the object store stand-in.
type ObjectsFaults struct {
	Outage      bool  `json:"outage,omitempty"`
	DelayMillis int64 `json:"delay-millis,omitempty"`
}

// Objects is an object store in memory.
type Objects struct {
	faults atomic.Pointer[ObjectsFaults]
	router chi.Router

	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	ob := &Objects{objects: map[string][]byte{}, router: chi.NewRouter()}
	ob.faults.Store(&ObjectsFaults{})
	ob.router.Put("/objects/{key}", ob.put)
	ob.router.Get("/objects/{key}", ob.get)
	ob.router.Delete("/objects/{key}", ob.remove)
	ob.router.Put("/control/faults", faultsHandler(&ob.faults))
	return ob
}

// SetFaults replaces the faults.
func (ob *Objects) SetFaults(faults ObjectsFaults) {
	ob.faults.Store(&faults)
}

// ServeHTTP serves the object store's protocol.
func (ob *Objects) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	faults := ob.faults.Load()
	if req.Method != http.MethodPut || req.URL.Path != "/control/faults" {
		group.Sleep(req.Context(), time.Duration(faults.DelayMillis)*time.Millisecond)
		if faults.Outage {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	ob.router.ServeHTTP(wr, req)
}

func (ob *Objects) put(wr http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, 64<<20))
	if err != nil {
		return
	}
	ob.mu.Lock()
	ob.objects[pathParam(req, "key")] = raw
	ob.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

func (ob *Objects) get(wr http.ResponseWriter, req *http.Request) {
	ob.mu.Lock()
	raw, ok := ob.objects[pathParam(req, "key")]
	ob.mu.Unlock()
	if !ok {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusNotFound, "no-such-object", "no such object", "check the key", 0))
		return
	}
	_, _ = wr.Write(raw)
}

func (ob *Objects) remove(wr http.ResponseWriter, req *http.Request) {
	ob.mu.Lock()
	delete(ob.objects, pathParam(req, "key"))
	ob.mu.Unlock()
	wr.WriteHeader(http.StatusNoContent)
}

// pathParam returns a path parameter without its percent encoding.
func pathParam(req *http.Request, name string) string {
	raw := chi.URLParam(req, name)
	if val, err := url.PathUnescape(raw); err == nil {
		return val
	}
	return raw
}
