package vmlist

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Fetcher reads the list of VMs. It returns false when the list has not changed.
type Fetcher interface {
	Fetch(ctx context.Context) ([]ids.VM, bool, error)
}

// Peers reads the list that another entry read last.
type Peers interface {
	Fetch(ctx context.Context) ([]ids.VM, error)
}

// Poller publishes the list of VMs on the blackboard. While the service is
// unreachable, the last list stays published. An entry that starts during this
// time uses the list of a peer.
type Poller struct {
	fetcher  Fetcher
	peers    Peers
	board    *blackboard.Board
	interval time.Duration
	log      zerolog.Logger
	grp      *group.Group
	leaving  map[string]bool
}

// NewPoller returns a poller. If peers is nil, the platform is the only source.
func NewPoller(fetcher Fetcher, peers Peers, board *blackboard.Board, interval time.Duration, log zerolog.Logger) *Poller {
	return &Poller{
		fetcher:  fetcher,
		peers:    peers,
		board:    board,
		interval: interval,
		log:      log,
		grp:      group.New(context.Background()),
		leaving:  map[string]bool{},
	}
}

// Start fetches the list once and then once per interval.
func (po *Poller) Start() {
	po.grp.Go(func(ctx context.Context) {
		po.poll(ctx)
		po.grp.Every(po.interval, po.poll)
	})
}

// Close stops polling and waits for the poller's goroutines.
func (po *Poller) Close() {
	po.grp.Close()
}

func (po *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, po.interval+time.Second)
	defer cancel()
	vms, changed, err := po.fetcher.Fetch(ctx)
	if err != nil {
		po.log.Warn().Err(err).Msg("vm-list-unreachable")
		po.fetchFromPeers(ctx)
		return
	}
	if !changed {
		po.updateFetched()
		return
	}
	po.board.VMs.Publish(po.groupByKind(vms))
}

// fetchFromPeers publishes the list of a peer if this entry has none.
func (po *Poller) fetchFromPeers(ctx context.Context) {
	if po.peers == nil || po.board.VMs.Load() != nil {
		return
	}
	vms, err := po.peers.Fetch(ctx)
	if err != nil {
		po.log.Warn().Err(err).Msg("vm-list-of-peers-unreachable")
		return
	}
	po.log.Info().Int("vms", len(vms)).Msg("vm-list-from-peer")
	po.board.VMs.Publish(po.groupByKind(vms))
}

// updateFetched updates the time of the published list, because the proof that a
// VM is gone needs a list that was read after the VM disappeared from it.
func (po *Poller) updateFetched() {
	po.board.VMs.Update(func(old *blackboard.VMs) *blackboard.VMs {
		if old == nil {
			return old
		}
		next := *old
		next.Fetched = time.Now()
		return &next
	})
}

// groupByKind groups the VMs by kind. A VM that was once listed as leaving stays
// leaving, because the list lags and may show an older state again.
func (po *Poller) groupByKind(vms []ids.VM) *blackboard.VMs {
	out := &blackboard.VMs{Fetched: time.Now(), Targets: map[ids.ServiceName][]ids.VM{}}
	for _, vm := range vms {
		if vm.State == ids.StateLeaving {
			po.leaving[vm.ID] = true
		}
		if po.leaving[vm.ID] {
			vm.State = ids.StateLeaving
		}
		switch vm.Kind {
		case ids.KindEntry:
			out.Entries = append(out.Entries, vm)
		case ids.KindTarget:
			out.Targets[vm.Service] = append(out.Targets[vm.Service], vm)
		case ids.KindWorker:
			out.Workers = append(out.Workers, vm)
		}
	}
	return out
}
