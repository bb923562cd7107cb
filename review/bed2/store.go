package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The answers of the store take this long, as the pages say.
const (
	readLatency = 4 * time.Millisecond
	txLatency   = 6 * time.Millisecond
	// maxRowBytes bounds the value of a row, as in the settings.
	maxRowBytes = 65536
	// maxTxItems and maxTxBytes bound a transaction.
	maxTxItems = 100
	maxTxBytes = 1 << 20
	// pageRows and pageBytes bound one answer.
	pageRows  = 500
	pageBytes = 1 << 20
	// maxFeedWait bounds the wait of one call of the feed.
	maxFeedWait = 30 * time.Second
)

// row is a row on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// place names a row.
type place struct{ table, part, key string }

func (ro row) place() place { return place{ro.Table, ro.Part, ro.Key} }

// store is a stand-in of the platform's store.
type store struct {
	began time.Time

	mu      sync.Mutex
	version int64
	rows    map[place]row
	history []row
	changed chan struct{}        // closed at the next change
	parts   map[string]time.Time // when a part is free for its next transaction
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[place]row{}, changed: make(chan struct{}), parts: map[string]time.Time{}}
}

// handler returns the handler of the store's address.
func (st *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", st.tx)
	mux.HandleFunc("GET /rows-get", st.get)
	mux.HandleFunc("GET /rows-feed", st.feed)
	return mux
}

func reply(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	if err := json.NewEncoder(wr).Encode(body); err != nil {
		return // the caller has left
	}
}

type rowsReply struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"schemaVersion"`
	TimeMs  int64 `json:"serverTimeMs"`
}

type txCall struct {
	Expected []row `json:"expectedRevision"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

// check reports whether a transaction is within the limits.
func (tx txCall) check() bool {
	size := 0
	for _, ro := range tx.Puts {
		if len(ro.Value) > maxRowBytes || ro.Table == "op" || ro.Table == "servers" {
			return false
		}
		size += len(ro.Value)
	}
	return len(tx.Expected)+len(tx.Puts)+len(tx.Remove) <= maxTxItems && size <= maxTxBytes
}

func (tx txCall) part() string {
	for _, list := range [][]row{tx.Expected, tx.Puts, tx.Remove} {
		if len(list) > 0 {
			return list[0].Part
		}
	}
	return ""
}

// partSpacing is the time that a part needs for one transaction.
const partSpacing = time.Second / 200

// tx applies a transaction, one after another in each part.
func (st *store) tx(wr http.ResponseWriter, rq *http.Request) {
	var call txCall
	if err := json.NewDecoder(rq.Body).Decode(&call); err != nil || !call.check() {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	st.mu.Lock()
	turn := st.parts[call.part()]
	if turn.Before(now) {
		turn = now
	}
	st.parts[call.part()] = turn.Add(partSpacing)
	st.mu.Unlock()
	sleep(context.WithoutCancel(rq.Context()), turn.Sub(now)+txLatency)
	present, ok, version := st.apply(call)
	if !ok {
		reply(wr, http.StatusPreconditionFailed, rowsReply{Rows: present, Version: version, TimeMs: st.time()})
		return
	}
	reply(wr, http.StatusOK, rowsReply{Rows: []row{}, Version: version, TimeMs: st.time()})
}

// apply carries out a transaction. If a condition fails it returns the present rows.
func (st *store) apply(call txCall) (present []row, ok bool, version int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ok = true
	for _, ex := range call.Expected {
		ro := st.rows[ex.place()]
		ok = ok && ro.Version == ex.Version
		if ro.Version != 0 {
			present = append(present, ro)
		}
	}
	if !ok {
		return present, false, st.version
	}
	st.version++
	for _, ro := range call.Puts {
		ro.Version = st.version
		st.rows[ro.place()] = ro
		st.history = append(st.history, ro)
	}
	for _, ro := range call.Remove {
		delete(st.rows, ro.place())
		st.history = append(st.history, row{Table: ro.Table, Part: ro.Part, Key: ro.Key, Version: st.version, Deleted: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return nil, true, st.version
}

// put writes a row of the operator or of a runner.
func (st *store) put(table, key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _, version := st.apply(txCall{Puts: []row{{Table: table, Key: key, Value: raw}}})
	return version
}

func (st *store) remove(table, key string) {
	st.apply(txCall{Remove: []row{{Table: table, Key: key}}})
}

func (st *store) time() int64 { return time.Since(st.began).Milliseconds() }

// get answers with rows of a part in the order of their keys.
func (st *store) get(wr http.ResponseWriter, rq *http.Request) {
	sleep(rq.Context(), readLatency)
	query := rq.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	rep := rowsReply{Rows: []row{}, TimeMs: st.time()}
	st.mu.Lock()
	for at, ro := range st.rows {
		if at.table == query.Get("table") && at.part == query.Get("part") && at.key >= query.Get("from") &&
			(query.Get("to") == "" || at.key < query.Get("to")) {
			rep.Rows = append(rep.Rows, ro)
		}
	}
	rep.Version = st.version
	st.mu.Unlock()
	slices.SortFunc(rep.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for num, ro := range rep.Rows {
		size += len(ro.Value)
		if num >= limit || (num > 0 && size > pageBytes) {
			rep.Rows, rep.More = rep.Rows[:num], true
			break
		}
	}
	reply(wr, http.StatusOK, rep)
}

// feed answers with the rows of a table that changed after a version.
func (st *store) feed(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || errWait != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	sleep(rq.Context(), readLatency)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		rep, changed := st.since(query.Get("table"), after)
		if len(rep.Rows) > 0 {
			reply(wr, http.StatusOK, rep)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(wr, http.StatusOK, rep)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// since returns the latest change of each row of a table after a version.
func (st *store) since(table string, after int64) (rowsReply, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rep := rowsReply{Rows: []row{}, Version: st.version, TimeMs: st.time()}
	first, _ := slices.BinarySearchFunc(st.history, after+1, func(ro row, at int64) int { return cmp.Compare(ro.Version, at) })
	size := 0
	for _, ro := range st.history[first:] {
		if ro.Table != table {
			continue
		}
		if size += len(ro.Value); len(rep.Rows) >= pageRows || size > pageBytes {
			rep.Version = rep.Rows[len(rep.Rows)-1].Version
			break
		}
		rep.Rows = append(rep.Rows, ro)
	}
	return rep, st.changed
}

// sleep pauses until a time has passed or the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
