// Package outcome defines the three outcomes of a request and the typed error
// that carries them to a caller.
//
// A request is answered, or refused with proof that it did not run, or its
// outcome is unknown. RefusedDidNotRun is used only when it is proved that no
// back end has started the request.
//
// # Usage
//
//	return outcome.Refuse(http.StatusTooManyRequests, "queue-full",
//		"the queue of service fitdesk is full", "retry after the given time", wait)
//
// # Errors
//
// Error.Reason is a kebab-case word that also names the counter of that reason.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is the outcome of a request.
type Kind string

// The outcomes of a request.
const (
	Answered         Kind = "answered"
	RefusedDidNotRun Kind = "refused-did-not-run"
	Unknown          Kind = "outcome-unknown"
)

// Header is the HTTP header that carries the outcome.
const Header = "Oleanderwall-Outcome"

// Error is a request that was not answered.
type Error struct {
	Outcome    Kind
	Status     int
	Reason     string
	Message    string
	Remedy     string
	RetryAfter time.Duration
}

// Error returns the message, the reason and the remedy.
func (er *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s): %s", er.Message, er.Outcome, er.Reason, er.Remedy)
}

// Refuse returns an error with the outcome RefusedDidNotRun.
func Refuse(status int, reason, message, remedy string, retryAfter time.Duration) *Error {
	return &Error{
		Outcome:    RefusedDidNotRun,
		Status:     status,
		Reason:     reason,
		Message:    message,
		Remedy:     remedy,
		RetryAfter: retryAfter,
	}
}

// MayHaveRun returns an error with the outcome Unknown.
func MayHaveRun(reason, message, remedy string) *Error {
	return &Error{
		Outcome: Unknown,
		Status:  http.StatusGatewayTimeout,
		Reason:  reason,
		Message: message,
		Remedy:  remedy,
	}
}

// From returns err as an *Error. An error of another type becomes an unknown
// outcome, the only one that is always safe to report.
func From(err error) *Error {
	var oe *Error
	if errors.As(err, &oe) {
		return oe
	}
	return MayHaveRun("internal-error", err.Error(), "ask again with the same id, or check the result by hand")
}
