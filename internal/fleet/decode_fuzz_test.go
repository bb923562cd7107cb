package fleet

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
)

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
