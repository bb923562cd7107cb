package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// memStore is a store in memory. Rows of workers and desired states hold types
// of internal/dispatch as JSON.
type memStore struct {
	// maxRowBytes and maxTxBytes bound a row and a transaction, 0 for no bound.
	maxRowBytes, maxTxBytes int
	mu                      sync.Mutex
	version                 dispatch.Version
	rows                    map[string]Row // by table, part and key
	tables                  map[string]Table
	down                    bool
}

func newMemStore() *memStore {
	return &memStore{rows: map[string]Row{}, tables: map[string]Table{}}
}

var errStoreDown = errors.New("the store is down")

func memKey(tb Table, part Part, key string) string { return fmt.Sprint(tb, "|", part, "|", key) }

func (ms *memStore) Read(_ context.Context, tb Table, part Part, key string) ([]Row, dispatch.Version, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.down {
		return nil, 0, errStoreDown
	}
	var rows []Row
	for id, ro := range ms.rows {
		if !ro.Deleted && id == memKey(tb, part, ro.Key) && (key == "" || ro.Key == key) {
			rows = append(rows, ro)
		}
	}
	return rows, ms.version, nil
}

func (ms *memStore) Page(ctx context.Context, tb Table, part Part, from string, limit int) (Page, error) {
	rows, version, err := ms.Read(ctx, tb, part, "")
	if err != nil {
		return Page{}, err
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	first, _ := slices.BinarySearchFunc(rows, from, func(ro Row, key string) int { return cmp.Compare(ro.Key, key) })
	rows = rows[first:]
	page := Page{Rows: rows, Version: version}
	if len(rows) > limit {
		page.Rows, page.Next = rows[:limit], rows[limit].Key
	}
	return page, nil
}

func (ms *memStore) Follow(ctx context.Context, tb Table, after dispatch.Version, wait time.Duration) ([]Row, dispatch.Version, error) {
	end := time.Now().Add(wait)
	for {
		ms.mu.Lock()
		down, version := ms.down, ms.version
		var rows []Row
		for id, ro := range ms.rows {
			if ms.tables[id] == tb && ro.Version > after {
				rows = append(rows, ro)
			}
		}
		ms.mu.Unlock()
		if down {
			return nil, 0, errStoreDown
		}
		if len(rows) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return rows, version, ctx.Err()
		}
		group.Sleep(ctx, 5*time.Millisecond)
	}
}

func (ms *memStore) Commit(_ context.Context, tx Transaction) (TransactionReply, error) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.down {
		return TransactionReply{}, errStoreDown
	}
	size := 0
	for _, pt := range tx.Puts {
		if size += len(pt.Value); ms.maxRowBytes > 0 && (len(pt.Value) > ms.maxRowBytes || size > ms.maxTxBytes) {
			return TransactionReply{}, fmt.Errorf("%w: %d bytes", ErrInvalid, size)
		}
	}
	rep := TransactionReply{OK: true}
	for _, ck := range tx.Checks {
		ro := ms.rows[memKey(ck.Table, tx.Part, ck.Key)]
		if ro.Deleted {
			ro = Row{Key: ck.Key}
		}
		if ro.Version != ck.Version {
			rep.OK = false
		}
		if ro.Version != 0 {
			rep.Present = append(rep.Present, ro)
		}
	}
	if !rep.OK {
		return rep, nil
	}
	ms.version++
	for _, pt := range tx.Puts {
		id := memKey(pt.Table, tx.Part, pt.Key)
		ms.rows[id], ms.tables[id] = Row{Key: pt.Key, Value: pt.Value, Version: ms.version}, pt.Table
	}
	for _, rm := range tx.Removes {
		id := memKey(rm.Table, tx.Part, rm.Key)
		ms.rows[id], ms.tables[id] = Row{Key: rm.Key, Version: ms.version, Deleted: true}, rm.Table
	}
	return TransactionReply{OK: true, Version: ms.version}, nil
}

func (ms *memStore) DecodeWorker(_ string, raw []byte) (dispatch.WorkerInfo, error) {
	var info dispatch.WorkerInfo
	err := json.Unmarshal(raw, &info)
	return info, err
}

func (ms *memStore) DecodeDesired(_ string, raw []byte) (dispatch.Desired, bool, error) {
	var des dispatch.Desired
	err := json.Unmarshal(raw, &des)
	return des, true, err
}

func (ms *memStore) DecodeEvacuation(key string) (ids.AvailabilityZone, bool) {
	zone, ok := strings.CutPrefix(key, "evacuate/")
	return ids.AvailabilityZone(zone), ok
}

