package job

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "40") // each check waits for real commits
	}
	os.Exit(m.Run())
}

// background runs calls that a test does not wait for.
func background(t testing.TB, fn func(ctx context.Context)) {
	grp := group.New(context.Background())
	grp.Go(fn)
	t.Cleanup(grp.Close)
}

// TestOwnerEndsAtEachStep guards against second starts, lost jobs and differing
// answers when the owner stops between any two steps of a job, is replaced, and
// comes back.
func TestOwnerEndsAtEachStep(t *testing.T) {
	for _, row := range []struct {
		step     string
		freezeAt int // commit after which the table link of the owner freezes
		sends    bool
		hold     bool
		state    State
		starts   int
	}{
		{"after the admission", 1, false, false, StateComplete, 1},
		{"after the intent", 2, false, false, StateFailed, 0},
		{"before the send", 0, true, false, StateFailed, 0},
		{"while the task runs", 0, false, true, StateComplete, 1},
		{"after the decision", 3, false, false, StateComplete, 1},
	} {
		t.Run(row.step, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			cl := newCluster(t, 2, standin.TableOptions{})
			owner, other := cl.nodes[0], cl.nodes[1]
			owner.tableLink.freezeAt = row.freezeAt
			cl.fw.hold = row.hold
			if row.sends {
				owner.sendLink.freeze()
			}
			background(t, func(ctx context.Context) { _, _ = owner.mg.Submit(ctx, submission("job", 1)) })
			reached := func() bool {
				owner.tableLink.mu.Lock()
				defer owner.tableLink.mu.Unlock()
				switch {
				case row.freezeAt > 0:
					return owner.tableLink.commits >= row.freezeAt
				case row.sends:
					return owner.tableLink.commits >= 2
				}
				return cl.startsOf("job/0") == 1
			}
			gm.Eventually(reached, "5s", "1ms").Should(BeTrue())
			owner.tableLink.freeze()
			other.publishGone(owner)
			gm.Eventually(func() int64 { return other.mg.opt.Counters.Value("job", "takeovers") }, "5s", "5ms").Should(Equal(int64(1)))
			cl.fw.finishAll()
			status, err := other.mg.Wait(context.Background(), "job", 5*time.Second)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(status.State).To(Equal(row.state))
			owner.tableLink.thaw()
			owner.sendLink.thaw()
			for _, no := range cl.nodes {
				gm.Eventually(func() (Status, error) { return no.mg.Submit(context.Background(), submission("job", 1)) }, "5s", "20ms").Should(Equal(status))
			}
			gm.Expect(cl.checkStarts()).To(Succeed())
			if row.starts > 0 {
				gm.Expect(cl.startsOf("job/0")).To(Equal(row.starts))
			}
		})
	}
}

// TestResubmitBeforeAdmission guards against a job that runs twice because its
// caller submitted it to another entry before the commit of the first one
// arrived.
func TestResubmitBeforeAdmission(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 2, standin.TableOptions{})
	owner, other := cl.nodes[0], cl.nodes[1]
	owner.tableLink.freeze()
	background(t, func(ctx context.Context) { _, _ = owner.mg.Submit(ctx, submission("job", 3)) })
	_, err := other.mg.Submit(context.Background(), submission("job", 3))
	gm.Expect(err).NotTo(HaveOccurred())
	owner.tableLink.thaw()
	for _, no := range cl.nodes {
		gm.Eventually(func() State {
			status, _ := no.mg.Wait(context.Background(), "job", 5*time.Second)
			return status.State
		}, "5s").Should(Equal(StateComplete))
	}
	gm.Expect(cl.checkStarts()).To(Succeed())
}

