// Package groupcommit writes the records of many callers to a transactional
// store in few conditional transactions.
//
// A Committer collects records and commits them together. Each transaction
// applies the conditional changes of its records, inserts one log row with the
// rest of their data, and checks that the guard rows are absent. The log row
// carries the token of the transaction. Each log key is written once, so the
// log row shows which transaction took effect when replies are lost: a conflict
// on a log row with a known token means that this transaction was committed.
//
// # Usage
//
//	com := groupcommit.New(groupcommit.Options[Record]{
//		Store:    store,
//		Guards:   []string{"fence/entry-1"},
//		LogKey:   func(seq int64) string { return fmt.Sprintf("log/entry-1/%012d", seq) },
//		Encode:   encode, // returns the log row of the records, with the token
//		Token:    decode, // returns the token in a log row
//		NewToken: uuid.NewString,
//		Interval: func() time.Duration { return 23 * time.Millisecond },
//	})
//	com.Start()
//	defer com.Close()
//	ticket, err := com.Add(record, func(res groupcommit.Result) { ... })
//
// # Pacing
//
// A record is committed immediately if the last transaction started at least
// one Interval ago. Otherwise it waits for the rest of the interval, and
// records that arrive in the meantime share its transaction.
//
// # Errors
//
// Result.Err is nil for a committed record, ErrConflict when a condition of the
// record failed, ErrGuarded when a guard row exists or another process writes
// log rows with the same keys, and ErrUnresolved when the committer was closed
// before the outcome was known. After ErrConflict and ErrGuarded the record is
// not committed and never will be.
package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Errors of Add and of results.
var (
	ErrConflict   = errors.New("a condition of the record failed; read the row and decide again")
	ErrGuarded    = errors.New("a guard row exists; this committer must not commit any more")
	ErrUnresolved = errors.New("the committer was closed before the outcome was known; read the rows")
	ErrFull       = errors.New("too many bytes are waiting to be committed; add the record later")
	ErrTooLarge   = errors.New("the record does not fit into one transaction; split it")
	// ErrNotApplied is wrapped by errors of Store.Commit that prove that the
	// transaction was not applied.
	ErrNotApplied = errors.New("the store did not apply the transaction; send it again later")
)

