package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The intervals of reading the store.
const (
	// desiredWait is how long a poll for the desired state stays open. If a
	// connection goes silent, this time and the client's margin bound the delay
	// below the 2 s within which a version must be applied. If enough other
	// entries send versions too, the wait is random up to maxDesiredWait, so that
	// connections that went silent at once are not all detected at the same late
	// moment.
	desiredWait    = 700 * time.Millisecond
	maxDesiredWait = 2 * time.Second
	// longWaitMinEntries is the least number of reachable entries, including this
	// one, for which the random wait is used.
	longWaitMinEntries = 4
	// workersWait and fleetWait bound the polls of tables that change often.
	workersWait = time.Second
	fleetWait   = time.Second
	// workersPause and minFleetPause separate reads of tables that change many
	// times a second, so that each read returns a batch. Each read has a price.
	workersPause  = 500 * time.Millisecond
	minFleetPause = 500 * time.Millisecond
	// An entry that does not follow the reports of workers reads scanRows of them
	// every scanPause, 8 KB a second. A larger page delays other messages on a
	// link of 2 Mbit/s.
	scanRows  = 24
	scanPause = 1500 * time.Millisecond
	// workerListWait is how long a starting entry waits for another one to send
	// the list of workers. firstStartWait is how long the entries of a new fleet
	// wait for the rows of the others, because the store accepts 200 of them a
	// second.
	workerListWait = 1500 * time.Millisecond
	firstStartWait = time.Second
	workerListPoll = 50 * time.Millisecond
	// heartbeatRetry is the pause after a failed heartbeat.
	heartbeatRetry = 300 * time.Millisecond
	// maxReportReads bounds the reports that are read one by one in a round of a
	// scan because a decision depends on them.
	maxReportReads = 8
	// maxFeedRows is the number of changes from which on an answer of the feed may
	// be incomplete.
	maxFeedRows = 500
	// storeRetry is the pause after a failed read.
	storeRetry = 150 * time.Millisecond
	// heartbeatTimeout bounds one write of this entry's row.
	heartbeatTimeout = 800 * time.Millisecond
)

// followedTable describes how a table of the store is followed.
type followedTable struct {
	name  Table
	parts []Part // read one by one; "" for a table without shards
	wait  func() time.Duration
	// pause returns the pause after a read, nil for none.
	pause func() time.Duration
	// keys holds the keys of the present rows, nil for none yet.
	keys map[string]bool
	// done returns true when following is to end, nil for never.
	done func() bool
	// put applies a row that is new or has changed. full is set when all rows
	// were read, whether they have changed or not.
	put func(en *dispatch.Entry, ro Row, full bool)
	// drop applies the removal of a row.
	drop func(en *dispatch.Entry, key string, version dispatch.Version)
	// read is called with each answer and all of its rows, nil for nothing. complete
	// is false if further changes follow.
	read func(rows []Row, full, complete bool, version dispatch.Version, sent time.Time)
}

// follow keeps the state up to date with a table until ctx ends.
func (dm *Daemon) follow(ctx context.Context, tb followedTable) {
	version := dispatch.Version(-1)
	if tb.keys == nil {
		tb.keys = map[string]bool{}
	}
	keys := tb.keys
	for ctx.Err() == nil && (tb.done == nil || !tb.done()) {
		var rows []Row
		var next dispatch.Version
		var err error
		full := version < 0
		sent := dm.Now()
		if full {
			rows, next, err = dm.readAll(ctx, tb)
		} else {
			rows, next, err = dm.store.Follow(ctx, tb.name, version, tb.wait())
		}
		dm.cnt.Add("store", "reads", 1)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			version = dm.handleReadError(ctx, tb.name, version, err)
			continue
		}
		dm.recordReadSuccess(tb.name)
		if full {
			rows = append(rows, missingRows(keys, rows, next)...)
		}
		dm.apply(tb, rows, keys, full)
		complete := full || len(rows) < maxFeedRows
		tb.passAll(rows, full, complete, next, sent)
		if complete {
			dm.reportFollowed(tb.name, sent, next)
		}
		version = next
		if tb.pause != nil && complete {
			group.Sleep(ctx, tb.pause())
		}
	}
}

// passAll passes the rows of an answer to read.
func (tb followedTable) passAll(rows []Row, full, complete bool, version dispatch.Version, sent time.Time) {
	if tb.read != nil {
		tb.read(rows, full, complete, version, sent)
	}
}

