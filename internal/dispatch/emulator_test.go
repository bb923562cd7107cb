package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
)

// world emulates entries, workers and the store on a virtual clock. At the
// workers it checks that no worker is given more than it has room for, that no
// task runs twice at a time, and that no refused job has run.
type world struct {
	at             time.Time
	rnd            *rand.Rand
	events         eventQueue
	seq            int
	entries        map[ids.EntryID]*emuEntry
	workers        map[ids.WorkerID]*emuWorker
	rows           map[ids.WorkerID]HolderRow
	version        Version
	storeUp        bool
	removedEntries map[ids.EntryID]bool // entries whose rows were removed
	// cutZones holds the zones that are partitioned from the others and from the
	// store. zoneCutAt is when the last of them was.
	cutZones  map[ids.AvailabilityZone]bool
	zoneCutAt time.Time
	// lostReplyShare is the share of writes whose reply from the store is lost.
	// Half of these writes are carried out up to four seconds later.
	lostReplyShare float64
	// storeCut holds the entries that get no replies from the store.
	storeCut map[ids.EntryID]bool
	// storeSlowdown multiplies the latency of the store; values below 1 count as 1.
	storeSlowdown float64
	// firstHeartbeat is the time from the start of an entry to its first heartbeat,
	// dialDelay is the maximum delay before a connection attempt, and
	// exchangeInterval is the interval at which an entry updates its sessions.
	firstHeartbeat   time.Duration
	dialDelay        time.Duration
	exchangeInterval time.Duration
	// jobsReadDelay is added to the time of a read of the rows of jobs.
	jobsReadDelay time.Duration
	// faultKinds is the number of kinds of random faults to choose from.
	faultKinds   int
	cut          map[[2]string]bool // partitioned pairs of entries or of entry and worker
	jobs         map[ids.JobID]*emuJob
	running      map[TaskID]int // current number of runs of a task
	violations   []string
	desired      Desired
	done         map[OutcomeKind]int
	inTime       map[string]int
	submitted    map[string]int
	lastJob      int
	starts       int
	remoteStarts int // starts on another rack than that of the data
	gangs        map[string]*emuGang
	// lastingStops counts stops of long-running tasks on workers that remain ready.
	lastingStops    int
	advised         int            // calls for advice
	badTickets      int            // starts that were refused for their ticket
	adviceLossShare float64        // share of the calls for advice that fail
	ticketValidity  time.Duration  // of the tickets that the advice service gives
	allowedShare    float64        // share of the workers that it allows for a step
	resumed         int            // starts that resume from a checkpoint
	gangTimeouts    int            // gang tasks that timed out waiting for the others
	connects        int            // sessions that were begun
	rowsRead        int            // reports of workers that were read
	messages        int            // between entries
	sent            map[string]int // messages by type
	cancelled       map[ids.JobID]bool
	cancelAckedAt   map[ids.JobID]time.Time // when the cancelling was first acknowledged
	// calls holds the calls of callers that send a job again, by job.
	calls map[ids.JobID]*emuCall
	// answered is called with each answer to a job, if it is set.
	answered func(id ids.JobID, out Outcome)
	// trace receives the log lines of the entries and the events at workers.
	trace func(line string)
	// stored jobs
	records      map[ids.JobID]JobRecord
	changes      []JobRecord // of the records, in the order of their versions
	bodies       map[ids.JobID]Job
	acknowledged map[TaskID]bool      // tasks whose completion was acknowledged
	lastStart    map[TaskID]time.Time // of the latest run

	// failShare is the share of the runs that fail by their own fault, and failedRuns
	// holds the runs that have.
	failShare  float64
	failedRuns map[TaskID]map[Run]bool
	largestRow int // bytes of the largest row of a job

	// routed holds the services to which queues were moved, by queue.
	routed map[string][]ids.ServiceName

	slowLinks   slowLinks
	evacuation  emuEvacuation
	hidesCold   bool // workers do not report that they are cold
	crash       crashLog
	lastStarter ids.EntryID // the entry that has sent the latest start order
}

// The numbers of kinds of random faults. The first plainFaults kinds either do
// not affect the store or make it unavailable to all entries.
const (
	plainFaults      = 9
	allFaults        = 15
	evacuationFaults = 16 // the schedules of the other families don't have the last one
)

// emuPenalty multiplies the run time of a task on another rack than that of its
// data.
const emuPenalty = 3

type emuJob struct {
	steps   []Step
	repeat  Repeat
	advised bool
	service ids.ServiceName
	done    map[TaskID]bool
	rack    ids.RackID // of the data
	stored  bool
	queue   string
	arrived time.Time
	work    time.Duration // actual sum of the longest tasks of the steps, on a worker of speed 1
	stretch float64
	slack   time.Duration
	started bool
	refused bool
	inTime  bool // completed within its objective
	length  map[TaskID]time.Duration
	sub     Submission
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(a, b int) bool {
	if !eq[a].at.Equal(eq[b].at) {
		return eq[a].at.Before(eq[b].at)
	}
	return eq[a].seq < eq[b].seq
}
func (eq eventQueue) Swap(a, b int) { eq[a], eq[b] = eq[b], eq[a] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(event)) }
func (eq *eventQueue) Pop() any {
	old := *eq
	last := old[len(old)-1]
	*eq = old[:len(old)-1]
	return last
}

// emuEpoch is the time at which a world begins.
var emuEpoch = time.Unix(1_700_000_000, 0)

func newWorld(seed uint64) *world {
	return &world{
		at:      emuEpoch,
		rnd:     rand.New(rand.NewPCG(seed, 7)),
		entries: map[ids.EntryID]*emuEntry{},
		workers: map[ids.WorkerID]*emuWorker{},
		rows:    map[ids.WorkerID]HolderRow{},
		storeUp: true,

		ticketValidity:   2 * time.Second,
		allowedShare:     1.0 / 3,
		dialDelay:        emuMaxDialDelay,
		exchangeInterval: emuPollInterval,
		faultKinds:       plainFaults,
		gangs:            map[string]*emuGang{},
		sent:             map[string]int{},
		cancelled:        map[ids.JobID]bool{},
		cancelAckedAt:    map[ids.JobID]time.Time{},
		removedEntries:   map[ids.EntryID]bool{},
		cutZones:         map[ids.AvailabilityZone]bool{},
		storeCut:         map[ids.EntryID]bool{},
		cut:              map[[2]string]bool{},
		jobs:             map[ids.JobID]*emuJob{},
		running:          map[TaskID]int{},
		done:             map[OutcomeKind]int{},
		inTime:           map[string]int{},
		submitted:        map[string]int{},
		calls:            map[ids.JobID]*emuCall{},

		records:      map[ids.JobID]JobRecord{},
		bodies:       map[ids.JobID]Job{},
		acknowledged: map[TaskID]bool{},
		lastStart:    map[TaskID]time.Time{},
		failedRuns:   map[TaskID]map[Run]bool{},

		evacuation: emuEvacuation{requested: map[ids.AvailabilityZone]time.Time{}, cutUntil: map[ids.EntryID]time.Time{}},
		crash:      crashLog{deadly: map[TaskID]bool{}, under: map[TaskID]int{}, after: map[TaskID]int{}},
	}
}

func (wo *world) after(du time.Duration, fn func()) {
	wo.seq++
	heap.Push(&wo.events, event{at: wo.at.Add(du), seq: wo.seq, fn: fn})
}

// span returns a random time between two bounds.
func (wo *world) span(least, most time.Duration) time.Duration {
	return least + time.Duration(wo.rnd.Float64()*float64(most-least))
}

func (wo *world) run(du time.Duration) {
	end := wo.at.Add(du)
	for len(wo.events) > 0 && !wo.events[0].at.After(end) {
		ev := heap.Pop(&wo.events).(event)
		wo.at = ev.at
		ev.fn()
	}
	wo.at = end
}

func (wo *world) violation(format string, args ...any) {
	wo.violations = append(wo.violations, fmt.Sprintf(format, args...))
}

