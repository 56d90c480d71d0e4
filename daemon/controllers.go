package daemon

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/weights"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// stepsPerReconcile is the minimum number of controller ticks, and of layouts,
// in one reconcile interval. It applies if that interval is shorter than the
// default.
const stepsPerReconcile = 6

// adoptRetryDelay is the pause after a failed read of the last published table.
const adoptRetryDelay = 250 * time.Millisecond

// controllersComponent runs one controller for each service with automatic
// placement. Only those whose lease this daemon holds act.
type controllersComponent struct {
	c         *control
	byService map[state.ServiceID]*serviceController

	// previousFixed holds the fixed chains of services that an edit has
	// switched to automatic placement. They serve until the controller has
	// published its first table, and are then drained.
	previousFixed map[state.ServiceID]controller.ReplicaTable

	placeable   []platform.Instance // as of placeableAt
	placeableAt time.Time
}

// serviceController is the controller of one service with its inputs.
type serviceController struct {
	c        *control
	service  state.ServiceID
	machine  *controller.Machine
	document *service.Document
	auto     bool // the active document asks for automatic placement

	status      lease.Status
	adoptedTerm state.Nonce // the lease term whose table was adopted
	adopting    bool
	nextAdoptAt time.Time
	servers     []controller.Backend // as last passed to the state machine
	applied     map[state.BackendID]controller.Assignment
	wantedLoads int // loads beyond those that are allowed without a share
	requester   *weights.Requester
}

func newControllersComponent(c *control) *controllersComponent {
	return &controllersComponent{
		c:             c,
		byService:     make(map[state.ServiceID]*serviceController),
		previousFixed: make(map[state.ServiceID]controller.ReplicaTable),
	}
}

func controllerConfig(d *Daemon, id state.ServiceID) controller.Config {
	set := d.config.Leases
	cfg := controller.DefaultConfig(id)
	cfg.ReconcileInterval = set.Reconcile.Std()
	cfg.MaxOrderDelay = set.LongestOrder.Std()
	cfg.PropagationDelay = set.DrainSpread.Std()
	cfg.ReportLag = set.ReportLag.Std()
	cfg.LoadPollInterval = min(cfg.LoadPollInterval, cfg.ReconcileInterval/2)
	cfg.CountQueryInterval = min(cfg.CountQueryInterval, cfg.ReconcileInterval/2)
	cfg.TickInterval = min(cfg.TickInterval, cfg.ReconcileInterval/stepsPerReconcile)
	cfg.RetryDelay = min(cfg.RetryDelay, cfg.ReconcileInterval/2)
	// A call ends by itself after queryTimeout. The state machine gives up
	// later, so that it still receives an answer that arrives in time.
	cfg.CallTimeout = 2 * d.queryTimeout
	return cfg
}

// documentChanged replaces the document prev, which is nil for the first, by v.
// If a service is no longer placed automatically, its servers keep what they
// hold and its lease is released.
func (cc *controllersComponent) documentChanged(prev, v *service.Versioned) {
	id := v.Document.Service
	auto := isAuto(&v.Document)
	if auto && prev != nil && !isAuto(&prev.Document) {
		cc.previousFixed[id] = fixedTable(&prev.Document)
	}
	s, ok := cc.byService[id]
	if !ok && !auto {
		return
	}
	if !ok || auto && !s.auto {
		s = &serviceController{
			c: cc.c, service: id,
			machine:   controller.New(controllerConfig(cc.c.d, id)),
			applied:   make(map[state.BackendID]controller.Assignment),
			requester: weights.NewRequester(weightsConfig(cc.c.d), id),
		}
		cc.byService[id] = s
	}
	s.document, s.auto = &v.Document, auto
	if !auto {
		s.step(controller.Stop{})
	}
	cc.c.catalog.start()
	cc.c.leases.servicesChanged()
	if auto {
		s.applyLayout(cc.c.catalog.table(layoutID(id)))
	}
}