// handleReadError handles a failed read. It returns the version to continue
// from, -1 for a full read of the table.
func (dm *Daemon) handleReadError(ctx context.Context, tb Table, version dispatch.Version, err error) dispatch.Version {
	dm.recordReadError(tb, err)
	if errors.Is(err, ErrHistoryGone) {
		return -1
	}
	group.Sleep(ctx, storeRetry)
	return version
}

// tableNames maps the tables that dispatch tracks the last read time of, because
// decisions depend on it.
var tableNames = map[Table]dispatch.Table{
	TableFleet: dispatch.TableHolders, TableWorkers: dispatch.TableWorkers, TableJobs: dispatch.TableJobs,
}

// reportRead reports to dispatch that a table is up to date as of a time.
func (dm *Daemon) reportRead(tb Table, sent time.Time) {
	if name, ok := tableNames[tb]; ok {
		dm.locked(func(en *dispatch.Entry) { en.TableRead(name, sent) })
	}
}

// reportFollowed reports to dispatch that all changes of a table up to a
// version have been applied.
func (dm *Daemon) reportFollowed(tb Table, sent time.Time, version dispatch.Version) {
	dm.reportRead(tb, sent)
	if tb == TableWorkers {
		dm.locked(func(en *dispatch.Entry) { en.WorkersReadTo(version) })
	}
}

// readAll reads the parts of a table. The version is that of the first read, so
// that the feed repeats changes made during the later reads.
func (dm *Daemon) readAll(ctx context.Context, tb followedTable) ([]Row, dispatch.Version, error) {
	var rows []Row
	version := dispatch.Version(-1)
	for _, part := range tb.parts {
		partRows, next, err := dm.store.Read(ctx, tb.name, part, "")
		if err != nil {
			return nil, 0, err
		}
		rows = append(rows, partRows...)
		if version < 0 {
			version = next
		}
	}
	return rows, version, nil
}

// missingRows returns removals for the keys that a full read did not return.
func missingRows(keys map[string]bool, rows []Row, version dispatch.Version) []Row {
	present := map[string]bool{}
	for _, ro := range rows {
		present[ro.Key] = true
	}
	var removals []Row
	for key := range keys {
		if !present[key] {
			removals = append(removals, Row{Key: key, Deleted: true, Version: version})
		}
	}
	return removals
}

// apply passes rows to put and drop, and keeps keys up to date.
func (dm *Daemon) apply(tb followedTable, rows []Row, keys map[string]bool, full bool) {
	if len(rows) == 0 {
		return
	}
	dm.locked(func(en *dispatch.Entry) {
		for _, ro := range rows {
			if ro.Deleted {
				delete(keys, ro.Key)
				tb.drop(en, ro.Key, ro.Version)
				continue
			}
			keys[ro.Key] = true
			tb.put(en, ro, full)
		}
	})
}

// recordReadError records that a read of a table has failed.
func (dm *Daemon) recordReadError(tb Table, err error) {
	dm.cnt.Add("store", "read-errors", 1)
	dm.locked(func(en *dispatch.Entry) {
		if !dm.storeFailing[tb] {
			dm.log.Log("store-lost", "table", string(tb), "error", err.Error())
		}
		dm.storeFailing[tb] = true
		if tb == TableFleet {
			en.StoreUnavailable()
		}
	})
}

// recordReadSuccess records that a read of a table has succeeded.
func (dm *Daemon) recordReadSuccess(tb Table) {
	dm.locked(func(*dispatch.Entry) {
		if dm.storeFailing[tb] {
			dm.log.Log("store-back", "table", string(tb))
		}
		dm.storeFailing[tb] = false
	})
}

// desiredPollWait returns how long the next poll for the desired state stays
// open.
func (dm *Daemon) desiredPollWait() time.Duration {
	reachable := 0
	fresh := true
	dm.locked(func(en *dispatch.Entry) { reachable, fresh = en.Reachable(), en.EvacuationsFresh() })
	if !fresh {
		// This entry starts no task until a read that is sent now is answered.
		return 0
	}
	if reachable < longWaitMinEntries {
		return desiredWait
	}
	return desiredWait + rand.N(maxDesiredWait-desiredWait)
}

