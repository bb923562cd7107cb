package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Effects executes the decisions of an Entry. No method blocks or calls back
// into the Entry before it returns.
type Effects interface {
	// Send sends a message to another entry. Without a session the message is
	// dropped.
	Send(to ids.EntryID, msg Message)
	// StartTask sends a start order; Entry.StartReplied receives the result.
	StartTask(order StartOrder)
	// StopTask sends a stop order; Entry.StopReplied receives the result.
	StopTask(order StopOrder)
	// Hold renews leases on a worker and lists its runs; Entry.HoldReplied, or
	// Entry.PollReplied if the order has a PollID, receives the result.
	Hold(order HoldOrder)
	// Commit changes holder rows in one transaction; Entry.Committed receives
	// the result.
	Commit(changes []RowChange)
	// ForgetMember releases the resources held for an entry that is permanently
	// gone, and deletes its row if the row still has the given version.
	ForgetMember(id ids.EntryID, version Version)
	// StoreJob writes the row of a stored job; Entry.JobStored receives the
	// result.
	StoreJob(write JobWrite)
	// LoadJob reads a stored job; Entry.JobLoaded receives the result.
	LoadJob(id ids.JobID)
	// Advise requests which workers may run a step; Entry.AdviceReplied
	// receives the result.
	Advise(order AdviceOrder)
	// Wall returns the wall-clock time, which may jump.
	Wall() time.Time
	// Log writes one log line about a decision. The fields are alternating keys
	// and values.
	Log(event string, fields ...any)
	// Count adds to a counter.
	Count(family, reason string, n int64)
	// Gauge sets a gauge.
	Gauge(name string, value int64)
	// Observe adds to a latency histogram.
	Observe(name string, took time.Duration)
}

// StartOrder starts one run on a worker.
type StartOrder struct {
	Worker     ids.WorkerID
	Address    string
	Token      Token
	Ref        TaskRef
	Payload    string
	Checkpoint string
	Ticket     string     // "" if none is needed
	Until      WorkerTime // when the lease of the run ends
}

// StopOrder stops one run on a worker.
type StopOrder struct {
	Worker  ids.WorkerID
	Address string
	Token   Token
	Ref     TaskRef
}

// HoldOrder renews the leases on a worker and requests the list of its runs.
type HoldOrder struct {
	Worker  ids.WorkerID
	Address string
	Token   Token
	Extend  bool       // whether to renew the leases
	Until   WorkerTime // the new end of all leases on the worker
	Acked   int64      // the worker may discard ended runs up to this number
	Wait    time.Duration
	Margin  time.Duration // how much later than Wait the reply may arrive
	// PollID is nonzero for a poll that runs in parallel with the hold in flight;
	// Entry.PollReplied receives the result with this number.
	PollID int64
}

// RowChange sets the holder of a worker if its row has the expected version.
type RowChange struct {
	Worker   ids.WorkerID
	Expected Version         // 0 if the row must not exist
	Holder   ids.Incarnation // "" deletes the row
}

