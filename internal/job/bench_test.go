package job

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// publishAlive publishes a membership with the given number of entries, among
// which the write budget is divided.
func (no *node) publishAlive(entries int) {
	alive := map[ids.EntryID]blackboard.Member{}
	for i := range entries - 1 {
		alive[ids.EntryID(fmt.Sprintf("peer-%d", i))] = blackboard.Member{}
	}
	no.members.Publish(&blackboard.Members{Alive: alive})
}

func benchJob(id string, tasks int) Submission {
	sub := submission(id, tasks)
	sub.Team = "opticians"
	for i := range sub.Tasks {
		sub.Tasks[i] = TaskSpec{
			Kind: "lens-tilt", Processors: 1, Memory: 256, RunMillis: 200,
			Payload: json.RawMessage(`{"frame":"r-1204","side":"left","bend-degrees":4}`),
		}
	}
	return sub
}

func reportDelays(b *testing.B, name string, delays []time.Duration) {
	slices.Sort(delays)
	for _, row := range []struct {
		unit  string
		share float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		at := delays[int(row.share*float64(len(delays)-1))]
		b.ReportMetric(float64(at.Microseconds())/1000, name+"-"+row.unit+"-ms")
	}
}

// BenchmarkStarts measures the task starts per second of entries under a constant
// backlog of callers, and the load on the table. It runs one entry with the whole
// write budget, one with its share among seven, and all seven on one table that
// refuses more than 300 writes per second. b.N counts starts. The table stand-in,
// the workers and the entries share the process.
func BenchmarkStarts(b *testing.B) {
	for _, size := range []struct {
		nodes, entries int
		combined       bool
	}{{1, 1, false}, {1, 7, false}, {7, 7, false}, {7, 7, true}} {
		for _, tasks := range []int{1, 10, 100, 540} {
			b.Run(fmt.Sprintf("nodes=%d/entries=%d/combined=%t/tasks=%d", size.nodes, size.entries, size.combined, tasks), func(b *testing.B) {
				cl := buildCluster(size.nodes, standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 300})
				if size.combined {
					cl.connect()
				} else {
					for _, no := range cl.nodes {
						no.publishAlive(size.entries)
					}
				}
				cl.start()
				defer cl.close()
				jobs := max(1, b.N/tasks)
				callers := min(jobs, max(16, 4000/tasks))
				delays := make([]time.Duration, jobs)
				var next, failed atomic.Int64
				var lastErr atomic.Value
				var wg sync.WaitGroup
				grp := group.New(context.Background())
				before := cl.tb.Counts()
				b.ResetTimer()
				for range callers {
					wg.Add(1)
					grp.Go(func(ctx context.Context) {
						defer wg.Done()
						for i := next.Add(1) - 1; i < int64(jobs); i = next.Add(1) - 1 {
							id := fmt.Sprintf("7f9c24e5-0000-4000-8000-%012d", i)
							no := cl.nodes[int(i)%size.nodes]
							began := time.Now()
							_, err := no.mg.Submit(ctx, benchJob(id, tasks))
							delays[i] = time.Since(began)
							status, waitErr := no.mg.Wait(ctx, ids.JobID(id), time.Minute)
							if err != nil || waitErr != nil || status.State != StateComplete {
								failed.Add(1)
								lastErr.Store(fmt.Sprint(status.State, err, waitErr))
							}
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				if failed.Load() > 0 {
					b.Errorf("%d jobs have no complete answer, the last one: %v", failed.Load(), lastErr.Load())
				}
				grp.Close()
				after := cl.tb.Counts()
				starts := float64(jobs * tasks)
				b.ReportMetric(starts/b.Elapsed().Seconds(), "starts/s")
				b.ReportMetric(float64(after.Commits-before.Commits)/b.Elapsed().Seconds(), "writes/s")
				b.ReportMetric(1000*float64(after.Commits-before.Commits)/starts, "writes/1000")
				b.ReportMetric(1000*float64(after.BytesIn-before.BytesIn)/starts, "bytes/1000")
				b.ReportMetric(float64(after.Reads-before.Reads)/starts*1000, "reads/1000")
				b.ReportMetric(float64(after.Refused-before.Refused), "refused")
				reportDelays(b, "admit", delays)
			})
		}
	}
}

// BenchmarkAdmission measures the delay of an admission under an open-loop load
// of small jobs at each entry, by the number of entries that share the write
// budget. For negative numbers one entry commits directly at its own rate; for
// positive ones the commits of all entries are combined. A commit takes 5 ms.
func BenchmarkAdmission(b *testing.B) {
	for _, load := range []int{50, 500} {
		for _, entries := range []int{-1, -2, -3, -7, 3, 7} {
			name := fmt.Sprintf("combined/jobs-a-second=%d/entries=%d", load, entries)
			if entries < 0 {
				name = fmt.Sprintf("paced/jobs-a-second=%d/entries=%d", load, -entries)
			}
			b.Run(name, func(b *testing.B) {
				cl := buildCluster(abs(entries), standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 300})
				if entries > 1 {
					cl.connect()
				} else {
					cl.nodes = cl.nodes[:1]
					cl.nodes[0].publishAlive(abs(entries))
				}
				cl.start()
				defer cl.close()
				delays := make([]time.Duration, b.N)
				var wg sync.WaitGroup
				grp := group.New(context.Background())
				for i := range b.N {
					wg.Add(1)
					grp.Go(func(ctx context.Context) {
						defer wg.Done()
						began := time.Now()
						no := cl.nodes[i%len(cl.nodes)]
						if _, err := no.mg.Submit(ctx, benchJob(fmt.Sprintf("job-%d", i), 4)); err != nil {
							b.Error(err)
						}
						delays[i] = time.Since(began)
					})
					time.Sleep(time.Duration(rand.ExpFloat64() / float64(load*len(cl.nodes)) * float64(time.Second)))
				}
				wg.Wait()
				grp.Close()
				reportDelays(b, "admit", delays)
			})
		}
	}
}

func abs(n int) int { return max(n, -n) }

// BenchmarkTakeover measures the time from the report that an entry has ended to
// the adoption of all its 500 jobs of 4 running tasks each.
func BenchmarkTakeover(b *testing.B) {
	const jobs = 500
	var total time.Duration
	for range b.N {
		cl := buildCluster(2, standin.TableOptions{CommitDelay: 5 * time.Millisecond}).start()
		owner, other := cl.nodes[0], cl.nodes[1]
		cl.fw.hold = true
		grp := group.New(context.Background())
		var wg sync.WaitGroup
		for i := range jobs {
			wg.Add(1)
			grp.Go(func(ctx context.Context) {
				defer wg.Done()
				_, _ = owner.mg.Submit(ctx, benchJob(fmt.Sprintf("job-%d", i), 4))
			})
		}
		wg.Wait()
		for len(cl.tb.Rows("log/")) == 0 || cl.totalStarts() < 4*jobs {
			time.Sleep(time.Millisecond)
		}
		owner.tableLink.freeze()
		began := time.Now()
		other.publishGone(owner)
		for other.mg.opt.Counters.Value("job", "adopted") < jobs {
			time.Sleep(time.Millisecond)
		}
		total += time.Since(began)
		grp.Close()
		cl.close()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/takeover")
}

func (cl *cluster) totalStarts() int {
	cl.fw.mu.Lock()
	defer cl.fw.mu.Unlock()
	return len(cl.fw.starts)
}
