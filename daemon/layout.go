package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/placement"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	layoutPrefix   = "~layout/"             // prefix of a service's layout in the table of replica tables
	layoutInterval = 250 * time.Millisecond // minimum time between two layouts

	// crossDomainCost is the time to move one token's activation between two
	// failure domains of a region, in layer steps. It is an assumption: links
	// are not measured.
	crossDomainCost = 0.25
)

// layoutID returns the ID of a service's layout among the replica tables.
func layoutID(id state.ServiceID) state.ServiceID { return layoutPrefix + id }

// serviceOfLayout is the inverse of layoutID.
func serviceOfLayout(id state.ServiceID) (state.ServiceID, bool) {
	name, ok := strings.CutPrefix(string(id), layoutPrefix)
	return state.ServiceID(name), ok
}

// layoutComponent computes the layout of the site while this daemon holds the
// lease weights.LeaseService. One daemon decides for all services because they
// share the servers. Each service's part of the layout is published as a
// replica table and so reaches the service's controller at whichever daemon
// that runs.
//
// A holder whose lease has lapsed continues, so that a lost stage is replaced
// while the store is unavailable. A successor's layout has a higher fencing
// number.
type layoutComponent struct {
	c               *control
	status          lease.Status
	next            time.Time
	adoptedTerm     state.Nonce // the lease term whose layouts were adopted
	reading         bool
	running         bool
	serial          uint64
	missingReplicas map[state.ServiceID]int // replicas without servers, as last logged

	// latest holds the layouts that this daemon published; the catalog has them
	// only once they are stored.
	latest map[state.ServiceID]controller.ReplicaTable
}

// layoutJob is one computation with a copy of all its inputs.
type layoutJob struct {
	documents map[state.ServiceID]*service.Versioned // of the services with automatic placement
	old       placement.Layout
	input     placement.Input
	busy      map[state.BackendID]bool // servers with layers that no kept chain uses
}

func newLayoutComponent(c *control) *layoutComponent {
	return &layoutComponent{c: c, missingReplicas: make(map[state.ServiceID]int), latest: make(map[state.ServiceID]controller.ReplicaTable)}
}

func (lc *layoutComponent) nextTick(now time.Time) time.Time {
	if !mayDecide(lc.status) {
		return time.Time{}
	}
	if lc.next.IsZero() {
		return now
	}
	return lc.next
}

func (lc *layoutComponent) setLeaseStatus(st lease.Status) { lc.status = st }

func (lc *layoutComponent) tick(now time.Time) {
	lc.next = now.Add(min(layoutInterval, lc.c.d.config.Leases.Reconcile.Std()/stepsPerReconcile))
	switch {
	case lc.adoptedTerm != lc.status.TermID:
		lc.adopt()
	case !lc.running && lc.c.instances.hasList():
		lc.compute()
	}
}

// adopt reads the layouts last published, once per lease term, so that a change
// of the lease holder moves nothing.
func (lc *layoutComponent) adopt() {
	if lc.reading {
		return
	}
	lc.reading = true
	ids := lc.c.controllers.autoServices()
	missing := len(ids)
	termID := lc.status.TermID
	complete := true
	for _, id := range ids {
		lc.c.tables.newest(layoutID(id), func(t controller.ReplicaTable, ok bool) {
			missing--
			complete = complete && ok
			lc.serial = max(lc.serial, t.Serial)
			if missing > 0 {
				return
			}
			lc.reading = false
			if complete && termID == lc.status.TermID {
				lc.adoptedTerm = termID
			}
		})
	}
	lc.reading = missing > 0
}

// compute computes the layout in a separate goroutine, on a copy of its inputs, and
// publishes it if this daemon then still has the same lease term and may decide on the
// layout.
func (lc *layoutComponent) compute() {
	job := lc.newJob()
	if len(job.documents) == 0 {
		return
	}
	lc.running = true
	termID := lc.status.TermID
	go func() {
		l := job.run()
		lc.c.post(func() {
			lc.running = false
			if mayDecide(lc.status) && lc.status.TermID == termID {
				lc.publish(job, l)
			}
		})
	}()
}

func (lc *layoutComponent) newJob() layoutJob {
	job := layoutJob{
		documents: make(map[state.ServiceID]*service.Versioned),
		busy:      make(map[state.BackendID]bool),
		input:     placement.Input{LinkCost: linkCost},
	}
	kept := make(map[state.BackendID]bool)
	for _, id := range lc.c.controllers.autoServices() {
		v := lc.c.documents.active[id]
		job.documents[id] = v
		job.input.Services = append(job.input.Services, placementService(&v.Document))
		for _, r := range lc.table(id).Replicas {
			c := placementChain(id, r.Chain)
			job.old.Chains = append(job.old.Chains, c)
			same := c.Version == versionKey(&v.Document) && c.Model == v.Document.Model.Name
			for _, st := range c.Stages {
				kept[st.Backend] = kept[st.Backend] || same
				job.busy[st.Backend] = true
			}
		}
		for _, r := range lc.c.controllers.table(id).Replicas {
			for _, st := range r.Chain.Stages {
				job.busy[st.Backend] = true
			}
		}
	}
	for id := range kept {
		if kept[id] {
			delete(job.busy, id)
		}
	}
	for _, in := range lc.c.controllers.servers() {
		if !lc.c.deaths.isLeaving(in) {
			job.input.Servers = append(job.input.Servers, placementServer(in))
		}
	}
	return job
}

