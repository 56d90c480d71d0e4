package lease

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table is the name of the table that holds the rows; the row key is the service ID.
const Table = "leases"

// Row is the value of one lease row.
type Row struct {
	// Holder is the zero Member after the lease was released.
	Holder   state.Member        `json:"holder"`
	Fencing  state.FencingNumber `json:"fencing"`
	Nonce    state.Nonce         `json:"nonce"`
	Renewals uint64              `json:"renewals"`

	// Clean is set by a release: no order of the last holder was in flight.
	Clean bool `json:"clean,omitempty"`
}

// Released reports whether the row has no holder.
func (r Row) Released() bool {
	return r.Holder == state.Member{}
}

// StoredRow is a row with its revision in the table service. Revision 0 means that the row does
// not exist.
type StoredRow struct {
	Service  state.ServiceID
	Revision uint64
	Row      Row
}

// Write writes Row if the stored revision is still Revision.
type Write struct {
	Service  state.ServiceID
	Revision uint64
	Row      Row
}

// attempt is a write by this daemon that may still take effect.
type attempt struct {
	nonce    state.Nonce
	renewals uint64
	sent     time.Time
}

func (a attempt) matches(r Row) bool {
	return a.nonce == r.Nonce && a.renewals == r.Renewals
}

// lease is the local state of one row.
type lease struct {
	service state.ServiceID
	rank    int // position among the candidates; -1 if this daemon is none

	everRead   bool // the row was read at least once
	observed   StoredRow
	observedAt time.Time // when observed.Revision was first received

	answeredAt time.Time // when the last answer that contained the row was received

	attempts      []attempt // since observed.Revision was received; one may still take effect
	writeInFlight bool      // a Commit is in flight
	readInFlight  bool
	unresolved    bool      // the outcome of a write is unknown: read before writing again
	nextRead      time.Time // when to read again
	writeAfter    time.Time // earliest next write after a failed one
	failures      int       // consecutive unanswered calls

	nonce           state.Nonce // of this daemon's acquisition, while it holds the row
	renewalCount    uint64      // renewals used so far, sent or not
	confirmedSentAt time.Time   // of the last confirmed write; zero if not the holder
	renewalSentAt   time.Time   // when the last renewal was sent
	clean           bool        // the row was new, or released with no order in flight
	releasing       bool
	fencingRejected bool                // a backend server has accepted a higher fencing number
	fencingFloor    state.FencingNumber // the fencing number must become higher than this
	releaseClean    bool

	lastStatus Status // the last Status emitted
}

// isHolder reports whether the row as last observed is held by this daemon's acquisition.
func (l *lease) isHolder(self state.Member) bool {
	return l.everRead && l.observed.Revision > 0 && l.observed.Row.Holder == self && l.observed.Row.Nonce == l.nonce
}

// renewableBy reports whether this daemon may renew or release the row. It may not after a
// backend server has rejected the row's fencing number: the row is then acquired again, with a
// higher fencing number, once it has been unchanged for the lease duration.
func (l *lease) renewableBy(self state.Member) bool {
	return l.isHolder(self) && !l.fencingRejected
}

// observe applies a stored row and resolves the writes that it decides.
func (l *lease) observe(now time.Time, s StoredRow, self state.Member) {
	if l.everRead && s.Revision < l.observed.Revision {
		return // an older read that was answered late
	}
	if !l.everRead || s.Revision != l.observed.Revision {
		l.everRead = true
		l.observedAt = now
		l.resolveAttempts(s, self)
	}
	l.observed = s
	if !l.isHolder(self) {
		l.confirmedSentAt = time.Time{}
	}
}

// resolveAttempts finds the write of this daemon that produced s, if any. All attempts are
// resolved then, because each was conditional on an older revision.
func (l *lease) resolveAttempts(s StoredRow, self state.Member) {
	for _, a := range l.attempts {
		if s.Row.Holder != self || !a.matches(s.Row) {
			continue
		}
		if a.nonce != l.nonce {
			l.nonce = a.nonce
			l.renewalCount = a.renewals
			l.clean = l.observed.Revision == 0 || (l.observed.Row.Released() && l.observed.Row.Clean)
			l.fencingRejected = false
		}
		l.confirmedSentAt = a.sent
	}
	l.attempts = nil
}
