package home

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// holderTimeout is how long the grants of a daemon that is not in the membership view
// and sends no renewals are kept.
const holderTimeout = 10 * time.Second

// Home is the home of the pools that are assigned to one daemon.
type Home struct {
	cfg       Config
	live      map[state.DaemonID]state.Member
	members   []state.Member // live members, by name
	documents map[state.ServiceID]*service.Document
	pools     map[PoolID]*pool
	order     []*pool // by ID, so that the order of actions is reproducible
	actions   []Action
}

// New returns a home without pools. The membership view and the documents must be set
// before pools are assigned.
func New(cfg Config) *Home {
	return &Home{
		cfg:       cfg.withDefaults(),
		live:      make(map[state.DaemonID]state.Member),
		documents: make(map[state.ServiceID]*service.Document),
		pools:     make(map[PoolID]*pool),
	}
}

// Step processes one event. The actions are valid until the next call.
func (h *Home) Step(now time.Time, ev Event) []Action {
	h.actions = h.actions[:0]
	switch e := ev.(type) {
	case Tick:
		h.tick(now)
	case Received:
		h.received(now, e.From, e.Msg)
	case DocumentChanged:
		h.setDocument(now, e.Document)
	case PoolsAssigned:
		h.assignPools(now, e.Pools)
	case ViewChanged:
		h.setView(now, e.Live)
	case ReplicaLeaving:
		h.replicaLeaving(now, e.Replica)
	case ReplicaReturned:
		h.replicaReturned(now, e.Replica)
	case CacheReported:
		h.cacheReported(now, e)
	}
	return h.actions
}

// NextTick returns when Step next needs a Tick, or the zero time for never.
func (h *Home) NextTick(now time.Time) time.Time {
	var next time.Time
	for _, p := range h.order {
		next = earliest(next, p.nextTick(now))
	}
	return next
}

// Summary returns the state of a pool that this daemon is home of.
func (h *Home) Summary(now time.Time, id PoolID) (Summary, bool) {
	p, ok := h.pools[id]
	if !ok {
		return Summary{}, false
	}
	return p.summary(now), true
}

// InFlight returns the number of grants of a replica. It returns false if this daemon
// is not the home of the replica, or has not yet recovered the grants of the previous
// home.
func (h *Home) InFlight(id state.ReplicaID) (int, bool) {
	for _, p := range h.order {
		if r := p.replicas[id]; r != nil {
			return r.used, p.recovery.unreported == nil
		}
	}
	return 0, false
}

func (h *Home) tick(now time.Time) {
	for _, p := range h.order {
		p.advanceRecovery(now)
		p.clearProbes(now)
		p.audit(now, h.live)
		p.expire(now)
		p.refuseUnservable(now)
		p.dispatch(now)
	}
}

func (h *Home) setDocument(now time.Time, d *service.Document) {
	h.documents[d.Service] = d
	for _, p := range h.order {
		if p.service == d.Service {
			p.applyTerms(now, newTerms(d, h.cfg))
			p.dispatch(now)
		}
	}
}

func (h *Home) assignPools(now time.Time, specs []PoolSpec) {
	keep := make(map[PoolID]bool, len(specs))
	for _, spec := range specs {
		keep[spec.ID] = true
		p, ok := h.pools[spec.ID]
		if ok {
			p.setReplicas(spec.Replicas)
			p.refuseUnservable(now)
			p.dispatch(now)
			continue
		}
		p = newPool(now, spec, h.cfg, newTerms(h.documents[spec.Service], h.cfg), &h.actions)
		h.pools[spec.ID] = p
		p.startRecovery(now, h.members)
	}
	for _, p := range h.order {
		if !keep[p.id] {
			h.handOff(p)
		}
	}
	h.order = slices.SortedFunc(maps.Values(h.pools), func(a, b *pool) int { return cmp.Compare(a.id, b.id) })
}

// handOff gives up a pool: daemons whose requests wait are told to ask its next home,
// and those that hold grants report them there.
func (h *Home) handOff(p *pool) {
	requestIDs := make(map[state.DaemonID][]SlotRequestID)
	for _, w := range p.waitersInOrder() {
		requestIDs[w.from.ID] = append(requestIDs[w.from.ID], w.requestID)
	}
	for _, to := range slices.Sorted(maps.Keys(requestIDs)) {
		p.send(to, NotHome{Pool: p.id, IDs: requestIDs[to]})
	}
	delete(h.pools, p.id)
}

// setView applies a membership view. A later incarnation of a daemon holds nothing of
// what the previous one held. A member that was wrongly declared dead rejoins with
// everything that was freed in its name, so members that are new in the view are asked
// for a report at once instead of at their second renewal.
func (h *Home) setView(now time.Time, live []state.Member) {
	before := h.members
	h.members = slices.Clone(live)
	slices.SortFunc(h.members, func(a, b state.Member) int { return cmp.Compare(a.ID, b.ID) })
	h.live = make(map[state.DaemonID]state.Member, len(live))
	for _, m := range live {
		h.live[m.ID] = m
	}
	for _, m := range before {
		if h.live[m.ID] == m {
			continue
		}
		for _, p := range h.order {
			p.dropHolder(now, m)
			p.dispatch(now)
		}
	}
	for _, m := range h.members {
		if slices.Contains(before, m) {
			continue
		}
		for _, p := range h.order {
			p.send(m.ID, ReportQuery{Pool: p.id})
		}
	}
}

func (h *Home) replicaLeaving(now time.Time, id state.ReplicaID) {
	for _, p := range h.order {
		if r := p.replicas[id]; r != nil {
			p.markLeaving(r)
			p.refuseUnservable(now)
			p.dispatch(now)
		}
	}
}

func (h *Home) replicaReturned(now time.Time, id state.ReplicaID) {
	for _, p := range h.order {
		if r := p.replicas[id]; r != nil {
			p.resetReplica(r)
			p.dispatch(now)
		}
	}
}

func (h *Home) cacheReported(now time.Time, e CacheReported) {
	for _, p := range h.order {
		if p.replicas[e.Replica] == nil {
			continue
		}
		if e.Gap {
			p.cache.evictReplica(e.Replica)
		}
		for _, c := range e.Changes {
			if c.Evicted {
				p.cache.evict(c.Prefix, e.Replica)
			} else {
				p.cache.insert(now, c.Prefix, e.Replica)
			}
		}
	}
}
