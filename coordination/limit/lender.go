package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// loan is the seat's newest loan of one shard.
type loan struct {
	owner state.Member
	until time.Time // on this clock: the owner surely stopped counting it
	stamp int64     // of the newest Report that lent it
}

// lender is the part of a Limiter that lends its seat.
type lender struct {
	cfg   *Config
	start time.Time
	loans []loan // by shard

	// contact is when the newest Report left that another daemon answered.
	contact time.Time

	stopped bool
}

func newLender(cfg *Config, start time.Time) *lender {
	return &lender{cfg: cfg, start: start, loans: make([]loan, cfg.Shards)}
}

// ready reports whether the seat can be lent at all.
//
// A new life waits until the loans of the one before have run out, and those
// that an owner took from it before it heard of the new one, which writes to
// all seats at once: it must reach those that the old one reaches within
// SilentFor. A daemon whose last round trip to another is old may have been paused for long and
// replaced by a later life that lends the same seat; the answer to its next
// Report tells it.
func (l *lender) ready(now time.Time) bool {
	holdOff := l.cfg.outlast(l.cfg.LoanTTL + l.cfg.OwnerTimeout)
	if l.stopped || now.Before(l.start.Add(holdOff)) {
		return false
	}
	alone := len(l.cfg.Seats) == 1
	return alone || !l.contact.IsZero() && now.Sub(l.contact) <= l.cfg.LoanTTL
}

// lend lends shard n to the owner of s, if no other owner may count the seat.
// The owner counts it for LoanLife from when it sent the Grant that the Report
// echoes, which is no later than when that Grant came.
func (l *lender) lend(now time.Time, n int, s *session, stamp int64) bool {
	ln := &l.loans[n]
	if s.grantStamp == 0 || ln.owner != s.member && now.Before(ln.until) {
		return false
	}
	if ln.owner != s.member {
		ln.until = time.Time{}
	}
	until := s.grantAt.Add(l.cfg.outlast(l.cfg.LoanTTL))
	if until.After(ln.until) {
		ln.until = until
	}
	ln.owner = s.member
	ln.stamp = stamp
	return true
}

// released applies an owner's word on which shards it counts the seat for: a
// loan that a later Report asked back, and that is not counted, has ended. It
// reports whether any has.
func (l *lender) released(from state.Member, g Grant) bool {
	ended := false
	for n := range l.loans {
		ln := &l.loans[n]
		if ln.owner == from && g.Echo > ln.stamp && g.Counted&(1<<n) == 0 && !ln.until.IsZero() {
			ln.until = time.Time{}
			ended = true
		}
	}
	return ended
}

// lentTo reports whether id may still count the seat for some shard.
func (l *lender) lentTo(now time.Time, id state.DaemonID) bool {
	for n := range l.loans {
		if l.loans[n].owner.ID == id && now.Before(l.loans[n].until) {
			return true
		}
	}
	return false
}
