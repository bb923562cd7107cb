package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// newSubmission returns a submission whose tasks run for the given time.
func newSubmission(id string, tasks, millis int) map[string]any {
	list := make([]map[string]any, tasks)
	for i := range list {
		list[i] = map[string]any{
			"kind": "lens-tilt", "processors": 1, "memory-mb": 64, "run-millis": millis,
			"payload": standin.TaskPayload{RunMillis: int64(millis), Answer: fmt.Sprintf("%s/%d", id, i)},
		}
	}
	return map[string]any{"id": id, "team": "opticians", "tasks": list}
}

func jobPath(id, wait string) string {
	return "/v1/jobs/" + url.PathEscape(id) + "?wait=" + wait
}

// submitUntilFinal resends the submission until its answer is final or the limit
// has passed. The answer has the state, the results and the failures.
func (en *entryProcess) submitUntilFinal(sub map[string]any, limit time.Duration) string {
	var last reply
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		last = en.call(http.MethodPost, "/v1/jobs?wait=2s", sub, nil)
		if last.err == nil && last.status == http.StatusOK {
			return last.body
		}
	}
	return fmt.Sprintf("no answer from %s: status %d %s %v", en.id, last.status, last.body, last.err)
}

// submitToAll sends the submission to all entries concurrently and returns
// their answers.
func submitToAll(entries []*entryProcess, sub map[string]any, limit time.Duration) []string {
	out := make([]string, len(entries))
	inParallel(len(entries), func(i int) { out[i] = entries[i].submitUntilFinal(sub, limit) })
	return out
}

// inParallel runs fn(0) to fn(n-1) concurrently and waits for all of them.
func inParallel(n int, fn func(i int)) {
	grp := group.New(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		grp.Go(func(context.Context) {
			defer wg.Done()
			defer GinkgoRecover()
			fn(i)
		})
	}
	wg.Wait()
	grp.Close()
}

// starts counts the starts of the tasks whose ids have the prefix.
func (cl *cluster) starts(prefix string) int {
	n := 0
	for _, wk := range cl.fleet.Workers {
		for id, count := range wk.Counts().Starts {
			if strings.HasPrefix(string(id), prefix) {
				n += count
			}
		}
	}
	return n
}

// expectNoSecondStart checks that no task was started more than once.
func (cl *cluster) expectNoSecondStart() {
	total := map[string]int{}
	for _, wk := range cl.fleet.Workers {
		for id, count := range wk.Counts().Starts {
			total[string(id)] += count
		}
	}
	for id, count := range total {
		Expect(count).To(Equal(1), "starts of %s", id)
	}
}

// hasRow returns a function that reports whether a row of the table whose key
// has the prefix contains the text.
func (cl *cluster) hasRow(prefix, text string) func() bool {
	return func() bool {
		for _, row := range cl.fleet.Table.Rows(prefix) {
			if strings.Contains(string(row.Value), text) {
				return true
			}
		}
		return false
	}
}

func zonesFor(n int) []ids.AvailabilityZone {
	zones := threeZones()
	for len(zones) < n {
		zones = append(zones, zones...)
	}
	return zones[:n]
}

// startJobCluster starts a cluster and waits until every entry counts all
// entries as live.
func startJobCluster(entries int, proxyWorkers bool) *cluster {
	opt := clusterOptions{fleet: defaultFleet(), zones: zonesFor(entries), proxyWorkers: proxyWorkers}
	opt.fleet.VMLag = 0 // the first list that an entry reads has the proxies
	cl := startCluster(opt)
	for _, en := range cl.entries {
		Eventually(func() int64 { return en.counter("job_entries_live") }, "5s", "20ms").Should(Equal(int64(entries)))
	}
	return cl
}