func (dm *Daemon) followDesired(ctx context.Context) {
	dm.follow(ctx, followedTable{
		name: TableDesired, parts: []Part{""}, wait: dm.desiredPollWait,
		read: dm.readEvacuations,
		put: func(en *dispatch.Entry, ro Row, _ bool) {
			if _, ok := dm.store.DecodeEvacuation(ro.Key); ok {
				// readEvacuations handles the row.
				return
			}
			des, ok, err := dm.store.DecodeDesired(ro.Key, ro.Value)
			if err != nil {
				dm.log.Log("desired-state-unreadable", "key", ro.Key, "version", int64(ro.Version), "error", err.Error())
				return
			}
			if ok {
				en.Apply(des)
			}
		},
		drop: func(*dispatch.Entry, string, dispatch.Version) {},
	})
}

// followWorkers keeps the reports of workers up to date until ctx ends: by the
// feed, or, if other entries forward the changes, by a slow scan of the table.
func (dm *Daemon) followWorkers(ctx context.Context) {
	keys := dm.awaitWorkerList(ctx)
	for ctx.Err() == nil {
		dm.follow(ctx, followedTable{
			name: TableWorkers, parts: []Part{""}, wait: constant(workersWait), pause: constant(workersPause), keys: keys,
			done: func() bool { return len(keys) > 0 && !dm.followsWorkers() && !dm.needsAllWorkers() },
			put:  dm.putWorker, drop: dropWorker,
		})
		dm.scanWorkers(ctx, keys)
	}
}

// awaitWorkerList waits, in a large fleet, until another entry has sent the
// list of workers, and returns the keys of their reports.
func (dm *Daemon) awaitWorkerList(ctx context.Context) map[string]bool {
	keys := map[string]bool{}
	end := dm.clock().Add(workerListWait)
	if dm.opt.FirstStart {
		group.Sleep(ctx, firstStartWait)
		end = end.Add(firstStartWait)
	}
	for ctx.Err() == nil && dm.clock().Before(end) {
		wait := false
		dm.locked(func(en *dispatch.Entry) {
			wait = en.FleetSize() == 0 || (en.ExpectsWorkerNews() && !en.HasWorkerSnapshot())
			if !wait && en.ExpectsWorkerNews() {
				for _, id := range en.KnownWorkers() {
					keys[string(id)] = true
				}
			}
		})
		if !wait {
			return keys
		}
		group.Sleep(ctx, workerListPoll)
	}
	return keys
}

// constant returns a function that always returns the same duration.
func constant(pause time.Duration) func() time.Duration {
	return func() time.Duration { return pause }
}

func (dm *Daemon) followsWorkers() bool {
	follows := false
	dm.locked(func(en *dispatch.Entry) { follows = en.FollowsWorkers() })
	return follows
}

// putWorker applies the report of a worker. full is set for a report that was
// read whether it has changed or not; its last change may be long ago.
func (dm *Daemon) putWorker(en *dispatch.Entry, ro Row, full bool) {
	info, err := dm.store.DecodeWorker(ro.Key, ro.Value)
	if err != nil {
		dm.cnt.Add("worker", "unreadable", 1)
		dm.log.Log("worker-unreadable", "key", ro.Key, "version", int64(ro.Version), "error", err.Error())
		en.DropWorker(ids.WorkerID(ro.Key), ro.Version)
		return
	}
	info.Version = ro.Version
	if full {
		en.PutPolledWorker(info)
		return
	}
	en.PutWorker(info)
}

func dropWorker(en *dispatch.Entry, key string, version dispatch.Version) {
	en.DropWorker(ids.WorkerID(key), version)
}

// scanWorkers reads the reports of workers page by page, and without delay those
// that a decision depends on. It returns when this entry is to follow or to read
// all of them.
func (dm *Daemon) scanWorkers(ctx context.Context, keys map[string]bool) {
	from := randomStartKey(keys)
	var nextPage, passBegan time.Time
	for ctx.Err() == nil && !dm.followsWorkers() {
		dm.readRequiredReports(ctx, keys)
		now := dm.clock()
		if from == "" {
			passBegan = now
		}
		if dm.needsAllWorkers() {
			return
		}
		if !now.Before(nextPage) {
			nextPage = now.Add(scanPause)
			next, ok := dm.scanPage(ctx, from, keys)
			if ok && next == "" && !passBegan.IsZero() {
				dm.reportRead(TableWorkers, passBegan)
			}
			from = next
		}
		group.Sleep(ctx, workersPause)
	}
}

func (dm *Daemon) needsAllWorkers() bool {
	needs := false
	dm.locked(func(en *dispatch.Entry) { needs = en.NeedsAllWorkers() })
	return needs
}