// Entry is the state of one entry. It is not safe for concurrent use.
type Entry struct {
	self Self
	id   ids.EntryID

	lease         time.Duration // requested with each hold
	startLease    time.Duration // of a new run
	holdWait      time.Duration // how long a worker may keep a hold open while nothing changes
	remotePenalty float64
	eff           Effects
	now           func() time.Time

	desired *Desired
	// services holds the services that a desired state or an open stored job has
	// named. Jobs go on after their queue has been removed.
	services map[ids.ServiceName]bool
	leaving  bool

	sessions map[ids.EntryID]*session

	// Owner role.
	jobs       map[ids.JobID]*job
	groups     map[GroupID]*group
	lastGroup  GroupID
	estimators map[string]*estimator
	announced  map[string]*announcedWaits // by queue
	records    map[ids.JobID]*record
	// openRecords holds the records of jobs that have not ended, and endedRecords
	// the others in the order in which they ended.
	openRecords       map[ids.JobID]*record
	endedRecords      []*record
	readAt            map[Table]time.Time // when the last complete read was sent
	requiredAnswers   requiredAnswers
	lookups           map[ids.JobID][]func(failed bool)
	cancels           map[ids.JobID]*cancellation
	lastBeatSent      time.Time // when the last heartbeat that the store confirmed was sent
	fenced            bool      // other entries may take over the stored jobs of this one
	unfencedAt        time.Time // when fenced was last cleared
	lastHolderCheckAt time.Time // when checkHolders last checked the holders
	lastJobClaimAt    time.Time // when claimJobs was last called
	started           time.Time
	leavingSince      time.Time

	demand demand
	// Holder role.
	workers       map[ids.WorkerID]*worker
	wants         map[wantKey]*want
	grants        map[GrantID]*grant
	lastGrant     GrantID
	failedWorkers failedWorkers
	classSpeeds   map[string]*classSpeed // by service and labels
	waitStats     waitStatistics
	// savedCheckpoints holds the checkpoints of ended runs, see keepCheckpoint.
	savedCheckpoints map[ids.JobID]map[TaskID]SavedRun
	// keptCrashes holds the runs that were lost with their workers, see keepCrash.
	keptCrashes map[ids.JobID]map[TaskID][]Crash
	// unreached holds the workers that this entry holds according to their rows but
	// has not reached yet, with the time when it became their holder. The previous
	// holder may still use them.
	unreached map[ids.WorkerID]time.Time
	// vanished holds the workers that have a holder row but no report, with the
	// time when this was first seen.
	vanished map[ids.WorkerID]time.Time
	// givenUp holds the holder rows that this entry removes.
	givenUp map[ids.WorkerID]givenUpRow

	// Member role.
	members      map[ids.EntryID]*member
	incarnations map[ids.EntryID]map[ids.Incarnation]*incarnationRecord
	rows         map[ids.WorkerID]HolderRow
	rowAt        map[ids.WorkerID]time.Time // when the row was received
	known        map[ids.WorkerID]*knownWorker
	committing   bool
	commitAt     time.Time
	// rowsMissedAt is the last time at which the rows of other entries may not
	// have been read, because the store was unavailable or this process was
	// paused. storeUnavailableAt is the last time at which the store was seen to
	// be unavailable.
	rowsMissedAt       time.Time
	storeUnavailableAt time.Time
	lastCallAt         time.Time
	lastMemberTickAt   time.Time
	lastRemovalAt      time.Time
	topology           topology
	// linksChanged reports that the result of Links may differ from that at
	// linksAt.
	linksChanged bool
	linksAt      time.Time
	news         WorkerNews // not forwarded yet
	// claimCandidates holds the workers that this entry takes over if their reports
	// turn out to be recent.
	claimCandidates []ids.WorkerID
	// claimsChanged reports that claimChanges may find other workers than at
	// claimsAt.
	claimsChanged bool
	claimsAt      time.Time
	lastForgetAt  time.Time
	// watcherSince is when this entry last became a watcher, and snapshotsDue reports
	// that it has not sent the snapshots that follow.
	watcherSince time.Time
	snapshotsDue bool
	// snapshotTaken reports that a watcher has sent the list of the workers of this
	// zone. workersVersion is the store version up to which this entry has itself
	// received all changes of the workers' reports.
	snapshotTaken  bool
	workersVersion Version
	// desiredBehindSince is when another entry first reported a newer version of
	// the desired state, and desiredRequestedAt is when it was last requested from
	// an entry.
	desiredBehindSince time.Time
	desiredRequestedAt time.Time
	// handoverOwners holds the owners of the tasks on workers whose handover to
	// another holder is in progress.
	handoverOwners      map[ids.WorkerID][]ids.EntryID
	ignoreRunTimesUntil time.Time // measured run times are ignored until then
	lossyUntil          time.Time // single calls to workers may be lost until then

	evac            *evacuations
	evacuationBound time.Duration
	coldLimits      *coldLimits
}

