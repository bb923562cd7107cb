package target

// policy selects the target of a request. Production code uses
// expectedCompletion; policy_test.go has the alternatives that it is
// benchmarked against.
type policy struct {
	// rank returns the rank of a target with a free slot; the lowest is chosen.
	rank func(se *service, kt *kindTimes, ts *targetState, slots, used int) float64
	// sample is the number of targets that are ranked, starting at a random
	// one; 0 ranks all.
	sample int
	// waitForFaster lets a request wait for a faster target while a slow one is
	// free.
	waitForFaster bool
	// newestFirst serves the waiters of a team last in, first out.
	newestFirst bool
}

func expectedCompletion() policy {
	return policy{
		rank: func(se *service, kt *kindTimes, ts *targetState, _, used int) float64 {
			return float64(se.times.estimate(kt, &ts.times, used))
		},
		waitForFaster: true,
	}
}
