// Package configuration implements the versioned configuration that all entries
// share: its data model, its validation, patches against a numbered version, its
// store, and the follower that puts newer versions in force.
//
// # Usage
//
//	doc, err := configuration.Decode(raw)
//	next, err := configuration.Apply(doc, patch) // RFC 7386 merge patch
//
// # Errors
//
// A document is validated as a whole. *InvalidError lists every fault with its
// key and the accepted values.
package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Document is the configuration that all entries share.
type Document struct {
	Services map[ids.ServiceName]Service `json:"services,omitempty"`
	Teams    map[ids.TeamID]Team         `json:"teams,omitempty"`
	Limits   Limits                      `json:"limits"`
}

// Service is a pool of rented targets with its capacity.
type Service struct {
	Slots                 int     `json:"slots"`
	Connections           int     `json:"connections"`
	DefaultDeadlineMillis int64   `json:"default-deadline-millis,omitempty"`
	MaxAnswerBytes        int64   `json:"max-answer-bytes,omitempty"`
	RetryBudget           float64 `json:"retry-budget,omitempty"`
}

// Team is a customer with its share of the capacity. Other teams may use the
// unused part of a share.
type Team struct {
	Weight       int           `json:"weight,omitempty"`
	Processors   ids.Cores     `json:"processors,omitempty"`
	Memory       ids.Megabytes `json:"memory-mb,omitempty"`
	Accelerators int           `json:"accelerators,omitempty"`
}

// Limits are the limits on the size and number of submissions.
type Limits struct {
	MaxTasksPerJob  int   `json:"max-tasks-per-job,omitempty"`
	MaxRequestBytes int64 `json:"max-request-bytes,omitempty"`
	MaxQueuedJobs   int   `json:"max-queued-jobs,omitempty"`
}

// The defaults of keys that a document omits.
const (
	DefaultDeadline       = 10 * time.Second
	DefaultMaxAnswerBytes = 16 << 20
	DefaultRetryBudget    = 0.1
)

// Default returns the built-in document, version 0.
func Default() Document {
	return Document{Limits: Limits{MaxTasksPerJob: 540, MaxRequestBytes: 4 << 20, MaxQueuedJobs: 20000}}
}

// Deadline returns the default deadline of requests that specify none, as a
// duration.
func (se Service) Deadline() time.Duration {
	if se.DefaultDeadlineMillis == 0 {
		return DefaultDeadline
	}
	return time.Duration(se.DefaultDeadlineMillis) * time.Millisecond
}

// AnswerLimit returns the maximum size of an answer in bytes.
func (se Service) AnswerLimit() int64 {
	if se.MaxAnswerBytes == 0 {
		return DefaultMaxAnswerBytes
	}
	return se.MaxAnswerBytes
}

// Fault is one fault of a document.
type Fault struct {
	Key     string `json:"key"`
	Message string `json:"message"`
}

// InvalidError lists the faults of a document.
type InvalidError struct {
	Faults []Fault
}

// Error lists every fault with its key.
func (er *InvalidError) Error() string {
	parts := make([]string, 0, len(er.Faults))
	for _, ft := range er.Faults {
		parts = append(parts, ft.Key+": "+ft.Message)
	}
	return "the configuration is not valid: " + strings.Join(parts, "; ")
}

// Decode decodes a document strictly, without unknown keys, and validates it as
// a whole.
func Decode(raw []byte) (Document, error) {
	doc := Document{}
	tree, err := decodeTree(raw)
	if err != nil {
		return doc, &InvalidError{Faults: []Fault{{Key: "document", Message: "not valid JSON: " + err.Error()}}}
	}
	faults := typeFaults("", tree, reflect.TypeFor[Document]())
	// typeFaults has already reported values of a wrong type; the others are
	// still decoded.
	var te *json.UnmarshalTypeError
	if err := json.Unmarshal(raw, &doc); err != nil && !errors.As(err, &te) {
		return doc, &InvalidError{Faults: []Fault{{Key: "document", Message: err.Error()}}}
	}
	known := map[string]bool{}
	for _, ft := range faults {
		known[ft.Key] = true
	}
	for _, ft := range doc.Check() {
		if !known[ft.Key] {
			faults = append(faults, ft)
		}
	}
	if len(faults) > 0 {
		sort.Slice(faults, func(i, j int) bool { return faults[i].Key < faults[j].Key })
		return doc, &InvalidError{Faults: faults}
	}
	return doc, nil
}

type bound struct {
	key       string
	val       float64
	low, high float64
}

// Check returns all values that are out of bounds, sorted by key.
func (doc Document) Check() []Fault {
	bounds := []bound{
		{"limits.max-tasks-per-job", float64(doc.Limits.MaxTasksPerJob), 1, 10000},
		{"limits.max-request-bytes", float64(doc.Limits.MaxRequestBytes), 1, 16 << 20},
		{"limits.max-queued-jobs", float64(doc.Limits.MaxQueuedJobs), 1, 1e6},
	}
	for name, se := range doc.Services {
		prefix := "services." + string(name) + "."
		bounds = append(bounds,
			bound{prefix + "slots", float64(se.Slots), 1, 1024},
			bound{prefix + "connections", float64(se.Connections), 1, 65535},
			bound{prefix + "default-deadline-millis", float64(se.DefaultDeadlineMillis), 0, 600000},
			bound{prefix + "max-answer-bytes", float64(se.MaxAnswerBytes), 0, 1 << 30},
			bound{prefix + "retry-budget", se.RetryBudget, 0, 1},
		)
	}
	for name, te := range doc.Teams {
		prefix := "teams." + string(name) + "."
		bounds = append(bounds,
			bound{prefix + "weight", float64(te.Weight), 0, 1000},
			bound{prefix + "processors", float64(te.Processors), 0, 1e6},
			bound{prefix + "memory-mb", float64(te.Memory), 0, 1e9},
			bound{prefix + "accelerators", float64(te.Accelerators), 0, 1e5},
		)
	}
	var faults []Fault
	for _, bo := range bounds {
		if bo.val < bo.low || bo.val > bo.high {
			msg := fmt.Sprintf("%v is outside %v to %v", bo.val, bo.low, bo.high)
			faults = append(faults, Fault{Key: bo.key, Message: msg})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Key < faults[j].Key })
	return faults
}
