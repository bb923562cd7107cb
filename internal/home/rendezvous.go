package home

import (
	"sort"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// rank returns the candidates for the home of a target, best first. It uses
// rendezvous hashing weighted by size: when an entry joins or leaves, only
// the targets that it gains or loses change their first candidate.
func rank(id ids.TargetID, candidates []entryView) []entryView {
	out := append([]entryView(nil), candidates...)
	scores := make(map[ids.EntryID]float64, len(out))
	for _, en := range out {
		scores[en.id] = rendezvous.Score(string(id), string(en.id), float64(max(1, en.size)))
	}
	sort.Slice(out, func(i, j int) bool {
		if si, sj := scores[out[i].id], scores[out[j].id]; si != sj {
			return si > sj
		}
		return out[i].id < out[j].id
	})
	return out
}

// candidates returns a function that returns the entries that may be the home
// of a target: those of its zone. If the zone has no entry, they are those of
// its region, and if that has none either, all entries.
func (co *Controller) candidates(others []entryView) func(vm ids.VM) []entryView {
	self := co.opt.Self
	all := append([]entryView{{id: self.ID, zone: self.Zone, region: self.Region, size: self.Size, incarnation: self.Incarnation}}, others...)
	byZone := map[ids.AvailabilityZone][]entryView{}
	byRegion := map[ids.RegionName][]entryView{}
	for _, en := range all {
		byZone[en.zone] = append(byZone[en.zone], en)
		byRegion[en.region] = append(byRegion[en.region], en)
	}
	// An entry that is listed but not alive may be behind a network partition
	// and still serve its zone.
	listed := map[ids.AvailabilityZone]bool{}
	if co.vms != nil {
		for _, vm := range co.vms.Entries {
			listed[vm.AvailabilityZone] = true
		}
	}
	return func(vm ids.VM) []entryView {
		if found := byZone[vm.AvailabilityZone]; len(found) > 0 || listed[vm.AvailabilityZone] {
			return found
		}
		if found := byRegion[vm.Region]; len(found) > 0 {
			return found
		}
		return all
	}
}
