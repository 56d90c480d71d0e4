package following

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// Followers is how many daemons follow a feed: one more than may fail at once.
	FollowerCount = 2
	// AnnounceInterval is how often a follower tells what it knows where nothing changes.
	AnnounceInterval = 500 * time.Millisecond
	// TrustFor is how long a follower's announcement stands: two that are lost cost a read.
	AnnouncementTTL = 1200 * time.Millisecond
	// forgetAfter is how long the last announcement of a follower is kept.
	forgetAfter = 10 * AnnouncementTTL
	// behindFor is how long changes that a follower has told of may be on their way.
	behindFor = 150 * time.Millisecond
	// restFor is how long a daemon that follows for nobody goes by what the store has
	// just said before it asks again: with a call that is held for a second, and one
	// silent connection in between, it still learns of a change within 2 s.
	restFor = 700 * time.Millisecond
	// seldomRate is how many calls a second all daemons together make to a store that
	// does not answer its followers, to find out whether it refuses just those.
	seldomRate = 4.0
	// seldomLeast is the least time between two such calls of one daemon.
	seldomLeast = time.Second
)

// Mode says how a daemon is to learn of changes.
type Mode int32

// The values of Mode.
const (
	// ByStore: the daemon follows the store itself.
	ModeStore Mode = iota
	// BySeldom: the same, but a store that does not answer is asked seldom, since
	// followers ask it often.
	ModeStoreReduced
	// ByPeers: followers tell it.
	ModePeers
	// Resting: the store has just said what is known, and nobody need be asked yet.
	ModeCooldown
)

// Announcement is what a follower tells of a feed.
type Announcement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Origin       state.Member  `msgpack:"root"` // the follower
	Feed         string        `msgpack:"feed"`
	Sent         time.Duration `msgpack:"sent"`     // by the follower's steady clock
	Revision     uint64        `msgpack:"revision"` // up to which the feed is known
	LastChange   uint64        `msgpack:"changed"`  // no row changed after it, up to Revision
	StoreAge     time.Duration `msgpack:"age"`      // since the store last answered
	StoreFailing bool          `msgpack:"failing"`  // the store does not answer the follower
	// Recovered is how long the store answers again after a failure; 0 for always.
	RecoveredFor time.Duration `msgpack:"recovered"`
	// Rows are the rows that changed after After, encoded; empty for none.
	RowsAfter uint64 `msgpack:"after"`
	Rows      []byte `msgpack:"rows"`
}

// Daemon is one that takes part.
type Daemon struct {
	ID     state.DaemonID
	Domain state.FailureDomain
	// Steady is false for one that is suspected or about to stop: it is told, but
	// follows for nobody.
	Eligible bool
}

// Verdict is what to do with what was told.
type ReceiveResult int

// The values of Verdict.
const (
	ResultIgnore  ReceiveResult = iota // nothing is new
	ResultAdvance                      // no row changed, but the revision is higher
	ResultApply                        // its rows are the next ones
)

// Machine is one daemon's part in one feed. It is not safe for use by several
// goroutines.
type Machine struct {
	self     state.Member
	feed     string
	fresh    time.Duration
	born     time.Time // zero of this daemon's steady clock
	daemons  []Daemon
	chosen   []state.DaemonID
	heard    map[state.DaemonID]*heard
	asked    heard // the last answer of a daemon that was asked, whichever
	revision uint64
	known    bool
	changed  uint64
	behind   time.Time // since when a higher revision is known of; zero for not
	wanted   uint64    // that revision

	answered     time.Time // when the store last did, to this daemon or to who told it
	failing      bool
	volunteer    bool // it follows for others in place of the chosen ones
	recovered    time.Time
	nextAnnounce time.Time
}

// heard is the last announcement of one follower.
type heard struct {
	life     state.Incarnation
	sent     time.Duration // by the follower's steady clock
	at       time.Time     // when it came
	shortest time.Duration
	age      time.Duration // of the store's answer when the announcement came
	failing  bool
}

// New returns a machine that knows of no other daemon. A follower's announcement counts
// while the store's last answer to it is no older than fresh, which is more than
// the store holds a call that has nothing to tell.
func New(self state.Member, feed string, fresh time.Duration, now time.Time) *Machine {
	return &Machine{self: self, feed: feed, fresh: fresh, born: now, heard: make(map[state.DaemonID]*heard)}
}

// Members takes up who takes part, by ID and with this daemon among them.
func (m *Machine) SetMembers(daemons []Daemon) {
	m.daemons = daemons
	m.chosen = choose(daemons)
}