// The latencies of the emulated network and store, and the interval between two
// reads of a table.
const (
	emuNetworkDelay = 500 * time.Microsecond
	emuStoreLatency = 6 * time.Millisecond
	emuPollInterval = 200 * time.Millisecond
	// emuReadTimeout and emuWriteTimeout are the timeouts of calls to the store.
	emuReadTimeout  = 700 * time.Millisecond
	emuWriteTimeout = 900 * time.Millisecond
)

// emuEntry is one entry VM.
type emuEntry struct {
	wo          *world
	id          ids.EntryID
	zone        ids.AvailabilityZone
	size        float64
	en          *Entry
	alive       bool
	frozen      bool
	gen         int
	inc         ids.Incarnation
	row         Member // of this entry in the store
	number      uint64
	jobsVersion Version // of the rows of jobs
	dials       map[ids.EntryID]time.Time
	// scanned is the index of the next worker in the scan of the reports.
	scanned   int
	scannedAt time.Time
	// holdersVersion is the version up to which the holders' rows have been read.
	holdersVersion Version
	queued         []func() // calls that arrive while the process is frozen
	// evacuationsVersion is the version up to which the requests to evacuate zones
	// have been read, -1 for not at all.
	evacuationsVersion Version
	// disturbedAt is when the process or its path to the store was last impaired.
	disturbedAt time.Time
	writesCut   bool // the store answers its reads only
}

func (wo *world) addEntry(name string, zone ids.AvailabilityZone, size float64) *emuEntry {
	ee := &emuEntry{wo: wo, id: ids.EntryID(name), zone: zone}
	wo.entries[ee.id] = ee
	ee.start(size)
	return ee
}

func (ee *emuEntry) start(size float64) {
	wo := ee.wo
	ee.gen++
	ee.size, ee.disturbedAt = size, wo.at
	ee.alive, ee.jobsVersion, ee.holdersVersion, ee.evacuationsVersion = true, 0, 0, -1
	ee.inc = ids.Incarnation(fmt.Sprintf("%s/%d", ee.id, ee.gen))
	ee.en = New(Self{Incarnation: ee.inc, Zone: ee.zone, Size: size}, Limits{EvacuationBound: emuEvacuationBound, RemotePenalty: emuPenalty, ColdOvershoot: 1.5, ColdSlack: emuColdBurst}, &emuEffects{ee: ee, en: nil}, func() time.Time { return wo.at })
	ee.en.eff = &emuEffects{ee: ee, en: ee.en}
	if wo.desired.Version > 0 {
		ee.en.Apply(wo.desired)
	}
	gen := ee.gen
	var tick, heartbeat, exchange func()
	tick = func() {
		if ee.gen != gen || !ee.alive {
			return
		}
		if !ee.frozen {
			ee.en.DetectPause()
			ee.en.Tick()
		}
		ee.recordCut()
		ee.recordDisturbance()
		wo.after(TickInterval, tick)
	}
	heartbeat = func() {
		if ee.gen != gen || !ee.alive {
			return
		}
		if !ee.frozen && wo.reachesStore(ee) {
			wo.version++
			ee.row = Member{Self: ee.en.self, Version: wo.version, Heartbeat: wo.at.UnixMilli(), HeartbeatInterval: ee.en.HeartbeatInterval()}
			sent := wo.at
			wo.after(wo.storeTime(), func() {
				if ee.gen == gen && ee.alive {
					ee.deliver(func() { ee.en.HeartbeatStored(sent) })
				}
			})
		}
		wo.after(ee.en.HeartbeatInterval(), heartbeat)
	}
	exchange = func() {
		if ee.gen != gen || !ee.alive {
			return
		}
		if !ee.frozen {
			ee.updateSessions()
		}
		wo.after(wo.exchangeInterval, exchange)
	}
	wo.after(0, tick)
	wo.after(wo.firstHeartbeat, heartbeat)
	wo.after(2*time.Millisecond, exchange)
	for num, read := range []func() func(){ee.readFleet, ee.readWorkers, ee.readJobs} {
		wo.after(time.Duration(num+1)*time.Millisecond, func() { ee.poll(gen, Table(num), read) })
	}
	wo.after(time.Millisecond, func() { ee.pollEvacuations(gen) })
}

// reachesStore reports whether the store answers an entry.
func (wo *world) reachesStore(ee *emuEntry) bool {
	return wo.storeUp && !wo.cutZones[ee.zone] && !wo.storeCut[ee.id]
}

// storeTime returns the latency of the store for one call.
func (wo *world) storeTime() time.Duration {
	return time.Duration(float64(emuStoreLatency) * max(wo.storeSlowdown, 1))
}

// poll polls one table of the store, independently of the other tables. The
// result arrives after the latency of the store. It is dropped if the process
// has ended by then. If the store does not answer, the read times out.
func (ee *emuEntry) poll(gen int, table Table, read func() func()) {
	wo := ee.wo
	if ee.gen != gen || !ee.alive {
		return
	}
	again := func() { wo.after(emuPollInterval, func() { ee.poll(gen, table, read) }) }
	if ee.frozen {
		again()
		return
	}
	sent := wo.at
	if !wo.reachesStore(ee) {
		wo.after(emuReadTimeout, func() {
			if ee.gen == gen && ee.alive && table == TableHolders {
				ee.deliver(ee.en.StoreUnavailable)
			}
			again()
		})
		return
	}
	apply := read()
	whole := table != TableWorkers || ee.readsAll()
	took := wo.storeTime()
	if table == TableJobs {
		took += wo.jobsReadDelay
	}
	wo.after(took, func() {
		if ee.gen == gen && ee.alive {
			ee.deliver(func() {
				apply()
				if whole {
					ee.en.TableRead(table, sent)
				}
			})
		}
		again()
	})
}

// readFleet reads the rows of the entries and of the holders.
func (ee *emuEntry) readFleet() func() {
	wo := ee.wo
	var members []Member
	for _, other := range wo.sortedEntries() {
		if other.id != ee.id && other.row.Version > 0 && !wo.removedEntries[other.id] {
			mb := other.row
			mb.Leaving = other.en.leaving && mb.Incarnation == other.inc
			members = append(members, mb)
		}
	}
	var rows []HolderRow
	version := wo.version
	for _, wk := range wo.sortedWorkers() {
		if row, ok := wo.rows[wk.info.ID]; ok {
			rows = append(rows, row)
		}
	}
	return func() {
		for _, mb := range members {
			ee.en.PutMember(mb)
		}
		present := map[ids.WorkerID]bool{}
		for _, row := range rows {
			present[row.Worker] = true
			if row.Version > ee.holdersVersion {
				// Only changed rows are delivered.
				ee.en.PutHolderRow(row)
			}
		}
		for _, id := range sortedKeys(ee.en.rows) {
			if !present[id] {
				ee.en.DropHolderRow(id, version)
			}
		}
		ee.holdersVersion = version
	}
}

// The interval between two reports of a worker, and the page size and interval
// with which an entry that does not follow the reports scans them.
const (
	emuReportInterval = 1500 * time.Millisecond
	emuScanRows       = 24                      // rows in a page
	emuScanInterval   = 1500 * time.Millisecond // between two pages
	// emuExpiry is the time without a report after which the row of a worker is gone.
	emuExpiry = 4 * time.Second
)

// report returns the row of a worker and whether the store has it. Its version
// is the time of the last report.
func (wk *emuWorker) report() (WorkerInfo, bool) {
	wo := wk.wo
	away := wo.cutZones[wk.info.Zone]
	if away {
		wk.downAt = wo.zoneCutAt
	}
	if (!wk.up && !wk.dead) || away || wk.unlisted {
		return wk.info, false
	}
	info := wk.info
	info.Sequence = wo.at.UnixNano()
	if !wo.hidesCold {
		info.ColdRemaining = max(0, wk.cold.until.Sub(wo.at))
	}
	info.Version = Version(wo.at.Truncate(emuReportInterval).UnixNano())
	return info, true
}

// readsAll reports whether an entry reads the reports of all workers.
func (ee *emuEntry) readsAll() bool { return ee.en.FollowsWorkers() || ee.en.NeedsAllWorkers() }

