package fleet

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// cluster runs some entries in one process over loopback, with a store and
// workers in memory.
type cluster struct {
	t       *testing.T
	store   *memStore
	workers *memWorkers
	entries []*Daemon
	log     *lockedBuffer
	logger  *Logger
}

// lockedBuffer keeps the log for a failing test.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lb *lockedBuffer) Write(raw []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(raw)
}

func (lb *lockedBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

// waitLimit bounds each wait of a test. The takeover of a silent entry takes
// 2.2 s.
const waitLimit = 20 * time.Second

func startCluster(t *testing.T, entries, workers int, taskTime time.Duration) *cluster {
	t.Helper()
	cl := &cluster{t: t, store: newMemStore(), workers: newMemWorkers(taskTime), log: &lockedBuffer{}}
	cnt := counter.New()
	cl.logger = NewLogger(cl.log, cnt)
	cl.store.put(TableDesired, "desired", dispatch.Desired{Version: 1, Queues: []dispatch.Queue{{
		Name: "tilt", Host: "h", Prefix: "/t/", Service: "fitdesk", MaxAttempts: 3, Stretch: 20, Slack: 3 * time.Second,
	}}})
	for num := range workers {
		id := ids.WorkerID(fmt.Sprintf("w-%d", num))
		cl.store.put(TableWorkers, string(id), dispatch.WorkerInfo{
			ID: id, Service: "fitdesk", Address: string(id), Zone: "north", State: dispatch.WorkerReady, Born: 1,
			Room: dispatch.Resources{CPU: 4000, Memory: 4096},
		})
	}
	for num := range entries {
		cl.start(fmt.Sprintf("entry-%d", num), cnt)
	}
	t.Cleanup(func() {
		for _, dm := range cl.entries {
			dm.Close()
		}
		cl.workers.grp.Close()
		cl.logger.Close()
		if t.Failed() {
			t.Log(cl.log.String())
		}
	})
	cl.eventually("all workers are held", func() bool {
		held := 0
		for _, dm := range cl.entries {
			dm.locked(func(en *dispatch.Entry) { held += en.Held() })
		}
		return held == workers
	})
	return cl
}

func (cl *cluster) start(name string, cnt *counter.Set) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cl.t.Fatal(err)
	}
	address := lis.Addr().String()
	if err := lis.Close(); err != nil {
		cl.t.Fatal(err)
	}
	dm := New(Options{Self: dispatch.Self{
		Incarnation: ids.NewIncarnation(ids.EntryID(name)), Zone: "north", PeerAddress: address, Size: 1,
	}}, cl.store, cl.workers, cl.logger, cnt)
	if err := dm.Start(); err != nil {
		cl.t.Fatal(err)
	}
	cl.entries = append(cl.entries, dm)
}

