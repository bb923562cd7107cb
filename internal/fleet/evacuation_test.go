package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/dispatch"
)

// TestEvacuationRows guards against requests to evacuate a zone that are not read
// from the store or not passed on between entries, whatever their bodies, and
// against zones that stay evacuated after the row was removed.
func TestEvacuationRows(t *testing.T) {
	cl := startCluster(t, 2, 4, 50*time.Millisecond)
	const key = "evacuate/north"
	evacuated := func(dm *Daemon) bool {
		list := []dispatch.ZoneRuns{}
		dm.locked(func(en *dispatch.Entry) { list = en.EvacuatedRuns() })
		return len(list) == 1 && list[0].Zone == "north"
	}
	all := func(want bool) func() bool {
		return func() bool { return evacuated(cl.entries[0]) == want && evacuated(cl.entries[1]) == want }
	}
	change := func(tx Transaction) {
		if _, err := cl.store.Commit(t.Context(), tx); err != nil {
			t.Error(err)
		}
	}
	for _, body := range []json.RawMessage{json.RawMessage(`{}`), json.RawMessage(`"text"`)} {
		change(Transaction{Puts: []Put{{Table: TableDesired, Key: key, Value: body}}})
		cl.eventually("both entries have read the request", all(true))
		before := cl.starts()
		out := cl.submit(cl.entries[0], "00000000000000c1", 2, false)
		if oc := <-out; oc.Reason != "evacuated" || cl.starts() != before {
			t.Errorf("a job gets %+v while its zone is evacuated, and %d tasks are started", oc, cl.starts()-before)
		}
		change(Transaction{Removes: []Remove{{Table: TableDesired, Key: key}}})
		cl.eventually("both entries have read the removal", all(false))
	}
	if oc := <-cl.submit(cl.entries[0], "00000000000000c2", 2, false); oc.Kind != dispatch.Completed {
		t.Errorf("outcome after the zone was taken back: %+v", oc)
	}
	cl.eventually("sessions are up", cl.connected)
	cl.store.mu.Lock()
	cl.store.down = true
	cl.store.mu.Unlock()
	cl.entries[0].locked(func(en *dispatch.Entry) {
		en.EvacuationsRead([]dispatch.EvacuationRow{{Zone: "north", Version: 900}}, 900, false, cl.entries[0].lockedAt)
	})
	cl.eventually("the other entry learns of a request without the store", func() bool { return evacuated(cl.entries[1]) })
	cnt := counter.New()
	dm := &Daemon{cnt: cnt, lockedAt: time.Now()}
	cl.entries[0].locked(func(en *dispatch.Entry) { dm.updateEvacuationGauges(en) })
	if !dm.evacuated["north"] {
		t.Error("the evacuated zone has no gauges")
	}
}

// starts returns the number of tasks that were started.
func (cl *cluster) starts() int {
	cl.workers.mu.Lock()
	defer cl.workers.mu.Unlock()
	return cl.workers.starts
}
