package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["long-schedule"] = longSchedule
}

// step is a step of a job on the wire.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	MemMB         int64 `json:"memMb"`
	EstimatedMs   int64 `json:"estimatedMs,omitempty"`
	After         []int `json:"after,omitempty"`
	LongRunning   bool  `json:"longRunning,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	AntiAff       int   `json:"antiAffinity,omitempty"`
}

// job is a job on the wire.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// errNotAccepted reports that a job was not accepted, so that the case can't run.
var errNotAccepted = errors.New("the job was not accepted")

// longSchedule hands in a timed job of the largest number of occurrences that is
// accepted, and kills the entry that took it after two seconds.
func longSchedule(ctx context.Context, bd *bed) error {
	if err := bd.build(ctx, 4, 12); err != nil {
		return err
	}
	const times = 4000
	id := newID()
	an := bd.entries[0].call(ctx, http.MethodPost, id, job{
		Spec: "ms=20", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstimatedMs: 20}},
		RepeatCount: times, StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: 20,
	}, 5*time.Second)
	bd.rec.add("job %s with %d times handed in: %d", id, times, an.status)
	if an.status != http.StatusOK {
		return errNotAccepted
	}
	sleep(ctx, 3*time.Second)
	if bd.trouble {
		bd.entries[0].kill()
		sleep(ctx, 3500*time.Millisecond)
		if err := bd.entries[0].start(false); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		an := bd.entries[1].call(ctx, http.MethodGet, id, nil, 3*time.Second)
		done, failed := bd.countEnds(id)
		bd.rec.add("state of the job: %d %q; runs that ended done: %d, failed: %d", an.status, an.state, done, failed)
		switch an.state {
		case "completed":
			return nil
		case "failed", "cancelled":
			return fmt.Errorf("%w: LOST: the job is shown as %s, and %d of its runs have ended failed", errBroken, an.state, failed)
		}
		sleep(ctx, time.Second)
	}
	return errors.New("the job has not ended in time")
}

// countEnds counts the runs of a job that have ended done, and those that have
// failed.
func (bd *bed) countEnds(id string) (done, failed int) {
	for _, ev := range bd.hist.all() {
		if len(ev.task) < len(id) || ev.task[:len(id)] != id {
			continue
		}
		switch ev.what {
		case "done":
			done++
		case "failed":
			failed++
		}
	}
	return done, failed
}

var _ = syscall.SIGTERM
