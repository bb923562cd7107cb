// Package entry builds one entry, the daemon of oleanderwall, from its parts.
//
// # Usage
//
//	en, err := entry.New(settings, log)
//	en.Start()
//	<-signals
//	abandoned := en.Shutdown(ctx)
package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/caller"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/home"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/intake"
	"github.com/oleanderwall/oleanderwall/internal/job"
	"github.com/oleanderwall/oleanderwall/internal/operator"
	"github.com/oleanderwall/oleanderwall/internal/peer"
	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/target"
	"github.com/oleanderwall/oleanderwall/internal/vmlist"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/pausedetect"
)

// Entry is one running entry process.
type Entry struct {
	set   settings.Settings
	log   zerolog.Logger
	inc   ids.Incarnation
	board *blackboard.Board
	cnt   *counter.Set
	grp   *group.Group
	// platformTraffic counts the bytes sent to and received from the platform.
	platformTraffic peer.Traffic

	callers   *httpServer
	operators *httpServer
	peers     *peer.Server
	pool      *peer.Pool
	pause     *pausedetect.Detector
	members   *peer.Membership

	// forwardPool holds the connections for forwarded requests.
	forwardPool *peer.Pool
	slots       *home.Controller

	vms     *vmlist.Poller
	config  *configuration.Follower
	targets *target.Dispatcher
	jobs    *job.Manager

	placement *worker.Dispatcher

	registration *registration

	requests   *inflight
	addedSteps []LeaveStep
	stopOnce   sync.Once

	draining       atomic.Bool
	wasReady       atomic.Bool
	createdAt      time.Time
	drainRequested chan struct{}
}

// New builds an entry and opens its listeners.
func New(set settings.Settings, log zerolog.Logger) (*Entry, error) {
	en := &Entry{
		set:            set,
		log:            log,
		inc:            ids.NewIncarnation(set.EntryID),
		board:          &blackboard.Board{},
		cnt:            counter.New(),
		grp:            group.New(context.Background()),
		pool:           peer.NewPool(),
		forwardPool:    peer.NewPool(),
		requests:       newInflight(),
		createdAt:      time.Now(),
		drainRequested: make(chan struct{}, 1),
	}
	if err := en.listen(); err != nil {
		en.closeListeners()
		return nil, err
	}
	if err := en.build(); err != nil {
		en.closeListeners()
		return nil, err
	}
	return en, nil
}

func (en *Entry) build() error {
	hc := platformClient(&en.platformTraffic)
	rows := table.New(en.set.Platform.Table, hc)
	en.registration = &registration{rows: rows, inc: en.inc, log: en.log}
	en.pause = pausedetect.New(pauseLimit)
	var err error
	if en.members, err = peer.NewMembership(en.membershipOptions()); err != nil {
		en.pause.Close()
		return err
	}
	if err := errors.Join(peer.RegisterConfiguration(en.peers, en.board), peer.RegisterVMs(en.peers, en.board)); err != nil {
		en.pause.Close()
		return err
	}
	store := configuration.NewStore(rows)
	en.vms = vmlist.NewPoller(vmlist.New(en.set.Platform.VMList, hc), peer.VMPeers{Pool: en.pool, Members: en.members}, en.board, en.set.Timing.VMListPoll.Std(), en.log)
	en.config = configuration.NewFollower(configuration.FollowerOptions{
		Store:     store,
		Peers:     peer.ConfigurationPeers{Pool: en.pool, Members: en.members},
		Publisher: en,
		Interval:  en.set.Timing.ConfigurationPoll.Std(),
		Counters:  en.cnt,
		Log:       en.log,
	})
	if err := en.buildSlots(rows); err != nil {
		return err
	}
	en.targets = target.New(target.Options{Board: en.board, Counters: en.cnt, Forwarder: en.slots.Forwarder()})
	en.slots.Bind(en.targets)
	if err := en.buildJobs(rows, hc); err != nil {
		return err
	}
	guard := intake.New(en.set.Limits.Intake(), en.cnt, en.logLimit)
	limits := guard.Limits()
	en.callers.handle(en.requests.track(en.onlyReady(caller.New(en.targets, en.jobs, en.board, en.cnt).Router())), guard, intake.Options{Connections: limits.Connections})
	en.operators.handle(operator.New(operator.Options{
		Board:       en.board,
		Store:       announcingStore{store, en},
		Follower:    en.config,
		Lifecycle:   en,
		Counters:    en.cnt,
		EntryID:     en.set.EntryID,
		Incarnation: en.inc,
		Zone:        en.set.AvailabilityZone,
	}).Router(), guard, intake.Options{Connections: limits.SideConnections, ReplaceOldest: true})
	return nil
}

// pauseLimit is the length of a pause of the process after which its state
// counts as stale. It is well above the delays of a loaded machine and below
// the lease of a slot loan.
const pauseLimit = time.Second

func (en *Entry) membershipOptions() peer.MembershipOptions {
	return peer.MembershipOptions{
		Board:  en.board,
		Server: en.peers,
		Pool:   en.pool,
		Self: blackboard.Member{
			ID:               en.set.EntryID,
			Incarnation:      en.inc,
			AvailabilityZone: en.set.AvailabilityZone,
			Region:           en.set.Region,
			Size:             en.set.Size,
			PeerAddress:      en.peers.Address(),
		},
		Interval:  en.set.Timing.Heartbeat.Std(),
		Addresses: en.set.Peers,
		Pause:     en.pause,
		Counters:  en.cnt,
		Log:       en.log,
		// The follower is built after the membership. The membership calls this
		// function only after its own start.
		OnHigherNumber: func(addr string, number configuration.Number) { en.config.HandlePeerNumber(addr, number) },
	}
}

