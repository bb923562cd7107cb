// Package fleet runs an entry on a fleet of VMs without disks: it follows the
// tables of the platform's store, keeps sessions with the other entries, carries
// out the orders of internal/dispatch, and returns its decisions to callers.
//
// All state of the entry is a dispatch.Entry behind one lock. Goroutines of
// this package wait for the network and then call the dispatch.Entry, which
// calls Effects, which start further goroutines. Nothing blocks while it holds
// the lock.
//
// # Usage
//
//	dm := fleet.New(options, store, workers, log, counters)
//	if err := dm.Start(); err != nil { ... }
//	dm.Submit(submission)
//	...
//	dm.Drain(ctx) // hands the workers over and waits for the jobs
//	dm.Close()
//
// # Errors
//
// Start fails if it can't listen on the address for the other entries. Errors
// of the store, the workers and the other entries are logged and retried.
package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Table names a table of the platform's store.
type Table string

// The tables that an entry uses.
const (
	TableWorkers Table = "workers" // reports of the workers, written by them
	TableDesired Table = "desired" // desired state, written by the operator
	TableFleet   Table = "fleet"   // entries and holders of workers, written by the entries
	TableJobs    Table = "jobs"    // states of stored jobs, written by the entries
	TableBodies  Table = "bodies"  // submitted jobs, with the same keys as TableJobs
)

// Row is a row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version dispatch.Version
	Deleted bool
}

// Page holds consecutive rows of a part, in the order of their keys.
type Page struct {
	Rows []Row
	// Next is the first key of the next page, "" after the last one.
	Next string
	// Version is the version of the store when the page was read.
	Version dispatch.Version
}

// Part is a shard of a table. A transaction is limited to one part.
type Part string

// Check requires that a row has a version, 0 for no row.
type Check struct {
	Table   Table
	Key     string
	Version dispatch.Version
}

// Put sets a row.
type Put struct {
	Table Table
	Key   string
	Value []byte
}

// Remove deletes a row.
type Remove struct {
	Table Table
	Key   string
}

// Transaction changes rows of one part atomically.
type Transaction struct {
	Part    Part
	Checks  []Check
	Puts    []Put
	Removes []Remove
}

// TransactionReply is the answer to a transaction. If a check failed, OK is
// false and Present holds the current rows.
type TransactionReply struct {
	OK      bool
	Version dispatch.Version
	Present []Row
}

// ErrInvalid reports that the store can never carry out a transaction, for example
// because of the size of a row.
var ErrInvalid = errors.New("store rejected the transaction as invalid")

// ErrNotCommitted reports that the store did not carry out a transaction.
var ErrNotCommitted = errors.New("store refused the transaction")

// ErrHistoryGone reports that the store no longer has the changes since a
// version.
var ErrHistoryGone = errors.New("store no longer has the changes since that version")

// Store is the platform's store. After an error of Commit other than
// ErrNotCommitted, the transaction may have been carried out, or may be carried
// out later.
type Store interface {
	// Page returns at most the given number of rows of a part, starting at a key.
	Page(ctx context.Context, tb Table, part Part, from string, limit int) (Page, error)
	// Read returns all rows of a part, or the row with the key if it is not "".
	Read(ctx context.Context, tb Table, part Part, key string) ([]Row, dispatch.Version, error)
	// Follow returns the rows of a table that changed after a version. It waits
	// for a change up to the given time.
	Follow(ctx context.Context, tb Table, after dispatch.Version, wait time.Duration) ([]Row, dispatch.Version, error)
	Commit(ctx context.Context, tx Transaction) (TransactionReply, error)
	// DecodeWorker decodes a row of TableWorkers.
	DecodeWorker(id string, raw []byte) (dispatch.WorkerInfo, error)
	// DecodeDesired decodes a row of TableDesired. It returns false for a row of
	// another kind.
	DecodeDesired(key string, raw []byte) (dispatch.Desired, bool, error)
	// DecodeEvacuation decodes the key of a row of TableDesired that requests the
	// evacuation of a zone. It returns false for a row of another kind.
	DecodeEvacuation(key string) (ids.AvailabilityZone, bool)
}

// Workers carries out orders to workers.
type Workers interface {
	StartTask(ctx context.Context, order dispatch.StartOrder) dispatch.StartReply
	StopTask(ctx context.Context, order dispatch.StopOrder) error
	Hold(ctx context.Context, order dispatch.HoldOrder) dispatch.HoldReply
	// Advise asks the external advice service which workers may run a step.
	Advise(ctx context.Context, order dispatch.AdviceOrder) dispatch.AdviceReply
}

