package target

import (
	"fmt"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

const (
	remedyRetry   = "send the request again after the given time"
	remedyUnknown = "check whether the request took effect before sending it again"
)

func unknownService(name ids.ServiceName) *outcome.Error {
	return outcome.Refuse(http.StatusNotFound, "unknown-service",
		fmt.Sprintf("service %q does not exist", name), "create the service or correct the name", 0)
}

func noTarget(name ids.ServiceName, retryAfter time.Duration) *outcome.Error {
	return outcome.Refuse(http.StatusServiceUnavailable, "no-target",
		fmt.Sprintf("service %q has no live target", name), remedyRetry, retryAfter)
}

func noSlots(name ids.ServiceName, retryAfter time.Duration) *outcome.Error {
	return outcome.Refuse(http.StatusServiceUnavailable, "no-slots",
		fmt.Sprintf("this entry has no slots on the targets of service %q", name), remedyRetry, retryAfter)
}

// noFreeSlot returns the refusal of a forwarded request. The request is queued
// in the entry that forwarded it and not behind the requests of this entry.
func noFreeSlot(name ids.ServiceName) *outcome.Error {
	return outcome.Refuse(http.StatusServiceUnavailable, "no-free-slot",
		fmt.Sprintf("this entry has no free slot on the targets of service %q", name), remedyRetry, minRetryAfter)
}

// failure describes an attempt that returned no complete answer.
type failure struct {
	reason string
	// notRun is set only when it is certain that the target did not start the
	// request.
	notRun bool
	// reconnect is set when the connection failed and a new one to the same
	// target may work.
	reconnect bool
	result    result
	// final is set when a retry cannot help.
	final bool
	err   error
}

// outcome returns the error for the caller. mayHaveRun is set when this attempt
// or an earlier one may have run.
func (fa *failure) outcome(mayHaveRun bool, retryAfter time.Duration) *outcome.Error {
	if fa.notRun && !mayHaveRun {
		return outcome.Refuse(http.StatusServiceUnavailable, fa.reason,
			"no target took the request: "+fa.err.Error(), remedyRetry, retryAfter)
	}
	remedy := remedyUnknown
	if fa.reason == reasonTooLarge {
		remedy = "ask for a smaller answer, or raise max-answer-bytes of the service; the request has run"
	}
	return outcome.MayHaveRun(fa.reason, "the target gave no whole answer: "+fa.err.Error(), remedy)
}

// The reasons of failed attempts. They are the names of the retry counters, and
// of the refusal counters if there is no further attempt.
const (
	reasonUnreachable = "target-unreachable"
	reasonLeaving     = "target-leaving"
	reasonConnLimit   = "connection-limit"
	reasonSilent      = "connection-silent"
	reasonClosed      = "connection-closed"
	reasonTruncated   = "answer-truncated"
	reasonTooLarge    = "answer-too-large"
	reasonCrossed     = "answer-crossed"
	reasonSlotEnded   = "slot-ended"
	reasonFailed      = "target-failed"
	reasonDeadline    = "deadline-passed-in-flight"
	reasonCallerGone  = "caller-gone-in-flight"
)
