package following

import (
	"slices"
	"sort"
	"time"
)

const (
	// minOutage is the shortest time without any answer of the store that counts as an outage. It is below two
	// heartbeat intervals of a server, 1.2 s each, the shortest outage in which an entry can expire: its server has
	// renewed it at most one interval before, and it expires after three. It is above the time until a daemon that
	// hears of no answer calls the store itself.
	minOutage = 2 * time.Second
	// answerHistory is for how long answers of the store are remembered.
	answerHistory = 10 * time.Second
	// answerResolution is the time within which two answers count as one.
	answerResolution = 100 * time.Millisecond
)

// answerTimes are the times, in order, at which the store is known to have answered. Answers to other daemons become
// known late and out of order.
type answerTimes struct{ times []time.Time }

func (a *answerTimes) add(at time.Time) {
	i := sort.Search(len(a.times), func(i int) bool { return a.times[i].After(at) })
	if i > 0 && at.Sub(a.times[i-1]) < answerResolution || i < len(a.times) && a.times[i].Sub(at) < answerResolution {
		return
	}
	a.times = slices.Insert(a.times, i, at)
	oldest := a.times[len(a.times)-1].Add(-answerHistory)
	a.times = slices.DeleteFunc(a.times, func(t time.Time) bool { return t.Before(oldest) })
}

// availableSince returns since when the store has been answering at a time, without an outage in between. It returns
// that time itself if it has not answered in the minOutage before.
func (a *answerTimes) availableSince(at time.Time) time.Time {
	since := at
	for i := sort.Search(len(a.times), func(i int) bool { return a.times[i].After(at) }) - 1; i >= 0; i-- {
		if since.Sub(a.times[i]) >= minOutage {
			break
		}
		since = a.times[i]
	}
	return since
}

// StoreReached records when the store received a call that it has answered: it holds a call without news.
func (m *Machine) StoreReached(at time.Time) { m.answers.add(at) }

// RecoveredAt returns when the store's last outage ended, as far as it is known; zero if there was none. Answers that
// become known later may show that there was none.
//
// Guard (one-followers-outage): one daemon's failed calls are no outage. That daemon may have been cut off or have
// stood still, while the store answered others.
func (m *Machine) RecoveredAt() time.Time {
	return later(m.ownRecovery(), m.answers.availableSince(m.reportedRecovery))
}

// ownRecovery returns when the last outage ended that this daemon noticed by its own calls.
func (m *Machine) ownRecovery() time.Time { return m.peerAnswers.availableSince(m.recoveredAt) }

// answeredPeer records that the store has answered another daemon.
func (m *Machine) answeredPeer(at time.Time) {
	m.answeredOtherAt = later(m.answeredOtherAt, at)
	m.peerAnswers.add(at)
	m.answers.add(at)
}

// recordRecovery records that a follower reports the end of an outage.
func (m *Machine) recordRecovery(now time.Time, a Announcement) {
	if a.RecoveredFor > 0 && !a.StoreFailing {
		m.reportedRecovery = later(m.reportedRecovery, now.Add(-a.RecoveredFor))
	}
}
