package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["stops-as-failures"] = stopsAsFailures }

// stopsAsFailures hands many jobs in at one entry, kills it, and starts it again one
// second later; then the same with the next entry. Some tasks fail by their own fault.
func stopsAsFailures(ctx context.Context, bd *bed) error {
	const rounds, jobs, pause, down, rest = 4, 600, 15 * time.Millisecond, time.Second, 2500 * time.Millisecond
	const settle = 22 * time.Second
	bd.attempts = 2
	if err := bd.build(ctx, 6, 24); err != nil {
		return err
	}
	list := make([]string, rounds*jobs)
	accepted := make([]bool, rounds*jobs)
	posts := callers{bd: bd}
	for num := range list {
		list[num] = newID()
		ms := 200 + rand.IntN(6000)
		posts.do(func(ctx context.Context) {
			accepted[num] = bd.handIn(ctx, num/jobs, list[num], job{
				Spec:  fmt.Sprintf("ms=%d fails=20", ms),
				Steps: []step{{Count: 3, CPU: 200, MemMB: 64, EstimatedMs: int64(ms)}},
			})
		})
		sleep(ctx, pause)
		if (num+1)%jobs != 0 {
			continue
		}
		bd.rec.add("%d jobs handed in at %s", jobs, bd.entries[num/jobs].name)
		if err := bd.killFor(ctx, bd.entries[num/jobs], down); err != nil {
			return err
		}
		sleep(ctx, rest)
	}
	posts.wg.Wait()
	sleep(ctx, settle)
	broken := 0
	states := map[string]int{}
	for num, id := range list {
		if !accepted[num] {
			continue
		}
		an := bd.entries[rounds].call(ctx, http.MethodGet, id, nil, getWait)
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
