package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["cancel-at-term"] = cancelAtTerm }

// cancelAtTerm hands scheduled jobs in at one entry and cancels some of them there, one
// after the other. In the middle of that the entry gets a SIGTERM.
func cancelAtTerm(ctx context.Context, bd *bed) error {
	const jobs, dueIn, postGap, deleteGap = 3200, 40 * time.Second, 3 * time.Millisecond, 20 * time.Millisecond
	// One of cancelOne jobs is cancelled.
	const cancelOne = 16
	// The clients wait longer than the entry may take to shut down.
	const deleteWait = 9 * time.Second
	if err := bd.build(ctx, 4, 12); err != nil {
		return err
	}
	due := time.Now().Add(dueIn).UnixMilli()
	list := make([]string, jobs)
	accepted := make([]bool, jobs)
	posts := callers{bd: bd}
	for num := range list {
		list[num] = newID()
		posts.do(func(ctx context.Context) {
			accepted[num] = bd.handIn(ctx, 0, list[num], job{
				Spec: "ms=100", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstimatedMs: 100}},
				RepeatCount: 1, StartAtMs: due, IntervalMs: 1000,
			})
		})
		sleep(ctx, postGap)
	}
	posts.wg.Wait()
	bd.rec.add("%d jobs, due in %s, handed in at %s", jobs, dueIn, bd.entries[0].name)
	sleep(ctx, 4*time.Second)
	var term time.Time
	answers := make([]answer, jobs)
	deletes := callers{bd: bd}
	for num := 0; num < jobs; num += cancelOne {
		if num == jobs/2 && bd.trouble {
			bd.entries[0].signal(syscall.SIGTERM)
			term = time.Now()
		}
		deletes.do(func(ctx context.Context) {
			answers[num] = bd.entries[0].call(ctx, http.MethodDelete, list[num], nil, deleteWait)
		})
		sleep(ctx, deleteGap)
	}
	deletes.wg.Wait()
	var unanswered []string
	counts := map[int]int{}
	for num := 0; num < jobs; num += cancelOne {
		an := answers[num]
		counts[an.status]++
		// A request that is cut off within lossSlackMs may not have been read.
		if !accepted[num] || an.status != 0 || an.ended.Sub(an.sent) < lossSlack {
			continue
		}
		unanswered = append(unanswered, list[num])
		bd.rec.add("DELETE of %s, sent %.3f s after the SIGTERM: the connection has ended %.3f s later without an answer: %v",
			list[num], an.sent.Sub(term).Seconds(), an.ended.Sub(an.sent).Seconds(), an.err)
	}
	bd.rec.add("answers to the DELETEs by status, 0 for none: %v", counts)
	if len(unanswered) == 0 {
		return nil
	}
	bd.addLateStarts(ctx, unanswered, due)
	return fmt.Errorf("%w: LOST: %d DELETEs that were read around the SIGTERM have got no answer", errBroken, len(unanswered))
}

// lossSlack is lossSlackMs of the settings.
const lossSlack = 200 * time.Millisecond

// addLateStarts waits until jobs are due, and adds to the record which of them have
// been started although they were cancelled.
func (bd *bed) addLateStarts(ctx context.Context, list []string, due int64) {
	sleep(ctx, time.Until(time.UnixMilli(due))+3*time.Second)
	for _, id := range list {
		runs, _ := bd.runs(id)
		bd.rec.add("job %s, whose cancelling was read and not answered, has %d runs", id, count(runs, runStarted))
	}
}
