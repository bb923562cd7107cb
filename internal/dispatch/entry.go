package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// Effects carries out what an Entry decides. No method blocks or calls back
// into the Entry before it returns.
type Effects interface {
	// Send passes a message to another entry. Without a session it is dropped.
	Send(to ids.EntryID, msg Message)
	// StartTask sends an order; Entry.StartReplied takes the result.
	StartTask(order StartOrder)
	// StopTask sends an order; Entry.StopReplied takes the result.
	StopTask(order StopOrder)
	// Hold renews leases on a worker and lists its runs; Entry.HoldReplied
	// takes the result.
	Hold(order HoldOrder)
	// Commit changes rows of holders, all or none; Entry.Committed takes the
	// result.
	Commit(changes []RowChange)
	// ForgetMember ends what is done for an entry that is gone for good, and
	// removes its row if it has the version.
	ForgetMember(id ids.EntryID, version Version)
	// StoreJob changes the row of a stored job; Entry.JobStored takes the result.
	StoreJob(write JobWrite)
	// LoadJob reads a stored job; Entry.JobLoaded takes the result.
	LoadJob(id ids.JobID)
	// Advise asks which workers may run a step; Entry.Advised takes the result.
	Advise(order AdviceOrder)
	// Wall returns the time of day, which may jump.
	Wall() time.Time
	// Log writes one line on a decision. The fields are key and value in turn.
	Log(event string, fields ...any)
	// Count adds to a counter.
	Count(family, reason string, n int64)
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
	Ticket     string     // "" where none is needed
	Until      WorkerTime // lease of the run
}

// StopOrder stops one run on a worker.
type StopOrder struct {
	Worker  ids.WorkerID
	Address string
	Token   Token
	Ref     TaskRef
}

// HoldOrder renews the leases on a worker and asks for its runs.
type HoldOrder struct {
	Worker  ids.WorkerID
	Address string
	Token   Token
	Extend  bool       // whether leases are renewed
	Until   WorkerTime // the new end of all leases on the worker
	Acked   int64      // ends up to this number may be forgotten
	Wait    time.Duration
	Margin  time.Duration // how much later than Wait the answer may come
	// Look is set on a hold beside the one in flight; Entry.Looked takes the
	// result together with this number.
	Look int64
}

// RowChange sets the holder of a worker if the row has the expected version.
type RowChange struct {
	Worker   ids.WorkerID
	Expected Version         // 0 when there must be no row
	Holder   ids.Incarnation // "" removes the row
}

