package scenario

import (
	"slices"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// The one service of the site, and its classes.
const (
	serviceID  state.ServiceID  = "drafts"
	customerID state.CustomerID = "bank"
	poolID     home.PoolID      = "drafts"

	classCheck state.ClassID = "check" // short, goes first
	classNote  state.ClassID = "note"  // never to be repeated
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

// pool is the home of all replicas, on an instance that does not fail. Homes
// that die have tests of their own.
type pool struct {
	w     *Simulation
	home  *home.Home
	wants map[home.SlotRequestID]*run
}

func newPool(w *Simulation) *pool {
	p := &pool{w: w, home: home.New(home.Config{}), wants: make(map[home.SlotRequestID]*run)}
	p.membersChanged()
	p.step(home.DocumentChanged{Document: document()})
	p.step(home.PoolsAssigned{Pools: []home.PoolSpec{{ID: poolID, Service: serviceID, Replicas: w.replicas}}})
	return p
}

// membersChanged tells the home which daemons are live.
func (p *pool) membersChanged() {
	live := lo.FilterMap(p.w.nodes, func(n *node, _ int) (state.Member, bool) { return n.member, !n.dead })
	p.step(home.ViewChanged{Live: live})
}

func (p *pool) tick() {
	if due(p.home.NextTick(p.w.now), p.w.now) {
		p.step(home.Tick{})
	}
}

func (p *pool) step(ev home.Event) {
	for _, a := range slices.Clone(p.home.Step(p.w.now, ev)) {
		switch a := a.(type) {
		case home.Send:
			p.send(a)
		case home.Suspected:
			p.w.say("%s gets no work for a while", a.Replica)
		case home.Recovered:
			p.w.say("%s gets work again", a.Replica)
		case home.GrantsRecovered:
		}
	}
}

func (p *pool) send(a home.Send) {
	n := p.w.node(string(a.To))
	switch m := a.Msg.(type) {
	case home.SlotGrant:
		p.w.after(hop, func() { n.do(func() { p.granted(m) }) })
	case home.SlotRefusal:
		p.w.after(hop, func() { n.do(func() { p.refused(m) }) })
	case home.ReportQuery:
		p.received(n, home.GrantReport{Pool: m.Pool})
	}
}

func (p *pool) received(n *node, msg home.Message) {
	p.w.after(hop, func() { p.step(home.Received{From: n.member, Msg: msg}) })
}

func askOf(r *run, a state.Attempt) home.SlotRequestID {
	return home.SlotRequestID{Request: state.RequestID(r.n.name + "/" + r.name()), Attempt: a}
}

func (p *pool) ask(r *run, a request.AcquireSlot, alone bool) {
	ask := askOf(r, a.Attempt)
	p.wants[ask] = r
	p.received(r.n, home.SlotRequest{
		ID: ask, Pool: poolID, Class: r.spec.Class, Customer: r.spec.Customer,
		Budget: r.spec.FirstTokenDeadline.Sub(p.w.now), Cost: uint32(r.spec.MaxTokens), Exclude: a.Exclude,
		Exclusive: alone,
	})
}

func (p *pool) stop(r *run, a state.Attempt) {
	ask := askOf(r, a)
	if _, waits := p.wants[ask]; !waits {
		return
	}
	delete(p.wants, ask)
	p.received(r.n, home.CancelSlotRequest{ID: ask, Pool: poolID})
}

// granted gives a run its slot, with the lives that the engines are seen in.
func (p *pool) granted(m home.SlotGrant) {
	r, ok := p.wants[m.ID]
	delete(p.wants, m.ID)
	replica, known := p.w.replica(m.Replica)
	if !ok || !known {
		return // taken back; the home gives the slot on
	}
	replica.Stages = slices.Clone(replica.Stages)
	for i, s := range replica.Stages {
		e := p.w.engine(s.Address)
		if e.dead {
			r.later(hop, request.SlotUnusable{Grant: m.ID.Attempt, Replica: replica.ID})
			return
		}
		replica.Stages[i].BootID = e.lifeName()
	}
	if q := r.n.quarantine; q != nil {
		q.granted(r, replica)
	}
	r.feed(request.SlotGranted{Grant: m.ID.Attempt, Replica: replica})
}

func (p *pool) refused(m home.SlotRefusal) {
	r, ok := p.wants[m.ID]
	delete(p.wants, m.ID)
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
	p.received(r.n, home.SlotRelease{ID: askOf(r, a.Grant), Pool: poolID, Replica: a.Replica, Outcome: use})
}
