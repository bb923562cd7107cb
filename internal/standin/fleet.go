package standin

import (
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// FleetOptions describe a whole platform in one process.
type FleetOptions struct {
	Table   TableOptions
	VMLag   time.Duration
	Service ids.ServiceName
	Zones   []ids.AvailabilityZone
	// Targets and Workers are assigned to the zones in turn.
	Targets       int
	Slots         int
	Connections   int
	TargetSpeed   func(i int) float64
	Workers       int
	WorkerCores   ids.Cores
	WorkerMemory  ids.Megabytes
	Accelerators  int
	WorkersInRack int
	UsageLag      time.Duration
}

// Fleet is a platform with its targets and workers in one process.
type Fleet struct {
	Table   *Table
	Objects *Objects
	VMs     *VMList
	Targets []*Target
	Workers []*Worker

	TableServer   *Server
	ObjectsServer *Server
	VMServer      *Server
	TargetServers []*Server
	WorkerServers []*Server

	servers []*Server
}

// StartFleet starts the stand-ins on free loopback ports and adds the targets
// and workers to the list of VMs.
func StartFleet(opt FleetOptions) (*Fleet, error) {
	fl := &Fleet{
		Table:   NewTable(opt.Table),
		Objects: NewObjects(),
		VMs:     NewVMList(opt.VMLag),
	}
	if err := fl.start(opt); err != nil {
		fl.Close()
		return nil, err
	}
	return fl, nil
}

const freePort = "127.0.0.1:0"

func (fl *Fleet) start(opt FleetOptions) error {
	var err error
	if fl.TableServer, err = fl.addServer(Serve(freePort, fl.Table)); err != nil {
		return err
	}
	if fl.ObjectsServer, err = fl.addServer(Serve(freePort, fl.Objects)); err != nil {
		return err
	}
	if fl.VMServer, err = fl.addServer(Serve(freePort, fl.VMs)); err != nil {
		return err
	}
	var vms []ids.VM
	for i := range opt.Targets {
		vm, err := fl.startTarget(opt, i)
		if err != nil {
			return err
		}
		vms = append(vms, vm)
	}
	for i := range opt.Workers {
		vm, err := fl.startWorker(opt, i)
		if err != nil {
			return err
		}
		vms = append(vms, vm)
	}
	fl.VMs.Set(vms)
	return nil
}

func (fl *Fleet) addServer(srv *Server, err error) (*Server, error) {
	if err == nil {
		fl.servers = append(fl.servers, srv)
	}
	return srv, err
}

func (fl *Fleet) startTarget(opt FleetOptions, i int) (ids.VM, error) {
	speed := 1.0
	if opt.TargetSpeed != nil {
		speed = opt.TargetSpeed(i)
	}
	id := fmt.Sprintf("target-%d", i)
	ta := NewTarget(TargetOptions{ID: id, Slots: opt.Slots, Connections: opt.Connections, Speed: speed})
	srv, err := fl.addServer(ServeTarget(freePort, ta))
	if err != nil {
		return ids.VM{}, err
	}
	fl.Targets = append(fl.Targets, ta)
	fl.TargetServers = append(fl.TargetServers, srv)
	return ids.VM{
		ID:               id,
		Kind:             ids.KindTarget,
		State:            ids.StateLive,
		Address:          srv.Address(),
		AvailabilityZone: opt.Zones[i%len(opt.Zones)],
		Service:          opt.Service,
	}, nil
}

func (fl *Fleet) startWorker(opt FleetOptions, i int) (ids.VM, error) {
	id := fmt.Sprintf("worker-%d", i)
	wk := NewWorker(WorkerOptions{
		ID:           id,
		Processors:   opt.WorkerCores,
		Memory:       opt.WorkerMemory,
		Accelerators: opt.Accelerators,
		UsageLag:     opt.UsageLag,
	})
	srv, err := fl.addServer(Serve(freePort, wk))
	if err != nil {
		return ids.VM{}, err
	}
	fl.Workers = append(fl.Workers, wk)
	fl.WorkerServers = append(fl.WorkerServers, srv)
	return ids.VM{
		ID:               id,
		Kind:             ids.KindWorker,
		State:            ids.StateLive,
		Address:          srv.Address(),
		AvailabilityZone: opt.Zones[i%len(opt.Zones)],
		Rack:             ids.RackID(fmt.Sprintf("rack-%d", i/max(1, opt.WorkersInRack))),
		Processors:       opt.WorkerCores,
		Memory:           opt.WorkerMemory,
		Accelerators:     opt.Accelerators,
	}, nil
}

// Close stops every stand-in.
func (fl *Fleet) Close() {
	for _, wk := range fl.Workers {
		wk.Close()
	}
	for _, srv := range fl.servers {
		srv.Close()
	}
}
