package home

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/peer"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/target"
)

var errBroken = errors.New("the connection broke")

// cluster is a table, targets and entries that share a clock set by the test.
type cluster struct {
	tb      testing.TB
	now     time.Duration
	vms     blackboard.VMs
	entries []*testEntry

	table *standin.Table
	rows  *table.Client

	mu          sync.Mutex
	messages    int
	bytes       int
	cut         map[string]bool // addresses that are cut off in both directions
	dropAnswers bool
	skipChecks  bool // for benchmarks
}

type testEntry struct {
	cl      *cluster
	id      string
	co      *Controller
	board   *blackboard.Board
	used    []ids.TargetID
	stopped atomic.Bool // read by calls of other entries in flight
	waiting int
	runs    int
}

func newCluster(tb testing.TB, targets int, zones ...ids.AvailabilityZone) *cluster {
	cl := &cluster{tb: tb, table: standin.NewTable(standin.TableOptions{}), cut: map[string]bool{}}
	srv, err := standin.Serve("127.0.0.1:0", cl.table)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(srv.Close)
	cl.rows = table.New(srv.URL(), http.DefaultClient)
	cl.vms.Targets = map[ids.ServiceName][]ids.VM{}
	for i := range targets {
		vm := ids.VM{ID: fmt.Sprint("target-", i), State: ids.StateLive, Service: "fitdesk", AvailabilityZone: zones[i%len(zones)]}
		cl.vms.Targets["fitdesk"] = append(cl.vms.Targets["fitdesk"], vm)
	}
	return cl
}

func (cl *cluster) add(zone ids.AvailabilityZone) *testEntry {
	en := &testEntry{cl: cl, id: fmt.Sprint("entry-", len(cl.entries)), board: &blackboard.Board{}}
	en.co = New(Options{
		Self: Self{
			ID: ids.EntryID(en.id), Incarnation: ids.NewIncarnation(ids.EntryID(en.id)), Zone: zone, Size: 4,
		},
		Board: en.board, Rows: cl.rows, Peers: en, ForwardPeers: en, Counters: counter.New(), Log: zerolog.Nop(),
		Clock: func() time.Duration { return cl.now },
	})
	en.co.Bind(en)
	doc := configuration.Document{Services: map[ids.ServiceName]configuration.Service{"fitdesk": {Slots: 8, Connections: 64}}}
	en.board.Configuration.Publish(&configuration.Version{Number: 1, Document: doc})
	en.board.VMs.Publish(&cl.vms)
	cl.mu.Lock()
	cl.entries = append(cl.entries, en)
	cl.mu.Unlock()
	cl.tb.Cleanup(en.co.Close)
	for _, other := range cl.entries {
		other.setAlive(cl.entries...)
	}
	return en
}

// setAlive publishes a list of members to the entry. Exactly the given entries
// are alive in the list.
func (en *testEntry) setAlive(alive ...*testEntry) {
	mem := &blackboard.Members{Alive: map[ids.EntryID]blackboard.Member{}, Gone: map[ids.Incarnation]blackboard.GoneReason{}}
	for _, other := range alive {
		self := other.co.opt.Self
		mem.Alive[self.ID] = blackboard.Member{ID: self.ID, Incarnation: self.Incarnation, AvailabilityZone: self.Zone, Size: self.Size, PeerAddress: other.id}
	}
	if old := en.board.Members.Load(); old != nil {
		mem.Gone = old.Gone
	}
	en.board.Members.Publish(mem)
}

// endWithProof stops the entry and publishes proof of its end to all entries.
func (en *testEntry) endWithProof() {
	en.stopped.Store(true)
	en.releaseAll()
	for _, gate := range en.board.Gates.Load().ByTarget {
		gate.SetAllowance(0)
	}
	for _, other := range en.cl.entries {
		mem := *other.board.Members.Load()
		mem.Alive = maps.Clone(mem.Alive)
		delete(mem.Alive, en.co.opt.Self.ID)
		mem.Gone = map[ids.Incarnation]blackboard.GoneReason{en.co.opt.Self.Incarnation: blackboard.GoneRefused}
		other.board.Members.Publish(&mem)
	}
}

// run executes, for the given duration, the rounds of every entry that is not
// stopped. After each it checks that the entries together can use at most the 8
// slots of each target.
func (cl *cluster) run(dur time.Duration) {
	for end := cl.now + dur; cl.now < end; {
		cl.now += lendingTick
		for _, en := range cl.entries {
			if en.stopped.Load() {
				continue
			}
			if cl.now%claimTick == 0 {
				en.co.claimRound(context.Background())
			}
			en.co.lendingRound(context.Background())
			en.awaitReplies()
			if !cl.skipChecks {
				cl.check()
			}
		}
	}
}