// Entry is the state of one entry. It is not safe for concurrent use.
type Entry struct {
	self Self
	id   ids.EntryID

	lease         time.Duration // asked for in each hold
	startLease    time.Duration // of a new run
	holdWait      time.Duration // how long a worker may keep a hold open without news
	remotePenalty float64
	eff           Effects
	now           func() time.Time

	desired *Desired
	leaving bool

	sessions map[ids.EntryID]*session

	// as owner
	jobs      map[ids.JobID]*job
	groups    map[GroupID]*group
	lastGroup GroupID
	learned   map[string]*estimator
	records   map[ids.JobID]*record
	// open holds the records of jobs that go on, and ended the others, those that
	// ended first in front.
	open       map[ids.JobID]*record
	ended      []*record
	readAt     map[Table]time.Time // when the last whole read was sent
	needs      needs
	lookups    map[ids.JobID][]func(failed bool)
	cancels    map[ids.JobID][]func(out Outcome)
	beaten     time.Time // when the last beat that is stored was sent
	fenced     bool      // stored jobs may be taken over by other entries
	unfencedAt time.Time // when that last ended
	checkTick  time.Time
	claimTick  time.Time
	started    time.Time
	leftAt     time.Time

	// as holder
	workers   map[ids.WorkerID]*worker
	wants     map[wantKey]*want
	grants    map[GrantID]*grant
	lastGrant GrantID
	suspects  suspectJobs
	progress  map[ids.JobID]map[TaskID]SavedRun
	// unfenced holds the workers that this entry holds by their rows and has not
	// reached yet, with the time when it became their holder. The holder before
	// may go on using them.
	unfenced map[ids.WorkerID]time.Time
	// vanished holds the workers with a holder's row and no report, with the time
	// when that was first seen.
	vanished map[ids.WorkerID]time.Time

	// as member
	members    map[ids.EntryID]*member
	lives      map[ids.EntryID]map[ids.Incarnation]*life
	rows       map[ids.WorkerID]HolderRow
	rowAt      map[ids.WorkerID]time.Time // when the row was learned
	known      map[ids.WorkerID]*knownWorker
	committing bool
	commitAt   time.Time
	// storeLost is the last time at which rows of others may not have been read,
	// because the store was away or this process paused, and storeAway the last
	// time at which the store was seen to be away.
	storeLost   time.Time
	storeAway   time.Time
	lastWake    time.Time
	memberTick  time.Time
	removalTick time.Time
	topology    topology
	// linksChanged tells that Links may list others than at linksAt.
	linksChanged bool
	linksAt      time.Time
	news         WorkerNews // not passed on yet
	// doubtful holds the workers that fall to this entry if their reports turn
	// out to be recent.
	doubtful []ids.WorkerID
	// claimsChanged tells that claims may find others than at claimsAt.
	claimsChanged bool
	claimsAt      time.Time
	forgetTick    time.Time
	// newsTaken tells that a watcher has listed the workers of this zone, and
	// workersAt is the version of the store up to which this entry has followed
	// their reports itself.
	newsTaken bool
	workersAt Version
	// behindSince is when another entry was first heard to have a newer version of
	// the desired state, and askedAt when one was last asked for it.
	behindSince time.Time
	askedAt     time.Time
	// handed holds the owners of the tasks on workers that are being handed over.
	handed     map[ids.WorkerID][]ids.EntryID
	staleUntil time.Time // run times are not judged before
	lossyUntil time.Time // calls of workers get lost one by one
}

// session is the state of the messages between this entry and another one.
type session struct {
	up          bool // messages can be sent
	incarnation ids.Incarnation
	upSince     time.Time
	answered    time.Time // when the last batch was sent that the incarnation has answered
	downSince   time.Time
	refused     bool // the last attempt to connect was refused
	load        Load
	// wantedUntil keeps a session that was asked for, and usedAt is when the last
	// message about tasks went over it.
	wantedUntil time.Time
	usedAt      time.Time
	probedAt    time.Time // when it was last dialled to find out whether it lives
	// spareInbound tells that the other entry keeps its session towards this one
	// only because of the one in this direction.
	spareInbound bool
	// inbound is the number of the session in the other direction, 0 when
	// there is none.
	inbound uint64
	// touchAt is a time at which the session in the other direction surely was
	// up for the other entry.
	touchAt time.Time
}

// New returns the state of an entry that has just started.
func New(self Self, lim Limits, eff Effects, now func() time.Time) *Entry {
	most := lim.LeaseMost
	if most <= 0 {
		most = defaultLease
	}
	most = min(most, defaultLease)
	return &Entry{
		lease:         time.Duration(leaseShare * float64(most)),
		startLease:    time.Duration(startLeaseShare * float64(most)),
		holdWait:      time.Duration(holdWaitShare * float64(most)),
		remotePenalty: max(lim.RemotePenalty, 1),

		self:     self,
		id:       self.Incarnation.Entry(),
		eff:      eff,
		now:      now,
		sessions: map[ids.EntryID]*session{},
		jobs:     map[ids.JobID]*job{},
		groups:   map[GroupID]*group{},
		learned:  map[string]*estimator{},
		records:  map[ids.JobID]*record{},
		open:     map[ids.JobID]*record{},
		readAt:   map[Table]time.Time{},
		lookups:  map[ids.JobID][]func(failed bool){},
		cancels:  map[ids.JobID][]func(out Outcome){},
		started:  now(),
		workers:  map[ids.WorkerID]*worker{},
		wants:    map[wantKey]*want{},
		grants:   map[GrantID]*grant{},
		unfenced: map[ids.WorkerID]time.Time{},
		vanished: map[ids.WorkerID]time.Time{},
		suspects: suspectJobs{},
		progress: map[ids.JobID]map[TaskID]SavedRun{},
		members:  map[ids.EntryID]*member{},
		lives:    map[ids.EntryID]map[ids.Incarnation]*life{},
		rows:     map[ids.WorkerID]HolderRow{},
		rowAt:    map[ids.WorkerID]time.Time{},
		known:    map[ids.WorkerID]*knownWorker{},
		lastWake: now(),
	}
}

