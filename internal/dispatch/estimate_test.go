package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// TestSpeedOfNewWorker guards against tasks that are late on slow workers after a
// restart or a hand-over, because a worker counts as one of mean speed until it
// has run some tasks. Workers with the same labels have similar speeds.
func TestSpeedOfNewWorker(t *testing.T) {
	t.Parallel()
	_, en, _ := newHolder()
	put := func(id ids.WorkerID, kind, rack string, version Version) *worker {
		info := en.known["w"].info
		info.ID, info.Labels, info.Rack, info.Version = id, []string{kind, rack}, ids.RackID(rack), version
		en.PutWorker(info)
		if en.workers[id] == nil {
			en.PutHolderRow(HolderRow{Worker: id, Holder: en.self.Incarnation, Version: version})
		}
		return en.workers[id]
	}
	expect := func(wk *worker, want float64) {
		t.Helper()
		if got := wk.speed.factor(); math.Abs(math.Log(got/want)) > 0.15 {
			t.Errorf("the speed of worker %s is %.2f, want %.2f", wk.info.ID, got, want)
		}
	}
	const estimate = 200 * time.Millisecond
	slow, fast := put("slow", "a", "r1", 60), put("fast", "b", "r1", 61)
	expect(slow, 1)
	for range 20 {
		slow.speed.learn(estimate, estimate*2)
		fast.speed.learn(estimate, estimate/2)
	}
	expect(slow, 0.5)
	expect(fast, 2)
	expect(put("new-slow", "a", "r2", 62), 0.5)
	fresh := put("new-fast", "b", "r2", 63)
	expect(fresh, 2)
	fresh.speed.learn(estimate, estimate/2)
	expect(fresh, 2)
	// The worker restarts on a machine of another kind.
	expect(put("new-fast", "a", "r2", 64), 0.5)
}

// TestSpeedFarFromMean guards against a worker whose speed is never learned
// because every run takes far longer than on a worker of mean speed.
func TestSpeedFarFromMean(t *testing.T) {
	t.Parallel()
	_, en, _ := newHolder()
	wk := en.workers["w"]
	for range 20 {
		wk.speed.learn(200*time.Millisecond, time.Second)
	}
	if got := wk.speed.factor(); got > 0.25 {
		t.Errorf("a worker of speed 0.2 counts as one of speed %.2f", got)
	}
}
