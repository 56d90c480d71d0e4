package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// loan is the seat's newest loan of one shard.
type loan struct {
	owner   state.Member
	expires time.Time // on this clock; the owner no longer counts the seat then
	stamp   int64     // Stamp of the newest Report that lent it
}

// lender is the part of a Limiter that lends its seat.
type lender struct {
	cfg   *Config
	start time.Time
	loans []loan // by shard

	// lastContact is when the newest Report that another daemon has answered was
	// sent.
	lastContact time.Time

	stopped bool
}

func newLender(cfg *Config, start time.Time) *lender {
	return &lender{cfg: cfg, start: start, loans: make([]loan, cfg.Shards)}
}

// ready reports whether the seat can be lent at all.
//
// A new incarnation waits until the loans of the previous one have expired. They
// include loans that an owner accepted from the previous one before it knew of the
// new one. The new one sends a Report to all seats at once; it must reach those
// that the previous one reaches within OwnerTimeout.
//
// A daemon whose last round trip to another one is old may have been paused for
// long and replaced by a later incarnation that lends the same seat. The answer to
// its next Report shows this.
func (l *lender) ready(now time.Time) bool {
	holdOff := l.cfg.addClockDrift(l.cfg.LoanTTL + l.cfg.OwnerTimeout)
	if l.stopped || now.Before(l.start.Add(holdOff)) {
		return false
	}
	onlySeat := len(l.cfg.Seats) == 1
	return onlySeat || !l.lastContact.IsZero() && now.Sub(l.lastContact) <= l.cfg.LoanTTL
}

// lend lends shard n to the owner of s if no other owner may count the seat. The
// owner counts it for LoanTTL from the moment when it sent the Grant that the
// Report echoes. The loan counts here from when that Grant was received, which is
// not earlier.
func (l *lender) lend(now time.Time, n int, s *session, stamp int64) bool {
	ln := &l.loans[n]
	if s.grantStamp == 0 || ln.owner != s.member && now.Before(ln.expires) {
		return false
	}
	if ln.owner != s.member {
		ln.expires = time.Time{}
	}
	until := s.grantAt.Add(l.cfg.addClockDrift(l.cfg.LoanTTL))
	if until.After(ln.expires) {
		ln.expires = until
	}
	ln.owner = s.member
	ln.stamp = stamp
	return true
}

// releaseLoans applies an owner's list of the shards for which it counts the seat.
// A loan that a later Report has reclaimed and that the owner does not count has
// ended. It reports whether any loan has ended.
func (l *lender) releaseLoans(from state.Member, g Grant) bool {
	ended := false
	for n := range l.loans {
		ln := &l.loans[n]
		if ln.owner == from && g.Echo > ln.stamp && g.Counted&(1<<n) == 0 && !ln.expires.IsZero() {
			ln.expires = time.Time{}
			ended = true
		}
	}
	return ended
}

// lentTo reports whether id may still count the seat for some shard.
func (l *lender) lentTo(now time.Time, id state.DaemonID) bool {
	for n := range l.loans {
		if l.loans[n].owner.ID == id && now.Before(l.loans[n].expires) {
			return true
		}
	}
	return false
}
