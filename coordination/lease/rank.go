package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// RendezvousOrder returns the daemons in the order in which they should try to take the
// service's lease. It uses rendezvous hashing, so that the leases of a dead daemon go to
// different successors and no other lease moves.
func RendezvousOrder(service state.ServiceID, daemons []state.DaemonID) []state.DaemonID {
	out := slices.Clone(daemons)
	slices.SortFunc(out, func(a, b state.DaemonID) int {
		return cmp.Or(cmp.Compare(weight(service, b), weight(service, a)), cmp.Compare(a, b))
	})
	return out
}

func weight(service state.ServiceID, daemon state.DaemonID) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(daemon))
}

// updateRanks is called when the members change and not on each step, because it hashes every
// member for every service.
func (m *Machine) updateRanks() {
	for id, l := range m.leases {
		l.rank = m.rank(id)
	}
}

// rank returns how many live daemons precede this one, or -1 if it is not among them.
func (m *Machine) rank(service state.ServiceID) int {
	self := weight(service, m.cfg.Self.ID)
	before, found := 0, false
	for _, d := range m.live {
		if d == m.cfg.Self.ID {
			found = true
			continue
		}
		w := weight(service, d)
		if w > self || (w == self && d < m.cfg.Self.ID) {
			before++
		}
	}
	if !found {
		return -1
	}
	return before
}

// successor returns the first live daemon in rendezvous order other than this one.
func (m *Machine) successor(service state.ServiceID) (state.DaemonID, bool) {
	for _, d := range RendezvousOrder(service, m.live) {
		if d != m.cfg.Self.ID {
			return d, true
		}
	}
	return "", false
}

// isWatcher reports whether this daemon is one of the Watchers of a row.
func (m *Machine) isWatcher(l *lease) bool {
	return l.rank >= 0 && l.rank < m.cfg.Watchers
}

// pollInterval returns the time between reads of a row. All daemons except the watchers read it
// rarely, with jitter: at 420 daemons, frequent reads by all would use up the store's read
// capacity.
func (m *Machine) pollInterval(l *lease) time.Duration {
	if m.isWatcher(l) {
		return m.cfg.PollInterval
	}
	return m.cfg.SlowPollInterval + time.Duration(m.rng.Int64N(int64(m.cfg.SlowPollInterval)/4+1))
}

// nextPoll returns when to read the row again after a read at now. A watcher also reads it at
// the moment when it may take it.
func (m *Machine) nextPoll(l *lease, now time.Time) time.Time {
	next := now.Add(m.pollInterval(l))
	if !m.isWatcher(l) {
		return next
	}
	if at, ok := m.acquireAt(l); ok && now.Before(at) && at.Before(next) {
		return at
	}
	return next
}
