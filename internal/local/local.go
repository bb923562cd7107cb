// Package local runs entries in this process, on free loopback ports, against
// the stand-ins of a fleet. The demo and the load tool use it.
//
// # Usage
//
//	ens, err := local.Start(local.Options{Fleet: fleet, Zones: zones, Log: log})
//	defer ens.Close()
//	url := "http://" + ens[0].CallerAddress()
package local

import (
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/entry"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/internal/standin"
)

// Options describe the entries to start.
type Options struct {
	Fleet *standin.Fleet
	// Zones lists the availability zone of each entry.
	Zones []ids.AvailabilityZone
	// Sizes lists the relative size of each entry; a missing size is 1.
	Sizes []int
	// Lag is the delay after which the list of VMs shows the entries.
	Lag time.Duration
	Log zerolog.Logger
}

// Entries are running entries.
type Entries []*entry.Entry

// Start starts the entries, lists their VMs, and waits until all are ready.
func Start(opt Options) (Entries, error) {
	var ens Entries
	var vms []ids.VM
	for i := range opt.Zones {
		en, vm, err := newEntry(opt, i)
		if err != nil {
			ens.Close()
			return nil, err
		}
		ens = append(ens, en)
		vms = append(vms, vm)
	}
	opt.Fleet.VMs.Change(func(list []ids.VM) []ids.VM { return append(list, vms...) })
	time.Sleep(opt.Lag)
	for _, en := range ens {
		en.Start()
	}
	if !WaitFor(ens.ready) {
		ens.Close()
		return nil, errors.New("the entries did not become ready in time; the warnings in the log have the reason")
	}
	return ens, nil
}

func newEntry(opt Options, i int) (*entry.Entry, ids.VM, error) {
	const freePort = "127.0.0.1:0"
	set := settings.Default()
	set.EntryID = ids.EntryID(fmt.Sprintf("entry-%d", i+1))
	set.AvailabilityZone = opt.Zones[i]
	set.Region = "region-1"
	if i < len(opt.Sizes) {
		set.Size = opt.Sizes[i]
	}
	set.Listen = settings.Listen{Callers: freePort, Operators: freePort, Peers: freePort}
	set.Platform = settings.Platform{
		Table:   opt.Fleet.TableServer.URL(),
		Objects: opt.Fleet.ObjectsServer.URL(),
		VMList:  opt.Fleet.VMServer.URL(),
	}
	set.Timing.BalancerNotice = settings.NewDuration(0)
	en, err := entry.New(set, opt.Log)
	if err != nil {
		return nil, ids.VM{}, err
	}
	return en, ids.VM{
		ID:               string(set.EntryID),
		Kind:             ids.KindEntry,
		State:            ids.StateLive,
		Address:          en.CallerAddress(),
		PeerAddress:      en.PeerAddress(),
		Region:           set.Region,
		AvailabilityZone: set.AvailabilityZone,
		Size:             set.Size,
	}, nil
}

func (ens Entries) ready() bool {
	for _, en := range ens {
		if en.Ready() != nil {
			return false
		}
	}
	return true
}

// Close stops every entry at once, without a graceful shutdown.
func (ens Entries) Close() {
	for _, en := range ens {
		en.Close()
	}
}

// WaitFor polls done and reports whether it became true within ten seconds.
func WaitFor(done func() bool) bool {
	const (
		limit    = 10 * time.Second
		interval = 10 * time.Millisecond
	)
	for began := time.Now(); time.Since(began) < limit; time.Sleep(interval) {
		if done() {
			return true
		}
	}
	return false
}
