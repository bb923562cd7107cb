package standin

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/table"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// TableOptions are the settings of the table stand-in.
type TableOptions struct {
	// CommitDelay is the duration of a synced write.
	CommitDelay time.Duration
	// WritesPerSecond and ReadsPerSecond limit the rates; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// TableFaults are the faults of the table stand-in.
type TableFaults struct {
	// Outage refuses every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis delays every call.
	DelayMillis int64 `json:"delay-millis,omitempty"`
	// DropReplies is the share of commits that take effect but whose connection
	// is closed without a reply: 1 for all, 0 for none.
	DropReplies float64 `json:"drop-replies,omitempty"`
	// StaleReads serves reads from a snapshot taken when the fault was set.
	StaleReads bool `json:"stale-reads,omitempty"`
}

// TableCounts are the counters of the table stand-in.
type TableCounts struct {
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
	Refused   int64 `json:"refused"`
	RowsSet   int64 `json:"rows-set"`
	BytesIn   int64 `json:"bytes-in"`
}

// Table is a transactional table in memory.
type Table struct {
	opt    TableOptions
	faults atomic.Pointer[TableFaults]
	writes *rate.Limiter
	reads  *rate.Limiter
	router chi.Router

	mu        sync.Mutex
	version   table.Version
	rows      map[string]table.Row
	stale     map[string]table.Row
	committed map[string]table.Version
	dropsDue  float64
	counts    TableCounts
}

// NewTable returns an empty table.
func NewTable(opt TableOptions) *Table {
	tb := &Table{
		opt:       opt,
		writes:    newLimiter(opt.WritesPerSecond),
		reads:     newLimiter(opt.ReadsPerSecond),
		rows:      map[string]table.Row{},
		committed: map[string]table.Version{},
		router:    chi.NewRouter(),
	}
	tb.faults.Store(&TableFaults{})
	tb.router.Post("/table/transactions", tb.commit)
	tb.router.Get("/table/transactions/{id}", tb.outcome)
	tb.router.Get("/table/rows/{key}", tb.get)
	tb.router.Get("/table/rows", tb.list)
	tb.router.Put("/control/faults", jsonhttp.Handle(func(_ context.Context, req TableFaults) (TableFaults, error) {
		tb.SetFaults(req)
		return req, nil
	}))
	tb.router.Get("/control/counts", jsonhttp.Handle(func(context.Context, jsonhttp.None) (TableCounts, error) {
		return tb.Counts(), nil
	}))
	return tb
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP serves the table's protocol.
func (tb *Table) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	tb.router.ServeHTTP(wr, req)
}

// SetFaults replaces the faults.
func (tb *Table) SetFaults(faults TableFaults) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.stale = nil
	if faults.StaleReads {
		tb.stale = make(map[string]table.Row, len(tb.rows))
		for key, row := range tb.rows {
			tb.stale[key] = row
		}
	}
	tb.faults.Store(&faults)
}

// Counts returns a copy of the counters.
func (tb *Table) Counts() TableCounts {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.counts
}

// Rows returns the current rows whose keys start with the prefix.
func (tb *Table) Rows(prefix string) []table.Row {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return listRows(tb.rows, prefix, "", len(tb.rows))
}

// admit applies the faults and the rate limit that all calls have in common. It
// returns false if it has answered the call with an error.
func (tb *Table) admit(wr http.ResponseWriter, req *http.Request, lim *rate.Limiter) bool {
	faults := tb.faults.Load()
	if faults.DelayMillis > 0 {
		group.Sleep(req.Context(), time.Duration(faults.DelayMillis)*time.Millisecond)
	}
	if faults.Outage || !lim.Allow() {
		tb.mu.Lock()
		tb.counts.Refused++
		tb.mu.Unlock()
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusServiceUnavailable, "table-unavailable",
			"the table is down or over its rate", "try again later", time.Second))
		return false
	}
	return true
}