// Check is the condition that a row has the given version. Version 0 means that
// the row is absent.
type Check struct {
	Key     string
	Version int64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is a set of writes that the store applies atomically if all
// checks hold.
type Transaction struct {
	ID     string
	Checks []Check
	Writes []Write
}

// Row is a row in the store. Version 0 means that the row is absent.
type Row struct {
	Key     string
	Version int64
	Value   []byte
}

// ConflictError reports that a transaction was not applied. Rows are all rows
// whose check failed.
type ConflictError struct {
	Rows []Row
}

// Error returns the number of rows in conflict.
func (er *ConflictError) Error() string {
	return fmt.Sprintf("%d rows are in conflict with the transaction", len(er.Rows))
}

// Store commits transactions. Commit returns the new version of the written
// rows, or a *ConflictError. After any other error the outcome is unknown
// unless the error wraps ErrNotApplied.
type Store interface {
	Commit(ctx context.Context, tx Transaction) (int64, error)
}

// Change is a write that requires the row to have the version If.
type Change struct {
	Key    string
	If     int64
	Value  []byte
	Delete bool
}

// Record is a unit of data that a caller adds to a Committer. It is committed
// as a whole.
type Record interface {
	// Changes returns the conditional changes of the record.
	Changes() []Change
	// Size returns an upper bound of the encoded size in bytes of the record:
	// its changes and its part of the log row.
	Size() int
}

// Result is the outcome of a record.
type Result struct {
	Err error
	// Version and Seq are those of the transaction that committed the record.
	Version int64
	Seq     int64
	// Conflicts are the rows of the record that were in conflict.
	Conflicts []Row
}

// Commit describes one committed transaction.
type Commit struct {
	Seq     int64
	Version int64
	Records int
	Rows    int
	Bytes   int // of keys and values
	Took    time.Duration
}

// Options are the dependencies and limits of a Committer. A limit of 0 selects
// its default.
type Options[R Record] struct {
	Store    Store
	Guards   []string
	LogKey   func(seq int64) string
	Encode   func(token string, recs []R) ([]byte, error)
	Token    func(logRow []byte) string
	NewToken func() string
	// Interval returns the minimum time between the starts of two transactions.
	Interval func() time.Duration
	// Committed is optional. It is called for each committed log row before the
	// outcomes of its records are reported.
	Committed func(com Commit)

	MaxRows     int
	MaxBytes    int
	MaxPending  int // bytes
	MaxInFlight int
	MinBackoff  time.Duration // before the first retry of a transaction; doubles up to 500 ms
	Timeout     time.Duration // of one call of Store.Commit
	DownAfter   time.Duration // a transaction without an outcome for longer counts as an outage
}

// Defaults of Options.
const (
	DefaultMaxRows     = 4000
	DefaultMaxBytes    = 4 << 20
	DefaultMaxPending  = 64 << 20
	DefaultMaxInFlight = 4
	DefaultMinBackoff  = 20 * time.Millisecond
	DefaultTimeout     = time.Second
	DefaultDownAfter   = time.Second
)

const (
	// txOverhead is reserved for the encoding of a transaction around its rows,
	// the guards, and the encoding of the log row around its records.
	txOverhead = 4 << 10
	// rowOverhead is the JSON overhead of the check and the write of one row.
	rowOverhead = 128
)

// Committer collects records and commits them.
type Committer[R Record] struct {
	opt  Options[R]
	grp  *group.Group
	wake chan struct{}

	mu       sync.Mutex
	queue    []*item[R]
	pending  int // bytes queued or in flight
	seq      int64
	inFlight map[int64]time.Time
	guarded  bool
	closed   bool
}

type itemState int

const (
	stateQueued itemState = iota
	stateSent
	stateNotApplied // in a transaction of which every send so far was provably not applied
	stateWithdrawn
	stateDone
)

type item[R Record] struct {
	rec     R
	changes []Change
	size    int
	state   itemState
	done    func(Result)
}

// Ticket refers to an added record.
type Ticket[R Record] struct {
	co *Committer[R]
	it *item[R]
}

// New returns a committer; Start begins to commit.
func New[R Record](opt Options[R]) *Committer[R] {
	opt.MaxRows = orDefault(opt.MaxRows, DefaultMaxRows)
	opt.MaxBytes = orDefault(opt.MaxBytes, DefaultMaxBytes)
	opt.MaxPending = orDefault(opt.MaxPending, DefaultMaxPending)
	opt.MaxInFlight = orDefault(opt.MaxInFlight, DefaultMaxInFlight)
	opt.MinBackoff = orDefault(opt.MinBackoff, DefaultMinBackoff)
	opt.Timeout = orDefault(opt.Timeout, DefaultTimeout)
	opt.DownAfter = orDefault(opt.DownAfter, DefaultDownAfter)
	return &Committer[R]{
		opt:      opt,
		grp:      group.New(context.Background()),
		wake:     make(chan struct{}, 1),
		inFlight: map[int64]time.Time{},
	}
}

func orDefault[T int | time.Duration](val, fallback T) T {
	if val == 0 {
		return fallback
	}
	return val
}

// Start begins to commit.
func (co *Committer[R]) Start() {
	co.grp.Go(co.collect)
}

// Close stops committing, waits for running transactions to return, and reports
// ErrUnresolved for the remaining records.
func (co *Committer[R]) Close() {
	co.grp.Close()
	co.mu.Lock()
	co.closed = true
	remaining := co.queue
	co.queue = nil
	co.mu.Unlock()
	co.report(remaining, Result{Err: ErrUnresolved})
}

// Add queues a record. A goroutine of the committer calls done once with the
// outcome; done must not block. It is not called if Add fails or the record is
// withdrawn.
func (co *Committer[R]) Add(rec R, done func(Result)) (Ticket[R], error) {
	it := &item[R]{rec: rec, changes: rec.Changes(), size: rec.Size(), done: done}
	for _, ch := range it.changes {
		it.size += 2*len(ch.Key) + rowOverhead
	}
	if it.size > co.opt.MaxBytes-txOverhead || len(it.changes) >= co.opt.MaxRows {
		return Ticket[R]{}, ErrTooLarge
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	switch {
	case co.guarded:
		return Ticket[R]{}, ErrGuarded
	case co.closed:
		return Ticket[R]{}, ErrUnresolved
	case co.pending+it.size > co.opt.MaxPending:
		return Ticket[R]{}, ErrFull
	}
	co.pending += it.size
	co.queue = append(co.queue, it)
	co.signal()
	return Ticket[R]{co: co, it: it}, nil
}

// Withdraw removes the record from the committer. It reports false if the
// record may have been committed or its outcome has been reported.
func (ti Ticket[R]) Withdraw() bool {
	ti.co.mu.Lock()
	defer ti.co.mu.Unlock()
	if ti.it.state != stateQueued && ti.it.state != stateNotApplied {
		return false
	}
	ti.it.state = stateWithdrawn
	ti.co.pending -= ti.it.size
	return true
}

// Down reports whether the store appears to be unavailable: a transaction has
// had no known outcome for longer than DownAfter.
func (co *Committer[R]) Down() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, began := range co.inFlight {
		if time.Since(began) > co.opt.DownAfter {
			return true
		}
	}
	return false
}

// Guarded reports whether the committer has found a guard row.
func (co *Committer[R]) Guarded() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.guarded
}

