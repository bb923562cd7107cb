// Package objects is the client of the platform's object store.
//
// # Usage
//
//	ob := objects.New(baseURL, client)
//	err := ob.Put(ctx, "result/job-1/0", raw)
//	raw, err := ob.Get(ctx, "result/job-1/0")
package objects

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// MaxBytes bounds the size of one object.
const MaxBytes = 64 << 20

// ErrNotFound reports that the store has no object with the key.
var ErrNotFound = errors.New("the object store has no object of this key; check the key")

// Client sends requests to the object store.
type Client struct {
	base string
	hc   *http.Client
}

// New returns a client of the store at the base URL.
func New(base string, hc *http.Client) *Client {
	return &Client{base: base, hc: hc}
}

// Put stores an object. Putting the same object again has no further effect.
func (cl *Client) Put(ctx context.Context, key string, raw []byte) error {
	_, err := cl.call(ctx, http.MethodPut, key, raw)
	return err
}

// Get returns an object.
func (cl *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return cl.call(ctx, http.MethodGet, key, nil)
}

// Delete removes an object.
func (cl *Client) Delete(ctx context.Context, key string) error {
	_, err := cl.call(ctx, http.MethodDelete, key, nil)
	return err
}

func (cl *Client) call(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, cl.base+"/objects/"+url.PathEscape(key), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build a request to the object store: %w", err)
	}
	rep, err := cl.hc.Do(req)
	if err != nil {
		return nil, fmt.Errorf("reach the object store: %w", err)
	}
	defer rep.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(rep.Body, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read from the object store: %w", err)
	}
	switch {
	case rep.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("object %q: %w", key, ErrNotFound)
	case rep.StatusCode < 200 || rep.StatusCode > 299:
		return nil, fmt.Errorf("the object store answered status %d to %s %q", rep.StatusCode, method, key)
	case len(raw) > MaxBytes:
		return nil, fmt.Errorf("object %q is larger than %d bytes", key, MaxBytes)
	}
	return raw, nil
}
