package table

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
)

// unreachableVersion is a version that no row reaches. It is the largest integer
// that every JSON decoder keeps exactly.
const unreachableVersion Version = 1<<53 - 1

// errUnexpectedCommit reports that the service committed a transaction whose
// check can't hold.
var errUnexpectedCommit = errors.New("the table service committed a transaction whose check does not hold; report this to its operators")

// ReadCurrent returns the current rows of the keys, in the order of the keys. It
// sends a transaction whose checks can't hold, because a plain read may return
// stale rows, and the conflict of a transaction does not. It costs as much as a
// conflicting commit. A row that does not exist has the version Absent.
func (cl *Client) ReadCurrent(ctx context.Context, keys ...string) ([]Row, error) {
	checks := make([]Check, 0, len(keys))
	for _, key := range keys {
		checks = append(checks, Check{Key: key, Version: unreachableVersion})
	}
	_, err := cl.Commit(ctx, Transaction{ID: "read-" + uuid.NewString(), Checks: checks, Writes: []Write{}})
	var ce *ConflictError
	if !errors.As(err, &ce) {
		if err == nil {
			err = errUnexpectedCommit
		}
		return nil, fmt.Errorf("read the table rows %v: %w", keys, err)
	}
	found := make(map[string]Row, len(ce.Rows))
	for _, row := range ce.Rows {
		found[row.Key] = row
	}
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		row := found[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}
