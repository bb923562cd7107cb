// Package bench measures service requests under load, with the present policy
// and with a naive one, on the same arrivals. It also measures jobs (RunJobs)
// and the control overhead of idle entries (Capacity).
//
// Arrivals are open-loop: a request is sent at its arrival time whether or not
// earlier ones have been answered, so that a stall raises the measured response
// times.
//
// The ideal response time of a request is its run time on a target of speed 1
// plus the round trip between client and entry; the targets' speeds average 1.
// A ratio under 1 means that a faster target answered. A wasted message is
// either a request that a target received but that led to no answer, or a
// refusal that a client received.
//
// # Usage
//
//	reports, err := bench.Run(ctx, bench.Options{User: "authority", Scenario: "none", Load: 0.8})
package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Options describe one run.
type Options struct {
	// User is authority or fundacion.
	User string
	// Scenario names the fault; Scenarios lists them.
	Scenario string
	// Load is the arrival rate as a fraction of the capacity; 0.8 means 80%.
	Load     float64
	Duration time.Duration
	Seed     uint64
	Entries  int
	Targets  int
	Slots    int
	// Policies lists the policies to measure, in order.
	Policies []string
	// VMLag is the delay after which the list of VMs shows a change. Settle is
	// the time before the run in which the entries discover each other and
	// divide the targets.
	VMLag  time.Duration
	Settle time.Duration
	// Log receives the log lines of the entries.
	Log io.Writer
}

// Names of the policies.
const (
	PolicyPresent = "present"
	PolicyNaive   = "naive"
)

// DefaultRequests returns the options for a fleet of the users' present size.
func DefaultRequests() Options {
	return Options{
		User:     "authority",
		Scenario: ScenarioNone,
		Load:     0.8,
		Duration: 10 * time.Second,
		Seed:     1,
		Entries:  7,
		Targets:  50,
		Slots:    8,
		Policies: []string{PolicyNaive, PolicyPresent},
		VMLag:    2 * time.Second,
		Settle:   3 * time.Second,
		Log:      io.Discard,
	}
}

// user holds the parameters that differ between the two users.
type user struct {
	service ids.ServiceName
	zones   []ids.AvailabilityZone
	// clientDelay is the one-way time between a client and an entry.
	clientDelay time.Duration
}

var users = map[string]user{
	"authority": {
		service:     "fitdesk",
		zones:       []ids.AvailabilityZone{"austin-north", "waco-east", "temple-south"},
		clientDelay: 3 * time.Millisecond,
	},
	"fundacion": {
		service:     "surco-finder",
		zones:       []ids.AvailabilityZone{"nalon", "cimadevilla", "sabugo", "caudal"},
		clientDelay: time.Millisecond,
	},
}

// Report holds the results of one policy.
type Report struct {
	Options  Options
	Policy   string
	Requests int64
	Answered int64
	Refused  int64
	Unknown  int64
	Errors   int64
	Wrong    int64
	// Double counts the runs after the first of requests that are not
	// repeatable; Repeated counts those of repeatable requests.
	Double   int64
	Repeated int64
	// TargetMessages counts the requests that the targets received.
	TargetMessages int64
	Refusals       int64
	// PeerMessages counts the loan messages and the forwarded requests between
	// entries.
	PeerMessages int64
	Ratio        *hdrhistogram.Histogram
}

const ratioScale = 1000

func (rp *Report) quantile(q float64) float64 {
	return float64(rp.Ratio.ValueAtQuantile(q)) / ratioScale
}

// Wasted returns the number of wasted messages per request.
func (rp *Report) Wasted() float64 {
	wasted := rp.TargetMessages - rp.Answered + rp.Refusals
	return float64(max(0, wasted)) / float64(max(1, rp.Requests))
}

// Write writes the results as one line of key=value pairs.
func (rp *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "policy=%s user=%s scenario=%s load=%.2f seed=%d seconds=%.0f entries=%d targets=%d requests=%d answered=%d "+
		"response-over-ideal-p50=%.3f response-over-ideal-p95=%.3f response-over-ideal-p99=%.3f response-over-ideal-max=%.2f "+
		"wasted-messages-per-request=%.4f refused-did-not-run=%d outcome-unknown=%d client-errors=%d wrong-answers=%d double-starts=%d repeated-runs=%d peer-messages-per-request=%.3f\n",
		rp.Policy, rp.Options.User, rp.Options.Scenario, rp.Options.Load, rp.Options.Seed, rp.Options.Duration.Seconds(), rp.Options.Entries, rp.Options.Targets,
		rp.Requests, rp.Answered, rp.quantile(50), rp.quantile(95), rp.quantile(99), float64(rp.Ratio.Max())/ratioScale,
		rp.Wasted(), rp.Refused, rp.Unknown, rp.Errors, rp.Wrong, rp.Double, rp.Repeated, float64(rp.PeerMessages)/float64(max(1, rp.Requests)))
	return err
}

