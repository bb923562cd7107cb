// Package groupcommit writes the records of many callers to a transactional
// store in few conditional transactions.
//
// A Committer collects records and commits them together. Each transaction
// applies the conditional changes of its records, inserts one log row that
// holds the rest of them, and checks guard rows that must be absent. The log
// row carries a token of the transaction. Its key is used once, so that row
// decides which transaction took effect when replies are lost: a conflict on a
// log row with a known token means that the transaction was committed.
//
// # Usage
//
//	com := groupcommit.New(groupcommit.Options[Record]{
//		Store:    store,
//		Guards:   []string{"fence/entry-1"},
//		LogKey:   func(seq int64) string { return fmt.Sprintf("log/entry-1/%012d", seq) },
//		Encode:   encode, // log row of the records, with the token
//		Token:    decode, // token in a log row
//		NewToken: uuid.NewString,
//		Interval: func() time.Duration { return 23 * time.Millisecond },
//	})
//	com.Start()
//	defer com.Close()
//	ticket, err := com.Add(record, func(res groupcommit.Result) { ... })
//
// # Pacing
//
// A record is committed at once when the last transaction started an Interval
// ago or earlier; otherwise it waits for the rest of the interval, and the
// records that arrive meanwhile share its transaction.
//
// # Errors
//
// Result.Err is nil for a committed record, ErrConflict when a condition of the
// record failed, ErrGuarded when a guard row exists, and ErrUnresolved when the
// committer was closed before the outcome was known. After ErrConflict and
// ErrGuarded the record has not been and will not be committed.
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
	// ErrNotApplied marks an error of Store.Commit after which the sent
	// transaction provably took no effect.
	ErrNotApplied = errors.New("the store did not apply the transaction; send it again later")
)

// Check demands that a row has a version; 0 means that it is absent.
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

// Transaction takes effect as a whole or not at all.
type Transaction struct {
	ID     string
	Checks []Check
	Writes []Write
}

// Row is a row as the store holds it. Version 0 means that it is absent.
type Row struct {
	Key     string
	Version int64
	Value   []byte
}

// ConflictError says that a transaction was not applied, and holds every row
// whose check failed.
type ConflictError struct {
	Rows []Row
}

// Error counts the rows in conflict.
func (er *ConflictError) Error() string {
	return fmt.Sprintf("%d rows are in conflict with the transaction", len(er.Rows))
}

// Store commits transactions. Commit returns the version that the written rows
// now have, or a *ConflictError. Any other error leaves the outcome open unless
// it wraps ErrNotApplied.
type Store interface {
	Commit(ctx context.Context, tx Transaction) (int64, error)
}

// Change is a write on the condition that the row has the version If.
type Change struct {
	Key    string
	If     int64
	Value  []byte
	Delete bool
}

// Record is what callers add.
type Record interface {
	// Changes returns the conditional changes of the record.
	Changes() []Change
	// Size bounds the encoded size of the record in bytes: its changes and its
	// part of the log row.
	Size() int
}

// Result is the outcome of a record.
type Result struct {
	Err error
	// Version and Seq are those of the transaction that holds the record.
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

// Options are the dependencies and bounds of a Committer. The bounds have
// defaults.
type Options[R Record] struct {
	Store    Store
	Guards   []string
	LogKey   func(seq int64) string
	Encode   func(token string, recs []R) ([]byte, error)
	Token    func(logRow []byte) string
	NewToken func() string
	// Interval is the least time between the starts of two transactions.
	Interval func() time.Duration
	// Committed, when set, is called for each log row that was committed, before
	// the outcomes of its records are reported.
	Committed func(com Commit)

	MaxRows     int
	MaxBytes    int
	MaxPending  int // bytes
	MaxInFlight int
	MinBackoff  time.Duration // before a transaction is sent again; doubles up to 500 ms
	Timeout     time.Duration // of one call of Store.Commit
	DownAfter   time.Duration // a transaction open for longer counts as an outage
}

// The defaults of Options.
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
	// txOverhead is reserved for the frame of a transaction, the guards and the
	// frame of the log row.
	txOverhead = 4 << 10
	// rowOverhead is the JSON around the check and the write of one row.
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
	stateIdle // in a transaction whose sends so far provably had no effect
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

// Ticket stands for a record that was added.
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

// Close stops committing, waits, and reports ErrUnresolved for the records
// that are left.
func (co *Committer[R]) Close() {
	co.grp.Close()
	co.mu.Lock()
	co.closed = true
	left := co.queue
	co.queue = nil
	co.mu.Unlock()
	co.report(left, Result{Err: ErrUnresolved})
}

// Add queues a record. done is called once with its outcome, from a goroutine
// of the committer; it must not block. done is not called when Add fails or
// the record is withdrawn.
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

// Withdraw takes the record back. It reports false when the record may have
// been committed or its outcome has been reported.
func (ti Ticket[R]) Withdraw() bool {
	ti.co.mu.Lock()
	defer ti.co.mu.Unlock()
	if ti.it.state != stateQueued && ti.it.state != stateIdle {
		return false
	}
	ti.it.state = stateWithdrawn
	ti.co.pending -= ti.it.size
	return true
}

// Down tells whether the store seems to be down: a transaction has been
// without a known outcome for DownAfter.
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

// Guarded tells whether the committer has met a guard row.
func (co *Committer[R]) Guarded() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.guarded
}

// Pending returns the bytes that wait to be committed.
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
		for co.waiting() && group.Sleep(ctx, time.Until(last.Add(co.opt.Interval()))) {
			seq, items, ok := co.take()
			if !ok {
				break // a transaction that ends signals again
			}
			last = time.Now()
			co.grp.Go(func(ctx context.Context) { co.commit(ctx, seq, items) })
		}
	}
}

func (co *Committer[R]) waiting() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.queue) > 0
}

// take removes the next batch from the queue. Records that change the same row
// go into different batches.
func (co *Committer[R]) take() (int64, []*item[R], bool) {
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

// overlaps tells whether a change meets a key of the set, and otherwise adds
// the keys of the changes to it.
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
