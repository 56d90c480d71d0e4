package following

import "time"

// minOutage is the shortest time without any answer of the store that counts as an outage. It is below two heartbeat
// intervals of a server, 1.2 s each, the shortest outage in which an entry can expire: its server has renewed it at
// most one interval before, and it expires after three. It is above the time until a daemon that hears of no answer
// calls the store itself.
const minOutage = 2 * time.Second

// answerRun is a time in which the store is known to have been available: it has answered again and again, with less
// than minOutage in between.
type answerRun struct{ since, last time.Time }

// add records that the store was available at a time.
func (r *answerRun) add(at time.Time) {
	if r.last.IsZero() || at.Sub(r.last) >= minOutage {
		r.since = at
	}
	r.last = later(r.last, at)
}

// sinceBefore returns since when the store was available at a time, or that time if nothing is known of it.
func (r *answerRun) sinceBefore(at time.Time) time.Time {
	if r.last.IsZero() || at.Before(r.since) || at.Sub(r.last) >= minOutage {
		return at
	}
	return r.since
}

// StoreReached records when the store received a call that it has answered: it holds a call without news.
func (m *Machine) StoreReached(at time.Time) { m.answers.add(at) }

// AvailableSince returns since when the store has been available, given that a daemon reports that the store has
// answered it again since a time.
//
// Guard (one-followers-outage): the failure of one daemon's calls is no outage. That daemon may have been cut off or
// have stood still, while the store answered others.
func (m *Machine) AvailableSince(reported time.Time) time.Time {
	return m.answers.sinceBefore(reported)
}

// RecoveredAt returns when the last outage of the store that this daemon noticed by its own calls ended; zero if there
// was none.
func (m *Machine) RecoveredAt() time.Time { return m.recoveredAt }

// answeredPeer records that the store has answered another daemon.
func (m *Machine) answeredPeer(at time.Time) {
	m.answeredOtherAt = later(m.answeredOtherAt, at)
	m.peerAnswers.add(at)
	m.answers.add(at)
}
