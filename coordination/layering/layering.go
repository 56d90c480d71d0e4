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
	// firstSettleTime is how long the list must be stable before the first layout: engines register
	// themselves over the first seconds of a site.
	firstSettleTime = 1500 * time.Millisecond
	// repairSettleTime is the same for a repair, so that engines that come back together are laid
	// out together.
	repairSettleTime = 200 * time.Millisecond
	// rankDelay is how much later each further daemon in rank order tries to acquire the lease.
	rankDelay = 500 * time.Millisecond
	// LeaseDuration is how long a lease is valid without renewal.
	LeaseDuration = 3 * time.Second
	// leaseMargin is how much sooner a holder stops than others take over, to allow for clock drift
	// and the latency of a call.
	leaseMargin = 500 * time.Millisecond
	// renewBefore is how long before its end a lease that is still needed is renewed.
	renewBefore = time.Second
	// acquireRetry is the delay after a failed attempt to acquire the lease.
	acquireRetry = 400 * time.Millisecond
	// orderRetry is the delay after which an order without effect is planned again.
	orderRetry = 700 * time.Millisecond
	// busyRetry is the same if the engine is carrying out another order: loading a tenth of the
	// layers takes about 1.5 s.
	busyRetry = 2 * time.Second
	// loadSlack is added to the expected load time before an order counts as lost: lists lag by a
	// heartbeat or two.
	loadSlack = 4 * time.Second
	// processRunsPerWait is how many times a daemon that is not next in rank processes changed lists
	// while it waits for its turn; maxProcessDelay is the longest time between two runs. Processing
	// 3,000 engines takes several ms.
	processRunsPerWait = 4
	maxProcessDelay    = 5 * time.Second
	// maxUnanswered is how many orders may wait for their answers. Each takes a connection and a
	// goroutine, while the holder also serves requests.
	maxUnanswered = 256
)

// Event is an input of Machine.
type Event interface{ layeringEvent() }

// Tick lets timers run.
type Tick struct{}

// ServersListed replaces the known engines of one service.
type ServersListed struct {
	Service state.ServiceID
	Engine  *fleet.Engine
	Servers []fleet.Server
}

// RankChanged reports how many daemons try to acquire the lease before this one.
type RankChanged struct{ DaemonsAhead int }

// LeaseAcquired reports that the lease is held under a fencing number; Sent is when the write that
// acquired it was sent.
type LeaseAcquired struct {
	Fence state.FencingNumber
	Sent  time.Time
}

// LeaseNotAcquired reports that another daemon holds the lease, or that the attempt failed. HeldFor
// is how long the other daemon's lease remains valid, if known.
type LeaseNotAcquired struct{ HeldFor time.Duration }

// OrderOutcome is the outcome of an order.
type OrderOutcome uint8

// The values of OrderOutcome.
const (
	Accepted   OrderOutcome = iota + 1 // it is being carried out, or is already in effect
	Unanswered                         // no answer; it may still be carried out later
	Conflict                           // it does not match the engine's state
	Fenced                             // the engine has seen a higher fencing number
	Expired                            // not sent: Order.SendBefore had passed
)

// OrderResult answers an Order action. OrderCount is the number of orders that the engine reports
// to have started, if Known is set.
type OrderResult struct {
	Server     state.BackendIncarnation
	Outcome    OrderOutcome
	Known      bool
	OrderCount uint64
	Busy       bool // it is carrying out an order, possibly of another daemon
}

func (Tick) layeringEvent()             {}
func (ServersListed) layeringEvent()    {}
func (RankChanged) layeringEvent()      {}
func (LeaseAcquired) layeringEvent()    {}
func (LeaseNotAcquired) layeringEvent() {}
func (OrderResult) layeringEvent()      {}

// Action is an output of Machine, to be executed by the caller of Step.
type Action interface{ layeringAction() }

// AcquireLease asks to acquire or renew the lease.
type AcquireLease struct{}

// Order asks to assign layers to an engine. It is sent only while HoldsLease is true.
type Order struct {
	Server     fleet.Server
	Layers     fleet.Range
	Fence      state.FencingNumber
	OrderCount uint64
	SendBefore time.Time // it may not be sent later
}

func (AcquireLease) layeringAction() {}
func (Order) layeringAction()        {}

// service holds the known engines of one service.
type service struct {
	engine     *fleet.Engine
	servers    []fleet.Server
	lastChange time.Time // time of the last change of the list
	noLayers   bool      // no engine has layers
}

// Machine is the state machine of one daemon. It must be used by one goroutine only.
type Machine struct {
	services      map[state.ServiceID]*service
	newLists      map[state.ServiceID]ServersListed // received but not yet processed
	lastProcessed time.Time                         // time of the last processing
	pending       pendingOrders
	orderCounts   map[state.BackendIncarnation]uint64 // known number of orders that each engine has started

	daemonsAhead     int // daemons that try first
	neededSince      time.Time
	fence            state.FencingNumber
	leaseUntil       time.Time // end of the lease
	acquiring        bool
	acquireNotBefore time.Time // of the next attempt to acquire the lease

	// plan holds the orders to be sent, according to the events so far. planStale means that it has
	// to be computed again; settlesAt is when it has to be computed again for a list that is stable
	// by then.
	plan      []plannedOrder
	planStale bool
	settlesAt time.Time
	planCount int

	now time.Time
	out []Action
}