func (en *testEntry) awaitReplies() {
	for busy := true; busy; {
		busy = false
		en.co.mu.Lock()
		for _, str := range en.co.streams {
			busy = busy || str.inFlight
		}
		en.co.mu.Unlock()
	}
}

// usable returns the slots of the target that the entry uses or may take.
func (en *testEntry) usable(id ids.TargetID) int {
	if gate := en.board.Gates.Load().ByTarget[id]; gate != nil {
		slots, used := gate.Allowance()
		return max(slots, used)
	}
	return 0
}

func (en *testEntry) total() int {
	sum := 0
	for _, vm := range en.cl.vms.Targets["fitdesk"] {
		sum += en.usable(ids.TargetID(vm.ID))
	}
	return sum
}

func (cl *cluster) check() {
	for _, vm := range cl.vms.Targets["fitdesk"] {
		sum := 0
		for _, en := range cl.entries {
			sum += en.usable(ids.TargetID(vm.ID))
		}
		if sum <= 8 {
			continue
		}
		for _, en := range cl.entries {
			cl.tb.Log(en.id, "usable slots:", en.usable(ids.TargetID(vm.ID)))
		}
		cl.tb.Fatalf("at %s %d slots of %s are usable", cl.now, sum, vm.ID)
	}
}

// takeAll takes every slot that the entry may use; releaseAll returns them all.
func (en *testEntry) takeAll() {
	for id, gate := range en.board.Gates.Load().ByTarget {
		for gate.TryAcquire() {
			en.used = append(en.used, id)
		}
	}
}

func (en *testEntry) releaseAll() {
	for _, id := range en.used {
		en.board.Gates.Load().ByTarget[id].Release()
	}
	en.used = nil
}

func (en *testEntry) Load() []target.ServiceLoad {
	return []target.ServiceLoad{{Service: "fitdesk", Waiting: en.waiting}}
}
func (en *testEntry) SlotsChanged() {}

// DoForwarded counts the runs of forwarded requests.
func (en *testEntry) DoForwarded(_ context.Context, req target.Request) (target.Answer, error) {
	en.runs++
	if !req.Forwarded {
		return target.Answer{}, errors.New("not marked as forwarded")
	}
	return target.Answer{Status: 200, Body: req.Body}, nil
}

// Call delivers a message unless either side is cut off or the peer has stopped.
func (en *testEntry) Call(_ context.Context, addr, method string, args, reply any) error {
	cl := en.cl
	cl.mu.Lock()
	cut := cl.cut[addr] || cl.cut[en.id]
	cl.messages++
	if _, ok := args.(*HintArgs); !ok {
		cl.bytes += size(args)
	}
	entries := cl.entries
	cl.mu.Unlock()
	i := 0
	if n, err := fmt.Sscanf(addr, "entry-%d", &i); n != 1 || err != nil || cut || entries[i].stopped.Load() {
		return peer.ErrUnreachable
	}
	rc := entries[i].co.Receiver()
	var err error
	switch method {
	case hintMethod:
		err = rc.Hint(*args.(*HintArgs), reply.(*HintReply))
	case exchangeMethod:
		err = rc.Exchange(*args.(*ExchangeArgs), reply.(*ExchangeReply))
	case offerMethod:
		err = rc.Offer(*args.(*OfferArgs), reply.(*OfferReply))
	case forwardMethod:
		err = rc.Forward(*args.(*ForwardArgs), reply.(*ForwardReply))
		if cl.dropAnswers {
			return errBroken
		}
	}
	cl.mu.Lock()
	cl.bytes += size(reply)
	cl.mu.Unlock()
	return err
}

// size returns the encoded size of a message without the type descriptions,
// which net/rpc sends once on each connection.
func size(msg any) int {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	_ = enc.Encode(msg)
	first := buf.Len()
	_ = enc.Encode(msg)
	return buf.Len() - first
}

func (cl *cluster) homes() map[ids.EntryID]int {
	out := map[ids.EntryID]int{}
	for _, row := range cl.table.Rows(rowPrefix) {
		var val rowValue
		_ = json.Unmarshal(row.Value, &val)
		out[val.Incarnation.Entry()]++
	}
	return out
}
