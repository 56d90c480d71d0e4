package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// chooseOwner returns the owner of a shard to send reports and lend the seat to:
// the responsive one with the best rank. An owner that was not tried yet is chosen
// too, unless it would replace a responsive one. The latter is kept until the
// better-ranked owner has answered.
func (m *Limiter) chooseOwner(now time.Time, shard int) *session {
	var fallback *session
	for _, id := range m.ranks[shard] {
		s := m.session(id)
		if len(m.live) > 0 && !m.live[id] && id != m.cfg.Self.ID {
			continue
		}
		switch s.state(now, m.cfg.OwnerTimeout) {
		case sessionResponsive:
			return s
		case sessionNew:
			if !m.lendsTo(now, shard) {
				return s
			}
		case sessionUnavailable:
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

// lendsTo reports whether this seat lends shard to a responsive owner.
func (m *Limiter) lendsTo(now time.Time, shard int) bool {
	if m.lender == nil {
		return false
	}
	ln := m.lender.loans[shard]
	if !now.Before(ln.expires) {
		return false
	}
	return m.session(ln.owner.ID).state(now, m.cfg.OwnerTimeout) == sessionResponsive
}

func (m *Limiter) session(id state.DaemonID) *session {
	return m.sessions[m.owner.seatIndex[id]]
}

// reportDue reports whether a regular Report to the owner of s is due: to renew or
// reclaim loans, to report or request tokens, or to probe whether it answers
// again.
func (m *Limiter) reportDue(now time.Time, s *session) bool {
	sinceLast := now.Sub(s.lastSent)
	if m.lender != nil {
		if s.state(now, m.cfg.OwnerTimeout) == sessionNew && s.lastSent.IsZero() {
			return true
		}
		renew := m.cfg.LoanTTL/reportsPerLoan - m.cfg.ReportInterval/2
		if sinceLast >= renew && (m.lender.lentTo(now, s.id) || m.isChosen(now, s)) {
			return true
		}
	}
	if s.state(now, m.cfg.OwnerTimeout) == sessionUnavailable {
		return sinceLast >= m.cfg.LoanTTL/2
	}
	for _, e := range m.orderedEntries {
		if m.needsReport(now, e, s) {
			return true
		}
	}
	return false
}

// isChosen reports whether s is the chosen owner of any shard.
func (m *Limiter) isChosen(now time.Time, s *session) bool {
	for n := range m.ranks {
		if m.chooseOwner(now, n) == s {
			return true
		}
	}
	return false
}

// needsReport reports whether a Report to the owner of s is needed for e.
func (m *Limiter) needsReport(now time.Time, e *entry, s *session) bool {
	for i := range e.held {
		if e.unreported(&e.held[i], s) {
			return true
		}
	}
	if m.chooseOwner(now, e.shard) != s {
		return false
	}
	return len(e.pending) > 0 || e.targetTokens(m.cfg.ReportInterval) > e.tokens(now)
}
