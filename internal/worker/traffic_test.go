package worker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is one dispatcher with stand-in workers, each optionally behind a proxy.
type rig struct {
	tb      testing.TB
	board   *blackboard.Board
	cnt     *counter.Set
	di      *worker.Dispatcher
	fleet   *standin.Fleet
	proxies []*faultproxy.Proxy
	vms     []ids.VM

	mu       sync.Mutex
	finished map[worker.TaskID]worker.Report
	lost     map[worker.TaskID]string
	ends     int
	places   map[worker.TaskID]worker.Placement
	errs     map[worker.TaskID]error
	started  chan struct{}
}

func newRig(tb testing.TB, workers int) *rig {
	tb.Helper()
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Workers: workers, WorkerCores: 64, WorkerMemory: 128_000, WorkersInRack: 8, Zones: []ids.AvailabilityZone{"zone-0"},
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(fleet.Close)
	rg := &rig{tb: tb, board: &blackboard.Board{}, cnt: counter.New(), fleet: fleet}
	for i, srv := range fleet.WorkerServers {
		rg.vms = append(rg.vms, ids.VM{
			ID: fmt.Sprintf("worker-%d", i), Kind: ids.KindWorker, State: ids.StateLive, Address: srv.Address(),
			AvailabilityZone: "zone-0", Rack: ids.RackID(fmt.Sprintf("rack-%d", i/8)), Processors: 64, Memory: 128_000,
		})
	}
	return rg
}

// proxied puts a proxy in front of each worker.
func (rg *rig) proxied() *rig {
	for i := range rg.vms {
		px, err := faultproxy.New(rg.vms[i].Address)
		if err != nil {
			rg.tb.Fatal(err)
		}
		rg.tb.Cleanup(px.Close)
		rg.proxies = append(rg.proxies, px)
		rg.vms[i].Address = px.Address()
	}
	return rg
}

// run starts a dispatcher for the workers.
func (rg *rig) run() *rig {
	rg.finished, rg.lost = map[worker.TaskID]worker.Report{}, map[worker.TaskID]string{}
	rg.places, rg.errs = map[worker.TaskID]worker.Placement{}, map[worker.TaskID]error{}
	rg.started = make(chan struct{}, 1)
	rg.list(rg.vms)
	rg.di = worker.New(worker.Options{
		Board: rg.board, Counters: rg.cnt, Incarnation: ids.NewIncarnation("entry-0"), Zone: "zone-0", Log: zerolog.Nop(),
	})
	if _, short := rg.tb.(*testing.T); short {
		rg.di.ShortTimeouts()
	}
	rg.di.SetEvents(rg)
	rg.di.Run()
	rg.tb.Cleanup(rg.di.Close)
	return rg
}

func (rg *rig) list(vms []ids.VM) {
	rg.board.VMs.Publish(&blackboard.VMs{Fetched: time.Now(), Workers: vms})
}

func (rg *rig) Finished(rep worker.Report) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.ends++
	rg.finished[rep.ID] = rep
}

func (rg *rig) Lost(task worker.TaskID, reason string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.ends++
	rg.lost[task] = reason
}

func payloadOf(run time.Duration) json.RawMessage {
	raw, _ := json.Marshal(standin.TaskPayload{RunMillis: run.Milliseconds(), Answer: "ok"})
	return raw
}

// submit enqueues n tasks and starts each one once it is assigned. It returns
// when all have been started.
func (rg *rig) submit(prefix string, n int, run, lease time.Duration) {
	const perJob, teams, starters = 100, 40, 64
	type place struct {
		task worker.TaskID
		pl   worker.Placement
	}
	places := make(chan place, n)
	grp := group.New(context.Background())
	for range min(n, starters) {
		grp.Go(func(ctx context.Context) {
			for pc := range places {
				err := rg.di.Start(ctx, pc.pl, worker.Task{ID: pc.task, Kind: "check", Payload: payloadOf(run), LeaseMillis: lease.Milliseconds()})
				rg.mu.Lock()
				rg.places[pc.task], rg.errs[pc.task] = pc.pl, err
				rg.mu.Unlock()
				rg.started <- struct{}{}
			}
		})
	}
	var dms []worker.Demand
	for i := range n {
		dms = append(dms, worker.Demand{
			Task: worker.TaskID(fmt.Sprintf("%s/%d", prefix, i)), Job: ids.JobID(fmt.Sprintf("%s-%d", prefix, i/perJob)), Kind: "check",
			Team: ids.TeamID(fmt.Sprintf("team-%d", i/perJob%teams)), Processors: 1, Memory: 100, RunMillis: run.Milliseconds(),
		})
	}
	rg.di.Enqueue(dms, func(task worker.TaskID, pl worker.Placement) { places <- place{task, pl} })
	for range n {
		select {
		case <-rg.started:
		case <-time.After(5 * time.Second):
			rg.tb.Errorf("%s: a task was not assigned or started", prefix)
		}
	}
	close(places)
	grp.Close()
}

