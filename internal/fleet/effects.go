package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// effects carries out the decisions of a dispatch.Entry. The caller of its
// methods holds the lock of the daemon.
type effects struct{ dm *Daemon }

// Send queues a message for another entry.
func (ef *effects) Send(to ids.EntryID, msg dispatch.Message) {
	if lk := ef.dm.links[to]; lk != nil {
		lk.push(msg)
	}
}

// StartTask sends a start order to a worker.
func (ef *effects) StartTask(order dispatch.StartOrder) {
	ef.dm.grp.Go(func(ctx context.Context) {
		began := time.Now()
		rep := ef.dm.workers.StartTask(ctx, order)
		ef.dm.cnt.Observe("worker.start", time.Since(began))
		ef.dm.locked(func(en *dispatch.Entry) { en.StartReplied(order.Worker, order.Token, order.Ref, rep) })
	})
}

// StopTask sends a stop order to a worker. The reply to the next hold lists the
// end of the run. A stop without effect is sent again.
func (ef *effects) StopTask(order dispatch.StopOrder) {
	ef.dm.grp.Go(func(ctx context.Context) {
		err := ef.dm.workers.StopTask(ctx, order)
		if err != nil && ctx.Err() == nil {
			ef.dm.log.Log("stop-unanswered", "worker", string(order.Worker), "task", string(order.Ref.Task),
				"run", int64(order.Ref.Run), "error", err.Error())
		}
		ef.dm.locked(func(en *dispatch.Entry) { en.StopReplied(order.Worker, order.Token, order.Ref, err == nil) })
	})
}

// Hold sends a hold order to a worker.
func (ef *effects) Hold(order dispatch.HoldOrder) {
	ef.dm.grp.Go(func(ctx context.Context) {
		ef.dm.cnt.Add("worker", "holds", 1)
		rep := ef.dm.workers.Hold(ctx, order)
		if ctx.Err() != nil {
			return
		}
		ef.dm.locked(func(en *dispatch.Entry) {
			if order.PollID != 0 {
				en.PollReplied(order.Worker, order.Token, order.PollID, rep)
				return
			}
			en.HoldReplied(order.Worker, order.Token, rep)
		})
	})
}

// holderRecord is a row of TableFleet that names the holder of a worker.
type holderRecord struct {
	Holder ids.Incarnation `json:"holder"`
}

// Commit changes holder rows.
func (ef *effects) Commit(changes []dispatch.RowChange) {
	ef.dm.grp.Go(func(ctx context.Context) {
		rep := ef.dm.commitHolders(ctx, changes)
		ef.dm.locked(func(en *dispatch.Entry) { en.Committed(changes, rep) })
	})
}

func (dm *Daemon) commitHolders(ctx context.Context, changes []dispatch.RowChange) dispatch.CommitReply {
	tx := Transaction{}
	for _, ch := range changes {
		key := holderPrefix + string(ch.Worker)
		tx.Checks = append(tx.Checks, Check{Table: TableFleet, Key: key, Version: ch.Expected})
		if ch.Holder == "" {
			tx.Removes = append(tx.Removes, Remove{Table: TableFleet, Key: key})
			continue
		}
		raw, err := json.Marshal(holderRecord{Holder: ch.Holder})
		if err != nil {
			return dispatch.CommitReply{Reason: err.Error()}
		}
		tx.Puts = append(tx.Puts, Put{Table: TableFleet, Key: key, Value: raw})
	}
	dm.cnt.Add("store", "commits", 1)
	rep, err := dm.store.Commit(ctx, tx)
	if err != nil {
		dm.cnt.Add("store", "commit-errors", 1)
		return dispatch.CommitReply{Reason: err.Error()}
	}
	out := dispatch.CommitReply{OK: rep.OK, Version: rep.Version, Conflict: !rep.OK}
	for _, ro := range rep.Present {
		row, ok := dm.decodeHolder(ro)
		if ok {
			out.Present = append(out.Present, row)
		}
	}
	return out
}

// ForgetMember ends the link to an entry and removes its row.
func (ef *effects) ForgetMember(id ids.EntryID, version dispatch.Version) {
	delete(ef.dm.links, id)
	ef.dm.grp.Go(func(ctx context.Context) {
		key := entryPrefix + string(id)
		_, err := ef.dm.store.Commit(ctx, Transaction{
			Checks:  []Check{{Table: TableFleet, Key: key, Version: version}},
			Removes: []Remove{{Table: TableFleet, Key: key}},
		})
		if err != nil {
			ef.dm.log.Log("member-row-removal-failed", "entry", string(id), "error", err.Error())
		}
	})
}

// adviceTimeout bounds an advice call. The service needs some milliseconds for
// each worker and handles one call of this VM at a time.
const adviceTimeout = 3 * time.Second

// Advise queues an advice call. The service handles one call of each VM at a
// time, so concurrent calls would only wait there.
func (ef *effects) Advise(order dispatch.AdviceOrder) {
	dm := ef.dm
	dm.advice = append(dm.advice, order)
	if len(dm.advice) == 1 {
		dm.grp.Go(dm.advise)
	}
}

// advise makes the queued advice calls one after another.
func (dm *Daemon) advise(ctx context.Context) {
	for ctx.Err() == nil {
		var order dispatch.AdviceOrder
		dm.locked(func(*dispatch.Entry) { order = dm.advice[0] })
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		rep := dm.workers.Advise(callCtx, order)
		cancel()
		dm.cnt.Observe("advice", time.Since(began))
		more := false
		dm.locked(func(en *dispatch.Entry) {
			dm.advice = dm.advice[1:]
			more = len(dm.advice) > 0
			// If the queue is empty, the next call starts advise again.
			en.AdviceReplied(order, rep)
		})
		if !more {
			return
		}
	}
}

// Wall returns the time of the wall clock.
func (ef *effects) Wall() time.Time { return time.Now() }

// Log writes one log line for a decision.
func (ef *effects) Log(event string, fields ...any) { ef.dm.log.Log(event, fields...) }

// Count adds to a counter.
func (ef *effects) Count(family, reason string, n int64) { ef.dm.cnt.Add(family, reason, n) }

// Gauge sets a gauge.
func (ef *effects) Gauge(name string, value int64) { ef.dm.cnt.Gauge(name, value) }

// Observe adds to a latency histogram.
func (ef *effects) Observe(name string, took time.Duration) { ef.dm.cnt.Observe(name, took) }
