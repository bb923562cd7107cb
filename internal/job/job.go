// Package job admits jobs, starts their tasks on workers, and decides their
// answers.
//
// # Usage
//
//	mg := job.New(job.Options{...})
//	mg.Start()
//	defer mg.Close()
//	status, err := mg.Submit(ctx, job.Submission{ID: "job-1", Tasks: tasks})
//	status, err = mg.Wait(ctx, "job-1", 10*time.Second)
//	status, err = mg.Cancel(ctx, "job-1")
//
// # Records
//
// The steps of a job (admission, start intents, decision, deletion) are records
// that are written in group commits. The row job/<job-id> holds the owner and the
// answer and changes only conditionally; rows log/<incarnation>/<seq> hold the
// bodies and the intents; the row fence/<incarnation> prevents every further
// commit of an incarnation. docs/jobs.md gives the reasons.
//
// # Errors
//
// All methods return *outcome.Error. RefusedDidNotRun means that no task of the
// submission has started.
package job

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/table"
)

// Submission is a job as a caller submits it.
type Submission struct {
	ID    ids.JobID  `json:"id,omitempty"`
	Team  ids.TeamID `json:"team,omitempty"`
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec is one task with its declared sizes.
type TaskSpec struct {
	Kind         ids.RequestKind `json:"kind,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Processors   ids.Cores       `json:"processors,omitempty"`
	Memory       ids.Megabytes   `json:"memory-mb,omitempty"`
	Accelerators int             `json:"accelerators,omitempty"`
	RunMillis    int64           `json:"run-millis,omitempty"`
}

// State is the state of a job.
type State string

// The states of a job. Complete and failed are final.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// TaskFailure names a failed task and why it failed.
type TaskFailure struct {
	Task   int    `json:"task"`
	Reason string `json:"reason"`
}

// Status is the state of a job, with its answer if the state is final.
type Status struct {
	ID       ids.JobID         `json:"id"`
	State    State             `json:"state"`
	Reason   string            `json:"reason,omitempty"`
	Results  []json.RawMessage `json:"results,omitempty"`
	Failures []TaskFailure     `json:"failures,omitempty"`
}

// Final reports whether the state can no longer change.
func (st Status) Final() bool {
	return st.State == StateComplete || st.State == StateFailed
}

// ReasonCancelled is the reason of a job that failed because it was cancelled.
const ReasonCancelled = "cancelled"

// Limits of a submission. maxIDLength has room for an issued id of an entry with
// a long name.
const (
	maxIDLength = 256
	// maxBodyBytes leaves room for other records in a transaction.
	maxBodyBytes = table.MaxBytes / 2
)

func refuseInput(reason, message, remedy string) error {
	return outcome.Refuse(http.StatusBadRequest, reason, message, remedy, 0)
}

func checkSubmission(sub Submission, maxTasks int) error {
	if len(sub.ID) > maxIDLength {
		return refuseInput("invalid-id", fmt.Sprintf("the id is longer than %d bytes", maxIDLength), "shorten the id")
	}
	if len(sub.Tasks) == 0 {
		return refuseInput("no-tasks", "the job has no tasks", "add at least one task")
	}
	if len(sub.Tasks) > maxTasks {
		return refuseInput("too-many-tasks", fmt.Sprintf("the job has %d tasks; the limit is %d", len(sub.Tasks), maxTasks), "split the job")
	}
	for i, ts := range sub.Tasks {
		if ts.Processors < 0 || ts.Memory < 0 || ts.Accelerators < 0 || ts.RunMillis < 0 {
			return refuseInput("invalid-task", fmt.Sprintf("task %d declares a negative size", i), "correct the task")
		}
	}
	return nil
}
