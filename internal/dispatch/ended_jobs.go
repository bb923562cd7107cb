package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Any entry may write the end of a stored job that another one owns, and then
// acknowledges it to a caller. The owner may not learn of it for long: it may be cut
// off from the store, or have no session with that entry. An end therefore binds every
// entry that has read or received it. The owner drops the job, and a holder starts none
// of its tasks, stops those that run, and informs the owner.

// ownerToldInterval is the interval at which a holder informs owners that a job has
// ended. A row may have 64 KB, and each task of the job may be a reason to send it.
const ownerToldInterval = 500 * time.Millisecond

// endedRecord returns the record of a stored job that has ended, nil if the job has not
// ended or is not known.
func (en *Entry) endedRecord(id ids.JobID) *record {
	if re := en.records[id]; re != nil && re.State.ended() {
		return re
	}
	return nil
}

// refusesEnded reports whether a job for which an owner asks for room has ended, and
// informs the owner. The owner stops sending its tasks, so they get no answer.
func (en *Entry) refusesEnded(owner ids.EntryID, id ids.JobID, sh Shape) bool {
	re := en.endedRecord(id)
	if re == nil || !sh.Stored {
		return false
	}
	en.eff.Count("job", "ended-refused", 1)
	en.informOwner(owner, re)
	return true
}

// informOwner sends the row of a job that has ended to an entry that acts as its owner.
func (en *Entry) informOwner(owner ids.EntryID, re *record) {
	now := en.now()
	if owner == "" || owner == en.id || now.Sub(re.ownerToldAt) < ownerToldInterval {
		return
	}
	re.ownerToldAt = now
	en.eff.Log("owner-informed", "job", string(re.ID), "state", string(re.State), "owner", string(owner), "known-ms", now.Sub(re.endedAt).Milliseconds())
	en.send(owner, JobNews{Record: re.JobRecord, Begun: re.begun})
}

// stopEnded stops a run of a stored job that has ended.
func (en *Entry) stopEnded(wk *worker, sl *slot) {
	if !sl.shape.Stored || sl.state == slotGranted || sl.state == slotStopping {
		return
	}
	if re := en.endedRecord(sl.job); re != nil {
		en.informOwner(sl.owner, re)
		en.stopSlot(wk, sl, EndStopped)
	}
}
