package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/objects"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

// link carries the calls of one entry to the platform. It can be frozen, like the
// calls of a paused or ended process.
type link struct {
	handler http.Handler
	mu      sync.Mutex
	thawed  chan struct{} // not nil while the link is frozen; thaw closes it
	commits int
	// freezeAt is the number of the commit after which the link freezes: the
	// commit takes effect, but its reply is held. loseReplies is the number of
	// the next commits whose replies are lost.
	freezeAt    int
	loseReplies int
	ignoreFence bool // seeded fault: fences are not checked
}

var errReplyLost = errors.New("the reply was lost")

func (li *link) freeze() {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.thawed == nil {
		li.thawed = make(chan struct{})
	}
}

func (li *link) thaw() {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.thawed != nil {
		close(li.thawed)
		li.thawed = nil
	}
	li.freezeAt = 0
}

func (li *link) waitThawed(ctx context.Context) error {
	li.mu.Lock()
	thawed := li.thawed
	li.mu.Unlock()
	if thawed == nil {
		return nil
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RoundTrip serves the request by the handler in this process.
func (li *link) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := li.waitThawed(req.Context()); err != nil {
		return nil, err
	}
	wr := httptest.NewRecorder()
	li.handler.ServeHTTP(wr, req)
	lost := false
	if strings.HasSuffix(req.URL.Path, "/transactions") {
		li.mu.Lock()
		li.commits++
		lost = li.loseReplies > 0
		li.loseReplies--
		if li.commits == li.freezeAt && li.thawed == nil {
			li.thawed = make(chan struct{})
		}
		li.mu.Unlock()
	}
	if err := li.waitThawed(req.Context()); err != nil || lost {
		return nil, errors.Join(errReplyLost, err)
	}
	return wr.Result(), nil
}

// faultyRows removes the fence from the checks of a commit if the seeded fault is
// on.
type faultyRows struct {
	*table.Client
	li *link
}

func (lr faultyRows) Commit(ctx context.Context, tx table.Transaction) (table.Version, error) {
	if lr.li.ignoreFence {
		var kept []table.Check
		for _, ck := range tx.Checks {
			if len(tx.Checks) == 1 || !strings.HasPrefix(ck.Key, "fence/") {
				kept = append(kept, ck)
			}
		}
		tx.Checks = kept
	}
	return lr.Client.Commit(ctx, tx)
}

// fakeWorkers simulates the workers. It counts the starts of each task.
type fakeWorkers struct {
	grp     *group.Group
	runTime time.Duration
	answer  func(task worker.TaskID) string

	mu     sync.Mutex
	starts map[worker.TaskID]int
	states map[worker.TaskID]worker.State
	hold   bool // tasks run until finishAll
	events map[worker.TaskID][]worker.Events
}

func (fl *fakeWorkers) report(id worker.TaskID) worker.Report {
	rep := worker.Report{ID: id, State: fl.states[id]}
	if rep.State == worker.StateDone {
		rep.Result, _ = json.Marshal(fl.answer(id))
	}
	return rep
}

func (fl *fakeWorkers) finish(id worker.TaskID, state worker.State) {
	fl.mu.Lock()
	if fl.states[id] != worker.StateRunning {
		fl.mu.Unlock()
		return
	}
	fl.states[id] = state
	rep := fl.report(id)
	evs := fl.events[id]
	fl.mu.Unlock()
	for _, ev := range evs {
		ev.Finished(rep)
	}
}

func (fl *fakeWorkers) finishAll() {
	fl.mu.Lock()
	fl.hold = false
	var ids []worker.TaskID
	for id := range fl.states {
		ids = append(ids, id)
	}
	fl.mu.Unlock()
	for _, id := range ids {
		fl.finish(id, worker.StateDone)
	}
}

// node is one entry: its manager, its links, and its Scheduler and Traffic.
type node struct {
	fl        *fakeWorkers
	tableLink *link
	sendLink  *link
	members   blackboard.Cell[blackboard.Members]
	mg        *Manager
}

func (no *node) Admissible(worker.Demand) error { return nil }
func (no *node) Withdraw([]worker.TaskID)       {}

func (no *node) Enqueue(dms []worker.Demand, assigned func(worker.TaskID, worker.Placement)) {
	no.fl.grp.Go(func(context.Context) {
		for _, dm := range dms {
			assigned(dm.Task, worker.Placement{Worker: "w1", Address: "10.0.0.1:1"})
		}
	})
}

func (no *node) Start(ctx context.Context, _ worker.Placement, tk worker.Task) error {
	if err := no.sendLink.waitThawed(ctx); err != nil {
		return err
	}
	fl := no.fl
	fl.mu.Lock()
	fl.starts[tk.ID]++
	fl.states[tk.ID] = worker.StateRunning
	fl.events[tk.ID] = append(fl.events[tk.ID], no.mg)
	hold := fl.hold
	fl.mu.Unlock()
	if !hold {
		fl.grp.Go(func(ctx context.Context) {
			waitFor(ctx, nil, fl.runTime)
			fl.finish(tk.ID, worker.StateDone)
		})
	}
	return nil
}

func (no *node) Query(_ context.Context, _ ids.WorkerID, id worker.TaskID) (worker.Report, bool, error) {
	no.fl.mu.Lock()
	defer no.fl.mu.Unlock()
	return no.fl.report(id), no.fl.starts[id] > 0, nil
}

func (no *node) Adopt(_ worker.Placement, ids []worker.TaskID) {
	no.fl.mu.Lock()
	defer no.fl.mu.Unlock()
	for _, id := range ids {
		no.fl.events[id] = append(no.fl.events[id], no.mg)
		if no.fl.states[id] != worker.StateRunning {
			rep := no.fl.report(id)
			no.fl.grp.Go(func(context.Context) { no.mg.Finished(rep) })
		}
	}
}

func (no *node) Stop(ids []worker.TaskID) {
	for _, id := range ids {
		no.fl.finish(id, worker.StateStopped)
	}
}

// localPeers carries calls between the entries of a cluster, with 1 ms of latency
// as between two zones.
type localPeers struct {
	wo *cluster
}

func (lp localPeers) Call(ctx context.Context, addr, method string, args, reply any) error {
	waitFor(ctx, nil, time.Millisecond)
	var index int
	if _, err := fmt.Sscanf(addr, "peer-%d", &index); err != nil {
		return err
	}
	ps := lp.wo.nodes[index].mg.PeerService()
	if method != "jobs.Commit" {
		return fmt.Errorf("no method %s", method)
	}
	var rep CommitReply
	done := make(chan struct{})
	lp.wo.fl.grp.Go(func(context.Context) {
		defer close(done)
		_ = ps.Commit(args.(*groupcommit.Transaction), &rep)
	})
	select {
	case <-done:
		*reply.(*CommitReply) = rep
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect publishes a membership with all entries to each of them, and lets them
// call each other.
func (wo *cluster) connect() {
	for i, no := range wo.nodes {
		alive := map[ids.EntryID]blackboard.Member{}
		for k, other := range wo.nodes {
			if k != i {
				inc := other.mg.opt.Incarnation
				alive[inc.Entry()] = blackboard.Member{Incarnation: inc, PeerAddress: fmt.Sprintf("peer-%d", k)}
			}
		}
		no.mg.opt.Peers = localPeers{wo}
		no.members.Publish(&blackboard.Members{Alive: alive})
	}
}

// cluster is a platform in memory with some entries.
type cluster struct {
	tb    *standin.Table
	fl    *fakeWorkers
	nodes []*node
}

func newCluster(t testing.TB, entries int, opt standin.TableOptions) *cluster {
	wo := buildCluster(entries, opt).start()
	t.Cleanup(wo.close)
	return wo
}

func buildCluster(entries int, opt standin.TableOptions) *cluster {
	wo := &cluster{
		tb: standin.NewTable(opt),
		fl: &fakeWorkers{
			grp:     group.New(context.Background()),
			runTime: time.Millisecond,
			answer:  func(task worker.TaskID) string { return "answer of " + string(task) },
			starts:  map[worker.TaskID]int{},
			states:  map[worker.TaskID]worker.State{},
			events:  map[worker.TaskID][]worker.Events{},
		},
	}
	store := &http.Client{Transport: &link{handler: standin.NewObjects()}}
	board := &blackboard.Board{}
	board.Configuration.Publish(&configuration.Version{Document: configuration.Default()})
	for i := range entries {
		no := &node{fl: wo.fl, tableLink: &link{handler: wo.tb}, sendLink: &link{}}
		rows := table.New("http://table", &http.Client{Transport: no.tableLink})
		no.mg = New(Options{
			Board:       board,
			Rows:        faultyRows{rows, no.tableLink},
			Objects:     objects.New("http://objects", store),
			Members:     &no.members,
			Scheduler:   no,
			Traffic:     no,
			Counters:    counter.New(),
			Incarnation: ids.NewIncarnation(ids.EntryID(fmt.Sprintf("entry-%d", i))),
			Log:         zerolog.Nop(),
		})
		wo.nodes = append(wo.nodes, no)
	}
	return wo
}

func (wo *cluster) start() *cluster {
	for _, no := range wo.nodes {
		no.mg.Start()
	}
	return wo
}

func (wo *cluster) close() {
	for _, no := range wo.nodes {
		no.tableLink.thaw()
		no.sendLink.thaw()
		no.mg.Close()
	}
	wo.fl.grp.Close()
}

// publishGone publishes to the entry that another one has ended.
func (no *node) publishGone(other *node) {
	no.members.Publish(&blackboard.Members{Gone: map[ids.Incarnation]blackboard.GoneReason{
		other.mg.opt.Incarnation: blackboard.GoneUnlisted,
	}})
}

func submission(id string, tasks int) Submission {
	return Submission{ID: ids.JobID(id), Tasks: make([]TaskSpec, tasks)}
}

// checkStarts returns an error if a task was started more than once.
func (wo *cluster) checkStarts() error {
	wo.fl.mu.Lock()
	defer wo.fl.mu.Unlock()
	for id, n := range wo.fl.starts {
		if n > 1 {
			return fmt.Errorf("task %s was started %d times", id, n)
		}
	}
	return nil
}

func (wo *cluster) startsOf(id worker.TaskID) int {
	wo.fl.mu.Lock()
	defer wo.fl.mu.Unlock()
	return wo.fl.starts[id]
}