// eventually waits until the given numbers of tasks have finished and have been
// lost.
func (rg *rig) eventually(finished, lost int, within time.Duration) {
	rg.tb.Helper()
	NewWithT(rg.tb).Eventually(func() [2]int {
		rg.mu.Lock()
		defer rg.mu.Unlock()
		return [2]int{len(rg.finished), len(rg.lost)}
	}, within, 10*time.Millisecond).Should(Equal([2]int{finished, lost}))
}

// startsSeen returns how often each task was started, over all workers.
func (rg *rig) startsSeen() map[worker.TaskID]int {
	seen := map[worker.TaskID]int{}
	for _, wk := range rg.fleet.Workers {
		for id, n := range wk.Counts().Starts {
			seen[id] += n
		}
	}
	return seen
}

// TestTasksFinishOnce guards against results that are lost or reported twice,
// and against room that stays reserved.
func TestTasksFinishOnce(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	rg := newRig(t, 4).run()
	rg.submit("job", 100, 30*time.Millisecond, 0)
	rg.eventually(100, 0, 5*time.Second)
	gm.Expect(rg.ends).To(Equal(100))
	gm.Expect(string(rg.finished["job/7"].Result)).To(Equal(`"ok"`))
	gm.Expect(rg.di.RoomInUse()).To(BeZero())
}

// TestLostStartReply guards against a start that the dispatcher or Go's
// transport sends again after its reply was lost on a reused connection.
func TestLostStartReply(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	rg := newRig(t, 1).run()
	rg.submit("before", 20, 10*time.Millisecond, 0)
	rg.eventually(20, 0, 5*time.Second)
	rg.fleet.Workers[0].SetFaults(standin.WorkerFaults{DropStartReplies: true})
	rg.submit("job", 20, 10*time.Millisecond, 0)
	rg.eventually(40, 0, 5*time.Second)
	gm.Expect(rg.errs["job/3"]).To(HaveOccurred())
	gm.Expect(rg.errs["job/3"]).NotTo(MatchError(worker.ErrRefused))
	gm.Expect(rg.cnt.Value("worker", "start-unknown")).To(Equal(int64(20)))
	for id, n := range rg.startsSeen() {
		gm.Expect(n).To(Equal(1), string(id))
	}
}

// TestRefusedStart guards against room that stays reserved after a refusal,
// against a refusal that is reported as unknown although nothing was sent, and
// against further tasks on an unreachable worker.
func TestRefusedStart(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	rg := newRig(t, 1).proxied().run()
	rg.fleet.Workers[0].SetFaults(standin.WorkerFaults{RefuseAll: true})
	rg.submit("refused", 1, time.Millisecond, 0)
	gm.Expect(rg.errs["refused/0"]).To(MatchError(worker.ErrRefused))
	rg.proxies[0].Close()
	rg.submit("unreachable", 2, time.Millisecond, 0)
	gm.Expect(rg.errs["unreachable/1"]).To(MatchError(worker.ErrRefused))
	gm.Expect(rg.cnt.Value("worker", "silent-worker")).To(Equal(int64(1)), "the worker gets no further tasks")
	gm.Expect(rg.di.RoomInUse()).To(BeZero())
	gm.Expect(rg.cnt.Value("worker", "start-refused")).To(Equal(int64(3)))
	gm.Expect(rg.startsSeen()).To(BeEmpty())
}

// TestWithdraw guards against a withdrawn task that keeps its room or starts.
func TestWithdraw(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	rg := newRig(t, 1).run()
	assigned := make(chan worker.Placement, 1)
	rg.di.Enqueue([]worker.Demand{{Task: "job/0", Processors: 1}}, func(_ worker.TaskID, pl worker.Placement) { assigned <- pl })
	pl := <-assigned
	rg.di.Withdraw([]worker.TaskID{"job/0"})
	gm.Expect(rg.di.RoomInUse()).To(BeZero())
	gm.Expect(rg.di.Start(context.Background(), pl, worker.Task{ID: "job/0"})).To(MatchError(worker.ErrNotAssigned))
	gm.Expect(rg.startsSeen()).To(BeEmpty())
}

