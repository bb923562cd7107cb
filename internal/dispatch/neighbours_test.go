package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

var emuZones = []ids.AvailabilityZone{"north", "east", "south", "west", "middle"}

// fleetOf returns entries spread evenly over zones. Every fourth entry of a zone
// is large.
func fleetOf(count, zones int) []Member {
	var list []Member
	for num := range count {
		size := 0.144
		if num/zones%4 == 0 {
			size = 0.8
		}
		list = append(list, Member{Self: Self{
			Incarnation: ids.Incarnation(fmt.Sprintf("entry-%03d/1", num)), Zone: emuZones[num%zones], Size: size,
		}})
	}
	return list
}

// TestNeighboursBounded guards against a number of sessions that grows with the
// fleet. At every size, an entry has at most the neighbours on both sides of its
// ring, the far links and the watchers.
func TestNeighboursBounded(t *testing.T) {
	t.Parallel()
	const most = 2*sideNeighbours + crossZoneNeighbours + watchersPerZone
	for _, size := range []int{7, 17, 35, 150, 565} {
		ro := newRoster(fleetOf(size, 5))
		for _, re := range ro.all {
			near := ro.neighbours(re.Incarnation.Entry(), re.Zone)
			count := len(near)
			if size <= fullMeshSize && count != size-1 {
				t.Errorf("%d entries: %s has %d neighbours, want all %d", size, re.Incarnation, count, size-1)
			}
			if count > max(most, fullMeshSize) {
				t.Errorf("%d entries: %s has %d neighbours, at most %d are allowed", size, re.Incarnation, count, most)
			}
			zones := map[ids.AvailabilityZone]bool{re.Zone: true}
			for _, other := range ro.all {
				if near[other.Incarnation.Entry()] {
					zones[other.Zone] = true
				}
			}
			if len(zones) != 5 {
				t.Errorf("%d entries: %s has neighbours in %d zones, want all 5", size, re.Incarnation, len(zones))
			}
		}
	}
}

// TestHoldersAreNeighbours guards against a worker that passes to an entry
// without a session with the previous holder. Only neighbours can distinguish a
// dead holder from one that is cut off from the store.
func TestHoldersAreNeighbours(t *testing.T) {
	t.Parallel()
	for _, size := range []int{7, 35, 150, 565} {
		list := fleetOf(size, 5)
		ro := newRoster(list)
		for num := range 200 {
			name := fmt.Sprintf("w-%d", num)
			zone := emuZones[num%len(emuZones)]
			first := ro.assigned(name, zone)
			less := slices.DeleteFunc(slices.Clone(list), func(mb Member) bool { return mb.Incarnation == first })
			second := newRoster(less).assigned(name, zone)
			if !ro.neighbours(second.Entry(), zone)[first.Entry()] {
				t.Errorf("%d entries: worker %s passes from %s to %s, which is not a neighbour", size, name, first, second)
			}
		}
	}
}

// TestFewWorkersMove guards against a change of the members that moves many
// workers. Adding or removing one entry may move only its own share and that of
// the next entry in its window.
func TestFewWorkersMove(t *testing.T) {
	t.Parallel()
	const size, workers = 150, 1100
	list := fleetOf(size, 5)
	before, after := newRoster(list), newRoster(list[1:])
	moved := 0
	for num := range workers {
		name, zone := fmt.Sprintf("w-%d", num), emuZones[num%len(emuZones)]
		if before.assigned(name, zone) != after.assigned(name, zone) {
			moved++
		}
	}
	// There are seven workers for each entry. A large entry holds up to 0.8 of the
	// 2 cores in a window of six, and the shift of the window adds the share of one
	// entry.
	if most := 3 * holderWindow * workers / size; moved > most {
		t.Errorf("the end of one of %d entries moves %d of %d workers, want at most %d", size, moved, workers, most)
	}
}

// TestZoneWithoutEntries guards against workers without a holder after all
// entries of their zone have ended.
func TestZoneWithoutEntries(t *testing.T) {
	t.Parallel()
	list := slices.DeleteFunc(fleetOf(35, 5), func(mb Member) bool { return mb.Zone == "north" })
	counts := map[ids.Incarnation]int{}
	for num := range 70 {
		inc := newRoster(list).assigned(fmt.Sprintf("w-%d", num), "north")
		if inc == "" {
			t.Fatalf("worker %d has no holder", num)
		}
		counts[inc]++
	}
	if len(counts) < 14 {
		t.Errorf("70 workers of a zone without entries go to %d entries, want at least half of 28", len(counts))
	}
}

// TestWatchers guards against changes of workers that are not passed on. The two
// largest entries of each zone are its watchers, and all other entries of the
// zone have sessions with them.
func TestWatchers(t *testing.T) {
	t.Parallel()
	ro := newRoster(fleetOf(150, 5))
	for _, zone := range emuZones {
		list := ro.watchers(zone)
		if len(list) != watchersPerZone {
			t.Fatalf("zone %s has %d watchers, want %d", zone, len(list), watchersPerZone)
		}
		for _, re := range ro.zones[zone] {
			id := re.Incarnation.Entry()
			if slices.Contains(list, id) && re.Size != 0.8 {
				t.Errorf("watcher %s has %v cores, want one of the largest", id, re.Size)
			}
			for _, watcher := range list {
				if id != watcher && !ro.neighbours(id, zone)[watcher] {
					t.Errorf("%s has no session with watcher %s", id, watcher)
				}
			}
		}
	}
}
