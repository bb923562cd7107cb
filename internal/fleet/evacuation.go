package fleet

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// readEvacuations applies the requests to evacuate zones among the rows of an
// answer for TableDesired. The read was sent at a time, and the store had the
// version when it was answered.
func (dm *Daemon) readEvacuations(rows []Row, full, complete bool, version dispatch.Version, sent time.Time) {
	var list []dispatch.EvacuationRow
	for _, ro := range rows {
		if zone, ok := dm.store.DecodeEvacuation(ro.Key); ok {
			list = append(list, dispatch.EvacuationRow{Zone: zone, Version: ro.Version, Removed: ro.Deleted})
		}
	}
	if !complete {
		sent = time.Time{}
	}
	dm.locked(func(en *dispatch.Entry) { en.EvacuationsRead(list, version, full, sent) })
}

// evacuationGaugeInterval is the interval at which the gauges of evacuated zones
// are set.
const evacuationGaugeInterval = time.Second

// updateEvacuationGauges sets the gauges of the zones that are evacuated, and
// resets those of zones that no longer are.
func (dm *Daemon) updateEvacuationGauges(en *dispatch.Entry) {
	if dm.lockedAt.Sub(dm.evacuationGaugesAt) < evacuationGaugeInterval {
		return
	}
	dm.evacuationGaugesAt = dm.lockedAt
	set := func(zone ids.AvailabilityZone, runs, lasting int) {
		dm.cnt.Gauge("evacuation."+string(zone)+"-runs", int64(runs))
		dm.cnt.Gauge("evacuation."+string(zone)+"-lasting", int64(lasting))
	}
	present := map[ids.AvailabilityZone]bool{}
	for _, zr := range en.EvacuatedRuns() {
		present[zr.Zone] = true
		set(zr.Zone, zr.Runs, zr.Lasting)
	}
	for zone := range dm.evacuated {
		if !present[zone] {
			set(zone, 0, 0)
		}
	}
	dm.evacuated = present
}
