package scenario

import (
	"slices"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// The only service of the simulated site, and its classes.
const (
	serviceID  state.ServiceID  = "drafts"
	customerID state.CustomerID = "bank"
	poolID     home.PoolID      = "drafts"

	classCheck state.ClassID = "check" // short, highest priority
	classNote  state.ClassID = "note"  // must not be repeated
	classDraft state.ClassID = "draft" // long
)

func document() *service.Document {
	return &service.Document{
		Service:  serviceID,
		Capacity: service.Capacity{QueuePerClass: 4},
		Classes: []service.Class{
			{Name: classDraft, Priority: 2},
			{Name: classNote, Priority: 1, NeverRepeat: true},
			{Name: classCheck, Priority: 0},
		},
		Customers: []service.Customer{{ID: customerID, Weight: 1}},
	}
}

// pool is the home of all replicas, which grants their slots, on an instance that does
// not fail. Failures of a home are covered by other tests.
type pool struct {
	sim     *Simulation
	home    *home.Home
	pending map[home.SlotRequestID]*run // runs that wait for a slot
}

func newPool(sim *Simulation) *pool {
	p := &pool{sim: sim, home: home.New(home.Config{}), pending: make(map[home.SlotRequestID]*run)}
	p.membersChanged()
	p.step(home.DocumentChanged{Document: document()})
	p.step(home.PoolsAssigned{Pools: []home.PoolSpec{{ID: poolID, Service: serviceID, Replicas: sim.replicas}}})
	return p
}

// membersChanged updates the home with the live daemons.
func (p *pool) membersChanged() {
	live := lo.FilterMap(p.sim.nodes, func(n *node, _ int) (state.Member, bool) { return n.member, !n.dead })
	p.step(home.ViewChanged{Live: live})
}

func (p *pool) tick() {
	if due(p.home.NextTick(p.sim.now), p.sim.now) {
		p.step(home.Tick{})
	}
}

func (p *pool) step(ev home.Event) {
	for _, a := range slices.Clone(p.home.Step(p.sim.now, ev)) {
		switch a := a.(type) {
		case home.Send:
			p.send(a)
		case home.Suspected:
			p.sim.printf("%s is suspected and gets no requests", a.Replica)
		case home.Recovered:
			p.sim.printf("%s gets requests again", a.Replica)
		case home.GrantsRecovered:
		}
	}
}

func (p *pool) send(a home.Send) {
	n := p.sim.node(string(a.To))
	switch m := a.Msg.(type) {
	case home.SlotGrant:
		p.sim.after(hopDelay, func() { n.deliver(func() { p.slotGranted(m) }) })
	case home.SlotRefusal:
		p.sim.after(hopDelay, func() { n.deliver(func() { p.slotRefused(m) }) })
	case home.ReportQuery:
		p.deliverToHome(n, home.GrantReport{Pool: m.Pool})
	}
}

func (p *pool) deliverToHome(n *node, msg home.Message) {
	p.sim.after(hopDelay, func() { p.step(home.Received{From: n.member, Msg: msg}) })
}

func slotRequestID(r *run, a state.Attempt) home.SlotRequestID {
	return home.SlotRequestID{Request: state.RequestID(r.node.name + "/" + r.name()), Attempt: a}
}

func (p *pool) requestSlot(r *run, a request.AcquireSlot, exclusive bool) {
	id := slotRequestID(r, a.Attempt)
	p.pending[id] = r
	p.deliverToHome(r.node, home.SlotRequest{
		ID: id, Pool: poolID, Class: r.spec.Class, Customer: r.spec.Customer,
		Budget: r.spec.FirstTokenDeadline.Sub(p.sim.now), Cost: uint32(r.spec.MaxTokens), Exclude: a.Exclude,
		Exclusive: exclusive,
	})
}

func (p *pool) cancel(r *run, a state.Attempt) {
	id := slotRequestID(r, a)
	if _, waits := p.pending[id]; !waits {
		return
	}
	delete(p.pending, id)
	p.deliverToHome(r.node, home.CancelSlotRequest{ID: id, Pool: poolID})
}

// slotGranted delivers a slot to its run, with the current boot IDs of the engines.
func (p *pool) slotGranted(m home.SlotGrant) {
	r, ok := p.pending[m.ID]
	delete(p.pending, m.ID)
	replica, known := p.sim.replica(m.Replica)
	if !ok || !known {
		return // canceled; the home grants the slot to another request
	}
	replica.Stages = slices.Clone(replica.Stages)
	for i, s := range replica.Stages {
		e := p.sim.engine(s.Address)
		if e.dead {
			r.feedAfter(hopDelay, request.SlotUnusable{Grant: m.ID.Attempt, Replica: replica.ID})
			return
		}
		replica.Stages[i].BootID = e.bootID()
	}
	if q := r.node.quarantine; q != nil {
		q.runStarted(r, replica)
	}
	r.feed(request.SlotGranted{Grant: m.ID.Attempt, Replica: replica})
}

func (p *pool) slotRefused(m home.SlotRefusal) {
	r, ok := p.pending[m.ID]
	delete(p.pending, m.ID)
	if ok {
		r.feed(request.SlotRefused{Reason: m.Reason, RetryAfter: m.RetryAfter})
	}
}

func (p *pool) release(r *run, a request.ReleaseSlot) {
	use := home.OutcomeServed
	switch {
	case a.Unused:
		use = home.OutcomeUnused
	case a.Failed:
		use = home.OutcomeFailed
	}
	p.deliverToHome(r.node, home.SlotRelease{ID: slotRequestID(r, a.Grant), Pool: poolID, Replica: a.Replica, Outcome: use})
}
