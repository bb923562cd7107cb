package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Options are the dependencies of a Manager.
type Options struct {
	Board       *blackboard.Board
	Rows        Rows
	Objects     Objects
	Members     Members
	Peers       Peers
	Scheduler   Scheduler
	Traffic     Traffic
	Counters    *counter.Set
	Incarnation ids.Incarnation
	Log         zerolog.Logger
	// WriteBudget limits the table writes per second of all entries together; 0
	// means DefaultWriteBudget.
	WriteBudget float64
}

// DefaultWriteBudget is the number of table writes per second that all entries
// together may use for jobs.
const DefaultWriteBudget = 300

const (
	// retention is how long an answer is kept after its decision.
	retention = 10 * time.Minute
	// commitTimeout limits how long a caller waits for the commit of its
	// submission.
	commitTimeout = 5 * time.Second
	// outageRetry is the retry delay that a refusal gives to callers during an
	// outage of the table.
	outageRetry = 2 * time.Second
	// maxOwnedBytes limits the bodies and results of jobs that one entry holds in
	// memory.
	maxOwnedBytes = 64 << 20
)

// Manager owns the jobs that this entry has admitted or taken over.
type Manager struct {
	opt   Options
	grp   *group.Group
	store *routedStore

	mu            sync.Mutex
	se            *session
	sessionNumber int
	closed        bool
	started       bool
	scan          scanState
}

// New returns a manager.
func New(opt Options) *Manager {
	if opt.WriteBudget == 0 {
		opt.WriteBudget = DefaultWriteBudget
	}
	mg := &Manager{opt: opt, grp: group.New(context.Background()), sessionNumber: 1}
	mg.scan = newScanState()
	mg.store = newRoutedStore(mg)
	mg.se = newSession(mg, 1)
	return mg
}

// Start starts the session and the scan for jobs to take over.
func (mg *Manager) Start() {
	mg.mu.Lock()
	mg.started = true
	mg.store.merger.Start()
	se := mg.se
	mg.mu.Unlock()
	se.start()
	mg.grp.Every(scanInterval, mg.takeOverDue)
}

// Close stops all work on jobs and waits until it has stopped. If the session
// still owns jobs, Close fences it, so that the other entries take over its jobs
// without waiting for proof that the process has ended.
func (mg *Manager) Close() {
	mg.mu.Lock()
	mg.closed = true
	se := mg.se
	mg.mu.Unlock()
	mg.grp.Close()
	handOver := se.owns()
	se.drop()
	se.close()
	mg.store.merger.Close()
	if handOver {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = mg.fence(ctx, se.inc, "")
	}
}

func (mg *Manager) session() *session {
	mg.mu.Lock()
	defer mg.mu.Unlock()
	return mg.se
}

// replaceSession replaces a session that has been fenced with the next one.
func (mg *Manager) replaceSession(old *session) {
	mg.mu.Lock()
	if mg.se != old || mg.closed {
		mg.mu.Unlock()
		return
	}
	mg.sessionNumber++
	mg.se = newSession(mg, mg.sessionNumber)
	se := mg.se
	if mg.started {
		se.start()
	}
	mg.mu.Unlock()
	mg.opt.Counters.Add(counter.Job, "fenced", 1)
	mg.opt.Log.Warn().Str("session", string(old.inc)).Str("next", string(se.inc)).Msg("jobs-dropped-after-fence")
	old.drop()
	mg.grp.Go(func(context.Context) { old.close() })
}

// interval returns the time between two table writes of this entry. It divides
// the write budget among the entries that may be writing.
func (mg *Manager) interval() time.Duration {
	return time.Duration(float64(mg.entriesLive()) / mg.opt.WriteBudget * float64(time.Second))
}

// entriesLive counts the entries that may be writing, including this one. A
// suspect entry may still be writing.
func (mg *Manager) entriesLive() int {
	live := 1
	if snap := mg.opt.Members.Load(); snap != nil {
		live += len(snap.Alive) + len(snap.Suspect)
	}
	return live
}

