package groupcommit_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderwall/oleanderwall/pkg/group"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

type record struct {
	name    string
	changes []groupcommit.Change
}

func (rec record) Changes() []groupcommit.Change { return rec.changes }
func (rec record) Size() int                     { return len(rec.name) + 16 }

type logRow struct {
	Token string   `json:"token"`
	Names []string `json:"names"`
}

func encode(token string, recs []record) ([]byte, error) {
	row := logRow{Token: token}
	for _, rec := range recs {
		row.Names = append(row.Names, rec.name)
	}
	return json.Marshal(row)
}

func decode(raw []byte) string {
	var row logRow
	_ = json.Unmarshal(raw, &row)
	return row.Token
}

var errLost = errors.New("reply lost")

// store is a table that does not record transaction ids, so that only the rows
// show whether a transaction took effect. The script has one letter for each
// call: l: applied, reply lost; d: applied later, reply lost; r: refused,
// provably not applied; any other: no fault.
type store struct {
	mu         sync.Mutex
	rows       map[string]groupcommit.Row
	version    int64
	script     string
	delayed    []groupcommit.Transaction
	calls      int
	commitTime time.Duration
}

func (st *store) Commit(_ context.Context, tx groupcommit.Transaction) (int64, error) {
	time.Sleep(st.commitTime)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.calls++
	fault := byte(0)
	if len(st.script) > 0 {
		fault, st.script = st.script[0], st.script[1:]
	}
	switch fault {
	case 'r':
		return 0, fmt.Errorf("down: %w", groupcommit.ErrNotApplied)
	case 'd':
		st.delayed = append(st.delayed, tx)
		return 0, errLost
	}
	version, err := st.apply(tx)
	if fault == 'l' {
		return 0, errLost
	}
	// Delayed transactions are applied right after the next one, the worst
	// time.
	for _, old := range st.delayed {
		_, _ = st.apply(old)
	}
	st.delayed = nil
	return version, err
}