// Pending returns the size in bytes of the records that are queued or in
// flight.
func (co *Committer[R]) Pending() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.pending
}

func (co *Committer[R]) signal() {
	select {
	case co.wake <- struct{}{}:
	default:
	}
}

func (co *Committer[R]) collect(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-co.wake:
		}
		for co.hasQueued() && group.Sleep(ctx, time.Until(last.Add(co.opt.Interval()))) {
			seq, items, ok := co.nextBatch()
			if !ok {
				break // the end of a transaction signals wake again
			}
			last = time.Now()
			co.grp.Go(func(ctx context.Context) { co.commit(ctx, seq, items) })
		}
	}
}

func (co *Committer[R]) hasQueued() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.queue) > 0
}

// nextBatch removes the next batch from the queue. Records that change the same
// row go into different batches.
func (co *Committer[R]) nextBatch() (int64, []*item[R], bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.inFlight) >= co.opt.MaxInFlight {
		return 0, nil, false
	}
	rows, bytes := 1, txOverhead
	keys := map[string]bool{}
	var items []*item[R]
	for len(co.queue) > 0 {
		it := co.queue[0]
		if it.state != stateWithdrawn {
			if rows+len(it.changes) > co.opt.MaxRows || bytes+it.size > co.opt.MaxBytes || overlaps(keys, it.changes) {
				break
			}
			rows += len(it.changes)
			bytes += it.size
			items = append(items, it)
		}
		co.queue[0] = nil
		co.queue = co.queue[1:]
	}
	if len(items) == 0 {
		return 0, nil, false
	}
	co.seq++
	co.inFlight[co.seq] = time.Now()
	return co.seq, items, true
}

// overlaps reports whether a change has a key in the set. If none has, it adds
// the keys of the changes to the set.
func overlaps(keys map[string]bool, changes []Change) bool {
	for _, ch := range changes {
		if keys[ch.Key] {
			return true
		}
	}
	for _, ch := range changes {
		keys[ch.Key] = true
	}
	return false
}