// New returns a machine without any state.
func New() *Machine {
	return &Machine{
		services:    make(map[state.ServiceID]*service),
		newLists:    make(map[state.ServiceID]ServersListed),
		pending:     newPendingOrders(),
		orderCounts: make(map[state.BackendIncarnation]uint64),
	}
}

// HoldsLease reports whether orders may be sent at now.
func (m *Machine) HoldsLease(now time.Time) bool {
	return now.Before(m.leaseUntil)
}

// Fence returns the fencing number of the current or last lease.
func (m *Machine) Fence() state.FencingNumber { return m.fence }

// PendingOrders returns the number of orders that engines are believed to be carrying out.
func (m *Machine) PendingOrders() int { return m.pending.len() }

// PlanCount returns how many times engines have been laid out.
func (m *Machine) PlanCount() int { return m.planCount }

// Step processes one event and returns the actions to execute.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.now, m.out = now, nil
	switch ev := ev.(type) {
	case ServersListed:
		m.newLists[ev.Service] = ev
	case RankChanged:
		m.daemonsAhead = ev.DaemonsAhead
	case LeaseAcquired:
		m.acquiring = false
		m.fence = ev.Fence
		m.leaseUntil = ev.Sent.Add(LeaseDuration - leaseMargin)
	case LeaseNotAcquired:
		m.acquiring = false
		m.acquireNotBefore = now.Add(max(ev.HeldFor, acquireRetry))
	case OrderResult:
		m.handleResult(ev)
	case Tick:
	}
	if !now.Before(m.nextProcess()) {
		m.process()
	}
	m.decide()
	return m.out
}

// NextTick returns when a timer is due, zero for never.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if t.After(m.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(m.newLists) > 0 {
		earlier(m.nextProcess())
	}
	for _, s := range m.services {
		earlier(s.lastChange.Add(m.settleTime(s)))
	}
	earlier(m.pending.nextExpiry())
	if !m.neededSince.IsZero() {
		earlier(m.neededSince.Add(time.Duration(m.daemonsAhead) * rankDelay))
		earlier(m.acquireNotBefore)
		earlier(m.leaseUntil.Add(-renewBefore))
	}
	return next
}

// earlierNonZero returns the earlier of two times, where zero means none.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// nextProcess returns when the received lists are to be processed. The daemon that is next in rank
// and a lease holder process each list at once. With hundreds of daemons, the others would
// otherwise spend most of their CPU time on layouts that they never order.
func (m *Machine) nextProcess() time.Time {
	if m.daemonsAhead == 0 || m.acquiring || m.HoldsLease(m.now) || m.pending.len() > 0 {
		return m.now
	}
	return m.lastProcessed.Add(min(time.Duration(m.daemonsAhead)*rankDelay/processRunsPerWait, maxProcessDelay))
}

// process applies the lists that were received since the last call.
func (m *Machine) process() {
	if len(m.newLists) == 0 {
		return
	}
	m.lastProcessed = m.now
	for _, ev := range m.newLists {
		m.applyList(ev)
	}
	clear(m.newLists)
}

func (m *Machine) applyList(ev ServersListed) {
	s, ok := m.services[ev.Service]
	if !ok {
		s = &service{}
		m.services[ev.Service] = s
	}
	if !ok || !sameEngines(s.servers, ev.Servers) {
		s.lastChange = m.now
	}
	s.engine, s.servers = ev.Engine, ev.Servers
	s.noLayers = !slices.ContainsFunc(s.servers, func(srv fleet.Server) bool { return srv.Layers.Len() > 0 })
	m.planStale = true
	for _, srv := range ev.Servers {
		if p, ok := m.pending.get(srv.Incarnation()); ok && srv.Layers == p.layers {
			m.pending.remove(srv.Incarnation())
		}
	}
	m.dropUnlisted()
}

// sameEngines reports whether two lists have the same engines with the same layers and draining
// states.
func sameEngines(a, b []fleet.Server) bool {
	have := make(map[state.BackendIncarnation]fleet.Server, len(a))
	for _, s := range a {
		have[s.Incarnation()] = s
	}
	if len(a) != len(b) {
		return false
	}
	for _, s := range b {
		if old, ok := have[s.Incarnation()]; !ok || old.Layers != s.Layers || old.Draining != s.Draining {
			return false
		}
	}
	return true
}

// dropUnlisted drops the state of engines that are no longer listed.
func (m *Machine) dropUnlisted() {
	if m.pending.len() == 0 && len(m.orderCounts) == 0 {
		return
	}
	listed := make(map[state.BackendIncarnation]bool)
	for _, s := range m.services {
		for _, srv := range s.servers {
			listed[srv.Incarnation()] = true
		}
	}
	gone := func(id state.BackendIncarnation) bool { return !listed[id] }
	m.pending.removeAll(gone)
	maps.DeleteFunc(m.orderCounts, func(id state.BackendIncarnation, _ uint64) bool { return gone(id) })
}

