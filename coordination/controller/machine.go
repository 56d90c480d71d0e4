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

// Machine is the controller of one service, a state machine. Only the control
// goroutine may use it.
type Machine struct {
	cfg      Config
	rights   leaseRights
	adopted  bool
	stopping bool

	document    state.DocumentVersion
	chains      []*chain // by ID
	servers     map[state.BackendID]*server
	serversByID []*server // by ID
	nextRead    int       // index of the server where the next round of reads begins

	calls    map[CallNumber]*server
	nextCall CallNumber

	dirty         bool // the chains must be re-evaluated
	serial        uint64
	lastPublished []Replica
	hasPublished  bool

	loadGrant      LoadGrant
	requestedSlots int
	readTokens     float64
	readTokenAt    time.Time
	nextCountQuery time.Time
	lastStep       time.Time
}

// New returns the controller of a service. It acts only once it has the lease.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		servers: make(map[state.BackendID]*server),
		calls:   make(map[CallNumber]*server),
	}
}

// NextTick returns when the next Tick is due; the zero time means never.
func (m *Machine) NextTick() time.Time {
	if m.rights.leaseState == lease.None {
		return time.Time{}
	}
	return m.lastStep.Add(m.cfg.TickInterval)
}

// Clean reports whether no order of this or an earlier holder can be in flight.
func (m *Machine) Clean(now time.Time) bool {
	if now.Before(m.rights.unfencedFrom) {
		return false
	}
	for _, sv := range m.calls {
		if sv.callIsOrder {
			return false
		}
	}
	for _, sv := range m.serversByID {
		if now.Before(sv.retryAt) {
			return false // an order without an answer may still take effect
		}
	}
	return true
}

// Step applies one event and returns the actions to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.lastStep = now
	var out []Action
	m.dirty = true
	switch ev := ev.(type) {
	case Tick:
		m.dirty = false
	case Lease:
		m.applyLease(now, ev.Status)
	case Adopt:
		m.adopt(ev.Table)
	case Desired:
		m.desired(ev)
	case Backends:
		m.backends(ev.List)
	case OrderResult:
		out = m.orderResult(now, ev)
	case ReadResult:
		if sv, ok := m.finishCall(ev.Call); ok {
			m.dirty = sv.updateState(now, ev.State)
		}
	case ResultUnknown:
		m.resultUnknown(now, ev.Call)
	case Observed:
		m.observed(now, ev)
	case ReplicaRequests:
		m.replicaRequests(now, ev)
	case BackendRequests:
		if sv, ok := m.servers[ev.Backend]; ok {
			sv.idleAt = idleSince(now, ev.Count)
		}
	case Published:
		m.published(now, ev)
	case LoadGrant:
		m.loadGrant = ev
	case Stop:
		m.stopping = true
	default:
		panic(fmt.Sprintf("controller: unknown event %T", ev))
	}
	if m.expireCalls(now) {
		m.dirty = true
	}
	if m.rights.leaseState == lease.None || !m.adopted {
		return out
	}
	if m.dirty {
		m.advance()
		out = m.publish(out)
	}
	out = m.queryCounts(out, now)
	return m.issueCalls(out, now)
}

// applyLease applies a lease status. A new term discards all server states: a
// former holder may have changed a server since it was read.
func (m *Machine) applyLease(now time.Time, s lease.Status) {
	if s.State != lease.None && s.TermID != m.rights.termID {
		m.adopted = false
		m.hasPublished = false
		m.chains = lo.Filter(m.chains, func(c *chain, _ int) bool { return c.wanted })
		for _, c := range m.chains {
			*c = chain{Chain: c.Chain, wanted: true}
		}
		for _, sv := range m.serversByID {
			sv.readAt = time.Time{}
		}
		m.rights.termStart = now
		m.rights.unfencedFrom = now
		if !s.Clean {
			m.rights.unfencedFrom = now.Add(m.cfg.MaxOrderDelay)
		}
		m.rights.termID = s.TermID
		m.rights.termFencing = s.Fencing
	}
	m.rights.leaseState = s.State
	m.rights.fencing = s.Fencing
	m.rights.until = s.Until
}

