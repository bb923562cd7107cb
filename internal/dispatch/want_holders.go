package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// Each holder that is asked for room reserves it for the same tasks, and room that
// was reserved in vain stays idle until the owner has answered. With ten holders for
// each group that is half of the room in use as soon as work waits everywhere. While
// it does, a group asks few holders: one of them has room soon anyway.

// The limits on the holders that a group asks while work waits at all of them.
const (
	// contendedHolders is the number of holders that are asked.
	contendedHolders = 4
	// contendedWait is the work that must wait at each of the holders.
	contendedWait = 20 * time.Millisecond
	// widenAfter is the time after which a group whose tasks still wait asks
	// maxWantHolders, in case the few have no worker for them.
	widenAfter = 500 * time.Millisecond
)

// askedHolders lists the holders to ask for room for a group.
func (en *Entry) askedHolders(gr *group) []ids.EntryID {
	list, now := en.wantTargets(gr.shape), en.now()
	if len(list) <= contendedHolders || !gr.shape.runsAnywhere() || len(gr.avoidHolders) > 0 || !en.contended(list, gr.shape) {
		gr.fewSince = time.Time{}
		return list
	}
	if gr.fewSince.IsZero() {
		gr.fewSince = now
	}
	if now.Sub(gr.fewSince) >= widenAfter {
		return list
	}
	key := string(en.id) + strconv.FormatUint(uint64(gr.id), 10)
	slices.SortFunc(list, func(a, b ids.EntryID) int {
		if gr.wantedFrom[a] != gr.wantedFrom[b] {
			return boolOrder(gr.wantedFrom[a])
		}
		return boolOrder(rendezvous.Uniform(key, string(a)) > rendezvous.Uniform(key, string(b)))
	})
	return list[:contendedHolders]
}

// boolOrder returns the order of two elements of which the first one comes first
// if first is set.
func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// runsAnywhere reports whether any worker with enough room may run a task.
func (sh Shape) runsAnywhere() bool {
	return sh.Affinity == "" && sh.Requirement == "" && sh.AntiAffinity == 0 && sh.Need.Accelerators == 0 && !sh.Advised && !sh.Gang
}

// contended reports whether work waits at all of the holders.
func (en *Entry) contended(list []ids.EntryID, sh Shape) bool {
	service := nameHash(string(sh.Service))
	return !slices.ContainsFunc(list, func(id ids.EntryID) bool { return en.waitAt(id, service) < contendedWait })
}

// widenWants asks more holders for the tasks of a job that have waited for
// widenAfter.
func (en *Entry) widenWants(jb *job, now time.Time) {
	for _, gr := range jb.groups {
		if gr.fewSince.IsZero() || gr.widened || now.Sub(gr.fewSince) < widenAfter {
			continue
		}
		gr.widened = true
		if len(gr.queued()) > 0 {
			en.sendWants(gr)
		}
	}
}
