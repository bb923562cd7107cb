package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A lease on a worker is for all of its tasks. An owner that has lost touch with
// the holder of a task starts it again after loseAfter, and the holder may not
// be able to stop the first run by then: its stops get lost, or it is slow
// itself. What ends the run in any case is the lease, which is therefore never
// extended beyond the time that any owner of a task there allows.

const (
	// touchLease is how long after the owner of a task was last in touch the lease
	// of its worker may end. It is 550 ms more than a lease, so that a pause of
	// two beats shortens no lease, and the silence that ends a session leaves
	// 500 ms in which stops may take effect before the other tasks lapse.
	touchLease = 1500 * time.Millisecond
	// leastLease is what new tasks need of the lease of a worker on which a run
	// must end. A stop takes 50 ms; one that is not confirmed in the time until
	// then keeps new tasks away.
	leastLease = 600 * time.Millisecond
)

// touchLimit returns the time at which leases for tasks of an owner must end,
// and whether there is one.
func (en *Entry) touchLimit(owner ids.EntryID) (time.Time, bool) {
	if owner == en.id || owner == "" {
		return time.Time{}, false
	}
	return en.session(owner).touchAt.Add(touchLease), true
}

// disown takes a run that must end from its owner, which may start the task
// again without another message from here.
func (en *Entry) disown(sl *slot) {
	limit := en.now().Add(en.lease)
	if last, bounded := en.touchLimit(sl.owner); bounded && last.Before(limit) {
		limit = last
	}
	sl.owner, sl.leaseLimit = "", limit
}

// mustEnd tells whether a run has to end for an owner that may start the task
// again.
func (sl *slot) mustEnd() bool { return sl.state == slotStopping && sl.owner == "" }

// expires tells whether the lease of a worker is about to run out because of a
// run that must end and is not known to have ended.
func (wk *worker) expires(now time.Time) bool {
	for _, sl := range wk.slots {
		if sl.foreign || sl.mustEnd() && sl.leaseLimit.Sub(now) < leastLease {
			return true
		}
	}
	return false
}

// leaseFor returns how far the leases on a worker may be extended, of the time
// that is asked for.
func (en *Entry) leaseFor(wk *worker, asked time.Duration, now time.Time) time.Duration {
	for _, sl := range wk.slots {
		limit, bounded := sl.leaseLimit, true
		switch {
		case sl.foreign:
			// An owner that could not be asked for it starts the task again once the
			// leases of the holder before have run out, unless the task is known to
			// last.
			return 0
		case sl.state == slotGranted || sl.keeps():
			continue
		case !sl.mustEnd():
			limit, bounded = en.touchLimit(sl.owner)
		}
		if bounded {
			asked = min(asked, limit.Sub(now))
		}
	}
	return asked
}