// readWorkers reads the rows of all workers, or those of a page and those that
// the entry requests.
func (ee *emuEntry) readWorkers() func() {
	wo := ee.wo
	follows := ee.readsAll()
	list := wo.sortedWorkers()
	page := func(*emuWorker) bool { return true }
	if !follows {
		wanted := ee.en.ReportsWanted(8)
		from, to := ee.scanned, ee.scanned+emuScanRows
		if wo.at.Sub(ee.scannedAt) < emuScanInterval {
			to = from
		} else {
			ee.scannedAt, ee.scanned = wo.at, to
			if to >= len(list) {
				ee.scanned = 0
			}
		}
		nums := map[*emuWorker]int{}
		for num, wk := range list {
			nums[wk] = num
		}
		page = func(wk *emuWorker) bool {
			return slices.Contains(wanted, wk.info.ID) || (nums[wk] >= from && nums[wk] < to)
		}
	}
	var infos []WorkerInfo
	var gone []ids.WorkerID
	for _, wk := range list {
		if !page(wk) {
			continue
		}
		wo.rowsRead++
		if info, ok := wk.report(); ok {
			infos = append(infos, info)
		} else if wo.at.Sub(wk.downAt) > emuExpiry {
			gone = append(gone, wk.info.ID)
		}
	}
	return func() {
		for _, info := range infos {
			kw := ee.en.known[info.ID]
			switch {
			case !follows:
				ee.en.PutPolledWorker(info)
			case kw == nil || kw.info.Version != info.Version || !kw.removedAt.IsZero():
				ee.en.PutWorker(info)
			}
		}
		for _, id := range gone {
			if ee.en.known[id] != nil {
				ee.en.DropWorker(id, 0)
			}
		}
		if follows {
			ee.en.WorkersReadTo(Version(wo.at.UnixNano()))
		}
	}
}

// readJobs reads the rows of stored jobs that have changed.
func (ee *emuEntry) readJobs() func() {
	wo := ee.wo
	var records []JobRecord
	from := sort.Search(len(wo.changes), func(num int) bool { return wo.changes[num].Version > ee.jobsVersion })
	for _, rec := range wo.changes[from:] {
		if wo.records[rec.ID].Version == rec.Version {
			records = append(records, rec)
		}
	}
	version := wo.version
	return func() {
		for _, rec := range records {
			ee.en.PutRecord(rec)
		}
		ee.jobsVersion = version
	}
}

