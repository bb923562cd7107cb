// Package table is the client of the platform's transactional table service.
//
// A transaction checks versions of rows and writes rows, all or nothing. Its
// id makes it idempotent: sending it again after a lost reply has no second
// effect, and Outcome reports whether it was committed.
//
// # Usage
//
//	tb := table.New(baseURL, client)
//	_, err := tb.Commit(ctx, table.Transaction{
//		ID:     uuid.NewString(),
//		Checks: []table.Check{{Key: "job/42", Version: table.Absent}},
//		Writes: []table.Write{{Key: "job/42", Value: raw}},
//	})
//
// # Errors
//
// *ConflictError: the transaction was not committed; it holds the present
// rows. After any other error of Commit the outcome is unknown.
package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
)

// Version is the version of a row. The service increases it at every commit.
type Version int64

// Absent is the version of a row that does not exist.
const Absent Version = 0

// Limits of one transaction.
const (
	MaxRows  = 4000
	MaxBytes = 4 << 20
)

// Check is the condition that a row has a version.
type Check struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets a row to a value, or deletes it.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Transaction is a set of checks and writes that takes effect as a whole.
type Transaction struct {
	ID     string  `json:"id"`
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// Row is a row as read.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Committed is the answer to a transaction that was committed. Rows that it
// wrote have this version.
type Committed struct {
	Committed bool    `json:"committed"`
	Version   Version `json:"version"`
}

// Conflicts lists the present rows of the checks that failed.
type Conflicts struct {
	Conflicts []Row `json:"conflicts"`
}

// Page is a part of a listing.
type Page struct {
	Rows []Row `json:"rows"`
}

// ConflictError reports that a transaction was not committed.
type ConflictError struct {
	Rows []Row
}

// Error names the rows in conflict.
func (er *ConflictError) Error() string {
	keys := make([]string, 0, len(er.Rows))
	for _, row := range er.Rows {
		keys = append(keys, row.Key)
	}
	return fmt.Sprintf("table rows %v have changed; read them and try again", keys)
}

// Client sends requests to the table service.
type Client struct {
	base string
	hc   *http.Client
}

// New returns a client of the service at the base URL.
func New(base string, hc *http.Client) *Client {
	return &Client{base: base, hc: hc}
}

// Commit commits the transaction.
func (cl *Client) Commit(ctx context.Context, tx Transaction) (Version, error) {
	rep, err := jsonhttp.Call[Transaction, Committed](ctx, cl.hc, http.MethodPost, cl.base+"/table/transactions", tx)
	var se *jsonhttp.StatusError
	if errors.As(err, &se) && se.Status == http.StatusConflict {
		var con Conflicts
		if err := json.Unmarshal(se.Body, &con); err != nil {
			return 0, fmt.Errorf("decode the conflicts of a transaction: %w", err)
		}
		return 0, &ConflictError{Rows: con.Conflicts}
	}
	if err != nil {
		return 0, fmt.Errorf("commit a table transaction: %w", err)
	}
	return rep.Version, nil
}

// Outcome reports whether the transaction with the id was committed.
func (cl *Client) Outcome(ctx context.Context, id string) (Committed, error) {
	return jsonhttp.Call[jsonhttp.None, Committed](ctx, cl.hc, http.MethodGet, cl.base+"/table/transactions/"+url.PathEscape(id), jsonhttp.None{})
}

// Get reads a row. A row that does not exist has the version Absent.
func (cl *Client) Get(ctx context.Context, key string) (Row, error) {
	row, err := jsonhttp.Call[jsonhttp.None, Row](ctx, cl.hc, http.MethodGet, cl.base+"/table/rows/"+url.PathEscape(key), jsonhttp.None{})
	if jsonhttp.StatusOf(err) == http.StatusNotFound {
		return Row{Key: key}, nil
	}
	if err != nil {
		return Row{}, fmt.Errorf("read the table row %q: %w", key, err)
	}
	return row, nil
}

// List reads at most limit rows whose keys start with the prefix and come
// after the key after, in the order of their keys.
func (cl *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	page, err := jsonhttp.Call[jsonhttp.None, Page](ctx, cl.hc, http.MethodGet, cl.base+"/table/rows?"+query.Encode(), jsonhttp.None{})
	if err != nil {
		return nil, fmt.Errorf("list the table rows under %q: %w", prefix, err)
	}
	return page.Rows, nil
}
