package home

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// rowValue is the value of the row home/<target-id>.
type rowValue struct {
	Incarnation ids.Incarnation `json:"incarnation"`
}

const (
	// refreshInterval is the interval between reads of the table while every
	// target has a home.
	refreshInterval = 10 * time.Second
	// vacantRefreshInterval replaces refreshInterval while a target has no home.
	vacantRefreshInterval = time.Second
	// rankDelay is how long an entry waits for each candidate of a better rank
	// to claim a target.
	rankDelay = 3 * time.Second
	// otherZoneDelay is how long a target of another availability zone must have
	// no home before an entry claims it. The list of VMs lags, so a zone whose
	// entries have just started appears to have none.
	otherZoneDelay = 15 * time.Second
	// maxBatch limits the rows of one transaction. It is well below
	// table.MaxRows.
	maxBatch = 1000
)

// claimBatch is a transaction whose outcome is not yet known. It is retried
// under the same id until the table answers.
type claimBatch struct {
	tx       table.Transaction
	claims   map[ids.TargetID]time.Duration // wait before each new home uses or lends slots
	releases []ids.TargetID
}

// applyRow copies owner and version from a row. The row may be stale, but is
// never newer than the table.
func (st *targetState) applyRow(row table.Row) {
	var val rowValue
	_ = json.Unmarshal(row.Value, &val) // a row that cannot be decoded has no owner and can be claimed
	st.owner, st.version = val.Incarnation, row.Version
}

// claimRound resolves the open transaction, reads the rows when due, and claims
// and releases homes in one transaction.
func (co *Controller) claimRound(ctx context.Context) {
	if co.pending != nil && !co.resolve(ctx) {
		return
	}
	co.refresh(ctx)
	co.mu.Lock()
	batch := co.planBatch()
	co.mu.Unlock()
	if batch != nil {
		co.pending = batch
		co.resolve(ctx)
	}
}

