package following

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// FollowerCount is how many daemons follow a feed: one more than may fail at once.
	FollowerCount = 2
	// AnnounceInterval is how often a follower sends announcements if nothing changes.
	AnnounceInterval = 500 * time.Millisecond
	// AnnouncementTTL is how long a follower's announcement is valid: two lost ones cost a read.
	AnnouncementTTL = 1200 * time.Millisecond
	// forgetAfter is how long the last announcement of a follower is kept.
	forgetAfter = 10 * AnnouncementTTL
	// changeTimeout is how long announced changes may be in flight.
	changeTimeout = 150 * time.Millisecond
	// cooldown is how long a daemon that is no follower uses the store's last answer before it
	// queries the store again: with a call that is held for a second, and an unresponsive
	// connection in between, it still receives a change within 2 s.
	cooldown = 700 * time.Millisecond
	// reducedRate is how many calls per second all daemons together make to a store that does not
	// answer its followers, to find out whether it refuses only those.
	reducedRate = 4.0
	// minReducedInterval is the minimum time between two such calls of one daemon.
	minReducedInterval = time.Second
)

// Mode is how a daemon receives changes.
type Mode int32

// The values of Mode.
const (
	// ModeStore means that the daemon follows the store itself.
	ModeStore Mode = iota
	// ModeStoreReduced is like ModeStore, but the daemon queries an unavailable store less often,
	// since followers query it frequently.
	ModeStoreReduced
	// ModePeers means that the daemon receives changes from followers.
	ModePeers
	// ModeCooldown means that the store has just confirmed the state, and no query is necessary
	// yet.
	ModeCooldown
)

// Announcement reports a follower's state of a feed.
type Announcement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Origin       state.Member  `msgpack:"root"` // the follower
	Feed         string        `msgpack:"feed"`
	Sent         time.Duration `msgpack:"sent"`     // by the follower's monotonic clock
	Revision     uint64        `msgpack:"revision"` // up to which the feed is known
	LastChange   uint64        `msgpack:"changed"`  // no row changed after it, up to Revision
	StoreAge     time.Duration `msgpack:"age"`      // since the store last answered
	StoreFailing bool          `msgpack:"failing"`  // the store does not answer the follower
	// RecoveredFor is how long the store has been answering again after calls of the follower failed; 0
	// if none has. Machine.RecoveredAt judges whether that was an outage.
	RecoveredFor time.Duration `msgpack:"recovered"`
	// Rows are the encoded rows that changed after RowsAfter; empty for none.
	RowsAfter uint64 `msgpack:"after"`
	Rows      []byte `msgpack:"rows"`
}

// Daemon is a participating daemon.
type Daemon struct {
	ID     state.DaemonID
	Domain state.FailureDomain
	// Eligible is false for a daemon that is suspected or about to stop: it receives announcements,
	// but is not chosen as a follower.
	Eligible bool
}

// ReceiveResult is how a received announcement is to be handled.
type ReceiveResult int

// The values of ReceiveResult.
const (
	ResultIgnore  ReceiveResult = iota // contains nothing new
	ResultAdvance                      // no row changed, but the revision is higher
	ResultApply                        // its rows are the next ones
)

// Machine is one daemon's state machine for one feed. It is not safe for concurrent use.
type Machine struct {
	self            state.Member
	feed            string
	maxStoreAge     time.Duration
	clockOrigin     time.Time // origin of this daemon's monotonic clock
	daemons         []Daemon
	followers       []state.DaemonID
	forwardTargets  map[state.DaemonID][]state.DaemonID // by root, for the current daemons
	peers           map[state.DaemonID]*peerState
	lastPeerAnswer  peerState // the last answer of any daemon that was queried
	revision        uint64
	known           bool
	lastChange      uint64
	missingSince    time.Time // since when a higher revision is known to exist; zero if there is none
	missingRevision uint64    // that revision

	storeAnsweredAt time.Time // when the store last answered, to this daemon or to the one that reported it
	storeFailing    bool
	storeFailedAt   time.Time // when the store last did not answer this daemon
	answeredOtherAt time.Time // when the store is last known to have answered another daemon
	substitute      bool      // substitutes for the chosen followers
	recoveredAt     time.Time // when the store last answered this daemon again; zero if it never failed to
	// reportedRecovery is the latest end of an outage that a follower has reported.
	reportedRecovery time.Time
	answers          answerTimes // of the store to any daemon
	peerAnswers      answerTimes // of the store to other daemons
	nextAnnounce     time.Time
}

