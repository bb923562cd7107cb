package job

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/groupcommit"
)

const (
	scanInterval = 200 * time.Millisecond
	// fullScanInterval is the time between two scans when the members do not
	// change.
	fullScanInterval = 2 * time.Second
	// suspectTakeoverDelay is how long an entry must be silent before its jobs
	// are taken over without proof that it has ended. The fence makes this
	// safe, but a task whose intent is committed and that was not sent then
	// fails its job. A pause of a VM (migration, memory pressure) is usually
	// shorter. The lease of a task is longer, so running tasks are adopted
	// before it lapses.
	suspectTakeoverDelay = 3 * time.Second
	// unknownTakeoverDelay is how long an incarnation with log rows must be
	// missing from the members before its jobs are taken over. A new entry has
	// to receive the heartbeats of the others first.
	unknownTakeoverDelay = 10 * time.Second
	// rankDelay is the additional delay of a takeover for each entry that ranks
	// higher. The entries need not agree on the ranks, because only one can
	// insert the fence.
	rankDelay = 400 * time.Millisecond
)

// scanState is the state of the scan for ended incarnations.
type scanState struct {
	mu       sync.Mutex
	members  memberCounts
	nextScan time.Time
	// dueSince is when an incarnation was first found to be a candidate for a
	// takeover.
	dueSince map[ids.Incarnation]time.Time
	// takenOver maps the incarnations that have been taken over to the session
	// that took them over.
	takenOver map[ids.Incarnation]*session
}

func newScanState() scanState {
	return scanState{dueSince: map[ids.Incarnation]time.Time{}, takenOver: map[ids.Incarnation]*session{}}
}

// memberCounts detects changes of the membership. It changes when an entry
// becomes alive, suspect or gone, but not with each heartbeat.
type memberCounts struct {
	alive, suspect, gone int
}

func countMembers(snap *blackboard.Members) memberCounts {
	if snap == nil {
		return memberCounts{}
	}
	return memberCounts{alive: len(snap.Alive), suspect: len(snap.Suspect), gone: len(snap.Gone)}
}

// takeOverDue looks for ended incarnations that have log rows, and takes over
// their jobs.
func (mg *Manager) takeOverDue(ctx context.Context) {
	sc := &mg.scan
	sc.mu.Lock()
	defer sc.mu.Unlock()
	mg.updateGauges()
	snap := mg.opt.Members.Load()
	members := countMembers(snap)
	if members == sc.members && time.Now().Before(sc.nextScan) {
		return
	}
	sc.members = members
	sc.nextScan = time.Now().Add(fullScanInterval)
	owners, err := mg.logOwners(ctx)
	if err != nil {
		return
	}
	se := mg.session()
	for inc := range sc.dueSince {
		if !owners[inc] {
			delete(sc.dueSince, inc)
			delete(sc.takenOver, inc)
		}
	}
	for inc := range owners {
		if inc == se.inc || sc.takenOver[inc] == se {
			continue
		}
		if !mg.isDue(inc, snap) {
			continue
		}
		if mg.takeOver(ctx, se, inc) {
			sc.takenOver[inc] = se
		}
	}
}

// logOwners returns all incarnations that have log rows. It reads one row per
// incarnation.
func (mg *Manager) logOwners(ctx context.Context) (map[ids.Incarnation]bool, error) {
	out := map[ids.Incarnation]bool{}
	after := ""
	for {
		rows, err := mg.opt.Rows.List(ctx, logPrefix, after, 1)
		if err != nil || len(rows) == 0 {
			return out, err
		}
		inc := logOwner(rows[0].Key)
		out[inc] = true
		after = logPrefix + string(inc) + "/" + afterSeqs
	}
}

// isDue reports whether this entry should take over an incarnation now.
func (mg *Manager) isDue(inc ids.Incarnation, snap *blackboard.Members) bool {
	sc := &mg.scan
	wait, ok := mg.takeoverDelay(inc, snap)
	if !ok {
		delete(sc.dueSince, inc)
		return false
	}
	began, seen := sc.dueSince[inc]
	if !seen {
		began = time.Now()
		sc.dueSince[inc] = began
	}
	wait += time.Duration(mg.rank(inc, snap)) * rankDelay
	if left := time.Until(began.Add(wait)); left > 0 {
		if nextScan := time.Now().Add(left); nextScan.Before(sc.nextScan) {
			sc.nextScan = nextScan
		}
		return false
	}
	return true
}

// takeoverDelay returns how long to wait before taking over an incarnation. It
// reports false if the process of the incarnation is alive, or if the membership
// is unknown and the incarnation is not one of this entry.
func (mg *Manager) takeoverDelay(inc ids.Incarnation, snap *blackboard.Members) (time.Duration, bool) {
	base := processOf(inc)
	if base.Entry() == mg.opt.Incarnation.Entry() {
		// An earlier session of this process, or an earlier process under the
		// same entry id, which this one replaces.
		return 0, true
	}
	if snap == nil {
		return 0, false // without a membership snapshot nothing shows who has ended
	}
	if _, gone := snap.Gone[base]; gone {
		return 0, true
	}
	if mb, ok := snap.Alive[base.Entry()]; ok && mb.Incarnation == base {
		return 0, false
	}
	if mb, ok := snap.Suspect[base.Entry()]; ok && mb.Incarnation == base {
		return max(0, suspectTakeoverDelay-time.Since(mb.LastHeard)), true
	}
	return unknownTakeoverDelay, true
}