// Check returns an error that names the first invalid option.
func (opt Options) Check() error {
	if _, ok := users[opt.User]; !ok {
		return fmt.Errorf("user %q is not authority or fundacion", opt.User)
	}
	if _, ok := scenarios[opt.Scenario]; !ok {
		return fmt.Errorf("scenario %q is not one of %v", opt.Scenario, Scenarios())
	}
	for _, row := range []struct {
		name      string
		val       float64
		low, high float64
	}{
		{"load", opt.Load, 0.01, 10},
		{"duration in seconds", opt.Duration.Seconds(), 1, 600},
		{"entries", float64(opt.Entries), 1, 49},
		{"targets", float64(opt.Targets), 1, 1000},
		{"slots", float64(opt.Slots), 1, 64},
	} {
		if row.val < row.low || row.val > row.high {
			return fmt.Errorf("%s %v is outside %v to %v", row.name, row.val, row.low, row.high)
		}
	}
	for _, policy := range opt.Policies {
		if policy != PolicyNaive && policy != PolicyPresent {
			return fmt.Errorf("policy %q is not naive or present", policy)
		}
	}
	return nil
}

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run measures each policy in turn.
func Run(ctx context.Context, opt Options) ([]*Report, error) {
	if err := opt.Check(); err != nil {
		return nil, err
	}
	var reports []*Report
	for _, policy := range opt.Policies {
		rep, err := runPolicy(ctx, opt, policy)
		if err != nil {
			return reports, fmt.Errorf("policy %s: %w", policy, err)
		}
		reports = append(reports, rep)
	}
	return reports, nil
}

// arrival is one scheduled request.
type arrival struct {
	at         time.Duration
	run        time.Duration
	repeatable bool
	entry      int
}

// Run times of requests: most take 50 ms to 1 s, a few take several seconds.
const (
	shortestRun     = 50 * time.Millisecond
	longestRun      = time.Second
	tailShare       = 0.02
	tailLow         = 2 * time.Second
	tailHigh        = 5 * time.Second
	repeatableShare = 0.5
)

func drawRun(rng *rand.Rand) time.Duration {
	if rng.Float64() < tailShare {
		return tailLow + time.Duration(rng.Float64()*float64(tailHigh-tailLow))
	}
	span := math.Log(float64(longestRun) / float64(shortestRun))
	return time.Duration(float64(shortestRun) * math.Exp(rng.Float64()*span))
}

func meanRun() float64 {
	span := math.Log(float64(longestRun) / float64(shortestRun))
	short := float64(longestRun-shortestRun) / span
	return (1-tailShare)*short + tailShare*float64(tailLow+tailHigh)/2
}

// drawSpeeds draws a speed for each target, from 0.5 to 2, and scales the speeds
// to a mean of 1.
func drawSpeeds(opt Options) []float64 {
	rng := rand.New(rand.NewPCG(opt.Seed, 2))
	out := make([]float64, opt.Targets)
	sum := 0.0
	for i := range out {
		out[i] = math.Exp((rng.Float64()*2 - 1) * math.Ln2)
		sum += out[i]
	}
	for i := range out {
		out[i] *= float64(opt.Targets) / sum
	}
	return out
}

// schedule draws Poisson arrivals. A burst scenario has its own rate between
// 40% and 50% of the run.
func schedule(opt Options, sc scenario) []arrival {
	rng := rand.New(rand.NewPCG(opt.Seed, 1))
	capacity := float64(opt.Targets*opt.Slots) / meanRun() // requests per nanosecond
	var out []arrival
	at := 0.0
	for {
		rate := capacity * opt.Load
		if share := at / float64(opt.Duration); sc.burst > 0 && share > 0.4 && share < 0.5 {
			rate = capacity * sc.burst
		}
		at += rng.ExpFloat64() / rate
		if at >= float64(opt.Duration) {
			return out
		}
		out = append(out, arrival{
			at:         time.Duration(at),
			run:        drawRun(rng),
			repeatable: rng.Float64() < repeatableShare,
			entry:      rng.IntN(opt.Entries),
		})
	}
}