// randomStartKey returns a random key to begin with, so that entries scan
// different pages. Go randomizes the iteration order of maps.
func randomStartKey(keys map[string]bool) string {
	for key := range keys {
		return key
	}
	return ""
}

// scanPage reads one page of reports and returns the key of the next one. If the
// read fails, it returns the key of the same page and false.
func (dm *Daemon) scanPage(ctx context.Context, from string, keys map[string]bool) (string, bool) {
	page, err := dm.store.Page(ctx, TableWorkers, "", from, scanRows)
	dm.cnt.Add("store", "reads", 1)
	if err != nil {
		if ctx.Err() == nil {
			dm.recordReadError(TableWorkers, err)
		}
		return from, false
	}
	dm.recordReadSuccess(TableWorkers)
	covered := map[string]bool{}
	for key := range keys {
		if key >= from && (page.Next == "" || key < page.Next) {
			covered[key] = true
		}
	}
	dm.apply(followedTable{put: dm.putWorker, drop: dropWorker}, append(page.Rows, missingRows(covered, page.Rows, page.Version)...), keys, true)
	return page.Next, true
}

// readRequiredReports reads the reports that a decision depends on.
func (dm *Daemon) readRequiredReports(ctx context.Context, keys map[string]bool) {
	var wanted []ids.WorkerID
	dm.locked(func(en *dispatch.Entry) { wanted = en.ReportsWanted(maxReportReads) })
	for _, id := range wanted {
		key := string(id)
		rows, version, err := dm.store.Read(ctx, TableWorkers, "", key)
		dm.cnt.Add("store", "reads", 1)
		if err != nil {
			if ctx.Err() == nil {
				dm.recordReadError(TableWorkers, err)
			}
			return
		}
		rows = append(rows, missingRows(map[string]bool{key: true}, rows, version)...)
		dm.apply(followedTable{put: dm.putWorker, drop: dropWorker}, rows, keys, true)
	}
}

// The prefixes of the keys of TableFleet.
const (
	entryPrefix  = "entry/"
	holderPrefix = "holder/"
)

// entryRecord is the row of an entry in TableFleet.
type entryRecord struct {
	Incarnation ids.Incarnation      `json:"incarnation"`
	Zone        ids.AvailabilityZone `json:"availability-zone"`
	PeerAddress string               `json:"peer-address"`
	Size        float64              `json:"size"` // processor share, in cores
	Leaving     bool                 `json:"leaving,omitempty"`
	Heartbeat   int64                `json:"beat"`
	// HeartbeatInterval is the interval of the heartbeats in milliseconds. Rows of
	// older versions lack it; their entries write one a second.
	HeartbeatInterval int64 `json:"beat-every-millis,omitempty"`
}

func (dm *Daemon) entryKey() string {
	return entryPrefix + string(dm.opt.Self.Incarnation.Entry())
}

func (dm *Daemon) followFleet(ctx context.Context) {
	dm.follow(ctx, followedTable{name: TableFleet, parts: []Part{""}, wait: constant(fleetWait), pause: dm.fleetPause, put: dm.putFleet, drop: dropFleet})
}

// fleetPause returns the pause between two reads of the rows of entries and
// holders. It grows with the size of the fleet.
func (dm *Daemon) fleetPause() time.Duration {
	pause := minFleetPause
	dm.locked(func(en *dispatch.Entry) { pause = en.HoldersPause(minFleetPause) })
	return pause
}

func (dm *Daemon) putFleet(en *dispatch.Entry, ro Row, _ bool) {
	if strings.HasPrefix(ro.Key, holderPrefix) {
		if row, ok := dm.decodeHolder(ro); ok {
			en.PutHolderRow(row)
		}
		return
	}
	var rec entryRecord
	if err := json.Unmarshal(ro.Value, &rec); err != nil || !strings.HasPrefix(ro.Key, entryPrefix) {
		dm.log.Log("fleet-row-unreadable", "key", ro.Key, "version", int64(ro.Version))
		return
	}
	en.PutMember(dispatch.Member{
		Self:    dispatch.Self{Incarnation: rec.Incarnation, Zone: rec.Zone, PeerAddress: rec.PeerAddress, Size: rec.Size},
		Leaving: rec.Leaving, Version: ro.Version, Heartbeat: rec.Heartbeat, HeartbeatInterval: time.Duration(rec.HeartbeatInterval) * time.Millisecond,
	})
}

