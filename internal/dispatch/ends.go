package dispatch

import (
	"maps"
	"slices"
	"time"
)

// unnotedEnd is an end that a worker must keep until it is stored.
type unnotedEnd struct {
	ref   TaskRef
	how   End
	since time.Time
	// absent tells that the store has no row of the job.
	absent  bool
	askedAt time.Time // when the row was asked for
}

// keepEnd keeps an end of a stored job's task on the worker's list.
func (en *Entry) keepEnd(wk *worker, er EndedRun) {
	wk.unnoted[er.Number] = unnotedEnd{ref: er.Ref, how: er.How, since: en.now()}
}

// recordOf returns what is known of the stored job of a task, nil if nothing is.
func (en *Entry) recordOf(id TaskID) *record {
	at, _ := splitTask(id)
	return en.records[at.job]
}

// storedHere tells whether a task belongs to a stored job that goes on.
func (en *Entry) storedHere(ref TaskRef) bool {
	if _, ok := splitTask(ref.Task); !ok {
		return false
	}
	if en.readAt[TableJobs].IsZero() {
		// Which jobs are stored is not known yet.
		return true
	}
	re := en.recordOf(ref.Task)
	return re != nil && !re.State.over()
}

// mayBeStored tells whether a task may belong to a stored job: its row may not
// have been read yet.
func (en *Entry) mayBeStored(ref TaskRef) bool {
	_, ok := splitTask(ref.Task)
	return ok && (en.storedHere(ref) || en.recordOf(ref.Task) == nil)
}

// verdict tells what a holder may do with an end that it keeps.
type verdict int

const (
	verdictPending verdict = iota // the owner has not stored it
	verdictUnknown                // the row of the job has not been read
	verdictNoted                  // the worker may forget it
	// verdictVoid is an end done of a run that another run has replaced. If the
	// worker forgot it the task would have been started again after an end that
	// counts. An end whose worker's lease runs out first does not count.
	verdictVoid
)

// judge compares an end with the row of its job.
func (en *Entry) judge(un unnotedEnd) verdict {
	re := en.recordOf(un.ref.Task)
	if re == nil {
		if un.absent || (len(en.records) == 0 && en.readAt[TableJobs].After(un.since)) {
			// The job is not stored, or its row has been removed long after its end.
			return verdictNoted
		}
		return verdictUnknown
	}
	if re.lasts(un.ref.Task) {
		// Its tasks are started again however they end.
		return verdictNoted
	}
	name := taskName(un.ref.Task)
	run, done := re.Done[name]
	switch {
	case un.how != EndDone:
		if re.State.over() || slices.Contains(re.Fails[name], un.ref.Run) {
			return verdictNoted
		}
		return verdictPending
	case done && run == un.ref.Run:
		return verdictNoted
	case done:
		return verdictVoid
	case !re.State.over():
		return verdictPending
	case un.ref.Run >= re.Latest[name]:
		return verdictNoted
	}
	return verdictVoid
}

// lapseWait is how long a worker whose lease is to run out may end its tasks
// before.
const lapseWait = 2 * time.Second

// judgeEnds lets a worker forget the ends that are stored. When one is void the
// lease of the worker runs out before it is forgotten.
func (en *Entry) judgeEnds(wk *worker, now time.Time) {
	void := 0
	for number, un := range wk.unnoted {
		switch en.judge(un) {
		case verdictNoted:
			delete(wk.unnoted, number)
		case verdictVoid:
			void++
		case verdictUnknown:
			en.askRow(wk, number, now)
		case verdictPending:
		}
	}
	switch {
	case void == 0:
		wk.lapseSince = time.Time{}
	case wk.lapseSince.IsZero():
		wk.lapseSince = now
		// A former holder may have extended the lease just before.
		wk.extendLease(now, en.lease)
		en.eff.Log("worker-lapsing", "worker", string(wk.info.ID), "void-ends", void, "slots", len(wk.slots))
	case wk.lapses(now) && now.After(wk.leaseEnd):
		maps.DeleteFunc(wk.unnoted, func(_ int64, un unnotedEnd) bool { return en.judge(un) == verdictVoid })
		wk.lapseSince = time.Time{}
		en.eff.Log("worker-lapsed", "worker", string(wk.info.ID), "void-ends", void)
	}
}

// askRowAgain is the pause before the row of a job is asked for again.
const askRowAgain = 300 * time.Millisecond

// askRow reads the row of the job to which a kept end belongs.
func (en *Entry) askRow(wk *worker, number int64, now time.Time) {
	un := wk.unnoted[number]
	at, ok := splitTask(un.ref.Task)
	if !ok || now.Sub(un.askedAt) < askRowAgain {
		return
	}
	un.askedAt = now
	wk.unnoted[number] = un
	en.lookUp(at.job, func(failed bool) {
		if un, kept := wk.unnoted[number]; kept && !failed && en.records[at.job] == nil {
			un.absent = true
			wk.unnoted[number] = un
		}
	})
}

// lapses tells whether the lease of a worker is left to run out.
func (wk *worker) lapses(now time.Time) bool {
	return !wk.lapseSince.IsZero() && (len(wk.slots) == 0 || now.Sub(wk.lapseSince) > lapseWait)
}

// onNoted lets a worker forget ends that are stored.
func (en *Entry) onNoted(ms Noted) {
	for _, wk := range en.workers {
		maps.DeleteFunc(wk.unnoted, func(_ int64, un unnotedEnd) bool { return slices.Contains(ms.Refs, un.ref) })
	}
}
