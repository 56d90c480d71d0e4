package shares

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// standing is the last table, as it was received.
type standing struct {
	table          *Table
	at             time.Time
	contendedUntil time.Time
	customers      map[Customer]float64 // tokens used, of those that are listed
}

func newStanding(now time.Time, t *Table) *standing {
	s := &standing{
		table: t, at: now, customers: make(map[Customer]float64, len(t.Customers)),
		contendedUntil: now.Add(time.Duration(min(t.ContendedMS, milliseconds(MarkTTL))) * time.Millisecond),
	}
	for i, c := range t.Customers {
		s.customers[c] = t.used(i)
	}
	return s
}

// valid reports whether the table may be used.
func (s *standing) valid(now time.Time) bool { return s != nil && now.Sub(s.at) < Lease }

// replaces reports whether a new table takes the place of the one that is held. While views differ,
// two daemons may both take themselves for the owner of the root: the one that hears of more daemons
// is used.
func (s *standing) replaces(now time.Time, held *standing) bool {
	switch {
	case !held.valid(now):
		return true
	case s.table.Root == held.table.Root:
		return newer(s.table.Incarnation, s.table.Number, held.table.Incarnation, held.table.Number)
	default:
		return now.Sub(held.at) >= staleAfter || s.table.Daemons >= held.table.Daemons
	}
}

// used returns what a customer uses at all daemons, or 0 if it is not listed.
func (s *standing) used(now time.Time, c Customer) float64 {
	return s.customers[c] * decay(now.Sub(s.at))
}

// share returns the share of a customer with weight 1. It decays as the uses do.
func (s *standing) share(now time.Time) float64 {
	return float64(s.table.Share) * decay(now.Sub(s.at))
}

// Standing is how the customers of a service stand, for operators.
type Standing struct {
	Service   state.ServiceID
	Contended bool
	Age       time.Duration // of the table
	Daemons   int           // whose use is included
	Total     float64       // tokens admitted for all customers
	Share     float64       // of a customer with weight 1, in tokens
	Customers []CustomerStanding
}

// CustomerStanding is the standing of one customer.
type CustomerStanding struct {
	Customer Customer
	Used     float64 // tokens at all daemons
	Share    float64 // tokens
	Excess   float64
}

// Standing returns how the customers of a service stand, and false without a valid table.
func (m *Machine) Standing(now time.Time, id state.ServiceID) (Standing, bool) {
	s := m.services[id]
	if s == nil || !s.table.valid(now) {
		return Standing{}, false
	}
	t := s.table.table
	out := Standing{
		Service: id, Contended: s.contended(now), Age: now.Sub(s.table.at), Daemons: t.Daemons,
		Total: float64(t.Total) * decay(now.Sub(s.table.at)), Share: s.table.share(now) * m.unknownFactor(t.Daemons),
	}
	for _, c := range t.Customers {
		used, share := s.table.used(now, c), m.share(now, s.table, c)
		out.Customers = append(out.Customers, CustomerStanding{Customer: c, Used: used, Share: share, Excess: m.Excess(now, id, c)})
	}
	return out, true
}
