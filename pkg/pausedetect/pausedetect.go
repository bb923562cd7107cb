// Package pausedetect tells a process that it was paused: stopped by a signal,
// starved of processor time, or suspended together with its VM.
//
// A process that was paused holds old state: its leases may have expired and
// others may have taken over what it owned. It can't rely on a timer to learn
// this, because the goroutine that acts may run before the timer's goroutine
// does. Epoch therefore compares the clocks itself each time it is called.
//
// # Usage
//
//	det := pausedetect.New(time.Second)
//	defer det.Close()
//	epoch := det.Epoch()
//	plan := readState()
//	if det.Epoch() != epoch {
//		// The process was paused since; plan rests on old state.
//	}
//
// # Errors
//
// A pause shorter than the limit stays unnoticed. A busy machine or a step of
// the wall clock may look like a pause, so react by reading the state again,
// and not by giving up. A pause may also begin after the last call of Epoch:
// what must be safe in that case too needs a check at the receiver, such as a
// conditional write.
package pausedetect

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Detector compares the time since it last ran with a limit.
type Detector struct {
	limit time.Duration
	now   func() time.Time
	grp   *group.Group

	mu    sync.Mutex
	last  time.Time
	epoch uint64
	gap   time.Duration
}

// ticksPerLimit keeps the gap between two ticks well under the limit, so that
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

// Epoch returns a number that rises with each pause of the process.
func (det *Detector) Epoch() uint64 {
	det.mu.Lock()
	defer det.mu.Unlock()
	now := det.now()
	// The monotonic clock of a guest may stand still while its VM is
	// suspended, and the wall clock may be stepped back: the larger gap counts.
	gap := max(now.Sub(det.last), now.Round(0).Sub(det.last.Round(0)))
	det.last = now
	if gap > det.limit {
		det.epoch++
		det.gap = gap
	}
	return det.epoch
}

// LastGap returns the length of the last pause, 0 when there was none.
func (det *Detector) LastGap() time.Duration {
	det.mu.Lock()
	defer det.mu.Unlock()
	return det.gap
}

// Close stops the detector and waits.
func (det *Detector) Close() {
	det.grp.Close()
}
