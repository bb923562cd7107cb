package groupcommit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// MergerOptions are the dependencies and limits of a Merger. A limit of 0
// selects the default of Options.
type MergerOptions struct {
	Store    Store
	NewToken func() string
	// Interval returns the minimum time between the starts of two transactions.
	Interval func() time.Duration

	MaxRows     int
	MaxBytes    int
	MaxInFlight int
	Timeout     time.Duration
}

// Merger is a Store that combines the transactions of several committers into
// fewer ones, so that they share one commit rate. It keeps no state after a
// call returns: the log row of each transaction still shows whether it took
// effect, so a committer may send it again through another Merger or directly.
type Merger struct {
	opt  MergerOptions
	grp  *group.Group
	wake chan struct{}

	mu       sync.Mutex
	queue    []*part
	inFlight int
}

type part struct {
	tx    Transaction
	size  int
	reply chan partReply
}

type partReply struct {
	version int64
	err     error
}

// NewMerger returns a merger; Start begins to commit.
func NewMerger(opt MergerOptions) *Merger {
	opt.MaxRows = orDefault(opt.MaxRows, DefaultMaxRows)
	opt.MaxBytes = orDefault(opt.MaxBytes, DefaultMaxBytes)
	opt.MaxInFlight = orDefault(opt.MaxInFlight, DefaultMaxInFlight)
	opt.Timeout = orDefault(opt.Timeout, DefaultTimeout)
	return &Merger{opt: opt, grp: group.New(context.Background()), wake: make(chan struct{}, 1)}
}

// Start begins to commit.
func (me *Merger) Start() { me.grp.Go(me.collect) }

// Close stops committing and waits for running transactions to return. The
// outcome of calls in progress stays unknown.
func (me *Merger) Close() { me.grp.Close() }

// Commit implements Store. If ctx ends first, the outcome is unknown.
func (me *Merger) Commit(ctx context.Context, tx Transaction) (int64, error) {
	pt := &part{tx: tx, reply: make(chan partReply, 1)}
	for _, wt := range tx.Writes {
		pt.size += 2*len(wt.Key) + len(wt.Value) + rowOverhead
	}
	for _, ck := range tx.Checks {
		pt.size += len(ck.Key) + rowOverhead/2
	}
	me.mu.Lock()
	me.queue = append(me.queue, pt)
	me.mu.Unlock()
	me.signal()
	select {
	case rep := <-pt.reply:
		return rep.version, rep.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-me.grp.Context().Done():
		return 0, context.Canceled
	}
}

func (me *Merger) signal() {
	select {
	case me.wake <- struct{}{}:
	default:
	}
}

func (me *Merger) collect(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-me.wake:
		}
		for me.hasQueued() && group.Sleep(ctx, time.Until(last.Add(me.opt.Interval()))) {
			parts := me.nextBatch()
			if len(parts) == 0 {
				break // the end of a transaction signals wake again
			}
			last = time.Now()
			me.grp.Go(func(ctx context.Context) { me.commit(ctx, parts) })
		}
	}
}

func (me *Merger) hasQueued() bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	return len(me.queue) > 0
}

// nextBatch removes from the queue the next transactions that can be merged.
// Two transactions can't be merged if they write the same row, or if one checks
// a row that the other writes, because the second must see the outcome of the
// first. They can't be merged either if they check different versions of a row.
func (me *Merger) nextBatch() []*part {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.inFlight >= me.opt.MaxInFlight {
		return nil
	}
	written, checked := map[string]bool{}, map[string]int64{}
	rows, bytes := 0, 0
	var out []*part
	for len(me.queue) > 0 {
		pt := me.queue[0]
		rows += len(pt.tx.Writes)
		bytes += pt.size
		if len(out) > 0 && (rows > me.opt.MaxRows || bytes > me.opt.MaxBytes || conflictsWith(written, checked, &pt.tx)) {
			break
		}
		for _, wt := range pt.tx.Writes {
			written[wt.Key] = true
		}
		for _, ck := range pt.tx.Checks {
			checked[ck.Key] = ck.Version
		}
		out = append(out, pt)
		me.queue[0] = nil
		me.queue = me.queue[1:]
	}
	if len(out) > 0 {
		me.inFlight++
	}
	return out
}

func conflictsWith(written map[string]bool, checked map[string]int64, tx *Transaction) bool {
	for _, wt := range tx.Writes {
		if _, ok := checked[wt.Key]; ok || written[wt.Key] {
			return true
		}
	}
	for _, ck := range tx.Checks {
		if version, ok := checked[ck.Key]; written[ck.Key] || ok && version != ck.Version {
			return true
		}
	}
	return false
}

// commit sends the parts in one transaction and splits off those in conflict.
// It does not retry after a lost reply, because each committer does that
// itself.
func (me *Merger) commit(ctx context.Context, parts []*part) {
	for len(parts) > 0 {
		tx := Transaction{ID: me.opt.NewToken()}
		for _, pt := range parts {
			tx.Checks = append(tx.Checks, pt.tx.Checks...)
			tx.Writes = append(tx.Writes, pt.tx.Writes...)
		}
		call, cancel := context.WithTimeout(ctx, me.opt.Timeout)
		version, err := me.opt.Store.Commit(call, tx)
		cancel()
		var ce *ConflictError
		if !errors.As(err, &ce) {
			for _, pt := range parts {
				pt.reply <- partReply{version: version, err: err}
			}
			break
		}
		parts = splitConflicts(parts, ce.Rows)
	}
	me.mu.Lock()
	me.inFlight--
	me.mu.Unlock()
	me.signal()
}

// splitConflicts replies to the parts in conflict and returns the others.
func splitConflicts(parts []*part, rows []Row) []*part {
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	var rest []*part
	for _, pt := range parts {
		seen := map[string]bool{}
		ce := &ConflictError{}
		for _, ck := range pt.tx.Checks {
			if row, ok := byKey[ck.Key]; ok && !seen[ck.Key] {
				seen[ck.Key] = true
				ce.Rows = append(ce.Rows, row)
			}
		}
		if len(ce.Rows) == 0 {
			rest = append(rest, pt)
			continue
		}
		pt.reply <- partReply{err: ce}
	}
	if len(rest) == len(parts) {
		// The conflict contains no row of these parts. Retrying them would not
		// terminate.
		for _, pt := range parts {
			pt.reply <- partReply{err: &ConflictError{Rows: rows}}
		}
		return nil
	}
	return rest
}
