package job

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/peer"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

const (
	// combinedShare is the share of the write budget that the combining entry
	// uses. The rest is the share of one entry among seven, which commits
	// directly when it cannot reach the combining entry.
	combinedShare = 0.85
	// busyPendingBytes is the size of the pending records above which an entry
	// sends a transaction to the combining entry at most once per busyInterval.
	busyPendingBytes = 128 << 10
	busyInterval     = 4 * time.Millisecond
	// routeTimeout is how long an entry waits for the combining entry before it
	// sends the transaction directly to the table. It is shorter than DownAfter
	// of package groupcommit, so that a paused combining entry does not look
	// like an outage of the table.
	routeTimeout = 400 * time.Millisecond
	// directPeriod is how long an entry commits directly after the combining
	// entry has not answered.
	directPeriod = 2 * time.Second
)

// routedStore commits through the entry that combines the transactions of all
// entries, or directly if that entry does not answer. The choice of the combining
// entry affects only the number of writes: each transaction has its own log row,
// which determines its outcome on either route.
type routedStore struct {
	mg     *Manager
	direct tableStore
	merger *groupcommit.Merger

	mu          sync.Mutex
	directUntil time.Time // commits go directly to the table before this time
}

func newRoutedStore(mg *Manager) *routedStore {
	rs := &routedStore{mg: mg, direct: tableStore{rows: mg.opt.Rows}}
	rs.merger = groupcommit.NewMerger(groupcommit.MergerOptions{
		Store:    countedStore{Store: rs.direct, cnt: mg.opt.Counters},
		NewToken: uuid.NewString,
		Interval: func() time.Duration { return rateInterval(combinedShare * mg.opt.WriteBudget) },
	})
	return rs
}

func rateInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// countedStore counts the transactions that this entry sends to the table.
type countedStore struct {
	groupcommit.Store
	cnt *counter.Set
}

func (cs countedStore) Commit(ctx context.Context, tx groupcommit.Transaction) (int64, error) {
	cs.cnt.Add(counter.Table, "job-writes", 1)
	return cs.Store.Commit(ctx, tx)
}

// combiner returns the address of the entry that combines transactions, or ""
// if it is this one. It reports false if this entry has to commit directly. A
// suspect entry does not combine.
func (rs *routedStore) combiner() (string, bool) {
	snap := rs.mg.opt.Members.Load()
	if snap == nil || rs.mg.opt.Peers == nil || len(snap.Alive) == 0 {
		return "", false
	}
	rs.mu.Lock()
	paused := time.Now().Before(rs.directUntil)
	rs.mu.Unlock()
	if paused {
		return "", false
	}
	best, own, addr := score(combinerSeed, rs.mg.opt.Incarnation.Entry()), true, ""
	for id, mb := range snap.Alive {
		if sc := score(combinerSeed, id); sc > best {
			best, own, addr = sc, false, mb.PeerAddress
		}
	}
	return addr, own || addr != ""
}

const combinerSeed = "combine table writes"

// score ranks the entries for a task that one of them performs (rendezvous
// hashing).
func score(task string, id ids.EntryID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(task + " " + string(id)))
	return hash.Sum64()
}

// interval returns the minimum time between two transactions of a session. The
// combining entry limits the write rate for all; a busy entry sends it fewer and
// larger transactions, which cost less per record.
func (rs *routedStore) interval() time.Duration {
	if _, routed := rs.combiner(); routed {
		if rs.mg.session().com.Pending() > busyPendingBytes {
			return busyInterval
		}
		return 0
	}
	return rs.mg.interval()
}

// Commit implements groupcommit.Store.
func (rs *routedStore) Commit(ctx context.Context, tx groupcommit.Transaction) (int64, error) {
	addr, routed := rs.combiner()
	switch {
	case routed && addr == "":
		return rs.merger.Commit(ctx, tx)
	case routed:
		version, err, answered := rs.commitRemote(ctx, addr, tx)
		if answered {
			return version, err
		}
		rs.mg.opt.Counters.Add(counter.Retry, "combiner-unreachable", 1)
		rs.mu.Lock()
		rs.directUntil = time.Now().Add(directPeriod)
		rs.mu.Unlock()
		if !errors.Is(err, peer.ErrUnreachable) {
			return 0, err // the transaction may be in flight; the committer sends it again
		}
	}
	return countedStore{Store: rs.direct, cnt: rs.mg.opt.Counters}.Commit(ctx, tx)
}

// commitRemote sends a transaction to the combining entry. answered is false if
// that entry did not answer.
func (rs *routedStore) commitRemote(ctx context.Context, addr string, tx groupcommit.Transaction) (version int64, err error, answered bool) { //nolint:revive // the error is one of two results that answered qualifies
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	var rep CommitReply
	if err := rs.mg.opt.Peers.Call(ctx, addr, PeerName+".Commit", &tx, &rep); err != nil {
		return 0, err, false
	}
	switch {
	case len(rep.Conflicts) > 0:
		return 0, &groupcommit.ConflictError{Rows: rep.Conflicts}, true
	case rep.NotApplied:
		return 0, groupcommit.ErrNotApplied, true
	case rep.Failure != "":
		return 0, outcome.MayHaveRun("combined-commit-failed", rep.Failure, "send the transaction again"), true
	}
	return rep.Version, nil, true
}

// CommitReply is the outcome of a transaction that was sent to the combining
// entry.
type CommitReply struct {
	Version    int64
	Conflicts  []groupcommit.Row
	NotApplied bool
	// Failure is the error of a commit whose outcome is unknown.
	Failure string
}

// Commit combines a transaction of another entry with those of all entries and
// commits it.
func (ps *PeerService) Commit(tx *groupcommit.Transaction, rep *CommitReply) error {
	version, err := ps.mg.store.merger.Commit(ps.mg.grp.Context(), *tx)
	var ce *groupcommit.ConflictError
	switch {
	case err == nil:
		rep.Version = version
	case errors.As(err, &ce):
		rep.Conflicts = ce.Rows
	case errors.Is(err, groupcommit.ErrNotApplied):
		rep.NotApplied = true
	default:
		rep.Failure = err.Error()
	}
	return nil
}
