package versioned_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/oleanderwall/oleanderwall/pkg/versioned"
)

// mapRows is an in-memory table.
type mapRows struct {
	version int64
	rows    map[string]versioned.Row
}

func (mr *mapRows) Get(_ context.Context, key string) (versioned.Row, error) {
	return mr.rows[key], nil
}

func (mr *mapRows) List(_ context.Context, prefix, after string, limit int) ([]versioned.Row, error) {
	var out []versioned.Row
	for _, key := range slices.Sorted(maps.Keys(mr.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(out) < limit {
			out = append(out, mr.rows[key])
		}
	}
	return out, nil
}

func (mr *mapRows) ReadCurrent(_ context.Context, keys ...string) ([]versioned.Row, error) {
	out := make([]versioned.Row, 0, len(keys))
	for _, key := range keys {
		out = append(out, mr.rows[key])
	}
	return out, nil
}

func (mr *mapRows) Commit(_ context.Context, _ string, checks []versioned.Check, writes []versioned.Write) error {
	for _, ck := range checks {
		if mr.rows[ck.Key].Version != ck.Version {
			return versioned.ErrConflict
		}
	}
	mr.version++
	for _, wt := range writes {
		mr.rows[wt.Key] = versioned.Row{Key: wt.Key, Version: mr.version, Value: wt.Value}
	}
	return nil
}

func ExampleStore() {
	type limits struct {
		Jobs int `json:"jobs"`
	}
	st := versioned.New(versioned.Options[limits]{
		Rows:    &mapRows{rows: map[string]versioned.Row{}},
		Prefix:  "limits/",
		Initial: func() limits { return limits{Jobs: 10} },
		Apply: func(doc limits, patch json.RawMessage) (limits, error) {
			err := json.Unmarshal(patch, &doc)
			return doc, err
		},
		Changed: func(_, _ limits) []string { return []string{"jobs"} },
	})
	ctx := context.Background()
	patch := versioned.Patch{LastSeen: 0, PatchID: "ana-1", Patch: []byte(`{"jobs": 20}`)}
	for range 2 { // the second time after a lost reply
		version, err := st.Accept(ctx, patch)
		fmt.Println(version.Number, version.Document.Jobs, err)
	}
	_, err := st.Accept(ctx, versioned.Patch{LastSeen: 0, PatchID: "luis-1", Patch: []byte(`{"jobs": 5}`)})
	fmt.Println(err)
	// Output:
	// 1 20 <nil>
	// 1 20 <nil>
	// the document is at number 1; changed since the last seen number: [jobs]
}
