package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// life is what this entry knows of when an incarnation ran. Incarnations bear no
// order themselves, because the time of day of a VM may step back between two
// starts.
type life struct {
	// since is when this entry first heard of the incarnation. It had begun by
	// then.
	since time.Time
	// version is the lowest one of the rows that are known to name it, 0 for
	// none.
	version Version
}

// life returns what is known of an incarnation of another entry.
func (en *Entry) life(inc ids.Incarnation) *life {
	id := inc.Entry()
	if en.lives[id] == nil {
		en.lives[id] = map[ids.Incarnation]*life{}
	}
	li := en.lives[id][inc]
	if li == nil {
		li = &life{since: en.now()}
		en.lives[id][inc] = li
	}
	return li
}

// named notes that a row of the store names an incarnation.
func (en *Entry) named(inc ids.Incarnation, version Version) {
	if inc == "" || inc.Entry() == en.id {
		return
	}
	if li := en.life(inc); version > 0 && (li.version == 0 || version < li.version) {
		li.version = version
	}
}

// Answered tells that the entry at the other end of a session has answered a
// batch that was sent at a time. Its process ran then or later.
func (en *Entry) Answered(id ids.EntryID, sent time.Time) {
	se := en.session(id)
	if !sent.After(se.answered) {
		return
	}
	before := se.answered
	se.answered = sent
	for inc, li := range en.lives[id] {
		if inc != se.incarnation && !before.After(li.since) && sent.After(li.since) {
			en.claimsChanged = true
		}
	}
}

// Replaced tells whether an incarnation has surely ended, because its entry has
// begun a later one. Processes of one entry do not overlap, so an incarnation is
// the later one if it answers after the other was known, or if its row was
// written over a row that names the other. A difference alone proves nothing: a
// session with the earlier incarnation may not have ended yet, and the row of
// the later one may not have been read.
func (en *Entry) Replaced(inc ids.Incarnation) bool {
	id := inc.Entry()
	if id == en.id {
		return inc != en.self.Incarnation
	}
	if en.outlived(inc) {
		return true
	}
	li, mb := en.life(inc), en.members[id]
	if mb == nil || mb.Incarnation == inc || en.outlived(mb.Incarnation) {
		return false
	}
	return li.version > 0 && mb.Version > li.version
}

// outlived tells whether another incarnation has answered this entry after this
// one was known.
func (en *Entry) outlived(inc ids.Incarnation) bool {
	se := en.sessions[inc.Entry()]
	return se != nil && se.incarnation != inc && se.answered.After(en.life(inc).since)
}
