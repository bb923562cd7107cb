package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["two-crashes"] = twoCrashes }

// twoCrashes crashes the runner of a sound task twice.
func twoCrashes(ctx context.Context, bd *bed) error {
	if err := bd.build(ctx, 3, 12); err != nil {
		return err
	}
	id := newID()
	an := bd.entries[0].call(ctx, http.MethodPost, id, job{
		Spec: "ms=8000", Steps: []step{{Count: 1, CPU: 8000, MemMB: 64, EstimatedMs: 8000}},
	}, 5*time.Second)
	bd.rec.add("job %s handed in: %d", id, an.status)
	if an.status != http.StatusOK {
		return errNotAccepted
	}
	crashed := 0
	for ctx.Err() == nil {
		sleep(ctx, 500*time.Millisecond)
		if ru, since := bd.runnerOf(id); bd.trouble && crashed < 2 && ru != nil && since > 3*time.Second {
			crashed++
			ru.crash()
			bd.grp.Go(func(ctx context.Context) {
				sleep(ctx, 4500*time.Millisecond)
				if err := ru.start(); err != nil {
					bd.rec.add("runner: %v", err)
				}
			})
		}
		an := bd.entries[1].call(ctx, http.MethodGet, id, nil, 3*time.Second)
		done, failed := bd.countEnds(id)
		bd.rec.add("state of the job: %d %q; runs that ended done: %d, failed: %d", an.status, an.state, done, failed)
		switch an.state {
		case "completed":
			return nil
		case "failed", "cancelled":
			return fmt.Errorf("%w: LOST: the job is shown as %s, and %d of its runs have ended failed", errBroken, an.state, failed)
		}
	}
	return errors.New("the job has not ended in time")
}

// runnerOf returns the runner that runs a task of a job, and for how long.
func (bd *bed) runnerOf(id string) (*runner, time.Duration) {
	var last event
	for _, ev := range bd.hist.all() {
		if strings.HasPrefix(ev.task, id) {
			last = ev
		}
	}
	if last.what != "start" {
		return nil, 0
	}
	for _, ru := range bd.runners {
		if ru.id == last.runner {
			return ru, time.Since(last.at)
		}
	}
	return nil, 0
}
