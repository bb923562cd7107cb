// Package versioned keeps one numbered document in a table with conditional
// transactions. Every change is a patch stated against the number that its
// author last saw, and carries an id.
//
//   - Numbers are dense: each accepted patch makes the next number.
//   - A patch is accepted at most once. The same id sent again returns the same
//     number, so a lost reply is resolved by sending the patch again.
//   - The loser of a race hears the present number and the keys changed since.
//   - Acceptance never rests on a read that may be answered from the past.
//
// The document itself is stored once per number; the row that is polled holds
// the number alone.
//
// # Usage
//
//	st := versioned.New(versioned.Options[Doc]{
//		Rows:    rows,
//		Prefix:  "config/",
//		Initial: func() Doc { return Doc{} },
//		Apply:   func(doc Doc, patch json.RawMessage) (Doc, error) { ... },
//		Changed: func(before, after Doc) []string { ... },
//	})
//	accepted, err := st.Accept(ctx, versioned.Patch{LastSeen: 3, PatchID: id, Patch: raw})
//
// # Errors
//
// *RaceError and *PatchIDError: the patch was not accepted. Errors of
// Options.Apply are returned as they are: not accepted. An error that wraps
// ErrUnknown leaves open whether the patch was accepted; send it again with the
// same id. Any other error: not accepted.
package versioned

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Number is the number of a version. Number 0 is the initial document, which
// no patch has made.
type Number int64

// Row is a row of the table. A row that does not exist has version 0.
type Row struct {
	Key     string
	Version int64
	Value   json.RawMessage
}

// Check demands that a row has a version; 0 demands that it does not exist.
type Check struct {
	Key     string
	Version int64
}

// Write sets a row.
type Write struct {
	Key   string
	Value json.RawMessage
}

// ErrConflict is returned by Rows.Commit when a check failed.
var ErrConflict = errors.New("a checked row has changed")

// Rows is the table that holds the document.
type Rows interface {
	// Get reads a row, possibly from the past.
	Get(ctx context.Context, key string) (Row, error)
	// List reads rows in the order of their keys, possibly from the past.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Present reads rows as they are now, in the order of the keys.
	Present(ctx context.Context, keys ...string) ([]Row, error)
	// Commit makes all writes if all checks hold, and returns ErrConflict
	// otherwise. The same id sent again has no second effect.
	Commit(ctx context.Context, id string, checks []Check, writes []Write) error
}

// Patch is a change stated against the version that its author last saw.
type Patch struct {
	LastSeen Number          `json:"last-seen"`
	PatchID  string          `json:"patch-id"`
	Author   string          `json:"author,omitempty"`
	Patch    json.RawMessage `json:"patch"`
}

// Version is a document with its number.
type Version[Doc any] struct {
	Number   Number `json:"number"`
	Document Doc    `json:"document"`
}

// Record is one version in the history.
type Record struct {
	Number   Number    `json:"number"`
	PatchID  string    `json:"patch-id"`
	Author   string    `json:"author,omitempty"`
	Accepted time.Time `json:"accepted"`
	Changed  []string  `json:"changed-keys"`
}

// RaceError says that the document has changed since the author last saw it.
type RaceError struct {
	Present Number
	Changed []string
}

// Error names the present number and the changed keys.
func (er *RaceError) Error() string {
	return fmt.Sprintf("the document is at number %d; changed since the last seen number: %v", er.Present, er.Changed)
}

// PatchIDError says that a patch id was used before for another patch.
type PatchIDError struct {
	PatchID string
	Number  Number
}

// Error names the number that the id belongs to.
func (er *PatchIDError) Error() string {
	return fmt.Sprintf("patch id %q belongs to another patch, accepted as number %d; send this patch with an id of its own", er.PatchID, er.Number)
}

// SizeError says that the patched document is too large.
type SizeError struct {
	Bytes, Limit int
}

// Error names the size and the limit in bytes.
func (er *SizeError) Error() string {
	return fmt.Sprintf("the patched document has %d bytes; at most %d are accepted", er.Bytes, er.Limit)
}

// ErrUnknown says that a reply was lost and that the patch may have been
// accepted.
var ErrUnknown = errors.New("it is not known whether the patch was accepted; send it again with the same id")

// MaxDocument bounds the size of a document in bytes. A commit carries the
// document once and stays well under the 4 MB of a transaction.
const MaxDocument = 1 << 20
