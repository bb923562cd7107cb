package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// storeLatency is the time of a call to the store.
const storeLatency = 4 * time.Millisecond

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (ro row) name() rowName { return rowName{ro.Table, ro.Part, ro.Key} }

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's store: rows, transactions and the feed.
type store struct {
	grp   *group.Group
	began time.Time

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	rows    map[rowName]row
	history []row
	version int64
}

func newStore(grp *group.Group) *store {
	return &store{grp: grp, began: time.Now(), changed: make(chan struct{}), rows: map[rowName]row{}}
}

// put writes a row as the operator or a runner does.
func (st *store) put(table, key string, val any) error {
	raw, err := json.Marshal(val)
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.set(row{Table: table, Key: key, Value: raw, Version: st.version})
	return nil
}

// drop removes a row as the platform does when a runner has been silent.
func (st *store) drop(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	st.remove(rowName{table, "", key})
}

func (st *store) set(ro row) {
	st.rows[ro.name()] = ro
	st.history = append(st.history, ro)
	st.notify()
}

func (st *store) remove(name rowName) {
	if _, ok := st.rows[name]; !ok {
		return
	}
	delete(st.rows, name)
	st.history = append(st.history, row{Table: name.table, Part: name.part, Key: name.key, Version: st.version, Deleted: true})
	st.notify()
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) clock() int64 { return time.Since(st.began).Milliseconds() }

// gate is the way of one entry to the store. While it is cut, calls get no answer
// and have no effect.
type gate struct {
	st      *store
	address string

	mu     sync.Mutex
	slow   int           // factor of the latency, 0 for 1
	cut    chan struct{} // closed while the way is cut
	isCut  bool
	silent []net.Conn
}

// listen opens the way of one entry.
func (st *store) listen(ctx context.Context) (*gate, error) {
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ga := &gate{st: st, address: lis.Addr().String(), cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", ga.handle(ga.transact))
	mux.HandleFunc("GET /rows-get", ga.handle(ga.get))
	mux.HandleFunc("GET /rows-feed", ga.handle(ga.feed))
	serve(st.grp, &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}, lis)
	return ga, nil
}

// setCut cuts the way to the store, silently, or restores it.
func (ga *gate) setCut(cut bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if cut == ga.isCut {
		return
	}
	ga.isCut = cut
	if cut {
		close(ga.cut)
		return
	}
	ga.cut = make(chan struct{})
	for _, conn := range ga.silent {
		_ = conn.Close()
	}
	ga.silent = nil
}

// setSlow makes the answers take longer by a factor.
func (ga *gate) setSlow(factor int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.slow = factor
}

func (ga *gate) latency() time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return storeLatency * time.Duration(max(ga.slow, 1))
}

// swallow leaves a call without an answer for as long as the way is cut.
func (ga *gate) swallow(wr http.ResponseWriter) {
	hj, ok := wr.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hj.Hijack()
	if err != nil {
		return
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.isCut {
		ga.silent = append(ga.silent, conn)
		return
	}
	_ = conn.Close()
}

// state returns a channel that is closed when the way is cut, and whether it is.
func (ga *gate) state() (<-chan struct{}, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.cut, ga.isCut
}

// errSwallowed reports a call that gets no answer.
var errSwallowed = errors.New("the way to the store is cut")

// handle returns a handler that answers with what fn returns.
func (ga *gate) handle(fn func(rq *http.Request, cut <-chan struct{}) (int, any, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		cut, isCut := ga.state()
		if isCut {
			ga.swallow(wr)
			return
		}
		group.Sleep(rq.Context(), ga.latency())
		status, body, err := fn(rq, cut)
		if _, isCut := ga.state(); isCut || err != nil {
			ga.swallow(wr)
			return
		}
		reply(wr, status, body)
	}
}

type rowsReply struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"schemaVersion"`
	Clock   int64 `json:"serverTimeMs"`
}

type transaction struct {
	Expected []row `json:"expectedRevision"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

func (ga *gate) transact(rq *http.Request, _ <-chan struct{}) (int, any, error) {
	var tx transaction
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, rowsReply{}, nil //nolint:nilerr // the answer tells it
	}
	for _, ro := range slices.Concat(tx.Puts, tx.Remove) {
		if ro.Table == tableOperator || ro.Table == tableRunners {
			return http.StatusForbidden, rowsReply{}, nil
		}
	}
	st := ga.st
	st.mu.Lock()
	defer st.mu.Unlock()
	present, ok := []row{}, true
	for _, ex := range tx.Expected {
		ro, found := st.rows[ex.name()]
		if found {
			present = append(present, ro)
		}
		ok = ok && ro.Version == ex.Version
	}
	if !ok {
		return http.StatusPreconditionFailed, rowsReply{Rows: present, Version: st.version, Clock: st.clock()}, nil
	}
	st.version++
	for _, ro := range tx.Puts {
		ro.Version = st.version
		st.set(ro)
	}
	for _, ro := range tx.Remove {
		st.remove(ro.name())
	}
	return http.StatusOK, rowsReply{Rows: []row{}, Version: st.version, Clock: st.clock()}, nil
}

// pageRows is the largest number of rows in an answer.
const pageRows = 500

func (ga *gate) get(rq *http.Request, _ <-chan struct{}) (int, any, error) {
	query := rq.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	st := ga.st
	st.mu.Lock()
	defer st.mu.Unlock()
	rep := rowsReply{Rows: []row{}, Version: st.version, Clock: st.clock()}
	for name, ro := range st.rows {
		before := query.Get("to") == "" || name.key < query.Get("to")
		if name.table == query.Get("table") && name.part == query.Get("part") && name.key >= query.Get("from") && before {
			rep.Rows = append(rep.Rows, ro)
		}
	}
	sort.Slice(rep.Rows, func(a, b int) bool { return rep.Rows[a].Key < rep.Rows[b].Key })
	if len(rep.Rows) > limit {
		rep.Rows, rep.More = rep.Rows[:limit], true
	}
	return http.StatusOK, rep, nil
}

func (ga *gate) feed(rq *http.Request, cut <-chan struct{}) (int, any, error) {
	query := rq.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, rowsReply{}, nil //nolint:nilerr // the answer tells it
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		rep, changed := ga.st.changes(query.Get("table"), after)
		if len(rep.Rows) > 0 {
			return http.StatusOK, rep, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, rep, nil
		case <-cut:
			return 0, nil, errSwallowed
		case <-rq.Context().Done():
			return 0, nil, rq.Context().Err()
		}
	}
}

// changes returns the changes of a table after a version, and a channel that is
// closed at the next change.
func (st *store) changes(table string, after int64) (rowsReply, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rep := rowsReply{Rows: []row{}, Version: st.version, Clock: st.clock()}
	at := sort.Search(len(st.history), func(num int) bool { return st.history[num].Version > after })
	for _, ro := range st.history[at:] {
		if ro.Table != table {
			continue
		}
		if count := len(rep.Rows); count >= pageRows && ro.Version != rep.Rows[count-1].Version {
			rep.Version = rep.Rows[count-1].Version
			break
		}
		rep.Rows = append(rep.Rows, ro)
	}
	return rep, st.changed
}

// The tables that the system may not write to.
const (
	tableOperator = "op"
	tableRunners  = "servers"
)

// serve serves a listener until the group ends.
func serve(grp *group.Group, srv *http.Server, lis net.Listener) {
	grp.Go(func(context.Context) { _ = srv.Serve(lis) })
	grp.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = srv.Close()
	})
}

func reply(wr http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(raw)
}
