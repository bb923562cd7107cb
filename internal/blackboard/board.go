package blackboard

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

// Board is the state that the controllers of one entry share.
type Board struct {
	// Configuration is the configuration in force. Its number never falls.
	Configuration Cell[configuration.Version]
	// VMs is the platform's list as last fetched.
	VMs Cell[VMs]
	// Members is what this entry knows about the other entries.
	Members Cell[Members]
}

// VMs is the platform's list of VMs, split by use.
type VMs struct {
	Fetched time.Time
	Entries []platform.VM
	Targets map[platform.ServiceName][]platform.VM
	Workers []platform.VM
}

// Members are the other entries that are believed to be alive.
type Members struct {
	Alive map[platform.EntryID]Member
}

// Member is one other entry.
type Member struct {
	ID               platform.EntryID
	Incarnation      platform.Incarnation
	AvailabilityZone platform.AvailabilityZone
	Region           platform.RegionName
	Size             int
	PeerAddress      string
	Configuration    configuration.Number
	LastHeard        time.Time
}