// session is the state of the connection between this entry and another one, in
// both directions.
type session struct {
	up           bool // messages can be sent to the other entry
	incarnation  ids.Incarnation
	self         Self // as the other entry described itself when it began its latest session
	upSince      time.Time
	lastAnswered time.Time // send time of the last batch that the incarnation has answered
	downSince    time.Time
	refused      bool // the last connection attempt was refused
	load         Load
	// requestedUntil is the time until which a requested session is kept, and
	// usedAt is when the last message about tasks was sent or received over it.
	requestedUntil time.Time
	usedAt         time.Time
	probedAt       time.Time // when the entry was last dialled to find out whether it is alive
	// spareInbound reports that the other entry keeps its session to this one only
	// because this entry keeps one to it.
	spareInbound bool
	// inbound is the number of the session from the other entry to this one, 0 if
	// there is none.
	inbound uint64
	// contactAt is the latest time at which the session from the other entry is
	// known to have been up at the other entry.
	contactAt time.Time
}

// New returns the initial state of an entry.
func New(self Self, lim Limits, eff Effects, now func() time.Time) *Entry {
	maxLease := lim.MaxLease
	if maxLease <= 0 {
		maxLease = defaultLease
	}
	maxLease = min(maxLease, defaultLease)
	return &Entry{
		lease:         time.Duration(leaseShare * float64(maxLease)),
		startLease:    time.Duration(startLeaseShare * float64(maxLease)),
		holdWait:      time.Duration(holdWaitShare * float64(maxLease)),
		remotePenalty: max(lim.RemotePenalty, 1),

		self:             self,
		id:               self.Incarnation.Entry(),
		eff:              eff,
		now:              now,
		sessions:         map[ids.EntryID]*session{},
		jobs:             map[ids.JobID]*job{},
		groups:           map[GroupID]*group{},
		estimators:       map[string]*estimator{},
		announced:        map[string]*announcedWaits{},
		records:          map[ids.JobID]*record{},
		openRecords:      map[ids.JobID]*record{},
		readAt:           map[Table]time.Time{},
		lookups:          map[ids.JobID][]func(failed bool){},
		cancels:          map[ids.JobID]*cancellation{},
		started:          now(),
		demand:           demand{queues: map[uint32]*queueDemand{}, capacities: map[uint32]*capacity{}},
		workers:          map[ids.WorkerID]*worker{},
		wants:            map[wantKey]*want{},
		grants:           map[GrantID]*grant{},
		unreached:        map[ids.WorkerID]time.Time{},
		vanished:         map[ids.WorkerID]time.Time{},
		givenUp:          map[ids.WorkerID]givenUpRow{},
		failedWorkers:    failedWorkers{},
		classSpeeds:      map[string]*classSpeed{},
		services:         map[ids.ServiceName]bool{},
		savedCheckpoints: map[ids.JobID]map[TaskID]SavedRun{},
		keptCrashes:      map[ids.JobID]map[TaskID][]Crash{},
		members:          map[ids.EntryID]*member{},
		incarnations:     map[ids.EntryID]map[ids.Incarnation]*incarnationRecord{},
		rows:             map[ids.WorkerID]HolderRow{},
		rowAt:            map[ids.WorkerID]time.Time{},
		known:            map[ids.WorkerID]*knownWorker{},
		lastCallAt:       now(),

		evac:            newEvacuations(now(), lim.EvacuationBound > 0),
		evacuationBound: cmp.Or(max(lim.EvacuationBound, 0), defaultEvacuationBound),
		coldLimits:      newColdLimits(lim),
	}
}

// The leases on workers. Leases longer than one second would only delay the
// restart of a lost worker's tasks elsewhere.
const (
	defaultLease = time.Second
	// leaseShare is the share of the longest lease that each hold requests. It is
	// below 1 so that a worker does not shorten the lease when its clock was read
	// slightly late.
	leaseShare = 0.95
	// startLeaseShare limits how late a delayed start order can still take effect.
	// The lease of a new run is longer than one hold.
	startLeaseShare = 0.8
	// holdWaitShare leaves time for a second hold if the first gets no reply.
	holdWaitShare = 0.4
)

