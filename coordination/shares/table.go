package shares

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// maxInTable is the largest number of customers in a table, minInTable the number of those that
	// are in it though they do not exceed their share.
	maxInTable = 24
	minInTable = 10
)

// sendTable tells the daemons below the root how the customers stand, and all daemons that the
// service is contended.
func (m *Machine) sendTable(now time.Time, s *service, n node, h *head, sum *summary) {
	s.number++
	t := sum.table(now, m.cfg.Weight)
	t.Service, t.Depth, t.Root, t.Incarnation, t.Number = s.id, n.depth, m.cfg.Self.ID, m.cfg.Self.Incarnation, s.number
	m.passOn(now, h, m.cfg.Self.ID, &t)
	m.receiveTable(now, m.cfg.Self.ID, &t)
	if t.ContendedMS > 0 && !now.Before(s.noticeAt) {
		s.noticeAt = now.Add(noticeInterval)
		m.hear(now, s, now.Add(NoticeTTL))
		m.out = append(m.out, Broadcast{ContentionNotice{Service: s.id}})
	}
}

// table returns the standing of the customers, without an address.
func (s *summary) table(now time.Time, weight func(Customer) float64) Table {
	share := s.share(weight)
	t := Table{
		Daemons: s.daemons, ContendedMS: milliseconds(s.contendedUntil.Sub(now)),
		Total: tokens(s.admitted()), Share: max(tokens(share), 1),
	}
	ranked := s.ranked(func(u Use) float64 { return u.Admitted })
	for i, c := range ranked[:min(maxInTable, len(ranked))] {
		if i >= minInTable && excess(s.customers[c].Admitted, share*weight(c)) < overFrom {
			break
		}
		t.Customers = append(t.Customers, c)
		t.Used = append(t.Used, tokens(s.customers[c].Admitted*shareUnits/float64(t.Share)))
	}
	return t
}

// receiveTable uses a table and passes it on to the daemons that report to this one.
func (m *Machine) receiveTable(now time.Time, from state.DaemonID, t *Table) {
	s := m.service(t.Service)
	next := newStanding(now, t)
	if !next.replaces(now, s.table) {
		return
	}
	s.table = next
	for _, n := range lowestFirst(s.heads) {
		if n.depth == t.Depth && n.level > 0 {
			m.passOn(now, s.heads[n], from, t)
		}
	}
	m.compareStandings(now, s)
}

// passOn sends a table to the senders of a node's parts.
func (m *Machine) passOn(now time.Time, h *head, from state.DaemonID, t *Table) {
	var to []state.DaemonID
	for _, p := range h.parts {
		if !p.expired(now) && p.from.ID != from && p.from.ID != m.cfg.Self.ID {
			to = append(to, p.from.ID)
		}
	}
	slices.Sort(to)
	for _, id := range slices.Compact(to) {
		m.out = append(m.out, Send{To: id, Msg: *t})
	}
}

// compareStandings reports which of this daemon's customers have begun or ceased to exceed their share.
func (m *Machine) compareStandings(now time.Time, s *service) {
	for _, c := range slices.Sorted(maps.Keys(s.counters)) {
		if x := m.Excess(now, s.id, c); x >= overFrom && !s.over[c] {
			s.over[c] = true
			m.out = append(m.out, StandingChanged{Service: s.id, Customer: c, Over: true, Excess: x})
		}
	}
	for _, c := range slices.Sorted(maps.Keys(s.over)) {
		if m.Excess(now, s.id, c) <= 0 {
			delete(s.over, c)
			m.out = append(m.out, StandingChanged{Service: s.id, Customer: c})
		}
	}
}

// overFrom is the excess from which a customer is reported to exceed its share. It is no longer
// reported once the excess is 0.
const overFrom = 0.25
