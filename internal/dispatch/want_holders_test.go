package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestFewHoldersWhileWorkWaits guards against holders that reserve room for the same
// tasks while work waits everywhere, and against tasks that ask too few holders when
// only some have a worker for them.
func TestFewHoldersWhileWorkWaits(t *testing.T) {
	t.Parallel()
	et := newEvacuationTest(t)
	for num := range 20 {
		inc := ids.Incarnation(fmt.Sprintf("entry-%02d/1", num+1))
		et.en.PutMember(Member{Self: Self{Incarnation: inc, Zone: "north"}, Version: 5})
		et.en.SessionUp(inc.Entry(), inc)
		et.en.InboundUp(inc.Entry(), 1)
	}
	report := func(wanted float64) {
		for id := range et.en.sessions {
			et.en.HandlePeerLoad(id, Load{Capacity: []ServiceCapacity{{Service: nameHash("fitdesk"), Rate: levelOf(100), Wanted: levelOf(wanted)}}})
		}
		et.en.demand.capacityReport = []ServiceCapacity{{Service: nameHash("fitdesk"), Rate: levelOf(100), Wanted: levelOf(wanted)}}
	}
	newGroup := func(sh Shape) *group {
		sh.Service = "fitdesk"
		return &group{id: 7, job: &job{}, shape: sh, wantedFrom: map[ids.EntryID]bool{}}
	}
	rows := []struct {
		name   string
		wanted float64 // core-seconds at holders of 100 cores
		shape  Shape
		after  time.Duration
		asked  int
	}{
		{"no work waits", 0, Shape{}, 0, maxWantHolders},
		{"work waits at all", 50, Shape{}, 0, contendedHolders},
		{"data on a rack", 50, Shape{Affinity: "rack-1"}, 0, maxWantHolders},
		{"a label", 50, Shape{Requirement: "large"}, 0, maxWantHolders},
		{"still waiting", 50, Shape{}, widenAfter, maxWantHolders},
	}
	for _, row := range rows {
		report(row.wanted)
		gr := newGroup(row.shape)
		first := et.en.askedHolders(gr)
		for _, id := range first {
			gr.wantedFrom[id] = true
		}
		et.wo.at = et.wo.at.Add(row.after)
		list := et.en.askedHolders(gr)
		if len(list) != row.asked {
			t.Errorf("%s: %d holders are asked, want %d", row.name, len(list), row.asked)
		}
		if row.after == 0 && fmt.Sprint(list) != fmt.Sprint(first) && len(list) == contendedHolders {
			t.Errorf("%s: %v are asked after %v", row.name, list, first)
		}
	}
}

// TestReservationsUnderOverload guards against room that is reserved in vain: under
// overload all holders reserved room for the same tasks.
func TestReservationsUnderOverload(t *testing.T) {
	t.Parallel()
	const mostGrantsPerStart = 3
	or := newOverloadRun(931, 18, 120)
	or.feed(func() float64 { return 2 * or.served }, 4*time.Second)
	or.run(time.Second)
	grants, starts := or.sent["dispatch.Grant"], or.starts
	or.run(3 * time.Second)
	grants, starts = or.sent["dispatch.Grant"]-grants, or.starts-starts
	if grants > mostGrantsPerStart*starts {
		t.Errorf("%d grants for %d starts, want at most %d for each start", grants, starts, mostGrantsPerStart)
	}
	t.Logf("%d grants for %d starts", grants, starts)
}
