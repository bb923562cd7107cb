package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A start without an answer may never have arrived, may have been carried out,
// or may be carried out seconds later. The holder finds out: it looks at what
// the worker runs, and when the run is not there it has the worker refuse it
// from now on by a stop, and looks once more. Then the task can start elsewhere
// long before the order itself expires.

// doubtStep is how far the search for a run has come.
type doubtStep int

const (
	doubtNone doubtStep = iota
	doubtLook           // the lists of the worker are asked for
	doubtStop           // a stop is sent, after which the worker refuses the start
	doubtGone           // the stop is confirmed; the lists are asked for again
)

const (
	// startDoubt without an answer to a start begins the search. Workers answer
	// in one to five milliseconds.
	startDoubt = 60 * time.Millisecond
	// lossyDoubt is the same while single calls get lost.
	lossyDoubt = 20 * time.Millisecond
	// lookPause separates two looks at a worker.
	lookPause = 20 * time.Millisecond
	// lookTimeout is when a look without an answer is sent again.
	lookTimeout = 150 * time.Millisecond
)

// tickDoubt goes on with the search for a run.
func (en *Entry) tickDoubt(wk *worker, sl *slot, now time.Time) {
	switch sl.doubt {
	case doubtNone:
		limit := startDoubt
		if now.Before(en.lossyUntil) {
			limit = lossyDoubt
		}
		if now.Sub(sl.began) < limit {
			return
		}
		sl.doubt, sl.doubtAt = doubtLook, now
		en.look(wk, now)
	case doubtLook, doubtGone:
		en.look(wk, now)
	case doubtStop:
		if now.Sub(sl.stopSent) > stopAgain {
			en.sendStop(wk, sl)
		}
	}
}

// tickDue looks for the end of a run that should have ended, while the answer
// that tells of it may be lost.
func (en *Entry) tickDue(wk *worker, sl *slot, now time.Time) {
	if !now.Before(en.lossyUntil) || sl.shape.Lasting || now.Sub(wk.heardAt) < duePause {
		return
	}
	expected := time.Duration(float64(sl.shape.Estimate) / wk.speed.factor(now))
	if now.Sub(sl.began) > expected {
		en.look(wk, now)
	}
}

// duePause is the time since a worker was heard of after which it is asked for
// ends that are due.
const duePause = 40 * time.Millisecond

// look asks a worker for its lists, beside the hold that is in flight.
func (en *Entry) look(wk *worker, now time.Time) {
	pause := lookPause
	if wk.looking {
		pause = lookTimeout
	}
	if now.Sub(wk.lookSent) < pause {
		return
	}
	wk.looking, wk.lookSent = true, now
	en.eff.Hold(HoldOrder{
		Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Acked: wk.ackThrough(), Look: wk.lookSent.UnixNano(), Margin: lookTimeout,
	})
}

// Looked takes the answer to a hold with a number in Look.
func (en *Entry) Looked(id ids.WorkerID, token Token, look int64, rep HoldReply) {
	wk := en.workers[id]
	if wk == nil || wk.token != token || wk.lookSent.UnixNano() != look {
		return
	}
	wk.looking = false
	if !rep.Failed {
		wk.heardAt = en.now()
	}
	if rep.Failed || rep.Other || rep.Fenced || (wk.born != 0 && rep.Born != 0 && rep.Born != wk.born) {
		// The hold in flight finds out more.
		return
	}
	en.takeEnds(wk, rep)
	listed := rep.listed()
	for _, sl := range wk.list() {
		if (sl.state != slotOrdered && sl.state != slotUnknown) || sl.doubt == doubtNone || sl.doubtAt.After(wk.lookSent) {
			continue
		}
		en.decideDoubt(wk, sl, listed[sl.ref], rep.More)
	}
	en.match()
}

// decideDoubt acts on whether a run is on the lists of its worker.
func (en *Entry) decideDoubt(wk *worker, sl *slot, listed, more bool) {
	now := en.now()
	switch {
	case listed && sl.doubt == doubtLook:
		sl.doubt = doubtNone
		en.confirmSlot(wk, sl)
	case listed:
		// It was started after the first look; the stop ends it.
		sl.state, sl.why = slotStopping, EndLost
	case more || sl.doubt == doubtStop:
		// The run may have ended beyond the list, or the stop is on its way.
	case sl.doubt == doubtLook:
		// The worker refuses the start from the stop on.
		sl.doubt = doubtStop
		en.sendStop(wk, sl)
	case sl.doubt == doubtGone:
		en.loseCall(wk, "start")
		en.eff.Log("start-recalled", "job", string(sl.job), "task", string(sl.ref.Task), "run", int64(sl.ref.Run),
			"worker", string(wk.info.ID), "after-ms", now.Sub(sl.began).Milliseconds())
		en.endSlot(wk, sl, EndLost, "", 0)
	}
}

// StopReplied takes the answer to a stop order.
func (en *Entry) StopReplied(id ids.WorkerID, token Token, ref TaskRef, done bool) {
	wk := en.workers[id]
	if wk == nil || wk.token != token || !done {
		return
	}
	sl := wk.slots[ref]
	if sl == nil {
		return
	}
	if sl.state == slotStopping && sl.stopDone.IsZero() {
		sl.stopDone = en.now()
	}
	if sl.doubt == doubtStop && (sl.state == slotOrdered || sl.state == slotUnknown) {
		sl.doubt, sl.doubtAt = doubtGone, en.now()
		en.look(wk, en.now())
	}
}
