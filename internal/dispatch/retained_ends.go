package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// retainedEnd is an end that a worker keeps on its list because it is not stored
// yet.
type retainedEnd struct {
	ref         TaskRef
	how         End
	since       time.Time
	absent      bool      // the store has no row of the job
	requestedAt time.Time // when the row was last requested
	loggedAt    time.Time // when it was last logged that the end waits
}

// retainEnd makes the worker keep an end of a stored job's task on its list.
func (en *Entry) retainEnd(wk *worker, er EndedRun) {
	wk.retained[er.Number] = retainedEnd{ref: er.Ref, how: er.How, since: en.now()}
}

// recordOf returns the record of the stored job of a task, nil if there is none.
func (en *Entry) recordOf(id TaskID) *record {
	at, _ := parseTaskID(id)
	return en.records[at.job]
}

// inOpenJob reports whether a task belongs to a stored job that has not ended.
// It is true for all tasks until the rows of jobs have been read.
func (en *Entry) inOpenJob(ref TaskRef) bool {
	if _, ok := parseTaskID(ref.Task); !ok {
		return false
	}
	if en.readAt[TableJobs].IsZero() {
		return true
	}
	re := en.recordOf(ref.Task)
	return re != nil && !re.State.ended()
}

// mayBeInOpenJob reports whether a task may belong to a stored job that has not
// ended. A job without a record counts, because its row may not have been read
// yet.
func (en *Entry) mayBeInOpenJob(ref TaskRef) bool {
	_, ok := parseTaskID(ref.Task)
	return ok && (en.inOpenJob(ref) || en.recordOf(ref.Task) == nil)
}

// endStatus states what a holder does with a retained end.
type endStatus int

const (
	endStatusPending endStatus = iota // the owner has not stored it
	endStatusUnknown                  // the row of the job has not been read
	endStatusStored                   // may be acknowledged to the worker
	// endStatusSuperseded is a done end of a run that another run has superseded. A
	// task must not be started again after its done end has been acknowledged.
	// This task has been, so the end is acknowledged only after the lease of the
	// worker has expired; from then on it no longer counts.
	endStatusSuperseded
)

// statusOfEnd compares an end with the row of its job.
func (en *Entry) statusOfEnd(rt retainedEnd) endStatus {
	re := en.recordOf(rt.ref.Task)
	if re == nil {
		if rt.absent || (len(en.records) == 0 && en.readAt[TableJobs].After(rt.since)) {
			// The job is not stored, or its row was removed long after the job ended.
			return endStatusStored
		}
		return endStatusUnknown
	}
	if re.isLasting(rt.ref.Task) {
		// Long-running tasks are started again however they end.
		return endStatusStored
	}
	name := taskName(rt.ref.Task)
	run, done := re.Done[name]
	switch {
	case rt.how != EndDone:
		// A task that is done is not started again, so its failures no longer count. Its
		// owner does not store those that it learns of later.
		if done || re.State.ended() || re.knowsFailure(name, rt.ref.Run) {
			return endStatusStored
		}
		return endStatusPending
	case done && run == rt.ref.Run:
		return endStatusStored
	case done:
		return endStatusSuperseded
	case !re.State.ended():
		return endStatusPending
	case rt.ref.Run >= re.Latest[name]:
		return endStatusStored
	}
	return endStatusSuperseded
}

// lapseWait is how long the tasks on a worker may still finish before its lease
// is left to expire.
const lapseWait = 2 * time.Second

// checkRetainedEnds acknowledges the ends that are stored. If an end is
// superseded, the lease of the worker must expire before the end is
// acknowledged.
func (en *Entry) checkRetainedEnds(wk *worker, now time.Time) {
	superseded := 0
	var pending []int64
	for number, rt := range wk.retained {
		switch en.statusOfEnd(rt) {
		case endStatusStored:
			delete(wk.retained, number)
		case endStatusSuperseded:
			superseded++
		case endStatusUnknown:
			en.requestJobRow(wk, number, now)
		case endStatusPending:
			en.logPendingEnd(wk, number, now)
			pending = append(pending, number)
		}
	}
	en.resendEnds(wk, pending, now)
	switch {
	case superseded == 0:
		wk.lapseSince = time.Time{}
	case wk.lapseSince.IsZero():
		wk.lapseSince = now
		// The previous holder may have extended the lease until now.
		wk.recordLease(now, en.lease)
		en.eff.Log("worker-lapsing", "worker", string(wk.info.ID), "superseded-ends", superseded, "slots", len(wk.slots))
	case wk.leaseLapsing(now) && now.After(wk.leaseEnd):
		maps.DeleteFunc(wk.retained, func(_ int64, rt retainedEnd) bool { return en.statusOfEnd(rt) == endStatusSuperseded })
		wk.lapseSince = time.Time{}
		en.eff.Log("worker-lapsed", "worker", string(wk.info.ID), "superseded-ends", superseded)
	}
}

