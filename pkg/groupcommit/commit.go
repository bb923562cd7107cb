package groupcommit

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// maxBackoff limits the time between two sends of one transaction.
const maxBackoff = 500 * time.Millisecond

// logSlot is one log row and the transactions sent to write it. A later attempt
// has a subset of the records of an earlier one. At most one attempt takes
// effect, because each checks that the log row is absent.
type logSlot[R Record] struct {
	seq      int64
	attempts map[string]attempt[R]
	began    time.Time
	// unresolved is true once an attempt was sent without a conclusive reply.
	// Such an attempt may still take effect until the log row exists.
	unresolved bool
	deferred   []deferredConflict[R]
	backoff    time.Duration
}

type attempt[R Record] struct {
	items       []*item[R]
	rows, bytes int
}

type deferredConflict[R Record] struct {
	it   *item[R]
	rows []Row
}

// commit writes the items, except those in conflict, in one log row.
func (co *Committer[R]) commit(ctx context.Context, seq int64, items []*item[R]) {
	sl := &logSlot[R]{seq: seq, attempts: map[string]attempt[R]{}, began: time.Now(), backoff: co.opt.MinBackoff}
	for {
		items = co.markSent(sl, items)
		if len(items) == 0 && !sl.unresolved {
			break
		}
		tx, err := co.buildTransaction(sl, items)
		if err != nil {
			co.report(items, Result{Err: err})
			break
		}
		version, err := co.send(ctx, sl, tx, items)
		var ce *ConflictError
		switch {
		case err == nil:
			co.resolve(sl, tx.ID, version)
		case errors.Is(err, ErrNotApplied):
			continue // rebuild it without the records withdrawn in the meantime
		case errors.As(err, &ce):
			var resolved bool
			items, resolved = co.handleConflict(sl, items, ce.Rows)
			if !resolved {
				continue
			}
		default:
			co.reportDeferred(sl, false)
			co.report(items, Result{Err: ErrUnresolved})
		}
		break
	}
	co.mu.Lock()
	delete(co.inFlight, seq)
	co.mu.Unlock()
	co.signal()
}

// markSent marks the items as sent, so that they can't be withdrawn while their
// transaction is in flight. It returns the items without those withdrawn
// before.
func (co *Committer[R]) markSent(sl *logSlot[R], items []*item[R]) []*item[R] {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !sl.unresolved {
		items = slices.DeleteFunc(slices.Clone(items), func(it *item[R]) bool { return it.state == stateWithdrawn })
	}
	for _, it := range items {
		it.state = stateSent
	}
	return items
}

func (co *Committer[R]) buildTransaction(sl *logSlot[R], items []*item[R]) (Transaction, error) {
	recs := make([]R, len(items))
	for i, it := range items {
		recs[i] = it.rec
	}
	tx := Transaction{ID: co.opt.NewToken()}
	raw, err := co.opt.Encode(tx.ID, recs)
	if err != nil {
		return tx, err
	}
	for _, key := range co.opt.Guards {
		tx.Checks = append(tx.Checks, Check{Key: key})
	}
	key := co.opt.LogKey(sl.seq)
	tx.Checks = append(tx.Checks, Check{Key: key})
	tx.Writes = append(tx.Writes, Write{Key: key, Value: raw})
	for _, it := range items {
		for _, ch := range it.changes {
			tx.Checks = append(tx.Checks, Check{Key: ch.Key, Version: ch.If})
			tx.Writes = append(tx.Writes, Write{Key: ch.Key, Value: ch.Value, Delete: ch.Delete})
		}
	}
	at := attempt[R]{items: items, rows: len(tx.Writes)}
	for _, wt := range tx.Writes {
		at.bytes += len(wt.Key) + len(wt.Value)
	}
	sl.attempts[tx.ID] = at
	return tx, nil
}