// sortedBy returns values in the order of their keys.
func sortedBy[V any, K cmp.Ordered](values iter.Seq[V], key func(V) K) []V {
	return slices.SortedFunc(values, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
}

func (wo *world) sortedEntries() []*emuEntry {
	return sortedBy(maps.Values(wo.entries), func(ee *emuEntry) ids.EntryID { return ee.id })
}

func (wo *world) sortedWorkers() []*emuWorker {
	return sortedBy(maps.Values(wo.workers), func(wk *emuWorker) ids.WorkerID { return wk.info.ID })
}

func (run *emuRun) task() TaskID { return run.ref.Task }

// restartAll kills all entries and starts them again after a pause.
func (wo *world) restartAll(pause time.Duration) {
	for _, ee := range wo.sortedEntries() {
		ee.kill()
		wo.after(pause, func() { ee.start(0.4) })
	}
}

// rollingRestart restarts the entries one after the other with graceful
// shutdowns.
func (wo *world) rollingRestart() {
	restartInTurn(wo.sortedEntries(), 2*time.Second, emuRestartPause)
}

// The times of a graceful restart in the emulator.
const (
	emuShutdownTime = 1800 * time.Millisecond
	emuRestartPause = 400 * time.Millisecond
)

// restartInTurn restarts entries with graceful shutdowns that begin at an interval. Each
// entry is away for a pause after its shutdown.
func restartInTurn(list []*emuEntry, interval, pause time.Duration) {
	for num, ee := range list {
		begin := time.Duration(num) * interval
		ee.wo.after(begin, func() { ee.en.Leave() })
		ee.wo.after(begin+emuShutdownTime, ee.kill)
		ee.startAfter(begin + emuShutdownTime + pause)
	}
}

// startAfter starts an entry after some time, unless it runs by then.
func (ee *emuEntry) startAfter(du time.Duration) {
	ee.wo.after(du, func() {
		if !ee.alive {
			ee.start(0.4)
		}
	})
}

// updateSessions exchanges the load with other entries over the sessions, and
// begins and ends sessions as the links and the network require.
func (ee *emuEntry) updateSessions() {
	wo := ee.wo
	links := map[ids.EntryID]Link{}
	for _, lk := range ee.en.Links() {
		links[lk.Incarnation.Entry()] = lk
	}
	for _, other := range wo.sortedEntries() {
		if other == ee || wo.removedEntries[other.id] {
			continue
		}
		lk, wanted := links[other.id]
		reach := other.alive && !other.frozen && !wo.isCut(string(ee.id), string(other.id))
		se := ee.en.session(other.id)
		if number := se.inbound; !reach && number != 0 {
			gen := ee.gen
			wo.after(900*time.Millisecond, func() {
				if ee.gen == gen && ee.alive {
					ee.deliver(func() { ee.en.InboundDown(other.id, number, "silent") })
				}
			})
		}
		switch {
		case !wanted && !se.up:
		case !wanted && reach:
			ee.en.SessionDown(other.id, "not needed")
			other.en.InboundDown(ee.id, other.en.session(ee.id).inbound, "connection closed")
		case reach && !se.up && wo.at.Before(ee.dialAt(other.id)):
		case reach && !se.up:
			delete(ee.dials, other.id)
			ee.number++
			wo.connects++
			number := uint64(ee.gen)<<32 | ee.number
			other.en.AddMember(ee.en.self)
			other.en.InboundUp(ee.id, number)
			other.en.HandlePeerSpare(ee.id, lk.Spare)
			ee.en.SessionUp(other.id, other.inc)
			ee.en.Answered(other.id, wo.at)
		case reach && other.en.session(ee.id).inbound == 0:
			// The receiver has ended the session; the sender detects it immediately.
			ee.en.SessionDown(other.id, "ended by the receiver")
		case !reach && se.up:
			gen := ee.gen
			wo.after(600*time.Millisecond, func() {
				if ee.gen == gen && ee.alive {
					ee.deliver(func() { ee.en.SessionDown(other.id, "silent") })
				}
			})
			number := other.en.session(ee.id).inbound
			ogen := other.gen
			wo.after(900*time.Millisecond, func() {
				if other.gen == ogen && other.alive {
					other.deliver(func() { other.en.InboundDown(ee.id, number, "silent") })
				}
			})
		case reach:
			ee.en.Answered(other.id, wo.at)
			ee.en.HandlePeerLoad(other.id, other.en.Load())
			ee.en.HandlePeerDesired(other.id, other.en.version())
			ee.en.HandlePeerEvacuations(other.id, other.en.EvacuationVersion())
			other.en.HandlePeerSpare(ee.id, lk.Spare)
			other.en.RecordContact(ee.id, wo.at)
		}
	}
}

// emuMaxDialDelay is the usual maximum delay before a connection attempt.
const emuMaxDialDelay = 800 * time.Millisecond

// dialAt returns the time of the next attempt to connect to an entry.
func (ee *emuEntry) dialAt(id ids.EntryID) time.Time {
	if ee.dials == nil {
		ee.dials = map[ids.EntryID]time.Time{}
	}
	at, ok := ee.dials[id]
	if !ok {
		at = ee.wo.at.Add(time.Duration(ee.wo.rnd.Float64() * float64(ee.wo.dialDelay)))
		ee.dials[id] = at
	}
	return at
}

// deliver runs a call to the entry, or queues it while the process is frozen.
func (ee *emuEntry) deliver(fn func()) {
	if ee.frozen {
		ee.queued = append(ee.queued, fn)
		return
	}
	ee.en.DetectPause()
	fn()
}

func (wo *world) isCut(a, b string) bool { return wo.cut[[2]string{a, b}] || wo.cut[[2]string{b, a}] }

func (wo *world) setCut(a, b string, cut bool) { wo.cut[[2]string{a, b}] = cut }

// cutZone partitions a zone from the others and from the store for the given
// time.
func (wo *world) cutZone(zone ids.AvailabilityZone, du time.Duration) {
	wo.cutZones[zone], wo.zoneCutAt = true, wo.at
	var pairs [][2]string
	for _, ee := range wo.sortedEntries() {
		for _, other := range wo.sortedEntries() {
			if (ee.zone == zone) != (other.zone == zone) {
				pairs = append(pairs, [2]string{string(ee.id), string(other.id)})
			}
		}
		for _, wk := range wo.sortedWorkers() {
			if (ee.zone == zone) != (wk.info.Zone == zone) {
				pairs = append(pairs, [2]string{string(ee.id), string(wk.info.ID)})
			}
		}
	}
	for _, pair := range pairs {
		wo.setCut(pair[0], pair[1], true)
	}
	wo.after(du, func() {
		delete(wo.cutZones, zone)
		for _, pair := range pairs {
			wo.setCut(pair[0], pair[1], false)
		}
	})
}

// kill ends the process of an entry. Its VM refuses connections from then on.
func (ee *emuEntry) kill() {
	ee.alive = false
	wo := ee.wo
	wo.breakConnections(ee)
	for _, other := range wo.sortedEntries() {
		if other == ee || !other.alive {
			continue
		}
		wo.after(emuNetworkDelay, func() {
			other.deliver(func() {
				other.en.SessionDown(ee.id, "reset")
				other.en.ConnectionRefused(ee.id)
				other.en.InboundDown(ee.id, other.en.session(ee.id).inbound, "reset")
			})
		})
	}
}

func (ee *emuEntry) freeze(du time.Duration) {
	ee.frozen = true
	ee.wo.after(du, func() {
		ee.frozen = false
		held := ee.queued
		ee.queued = nil
		for _, fn := range held {
			ee.en.DetectPause()
			fn()
		}
	})
}

// emuEffects carries out the decisions of one incarnation.
type emuEffects struct {
	ee *emuEntry
	en *Entry
}

// callBack calls the entry with a result after a delay, if the same incarnation
// still runs.
func (ef *emuEffects) callBack(du time.Duration, fn func(en *Entry)) {
	ee, gen := ef.ee, ef.ee.gen
	ee.wo.after(du, func() {
		if ee.gen == gen && ee.alive {
			ee.deliver(func() { fn(ee.en) })
		}
	})
}

func (ef *emuEffects) Send(to ids.EntryID, msg Message) {
	wo, from := ef.ee.wo, ef.ee
	other := wo.entries[to]
	se := from.en.session(to)
	if other == nil || !se.up {
		return
	}
	wo.messages++
	wo.sent[fmt.Sprintf("%T", msg)]++
	ogen, number := other.gen, other.en.session(from.id).inbound
	wo.after(wo.slowLinks.delay(wo.at, from.id, to), func() {
		if other.gen != ogen || !other.alive || wo.isCut(string(from.id), string(to)) {
			return
		}
		other.deliver(func() {
			if other.en.IsInbound(from.id, number) {
				other.en.Receive(from.id, msg)
			}
		})
	})
}

func (ef *emuEffects) StartTask(order StartOrder) {
	ef.ee.wo.lastStarter = ef.ee.id
	ef.sendOrder(order.Worker, func(wk *emuWorker) StartReply {
		before := wk.runs[order.Ref] != nil
		rep := wk.start(order)
		if rep.Started && !before {
			ef.ee.checkEvacuated(wk, order)
			ef.ee.checkCancelled(wk, order)
		}
		return rep
	}, func(en *Entry, rep StartReply) {
		en.StartReplied(order.Worker, order.Token, order.Ref, rep)
	})
}

// later carries out a call that has reached a worker, unless its process has
// ended by then.
func (wk *emuWorker) later(delay time.Duration, do func()) {
	born := wk.info.Born
	wk.wo.after(delay, func() {
		if wk.info.Born == born {
			do()
		}
	})
}

// emuOrderTimeout is the timeout of calls to workers.
const emuOrderTimeout = 250 * time.Millisecond

// sendOrder sends an order to a worker and delivers the reply.
func (ef *emuEffects) sendOrder(id ids.WorkerID, do func(wk *emuWorker) StartReply, reply func(en *Entry, rep StartReply)) {
	wo, from := ef.ee.wo, ef.ee
	wk := wo.workers[id]
	if wo.rnd.Float64() < wk.lateShare {
		delay := time.Duration(2+wo.rnd.Float64()*8) * time.Second
		wk.later(delay, func() { do(wk) })
		ef.callBack(emuOrderTimeout, func(en *Entry) { reply(en, StartReply{}) })
		return
	}
	wo.after(emuNetworkDelay, func() {
		if !wk.up || wo.isCut(string(from.id), string(id)) {
			ef.callBack(emuOrderTimeout, func(en *Entry) { reply(en, StartReply{}) })
			return
		}
		rep := do(wk)
		ef.callBack(emuNetworkDelay, func(en *Entry) { reply(en, rep) })
	})
}

func (ef *emuEffects) StopTask(order StopOrder) {
	if wk := ef.ee.wo.workers[order.Worker]; wk.lateStops > 0 {
		wk.later(wk.lateStops, func() { wk.stop(order) })
		ef.callBack(emuOrderTimeout, func(en *Entry) { en.StopReplied(order.Worker, order.Token, order.Ref, false) })
		return
	}
	ef.sendOrder(order.Worker, func(wk *emuWorker) StartReply {
		wk.stop(order)
		return StartReply{Started: true}
	}, func(en *Entry, rep StartReply) { en.StopReplied(order.Worker, order.Token, order.Ref, rep.Started) })
}

func (ef *emuEffects) Hold(order HoldOrder) {
	wo, from := ef.ee.wo, ef.ee
	wk := wo.workers[order.Worker]
	replied := func(en *Entry, rep HoldReply) {
		if order.PollID != 0 {
			en.PollReplied(order.Worker, order.Token, order.PollID, rep)
			return
		}
		en.HoldReplied(order.Worker, order.Token, rep)
	}
	reply := func(rep HoldReply) {
		ef.callBack(emuNetworkDelay, func(en *Entry) { replied(en, rep) })
	}
	if order.Margin <= 0 {
		wo.violation("a hold leaves no time for the reply")
	}
	if wk.lateHolds && wo.rnd.Float64() < wk.lateShare {
		wk.later(time.Duration(2+wo.rnd.Float64()*8)*time.Second, func() { wk.hold(order, func(HoldReply) {}) })
		ef.callBack(order.Wait+order.Margin, func(en *Entry) { replied(en, HoldReply{Failed: true, Reason: "silent"}) })
		return
	}
	wo.after(emuNetworkDelay, func() {
		if wk.refuses && !wo.isCut(string(from.id), string(order.Worker)) {
			reply(HoldReply{Failed: true, Refused: true, Reason: "connection refused"})
			return
		}
		if !wk.up || wo.isCut(string(from.id), string(order.Worker)) {
			ef.callBack(order.Wait+order.Margin, func(en *Entry) {
				replied(en, HoldReply{Failed: true, Reason: "silent"})
			})
			return
		}
		wk.hold(order, reply)
	})
}

func (ef *emuEffects) Commit(changes []RowChange) {
	wo := ef.ee.wo
	var rep CommitReply
	ef.write(func() { rep = wo.commit(changes) }, func(en *Entry, ok bool) {
		if !ok {
			rep = CommitReply{Reason: "no answer"}
		}
		en.Committed(changes, rep)
	})
}

// write sends a change to the store and delivers the reply. Without a reply the
// change may have been made, or may be made later.
func (ef *emuEffects) write(do func(), back func(en *Entry, ok bool)) {
	wo := ef.ee.wo
	if !wo.reachesStore(ef.ee) || ef.ee.writesCut {
		ef.callBack(emuWriteTimeout, func(en *Entry) { back(en, false) })
		return
	}
	if wo.lostReplyShare > 0 && wo.rnd.Float64() < wo.lostReplyShare {
		delay := emuStoreLatency
		if wo.rnd.IntN(2) == 0 {
			delay = time.Duration(4 * wo.rnd.Float64() * float64(time.Second))
		}
		wo.after(delay, do)
		ef.callBack(emuWriteTimeout, func(en *Entry) { back(en, false) })
		return
	}
	took := wo.storeTime()
	wo.after(took, func() {
		do()
		ef.callBack(took, func(en *Entry) { back(en, true) })
	})
}

func (wo *world) commit(changes []RowChange) CommitReply {
	rep := CommitReply{OK: true}
	for _, ch := range changes {
		if wo.rows[ch.Worker].Version != ch.Expected {
			rep.OK, rep.Conflict = false, true
		}
		rep.Present = append(rep.Present, HolderRow{Worker: ch.Worker, Holder: wo.rows[ch.Worker].Holder, Version: wo.rows[ch.Worker].Version})
	}
	if !rep.OK {
		return rep
	}
	wo.version++
	for _, ch := range changes {
		if ch.Holder == "" {
			delete(wo.rows, ch.Worker)
			continue
		}
		wo.rows[ch.Worker] = HolderRow{Worker: ch.Worker, Holder: ch.Holder, Version: wo.version}
	}
	return CommitReply{OK: true, Version: wo.version}
}

// ForgetMember removes the row of an entry.
func (ef *emuEffects) ForgetMember(id ids.EntryID, _ Version) { ef.ee.wo.removedEntries[id] = true }

// StoreJob changes the row of a job.
func (ef *emuEffects) StoreJob(write JobWrite) {
	wo := ef.ee.wo
	var rep JobWriteReply
	ef.write(func() { rep = wo.storeJob(write) }, func(en *Entry, ok bool) {
		if !ok {
			rep = JobWriteReply{Reason: "no answer"}
		}
		en.JobStored(write, rep)
	})
}

func (wo *world) storeJob(write JobWrite) JobWriteReply {
	id := write.Record.ID
	present, ok := wo.records[id]
	if present.Version != write.Expected {
		rep := JobWriteReply{Conflict: true}
		if ok {
			rep.Present = &present
		}
		return rep
	}
	if write.Remove {
		wo.version++
		delete(wo.records, id)
		delete(wo.bodies, id)
		return JobWriteReply{OK: true, Version: wo.version}
	}
	wo.checkFailures(write.Record)
	rec, fits := wo.rowOf(write.Record)
	if !fits {
		return JobWriteReply{Invalid: true, Reason: "the row is too large"}
	}
	wo.version++
	rec.Version = wo.version
	wo.records[id] = rec
	wo.changes = append(wo.changes, rec)
	if write.Body != nil {
		wo.bodies[id] = *write.Body
	}
	return JobWriteReply{OK: true, Version: wo.version}
}

// LoadJob reads a job.
func (ef *emuEffects) LoadJob(id ids.JobID) {
	wo := ef.ee.wo
	if !wo.reachesStore(ef.ee) {
		ef.callBack(emuReadTimeout, func(en *Entry) { en.JobLoaded(id, JobLoad{Failed: true}) })
		return
	}
	ld := JobLoad{}
	if rec, ok := wo.records[id]; ok {
		body := wo.bodies[id]
		ld.Record, ld.Body = &rec, &body
	}
	ef.callBack(wo.storeTime(), func(en *Entry) { en.JobLoaded(id, ld) })
}

func (ef *emuEffects) Log(event string, fields ...any) {
	if ef.ee.wo.trace != nil {
		ef.ee.wo.trace(fmt.Sprint(ef.ee.id, " ", event, " ", fields))
	}
}

// Advise returns tickets for a share of the workers.
func (ef *emuEffects) Advise(order AdviceOrder) {
	wo := ef.ee.wo
	wo.advised++
	if wo.rnd.Float64() < wo.adviceLossShare {
		ef.callBack(emuReadTimeout, func(en *Entry) { en.AdviceReplied(order, AdviceReply{Failed: true}) })
		return
	}
	took := emuAdviceLatency + time.Duration(len(order.Workers))*time.Millisecond
	rep := AdviceReply{Tickets: map[ids.WorkerID]string{}, Validity: wo.ticketValidity}
	for _, id := range order.Workers {
		if wo.allows(order.Step, id) {
			rep.Tickets[id] = fmt.Sprintf("%s|%s|%d|%d", order.Step, id, wo.workers[id].info.Born, wo.at.Add(took+wo.ticketValidity).UnixMilli())
		}
	}
	ef.callBack(took, func(en *Entry) { en.AdviceReplied(order, rep) })
}

// emuAdviceLatency is the latency of the emulated advice service.
const emuAdviceLatency = 10 * time.Millisecond

func (wo *world) allows(step string, id ids.WorkerID) bool {
	return rendezvous.Uniform(string(id), step) < wo.allowedShare
}

// ticketOK reports whether a start order carries a ticket that is valid for its
// step and this worker.
func (wk *emuWorker) ticketOK(order StartOrder) bool {
	at, _ := parseTaskID(order.Ref.Task)
	step := fmt.Sprintf("%s.%d.%d", at.job, at.occ, at.step)
	parts := strings.Split(order.Ticket, "|")
	if len(parts) != 4 || parts[0] != step || parts[1] != string(wk.info.ID) || parts[2] != strconv.FormatInt(wk.info.Born, 10) {
		return false
	}
	until, err := strconv.ParseInt(parts[3], 10, 64)
	return err == nil && wk.wo.at.UnixMilli() <= until
}

func (ef *emuEffects) Wall() time.Time               { return ef.ee.wo.at }
func (ef *emuEffects) Count(string, string, int64)   {}
func (ef *emuEffects) Gauge(string, int64)           {}
func (ef *emuEffects) Observe(string, time.Duration) {}

// emuWorker is one worker, with the behaviour that the platform documents.
type emuWorker struct {
	wo        *world
	info      WorkerInfo
	speed     float64
	up        bool
	downAt    time.Time
	offset    time.Duration // of its clock
	token     Token
	runs      map[TaskRef]*emuRun
	latest    map[TaskID]Run // highest run that was stopped or ended
	endedRuns []EndedRun
	number    int64
	endedAt   map[int64]time.Time
	lease     WorkerTime
	lapsedAt  time.Time // when the lease last ran out
	openHolds []func()  // each answers an open hold
	fails     bool      // all its tasks fail
	hangs     bool      // its tasks never complete
	unlisted  bool      // its row is missing in the store
	lateHolds bool      // lateShare applies to holds too
	lateShare float64   // share of the orders that are carried out late
	// lateStops is the delay with which stops are carried out, without a reply.
	lateStops time.Duration
	lapses    int // runs that ended because the lease ran out
	// dead is set on the row of another writer: nothing listens at its address.
	dead bool
	// shrunkFrom is the room before it shrank at shrunkAt.
	shrunkFrom Resources
	shrunkAt   time.Time
	startedAt  time.Time // when a run was last started
	cold       emuCold
	// refuses is set while the process is down and its machine refuses connections.
	refuses bool
}

type emuRun struct {
	ref   TaskRef
	need  Resources
	ended bool
	// stopping is set once the run was stopped to leave an evacuated zone.
	stopping bool
	gang     *emuGang
	// began is when the run was started, zero if it hangs. resumed is the work done by
	// earlier runs, according to the checkpoint that it continues from.
	began   time.Time
	resumed time.Duration
	speed   float64
}

// resume returns the work done according to the checkpoint of a start order.
func (wk *emuWorker) resume(jb *emuJob, order StartOrder) time.Duration {
	if order.Checkpoint == "" {
		return 0
	}
	var done int64
	name, text, _ := strings.Cut(order.Checkpoint, "|")
	if _, err := fmt.Sscan(text, &done); err != nil || name != string(order.Ref.Task) {
		wk.wo.violation("task %s is started with the checkpoint %q", order.Ref.Task, order.Checkpoint)
	}
	wk.wo.resumed++
	return min(time.Duration(done), jb.length[order.Ref.Task])
}

// emuCheckpointInterval is the amount of work between two checkpoints of a task.
const emuCheckpointInterval = time.Second

// checkpoint returns the latest checkpoint of a run. A run saves one at
// multiples of emuCheckpointInterval and when it is stopped.
func (wk *emuWorker) checkpoint(run *emuRun, how End) string {
	at, _ := parseTaskID(run.ref.Task)
	if !wk.wo.jobs[at.job].steps[at.step].Checkpointing {
		return ""
	}
	done := run.resumed
	if !run.began.IsZero() {
		done += time.Duration(float64(wk.wo.at.Sub(run.began)) * run.speed)
	}
	if how != EndStopped {
		done = done.Truncate(emuCheckpointInterval)
	}
	return fmt.Sprintf("%s|%d", run.ref.Task, int64(done))
}

func (wo *world) addWorker(num int, zone ids.AvailabilityZone, cpu Millicores, speed float64) *emuWorker {
	id := ids.WorkerID(fmt.Sprintf("w-%03d", num))
	wk := &emuWorker{
		wo: wo, speed: speed, up: true, runs: map[TaskRef]*emuRun{}, latest: map[TaskID]Run{},
		endedAt: map[int64]time.Time{},
		offset:  time.Duration(num) * time.Minute,
		info: WorkerInfo{
			Rack: ids.RackID(fmt.Sprintf("rack-%d", num%emuRacks)),
			ID:   id, Service: "fitdesk", Address: string(id), Zone: zone, State: WorkerReady, Born: 1,
			Room: Resources{CPU: cpu, Memory: 65536},
		},
	}
	wo.workers[id] = wk
	return wk
}

// emuRacks is the number of racks; workers are spread over them in turn.
const emuRacks = 8

func (wk *emuWorker) clock() WorkerTime {
	return WorkerTime(wk.wo.at.Sub(emuEpoch) + wk.offset)
}

func (wk *emuWorker) start(order StartOrder) StartReply {
	wo := wk.wo
	if !wk.up {
		return StartReply{}
	}
	rep := StartReply{Clock: wk.clock()}
	switch {
	case order.Token < wk.token:
		rep.Reason = RefusedFence
	case order.Ref.Run <= wk.latest[order.Ref.Task]:
		rep.Reason = RefusedOld
	case order.Until <= wk.clock():
		rep.Reason = RefusedLate
	}
	if jb := wo.jobOf(order.Ref.Task); rep.Reason == "" && jb != nil && jb.advised && !wk.ticketOK(order) {
		wo.badTickets++
		rep.Reason = RefusedTicket
	}
	if rep.Reason != "" {
		return rep
	}
	rep.Started = true
	wk.token = order.Token
	if wk.runs[order.Ref] != nil {
		return rep
	}
	at, _ := parseTaskID(order.Ref.Task)
	jb := wo.jobs[at.job]
	if jb == nil {
		wo.violation("worker %s starts %v, which was never submitted", wk.info.ID, order.Ref)
		return rep
	}
	if jb.refused {
		wo.violation("task %v starts although its job was refused as not run", order.Ref)
	}
	jb.started = true
	if wo.running[order.Ref.Task]++; wo.running[order.Ref.Task] > 1 {
		wo.violation("task %s runs twice at a time, now also on %s", order.Ref.Task, wk.info.ID)
	}
	if jb.stored && wo.acknowledged[order.Ref.Task] {
		wo.violation("task %v starts although its completion was acknowledged", order.Ref)
	}
	wo.lastStart[order.Ref.Task], wk.startedAt = wo.at, wo.at
	wk.traceEvent("starts", order.Ref, "token", order.Token)
	wk.checkPlacement(jb, order)
	run := &emuRun{ref: order.Ref, need: emuNeed(order.Payload)}
	wk.runs[order.Ref] = run
	used := Resources{}
	for _, other := range wk.runs {
		used = used.plus(other.need)
	}
	if !used.fits(wk.roomInForce()) {
		wo.violation("worker %s is given %d of %d millicores", wk.info.ID, used.CPU, wk.info.Room.CPU)
	}
	wk.extend(order.Until)
	if wo.crash.deadly[order.Ref.Task] {
		wk.crashUnder(run)
		return rep
	}
	run.resumed = wk.resume(jb, order)
	if wk.hangs {
		return rep
	}
	run.began = wo.at
	run.speed = wk.coldStart(order)
	took, how := time.Duration(float64(jb.length[order.Ref.Task]-run.resumed)/run.speed), EndDone
	if jb.rack != "" && jb.rack != wk.info.Rack {
		took = time.Duration(float64(took) * emuPenalty)
		wo.remoteStarts++
	}
	wo.starts++
	if wk.fails {
		took, how = 5*time.Millisecond, EndFailed
	}
	if wo.failShare > 0 && wo.rnd.Float64() < wo.failShare {
		how = EndFailed
	}
	st := jb.steps[at.step]
	switch {
	case st.Lasting && how == EndDone:
	case st.Gang:
		wo.joinGang(wk, run, st.Count, took, how)
	default:
		wo.after(took, func() { wk.end(run, how) })
	}
	return rep
}

// jobOf returns the job of a task.
func (wo *world) jobOf(id TaskID) *emuJob {
	at, _ := parseTaskID(id)
	return wo.jobs[at.job]
}

// emuGang is one attempt of a gang.
type emuGang struct {
	members map[*emuRun]*emuWorker
	ended   bool
}

// joinGang adds a run to its gang. The gang begins to work when all its tasks
// are present.
func (wo *world) joinGang(wk *emuWorker, run *emuRun, count int, took time.Duration, how End) {
	at, _ := parseTaskID(run.ref.Task)
	key := fmt.Sprintf("%s.%d.%d/%d", at.job, at.occ, at.step, run.ref.Run)
	ga := wo.gangs[key]
	if ga == nil {
		ga = &emuGang{members: map[*emuRun]*emuWorker{}}
		wo.gangs[key] = ga
	}
	ga.members[run] = wk
	run.gang = ga
	wo.after(emuGangWait, func() {
		if !run.ended && len(ga.members) < count {
			wo.gangTimeouts++
			wk.end(run, EndStopped)
		}
	})
	if how == EndFailed {
		wo.after(took, func() { wk.end(run, EndFailed) })
		return
	}
	if len(ga.members) == count && !ga.ended {
		wo.after(took, func() { wk.end(run, EndDone) })
	}
}

// emuGangWait is how long a task of a gang waits for the others.
const emuGangWait = 3 * time.Second

// end ends all tasks of a gang after one of them has ended.
func (ga *emuGang) end(how End) {
	if ga.ended {
		return
	}
	ga.ended = true
	if how != EndDone {
		how = EndStopped
	}
	for _, run := range sortedBy(maps.Keys(ga.members), (*emuRun).task) {
		ga.members[run].end(run, how)
	}
}

// emuShrinkNotice is the time after which entries must observe a room that has
// shrunk, even if they are cut off from the store.
const emuShrinkNotice = 3*time.Second + emuReportInterval

// resize changes the room of a worker while it runs.
func (wk *emuWorker) resize(cpu Millicores) {
	if cpu < wk.info.Room.CPU {
		wk.shrunkFrom, wk.shrunkAt = wk.info.Room, wk.wo.at
	}
	wk.info.Room.CPU = cpu
}

// roomInForce returns the room that starts must observe.
func (wk *emuWorker) roomInForce() Resources {
	if wk.wo.at.Sub(wk.shrunkAt) < emuShrinkNotice {
		return wk.shrunkFrom
	}
	return wk.info.Room
}

func (wk *emuWorker) traceEvent(words ...any) {
	if wk.wo.trace != nil {
		wk.wo.trace(fmt.Sprint(wk.info.ID, " ", fmt.Sprintln(words...)))
	}
}

// checkPlacement checks that a task may run on the worker, that its start time
// has come and that the steps before it are done.
func (wk *emuWorker) checkPlacement(jb *emuJob, order StartOrder) {
	wo, id := wk.wo, order.Ref.Task
	at, _ := parseTaskID(id)
	st := jb.steps[at.step]
	if wk.info.Service != jb.service && !slices.Contains(wo.routed[jb.queue], wk.info.Service) {
		wo.violation("task %s of service %s starts on worker %s of service %s", id, jb.service, wk.info.ID, wk.info.Service)
	}
	if st.Requirement != "" && !slices.Contains(wk.info.Labels, st.Requirement) {
		wo.violation("task %s starts on worker %s, which has no label %s", id, wk.info.ID, st.Requirement)
	}
	beside := 0
	for ref := range wk.runs {
		if other, _ := parseTaskID(ref.Task); other.job == at.job && other.occ == at.occ && other.step == at.step && ref != order.Ref {
			beside++
		}
	}
	if st.AntiAffinity > 0 && beside >= st.AntiAffinity {
		wo.violation("task %s starts on worker %s beside %d of its step, at most %d may run there", id, wk.info.ID, beside, st.AntiAffinity)
	}
	if due := jb.repeat.First + int64(at.occ)*jb.repeat.Interval.Milliseconds(); jb.repeat.Count > 0 && wo.at.UnixMilli() < due-emuEarly.Milliseconds() {
		wo.violation("task %s starts %d ms before its time", id, due-wo.at.UnixMilli())
	}
	for _, dep := range st.After {
		for idx := range jb.steps[dep].Count {
			if before := TaskID(fmt.Sprintf("%s.%d.%d.%d", at.job, at.occ, dep, idx)); !jb.done[before] {
				wo.violation("task %s starts before task %s is done", id, before)
				return
			}
		}
	}
}

// emuEarly is how early a timed task may start.
const emuEarly = 250 * time.Millisecond

// emuNeed returns the need of a task, read from its payload.
func emuNeed(payload string) Resources {
	var cpu int64
	if _, err := fmt.Sscanf(payload, "cpu=%d", &cpu); err != nil {
		panic(err)
	}
	need := Resources{CPU: Millicores(cpu), Memory: 64}
	if _, text, ok := strings.Cut(payload, "accelerators="); ok {
		if _, err := fmt.Sscan(text, &need.Accelerators); err != nil {
			panic(err)
		}
	}
	return need
}

func (wk *emuWorker) extend(until WorkerTime) {
	until = min(until, wk.clock()+WorkerTime(time.Second))
	if until <= wk.lease {
		return
	}
	wk.lease = until
	wk.wo.after(time.Duration(until-wk.clock()), func() {
		if wk.clock() < wk.lease {
			return
		}
		wk.lapsedAt = wk.wo.at
		for _, run := range wk.sortedRuns() {
			wk.lapses++
			wk.end(run, EndLapsed)
		}
	})
}

func (wk *emuWorker) sortedRuns() []*emuRun { return sortedBy(maps.Values(wk.runs), (*emuRun).task) }

func (wk *emuWorker) end(run *emuRun, how End) {
	if run.ended {
		return
	}
	run.ended = true
	wk.traceEvent("ends", run.ref, how)
	delete(wk.runs, run.ref)
	wk.wo.running[run.ref.Task]--
	if at, _ := parseTaskID(run.ref.Task); how == EndDone {
		wk.wo.jobs[at.job].done[run.ref.Task] = true
	}
	if how == EndFailed {
		wk.wo.recordFailedRun(run.ref)
	}
	wk.latest[run.ref.Task] = max(wk.latest[run.ref.Task], run.ref.Run)
	if run.gang != nil {
		run.gang.end(how)
	}
	if !wk.up {
		return
	}
	wk.number++
	wk.endedAt[wk.number] = wk.wo.at
	er := EndedRun{Number: wk.number, Ref: run.ref, How: how}
	if how == EndStopped || how == EndLapsed {
		er.Checkpoint = wk.checkpoint(run, how)
	}
	wk.endedRuns = append(wk.endedRuns, er)
	open := wk.openHolds
	wk.openHolds = nil
	for _, answer := range open {
		answer()
	}
}

func (wk *emuWorker) stop(order StopOrder) {
	if !wk.up || order.Token < wk.token {
		return
	}
	wk.token = order.Token
	wk.latest[order.Ref.Task] = max(wk.latest[order.Ref.Task], order.Ref.Run)
	if run := wk.runs[order.Ref]; run != nil {
		wk.wo.recordMove(wk, run)
		at, _ := parseTaskID(order.Ref.Task)
		if wk.wo.jobs[at.job].steps[at.step].Lasting && !wk.wo.cancelled[at.job] && wk.info.State == WorkerReady && wk.wo.evacuation.requested[wk.info.Zone].IsZero() {
			wk.wo.lastingStops++
		}
		wk.wo.after(20*time.Millisecond, func() { wk.end(run, EndStopped) })
	}
}

func (wk *emuWorker) hold(order HoldOrder, reply func(rep HoldReply)) {
	if order.Token < wk.token {
		reply(HoldReply{Fenced: true})
		return
	}
	wk.token = order.Token
	if order.Extend {
		wk.extend(order.Until)
	}
	var kept []EndedRun
	for _, er := range wk.endedRuns {
		if er.Number > order.Acked {
			kept = append(kept, er)
			continue
		}
		wk.traceEvent("forgets", er.Ref, er.How)
		if er.How == EndDone {
			wk.wo.acknowledge(wk, er)
		}
	}
	wk.endedRuns = kept
	answered, born := false, wk.info.Born
	answer := func() {
		if answered {
			return
		}
		answered = true
		if !wk.up || wk.info.Born != born {
			reply(HoldReply{Failed: true, Reason: "no answer"})
			return
		}
		listed := min(len(wk.endedRuns), emuListedEnds)
		rep := HoldReply{Clock: wk.clock(), Born: wk.info.Born, Ended: slices.Clone(wk.endedRuns[:listed]), More: listed < len(wk.endedRuns)}
		for _, run := range wk.sortedRuns() {
			rep.Running = append(rep.Running, run.ref)
		}
		reply(rep)
	}
	if order.Wait == 0 || len(wk.endedRuns) > 0 {
		answer()
		return
	}
	wk.openHolds = append(wk.openHolds, answer)
	wk.wo.after(order.Wait, answer)
}

// emuListedEnds is the most ends that a worker lists in one reply.
const emuListedEnds = 500

// acknowledge records that the completion of a task was acknowledged. It ignores
// jobs that are not stored, and completions after which the worker's lease has
// expired.
func (wo *world) acknowledge(wk *emuWorker, er EndedRun) {
	at, _ := parseTaskID(er.Ref.Task)
	if !wo.jobs[at.job].stored || wk.lapsedAt.After(wk.endedAt[er.Number]) {
		return
	}
	if wo.lastStart[er.Ref.Task].After(wk.endedAt[er.Number]) {
		wo.violation("task %v was started again after its completion on %s, which is acknowledged now", er.Ref, wk.info.ID)
	}
	wo.acknowledged[er.Ref.Task] = true
}

// crash ends a worker. Unless restart is 0, the worker restarts without tasks
// after that time.
func (wk *emuWorker) crash(restart time.Duration) {
	wk.up, wk.downAt = false, wk.wo.at
	for _, run := range wk.sortedRuns() {
		wk.wo.crash.under[run.ref.Task]++
		wk.end(run, EndLost)
	}
	wk.endedRuns, wk.openHolds = nil, nil
	if restart == 0 {
		return
	}
	wk.wo.after(restart, func() {
		wk.up = true
		wk.cold.begin(wk.wo.at)
		wk.info.Born++
		wk.token, wk.number, wk.lease, wk.latest = 0, 0, 0, map[TaskID]Run{}
		// The clock of a lifetime starts at zero.
		wk.offset = emuEpoch.Sub(wk.wo.at)
	})
}

// kind is a kind of job in the emulated load.
type kind struct {
	queue string
	perS  float64
	width int
	work  time.Duration
	steps int // length of the chain of steps, 0 for one step

	stored bool
	racks  int // number of racks that hold data, 0 for no affinity
	// label is required on a worker, and spread bounds the tasks of a step on it.
	label  string
	spread int
	// repeat is the number of timed runs of the steps, 0 for one immediate run.
	repeat        int
	gang          bool
	lasting       bool
	unavailable   int  // largest number of long-running tasks that may be moved at a time
	checkpointing bool // tasks save checkpoints, see emuWorker.checkpoint
	colocated     bool
	// accelerators is the number of accelerators that a task needs in place of CPU.
	accelerators int
	cpu          Millicores // mean need of a task, 0 for emuTaskCPU
	// A task needs from leastCPU to mostCPU, if mostCPU is not 0.
	leastCPU, mostCPU Millicores
}

// emuTaskCPU is the usual mean need of a task.
const emuTaskCPU = 14000

// randomJob returns a random job of a kind and its queue.
func (wo *world) randomJob(kd kind) (Job, Queue) {
	wo.lastJob++
	id := ids.JobID(fmt.Sprintf("%016x", wo.lastJob))
	qu, _ := wo.desired.Route("example", "/"+kd.queue+"/")
	count := max(1, int(math.Round(float64(kd.width)*math.Exp(0.4*wo.rnd.NormFloat64()))))
	base := time.Duration(float64(kd.work) * math.Exp(0.4*wo.rnd.NormFloat64()-0.08))
	cpu := Millicores(float64(cmp.Or(kd.cpu, emuTaskCPU)) * max(0.5, min(1.4, 1+0.2*wo.rnd.NormFloat64())))
	if kd.mostCPU > 0 {
		cpu = kd.leastCPU + Millicores(wo.rnd.Int64N(int64(kd.mostCPU-kd.leastCPU)+1))
	}
	jb := &emuJob{queue: kd.queue, arrived: wo.at, stretch: qu.Stretch, slack: qu.Slack, length: map[TaskID]time.Duration{}}
	declared := time.Duration(float64(base) * math.Exp(0.4*wo.rnd.NormFloat64()))
	job := Job{ID: id, Payload: fmt.Sprintf("cpu=%d", cpu)}
	for step := range max(kd.steps, 1) {
		longest := time.Duration(0)
		for idx := range count {
			length := time.Duration(float64(base) * (0.9 + 0.2*wo.rnd.Float64()))
			for occ := range max(kd.repeat, 1) {
				jb.length[TaskID(fmt.Sprintf("%s.%d.%d.%d", id, occ, step, idx))] = length
			}
			longest = max(longest, length)
		}
		jb.work += longest
		if kd.racks > 0 && jb.rack == "" {
			jb.rack = ids.RackID(fmt.Sprintf("rack-%d", wo.rnd.IntN(kd.racks)))
		}
		st := Step{Checkpointing: kd.checkpointing, Gang: kd.gang, Lasting: kd.lasting, MaxUnavailable: kd.unavailable, Colocated: kd.colocated, Requirement: kd.label, AntiAffinity: kd.spread, Affinity: jb.rack, Count: count, Need: Resources{CPU: cpu, Memory: 64}, Estimate: declared}
		if kd.accelerators > 0 {
			st.Need.CPU, st.Need.Accelerators = 0, kd.accelerators
			job.Payload = fmt.Sprintf("cpu=0 accelerators=%d", kd.accelerators)
		}
		if step > 0 {
			st.After = []int{step - 1}
		}
		job.Steps = append(job.Steps, st)
	}
	if kd.repeat > 0 {
		job.Repeat = Repeat{Count: kd.repeat, First: wo.at.Add(time.Second).UnixMilli(), Interval: 1500 * time.Millisecond}
	}
	jb.advised = qu.Advised
	jb.steps, jb.service, jb.repeat, jb.done = job.Steps, qu.Service, job.Repeat, map[TaskID]bool{}
	wo.jobs[id] = jb
	wo.submitted[kd.queue]++
	jb.stored = kd.stored
	job.Stored = kd.stored
	return job, qu
}

// submit sends one job to an entry.
func (wo *world) submit(ee *emuEntry, kd kind) {
	if !ee.alive || ee.frozen {
		return
	}
	if _, ok := wo.desired.Route("example", "/"+kd.queue+"/"); !ok {
		return
	}
	job, qu := wo.randomJob(kd)
	id, jb := job.ID, wo.jobs[job.ID]
	jb.sub = Submission{
		Job: job, Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(4 * time.Second),
		Done: func(out Outcome) {
			wo.done[out.Kind]++
			if wo.answered != nil {
				wo.answered(id, out)
			}
			if out.Kind == Accepted {
				if _, ok := wo.records[id]; !ok {
					wo.violation("job %s is accepted and not stored", id)
				}
			}
			objective := time.Duration(float64(jb.work)*jb.stretch) + jb.slack
			if out.Kind == Completed && wo.at.Sub(jb.arrived) <= objective {
				wo.inTime[jb.queue]++
				jb.inTime = true
			}
			if out.Kind == Refused {
				jb.refused = true
				if jb.started {
					wo.violation("job %s is refused as not run after a task has started", id)
				}
			}
		},
	}
	ee.en.Submit(jb.sub)
}

// submitAgain sends a job to another entry, as a caller does after it has lost
// the connection to the first one.
func (wo *world) submitAgain(ee *emuEntry, id ids.JobID) {
	sub := wo.jobs[id].sub
	sub.Arrived, sub.Deadline = wo.at, wo.at.Add(4*time.Second)
	ee.en.Submit(sub)
}

// load submits jobs of the given kinds at random times to random entries.
func (wo *world) load(kinds []kind, factor float64, du time.Duration) {
	end := wo.at.Add(du)
	for _, kd := range kinds {
		var next func()
		next = func() {
			if wo.at.After(end) {
				return
			}
			list := wo.sortedEntries()
			wo.submit(list[wo.rnd.IntN(len(list))], kd)
			wo.after(time.Duration(wo.rnd.ExpFloat64()/(kd.perS*factor)*float64(time.Second)), next)
		}
		wo.after(time.Duration(wo.rnd.Float64()*float64(time.Second)/(kd.perS*factor)), next)
	}
}

// standardKinds are the kinds of jobs of the users, with rates for 48 workers.
var standardKinds = []kind{
	{queue: "peek", perS: 34.4, width: 8, work: 60 * time.Millisecond},
	{queue: "fit", perS: 100, width: 2, work: 200 * time.Millisecond},
	{queue: "pair", perS: 6.25, width: 4, work: 900 * time.Millisecond},
}

func standardDesired(version int64) Desired {
	qu := func(name string, priority, attempts int) Queue {
		return Queue{
			Name: name, Host: "example", Prefix: "/" + name + "/", Service: "fitdesk", Priority: priority,
			MaxAttempts: attempts, Stretch: 1.6, Slack: 60 * time.Millisecond,
		}
	}
	return Desired{Version: version, Queues: []Queue{qu("peek", 0, 4), qu("fit", 1, 3), qu("pair", 2, 2)}}
}

// emuLabels are the labels of the workers, assigned in rotation.
var emuLabels = []string{"small", "small", "large"}

// standardWorld returns a world like the users' deployment: entries and workers
// in four zones, a quarter of the workers slow and a third of them larger.
func standardWorld(seed uint64, entries, workers int) *world {
	return zonedWorld(seed, entries, workers, []ids.AvailabilityZone{"north", "east", "south", "west"})
}

// zonedWorld is like standardWorld with the given zones.
func zonedWorld(seed uint64, entries, workers int, zones []ids.AvailabilityZone) *world {
	wo := newWorld(seed)
	wo.desired = standardDesired(1)
	for num := range entries {
		wo.addEntry(fmt.Sprintf("entry-%02d", num), zones[num%len(zones)], 0.4)
	}
	for num := range workers {
		cpu, speed := Millicores(32000), 1.2
		label := emuLabels[num%len(emuLabels)]
		if num%3 == 2 {
			cpu = 48000
		}
		if (num/len(zones))%4 == 0 {
			speed = 0.55
		}
		wo.addWorker(num, zones[num%len(zones)], cpu, speed).info.Labels = []string{label}
	}
	wo.run(3 * time.Second)
	return wo
}
