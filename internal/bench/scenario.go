package bench

import (
	"context"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The scenarios.
const (
	ScenarioNone    = "none"
	ScenarioSlow    = "slow-target"
	ScenarioFailing = "failing-target"
	ScenarioKilled  = "killed-target"
	ScenarioSilent  = "silent-connections"
	ScenarioLeaving = "leaving-target"
	ScenarioBurst   = "burst"
)

// scenario is a fault that begins when a third of the run is over.
type scenario struct {
	// begin brings the fault about.
	begin func(sy *system)
	// proxied puts a proxy before each target.
	proxied bool
	// burst is the arrival rate in the middle of the run, as a multiple of the
	// capacity; 0 for no burst.
	burst float64
}

var scenarios = map[string]scenario{
	ScenarioNone: {},
	ScenarioSlow: {begin: func(sy *system) {
		sy.fleet.Targets[0].SetFaults(standin.TargetFaults{SlowFactor: 10})
	}},
	ScenarioFailing: {begin: func(sy *system) {
		sy.fleet.Targets[0].SetFaults(standin.TargetFaults{FailAll: true})
	}},
	ScenarioKilled: {begin: func(sy *system) { sy.fleet.TargetServers[0].Close() }},
	ScenarioSilent: {proxied: true, begin: func(sy *system) {
		for i := 0; i < len(sy.proxies); i += 10 {
			sy.proxies[i].Set(faultproxy.Faults{FreezeExisting: true})
		}
	}},
	ScenarioLeaving: {begin: func(sy *system) {
		sy.fleet.VMs.Change(func(vms []ids.VM) []ids.VM {
			for i := range vms {
				if vms[i].ID == "target-0" {
					vms[i].State = ids.StateLeaving
				}
			}
			return vms
		})
	}},
	ScenarioBurst: {burst: 5},
}

func (sc scenario) run(ctx context.Context, sy *system, after time.Duration) {
	if sc.begin == nil {
		return
	}
	if group.Sleep(ctx, after) {
		sc.begin(sy)
	}
}