// rank returns how many live entries come before this one in a takeover of the
// incarnation.
func (mg *Manager) rank(inc ids.Incarnation, snap *blackboard.Members) int {
	own := score(string(inc), mg.opt.Incarnation.Entry())
	rank := 0
	if snap != nil {
		for id := range snap.Alive {
			if score(string(inc), id) > own {
				rank++
			}
		}
	}
	return rank
}

// fence inserts the fence row of an incarnation, which prevents every further
// commit of it. It returns the session that wrote the row, which may be another
// one, or "" if a closing session fenced itself.
func (mg *Manager) fence(ctx context.Context, inc, by ids.Incarnation) (ids.Incarnation, error) {
	// Most fences already exist and are checked at every scan, and a read costs
	// less than a write.
	row, err := mg.opt.Rows.Get(ctx, fenceKey(inc))
	if err == nil && row.Version != table.Absent {
		var fr fenceRow
		err = json.Unmarshal(row.Value, &fr)
		return fr.By, err
	}
	raw, err := json.Marshal(fenceRow{By: by})
	if err != nil {
		return "", err
	}
	_, err = mg.opt.Rows.Commit(ctx, table.Transaction{
		ID:     uuid.NewString(),
		Checks: []table.Check{{Key: fenceKey(inc), Version: table.Absent}},
		Writes: []table.Write{{Key: fenceKey(inc), Value: raw}},
	})
	var ce *table.ConflictError
	if errors.As(err, &ce) && len(ce.Rows) > 0 {
		var row fenceRow
		err := json.Unmarshal(ce.Rows[0].Value, &row)
		return row.By, err
	}
	return by, err
}

// takeOver fences an incarnation and adopts its jobs. It reports false if another
// live entry does so, or if the caller has to retry. Two entries may do this
// concurrently, because each job is adopted by a conditional change of its row.
func (mg *Manager) takeOver(ctx context.Context, se *session, inc ids.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	by, err := mg.fence(ctx, inc, se.inc)
	if err != nil {
		return false
	}
	if by != se.inc {
		if _, alive := mg.addressOf(by); alive {
			return false
		}
	}
	began := time.Now()
	rows, err := mg.logRows(ctx, inc)
	if err != nil {
		return false
	}
	adopted := se.adoptAll(ctx, rows)
	se.retainLogRows(rows)
	mg.opt.Counters.Add(counter.Job, "takeovers", 1)
	mg.opt.Log.Info().Str("incarnation", string(inc)).Int("jobs", adopted).Dur("took", time.Since(began)).Msg("jobs-taken-over")
	return true
}

type logEntry struct {
	key     string
	version int64
	row     logRow
}

// logRows returns the log rows of an incarnation in the order of their commits.
func (mg *Manager) logRows(ctx context.Context, inc ids.Incarnation) ([]logEntry, error) {
	var out []logEntry
	prefix := logPrefix + string(inc) + "/"
	after := ""
	for limit := 64; ; {
		rows, err := mg.opt.Rows.List(ctx, prefix, after, limit)
		if err != nil && limit > 1 && ctx.Err() == nil && jsonhttp.StatusOf(err) != http.StatusServiceUnavailable {
			limit /= 2 // the page may exceed the size limit of a message
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			le := logEntry{key: row.Key, version: int64(row.Version)}
			if err := json.Unmarshal(row.Value, &le.row); err != nil {
				return nil, err
			}
			out = append(out, le)
			after = row.Key
		}
		if len(rows) < limit {
			break
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].version < out[j].version })
	return out, nil
}

// orphan is an undecided job in the log of an ended incarnation.
type orphan struct {
	body       json.RawMessage
	version    int64
	placements map[int]worker.Placement // of the latest intent, by task index
}

// orphans returns the jobs that the log does not list as decided.
func orphans(rows []logEntry) map[ids.JobID]*orphan {
	out := map[ids.JobID]*orphan{}
	for _, le := range rows {
		for _, ad := range le.row.Admitted {
			var head struct {
				ID ids.JobID `json:"id"`
			}
			if json.Unmarshal(ad.Job, &head) != nil {
				continue
			}
			or := &orphan{body: ad.Job, version: le.version, placements: map[int]worker.Placement{}}
			for _, in := range ad.Intents {
				or.addIntent(in, in.Address)
			}
			out[head.ID] = or
		}
		for _, in := range le.row.Intents {
			if or := out[in.Job]; or != nil {
				or.addIntent(in, le.row.Workers[in.Worker])
			}
		}
	}
	for _, le := range rows {
		for _, de := range le.row.Decided {
			delete(out, de.Job)
		}
	}
	return out
}

