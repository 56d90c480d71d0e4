package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// session is a daemon's state for one owner that it reports to.
type session struct {
	id     state.DaemonID
	member state.Member // the incarnation that answered last

	grantStamp int64     // Stamp of its newest Grant
	grantAt    time.Time // when that Grant was received

	lastStamp       int64     // Stamp of the newest Report to it
	lastSent        time.Time // when that Report was sent
	unansweredSince time.Time // when the oldest unanswered Report was sent; zero if none
	ackedStamp      int64     // Stamp of the newest answered Report

	urgent  bool // a Report should be sent as soon as MinReportInterval permits
	leaving bool // the owner is leaving
}

// sessionState is the state of an owner, for the choice of owners.
type sessionState int

const (
	sessionNew sessionState = iota
	sessionResponsive
	sessionUnavailable // unresponsive or leaving
)

func (s *session) state(now time.Time, timeout time.Duration) sessionState {
	switch {
	case s.leaving:
		return sessionUnavailable
	case !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > timeout:
		return sessionUnavailable
	case s.grantStamp == 0:
		return sessionNew
	default:
		return sessionResponsive
	}
}

// reportSent records that a Report was sent.
func (s *session) reportSent(now time.Time, stamp int64) {
	s.lastStamp = stamp
	s.lastSent = now
	s.urgent = false
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// acceptGrant applies the header of a Grant. It returns false if the Grant is late,
// duplicated or from an earlier incarnation, and so must be ignored.
func (s *session) acceptGrant(now time.Time, from state.Member, g Grant) bool {
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
	s.ackedStamp = max(s.ackedStamp, g.Echo)
	s.leaving = g.Leaving
	s.unansweredSince = time.Time{}
	if g.Echo < s.lastStamp {
		s.unansweredSince = s.lastSent
	}
	return true
}

// maySend reports whether an urgent Report can be sent: one at a time, unless the
// previous one seems to be lost.
func (s *session) maySend(now time.Time, cfg *Config) bool {
	return s.lastSent.IsZero() || !now.Before(s.sendableAt(cfg))
}

func (s *session) sendableAt(cfg *Config) time.Time {
	if s.unansweredSince.IsZero() {
		return s.lastSent.Add(cfg.MinReportInterval)
	}
	return s.lastSent.Add(cfg.ReportInterval)
}
