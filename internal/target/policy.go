package target

// policy is the rule by which a target is chosen. The product uses one; the
// alternatives that it was measured against are in policy_test.go.
type policy struct {
	// rank orders the targets with a free slot; the lowest is chosen.
	rank func(se *service, kt *kindTimes, ts *targetState, slots, used int) float64
	// sample bounds how many targets are ranked, from a random one on; 0 ranks all.
	sample int
	// wait lets a request wait for a faster target although a slow one is free.
	wait bool
	// last serves the newest waiter of a team first.
	last bool
}

func expectedCompletion() policy {
	return policy{
		rank: func(se *service, kt *kindTimes, ts *targetState, _, used int) float64 {
			return float64(se.times.estimate(kt, &ts.times, used))
		},
		wait: true,
	}
}
