// Package group starts and owns goroutines.
//
// A Group ties every goroutine of a component to one context and one Close
// call, so that a component that has been closed leaves nothing running. It is
// the only place of this module that uses the go statement; a test at the root
// of the module enforces this.
//
// # Usage
//
//	grp := group.New(ctx)
//	grp.Go(func(ctx context.Context) { poll(ctx) })
//	grp.Every(time.Second, func(ctx context.Context) { report(ctx) })
//	group.Sleep(ctx, time.Second) // ends early with ctx
//	...
//	grp.Close() // cancels the context and waits for every goroutine
//
// # Errors
//
// Go and Every report false when the group is already closed; the function is
// then not started.
package group

import (
	"context"
	"sync"
	"time"
)

// Group owns a set of goroutines that share a context.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// New returns a group whose goroutines receive a context derived from parent.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that Close cancels.
func (gr *Group) Context() context.Context {
	return gr.ctx
}

// Go runs fn in a goroutine. It reports false, without starting fn, when the
// group is closed.
func (gr *Group) Go(fn func(ctx context.Context)) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.closed {
		return false
	}
	gr.wg.Add(1)
	go func() {
		defer gr.wg.Done()
		fn(gr.ctx)
	}()
	return true
}

// Every runs fn once per interval until the group is closed.
func (gr *Group) Every(interval time.Duration, fn func(ctx context.Context)) bool {
	return gr.Go(func(ctx context.Context) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				fn(ctx)
			}
		}
	})
}

// Wait refuses further goroutines and waits until every goroutine has returned
// by itself, without cancelling the context.
func (gr *Group) Wait() {
	gr.mu.Lock()
	gr.closed = true
	gr.mu.Unlock()
	gr.wg.Wait()
}

// Close cancels the context of the group and waits until every goroutine has
// returned. It may be called more than once, but not by a goroutine of the
// group itself.
func (gr *Group) Close() {
	gr.mu.Lock()
	gr.closed = true
	gr.mu.Unlock()
	gr.cancel()
	gr.wg.Wait()
}