func (mg *Manager) updateGauges() {
	se := mg.session()
	se.mu.Lock()
	owned, ownedBytes := len(se.jobs), se.ownedBytes
	se.mu.Unlock()
	mg.opt.Counters.Gauge("job.entries-live", int64(mg.entriesLive()))
	mg.opt.Counters.Gauge("job.owned", int64(owned))
	mg.opt.Counters.Gauge("job.owned-bytes", int64(ownedBytes))
	mg.opt.Counters.Gauge("job.backlog-bytes", int64(se.com.Pending()))
	down := int64(0)
	if se.com.Down() {
		down = 1
	}
	mg.opt.Counters.Gauge("job.table-down", down)
}

// IssueID returns an id under which this entry can admit a job even while the
// table is down.
func (mg *Manager) IssueID() ids.JobID {
	se := mg.session()
	return newIssuedID(se.inc, time.Since(se.began))
}

// Submit admits a job. A second submission of the same id joins the first one.
func (mg *Manager) Submit(ctx context.Context, sub Submission) (Status, error) {
	limits := mg.opt.Board.Configuration.Load().Document.Limits
	if err := checkSubmission(sub, limits.MaxTasksPerJob); err != nil {
		return Status{}, err
	}
	if sub.ID == "" {
		sub.ID = ids.JobID(uuid.NewString())
	}
	iss, issued := parseIssuedID(sub.ID)
	if issued && iss.issuer != mg.session().inc {
		return mg.submitToIssuer(ctx, iss, sub)
	}
	for range 3 {
		se := mg.session()
		status, err := se.submit(ctx, sub, limits.MaxQueuedJobs)
		if !errors.Is(err, errSessionEnded) {
			return status, err
		}
		if issued {
			return mg.Get(ctx, sub.ID)
		}
	}
	return Status{}, unknownOutcome("owner-changed", "the owner of the job changed several times")
}

// submitToIssuer forwards a submission to the incarnation that issued the id,
// which is the only one that may start the job.
func (mg *Manager) submitToIssuer(ctx context.Context, iss issuedID, sub Submission) (Status, error) {
	addr, ok := mg.addressOf(iss.issuer)
	if !ok {
		return mg.Get(ctx, sub.ID)
	}
	raw, err := json.Marshal(sub)
	if err != nil {
		return Status{}, err
	}
	rep, err := mg.call(ctx, addr, "Submit", PeerArgs{ID: sub.ID, Body: raw}, commitTimeout+time.Second)
	if err != nil {
		return Status{}, unknownOutcome("issuer-unreachable", err.Error())
	}
	return rep.result()
}

func unknownOutcome(reason, message string) error {
	return outcome.MayHaveRun(reason, message, "ask again with the same id")
}

// unknownJob returns the error for a job without a row. Its outcome is unknown,
// because another entry may be about to commit a submission of the job.
func unknownJob(id ids.JobID) error {
	err := outcome.MayHaveRun("unknown-job", fmt.Sprintf("job %q has no record", id), "check the id; submit again with the same id to be sure")
	err.Status = http.StatusNotFound
	return err
}

// Get returns the state of a job.
func (mg *Manager) Get(ctx context.Context, id ids.JobID) (Status, error) {
	status, _, err := mg.getWithOwner(ctx, id)
	return status, err
}

// getWithOwner returns the state of a job, and its owner if another session
// owns it.
func (mg *Manager) getWithOwner(ctx context.Context, id ids.JobID) (Status, ids.Incarnation, error) {
	se := mg.session()
	if oj := se.findAdmitted(id); oj != nil {
		status, err := se.statusOf(ctx, oj)
		return status, "", err
	}
	if row := se.recentRow(id); row != nil {
		status, err := mg.statusOfRow(ctx, id, row)
		return status, "", err
	}
	if se.findJob(id) != nil {
		return Status{}, "", unknownOutcome("commit-outcome-unknown", "the table has not confirmed the submission")
	}
	row, err := mg.opt.Rows.Get(ctx, jobKey(id))
	if err != nil {
		status, found := mg.findAtPeers(ctx, id)
		if found {
			return status, "", nil
		}
		return Status{}, "", unknownOutcome("table-unavailable", err.Error())
	}
	if row.Version == table.Absent {
		if iss, ok := parseIssuedID(id); ok {
			return mg.getIssued(ctx, iss, id)
		}
		return Status{}, "", unknownJob(id)
	}
	status, jr, err := mg.readRow(ctx, id, row.Value)
	return status, jr.Owner, err
}

