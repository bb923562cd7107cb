// Package ids holds the named types that the clients of the platform and
// the controllers share: identifiers, units, and the rows of the platform's
// list of VMs.
//
// # Usage
//
//	vms, err := list.Fetch(ctx)
//	for _, vm := range vms {
//		if vm.Kind == ids.KindTarget && vm.State == ids.StateLive { ... }
//	}
package ids

import (
	"strings"

	"github.com/google/uuid"
)

// EntryID names an entry VM. It stays the same over restarts.
type EntryID string

// Incarnation names one run of an entry process: the entry id, a slash and a
// unique part. A process that restarts is a new incarnation.
type Incarnation string

// NewIncarnation returns a new, unique incarnation of the entry.
func NewIncarnation(id EntryID) Incarnation {
	return Incarnation(string(id) + "/" + uuid.NewString())
}

// Entry returns the entry that the incarnation belongs to.
func (in Incarnation) Entry() EntryID {
	id, _, _ := strings.Cut(string(in), "/")
	return EntryID(id)
}

// TargetID names a target, the back end of a service.
type TargetID string

// WorkerID names a worker, a VM that runs the tasks of jobs.
type WorkerID string

// JobID names a submission. Resubmissions carry the same id.
type JobID string

// TeamID names a team, the customer that quotas and fairness apply to.
type TeamID string

// ServiceName names a service.
type ServiceName string

// RequestKind names a kind of request or task with a run time of its own.
type RequestKind string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// RegionName names a region, a set of availability zones.
type RegionName string

// RackID names a rack of workers.
type RackID string

// Megabytes counts memory.
type Megabytes int64

// Cores counts processors, in whole cores.
type Cores float64

// VMKind is the use of a VM in the platform's list.
type VMKind string

// The kinds of VM in the platform's list.
const (
	KindEntry  VMKind = "entry"
	KindTarget VMKind = "target"
	KindWorker VMKind = "worker"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. A VM that is gone is no longer listed.
const (
	StateLive    VMState = "live"
	StateLeaving VMState = "leaving"
)

// VM is one row of the platform's list of VMs. The list lags behind the VMs.
type VM struct {
	ID               string           `json:"id"`
	Kind             VMKind           `json:"kind"`
	State            VMState          `json:"state"`
	Address          string           `json:"address"`
	PeerAddress      string           `json:"peer-address,omitempty"`
	Region           RegionName       `json:"region,omitempty"`
	AvailabilityZone AvailabilityZone `json:"availability-zone"`
	Rack             RackID           `json:"rack,omitempty"`
	Service          ServiceName      `json:"service,omitempty"`
	Size             int              `json:"size,omitempty"`
	Processors       Cores            `json:"processors,omitempty"`
	Memory           Megabytes        `json:"memory-mb,omitempty"`
	Accelerators     int              `json:"accelerators,omitempty"`
}