// TestWorkerGone guards against tasks that hang when their worker dies, freezes
// with its connections open, restarts without them, or leaves the list.
func TestWorkerGone(t *testing.T) {
	for name, fault := range map[string]func(rg *rig){
		"dies":    func(rg *rig) { rg.proxies[0].Close() },
		"freezes": func(rg *rig) { rg.proxies[0].SetFaults(faultproxy.Faults{Freeze: true}) },
		"restarts": func(rg *rig) {
			addr := rg.fleet.WorkerServers[0].Address()
			rg.fleet.WorkerServers[0].Close()
			other := standin.NewWorker(standin.WorkerOptions{Processors: 64})
			srv, err := standin.Serve(addr, other)
			NewWithT(rg.tb).Expect(err).NotTo(HaveOccurred())
			rg.tb.Cleanup(func() { srv.Close(); other.Close() })
		},
		"vanishes": func(rg *rig) { rg.proxies[0].SetFaults(faultproxy.Faults{Cut: true}); rg.list(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rg := newRig(t, 1).proxied().run()
			rg.submit("job", 3, time.Minute, 0)
			time.Sleep(100 * time.Millisecond)
			fault(rg)
			// The longest timeout is 1.5 s of silence; a query may be under way.
			rg.eventually(0, 3, 4*time.Second)
			NewWithT(t).Expect(rg.di.RoomInUse()).To(BeZero())
		})
	}
}

// TestSilentLongPoll guards against results that are delayed until the
// timeout of a long poll whose connection has gone silent while new connections
// work.
func TestSilentLongPoll(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	// On a busy machine the tasks may all have been reported before the
	// connections are frozen. The fault is then injected again on a new rig,
	// because starts on the frozen connections of the old one take longer.
	const rounds = 5
	var rg *rig
	for round := 0; round < rounds && (rg == nil || rg.cnt.Value("worker", "silent-connection") == 0); round++ {
		rg = newRig(t, 1).proxied().run()
		rg.submit("job", 3, 300*time.Millisecond, 0)
		rg.proxies[0].SetFaults(faultproxy.Faults{FreezeExisting: true})
		// Late after three times the declared 300 ms and 250 ms of slack.
		rg.eventually(3, 0, 1900*time.Millisecond)
	}
	gm.Expect(rg.cnt.Value("worker", "silent-connection")).To(BeNumerically(">", 0))
	for _, n := range rg.startsSeen() {
		gm.Expect(n).To(Equal(1))
	}
	// The worker stays in use over new connections.
	rg.submit("next", 3, 10*time.Millisecond, 0)
	rg.eventually(6, 0, 2*time.Second)
}

// TestLeasesRenewed guards against tasks that their worker stops because their
// leases are not renewed, and against one renewal request for each task.
func TestLeasesRenewed(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	rg := newRig(t, 1).run()
	rg.submit("job", 20, 1600*time.Millisecond, 600*time.Millisecond)
	rg.eventually(20, 0, 4*time.Second)
	for _, rep := range rg.finished {
		gm.Expect(rep.State).To(Equal(worker.StateDone))
	}
	gm.Expect(rg.cnt.Value("worker", "lease-batches")).To(BeNumerically("<=", 12))
}

// TestAdoptAndStop guards against tasks of an ended entry that the new owner
// does not track, whose leases it does not renew, or that it cannot stop.
func TestAdoptAndStop(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	first := newRig(t, 1).run()
	first.submit("job", 2, 900*time.Millisecond, 500*time.Millisecond)
	first.submit("endless", 1, time.Minute, 500*time.Millisecond)
	pl := first.places["job/0"]
	first.di.Close()
	second := (&rig{tb: t, board: first.board, cnt: counter.New(), fleet: first.fleet, vms: first.vms}).run()
	second.di.Adopt(pl, []worker.TaskID{"job/0", "job/1", "endless/0", "never-sent/0"})
	second.eventually(2, 1, 4*time.Second)
	gm.Expect(second.finished["job/1"].State).To(Equal(worker.StateDone))
	gm.Expect(second.lost).To(HaveKey(worker.TaskID("never-sent/0")))
	second.di.Stop([]worker.TaskID{"endless/0"})
	second.eventually(3, 1, 4*time.Second)
	gm.Expect(second.finished["endless/0"].State).To(Equal(worker.StateStopped))
}

// BenchmarkStarts measures starts over loopback, from Enqueue to Finished, the
// stand-ins included.
func BenchmarkStarts(b *testing.B) {
	for _, workers := range []int{50, 560} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			rg := newRig(b, workers).run()
			b.ResetTimer()
			rg.submit("job", b.N, 100*time.Millisecond, 0)
			rg.eventually(b.N, 0, 10*time.Second)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
		})
	}
}
