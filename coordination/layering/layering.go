package layering

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/cover"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// settleFirst is how long the list must stand still before a first layout:
	// engines list themselves over the first seconds of a site's life.
	settleFirst = 1500 * time.Millisecond
	// settleLater is the same for a repair, so that engines which come back
	// together are laid out together.
	settleLater = 200 * time.Millisecond
	// rankDelay is how much later each next daemon tries to take the lease.
	rankDelay = 500 * time.Millisecond
	// Term is how long a lease stands without renewal.
	LeaseDuration = 3 * time.Second
	// termMargin is how much sooner a holder stops than others take over, for
	// clocks that differ in rate and a call's way.
	termMargin = 500 * time.Millisecond
	// renewBefore is how long before its end a lease that is still needed is
	// renewed.
	renewBefore = time.Second
	// acquireRetry is how long after a failed attempt the next one follows.
	acquireRetry = 400 * time.Millisecond
	// orderRetry is how long after an order without effect it is decided anew.
	orderRetry = 700 * time.Millisecond
	// busyRetry is the same where the engine is carrying out another order: a load
	// of a tenth of the layers takes some 1.5 s.
	busyRetry = 2 * time.Second
	// loadSlack is added to the time that a load should take, before the order
	// counts as lost: lists lag by a heartbeat or two.
	loadSlack = 4 * time.Second
	// A daemon that is not next in turn looks at changed lists as many times while it waits
	// for its turn, and at the latest after lookMost. A look at 3,000 engines takes some ms.
	looksInTurn = 4
	lookMost    = 5 * time.Second
	// ordersAtOnce is how many orders may wait for their answers. Each takes a
	// connection and a goroutine, beside which the holder serves requests.
	ordersAtOnce = 256
)

// Event is something that happened.
type Event interface{ layeringEvent() }

// Tick lets timers run.
type Tick struct{}

// Listed replaces what is known of one service's engines.
type ServersListed struct {
	Service state.ServiceID
	Engine  *fleet.Engine
	Servers []fleet.Server
}

// Ranked says how many daemons are to try before this one.
type RankChanged struct{ DaemonsAhead int }

// Acquired says that the lease is held under a fencing number; Sent is when the
// write that took it was sent.
type LeaseAcquired struct {
	Fence state.FencingNumber
	Sent  time.Time
}

// NotAcquired says that another daemon holds the lease, or that the attempt
// failed. HeldFor is how long the other's lease still stands, if known.
type LeaseNotAcquired struct{ HeldFor time.Duration }

// OrderEnd is what became of an order.
type OrderOutcome uint8

// The values of OrderEnd.
const (
	Accepted   OrderOutcome = iota + 1 // it is being carried out, or holds already
	Unanswered                         // no answer; it may be carried out late
	Conflict                           // it does not fit the engine's state
	Fenced                             // a higher fencing number was seen
	Expired                            // not sent: Order.Until had passed
)

// Ordered answers an Order action. Orders is the number of orders that the engine
// has begun by its own report, where Known.
type OrderResult struct {
	Server     state.Life
	Outcome    OrderOutcome
	Known      bool
	OrderCount uint64
	Busy       bool // it is carrying out an order, of another daemon perhaps
}

func (Tick) layeringEvent()             {}
func (ServersListed) layeringEvent()    {}
func (RankChanged) layeringEvent()      {}
func (LeaseAcquired) layeringEvent()    {}
func (LeaseNotAcquired) layeringEvent() {}
func (OrderResult) layeringEvent()      {}

// Action is something for the caller of Step to do.
type Action interface{ layeringAction() }

// Acquire asks for the lease to be taken or renewed.
type AcquireLease struct{}

// Order asks for an engine to be given layers. It is sent only while Holds.
type Order struct {
	Server     fleet.Server
	Layers     fleet.Range
	Fence      state.FencingNumber
	OrderCount uint64
	SendBefore time.Time // after which it may not be sent
}

func (AcquireLease) layeringAction() {}
func (Order) layeringAction()        {}

// service is what is known of one service's engines.
type service struct {
	engine  *fleet.Engine
	servers []fleet.Server
	changed time.Time // when the list last did
	bare    bool      // no engine has layers
}

// Machine decides for one daemon. It belongs to one goroutine.
type Machine struct {
	services map[state.ServiceID]*service
	lists    map[state.ServiceID]ServersListed // that have come since the last look
	looked   time.Time                         // when that was
	pending  underWay
	orders   map[state.Life]uint64 // that each engine has begun, as far as is known

	before    int // daemons that try first
	needed    time.Time
	fence     state.FencingNumber
	until     time.Time // of the lease
	acquiring bool
	notBefore time.Time // of the next attempt at the lease

	// plan is what is to be ordered, as of the events so far; stale says that it is to be
	// worked out again, and settles when it is for a list that has then stood still.
	plan    []want
	stale   bool
	settles time.Time
	layouts int

	now time.Time
	out []Action
}

