package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["stops-as-failures"] = stopsAsFailures }

// stopsAsFailures hands many jobs in at one entry, kills it, and starts it again three
// seconds later. Some runs fail by the tasks' own fault.
func stopsAsFailures(ctx context.Context, bd *bed) error {
	const jobs, pause, down, settle = 1800, 6 * time.Millisecond, 3 * time.Second, 25 * time.Second
	bd.attempts = 2
	if err := bd.build(ctx, 6, 24); err != nil {
		return err
	}
	list := make([]string, jobs)
	accepted := make([]bool, jobs)
	posts := callers{bd: bd}
	for num := range list {
		list[num] = newID()
		ms := 200 + rand.IntN(12000)
		posts.do(func(ctx context.Context) {
			accepted[num] = bd.handIn(ctx, 0, list[num], job{
				Spec:  fmt.Sprintf("ms=%d fails=20", ms),
				Steps: []step{{Count: 3, CPU: 20, MemMB: 64, EstimatedMs: int64(ms)}},
			})
		})
		sleep(ctx, pause)
	}
	bd.rec.add("%d jobs handed in at %s", jobs, bd.entries[0].name)
	if err := bd.killFor(ctx, bd.entries[0], down); err != nil {
		return err
	}
	posts.wg.Wait()
	sleep(ctx, settle)
	broken := 0
	states := map[string]int{}
	for num, id := range list {
		if !accepted[num] {
			continue
		}
		an := bd.entries[1].call(ctx, http.MethodGet, id, nil, getWait)
		states[an.state]++
		runs, failed := bd.runs(id)
		if an.state != stateFailed || failed >= bd.attempts {
			continue
		}
		broken++
		bd.rec.add("job %s is shown as failed; a task has at most %d runs that ended failed, of %d; its %d runs:", id, failed, bd.attempts, count(runs, runStarted))
		bd.addRuns(id)
	}
	bd.rec.add("states of the accepted jobs: %v", states)
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d accepted jobs are shown as failed before a task has %d runs that ended failed", errBroken, broken, bd.attempts)
	}
	return nil
}

// killFor kills the process of an entry and starts it again after a time. Without
// trouble it only waits.
func (bd *bed) killFor(ctx context.Context, en *entry, down time.Duration) error {
	if !bd.trouble {
		sleep(ctx, down)
		return nil
	}
	en.kill()
	sleep(ctx, down)
	return en.start(false)
}