// getIssued returns the state of a job under an issued id that has no row.
func (mg *Manager) getIssued(ctx context.Context, iss issuedID, id ids.JobID) (Status, ids.Incarnation, error) {
	if iss.issuer == mg.session().inc {
		return Status{}, "", unknownJob(id)
	}
	if addr, ok := mg.addressOf(iss.issuer); ok {
		rep, err := mg.call(ctx, addr, "Find", PeerArgs{ID: id}, time.Second)
		switch {
		case err != nil:
			return Status{}, "", unknownOutcome("issuer-unreachable", err.Error())
		case rep.Found:
			status, err := rep.result()
			return status, iss.issuer, err
		case rep.Session == iss.issuer:
			return Status{}, "", unknownJob(id)
		}
		// The process runs under a later session: the issuing session was fenced.
	} else if processOf(iss.issuer) != mg.opt.Incarnation && !mg.hasEnded(iss.issuer) {
		return Status{}, "", unknownOutcome("issuer-unreachable", "only the entry that issued the id answers for it until it is proved to have ended")
	}
	return mg.failIssued(ctx, iss, id)
}

// hasEnded reports whether there is proof that the process of an incarnation has
// ended. What it held in memory only, without a record in the table, is then
// lost.
func (mg *Manager) hasEnded(inc ids.Incarnation) bool {
	snap := mg.opt.Members.Load()
	if snap == nil {
		return false
	}
	_, gone := snap.Gone[processOf(inc)]
	return gone
}

// failIssued fences the issuer and records the job as failed, because the only
// incarnation that could have started it is gone.
func (mg *Manager) failIssued(ctx context.Context, iss issuedID, id ids.JobID) (Status, ids.Incarnation, error) {
	se := mg.session()
	if _, err := mg.fence(ctx, iss.issuer, se.inc); err != nil {
		return Status{}, "", unknownOutcome("table-unavailable", err.Error())
	}
	jr := jobRow{Owner: se.inc, State: StateFailed, Reason: reasonIssuerGone}
	row, err := se.changeRow(ctx, id, 0, jr)
	if err != nil {
		return Status{}, "", err
	}
	status, _, err := mg.readRow(ctx, id, row)
	return status, "", err
}

const reasonIssuerGone = "the entry that issued the id is gone"

// readRow decodes a job row into a status, and reads large results from the
// object store.
func (mg *Manager) readRow(ctx context.Context, id ids.JobID, raw []byte) (Status, jobRow, error) {
	var jr jobRow
	if err := json.Unmarshal(raw, &jr); err != nil {
		return Status{}, jr, fmt.Errorf("decode the row of job %s: %w", id, err)
	}
	status, err := mg.statusOfRow(ctx, id, &jr)
	return status, jr, err
}

func (mg *Manager) statusOfRow(ctx context.Context, id ids.JobID, jr *jobRow) (Status, error) {
	status := Status{ID: id, State: jr.State, Reason: jr.Reason, Results: slices.Clone(jr.Results), Failures: jr.Failures}
	for _, task := range jr.Objects {
		raw, err := mg.opt.Objects.Get(ctx, resultKey(id, task))
		if err != nil {
			return Status{}, unknownOutcome("objects-unavailable", err.Error())
		}
		status.Results[task] = raw
	}
	return status, nil
}

