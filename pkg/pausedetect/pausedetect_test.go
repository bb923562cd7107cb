package pausedetect

import (
	"testing"
	"time"
)

// TestEpochRisesAfterPause guards against a resumed process that acts on stale
// state because no timer has run since the pause.
func TestEpochRisesAfterPause(t *testing.T) {
	now := time.Now()
	det := newDetector(time.Second, func() time.Time { return now })
	for _, step := range []struct {
		name    string
		advance time.Duration
		want    uint64
	}{
		{"no time passed", 0, 0},
		{"within the limit", time.Second, 0},
		{"paused", time.Second + time.Millisecond, 1},
		{"running again", 100 * time.Millisecond, 1},
		{"paused again", time.Hour, 2},
	} {
		now = now.Add(step.advance)
		if got := det.Epoch(); got != step.want {
			t.Errorf("%s: epoch %d, want %d", step.name, got, step.want)
		}
	}
	if det.LastGap() != time.Hour {
		t.Errorf("last gap %s, want 1h", det.LastGap())
	}
}

// TestEpochSeesSuspendedVM guards against missing a suspension of the VM during
// which the monotonic clock stopped: only the wall clock shows the gap.
func TestEpochSeesSuspendedVM(t *testing.T) {
	now := time.Now().Round(0) // without a monotonic reading
	det := newDetector(time.Second, func() time.Time { return now })
	now = now.Add(time.Minute)
	if det.Epoch() != 1 {
		t.Error("the detector missed a gap of the wall clock")
	}
}
