package lease

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table is the name of the table that holds the rows; a row's key is the
// service.
const Table = "leases"

// Row is the value of one lease row.
type Row struct {
	// Holder is the zero Member once the lease was released.
	Holder   state.Member        `json:"holder"`
	Fencing  state.FencingNumber `json:"fencing"`
	Nonce    state.Nonce         `json:"nonce"`
	Renewals uint64              `json:"renewals"`

	// Clean is set by a release: no order of the last holder was under way.
	Clean bool `json:"clean,omitempty"`
}

// Released reports whether nobody holds the row.
func (r Row) Released() bool {
	return r.Holder == state.Member{}
}

// Stored is a row as the table service has it. Revision 0 means that the row
// does not exist.
type StoredRow struct {
	Service  state.ServiceID
	Revision uint64
	Row      Row
}

// Write puts Row if the stored revision is still Revision.
type Write struct {
	Service  state.ServiceID
	Revision uint64
	Row      Row
}

// attempt is one write of ours that may yet take effect.
type attempt struct {
	nonce    state.Nonce
	renewals uint64
	sent     time.Time
}

func (a attempt) made(r Row) bool {
	return a.nonce == r.Nonce && a.renewals == r.Renewals
}

// lease is what this daemon knows of one row.
type lease struct {
	service state.ServiceID
	rank    int // this daemon's place in the order of candidates; -1 if in none

	known bool // the row was read at least once
	seen  StoredRow
	since time.Time // when seen.Revision was first seen

	readAt time.Time // when the last answer that showed the row was taken in

	attempts []attempt // since seen.Revision was first seen; one may yet take effect
	writing  bool      // a Commit is under way
	reading  bool
	doubt    bool      // a write's fate is unknown: read before writing again
	nextRead time.Time // when to read again
	nextTry  time.Time // earliest next write after a failed one
	failures int       // calls in a row that were not answered

	nonce     state.Nonce // of our acquisition, while the row is ours
	counter   uint64      // renewals used so far, sent or not
	proved    time.Time   // when the last write proved done was sent; zero if not ours
	renewed   time.Time   // when the last renewal was sent
	clean     bool        // the holder before us released with no order under way
	releasing bool
	overtaken bool                // a backend server saw a higher fencing number
	above     state.FencingNumber // our number must become higher than it
	relClean  bool

	told Status // the last Status given out
}

// mine reports whether the row, as far as known, names this daemon.
func (l *lease) mine(self state.Member) bool {
	return l.known && l.seen.Revision > 0 && l.seen.Row.Holder == self && l.seen.Row.Nonce == l.nonce
}

// owned reports whether the row is this daemon's to renew or release. A row of
// ours whose number a backend server called old is not: it is taken anew, with a
// higher number, once it has stood unchanged for the term.
func (l *lease) owned(self state.Member) bool {
	return l.mine(self) && !l.overtaken
}

// learn takes in a stored row and settles the writes that it decides.
func (l *lease) learn(now time.Time, s StoredRow, self state.Member) {
	if l.known && s.Revision < l.seen.Revision {
		return // an older read that was answered late
	}
	if !l.known || s.Revision != l.seen.Revision {
		l.known = true
		l.since = now
		l.settle(s, self)
	}
	l.seen = s
	if !l.mine(self) {
		l.proved = time.Time{}
	}
}

// settle finds the write of ours that made s, if one did. All are decided then:
// each was conditional on an older revision.
func (l *lease) settle(s StoredRow, self state.Member) {
	for _, a := range l.attempts {
		if s.Row.Holder != self || !a.made(s.Row) {
			continue
		}
		if a.nonce != l.nonce {
			l.nonce = a.nonce
			l.counter = a.renewals
			l.clean = l.seen.Revision == 0 || (l.seen.Row.Released() && l.seen.Row.Clean)
			l.overtaken = false
		}
		l.proved = a.sent
	}
	l.attempts = nil
}
