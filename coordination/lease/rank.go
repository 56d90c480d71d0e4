package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Order returns the daemons in the order in which they should try to take the
// service's lease: rendezvous hashing, so that the leases of a daemon that died
// go to different successors and no other lease moves.
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

// setRanks is done on each change of the members and not on each step, since it
// hashes every member for every service.
func (m *Machine) setRanks() {
	for id, l := range m.leases {
		l.rank = m.rank(id)
	}
}

// rank is how many live daemons come before this one, or -1 if it is not among
// them.
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

// successor is the first live daemon in order other than this one.
func (m *Machine) successor(service state.ServiceID) (state.DaemonID, bool) {
	for _, d := range RendezvousOrder(service, m.live) {
		if d != m.cfg.Self.ID {
			return d, true
		}
	}
	return "", false
}

// watches reports whether this daemon is one of those that watch a row closely.
func (m *Machine) watches(l *lease) bool {
	return l.rank >= 0 && l.rank < m.cfg.Watchers
}

// pollEvery is the time between reads of a row. All but the first members read
// it rarely, with jitter: at 420 daemons a close watch by all would use up the
// store's reads.
func (m *Machine) pollEvery(l *lease) time.Duration {
	if m.watches(l) {
		return m.cfg.PollInterval
	}
	return m.cfg.SlowPollInterval + time.Duration(m.rng.Int64N(int64(m.cfg.SlowPollInterval)/4+1))
}

// nextPoll is when to read the row again after a read at now. A close watcher
// also reads it at the moment when it may take it.
func (m *Machine) nextPoll(l *lease, now time.Time) time.Time {
	next := now.Add(m.pollEvery(l))
	if !m.watches(l) {
		return next
	}
	if at, ok := m.takeAt(l); ok && now.Before(at) && at.Before(next) {
		return at
	}
	return next
}