// refresh lists the rows and applies them. While the table is unavailable, the
// state does not change.
func (co *Controller) refresh(ctx context.Context) {
	if !co.stale.Swap(false) && co.opt.Clock() < co.refreshAt {
		return
	}
	co.refreshAt = co.opt.Clock() + vacantRefreshInterval
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows := map[string]table.Row{}
	for after := ""; ; {
		page, err := co.opt.Rows.List(ctx, rowPrefix, after, table.MaxRows)
		if err != nil {
			co.opt.Counters.Add(familySlots, "home-list-failed", 1)
			return
		}
		for _, row := range page {
			rows[row.Key] = row
			after = row.Key
		}
		if len(page) < table.MaxRows {
			break
		}
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.readTargets()
	co.applyRows(rows)
	co.listed = true
}

func (co *Controller) applyRows(rows map[string]table.Row) {
	vacant := false
	gone := co.gone()
	for id, st := range co.targets {
		key := rowPrefix + string(id)
		row := rows[key]
		delete(rows, key)
		if st.home != nil {
			co.checkHome(id, st, row)
			continue
		}
		st.applyRow(row)
		vacant = vacant || st.owner == "" || gone(st.owner)
	}
	co.unlistedRows = rows
	if !vacant {
		co.refreshAt = co.opt.Clock() + refreshInterval
	}
}

// checkHome drops a home whose row names another owner. A listed row may be
// stale, so only a newer version counts.
func (co *Controller) checkHome(id ids.TargetID, st *targetState, row table.Row) {
	if row.Version <= st.version {
		return
	}
	st.applyRow(row)
	if st.owner == co.opt.Self.Incarnation {
		return
	}
	co.opt.Log.Error().Str("target", string(id)).Str("owner", string(st.owner)).Msg("home-lost")
	co.opt.Counters.Add(familySlots, "home-lost", 1)
	co.dropHome(st)
}

func (co *Controller) dropHome(st *targetState) {
	st.home.Drain()
	st.home = nil
	st.lender = ""
}

// planBatch returns the claims and releases that are due, or nil if there are
// none.
func (co *Controller) planBatch() *claimBatch {
	if !co.listed || co.leaving {
		return nil
	}
	others := co.others()
	candidates := co.candidates(others)
	co.planMoves(candidates)
	batch := &claimBatch{claims: map[ids.TargetID]time.Duration{}}
	gone := co.gone()
	for id, st := range co.targets {
		if len(batch.tx.Writes) >= maxBatch {
			break
		}
		switch {
		case st.home != nil:
			if st.home.Idle() {
				batch.release(id, st)
			}
		case st.vm.State == ids.StateLive && st.slots > 0:
			if wait, ok := co.mayClaim(id, st, gone, candidates); ok {
				batch.claim(id, st, co.opt.Self.Incarnation, wait)
			}
		}
	}
	if len(batch.tx.Writes) == 0 {
		return nil
	}
	batch.tx.ID = uuid.NewString()
	return batch
}

// mayClaim reports whether this entry should claim the target now, and how long
// it must then wait for loans of the previous home to end.
func (co *Controller) mayClaim(id ids.TargetID, st *targetState, gone func(ids.Incarnation) bool, candidates func(ids.VM) []entryView) (time.Duration, bool) {
	now := co.opt.Clock()
	wait := co.opt.Terms.Outstanding()
	switch {
	case st.owner == co.opt.Self.Incarnation:
		// The reply to the claim was lost. Loans made before the claim are not
		// known.
		return wait, true
	case st.owner == "":
		// A row is deleted only while no slot is lent.
		wait = 0
	case st.owner.Entry() == co.opt.Self.ID:
		return wait, true
	case !gone(st.owner):
		st.vacantSince = now
		return 0, false
	}
	delay := time.Duration(0)
	if st.vm.AvailabilityZone != co.opt.Self.Zone {
		delay = otherZoneDelay
	}
	for _, en := range rank(id, candidates(st.vm)) {
		if en.id == co.opt.Self.ID {
			return wait, now-st.vacantSince >= delay
		}
		delay += rankDelay
	}
	return 0, false
}

func (cb *claimBatch) claim(id ids.TargetID, st *targetState, inc ids.Incarnation, wait time.Duration) {
	raw, _ := json.Marshal(rowValue{Incarnation: inc}) // a struct of strings always encodes
	key := rowPrefix + string(id)
	cb.claims[id] = wait
	cb.tx.Checks = append(cb.tx.Checks, table.Check{Key: key, Version: st.version})
	cb.tx.Writes = append(cb.tx.Writes, table.Write{Key: key, Value: raw})
}

func (cb *claimBatch) release(id ids.TargetID, st *targetState) {
	key := rowPrefix + string(id)
	cb.releases = append(cb.releases, id)
	cb.tx.Checks = append(cb.tx.Checks, table.Check{Key: key, Version: st.version})
	cb.tx.Writes = append(cb.tx.Writes, table.Write{Key: key, Delete: true})
}

// resolve sends or retries the open transaction. It reports whether the outcome
// is now known.
func (co *Controller) resolve(ctx context.Context) bool {
	cctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	version, err := co.opt.Rows.Commit(cctx, co.pending.tx)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		co.mu.Lock()
		co.applyCommit(co.pending, version)
		peers := co.affectedAddresses(co.pending)
		co.mu.Unlock()
		co.sendHints(peers)
	case errors.As(err, &conflict):
		co.opt.Counters.Add(familySlots, "home-conflict", 1)
		co.mu.Lock()
		co.applyConflicts(conflict.Rows)
		co.mu.Unlock()
	default:
		co.opt.Counters.Add(familySlots, "home-commit-unknown", 1)
		return false
	}
	co.pending = nil
	return true
}

func (co *Controller) applyCommit(batch *claimBatch, version table.Version) {
	now := co.opt.Clock()
	for id, wait := range batch.claims {
		st := co.targets[id]
		if st == nil {
			// The target is no longer listed. Its row is deleted once the home is
			// idle.
			st = &targetState{gate: slotshare.NewGateWithClock(0, co.opt.Clock), vm: ids.VM{ID: string(id), State: ids.StateLeaving}}
			co.targets[id] = st
		}
		st.owner, st.version = co.opt.Self.Incarnation, version
		st.home = slotshare.NewHome[ids.Incarnation](st.gate, st.slots, co.opt.Terms, co.opt.Clock, now+wait)
		if co.leaving || st.vm.State == ids.StateLeaving {
			st.home.Drain()
		}
		reason := "home-claimed"
		if wait > 0 {
			reason = "home-taken-over"
		}
		co.opt.Counters.Add(familySlots, reason, 1)
	}
	for _, id := range batch.releases {
		st := co.targets[id]
		co.dropHome(st)
		st.owner, st.version, st.vacantSince, st.drainingSince = "", table.Absent, now, 0
		co.opt.Counters.Add(familySlots, "home-released", 1)
		// The next readTargets must run, to remove targets that are no longer
		// listed.
		co.configurationNumber = -1
	}
	co.dispatcher.SlotsChanged()
	co.opt.Log.Info().Int("claimed", len(batch.claims)).Int("released", len(batch.releases)).Msg("homes-changed")
}