func (m *Machine) handleResult(ev OrderResult) {
	p, ok := m.pending.get(ev.Server)
	if !ok {
		return
	}
	m.pending.markAnswered(ev.Server)
	if ev.Known {
		m.orderCounts[ev.Server] = ev.OrderCount
	}
	switch ev.Outcome {
	case Accepted:
		// This does not change the plan, which already counts the engine's new layers.
		m.orderCounts[ev.Server] = max(m.orderCounts[ev.Server], p.orderCount+1)
		return
	case Expired:
		m.planStale = true
		m.pending.remove(ev.Server)
		return
	case Fenced:
		// Another daemon holds a newer lease: the lease of this daemon has ended.
		m.leaseUntil = m.now
	case Conflict:
		if ev.Known && !ev.Busy && ev.OrderCount != p.orderCount {
			// A new holder does not know how many orders each engine has started. Now it does, and
			// plans again at once: waiting for orderRetry would leave callers without these layers
			// for 0.7 s.
			m.planStale = true
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

// settleTime returns how long a service's list must be stable.
func (m *Machine) settleTime(s *service) time.Duration {
	if s.noLayers && m.pending.len() == 0 {
		return firstSettleTime
	}
	return repairSettleTime
}

// decide computes the orders, and sends them under the lease.
func (m *Machine) decide() {
	if m.pending.expire(m.now) {
		m.planStale = true
	}
	m.replan()
	if len(m.plan) == 0 {
		m.neededSince = time.Time{}
		return
	}
	if m.neededSince.IsZero() {
		m.neededSince = m.now
	}
	if !m.HoldsLease(m.now) || m.leaseUntil.Sub(m.now) < renewBefore {
		m.acquire()
	}
	if !m.HoldsLease(m.now) {
		return
	}
	for len(m.plan) > 0 && m.pending.unanswered < maxUnanswered {
		m.sendOrder(m.plan[0])
		m.plan = m.plan[1:]
	}
	// Once all orders are pending, the plan is computed again to find what remains.
	m.planStale = m.planStale || len(m.plan) == 0
}

// replan computes the plan again if an event has changed its inputs. This takes about 5 ms if 3,000
// engines wait for layers, and a daemon processes hundreds of events per second: an event that
// changes nothing takes 0.02 us (BenchmarkTick).
func (m *Machine) replan() {
	due := !m.settlesAt.IsZero() && !m.now.Before(m.settlesAt)
	if !m.planStale && !due {
		return
	}
	m.plan, m.planStale = m.computePlan(), false
	m.planCount++
}

func (m *Machine) acquire() {
	earliest := m.neededSince.Add(time.Duration(m.daemonsAhead) * rankDelay)
	if m.acquiring || m.now.Before(m.acquireNotBefore) || m.now.Before(earliest) {
		return
	}
	if len(m.newLists) > 0 {
		m.process() // the layers may have been ordered meanwhile
		m.decide()
		return
	}
	m.acquiring = true
	m.out = append(m.out, AcquireLease{})
}

// plannedOrder is one assignment with its engine.
type plannedOrder struct {
	cover.Assignment
	engine *fleet.Engine
}

// computePlan returns the assignments to order now, and sets when it is to be called again for
// lists that are not stable yet.
func (m *Machine) computePlan() []plannedOrder {
	m.settlesAt = time.Time{}
	pending := m.pending.orders()
	var out []plannedOrder
	for _, id := range slices.Sorted(maps.Keys(m.services)) {
		s := m.services[id]
		if s.engine == nil {
			continue
		}
		if settled := s.lastChange.Add(m.settleTime(s)); m.now.Before(settled) {
			m.settlesAt = earlierNonZero(m.settlesAt, settled)
			continue
		}
		for _, a := range m.assignments(s, pending) {
			out = append(out, plannedOrder{a, s.engine})
		}
	}
	return out
}

func (m *Machine) assignments(s *service, pending map[state.BackendIncarnation]cover.PendingOrder) []cover.Assignment {
	return cover.Repair(s.engine, s.servers, pending)
}

func (m *Machine) sendOrder(o plannedOrder) {
	if o.Server.Layers == o.Layers {
		return
	}
	orderCount := m.orderCounts[o.Server.Incarnation()]
	share := float64(o.Layers.Len()) / float64(o.engine.Layers)
	loadTime := time.Duration(float64(o.engine.LoadTime) * share)
	m.pending.add(o.Server.Incarnation(), pendingOrder{layers: o.Layers, orderCount: orderCount, retryAt: m.now.Add(2*loadTime + loadSlack), moved: o.Server.Layers.Len() > 0})
	m.out = append(m.out, Order{Server: o.Server, Layers: o.Layers, Fence: m.fence, OrderCount: orderCount, SendBefore: m.leaseUntil})
}
