package membership

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// source is the way in which an update was received.
type source int

const (
	fromGossip   source = iota // from the daemon that observed the change or forwarded it recently
	fromExchange               // from a state exchange; may have been recorded long ago
)

// apply applies an update that the daemon sender sent.
func (m *Membership) apply(u Update, sender state.DaemonID, src source) {
	if u.ID == m.self.id {
		m.applySelf(u)
		return
	}
	e, ok := m.table.get(u.ID)
	if !ok {
		m.applyUnknown(u, sender)
		return
	}
	switch c := u.compare(e.update()); {
	case c < 0:
		return
	case c == 0:
		m.broadcasts.markReceived(memberSubject(u.ID), sender)
		if u.State == Suspect {
			m.addAccuser(e, u.Accuser)
		}
		return
	}
	if u.Incarnation > e.inc && u.Meta == nil {
		m.requestRecords(sender)
		return
	}
	if src == fromExchange && u.State == Dead && e.state.live() && u.Incarnation == e.inc {
		// Guard (regions-parted): after a network partition each partition considers the other
		// dead, and an exchange between them would spread the deaths of all live members of one
		// partition within that partition. A death received in an exchange therefore only
		// triggers a probe, which notifies the member; it refutes if it is alive.
		e.probeSoon = true
		return
	}
	m.advance(e, u)
	m.broadcasts.queueUpdate(u, sender, m.now)
}

// applyUnknown adds a live member. Dead members are not added: daemons drop them at different
// times, and would receive them again from those that drop them later.
func (m *Membership) applyUnknown(u Update, sender state.DaemonID) {
	if !u.State.live() {
		return
	}
	if u.Meta == nil {
		m.requestRecords(sender)
		return
	}
	e := &entry{id: u.ID, inc: u.Incarnation}
	m.table.add(e)
	m.neighboursStale = true
	e.stateSince = m.now
	m.emit(MemberChanged{Member: state.Member{ID: u.ID, Incarnation: u.Incarnation}, To: u.State, New: true})
	m.advance(e, u)
	if !m.joining {
		m.broadcasts.queueUpdate(u, sender, m.now)
	}
}

// advance moves e forward to u, which is greater.
func (m *Membership) advance(e *entry, u Update) {
	previous := *e
	newIncarnation := u.Incarnation > e.inc
	if newIncarnation {
		// Guard (daemon-replaced-during-store-outage): the greater incarnation supersedes at
		// once; suspicions and digests of the earlier process do not apply to it.
		e.digest, e.digestSeen = Digest{}, false
		e.knowsSelf = false
	}
	e.inc, e.rev, e.state, e.draining = u.Incarnation, u.Revision, u.State, u.Draining
	if u.Meta != nil {
		e.meta = *u.Meta
	}
	e.probeSoon = false
	e.suspicion = suspicion{}
	if u.State == Suspect {
		e.suspicion.start = m.now
		m.addAccuser(e, u.Accuser)
	}
	if previous.state != u.State || newIncarnation {
		e.stateSince = m.now
		m.emit(MemberChanged{Member: e.member(), From: previous.state, To: u.State})
	}
	if previous.state.live() != u.State.live() {
		m.neighboursStale = true
	}
	m.membersChanged()
}

// applySelf responds to an update about the local daemon.
func (m *Membership) applySelf(u Update) {
	if u.Incarnation > m.self.inc {
		if u.Incarnation > m.superseded {
			m.superseded = u.Incarnation
			m.emit(Superseded{By: u.Incarnation})
		}
		return
	}
	if u.Incarnation < m.self.inc || u.Revision < m.self.rev || u.State == Alive {
		return
	}
	m.self.rev = u.Revision + 1
	m.health.degrade()
	m.emit(Refuted{Claimed: u.State})
	m.membersChanged()
	m.broadcastSelf()
}

// broadcastSelf queues the local daemon's own record.
func (m *Membership) broadcastSelf() {
	m.broadcasts.queueUpdate(m.self.update(), m.self.id, m.now)
}

// sendCorrection notifies the sender of a message that it is considered suspect or dead, or
// that a later incarnation of it is known, unless its own record is newer. A live member that
// is considered dead by mistake can refute only if it is notified.
func (m *Membership) sendCorrection(self Update) {
	if u, ok := m.correction(self); ok {
		e, _ := m.table.get(self.ID)
		m.send(e, Gossip{Self: m.self.update(), Payload: GossipPayload{Updates: []Update{u}}})
	}
}

// correction returns the update that sendCorrection sends.
func (m *Membership) correction(self Update) (Update, bool) {
	e, ok := m.table.get(self.ID)
	if !ok || e.update().compare(self) <= 0 {
		return Update{}, false
	}
	return e.update(), true
}
