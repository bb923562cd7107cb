package home

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Membership proves the end only of incarnations whose heartbeats it has
// received. The owner of a row may be unknown to it, because the owner ended
// before this entry started or before it sent a heartbeat. Without other proof
// the slots of such a home would stay unused forever.
const (
	// replacedAfter is how long after the owner was first seen in a row a
	// heartbeat of another incarnation of its entry proves that the owner has
	// ended. Incarnations of one entry do not overlap. The time covers delayed
	// heartbeats.
	replacedAfter = 5 * time.Second
	// unlistedFor is how long newly fetched lists must lack the VM of the owner.
	// The list lags by seconds, so an entry that has just started is listed by
	// then.
	unlistedFor = 30 * time.Second
)

// unknownOwner is the record of an owner that is unknown to the membership.
type unknownOwner struct {
	firstSeen     time.Time
	unlistedSince time.Time // fetch time of the first list without its VM; zero while listed
	gone          bool
}

// checkUnknownOwners checks for proof that owners unknown to the membership have
// ended.
func (co *Controller) checkUnknownOwners() {
	mem, vms := co.opt.Members.Load(), co.vms
	if mem == nil || vms == nil {
		return
	}
	listed := make(map[ids.EntryID]bool, len(vms.Entries))
	for _, vm := range vms.Entries {
		listed[ids.EntryID(vm.ID)] = true
	}
	owners := map[ids.Incarnation]*unknownOwner{}
	for _, st := range co.targets {
		if st.home != nil || st.owner == "" || owners[st.owner] != nil || hasRecord(mem, st.owner) {
			continue
		}
		uo := co.unknownOwners[st.owner]
		if uo == nil {
			uo = &unknownOwner{firstSeen: time.Now()}
		}
		owners[st.owner] = uo
		uo.update(mem, vms, st.owner.Entry(), listed[st.owner.Entry()])
	}
	co.unknownOwners = owners
}

func (uo *unknownOwner) update(mem *blackboard.Members, vms *blackboard.VMs, id ids.EntryID, listed bool) {
	switch {
	case listed:
		uo.unlistedSince = time.Time{}
	case uo.unlistedSince.IsZero():
		uo.unlistedSince = vms.Fetched
	}
	successor, ok := mem.Alive[id]
	replaced := ok && successor.LastHeard.Sub(uo.firstSeen) > replacedAfter
	unlisted := !ok && !uo.unlistedSince.IsZero() && vms.Fetched.Sub(uo.unlistedSince) > unlistedFor
	uo.gone = uo.gone || replaced || unlisted
}

func hasRecord(mem *blackboard.Members, inc ids.Incarnation) bool {
	_, gone := mem.Gone[inc]
	return gone || mem.Alive[inc.Entry()].Incarnation == inc || mem.Suspect[inc.Entry()].Incarnation == inc
}
