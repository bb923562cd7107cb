package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/job"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// JobOptions describe a run of jobs.
type JobOptions struct {
	// StartsPerSecond is the offered rate of task starts.
	StartsPerSecond float64
	// TasksPerJob is the size of every job.
	TasksPerJob int
	// TaskMillis is the run time of every task.
	TaskMillis int64
	Duration   time.Duration
	Entries    int
	Workers    int
	Teams      int
	// CommitDelay is the time that the table takes for a synced write.
	CommitDelay time.Duration
	// WritesPerSecond limits the writes of the table; 0 means no limit.
	WritesPerSecond float64
	Log             io.Writer
}

// DefaultJobs returns the options for a fleet of the users' present size.
func DefaultJobs() JobOptions {
	return JobOptions{
		StartsPerSecond: 1000,
		TasksPerJob:     20,
		TaskMillis:      100,
		Duration:        10 * time.Second,
		Entries:         7,
		Workers:         50,
		Teams:           4,
		CommitDelay:     5 * time.Millisecond,
		WritesPerSecond: 500,
		Log:             io.Discard,
	}
}

// JobReport holds the results of a run of jobs.
type JobReport struct {
	Options   JobOptions
	Jobs      int64
	Complete  int64
	Failed    int64
	Refused   int64
	Unknown   int64
	Starts    int64
	Double    int64
	Elapsed   time.Duration
	Table     standin.TableCounts
	Ratio     *hdrhistogram.Histogram
	Admission *hdrhistogram.Histogram
}

// Write writes the results as one line of key=value pairs.
func (rp *JobReport) Write(out io.Writer) error {
	secs := rp.Elapsed.Seconds()
	perThousand := 1000 / float64(max(1, rp.Starts))
	_, err := fmt.Fprintf(out, "workload=jobs entries=%d workers=%d tasks-per-job=%d task-millis=%d asked-starts-per-second=%.0f seconds=%.1f jobs=%d complete=%d failed=%d refused-did-not-run=%d outcome-unknown=%d "+
		"starts=%d starts-per-second=%.0f double-starts=%d response-over-ideal-p50=%.3f response-over-ideal-p95=%.3f response-over-ideal-p99=%.3f admission-millis-p50=%.1f admission-millis-p99=%.1f "+
		"table-writes-per-second=%.1f table-reads-per-second=%.1f table-refused=%d table-conflicts=%d table-writes-per-1000-starts=%.2f table-bytes-per-1000-starts=%.0f table-rows-per-1000-starts=%.0f\n",
		rp.Options.Entries, rp.Options.Workers, rp.Options.TasksPerJob, rp.Options.TaskMillis, rp.Options.StartsPerSecond, secs, rp.Jobs, rp.Complete, rp.Failed, rp.Refused, rp.Unknown,
		rp.Starts, float64(rp.Starts)/secs, rp.Double,
		float64(rp.Ratio.ValueAtQuantile(50))/ratioScale, float64(rp.Ratio.ValueAtQuantile(95))/ratioScale, float64(rp.Ratio.ValueAtQuantile(99))/ratioScale,
		float64(rp.Admission.ValueAtQuantile(50))/1000, float64(rp.Admission.ValueAtQuantile(99))/1000,
		float64(rp.Table.Commits)/secs, float64(rp.Table.Reads)/secs, rp.Table.Refused, rp.Table.Conflicts,
		float64(rp.Table.Commits)*perThousand, float64(rp.Table.BytesIn)*perThousand, float64(rp.Table.RowsSet)*perThousand)
	return err
}

// Check returns an error that names the first invalid option.
func (opt JobOptions) Check() error {
	for _, row := range []struct {
		name      string
		val       float64
		low, high float64
	}{
		{"starts a second", opt.StartsPerSecond, 1, 50000},
		{"tasks of a job", float64(opt.TasksPerJob), 1, 540},
		{"task milliseconds", float64(opt.TaskMillis), 0, 60000},
		{"duration in seconds", opt.Duration.Seconds(), 1, 600},
		{"entries", float64(opt.Entries), 1, 49},
		{"workers", float64(opt.Workers), 1, 560},
		{"teams", float64(opt.Teams), 1, 40},
	} {
		if row.val < row.low || row.val > row.high {
			return fmt.Errorf("%s %v is outside %v to %v", row.name, row.val, row.low, row.high)
		}
	}
	return nil
}

