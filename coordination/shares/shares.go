package shares

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// Window is the time constant of the decay of a use: the use of a customer is what it was
	// admitted for in about this time.
	Window = 4 * time.Second
	// ReportInterval is the minimum time between two reports, or two tables, of a daemon.
	ReportInterval = time.Second
	// Lease is how long a part or a table is used that is not renewed: two lost messages.
	Lease = 3 * time.Second
	// MarkTTL is how long a service remains contended after a daemon last found it so.
	MarkTTL = 3 * time.Second
	// NoticeTTL is how long daemons report after the notice that a service is contended.
	NoticeTTL = 4 * time.Second

	noticeInterval = NoticeTTL / 2
	staleAfter     = 2 * ReportInterval
	// gatherTime is how long the owner of a node waits for further parts.
	gatherTime = 200 * time.Millisecond
	// pruneInterval is how often counters of customers without recent requests are removed.
	pruneInterval = 10 * time.Second
	// minTokens is the use below which a customer is forgotten.
	minTokens = 1
	// defaultFanout is the number of children of a node.
	defaultFanout = 8
)

// Config configures a Machine.
type Config struct {
	Self state.Member
	// Fanout is the number of children of a node of the tree; 0 for the default.
	Fanout int
	// Weight returns the weight of a customer; nil for equal weights. It is greater than 0.
	Weight func(Customer) float64
}

// Machine tracks the customers' use of services at one daemon, and the parts of the site's use that
// this daemon sums up for others.
type Machine struct {
	cfg      Config
	daemons  []state.DaemonID
	services map[state.ServiceID]*service
	pruneAt  time.Time
	out      []Action
}

// service is the state of one service.
type service struct {
	id          state.ServiceID
	counters    map[Customer]*counter
	markedUntil time.Time // by this daemon
	heardUntil  time.Time // by a notice
	reportAt    time.Time // when the next report is due; zero while the service is not contended
	noticeAt    time.Time // when the next notice is due, if this daemon owns the root
	number      uint64    // of the last report or table
	ownShare    float64   // of a customer with weight 1, by the last report of this daemon; 0 for none
	heads       map[node]*head
	table       *standing
	over        map[Customer]bool // customers of this daemon that exceed their share
}

// New returns a Machine of a daemon that knows no other.
func New(cfg Config) *Machine {
	if cfg.Fanout < 2 {
		cfg.Fanout = defaultFanout
	}
	if cfg.Weight == nil {
		cfg.Weight = func(Customer) float64 { return 1 }
	}
	return &Machine{cfg: cfg, daemons: []state.DaemonID{cfg.Self.ID}, services: make(map[state.ServiceID]*service)}
}

func (m *Machine) service(id state.ServiceID) *service {
	s := m.services[id]
	if s == nil {
		s = &service{
			id: id, counters: make(map[Customer]*counter), heads: make(map[node]*head), over: make(map[Customer]bool),
		}
		m.services[id] = s
	}
	return s
}

// Charge records that a request was admitted.
func (m *Machine) Charge(now time.Time, id state.ServiceID, c Customer, tokens float64) {
	m.count(now, id, c, Use{Admitted: tokens})
}

// Reject records that a request was not admitted for lack of room.
func (m *Machine) Reject(now time.Time, id state.ServiceID, c Customer, tokens float64) {
	m.count(now, id, c, Use{Rejected: tokens})
}

func (m *Machine) count(now time.Time, id state.ServiceID, c Customer, u Use) {
	s := m.service(id)
	n := s.counters[c]
	if n == nil {
		n = &counter{at: now}
		s.counters[c] = n
	}
	n.add(now, u)
	if m.pruneAt.IsZero() {
		m.pruneAt = now.Add(pruneInterval)
	}
}

// MarkContended records that this daemon finds a service overloaded. It returns whether a Tick is
// due at once.
func (m *Machine) MarkContended(now time.Time, id state.ServiceID) bool {
	s := m.service(id)
	s.markedUntil = later(s.markedUntil, now.Add(MarkTTL))
	if !s.reportAt.IsZero() {
		return false
	}
	s.reportAt = now
	return true
}

// Contended reports whether a service is overloaded as far as this daemon knows.
func (m *Machine) Contended(now time.Time, id state.ServiceID) bool {
	s := m.services[id]
	return s != nil && s.contended(now)
}

func (s *service) contended(now time.Time) bool {
	return now.Before(s.markedUntil) || s.table.valid(now) && now.Before(s.table.contendedUntil)
}

// Excess returns how far a customer exceeds its fair share of a service: 0 within its share and while
// the service is not contended, 1 from twice its share on, linear between.
func (m *Machine) Excess(now time.Time, id state.ServiceID, c Customer) float64 {
	s := m.services[id]
	if s == nil || !s.contended(now) {
		return 0
	}
	if !s.table.valid(now) {
		return excess(s.own(now, c).Admitted, s.ownShare*m.cfg.Weight(c)*m.unknownFactor(1))
	}
	return excess(s.table.used(now, c), m.share(now, s.table, c))
}

// share returns the share of a customer according to a table. Daemons whose use is not included yet
// are taken to be loaded as the others are.
func (m *Machine) share(now time.Time, s *standing, c Customer) float64 {
	return s.share(now) * m.cfg.Weight(c) * m.unknownFactor(s.table.Daemons)
}

// unknownFactor is the number of reachable daemons for each one whose use is known.
func (m *Machine) unknownFactor(included int) float64 {
	return max(1, float64(len(m.daemons))/float64(max(included, 1)))
}

func (s *service) own(now time.Time, c Customer) Use {
	if n := s.counters[c]; n != nil {
		return n.value(now)
	}
	return Use{}
}

// ownUse returns the use at this daemon.
func (m *Machine) ownUse(now time.Time, s *service) *summary {
	sum := newSummary()
	sum.daemons, sum.contendedUntil = 1, s.markedUntil
	for c, n := range s.counters {
		if u := n.value(now); u.wanted() >= minTokens {
			sum.customers[c] = u
		}
	}
	return sum
}
