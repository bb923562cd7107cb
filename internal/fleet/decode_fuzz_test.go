package fleet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
)

// FuzzJobRow guards against a row of a job that ends the process, or that takes
// far more memory decoded than in the store.
func FuzzJobRow(f *testing.F) {
	f.Add([]byte(`{"state":"accepted","done":["0.0.2-17@1"],"crashes":{"0.0.1":[{"run":1}]}}`))
	f.Add([]byte(`{"done":["0.0.9223372036854775806-9223372036854775807@1"]}`))
	var many []string
	for num := range 300 {
		many = append(many, fmt.Sprintf(`"0.%d.0-%d@1"`, num, maxRangeTasks-1))
	}
	f.Add([]byte(`{"done":[` + strings.Join(many, ",") + `]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec, err := decodeRecord(Row{Key: "j", Value: raw})
		if err == nil && len(rec.Done) > maxRangeTasks {
			t.Fatalf("%d completed tasks in a row, a job has %d at most", len(rec.Done), maxRangeTasks)
		}
	})
}

// FuzzBatch guards against a batch of another entry that ends the process.
func FuzzBatch(f *testing.F) {
	for _, batch := range []Batch{
		{From: "entry-1/1", Session: 1, Self: &dispatch.Self{Incarnation: "entry-1/1"}},
		{From: "entry-1/1", Messages: []dispatch.Message{dispatch.AskDesired{}, dispatch.NewDesired{Desired: dispatch.Desired{Version: 3}}}},
		{From: "entry-1/1", Messages: []dispatch.Message{dispatch.Start{}, dispatch.JobNews{}, dispatch.WorkerNews{}}},
	} {
		var raw bytes.Buffer
		if err := gob.NewEncoder(&raw).Encode(batch); err != nil {
			f.Fatal(err)
		}
		f.Add(raw.Bytes())
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var batch Batch
		_ = gob.NewDecoder(bytes.NewReader(raw)).Decode(&batch)
	})
}