func (or *orphan) addIntent(in intent, addr string) {
	for _, index := range in.Tasks {
		or.placements[index] = worker.Placement{Worker: in.Worker, Address: addr}
	}
}

// adoptAll adopts the undecided jobs of a log and returns how many adoptions
// succeeded.
func (se *session) adoptAll(ctx context.Context, rows []logEntry) int {
	found := orphans(rows)
	results := make(chan bool, len(found))
	for _, or := range found {
		se.adopt(or, results)
	}
	adopted := 0
	for range found {
		select {
		case won := <-results:
			if won {
				adopted++
			}
		case <-ctx.Done():
			return adopted
		}
	}
	return adopted
}

func (se *session) adopt(or *orphan, results chan<- bool) {
	var sub Submission
	if json.Unmarshal(or.body, &sub) != nil {
		results <- false
		return
	}
	oj := newOwnedJob(sub, len(or.body))
	rec := &record{admit: &admission{Job: or.body}}
	at := map[worker.Placement]int{}
	for index, pl := range or.placements {
		if index >= len(oj.tasks) {
			continue
		}
		oj.tasks[index] = task{phase: taskSent, placement: pl}
		pos, ok := at[pl]
		if !ok {
			pos = len(rec.admit.Intents)
			at[pl] = pos
			rec.admit.Intents = append(rec.admit.Intents, intent{Worker: pl.Worker, Address: pl.Address})
		}
		rec.admit.Intents[pos].Tasks = append(rec.admit.Intents[pos].Tasks, index)
	}
	raw, err := json.Marshal(jobRow{Owner: se.inc, State: StateRunning})
	if err != nil {
		results <- false
		return
	}
	rec.changes = []groupcommit.Change{{Key: jobKey(sub.ID), If: or.version, Value: raw}}
	if _, err := se.com.Add(rec, func(res groupcommit.Result) { results <- se.handleAdoption(oj, res) }); err != nil {
		results <- false
	}
}

// handleAdoption handles the outcome of an adoption. A conflict means that the
// job was already decided or adopted by another entry.
func (se *session) handleAdoption(oj *ownedJob, res groupcommit.Result) bool {
	if errors.Is(res.Err, groupcommit.ErrGuarded) {
		se.mg.replaceSession(se)
		return false
	}
	se.mu.Lock()
	if se.dropped || res.Err != nil {
		se.mu.Unlock()
		return false
	}
	se.jobs[oj.sub.ID] = oj
	se.ownedBytes += oj.size
	oj.version = res.Version
	oj.enqueued = true
	se.pin(oj, res)
	close(oj.admitted)
	withdraw := func() {}
	if oj.issued && len(oj.unsentTasks()) > 0 {
		// The issuer may have sent these tasks without an intent, so they must
		// not be started again.
		withdraw = se.decide(oj, &jobRow{State: StateFailed, Reason: reasonIssuerGone})
	}
	var started []int
	for i := range oj.tasks {
		if oj.finalRow == nil && oj.tasks[i].phase == taskSent {
			started = append(started, i)
		}
	}
	se.mu.Unlock()
	withdraw()
	se.mg.opt.Counters.Add(counter.Job, "adopted", 1)
	se.grp.Go(func(ctx context.Context) {
		se.enqueue(oj)
		for _, index := range started {
			se.recoverTask(ctx, oj, index)
		}
	})
	return true
}

// recoverTask queries a worker for a task that an earlier owner may have started
// there.
func (se *session) recoverTask(ctx context.Context, oj *ownedJob, index int) {
	const (
		attempts = 5
		pause    = 300 * time.Millisecond
	)
	se.mu.Lock()
	pl := oj.tasks[index].placement
	decided := oj.finalRow != nil
	se.mu.Unlock()
	if decided {
		se.mg.opt.Traffic.Stop([]worker.TaskID{taskID(oj.sub.ID, index)})
		return
	}
	id := taskID(oj.sub.ID, index)
	for try := 1; ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, time.Second)
		rep, found, err := se.mg.opt.Traffic.Query(call, pl.Worker, id)
		cancel()
		switch {
		case err == nil && found && rep.State == worker.StateRunning:
			se.mg.opt.Traffic.Adopt(pl, []worker.TaskID{id})
			return
		case err == nil && found:
			se.handleFinished(rep)
			return
		case err == nil && try > 1:
			// The second query: a start that was in flight at the first one has
			// arrived by now.
			se.handleLost(id, "worker "+string(pl.Worker)+" does not know the task, and it may have started before")
			return
		case try >= attempts:
			se.handleLost(id, "worker "+string(pl.Worker)+" does not answer for the task")
			return
		}
		waitFor(ctx, nil, pause)
	}
}

// retainLogRows keeps track of the log rows of an ended incarnation, so that
// sweep deletes them after the retention time.
func (se *session) retainLogRows(rows []logEntry) {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, le := range rows {
		se.logs[le.key] = &logInfo{version: le.version, decided: true, committedAt: time.Now()}
	}
}