// TestPausedOwnerFenced guards against an owner that continues after it was
// replaced. It must drop its jobs, including decisions that are not committed,
// and admit new ones under another session.
func TestPausedOwnerFenced(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 2, standin.TableOptions{})
	owner, other := cl.nodes[0], cl.nodes[1]
	cl.fw.hold = true
	first := owner.mg.session().inc
	_, err := owner.mg.Submit(context.Background(), submission("job", 2))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Eventually(func() int { return cl.startsOf("job/1") }, "5s", "1ms").Should(Equal(1))
	owner.tableLink.freeze()
	owner.mg.Lost("job/0", "the worker does not answer") // the commit of this decision fails at the fence
	answer := make(chan Status, 1)
	background(t, func(ctx context.Context) {
		status, _ := owner.mg.Wait(ctx, "job", 5*time.Second)
		answer <- status
	})
	other.publishGone(owner)
	gm.Eventually(func() int64 { return other.mg.opt.Counters.Value("job", "takeovers") }, "5s", "5ms").Should(Equal(int64(1)))
	owner.tableLink.thaw()
	_, err = owner.mg.Submit(context.Background(), submission("next", 1))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(owner.mg.session().inc).NotTo(Equal(first))
	cl.fw.finishAll()
	for _, id := range []ids.JobID{"job", "next"} {
		status, err := owner.mg.Wait(context.Background(), id, 5*time.Second)
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(status.State).To(Equal(StateComplete), "job %s", id)
	}
	gm.Expect((<-answer).State).To(Equal(StateComplete), "the answer to a caller that waited at the paused owner")
	gm.Expect(cl.checkStarts()).To(Succeed())
}

// TestConcurrentTakeovers guards against two entries that adopt one job.
func TestConcurrentTakeovers(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 3, standin.TableOptions{CommitDelay: 2 * time.Millisecond})
	owner := cl.nodes[0]
	owner.tableLink.freezeAt = 1
	cl.fw.hold = true
	inc := owner.mg.session().inc
	background(t, func(ctx context.Context) { _, _ = owner.mg.Submit(ctx, submission("job", 20)) })
	gm.Eventually(func() int { return len(cl.tb.Rows("job/")) }, "5s", "1ms").Should(Equal(1))
	// Neither sees the other as alive, so both continue after one inserts the
	// fence.
	var wg sync.WaitGroup
	for _, no := range cl.nodes[1:] {
		wg.Add(1)
		background(t, func(ctx context.Context) {
			defer wg.Done()
			no.mg.takeOver(ctx, no.mg.session(), inc)
		})
	}
	wg.Wait()
	cl.fw.finishAll()
	gm.Eventually(func() (State, error) {
		status, err := cl.nodes[1].mg.Wait(context.Background(), "job", time.Second)
		return status.State, err
	}, "5s").Should(Equal(StateComplete))
	gm.Expect(cl.checkStarts()).To(Succeed())
}

// TestOutage guards against a refused job that runs, an issued id that does not
// work while the table is down, and an answer that changes when the table is
// available again.
func TestOutage(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 2, standin.TableOptions{})
	ctx := context.Background()
	no := cl.nodes[0]
	issued := no.mg.IssueID()
	cl.tb.SetFaults(standin.TableFaults{Outage: true})
	_, err := no.mg.Submit(ctx, submission("chosen", 1))
	gm.Expect(outcome.From(err).Outcome).To(Equal(outcome.RefusedDidNotRun))
	gm.Expect(outcome.From(err).RetryAfter).To(BeNumerically(">", 0))
	_, err = no.mg.Submit(ctx, submission(string(issued), 2))
	gm.Expect(err).NotTo(HaveOccurred())
	_, err = cl.nodes[1].mg.Submit(ctx, submission(string(issued), 2))
	gm.Expect(outcome.From(err).Outcome).To(Equal(outcome.Unknown), "only the issuer answers")
	status, err := no.mg.Wait(ctx, issued, 5*time.Second)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(status.State).To(Equal(StateComplete))
	cl.tb.SetFaults(standin.TableFaults{})
	gm.Eventually(func() (Status, error) { return cl.nodes[1].mg.Get(ctx, issued) }, "5s", "20ms").Should(Equal(status))
	gm.Expect(cl.startsOf("chosen/0")).To(BeZero())
	gm.Expect(cl.checkStarts()).To(Succeed())
}

