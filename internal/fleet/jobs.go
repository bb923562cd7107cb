package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The limits of storing jobs.
const (
	// jobParts is the number of shards of the tables of jobs. One shard accepts
	// 200 transactions a second; writeSpacing allows 500 in all.
	jobParts = 4
	// writeSpacing is the least time between two transactions of an entry, times
	// the number of entries of the fleet. A fleet of any size stays within the 600
	// writes a second of the store. Writes in the meantime share a transaction.
	writeSpacing = 2 * time.Millisecond
	// commitBackoff is the backoff of a shard after a failed transaction. It
	// doubles up to maxCommitBackoff. Writes in the meantime share a transaction.
	commitBackoff    = 50 * time.Millisecond
	maxCommitBackoff = 800 * time.Millisecond
	// maxBatchJobs bounds the jobs of one transaction. Each job needs up to three
	// of the hundred items that the store accepts.
	maxBatchJobs = 30
	// maxBatchBytes bounds the rows of one transaction, which are sent as base64. The
	// store accepts 1 MB.
	maxBatchBytes = 700_000
	// jobsWait bounds the polls of the jobs.
	jobsWait = time.Second
	// jobsWaitEmpty is used while no job is stored. With it, a silent connection
	// hides a job for less than the 5 s within which a queue's count must include
	// it.
	jobsWaitEmpty = 3 * time.Second
	jobsPause     = 500 * time.Millisecond
	// jobLoadTimeout bounds the read of one job.
	jobLoadTimeout = 700 * time.Millisecond
)

// jobPart returns the shard of a job. It is the same at all entries, so that an
// id can be inserted only once.
func jobPart(id ids.JobID) Part {
	return Part("p" + strconv.FormatUint(xxhash.Sum64String(string(id))%jobParts, 10))
}

func allParts() []Part {
	var list []Part
	for num := range jobParts {
		list = append(list, Part("p"+strconv.Itoa(num)))
	}
	return list
}

func decodeRecord(ro Row) (dispatch.JobRecord, error) {
	return dispatch.DecodeJobRecord(ids.JobID(ro.Key), ro.Version, ro.Value)
}

// jobWriter batches the writes of one shard into transactions.
type jobWriter struct {
	dm      *Daemon
	part    Part
	queue   []dispatch.JobWrite // guarded by the lock of the daemon
	busy    bool
	backoff time.Duration // backoff after a failed transaction, 0 for none
}

// StoreJob queues a change of a job's row.
func (ef *effects) StoreJob(write dispatch.JobWrite) {
	part := jobPart(write.Record.ID)
	wr := ef.dm.writers[part]
	if wr == nil {
		wr = &jobWriter{dm: ef.dm, part: part}
		ef.dm.writers[part] = wr
	}
	wr.queue = append(wr.queue, write)
	if !wr.busy {
		wr.busy = true
		ef.dm.grp.Go(wr.run)
	}
}

// run commits writes until the queue is empty.
func (wr *jobWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		group.Sleep(ctx, wr.reserve())
		var batch []dispatch.JobWrite
		wr.dm.locked(func(*dispatch.Entry) {
			count := min(len(wr.queue), maxBatchJobs)
			batch, wr.queue = wr.queue[:count:count], wr.queue[count:]
			wr.busy = count > 0
		})
		if len(batch) == 0 {
			return
		}
		wr.commit(ctx, batch)
	}
}

// reserve reserves the time of the next transaction and returns the wait until
// then. After a failed transaction it returns the backoff instead.
func (wr *jobWriter) reserve() time.Duration {
	if wr.backoff > 0 {
		return wr.backoff
	}
	var wait time.Duration
	wr.dm.locked(func(en *dispatch.Entry) {
		wait = max(0, wr.dm.nextJobWrite.Sub(wr.dm.lockedAt))
		wr.dm.nextJobWrite = wr.dm.lockedAt.Add(wait + time.Duration(1+len(en.Members()))*writeSpacing)
	})
	return wait
}

