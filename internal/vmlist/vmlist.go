// Package vmlist is the client of the platform's list of live and leaving VMs.
// The list lags behind the VMs by seconds.
//
// # Usage
//
//	cl := vmlist.New(baseURL, client)
//	vms, changed, err := cl.Fetch(ctx)
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
)

// List is the answer of the service.
type List struct {
	VMs []ids.VM `json:"vms"`
}

// Client sends requests to the service. It is not safe for concurrent use.
type Client struct {
	base string
	hc   *http.Client
	// etag is the ETag of the last list. With it the service does not send an
	// unchanged list again. The list of 1,127 VMs at the design size is about
	// 190 kB, which once a second is more than a daemon may spend on control, and
	// the list changes only a few hundred times a day.
	etag string
}

// New returns a client of the service at the base URL.
func New(base string, hc *http.Client) *Client {
	return &Client{base: base, hc: hc}
}

// Fetch returns the present list, or false when the list has not changed since
// the last Fetch.
func (cl *Client) Fetch(ctx context.Context) ([]ids.VM, bool, error) {
	vms, changed, err := cl.fetch(ctx)
	if err != nil {
		return nil, false, fmt.Errorf("fetch the list of VMs: %w", err)
	}
	return vms, changed, nil
}

func (cl *Client) fetch(ctx context.Context) ([]ids.VM, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.base+"/vms", http.NoBody)
	if err != nil {
		return nil, false, err
	}
	if cl.etag != "" {
		req.Header.Set("If-None-Match", cl.etag)
	}
	rep, err := cl.hc.Do(req)
	if err != nil {
		return nil, false, err
	}
	defer rep.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(rep.Body, jsonhttp.MaxBody))
	switch {
	case err != nil:
		return nil, false, err
	case rep.StatusCode == http.StatusNotModified:
		return nil, false, nil
	case rep.StatusCode != http.StatusOK:
		return nil, false, &jsonhttp.StatusError{Status: rep.StatusCode, Body: raw}
	}
	var list List
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, false, fmt.Errorf("decode the list: %w", err)
	}
	cl.etag = rep.Header.Get("ETag")
	return list.VMs, true, nil
}