// Options configure an entry.
type Options struct {
	Self   dispatch.Self
	Limits dispatch.Limits
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
}

// Daemon is a running entry.
type Daemon struct {
	opt     Options
	store   Store
	workers Workers
	log     *Logger
	cnt     *counter.Set
	grp     *group.Group
	lis     net.Listener

	desired atomic.Pointer[dispatch.Desired]
	// desiredReady is closed when the first desired state has been applied.
	desiredReady chan struct{}
	draining     atomic.Bool
	// rowVersion is the version of this entry's row in TableFleet, 0 for none.
	rowVersion atomic.Int64

	startedAt time.Time

	mu       sync.Mutex
	lockedAt time.Time // when the lock was taken
	en       *dispatch.Entry
	links    map[ids.EntryID]*link
	// load is the load last reported to other entries. sentLoad holds, for each
	// entry, the number of the load last sent to it.
	load        dispatch.Load
	sentLoad    map[ids.EntryID]uint64
	inbound     map[*inbound]bool
	lastSession uint64
	// silenceCheckedAt is when inbound sessions were last checked for silence.
	silenceCheckedAt time.Time
	storeFailing     map[Table]bool
	writers          map[Part]*jobWriter
	// advice is the queue of advice calls; the first one is in flight.
	advice []dispatch.AdviceOrder
	// nextJobWrite is the earliest start of the next transaction of jobs.
	nextJobWrite time.Time
	// evacuated holds the zones that have gauges that may not be 0.
	evacuated          map[ids.AvailabilityZone]bool
	evacuationGaugesAt time.Time
}

// New returns an entry that is not started yet.
func New(opt Options, store Store, workers Workers, log *Logger, cnt *counter.Set) *Daemon {
	dm := &Daemon{
		opt: opt, store: store, workers: workers, log: log, cnt: cnt,
		grp:          group.New(context.Background()),
		desiredReady: make(chan struct{}),
		links:        map[ids.EntryID]*link{},
		load:         dispatch.Load{Number: 1},
		sentLoad:     map[ids.EntryID]uint64{},
		inbound:      map[*inbound]bool{},
		storeFailing: map[Table]bool{},
		writers:      map[Part]*jobWriter{},
	}
	dm.lockedAt = dm.clock()
	dm.startedAt = dm.lockedAt
	dm.en = dispatch.New(opt.Self, opt.Limits, &effects{dm: dm}, func() time.Time { return dm.lockedAt })
	return dm
}

// Start listens for the other entries and starts the goroutines of the entry.
func (dm *Daemon) Start() error {
	cfg := net.ListenConfig{}
	lis, err := cfg.Listen(dm.grp.Context(), "tcp", dm.opt.Self.PeerAddress)
	if err != nil {
		return err
	}
	dm.lis = lis
	dm.log.Log("started", "entry", string(dm.opt.Self.Incarnation.Entry()), "incarnation", string(dm.opt.Self.Incarnation),
		"zone", string(dm.opt.Self.Zone), "peers", dm.opt.Self.PeerAddress, "size", dm.opt.Self.Size)
	dm.grp.Go(dm.accept)
	dm.grp.Go(dm.heartbeat)
	dm.grp.Go(dm.followDesired)
	dm.grp.Go(dm.followWorkers)
	dm.grp.Go(dm.followFleet)
	dm.grp.Go(dm.followJobs)
	dm.grp.Every(dispatch.TickInterval, func(context.Context) {
		dm.locked(func(en *dispatch.Entry) {
			en.Tick()
			if en.LinksChanged() {
				dm.updateLinks(en)
			}
			dm.checkSilence(en)
			dm.updateEvacuationGauges(en)
		})
	})
	return nil
}

// locked runs fn with the lock of the entry's state.
func (dm *Daemon) locked(fn func(en *dispatch.Entry)) {
	dm.mu.Lock()
	defer dm.mu.Unlock()
	dm.lockedAt = dm.clock()
	dm.en.DetectPause()
	fn(dm.en)
	if des := dm.en.Desired(); des != dm.desired.Load() {
		if dm.desired.Swap(des) == nil {
			close(dm.desiredReady)
		}
	}
}

// Now returns the time of the clock that submissions use.
func (dm *Daemon) Now() time.Time { return dm.clock() }

// clock returns the boot time clock, which advances while the VM is suspended
// and is not affected by steps of the wall clock.
func (dm *Daemon) clock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		dm.log.Log("clock-failed", "error", err.Error())
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Desired returns the applied desired state, nil before the first one.
func (dm *Daemon) Desired() *dispatch.Desired { return dm.desired.Load() }