func dropFleet(en *dispatch.Entry, key string, version dispatch.Version) {
	if id, ok := strings.CutPrefix(key, holderPrefix); ok {
		en.DropHolderRow(ids.WorkerID(id), version)
		return
	}
	if id, ok := strings.CutPrefix(key, entryPrefix); ok {
		en.DropMember(ids.EntryID(id))
	}
}

func (dm *Daemon) decodeHolder(ro Row) (dispatch.HolderRow, bool) {
	id, ok := strings.CutPrefix(ro.Key, holderPrefix)
	if !ok {
		return dispatch.HolderRow{}, false
	}
	row := dispatch.HolderRow{Worker: ids.WorkerID(id), Version: ro.Version}
	if ro.Version == 0 || ro.Deleted {
		row.Version = 0
		return row, true
	}
	var rec holderRecord
	if err := json.Unmarshal(ro.Value, &rec); err != nil {
		dm.log.Log("fleet-row-unreadable", "key", ro.Key, "version", int64(ro.Version), "error", err.Error())
		return dispatch.HolderRow{}, false
	}
	row.Holder = rec.Holder
	return row, true
}

// heartbeat writes heartbeats to this entry's row until ctx ends.
func (dm *Daemon) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatRetry
		if dm.writeHeartbeat(ctx) {
			pause = dm.heartbeatInterval()
		}
		group.Sleep(ctx, pause)
	}
}

func (dm *Daemon) heartbeatInterval() time.Duration {
	every := dispatch.MinHeartbeatInterval
	dm.locked(func(en *dispatch.Entry) { every = en.HeartbeatInterval() })
	return every
}

// writeHeartbeat writes a heartbeat to this entry's row and reports whether that
// succeeded.
func (dm *Daemon) writeHeartbeat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := dm.clock()
	err := dm.loadRowVersion(ctx)
	if err == nil {
		err = dm.writeRow(ctx)
	}
	if errors.Is(err, errRowChanged) {
		sent = dm.clock()
		err = dm.writeRow(ctx)
	}
	if err != nil {
		dm.cnt.Add("store", "beat-errors", 1)
		dm.log.Log("beat-failed", "error", err.Error())
		return false
	}
	dm.locked(func(en *dispatch.Entry) { en.HeartbeatStored(sent) })
	return true
}

// errRowChanged reports that this entry's row had another version than the one
// to be replaced.
var errRowChanged = errors.New("the row of this entry has changed")

// loadRowVersion reads the version of the row that an earlier incarnation has
// left. The reply to a refused write contains it too, but the store accepts few
// writes a second, and when a fleet starts, the claims of workers wait behind
// the heartbeats of all entries.
func (dm *Daemon) loadRowVersion(ctx context.Context) error {
	if dm.rowVersion.Load() != 0 {
		return nil
	}
	rows, _, err := dm.store.Read(ctx, TableFleet, "", dm.entryKey())
	if err == nil && len(rows) == 1 {
		dm.rowVersion.Store(int64(rows[0].Version))
	}
	return err
}

// writeRow replaces this entry's row if it still has the last known version.
// Without this check, a heartbeat of an earlier incarnation that the store
// carries out late would replace the row of this one.
func (dm *Daemon) writeRow(ctx context.Context) error {
	self := dm.opt.Self
	raw, err := json.Marshal(entryRecord{
		Incarnation: self.Incarnation, Zone: self.Zone, PeerAddress: self.PeerAddress, Size: self.Size,
		Leaving: dm.draining.Load(), Heartbeat: time.Now().UnixMilli(), HeartbeatInterval: dm.heartbeatInterval().Milliseconds(),
	})
	if err != nil {
		return err
	}
	rep, err := dm.store.Commit(ctx, Transaction{
		Checks: []Check{{Table: TableFleet, Key: dm.entryKey(), Version: dispatch.Version(dm.rowVersion.Load())}},
		Puts:   []Put{{Table: TableFleet, Key: dm.entryKey(), Value: raw}},
	})
	if err != nil {
		return err
	}
	if !rep.OK {
		rep.Version, err = 0, errRowChanged
		for _, ro := range rep.Present {
			if ro.Key == dm.entryKey() && !ro.Deleted {
				rep.Version = ro.Version
			}
		}
	}
	dm.rowVersion.Store(int64(rep.Version))
	return err
}
