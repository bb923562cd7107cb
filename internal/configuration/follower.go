package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Publisher holds the version in force.
type Publisher interface {
	// Publish puts a version in force, unless a version with the same or a
	// higher number is already in force.
	Publish(version Version)
	// InForce returns the version in force, or nil before the first Publish.
	InForce() *Version
}

// Peers are the other entries.
type Peers interface {
	// Known reports whether the addresses of the peers are known.
	Known() bool
	Addresses() []string
	// Fetch returns the version in force at the peer. The document is omitted
	// if its number is not greater than above. The error is ErrNoVersion if the
	// peer has no version.
	Fetch(ctx context.Context, addr string, above Number) (Version, error)
}

// ErrNoVersion is returned if a peer has no version of the configuration.
var ErrNoVersion = errors.New("the peer has no version of the configuration")

// Source is the origin of the version in force.
type Source string

// The sources of a version.
const (
	FromTable Source = "table"
	FromPeer  Source = "peer"
)

// FollowerOptions are the dependencies of a Follower.
type FollowerOptions struct {
	Store     *Store
	Peers     Peers
	Publisher Publisher
	// Interval is the time between two polls of the table.
	Interval time.Duration
	Counters *counter.Set
	Log      zerolog.Logger
}

// Follower puts newer versions in force. It detects them in two independent
// ways: it polls the number in the table, and it compares the numbers in the
// heartbeats of peers.
type Follower struct {
	opt  FollowerOptions
	grp  *group.Group
	wake chan struct{}

	mu          sync.Mutex
	announced   Number
	announcedBy string
	source      Source
	table       tableState
}

type tableState int

const (
	tableUnknown tableState = iota
	tableReachable
	tableUnreachable
)

const (
	// peersKnownTimeout is how long the start waits at most for the peers to be
	// known.
	peersKnownTimeout = 2 * time.Second
	// startRetry is the time between two attempts of the start.
	startRetry = 400 * time.Millisecond
	// peerTimeout is the timeout of a fetch from one peer; a document of 1 MB
	// takes a few ms.
	peerTimeout = time.Second
	// startPeerTimeout is shorter because the start fetches from every peer,
	// reachable or not.
	startPeerTimeout = 500 * time.Millisecond
	// maxConcurrentFetches is the maximum number of concurrent fetches of the start.
	maxConcurrentFetches = 8
	// fetchSpreadPerPeer spreads the fetches of many entries that have received
	// the same number from one peer.
	fetchSpreadPerPeer = 2 * time.Millisecond
	// pollGrace is how much longer than the poll interval a slow table may take
	// to answer.
	pollGrace = time.Second
)

// NewFollower returns a follower. Call Start to run it.
func NewFollower(opt FollowerOptions) *Follower {
	return &Follower{opt: opt, grp: group.New(context.Background()), wake: make(chan struct{}, 1)}
}

// Start reads the version with the highest number from the table and the peers,
// puts it in force, and then follows newer versions in the background.
func (fo *Follower) Start() {
	fo.grp.Go(func(ctx context.Context) {
		fo.start(ctx)
		fo.grp.Go(fo.followPeers)
		fo.pollTable(ctx)
	})
}

// Close stops the follower and waits for its goroutines.
func (fo *Follower) Close() {
	fo.grp.Close()
}