// New returns a machine that knows nothing.
func New() *Machine {
	return &Machine{
		services: make(map[state.ServiceID]*service),
		lists:    make(map[state.ServiceID]ServersListed),
		pending:  newUnderWay(),
		orders:   make(map[state.Life]uint64),
	}
}

// Holds reports whether orders may be given at now.
func (m *Machine) HoldsLease(now time.Time) bool {
	return now.Before(m.until)
}

// Fence is the fencing number of the lease that is held, or was last.
func (m *Machine) Fence() state.FencingNumber { return m.fence }

// UnderWay counts the orders that engines are carrying out, as far as is known.
func (m *Machine) PendingOrders() int { return m.pending.len() }

// Layouts is how many times engines have been laid out.
func (m *Machine) PlanCount() int { return m.layouts }

// Step takes in one event and gives what is to be done about it.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.now, m.out = now, nil
	switch ev := ev.(type) {
	case ServersListed:
		m.lists[ev.Service] = ev
	case RankChanged:
		m.before = ev.DaemonsAhead
	case LeaseAcquired:
		m.acquiring = false
		m.fence = ev.Fence
		m.until = ev.Sent.Add(LeaseDuration - termMargin)
	case LeaseNotAcquired:
		m.acquiring = false
		m.notBefore = now.Add(max(ev.HeldFor, acquireRetry))
	case OrderResult:
		m.ordered(ev)
	case Tick:
	}
	if !now.Before(m.nextLook()) {
		m.look()
	}
	m.decide()
	return m.out
}

// NextTick is when a timer is due, zero for never.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if t.After(m.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(m.lists) > 0 {
		earlier(m.nextLook())
	}
	for _, s := range m.services {
		earlier(s.changed.Add(m.settle(s)))
	}
	earlier(m.pending.nextExpiry())
	if !m.needed.IsZero() {
		earlier(m.needed.Add(time.Duration(m.before) * rankDelay))
		earlier(m.notBefore)
		earlier(m.until.Add(-renewBefore))
	}
	return next
}

// sooner is the earlier of two times, of which a zero one is none.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// nextLook is when the lists that have come are to be looked at. The daemon that is next in
// turn looks at each at once, and so does a holder; of hundreds of daemons the others would
// spend most of their processors on layouts that they never order.
func (m *Machine) nextLook() time.Time {
	if m.before == 0 || m.acquiring || m.HoldsLease(m.now) || m.pending.len() > 0 {
		return m.now
	}
	return m.looked.Add(min(time.Duration(m.before)*rankDelay/looksInTurn, lookMost))
}

// look takes up the lists that have come since the last look.
func (m *Machine) look() {
	if len(m.lists) == 0 {
		return
	}
	m.looked = m.now
	for _, ev := range m.lists {
		m.listed(ev)
	}
	clear(m.lists)
}

func (m *Machine) listed(ev ServersListed) {
	s, ok := m.services[ev.Service]
	if !ok {
		s = &service{}
		m.services[ev.Service] = s
	}
	if !ok || !sameEngines(s.servers, ev.Servers) {
		s.changed = m.now
	}
	s.engine, s.servers = ev.Engine, ev.Servers
	s.bare = !slices.ContainsFunc(s.servers, func(srv fleet.Server) bool { return srv.Layers.Len() > 0 })
	m.stale = true
	for _, srv := range ev.Servers {
		if p, ok := m.pending.get(srv.Life()); ok && srv.Layers == p.layers {
			m.pending.remove(srv.Life())
		}
	}
	m.forgetGone()
}

// sameEngines reports whether two lists hold the same engines with the same layers,
// and the same ones leaving.
func sameEngines(a, b []fleet.Server) bool {
	have := make(map[state.Life]fleet.Server, len(a))
	for _, s := range a {
		have[s.Life()] = s
	}
	if len(a) != len(b) {
		return false
	}
	for _, s := range b {
		if old, ok := have[s.Life()]; !ok || old.Layers != s.Layers || old.Draining != s.Draining {
			return false
		}
	}
	return true
}

// forgetGone drops what is kept of engines that are no longer listed.
func (m *Machine) forgetGone() {
	if m.pending.len() == 0 && len(m.orders) == 0 {
		return
	}
	listed := make(map[state.Life]bool)
	for _, s := range m.services {
		for _, srv := range s.servers {
			listed[srv.Life()] = true
		}
	}
	gone := func(id state.Life) bool { return !listed[id] }
	m.pending.removeAll(gone)
	maps.DeleteFunc(m.orders, func(id state.Life, _ uint64) bool { return gone(id) })
}

