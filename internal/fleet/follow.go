package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/dispatch"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The intervals of reading the store.
const (
	// desiredWait is how long a read of the desired state stays open. With a
	// connection that goes silent it bounds the delay, together with the margin
	// of the client, below the 2 s in which a version must be in force.
	desiredWait = 700 * time.Millisecond
	// workersWait and fleetWait bound the reads of tables that change often.
	workersWait = time.Second
	fleetWait   = time.Second
	// workersPause and fleetPause separate reads of tables that change many
	// times a second, so that each read brings a batch. Reads are priced.
	workersPause = 400 * time.Millisecond
	fleetPause   = 300 * time.Millisecond
	// feedRows is the number of changes from which on an answer of the feed may
	// not be complete.
	feedRows = 500
	// storeRetry is the pause after a read that failed.
	storeRetry = 150 * time.Millisecond
	// beatTimeout bounds one write of this entry's row.
	beatTimeout = 800 * time.Millisecond
)

// table describes how a table of the store is followed.
type table struct {
	name  Table
	parts []Part // read one by one; "" where the table has no shards
	wait  time.Duration
	pause time.Duration
	// put takes a row that is new or has changed.
	put func(en *dispatch.Entry, ro Row)
	// drop takes the removal of a row.
	drop func(en *dispatch.Entry, key string, version dispatch.Version)
}

// follow keeps the state up to date with a table until ctx ends.
func (dm *Daemon) follow(ctx context.Context, tb table) {
	version := dispatch.Version(-1)
	keys := map[string]bool{}
	for ctx.Err() == nil {
		var rows []Row
		var next dispatch.Version
		var err error
		whole := version < 0
		sent := dm.Now()
		if whole {
			rows, next, err = dm.readAll(ctx, tb)
		} else {
			rows, next, err = dm.store.Follow(ctx, tb.name, version, tb.wait)
		}
		dm.cnt.Add("store", "reads", 1)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			dm.storeFault(tb.name, err)
			if errors.Is(err, ErrHistoryGone) {
				version = -1
				continue
			}
			group.Sleep(ctx, storeRetry)
			continue
		}
		dm.storeBack(tb.name)
		if whole {
			rows = append(rows, missingRows(keys, rows, next)...)
		}
		dm.apply(tb, rows, keys)
		complete := whole || len(rows) < feedRows
		if complete {
			dm.tableRead(tb.name, sent)
		}
		version = next
		if tb.pause > 0 && complete {
			group.Sleep(ctx, tb.pause)
		}
	}
}

// tableNames holds the tables whose age decisions depend on.
var tableNames = map[Table]dispatch.Table{
	TableFleet: dispatch.TableHolders, TableWorkers: dispatch.TableWorkers, TableJobs: dispatch.TableJobs,
}

// tableRead tells the entry that it knows a table as it was at a time.
func (dm *Daemon) tableRead(tb Table, sent time.Time) {
	if name, ok := tableNames[tb]; ok {
		dm.locked(func(en *dispatch.Entry) { en.TableRead(name, sent) })
	}
}

// readAll reads the parts of a table. The version is that of the first read, so
// that changes meanwhile come again through the feed.
func (dm *Daemon) readAll(ctx context.Context, tb table) ([]Row, dispatch.Version, error) {
	var rows []Row
	version := dispatch.Version(-1)
	for _, part := range tb.parts {
		some, next, err := dm.store.Read(ctx, tb.name, part, "")
		if err != nil {
			return nil, 0, err
		}
		rows = append(rows, some...)
		if version < 0 {
			version = next
		}
	}
	return rows, version, nil
}

// missingRows returns removals for the keys that a whole read no longer holds.
func missingRows(keys map[string]bool, rows []Row, version dispatch.Version) []Row {
	present := map[string]bool{}
	for _, ro := range rows {
		present[ro.Key] = true
	}
	var gone []Row
	for key := range keys {
		if !present[key] {
			gone = append(gone, Row{Key: key, Deleted: true, Version: version})
		}
	}
	return gone
}

func (dm *Daemon) apply(tb table, rows []Row, keys map[string]bool) {
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
			tb.put(en, ro)
		}
	})
}

// storeFault notes that the store does not answer reads of a table.
func (dm *Daemon) storeFault(tb Table, err error) {
	dm.cnt.Add("store", "read-errors", 1)
	dm.locked(func(en *dispatch.Entry) {
		if !dm.storeBad[tb] {
			dm.log.Line("store-lost", "table", string(tb), "error", err.Error())
		}
		dm.storeBad[tb] = true
		if tb == TableFleet {
			en.StoreAway()
		}
	})
}

