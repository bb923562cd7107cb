// Package pausedetect detects that the process was paused: stopped by a signal,
// starved of processor time, or suspended together with its VM.
//
// A process that was paused holds stale state: its leases may have expired, and
// other processes may have taken over what it owned. A timer alone can't detect
// this in time, because the goroutine that acts may run before the goroutine of
// the timer. Epoch therefore compares the clocks itself on each call.
//
// # Usage
//
//	det := pausedetect.New(time.Second)
//	defer det.Close()
//	epoch := det.Epoch()
//	plan := readState()
//	if det.Epoch() != epoch {
//		// The process was paused in between; plan is based on stale state.
//	}
//
// # Errors
//
// A pause shorter than the limit is not detected. A busy machine or a step of the
// wall clock may look like a pause, so a caller should read its state again
// rather than fail. A pause may also begin after the last call of Epoch: an
// action that must be safe in this case needs a check at the receiver, such as a
// conditional write.
package pausedetect

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Detector compares the time since its last check with a limit.
type Detector struct {
	limit time.Duration
	now   func() time.Time
	grp   *group.Group

	mu    sync.Mutex
	last  time.Time
	epoch uint64
	gap   time.Duration
}

// ticksPerLimit keeps the gap between two ticks well below the limit, so that
// only a pause exceeds it.
const ticksPerLimit = 4

// New returns a running detector that reports pauses longer than limit.
func New(limit time.Duration) *Detector {
	det := newDetector(limit, time.Now)
	det.grp = group.New(context.Background())
	det.grp.Every(limit/ticksPerLimit, func(context.Context) { det.Epoch() })
	return det
}

func newDetector(limit time.Duration, now func() time.Time) *Detector {
	return &Detector{limit: limit, now: now, last: now()}
}

// Epoch returns a number that increases with each detected pause of the process.
func (det *Detector) Epoch() uint64 {
	det.mu.Lock()
	defer det.mu.Unlock()
	now := det.now()
	// The monotonic clock of a guest may stop while its VM is suspended, and the
	// wall clock may be stepped back, so the larger gap is used.
	gap := max(now.Sub(det.last), now.Round(0).Sub(det.last.Round(0)))
	det.last = now
	if gap > det.limit {
		det.epoch++
		det.gap = gap
	}
	return det.epoch
}

// LastGap returns the length of the last detected pause, or 0 if there was none.
func (det *Detector) LastGap() time.Duration {
	det.mu.Lock()
	defer det.mu.Unlock()
	return det.gap
}

// Close stops the detector and waits until its goroutine has returned.
func (det *Detector) Close() {
	det.grp.Close()
}
