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

// sendOrder sends one order. The lease is checked again here, and the deadline
// once more when the call is sent, because the process may be paused in
// between.
func (s *serviceController) sendOrder(a controller.Order) {
	address, ok := s.c.instances.address(a.Backend)
	holds := a.NotAfter.IsZero() || s.c.leases.machine.Holds(s.service, time.Now())
	if !ok || !holds {
		s.c.afterStep(func() { s.step(controller.ResultUnknown{Call: a.Call}) })
		return
	}
	s.logOrder(a)
	d := s.c.d
	o := engine.Order{
		Kind: orderKinds[a.Kind], FencingNumber: a.Fencing, Service: s.service,
		Model: a.Assignment.Model, Version: a.Assignment.Version, Adapters: a.Assignment.Adapters,
		Layers: a.Assignment.Layers, Role: a.Assignment.Role,
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.queryTimeout)
		defer cancel()
		if !a.NotAfter.IsZero() && !time.Now().Before(a.NotAfter) {
			s.c.post(func() { s.step(controller.ResultUnknown{Call: a.Call}) })
			return
		}
		res, err := d.clients.engine(address).Order(ctx, o)
		s.c.post(func() { s.handleOrderResult(a, res, err) })
	}()
}

// logOrder logs an order. One that repeats an order already applied by a server
// that ignores fencing numbers undoes a stale order of a former holder.
func (s *serviceController) logOrder(a controller.Order) {
	fields := []telemetry.Field{
		telemetry.Service(s.service), telemetry.Backend(a.Backend),
		telemetry.Fencing(a.Fencing), telemetry.Detail(string(a.Kind)),
	}
	s.c.d.metrics.Add(telemetry.OrdersTotal, 1)
	s.c.d.log.Emit(telemetry.EventOrderSent, fields...)
	prev, ok := s.applied[a.Backend]
	if ok && !a.NotAfter.IsZero() && sameAssignment(prev, a.Assignment) {
		s.c.d.log.Emit(telemetry.EventOrderUndone, fields...)
	}
}

func sameAssignment(a, b controller.Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Layers == b.Layers && a.Role == b.Role
}

func (s *serviceController) handleOrderResult(a controller.Order, res engine.OrderResult, err error) {
	s.c.deaths.recordAnswer(a.Backend, err == nil)
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
		s.c.afterStep(func() { s.step(controller.ResultUnknown{Call: a.Call}) })
		return
	}
	d := s.c.d
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.queryTimeout)
		defer cancel()
		st, err := d.clients.engine(address).State(ctx)
		s.c.post(func() {
			s.c.deaths.recordAnswer(a.Backend, err == nil)
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

// address returns the address of a backend server.
func (it *instancesTracker) address(id state.BackendID) (string, bool) {
	in, ok := it.byID[state.InstanceID(id)]
	return in.Address, ok
}

// queryRequestCounts queries the homes of replicas (the daemons that grant their
// slots) and the servers for their current request counts. Unanswered queries are repeated while the chain drains.
func (s *serviceController) queryRequestCounts(a controller.QueryRequestCounts) {
	byHome := make(map[state.DaemonID][]state.ReplicaID)
	for _, id := range a.Replicas {
		if at, ok := s.c.slots.router.HomeOf(id); ok {
			byHome[at] = append(byHome[at], id)
		}
	}
	for at, ids := range byHome {
		s.queryHome(at, controller.RequestCountQuery{Replicas: ids})
	}
	for _, id := range a.Backends {
		if address, ok := s.c.instances.address(id); ok {
			go s.queryLoad(id, address)
		}
	}
}

func (s *serviceController) queryHome(home state.DaemonID, q controller.RequestCountQuery) {
	if home == s.c.d.self.ID {
		s.c.afterStep(func() { s.applyCounts(s.c.slots.requestCounts(q)) })
		return
	}
	d, address := s.c.d, s.c.members.address(home)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.queryTimeout)
		defer cancel()
		res, err := d.node.Call(ctx, address, q)
		if reply, ok := res.Msg.(controller.RequestCountReply); err == nil && ok {
			s.c.post(func() { s.applyCounts(reply) })
		}
	}()
}

func (s *serviceController) applyCounts(reply controller.RequestCountReply) {
	for _, n := range reply.Counts {
		s.step(controller.ReplicaRequests(n))
	}
}

func (s *serviceController) queryLoad(id state.BackendID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.c.d.queryTimeout)
	defer cancel()
	load, err := s.c.d.clients.engine(address).Load(ctx)
	if err == nil {
		s.c.post(func() { s.step(controller.BackendRequests{Backend: id, Count: load.Running + load.Queued}) })
	}
}

// requestCounts answers a controller that waits until replicas are drained.
func (sc *slotsComponent) requestCounts(q controller.RequestCountQuery) controller.RequestCountReply {
	return controller.RequestCountReply{Counts: lo.FilterMap(q.Replicas, func(id state.ReplicaID, _ int) (controller.ReplicaCount, bool) {
		n, known := sc.homes.InFlight(id)
		return controller.ReplicaCount{Replica: id, Count: n}, known
	})}
}

// mayDecide reports whether a lease state lets its holder decide. A lapsed
// lease does, since a successor's decisions carry a higher fencing number.
func mayDecide(st lease.Status) bool {
	return st.State != lease.None
}