// choose picks the followers: the last ones by ID, each in a failure domain of its
// own as far as there are such. The first ones by ID have other duties.
func choose(daemons []Daemon) []state.DaemonID {
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

// Follows reports whether this daemon follows the feed for others.
func (m *Machine) IsFollower() bool {
	for _, id := range m.chosen {
		if id == m.self.ID {
			return true
		}
	}
	return false
}

// Mode says how this daemon is to learn of changes.
func (m *Machine) Mode(now time.Time) Mode {
	if !m.known || m.IsAnnouncing(now) || m.overdue(now) {
		return ModeStore
	}
	failing, old := false, false
	for id, h := range m.heard {
		switch {
		case now.Sub(h.at) > AnnouncementTTL:
		case !h.failing && now.Sub(h.at)+h.age <= m.fresh:
			return ModePeers
		case m.isChosen(id):
			failing = failing || h.failing
			old = old || !h.failing
		}
	}
	switch {
	case now.Sub(m.asked.at) <= AnnouncementTTL && now.Sub(m.asked.at)+m.asked.age <= m.fresh:
		return ModePeers
	case failing && !old:
		return ModeStoreReduced // where one merely waits for an answer, the store may be well
	case !failing && !m.failing && now.Sub(m.answered) < restFor:
		return ModeCooldown
	}
	return ModeStore
}

// overdue reports whether changes that a follower has told of are overdue.
func (m *Machine) overdue(now time.Time) bool {
	return !m.behind.IsZero() && now.Sub(m.behind) >= behindFor
}

// Overdue is the revision that this daemon has been told of and still lacks; false if it
// lacks none.
func (m *Machine) OverdueRevision(now time.Time) (uint64, bool) {
	return m.wanted, m.known && m.overdue(now)
}

// SeldomWait is the time between two calls of a daemon in the mode BySeldom. It grows
// with the daemons: each asking both feeds once a second, 195 of them would make over
// 3,000 calls in an outage of 8 s (worked out).
func (m *Machine) ReducedPollInterval() time.Duration {
	wait := time.Duration(float64(len(m.daemons)) / seldomRate * float64(time.Second))
	return max(wait, seldomLeast)
}

func (m *Machine) isChosen(id state.DaemonID) bool {
	return slices.Contains(m.chosen, id)
}

// Announces reports whether this daemon follows for others now: it is chosen, or it has
// stood in for the chosen ones and they are still missed.
func (m *Machine) IsAnnouncing(now time.Time) bool {
	return m.IsFollower() || m.volunteer && m.missed(now)
}

// missed reports whether this daemon, if the store answers it, is to stand in for the
// chosen ones, which say that the store does not answer them.
//
// Guard (all-stand-in): where daemons know different ones, each has chosen ones of its
// own, and many would stand in at a time, each telling every change to all. Only the
// last by ID of those that hear each other goes on.
func (m *Machine) missed(now time.Time) bool {
	failing := false
	for id, h := range m.heard {
		switch {
		case now.Sub(h.at) > AnnouncementTTL:
		case !h.failing && (m.isChosen(id) || id > m.self.ID):
			return false
		case h.failing && m.isChosen(id):
			failing = true
		}
	}
	return failing
}

// Leads reports whether this daemon is the one that passes rows on: the first of the
// chosen ones that the store answers, or one in their place.
func (m *Machine) SendsRows(now time.Time) bool {
	for _, id := range m.chosen {
		if id == m.self.ID {
			return true
		}
		if h, ok := m.heard[id]; ok && !h.failing && now.Sub(h.at) <= AnnouncementTTL {
			return false
		}
	}
	return m.IsAnnouncing(now)
}

// Answered notes an answer of the store, with all changes up to a revision.
func (m *Machine) StoreAnswered(now time.Time, revision uint64, changes bool) {
	if m.failing {
		m.recovered = now
	}
	if changes || m.failing {
		m.nextAnnounce = now
	}
	m.failing = false
	m.answered = now
	m.volunteer = !m.IsFollower() && m.missed(now)
	m.AdvanceTo(revision, changes)
}

// Given notes that the whole feed was taken from another daemon, as the store said it
// some time ago.
func (m *Machine) LoadedFromPeer(now time.Time, revision uint64, age time.Duration) {
	m.asked = heard{at: now, age: age}
	m.answered = now.Add(-age)
	m.AdvanceTo(revision, true)
}

// Advanced notes that the feed is known up to a revision.
func (m *Machine) AdvanceTo(revision uint64, changes bool) {
	m.known = true
	if changes {
		m.changed = max(m.changed, revision)
	}
	if revision >= m.revision {
		m.revision = revision
		m.behind = time.Time{}
	}
}

// Confirmed notes that another daemon knows the feed up to a revision, with no change
// after what is known here, as the store said it some time ago.
func (m *Machine) ConfirmedByPeer(now time.Time, revision uint64, age time.Duration) {
	m.asked = heard{at: now, age: age}
	if at := now.Add(-age); at.After(m.answered) {
		m.answered = at
	}
	if m.known {
		m.AdvanceTo(revision, false)
	}
}

// Failed notes that the store did not answer this daemon.
func (m *Machine) StoreFailed(now time.Time) {
	if !m.failing {
		m.nextAnnounce = now
	}
	m.failing = true
	m.volunteer = false
}

// Failing reports whether the store is not known to answer anybody.
func (m *Machine) StoreFailing(now time.Time) bool {
	return m.failing || m.Mode(now) == ModeStoreReduced
}

// Revision is up to where the feed is known; false before the first answer.
func (m *Machine) Revision() (uint64, bool) { return m.revision, m.known }

// Changed is the revision after which no row has changed.
func (m *Machine) LastChange() uint64 { return m.changed }

// IsNew reports whether an announcement is newer than the last one that was heard of its
// follower, and is to be passed on. Daemons whose views differ, as at a start, have different
// trees, in which an announcement may come back to one that has passed it on.
func (m *Machine) IsNew(t Announcement) bool {
	if t.Origin.ID == m.self.ID {
		return false
	}
	h, ok := m.heard[t.Origin.ID]
	if !ok || t.Origin.Incarnation > h.life {
		return true
	}
	return t.Origin.Incarnation == h.life && t.Sent > h.sent
}

// Received takes a follower's announcement. Where the verdict is not Known, Advanced is to be
// called with its revision once its rows are applied.
func (m *Machine) Receive(now time.Time, t Announcement) ReceiveResult {
	m.forgetSilent(now)
	if m.IsNew(t) {
		m.note(now, t)
	}
	switch {
	case !m.known || t.Revision <= m.revision:
		return ResultIgnore
	case m.revision >= t.LastChange:
		return ResultAdvance
	case len(t.Rows) > 0 && m.revision >= t.RowsAfter:
		return ResultApply
	}
	if m.behind.IsZero() {
		m.behind = now
	}
	m.wanted = max(m.wanted, t.LastChange)
	return ResultIgnore
}

// note keeps what an announcement says of its follower. A clock's reading less the other's is
// least where an announcement was not held up: what it is more is the time that it took.
func (m *Machine) note(now time.Time, t Announcement) {
	took := now.Sub(m.born) - t.Sent
	h, ok := m.heard[t.Origin.ID]
	if !ok || h.life != t.Origin.Incarnation {
		h = &heard{life: t.Origin.Incarnation, shortest: took}
		m.heard[t.Origin.ID] = h
	}
	h.shortest = min(h.shortest, took)
	h.sent, h.at, h.age, h.failing = t.Sent, now, t.StoreAge+took-h.shortest, t.StoreFailing
}

// forgetSilent drops the followers of which nothing new was heard for long. One whose
// incarnation went back, since the time of day did, is heard again after that.
func (m *Machine) forgetSilent(now time.Time) {
	maps.DeleteFunc(m.heard, func(_ state.DaemonID, h *heard) bool { return now.Sub(h.at) > forgetAfter })
}

// Age is how long ago the feed was last known to be whole, by the store's answer to
// this daemon or to a follower whose last change is known here.
func (m *Machine) Age(now time.Time) time.Duration {
	age := now.Sub(m.born)
	if !m.answered.IsZero() {
		age = now.Sub(m.answered)
	}
	if !m.known || !m.behind.IsZero() {
		return age
	}
	for _, h := range m.heard {
		age = min(age, now.Sub(h.at)+h.age)
	}
	return age
}

// Announce returns what this daemon is to tell the others now, if it is to. Rows and
// After are the caller's.
func (m *Machine) Announce(now time.Time) (Announcement, bool) {
	if !m.known || !m.IsAnnouncing(now) || len(m.daemons) < 2 || now.Before(m.nextAnnounce) {
		return Announcement{}, false
	}
	m.nextAnnounce = now.Add(AnnounceInterval)
	t := Announcement{
		Origin: m.self, Feed: m.feed, Sent: now.Sub(m.born), Revision: m.revision, LastChange: m.changed,
		StoreAge: now.Sub(m.answered), StoreFailing: m.failing,
	}
	if !m.recovered.IsZero() {
		t.RecoveredFor = now.Sub(m.recovered)
	}
	return t, true
}

// NextTick is when Announce is due or Mode may change by itself; zero for never.
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
		for _, h := range m.heard {
			if !h.failing {
				next = later(next, h.at.Add(min(AnnouncementTTL, m.fresh-h.age)))
			}
		}
		next = later(next, m.asked.at.Add(min(AnnouncementTTL, m.fresh-m.asked.age)))
	case ModeCooldown:
		next = m.answered.Add(restFor)
	default:
		return time.Time{}
	}
	if !m.behind.IsZero() {
		next = earlier(next, m.behind.Add(behindFor))
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