// fixedTable converts the chains of a document with fixed placement to a
// replica table with fencing number 0, which any published table replaces.
func fixedTable(doc *service.Document) controller.ReplicaTable {
	t := controller.ReplicaTable{Service: doc.Service}
	for _, chain := range doc.Placement.Chains {
		c := controller.Chain{ID: fixedReplicaID(doc.Service, chain.ID)}
		for _, s := range chain.Stages {
			c.Stages = append(c.Stages, controller.Stage{Backend: s.Backend, Assignment: controller.Assignment{
				Model: doc.Model.Name, Version: doc.Model.Version, Adapters: doc.Model.Adapters,
				Layers: state.LayerRange{First: s.First, End: s.End},
			}})
		}
		t.Replicas = append(t.Replicas, controller.Replica{Chain: c})
	}
	return t
}

// table returns the replica table of a service, or its previous fixed chains if
// no table has been published.
func (cc *controllersComponent) table(id state.ServiceID) controller.ReplicaTable {
	t := cc.c.catalog.table(id)
	if t.Fencing == 0 {
		return cc.previousFixed[id]
	}
	return t
}

// isAuto reports whether a service's layers are placed by hibiscuswick.
func isAuto(doc *service.Document) bool {
	return doc.Kind == service.KindModel && doc.Placement.Mode == service.PlacementAuto
}

// autoServices returns the services with automatic placement in sorted order.
func (cc *controllersComponent) autoServices() []state.ServiceID {
	ids := lo.Filter(lo.Keys(cc.byService), func(id state.ServiceID, _ int) bool { return cc.byService[id].auto })
	slices.Sort(ids)
	return ids
}

