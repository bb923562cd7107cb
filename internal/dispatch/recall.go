package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A start order without a reply may never have arrived, may have been executed,
// or may be executed seconds later. The holder first sends the same order again:
// a worker that already has the run confirms it, and a run that has ended there
// does not start again. If there is still no reply, the holder recalls the start.
// It polls the runs of the worker. If the run is not among them, the holder sends
// a stop, after which the worker refuses the start, and polls once more. Then the
// task can start elsewhere long before the order itself expires.

// recallStep is a step of the recall of a start without a reply.
type recallStep int

const (
	recallNone   recallStep = iota
	recallPoll              // the worker is polled for its runs
	recallStop              // a stop is sent, after which the worker refuses the start
	recallVerify            // the stop is confirmed; the worker is polled again
)

const (
	// resendAfter is the time without a reply to a start after which the order is
	// sent again, or recalled. Workers answer within one to five milliseconds.
	resendAfter = 60 * time.Millisecond
	// maxStarts is how often a start order is sent before it is recalled.
	maxStarts = 5
	// lossyRetry is the interval at which calls without a reply are repeated while
	// single calls get lost, and at which a start is repeated from the second time
	// on.
	lossyRetry = 20 * time.Millisecond
	// pollPause is the minimum interval between two polls of a worker.
	pollPause = 20 * time.Millisecond
	// pollTimeout is the time after which a poll without a reply is sent again.
	pollTimeout = 150 * time.Millisecond
)

// retryInterval returns the interval at which a call without a reply is
// repeated: usual, or lossyRetry while single calls get lost.
func (en *Entry) retryInterval(now time.Time, usual time.Duration) time.Duration {
	if now.Before(en.lossyUntil) {
		return lossyRetry
	}
	return usual
}

// tickRecall sends a start without a reply again, or begins or continues its
// recall.
func (en *Entry) tickRecall(wk *worker, sl *slot, now time.Time) {
	switch sl.recall {
	case recallNone:
		pause := en.retryInterval(now, resendAfter)
		if sl.starts > 1 {
			pause = lossyRetry
		}
		if now.Sub(sl.startSent) < pause {
			return
		}
		if sl.starts < maxStarts && wk.clockNow(now) < sl.startExpires && !wk.evac.bars(wk.info.Zone) {
			en.eff.Count("retry", "start-resent", 1)
			en.sendStartOrder(wk, sl, now)
			return
		}
		sl.recall, sl.recallAt = recallPoll, now
		en.poll(wk, now)
	case recallPoll, recallVerify:
		en.poll(wk, now)
	case recallStop:
		if now.Sub(sl.stopSent) > en.retryInterval(now, stopRetryAfter) {
			en.sendStop(wk, sl)
		}
	}
}

// pollDueRun polls for the end of a run that should have ended, while the reply
// that reports it may get lost.
func (en *Entry) pollDueRun(wk *worker, sl *slot, now time.Time) {
	if !now.Before(en.lossyUntil) || sl.shape.Lasting || now.Sub(wk.listsAt) < duePollPause {
		return
	}
	expected := time.Duration(float64(sl.shape.Estimate) / wk.runFactor(sl))
	if now.Sub(sl.began) > expected {
		en.poll(wk, now)
	}
}

// duePollPause is the time since the last list of a worker after which it is
// polled for ends that are due.
const duePollPause = 40 * time.Millisecond

// poll polls a worker for its runs and ends while a hold is in flight.
func (en *Entry) poll(wk *worker, now time.Time) {
	pause := pollPause
	if len(wk.polls) > 0 {
		pause = en.retryInterval(now, pollTimeout)
	}
	if now.Sub(wk.pollSent) < pause {
		return
	}
	wk.lastPoll++
	wk.polls[wk.lastPoll], wk.pollSent = now, now
	wk.callSent(now)
	en.eff.Hold(HoldOrder{
		Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, PollID: wk.lastPoll, Margin: pollTimeout,
	})
}

// PollReplied handles the reply to a hold with a PollID.
func (en *Entry) PollReplied(id ids.WorkerID, token Token, pollID int64, rep HoldReply) {
	wk := en.workers[id]
	if wk == nil || wk.token != token || wk.polls[pollID].IsZero() {
		return
	}
	sent := wk.polls[pollID]
	delete(wk.polls, pollID)
	if !rep.Failed {
		wk.listsReceived(en.now())
	}
	if rep.Failed || rep.Other || rep.Fenced || (wk.born != 0 && rep.Born != 0 && rep.Born != wk.born) {
		// The reply to the hold in flight decides these cases.
		return
	}
	en.processEnds(wk, rep)
	listed := rep.listed()
	for _, sl := range wk.sortedSlots() {
		if (sl.state != slotOrdered && sl.state != slotUnknown) || sl.recall == recallNone || sl.recallAt.After(sent) {
			continue
		}
		en.continueRecall(wk, sl, listed[sl.ref], rep.More)
	}
	en.match()
}

// continueRecall continues the recall of a start, depending on whether the worker
// lists the run.
func (en *Entry) continueRecall(wk *worker, sl *slot, listed, more bool) {
	now := en.now()
	switch {
	case listed && sl.recall == recallPoll:
		sl.recall = recallNone
		en.confirmSlot(wk, sl)
	case listed:
		// The run was started after the first poll; the stop ends it.
		sl.state, sl.stopReason = slotStopping, EndLost
	case more || sl.recall == recallStop:
		// The end of the run may not be in this reply, or the stop is in flight.
	case sl.recall == recallPoll:
		// The worker refuses the start once it has received the stop.
		sl.recall = recallStop
		en.sendStop(wk, sl)
	case sl.recall == recallVerify:
		en.recordLostCall(wk, "start")
		en.eff.Log("start-recalled", "job", string(sl.job), "task", string(sl.ref.Task), "run", int64(sl.ref.Run),
			"worker", string(wk.info.ID), "after-ms", now.Sub(sl.began).Milliseconds())
		en.endSlot(wk, sl, EndLost, "", 0)
	}
}

// StopReplied handles the reply to a stop order.
func (en *Entry) StopReplied(id ids.WorkerID, token Token, ref TaskRef, done bool) {
	wk := en.workers[id]
	if wk == nil || wk.token != token || !done {
		return
	}
	wk.callAnswered(en.now())
	sl := wk.slots[ref]
	if sl == nil {
		return
	}
	if sl.state == slotStopping && sl.stopConfirmedAt.IsZero() {
		sl.stopConfirmedAt = en.now()
	}
	if sl.recall == recallStop && (sl.state == slotOrdered || sl.state == slotUnknown) {
		sl.recall, sl.recallAt = recallVerify, en.now()
		en.poll(wk, en.now())
	}
}
