package dispatch

import "time"

// A holder removes its own holder row of a worker that has left. As long as the row
// exists, other entries can't tell a holder that has given up the worker from one
// that is cut off together with it, and wait for lastingTimeout when the holder is
// lost. Once it has reached the worker, only the holder itself uses it, so this needs
// no proof that the worker has ended.

// givenUpRow is a holder row that this entry removes. A removal without a reply may
// be carried out later, and a read may return the row after its removal, so the
// version never makes this entry the holder again: a worker that comes back is
// claimed.
type givenUpRow struct {
	version  Version
	leaseEnd time.Time // the row is removed after the end of the last lease
}

// giveUpRow has the row of a worker removed that this entry has stopped using
// because it is no longer listed. The row of a worker that was never reached stays:
// the holder before may be cut off together with the worker and still use it.
func (en *Entry) giveUpRow(wk *worker) {
	if _, unreached := en.unreached[wk.info.ID]; unreached {
		return
	}
	if row, ok := en.rows[wk.info.ID]; ok && row.Holder == en.self.Incarnation {
		en.givenUp[wk.info.ID] = givenUpRow{version: row.Version, leaseEnd: wk.leaseEnd}
	}
}

// mayUse reports whether a row that names this entry makes it the holder.
func (en *Entry) mayUse(row HolderRow) bool { return row.Version > en.givenUp[row.Worker].version }

// givenUpChanges returns the row changes that delete the rows of workers that this
// entry has given up.
func (en *Entry) givenUpChanges(now time.Time) []RowChange {
	var changes []RowChange
	for id, gu := range en.givenUp {
		row, ok := en.rows[id]
		switch {
		case ok && row.Version == gu.version && now.After(gu.leaseEnd):
			changes = append(changes, RowChange{Worker: id, Expected: gu.version})
		case (!ok && now.Sub(gu.leaseEnd) > memberExpiry) || row.Version > gu.version:
			delete(en.givenUp, id)
		}
	}
	return limitChanges(changes, maxCommitRows)
}
