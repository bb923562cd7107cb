package blackboard

import (
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// Board is the state that the controllers of one entry share.
type Board struct {
	// Configuration is the configuration in force. Its number never falls.
	Configuration Cell[configuration.Version]
	// VMs is the platform's list of VMs as last fetched.
	VMs Cell[VMs]
	// Members holds the states of the other entries.
	Members Cell[Members]
	// Gates holds the gates for the slots that this entry may use on each target.
	Gates Cell[Gates]
}

// Gates holds one gate for each target that this entry may use. A gate stays
// the same object while its target is known.
type Gates struct {
	ByTarget map[ids.TargetID]*slotshare.Gate
}

// VMs is the platform's list of VMs, split by use.
type VMs struct {
	Fetched time.Time
	Entries []ids.VM
	Targets map[ids.ServiceName][]ids.VM
	Workers []ids.VM
}

// All returns the whole list.
func (vm *VMs) All() []ids.VM {
	all := slices.Concat(vm.Entries, vm.Workers)
	for _, targets := range vm.Targets {
		all = append(all, targets...)
	}
	return all
}

// Members holds the states of the other entries as this entry has detected
// them.
type Members struct {
	// Alive are the entries that answer heartbeats.
	Alive map[ids.EntryID]Member
	// Suspect are the entries that have stopped answering. A suspicion may be
	// false: the entry may be paused or behind a network partition.
	Suspect map[ids.EntryID]Member
	// Gone are the incarnations that have provably ended.
	Gone map[ids.Incarnation]GoneReason
}

// GoneReason is the proof that an incarnation has ended.
type GoneReason string

// The proofs that an incarnation has ended.
const (
	GoneReplaced GoneReason = "replaced-by-newer-incarnation"
	GoneRefused  GoneReason = "connection-refused"
	GoneUnlisted GoneReason = "vm-no-longer-listed"
	GoneLeft     GoneReason = "left-gracefully"
)

// Member is one other entry.
type Member struct {
	ID               ids.EntryID
	Incarnation      ids.Incarnation
	AvailabilityZone ids.AvailabilityZone
	Region           ids.RegionName
	Size             int
	PeerAddress      string
	Configuration    configuration.Number
	LastHeard        time.Time
}
