// Package vmlist is the client of the platform's list of live and leaving VMs.
// The list lags behind the VMs by seconds.
//
// # Usage
//
//	vms, err := vmlist.New(baseURL, client).Fetch(ctx)
package vmlist

import (
	"context"
	"fmt"
	"net/http"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// List is the answer of the service.
type List struct {
	VMs []platform.VM `json:"vms"`
}

// Client speaks to the service.
type Client struct {
	base string
	hc   *http.Client
}

// New returns a client of the service at the base URL.
func New(base string, hc *http.Client) *Client {
	return &Client{base: base, hc: hc}
}

// Fetch returns the present list.
func (cl *Client) Fetch(ctx context.Context) ([]platform.VM, error) {
	list, err := jsonhttp.Call[jsonhttp.None, List](ctx, cl.hc, http.MethodGet, cl.base+"/vms", jsonhttp.None{})
	if err != nil {
		return nil, fmt.Errorf("fetch the list of VMs: %w", err)
	}
	return list.VMs, nil
}