func (st *store) apply(tx groupcommit.Transaction) (int64, error) {
	var conflicts []groupcommit.Row
	for _, ck := range tx.Checks {
		if row := st.rows[ck.Key]; row.Version != ck.Version {
			row.Key = ck.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, &groupcommit.ConflictError{Rows: conflicts}
	}
	st.version++
	for _, wt := range tx.Writes {
		st.rows[wt.Key] = groupcommit.Row{Key: wt.Key, Version: st.version, Value: wt.Value}
		if wt.Delete {
			delete(st.rows, wt.Key)
		}
	}
	return st.version, nil
}

func options(st *store) groupcommit.Options[record] {
	var mu sync.Mutex
	token := 0
	return groupcommit.Options[record]{
		Store:  st,
		Guards: []string{"fence/a"},
		LogKey: func(seq int64) string { return fmt.Sprintf("log/a/%04d", seq) },
		Encode: encode,
		Token:  decode,
		NewToken: func() string {
			mu.Lock()
			defer mu.Unlock()
			token++
			return strconv.Itoa(token)
		},
		Interval:   func() time.Duration { return 100 * time.Microsecond },
		MinBackoff: 200 * time.Microsecond,
	}
}

func newStore() *store {
	return &store{rows: map[string]groupcommit.Row{}}
}

type outcome struct {
	rec record
	res groupcommit.Result
}

// run adds the records and waits for their outcomes.
func run(opt groupcommit.Options[record], recs []record) []outcome {
	com := groupcommit.New(opt)
	results := make(chan outcome, len(recs))
	for _, rec := range recs {
		if _, err := com.Add(rec, func(res groupcommit.Result) { results <- outcome{rec, res} }); err != nil {
			results <- outcome{rec, groupcommit.Result{Err: err}}
		}
	}
	com.Start()
	defer com.Close()
	var out []outcome
	for range recs {
		select {
		case oc := <-results:
			out = append(out, oc)
		case <-time.After(5 * time.Second):
			return out
		}
	}
	return out
}

// check compares the reported outcomes with the rows of the store.
func check(st *store, recs []record, got []outcome) error {
	if len(got) != len(recs) {
		return fmt.Errorf("%d of %d records have an outcome", len(got), len(recs))
	}
	logged := map[string]int{}
	for key, row := range st.rows {
		if key[:4] == "log/" {
			var lr logRow
			_ = json.Unmarshal(row.Value, &lr)
			for _, name := range lr.Names {
				logged[name]++
			}
		}
	}
	for _, oc := range got {
		want := 0
		if oc.res.Err == nil {
			want = 1
		}
		if logged[oc.rec.name] != want {
			return fmt.Errorf("%s: reported %w, but is in %d log rows", oc.rec.name, oc.res.Err, logged[oc.rec.name])
		}
		for _, ch := range oc.rec.changes {
			if written := string(st.rows[ch.Key].Value) == oc.rec.name; written != (want == 1) {
				return fmt.Errorf("%s: reported %w, but row %s is %s", oc.rec.name, oc.res.Err, ch.Key, st.rows[ch.Key].Value)
			}
		}
	}
	return nil
}

func job(name, key string, version int64) record {
	return record{name: name, changes: []groupcommit.Change{{Key: key, If: version, Value: []byte(name)}}}
}

// TestOutcomesMatchRows guards against outcomes that differ from the rows of
// the store when transactions are lost, delayed, refused or in conflict.
func TestOutcomesMatchRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := newStore()
		taken := rapid.IntRange(0, 3).Draw(rt, "taken")
		for i := range taken {
			_, _ = st.apply(groupcommit.Transaction{Writes: []groupcommit.Write{{Key: fmt.Sprintf("job/%d", 2*i), Value: []byte("other")}}})
		}
		st.script = rapid.StringOfN(rapid.RuneFrom([]rune("ldr..")), 0, 6, -1).Draw(rt, "script")
		opt := options(st)
		opt.MaxRows = rapid.IntRange(2, 8).Draw(rt, "rows")
		opt.MaxInFlight = rapid.IntRange(1, 3).Draw(rt, "in-flight")
		var recs []record
		for i := range rapid.IntRange(1, 8).Draw(rt, "records") {
			recs = append(recs, job(fmt.Sprintf("r%d", i), fmt.Sprintf("job/%d", i%6), 0))
		}
		if err := check(st, recs, run(opt, recs)); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCheckFindsSeededFault guards against a check that finds no fault. Without
// the token, a transaction that was applied and sent again is reported as
// refused.
func TestCheckFindsSeededFault(t *testing.T) {
	st := newStore()
	st.script = "l"
	opt := options(st)
	opt.Token = func([]byte) string { return "" }
	recs := []record{job("a", "job/1", 0), job("b", "job/2", 0)}
	if err := check(st, recs, run(opt, recs)); err == nil {
		t.Error("the check found no fault")
	}
}

// TestGuardEndsCommitter guards against commits after a fence.
func TestGuardEndsCommitter(t *testing.T) {
	st := newStore()
	st.rows["fence/a"] = groupcommit.Row{Version: 1}
	recs := []record{job("a", "job/1", 0)}
	got := run(options(st), recs)
	if len(got) != 1 || !errors.Is(got[0].res.Err, groupcommit.ErrGuarded) || len(st.rows) != 1 {
		t.Errorf("outcomes %v, rows %v", got, st.rows)
	}
}

// TestWithdraw guards against a commit of a record that was withdrawn during an
// outage.
func TestWithdraw(t *testing.T) {
	st := newStore()
	st.script = "rrr"
	com := groupcommit.New(options(st))
	withdrawn, _ := com.Add(job("gone", "job/1", 0), func(groupcommit.Result) { t.Error("a withdrawn record has an outcome") })
	kept := make(chan groupcommit.Result, 1)
	_, _ = com.Add(job("kept", "job/2", 0), func(res groupcommit.Result) { kept <- res })
	com.Start()
	defer com.Close()
	for began := time.Now(); !withdrawn.Withdraw(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the record could not be withdrawn between two refused sends")
		}
	}
	if res := <-kept; res.Err != nil || string(st.rows["job/1"].Value) != "" {
		t.Errorf("result %v, rows %v", res, st.rows)
	}
}

