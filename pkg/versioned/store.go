package versioned

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Options are the dependencies of a Store.
type Options[Doc any] struct {
	Rows Rows
	// Prefix starts the key of every row, for example "config/".
	Prefix string
	// Initial returns the document of number 0.
	Initial func() Doc
	// Apply returns the patched document after validation of the whole
	// document.
	Apply func(doc Doc, patch json.RawMessage) (Doc, error)
	// Changed returns the keys whose values differ.
	Changed func(before, after Doc) []string
}

// Store stores the versions of one document.
type Store[Doc any] struct {
	opt Options[Doc]
}

// New returns a store.
func New[Doc any](opt Options[Doc]) *Store[Doc] {
	return &Store[Doc]{opt: opt}
}

func (st *Store[Doc]) currentKey() string { return st.opt.Prefix + "current" }

func (st *Store[Doc]) patchKey(id string) string { return st.opt.Prefix + "patch/" + id }

// versionKey returns the key of a history record. The number in the key has a
// fixed width, so that keys sort by number.
func (st *Store[Doc]) versionKey(number Number) string {
	return fmt.Sprintf("%sversion/%012d", st.opt.Prefix, number)
}

func (st *Store[Doc]) documentKey(number Number) string {
	return fmt.Sprintf("%sdocument/%012d", st.opt.Prefix, number)
}

// currentRow is the value of the row that is polled.
type currentRow struct {
	Number Number `json:"number"`
}

// patchRow is the value of the row of an accepted patch.
type patchRow struct {
	Number Number `json:"number"`
	Digest string `json:"digest"`
}

// Number reads the current number with a cheap read for polling. The result may
// be stale: a caller must ignore a number below one that it has already read.
func (st *Store[Doc]) Number(ctx context.Context) (Number, error) {
	row, err := st.opt.Rows.Get(ctx, st.currentKey())
	if err != nil {
		return 0, err
	}
	return decodeNumber(row)
}

// CurrentNumber reads the current number. The result is never stale.
func (st *Store[Doc]) CurrentNumber(ctx context.Context) (Number, error) {
	rows, err := st.opt.Rows.ReadCurrent(ctx, st.currentKey())
	if err != nil {
		return 0, err
	}
	return decodeNumber(rows[0])
}

// Current reads the current version. The result is never stale.
func (st *Store[Doc]) Current(ctx context.Context) (Version[Doc], error) {
	number, err := st.CurrentNumber(ctx)
	if err != nil {
		return Version[Doc]{}, err
	}
	return st.Load(ctx, number)
}

func decodeNumber(row Row) (Number, error) {
	var cur currentRow
	if row.Version == 0 {
		return 0, nil
	}
	err := decode(row, &cur)
	return cur.Number, err
}

func decode(row Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fmt.Errorf("decode the row %s: %w", row.Key, err)
	}
	return nil
}

// Load reads the version with the given number.
func (st *Store[Doc]) Load(ctx context.Context, number Number) (Version[Doc], error) {
	out := Version[Doc]{Number: number}
	if number == 0 {
		out.Document = st.opt.Initial()
		return out, nil
	}
	row, err := st.readImmutable(ctx, st.documentKey(number))
	if err != nil {
		return out, err
	}
	err = decode(row, &out.Document)
	return out, err
}

// Record reads the history record of the given number.
func (st *Store[Doc]) Record(ctx context.Context, number Number) (Record, error) {
	var out Record
	row, err := st.readImmutable(ctx, st.versionKey(number))
	if err != nil {
		return out, err
	}
	err = decode(row, &out)
	return out, err
}

// errNoVersion reports a number above the current one.
var errNoVersion = errors.New("there is no version of this number; list the history")

// readImmutable reads a row that is written once. A stale read of it is correct
// if the row exists; only its absence must be confirmed by a current read.
func (st *Store[Doc]) readImmutable(ctx context.Context, key string) (Row, error) {
	row, err := st.opt.Rows.Get(ctx, key)
	if err != nil || row.Version != 0 {
		return row, err
	}
	rows, err := st.opt.Rows.ReadCurrent(ctx, key)
	if err != nil {
		return Row{}, err
	}
	if rows[0].Version == 0 {
		return Row{}, fmt.Errorf("row %s: %w", key, errNoVersion)
	}
	return rows[0], nil
}

