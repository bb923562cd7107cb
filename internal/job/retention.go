package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

// logInfo is what a session keeps in memory about a log row until it deletes the
// row. The ids of decided jobs are only in the row, so that memory does not grow
// with the number of jobs in the retention time. For a row of a session that was
// taken over, committedAt is the time of the takeover.
type logInfo struct {
	version     int64
	refs        int       // records of undecided jobs in the row
	decided     bool      // the row lists decided jobs
	committedAt time.Time // of the commit
}

const sweepInterval = time.Second

// pin prevents the deletion of the log row of a record until its job is decided.
func (se *session) pin(oj *ownedJob, res groupcommit.Result) {
	key := logKey(se.inc, res.Seq)
	if info := se.logs[key]; info != nil {
		info.refs++
		oj.logs = append(oj.logs, key)
	}
}

func (se *session) unpin(oj *ownedJob) {
	for _, key := range oj.logs {
		if info := se.logs[key]; info != nil {
			info.refs--
		}
	}
	oj.logs = nil
}

// markDecided marks a log row as listing decided jobs, so that the row and their
// answers are kept for the retention time.
func (se *session) markDecided(res groupcommit.Result) {
	if info := se.logs[logKey(se.inc, res.Seq)]; info != nil {
		info.decided = true
	}
}

// sweep deletes log rows that no undecided job needs, and answers whose retention
// time has passed.
func (se *session) sweep(ctx context.Context) {
	const (
		maxRows = 100 // log rows in one sweep, to spread the deletion of a backlog
		// minRows is the number of log rows that are due before a sweep deletes
		// any. Deletions are committed with a log row of their own, so an idle
		// entry would otherwise write one log row for each one that it deletes,
		// endlessly.
		minRows = 16
		// settleTime is longer than the time until the outcomes of a commit are
		// reported.
		settleTime = 5 * time.Second
	)
	due := map[string]logInfo{}
	se.mu.Lock()
	for key, info := range se.logs {
		age := time.Since(info.committedAt)
		if len(due) < maxRows && info.refs == 0 && (age > retention || !info.decided && age > settleTime) {
			due[key] = *info
		}
	}
	if len(due) < minRows {
		due = nil
	}
	for key := range due {
		delete(se.logs, key)
	}
	se.mu.Unlock()
	for key, info := range due {
		if !se.sweepRow(ctx, key, info) {
			se.mu.Lock()
			se.logs[key] = &info
			se.mu.Unlock()
		}
	}
}

// sweepRow deletes a log row and the answers that it lists. It reports false if
// the deletion has to be retried.
func (se *session) sweepRow(ctx context.Context, key string, info logInfo) bool {
	if info.decided {
		row, err := se.mg.opt.Rows.Get(ctx, key)
		if err != nil {
			return false
		}
		var lr logRow
		if row.Version == table.Absent {
			return true
		}
		if err := json.Unmarshal(row.Value, &lr); err != nil {
			return false
		}
		for _, de := range lr.Decided {
			for _, task := range de.Objects {
				_ = se.mg.opt.Objects.Delete(ctx, resultKey(de.Job, task))
			}
			// A job row has the version of the log row that lists its decision,
			// because both were written in one commit.
			if !se.deleteRow(jobKey(de.Job), info.version) {
				return false
			}
		}
	}
	return se.deleteRow(key, info.version)
}

func (se *session) deleteRow(key string, version int64) bool {
	rec := &record{changes: []groupcommit.Change{{Key: key, If: version, Delete: true}}}
	_, err := se.com.Add(rec, func(res groupcommit.Result) {
		if res.Err == nil {
			se.mg.opt.Counters.Add(counter.Table, "job-rows-deleted", 1)
		}
	})
	return err == nil
}
