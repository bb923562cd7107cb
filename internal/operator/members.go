package operator

import (
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// MemberState is the state of another entry according to this entry.
type MemberState string

// The states of a member.
const (
	StateAlive   MemberState = "alive"
	StateSuspect MemberState = "suspect"
	StateGone    MemberState = "gone"
)

// Member is the record that this entry has of another entry.
type Member struct {
	EntryID          ids.EntryID           `json:"entry-id"`
	Incarnation      ids.Incarnation       `json:"incarnation"`
	AvailabilityZone ids.AvailabilityZone  `json:"availability-zone,omitempty"`
	State            MemberState           `json:"state"`
	GoneReason       blackboard.GoneReason `json:"gone-reason,omitempty"`
	Configuration    configuration.Number  `json:"configuration-number"`
	LastHeardMillis  int64                 `json:"last-heard-millis"`
}

// maxGoneShown bounds the size of the status, since an incarnation stays on
// record as gone for weeks.
const maxGoneShown = 50

// members lists the other entries in the order of their ids. A gone incarnation
// is listed only if its entry has no incarnation that is alive or suspect.
func members(snap *blackboard.Members, now time.Time) []Member {
	out := []Member{}
	if snap == nil {
		return out
	}
	add := func(state MemberState, mem blackboard.Member) {
		out = append(out, Member{
			EntryID:          mem.ID,
			Incarnation:      mem.Incarnation,
			AvailabilityZone: mem.AvailabilityZone,
			State:            state,
			Configuration:    mem.Configuration,
			LastHeardMillis:  now.Sub(mem.LastHeard).Milliseconds(),
		})
	}
	for _, mem := range snap.Alive {
		add(StateAlive, mem)
	}
	for _, mem := range snap.Suspect {
		add(StateSuspect, mem)
	}
	gone := 0
	for inc, reason := range snap.Gone {
		_, alive := snap.Alive[inc.Entry()]
		_, suspect := snap.Suspect[inc.Entry()]
		if !alive && !suspect && gone < maxGoneShown {
			gone++
			out = append(out, Member{EntryID: inc.Entry(), Incarnation: inc, State: StateGone, GoneReason: reason})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	return out
}