// updateBackoff updates the backoff after a transaction.
func (wr *jobWriter) updateBackoff(err error) {
	if err == nil {
		wr.backoff = 0
		return
	}
	wr.backoff = min(maxCommitBackoff, max(commitBackoff, 2*wr.backoff))
}

// commit writes a batch, in several transactions if it is too large for one. If
// the checks of some rows fail, the others are retried without them. So are the
// writes that share a transaction with one that the store can never carry out.
func (wr *jobWriter) commit(ctx context.Context, batch []dispatch.JobWrite) {
	for len(batch) > 0 && ctx.Err() == nil {
		tx, count := wr.fill(batch)
		now, later := batch[:count], batch[count:]
		wr.dm.cnt.Add("store", "job-commits", 1)
		rep, err := wr.dm.store.Commit(ctx, tx)
		if errors.Is(err, ErrInvalid) && count > 1 {
			wr.commit(ctx, now[:count/2])
			batch = batch[count/2:]
			continue
		}
		if !errors.Is(err, ErrInvalid) {
			wr.updateBackoff(err)
		}
		if err != nil && !errors.Is(err, ErrInvalid) {
			wr.reply(batch, func(dispatch.JobWrite) dispatch.JobWriteReply { return jobReply(rep, err) })
			return
		}
		if err != nil || rep.OK {
			wr.reply(now, func(dispatch.JobWrite) dispatch.JobWriteReply { return jobReply(rep, err) })
			batch = later
			continue
		}
		batch = append(wr.replyConflicts(now, rep), later...)
	}
}

// fill builds a transaction of the first writes of a batch, as many as fit into
// one, and returns their number.
func (wr *jobWriter) fill(batch []dispatch.JobWrite) (Transaction, int) {
	tx := Transaction{Part: wr.part}
	size := 0
	for num, write := range batch {
		before := tx
		tx.add(wr.dm, write)
		for _, pt := range tx.Puts[len(before.Puts):] {
			size += len(pt.Value)
		}
		if num > 0 && size > maxBatchBytes {
			return before, num
		}
	}
	return tx, len(batch)
}

// replyConflicts answers the writes whose checks have failed, and returns the
// others.
func (wr *jobWriter) replyConflicts(batch []dispatch.JobWrite, rep TransactionReply) []dispatch.JobWrite {
	var failed, rest []dispatch.JobWrite
	present := map[string]Row{}
	for _, ro := range rep.Present {
		present[ro.Key] = ro
	}
	for _, write := range batch {
		if present[string(write.Record.ID)].Version == write.Expected {
			rest = append(rest, write)
		} else {
			failed = append(failed, write)
		}
	}
	if len(failed) == 0 {
		// The rows changed between the check and the answer.
		failed, rest = batch, nil
	}
	wr.reply(failed, func(write dispatch.JobWrite) dispatch.JobWriteReply {
		return wr.dm.conflictReply(present[string(write.Record.ID)])
	})
	return rest
}

func jobReply(rep TransactionReply, err error) dispatch.JobWriteReply {
	if errors.Is(err, ErrInvalid) {
		return dispatch.JobWriteReply{Invalid: true, Reason: err.Error()}
	}
	if err != nil {
		return dispatch.JobWriteReply{Reason: err.Error()}
	}
	return dispatch.JobWriteReply{OK: true, Version: rep.Version}
}

// conflictReply returns the reply to a write whose check failed, with the
// present row.
func (dm *Daemon) conflictReply(ro Row) dispatch.JobWriteReply {
	rep := dispatch.JobWriteReply{Conflict: true, Reason: "conflict"}
	if ro.Version == 0 || ro.Deleted {
		return rep
	}
	rec, err := decodeRecord(ro)
	if err != nil {
		dm.log.Log("job-row-unreadable", "job", ro.Key, "error", err.Error())
		return rep
	}
	rep.Present = &rec
	return rep
}