func (cc *controllersComponent) nextTick(time.Time) time.Time {
	var next time.Time
	for _, s := range cc.byService {
		if at := s.machine.NextTick(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (cc *controllersComponent) tick(now time.Time) {
	for _, s := range cc.byService {
		if at := s.machine.NextTick(); !at.IsZero() && !at.After(now) {
			s.tick(now)
		}
	}
}

func (cc *controllersComponent) setLeaseStatus(st lease.Status) {
	if s, ok := cc.byService[st.Service]; ok {
		s.setLeaseStatus(st)
	}
}

// stopAll stops all controllers from sending orders before a planned stop.
func (cc *controllersComponent) stopAll() {
	for _, s := range cc.byService {
		s.step(controller.Stop{})
	}
}

// clean reports whether no order for a service can be in flight.
func (cc *controllersComponent) clean(id state.ServiceID) bool {
	s, ok := cc.byService[id]
	return !ok || s.machine.Clean(cc.c.now)
}

// layoutChanged passes the chains that a service is to have to its controller.
func (cc *controllersComponent) layoutChanged(id state.ServiceID, t controller.ReplicaTable) {
	if s, ok := cc.byService[id]; ok {
		s.applyLayout(t)
	}
}

func (s *serviceController) setLeaseStatus(st lease.Status) {
	if st.TermID != s.status.TermID {
		clear(s.applied)
	}
	s.status = st
	s.updateServers()
	s.step(controller.Lease{Status: st})
	s.adopt()
}

func (s *serviceController) tick(now time.Time) {
	s.updateServers()
	s.adopt()
	s.step(controller.Tick{})
	s.requestShare(now)
}

// adopt reads the layout and the replica table last published, once per lease
// term. The layout is applied first: without it the controller would treat
// every replica as surplus.
func (s *serviceController) adopt() {
	due := s.status.State != lease.None && s.adoptedTerm != s.status.TermID
	if !due || s.adopting || s.c.now.Before(s.nextAdoptAt) {
		return
	}
	s.adopting = true
	termID := s.status.TermID
	s.c.tables.newest(layoutID(s.service), func(layout controller.ReplicaTable, known bool) {
		s.c.tables.newest(s.service, func(t controller.ReplicaTable, ok bool) {
			s.adopting = false
			if !ok || !known || layout.Fencing == 0 || termID != s.status.TermID {
				s.nextAdoptAt = s.c.now.Add(adoptRetryDelay)
				return
			}
			s.adoptedTerm = termID
			if t.Fencing == 0 {
				t = s.c.controllers.previousFixed[s.service]
			}
			s.applyLayout(layout)
			s.step(controller.Adopt{Table: t})
		})
	})
}

// applyLayout passes the service's chains in the layout to the state machine.
func (s *serviceController) applyLayout(t controller.ReplicaTable) {
	if t.Fencing == 0 {
		return // there is no layout yet
	}
	s.step(controller.Desired{Document: t.Document, Chains: lo.Map(t.Replicas, func(r controller.Replica, _ int) controller.Chain {
		return r.Chain
	})})
}

// updateServers passes the servers that the service may use to the state
// machine. A leaving server stays in the list until it is gone, so that its
// chain is drained and its requests are not interrupted.
func (s *serviceController) updateServers() {
	if s.status.State == lease.None {
		return
	}
	var servers []controller.Backend
	for _, in := range s.c.controllers.servers() {
		kind, ok := kindOf(s.document, in.Kind)
		if ok {
			servers = append(servers, controller.Backend{ID: state.BackendID(in.ID), ChecksFencing: kind.ChecksFencing})
		}
	}
	if slices.Equal(servers, s.servers) {
		return
	}
	s.servers = servers
	s.step(controller.Backends{List: servers})
}

func kindOf(doc *service.Document, name string) (service.BackendKind, bool) {
	return lo.Find(doc.BackendKinds, func(k service.BackendKind) bool { return k.Kind == name })
}

// placeableTTL is how long a list of servers is reused. At a site with
// thousands of instances it takes milliseconds to build, and every service
// needs it four times a second.
const placeableTTL = 200 * time.Millisecond

// servers returns, sorted by ID, the engines that layers may be placed on:
// those that answer and that no document assigns to a fixed chain.
func (cc *controllersComponent) servers() []platform.Instance {
	if cc.c.now.Sub(cc.placeableAt) < placeableTTL {
		return cc.placeable
	}
	fixed := make(map[state.BackendID]bool)
	for _, v := range cc.c.documents.active {
		for _, chain := range v.Document.Placement.Chains {
			for _, st := range chain.Stages {
				fixed[st.Backend] = true
			}
		}
	}
	cc.placeable = lo.Filter(lo.Values(cc.c.instances.byID), func(in platform.Instance, _ int) bool {
		id := state.BackendID(in.ID)
		return in.Role == platform.RoleEngine && !fixed[id] && !cc.c.deaths.isDead(id)
	})
	slices.SortFunc(cc.placeable, func(a, b platform.Instance) int { return compareIDs(a.ID, b.ID) })
	cc.placeableAt = cc.c.now
	return cc.placeable
}

func (s *serviceController) step(ev controller.Event) {
	for _, a := range s.machine.Step(s.c.now, ev) {
		switch a := a.(type) {
		case controller.Order:
			s.sendOrder(a)
		case controller.ReadState:
			s.readState(a)
		case controller.Publish:
			s.publish(a.Table)
		case controller.QueryRequestCounts:
			s.queryRequestCounts(a)
		case controller.RequestLoadSlots:
			s.wantedLoads = a.Slots
			s.requester.SetWanted(s.c.now, a.Slots)
			s.c.afterStep(func() { s.requestShare(s.c.now) })
		case controller.FencingRefused:
			s.c.d.metrics.Add(telemetry.StaleOrdersTotal, 1)
			s.c.d.log.Emit(telemetry.EventOrderStale, telemetry.Service(s.service), telemetry.Backend(a.Backend), telemetry.Fencing(a.Fencing))
			refused := lease.FencingRejected{Service: s.service, Fencing: a.Fencing, Seen: a.Seen}
			s.c.afterStep(func() { s.c.leases.step(refused) })
		}
	}
}

func (s *serviceController) publish(t controller.ReplicaTable) {
	s.c.tables.publish(t, func(serial uint64) { s.step(controller.Published{Serial: serial}) })
}
