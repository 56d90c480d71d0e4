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
	layoutPrefix = "~layout/"             // of a service's row in the table of replicas
	layoutEvery  = 250 * time.Millisecond // at most

	// crossDomain is the time to move one token's activation between two failure
	// domains of a region, in layer steps. Links are not measured yet.
	crossDomain = 0.25
)

// layoutOf names the layout of a service among the replica tables.
func layoutOf(id state.ServiceID) state.ServiceID { return layoutPrefix + id }

// serviceOfLayout is the reverse of layoutOf.
func serviceOfLayout(id state.ServiceID) (state.ServiceID, bool) {
	name, ok := strings.CutPrefix(string(id), layoutPrefix)
	return state.ServiceID(name), ok
}

// layoutPart lays the site out while this daemon holds the lease of
// weights.Service: servers are shared among services, so one daemon decides. Each
// service's part of the layout is published as replica tables are, and reaches the
// service's controller wherever that is.
//
// A holder whose lease has lapsed goes on, so that a lost stage is replaced while
// the store is down: a successor's layout has a higher number.
type layoutPart struct {
	c       *control
	status  lease.Status
	next    time.Time
	adopted state.Nonce // the reign whose layouts were adopted
	reading bool
	running bool
	serial  uint64
	short   map[state.ServiceID]int // replicas that found no servers, as last told

	// latest are the layouts that this daemon published; the catalog has them
	// only once they are stored.
	latest map[state.ServiceID]controller.ReplicaTable
}

// layoutJob is one computation with all that it reads.
type layoutJob struct {
	documents map[state.ServiceID]*service.Versioned
	old       placement.Layout
	input     placement.Input
	busy      map[state.BackendID]bool // hold layers that no kept chain uses
}

func newLayoutPart(c *control) *layoutPart {
	return &layoutPart{c: c, short: make(map[state.ServiceID]int), latest: make(map[state.ServiceID]controller.ReplicaTable)}
}

func (p *layoutPart) nextTick(now time.Time) time.Time {
	if !standsFor(p.status) {
		return time.Time{}
	}
	if p.next.IsZero() {
		return now
	}
	return p.next
}

func (p *layoutPart) lease(st lease.Status) { p.status = st }

func (p *layoutPart) tick(now time.Time) {
	p.next = now.Add(min(layoutEvery, p.c.d.set.Leases.Reconcile.Std()/stepsPerReconcile))
	switch {
	case p.adopted != p.status.TermID:
		p.adopt()
	case !p.running && p.c.instances.known():
		p.compute()
	}
}

// adopt reads the layouts last published, once in each reign, so that nothing is
// moved because its holder changed.
func (p *layoutPart) adopt() {
	if p.reading {
		return
	}
	p.reading = true
	ids := p.c.controllers.autoServices()
	missing := len(ids)
	reign := p.status.TermID
	whole := true
	for _, id := range ids {
		p.c.tables.newest(layoutOf(id), func(t controller.ReplicaTable, ok bool) {
			missing--
			whole = whole && ok
			p.serial = max(p.serial, t.Serial)
			if missing > 0 {
				return
			}
			p.reading = false
			if whole && reign == p.status.TermID {
				p.adopted = reign
			}
		})
	}
	p.reading = missing > 0
}

// compute lays the site out on a worker, with a copy of all that it reads.
func (p *layoutPart) compute() {
	job := p.job()
	if len(job.documents) == 0 {
		return
	}
	p.running = true
	reign := p.status.TermID
	go func() {
		l := job.run()
		p.c.post(func() {
			p.running = false
			if standsFor(p.status) && p.status.TermID == reign {
				p.publish(job, l)
			}
		})
	}()
}

