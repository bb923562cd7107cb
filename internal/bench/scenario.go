package bench

import (
	"context"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Names of the scenarios.
const (
	ScenarioNone    = "none"
	ScenarioSlow    = "slow-target"
	ScenarioFailing = "failing-target"
	ScenarioKilled  = "killed-target"
	ScenarioSilent  = "silent-connections"
	ScenarioLeaving = "leaving-target"
	ScenarioBurst   = "burst"
)

// scenario is a fault that is injected after a third of the run, or a burst of
// arrivals.
type scenario struct {
	// inject injects the fault.
	inject func(sy *system)
	// proxied puts a proxy in front of each target.
	proxied bool
	// burst is the arrival rate between 40% and 50% of the run, as a multiple of
	// the capacity; 0 means no burst.
	burst float64
}

var scenarios = map[string]scenario{
	ScenarioNone: {},
	ScenarioSlow: {inject: func(sy *system) {
		sy.fleet.Targets[0].SetFaults(standin.TargetFaults{SlowFactor: 10})
	}},
	ScenarioFailing: {inject: func(sy *system) {
		sy.fleet.Targets[0].SetFaults(standin.TargetFaults{FailAll: true})
	}},
	ScenarioKilled: {inject: func(sy *system) { sy.fleet.TargetServers[0].Close() }},
	ScenarioSilent: {proxied: true, inject: func(sy *system) {
		for i := 0; i < len(sy.proxies); i += 10 {
			sy.proxies[i].SetFaults(faultproxy.Faults{FreezeExisting: true})
		}
	}},
	ScenarioLeaving: {inject: func(sy *system) {
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
	if sc.inject == nil {
		return
	}
	if group.Sleep(ctx, after) {
		sc.inject(sy)
	}
}