// run prefers servers that hold nothing, so that new chains are loaded while
// the current ones serve. Only replicas that don't fit there are placed on
// servers of chains that are to be removed.
func (j *layoutJob) run() placement.Layout {
	spare := j.input
	spare.Servers = lo.Filter(j.input.Servers, func(s placement.Server, _ int) bool { return !j.busy[s.ID] })
	l := placement.Repair(j.old, spare)
	if len(l.Missing) > 0 {
		l = placement.Repair(l, j.input)
	}
	return l
}

// publish publishes the layouts of the services whose layout has changed.
func (lc *layoutComponent) publish(job layoutJob, l placement.Layout) {
	chains := lo.GroupBy(l.Chains, func(c placement.Chain) state.ServiceID { return c.Service })
	for _, id := range lo.Keys(job.documents) {
		v := job.documents[id]
		if lc.c.documents.active[id] != v {
			continue // a newer document is active; the next layout uses it
		}
		lc.reportMissing(id, l.Missing[id])
		next := lo.Map(chains[id], func(c placement.Chain, _ int) controller.Replica {
			return controller.Replica{Chain: controllerChain(&v.Document, c)}
		})
		slices.SortFunc(next, func(a, b controller.Replica) int { return cmp.Compare(a.Chain.ID, b.Chain.ID) })
		lc.publishService(id, v.Version, next, l.Missing[id])
	}
}

func (lc *layoutComponent) publishService(id state.ServiceID, version state.DocumentVersion, next []controller.Replica, missing int) {
	prev := lc.table(id)
	same := slices.EqualFunc(prev.Replicas, next, func(a, b controller.Replica) bool { return a.Chain.ID == b.Chain.ID })
	if same && prev.Document == version {
		return
	}
	if len(next) == 0 && len(prev.Replicas) > 0 {
		// None of the requested replicas fits. The current ones are kept until
		// one does.
		return
	}
	lc.serial++
	t := controller.ReplicaTable{
		Service: layoutID(id), Document: version, Fencing: lc.status.Fencing, Serial: lc.serial, Replicas: next,
	}
	log := []telemetry.Field{telemetry.Service(id), telemetry.Version(version), telemetry.Count(len(next))}
	lc.c.d.log.Emit(telemetry.EventPlacementChanged, log...)
	if prev.Document == version && missing == 0 {
		lc.c.d.log.Emit(telemetry.EventPlacementRepaired, log...)
	}
	lc.latest[id] = t
	lc.c.tables.publish(t, func(uint64) {})
}

// table returns the newest layout of a service.
func (lc *layoutComponent) table(id state.ServiceID) controller.ReplicaTable {
	t := lc.c.catalog.table(layoutID(id))
	if own, ok := lc.latest[id]; ok && own.Newer(t) {
		return own
	}
	if t.Fencing == 0 {
		// There is no layout yet: the previous fixed chains are kept where
		// possible.
		return lc.c.controllers.previousFixed[id]
	}
	return t
}

func (lc *layoutComponent) reportMissing(id state.ServiceID, missing int) {
	if missing == lc.missingReplicas[id] {
		return
	}
	lc.missingReplicas[id] = missing
	if missing > 0 {
		lc.c.d.log.Emit(telemetry.EventPlacementShort, telemetry.Service(id), telemetry.Count(missing))
	}
}

// linkCost returns the assumed cost of a hop: it keeps chains within one
// failure domain where possible.
func linkCost(from, to state.FailureDomain) float64 {
	if from == to {
		return 0
	}
	return crossDomainCost
}

func placementService(doc *service.Document) placement.Service {
	return placement.Service{
		ID: doc.Service, Model: doc.Model.Name, Version: versionKey(doc),
		Layers: doc.Model.Layers, Replicas: doc.Capacity.Replicas,
		Kinds: lo.Map(doc.BackendKinds, func(k service.BackendKind, _ int) placement.Kind {
			return placement.Kind{Name: k.Kind, Speed: k.Speed, MemoryLayers: k.MemoryLayers}
		}),
	}
}

func placementServer(in platform.Instance) placement.Server {
	return placement.Server{ID: state.BackendID(in.ID), Kind: in.Kind, Domain: in.Domain, Region: in.Region}
}

// versionKey identifies a model version together with its adapters: a chain
// with other adapters differs as one with another version does.
func versionKey(doc *service.Document) string {
	return joinVersion(doc.Model.Version, doc.Model.Adapters)
}

func joinVersion(version string, adapters []string) string {
	return strings.Join(append([]string{version}, adapters...), "\x00")
}

func placementChain(id state.ServiceID, c controller.Chain) placement.Chain {
	out := placement.Chain{Service: id}
	for _, st := range c.Stages {
		out.Model = st.Assignment.Model
		out.Version = joinVersion(st.Assignment.Version, st.Assignment.Adapters)
		out.Stages = append(out.Stages, placement.Stage{Backend: st.Backend, Layers: st.Assignment.Layers})
	}
	return out
}

// controllerChain derives a chain's ID from a hash of its contents, so that two
// different chains never share an ID.
func controllerChain(doc *service.Document, c placement.Chain) controller.Chain {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s", c.Model, c.Version)
	out := controller.Chain{}
	for _, st := range c.Stages {
		_, _ = fmt.Fprintf(h, "\x00%s%s", st.Backend, st.Layers)
		out.Stages = append(out.Stages, controller.Stage{Backend: st.Backend, Assignment: controller.Assignment{
			Model: doc.Model.Name, Version: doc.Model.Version, Adapters: doc.Model.Adapters, Layers: st.Layers,
		}})
	}
	out.ID = state.ReplicaID(fmt.Sprintf("%s/%016x", c.Service, h.Sum64()))
	return out
}

// hasList reports whether an instance list was ever applied.
func (it *instancesTracker) hasList() bool { return len(it.byID) > 0 }

func compareIDs(a, b state.InstanceID) int { return cmp.Compare(a, b) }