func (dm *Daemon) storeBack(tb Table) {
	dm.locked(func(*dispatch.Entry) {
		if dm.storeBad[tb] {
			dm.log.Line("store-back", "table", string(tb))
		}
		dm.storeBad[tb] = false
	})
}

func (dm *Daemon) followDesired(ctx context.Context) {
	dm.follow(ctx, table{
		name: TableDesired, parts: []Part{""}, wait: desiredWait,
		put: func(en *dispatch.Entry, ro Row) {
			des, ok, err := dm.store.DecodeDesired(ro.Key, ro.Value)
			if err != nil {
				dm.log.Line("desired-state-unreadable", "key", ro.Key, "version", int64(ro.Version), "error", err.Error())
				return
			}
			if ok {
				en.Apply(des)
			}
		},
		drop: func(*dispatch.Entry, string, dispatch.Version) {},
	})
}

func (dm *Daemon) followWorkers(ctx context.Context) {
	dm.follow(ctx, table{
		name: TableWorkers, parts: []Part{""}, wait: workersWait, pause: workersPause,
		put: func(en *dispatch.Entry, ro Row) {
			info, err := dm.store.DecodeWorker(ro.Key, ro.Value)
			if err != nil {
				dm.log.Line("worker-unreadable", "key", ro.Key, "version", int64(ro.Version), "error", err.Error())
				en.DropWorker(ids.WorkerID(ro.Key))
				return
			}
			en.PutWorker(info)
		},
		drop: func(en *dispatch.Entry, key string, _ dispatch.Version) { en.DropWorker(ids.WorkerID(key)) },
	})
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
	Beat        int64                `json:"beat"`
}

func (dm *Daemon) entryKey() string {
	return entryPrefix + string(dm.opt.Self.Incarnation.Entry())
}

func (dm *Daemon) followFleet(ctx context.Context) {
	dm.follow(ctx, table{name: TableFleet, parts: []Part{""}, wait: fleetWait, pause: fleetPause, put: dm.putFleet, drop: dropFleet})
}

func (dm *Daemon) putFleet(en *dispatch.Entry, ro Row) {
	if strings.HasPrefix(ro.Key, holderPrefix) {
		if row, ok := dm.decodeHolder(ro); ok {
			en.PutRow(row)
		}
		return
	}
	var rec entryRecord
	if err := json.Unmarshal(ro.Value, &rec); err != nil || !strings.HasPrefix(ro.Key, entryPrefix) {
		dm.log.Line("fleet-row-unreadable", "key", ro.Key, "version", int64(ro.Version))
		return
	}
	en.PutMember(dispatch.Member{
		Self:    dispatch.Self{Incarnation: rec.Incarnation, Zone: rec.Zone, PeerAddress: rec.PeerAddress, Size: rec.Size},
		Leaving: rec.Leaving, Version: ro.Version, Beat: rec.Beat,
	})
	dm.keepLinks(en)
}

func dropFleet(en *dispatch.Entry, key string, version dispatch.Version) {
	if id, ok := strings.CutPrefix(key, holderPrefix); ok {
		en.DropRow(ids.WorkerID(id), version)
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
		dm.log.Line("fleet-row-unreadable", "key", ro.Key, "version", int64(ro.Version), "error", err.Error())
		return dispatch.HolderRow{}, false
	}
	row.Holder = rec.Holder
	return row, true
}

// beat rewrites this entry's row until ctx ends.
func (dm *Daemon) beat(ctx context.Context) {
	for ctx.Err() == nil {
		dm.writeBeat(ctx)
		group.Sleep(ctx, dispatch.BeatInterval)
	}
}

func (dm *Daemon) writeBeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	self := dm.opt.Self
	sent := dm.clock()
	raw, err := json.Marshal(entryRecord{
		Incarnation: self.Incarnation, Zone: self.Zone, PeerAddress: self.PeerAddress, Size: self.Size,
		Leaving: dm.draining.Load(), Beat: time.Now().UnixMilli(),
	})
	if err == nil {
		var rep TransactionReply
		rep, err = dm.store.Commit(ctx, Transaction{Puts: []Put{{Table: TableFleet, Key: dm.entryKey(), Value: raw}}})
		if err == nil {
			dm.rowVersion.Store(int64(rep.Version))
		}
	}
	if err != nil {
		dm.cnt.Add("store", "beat-errors", 1)
		dm.log.Line("beat-failed", "error", err.Error())
		return
	}
	dm.locked(func(en *dispatch.Entry) { en.Beaten(sent) })
}