// peerState is the last announcement of one follower.
type peerState struct {
	incarnation  state.Incarnation
	sentAt       time.Duration // by the follower's monotonic clock
	receivedAt   time.Time     // when it arrived
	minOffset    time.Duration
	storeAge     time.Duration // of the store's answer when the announcement arrived
	storeFailing bool
}

// New returns a machine that knows of no other daemon. A follower's announcement is valid while the
// store's last answer to it is no older than maxStoreAge, which must exceed the time for which the
// store holds a call without news.
func New(self state.Member, feed string, maxStoreAge time.Duration, now time.Time) *Machine {
	return &Machine{
		self: self, feed: feed, maxStoreAge: maxStoreAge, clockOrigin: now,
		forwardTargets: make(map[state.DaemonID][]state.DaemonID), peers: make(map[state.DaemonID]*peerState),
	}
}

// SetMembers sets the participating daemons, sorted by ID and including this one.
func (m *Machine) SetMembers(daemons []Daemon) {
	m.daemons = daemons
	m.followers = chooseFollowers(daemons)
	clear(m.forwardTargets)
}

// chooseFollowers chooses the followers: the last daemons by ID, each in a failure domain of its
// own if possible. The first daemons by ID have other roles.
func chooseFollowers(daemons []Daemon) []state.DaemonID {
	var out, rest []state.DaemonID
	used := make(map[state.FailureDomain]bool)
	for i := len(daemons) - 1; i >= 0; i-- {
		d := daemons[i]
		switch {
		case !d.Eligible:
		case used[d.Domain]:
			rest = append(rest, d.ID)
		default:
			used[d.Domain] = true
			out = append(out, d.ID)
		}
	}
	out = append(out, rest...)
	return out[:min(len(out), FollowerCount)]
}

// IsFollower reports whether this daemon is a chosen follower of the feed.
func (m *Machine) IsFollower() bool {
	for _, id := range m.followers {
		if id == m.self.ID {
			return true
		}
	}
	return false
}

// Mode returns how this daemon receives changes.
func (m *Machine) Mode(now time.Time) Mode {
	if !m.known || m.IsAnnouncing(now) || m.overdue(now) {
		return ModeStore
	}
	failing, old := false, false
	for id, p := range m.peers {
		switch {
		case now.Sub(p.receivedAt) > AnnouncementTTL:
		case !p.storeFailing && now.Sub(p.receivedAt)+p.storeAge <= m.maxStoreAge:
			return ModePeers
		case m.isChosen(id):
			failing = failing || p.storeFailing
			old = old || !p.storeFailing
		}
	}
	switch {
	case now.Sub(m.lastPeerAnswer.receivedAt) <= AnnouncementTTL && now.Sub(m.lastPeerAnswer.receivedAt)+m.lastPeerAnswer.storeAge <= m.maxStoreAge:
		return ModePeers
	case failing && !old:
		return ModeStoreReduced // if another one is merely waiting for an answer, the store may be available
	case !failing && !m.storeFailing && now.Sub(m.storeAnsweredAt) < cooldown:
		return ModeCooldown
	}
	return ModeStore
}

// overdue reports whether announced changes are overdue.
func (m *Machine) overdue(now time.Time) bool {
	return !m.missingSince.IsZero() && now.Sub(m.missingSince) >= changeTimeout
}

// OverdueRevision returns the announced revision that this daemon is missing; false if it is
// missing none.
func (m *Machine) OverdueRevision(now time.Time) (uint64, bool) {
	return m.missingRevision, m.known && m.overdue(now)
}

// ReducedPollInterval returns the time between two calls of a daemon in ModeStoreReduced. It grows
// with the number of daemons: if each queried both feeds once per second, 195 daemons would make
// over 3,000 calls in an outage of 8 s (calculated).
func (m *Machine) ReducedPollInterval() time.Duration {
	wait := time.Duration(float64(len(m.daemons)) / reducedRate * float64(time.Second))
	return max(wait, minReducedInterval)
}

func (m *Machine) isChosen(id state.DaemonID) bool {
	return slices.Contains(m.followers, id)
}

// IsAnnouncing reports whether this daemon sends announcements now: it is a chosen follower, or it
// substitutes for the chosen ones and they are still failing.
func (m *Machine) IsAnnouncing(now time.Time) bool {
	return m.IsFollower() || m.substitute && m.substituteNeeded(now)
}