// Wait returns the state of a job. If the state is not final, it first waits up
// to the given time. The owner of the job holds the request meanwhile.
func (mg *Manager) Wait(ctx context.Context, id ids.JobID, wait time.Duration) (Status, error) {
	// recheck is the time between two lookups of a job that no owner holds.
	const recheck = 100 * time.Millisecond
	deadline := time.Now().Add(wait)
	for {
		status, owner, err := mg.getWithOwner(ctx, id)
		left := time.Until(deadline)
		if err != nil || status.Final() || left <= 0 || ctx.Err() != nil {
			return status, err
		}
		se := mg.session()
		held := false
		if oj := se.findAdmitted(id); oj != nil {
			waitFor(ctx, oj.done, left)
			status, err = se.statusOf(ctx, oj)
			held = true
		} else {
			status, held, err = mg.waitAtOwner(ctx, owner, id, left)
		}
		if err == nil && status.Final() {
			return status, nil
		}
		if !held {
			waitFor(ctx, nil, min(left, recheck))
		}
	}
}

// waitFor waits until the channel is closed, ctx ends or the wait time is over.
func waitFor(ctx context.Context, done <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Cancel fails a job unless it is already decided. It returns the final state;
// StateComplete means that the cancellation came too late.
func (mg *Manager) Cancel(ctx context.Context, id ids.JobID) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for began := time.Now(); ctx.Err() == nil; {
		status, owner, err := mg.getWithOwner(ctx, id)
		if err != nil || status.Final() {
			return status, err
		}
		se := mg.session()
		if oj := se.findAdmitted(id); oj != nil {
			se.cancel(oj)
			waitFor(ctx, oj.done, commitTimeout)
			continue
		}
		status, ok := mg.cancelAtOwner(ctx, owner, id)
		if !ok && (mg.isUnresponsive(owner) || time.Since(began) > commitTimeout/2) {
			status, ok = mg.cancelRow(ctx, id)
		}
		if ok {
			return status, nil
		}
		waitFor(ctx, nil, 50*time.Millisecond)
	}
	return Status{}, unknownOutcome("cancellation-not-recorded", "the cancellation is not recorded yet")
}

// isUnresponsive reports whether an incarnation has ended or its entry is
// suspect.
func (mg *Manager) isUnresponsive(inc ids.Incarnation) bool {
	snap := mg.opt.Members.Load()
	if snap == nil {
		return false
	}
	_, suspect := snap.Suspect[inc.Entry()]
	return suspect || mg.hasEnded(inc)
}

func (mg *Manager) cancelAtOwner(ctx context.Context, owner ids.Incarnation, id ids.JobID) (Status, bool) {
	addr, ok := mg.addressOf(owner)
	if !ok {
		return Status{}, false
	}
	rep, err := mg.call(ctx, addr, "Cancel", PeerArgs{ID: id}, commitTimeout)
	if err != nil || !rep.Found {
		return Status{}, false
	}
	status, err := rep.result()
	return status, err == nil && status.Final()
}

// cancelRow records the cancellation in the row of a job whose owner does not
// answer. If the owner is still alive, its tasks keep running until its own
// decision fails with a conflict.
func (mg *Manager) cancelRow(ctx context.Context, id ids.JobID) (Status, bool) {
	row, err := mg.opt.Rows.Get(ctx, jobKey(id))
	var jr jobRow
	if err != nil || json.Unmarshal(row.Value, &jr) != nil || jr.State != StateRunning {
		return Status{}, false
	}
	jr.State = StateFailed
	jr.Reason = ReasonCancelled
	raw, err := mg.session().changeRow(ctx, id, int64(row.Version), jr)
	if err != nil {
		return Status{}, false
	}
	status, _, err := mg.readRow(ctx, id, raw)
	return status, err == nil && status.Final()
}

// Finished handles the report of a task that has ended.
func (mg *Manager) Finished(rep worker.Report) {
	mg.session().handleFinished(rep)
}

// Lost fails the job of a task whose result can no longer be obtained.
func (mg *Manager) Lost(task worker.TaskID, reason string) {
	mg.session().handleLost(task, reason)
}