// TickInterval is the interval at which the runtime calls Tick. It limits the
// delay in detecting timeouts and starting takeovers.
const TickInterval = 20 * time.Millisecond

// pauseLimit is the gap between two calls above which the process counts as
// paused. It is shorter than the timeout after which a sender ends a session that
// is not answered.
const pauseLimit = 500 * time.Millisecond

// DetectPause must be called before every other method. It detects whether the
// process was paused since the last call. After a pause the messages buffered in
// the connections are stale: their senders may have treated this entry as lost
// and started the same tasks elsewhere. DetectPause therefore ends all sessions
// to this entry, and their senders begin new ones.
func (en *Entry) DetectPause() {
	now := en.now()
	gap := now.Sub(en.lastCallAt)
	en.lastCallAt = now
	if gap > staleGap {
		en.ignoreRunTimesUntil = now.Add(staleDuration)
	}
	if gap <= pauseLimit {
		return
	}
	en.eff.Log("paused", "gap-ms", gap.Milliseconds())
	// No heartbeats of other entries were read during the pause, so missing ones
	// prove nothing.
	en.rowsMissedAt = now
	en.evacuationsStale(now)
	for _, id := range sortedKeys(en.sessions) {
		if en.sessions[id].inbound != 0 {
			en.InboundDown(id, en.sessions[id].inbound, "paused")
		}
	}
}

// Tick runs everything that depends on time. The runtime calls it every
// TickInterval.
func (en *Entry) Tick() {
	now := en.now()
	en.tickOwner(now)
	en.tickStored(now)
	en.tickHolder(now)
	en.tickEvacuations(now)
	en.sampleWaits(now)
	if now.Sub(en.lastMemberTickAt) >= memberTickInterval+time.Duration(en.topology.size)*memberSpacing {
		en.lastMemberTickAt = now
		en.tickMember(now)
	}
	en.sendWorkerNews()
}

// Apply puts a version of the desired state into effect, unless the present one
// is the same or newer. It reports whether it did so.
func (en *Entry) Apply(des Desired) bool {
	if en.desired != nil && des.Version <= en.desired.Version {
		return false
	}
	en.desired = &des
	en.coldLimits.apply(des)
	for _, qu := range des.Queues {
		en.nameService(qu.Service)
		en.queueDemand(qu)
	}
	en.desiredBehindSince = time.Time{}
	en.eff.Log("desired-state", "version", des.Version, "queues", len(des.Queues))
	return true
}

// The timing of requests to other entries for a newer desired state.
const (
	// desiredRequestDelay is how long an entry waits for a version from the store
	// before it requests it from another entry. A version may take hundreds of
	// kilobytes and must be in effect within 2 s.
	desiredRequestDelay = 500 * time.Millisecond
	// desiredRequestPause is the pause before the next request.
	desiredRequestPause = 400 * time.Millisecond
)

// HandlePeerDesired handles the version number of the desired state that another
// entry has reported.
func (en *Entry) HandlePeerDesired(id ids.EntryID, version int64) {
	now := en.now()
	switch {
	case version <= en.version():
	case en.desiredBehindSince.IsZero():
		en.desiredBehindSince = now
	case now.Sub(en.desiredBehindSince) >= desiredRequestDelay && now.Sub(en.desiredRequestedAt) >= desiredRequestPause:
		en.desiredRequestedAt = now
		en.eff.Log("desired-state-asked", "entry", string(id), "version", version, "own", en.version(),
			"behind-ms", now.Sub(en.desiredBehindSince).Milliseconds())
		en.send(id, AskDesired{})
	}
}

// Table is one of the tables of the store that an entry reads continuously.
type Table int

// The tables that an entry reads continuously.
const (
	TableHolders Table = iota // entries and holders of workers
	TableWorkers
	TableJobs
)

