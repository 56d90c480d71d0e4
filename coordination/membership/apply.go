package membership

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// source says how an update came in.
type source int

const (
	fromRumour   source = iota // someone saw it happen, lately
	fromExchange               // someone holds it, perhaps since long
)

// apply takes in an update told by the daemon teller.
func (m *Membership) apply(u Update, teller state.DaemonID, src source) {
	if u.ID == m.self.id {
		m.applySelf(u)
		return
	}
	e, ok := m.table.get(u.ID)
	if !ok {
		m.applyUnknown(u, teller)
		return
	}
	switch c := u.compare(e.update()); {
	case c < 0:
		return
	case c == 0:
		m.gossip.toldBy(memberSubject(u.ID), teller)
		if u.State == Suspect {
			m.addAccuser(e, u.Accuser)
		}
		return
	}
	if u.Incarnation > e.inc && u.Meta == nil {
		m.ask(teller)
		return
	}
	if src == fromExchange && u.State == Dead && e.state.live() && u.Incarnation == e.inc {
		// Guard (regions-parted): after a parting each side holds the other
		// for dead, and an exchange across the rift would pass the deaths of a
		// whole living side into that side. A death that is only held is
		// therefore no more than a reason to look for oneself; the probe tells
		// the member, which refutes if it lives.
		e.doubted = true
		return
	}
	m.set(e, u)
	m.gossip.tellUpdate(u, teller, m.now)
}

// applyUnknown adds a live member. The dead are not learned: every daemon forgets
// them in its own time, and would learn them again from those that are later.
func (m *Membership) applyUnknown(u Update, teller state.DaemonID) {
	if !u.State.live() {
		return
	}
	if u.Meta == nil {
		m.ask(teller)
		return
	}
	e := &entry{id: u.ID, inc: u.Incarnation}
	m.table.add(e)
	m.nearStale = true
	e.since = m.now
	m.act(MemberChanged{Member: state.Member{ID: u.ID, Incarnation: u.Incarnation}, To: u.State, New: true})
	m.set(e, u)
	if !m.joining {
		m.gossip.tellUpdate(u, teller, m.now)
	}
}

// set moves e forward to u, which is greater.
func (m *Membership) set(e *entry, u Update) {
	was := *e
	later := u.Incarnation > e.inc
	if later {
		// Guard (daemon replaced): the greater incarnation supersedes at once;
		// what was suspected or known of the former process says nothing of it.
		e.digest, e.digestSeen = Digest{}, false
	}
	e.inc, e.rev, e.state, e.draining = u.Incarnation, u.Revision, u.State, u.Draining
	if u.Meta != nil {
		e.meta = *u.Meta
	}
	e.doubted = false
	e.suspicion = suspicion{}
	if u.State == Suspect {
		e.suspicion.start = m.now
		m.addAccuser(e, u.Accuser)
	}
	if was.state != u.State || later {
		e.since = m.now
		m.act(MemberChanged{Member: e.member(), From: was.state, To: u.State})
	}
	if was.state.live() != u.State.live() {
		m.nearStale = true
	}
	m.membersChanged()
}

// applySelf answers what others hold of this daemon.
func (m *Membership) applySelf(u Update) {
	if u.Incarnation > m.self.inc {
		if u.Incarnation > m.superseded {
			m.superseded = u.Incarnation
			m.act(Superseded{By: u.Incarnation})
		}
		return
	}
	if u.Incarnation < m.self.inc || u.Revision < m.self.rev || u.State == Alive {
		return
	}
	m.self.rev = u.Revision + 1
	m.health.worse()
	m.act(Refuted{Claimed: u.State})
	m.membersChanged()
	m.tellSelf()
}

// tellSelf spreads this daemon's own record.
func (m *Membership) tellSelf() {
	m.gossip.tellUpdate(m.self.update(), m.self.id, m.now)
}

// accuse tells the sender of a message that it is held for suspect or dead, or that
// a later life of it is known, unless it has just said more. A member that lives
// and is held for dead by mistake can refute only what it hears of.
func (m *Membership) accuse(self Update) {
	if u, ok := m.accusation(self); ok {
		e, _ := m.table.get(self.ID)
		m.send(e, Gossip{Self: m.self.update(), Payload: GossipPayload{Updates: []Update{u}}})
	}
}

// accusation gives what accuse would tell.
func (m *Membership) accusation(self Update) (Update, bool) {
	e, ok := m.table.get(self.ID)
	if !ok || e.update().compare(self) <= 0 {
		return Update{}, false
	}
	return e.update(), true
}
