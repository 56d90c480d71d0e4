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

// stepsPerReconcile bounds the time between a controller's steps, and between two
// layouts, where servers are read more often than by default.
const stepsPerReconcile = 6

// adoptRetry is the pause after a reading of the last published table that failed.
const adoptRetry = 250 * time.Millisecond

// controllersPart runs one controller for each service with automatic placement.
// Only those whose lease this daemon holds act.
type controllersPart struct {
	c         *control
	byService map[state.ServiceID]*serviceController

	// former are the fixed chains of services that are placed automatically since
	// an edit: they serve on until the controller has published its first table,
	// and are drained then.
	former map[state.ServiceID]controller.ReplicaTable

	placeable   []platform.Instance // as of placeableAt
	placeableAt time.Time
}

// serviceController is the controller of one service with what it was told.
type serviceController struct {
	c        *control
	service  state.ServiceID
	m        *controller.Machine
	document *service.Document
	auto     bool // the document in force asks for automatic placement

	status   lease.Status
	adopted  state.Nonce // the reign whose table was adopted
	adopting bool
	adoptAt  time.Time
	servers  []controller.Backend // as last told
	applied  map[state.BackendID]controller.Assignment
	wanted   int // loads beyond those that need no share
	asker    *weights.Requester
}

func newControllersPart(c *control) *controllersPart {
	return &controllersPart{
		c:         c,
		byService: make(map[state.ServiceID]*serviceController),
		former:    make(map[state.ServiceID]controller.ReplicaTable),
	}
}

func controllerConfig(d *Daemon, id state.ServiceID) controller.Config {
	set := d.set.Leases
	cfg := controller.DefaultConfig(id)
	cfg.ReconcileInterval = set.Reconcile.Std()
	cfg.MaxOrderDelay = set.LongestOrder.Std()
	cfg.PropagationDelay = set.DrainSpread.Std()
	cfg.ReportLag = set.ReportLag.Std()
	cfg.LoadPollInterval = min(cfg.LoadPollInterval, cfg.ReconcileInterval/2)
	cfg.CountQueryInterval = min(cfg.CountQueryInterval, cfg.ReconcileInterval/2)
	cfg.TickInterval = min(cfg.TickInterval, cfg.ReconcileInterval/stepsPerReconcile)
	cfg.RetryDelay = min(cfg.RetryDelay, cfg.ReconcileInterval/2)
	// A call ends by itself after askTimeout; the machine gives it up later, so
	// that it hears of an answer that came.
	cfg.CallTimeout = 2 * d.askTimeout
	return cfg
}

// documentChanged takes a document up in place of was, which is nil for the first.
// A service that is no longer placed automatically keeps what its servers hold;
// its lease is given up.
func (p *controllersPart) documentChanged(was, v *service.Versioned) {
	id := v.Document.Service
	auto := isAuto(&v.Document)
	if auto && was != nil && !isAuto(&was.Document) {
		p.former[id] = fixedTable(&was.Document)
	}
	s, ok := p.byService[id]
	if !ok && !auto {
		return
	}
	if !ok || auto && !s.auto {
		s = &serviceController{
			c: p.c, service: id,
			m:       controller.New(controllerConfig(p.c.d, id)),
			applied: make(map[state.BackendID]controller.Assignment),
			asker:   weights.NewRequester(weightsConfig(p.c.d), id),
		}
		p.byService[id] = s
	}
	s.document, s.auto = &v.Document, auto
	if !auto {
		s.step(controller.Stop{})
	}
	p.c.catalog.start()
	p.c.leases.servicesChanged()
	if auto {
		s.placed(p.c.catalog.table(layoutOf(id)))
	}
}