// The leases on workers. Longer leases than a second would only delay the
// moment when the tasks of a lost worker may start elsewhere.
const (
	defaultLease = time.Second
	// leaseShare of the longest lease is asked for, so that a worker whose clock
	// is read a little late does not shorten it.
	leaseShare = 0.95
	// startLeaseShare bounds how late an order that was delayed on its way can
	// still take effect, and outlasts one hold.
	startLeaseShare = 0.8
	// holdWaitShare leaves time for a second hold when one gets no answer.
	holdWaitShare = 0.4
)

// TickInterval is the interval at which the runtime calls Tick. It bounds how
// late a give-up or a takeover is noticed.
const TickInterval = 20 * time.Millisecond

// pauseLimit is the gap between two calls above which the process counts as
// paused. It is shorter than the silence after which a sender ends its session.
const pauseLimit = 500 * time.Millisecond

// Wake has to come before every other call. It finds out whether the process
// was paused since the last one. After a pause the messages that wait in the
// connections are old: their senders may have given up on this entry and have
// started the same tasks elsewhere. All sessions towards this entry therefore
// end, and their senders begin new ones.
func (en *Entry) Wake() {
	now := en.now()
	gap := now.Sub(en.lastWake)
	en.lastWake = now
	if gap > staleAfter {
		en.staleUntil = now.Add(staleTime)
	}
	if gap <= pauseLimit {
		return
	}
	en.eff.Log("paused", "gap-ms", gap.Milliseconds())
	// Beats of others were not read meanwhile; they prove nothing.
	en.storeLost = now
	for _, id := range sortedKeys(en.sessions) {
		if en.sessions[id].inbound != 0 {
			en.InboundDown(id, en.sessions[id].inbound, "paused")
		}
	}
}

// Tick acts on the passing of time.
func (en *Entry) Tick() {
	now := en.now()
	en.tickOwner(now)
	en.tickStored(now)
	en.tickHolder(now)
	if now.Sub(en.memberTick) >= memberInterval+time.Duration(en.topology.size)*memberSpacing {
		en.memberTick = now
		en.tickMember(now)
	}
	en.tellNews()
}

// Apply puts a version of the desired state in force, unless a newer one is.
func (en *Entry) Apply(des Desired) bool {
	if en.desired != nil && des.Version <= en.desired.Version {
		return false
	}
	en.desired = &des
	en.behindSince = time.Time{}
	en.eff.Log("desired-state", "version", des.Version, "queues", len(des.Queues))
	return true
}

// The asking for versions of the desired state that others have.
const (
	// askAfter is how long an entry waits for a version from the store, which may
	// have hundreds of kilobytes, before it asks another entry. A version must be
	// in force within 2 s.
	askAfter = 500 * time.Millisecond
	// askAgain is the pause before the next entry is asked.
	askAgain = 400 * time.Millisecond
)

// HeardDesired takes the version of the desired state that another entry has.
func (en *Entry) HeardDesired(id ids.EntryID, version int64) {
	now := en.now()
	switch {
	case version <= en.version():
	case en.behindSince.IsZero():
		en.behindSince = now
	case now.Sub(en.behindSince) >= askAfter && now.Sub(en.askedAt) >= askAgain:
		en.askedAt = now
		en.eff.Log("desired-state-asked", "entry", string(id), "version", version, "own", en.version(),
			"behind-ms", now.Sub(en.behindSince).Milliseconds())
		en.send(id, AskDesired{})
	}
}

