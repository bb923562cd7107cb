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

// noFreeSlot refuses a request of another entry, which waits in the queue of
// that entry and not behind the requests of this one.
func noFreeSlot(name ids.ServiceName) *outcome.Error {
	return outcome.Refuse(http.StatusServiceUnavailable, "no-free-slot",
		fmt.Sprintf("this entry has no free slot on the targets of service %q", name), remedyRetry, minReturn)
}

// failure is an attempt that gave no whole answer.
type failure struct {
	reason string
	// notRun is set only when it is proved that the target did not start the
	// request.
	notRun bool
	// reconnect is set when the connection is to blame and a new one to the
	// same target may work.
	reconnect bool
	result    result
	// final is set when sending the request again cannot help.
	final bool
	err   error
}

// outcome returns what the caller is told. earlier is set when an attempt
// before this one may have run.
func (fa *failure) outcome(earlier bool, retryAfter time.Duration) *outcome.Error {
	if fa.notRun && !earlier {
		return outcome.Refuse(http.StatusServiceUnavailable, fa.reason,
			"no target took the request: "+fa.err.Error(), remedyRetry, retryAfter)
	}
	remedy := remedyUnknown
	if fa.reason == reasonOversized {
		remedy = "ask for a smaller answer, or raise max-answer-bytes of the service; the request has run"
	}
	return outcome.MayHaveRun(fa.reason, "the target gave no whole answer: "+fa.err.Error(), remedy)
}

// The reasons of failed attempts. They name the counters of retries, and the
// counters of refusals when there is no further attempt.
const (
	reasonUnreachable = "target-unreachable"
	reasonLeaving     = "target-leaving"
	reasonConnLimit   = "connection-limit"
	reasonSilent      = "connection-silent"
	reasonClosed      = "connection-closed"
	reasonTruncated   = "answer-truncated"
	reasonOversized   = "answer-too-large"
	reasonCrossed     = "answer-crossed"
	reasonSlotEnded   = "slot-ended"
	reasonFailed      = "target-failed"
	reasonDeadline    = "deadline-passed-in-flight"
	reasonCallerGone  = "caller-gone-in-flight"
)