var _ = Describe("jobs", func() {
	// Guards against a lost job, a second start, or different answers when the
	// owner is killed: before and after the commit of the admission, before and
	// after the send, and before the answer.
	It("survive kill -9 of the owner at each step", func() {
		cl := startJobCluster(7, true)
		owners, others := cl.entries[:5], cl.entries[5:]
		background := group.New(context.Background())
		submit := func(en *entryProcess, sub map[string]any) {
			background.Go(func(context.Context) { en.call(http.MethodPost, "/v1/jobs", sub, nil) })
		}
		jobs := []map[string]any{
			newSubmission("before-commit", 2, 20), newSubmission("after-commit", 2, 20), newSubmission("after-send", 2, 4000),
			newSubmission("before-answer", 2, 20), newSubmission("before-send", 2, 20),
		}
		owners[0].table.SetFaults(faultproxy.Faults{DropRequests: true})
		owners[1].table.SetFaults(faultproxy.Faults{DropReplies: true})
		for i := range 4 {
			submit(owners[i], jobs[i])
		}
		Eventually(cl.hasRow("log/", `"after-commit"`), "5s", "5ms").Should(BeTrue())
		Eventually(func() int { return cl.starts("after-send") }, "5s", "5ms").Should(Equal(2))
		Eventually(cl.hasRow("job/before-answer", `"complete"`), "5s", "5ms").Should(BeTrue())
		for _, px := range cl.workerProxies {
			px.SetFaults(faultproxy.Faults{DropRequests: true})
		}
		submit(owners[4], jobs[4])
		Eventually(cl.hasRow("log/", `"intents":[{"job":"before-send"`), "5s", "5ms").Should(BeTrue())
		for _, en := range owners {
			en.kill()
		}
		background.Close()
		for _, px := range cl.workerProxies {
			px.SetFaults(faultproxy.Faults{})
		}
		got := make([][]string, len(jobs))
		took := make([]string, len(jobs))
		killed := time.Now()
		inParallel(len(jobs), func(i int) {
			got[i] = submitToAll(others, jobs[i], 15*time.Second)
			took[i] = fmt.Sprintf("%s %s", jobs[i]["id"], time.Since(killed).Round(time.Millisecond))
		})
		AddReportEntry("from kill -9 to the answer", strings.Join(took, ", "))
		for i, sub := range jobs {
			want := `"state":"complete"`
			if sub["id"] == "before-send" {
				want = `"state":"failed"`
			}
			Expect(got[i][0]).To(ContainSubstring(want), "%s", sub["id"])
			Expect(got[i][1]).To(Equal(got[i][0]), "%s", sub["id"])
		}
		cl.expectNoSecondStart()
	})

	// Guards against an owner that is paused until others have taken over its
	// jobs and continues these jobs when it resumes.
	It("have one answer when the owner is stopped by SIGSTOP and resumed", func() {
		cl := startJobCluster(3, false)
		owner, others := cl.entries[0], cl.entries[1:]
		sub := newSubmission("paused", 4, 500)
		Expect(owner.call(http.MethodPost, "/v1/jobs", sub, nil).status).To(Equal(http.StatusAccepted))
		Eventually(func() int { return cl.starts("paused") }, "5s", "5ms").Should(Equal(4))
		owner.signal(syscall.SIGSTOP)
		got := submitToAll(others, sub, 12*time.Second)
		Expect(got[0]).To(ContainSubstring(`"state":"complete"`))
		owner.signal(syscall.SIGCONT)
		Expect(owner.submitUntilFinal(sub, 10*time.Second)).To(Equal(got[0]))
		Expect(owner.submitUntilFinal(newSubmission("next", 1, 10), 10*time.Second)).To(ContainSubstring(`"state":"complete"`))
		Expect(got[1]).To(Equal(got[0]))
		cl.expectNoSecondStart()
	})

	// Guards against second starts and different answers when callers send the
	// same submissions to every entry at the same time, while replies of the
	// table are lost and the table is down in the middle of the burst. Guards
	// also against an outage that stops jobs under issued ids.
	It("have one answer through lost replies and an outage in a burst", func() {
		cl := startJobCluster(3, false)
		var issued struct {
			ID string `json:"id"`
		}
		Expect(json.Unmarshal([]byte(cl.entries[0].call(http.MethodPost, "/v1/job-ids", nil, nil).body), &issued)).To(Succeed())
		cl.fleet.Table.SetFaults(standin.TableFaults{DropReplies: 0.3})
		const jobs = 30
		background := group.New(context.Background())
		got := make([][]string, jobs)
		done := make(chan struct{})
		background.Go(func(context.Context) {
			defer close(done)
			defer GinkgoRecover()
			inParallel(jobs, func(i int) {
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				got[i] = submitToAll(cl.entries, newSubmission(fmt.Sprintf("burst-%d", i), 3, 20), 20*time.Second)
			})
		})
		time.Sleep(500 * time.Millisecond)
		cl.fleet.Table.SetFaults(standin.TableFaults{Outage: true})
		duringOutage := cl.entries[0].submitUntilFinal(newSubmission(issued.ID, 2, 20), 2500*time.Millisecond)
		Expect(duringOutage).To(ContainSubstring(`"state":"complete"`), "an issued id in the outage")
		refused := cl.entries[0].call(http.MethodPost, "/v1/jobs", newSubmission("in-outage", 1, 10), nil)
		Expect(refused.outcome).To(Equal("refused-did-not-run"))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(cl.starts("in-outage")).To(BeZero())
		cl.fleet.Table.SetFaults(standin.TableFaults{})
		Eventually(done, "25s").Should(BeClosed())
		background.Close()
		for i := range jobs {
			Expect(got[i][0]).To(ContainSubstring(`"state":"complete"`))
			Expect(got[i]).To(HaveEach(got[i][0]))
		}
		Expect(submitToAll(cl.entries, newSubmission(issued.ID, 2, 20), 10*time.Second)).To(HaveEach(duringOutage))
		cl.expectNoSecondStart()
	})

	// Guards against a job that hangs, or runs a task again, when a worker dies
	// while it runs tasks of the job, and against a failure that does not name
	// the task.
	It("fail with the task and the reason when a worker dies", func() {
		cl := startJobCluster(3, false)
		sub := newSubmission("worker-death", 6, 2000)
		Expect(cl.entries[0].call(http.MethodPost, "/v1/jobs", sub, nil).status).To(Equal(http.StatusAccepted))
		Eventually(func() int { return cl.starts("worker-death") }, "5s", "5ms").Should(Equal(6))
		for i, wk := range cl.fleet.Workers {
			if len(wk.Counts().Starts) > 0 {
				cl.fleet.WorkerServers[i].Close()
				break
			}
		}
		got := submitToAll(cl.entries, sub, 15*time.Second)
		Expect(got[0]).To(ContainSubstring(`"state":"failed"`))
		Expect(got[0]).To(ContainSubstring(`"failures":[{"task":`))
		Expect(got).To(HaveEach(got[0]))
		cl.expectNoSecondStart()
	})

	// Guards against cancellations that are lost at an entry that is not the
	// owner, that change an answer, or that leave tasks running.
	It("are cancelled in bulk through any entry", func() {
		cl := startJobCluster(3, false)
		const jobs = 30
		id := func(i int) string { return fmt.Sprintf("wave-%d", i) }
		inParallel(jobs, func(i int) {
			cl.entries[0].call(http.MethodPost, "/v1/jobs", newSubmission(id(i), 2, 20000), nil)
		})
		// A worker that has not finished a task yet is given only a few tasks, so
		// some of the jobs wait.
		Eventually(func() int { return cl.starts("wave") }, "5s", "5ms").Should(BeNumerically(">=", 20))
		got := make([]reply, jobs)
		inParallel(jobs, func(i int) { got[i] = cl.entries[i%3].call(http.MethodDelete, jobPath(id(i), "0s"), nil, nil) })
		for i := range jobs {
			Expect(got[i].body).To(ContainSubstring(`"reason":"cancelled"`))
			Expect(cl.entries[(i+1)%3].call(http.MethodGet, jobPath(id(i), "0s"), nil, nil).body).To(Equal(got[i].body))
		}
		stopped := func() int64 {
			n := int64(0)
			for _, wk := range cl.fleet.Workers {
				n += wk.Counts().Stopped
			}
			return n
		}
		Eventually(func() int64 { return int64(cl.starts("wave")) - stopped() }, "5s", "20ms").Should(BeZero(), "tasks still running")
		started := cl.starts("wave")
		Consistently(func() int { return cl.starts("wave") }, "300ms", "50ms").Should(Equal(started), "starts of cancelled jobs")
		done := newSubmission("done", 1, 10)
		Expect(cl.entries[0].submitUntilFinal(done, 5*time.Second)).To(ContainSubstring(`"complete"`))
		_, err := command("job", "cancel", "-entry", "http://"+cl.entries[1].callers, "-id", "done")
		Expect(err).To(MatchError(ContainSubstring("decided as complete")))
	})

	// Guards against a graceful shutdown of the owner that makes jobs fail whose
	// tasks are running, are about to be sent, or run longer than the shutdown
	// waits.
	It("complete when their owner is drained in the middle of a burst", func() {
		cl := startJobCluster(3, false)
		owner, others := cl.entries[0], cl.entries[1:]
		const jobs = 60
		id := func(i int) string { return fmt.Sprintf("drained-%d", i) }
		background := group.New(context.Background())
		background.Go(func(context.Context) {
			for i := range jobs {
				millis := 20
				if i%10 == 0 {
					millis = 8000
				}
				owner.call(http.MethodPost, "/v1/jobs", newSubmission(id(i), 3, millis), nil)
			}
		})
		Eventually(func() int { return cl.starts(id(jobs / 2)) }, "10s", "5ms").Should(BeNumerically(">", 0))
		owner.signal(syscall.SIGTERM)
		Eventually(owner.done, "20s").Should(BeClosed())
		background.Close()
		for i := range jobs {
			rep := others[i%2].call(http.MethodGet, jobPath(id(i), "10s"), nil, nil)
			if rep.status == http.StatusNotFound {
				continue // not submitted before the owner left
			}
			Expect(rep.body).To(ContainSubstring(`"state":"complete"`), "%s", id(i))
		}
		cl.expectNoSecondStart()
	})
})