func (m *Machine) ordered(ev OrderResult) {
	p, ok := m.pending.get(ev.Server)
	if !ok {
		return
	}
	m.pending.answered(ev.Server)
	if ev.Known {
		m.orders[ev.Server] = ev.OrderCount
	}
	switch ev.Outcome {
	case Accepted:
		// It changes nothing of the plan, which counts the engine's new layers already.
		m.orders[ev.Server] = max(m.orders[ev.Server], p.orders+1)
		return
	case Expired:
		m.stale = true
		m.pending.remove(ev.Server)
		return
	case Fenced:
		// Another daemon holds a later lease: this one's has ended.
		m.until = m.now
	case Conflict:
		if ev.Known && !ev.Busy && ev.OrderCount != p.orders {
			// A new holder does not know how many orders each engine has begun.
			// Now it does, and decides anew at once: a wait of orderRetry keeps
			// callers without these layers for 0.7 s.
			m.stale = true
			m.pending.remove(ev.Server)
			return
		}
	default:
	}
	until := m.now.Add(orderRetry)
	if ev.Busy {
		until = m.now.Add(busyRetry)
	}
	m.pending.extend(ev.Server, until)
}

// settle is how long a service's list must stand still.
func (m *Machine) settle(s *service) time.Duration {
	if s.bare && m.pending.len() == 0 {
		return settleFirst
	}
	return settleLater
}

// decide works out what is to be ordered, and orders it under the lease.
func (m *Machine) decide() {
	if m.pending.expire(m.now) {
		m.stale = true
	}
	m.replan()
	if len(m.plan) == 0 {
		m.needed = time.Time{}
		return
	}
	if m.needed.IsZero() {
		m.needed = m.now
	}
	if !m.HoldsLease(m.now) || m.until.Sub(m.now) < renewBefore {
		m.acquire()
	}
	if !m.HoldsLease(m.now) {
		return
	}
	for len(m.plan) > 0 && m.pending.unanswered < ordersAtOnce {
		m.order(m.plan[0])
		m.plan = m.plan[1:]
	}
	// What the orders leave to be done shows once all of them are under way.
	m.stale = m.stale || len(m.plan) == 0
}

// replan works out what is to be ordered, if anything has happened since it last was. It
// costs some 5 ms where 3,000 engines wait for layers, and a daemon sees hundreds of events a
// second: 0.02 us an event where nothing has happened (BenchmarkTick).
func (m *Machine) replan() {
	due := !m.settles.IsZero() && !m.now.Before(m.settles)
	if !m.stale && !due {
		return
	}
	m.plan, m.stale = m.wanted(), false
	m.layouts++
}

func (m *Machine) acquire() {
	turn := m.needed.Add(time.Duration(m.before) * rankDelay)
	if m.acquiring || m.now.Before(m.notBefore) || m.now.Before(turn) {
		return
	}
	if len(m.lists) > 0 {
		m.look() // what it goes by may have been ordered meanwhile
		m.decide()
		return
	}
	m.acquiring = true
	m.out = append(m.out, AcquireLease{})
}

// want is one assignment with the engine that it is for.
type want struct {
	cover.Assignment
	engine *fleet.Engine
}

// wanted lists what is to be ordered now, and notes when it is to be asked again for lists
// that have not stood still yet.
func (m *Machine) wanted() []want {
	m.settles = time.Time{}
	under := m.pending.orders()
	var out []want
	for _, id := range slices.Sorted(maps.Keys(m.services)) {
		s := m.services[id]
		if s.engine == nil {
			continue
		}
		if settled := s.changed.Add(m.settle(s)); m.now.Before(settled) {
			m.settles = sooner(m.settles, settled)
			continue
		}
		for _, a := range m.assignments(s, under) {
			out = append(out, want{a, s.engine})
		}
	}
	return out
}

func (m *Machine) assignments(s *service, under map[state.Life]cover.PendingOrder) []cover.Assignment {
	return cover.Repair(s.engine, s.servers, under)
}

func (m *Machine) order(w want) {
	if w.Server.Layers == w.Layers {
		return
	}
	orders := m.orders[w.Server.Life()]
	share := float64(w.Layers.Len()) / float64(w.engine.Layers)
	load := time.Duration(float64(w.engine.LoadTime) * share)
	m.pending.add(w.Server.Life(), pending{layers: w.Layers, orders: orders, until: m.now.Add(2*load + loadSlack), moved: w.Server.Layers.Len() > 0})
	m.out = append(m.out, Order{Server: w.Server, Layers: w.Layers, Fence: m.fence, OrderCount: orders, SendBefore: m.until})
}
