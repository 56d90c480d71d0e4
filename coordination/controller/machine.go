package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Machine is the controller of one service. It belongs to the control goroutine.
type Machine struct {
	cfg      Config
	rights   rights
	adopted  bool
	stopping bool

	document state.DocumentVersion
	chains   []*chain // by ID
	servers  map[state.BackendID]*server
	order    []*server // by ID
	next     int       // where the next round of reads begins

	calls    map[CallNumber]*server
	nextCall CallNumber

	dirty   bool // the chains must be looked at
	serial  uint64
	told    []Replica // as last published
	toldYet bool

	weights     LoadGrant
	wanted      int
	readTokens  float64
	readTokenAt time.Time
	askAt       time.Time
	stepped     time.Time
}

// New returns the controller of a service that may not act yet.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		servers: make(map[state.BackendID]*server),
		calls:   make(map[CallNumber]*server),
	}
}

// NextTick says when the machine next wants a Tick; the zero time means never.
func (m *Machine) NextTick() time.Time {
	if m.rights.standing == lease.None {
		return time.Time{}
	}
	return m.stepped.Add(m.cfg.TickInterval)
}

// Clean reports whether no order of this or an earlier holder can be under way.
func (m *Machine) Clean(now time.Time) bool {
	if now.Before(m.rights.waitOut) {
		return false
	}
	for _, sv := range m.calls {
		if sv.ordering {
			return false
		}
	}
	for _, sv := range m.order {
		if now.Before(sv.notUntil) {
			return false // an unanswered order may still take effect
		}
	}
	return true
}

// Step takes in one event and returns what is to be done.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.stepped = now
	var out []Action
	m.dirty = true
	switch ev := ev.(type) {
	case Tick:
		m.dirty = false
	case Lease:
		m.lease(now, ev.Status)
	case Adopt:
		m.adopt(ev.Table)
	case Desired:
		m.desired(ev)
	case Backends:
		m.backends(ev.List)
	case OrderResult:
		out = m.answered(now, ev)
	case ReadResult:
		if sv, ok := m.take(ev.Call); ok {
			m.dirty = sv.learn(now, ev.State)
		}
	case ResultUnknown:
		m.unanswered(now, ev.Call)
	case Observed:
		m.observed(now, ev)
	case ReplicaRequests:
		m.inFlight(now, ev)
	case BackendRequests:
		if sv, ok := m.servers[ev.Backend]; ok {
			sv.idleAt = idleSince(now, ev.Count)
		}
	case Published:
		m.published(now, ev)
	case LoadGrant:
		m.weights = ev
	case Stop:
		m.stopping = true
	default:
		panic(fmt.Sprintf("controller: unknown event %T", ev))
	}
	if m.expireCalls(now) {
		m.dirty = true
	}
	if m.rights.standing == lease.None || !m.adopted {
		return out
	}
	if m.dirty {
		m.advance()
		out = m.publish(out)
	}
	out = m.ask(out, now)
	return m.drive(out, now)
}

// lease takes in a status. A new reign knows nothing for sure of any server: a
// former holder may have changed it since it was read.
func (m *Machine) lease(now time.Time, s lease.Status) {
	if s.State != lease.None && s.TermID != m.rights.reign {
		m.adopted = false
		m.toldYet = false
		m.chains = lo.Filter(m.chains, func(c *chain, _ int) bool { return c.wanted })
		for _, c := range m.chains {
			*c = chain{Chain: c.Chain, wanted: true}
		}
		for _, sv := range m.order {
			sv.readAt = time.Time{}
		}
		m.rights.began = now
		m.rights.waitOut = now
		if !s.Clean {
			m.rights.waitOut = now.Add(m.cfg.MaxOrderDelay)
		}
		m.rights.reign = s.TermID
		m.rights.base = s.Fencing
	}
	m.rights.standing = s.State
	m.rights.fencing = s.Fencing
	m.rights.until = s.Until
}

// adopt takes over the replicas that callers' requests may be running on.
func (m *Machine) adopt(t ReplicaTable) {
	m.adopted = true
	m.serial = max(m.serial, t.Serial)
	for _, r := range t.Replicas {
		c := m.chain(r.Chain.ID)
		if c == nil {
			c = &chain{Chain: r.Chain}
			m.chains = append(m.chains, c)
		}
		c.phase = ready
		if r.Leaving {
			c.phase = leaving
		}
	}
	m.sortChains()
}

func (m *Machine) desired(ev Desired) {
	m.document = ev.Document
	for _, c := range m.chains {
		c.wanted = false
	}
	for _, d := range ev.Chains {
		c := m.chain(d.ID)
		if c == nil {
			c = &chain{Chain: d}
			m.chains = append(m.chains, c)
		}
		c.wanted = true
	}
	m.sortChains()
}