// HandlePeerNumber records a number that a peer has sent in a heartbeat. It does
// not block.
func (fo *Follower) HandlePeerNumber(addr string, number Number) {
	fo.mu.Lock()
	if number >= fo.announced {
		fo.announced, fo.announcedBy = number, addr
	}
	fo.mu.Unlock()
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// Put puts a version in force and records its source. It ignores versions that
// are not newer than the one in force.
func (fo *Follower) Put(version Version, source Source) {
	if present := fo.opt.Publisher.InForce(); present != nil && present.Number >= version.Number {
		return
	}
	fo.mu.Lock()
	fo.source = source
	fo.mu.Unlock()
	fo.opt.Counters.Add(counter.Operation, "configuration-from-"+string(source), 1)
	fo.opt.Publisher.Publish(version)
}

// Status returns the source of the version in force and whether the last access
// to the table succeeded.
func (fo *Follower) Status() (source Source, reachable bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.source, fo.table == tableReachable
}

// start waits until the peers are known and then retries until a version is in
// force.
func (fo *Follower) start(ctx context.Context) {
	for began := time.Now(); ctx.Err() == nil && !fo.opt.Peers.Known() && time.Since(began) < peersKnownTimeout; {
		group.Sleep(ctx, peersKnownTimeout/100)
	}
	for ctx.Err() == nil && !fo.tryStart(ctx) {
		group.Sleep(ctx, jitter(startRetry))
	}
}

// tryStart reads from the table and every peer and puts the highest version in
// force. One answer is enough, but it waits for all: a stale read of the table
// must not win over a peer, and a peer that lags must not win over the table.
func (fo *Follower) tryStart(ctx context.Context) bool {
	var best Version
	var found bool
	var source Source
	var mu sync.Mutex
	consider := func(version Version, from Source) {
		mu.Lock()
		defer mu.Unlock()
		if !found || version.Number > best.Number {
			best, found, source = version, true, from
		}
	}
	grp := group.New(ctx)
	grp.Go(func(ctx context.Context) {
		if version, err := fo.readTable(ctx); err == nil {
			consider(version, FromTable)
		}
	})
	limit := make(chan struct{}, maxConcurrentFetches)
	for _, addr := range fo.opt.Peers.Addresses() {
		grp.Go(func(ctx context.Context) {
			limit <- struct{}{}
			defer func() { <-limit }()
			ctx, cancel := context.WithTimeout(ctx, startPeerTimeout)
			defer cancel()
			mu.Lock()
			above := best.Number
			mu.Unlock()
			version, err := fo.opt.Peers.Fetch(ctx, addr, above)
			if err == nil && (version.Number > above || version.Number == 0) {
				if version.Number == 0 {
					version.Document = Default()
				}
				consider(version, FromPeer)
			}
		})
	}
	grp.Wait()
	if found {
		fo.Put(best, source)
	}
	return found
}

// readTable reads the version with the current number. If the current number
// cannot be read, because the table accepts no transactions, it uses a read of
// the number that may be stale.
func (fo *Follower) readTable(ctx context.Context) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, fo.opt.Interval+pollGrace)
	defer cancel()
	number, err := fo.opt.Store.CurrentNumber(ctx)
	if err != nil {
		number, err = fo.opt.Store.Number(ctx)
	}
	if err == nil {
		var version Version
		if version, err = fo.opt.Store.Load(ctx, number); err == nil {
			fo.recordTableState(nil)
			return version, nil
		}
	}
	fo.recordTableState(err)
	return Version{}, err
}

// recordTableState records the result of an access to the table. It logs only
// changes, because an outage lasts for many polls.
func (fo *Follower) recordTableState(err error) {
	state := tableReachable
	if err != nil {
		state = tableUnreachable
	}
	fo.mu.Lock()
	changed := fo.table != state
	fo.table = state
	fo.mu.Unlock()
	switch {
	case changed && err != nil:
		fo.opt.Log.Warn().Err(err).Msg("configuration-table-unreachable")
	case changed:
		fo.opt.Log.Info().Msg("configuration-table-reachable")
	}
}

func (fo *Follower) inForce() Number {
	if version := fo.opt.Publisher.InForce(); version != nil {
		return version.Number
	}
	return -1
}

// pollTable polls the number once per interval. The interval has a jitter of a
// tenth, so that entries that started together do not poll together.
func (fo *Follower) pollTable(ctx context.Context) {
	for ctx.Err() == nil {
		group.Sleep(ctx, jitter(fo.opt.Interval))
		fo.poll(ctx)
	}
}

func (fo *Follower) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fo.opt.Interval+pollGrace)
	defer cancel()
	number, err := fo.opt.Store.Number(ctx)
	if err == nil && number < fo.inForce() {
		fo.opt.Counters.Add(counter.Table, "configuration-read-from-past", 1)
	}
	if err == nil && number > fo.inForce() {
		var version Version
		if version, err = fo.opt.Store.Load(ctx, number); err == nil {
			fo.Put(version, FromTable)
		}
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	fo.recordTableState(err)
}

// followPeers fetches the versions whose numbers peers have sent.
func (fo *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-fo.wake:
		}
		fo.mu.Lock()
		number, addr := fo.announced, fo.announcedBy
		fo.announced = 0
		fo.mu.Unlock()
		if number <= fo.inForce() {
			continue
		}
		spread := fetchSpreadPerPeer * time.Duration(len(fo.opt.Peers.Addresses()))
		group.Sleep(ctx, time.Duration(rand.Int64N(int64(spread)+1)))
		fo.fetch(ctx, addr, number)
	}
}

// fetch loads a version from the peer that has sent its number, or else from the
// table. If both fail, the next heartbeat or poll triggers another attempt.
func (fo *Follower) fetch(ctx context.Context, addr string, number Number) {
	if number <= fo.inForce() {
		return
	}
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	version, err := fo.opt.Peers.Fetch(peerCtx, addr, fo.inForce())
	if err == nil && version.Number >= number {
		fo.Put(version, FromPeer)
		return
	}
	fo.opt.Counters.Add(counter.Peer, "configuration-fetch-failed", 1)
	tableCtx, cancelTable := context.WithTimeout(ctx, fo.opt.Interval+pollGrace)
	defer cancelTable()
	if version, err := fo.opt.Store.Load(tableCtx, number); err == nil {
		fo.Put(version, FromTable)
	}
}

func jitter(wait time.Duration) time.Duration {
	return wait*9/10 + time.Duration(rand.Int64N(int64(wait/5)+1))
}
