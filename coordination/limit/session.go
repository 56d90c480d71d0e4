package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// session is what a daemon knows of one owner that it reports to.
type session struct {
	id     state.DaemonID
	member state.Member // its life that answered last

	grantStamp int64     // of its newest Grant
	grantAt    time.Time // when that came

	lastStamp  int64     // of the newest Report to it
	lastSent   time.Time // when that left
	unanswered time.Time // when the oldest unanswered Report left; zero if none
	echoed     int64     // Stamp of the newest answered Report

	urgent  bool // a Report should leave as soon as MinGap permits
	leaving bool
}

// sessionState orders the choice of owners.
type sessionState int

const (
	sessionUntried sessionState = iota
	sessionAnswering
	sessionOut // silent or leaving
)

func (s *session) state(now time.Time, silentFor time.Duration) sessionState {
	switch {
	case s.leaving:
		return sessionOut
	case !s.unanswered.IsZero() && now.Sub(s.unanswered) > silentFor:
		return sessionOut
	case s.grantStamp == 0:
		return sessionUntried
	default:
		return sessionAnswering
	}
}

// sent notes that a Report left.
func (s *session) sent(now time.Time, stamp int64) {
	s.lastStamp = stamp
	s.lastSent = now
	s.urgent = false
	if s.unanswered.IsZero() {
		s.unanswered = now
	}
}

// answered applies the head of a Grant; false when the Grant is late, repeated
// or of an earlier life, and nothing in it counts.
func (s *session) answered(now time.Time, from state.Member, g Grant) bool {
	if from.Incarnation < s.member.Incarnation || g.Echo > s.lastStamp || g.Echo <= 0 {
		return false
	}
	if from.Incarnation > s.member.Incarnation {
		s.grantStamp = 0
	}
	if g.Stamp <= s.grantStamp {
		return false
	}
	s.member = from
	s.grantStamp = g.Stamp
	s.grantAt = now
	s.echoed = max(s.echoed, g.Echo)
	s.leaving = g.Leaving
	s.unanswered = time.Time{}
	if g.Echo < s.lastStamp {
		s.unanswered = s.lastSent
	}
	return true
}

// maySend reports whether an urgent Report can leave: one at a time, unless
// the one before seems lost.
func (s *session) maySend(now time.Time, cfg *Config) bool {
	return s.lastSent.IsZero() || !now.Before(s.sendableAt(cfg))
}

func (s *session) sendableAt(cfg *Config) time.Time {
	if s.unanswered.IsZero() {
		return s.lastSent.Add(cfg.MinReportInterval)
	}
	return s.lastSent.Add(cfg.ReportInterval)
}
