// Package versioned stores a document with numbered versions in a table with
// conditional transactions. Each change is a patch with an id, relative to the
// version number that its author last saw.
//
//   - Numbers are consecutive: each accepted patch creates the next number.
//   - A patch is accepted at most once. Sending the same id again returns the
//     same number, so a lost reply is resolved by sending the patch again.
//   - A patch relative to an old number is rejected with the current number and
//     the keys changed since.
//   - A patch is never accepted on the basis of a read that may be stale.
//
// The document is stored once per number. The row that callers poll holds only
// the number.
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
// After an error that wraps ErrUnknown, the patch may or may not have been
// accepted: send it again with the same id. After any other error, such as
// *RaceError or *PatchIDError, the patch was not accepted. Errors of
// Options.Apply are returned unchanged.
package versioned

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Number is the number of a version. Number 0 is the initial document, which
// precedes all patches.
type Number int64

// Row is a row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string
	Version int64
	Value   json.RawMessage
}

// Check is the condition that a row has the given version. Version 0 means that
// the row does not exist.
type Check struct {
	Key     string
	Version int64
}

// Write sets a row.
type Write struct {
	Key   string
	Value json.RawMessage
}

// ErrConflict is returned by Rows.Commit if a check failed.
var ErrConflict = errors.New("a checked row has changed")

// Rows is the table that holds the document.
type Rows interface {
	// Get reads a row. The result may be stale.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows with the key prefix and a key above after, in
	// the order of their keys. The result may be stale.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// ReadCurrent reads the current rows, in the order of the arguments. The
	// result is never stale.
	ReadCurrent(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all writes if all checks hold, and otherwise returns
	// ErrConflict. It is idempotent by id.
	Commit(ctx context.Context, id string, checks []Check, writes []Write) error
}

// Patch is a change relative to the version that its author last saw.
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

// Record describes one version in the history.
type Record struct {
	Number   Number    `json:"number"`
	PatchID  string    `json:"patch-id"`
	Author   string    `json:"author,omitempty"`
	Accepted time.Time `json:"accepted"`
	Changed  []string  `json:"changed-keys"`
}

// RaceError reports that LastSeen of a patch is not the current number.
type RaceError struct {
	Current Number
	Changed []string
}

// Error returns a message with the current number and the changed keys.
func (er *RaceError) Error() string {
	return fmt.Sprintf("the document is at number %d; changed since the last seen number: %v", er.Current, er.Changed)
}

// PatchIDError reports that the patch id was already used for another patch.
type PatchIDError struct {
	PatchID string
	Number  Number
}

// Error returns a message with the number that the other patch created.
func (er *PatchIDError) Error() string {
	return fmt.Sprintf("patch id %q belongs to another patch, accepted as number %d; send this patch with an id of its own", er.PatchID, er.Number)
}

// SizeError reports that the patched document is too large.
type SizeError struct {
	Bytes, Limit int
}

// Error returns a message with the size and the limit in bytes.
func (er *SizeError) Error() string {
	return fmt.Sprintf("the patched document has %d bytes; at most %d are accepted", er.Bytes, er.Limit)
}

// ErrUnknown reports that a reply was lost and the patch may have been
// accepted.
var ErrUnknown = errors.New("it is not known whether the patch was accepted; send it again with the same id")

// MaxDocument is the maximum size of a document in bytes. A commit contains the
// document once, so it stays well below the transaction limit of 4 MB.
const MaxDocument = 1 << 20
