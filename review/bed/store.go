package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store, as the settings of a small deployment state them.
const (
	txnLatency     = 6 * time.Millisecond
	readLatency    = 4 * time.Millisecond
	partSpacing    = 5 * time.Millisecond // 200 transactions a second and part
	maxPartQueue   = time.Second
	maxRowBytes    = 65536
	maxTxBytes     = 1 << 20
	maxTxItems     = 100
	maxPageRows    = 500
	maxFeedWait    = 30 * time.Second
	historyKept    = 20 * time.Second
	writesPerS     = 600
	readsPerS      = 2000
	tableWorkers   = "servers"
	tableDesired   = "op"
	desiredKey     = "config"
	maxNameBytes   = 200
	contentType    = "Content-Type"
	applicationTyp = "application/json"
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (ro storeRow) id() rowID { return rowID{ro.Table, ro.Part, ro.Key} }

type change struct {
	row storeRow
	at  time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec   *recorder
	began time.Time

	mu       sync.Mutex
	version  int64
	rows     map[rowID]storeRow
	history  []change
	trimmed  int64 // changes up to this version are no longer in the history
	changed  chan struct{}
	partFree map[string]time.Time
	second   int64
	writes   int
	reads    int
	// loseTx decides whether the answer of a transaction that was carried out is
	// lost, nil for never.
	loseTx func(puts []storeRow) bool
	// tooLarge counts the transactions refused because of the size of a row.
	tooLarge int
}

func newStore(rec *recorder) *store {
	return &store{
		rec: rec, began: time.Now(), rows: map[rowID]storeRow{}, changed: make(chan struct{}), partFree: map[string]time.Time{},
	}
}

// ServeHTTP answers the calls of the entries.
func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch rq.URL.Path {
	case "/rows-get":
		st.get(wr, rq)
	case "/rows-feed":
		st.feed(wr, rq)
	case "/rows-tx":
		st.transact(wr, rq)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

// admit counts a call and reports whether it is within the rate.
func (st *store) admit(write bool) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if sec := time.Now().Unix(); sec != st.second {
		st.second, st.writes, st.reads = sec, 0, 0
	}
	if write {
		st.writes++
		return st.writes <= writesPerS
	}
	st.reads++
	return st.reads <= readsPerS
}

type rowsReply struct {
	Rows         []storeRow `json:"rows"`
	HasMore      bool       `json:"hasMore"`
	Version      int64      `json:"schemaVersion"`
	ServerTimeMs int64      `json:"serverTimeMs"`
}

func (st *store) answer(wr http.ResponseWriter, status int, rep rowsReply) {
	rep.ServerTimeMs = time.Since(st.began).Milliseconds()
	writeJSON(wr, status, rep)
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	wr.Header().Set(contentType, applicationTyp)
	wr.WriteHeader(status)
	if _, err := wr.Write(raw); err != nil {
		return // the caller has gone
	}
}

func (st *store) get(wr http.ResponseWriter, rq *http.Request) {
	if !st.admit(false) {
		wr.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(readLatency)
	query := rq.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	st.mu.Lock()
	rep := rowsReply{Rows: []storeRow{}, Version: st.version}
	for _, ro := range st.rows {
		to := query.Get("to")
		if ro.Table == query.Get("table") && ro.Part == query.Get("part") && ro.Key >= query.Get("from") && (to == "" || ro.Key < to) {
			rep.Rows = append(rep.Rows, ro)
		}
	}
	st.mu.Unlock()
	slices.SortFunc(rep.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for num, ro := range rep.Rows {
		if size += len(ro.Value) * 4 / 3; num >= limit || (num > 0 && size > maxTxBytes) {
			rep.Rows, rep.HasMore = rep.Rows[:num], true
			break
		}
	}
	st.answer(wr, http.StatusOK, rep)
}

// feed answers with the rows of a table that have changed after a version.
func (st *store) feed(wr http.ResponseWriter, rq *http.Request) {
	if !st.admit(false) {
		wr.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(readLatency)
	query := rq.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		rep, gone, changed := st.changesAfter(query.Get("table"), after)
		if gone {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if len(rep.Rows) > 0 {
			st.answer(wr, http.StatusOK, rep)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			st.answer(wr, http.StatusOK, rep)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *store) changesAfter(table string, after int64) (rowsReply, bool, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	rep := rowsReply{Rows: []storeRow{}, Version: st.version}
	if after < st.trimmed {
		return rep, true, st.changed
	}
	for _, ch := range st.history {
		if ch.row.Table != table || ch.row.Version <= after {
			continue
		}
		if len(rep.Rows) >= maxPageRows && ch.row.Version != rep.Rows[len(rep.Rows)-1].Version {
			rep.Version = rep.Rows[len(rep.Rows)-1].Version
			break
		}
		rep.Rows = append(rep.Rows, ch.row)
	}
	return rep, false, st.changed
}

type transaction struct {
	Expected []storeRow `json:"expectedRevision"`
	Puts     []storeRow `json:"puts"`
	Remove   []storeRow `json:"remove"`
}

// check reports the status with which a transaction is refused for its form, 0
// for none.
func (st *store) check(tx transaction) (int, string) {
	if len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > maxTxItems {
		return http.StatusBadRequest, "items"
	}
	part, first := "", true
	for _, ro := range slices.Concat(tx.Expected, tx.Puts, tx.Remove) {
		if len(ro.Table) > maxNameBytes || len(ro.Part) > maxNameBytes || len(ro.Key) > maxNameBytes {
			return http.StatusBadRequest, "name"
		}
		if !first && ro.Part != part {
			return http.StatusBadRequest, "part"
		}
		part, first = ro.Part, false
		if len(ro.Value) > maxRowBytes {
			return http.StatusBadRequest, "row"
		}
	}
	for _, ro := range slices.Concat(tx.Puts, tx.Remove) {
		if ro.Table == tableWorkers || ro.Table == tableDesired {
			return http.StatusForbidden, "table"
		}
	}
	return 0, ""
}

func (st *store) transact(wr http.ResponseWriter, rq *http.Request) {
	if !st.admit(true) {
		wr.WriteHeader(http.StatusTooManyRequests)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(rq.Body, 16*maxTxBytes))
	if err != nil {
		return
	}
	var tx transaction
	if err := json.Unmarshal(raw, &tx); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := st.check(tx)
	if len(raw) > maxTxBytes {
		status, reason = http.StatusBadRequest, "size"
	}
	if status != 0 {
		st.refused(tx, len(raw), status, reason)
		writeJSON(wr, status, map[string]string{"reason": reason})
		return
	}
	wait, ok := st.reserve(tx)
	if !ok {
		wr.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(wait + txnLatency)
	present, version, ok := st.apply(tx)
	if !ok {
		st.answer(wr, http.StatusPreconditionFailed, rowsReply{Rows: present, Version: version})
		return
	}
	st.mu.Lock()
	lost := st.loseTx != nil && st.loseTx(tx.Puts)
	st.mu.Unlock()
	if lost {
		st.rec.logf("store answer-lost version=%d", version)
		<-rq.Context().Done()
		return
	}
	st.answer(wr, http.StatusOK, rowsReply{Rows: []storeRow{}, Version: version})
}

func (st *store) refused(tx transaction, size, status int, reason string) {
	largest := 0
	for _, ro := range tx.Puts {
		largest = max(largest, len(ro.Value))
	}
	st.mu.Lock()
	st.tooLarge++
	st.mu.Unlock()
	st.rec.logf("store refused status=%d reason=%s puts=%d bytes=%d largest-row=%d", status, reason, len(tx.Puts), size, largest)
}

// reserve returns the time until the part of a transaction is free.
func (st *store) reserve(tx transaction) (time.Duration, bool) {
	part := ""
	for _, ro := range slices.Concat(tx.Expected, tx.Puts, tx.Remove) {
		part = ro.Part
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	wait := max(0, st.partFree[part].Sub(now))
	if wait > maxPartQueue {
		return 0, false
	}
	st.partFree[part] = now.Add(wait + partSpacing)
	return wait, true
}

// apply carries out a transaction if its conditions hold. Otherwise it returns
// the present rows.
func (st *store) apply(tx transaction) ([]storeRow, int64, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	present := []storeRow{}
	holds := true
	for _, ex := range tx.Expected {
		ro, ok := st.rows[ex.id()]
		if ok {
			present = append(present, ro)
		}
		holds = holds && ro.Version == ex.Version
	}
	if !holds {
		return present, st.version, false
	}
	st.version++
	for _, ro := range tx.Puts {
		ro.Version, ro.Deleted = st.version, false
		st.rows[ro.id()] = ro
		st.addChange(ro)
	}
	for _, ro := range tx.Remove {
		if _, ok := st.rows[ro.id()]; ok {
			delete(st.rows, ro.id())
			st.addChange(storeRow{Table: ro.Table, Part: ro.Part, Key: ro.Key, Version: st.version, Deleted: true})
		}
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return nil, st.version, true
}

func (st *store) addChange(ro storeRow) {
	now := time.Now()
	st.history = append(st.history, change{row: ro, at: now})
	for len(st.history) > 0 && now.Sub(st.history[0].at) > historyKept {
		st.trimmed = st.history[0].row.Version
		st.history = st.history[1:]
	}
}

// put writes a row of the operator or of a worker.
func (st *store) put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	st.apply(transaction{Puts: []storeRow{{Table: table, Key: key, Value: raw}}})
	return nil
}

func (st *store) remove(table, key string) {
	st.apply(transaction{Remove: []storeRow{{Table: table, Key: key}}})
}

// value returns the value of a row without a part, nil if there is none.
func (st *store) value(table, key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rows[rowID{table, "", key}].Value
}

// setLoseTx sets the function that decides which answers get lost.
func (st *store) setLoseTx(fn func(puts []storeRow) bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.loseTx = fn
}
