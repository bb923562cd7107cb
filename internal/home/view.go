package home

import (
	"slices"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// entryView is the part of an entry's data that is needed to share slots with it.
type entryView struct {
	id      ids.EntryID
	zone    ids.AvailabilityZone
	region  ids.RegionName
	size    int
	address string
	// incarnation is empty until a heartbeat of the entry has been received.
	incarnation ids.Incarnation
}

// others returns the other entries that appear alive, and the listed entries
// that no heartbeat has been received from yet. Just after a start these are all
// entries.
func (co *Controller) others() []entryView {
	var out []entryView
	known := map[ids.EntryID]bool{co.opt.Self.ID: true}
	if mem := co.opt.Members.Load(); mem != nil {
		for id, me := range mem.Alive {
			known[id] = true
			if id != co.opt.Self.ID && co.departed[id] != me.Incarnation {
				out = append(out, entryView{id, me.AvailabilityZone, me.Region, me.Size, me.PeerAddress, me.Incarnation})
			}
		}
		for id := range mem.Suspect {
			known[id] = true
		}
		for inc := range mem.Gone {
			known[inc.Entry()] = true
		}
	}
	for id := range co.departed {
		known[id] = true
	}
	if vms := co.opt.Board.VMs.Load(); vms != nil {
		for _, vm := range vms.Entries {
			if id := ids.EntryID(vm.ID); vm.State == ids.StateLive && !known[id] {
				out = append(out, entryView{id, vm.AvailabilityZone, vm.Region, vm.Size, vm.PeerAddress, ""})
			}
		}
	}
	return out
}

// addressOf returns the address of the entry that runs the incarnation, or "".
func (co *Controller) addressOf(others []entryView, inc ids.Incarnation) string {
	for _, en := range others {
		if en.id == inc.Entry() && (en.incarnation == "" || en.incarnation == inc) {
			return en.address
		}
	}
	return ""
}

// affectedAddresses returns the addresses of the other entries of this zone and
// of the zones whose targets the batch changes.
func (co *Controller) affectedAddresses(batch *claimBatch) []string {
	zones := map[ids.AvailabilityZone]bool{co.opt.Self.Zone: true}
	for id := range batch.claims {
		zones[co.targets[id].vm.AvailabilityZone] = true
	}
	for _, id := range batch.releases {
		zones[co.targets[id].vm.AvailabilityZone] = true
	}
	var out []string
	for _, en := range co.others() {
		if zones[en.zone] {
			out = append(out, en.address)
		}
	}
	return out
}

// gone returns a function that reports whether an incarnation is proved to have
// ended. An earlier incarnation of this entry has ended, because this process
// has its address.
func (co *Controller) gone() func(ids.Incarnation) bool {
	mem := co.opt.Members.Load()
	self := co.opt.Self
	return func(inc ids.Incarnation) bool {
		if inc.Entry() == self.ID {
			return inc != self.Incarnation
		}
		if uo := co.unknownOwners[inc]; uo != nil && uo.gone {
			return true
		}
		if mem == nil {
			return false
		}
		_, ok := mem.Gone[inc]
		return ok
	}
}

// readTargets updates the targets from the list of VMs and the configuration,
// and publishes the gates if the set of targets has changed.
func (co *Controller) readTargets() {
	vms := co.opt.Board.VMs.Load()
	conf := co.opt.Board.Configuration.Load()
	if vms == nil || conf == nil || vms == co.vms && int64(conf.Number) == co.configurationNumber {
		return
	}
	co.vms, co.configurationNumber = vms, int64(conf.Number)
	listed := map[ids.TargetID]bool{}
	changed := false
	for service, list := range vms.Targets {
		for _, vm := range list {
			id := ids.TargetID(vm.ID)
			listed[id] = true
			st := co.targets[id]
			if st == nil {
				st = &targetState{gate: slotshare.NewGateWithClock(0, co.opt.Clock), vacantSince: co.opt.Clock()}
				co.targets[id] = st
				co.applyUnlistedRow(id, st)
				changed = true
			}
			st.vm = vm
			st.slots = conf.Document.Services[service].Slots
			if st.home != nil && st.home.Slots() != st.slots {
				st.home.SetSlots(st.slots)
			}
		}
	}
	for id, st := range co.targets {
		// A home is kept until its row has been deleted.
		if !listed[id] && st.home == nil {
			delete(co.targets, id)
			changed = true
		} else if !listed[id] {
			st.vm.State = ids.StateLeaving
		}
	}
	if changed {
		co.publish()
	}
}

func (co *Controller) applyUnlistedRow(id ids.TargetID, st *targetState) {
	key := rowPrefix + string(id)
	if row, ok := co.unlistedRows[key]; ok {
		st.applyRow(row)
		delete(co.unlistedRows, key)
	}
}

func (co *Controller) publish() {
	gates := make(map[ids.TargetID]*slotshare.Gate, len(co.targets))
	co.ids = make([]ids.TargetID, 0, len(co.targets))
	for id, st := range co.targets {
		gates[id] = st.gate
		co.ids = append(co.ids, id)
	}
	slices.Sort(co.ids)
	co.opt.Board.Gates.Publish(&blackboard.Gates{ByTarget: gates})
}
