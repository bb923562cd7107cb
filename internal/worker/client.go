// Package worker places tasks on the platform's workers: it starts them under
// leases, collects finished tasks, and reads usage reports.
//
// # Usage
//
//	wk := worker.NewClient("http://10.0.0.7:9100", client)
//	err := wk.Start(ctx, worker.Task{ID: "job-1/0", LeaseMillis: 10000})
//	page, err := wk.Finished(ctx, owner, cursor, time.Second)
//
// # Errors
//
// Client.Start returns ErrRefused when the worker provably did not start the
// task. After any other error the task may have started.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
)

// ErrRefused is returned when a worker has provably not started a task.
var ErrRefused = errors.New("the worker refused the task and did not start it; place it on another worker")

// TaskID names one task: the job id, a slash and the index of the task.
type TaskID string

// State is the state of a task on a worker.
type State string

// The states of a task.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
)

// Task is a task to start, with its declared sizes.
type Task struct {
	ID           TaskID          `json:"task-id"`
	Kind         ids.RequestKind `json:"kind,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Processors   ids.Cores       `json:"processors,omitempty"`
	Memory       ids.Megabytes   `json:"memory-mb,omitempty"`
	Accelerators int             `json:"accelerators,omitempty"`
	RunMillis    int64           `json:"run-millis,omitempty"`
	LeaseMillis  int64           `json:"lease-millis"`
	// Owner is the incarnation to which the worker reports the end of the task.
	Owner ids.Incarnation `json:"owner,omitempty"`
}

// Report is the state of a task as its worker reports it.
type Report struct {
	ID        TaskID          `json:"task-id"`
	State     State           `json:"state"`
	Result    json.RawMessage `json:"result,omitempty"`
	Error     string          `json:"error,omitempty"`
	RanMillis int64           `json:"ran-millis,omitempty"`
}

// Cursor is a position in a worker's list of finished tasks.
type Cursor int64

// FinishedPage holds finished tasks in the order in which they finished.
type FinishedPage struct {
	Next  Cursor   `json:"next"`
	Tasks []Report `json:"tasks"`
}

// Renewal extends the leases of tasks.
type Renewal struct {
	TaskIDs     []TaskID `json:"task-ids"`
	LeaseMillis int64    `json:"lease-millis"`
}

// Usage is a usage report. It was sampled AgeMillis before the worker sent it.
type Usage struct {
	AgeMillis    int64         `json:"age-millis"`
	Processors   ids.Cores     `json:"processors"`
	Memory       ids.Megabytes `json:"memory-mb"`
	Accelerators int           `json:"accelerators"`
	Tasks        []TaskUsage   `json:"tasks,omitempty"`
}

// TaskUsage is the measured use of one running task.
type TaskUsage struct {
	ID           TaskID          `json:"task-id"`
	Kind         ids.RequestKind `json:"kind,omitempty"`
	Processors   ids.Cores       `json:"processors"`
	Memory       ids.Megabytes   `json:"memory-mb"`
	Accelerators int             `json:"accelerators"`
}

// Client sends requests to one worker.
type Client struct {
	base string
	hc   *http.Client
}

// NewClient returns a client of the worker at the base URL.
func NewClient(base string, hc *http.Client) *Client {
	return &Client{base: base, hc: hc}
}

// Start starts a task.
func (cl *Client) Start(ctx context.Context, task Task) error {
	_, err := jsonhttp.Call[Task, Report](ctx, cl.hc, http.MethodPost, cl.base+"/tasks", task)
	if jsonhttp.StatusOf(err) == http.StatusConflict {
		return fmt.Errorf("task %s: %w", task.ID, ErrRefused)
	}
	if err != nil {
		return fmt.Errorf("start task %s: %w", task.ID, err)
	}
	return nil
}

// Get reads the state of a task. It reports false when the worker has no record
// of the task.
func (cl *Client) Get(ctx context.Context, id TaskID) (Report, bool, error) {
	rep, err := jsonhttp.Call[jsonhttp.None, Report](ctx, cl.hc, http.MethodGet, cl.taskURL(id, ""), jsonhttp.None{})
	if jsonhttp.StatusOf(err) == http.StatusNotFound {
		return Report{}, false, nil
	}
	return rep, err == nil, err
}

// Finished returns the tasks of the owner that have finished after the cursor,
// which is a position in the list of that owner. If there are none, it waits at
// most wait for the first one.
func (cl *Client) Finished(ctx context.Context, owner ids.Incarnation, after Cursor, wait time.Duration) (FinishedPage, error) {
	query := url.Values{
		"owner":       {string(owner)},
		"after":       {strconv.FormatInt(int64(after), 10)},
		"wait-millis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return jsonhttp.Call[jsonhttp.None, FinishedPage](ctx, cl.hc, http.MethodGet, cl.base+"/finished?"+query.Encode(), jsonhttp.None{})
}

// Renew extends the leases of tasks.
func (cl *Client) Renew(ctx context.Context, ren Renewal) error {
	_, err := jsonhttp.Call[Renewal, jsonhttp.None](ctx, cl.hc, http.MethodPost, cl.base+"/leases", ren)
	return err
}

// Stop stops a task.
func (cl *Client) Stop(ctx context.Context, id TaskID) error {
	_, err := jsonhttp.Call[jsonhttp.None, jsonhttp.None](ctx, cl.hc, http.MethodDelete, cl.taskURL(id, ""), jsonhttp.None{})
	return err
}

// Throttle slows a task down to the given share of its speed.
func (cl *Client) Throttle(ctx context.Context, id TaskID, share float64) error {
	req := ThrottleRequest{Share: share}
	_, err := jsonhttp.Call[ThrottleRequest, jsonhttp.None](ctx, cl.hc, http.MethodPost, cl.taskURL(id, "/throttle"), req)
	return err
}

// ThrottleRequest sets the share of its speed that a task keeps.
type ThrottleRequest struct {
	Share float64 `json:"share"`
}

// Checkpoint requests a checkpoint of a task.
func (cl *Client) Checkpoint(ctx context.Context, id TaskID) error {
	_, err := jsonhttp.Call[jsonhttp.None, jsonhttp.None](ctx, cl.hc, http.MethodPost, cl.taskURL(id, "/checkpoint"), jsonhttp.None{})
	return err
}

// Usage reads the latest usage report.
func (cl *Client) Usage(ctx context.Context) (Usage, error) {
	return jsonhttp.Call[jsonhttp.None, Usage](ctx, cl.hc, http.MethodGet, cl.base+"/usage", jsonhttp.None{})
}

func (cl *Client) taskURL(id TaskID, suffix string) string {
	return cl.base + "/tasks/" + url.PathEscape(string(id)) + suffix
}
