// Package home shares the slots of targets among the entries.
//
// Each target has one home: the entry incarnation named in the table row
// home/<target-id>. The home allocates the slots of its target. It uses them
// itself and lends them to other entries for a limited time. Homes are claimed
// by conditional transactions and taken over only with proof that the previous
// incarnation has ended, so two entries never allocate the same slot.
//
// # Usage
//
//	ctl := home.New(home.Options{Board: board, Rows: rows, Peers: pool, ...})
//	ctl.Bind(target.New(target.Options{Board: board, Forwarder: ctl.Forwarder()}))
//	err := server.Register(home.ServiceName, ctl.Receiver())
//	ctl.Start()
//	...
//	ctl.Leave(ctx) // after the last request has finished
//	ctl.Close()
//
// The request path takes slots from the gates in board.Gates. A Forwarder
// forwards requests that find no free slot to other entries.
package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/target"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// Self describes the entry that a controller belongs to.
type Self struct {
	ID          ids.EntryID
	Incarnation ids.Incarnation
	Zone        ids.AvailabilityZone
	Region      ids.RegionName
	Size        int
}

// Rows reads and writes the table.
type Rows interface {
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
}

// Peers calls other entries.
type Peers interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Members returns which entries are alive and which incarnations have ended.
type Members interface {
	Load() *blackboard.Members
}

// Dispatcher runs service requests and reports how many wait for slots.
type Dispatcher interface {
	Load() []target.ServiceLoad
	SlotsChanged()
	DoForwarded(ctx context.Context, req target.Request) (target.Answer, error)
}

// Options are the dependencies of a Controller.
type Options struct {
	Self    Self
	Board   *blackboard.Board
	Members Members
	Rows    Rows
	Peers   Peers
	// ForwardPeers carries forwarded requests on separate connections, because a
	// message on Peers that times out closes its connection.
	ForwardPeers Peers
	Counters     *counter.Set
	Log          zerolog.Logger
	// Terms are the terms of loans. They must be equal in all entries. The zero
	// value means DefaultTerms.
	Terms slotshare.Terms
	// Clock is slotshare.Monotonic unless a test sets it.
	Clock slotshare.Clock
}

// DefaultTerms are the terms of loans. Use outlasts three lost renewals. Margin
// covers the run time of most requests (50 ms to 1 s). A longer request that is
// running when its loan ends may overlap with the next user of its slot.
var DefaultTerms = slotshare.Terms{Use: 2 * time.Second, Margin: time.Second}

const (
	lendingTick = 50 * time.Millisecond
	// idleTick is the interval of rounds while no request runs or waits. At 560
	// targets, rounds every 50 ms took 1.5% of a core of an idle entry.
	idleTick     = 200 * time.Millisecond
	claimTick    = 200 * time.Millisecond
	familySlots  = "slots"
	rowPrefix    = "home/"
	tableTimeout = 2 * time.Second
)

// targetState is the controller's state of one target.
type targetState struct {
	vm    ids.VM
	slots int
	gate  *slotshare.Gate
	// home is non-nil while this incarnation is the home.
	home *slotshare.Home[ids.Incarnation]
	// owner and version are those of the row as last read. Version Absent means
	// that there is no row.
	owner   ids.Incarnation
	version table.Version
	// lender is the home that granted the current loan.
	lender ids.Incarnation
	// vacantSince is when the target was first seen without a home.
	vacantSince time.Duration
	// drainingSince is when this home began to drain in order to move to another
	// entry.
	drainingSince time.Duration
}

// borrower is a home's record of an entry that has requested slots.
type borrower struct {
	number        uint64
	size          int
	demand        map[ids.ServiceName]int
	lastMessageAt time.Duration
}

// Controller claims homes, lends and borrows slots and publishes board.Gates.
type Controller struct {
	opt        Options
	dispatcher Dispatcher
	forwarder  *Forwarder
	grp        *group.Group

	mu            sync.Mutex
	targets       map[ids.TargetID]*targetState
	ids           []ids.TargetID // of the targets, sorted
	borrowers     map[ids.Incarnation]*borrower
	streams       map[ids.Incarnation]*stream
	needs         map[ids.ServiceName]*need
	departed      map[ids.EntryID]ids.Incarnation
	unlistedRows  map[string]table.Row
	unknownOwners map[ids.Incarnation]*unknownOwner
	leaving       bool
	listed        bool
	lastRoundAt   time.Duration

	// The sources of the targets as last read.
	vms                 *blackboard.VMs
	configurationNumber int64

	// Used only by the goroutine that claims.
	pending   *claimBatch
	refreshAt time.Duration

	// stale is set when rows are known to have changed. wake starts a claim round.
	stale atomic.Bool
	wake  chan struct{}
}