// TableRead records that all rows that a table had when the read was sent have
// been passed to the entry.
func (en *Entry) TableRead(tb Table, sent time.Time) {
	if sent.After(en.readAt[tb]) {
		en.readAt[tb] = sent
	}
	if tb == TableWorkers {
		en.sendWorkerSnapshots()
	}
}

// WorkersReadTo records the store version up to which this entry has received
// all changes of the workers' reports.
func (en *Entry) WorkersReadTo(version Version) { en.workersVersion = version }

// Desired returns the desired state in effect, nil before the first one.
func (en *Entry) Desired() *Desired { return en.desired }

// session returns the session with an entry and creates it if necessary.
func (en *Entry) session(id ids.EntryID) *session {
	se := en.sessions[id]
	if se == nil {
		se = &session{downSince: en.now()}
		en.sessions[id] = se
	}
	return se
}

// SessionUp records that messages can be sent to an entry.
func (en *Entry) SessionUp(id ids.EntryID, inc ids.Incarnation) {
	se := en.session(id)
	if se.incarnation != inc {
		se.lastAnswered = time.Time{}
	}
	se.up, se.refused, se.incarnation, se.upSince = true, false, inc, en.now()
	en.incarnationRecord(inc)
	en.claimsChanged = true
	en.eff.Log("session-up", "entry", string(id), "incarnation", string(inc))
	if se.inbound != 0 {
		en.resendWants(id)
		en.resendAdopts(id)
		en.sendWorkerSnapshot(id)
	}
}

// SessionDown records that messages can no longer be sent to an entry. The last
// messages sent may or may not have arrived.
func (en *Entry) SessionDown(id ids.EntryID, why string) {
	se := en.session(id)
	if !se.up {
		return
	}
	se.up, se.downSince, se.load = false, en.now(), Load{}
	en.claimsChanged = true
	en.eff.Log("session-down", "entry", string(id), "incarnation", string(se.incarnation), "reason", why)
	en.eff.Count("peer", "session-down", 1)
	en.markHolderLost(id)
	en.stopAwaitingAdopted(id)
	if se.inbound != 0 {
		// Replies to that entry would not arrive.
		en.InboundDown(id, se.inbound, "session down")
	}
}

// ConnectionRefused records that an entry's VM refused a connection, which means
// that no process listens there.
func (en *Entry) ConnectionRefused(id ids.EntryID) {
	en.session(id).refused = true
}

// InboundUp records that an entry has begun a session to this one. An older
// session from the same entry has ended.
func (en *Entry) InboundUp(id ids.EntryID, number uint64) {
	se := en.session(id)
	if se.inbound != 0 && se.inbound != number {
		en.dropOwner(id, "new session")
		if se.up {
			en.dropHolder(id)
		}
	}
	se.inbound, se.contactAt = number, en.now()
	en.linksChanged = true
	if se.up {
		en.resendWants(id)
		en.resendAdopts(id)
		en.sendWorkerSnapshot(id)
	}
}

// InboundDown records that a session from an entry to this one has ended: its
// connection was closed or was silent for too long.
func (en *Entry) InboundDown(id ids.EntryID, number uint64, why string) {
	se := en.session(id)
	if se.inbound != number {
		return
	}
	se.inbound = 0
	en.linksChanged = true
	en.dropOwner(id, why)
	if se.up {
		// Messages from that entry no longer arrive.
		en.dropHolder(id)
		en.stopAwaitingAdopted(id)
	}
}

// IsInbound reports whether number is that of the present session from an entry
// to this one.
func (en *Entry) IsInbound(id ids.EntryID, number uint64) bool {
	return en.session(id).inbound == number
}

// RecordContact records that at a given time the other entry still kept its
// session to this one, and that everything it sent before has been received. The
// time is the send time of a message that the other entry has answered since, so
// it is valid however late the answer is read.
func (en *Entry) RecordContact(id ids.EntryID, at time.Time) {
	if se := en.session(id); se.inbound != 0 && at.After(se.contactAt) {
		se.contactAt = at
	}
}

