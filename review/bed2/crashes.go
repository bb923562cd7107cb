package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["two-crashes"] = twoCrashes }

// twoCrashes crashes the runner of the only task of a job for good, and later the one
// on which the task was started again.
func twoCrashes(ctx context.Context, bd *bed) error {
	const crashes = 2
	if err := bd.build(ctx, 4, 24); err != nil {
		return err
	}
	id := newID()
	if !bd.handIn(ctx, 0, id, job{Spec: "ms=8000", Steps: []step{{Count: 1, CPU: 8000, MemMB: 64, EstimatedMs: 8000}}}) {
		return errNotAccepted
	}
	bd.rec.add("job %s: one task of 8 s: accepted by %s", id, bd.entries[0].name)
	for range crashes {
		if !bd.trouble {
			break
		}
		ru := bd.awaitRun(ctx, id)
		if ru == nil {
			break
		}
		sleep(ctx, 3*time.Second)
		ru.crash()
	}
	state, err := bd.awaitEnd(ctx, bd.entries[1], id)
	if err != nil {
		return err
	}
	bd.addRuns(id)
	if _, failed := bd.runs(id); state != stateCompleted && failed < bd.attempts {
		return fmt.Errorf("%w: LOST: the job is shown as %s; a task has at most %d runs that ended failed, of %d", errBroken, state, failed, bd.attempts)
	}
	return nil
}

// awaitRun waits until the task of a job runs, and returns the runner.
func (bd *bed) awaitRun(ctx context.Context, id string) *runner {
	for ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
		list, _ := bd.runs(id)
		if len(list) == 0 || list[len(list)-1].what != runStarted {
			continue
		}
		for _, ru := range bd.runners {
			if ru.id == list[len(list)-1].runner {
				return ru
			}
		}
	}
	return nil
}
