package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["stuck-ends"] = stuckEnds }

const (
	// finishTime is finish_s of the settings.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running while a task's turn has come.
	idleTime = 3 * time.Second
)

// stuckEnds hands scheduled jobs of short tasks in at one entry, of whose runs a tenth
// fails, and kills that entry, and later the others in turn, which have taken them over. Jobs of
// two steps come at the other entries before and after that.
func stuckEnds(ctx context.Context, bd *bed) error {
	const schedules, times, interval = 18, 450, 200 * time.Millisecond
	const jobs, pause, kills, killEach, down = 1300, 35 * time.Millisecond, 6, 6 * time.Second, time.Second
	if err := bd.build(ctx, 4, 12); err != nil {
		return err
	}
	for range schedules {
		id := newID()
		jb := job{
			Spec: "ms=30 fails=10", Steps: []step{{Count: 8, CPU: 500, MemMB: 64, EstimatedMs: 30}},
			RepeatCount: times, StartAtMs: time.Now().UnixMilli(), IntervalMs: interval.Milliseconds(),
		}
		if !bd.handIn(ctx, 0, id, jb) {
			return errNotAccepted
		}
	}
	bd.rec.add("%d scheduled jobs of 8 short tasks, %d times each, one each %s, handed in at %s", schedules, times, interval, bd.entries[0].name)
	killed := make(chan error, 1)
	bd.grp.Go(func(ctx context.Context) {
		var err error
		for num := range kills {
			sleep(ctx, killEach)
			err = errors.Join(err, bd.killFor(ctx, bd.entries[num%len(bd.entries)], down))
		}
		killed <- err
	})
	list := make([]string, jobs)
	accepted := make([]bool, jobs)
	posts := callers{bd: bd}
	for num := range list {
		list[num] = newID()
		posts.do(func(ctx context.Context) { accepted[num] = bd.handIn(ctx, 1+num%3, list[num], twoSteps) })
		sleep(ctx, pause)
	}
	posts.wg.Wait()
	if err := <-killed; err != nil {
		return err
	}
	bd.rec.add("the last of %d jobs of two steps has been handed in", jobs)
	sleep(ctx, finishTime)
	idle := 0
	for num, id := range list {
		if accepted[num] && bd.isIdle(ctx, id) {
			idle++
		}
	}
	bd.addRunners()
	if idle > 0 {
		return fmt.Errorf("%w: LOST: in %d accepted jobs a task's turn has come and nothing has run for over %s, %s after the last job was handed in",
			errBroken, idle, idleTime, finishTime)
	}
	return nil
}

// twoSteps is a job of two steps.
var twoSteps = job{Spec: "ms=400", Steps: []step{
	{Count: 4, CPU: 500, MemMB: 64, EstimatedMs: 400},
	{Count: 2, CPU: 500, MemMB: 64, EstimatedMs: 400, After: []int{0}},
}}

// isIdle reports whether a job of two steps is not shown as ended, all tasks of the
// first step have ended done, none of the second has been started, and nothing has
// happened for idleTime.
func (bd *bed) isIdle(ctx context.Context, id string) bool {
	an := bd.entries[1].call(ctx, http.MethodGet, id, nil, getWait)
	if an.state == stateCompleted || an.state == stateFailed {
		return false
	}
	runs, _ := bd.runs(id)
	bd.rec.add("job %s: %d %q, %d runs started, %d ended done:", id, an.status, an.state, count(runs, runStarted), count(runs, endDone))
	bd.addRuns(id)
	first := map[string]bool{}
	for _, ev := range runs {
		if time.Since(ev.at) < idleTime || ev.task[:len(id)+4] == id+".0.1" {
			return false
		}
		if ev.what == endDone {
			first[ev.task] = true
		}
	}
	return len(first) == twoSteps.Steps[0].Count
}

// addRunners adds to the record what runs on the runners, and how many ends have not
// been taken note of.
func (bd *bed) addRunners() {
	for _, ru := range bd.runners {
		ru.mu.Lock()
		bd.rec.add("runner %s of %d cores: %d tasks run; %d of %d ends are not taken note of", ru.id, runnerCPU/1000, len(ru.running), len(ru.ended), ru.lastEnd)
		if len(ru.ended) > 0 {
			er := ru.ended[0]
			bd.rec.add("  the first of them: %s run %d %s", er.task, er.run, er.how)
		}
		ru.mu.Unlock()
	}
}