// RunJobs submits jobs at a steady rate, whether or not earlier ones have been
// answered, and waits for their answers.
func RunJobs(ctx context.Context, opt JobOptions) (*JobReport, error) {
	if err := opt.Check(); err != nil {
		return nil, err
	}
	usr := users["authority"]
	lag := DefaultRequests().VMLag
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Table:         standin.TableOptions{CommitDelay: opt.CommitDelay, WritesPerSecond: opt.WritesPerSecond, ReadsPerSecond: 2000},
		VMLag:         lag,
		Service:       usr.service,
		Zones:         usr.zones,
		Workers:       opt.Workers,
		WorkerCores:   64,
		WorkerMemory:  128 << 10,
		WorkersInRack: 8,
		UsageLag:      time.Second,
	})
	if err != nil {
		return nil, err
	}
	sy := &system{opt: Options{Entries: opt.Entries, VMLag: lag, Settle: DefaultRequests().Settle, Log: opt.Log}, usr: usr, fleet: fleet}
	sy.closers = append(sy.closers, fleet.Close)
	defer sy.close()
	if err := sy.startPresent(); err != nil {
		return nil, err
	}
	jl := &jobLoad{sy: sy, opt: opt, hc: httpClient(), rep: &JobReport{
		Options:   opt,
		Ratio:     hdrhistogram.New(1, 1000*ratioScale, 3),
		Admission: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}}
	jl.run(ctx)
	return jl.rep, nil
}

type jobLoad struct {
	sy  *system
	opt JobOptions
	hc  *http.Client

	mu  sync.Mutex
	rep *JobReport
}

func (jl *jobLoad) run(ctx context.Context) {
	before := jl.sy.fleet.Table.Counts()
	grp := group.New(ctx)
	var wait sync.WaitGroup
	interval := time.Duration(float64(jl.opt.TasksPerJob) / jl.opt.StartsPerSecond * float64(time.Second))
	began := time.Now()
	for i := 0; time.Since(began) < jl.opt.Duration; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		wait.Add(1)
		grp.Go(func(ctx context.Context) {
			defer wait.Done()
			jl.submit(ctx, i)
		})
	}
	stop := time.AfterFunc(drainTimeout, grp.Close)
	wait.Wait()
	stop.Stop()
	grp.Close()
	jl.rep.Elapsed = time.Since(began)
	jl.addCounters(before)
}

func (jl *jobLoad) submit(ctx context.Context, i int) {
	payload, err := json.Marshal(standin.TaskPayload{RunMillis: jl.opt.TaskMillis, Answer: "ok"})
	if err != nil {
		return
	}
	sub := job.Submission{
		ID:    ids.JobID(fmt.Sprintf("bench-%d", i)),
		Team:  ids.TeamID(fmt.Sprintf("team-%d", i%jl.opt.Teams)),
		Tasks: make([]job.TaskSpec, jl.opt.TasksPerJob),
	}
	for k := range sub.Tasks {
		sub.Tasks[k] = job.TaskSpec{Kind: "bench", Payload: payload, Processors: 1, Memory: 128, RunMillis: jl.opt.TaskMillis}
	}
	base := jl.sy.urls[i%len(jl.sy.urls)]
	began := time.Now()
	status, err := jsonhttp.Call[job.Submission, job.Status](ctx, jl.hc, http.MethodPost, base+"/v1/jobs", sub)
	admissionTime := time.Since(began)
	for err == nil && !status.Final() && ctx.Err() == nil {
		status, err = jsonhttp.Call[jsonhttp.None, job.Status](ctx, jl.hc, http.MethodGet, base+"/v1/jobs/"+string(sub.ID)+"?wait=20s", jsonhttp.None{})
	}
	jl.record(status, err, admissionTime, time.Since(began))
}

func (jl *jobLoad) record(status job.Status, err error, admissionTime, took time.Duration) {
	ideal := time.Duration(max(1, jl.opt.TaskMillis)) * time.Millisecond
	jl.mu.Lock()
	defer jl.mu.Unlock()
	jl.rep.Jobs++
	code := jsonhttp.StatusOf(err)
	switch {
	case err == nil && status.State == job.StateComplete:
		jl.rep.Complete++
		_ = jl.rep.Admission.RecordValue(min(admissionTime.Microseconds(), jl.rep.Admission.HighestTrackableValue()))
		_ = jl.rep.Ratio.RecordValue(min(int64(float64(took)/float64(ideal)*ratioScale), jl.rep.Ratio.HighestTrackableValue()))
	case err == nil && status.State == job.StateFailed:
		jl.rep.Failed++
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		jl.rep.Refused++
	default:
		jl.rep.Unknown++
	}
}

func (jl *jobLoad) addCounters(before standin.TableCounts) {
	for _, wk := range jl.sy.fleet.Workers {
		for _, n := range wk.Counts().Starts {
			jl.rep.Starts += int64(n)
			jl.rep.Double += int64(n - 1)
		}
	}
	after := jl.sy.fleet.Table.Counts()
	jl.rep.Table = standin.TableCounts{
		Commits:   after.Commits - before.Commits,
		Conflicts: after.Conflicts - before.Conflicts,
		Reads:     after.Reads - before.Reads,
		Refused:   after.Refused - before.Refused,
		RowsSet:   after.RowsSet - before.RowsSet,
		BytesIn:   after.BytesIn - before.BytesIn,
	}
}
