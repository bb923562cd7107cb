package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderwall/oleanderwall/internal/caller"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Client behaviour.
const (
	requestDeadline = 10 * time.Second
	maxAttempts     = 4
	drainTimeout    = 15 * time.Second
)

func httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}}
}

func runPolicy(ctx context.Context, opt Options, policy string) (*Report, error) {
	sy, err := startSystem(opt, policy)
	if err != nil {
		return nil, err
	}
	defer sy.close()
	sc := scenarios[opt.Scenario]
	ld := &load{
		sy: sy,
		hc: httpClient(),
		rep: &Report{
			Options: opt,
			Policy:  policy,
			Ratio:   hdrhistogram.New(1, 1000*ratioScale, 3),
		},
	}
	arrivals := schedule(opt, sc)
	ld.run(ctx, arrivals, sc)
	ld.addCounters(arrivals)
	return ld.rep, nil
}

type load struct {
	sy *system
	hc *http.Client

	mu  sync.Mutex
	rep *Report
}

// run sends each request at its arrival time and waits for the answers.
func (ld *load) run(ctx context.Context, arrivals []arrival, sc scenario) {
	grp := group.New(ctx)
	grp.Go(func(ctx context.Context) { sc.run(ctx, ld.sy, ld.sy.opt.Duration/3) })
	began := time.Now()
	var wait sync.WaitGroup
	for i, ar := range arrivals {
		time.Sleep(time.Until(began.Add(ar.at)))
		wait.Add(1)
		grp.Go(func(ctx context.Context) {
			defer wait.Done()
			ld.request(ctx, i, ar)
		})
	}
	stop := time.AfterFunc(drainTimeout, grp.Close)
	wait.Wait()
	stop.Stop()
	grp.Close()
}

// request sends one request. It retries a refusal that has a retry-after time,
// up to three times; the response time counts from the first attempt.
func (ld *load) request(ctx context.Context, i int, ar arrival) {
	id := requestID(i)
	began := time.Now()
	var last attempt
	refusals := int64(0)
	for try := range maxAttempts {
		last = ld.attempt(ctx, id, ar, (ar.entry+try)%len(ld.sy.urls))
		if last.outcome != outcome.RefusedDidNotRun {
			break
		}
		refusals++
		if last.retryAfter == 0 || time.Since(began)+last.retryAfter > requestDeadline {
			break
		}
		group.Sleep(ctx, last.retryAfter)
	}
	ld.record(ar, last, refusals, time.Since(began))
}

func (ld *load) record(ar arrival, last attempt, refusals int64, took time.Duration) {
	ideal := ar.run + 2*ld.sy.usr.clientDelay
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.rep.Requests++
	ld.rep.Refusals += refusals
	switch last.outcome {
	case outcome.Answered:
		ld.rep.Answered++
		if last.wrong {
			ld.rep.Wrong++
		}
		_ = ld.rep.Ratio.RecordValue(min(int64(float64(took)/float64(ideal)*ratioScale), ld.rep.Ratio.HighestTrackableValue()))
	case outcome.RefusedDidNotRun:
		ld.rep.Refused++
	case outcome.Unknown:
		ld.rep.Unknown++
	default:
		ld.rep.Errors++
	}
}

type attempt struct {
	outcome    outcome.Kind
	retryAfter time.Duration
	wrong      bool
}

func (ld *load) attempt(ctx context.Context, id string, ar arrival, entry int) attempt {
	group.Sleep(ctx, ld.sy.usr.clientDelay)
	defer group.Sleep(ctx, ld.sy.usr.clientDelay)
	raw, err := json.Marshal(standin.TargetRequest{RunMillis: ar.run.Milliseconds(), Question: id})
	if err != nil {
		return attempt{}
	}
	url := ld.sy.urls[entry] + "/v1/services/" + string(ld.sy.usr.service) + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return attempt{}
	}
	req.Header.Set(caller.HeaderRequestID, id)
	req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	req.Header.Set(caller.HeaderRepeatable, strconv.FormatBool(ar.repeatable))
	req.Header.Set(caller.HeaderKind, kindOf(ar.run))
	rep, err := ld.hc.Do(req)
	if err != nil {
		return attempt{}
	}
	defer rep.Body.Close()
	body, err := io.ReadAll(rep.Body)
	if err != nil {
		return attempt{}
	}
	return parseReply(rep, body, id)
}

// kindOf maps a run time to a request kind: callers set the kind by what the
// request asks for.
func kindOf(run time.Duration) string {
	switch {
	case run < 200*time.Millisecond:
		return "quick"
	case run <= longestRun:
		return "full"
	}
	return "long"
}

func parseReply(rep *http.Response, body []byte, id string) attempt {
	at := attempt{outcome: outcome.Kind(rep.Header.Get(outcome.Header))}
	if at.outcome == outcome.Answered {
		var ans standin.TargetAnswer
		err := json.Unmarshal(body, &ans)
		at.wrong = err != nil || ans.Question != id || ans.RequestID != id
		return at
	}
	var eb struct {
		RetryAfterMillis int64 `json:"retry-after-millis"`
	}
	if json.Unmarshal(body, &eb) == nil {
		at.retryAfter = time.Duration(eb.RetryAfterMillis) * time.Millisecond
	}
	return at
}

func requestID(i int) string {
	return fmt.Sprintf("request-%d", i)
}

// addCounters adds the counters of the targets and entries to the report.
func (ld *load) addCounters(arrivals []arrival) {
	isRepeatable := make(map[string]bool, len(arrivals))
	for i, ar := range arrivals {
		isRepeatable[requestID(i)] = ar.repeatable
	}
	runs := make(map[string]int, len(arrivals))
	for _, ta := range ld.sy.fleet.Targets {
		counts := ta.Counts()
		ld.rep.TargetMessages += counts.Requests
		for id, n := range counts.Executions {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if isRepeatable[id] {
			ld.rep.Repeated += int64(n - 1)
		} else {
			ld.rep.Double += int64(n - 1)
		}
	}
	for _, en := range ld.sy.entries {
		ld.rep.PeerMessages += en.Counters().Value("slots", "loan-message") + en.Counters().Value("forward", "sent")
	}
}
