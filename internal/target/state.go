package target

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

const (
	// suspectAfter is the number of consecutive failures after which a target is
	// suspect. A good target may fail once or twice when a connection breaks.
	suspectAfter  = 3
	minTrialPause = time.Second
	maxTrialPause = 30 * time.Second
)

// targetState is the state of one target in this entry. The mutex of its service
// guards all fields except conns.
type targetState struct {
	id      ids.TargetID
	address string
	leaving bool
	gate    *slotshare.Gate
	ownGate *slotshare.Gate // used while the board has no gates
	conns   *connections
	times   targetTimes

	failures      int
	suspect       bool
	healthy       bool // answered GET /health since its last failure
	probing       bool
	trialInFlight bool
	nextTrial     time.Time
	trialPause    time.Duration
}

func newTargetState(id ids.TargetID, di *Dispatcher) *targetState {
	return &targetState{id: id, conns: newConnections(di.grp), times: targetTimes{factor: 1}}
}

// update applies the row of the VM list, the gate and the capacity.
func (ts *targetState) update(vm ids.VM, gates *blackboard.Gates, conf configuration.Service) {
	if vm.Address != ts.address {
		ts.address = vm.Address
		ts.conns.setAddress(vm.Address)
	}
	ts.gate = ts.chooseGate(gates, conf)
	ts.conns.setLimit(ts.gate, conf)
	if vm.State != ids.StateLive {
		ts.markLeaving()
	}
}

func (ts *targetState) chooseGate(gates *blackboard.Gates, conf configuration.Service) *slotshare.Gate {
	if gates != nil {
		return gates.ByTarget[ts.id]
	}
	if ts.ownGate == nil {
		ts.ownGate = slotshare.NewGate(conf.Slots)
	}
	ts.ownGate.SetAllowance(conf.Slots)
	return ts.ownGate
}

// markLeaving marks the target as leaving, so that it gets no new requests. This
// is final. Requests in flight keep their connections.
func (ts *targetState) markLeaving() {
	ts.leaving = true
	ts.conns.retire()
}

// recordSuccess records an answer. It reports whether the target had failed before.
func (ts *targetState) recordSuccess(trial bool) bool {
	if ts.failures == 0 {
		return false
	}
	ts.failures = 0
	ts.suspect = false
	ts.trialPause = 0
	if trial {
		// The errors were counted as slow runs. After a successful trial the
		// target starts again without observations.
		ts.times = targetTimes{factor: 1}
	}
	return true
}

// recordFailure records a failure and postpones the next trial.
func (ts *targetState) recordFailure(now time.Time) {
	ts.failures++
	ts.healthy = false
	ts.suspect = ts.failures >= suspectAfter
	ts.postponeTrial(now)
}

func (ts *targetState) postponeTrial(now time.Time) {
	if now.Before(ts.nextTrial) {
		return
	}
	ts.trialPause = min(maxTrialPause, max(minTrialPause, 2*ts.trialPause))
	ts.nextTrial = now.Add(ts.trialPause)
}
