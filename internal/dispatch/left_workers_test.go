package dispatch

import (
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// leave takes a worker away as planned: its report says that it drains, then its
// process ends and its row is removed.
func (wk *emuWorker) leave(drain time.Duration) {
	wk.info.State = WorkerDraining
	wk.wo.after(drain, func() {
		wk.crash(0)
		wk.unlisted, wk.refuses = true, true
		wk.downAt = wk.wo.at.Add(-emuExpiry - time.Millisecond)
	})
}

// comeBack starts a worker that has left in a new lifetime.
func (wk *emuWorker) comeBack() {
	wk.info.State, wk.unlisted, wk.refuses, wk.up = WorkerReady, false, false, true
	wk.info.Born++
	wk.token, wk.number, wk.lease, wk.latest = 0, 0, 0, map[TaskID]Run{}
	wk.offset = emuEpoch.Sub(wk.wo.at)
}

// runningLasting returns the number of long-running tasks that run somewhere.
func (wo *world) runningLasting() int {
	count := 0
	for id, runs := range wo.running {
		if at, _ := parseTaskID(id); runs > 0 && wo.jobs[at.job].steps[at.step].Lasting {
			count++
		}
	}
	return count
}

// TestHolderLostAfterWorkerLeft guards against long-running tasks that wait for
// lastingTimeout as in a partition, because the row of a worker that has left still
// names a holder that is lost for good later.
func TestHolderLostAfterWorkerLeft(t *testing.T) {
	t.Parallel()
	const count, limit = 12, 10 * time.Second
	for seed := range uint64(4) {
		wo := zonedWorld(seed+700, 4, 12, []ids.AvailabilityZone{"north"})
		ee := wo.sortedEntries()[seed]
		for wo.runningLasting() < count {
			wo.submit(ee, kind{queue: "fit", width: 3, work: time.Second, stored: true, lasting: true, spread: 1})
			wo.run(300 * time.Millisecond)
		}
		tasks := wo.runningLasting()
		wid := sortedKeys(ee.en.workers)[0]
		wo.workers[wid].leave(2 * time.Second)
		wo.run(8 * time.Second)
		if row, ok := wo.rows[wid]; ok {
			t.Errorf("seed %d: the row of %s, which has left, still names the holder %s", seed, wid, row.Holder)
		}
		ee.freeze(time.Hour)
		lostAt := wo.at
		wo.run(2 * time.Second)
		for wo.runningLasting() < tasks && wo.at.Sub(lostAt) < time.Minute {
			wo.run(100 * time.Millisecond)
		}
		if away := wo.at.Sub(lostAt); away > limit {
			t.Errorf("seed %d: long-running tasks are away for %v, want at most %v", seed, away, limit)
		}
		wo.workers[wid].comeBack()
		wo.run(3 * time.Second)
		if wo.workers[wid].token == 0 {
			t.Errorf("seed %d: nobody holds %s after its return", seed, wid)
		}
		wo.check(t)
	}
}

// TestUnreachedRowStays guards against long-running tasks that run twice: a holder
// removes the row of a worker that it has never reached, and the previous holder, cut
// off together with the worker, still keeps tasks there.
func TestUnreachedRowStays(t *testing.T) {
	t.Parallel()
	for _, reached := range []bool{false, true} {
		wo, en, _ := newHolder()
		if reached {
			en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
		}
		en.DropWorker("w", 0)
		en.HoldReplied("w", 50, HoldReply{Failed: true, Refused: true, Reason: "connection refused"})
		wo.tick(en, 2*maxReportAge)
		if en.workers["w"] != nil {
			t.Fatal("the worker is still held")
		}
		if _, ok := en.givenUp["w"]; ok != reached {
			t.Errorf("reached %t: the row is given up: %t", reached, ok)
		}
	}
}

// TestWorkersLeaveAndReturn guards against a holder that uses a row whose removal
// is carried out late. Workers come back under their ids around the removal of their
// holder rows, while half of the store's replies are lost.
func TestWorkersLeaveAndReturn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		wo := standardWorld(seed+720, 5, 16)
		wo.lostReplyShare = 0.5
		wo.load([]kind{
			{queue: "peek", perS: 8, width: 4, work: 60 * time.Millisecond},
			{queue: "fit", perS: 3, width: 3, work: 400 * time.Millisecond, stored: true},
		}, 1, 20*time.Second)
		wo.submit(wo.sortedEntries()[0], kind{queue: "pair", width: 4, work: time.Second, stored: true, lasting: true})
		list := wo.sortedWorkers()
		for num, wk := range list[:8] {
			const drain = 300 * time.Millisecond
			for round := range 4 {
				begin := time.Duration(round)*5*time.Second + time.Duration(num)*100*time.Millisecond
				wo.after(begin, func() { wk.leave(drain) })
				wo.after(begin+drain+time.Duration(300+wo.rnd.IntN(2500))*time.Millisecond, wk.comeBack)
			}
		}
		wo.run(30 * time.Second)
		wo.lostReplyShare = 0
		wo.run(15 * time.Second)
		for _, wk := range list {
			if row := wo.rows[wk.info.ID]; row.Version == 0 || Token(row.Version) != wk.token {
				t.Errorf("seed %d: worker %s has seen token %d, its row has version %d", seed, wk.info.ID, wk.token, row.Version)
			}
		}
		wo.check(t)
	}
}
