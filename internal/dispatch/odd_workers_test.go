package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// addOddRow adds a row of another writer to the reports of workers, which its
// writer renews. It names a service and an address where nothing listens.
func (wo *world) addOddRow(service ids.ServiceName) {
	wk := wo.addWorker(len(wo.workers), "north", 32000, 1)
	wk.info.Service, wk.up, wk.dead, wk.refuses = service, false, true, true
}

// TestOddRowAtTakeover guards against a row of another writer that keeps lost tasks
// from being started again: nothing answers at its address, so its holder never
// learns what has ended there.
func TestOddRowAtTakeover(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name    string
		service ids.ServiceName
	}{
		{"of an unknown service", "other"},
		{"of the service of the jobs", "fitdesk"},
	}
	for num, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			wo := standardWorld(uint64(num)+1000, 5, 12)
			for range 3 {
				wo.addOddRow(row.service)
			}
			wo.run(12 * time.Second)
			wo.load(storedKinds(), 0.08, 8*time.Second)
			wo.run(4 * time.Second)
			wo.entries["entry-01"].kill()
			wo.after(time.Second, func() { wo.entries["entry-01"].start(0.4) })
			wo.run(30 * time.Second)
			wo.check(t)
			wo.checkStored(t)
		})
	}
}
