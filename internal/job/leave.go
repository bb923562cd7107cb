package job

import (
	"context"
	"fmt"
	"time"
)

const (
	// finishBound is how long a leaving entry waits for its jobs to end. Most
	// tasks last under a second, a few several seconds; longer ones go on under
	// the next owner.
	finishBound = 5 * time.Second
	leaveStep   = 10 * time.Millisecond
)

// Leave prepares a graceful end: it waits for the jobs of this entry, and then
// for the tasks that are on their way to workers. A task whose intent is
// committed and that was not sent would fail its job under the next owner.
func (mg *Manager) Leave(ctx context.Context) error {
	se := mg.session()
	bound, cancel := context.WithTimeout(ctx, finishBound)
	defer cancel()
	if waitUntil(bound, func() bool { return !se.owns() }) {
		return nil
	}
	se.stopSending()
	if waitUntil(ctx, func() bool { return se.onTheWay() == 0 }) {
		return nil
	}
	return fmt.Errorf("%d tasks were on their way to workers: %w", se.onTheWay(), ctx.Err())
}

// waitUntil polls done and reports false when ctx ended first.
func waitUntil(ctx context.Context, done func() bool) bool {
	for !done() {
		if ctx.Err() != nil {
			return false
		}
		waitFor(ctx, nil, leaveStep)
	}
	return true
}

// stopSending leaves the tasks without an intent to the next owner.
func (se *session) stopSending() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.leaving = true
}

// mustSend tells whether a task that has got a place is sent. A leaving session
// sends only what the next owner could not: tasks with an earlier intent, and
// tasks of jobs with issued ids.
func (se *session) mustSend(oj *ownedJob, index int) bool {
	return !se.leaving || oj.issued || oj.tasks[index].attempts > 0
}

// onTheWay counts the tasks that have an intent and have not reached a worker.
func (se *session) onTheWay() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	count := se.sending
	for _, oj := range se.jobs {
		if oj.final != nil {
			continue
		}
		for i := range oj.tasks {
			tk := &oj.tasks[i]
			if tk.phase == taskIntending || tk.phase == taskWaiting && tk.attempts > 0 {
				count++
			}
		}
	}
	return count
}