// applyConflicts applies the rows that failed the checks of a commit. They come
// from the commit itself, so they are not stale.
func (co *Controller) applyConflicts(rows []table.Row) {
	for _, row := range rows {
		st := co.targets[ids.TargetID(row.Key[len(rowPrefix):])]
		if st == nil {
			continue
		}
		st.applyRow(row)
		if st.home != nil && st.owner != co.opt.Self.Incarnation {
			co.opt.Counters.Add(familySlots, "home-lost", 1)
			co.dropHome(st)
		}
	}
}

const (
	// moveMinAge is how long this entry must have had a stream to a better home
	// before targets move to it.
	moveMinAge = 2 * time.Second
	// drainTimeout limits how long the slots of a target stay unused in order to
	// move its home.
	drainTimeout = 3 * time.Second
	// moveRetry is the pause before the next attempt to move a home that did not
	// become idle in time.
	moveRetry = 10 * time.Second
	// moveDivisor limits the homes that drain at one time to 1/moveDivisor of all.
	moveDivisor = 8
)

// planMoves drains some homes for which another entry ranks first, such as one
// that has just started. The other homes follow once these have moved. It also
// drains all homes of targets that are no longer listed.
func (co *Controller) planMoves(candidates func(ids.VM) []entryView) {
	now := co.opt.Clock()
	homes, draining := 0, 0
	for _, st := range co.targets {
		if st.home == nil {
			continue
		}
		homes++
		if !st.home.Draining() {
			continue
		}
		draining++
		if st.vm.State == ids.StateLive && now-st.drainingSince > drainTimeout {
			st.home.Resume()
			co.opt.Counters.Add(familySlots, "home-move-abandoned", 1)
		}
	}
	for id, st := range co.targets {
		if st.home == nil || st.home.Draining() {
			continue
		}
		unlisted := st.vm.State == ids.StateLeaving && !co.isListed(id)
		if !unlisted && (draining >= max(1, homes/moveDivisor) || st.drainingSince != 0 && now-st.drainingSince < moveRetry || !co.hasBetterHome(id, st, candidates)) {
			continue
		}
		draining++
		st.drainingSince = now
		st.home.Drain()
	}
}

// hasBetterHome reports whether another entry ranks first for the target, and
// the stream to it is older than moveMinAge.
func (co *Controller) hasBetterHome(id ids.TargetID, st *targetState, candidates func(ids.VM) []entryView) bool {
	ranked := rank(id, candidates(st.vm))
	if len(ranked) == 0 || ranked[0].id == co.opt.Self.ID || ranked[0].incarnation == "" {
		return false
	}
	str := co.stream(ranked[0].incarnation)
	return co.opt.Clock()-str.createdAt > moveMinAge
}

func (co *Controller) isListed(id ids.TargetID) bool {
	if co.vms == nil {
		return false
	}
	for _, vm := range co.vms.Targets[co.targets[id].vm.Service] {
		if ids.TargetID(vm.ID) == id {
			return true
		}
	}
	return false
}

// Leave returns loans and releases all homes that become idle before ctx ends. It
// notifies the other entries of this zone and of the zones of these homes. Call
// it after the last request has finished. Homes that are still in use are taken
// over after Close.
func (co *Controller) Leave(ctx context.Context) {
	co.mu.Lock()
	co.leaving = true
	for _, st := range co.targets {
		if st.home != nil {
			st.home.Drain()
		}
	}
	co.mu.Unlock()
	tick := time.NewTicker(lendingTick)
	defer tick.Stop()
	for co.inUse() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	co.grp.Close()
	if co.pending != nil && !co.resolve(ctx) {
		return
	}
	co.mu.Lock()
	batch := &claimBatch{tx: table.Transaction{ID: uuid.NewString()}}
	for id, st := range co.targets {
		if st.home != nil && st.home.Idle() {
			batch.release(id, st)
		}
	}
	co.mu.Unlock()
	if len(batch.releases) > 0 {
		co.pending = batch
		co.resolve(ctx)
	}
}

// inUse counts the homes that are not idle and the loans not yet returned.
func (co *Controller) inUse() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	n := 0
	for _, st := range co.targets {
		if st.home != nil && !st.home.Idle() || st.home == nil && st.lender != "" {
			n++
		}
	}
	return n
}