// New returns a controller. Start begins to claim and lend.
func New(opt Options) *Controller {
	if opt.Terms == (slotshare.Terms{}) {
		opt.Terms = DefaultTerms
	}
	if opt.Clock == nil {
		opt.Clock = slotshare.Monotonic
	}
	if opt.Members == nil {
		opt.Members = &opt.Board.Members
	}
	co := &Controller{
		opt:                 opt,
		grp:                 group.New(context.Background()),
		targets:             map[ids.TargetID]*targetState{},
		borrowers:           map[ids.Incarnation]*borrower{},
		streams:             map[ids.Incarnation]*stream{},
		needs:               map[ids.ServiceName]*need{},
		departed:            map[ids.EntryID]ids.Incarnation{},
		unlistedRows:        map[string]table.Row{},
		configurationNumber: -1,
		wake:                make(chan struct{}, 1),
	}
	co.forwarder = newForwarder(co)
	// With no gates on the board, the request path would use every slot.
	co.publish()
	return co
}

// Bind sets the dispatcher that uses the slots. Call it before Start.
func (co *Controller) Bind(di Dispatcher) { co.dispatcher = di }

// Forwarder returns the forwarder to give to the dispatcher.
func (co *Controller) Forwarder() *Forwarder { return co.forwarder }

// Start begins to claim homes and to lend and borrow slots.
func (co *Controller) Start() {
	co.grp.Every(lendingTick, co.lendingRound)
	co.grp.Go(func(ctx context.Context) {
		tick := time.NewTicker(claimTick)
		defer tick.Stop()
		for {
			co.claimRound(ctx)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			case <-co.wake:
			}
		}
	})
}

// Close stops all rounds and waits for them. Afterwards no slot can be taken.
// Homes that have not been released stay in the table until another entry has
// proof that this incarnation has ended.
func (co *Controller) Close() {
	co.grp.Close()
	co.mu.Lock()
	defer co.mu.Unlock()
	co.leaving = true
	for _, st := range co.targets {
		st.gate.SetAllowance(0)
	}
}

// lendingRound updates the targets, ends loans to entries that have ended, and
// borrows and returns slots.
func (co *Controller) lendingRound(context.Context) {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := co.opt.Clock()
	if now-co.lastRoundAt < idleTick && co.idle() {
		return
	}
	co.lastRoundAt = now
	co.readTargets()
	co.checkUnknownOwners()
	co.reclaimLoans()
	co.measureNeeds()
	co.borrow()
	co.forwarder.setPeers(co.others())
	co.updateGauges()
}

// idle reports whether no request runs or waits in this entry.
func (co *Controller) idle() bool {
	for _, load := range co.dispatcher.Load() {
		if load.Waiting+load.InFlight > 0 {
			return false
		}
	}
	return true
}

// reclaimLoans ends loans to ended borrowers, returns expired loans to the own
// gates, and drops old records of borrowers.
func (co *Controller) reclaimLoans() {
	gone := co.gone()
	grown := false
	for _, st := range co.targets {
		if st.home == nil {
			continue
		}
		before, _ := st.gate.Allowance()
		for inc := range co.borrowers {
			if gone(inc) && st.home.LentTo(inc) > 0 {
				st.home.RemoveBorrower(inc)
			}
		}
		st.home.Refresh()
		after, _ := st.gate.Allowance()
		grown = grown || after > before
	}
	now := co.opt.Clock()
	for inc, bo := range co.borrowers {
		if now-bo.lastMessageAt > borrowerRetention {
			delete(co.borrowers, inc)
		}
	}
	if grown {
		co.dispatcher.SlotsChanged()
	}
}

// borrowerRetention outlasts every loan.
const borrowerRetention = 10 * time.Second

func (co *Controller) updateGauges() {
	var own, lent, borrowed, homes int
	for _, st := range co.targets {
		slots, _ := st.gate.Allowance()
		if st.home == nil {
			borrowed += slots
			continue
		}
		homes++
		own += slots
		lent += st.home.Lent()
	}
	cnt := co.opt.Counters
	cnt.Gauge("slots.homes", int64(homes))
	cnt.Gauge("slots.own", int64(own))
	cnt.Gauge("slots.lent", int64(lent))
	cnt.Gauge("slots.borrowed", int64(borrowed))
}
