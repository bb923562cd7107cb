package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["long-schedule"] = longSchedule }

// longSchedule hands in a scheduled job with the largest number of times that is
// accepted, and kills the entry that has taken it after some of them.
func longSchedule(ctx context.Context, bd *bed) error {
	const times, interval, down = 4000, 20 * time.Millisecond, time.Second
	if err := bd.build(ctx, 4, 12); err != nil {
		return err
	}
	id := newID()
	jb := job{
		Spec: "ms=20", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstimatedMs: 20}},
		RepeatCount: times, StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: interval.Milliseconds(),
	}
	if !bd.handIn(ctx, 0, id, jb) {
		return errNotAccepted
	}
	bd.rec.add("job %s: one task, %d times, one each %s: accepted by %s", id, times, interval, bd.entries[0].name)
	sleep(ctx, 3*time.Second)
	if bd.trouble {
		bd.entries[0].kill()
		sleep(ctx, down)
		if err := bd.entries[0].start(false); err != nil {
			return err
		}
	}
	state, err := bd.awaitEnd(ctx, bd.entries[1], id)
	if err != nil {
		return err
	}
	if _, failed := bd.runs(id); state != stateCompleted && failed < bd.attempts {
		return fmt.Errorf("%w: LOST: the job is shown as %s; a task has at most %d runs that ended failed, of %d", errBroken, state, failed, bd.attempts)
	}
	return nil
}
