package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/vmlist"
)

// VMListFaults are the faults of the VM list stand-in.
type VMListFaults struct {
	Outage bool `json:"outage,omitempty"`
}

type listing struct {
	visibleAt time.Time
	vms       []ids.VM
}

// VMList is a list of VMs whose changes become visible after a lag.
type VMList struct {
	lag    time.Duration
	router chi.Router

	mu       sync.Mutex
	faults   VMListFaults
	listings []listing
	// version counts the changes that have become visible; it is the ETag.
	version int
}

// NewVMList returns an empty list whose changes become visible after the lag.
func NewVMList(lag time.Duration) *VMList {
	vl := &VMList{lag: lag, router: chi.NewRouter(), listings: []listing{{}}}
	vl.router.Get("/vms", vl.get)
	vl.router.Put("/control/vms", jsonhttp.Handle(func(_ context.Context, req vmlist.List) (vmlist.List, error) {
		vl.Set(req.VMs)
		return req, nil
	}))
	vl.router.Put("/control/faults", jsonhttp.Handle(func(_ context.Context, req VMListFaults) (VMListFaults, error) {
		vl.SetFaults(req)
		return req, nil
	}))
	return vl
}

// ServeHTTP serves the list's protocol.
func (vl *VMList) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	vl.router.ServeHTTP(wr, req)
}

// SetFaults replaces the faults.
func (vl *VMList) SetFaults(faults VMListFaults) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.faults = faults
}

// Set replaces the VMs; readers see the change after the lag. The first list is
// visible at once.
func (vl *VMList) Set(vms []ids.VM) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	visibleAt := time.Now().Add(vl.lag)
	if len(vl.listings) == 1 && vl.listings[0].vms == nil {
		visibleAt = time.Time{}
	}
	vl.listings = append(vl.listings, listing{visibleAt: visibleAt, vms: append([]ids.VM(nil), vms...)})
}

// Change calls fn with the newest list, visible or not, and replaces the VMs
// with its result.
func (vl *VMList) Change(fn func(vms []ids.VM) []ids.VM) {
	vl.mu.Lock()
	newest := append([]ids.VM(nil), vl.listings[len(vl.listings)-1].vms...)
	vl.mu.Unlock()
	vl.Set(fn(newest))
}

func (vl *VMList) get(wr http.ResponseWriter, req *http.Request) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	if vl.faults.Outage {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusServiceUnavailable, "vm-list-unavailable", "the list of VMs is down", "try again later", 0))
		return
	}
	now := time.Now()
	for len(vl.listings) > 1 && !vl.listings[1].visibleAt.After(now) {
		vl.listings = vl.listings[1:]
		vl.version++
	}
	etag := fmt.Sprintf("%q", strconv.Itoa(vl.version))
	wr.Header().Set("ETag", etag)
	if req.Header.Get("If-None-Match") == etag {
		wr.WriteHeader(http.StatusNotModified)
		return
	}
	jsonhttp.Write(wr, http.StatusOK, vmlist.List{VMs: vl.listings[0].vms})
}