// HasInbound reports whether there is a session from an entry to this one.
func (en *Entry) HasInbound(id ids.EntryID) bool { return en.session(id).inbound != 0 }

// HandlePeerLoad records the load that an entry has reported.
func (en *Entry) HandlePeerLoad(id ids.EntryID, load Load) {
	se := en.session(id)
	if load.Number > 0 && load.Number < se.load.Number {
		// A later batch has overtaken the reply that carried this load.
		return
	}
	se.load = load
}

// HandlePeerSpare records whether an entry keeps its session to this one only
// because this entry keeps one to it.
func (en *Entry) HandlePeerSpare(id ids.EntryID, spare bool) {
	en.setSpareInbound(en.session(id), spare)
}

// Receive handles a message from another entry.
func (en *Entry) Receive(from ids.EntryID, msg Message) {
	en.markUsed(from, msg)
	switch ms := msg.(type) {
	case Start:
		en.handleStart(from, ms)
	case Want:
		en.handleWant(from, ms)
	case Unwant:
		en.handleUnwant(from, ms)
	case Stop:
		en.handleStop(from, ms)
	case Check:
		en.handleCheck(from, ms)
	case Adopted:
		en.handleAdopted(from, ms)
	case Grant:
		en.handleGrant(from, ms)
	case Running:
		en.handleRunning(from, ms)
	case Ended:
		en.handleEnded(from, ms)
	case Adopt:
		en.handleAdopt(from, ms)
	case Released:
		en.handleReleased(from, ms)
	case Handover:
		en.handleHandover(ms)
	case Noted:
		en.handleNoted(ms)
	case Claimed:
		en.handleClaimed(from, ms)
	case PastEnds:
		en.handlePastEnds(from, ms)
	case JobNews:
		en.handleJobNews(ms)
	case NewDesired:
		en.Apply(ms.Desired)
	case AskDesired:
		if en.desired != nil {
			en.send(from, NewDesired{Desired: *en.desired})
		}
	case WorkerNews:
		en.handleWorkerNews(ms)
	case AskEvacuations:
		en.handleAskEvacuations(from, ms)
	case Evacuations:
		en.handleEvacuations(ms)
	case AskMove:
		en.handleAskMove(from, ms)
	default:
		en.eff.Log("unknown-message", "entry", string(from))
	}
}

// send sends a message to an entry, which may be this one.
func (en *Entry) send(to ids.EntryID, msg Message) {
	if to == "" {
		// The task has no owner.
		return
	}
	if to == en.id {
		en.Receive(en.id, msg)
		return
	}
	if !en.canSend(to) {
		// This message is lost; the messages that repeat it will arrive.
		en.requestLink(to)
	}
	en.markUsed(to, msg)
	en.eff.Send(to, msg)
}

// bidirectional reports whether messages can be sent in both directions.
func (se *session) bidirectional() bool { return se.up && se.inbound != 0 }

// canSend reports whether messages can be sent to an entry.
func (en *Entry) canSend(id ids.EntryID) bool {
	se := en.sessions[id]
	return id == en.id || (se != nil && se.up)
}

// reachable lists the entries with which messages can be exchanged in both
// directions, including this one.
func (en *Entry) reachable() []ids.EntryID {
	list := []ids.EntryID{en.id}
	for _, id := range sortedKeys(en.sessions) {
		if en.sessions[id].bidirectional() {
			list = append(list, id)
		}
	}
	return list
}

// Reachable returns the number of entries with which messages can be exchanged
// in both directions, including this one.
func (en *Entry) Reachable() int { return len(en.reachable()) }

// sortedKeys returns the keys of a map in ascending order. Decisions that send
// messages iterate over maps in this order, so that the same input gives the
// same output.
func sortedKeys[K cmp.Ordered, V any](mp map[K]V) []K {
	keys := make([]K, 0, len(mp))
	for key := range mp {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