// TestIssuerGone guards against a job under an issued id that another entry
// starts, or that stays without an answer, after its issuer has ended.
func TestIssuerGone(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 2, standin.TableOptions{})
	issuer, other := cl.nodes[0], cl.nodes[1]
	issued := issuer.mg.IssueID()
	issuer.tableLink.freeze()
	other.publishGone(issuer)
	status, err := other.mg.Submit(context.Background(), submission(string(issued), 1))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(status.State).To(Equal(StateFailed))
	gm.Expect(cl.startsOf(taskID(issued, 0))).To(BeZero())
}

// TestCancellations guards against a burst of cancellations that costs one write
// each, changes an answer, or leaves tasks running.
func TestCancellations(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 1, standin.TableOptions{CommitDelay: 5 * time.Millisecond})
	no := cl.nodes[0]
	cl.fw.hold = true
	const jobs = 100
	grp := group.New(context.Background())
	var wg sync.WaitGroup
	each := func(fn func(ctx context.Context, id string)) {
		for i := range jobs {
			wg.Add(1)
			grp.Go(func(ctx context.Context) {
				defer wg.Done()
				fn(ctx, fmt.Sprintf("job-%d", i))
			})
		}
		wg.Wait()
	}
	each(func(ctx context.Context, id string) { _, _ = no.mg.Submit(ctx, submission(id, 2)) })
	gm.Eventually(func() int {
		cl.fw.mu.Lock()
		defer cl.fw.mu.Unlock()
		return len(cl.fw.starts)
	}, "5s", "1ms").Should(Equal(2 * jobs))
	cl.fw.finish("job-0/0", worker.StateDone)
	cl.fw.finish("job-0/1", worker.StateDone)
	before := cl.tb.Counts().Commits
	var mu sync.Mutex
	got := map[string]Status{}
	each(func(ctx context.Context, id string) {
		status, err := no.mg.Cancel(ctx, ids.JobID(id))
		mu.Lock()
		defer mu.Unlock()
		got[id] = status
		if err != nil {
			t.Errorf("cancel %s: %v", id, err)
		}
	})
	gm.Expect(got["job-0"].State).To(Equal(StateComplete), "completion came first")
	gm.Expect(cl.tb.Counts().Commits - before).To(BeNumerically("<", jobs/4))
	each(func(ctx context.Context, id string) {
		status, err := no.mg.Get(ctx, ids.JobID(id))
		if err != nil || status.State != got[id].State || status.Reason != got[id].Reason {
			t.Errorf("%s: the cancellation returned %v, a later read %v (%v)", id, got[id], status, err)
		}
	})
	grp.Close()
	cl.fw.mu.Lock()
	defer cl.fw.mu.Unlock()
	for id, state := range cl.fw.state {
		gm.Expect(state).NotTo(Equal(worker.StateRunning), "task %s", id)
	}
}

// TestLargeResults guards against rows that grow with the results, and against
// answers without a result that was put into the object store.
func TestLargeResults(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 2, standin.TableOptions{})
	cl.fw.answer = func(id worker.TaskID) string { return strings.Repeat("x", 5000) + string(id) }
	_, err := cl.nodes[0].mg.Submit(context.Background(), submission("job", 30))
	gm.Expect(err).NotTo(HaveOccurred())
	for _, no := range cl.nodes {
		status, err := no.mg.Wait(context.Background(), "job", 5*time.Second)
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(status.Results).To(HaveLen(30))
		for i, raw := range status.Results {
			gm.Expect(string(raw)).To(HaveSuffix(fmt.Sprintf("xjob/%d\"", i)))
		}
	}
	gm.Expect(len(cl.tb.Rows("job/")[0].Value)).To(BeNumerically("<", maxInlineTotalBytes+4096))
}