// History lists up to limit records above the number after, oldest first. The
// newest ones may be missing, because the read may be stale.
func (st *Store[Doc]) History(ctx context.Context, after Number, limit int) ([]Record, error) {
	rows, err := st.opt.Rows.List(ctx, st.opt.Prefix+"version/", st.versionKey(after), limit)
	if err != nil {
		return nil, err
	}
	out := make([]Record, len(rows))
	for i, row := range rows {
		if err := decode(row, &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Accept applies a patch and returns the version that it created. For a patch
// that was accepted before, it returns the same version again.
func (st *Store[Doc]) Accept(ctx context.Context, patch Patch) (Version[Doc], error) {
	if patch.PatchID == "" {
		patch.PatchID = uuid.NewString()
	}
	digest := digestOf(patch.Patch)
	for {
		number, found, row, err := st.readCurrent(ctx, patch.PatchID, digest)
		if err != nil {
			return Version[Doc]{}, err
		}
		if found {
			return st.Load(ctx, number)
		}
		if patch.LastSeen != number {
			return Version[Doc]{}, st.raceError(ctx, patch.LastSeen, number)
		}
		version, err := st.tryPatch(ctx, patch, digest, row)
		// After a conflict, the current rows show whether this patch or another
		// one created the next number.
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
	}
}

// readCurrent reads the current number, or the number that the patch created if
// it was accepted before. It also returns the current row.
func (st *Store[Doc]) readCurrent(ctx context.Context, patchID, digest string) (Number, bool, Row, error) {
	rows, err := st.opt.Rows.ReadCurrent(ctx, st.currentKey(), st.patchKey(patchID))
	if err != nil {
		return 0, false, Row{}, err
	}
	if rows[1].Version != 0 {
		var pr patchRow
		if err := decode(rows[1], &pr); err != nil {
			return 0, false, Row{}, err
		}
		if pr.Digest != digest {
			return 0, false, Row{}, &PatchIDError{PatchID: patchID, Number: pr.Number}
		}
		return pr.Number, true, rows[0], nil
	}
	number, err := decodeNumber(rows[0])
	return number, false, rows[0], err
}

func (st *Store[Doc]) tryPatch(ctx context.Context, patch Patch, digest string, current Row) (Version[Doc], error) {
	before, err := st.Load(ctx, patch.LastSeen)
	if err != nil {
		return Version[Doc]{}, err
	}
	after := Version[Doc]{Number: patch.LastSeen + 1}
	if after.Document, err = st.opt.Apply(before.Document, patch.Patch); err != nil {
		return Version[Doc]{}, err
	}
	writes, err := st.writes(patch, digest, before.Document, after)
	if err != nil {
		return Version[Doc]{}, err
	}
	checks := []Check{
		{Key: current.Key, Version: current.Version},
		{Key: st.patchKey(patch.PatchID), Version: 0},
	}
	return after, st.commit(ctx, checks, writes)
}

func (st *Store[Doc]) writes(patch Patch, digest string, before Doc, after Version[Doc]) ([]Write, error) {
	var writes []Write
	for _, row := range []struct {
		key string
		val any
	}{
		{st.currentKey(), currentRow{Number: after.Number}},
		{st.patchKey(patch.PatchID), patchRow{Number: after.Number, Digest: digest}},
		{st.versionKey(after.Number), Record{
			Number:   after.Number,
			PatchID:  patch.PatchID,
			Author:   patch.Author,
			Accepted: time.Now().UTC(),
			Changed:  st.opt.Changed(before, after.Document),
		}},
		{st.documentKey(after.Number), after.Document},
	} {
		raw, err := json.Marshal(row.val)
		if err != nil {
			return nil, fmt.Errorf("encode the row %s: %w", row.key, err)
		}
		if len(raw) > MaxDocument {
			return nil, &SizeError{Bytes: len(raw), Limit: MaxDocument}
		}
		writes = append(writes, Write{Key: row.key, Value: raw})
	}
	return writes, nil
}

const (
	commitAttempts = 3
	commitBackoff  = 20 * time.Millisecond
)

// commit sends the transaction and retries it with the same id after a lost
// reply.
func (st *Store[Doc]) commit(ctx context.Context, checks []Check, writes []Write) error {
	id := st.opt.Prefix + uuid.NewString()
	var err error
	for try := range commitAttempts {
		if try > 0 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
			case <-time.After(commitBackoff << try):
			}
		}
		err = st.opt.Rows.Commit(ctx, id, checks, writes)
		if err == nil || errors.Is(err, ErrConflict) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// raceError returns the error for a patch that lost a race. It omits the
// changed keys if the last seen number does not exist or a document can't be
// read.
func (st *Store[Doc]) raceError(ctx context.Context, lastSeen, current Number) error {
	out := &RaceError{Current: current}
	if lastSeen < 0 || lastSeen > current {
		return out
	}
	before, err := st.Load(ctx, lastSeen)
	if err != nil {
		return out
	}
	after, err := st.Load(ctx, current)
	if err == nil {
		out.Changed = st.opt.Changed(before.Document, after.Document)
	}
	return out
}

// digestOf returns a digest that distinguishes patches with the same id. It
// ignores white space.
func digestOf(patch json.RawMessage) string {
	var buf bytes.Buffer
	if err := json.Compact(&buf, patch); err != nil {
		buf.Reset()
		buf.Write(patch)
	}
	sum := sha256.Sum256(buf.Bytes())
	return hex.EncodeToString(sum[:])
}
