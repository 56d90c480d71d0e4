package shares

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxListed is the largest number of customers in a report.
const maxListed = 96

// summary is the use of a service at some daemons.
type summary struct {
	daemons        int
	contendedUntil time.Time
	customers      map[Customer]Use
	other          Use
	otherCustomers int
}

func newSummary() *summary { return &summary{customers: make(map[Customer]Use)} }

// add adds a part, as it was received at a time and has decayed since.
func (s *summary) add(now time.Time, p *part) {
	r, f := p.report, decay(now.Sub(p.at))
	s.daemons += r.Daemons
	s.contendedUntil = later(s.contendedUntil, p.contendedUntil())
	for i, c := range r.Customers {
		s.customers[c] = s.customers[c].plus(Use{float64(r.Admitted[i]), float64(r.Rejected[i])}.times(f))
	}
	s.other = s.other.plus(Use{float64(r.OtherAdmitted), float64(r.OtherRejected)}.times(f))
	s.otherCustomers = max(s.otherCustomers, r.OtherCustomers)
}

// admitted returns what was admitted for all customers.
func (s *summary) admitted() float64 {
	sum := s.other.Admitted
	for _, u := range s.customers {
		sum += u.Admitted
	}
	return sum
}

// ranked returns the customers in descending order of a key.
func (s *summary) ranked(key func(Use) float64) []Customer {
	out := make([]Customer, 0, len(s.customers))
	for c := range s.customers {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(key(s.customers[b]), key(s.customers[a])), cmp.Compare(a, b))
	})
	return out
}

// report returns the summary as a report, without an address. Rounding down keeps the sum of all
// reports from exceeding the use.
func (s *summary) report(now time.Time) Report {
	r := Report{Daemons: s.daemons, ContendedMS: milliseconds(s.contendedUntil.Sub(now))}
	ranked := s.ranked(Use.wanted)
	listed := ranked[:min(maxListed, len(ranked))]
	other, dropped := s.other, len(ranked)-len(listed)
	for _, c := range listed {
		u := s.customers[c]
		r.Customers = append(r.Customers, c)
		r.Admitted = append(r.Admitted, tokens(u.Admitted))
		r.Rejected = append(r.Rejected, tokens(u.Rejected))
	}
	for _, c := range ranked[len(listed):] {
		other = other.plus(s.customers[c])
	}
	r.OtherAdmitted, r.OtherRejected = tokens(other.Admitted), tokens(other.Rejected)
	r.OtherCustomers = max(s.otherCustomers, dropped)
	return r
}

// share returns the fair share of a customer with weight 1.
func (s *summary) share(weight func(Customer) float64) float64 {
	demands := make([]demand, 0, len(s.customers))
	for c, u := range s.customers {
		demands = append(demands, demand{wanted: u.wanted(), weight: weight(c)})
	}
	return fairShare(demands, s.other.wanted(), float64(s.otherCustomers), s.admitted())
}

// tokens rounds a number of tokens down to what a message can carry.
func tokens(f float64) uint32 { return uint32(min(f, math.MaxUint32)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
