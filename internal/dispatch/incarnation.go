package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// incarnationRecord is the record of when an incarnation is known to have run.
// The names of incarnations have no order, because the wall clock of a VM may
// step back between two starts.
type incarnationRecord struct {
	// firstSeen is when this entry first received the name of the incarnation. The
	// incarnation had started by then.
	firstSeen time.Time
	// firstVersion is the lowest version among the rows read so far that name the
	// incarnation, 0 for none.
	firstVersion Version
}

// incarnationRecord returns the record of an incarnation of another entry and
// creates it if there is none.
func (en *Entry) incarnationRecord(inc ids.Incarnation) *incarnationRecord {
	id := inc.Entry()
	if en.incarnations[id] == nil {
		en.incarnations[id] = map[ids.Incarnation]*incarnationRecord{}
	}
	rec := en.incarnations[id][inc]
	if rec == nil {
		rec = &incarnationRecord{firstSeen: en.now()}
		en.incarnations[id][inc] = rec
	}
	return rec
}

// recordIncarnation records that a row of the store names an incarnation.
func (en *Entry) recordIncarnation(inc ids.Incarnation, version Version) {
	if inc == "" || inc.Entry() == en.id {
		return
	}
	if rec := en.incarnationRecord(inc); version > 0 && (rec.firstVersion == 0 || version < rec.firstVersion) {
		rec.firstVersion = version
	}
}

// Answered records that the entry at the other end of a session has answered a
// batch that was sent at the given time. Its process ran at that time or later.
func (en *Entry) Answered(id ids.EntryID, sent time.Time) {
	se := en.session(id)
	if !sent.After(se.lastAnswered) {
		return
	}
	before := se.lastAnswered
	se.lastAnswered = sent
	for inc, rec := range en.incarnations[id] {
		if inc != se.incarnation && !before.After(rec.firstSeen) && sent.After(rec.firstSeen) {
			en.claimsChanged = true
		}
	}
}

// Replaced reports whether an incarnation is known to have ended because its
// entry has started a later one. Processes of one entry do not overlap. One of
// two incarnations is therefore the later one if it answers after the name of
// the other was received, or if its row has a higher version than a row that
// names the other. That their names differ proves nothing: a session with the
// earlier one may still be up, and the row of the later one may not have been
// read yet.
func (en *Entry) Replaced(inc ids.Incarnation) bool {
	id := inc.Entry()
	if id == en.id {
		return inc != en.self.Incarnation
	}
	if en.laterAnswered(inc) {
		return true
	}
	rec, mb := en.incarnationRecord(inc), en.members[id]
	if mb == nil || mb.Incarnation == inc || en.laterAnswered(mb.Incarnation) {
		return false
	}
	return rec.firstVersion > 0 && mb.Version > rec.firstVersion
}

// laterAnswered reports whether another incarnation of the entry has answered
// after the name of this one was received.
func (en *Entry) laterAnswered(inc ids.Incarnation) bool {
	se := en.sessions[inc.Entry()]
	return se != nil && se.incarnation != inc && se.lastAnswered.After(en.incarnationRecord(inc).firstSeen)
}