// fixedTable writes the chains of a document with fixed placement as a table that
// any other takes the place of.
func fixedTable(doc *service.Document) controller.ReplicaTable {
	t := controller.ReplicaTable{Service: doc.Service}
	for _, chain := range doc.Placement.Chains {
		c := controller.Chain{ID: fixedID(doc.Service, chain.ID)}
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

// table returns the replica table of a service, or its fixed chains of before
// where there is none yet.
func (p *controllersPart) table(id state.ServiceID) controller.ReplicaTable {
	t := p.c.catalog.table(id)
	if t.Fencing == 0 {
		return p.former[id]
	}
	return t
}

// isAuto reports whether a service's layers are placed by hibiscuswick.
func isAuto(doc *service.Document) bool {
	return doc.Kind == service.KindModel && doc.Placement.Mode == service.PlacementAuto
}

// autoServices lists the services with automatic placement, in order.
func (p *controllersPart) autoServices() []state.ServiceID {
	ids := lo.Filter(lo.Keys(p.byService), func(id state.ServiceID, _ int) bool { return p.byService[id].auto })
	slices.Sort(ids)
	return ids
}

func (p *controllersPart) nextTick(time.Time) time.Time {
	var next time.Time
	for _, s := range p.byService {
		if at := s.m.NextTick(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (p *controllersPart) tick(now time.Time) {
	for _, s := range p.byService {
		if at := s.m.NextTick(); !at.IsZero() && !at.After(now) {
			s.tick(now)
		}
	}
}

func (p *controllersPart) lease(st lease.Status) {
	if s, ok := p.byService[st.Service]; ok {
		s.lease(st)
	}
}

// stopAll ends all ordering before a planned stop.
func (p *controllersPart) stopAll() {
	for _, s := range p.byService {
		s.step(controller.Stop{})
	}
}

// clean reports whether no order for a service can be under way.
func (p *controllersPart) clean(id state.ServiceID) bool {
	s, ok := p.byService[id]
	return !ok || s.m.Clean(p.c.now)
}

// layoutChanged brings the chains that a service is to have.
func (p *controllersPart) layoutChanged(id state.ServiceID, t controller.ReplicaTable) {
	if s, ok := p.byService[id]; ok {
		s.placed(t)
	}
}

func (s *serviceController) lease(st lease.Status) {
	if st.TermID != s.status.TermID {
		clear(s.applied)
	}
	s.status = st
	s.serversChanged()
	s.step(controller.Lease{Status: st})
	s.adopt()
}

func (s *serviceController) tick(now time.Time) {
	s.serversChanged()
	s.adopt()
	s.step(controller.Tick{})
	s.share(now)
}

// adopt reads the layout and the replicas last published, once in each reign. The
// layout comes first: to a controller without one, all replicas would be too many.
func (s *serviceController) adopt() {
	due := s.status.State != lease.None && s.adopted != s.status.TermID
	if !due || s.adopting || s.c.now.Before(s.adoptAt) {
		return
	}
	s.adopting = true
	reign := s.status.TermID
	s.c.tables.newest(layoutOf(s.service), func(layout controller.ReplicaTable, known bool) {
		s.c.tables.newest(s.service, func(t controller.ReplicaTable, ok bool) {
			s.adopting = false
			if !ok || !known || layout.Fencing == 0 || reign != s.status.TermID {
				s.adoptAt = s.c.now.Add(adoptRetry)
				return
			}
			s.adopted = reign
			if t.Fencing == 0 {
				t = s.c.controllers.former[s.service]
			}
			s.placed(layout)
			s.step(controller.Adopt{Table: t})
		})
	})
}

// placed takes over what the layout says of the service.
func (s *serviceController) placed(t controller.ReplicaTable) {
	if t.Fencing == 0 {
		return // nothing is laid out yet
	}
	s.step(controller.Desired{Document: t.Document, Chains: lo.Map(t.Replicas, func(r controller.Replica, _ int) controller.Chain {
		return r.Chain
	})})
}

// serversChanged tells the machine which servers the service may use. One that is
// leaving stays among them until it is gone: its chain is drained, not cut.
func (s *serviceController) serversChanged() {
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

// placeableFor is how long a list of servers is used: at a site of thousands it
// costs milliseconds to make, and every service needs it four times a second.
const placeableFor = 200 * time.Millisecond

// servers lists, in order, the engines that layers may be placed on: those that
// answer and that no document gives to a fixed chain.
func (p *controllersPart) servers() []platform.Instance {
	if p.c.now.Sub(p.placeableAt) < placeableFor {
		return p.placeable
	}
	fixed := make(map[state.BackendID]bool)
	for _, v := range p.c.documents.inForce {
		for _, chain := range v.Document.Placement.Chains {
			for _, st := range chain.Stages {
				fixed[st.Backend] = true
			}
		}
	}
	p.placeable = lo.Filter(lo.Values(p.c.instances.byID), func(in platform.Instance, _ int) bool {
		id := state.BackendID(in.ID)
		return in.Role == platform.RoleEngine && !fixed[id] && !p.c.deaths.dead(id)
	})
	slices.SortFunc(p.placeable, func(a, b platform.Instance) int { return compareIDs(a.ID, b.ID) })
	p.placeableAt = p.c.now
	return p.placeable
}

func (s *serviceController) step(ev controller.Event) {
	for _, a := range s.m.Step(s.c.now, ev) {
		switch a := a.(type) {
		case controller.Order:
			s.order(a)
		case controller.ReadState:
			s.readState(a)
		case controller.Publish:
			s.publish(a.Table)
		case controller.QueryRequestCounts:
			s.askRunning(a)
		case controller.RequestLoadSlots:
			s.wanted = a.Slots
			s.asker.SetWanted(s.c.now, a.Slots)
			s.c.later(func() { s.share(s.c.now) })
		case controller.FencingRefused:
			s.c.d.metrics.Add(telemetry.StaleOrdersTotal, 1)
			s.c.d.log.Emit(telemetry.EventOrderStale, telemetry.Service(s.service), telemetry.Backend(a.Backend), telemetry.Fencing(a.Fencing))
			refused := lease.FencingRejected{Service: s.service, Fencing: a.Fencing, Seen: a.Seen}
			s.c.later(func() { s.c.leases.step(refused) })
		}
	}
}

func (s *serviceController) publish(t controller.ReplicaTable) {
	s.c.tables.publish(t, func(serial uint64) { s.step(controller.Published{Serial: serial}) })
}
