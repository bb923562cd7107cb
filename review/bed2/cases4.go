package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart-in-turn"] = restartInTurn }

// restartInTurn restarts the entries in turn while jobs run whose declared run times
// are far too short, and whose tasks fail once by their own fault.
func restartInTurn(ctx context.Context, bd *bed) error {
	bd.attempts = 2
	if err := bd.build(ctx, 4, 24); err != nil {
		return err
	}
	const jobs = 700
	const pause = 40 * time.Millisecond
	list := make([]string, jobs)
	accepted := make([]bool, jobs)
	var wg sync.WaitGroup
	if bd.trouble {
		wg.Add(1)
		bd.grp.Go(func(ctx context.Context) {
			defer wg.Done()
			sleep(ctx, 4*time.Second)
			for _, en := range bd.entries {
				en.signal(syscall.SIGTERM)
				if !en.exited(graceTime) {
					en.kill()
				}
				if err := en.start(false); err != nil {
					bd.rec.add("%s: %v", en.name, err)
				}
				sleep(ctx, 2*time.Second)
			}
		})
	}
	for num := range list {
		list[num] = newID()
		wg.Add(1)
		bd.grp.Go(func(ctx context.Context) {
			defer wg.Done()
			for try := range 10 {
				an := bd.entries[(num+try)%len(bd.entries)].call(ctx, http.MethodPost, list[num], job{
					Spec: "ms=1200 flaky=15", Steps: []step{{Count: 3, CPU: 2000, MemMB: 64, EstimatedMs: 50}},
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
	sleep(ctx, 15*time.Second)
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
		an := bd.entries[0].call(ctx, http.MethodGet, id, nil, 3*time.Second)
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