func (m *Machine) backends(list []Backend) {
	live := make(map[state.BackendID]bool, len(list))
	for _, b := range list {
		live[b.ID] = true
		sv, ok := m.servers[b.ID]
		if !ok {
			sv = &server{id: b.ID}
			m.servers[b.ID] = sv
		}
		sv.checks = b.ChecksFencing
	}
	for id, sv := range m.servers {
		if !live[id] {
			delete(m.servers, id)
			delete(m.calls, sv.call)
		}
	}
	m.order = lo.Values(m.servers)
	slices.SortFunc(m.order, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
}

func (m *Machine) chain(id state.ReplicaID) *chain {
	for _, c := range m.chains {
		if c.ID == id {
			return c
		}
	}
	return nil
}

func (m *Machine) sortChains() {
	slices.SortFunc(m.chains, func(a, b *chain) int { return cmp.Compare(a.ID, b.ID) })
}

// answered takes in a server's answer. A server that ignores numbers is read
// again: its answer shows the order's effect, but not that an older order did
// not come after it.
func (m *Machine) answered(now time.Time, ev OrderResult) []Action {
	sv, ok := m.take(ev.Call)
	if !ok {
		return nil
	}
	sv.learn(now, ev.State)
	if !sv.checks {
		sv.readAt = time.Time{}
	}
	switch ev.Status {
	case StatusApplied:
		return nil
	case StatusStale:
		sv.notUntil = now.Add(m.cfg.RetryDelay)
		return []Action{FencingRefused{Backend: sv.id, Fencing: m.rights.fencing, Seen: ev.State.Fencing}}
	default:
		sv.notUntil = now.Add(m.cfg.RetryDelay)
		return nil
	}
}

// unanswered leaves what the server holds unknown. Where numbers are ignored the
// order may come late, and after the next one: no further order until it can't.
func (m *Machine) unanswered(now time.Time, call CallNumber) {
	sv, ok := m.take(call)
	if !ok {
		return
	}
	if sv.ordering && !sv.checks {
		sv.notUntil = sv.callAt.Add(m.cfg.MaxOrderDelay)
	} else {
		sv.notUntil = now.Add(m.cfg.RetryDelay)
	}
	sv.doubt = sv.doubt || (sv.ordering && sv.loads)
	sv.readAt = time.Time{}
}

// observed lets a state that another daemon saw bring the next read forward; an
// old one can't be told from a new one.
func (m *Machine) observed(now time.Time, ev Observed) {
	sv, ok := m.servers[ev.Backend]
	if !ok || sv.call != 0 || sv.readAt.IsZero() {
		return
	}
	if !sv.state.Loaded.equal(ev.State.Loaded) || sv.state.Loading != ev.State.Loading {
		sv.readAt = now.Add(-m.cfg.ReconcileInterval)
	}
}

func (m *Machine) inFlight(now time.Time, ev ReplicaRequests) {
	if c := m.chain(ev.Replica); c != nil {
		c.idleAt = idleSince(now, ev.Count)
	}
}

func idleSince(now time.Time, count int) time.Time {
	if count > 0 {
		return time.Time{}
	}
	return now
}

func (m *Machine) published(now time.Time, ev Published) {
	if ev.Serial != m.serial {
		return // an older table; a newer one is under way
	}
	for _, c := range m.chains {
		if c.phase == leaving && c.toldLeaving.IsZero() {
			c.toldLeaving = now
		}
	}
}

func (m *Machine) take(call CallNumber) (*server, bool) {
	sv, ok := m.calls[call]
	if !ok {
		return nil, false
	}
	delete(m.calls, call)
	sv.call = 0
	return sv, true
}

// expireCalls reports whether a call got no answer in time.
func (m *Machine) expireCalls(now time.Time) bool {
	var late []CallNumber
	for n, sv := range m.calls {
		if now.Sub(sv.callAt) >= m.cfg.CallTimeout {
			late = append(late, n)
		}
	}
	slices.Sort(late)
	for _, n := range late {
		m.unanswered(now, n)
	}
	return len(late) > 0
}

// learn takes in a state and reports whether it says something new.
func (sv *server) learn(now time.Time, s ServerState) bool {
	news := sv.readAt.IsZero() || sv.state.Service != s.Service ||
		sv.state.Loading != s.Loading || !sv.state.Loaded.equal(s.Loaded)
	sv.state = s
	sv.readAt = now
	sv.doubt = false
	return news
}
