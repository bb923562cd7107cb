package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["kill-one"] = killOne }

// killOne kills the entry that has taken many jobs and starts it again.
func killOne(ctx context.Context, bd *bed) error {
	bd.attempts = 2
	if err := bd.build(ctx, 6, 24); err != nil {
		return err
	}
	const jobs, pause = 1200, 30 * time.Millisecond
	const kills, killPause, down = 5, 7 * time.Second, time.Second
	list := make([]string, jobs)
	accepted := make([]bool, jobs)
	var wg sync.WaitGroup
	wg.Add(1)
	bd.grp.Go(func(ctx context.Context) {
		defer wg.Done()
		for num := range kills {
			sleep(ctx, killPause-down)
			if !bd.trouble {
				continue
			}
			en := bd.entries[num]
			en.kill()
			sleep(ctx, down)
			if err := en.start(false); err != nil {
				bd.rec.add("%s: %v", en.name, err)
			}
		}
	})
	for num := range list {
		list[num] = newID()
		ms := 200 + rand.IntN(6000)
		wg.Add(1)
		bd.grp.Go(func(ctx context.Context) {
			defer wg.Done()
			for try := range 10 {
				an := bd.entries[(num+try)%len(bd.entries)].call(ctx, http.MethodPost, list[num], job{
					Spec: fmt.Sprintf("ms=%d flaky=15", ms), Steps: []step{{Count: 3, CPU: 200, MemMB: 64, EstimatedMs: int64(ms)}},
				}, 5*time.Second)
				if accepted[num] = an.status == http.StatusOK; an.status != 0 {
					return
				}
				sleep(ctx, 200*time.Millisecond)
			}
		})
		sleep(ctx, pause)
	}
	wg.Wait()
	sleep(ctx, 25*time.Second)
	fails := map[string]int{}
	most := map[string]int{}
	for _, ev := range bd.hist.all() {
		if ev.what == "failed" {
			id, _, _ := strings.Cut(ev.task, ".")
			fails[ev.task]++
			most[id] = max(most[id], fails[ev.task])
		}
	}
	states := map[string]int{}
	broken := 0
	for num, id := range list {
		if !accepted[num] {
			continue
		}
		an := bd.entries[1].call(ctx, http.MethodGet, id, nil, 3*time.Second)
		states[an.state]++
		if an.state != "failed" || most[id] >= bd.attempts {
			continue
		}
		broken++
		bd.rec.add("job %s is shown as failed; its tasks:", id)
		for _, ev := range bd.hist.all() {
			if strings.HasPrefix(ev.task, id) {
				bd.rec.add("  at %.3f %s run %d on %s: %s", ev.at.Sub(bd.rec.began).Seconds(), ev.task, ev.run, ev.runner, ev.what)
			}
		}
	}
	bd.rec.add("states of the accepted jobs: %v", states)
	fmt.Println(states, broken)
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d accepted jobs are shown as failed although each of their tasks has at most %d runs that ended failed, of %d", errBroken, broken, bd.attempts-1, bd.attempts)
	}
	return nil
}
