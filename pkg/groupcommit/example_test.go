package groupcommit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

// claim is a record that assigns a name to an owner if the name has none.
type claim struct {
	name, owner string
}

func (cl claim) Changes() []groupcommit.Change {
	return []groupcommit.Change{{Key: "name/" + cl.name, Value: []byte(cl.owner)}}
}

func (cl claim) Size() int { return len(cl.name) + len(cl.owner) }

// mapStore is an in-memory store.
type mapStore struct {
	mu      sync.Mutex
	version int64
	rows    map[string]groupcommit.Row
}

func (st *mapStore) Commit(_ context.Context, tx groupcommit.Transaction) (int64, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	conflict := &groupcommit.ConflictError{}
	for _, ck := range tx.Checks {
		if row := st.rows[ck.Key]; row.Version != ck.Version {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	st.version++
	for _, wt := range tx.Writes {
		st.rows[wt.Key] = groupcommit.Row{Key: wt.Key, Version: st.version, Value: wt.Value}
	}
	return st.version, nil
}

func ExampleCommitter() {
	store := &mapStore{rows: map[string]groupcommit.Row{}}
	tokens := 0
	com := groupcommit.New(groupcommit.Options[claim]{
		Store:  store,
		Guards: []string{"fence/one"},
		LogKey: func(seq int64) string { return fmt.Sprintf("log/one/%d", seq) },
		Encode: func(token string, _ []claim) ([]byte, error) { return json.Marshal(token) },
		Token: func(raw []byte) string {
			var token string
			_ = json.Unmarshal(raw, &token)
			return token
		},
		NewToken: func() string { tokens++; return fmt.Sprint("token-", tokens) },
		Interval: func() time.Duration { return time.Millisecond },
	})
	com.Start()
	defer com.Close()
	results := make(chan error)
	for _, owner := range []string{"ana", "luis"} {
		_, err := com.Add(claim{name: "fitdesk", owner: owner}, func(res groupcommit.Result) { results <- res.Err })
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(owner, <-results)
	}
	// Output:
	// ana <nil>
	// luis a condition of the record failed; read the row and decide again
}
