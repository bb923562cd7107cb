package job

import (
	"context"
	"fmt"
	"time"
)

const (
	// finishTimeout is how long a leaving entry waits for its jobs to end. Most
	// tasks take less than a second and a few take several seconds. The next
	// owner adopts tasks that take longer.
	finishTimeout     = 5 * time.Second
	leavePollInterval = 10 * time.Millisecond
)

// Leave prepares a graceful shutdown. It waits for the jobs of this entry to end,
// and then for the tasks that are being sent to workers, because a task whose
// intent is committed and that was not sent fails its job under the next owner.
func (mg *Manager) Leave(ctx context.Context) error {
	se := mg.session()
	bound, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if waitUntil(bound, func() bool { return !se.owns() }) {
		return nil
	}
	se.stopSending()
	if waitUntil(ctx, func() bool { return se.pendingSends() == 0 }) {
		return nil
	}
	return fmt.Errorf("%d tasks were still being sent to workers: %w", se.pendingSends(), ctx.Err())
}

// waitUntil polls done. It reports false if ctx ended first.
func waitUntil(ctx context.Context, done func() bool) bool {
	for !done() {
		if ctx.Err() != nil {
			return false
		}
		waitFor(ctx, nil, leavePollInterval)
	}
	return true
}

// stopSending leaves tasks without an intent unsent, so that the next owner sends
// them.
func (se *session) stopSending() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.leaving = true
}

// shouldSend reports whether the session sends a task that the scheduler has
// assigned. A leaving session sends only tasks that the next owner could not
// send: tasks with an earlier intent, and tasks of jobs with issued ids.
func (se *session) shouldSend(oj *ownedJob, index int) bool {
	return !se.leaving || oj.issued || oj.tasks[index].attempts > 0
}

// pendingSends counts the tasks that have an intent and have not reached a
// worker.
func (se *session) pendingSends() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	count := se.sending
	for _, oj := range se.jobs {
		if oj.finalRow != nil {
			continue
		}
		for i := range oj.tasks {
			tk := &oj.tasks[i]
			if tk.phase == taskAssigned || tk.phase == taskQueued && tk.attempts > 0 {
				count++
			}
		}
	}
	return count
}
