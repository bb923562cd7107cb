package bench

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/caller"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/local"
	"github.com/oleanderwall/oleanderwall/internal/logline"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/target"
	"github.com/oleanderwall/oleanderwall/internal/vmlist"
)

// system is a fleet with the entries of one policy.
type system struct {
	opt     Options
	usr     user
	fleet   *standin.Fleet
	proxies []*faultproxy.Proxy
	urls    []string
	entries local.Entries
	closers []func()
}

func startSystem(opt Options, policy string) (*system, error) {
	sy := &system{opt: opt, usr: users[opt.User]}
	// Entries of other zones serve the targets of a zone without an entry only
	// after 15 s, which is longer than most runs.
	sy.usr.zones = sy.usr.zones[:min(len(sy.usr.zones), opt.Entries)]
	speeds := drawSpeeds(opt)
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Table:       standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 500, ReadsPerSecond: 2000},
		VMLag:       opt.VMLag,
		Service:     sy.usr.service,
		Zones:       sy.usr.zones,
		Targets:     opt.Targets,
		Slots:       opt.Slots,
		Connections: opt.Slots * 8,
		TargetSpeed: func(i int) float64 { return speeds[i] },
	})
	if err != nil {
		return nil, err
	}
	sy.fleet = fleet
	sy.closers = append(sy.closers, fleet.Close)
	if err := sy.start(policy); err != nil {
		sy.close()
		return nil, err
	}
	return sy, nil
}

func (sy *system) start(policy string) error {
	if scenarios[sy.opt.Scenario].proxied {
		if err := sy.startProxies(); err != nil {
			return err
		}
	}
	if err := sy.createService(); err != nil {
		return err
	}
	if policy == PolicyNaive {
		return sy.startNaive()
	}
	return sy.startPresent()
}

func (sy *system) startProxies() error {
	var proxyErr error
	sy.fleet.VMs.Change(func(vms []ids.VM) []ids.VM {
		for i := range vms {
			px, err := faultproxy.New(vms[i].Address)
			if err != nil {
				proxyErr = err
				return vms
			}
			sy.proxies = append(sy.proxies, px)
			sy.closers = append(sy.closers, px.Close)
			vms[i].Address = px.Address()
		}
		return vms
	})
	return proxyErr
}

func (sy *system) createService() error {
	store := configuration.NewStore(table.New(sy.fleet.TableServer.URL(), httpClient()))
	patch, err := json.Marshal(map[string]any{"services": map[string]any{
		string(sy.usr.service): configuration.Service{Slots: sy.opt.Slots, Connections: sy.opt.Slots * 8},
	}})
	if err != nil {
		return err
	}
	_, err = store.Accept(context.Background(), configuration.Patch{Patch: patch, PatchID: "bench"})
	return err
}

// startNaive starts entries that have the naive policy and the same HTTP
// interface.
func (sy *system) startNaive() error {
	for range sy.opt.Entries {
		board := &blackboard.Board{}
		cnt := counter.New()
		hc := httpClient()
		store := configuration.NewStore(table.New(sy.fleet.TableServer.URL(), hc))
		version, err := store.Current(context.Background())
		if err != nil {
			return err
		}
		board.Configuration.Publish(&version)
		poller := vmlist.NewPoller(vmlist.New(sy.fleet.VMServer.URL(), hc), nil, board, time.Second, zerolog.Nop())
		poller.Start()
		sy.closers = append(sy.closers, poller.Close)
		nv := target.NewNaive(board)
		sy.closers = append(sy.closers, nv.Close)
		srv, err := standin.Serve("127.0.0.1:0", caller.New(nv, nil, board, cnt).Router())
		if err != nil {
			return err
		}
		sy.closers = append(sy.closers, srv.Close)
		sy.urls = append(sy.urls, srv.URL())
		if !local.WaitFor(func() bool { return board.VMs.Load() != nil }) {
			return errors.New("timed out waiting for a naive entry to read the list of VMs")
		}
	}
	return nil
}

// startPresent starts entries in this process, as the daemon does.
func (sy *system) startPresent() error {
	opt := local.Options{
		Fleet: sy.fleet,
		Lag:   sy.opt.VMLag + 100*time.Millisecond,
		Log:   logline.New(sy.opt.Log, zerolog.WarnLevel),
	}
	for i := range sy.opt.Entries {
		opt.Zones = append(opt.Zones, sy.usr.zones[i%len(sy.usr.zones)])
		opt.Sizes = append(opt.Sizes, 2+i%3) // the VMs of the entries differ in size
	}
	entries, err := local.Start(opt)
	if err != nil {
		return err
	}
	sy.entries = entries
	sy.closers = append(sy.closers, entries.Close)
	for _, en := range entries {
		sy.urls = append(sy.urls, "http://"+en.CallerAddress())
	}
	time.Sleep(sy.opt.Settle)
	return nil
}

func (sy *system) close() {
	for i := len(sy.closers) - 1; i >= 0; i-- {
		sy.closers[i]()
	}
}
