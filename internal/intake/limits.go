// Package intake bounds what callers can make a process hold: connections, the
// bytes of requests, and the time for reading a request and writing an answer.
//
// # Usage
//
//	gu := intake.New(limits, counters, log)
//	srv := &http.Server{Handler: routes}
//	lis = gu.Guard(srv, lis, intake.Options{Connections: gu.Limits().Connections})
//	err := srv.Serve(lis)
//
// A handler reads rq.Body as usual. Before it decodes a body it charges the
// structures with ChargeJSON.
//
// # Errors
//
// Reads of a body and ChargeJSON return a *Refusal if a limit is exceeded. It
// has the status and the reason of the answer. Such a request has not run.
package intake

import (
	"errors"
	"flag"
	"fmt"
	"time"
)

// Limits are the limits of one process. A value of 0 stands for the default.
type Limits struct {
	// MemoryBytes and Descriptors are what the machine grants the process, 0 if
	// unknown. The other defaults follow from them.
	MemoryBytes int64
	Descriptors int
	// BudgetBytes bounds the bytes that are held for requests.
	BudgetBytes int64
	// Connections bounds the connections of the listener for callers, and
	// SideConnections those of each other listener.
	Connections     int
	SideConnections int
	// HeaderFields bounds the fields of a request's header.
	HeaderFields int
	// BodyTime is the time to read a body, to which one second is added for each
	// BodyBytesPerSecond that have arrived.
	BodyTime           time.Duration
	BodyBytesPerSecond int64
	// AnswerTime bounds the writing of an answer.
	AnswerTime time.Duration
	// HeaderTime bounds the reading of a header, and IdleTime the time for which
	// a connection may be idle.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// The defaults.
const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// connectionPercent is the share of the other descriptors for callers. Calls
	// to workers, the store and other entries need the rest.
	connectionPercent  = 60
	defaultConnections = 4096
	// budgetShare and connectionShare are the parts of the memory for requests
	// and for connections: a quarter and a third.
	budgetShare     = 4
	connectionShare = 3
	// connectionBytes is what net/http holds for a connection: two buffers of
	// 4 KB, two goroutines and the request.
	connectionBytes           = 24 << 10
	defaultBudget             = 256 << 20
	defaultSideConnections    = 64
	defaultHeaderFields       = 100
	defaultBodyTime           = 3 * time.Second
	defaultBodyBytesPerSecond = 32 << 10
	defaultAnswerTime         = 5 * time.Second
	defaultHeaderTime         = 3 * time.Second
	defaultIdleTime           = 15 * time.Second
	// minBudget holds a body of the largest usual size, with its structures.
	minBudget = 1 << 20
)

// orDefault returns val, or the default if val is 0.
func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}

// WithDefaults returns the limits with the defaults in place of zeros.
func (li Limits) WithDefaults() Limits {
	budget := int64(defaultBudget)
	conns := defaultConnections
	if li.Descriptors > 0 {
		conns = max((li.Descriptors-reservedDescriptors)*connectionPercent/100, 1)
	}
	if li.MemoryBytes > 0 {
		budget = max(li.MemoryBytes/budgetShare, minBudget)
		conns = min(conns, max(int(li.MemoryBytes/connectionShare/connectionBytes), 1))
	}
	li.BudgetBytes = orDefault(li.BudgetBytes, budget)
	li.Connections = orDefault(li.Connections, conns)
	li.SideConnections = orDefault(li.SideConnections, defaultSideConnections)
	li.HeaderFields = orDefault(li.HeaderFields, defaultHeaderFields)
	li.BodyTime = orDefault(li.BodyTime, defaultBodyTime)
	li.BodyBytesPerSecond = orDefault(li.BodyBytesPerSecond, defaultBodyBytesPerSecond)
	li.AnswerTime = orDefault(li.AnswerTime, defaultAnswerTime)
	li.HeaderTime = orDefault(li.HeaderTime, defaultHeaderTime)
	li.IdleTime = orDefault(li.IdleTime, defaultIdleTime)
	return li
}

// Check returns an error for each negative limit, and for a budget that holds
// no request.
func (li Limits) Check() error {
	var errs []error
	for _, row := range []struct {
		name string
		val  int64
	}{
		{"the memory", li.MemoryBytes},
		{"the number of descriptors", int64(li.Descriptors)},
		{FlagBudget, li.BudgetBytes},
		{FlagConnections, int64(li.Connections)},
		{FlagSideConnections, int64(li.SideConnections)},
		{FlagHeaderFields, int64(li.HeaderFields)},
		{FlagBodyTime, int64(li.BodyTime)},
		{FlagBodyRate, li.BodyBytesPerSecond},
		{FlagAnswerTime, int64(li.AnswerTime)},
		{FlagHeaderTime, int64(li.HeaderTime)},
		{FlagIdleTime, int64(li.IdleTime)},
	} {
		if row.val < 0 {
			errs = append(errs, fmt.Errorf("%s is %d, want 0 for the default or a positive value", row.name, row.val))
		}
	}
	if li.BudgetBytes > 0 && li.BudgetBytes < minBudget {
		errs = append(errs, fmt.Errorf("%s is %d, want %d at least", FlagBudget, li.BudgetBytes, minBudget))
	}
	return errors.Join(errs...)
}

// The names of the limits as flags, and as keys of the settings.
const (
	FlagBudget          = "request-memory-bytes"
	FlagConnections     = "connections"
	FlagSideConnections = "side-connections"
	FlagHeaderFields    = "header-fields"
	FlagBodyTime        = "body-time"
	FlagBodyRate        = "body-bytes-per-second"
	FlagAnswerTime      = "answer-time"
	FlagHeaderTime      = "header-time"
	FlagIdleTime        = "idle-time"
)

// Flags defines a flag for each limit. They are set when the flags are parsed.
func (li *Limits) Flags(fs *flag.FlagSet) {
	fs.Int64Var(&li.BudgetBytes, FlagBudget, 0, "bytes held for requests, 0 for a quarter of the memory limit")
	fs.IntVar(&li.Connections, FlagConnections, 0, "connections of callers, 0 for 60% of the descriptors that are not reserved")
	fs.IntVar(&li.SideConnections, FlagSideConnections, 0, "connections of each of the ready and metrics addresses, 0 for 64")
	fs.IntVar(&li.HeaderFields, FlagHeaderFields, 0, "fields in the header of a request, 0 for 100")
	fs.DurationVar(&li.BodyTime, FlagBodyTime, 0, "time to read a body, before what its bytes add, 0 for 3s")
	fs.Int64Var(&li.BodyBytesPerSecond, FlagBodyRate, 0, "bytes of a body that add one second to the time to read it, 0 for 32768")
	fs.DurationVar(&li.AnswerTime, FlagAnswerTime, 0, "time to write an answer, 0 for 5s")
	fs.DurationVar(&li.HeaderTime, FlagHeaderTime, 0, "time to read the header of a request, 0 for 3s")
	fs.DurationVar(&li.IdleTime, FlagIdleTime, 0, "time for which a connection may be idle, 0 for 15s")
}