// send sends the transaction until its outcome is known. If no send of the slot
// can have taken effect, it waits and returns ErrNotApplied.
func (co *Committer[R]) send(ctx context.Context, sl *logSlot[R], tx Transaction, items []*item[R]) (int64, error) {
	for {
		call, cancel := context.WithTimeout(ctx, co.opt.Timeout)
		version, err := co.opt.Store.Commit(call, tx)
		cancel()
		var ce *ConflictError
		if err == nil || errors.As(err, &ce) {
			return version, err
		}
		notApplied := errors.Is(err, ErrNotApplied) && !sl.unresolved
		if notApplied {
			co.markNotApplied(items)
		} else {
			sl.unresolved = true
		}
		wait := max(sl.backoff, co.opt.Interval())
		sl.backoff = min(2*sl.backoff, maxBackoff)
		if !group.Sleep(ctx, wait) {
			return 0, ctx.Err()
		}
		if notApplied {
			return 0, ErrNotApplied
		}
	}
}

func (co *Committer[R]) markNotApplied(items []*item[R]) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, it := range items {
		it.state = stateNotApplied
	}
}

// handleConflict handles a transaction that was refused with a conflict. It
// returns the records to retry, or true if the outcome of the slot is known.
func (co *Committer[R]) handleConflict(sl *logSlot[R], items []*item[R], rows []Row) ([]*item[R], bool) {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	if row, ok := byKey[co.opt.LogKey(sl.seq)]; ok {
		token := co.opt.Token(row.Value)
		if _, own := sl.attempts[token]; own {
			co.resolve(sl, token, row.Version)
			return nil, true
		}
		co.stopGuarded(sl, items) // another process writes log rows with the same keys
		return nil, true
	}
	for _, key := range co.opt.Guards {
		if _, ok := byKey[key]; ok {
			co.stopGuarded(sl, items)
			return nil, true
		}
	}
	var rest []*item[R]
	for _, it := range items {
		var hit []Row
		for _, ch := range it.changes {
			if row, ok := byKey[ch.Key]; ok {
				hit = append(hit, row)
			}
		}
		if len(hit) == 0 {
			rest = append(rest, it)
			continue
		}
		sl.deferred = append(sl.deferred, deferredConflict[R]{it: it, rows: hit})
	}
	if !sl.unresolved {
		co.reportDeferred(sl, true)
	}
	return rest, false
}

// stopGuarded ends the committer and reports ErrGuarded for its records. Either
// a guard row exists, so no later commit can take effect, or another process
// writes log rows with the same keys.
func (co *Committer[R]) stopGuarded(sl *logSlot[R], items []*item[R]) {
	co.mu.Lock()
	co.guarded = true
	remaining := co.queue
	co.queue = nil
	co.mu.Unlock()
	co.reportDeferred(sl, true)
	co.report(items, Result{Err: ErrGuarded})
	co.report(remaining, Result{Err: ErrGuarded})
}

// resolve reports the outcome of a slot whose log row carries the token. The
// committed attempt may be an earlier one than the last; it then includes
// records that were split off later.
func (co *Committer[R]) resolve(sl *logSlot[R], token string, version int64) {
	applied := sl.attempts[token]
	if co.opt.Committed != nil {
		co.opt.Committed(Commit{
			Seq:     sl.seq,
			Version: version,
			Records: len(applied.items),
			Rows:    applied.rows,
			Bytes:   applied.bytes,
			Took:    time.Since(sl.began),
		})
	}
	committed := make(map[*item[R]]bool, len(applied.items))
	for _, it := range applied.items {
		committed[it] = true
	}
	sl.deferred = slices.DeleteFunc(sl.deferred, func(dc deferredConflict[R]) bool { return committed[dc.it] })
	co.report(applied.items, Result{Version: version, Seq: sl.seq})
	co.reportDeferred(sl, true)
}

func (co *Committer[R]) reportDeferred(sl *logSlot[R], known bool) {
	for _, dc := range sl.deferred {
		res := Result{Err: ErrConflict, Conflicts: dc.rows}
		if !known {
			res = Result{Err: ErrUnresolved}
		}
		co.report([]*item[R]{dc.it}, res)
	}
	sl.deferred = nil
}

func (co *Committer[R]) report(items []*item[R], res Result) {
	co.mu.Lock()
	live := make([]*item[R], 0, len(items))
	for _, it := range items {
		if it.state == stateWithdrawn || it.state == stateDone {
			continue
		}
		it.state = stateDone
		co.pending -= it.size
		live = append(live, it)
	}
	co.mu.Unlock()
	for _, it := range live {
		it.done(res)
	}
}
