package membership

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxAccusers is the number of accusers at which a suspicion has its shortest timeout.
const maxAccusers = 4

// suspicion records since when and by whom a member is suspected.
type suspicion struct {
	start    time.Time
	accusers []state.DaemonID
}

// suspect accuses e on behalf of the local daemon.
func (m *Membership) suspect(e *entry) {
	u := e.update()
	u.Accuser = m.self.id
	switch e.state {
	case Alive:
		u.State = Suspect
		m.advance(e, u)
		m.broadcasts.queueUpdate(u, m.self.id, m.now)
	case Suspect:
		m.addAccuser(e, m.self.id)
	case Dead, Left:
		return
	}
	// The suspect is notified first, because only it can refute.
	m.send(e, Gossip{Self: m.self.update(), Payload: GossipPayload{Updates: []Update{u}}})
}

// addAccuser records a further accuser and forwards the accusation, up to maxAccusers.
func (m *Membership) addAccuser(e *entry, by state.DaemonID) {
	s := &e.suspicion
	if by == "" || len(s.accusers) >= maxAccusers || slices.Contains(s.accusers, by) {
		return
	}
	s.accusers = append(s.accusers, by)
	if len(s.accusers) > 1 {
		u := e.update()
		u.Accuser = by
		m.broadcasts.queueUpdate(u, by, m.now)
	}
}

// deadline returns when the suspect is declared dead. A few accusers may share one bad network
// path, so the timeout falls with the logarithm of their number.
func (s suspicion) deadline(cfg Config) time.Time {
	span := float64(cfg.SuspicionMax - cfg.SuspicionMin)
	share := math.Log(float64(max(1, len(s.accusers)))) / math.Log(maxAccusers)
	return s.start.Add(cfg.SuspicionMax - time.Duration(span*math.Min(1, share)))
}

// expireSuspicions declares suspects dead that did not refute in time.
func (m *Membership) expireSuspicions() {
	for _, e := range m.table.sorted {
		if e.state != Suspect || m.now.Before(e.suspicion.deadline(m.cfg)) {
			continue
		}
		u := e.update()
		u.State = Dead
		m.advance(e, u)
		m.broadcasts.queueUpdate(u, m.self.id, m.now)
	}
}