func (tb *Table) commit(wr http.ResponseWriter, req *http.Request) {
	var tx table.Transaction
	if err := jsonhttp.Decode(req, &tx); err != nil {
		jsonhttp.WriteError(wr, err)
		return
	}
	if !tb.admit(wr, req, tb.writes) {
		return
	}
	if len(tx.Writes) > table.MaxRows || req.ContentLength > table.MaxBytes {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusRequestEntityTooLarge, "transaction-too-large",
			"the transaction has too many rows or bytes", "split it", 0))
		return
	}
	group.Sleep(context.WithoutCancel(req.Context()), tb.opt.CommitDelay)
	version, conflicts, drop := tb.apply(tx, req.ContentLength)
	switch {
	case drop:
		dropReply(wr)
	case len(conflicts) > 0:
		jsonhttp.Write(wr, http.StatusConflict, table.Conflicts{Conflicts: conflicts})
	default:
		jsonhttp.Write(wr, http.StatusOK, table.Committed{Committed: true, Version: version})
	}
}

func (tb *Table) apply(tx table.Transaction, size int64) (table.Version, []table.Row, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.counts.BytesIn += size
	if version, ok := tb.committed[tx.ID]; ok && tx.ID != "" {
		return version, nil, false
	}
	var conflicts []table.Row
	for _, ck := range tx.Checks {
		if row := tb.rows[ck.Key]; row.Version != ck.Version {
			row.Key = ck.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		tb.counts.Conflicts++
		return 0, conflicts, false
	}
	tb.version++
	for _, wt := range tx.Writes {
		if wt.Delete {
			delete(tb.rows, wt.Key)
			continue
		}
		tb.rows[wt.Key] = table.Row{Key: wt.Key, Version: tb.version, Value: wt.Value}
	}
	tb.committed[tx.ID] = tb.version
	tb.counts.Commits++
	tb.counts.RowsSet += int64(len(tx.Writes))
	tb.dropsDue += tb.faults.Load().DropReplies
	if tb.dropsDue >= 1 {
		tb.dropsDue--
		return tb.version, nil, true
	}
	return tb.version, nil, false
}

func (tb *Table) outcome(wr http.ResponseWriter, req *http.Request) {
	if !tb.admit(wr, req, tb.reads) {
		return
	}
	tb.mu.Lock()
	version, ok := tb.committed[chi.URLParam(req, "id")]
	tb.counts.Reads++
	tb.mu.Unlock()
	jsonhttp.Write(wr, http.StatusOK, table.Committed{Committed: ok, Version: version})
}

func (tb *Table) get(wr http.ResponseWriter, req *http.Request) {
	if !tb.admit(wr, req, tb.reads) {
		return
	}
	key := pathParam(req, "key")
	tb.mu.Lock()
	row, ok := tb.readRows()[key]
	tb.counts.Reads++
	tb.mu.Unlock()
	if !ok {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusNotFound, "no-such-row", "no row "+strconv.Quote(key), "check the key", 0))
		return
	}
	jsonhttp.Write(wr, http.StatusOK, row)
}

func (tb *Table) list(wr http.ResponseWriter, req *http.Request) {
	if !tb.admit(wr, req, tb.reads) {
		return
	}
	query := req.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > table.MaxRows {
		limit = table.MaxRows
	}
	tb.mu.Lock()
	rows := listRows(tb.readRows(), query.Get("prefix"), query.Get("after"), limit)
	tb.counts.Reads++
	tb.mu.Unlock()
	jsonhttp.Write(wr, http.StatusOK, table.Page{Rows: rows})
}

func (tb *Table) readRows() map[string]table.Row {
	if tb.stale != nil {
		return tb.stale
	}
	return tb.rows
}

func listRows(rows map[string]table.Row, prefix, after string, limit int) []table.Row {
	var found []table.Row
	for key, row := range rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if len(found) > limit {
		found = found[:limit]
	}
	return found
}
