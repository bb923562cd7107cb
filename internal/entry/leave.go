package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// LeaveStep is one step of a graceful shutdown. Its context ends with the
// shutdown's bound or at the second signal; a step that fails is listed as
// given up, and the steps after it still run.
type LeaveStep struct {
	Name string
	Run  func(ctx context.Context) error
}

// AddLeaveStep adds a step, to run after those added before. Steps run when no
// request of a caller is in flight any more, and before the entry stops its
// components and tells its peers that it leaves. It must not be called after
// Start.
func (en *Entry) AddLeaveStep(name string, run func(ctx context.Context) error) {
	en.steps = append(en.steps, LeaveStep{Name: name, Run: run})
}

// leaveSteps returns all steps in order. Peers take the leave message as proof
// that this incarnation has ended, so it goes out when nothing here acts any
// more.
func (en *Entry) leaveSteps() []LeaveStep {
	steps := []LeaveStep{
		{"await-balancer", en.awaitBalancer},
		{"finish-requests", en.finishRequests},
	}
	steps = append(steps, en.steps...)
	return append(steps,
		LeaveStep{"stop-components", func(context.Context) error { en.stopComponents(); return nil }},
		LeaveStep{"tell-peers", func(ctx context.Context) error { en.members.Leave(ctx); return nil }},
	)
}

func (en *Entry) awaitBalancer(ctx context.Context) error {
	group.Sleep(ctx, en.set.Timing.BalancerNotice.Std())
	return ctx.Err()
}

// finishRequests stops accepting connections and waits for requests in flight.
// Idle connections stay open until the end: a request that comes on one of them
// is answered or refused, and not met by a closed connection.
func (en *Entry) finishRequests(ctx context.Context) error {
	_ = en.callers.ln.Close()
	return en.requests.finish(ctx)
}

// Abandoned is what a shutdown gave up.
type Abandoned struct {
	Requests []AbandonedRequests
	// Steps are the names of the steps that failed or were not finished.
	Steps []string
}

// Error lists what was given up.
func (ab *Abandoned) Error() string {
	return fmt.Sprintf("the shutdown gave up requests (%s) and steps (%s); their callers and peers find out by themselves",
		ab.RequestList(), ab.StepList())
}

// RequestList returns the requests by service with their number and age.
func (ab *Abandoned) RequestList() string {
	parts := make([]string, 0, len(ab.Requests))
	for _, rq := range ab.Requests {
		parts = append(parts, rq.String())
	}
	return strings.Join(parts, "; ")
}

// StepList returns the names of the steps.
func (ab *Abandoned) StepList() string { return strings.Join(ab.Steps, ",") }

const (
	// answerGrace is what abandoned requests get to answer their callers.
	answerGrace = 500 * time.Millisecond
	// closeBound is what the components get to end after a shutdown; a
	// component that hangs must not keep the process.
	closeBound = 2 * time.Second
)

// Shutdown drains the entry: readiness fails, requests are still accepted until
// the balancer has noticed, requests in flight finish, and the leave steps run,
// until ctx ends. It returns *Abandoned when it gave up anything.
func (en *Entry) Shutdown(ctx context.Context) error {
	en.draining.Store(true)
	en.requests.drain()
	ab := &Abandoned{}
	for _, step := range en.leaveSteps() {
		began := time.Now()
		if err := en.runStep(ctx, step); err != nil {
			ab.Steps = append(ab.Steps, step.Name)
			en.log.Warn().Str("step", step.Name).Err(err).Msg("leave-step-failed")
			continue
		}
		en.log.Info().Str("step", step.Name).Dur("took", time.Since(began)).Msg("leave-step-finished")
	}
	ab.Requests = en.requests.abandon()
	en.endConnections()
	within(closeBound, en.Close)
	if len(ab.Requests) == 0 && len(ab.Steps) == 0 {
		return nil
	}
	return ab
}

// runStep runs a step until ctx ends, whether the step heeds ctx or not.
func (en *Entry) runStep(ctx context.Context, step LeaveStep) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	done := make(chan error, 1)
	group.New(ctx).Go(func(ctx context.Context) { done <- step.Run(ctx) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endConnections waits shortly for answers that are being written.
func (en *Entry) endConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	_ = en.callers.hs.Shutdown(ctx)
	_ = en.operators.hs.Shutdown(ctx)
}

// within runs fn and returns when it has ended or the bound has passed.
func within(bound time.Duration, fn func()) {
	done := make(chan struct{})
	group.New(context.Background()).Go(func(context.Context) {
		defer close(done)
		fn()
	})
	select {
	case <-done:
	case <-time.After(bound):
	}
}
