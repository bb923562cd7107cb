package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// LeaveStep is one step of a graceful shutdown. Its context ends at the time
// limit of the shutdown or at the second signal. A step that fails is listed in
// Abandoned, and the steps after it still run.
type LeaveStep struct {
	Name string
	Run  func(ctx context.Context) error
}

// AddLeaveStep appends a step. The added steps run in order, after the last
// request of a caller has ended, and before the entry stops its components and
// sends the leave message to its peers. AddLeaveStep must not be called after
// Start.
func (en *Entry) AddLeaveStep(name string, run func(ctx context.Context) error) {
	en.addedSteps = append(en.addedSteps, LeaveStep{Name: name, Run: run})
}

// leaveSteps returns all steps in order. Peers take the leave message as proof
// that this incarnation has ended, so it is sent after all components have
// stopped.
func (en *Entry) leaveSteps() []LeaveStep {
	steps := []LeaveStep{
		{"await-balancer", en.awaitBalancer},
		{"finish-requests", en.finishRequests},
	}
	steps = append(steps, en.addedSteps...)
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
// Idle connections stay open until the end of the shutdown, so that a request
// on one of them is answered or refused and does not fail on a closed
// connection.
func (en *Entry) finishRequests(ctx context.Context) error {
	_ = en.callers.ln.Close()
	return en.requests.finish(ctx)
}

// Abandoned lists the requests and the steps that a shutdown abandoned.
type Abandoned struct {
	Requests []AbandonedRequests
	// Steps are the names of the steps that failed or were not finished.
	Steps []string
}

// Error lists the abandoned requests and steps.
func (ab *Abandoned) Error() string {
	return fmt.Sprintf("the shutdown abandoned requests (%s) and steps (%s); callers and peers detect this themselves",
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
	// answerGrace is the time allowed for the answers to abandoned requests.
	answerGrace = 500 * time.Millisecond
	// closeBound is the time allowed for the components to close after a
	// shutdown. A component that hangs must not keep the process running.
	closeBound = 2 * time.Second
)

// Shutdown drains the entry until ctx ends. Readiness fails at once; requests
// are accepted until the balancer has had time to notice this. Then requests in
// flight finish and the other leave steps run. Shutdown returns *Abandoned when
// it abandoned a request or a step.
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
	en.shutdownServers()
	runWithin(closeBound, en.Close)
	if len(ab.Requests) == 0 && len(ab.Steps) == 0 {
		return nil
	}
	return ab
}

// runStep runs a step. It returns when ctx ends, even if the step ignores ctx.
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

// shutdownServers shuts the HTTP servers down. It waits up to answerGrace for
// answers that are being written.
func (en *Entry) shutdownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	_ = en.callers.hs.Shutdown(ctx)
	_ = en.operators.hs.Shutdown(ctx)
}

// runWithin runs fn and returns when fn has ended or the bound has passed.
func runWithin(bound time.Duration, fn func()) {
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