func (en *Entry) listen() error {
	var err error
	if en.callers, err = newHTTPServer(en.set.Listen.Callers); err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	if en.operators, err = newHTTPServer(en.set.Listen.Operators); err != nil {
		return fmt.Errorf("listen.operators: %w", err)
	}
	if en.peers, err = peer.Listen(en.set.Listen.Peers); err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	return nil
}

func (en *Entry) closeListeners() {
	if en.callers != nil {
		en.callers.close()
	}
	if en.operators != nil {
		en.operators.close()
	}
	if en.peers != nil {
		en.peers.Close()
	}
}

// CallerAddress returns the address for callers as IP:PORT.
func (en *Entry) CallerAddress() string { return en.callers.address() }

// OperatorAddress returns the address for operators as IP:PORT.
func (en *Entry) OperatorAddress() string { return en.operators.address() }

// PeerAddress returns the address for other entries as IP:PORT.
func (en *Entry) PeerAddress() string { return en.peers.Address() }

// Counters returns the counters of the entry.
func (en *Entry) Counters() *counter.Set { return en.cnt }

// Configuration returns the configuration in force.
func (en *Entry) Configuration() configuration.Version {
	if version := en.board.Configuration.Load(); version != nil {
		return *version
	}
	return configuration.Version{}
}

// Start starts the components and the servers.
func (en *Entry) Start() {
	en.vms.Start()
	en.config.Start()
	en.slots.Start()
	en.placement.Run()
	en.jobs.Start()
	en.peers.Start()
	en.members.Start()
	en.grp.Go(en.registration.run)
	en.grp.Every(time.Second, en.reportTraffic)
	en.callers.start(en.grp)
	en.operators.start(en.grp)
	en.log.Info().
		Str("entry", string(en.set.EntryID)).
		Str("incarnation", string(en.inc)).
		Str("zone", string(en.set.AvailabilityZone)).
		Str("callers", en.CallerAddress()).
		Str("operators", en.OperatorAddress()).
		Str("peers", en.PeerAddress()).
		Msg("entry-started")
}

// Publish puts a version of the configuration in force if its number is higher
// than the present one. A stale read must not revert a version.
func (en *Entry) Publish(version configuration.Version) {
	en.board.Configuration.Update(func(old *configuration.Version) *configuration.Version {
		if old != nil && old.Number >= version.Number {
			return old
		}
		en.log.Info().Int64("number", int64(version.Number)).Msg("configuration-in-force")
		return &version
	})
}

// InForce returns the version in force, nil before the first one.
func (en *Entry) InForce() *configuration.Version {
	return en.board.Configuration.Load()
}

// announcingStore puts an accepted patch in force on this entry and announces
// it to the peers at once.
type announcingStore struct {
	*configuration.Store
	en *Entry
}

// Accept applies a patch and announces the new version.
func (as announcingStore) Accept(ctx context.Context, patch configuration.Patch) (configuration.Version, error) {
	version, err := as.Store.Accept(ctx, patch)
	if err == nil {
		as.en.config.Put(version, configuration.FromTable)
		as.en.members.Announce()
	}
	return version, err
}

// The reasons why an entry is not ready.
var (
	ErrNoConfiguration = errors.New("the entry holds no configuration yet; check that the table or a peer is reachable")
	ErrNoVMList        = errors.New("the entry has not yet read the list of VMs; check that the platform is reachable")
	ErrNoSlots         = errors.New("the entry has not yet any slots of the targets; they come within seconds of its start")
	ErrDraining        = errors.New("the entry is draining; use another entry")
)

// Ready returns nil when the entry accepts requests, and the reason otherwise.
func (en *Entry) Ready() error {
	switch {
	case en.draining.Load():
		return ErrDraining
	case en.board.Configuration.Load() == nil:
		return ErrNoConfiguration
	case en.board.VMs.Load() == nil:
		return ErrNoVMList
	case en.lacksSlots():
		return ErrNoSlots
	}
	en.wasReady.Store(true)
	return nil
}

// Drain requests a graceful shutdown: readiness fails and the channel of
// Draining receives a value.
func (en *Entry) Drain() {
	if en.draining.CompareAndSwap(false, true) {
		en.log.Info().Msg("drain-requested")
		en.drainRequested <- struct{}{}
	}
}

// Draining returns a channel that receives one value when an operator requests a
// drain.
func (en *Entry) Draining() <-chan struct{} { return en.drainRequested }

// stopComponents closes the components that run in the background.
func (en *Entry) stopComponents() {
	en.stopOnce.Do(func() {
		// This also ends the use of slots if the step that hands over the homes
		// has failed.
		en.slots.Close()
		en.vms.Close()
		en.config.Close()
		en.jobs.Close()
		en.placement.Close()
		en.targets.Close()
	})
}

// Close stops the entry without a drain and waits for its goroutines.
func (en *Entry) Close() {
	// No slot may be taken after the peers have received the notice that this
	// incarnation has ended.
	en.stopComponents()
	en.members.Close()
	en.pause.Close()
	en.closeListeners()
	en.pool.Close()
	en.forwardPool.Close()
	en.grp.Close()
}