// substituteNeeded reports whether this daemon, if the store answers it, is to substitute for the
// chosen followers, which announce that the store does not answer them.
//
// Guard (all-stand-in): if membership views differ, each daemon has different chosen followers, and
// many daemons would act as substitutes at the same time, each sending every change to all. Only
// the last one by ID of those that receive each other's announcements continues.
func (m *Machine) substituteNeeded(now time.Time) bool {
	failing := false
	for id, p := range m.peers {
		switch {
		case now.Sub(p.receivedAt) > AnnouncementTTL:
		case !p.storeFailing && (m.isChosen(id) || id > m.self.ID):
			return false
		case p.storeFailing && m.isChosen(id):
			failing = true
		}
	}
	return failing
}

// SendsRows reports whether this daemon is the one that forwards rows: the first of the chosen
// followers that the store answers, or a substitute.
func (m *Machine) SendsRows(now time.Time) bool {
	for _, id := range m.followers {
		if id == m.self.ID {
			return true
		}
		if p, ok := m.peers[id]; ok && !p.storeFailing && now.Sub(p.receivedAt) <= AnnouncementTTL {
			return false
		}
	}
	return m.IsAnnouncing(now)
}

// StoreAnswered records an answer of the store, with all changes up to a revision.
func (m *Machine) StoreAnswered(now time.Time, revision uint64, changes bool) {
	if m.storeFailing {
		m.recoveredAt = now
	}
	m.answers.add(now)
	if changes || m.storeFailing {
		m.nextAnnounce = now
	}
	m.storeFailing = false
	m.storeAnsweredAt = now
	m.substitute = !m.IsFollower() && m.substituteNeeded(now)
	m.AdvanceTo(revision, changes)
}

// LoadedFromPeer records that the whole feed was loaded from another daemon, as confirmed by the
// store at the given age.
func (m *Machine) LoadedFromPeer(now time.Time, revision uint64, age time.Duration) {
	m.lastPeerAnswer = peerState{receivedAt: now, storeAge: age}
	m.storeAnsweredAt = now.Add(-age)
	m.answeredPeer(m.storeAnsweredAt)
	m.AdvanceTo(revision, true)
}

// AdvanceTo records that the feed is known up to a revision.
func (m *Machine) AdvanceTo(revision uint64, changes bool) {
	m.known = true
	if changes {
		m.lastChange = max(m.lastChange, revision)
	}
	m.revision = max(m.revision, revision)
	if m.revision >= m.missingRevision {
		m.missingSince = time.Time{}
	}
}

// ConfirmedByPeer records that another daemon knows the feed up to a revision, without changes
// since the local state, as confirmed by the store at the given age.
func (m *Machine) ConfirmedByPeer(now time.Time, revision uint64, age time.Duration) {
	m.lastPeerAnswer = peerState{receivedAt: now, storeAge: age}
	m.storeAnsweredAt = later(m.storeAnsweredAt, now.Add(-age))
	m.answeredPeer(now.Add(-age))
	if m.known {
		m.AdvanceTo(revision, false)
	}
}

// StoreFailed records that the store did not answer this daemon.
func (m *Machine) StoreFailed(now time.Time) {
	if !m.storeFailing {
		m.nextAnnounce = now
	}
	m.storeFailing = true
	m.storeFailedAt = now
	m.substitute = false
}

// StoreFailing reports whether the store is not known to answer any daemon.
func (m *Machine) StoreFailing(now time.Time) bool {
	return m.storeFailing && !m.answeredOtherAt.After(m.storeFailedAt) || m.Mode(now) == ModeStoreReduced
}

// Revision returns the revision up to which the feed is known; false before the first answer.
func (m *Machine) Revision() (uint64, bool) { return m.revision, m.known }

// LastChange returns the revision after which no row has changed.
func (m *Machine) LastChange() uint64 { return m.lastChange }

// IsNew reports whether an announcement is newer than the last one received from its follower, and
// is to be forwarded. Daemons with different membership views, as after a start, have different
// trees, in which an announcement may come back to a daemon that has forwarded it.
func (m *Machine) IsNew(a Announcement) bool {
	if a.Origin.ID == m.self.ID {
		return false
	}
	p, ok := m.peers[a.Origin.ID]
	if !ok || a.Origin.Incarnation > p.incarnation {
		return true
	}
	return a.Origin.Incarnation == p.incarnation && a.Sent > p.sentAt
}

