package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Step processes an event and returns the resulting actions.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	switch ev := ev.(type) {
	case Membership:
		m.daemons = ev.Daemons
	case NoticeReceived:
		if until := ev.At.Add(NoticeTTL); until.After(now) {
			m.hear(now, m.service(ev.Service), until)
		}
	case Received:
		m.receive(now, ev.From, ev.Msg)
	case Tick:
	}
	m.tick(now)
	return m.out
}

// hear makes this daemon report.
func (m *Machine) hear(now time.Time, s *service, until time.Time) {
	s.heardUntil = later(s.heardUntil, until)
	if s.reportAt.IsZero() {
		s.reportAt = now
	}
}

func (m *Machine) receive(now time.Time, from state.Member, msg Message) {
	switch msg := msg.(type) {
	case Report:
		if msg.valid() {
			m.receiveReport(now, from, &msg)
		}
	case Table:
		if msg.valid() {
			m.receiveTable(now, from.ID, &msg)
		}
	}
}

func (m *Machine) receiveReport(now time.Time, from state.Member, r *Report) {
	s, n := m.service(r.Service), r.node()
	h := s.heads[n]
	if h == nil {
		h = &head{parts: make(map[child]*part)}
		s.heads[n] = h
	}
	c := child{index: r.Child}
	if r.Leaf {
		c = child{daemon: from.ID}
	}
	h.receive(now, c, &part{from: from, report: r, at: now})
}

// tick runs the timers that are due.
func (m *Machine) tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.services)) {
		s := m.services[id]
		m.reportOwn(now, s)
		m.sendSums(now, s)
		if len(s.over) > 0 && !s.contended(now) {
			m.compareStandings(now, s)
		}
		if !s.table.valid(now) {
			s.table = nil
		}
	}
	m.prune(now)
}

// reportOwn sends this daemon's use to its node while the service is contended.
func (m *Machine) reportOwn(now time.Time, s *service) {
	if s.reportAt.IsZero() || now.Before(s.reportAt) {
		return
	}
	if !now.Before(s.markedUntil) && !now.Before(s.heardUntil) {
		s.reportAt, s.ownShare = time.Time{}, 0
		return
	}
	s.reportAt = now.Add(ReportInterval)
	own := m.ownUse(now, s)
	s.ownShare = own.share(m.cfg.Weight)
	r := own.report(now)
	r.Leaf = true
	m.sendReport(now, s, nodeFor(m.cfg.Self.ID, len(m.daemons), m.cfg.Fanout), &r)
}

// sendReport sends a report to the owner of a node.
func (m *Machine) sendReport(now time.Time, s *service, n node, r *Report) {
	owner, ok := n.owner(s.id, m.daemons)
	if !ok {
		return
	}
	s.number++
	r.Service, r.Number, r.Depth, r.Level, r.Index = s.id, s.number, n.depth, n.level, n.index
	if owner == m.cfg.Self.ID {
		m.receiveReport(now, m.cfg.Self, r)
		return
	}
	m.out = append(m.out, Send{To: owner, Msg: *r})
}

// sendSums passes on the sums of this daemon's nodes that are due: those of the lowest level first,
// since this daemon may own the node above too.
func (m *Machine) sendSums(now time.Time, s *service) {
	for _, n := range lowestFirst(s.heads) {
		h := s.heads[n]
		if h.expire(now) {
			delete(s.heads, n)
			continue
		}
		if at := h.sendAt(); at.IsZero() || now.Before(at) {
			continue
		}
		h.changedAt, h.sentAt = time.Time{}, now
		sum := h.sum(now)
		if n.level == 0 {
			m.sendTable(now, s, n, h, sum)
			continue
		}
		r := sum.report(now)
		r.Child = n.index
		m.sendReport(now, s, n.parent(m.cfg.Fanout), &r)
	}
}

func lowestFirst(heads map[node]*head) []node {
	out := make([]node, 0, len(heads))
	for n := range heads {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b node) int {
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.depth, b.depth), cmp.Compare(a.index, b.index))
	})
	return out
}

// prune removes counters of customers without recent requests, and services without any.
func (m *Machine) prune(now time.Time) {
	if m.pruneAt.IsZero() || now.Before(m.pruneAt) {
		return
	}
	m.pruneAt = time.Time{}
	for id, s := range m.services {
		for c, n := range s.counters {
			if n.value(now).wanted() < minTokens && !s.over[c] {
				delete(s.counters, c)
			}
		}
		if len(s.counters) > 0 {
			m.pruneAt = now.Add(pruneInterval)
		} else if s.idle() {
			delete(m.services, id)
		}
	}
}

func (s *service) idle() bool {
	return s.reportAt.IsZero() && len(s.heads) == 0 && s.table == nil && len(s.over) == 0
}

// NextTick returns when the next Tick is due; zero for never.
func (m *Machine) NextTick() time.Time {
	next := m.pruneAt
	for _, s := range m.services {
		next = earliest(next, s.reportAt)
		for _, h := range s.heads {
			next = earliest(next, h.nextTick())
		}
		if s.table != nil {
			next = earliest(next, s.table.at.Add(Lease))
		}
	}
	return next
}

// earliest returns the earlier of two times, of which zero ones mean never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