// adopt adds the published replicas, on which callers' requests may be running.
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
		sv.checksFencing = b.ChecksFencing
	}
	for id, sv := range m.servers {
		if !live[id] {
			delete(m.servers, id)
			delete(m.calls, sv.call)
		}
	}
	m.serversByID = lo.Values(m.servers)
	slices.SortFunc(m.serversByID, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
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

// orderResult applies a server's answer to an order. A server that ignores
// fencing numbers is read again: its answer shows the order's effect, but not
// that no older order took effect after it.
func (m *Machine) orderResult(now time.Time, ev OrderResult) []Action {
	sv, ok := m.finishCall(ev.Call)
	if !ok {
		return nil
	}
	sv.updateState(now, ev.State)
	if !sv.checksFencing {
		sv.readAt = time.Time{}
	}
	switch ev.Status {
	case StatusApplied:
		return nil
	case StatusStale:
		sv.retryAt = now.Add(m.cfg.RetryDelay)
		return []Action{FencingRefused{Backend: sv.id, Fencing: m.rights.fencing, Seen: ev.State.Fencing}}
	default:
		sv.retryAt = now.Add(m.cfg.RetryDelay)
		return nil
	}
}

// resultUnknown marks the server's state as unknown. A server that ignores
// fencing numbers may receive the order late, even after the next one; it gets no
// further order until that can't happen any more.
func (m *Machine) resultUnknown(now time.Time, call CallNumber) {
	sv, ok := m.finishCall(call)
	if !ok {
		return
	}
	if sv.callIsOrder && !sv.checksFencing {
		sv.retryAt = sv.calledAt.Add(m.cfg.MaxOrderDelay)
	} else {
		sv.retryAt = now.Add(m.cfg.RetryDelay)
	}
	sv.mayBeLoading = sv.mayBeLoading || (sv.callIsOrder && sv.callIsLoad)
	sv.readAt = time.Time{}
}

// observed makes a read due at once if another daemon saw a different state. The
// state itself is not used, because it may be older than the one read last.
func (m *Machine) observed(now time.Time, ev Observed) {
	sv, ok := m.servers[ev.Backend]
	if !ok || sv.call != 0 || sv.readAt.IsZero() {
		return
	}
	if !sv.state.Loaded.equal(ev.State.Loaded) || sv.state.Loading != ev.State.Loading {
		sv.readAt = now.Add(-m.cfg.ReconcileInterval)
	}
}

func (m *Machine) replicaRequests(now time.Time, ev ReplicaRequests) {
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
		return // an older table; the newer one is still being published
	}
	for _, c := range m.chains {
		if c.phase == leaving && c.leavingPublishedAt.IsZero() {
			c.leavingPublishedAt = now
		}
	}
}

func (m *Machine) finishCall(call CallNumber) (*server, bool) {
	sv, ok := m.calls[call]
	if !ok {
		return nil, false
	}
	delete(m.calls, call)
	sv.call = 0
	return sv, true
}

// expireCalls gives the calls that timed out an unknown result and reports whether
// there were any.
func (m *Machine) expireCalls(now time.Time) bool {
	var expired []CallNumber
	for n, sv := range m.calls {
		if now.Sub(sv.calledAt) >= m.cfg.CallTimeout {
			expired = append(expired, n)
		}
	}
	slices.Sort(expired)
	for _, n := range expired {
		m.resultUnknown(now, n)
	}
	return len(expired) > 0
}

// updateState stores a state and reports whether it differs from the one known.
func (sv *server) updateState(now time.Time, s ServerState) bool {
	changed := sv.readAt.IsZero() || sv.state.Service != s.Service ||
		sv.state.Loading != s.Loading || !sv.state.Loaded.equal(s.Loaded)
	sv.state = s
	sv.readAt = now
	sv.mayBeLoading = false
	return changed
}
