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
	state  map[worker.TaskID]worker.State
	hold   bool // tasks run until finishAll
	events map[worker.TaskID][]worker.Events
}

func (fw *fakeWorkers) report(id worker.TaskID) worker.Report {
	rep := worker.Report{ID: id, State: fw.state[id]}
	if rep.State == worker.StateDone {
		rep.Result, _ = json.Marshal(fw.answer(id))
	}
	return rep
}

func (fw *fakeWorkers) finish(id worker.TaskID, state worker.State) {
	fw.mu.Lock()
	if fw.state[id] != worker.StateRunning {
		fw.mu.Unlock()
		return
	}
	fw.state[id] = state
	rep := fw.report(id)
	evs := fw.events[id]
	fw.mu.Unlock()
	for _, ev := range evs {
		ev.Finished(rep)
	}
}

func (fw *fakeWorkers) finishAll() {
	fw.mu.Lock()
	fw.hold = false
	var ids []worker.TaskID
	for id := range fw.state {
		ids = append(ids, id)
	}
	fw.mu.Unlock()
	for _, id := range ids {
		fw.finish(id, worker.StateDone)
	}
}

// node is one entry: its manager, its links, and its Scheduler and Traffic.
type node struct {
	fw        *fakeWorkers
	tableLink *link
	sendLink  *link
	members   blackboard.Cell[blackboard.Members]
	mg        *Manager
}

func (no *node) Admissible(worker.Demand) error { return nil }
func (no *node) Withdraw([]worker.TaskID)       {}

func (no *node) Enqueue(dms []worker.Demand, assigned func(worker.TaskID, worker.Placement)) {
	no.fw.grp.Go(func(context.Context) {
		for _, dm := range dms {
			assigned(dm.Task, worker.Placement{Worker: "w1", Address: "10.0.0.1:1"})
		}
	})
}

func (no *node) Start(ctx context.Context, _ worker.Placement, tk worker.Task) error {
	if err := no.sendLink.waitThawed(ctx); err != nil {
		return err
	}
	fw := no.fw
	fw.mu.Lock()
	fw.starts[tk.ID]++
	fw.state[tk.ID] = worker.StateRunning
	fw.events[tk.ID] = append(fw.events[tk.ID], no.mg)
	hold := fw.hold
	fw.mu.Unlock()
	if !hold {
		fw.grp.Go(func(ctx context.Context) {
			waitFor(ctx, nil, fw.runTime)
			fw.finish(tk.ID, worker.StateDone)
		})
	}
	return nil
}

func (no *node) Query(_ context.Context, _ ids.WorkerID, id worker.TaskID) (worker.Report, bool, error) {
	no.fw.mu.Lock()
	defer no.fw.mu.Unlock()
	return no.fw.report(id), no.fw.starts[id] > 0, nil
}

func (no *node) Adopt(_ worker.Placement, ids []worker.TaskID) {
	no.fw.mu.Lock()
	defer no.fw.mu.Unlock()
	for _, id := range ids {
		no.fw.events[id] = append(no.fw.events[id], no.mg)
		if no.fw.state[id] != worker.StateRunning {
			rep := no.fw.report(id)
			no.fw.grp.Go(func(context.Context) { no.mg.Finished(rep) })
		}
	}
}

func (no *node) Stop(ids []worker.TaskID) {
	for _, id := range ids {
		no.fw.finish(id, worker.StateStopped)
	}
}

// localPeers carries calls between the entries of a cluster, with 1 ms of latency
// as between two zones.
type localPeers struct {
	cl *cluster
}

func (lp localPeers) Call(ctx context.Context, addr, method string, args, reply any) error {
	waitFor(ctx, nil, time.Millisecond)
	var index int
	if _, err := fmt.Sscanf(addr, "peer-%d", &index); err != nil {
		return err
	}
	ps := lp.cl.nodes[index].mg.PeerService()
	if method != "jobs.Commit" {
		return fmt.Errorf("no method %s", method)
	}
	var rep CommitReply
	done := make(chan struct{})
	lp.cl.fw.grp.Go(func(context.Context) {
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
func (cl *cluster) connect() {
	for i, no := range cl.nodes {
		alive := map[ids.EntryID]blackboard.Member{}
		for k, other := range cl.nodes {
			if k != i {
				inc := other.mg.opt.Incarnation
				alive[inc.Entry()] = blackboard.Member{Incarnation: inc, PeerAddress: fmt.Sprintf("peer-%d", k)}
			}
		}
		no.mg.opt.Peers = localPeers{cl}
		no.members.Publish(&blackboard.Members{Alive: alive})
	}
}

// cluster is a platform in memory with some entries.
type cluster struct {
	tb    *standin.Table
	fw    *fakeWorkers
	nodes []*node
}

func newCluster(t testing.TB, entries int, opt standin.TableOptions) *cluster {
	cl := buildCluster(entries, opt).start()
	t.Cleanup(cl.close)
	return cl
}

func buildCluster(entries int, opt standin.TableOptions) *cluster {
	cl := &cluster{
		tb: standin.NewTable(opt),
		fw: &fakeWorkers{
			grp:     group.New(context.Background()),
			runTime: time.Millisecond,
			answer:  func(task worker.TaskID) string { return "answer of " + string(task) },
			starts:  map[worker.TaskID]int{},
			state:   map[worker.TaskID]worker.State{},
			events:  map[worker.TaskID][]worker.Events{},
		},
	}
	store := &http.Client{Transport: &link{handler: standin.NewObjects()}}
	board := &blackboard.Board{}
	board.Configuration.Publish(&configuration.Version{Document: configuration.Default()})
	for i := range entries {
		no := &node{fw: cl.fw, tableLink: &link{handler: cl.tb}, sendLink: &link{}}
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
		cl.nodes = append(cl.nodes, no)
	}
	return cl
}

func (cl *cluster) start() *cluster {
	for _, no := range cl.nodes {
		no.mg.Start()
	}
	return cl
}

func (cl *cluster) close() {
	for _, no := range cl.nodes {
		no.tableLink.thaw()
		no.sendLink.thaw()
		no.mg.Close()
	}
	cl.fw.grp.Close()
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
func (cl *cluster) checkStarts() error {
	cl.fw.mu.Lock()
	defer cl.fw.mu.Unlock()
	for id, n := range cl.fw.starts {
		if n > 1 {
			return fmt.Errorf("task %s was started %d times", id, n)
		}
	}
	return nil
}

func (cl *cluster) startsOf(id worker.TaskID) int {
	cl.fw.mu.Lock()
	defer cl.fw.mu.Unlock()
	return cl.fw.starts[id]
}
