// Package retrybudget limits retries to a share of the first attempts, so that
// retries cannot multiply the load on back ends that are already failing.
//
// # Usage
//
//	bu := retrybudget.New(0.1, 10) // one retry for ten requests, at most 10 at once
//	bu.Deposit()                   // once for each first attempt
//	if bu.Withdraw() {
//		... // send again
//	}
//
// A Budget starts full, so that a service with little traffic can retry its
// first requests.
package retrybudget

import "sync/atomic"

// unit is one retry; deposits are counted in millionths of it.
const unit = 1_000_000

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	ratio     atomic.Int64
	maxTokens int64
	tokens    atomic.Int64
}

// New returns a full budget. ratio is the number of retries per first attempt,
// from 0 to 1; burst is the maximum number of saved retries.
func New(ratio float64, burst int) *Budget {
	bu := &Budget{maxTokens: int64(burst) * unit}
	bu.SetRatio(ratio)
	bu.tokens.Store(bu.maxTokens)
	return bu
}

// SetRatio replaces the number of retries per first attempt.
func (bu *Budget) SetRatio(ratio float64) {
	bu.ratio.Store(int64(ratio * unit))
}

// Deposit counts a first attempt.
func (bu *Budget) Deposit() {
	for {
		old := bu.tokens.Load()
		next := min(bu.maxTokens, old+bu.ratio.Load())
		if next == old || bu.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw takes one retry. It reports false if the budget is used up.
func (bu *Budget) Withdraw() bool {
	for {
		old := bu.tokens.Load()
		if old < unit {
			return false
		}
		if bu.tokens.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}