func (cl *cluster) eventually(what string, cond func() bool) {
	cl.t.Helper()
	end := time.Now().Add(waitLimit)
	for !cond() {
		if time.Now().After(end) {
			cl.t.Fatalf("not within %s: %s", waitLimit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submit submits a job to an entry and returns a channel for its outcome.
func (cl *cluster) submit(dm *Daemon, id string, tasks int, stored bool) <-chan dispatch.Outcome {
	out := make(chan dispatch.Outcome, 1)
	qu, _ := dm.Desired().Route("h", "/t/"+id)
	dm.Submit(dispatch.Submission{
		Job: dispatch.Job{ID: ids.JobID(id), Stored: stored, Steps: []dispatch.Step{{
			Count: tasks, Need: dispatch.Resources{CPU: 1000, Memory: 64}, Estimate: 200 * time.Millisecond,
		}}},
		Queue: qu, Arrived: dm.Now(), Done: func(oc dispatch.Outcome) { out <- oc },
	})
	return out
}

func (cl *cluster) checkDuplicates() {
	cl.t.Helper()
	cl.workers.mu.Lock()
	defer cl.workers.mu.Unlock()
	for _, id := range cl.workers.duplicates {
		cl.t.Errorf("task %s ran twice at a time", id)
	}
}

// TestJobsOverEntries covers the path of a task through sessions, holders and
// workers. Every entry completes jobs, whichever entries hold the workers.
func TestJobsOverEntries(t *testing.T) {
	cl := startCluster(t, 3, 6, 50*time.Millisecond)
	var outs []<-chan dispatch.Outcome
	for num := range 30 {
		outs = append(outs, cl.submit(cl.entries[num%3], fmt.Sprintf("%016x", num), 8, false))
	}
	for _, out := range outs {
		if oc := <-out; oc.Kind != dispatch.Completed {
			t.Errorf("outcome %+v", oc)
		}
	}
	cl.checkDuplicates()
}

// TestCloseWithOpenSessions guards against a shutdown that waits for open
// connections of other entries until the platform kills the process.
func TestCloseWithOpenSessions(t *testing.T) {
	cl := startCluster(t, 3, 6, 50*time.Millisecond)
	leaving := cl.entries[0]
	cl.entries = cl.entries[1:]
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	leaving.Drain(ctx)
	leaving.Close()
	const limit = 5 * time.Second // the grace time of the platform is 6 s
	if took := time.Since(began); took > limit {
		t.Errorf("the shutdown took %s, want at most %s", took, limit)
	}
	out := cl.submit(cl.entries[0], "00000000000000aa", 24, false)
	if oc := <-out; oc.Kind != dispatch.Completed {
		t.Errorf("after the shutdown: %+v", oc)
	}
	cl.checkDuplicates()
}

// TestOwnerFailover guards against stored jobs that are lost when the entry that
// accepted them ends. Another entry completes them and returns their state.
func TestOwnerFailover(t *testing.T) {
	cl := startCluster(t, 3, 6, 300*time.Millisecond)
	owner := cl.entries[0]
	cl.entries = cl.entries[1:]
	const id = "00000000000000bb"
	if oc := <-cl.submit(owner, id, 12, true); oc.Kind != dispatch.Accepted {
		t.Fatalf("outcome %+v", oc)
	}
	owner.Close() // without a drain, like a crash
	cl.eventually("another entry shows the job as completed", func() bool {
		return cl.entries[1].State(id).State == dispatch.JobCompleted
	})
	if oc := cl.entries[0].CancelStored(id); oc.Kind != dispatch.Completed || oc.Reason != string(dispatch.JobCompleted) {
		t.Errorf("cancel of a completed job: %+v", oc)
	}
	cl.checkDuplicates()
}

// TestDesiredWithoutStore guards against a stale desired state at an entry that
// can't reach the store. It receives new versions from the other entries.
func TestDesiredWithoutStore(t *testing.T) {
	cl := startCluster(t, 2, 2, 50*time.Millisecond)
	cl.eventually("sessions are up", func() bool { return strings.Count(cl.log.String(), "message=session-up") >= 2 })
	cl.store.mu.Lock()
	cl.store.down = true
	cl.store.mu.Unlock()
	cl.entries[0].locked(func(en *dispatch.Entry) { en.Apply(dispatch.Desired{Version: 9}) })
	cl.eventually("the other entry has version 9", func() bool { return cl.entries[1].Desired().Version == 9 })
}

// TestLoggerDropsLines guards against decisions that wait for a blocked log
// output.
func TestLoggerDropsLines(t *testing.T) {
	cnt := counter.New()
	stuck := make(chan struct{})
	lg := NewLogger(blockedWriter{stuck}, cnt)
	for range maxQueuedLines + linesBurst + 10 {
		lg.Log("event")
	}
	if cnt.Value("log", "lines-dropped") == 0 {
		t.Error("no line was dropped while the output was stuck")
	}
	close(stuck)
	lg.Close()
}

type blockedWriter struct{ unblocked chan struct{} }

func (bw blockedWriter) Write(raw []byte) (int, error) {
	<-bw.unblocked
	return len(raw), nil
}

// TestSessionsSettle guards against sessions that end each other again and
// again. The end of one direction ends the other, and the sender of the other
// may detect this only after the first direction has a new session.
func TestSessionsSettle(t *testing.T) {
	const clusters, resets = 6, 4
	for num := range clusters {
		t.Run(strconv.Itoa(num), func(t *testing.T) {
			t.Parallel()
			cl := startCluster(t, 2, 4, 10*time.Millisecond)
			cl.eventually("the sessions are up", cl.connected)
			for reset := range resets {
				// The time within a heartbeat interval determines when each
				// entry detects the end.
				time.Sleep(time.Duration(num*33+reset*7) * time.Millisecond)
				cl.reset(cl.entries[reset%2])
				time.Sleep(time.Second)
				before := strings.Count(cl.log.String(), "session-up")
				if !cl.connected() {
					t.Error("the sessions are not up a second after a reset")
				}
				time.Sleep(500 * time.Millisecond)
				if after := strings.Count(cl.log.String(), "session-up"); after != before {
					t.Errorf("%d sessions came up in half a second without a fault", after-before)
				}
			}
		})
	}
}

// connected reports whether all entries can exchange messages.
func (cl *cluster) connected() bool {
	for _, dm := range cl.entries {
		count := 0
		dm.locked(func(en *dispatch.Entry) { count = en.Reachable() })
		if count != len(cl.entries) {
			return false
		}
	}
	return true
}

// reset closes the connections of the inbound sessions of an entry.
func (cl *cluster) reset(dm *Daemon) {
	dm.locked(func(*dispatch.Entry) {
		for in := range dm.inbound {
			if err := in.conn.Close(); err != nil {
				cl.t.Error(err)
			}
		}
	})
}

// TestMalformedPeerData guards against a process that ends or hangs because of
// malformed data at its address for other entries.
func TestMalformedPeerData(t *testing.T) {
	cl := startCluster(t, 2, 4, 20*time.Millisecond)
	rnd := rand.New(rand.NewPCG(1, 2))
	for num := range 40 {
		conn, err := net.Dial("tcp", cl.entries[num%2].opt.Self.PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		raw := make([]byte, 1+rnd.IntN(2000))
		for at := range raw {
			raw[at] = byte(rnd.Uint32())
		}
		if num%4 == 0 {
			// A length prefix of nearly 1 GB without a message.
			raw = []byte{0xfc, 0x3b, 0x9a, 0xca, 0x00}
		}
		if _, err := conn.Write(raw); err != nil {
			t.Log(err) // the entry may have closed the connection already
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	cl.eventually("the sessions are up", cl.connected)
	for num, dm := range cl.entries {
		if oc := <-cl.submit(dm, fmt.Sprintf("%016x", num), 4, false); oc.Kind != dispatch.Completed {
			t.Errorf("outcome %+v", oc)
		}
	}
}

// TestFastHeartbeatsOneDirection covers two entries of which only one sends fast
// heartbeats. It guards against a session that ends, and against fast heartbeats
// in both directions.
func TestFastHeartbeatsOneDirection(t *testing.T) {
	cl := startCluster(t, 2, 2, 20*time.Millisecond)
	cl.eventually("the sessions are up", cl.connected)
	time.Sleep(time.Second)
	before := strings.Count(cl.log.String(), "message=session-")
	time.Sleep(4 * time.Second)
	if after := strings.Count(cl.log.String(), "message=session-"); after != before {
		t.Errorf("%d sessions came or went in 4 s without a fault", after-before)
	}
	cl.entries[1].locked(func(*dispatch.Entry) {
		lk := cl.entries[1].links["entry-0"]
		if lk == nil || lk.protocol != peerProtocol {
			t.Fatalf("link %+v", lk)
		}
	})
	if pause := cl.entries[1].links["entry-0"].heartbeatPause(); pause != linkSlowHeartbeat {
		t.Errorf("the entry with the higher id sends a heartbeat every %s, want %s", pause, linkSlowHeartbeat)
	}
	if pause := cl.entries[0].links["entry-1"].heartbeatPause(); pause != linkHeartbeat {
		t.Errorf("the entry with the lower id sends a heartbeat every %s, want %s", pause, linkHeartbeat)
	}
}

// TestFailedPage guards against a scan of the reports that counts as complete
// although the read of its only page failed: rows of workers that the scan did
// not return would be removed after some time.
func TestFailedPage(t *testing.T) {
	cl := startCluster(t, 1, 2, 20*time.Millisecond)
	cl.store.mu.Lock()
	cl.store.down = true
	cl.store.mu.Unlock()
	if next, ok := cl.entries[0].scanPage(t.Context(), "", map[string]bool{}); ok || next != "" {
		t.Errorf("a page that failed: next %q, read %v", next, ok)
	}
}

// lateStore is a store that, while late is set, passes writes to delayed without
// carrying them out, and returns an error for them.
type lateStore struct {
	*memStore
	late    atomic.Bool
	delayed chan Transaction
}

func (ls *lateStore) Commit(ctx context.Context, tx Transaction) (TransactionReply, error) {
	if !ls.late.Load() {
		return ls.memStore.Commit(ctx, tx)
	}
	ls.delayed <- tx
	return TransactionReply{}, errStoreDown
}

// TestLateHeartbeat guards against other entries that claim the workers and
// jobs of a live entry. The store carries out a heartbeat of the earlier
// incarnation late, and it must not replace the row of the later one.
func TestLateHeartbeat(t *testing.T) {
	cl := startCluster(t, 1, 0, 20*time.Millisecond)
	ls := &lateStore{memStore: cl.store, delayed: make(chan Transaction, 100)}
	cnt := counter.New()
	begin := func() *Daemon {
		dm := New(Options{Self: dispatch.Self{
			Incarnation: ids.NewIncarnation("entry-9"), Zone: "north", PeerAddress: "127.0.0.1:0", Size: 1,
		}}, ls, cl.workers, cl.logger, cnt)
		if err := dm.Start(); err != nil {
			t.Fatal(err)
		}
		return dm
	}
	ownsRow := func(dm *Daemon) bool {
		rows, _, err := cl.store.Read(t.Context(), TableFleet, "", dm.entryKey())
		if err != nil {
			t.Fatal(err)
		}
		return len(rows) == 1 && strings.Contains(string(rows[0].Value), string(dm.opt.Self.Incarnation))
	}
	before := begin()
	cl.eventually("the earlier incarnation has a row", func() bool { return ownsRow(before) })
	ls.late.Store(true)
	tx := <-ls.delayed
	before.Close()
	ls.late.Store(false)

	failed := cnt.Value("store", "beat-errors")
	after := begin()
	defer after.Close()
	cl.eventually("the later incarnation has a row", func() bool { return ownsRow(after) })
	if _, err := cl.store.Commit(t.Context(), tx); err != nil {
		t.Fatal(err)
	}
	if !ownsRow(after) {
		t.Error("the late heartbeat has replaced the row of the later incarnation")
	}
	version := after.rowVersion.Load()
	cl.eventually("the later incarnation continues its heartbeats", func() bool { return after.rowVersion.Load() > version && ownsRow(after) })
	if count := cnt.Value("store", "beat-errors") - failed; count != 0 {
		t.Errorf("%d heartbeats of the later incarnation failed", count)
	}
}

// TestLateSession guards against a holder that stops the tasks of a live owner:
// it accepts a connection of the owner's earlier incarnation late, and must not
// let this session replace the one of the later incarnation.
func TestLateSession(t *testing.T) {
	cl := startCluster(t, 2, 2, 20*time.Millisecond)
	cl.eventually("the sessions are up", cl.connected)
	holder, before := cl.entries[0], cl.entries[1].opt.Self
	cl.entries[1].Close()
	cl.entries = cl.entries[:1]
	cl.start("entry-1", counter.New())
	cl.eventually("the sessions are up again", cl.connected)
	inbound := func() uint64 {
		number := uint64(0)
		holder.locked(func(*dispatch.Entry) {
			for in := range holder.inbound {
				if in.from == "entry-1" && !in.ended {
					number = max(number, in.number)
				}
			}
		})
		return number
	}
	number := inbound()
	peer, err := rpc.Dial("tcp", holder.opt.Self.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := peer.Close(); err != nil {
			t.Error(err)
		}
	}()
	batch := Batch{From: before.Incarnation, Session: 1, Protocol: peerProtocol, Self: &before}
	if err := peer.Call("Peer.Deliver", batch, &Ack{}); err == nil || err.Error() != errSessionEnded.Error() {
		t.Errorf("the batch of the earlier incarnation is answered with %v, want %v", err, errSessionEnded)
	}
	holder.locked(func(en *dispatch.Entry) {
		if !en.IsInbound("entry-1", number) {
			t.Error("the session of the later incarnation has ended")
		}
	})
}

// TestOversizedRow guards against a job whose row the store rejects and that is
// written again for ever, together with the jobs that share its transactions.
func TestOversizedRow(t *testing.T) {
	cl := startCluster(t, 1, 6, 20*time.Millisecond)
	cl.store.mu.Lock()
	cl.store.maxRowBytes, cl.store.maxTxBytes = 20_000, 60_000
	cl.store.mu.Unlock()
	submit := func(num, payload int) <-chan dispatch.Outcome {
		out := make(chan dispatch.Outcome, 1)
		id := ids.JobID(fmt.Sprintf("%016x", num))
		qu, _ := cl.entries[0].Desired().Route("h", "/t/"+string(id))
		cl.entries[0].Submit(dispatch.Submission{
			Job: dispatch.Job{ID: id, Stored: true, Payload: strings.Repeat("x", payload), Steps: []dispatch.Step{{
				Count: 1, Need: dispatch.Resources{CPU: 1000, Memory: 64}, Estimate: 20 * time.Millisecond,
			}}},
			Queue: qu, Arrived: cl.entries[0].Now(), Done: func(oc dispatch.Outcome) { out <- oc },
		})
		return out
	}
	const oversized = 17
	var outs []<-chan dispatch.Outcome
	for num := range 120 {
		payload := 5_000
		if num == oversized {
			payload = 30_000
		}
		outs = append(outs, submit(num, payload))
	}
	for num, out := range outs {
		select {
		case oc := <-out:
			if want := num != oversized; (oc.Kind == dispatch.Accepted) != want || (!want && oc.Reason != dispatch.ReasonTooLarge) {
				t.Errorf("job %d: outcome %+v", num, oc)
			}
		case <-time.After(waitLimit):
			t.Fatalf("job %d has no outcome after %s", num, waitLimit)
		}
	}
}

// refusingStore counts the transactions that a store refuses.
type refusingStore struct {
	*memStore
	refused atomic.Int64
}

// Commit counts refused transactions.
func (rs *refusingStore) Commit(ctx context.Context, tx Transaction) (TransactionReply, error) {
	rep, err := rs.memStore.Commit(ctx, tx)
	if err == nil && !rep.OK {
		rs.refused.Add(1)
	}
	return rep, err
}

// TestFirstHeartbeat guards against a slow restart of the fleet. The store
// refused the first heartbeat of each entry because of the row of its earlier
// process, and the claims of workers waited at the store behind twice as many
// writes.
func TestFirstHeartbeat(t *testing.T) {
	cl := startCluster(t, 1, 0, 20*time.Millisecond)
	rs := &refusingStore{memStore: cl.store}
	for range 2 {
		dm := New(Options{Self: dispatch.Self{
			Incarnation: ids.NewIncarnation("entry-9"), Zone: "south", PeerAddress: "127.0.0.1:0", Size: 1,
		}}, rs, cl.workers, cl.logger, counter.New())
		if err := dm.Start(); err != nil {
			t.Fatal(err)
		}
		cl.eventually("the entry has a row", func() bool { return dm.rowVersion.Load() > 0 })
		rows, _, err := cl.store.Read(t.Context(), TableFleet, "", dm.entryKey())
		if err != nil || len(rows) != 1 {
			t.Fatalf("%d rows of the entry, %v", len(rows), err)
		}
		// Close does not remove the row here, as if the process were killed.
		dm.Close()
	}
	if count := rs.refused.Load(); count != 0 {
		t.Errorf("%d transactions are refused, want 0", count)
	}
}
