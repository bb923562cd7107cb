package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/table"
)

// The rows of the configuration in the table service.
const (
	currentKey    = "config/current"
	versionPrefix = "config/version/"
	patchPrefix   = "config/patch/"
)

// Rows reads and commits rows of the table service.
type Rows interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
}

// Patch is a change stated against the version that the operator last saw.
type Patch struct {
	LastSeen Number          `json:"last-seen"`
	PatchID  string          `json:"patch-id"`
	Author   string          `json:"author,omitempty"`
	Patch    json.RawMessage `json:"patch"`
}

// Record is one version in the history.
type Record struct {
	Number   Number    `json:"number"`
	PatchID  string    `json:"patch-id"`
	Author   string    `json:"author,omitempty"`
	Accepted time.Time `json:"accepted"`
	Changed  []string  `json:"changed-keys"`
	Document Document  `json:"document"`
}

// RaceError says that the configuration has changed since the operator last
// saw it.
type RaceError struct {
	Present Number
	Changed []string
}

// Error names the present number and the changed keys.
func (er *RaceError) Error() string {
	return fmt.Sprintf("the configuration is at number %d; changed since the last seen number: %v", er.Present, er.Changed)
}

// Store keeps the configuration in the table service.
type Store struct {
	rows Rows
}

// NewStore returns a store over the rows.
func NewStore(rows Rows) *Store {
	return &Store{rows: rows}
}

// Current reads the version that the table holds.
func (st *Store) Current(ctx context.Context) (Version, error) {
	version, _, err := st.current(ctx)
	return version, err
}

func (st *Store) current(ctx context.Context) (Version, table.Row, error) {
	row, err := st.rows.Get(ctx, currentKey)
	if err != nil {
		return Version{}, row, err
	}
	if row.Version == table.Absent {
		return Version{Document: Default()}, row, nil
	}
	var version Version
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return Version{}, row, fmt.Errorf("decode the row %s: %w", currentKey, err)
	}
	return version, row, nil
}

// Accept applies a patch and returns its number. The same patch id sent again
// returns the same number.
func (st *Store) Accept(ctx context.Context, patch Patch) (Number, error) {
	if patch.PatchID == "" {
		patch.PatchID = uuid.NewString()
	}
	if record, ok, err := st.accepted(ctx, patch.PatchID); err != nil || ok {
		return record, err
	}
	version, row, err := st.current(ctx)
	if err != nil {
		return 0, err
	}
	if patch.LastSeen != version.Number {
		return 0, st.race(ctx, patch.LastSeen, version)
	}
	next, err := Apply(version.Document, patch.Patch)
	if err != nil {
		return 0, err
	}
	number := version.Number + 1
	err = st.commit(ctx, patch, row.Version, version, Version{Number: number, Document: next})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		return st.afterConflict(ctx, patch)
	}
	if err != nil {
		return 0, err
	}
	return number, nil
}

func (st *Store) commit(ctx context.Context, patch Patch, rowVersion table.Version, before, after Version) error {
	record := Record{
		Number:   after.Number,
		PatchID:  patch.PatchID,
		Author:   patch.Author,
		Accepted: time.Now().UTC(),
		Changed:  ChangedKeys(before.Document, after.Document),
		Document: after.Document,
	}
	current, err := json.Marshal(after)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	history, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode the history record: %w", err)
	}
	number, err := json.Marshal(after.Number)
	if err != nil {
		return fmt.Errorf("encode the number: %w", err)
	}
	_, err = st.rows.Commit(ctx, table.Transaction{
		ID: "config-" + patch.PatchID + "-" + uuid.NewString(),
		Checks: []table.Check{
			{Key: currentKey, Version: rowVersion},
			{Key: patchPrefix + patch.PatchID, Version: table.Absent},
		},
		Writes: []table.Write{
			{Key: currentKey, Value: current},
			{Key: versionKey(after.Number), Value: history},
			{Key: patchPrefix + patch.PatchID, Value: number},
		},
	})
	return err
}

func versionKey(number Number) string {
	return fmt.Sprintf("%s%012d", versionPrefix, number)
}

func (st *Store) accepted(ctx context.Context, patchID string) (Number, bool, error) {
	row, err := st.rows.Get(ctx, patchPrefix+patchID)
	if err != nil || row.Version == table.Absent {
		return 0, false, err
	}
	var number Number
	if err := json.Unmarshal(row.Value, &number); err != nil {
		return 0, false, fmt.Errorf("decode the row of patch %s: %w", patchID, err)
	}
	return number, true, nil
}

func (st *Store) afterConflict(ctx context.Context, patch Patch) (Number, error) {
	number, ok, err := st.accepted(ctx, patch.PatchID)
	if err != nil || ok {
		return number, err
	}
	version, err := st.Current(ctx)
	if err != nil {
		return 0, err
	}
	return 0, st.race(ctx, patch.LastSeen, version)
}

func (st *Store) race(ctx context.Context, lastSeen Number, present Version) error {
	before := Default()
	if lastSeen > 0 {
		record, err := st.Version(ctx, lastSeen)
		if err != nil {
			return &RaceError{Present: present.Number}
		}
		before = record.Document
	}
	return &RaceError{Present: present.Number, Changed: ChangedKeys(before, present.Document)}
}

// Version reads one version of the history.
func (st *Store) Version(ctx context.Context, number Number) (Record, error) {
	row, err := st.rows.Get(ctx, versionKey(number))
	if err != nil {
		return Record{}, err
	}
	if row.Version == table.Absent {
		return Record{}, fmt.Errorf("the configuration has no version %d; list the history", number)
	}
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, fmt.Errorf("decode version %d: %w", number, err)
	}
	return record, nil
}

// History lists up to limit versions after the number, oldest first.
func (st *Store) History(ctx context.Context, after Number, limit int) ([]Record, error) {
	rows, err := st.rows.List(ctx, versionPrefix, versionKey(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var record Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, fmt.Errorf("decode the row %s: %w", row.Key, err)
		}
		records = append(records, record)
	}
	return records, nil
}