// AwaitDesired returns the applied desired state. Until firstDesiredWait after
// the start it waits for the first one. It returns nil if there is none by
// then.
func (dm *Daemon) AwaitDesired(ctx context.Context) *dispatch.Desired {
	if des := dm.Desired(); des != nil {
		return des
	}
	remaining := dm.startedAt.Add(firstDesiredWait).Sub(dm.clock())
	if remaining <= 0 {
		return nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-dm.desiredReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return dm.Desired()
}

// firstDesiredWait is the time after the start during which callers wait for
// the first desired state. Reading it takes up to 0.5 s.
const firstDesiredWait = 1500 * time.Millisecond

// Ready reports whether callers should use this entry.
func (dm *Daemon) Ready() bool {
	if dm.draining.Load() {
		return false
	}
	ready := false
	dm.locked(func(en *dispatch.Entry) { ready = en.Ready() })
	return ready
}

// Draining reports whether this entry shuts down.
func (dm *Daemon) Draining() bool { return dm.draining.Load() }

// Submit accepts a job. Its Done is called once.
func (dm *Daemon) Submit(sub dispatch.Submission) {
	dm.locked(func(en *dispatch.Entry) { en.Submit(sub) })
}

// Cancel ends a job whose caller no longer waits for it.
func (dm *Daemon) Cancel(id ids.JobID, reason string) {
	dm.locked(func(en *dispatch.Entry) { en.Cancel(id, reason) })
}

// Pending returns the number of jobs of a queue of which no task has started:
// the stored jobs of all entries and the other jobs of this entry.
func (dm *Daemon) Pending(queue string) int {
	count := 0
	dm.locked(func(en *dispatch.Entry) { count = en.Pending(queue) })
	return count
}

// HasCaller reports whether the caller of an unstored job waits at this entry.
func (dm *Daemon) HasCaller(id ids.JobID) bool {
	known := false
	dm.locked(func(en *dispatch.Entry) { known = en.HasCaller(id) })
	return known
}

// JobStatus is the status of a stored job.
type JobStatus struct {
	State  dispatch.JobState
	Begun  bool // a task has been started
	Known  bool
	Failed bool // the store did not answer
}

// State returns the status of a stored job. It may wait for the store.
func (dm *Daemon) State(id ids.JobID) JobStatus {
	reply := make(chan JobStatus, 1)
	dm.locked(func(en *dispatch.Entry) {
		en.State(id, func(state dispatch.JobState, begun, known, failed bool) {
			reply <- JobStatus{State: state, Begun: begun, Known: known, Failed: failed}
		})
	})
	return <-reply
}

// CancelStored cancels a stored job and waits until the store has recorded it.
func (dm *Daemon) CancelStored(id ids.JobID) dispatch.Outcome {
	reply := make(chan dispatch.Outcome, 1)
	dm.locked(func(en *dispatch.Entry) {
		en.CancelStored(id, func(out dispatch.Outcome) { reply <- out })
	})
	return <-reply
}

// drainPoll is the interval at which a drain checks whether it is complete.
const drainPoll = 50 * time.Millisecond

// Drain hands the workers over to other entries and waits until no job is left
// and no worker is held, or ctx ends.
func (dm *Daemon) Drain(ctx context.Context) {
	dm.draining.Store(true)
	dm.locked(func(en *dispatch.Entry) { en.Leave() })
	dm.writeHeartbeat(ctx)
	for ctx.Err() == nil {
		remaining := 0
		dm.locked(func(en *dispatch.Entry) { remaining = en.Jobs() + en.Held() })
		if remaining == 0 {
			return
		}
		group.Sleep(ctx, drainPoll)
	}
}

// Close ends all goroutines. After a drain it removes this entry's row.
func (dm *Daemon) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), rowRemovalTimeout)
	defer cancel()
	if dm.draining.Load() {
		// A removal that is carried out late must not remove the next incarnation's
		// row.
		own := Check{Table: TableFleet, Key: dm.entryKey(), Version: dispatch.Version(dm.rowVersion.Load())}
		if _, err := dm.store.Commit(ctx, Transaction{Checks: []Check{own}, Removes: []Remove{{Table: TableFleet, Key: dm.entryKey()}}}); err != nil {
			dm.log.Log("own-row-removal-failed", "error", err.Error())
		}
	}
	dm.grp.Close()
	if dm.lis != nil {
		if err := dm.lis.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			dm.log.Log("listener-close", "error", err.Error())
		}
	}
	dm.log.Log("stopped", "entry", string(dm.opt.Self.Incarnation.Entry()))
}

// rowRemovalTimeout bounds the removal of the row during a shutdown.
const rowRemovalTimeout = 200 * time.Millisecond