// ownership runs a random sequence of submissions, pauses, lost replies,
// cancellations and takeovers. It then checks that each job has exactly one final
// answer and that no task was started twice.
func ownership(rt *rapid.T, seedFault bool) error {
	cl := buildCluster(3, standin.TableOptions{}).start()
	defer cl.close()
	ctx := context.Background()
	var wg sync.WaitGroup
	grp := group.New(ctx)
	defer grp.Close()
	async := func(fn func(ctx context.Context)) {
		wg.Add(1)
		grp.Go(func(ctx context.Context) {
			defer wg.Done()
			fn(ctx)
		})
	}
	var mu sync.Mutex
	answers := map[ids.JobID]Status{}
	var mismatches error
	recordAnswer := func(id ids.JobID, status Status, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil || !status.Final() {
			return
		}
		if old, ok := answers[id]; ok && (old.State != status.State || old.Reason != status.Reason) {
			mismatches = errors.Join(mismatches, fmt.Errorf("job %s is %s (%s) and %s (%s)", id, old.State, old.Reason, status.State, status.Reason))
		}
		answers[id] = status
	}
	for _, no := range cl.nodes {
		no.tableLink.ignoreFence = seedFault
	}
	jobs := []ids.JobID{"a", "b"}
	for range rapid.IntRange(2, 14).Draw(rt, "steps") {
		no := cl.nodes[rapid.IntRange(0, 2).Draw(rt, "entry")]
		id := jobs[rapid.IntRange(0, 1).Draw(rt, "job")]
		switch rapid.SampledFrom([]string{"submit", "submit", "freeze-at", "thaw", "lose", "take-over", "take-over", "cancel", "wait"}).Draw(rt, "step") {
		case "submit":
			async(func(ctx context.Context) {
				status, err := no.mg.Submit(ctx, submission(string(id), 2))
				recordAnswer(id, status, err)
			})
		case "freeze-at":
			no.tableLink.mu.Lock()
			no.tableLink.freezeAt = no.tableLink.commits + rapid.IntRange(1, 3).Draw(rt, "commit")
			no.tableLink.mu.Unlock()
		case "thaw":
			no.tableLink.thaw()
		case "lose":
			no.tableLink.mu.Lock()
			no.tableLink.loseReplies = 1
			no.tableLink.mu.Unlock()
		case "take-over":
			victim := cl.nodes[rapid.IntRange(0, 2).Draw(rt, "victim")]
			if victim != no {
				inc := victim.mg.session().inc
				async(func(ctx context.Context) { no.mg.takeOver(ctx, no.mg.session(), inc) })
			}
		case "cancel":
			async(func(ctx context.Context) {
				status, err := no.mg.Cancel(ctx, id)
				recordAnswer(id, status, err)
			})
		case "wait":
			time.Sleep(time.Duration(rapid.IntRange(1, 8).Draw(rt, "millis")) * time.Millisecond)
		}
	}
	time.Sleep(10 * time.Millisecond)
	for _, no := range cl.nodes {
		no.tableLink.thaw()
	}
	wg.Wait()
	for _, id := range jobs {
		for _, no := range cl.nodes {
			// Each resubmission must return the same final answer. A job whose
			// owner was fenced stays undecided until an entry takes it over.
			for began := time.Now(); ; {
				status, err := no.mg.Submit(ctx, submission(string(id), 2))
				if err == nil && !status.Final() {
					status, err = no.mg.Wait(ctx, id, 20*time.Millisecond)
				}
				recordAnswer(id, status, err)
				if err == nil && status.Final() {
					break
				}
				if time.Since(began) > 5*time.Second {
					return fmt.Errorf("job %s has no answer at %s: %v %w", id, no.mg.session().inc, status, err)
				}
				cl.takeOverEnded(ctx)
			}
		}
	}
	return errors.Join(mismatches, cl.checkStarts())
}

