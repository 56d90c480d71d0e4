package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// choose returns the owner to ask and to lend to for a shard: the first by rank
// that answers. One that was not tried yet is taken unless it would replace an
// owner that answers; that one is kept until the better has answered too.
func (m *Limiter) choose(now time.Time, shard int) *session {
	var fallback *session
	for _, id := range m.ranks[shard] {
		s := m.session(id)
		if len(m.live) > 0 && !m.live[id] && id != m.cfg.Self.ID {
			continue
		}
		switch s.state(now, m.cfg.OwnerTimeout) {
		case sessionAnswering:
			return s
		case sessionUntried:
			if !m.lends(now, shard) {
				return s
			}
		case sessionOut:
		}
		if fallback == nil {
			fallback = s
		}
	}
	if fallback == nil {
		fallback = m.session(m.ranks[shard][0])
	}
	return fallback
}

// lends reports whether this seat lends shard to an owner that answers.
func (m *Limiter) lends(now time.Time, shard int) bool {
	if m.lender == nil {
		return false
	}
	ln := m.lender.loans[shard]
	if !now.Before(ln.until) {
		return false
	}
	return m.session(ln.owner.ID).state(now, m.cfg.OwnerTimeout) == sessionAnswering
}

func (m *Limiter) session(id state.DaemonID) *session {
	return m.sessions[m.owner.seatIndex[id]]
}

// due reports whether a regular Report to the owner of s is to leave: to renew
// or ask back loans, to tell of tokens, or to see whether it answers again.
func (m *Limiter) due(now time.Time, s *session) bool {
	quiet := now.Sub(s.lastSent)
	if m.lender != nil {
		if s.state(now, m.cfg.OwnerTimeout) == sessionUntried && s.lastSent.IsZero() {
			return true
		}
		renew := m.cfg.LoanTTL/renewals - m.cfg.ReportInterval/2
		if quiet >= renew && (m.lender.lentTo(now, s.id) || m.chosen(now, s)) {
			return true
		}
	}
	if s.state(now, m.cfg.OwnerTimeout) == sessionOut {
		return quiet >= m.cfg.LoanTTL/2
	}
	for _, e := range m.order {
		if m.wants(now, e, s) {
			return true
		}
	}
	return false
}

// chosen reports whether s is chosen for any shard.
func (m *Limiter) chosen(now time.Time, s *session) bool {
	for n := range m.ranks {
		if m.choose(now, n) == s {
			return true
		}
	}
	return false
}

// wants reports whether there is something to say to the owner of s on e.
func (m *Limiter) wants(now time.Time, e *entry, s *session) bool {
	for i := range e.held {
		if e.untold(&e.held[i], s) {
			return true
		}
	}
	if m.choose(now, e.shard) != s {
		return false
	}
	return len(e.pending) > 0 || e.target(m.cfg.ReportInterval) > e.tokens(now)
}