// The limits on sending pending ends again.
const (
	// endResendInterval is the age of an end, and the pause after the last message, at
	// which an end that is not stored is sent again. An owner stores it after
	// endWriteDelay.
	endResendInterval = time.Second
	// maxResentEnds bounds the ends of a worker in one message. A worker forgets its
	// ends in order, so that the first ones are enough.
	maxResentEnds = 50
)

// resendEnds sends the first pending ends of a worker to the owners of their jobs
// again. The message that named them may have got lost, or have reached an entry that
// did not own the job yet. An owner that asks for all ends of a job gets no answer
// while one of its tasks has not ended here, which a worker with a full list can't tell.
func (en *Entry) resendEnds(wk *worker, pending []int64, now time.Time) {
	if len(pending) == 0 || now.Sub(wk.endsResentAt) < endResendInterval {
		return
	}
	wk.endsResentAt = now
	slices.Sort(pending)
	ends := map[ids.EntryID][]Ended{}
	for _, number := range pending[:min(len(pending), maxResentEnds)] {
		rt := wk.retained[number]
		if re := en.recordOf(rt.ref.Task); re.Owner != "" && now.Sub(rt.since) >= endResendInterval {
			ends[re.Owner.Entry()] = append(ends[re.Owner.Entry()], Ended{Ref: rt.ref, Worker: wk.info.ID, How: rt.how})
		}
	}
	for _, id := range sortedKeys(ends) {
		en.send(id, PastEnds{Ends: ends[id]})
	}
}

// logPendingEnd logs an end that its owner has not stored for long. The worker can't
// forget any later end, and lists 500 at most.
func (en *Entry) logPendingEnd(wk *worker, number int64, now time.Time) {
	rt := wk.retained[number]
	if now.Sub(rt.since) < waitLogInterval || now.Sub(rt.loggedAt) < pendingLogInterval {
		return
	}
	rt.loggedAt = now
	wk.retained[number] = rt
	re := en.recordOf(rt.ref.Task)
	name := taskName(rt.ref.Task)
	run, done := re.Done[name]
	en.eff.Count("end", "pending", 1)
	en.eff.Log("end-pending", "worker", string(wk.info.ID), "number", number, "task", string(rt.ref.Task), "run", int64(rt.ref.Run),
		"how", string(rt.how), "age-ms", now.Sub(rt.since).Milliseconds(), "behind", wk.acked-number, "owner", string(re.Owner),
		"stored-done", done, "stored-run", int64(run), "stored-failed", re.failures(name))
}

// pendingLogInterval is the interval at which an end that is not stored is logged.
const pendingLogInterval = 10 * time.Second

// jobRowInterval is the pause before the row of a job is requested again.
const jobRowInterval = 300 * time.Millisecond

// requestJobRow requests the row of the job to which a retained end belongs.
func (en *Entry) requestJobRow(wk *worker, number int64, now time.Time) {
	rt := wk.retained[number]
	at, ok := parseTaskID(rt.ref.Task)
	if !ok || now.Sub(rt.requestedAt) < jobRowInterval {
		return
	}
	rt.requestedAt = now
	wk.retained[number] = rt
	ref := rt.ref
	en.readJob(at.job, func(failed bool) {
		// After a restart of the worker the number may be that of another end.
		if rt, kept := wk.retained[number]; kept && rt.ref == ref && !failed && en.records[at.job] == nil {
			rt.absent = true
			wk.retained[number] = rt
		}
	})
}

// leaseLapsing reports whether the lease of a worker is being left to expire.
func (wk *worker) leaseLapsing(now time.Time) bool {
	return !wk.lapseSince.IsZero() && (len(wk.slots) == 0 || now.Sub(wk.lapseSince) > lapseWait)
}

// handleNoted handles the message that ends are stored: they may be
// acknowledged to their workers.
func (en *Entry) handleNoted(ms Noted) {
	for _, wk := range en.workers {
		maps.DeleteFunc(wk.retained, func(_ int64, rt retainedEnd) bool { return slices.Contains(ms.Refs, rt.ref) })
	}
}
