package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cancel-at-term"] = cancelAtTerm }

// cancelAtTerm cancels scheduled jobs while the entry that took them is stopped.
func cancelAtTerm(ctx context.Context, bd *bed) error {
	if err := bd.build(ctx, 4, 12); err != nil {
		return err
	}
	const jobs = 800
	due := time.Now().Add(40 * time.Second).UnixMilli()
	list := make([]string, jobs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for num := range list {
		list[num] = newID()
		wg.Add(1)
		bd.grp.Go(func(ctx context.Context) {
			defer wg.Done()
			an := bd.entries[0].call(ctx, http.MethodPost, list[num], job{
				Spec: "ms=100", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstimatedMs: 100}},
				RepeatCount: 1, StartAtMs: due, IntervalMs: 1000,
			}, 5*time.Second)
			if an.status != http.StatusOK {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		})
		sleep(ctx, 4*time.Millisecond)
	}
	wg.Wait()
	bd.rec.add("%d jobs handed in at %s, %d not accepted", jobs, bd.entries[0].name, refused)
	sleep(ctx, 4*time.Second)
	const pause = 4 * time.Millisecond
	var term time.Time
	answers := make([]answer, jobs)
	for num, id := range list {
		if num == jobs/2 && bd.trouble {
			bd.entries[0].signal(syscall.SIGTERM)
			term = time.Now()
		}
		wg.Add(1)
		bd.grp.Go(func(ctx context.Context) {
			defer wg.Done()
			an := bd.entries[0].call(ctx, http.MethodDelete, id, nil, 9*time.Second)
			mu.Lock()
			answers[num] = an
			mu.Unlock()
		})
		sleep(ctx, pause)
	}
	wg.Wait()
	counts := map[string]int{}
	lost := 0
	for num, an := range answers {
		text := fmt.Sprint(an.status)
		if an.status == 0 {
			text = fmt.Sprintf("no answer: %v", an.err)
			if an.ended.Sub(an.sent) > 200*time.Millisecond {
				lost++
				bd.rec.add("DELETE of %s, sent %.3f s after the SIGTERM, read by %s: the connection ended %.3f s after it without an answer: %v", list[num], an.sent.Sub(term).Seconds(), bd.entries[0].name, an.ended.Sub(an.sent).Seconds(), an.err)
			}
			text = "no answer"
		}
		counts[text]++
	}
	bd.rec.add("answers to the DELETEs: %v", counts)
	fmt.Println(counts, lost)
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d requests were read and not answered around a SIGTERM", errBroken, lost)
	}
	return nil
}
