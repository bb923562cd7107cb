package versioned

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

var errLost = errors.New("reply lost")

// memory is an in-memory table. If loseReplies is set, it loses every second
// reply of a commit. After freeze, Get and List return the rows at the time of
// freeze.
type memory struct {
	mu          sync.Mutex
	current     map[string]Row
	stale       map[string]Row
	done        map[string]bool
	version     int64
	loseReplies bool
	commits     int
}

func newMemory() *memory {
	return &memory{current: map[string]Row{}, done: map[string]bool{}}
}

func (me *memory) freeze() {
	me.stale = map[string]Row{}
	for key, row := range me.current {
		me.stale[key] = row
	}
}

func (me *memory) read() map[string]Row {
	if me.stale != nil {
		return me.stale
	}
	return me.current
}

func (me *memory) Get(_ context.Context, key string) (Row, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.read()[key], nil
}

func (me *memory) List(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	var out []Row
	for key, row := range me.read() {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

func (me *memory) ReadCurrent(_ context.Context, keys ...string) ([]Row, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	var out []Row
	for _, key := range keys {
		row := me.current[key]
		row.Key = key
		out = append(out, row)
	}
	return out, nil
}

func (me *memory) Commit(_ context.Context, id string, checks []Check, writes []Write) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	if !me.done[id] {
		for _, ck := range checks {
			if me.current[ck.Key].Version != ck.Version {
				return ErrConflict
			}
		}
		me.version++
		for _, wt := range writes {
			me.current[wt.Key] = Row{Key: wt.Key, Version: me.version, Value: wt.Value}
		}
		me.done[id] = true
	}
	me.commits++
	if me.loseReplies && me.commits%2 == 1 {
		return errLost
	}
	return nil
}

// doc is a set of keys; a patch is the name of a key to add.
type doc map[string]bool

func newStore(rows Rows) *Store[doc] {
	return New(Options[doc]{
		Rows:    rows,
		Prefix:  "test/",
		Initial: func() doc { return doc{} },
		Apply: func(before doc, patch json.RawMessage) (doc, error) {
			var key string
			err := json.Unmarshal(patch, &key)
			after := doc{key: true}
			for old := range before {
				after[old] = true
			}
			return after, err
		},
		Changed: func(before, after doc) []string {
			var out []string
			for key := range after {
				if !before[key] {
					out = append(out, key)
				}
			}
			sort.Strings(out)
			return out
		},
	})
}

func patchOf(seen Number, key string) Patch {
	return Patch{LastSeen: seen, PatchID: "id-" + key, Patch: json.RawMessage(fmt.Sprintf("%q", key))}
}

// TestRacingPatches guards against patches that are applied twice or not at
// all, and against gaps in the numbers, under lost replies and stale reads.
func TestRacingPatches(t *testing.T) {
	rows := newMemory()
	rows.freeze()
	rows.loseReplies = true
	const writers, patches = 8, 10
	grp := group.New(context.Background())
	for i := range writers {
		grp.Go(func(ctx context.Context) {
			st, seen := newStore(rows), Number(0)
			for k := 0; k < patches; {
				version, err := st.Accept(ctx, patchOf(seen, fmt.Sprintf("key-%d-%d", i, k)))
				var race *RaceError
				switch {
				case err == nil:
					seen = version.Number
					k++
				case errors.As(err, &race):
					seen = race.Current
				case !errors.Is(err, ErrUnknown):
					t.Errorf("writer %d: %v", i, err)
					return
				}
			}
		})
	}
	grp.Wait()
	rows.stale = nil
	st := newStore(rows)
	records, err := st.History(context.Background(), 0, 1000)
	if err != nil || len(records) != writers*patches {
		t.Fatalf("%d records, want %d: %v", len(records), writers*patches, err)
	}
	for i, rec := range records {
		if rec.Number != Number(i+1) || len(rec.Changed) != 1 {
			t.Errorf("record %d has number %d and changed %v", i, rec.Number, rec.Changed)
		}
	}
	last, err := st.Load(context.Background(), writers*patches)
	if err != nil || len(last.Document) != writers*patches {
		t.Errorf("the last document has %d keys, want %d: %v", len(last.Document), writers*patches, err)
	}
}

// TestAcceptRefusals guards against refusals that do not state why a patch was
// refused, and against a patch id that is accepted for two patches.
func TestAcceptRefusals(t *testing.T) {
	ctx := context.Background()
	st := newStore(newMemory())
	for i, key := range []string{"a", "b"} {
		if _, err := st.Accept(ctx, patchOf(Number(i), key)); err != nil {
			t.Fatal(err)
		}
	}
	again, err := st.Accept(ctx, patchOf(0, "a"))
	if err != nil || again.Number != 1 {
		t.Errorf("the same patch again: number %d, %v", again.Number, err)
	}
	var race *RaceError
	if _, err = st.Accept(ctx, patchOf(1, "c")); !errors.As(err, &race) || race.Current != 2 || fmt.Sprint(race.Changed) != "[b]" {
		t.Errorf("an old number: %v", err)
	}
	if _, err = st.Accept(ctx, patchOf(9, "c")); !errors.As(err, &race) || race.Current != 2 {
		t.Errorf("a number not reached: %v", err)
	}
	reused := patchOf(2, "c")
	reused.PatchID = "id-a"
	var used *PatchIDError
	if _, err = st.Accept(ctx, reused); !errors.As(err, &used) || used.Number != 1 {
		t.Errorf("a patch id used before: %v", err)
	}
	var size *SizeError
	if _, err = st.Accept(ctx, patchOf(2, strings.Repeat("x", MaxDocument))); !errors.As(err, &size) {
		t.Errorf("a document over the limit: %v", err)
	}
}