// TestBounds guards against a transaction over the limits of the store and
// against an unbounded queue.
func TestBounds(t *testing.T) {
	opt := options(newStore())
	opt.MaxBytes = 8 << 10
	opt.MaxPending = 5 << 10
	com := groupcommit.New(opt)
	none := func(groupcommit.Result) {}
	if _, err := com.Add(record{name: string(make([]byte, 8<<10))}, none); !errors.Is(err, groupcommit.ErrTooLarge) {
		t.Errorf("a record over the limit: %v", err)
	}
	if _, err := com.Add(record{name: string(make([]byte, 3<<10))}, none); err != nil {
		t.Errorf("a record within the limits: %v", err)
	}
	if _, err := com.Add(record{name: string(make([]byte, 3<<10))}, none); !errors.Is(err, groupcommit.ErrFull) {
		t.Errorf("a record over the bound of the queue: %v", err)
	}
}

// BenchmarkAdd measures the commit delay of a record at 2,000 records a second
// for several intervals, with a store whose synced write takes 5 ms.
func BenchmarkAdd(b *testing.B) {
	for _, interval := range []time.Duration{0, 3300 * time.Microsecond, 6700 * time.Microsecond, 23 * time.Millisecond, 50 * time.Millisecond} {
		b.Run(interval.String(), func(b *testing.B) {
			st := newStore()
			st.commitTime = 5 * time.Millisecond
			opt := options(st)
			opt.Interval = func() time.Duration { return interval }
			com := groupcommit.New(opt)
			com.Start()
			delays := make([]time.Duration, b.N)
			var wg sync.WaitGroup
			for i := range b.N {
				wg.Add(1)
				began := time.Now()
				_, err := com.Add(job(strconv.Itoa(i), fmt.Sprintf("job/%d", i), 0), func(groupcommit.Result) {
					delays[i] = time.Since(began)
					wg.Done()
				})
				if err != nil {
					b.Fatal(err)
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(500*time.Microsecond)))
			}
			wg.Wait()
			com.Close()
			reportDelays(b, delays, st.calls)
		})
	}
}

func reportDelays(b *testing.B, delays []time.Duration, calls int) {
	slices.Sort(delays)
	millis := func(share float64) float64 {
		return float64(delays[int(share*float64(len(delays)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(millis(0.5), "p50-ms")
	b.ReportMetric(millis(0.99), "p99-ms")
	b.ReportMetric(float64(calls)/b.Elapsed().Seconds(), "commits/s")
}

// TestMergedOutcomesMatchRows guards against outcomes that differ from the rows
// of the store when several committers share transactions.
func TestMergedOutcomesMatchRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := newStore()
		st.script = rapid.StringOfN(rapid.RuneFrom([]rune("ldr...")), 0, 8, -1).Draw(rt, "script")
		if rapid.Bool().Draw(rt, "fenced") {
			st.rows["fence/b"] = groupcommit.Row{Version: 1}
		}
		me := groupcommit.NewMerger(groupcommit.MergerOptions{Store: st, NewToken: uuid, Interval: func() time.Duration { return 100 * time.Microsecond }, MaxInFlight: 2})
		me.Start()
		defer me.Close()
		grp := group.New(context.Background())
		results := make(chan error, 3)
		for i, name := range []string{"a", "b", "c"} {
			opt := options(st)
			opt.Store = me
			opt.Guards = []string{"fence/" + name}
			opt.LogKey = func(seq int64) string { return fmt.Sprintf("log/%s/%04d", name, seq) }
			opt.NewToken = uuid
			var recs []record
			for k := range 4 {
				recs = append(recs, job(fmt.Sprintf("%s%d", name, k), fmt.Sprintf("job/%d", i+k), 0))
			}
			grp.Go(func(context.Context) {
				got := run(opt, recs)
				st.mu.Lock()
				defer st.mu.Unlock()
				results <- check(st, recs, got)
			})
		}
		for range 3 {
			if err := <-results; err != nil {
				rt.Error(err)
			}
		}
		grp.Close()
	})
}

var tokens atomic.Int64

func uuid() string { return strconv.FormatInt(tokens.Add(1), 10) }
