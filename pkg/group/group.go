// Package group starts and owns goroutines.
//
// A Group binds all goroutines of a component to one context and one Close call,
// so that a closed component leaves no goroutine running. This package is the
// only one in the module that uses the go statement; a test at the root of the
// module enforces this.
//
// # Usage
//
//	grp := group.New(ctx)
//	grp.Go(func(ctx context.Context) { poll(ctx) })
//	grp.Every(time.Second, func(ctx context.Context) { report(ctx) })
//	group.Sleep(ctx, time.Second) // returns early if ctx ends
//	...
//	grp.Close() // cancels the context and waits for every goroutine
//
// # Errors
//
// Go and Every report false if the group is already closed, and then do not start
// the function.
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

// Go runs fn in a goroutine. If the group is closed, it reports false and does
// not start fn.
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

// Every runs fn once per interval until the group is closed. If the group is
// already closed, it reports false.
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

// Wait refuses further goroutines and waits until all goroutines have returned.
// It does not cancel the context.
func (gr *Group) Wait() {
	gr.mu.Lock()
	gr.closed = true
	gr.mu.Unlock()
	gr.wg.Wait()
}

// Close cancels the context of the group and waits until all goroutines have
// returned. It may be called more than once, but not by a goroutine of the group.
func (gr *Group) Close() {
	gr.mu.Lock()
	gr.closed = true
	gr.mu.Unlock()
	gr.cancel()
	gr.wg.Wait()
}
