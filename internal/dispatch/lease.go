package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A lease on a worker covers all of its tasks. An owner that has lost contact
// with the holder of a task starts the task again after lostTaskTimeout. The
// holder may fail to stop the first run by then, because its stops get lost or
// it is slow itself. Only the expiry of the lease ends the run in any case. The
// lease is therefore never extended beyond the earliest limit of the owners of
// tasks on the worker.

const (
	// contactLease is how long after the last contact with the owner of a task the
	// lease of its worker may last. It is 550 ms longer than a lease, so that a
	// pause of two heartbeats shortens no lease. When a session ends because of
	// silence, 500 ms are left in which stops may take effect before the lease
	// expires and ends the other tasks on the worker.
	contactLease = 1500 * time.Millisecond
	// minLeaseForStarts is the remaining lease below which a worker with a run
	// that must end gets no new tasks. A stop takes 50 ms, so only a stop that
	// stays unconfirmed for long has this effect.
	minLeaseForStarts = 600 * time.Millisecond
)

// contactLimit returns the time at which leases for tasks of an owner must end,
// and whether there is such a limit.
func (en *Entry) contactLimit(owner ids.EntryID) (time.Time, bool) {
	if owner == en.id || owner == "" {
		return time.Time{}, false
	}
	return en.session(owner).contactAt.Add(contactLease), true
}

// detachOwner detaches a run that must end from its owner. The owner may start
// the task again without a further message from this holder.
func (en *Entry) detachOwner(sl *slot) {
	limit := en.now().Add(en.lease)
	if last, bounded := en.contactLimit(sl.owner); bounded && last.Before(limit) {
		limit = last
	}
	sl.owner, sl.leaseLimit = "", limit
}

// mustEnd reports whether a run has to end because its owner may start the task
// again.
func (sl *slot) mustEnd() bool { return sl.state == slotStopping && sl.owner == "" }

// leaseExpiring reports whether the lease of a worker is about to expire
// because of a run that must end and is not known to have ended.
func (wk *worker) leaseExpiring(now time.Time) bool {
	for _, sl := range wk.slots {
		if sl.unclaimed || sl.mustEnd() && sl.leaseLimit.Sub(now) < minLeaseForStarts {
			return true
		}
	}
	return false
}

// allowedLease returns how long the leases on a worker may be extended, at most
// as long as asked.
func (en *Entry) allowedLease(wk *worker, asked time.Duration, now time.Time) time.Duration {
	for _, sl := range wk.slots {
		limit, bounded := sl.leaseLimit, true
		switch {
		case sl.unclaimed:
			// An owner that could not be asked to claim the run starts the task again
			// once the leases of the previous holder have expired, unless the task is
			// known to be long-running.
			return 0
		case sl.state == slotGranted || sl.outlivesOwner():
			continue
		case !sl.mustEnd():
			limit, bounded = en.contactLimit(sl.owner)
		}
		if bounded {
			asked = min(asked, limit.Sub(now))
		}
	}
	return asked
}