// reply passes the result of each write of a batch to dispatch.
func (wr *jobWriter) reply(batch []dispatch.JobWrite, answer func(dispatch.JobWrite) dispatch.JobWriteReply) {
	wr.dm.locked(func(en *dispatch.Entry) {
		for _, write := range batch {
			en.JobStored(write, answer(write))
		}
	})
}

// add adds the change of one job to a transaction.
func (tx *Transaction) add(dm *Daemon, write dispatch.JobWrite) {
	key := string(write.Record.ID)
	tx.Checks = append(tx.Checks, Check{Table: TableJobs, Key: key, Version: write.Expected})
	if write.Remove {
		tx.Removes = append(tx.Removes, Remove{Table: TableJobs, Key: key}, Remove{Table: TableBodies, Key: key})
		return
	}
	raw, err := dispatch.EncodeJobRecord(write.Record)
	if err != nil {
		dm.log.Log("job-unwritable", "job", key, "error", err.Error())
		return
	}
	tx.Puts = append(tx.Puts, Put{Table: TableJobs, Key: key, Value: raw})
	if write.Body == nil {
		return
	}
	if raw, err = json.Marshal(write.Body); err != nil {
		dm.log.Log("job-unwritable", "job", key, "error", err.Error())
		return
	}
	tx.Puts = append(tx.Puts, Put{Table: TableBodies, Key: key, Value: raw})
}

// LoadJob reads a job's row and its body.
func (ef *effects) LoadJob(id ids.JobID) {
	ef.dm.grp.Go(func(ctx context.Context) {
		ld := ef.dm.loadJob(ctx, id)
		ef.dm.locked(func(en *dispatch.Entry) { en.JobLoaded(id, ld) })
	})
}

func (dm *Daemon) loadJob(ctx context.Context, id ids.JobID) dispatch.JobLoad {
	ctx, cancel := context.WithTimeout(ctx, jobLoadTimeout)
	defer cancel()
	dm.cnt.Add("store", "job-reads", 1)
	rows, _, err := dm.store.Read(ctx, TableJobs, jobPart(id), string(id))
	if err != nil {
		return dispatch.JobLoad{Failed: true, Reason: err.Error()}
	}
	if len(rows) == 0 {
		return dispatch.JobLoad{}
	}
	rec, err := decodeRecord(rows[0])
	if err != nil {
		return dispatch.JobLoad{Failed: true, Reason: err.Error()}
	}
	ld := dispatch.JobLoad{Record: &rec}
	if rec.State != dispatch.JobAccepted {
		return ld
	}
	bodies, _, err := dm.store.Read(ctx, TableBodies, jobPart(id), string(id))
	if err != nil || len(bodies) == 0 {
		return ld
	}
	var job dispatch.Job
	if err := json.Unmarshal(bodies[0].Value, &job); err != nil {
		dm.log.Log("job-body-unreadable", "job", string(id), "error", err.Error())
		return ld
	}
	ld.Body = &job
	return ld
}

// jobsPollWait returns how long the next poll for the jobs stays open. It is
// longer if there are no stored jobs, because a connection that went silent
// hides less.
func (dm *Daemon) jobsPollWait() time.Duration {
	wait := jobsWait
	dm.locked(func(en *dispatch.Entry) {
		if en.Records() == 0 {
			wait = jobsWaitEmpty
		}
	})
	return wait
}

// followJobs follows the states of stored jobs.
func (dm *Daemon) followJobs(ctx context.Context) {
	dm.follow(ctx, followedTable{
		name: TableJobs, parts: allParts(), wait: dm.jobsPollWait, pause: constant(jobsPause),
		put: func(en *dispatch.Entry, ro Row, _ bool) {
			rec, err := decodeRecord(ro)
			if err != nil {
				dm.log.Log("job-row-unreadable", "job", ro.Key, "error", err.Error())
				return
			}
			en.PutRecord(rec)
		},
		drop: func(en *dispatch.Entry, key string, version dispatch.Version) {
			en.DropRecord(ids.JobID(key), version)
		},
	})
}