// Table is one of the tables of the store that an entry follows.
type Table int

// The tables that an entry follows.
const (
	TableHolders Table = iota // entries and holders of workers
	TableWorkers
	TableJobs
)

// TableRead tells that all rows of a table have been taken that were there when
// the read was sent.
func (en *Entry) TableRead(tb Table, sent time.Time) {
	first := en.readAt[tb].IsZero()
	if sent.After(en.readAt[tb]) {
		en.readAt[tb] = sent
	}
	if tb == TableWorkers && first {
		for _, id := range sortedKeys(en.sessions) {
			en.tellWhole(id)
		}
	}
}

// WorkersFollowed takes the version of the store up to which this entry has
// taken all changes of the reports of workers.
func (en *Entry) WorkersFollowed(version Version) { en.workersAt = version }

// Desired returns the desired state in force, nil before the first one.
func (en *Entry) Desired() *Desired { return en.desired }

// session returns the session with an entry and creates its record.
func (en *Entry) session(id ids.EntryID) *session {
	se := en.sessions[id]
	if se == nil {
		se = &session{downSince: en.now()}
		en.sessions[id] = se
	}
	return se
}

// SessionUp tells that messages can be sent to an entry.
func (en *Entry) SessionUp(id ids.EntryID, inc ids.Incarnation) {
	se := en.session(id)
	if se.incarnation != inc {
		se.answered = time.Time{}
	}
	se.up, se.refused, se.incarnation, se.upSince = true, false, inc, en.now()
	en.life(inc)
	en.claimsChanged = true
	en.eff.Log("session-up", "entry", string(id), "incarnation", string(inc))
	if se.inbound != 0 {
		en.offerWants(id)
		en.askOwner(id)
		en.tellWhole(id)
	}
}

// SessionDown tells that messages can no longer be sent to an entry. What was
// sent last may or may not have arrived.
func (en *Entry) SessionDown(id ids.EntryID, why string) {
	se := en.session(id)
	if !se.up {
		return
	}
	se.up, se.downSince, se.load = false, en.now(), Load{}
	en.claimsChanged = true
	en.eff.Log("session-down", "entry", string(id), "incarnation", string(se.incarnation), "reason", why)
	en.eff.Count("peer", "session-down", 1)
	en.loseHolder(id)
	en.endAdoptions(id)
	if se.inbound != 0 {
		// Answers to that entry would not arrive.
		en.InboundDown(id, se.inbound, "session down")
	}
}

// Refused tells that an entry's VM refused a connection: no process listens.
func (en *Entry) Refused(id ids.EntryID) {
	en.session(id).refused = true
}

// InboundUp tells that an entry has begun a session towards this one. An older
// session of it has ended.
func (en *Entry) InboundUp(id ids.EntryID, number uint64) {
	se := en.session(id)
	if se.inbound != 0 && se.inbound != number {
		en.dropOwner(id, "new session")
		if se.up {
			en.giveUpAt(id)
		}
	}
	se.inbound, se.touchAt = number, en.now()
	en.linksChanged = true
	if se.up {
		en.offerWants(id)
		en.askOwner(id)
		en.tellWhole(id)
	}
}

// InboundDown tells that a session of an entry towards this one has ended: its
// connection is closed or silent for too long.
func (en *Entry) InboundDown(id ids.EntryID, number uint64, why string) {
	se := en.session(id)
	if se.inbound != number {
		return
	}
	se.inbound = 0
	en.linksChanged = true
	en.dropOwner(id, why)
	if se.up {
		// What that entry has to tell does not arrive.
		en.giveUpAt(id)
		en.endAdoptions(id)
	}
}

// InboundIs tells whether a session is the present one of an entry towards
// this one.
func (en *Entry) InboundIs(id ids.EntryID, number uint64) bool {
	return en.session(id).inbound == number
}