// put writes a row as the operator or a worker does.
func (ms *memStore) put(tb Table, key string, val any) {
	raw, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	if _, err := ms.Commit(context.Background(), Transaction{Puts: []Put{{Table: tb, Key: key, Value: raw}}}); err != nil {
		panic(err)
	}
}

// memWorkers are workers in memory. They record tasks that run twice at the same
// time.
type memWorkers struct {
	mu         sync.Mutex
	grp        *group.Group
	runTime    time.Duration // run time of each task
	workers    map[ids.WorkerID]*memWorker
	running    map[dispatch.TaskID]int
	starts     int
	duplicates []dispatch.TaskID
	onHold     func(order dispatch.HoldOrder) // called with each hold, nil for nothing
}

type memWorker struct {
	token  dispatch.Token
	runs   map[dispatch.TaskRef]bool
	ends   []dispatch.EndedRun
	number int64
}

func newMemWorkers(taskTime time.Duration) *memWorkers {
	return &memWorkers{
		grp: group.New(context.Background()), runTime: taskTime,
		workers: map[ids.WorkerID]*memWorker{}, running: map[dispatch.TaskID]int{},
	}
}

func (mw *memWorkers) get(id ids.WorkerID) *memWorker {
	wk := mw.workers[id]
	if wk == nil {
		wk = &memWorker{runs: map[dispatch.TaskRef]bool{}}
		mw.workers[id] = wk
	}
	return wk
}

var memEpoch = time.Now()

func memClock() dispatch.WorkerTime { return dispatch.WorkerTime(time.Since(memEpoch)) }

func (mw *memWorkers) StartTask(_ context.Context, order dispatch.StartOrder) dispatch.StartReply {
	mw.mu.Lock()
	defer mw.mu.Unlock()
	wk := mw.get(order.Worker)
	if order.Token < wk.token {
		return dispatch.StartReply{Reason: dispatch.RefusedFence, Clock: memClock()}
	}
	wk.token = order.Token
	wk.runs[order.Ref] = true
	mw.starts++
	if mw.running[order.Ref.Task]++; mw.running[order.Ref.Task] > 1 {
		mw.duplicates = append(mw.duplicates, order.Ref.Task)
	}
	mw.grp.Go(func(ctx context.Context) {
		group.Sleep(ctx, mw.runTime)
		mw.end(wk, order.Ref, dispatch.EndDone)
	})
	return dispatch.StartReply{Started: true, Clock: memClock()}
}

func (mw *memWorkers) end(wk *memWorker, ref dispatch.TaskRef, how dispatch.End) {
	mw.mu.Lock()
	defer mw.mu.Unlock()
	if !wk.runs[ref] {
		return
	}
	delete(wk.runs, ref)
	mw.running[ref.Task]--
	wk.number++
	wk.ends = append(wk.ends, dispatch.EndedRun{Number: wk.number, Ref: ref, How: how})
}

func (mw *memWorkers) StopTask(_ context.Context, order dispatch.StopOrder) error {
	mw.mu.Lock()
	wk := mw.get(order.Worker)
	mw.mu.Unlock()
	mw.end(wk, order.Ref, dispatch.EndStopped)
	return nil
}

// Advise allows all workers.
func (mw *memWorkers) Advise(_ context.Context, order dispatch.AdviceOrder) dispatch.AdviceReply {
	rep := dispatch.AdviceReply{Tickets: map[ids.WorkerID]string{}, Validity: time.Second}
	for _, id := range order.Workers {
		rep.Tickets[id] = "t"
	}
	return rep
}

func (mw *memWorkers) Hold(ctx context.Context, order dispatch.HoldOrder) dispatch.HoldReply {
	mw.mu.Lock()
	hook := mw.onHold
	mw.mu.Unlock()
	if hook != nil {
		hook(order)
	}
	end := time.Now().Add(order.Wait)
	for {
		rep, ready := mw.list(order)
		if ready || time.Now().After(end) || ctx.Err() != nil {
			return rep
		}
		group.Sleep(ctx, 2*time.Millisecond)
	}
}

func (mw *memWorkers) list(order dispatch.HoldOrder) (dispatch.HoldReply, bool) {
	mw.mu.Lock()
	defer mw.mu.Unlock()
	wk := mw.get(order.Worker)
	if order.Token < wk.token {
		return dispatch.HoldReply{Fenced: true}, true
	}
	wk.token = order.Token
	rep := dispatch.HoldReply{Clock: memClock(), Born: 1}
	for ref := range wk.runs {
		rep.Running = append(rep.Running, ref)
	}
	for _, er := range wk.ends {
		if er.Number > order.Acked {
			rep.Ended = append(rep.Ended, er)
		}
	}
	return rep, len(rep.Ended) > 0
}
