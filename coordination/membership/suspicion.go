package membership

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// enoughAccusers is the number of accusers at which a suspicion has its shortest
// time.
const enoughAccusers = 4

// suspicion is how long a Suspect may still refute.
type suspicion struct {
	start    time.Time
	accusers []state.DaemonID
}

// suspect accuses e on this daemon's own account.
func (m *Membership) suspect(e *entry) {
	u := e.update()
	u.Accuser = m.self.id
	switch e.state {
	case Alive:
		u.State = Suspect
		m.set(e, u)
		m.gossip.tellUpdate(u, m.self.id, m.now)
	case Suspect:
		m.addAccuser(e, m.self.id)
	case Dead, Left:
		return
	}
	// The suspect itself hears it first: it has the most to say.
	m.send(e, Gossip{Self: m.self.update(), Payload: GossipPayload{Updates: []Update{u}}})
}

// addAccuser notes a further accuser and passes the accusation on, up to the
// number that matters.
func (m *Membership) addAccuser(e *entry, by state.DaemonID) {
	s := &e.suspicion
	if by == "" || len(s.accusers) >= enoughAccusers || slices.Contains(s.accusers, by) {
		return
	}
	s.accusers = append(s.accusers, by)
	if len(s.accusers) > 1 {
		u := e.update()
		u.Accuser = by
		m.gossip.tellUpdate(u, by, m.now)
	}
}

// deadline is when the suspect is held for dead. Few accusers may share one bad
// path, so the time falls with the logarithm of their number.
func (s suspicion) deadline(cfg Config) time.Time {
	span := float64(cfg.SuspicionMax - cfg.SuspicionMin)
	share := math.Log(float64(max(1, len(s.accusers)))) / math.Log(enoughAccusers)
	return s.start.Add(cfg.SuspicionMax - time.Duration(span*math.Min(1, share)))
}

// endSuspicions declares those dead that did not refute in time.
func (m *Membership) endSuspicions() {
	for _, e := range m.table.sorted {
		if e.state != Suspect || m.now.Before(e.suspicion.deadline(m.cfg)) {
			continue
		}
		u := e.update()
		u.State = Dead
		m.set(e, u)
		m.gossip.tellUpdate(u, m.self.id, m.now)
	}
}