// InTouch tells that at a time an entry still kept its session towards this
// one, and that all that it sent before has been received. The time is one at
// which this entry sent something that the other one has answered since, so that
// it holds however late the answer is read.
func (en *Entry) InTouch(id ids.EntryID, at time.Time) {
	if se := en.session(id); se.inbound != 0 && at.After(se.touchAt) {
		se.touchAt = at
	}
}

// Hears tells whether an entry has a session towards this one.
func (en *Entry) Hears(id ids.EntryID) bool { return en.session(id).inbound != 0 }

// Heard takes the load that an entry has reported.
func (en *Entry) Heard(id ids.EntryID, load Load) {
	se := en.session(id)
	if load.Number > 0 && load.Number < se.load.Number {
		// The answer to a batch was overtaken by a batch.
		return
	}
	se.load = load
}

// HeardSpare takes whether an entry keeps its session towards this one only
// because of the one in the other direction.
func (en *Entry) HeardSpare(id ids.EntryID, spare bool) {
	en.noteSpare(en.session(id), spare)
}

// Receive takes a message of another entry.
func (en *Entry) Receive(from ids.EntryID, msg Message) {
	en.use(from, msg)
	switch ms := msg.(type) {
	case Start:
		en.onStart(from, ms)
	case Want:
		en.onWant(from, ms)
	case Unwant:
		en.onUnwant(from, ms)
	case Stop:
		en.onStop(from, ms)
	case Check:
		en.onCheck(from, ms)
	case Adopted:
		en.onAdopted(from, ms)
	case Grant:
		en.onGrant(from, ms)
	case Running:
		en.onRunning(from, ms)
	case Ended:
		en.onEnded(from, ms)
	case Adopt:
		en.onAdopt(from, ms)
	case Released:
		en.onReleased(from, ms)
	case Handover:
		en.onHandover(ms)
	case Noted:
		en.onNoted(ms)
	case Claimed:
		en.onClaimed(from, ms)
	case PastEnds:
		en.onPastEnds(from, ms)
	case JobNews:
		en.onJobNews(ms)
	case NewDesired:
		en.Apply(ms.Desired)
	case AskDesired:
		if en.desired != nil {
			en.send(from, NewDesired{Desired: *en.desired})
		}
	case WorkerNews:
		en.onWorkerNews(ms)
	default:
		en.eff.Log("unknown-message", "entry", string(from))
	}
}

// send passes a message to an entry, also to this one.
func (en *Entry) send(to ids.EntryID, msg Message) {
	if to == "" {
		// A task without an owner.
		return
	}
	if to == en.id {
		en.Receive(en.id, msg)
		return
	}
	if !en.canTell(to) {
		// This message is lost; those that repeat it will arrive.
		en.wantLink(to)
	}
	en.use(to, msg)
	en.eff.Send(to, msg)
}

// mutual tells whether messages go in both directions.
func (se *session) mutual() bool { return se.up && se.inbound != 0 }

// canTell tells whether messages can be sent to an entry.
func (en *Entry) canTell(id ids.EntryID) bool {
	se := en.sessions[id]
	return id == en.id || (se != nil && se.up)
}

// reachable lists the entries that messages can be exchanged with, this one
// included.
func (en *Entry) reachable() []ids.EntryID {
	list := []ids.EntryID{en.id}
	for _, id := range sortedKeys(en.sessions) {
		if en.sessions[id].mutual() {
			list = append(list, id)
		}
	}
	return list
}

// Reachable counts the entries that messages can be exchanged with, this one
// included.
func (en *Entry) Reachable() int { return len(en.reachable()) }

// sortedKeys returns the keys of a map in order. Decisions that send messages
// walk maps in this order, so that a run on the same input repeats.
func sortedKeys[K cmp.Ordered, V any](mp map[K]V) []K {
	keys := make([]K, 0, len(mp))
	for key := range mp {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