func (p *layoutPart) job() layoutJob {
	job := layoutJob{
		documents: make(map[state.ServiceID]*service.Versioned),
		busy:      make(map[state.BackendID]bool),
		input:     placement.Input{LinkCost: links},
	}
	kept := make(map[state.BackendID]bool)
	for _, id := range p.c.controllers.autoServices() {
		v := p.c.documents.inForce[id]
		job.documents[id] = v
		job.input.Services = append(job.input.Services, placementService(&v.Document))
		for _, r := range p.table(id).Replicas {
			c := placementChain(id, r.Chain)
			job.old.Chains = append(job.old.Chains, c)
			same := c.Version == versionKey(&v.Document) && c.Model == v.Document.Model.Name
			for _, st := range c.Stages {
				kept[st.Backend] = kept[st.Backend] || same
				job.busy[st.Backend] = true
			}
		}
		for _, r := range p.c.controllers.table(id).Replicas {
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
	for _, in := range p.c.controllers.servers() {
		if !p.c.deaths.leaving(in) {
			job.input.Servers = append(job.input.Servers, placementServer(in))
		}
	}
	return job
}

// run places on servers that hold nothing first, so that new chains are loaded
// beside the running ones. Only what finds no place there goes to servers of
// chains that are to leave.
func (j *layoutJob) run() placement.Layout {
	spare := j.input
	spare.Servers = lo.Filter(j.input.Servers, func(s placement.Server, _ int) bool { return !j.busy[s.ID] })
	l := placement.Repair(j.old, spare)
	if len(l.Missing) > 0 {
		l = placement.Repair(l, j.input)
	}
	return l
}

// publish tells each service's part that has changed.
func (p *layoutPart) publish(job layoutJob, l placement.Layout) {
	chains := lo.GroupBy(l.Chains, func(c placement.Chain) state.ServiceID { return c.Service })
	for _, id := range lo.Keys(job.documents) {
		v := job.documents[id]
		if p.c.documents.inForce[id] != v {
			continue // computed anew for the document that came since
		}
		p.tellShort(id, l.Missing[id])
		next := lo.Map(chains[id], func(c placement.Chain, _ int) controller.Replica {
			return controller.Replica{Chain: controllerChain(&v.Document, c)}
		})
		slices.SortFunc(next, func(a, b controller.Replica) int { return cmp.Compare(a.Chain.ID, b.Chain.ID) })
		p.publishOne(id, v.Version, next, l.Missing[id])
	}
}

func (p *layoutPart) publishOne(id state.ServiceID, version state.DocumentVersion, next []controller.Replica, missing int) {
	was := p.table(id)
	same := slices.EqualFunc(was.Replicas, next, func(a, b controller.Replica) bool { return a.Chain.ID == b.Chain.ID })
	if same && was.Document == version {
		return
	}
	if len(next) == 0 && len(was.Replicas) > 0 {
		// Nothing that was asked for fits. What serves is kept until it does.
		return
	}
	p.serial++
	t := controller.ReplicaTable{
		Service: layoutOf(id), Document: version, Fencing: p.status.Fencing, Serial: p.serial, Replicas: next,
	}
	log := []telemetry.Field{telemetry.Service(id), telemetry.Version(version), telemetry.Count(len(next))}
	p.c.d.log.Emit(telemetry.EventPlacementChanged, log...)
	if was.Document == version && missing == 0 {
		p.c.d.log.Emit(telemetry.EventPlacementRepaired, log...)
	}
	p.latest[id] = t
	p.c.tables.publish(t, func(uint64) {})
}

// table returns the newest layout of a service.
func (p *layoutPart) table(id state.ServiceID) controller.ReplicaTable {
	t := p.c.catalog.table(layoutOf(id))
	if own, ok := p.latest[id]; ok && own.Newer(t) {
		return own
	}
	if t.Fencing == 0 {
		// Nothing was laid out yet: chains that were written by hand stay as
		// they are where they can.
		return p.c.controllers.former[id]
	}
	return t
}

func (p *layoutPart) tellShort(id state.ServiceID, missing int) {
	if missing == p.short[id] {
		return
	}
	p.short[id] = missing
	if missing > 0 {
		p.c.d.log.Emit(telemetry.EventPlacementShort, telemetry.Service(id), telemetry.Count(missing))
	}
}

// links is the cost of a hop where nothing is measured: chains keep to one
// failure domain where they can.
func links(from, to state.FailureDomain) float64 {
	if from == to {
		return 0
	}
	return crossDomain
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

// versionKey names a version together with its adapters: other adapters make
// other chains, as another version does.
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

// controllerChain names a chain after all that it holds, so that another chain
// never has its ID.
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

// known reports whether an instance list was ever taken in.
func (p *instancesPart) known() bool { return len(p.byID) > 0 }

func compareIDs(a, b state.InstanceID) int { return cmp.Compare(a, b) }