// takeOverEnded lets one entry take over every session that has ended.
func (cl *cluster) takeOverEnded(ctx context.Context) {
	live := map[ids.Incarnation]bool{}
	for _, no := range cl.nodes {
		live[no.mg.session().inc] = true
	}
	owners, _ := cl.nodes[0].mg.logOwners(ctx)
	for inc := range owners {
		if !live[inc] {
			cl.nodes[0].mg.takeOver(ctx, cl.nodes[0].mg.session(), inc)
		}
	}
}

// TestRandomOwnership guards against a sequence of pauses, lost replies and
// takeovers that starts a task twice, loses a job, or gives two answers.
func TestRandomOwnership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := ownership(rt, false); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestRandomOwnershipFindsMissingFence guards against random runs that cannot
// detect a fault: they must find that entries ignore fences.
func TestRandomOwnershipFindsMissingFence(t *testing.T) {
	for seed := range 200 {
		example := rapid.Custom(func(rt *rapid.T) bool { return ownership(rt, true) != nil })
		if example.Example(seed) {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("200 random runs did not find that fences are ignored")
}

// TestCombinerFrozen guards against entries that cannot commit, or that refuse
// submissions, because the entry that combines their transactions is paused.
func TestCombinerFrozen(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := buildCluster(3, standin.TableOptions{CommitDelay: time.Millisecond})
	cl.connect()
	cl.start()
	t.Cleanup(cl.close)
	for _, no := range cl.nodes {
		if addr, routed := no.mg.store.combiner(); routed && addr == "" {
			no.tableLink.freeze()
		}
	}
	for i, no := range cl.nodes {
		if addr, _ := no.mg.store.combiner(); addr == "" {
			continue
		}
		id := ids.JobID(fmt.Sprintf("job-%d", i))
		_, err := no.mg.Submit(context.Background(), submission(string(id), 2))
		gm.Expect(err).NotTo(HaveOccurred())
		status, err := no.mg.Wait(context.Background(), id, 5*time.Second)
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(status.State).To(Equal(StateComplete))
	}
	gm.Expect(cl.checkStarts()).To(Succeed())
}

// TestRetention guards against rows that are never deleted, against answers
// that are deleted before their time, and against rows that other jobs need.
func TestRetention(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	cl := newCluster(t, 1, standin.TableOptions{})
	no, ctx := cl.nodes[0], context.Background()
	for i := range 20 { // a sweep deletes nothing while fewer than 16 log rows are due
		_, err := no.mg.Submit(ctx, submission(fmt.Sprintf("old-%d", i), 1))
		gm.Expect(err).NotTo(HaveOccurred())
		_, err = no.mg.Wait(ctx, ids.JobID(fmt.Sprintf("old-%d", i)), 5*time.Second)
		gm.Expect(err).NotTo(HaveOccurred())
	}
	cl.fw.hold = true
	_, err := no.mg.Submit(ctx, submission("running", 1))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Eventually(func() int { return cl.startsOf("running/0") }, "5s", "1ms").Should(Equal(1))
	se := no.mg.session()
	age := func(by time.Duration) {
		se.mu.Lock()
		for _, info := range se.logs {
			info.committedAt = info.committedAt.Add(-by)
		}
		se.mu.Unlock()
		se.sweep(ctx)
	}
	age(retention / 2)
	time.Sleep(20 * time.Millisecond)
	gm.Expect(cl.tb.Rows("job/")).To(HaveLen(21), "answers within the retention time")
	age(retention)
	gm.Eventually(func() int { return len(cl.tb.Rows("job/")) }, "5s", "5ms").Should(Equal(1))
	gm.Eventually(func() int { return len(cl.tb.Rows("log/")) }, "5s", "5ms").Should(BeNumerically("<", 16))
	found, err := no.mg.logRows(ctx, se.inc)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(orphans(found)).To(HaveKey(ids.JobID("running")), "the log of the undecided job")
	cl.fw.finishAll()
	status, err := no.mg.Wait(ctx, "running", 5*time.Second)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(status.State).To(Equal(StateComplete))
}