// Receive handles a follower's announcement. If the result is not ResultIgnore, AdvanceTo must be
// called with its revision once its rows are applied.
func (m *Machine) Receive(now time.Time, a Announcement) ReceiveResult {
	m.forgetUnresponsive(now)
	if m.IsNew(a) {
		m.recordPeer(now, a)
	}
	m.recordRecovery(now, a)
	if a.LastChange > m.revision {
		m.recordMissing(now, a.LastChange)
	}
	switch {
	case !m.known || a.Revision <= m.revision:
		return ResultIgnore
	case m.revision >= a.LastChange:
		return ResultAdvance
	case len(a.Rows) > 0 && m.revision >= a.RowsAfter:
		return ResultApply
	}
	return ResultIgnore
}

// recordMissing records that a change is announced that is not known here. It is missing until it
// is known, whatever else is received: otherwise the announcement would confirm a state without it.
func (m *Machine) recordMissing(now time.Time, revision uint64) {
	if m.missingSince.IsZero() {
		m.missingSince = now
	}
	m.missingRevision = max(m.missingRevision, revision)
}

// recordPeer records a follower's announcement. The difference between the two daemons' clocks is
// smallest for an announcement without delay: the excess over this minimum is the delay of this
// announcement.
func (m *Machine) recordPeer(now time.Time, a Announcement) {
	offset := now.Sub(m.clockOrigin) - a.Sent
	p, ok := m.peers[a.Origin.ID]
	if !ok || p.incarnation != a.Origin.Incarnation {
		p = &peerState{incarnation: a.Origin.Incarnation, minOffset: offset}
		m.peers[a.Origin.ID] = p
	}
	p.minOffset = min(p.minOffset, offset)
	p.sentAt, p.receivedAt, p.storeAge, p.storeFailing = a.Sent, now, a.StoreAge+offset-p.minOffset, a.StoreFailing
	m.answeredPeer(now.Add(-p.storeAge))
}

// forgetUnresponsive drops the followers without a new announcement for a long time. A follower
// whose incarnation number decreased because its wall clock was set back is accepted again after
// that.
func (m *Machine) forgetUnresponsive(now time.Time) {
	maps.DeleteFunc(m.peers, func(_ state.DaemonID, p *peerState) bool { return now.Sub(p.receivedAt) > forgetAfter })
}

// Age returns how long ago the feed was last known to be complete, by the store's answer to this
// daemon or to a follower whose last change is known here.
func (m *Machine) Age(now time.Time) time.Duration {
	age := now.Sub(m.clockOrigin)
	if !m.storeAnsweredAt.IsZero() {
		age = now.Sub(m.storeAnsweredAt)
	}
	if !m.known || !m.missingSince.IsZero() {
		return age
	}
	for _, p := range m.peers {
		age = min(age, now.Sub(p.receivedAt)+p.storeAge)
	}
	return age
}

// Announce returns the announcement to send now, if one is due. The caller sets Rows and RowsAfter.
func (m *Machine) Announce(now time.Time) (Announcement, bool) {
	if !m.known || !m.IsAnnouncing(now) || len(m.daemons) < 2 || now.Before(m.nextAnnounce) {
		return Announcement{}, false
	}
	m.nextAnnounce = now.Add(AnnounceInterval)
	a := Announcement{
		Origin: m.self, Feed: m.feed, Sent: now.Sub(m.clockOrigin), Revision: m.revision, LastChange: m.lastChange,
		StoreAge: now.Sub(m.storeAnsweredAt), StoreFailing: m.storeFailing,
	}
	if !m.recoveredAt.IsZero() {
		a.RecoveredFor = now.Sub(m.ownRecovery())
	}
	return a, true
}

// NextTick returns when Announce is due or Mode may change by itself; zero for never.
func (m *Machine) NextTick(now time.Time) time.Time {
	if !m.known || len(m.daemons) < 2 && m.Mode(now) != ModeCooldown {
		return time.Time{}
	}
	if m.IsAnnouncing(now) {
		return m.nextAnnounce
	}
	var next time.Time
	switch m.Mode(now) {
	case ModePeers:
		for _, p := range m.peers {
			if !p.storeFailing {
				next = later(next, p.receivedAt.Add(min(AnnouncementTTL, m.maxStoreAge-p.storeAge)))
			}
		}
		next = later(next, m.lastPeerAnswer.receivedAt.Add(min(AnnouncementTTL, m.maxStoreAge-m.lastPeerAnswer.storeAge)))
	case ModeCooldown:
		next = m.storeAnsweredAt.Add(cooldown)
	default:
		return time.Time{}
	}
	if !m.missingSince.IsZero() {
		next = earlier(next, m.missingSince.Add(changeTimeout))
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
