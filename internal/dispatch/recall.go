package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// A start order without a reply may never have arrived, may have been executed,
// or may be executed seconds later. The holder polls the runs of the worker. If
// the run is not among them, the holder sends a stop, after which the worker
// refuses the start, and polls once more. Then the task can start elsewhere long
// before the order itself expires.

// recallStep is a step of the recall of a start without a reply.
type recallStep int

const (
	recallNone   recallStep = iota
	recallPoll              // the worker is polled for its runs
	recallStop              // a stop is sent, after which the worker refuses the start
	recallVerify            // the stop is confirmed; the worker is polled again
)

const (
	// recallAfter is the time without a reply to a start after which the recall
	// begins. Workers answer within one to five milliseconds.
	recallAfter = 60 * time.Millisecond
	// lossyRecallAfter is the same while single calls get lost.
	lossyRecallAfter = 20 * time.Millisecond
	// pollPause is the minimum interval between two polls of a worker.
	pollPause = 20 * time.Millisecond
	// pollTimeout is the time after which a poll without a reply is sent again.
	pollTimeout = 150 * time.Millisecond
)

// tickRecall begins or continues the recall of a start without a reply.
func (en *Entry) tickRecall(wk *worker, sl *slot, now time.Time) {
	switch sl.recall {
	case recallNone:
		limit := recallAfter
		if now.Before(en.lossyUntil) {
			limit = lossyRecallAfter
		}
		if now.Sub(sl.began) < limit {
			return
		}
		sl.recall, sl.recallAt = recallPoll, now
		en.poll(wk, now)
	case recallPoll, recallVerify:
		en.poll(wk, now)
	case recallStop:
		if now.Sub(sl.stopSent) > stopRetryAfter {
			en.sendStop(wk, sl)
		}
	}
}

// pollDueRun polls for the end of a run that should have ended, while the reply
// that reports it may get lost.
func (en *Entry) pollDueRun(wk *worker, sl *slot, now time.Time) {
	if !now.Before(en.lossyUntil) || sl.shape.Lasting || now.Sub(wk.answeredAt) < duePollPause {
		return
	}
	expected := time.Duration(float64(sl.shape.Estimate) / wk.speed.factor(now))
	if now.Sub(sl.began) > expected {
		en.poll(wk, now)
	}
}

// duePollPause is the time since the last reply of a worker after which it is
// polled for ends that are due.
const duePollPause = 40 * time.Millisecond

// poll polls a worker for its runs and ends while a hold is in flight.
func (en *Entry) poll(wk *worker, now time.Time) {
	pause := pollPause
	if wk.polling {
		pause = pollTimeout
	}
	if now.Sub(wk.pollSent) < pause {
		return
	}
	wk.polling, wk.pollSent = true, now
	en.eff.Hold(HoldOrder{
		Worker: wk.info.ID, Address: wk.info.Address, Token: wk.token, Acked: wk.ackThrough(), PollID: wk.pollSent.UnixNano(), Margin: pollTimeout,
	})
}

// PollReplied handles the reply to a hold with a PollID.
func (en *Entry) PollReplied(id ids.WorkerID, token Token, pollID int64, rep HoldReply) {
	wk := en.workers[id]
	if wk == nil || wk.token != token || wk.pollSent.UnixNano() != pollID {
		return
	}
	wk.polling = false
	if !rep.Failed {
		wk.answeredAt = en.now()
	}
	if rep.Failed || rep.Other || rep.Fenced || (wk.born != 0 && rep.Born != 0 && rep.Born != wk.born) {
		// The reply to the hold in flight decides these cases.
		return
	}
	en.processEnds(wk, rep)
	listed := rep.listed()
	for _, sl := range wk.sortedSlots() {
		if (sl.state != slotOrdered && sl.state != slotUnknown) || sl.recall == recallNone || sl.recallAt.After(wk.pollSent) {
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
