package main

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

// step is a step of a job on the wire.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"memMb"`
	EstimatedMs int64 `json:"estimatedMs"`
	After       []int `json:"after,omitempty"`
}

// job is a job on the wire.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// The states of a job on the wire.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// The waits of clients.
const (
	postWait  = 5 * time.Second
	getWait   = 3 * time.Second
	resendGap = 300 * time.Millisecond
)

var (
	errNotAccepted = errors.New("a job was not accepted")
	errNotEnded    = errors.New("a job has not ended in time")
)

// handIn hands a job in as a client does: without an answer it sends the job again
// to the next entry. It reports whether the job was accepted.
func (bd *bed) handIn(ctx context.Context, first int, id string, jb job) bool {
	for try := 0; ctx.Err() == nil; try++ {
		an := bd.entries[(first+try)%len(bd.entries)].call(ctx, http.MethodPost, id, jb, postWait)
		switch {
		case an.status == http.StatusOK:
			return true
		case an.status != 0 && an.status != http.StatusBadGateway && an.status != http.StatusGatewayTimeout:
			bd.rec.add("job %s: answer %d", id, an.status)
			return false
		}
		sleep(ctx, resendGap)
	}
	return false
}

// runs returns what has happened to the runs of a job, and the largest number of runs
// of one task that have ended failed.
func (bd *bed) runs(id string) (list []event, mostFailed int) {
	fails := map[string]int{}
	for _, ev := range bd.hist.all() {
		if !strings.HasPrefix(ev.task, id+".") {
			continue
		}
		list = append(list, ev)
		if ev.what == endFailed {
			fails[ev.task]++
			mostFailed = max(mostFailed, fails[ev.task])
		}
	}
	return list, mostFailed
}

// count counts the events of a kind.
func count(list []event, what string) int {
	num := 0
	for _, ev := range list {
		if ev.what == what {
			num++
		}
	}
	return num
}

// addRuns adds what has happened to the runs of a job to the record.
func (bd *bed) addRuns(id string) {
	list, _ := bd.runs(id)
	for _, ev := range list {
		bd.rec.add("  at %.3f %s run %d on %s: %s", ev.at.Sub(bd.rec.began).Seconds(), ev.task, ev.run, ev.runner, ev.what)
	}
}

// awaitEnd asks an entry for the state of a job until the job has ended.
func (bd *bed) awaitEnd(ctx context.Context, en *entry, id string) (string, error) {
	for ctx.Err() == nil {
		an := en.call(ctx, http.MethodGet, id, nil, getWait)
		list, failed := bd.runs(id)
		bd.rec.add("state of the job: %d %q; %d runs started, %d ended done; a task has at most %d runs that ended failed",
			an.status, an.state, count(list, runStarted), count(list, endDone), failed)
		if an.state == stateCompleted || an.state == stateFailed || an.state == stateCancelled {
			return an.state, nil
		}
		sleep(ctx, time.Second)
	}
	return "", errNotEnded
}

// callers are clients that act side by side.
type callers struct {
	bd *bed
	wg sync.WaitGroup
}

func (ca *callers) do(fn func(ctx context.Context)) {
	ca.wg.Add(1)
	if !ca.bd.grp.Go(func(ctx context.Context) {
		defer ca.wg.Done()
		fn(ctx)
	}) {
		ca.wg.Done()
	}
}
