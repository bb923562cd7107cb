package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/pkg/versioned"
)

// Number is the number of a version of the configuration. Version 0 is the
// built-in default.
type Number = versioned.Number

// Version is a document with its number.
type Version = versioned.Version[Document]

// Patch is a change against the version that the operator last read.
type Patch = versioned.Patch

// Record is one version in the history, without its document.
type Record = versioned.Record

// RaceError is returned if the configuration has changed since the operator
// last read it.
type RaceError = versioned.RaceError

// FullRecord is one version in the history with its document.
type FullRecord struct {
	Record
	Document Document `json:"document"`
}

// Table is the table service.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	ReadCurrent(ctx context.Context, keys ...string) ([]table.Row, error)
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
}

// prefix is the key prefix of the configuration rows in the table.
const prefix = "config/"

// Store keeps the configuration in the table service.
type Store struct {
	*versioned.Store[Document]
}

// NewStore returns a store that keeps the configuration in the table.
func NewStore(tb Table) *Store {
	return &Store{versioned.New(versioned.Options[Document]{
		Rows:    rows{tb},
		Prefix:  prefix,
		Initial: Default,
		Apply:   Apply,
		Changed: ChangedKeys,
	})}
}

// maxPatchID is the maximum length of a patch id, which is part of a table key.
const maxPatchID = 128

// Accept applies a patch; see versioned.Store.Accept.
func (st *Store) Accept(ctx context.Context, patch Patch) (Version, error) {
	if len(patch.PatchID) > maxPatchID || strings.ContainsFunc(patch.PatchID, func(ch rune) bool { return ch <= ' ' || ch > '~' }) {
		return Version{}, &InvalidError{Faults: []Fault{{Key: "patch-id", Message: "must be at most 128 printable ASCII characters without blanks"}}}
	}
	version, err := st.Store.Accept(ctx, patch)
	var size *versioned.SizeError
	if errors.As(err, &size) {
		return version, &InvalidError{Faults: []Fault{{Key: "document", Message: size.Error()}}}
	}
	return version, err
}

// Version reads one version of the history, including its document.
func (st *Store) Version(ctx context.Context, number Number) (FullRecord, error) {
	out := FullRecord{Record: Record{Number: number}}
	version, err := st.Load(ctx, number)
	if err != nil {
		return out, err
	}
	out.Document = version.Document
	if number > 0 {
		out.Record, err = st.Record(ctx, number)
	}
	return out, err
}

// rows adapts Table to versioned.Rows.
type rows struct{ tb Table }

func (ro rows) Get(ctx context.Context, key string) (versioned.Row, error) {
	row, err := ro.tb.Get(ctx, key)
	return toVersioned(row), err
}

func (ro rows) List(ctx context.Context, prefix, after string, limit int) ([]versioned.Row, error) {
	found, err := ro.tb.List(ctx, prefix, after, limit)
	return allToVersioned(found), err
}

func (ro rows) ReadCurrent(ctx context.Context, keys ...string) ([]versioned.Row, error) {
	found, err := ro.tb.ReadCurrent(ctx, keys...)
	return allToVersioned(found), err
}

func (ro rows) Commit(ctx context.Context, id string, checks []versioned.Check, writes []versioned.Write) error {
	tx := table.Transaction{ID: id}
	for _, ck := range checks {
		tx.Checks = append(tx.Checks, table.Check{Key: ck.Key, Version: table.Version(ck.Version)})
	}
	for _, wt := range writes {
		tx.Writes = append(tx.Writes, table.Write{Key: wt.Key, Value: wt.Value})
	}
	_, err := ro.tb.Commit(ctx, tx)
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		return versioned.ErrConflict
	}
	return err
}

func toVersioned(row table.Row) versioned.Row {
	return versioned.Row{Key: row.Key, Version: int64(row.Version), Value: row.Value}
}

func allToVersioned(found []table.Row) []versioned.Row {
	out := make([]versioned.Row, 0, len(found))
	for _, row := range found {
		out = append(out, toVersioned(row))
	}
	return out
}

// Encode encodes a version as JSON, as sent between entries.
func Encode(version Version) ([]byte, error) {
	return json.Marshal(version)
}
