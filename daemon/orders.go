package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// orderKinds maps one to one.
var orderKinds = map[controller.OrderKind]engine.OrderKind{
	controller.OrderLoad:    engine.OrderLoad,
	controller.OrderUnload:  engine.OrderUnload,
	controller.OrderSetRole: engine.OrderSetRole,
}

var orderStatuses = map[engine.OrderStatus]controller.OrderStatus{
	engine.OrderApplied: controller.StatusApplied,
	engine.OrderStale:   controller.StatusStale,
	engine.OrderRefused: controller.StatusRefused,
}

// order sends one order. The lease is asked for once more here, and the clock
// again when the call leaves: the process may be paused at any point between.
func (s *serviceController) order(a controller.Order) {
	address, ok := s.c.instances.address(a.Backend)
	holds := a.NotAfter.IsZero() || s.c.leases.m.Holds(s.service, time.Now())
	if !ok || !holds {
		s.c.later(func() { s.step(controller.ResultUnknown{Call: a.Call}) })
		return
	}
	s.noteOrder(a)
	d := s.c.d
	o := engine.Order{
		Kind: orderKinds[a.Kind], FencingNumber: a.Fencing, Service: s.service,
		Model: a.Assignment.Model, Version: a.Assignment.Version, Adapters: a.Assignment.Adapters,
		Layers: a.Assignment.Layers, Role: a.Assignment.Role,
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.askTimeout)
		defer cancel()
		if !a.NotAfter.IsZero() && !time.Now().Before(a.NotAfter) {
			s.c.post(func() { s.step(controller.ResultUnknown{Call: a.Call}) })
			return
		}
		res, err := d.clients.engine(address).Order(ctx, o)
		s.c.post(func() { s.ordered(a, res, err) })
	}()
}

// noteOrder logs an order. One that repeats what a server which ignores fencing
// numbers had already taken undoes the order of a former holder.
func (s *serviceController) noteOrder(a controller.Order) {
	fields := []telemetry.Field{
		telemetry.Service(s.service), telemetry.Backend(a.Backend),
		telemetry.Fencing(a.Fencing), telemetry.Detail(string(a.Kind)),
	}
	s.c.d.metrics.Add(telemetry.OrdersTotal, 1)
	s.c.d.log.Emit(telemetry.EventOrderSent, fields...)
	was, ok := s.applied[a.Backend]
	if ok && !a.NotAfter.IsZero() && sameHolding(was, a.Assignment) {
		s.c.d.log.Emit(telemetry.EventOrderUndone, fields...)
	}
}

func sameHolding(a, b controller.Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Layers == b.Layers && a.Role == b.Role
}

func (s *serviceController) ordered(a controller.Order, res engine.OrderResult, err error) {
	s.c.deaths.heard(a.Backend, err == nil)
	if err != nil {
		s.step(controller.ResultUnknown{Call: a.Call})
		return
	}
	if res.Status == engine.OrderApplied {
		s.applied[a.Backend] = a.Assignment
		s.c.d.log.Emit(telemetry.EventOrderApplied, telemetry.Service(s.service),
			telemetry.Backend(a.Backend), telemetry.Fencing(a.Fencing), telemetry.Detail(string(a.Kind)))
	}
	s.step(controller.OrderResult{Call: a.Call, Status: orderStatuses[res.Status], State: serverState(res.State)})
}

func (s *serviceController) readState(a controller.ReadState) {
	address, ok := s.c.instances.address(a.Backend)
	if !ok {
		s.c.later(func() { s.step(controller.ResultUnknown{Call: a.Call}) })
		return
	}
	d := s.c.d
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.askTimeout)
		defer cancel()
		st, err := d.clients.engine(address).State(ctx)
		s.c.post(func() {
			s.c.deaths.heard(a.Backend, err == nil)
			if err != nil {
				s.step(controller.ResultUnknown{Call: a.Call})
				return
			}
			s.step(controller.ReadResult{Call: a.Call, State: serverState(st)})
		})
	}()
}

func serverState(st engine.State) controller.ServerState {
	return controller.ServerState{
		Service: st.Service,
		Loaded: controller.Assignment{
			Model: st.Model, Version: st.Version, Adapters: st.Adapters, Layers: st.Layers, Role: st.Role,
		},
		Fencing: st.FencingNumber,
		Loading: st.Loading,
	}
}

// address returns where a backend server is reached.
func (p *instancesPart) address(id state.BackendID) (string, bool) {
	in, ok := p.byID[state.InstanceID(id)]
	return in.Address, ok
}

// askRunning asks the homes of replicas and the servers for their counts of
// requests. What is not answered is asked again while the chain drains.
func (s *serviceController) askRunning(a controller.QueryRequestCounts) {
	byHome := make(map[state.DaemonID][]state.ReplicaID)
	for _, id := range a.Replicas {
		if at, ok := s.c.slots.router.HomeOf(id); ok {
			byHome[at] = append(byHome[at], id)
		}
	}
	for at, ids := range byHome {
		s.askHome(at, controller.RequestCountQuery{Replicas: ids})
	}
	for _, id := range a.Backends {
		if address, ok := s.c.instances.address(id); ok {
			go s.askLoad(id, address)
		}
	}
}

func (s *serviceController) askHome(at state.DaemonID, q controller.RequestCountQuery) {
	if at == s.c.d.self.ID {
		s.c.later(func() { s.counted(s.c.slots.counts(q)) })
		return
	}
	d, address := s.c.d, s.c.members.address(at)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.askTimeout)
		defer cancel()
		res, err := d.node.Call(ctx, address, q)
		if told, ok := res.Msg.(controller.RequestCountReply); err == nil && ok {
			s.c.post(func() { s.counted(told) })
		}
	}()
}

func (s *serviceController) counted(told controller.RequestCountReply) {
	for _, n := range told.Counts {
		s.step(controller.ReplicaRequests(n))
	}
}

func (s *serviceController) askLoad(id state.BackendID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.c.d.askTimeout)
	defer cancel()
	load, err := s.c.d.clients.engine(address).Load(ctx)
	if err == nil {
		s.c.post(func() { s.step(controller.BackendRequests{Backend: id, Count: load.Running + load.Queued}) })
	}
}

// counts answers a controller that waits for replicas to drain.
func (p *slotsPart) counts(q controller.RequestCountQuery) controller.RequestCountReply {
	return controller.RequestCountReply{Counts: lo.FilterMap(q.Replicas, func(id state.ReplicaID, _ int) (controller.ReplicaCount, bool) {
		n, known := p.homes.InFlight(id)
		return controller.ReplicaCount{Replica: id, Count: n}, known
	})}
}

// standsFor reports whether a lease lets its holder decide: also one that has
// lapsed, since a successor's decisions carry a higher number.
func standsFor(st lease.Status) bool {
	return st.State != lease.None
}
