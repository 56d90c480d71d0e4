package home

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// holderTimeout is how long a daemon that is not in the view, and renews
// nothing, is believed to hold its grants.
const holderTimeout = 10 * time.Second

// Home is the home of the pools that one daemon is assigned.
type Home struct {
	cfg       Config
	live      map[state.DaemonID]state.Member
	members   []state.Member // live, by name
	documents map[state.ServiceID]*service.Document
	pools     map[PoolID]*pool
	order     []*pool // by id, so that the order of actions is reproducible
	out       []Action
}

// New returns a home without pools. A Home must be told the view and the
// documents before its pools.
func New(cfg Config) *Home {
	return &Home{
		cfg:       cfg.withDefaults(),
		live:      make(map[state.DaemonID]state.Member),
		documents: make(map[state.ServiceID]*service.Document),
		pools:     make(map[PoolID]*pool),
	}
}

// Step takes one event. The actions are valid until the next call.
func (h *Home) Step(now time.Time, ev Event) []Action {
	h.out = h.out[:0]
	switch e := ev.(type) {
	case Tick:
		h.tick(now)
	case Received:
		h.received(now, e.From, e.Msg)
	case DocumentChanged:
		h.document(now, e.Document)
	case PoolsAssigned:
		h.assigned(now, e.Pools)
	case ViewChanged:
		h.view(now, e.Live)
	case ReplicaLeaving:
		h.leaving(now, e.Replica)
	case ReplicaReturned:
		h.returned(now, e.Replica)
	case CacheReported:
		h.cached(now, e)
	}
	return h.out
}

// NextTick returns when Step next wants a Tick, or the zero time for never.
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

// InFlight counts the grants of a replica. It reports false where this daemon is
// not its home, or has not yet learned of the grants of the home before it.
func (h *Home) InFlight(id state.ReplicaID) (int, bool) {
	for _, p := range h.order {
		if r := p.replicas[id]; r != nil {
			return r.used, p.learn.silent == nil
		}
	}
	return 0, false
}

func (h *Home) tick(now time.Time) {
	for _, p := range h.order {
		p.advanceLearning(now)
		p.clearProbes(now)
		p.audit(now, h.live)
		p.expire(now)
		p.refuseImpossible(now)
		p.dispatch(now)
	}
}

func (h *Home) document(now time.Time, d *service.Document) {
	h.documents[d.Service] = d
	for _, p := range h.order {
		if p.service == d.Service {
			p.applyTerms(now, newTerms(d, h.cfg))
			p.dispatch(now)
		}
	}
}

func (h *Home) assigned(now time.Time, specs []PoolSpec) {
	keep := make(map[PoolID]bool, len(specs))
	for _, spec := range specs {
		keep[spec.ID] = true
		p, ok := h.pools[spec.ID]
		if ok {
			p.setReplicas(spec.Replicas)
			p.refuseImpossible(now)
			p.dispatch(now)
			continue
		}
		p = newPool(now, spec, h.cfg, newTerms(h.documents[spec.Service], h.cfg), &h.out)
		h.pools[spec.ID] = p
		p.beginLearning(now, h.members)
	}
	for _, p := range h.order {
		if !keep[p.id] {
			h.handOn(p)
		}
	}
	h.order = slices.SortedFunc(maps.Values(h.pools), func(a, b *pool) int { return cmp.Compare(a.id, b.id) })
}

// handOn gives a pool up: those who wait are told to ask its next home, and
// those who hold grants report them there.
func (h *Home) handOn(p *pool) {
	asks := make(map[state.DaemonID][]SlotRequestID)
	for _, w := range p.waitsInOrder() {
		asks[w.from.ID] = append(asks[w.from.ID], w.ask)
	}
	for _, to := range slices.Sorted(maps.Keys(asks)) {
		p.send(to, NotHome{Pool: p.id, IDs: asks[to]})
	}
	delete(h.pools, p.id)
}

// view takes the live members. A later incarnation of a daemon holds nothing
// of what the one before it held. A member that was held for dead by mistake
// comes back with everything that was freed in its name, so those that are new
// in the view are asked what they hold, rather than at their second renewal.
func (h *Home) view(now time.Time, live []state.Member) {
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
			p.forgetHolder(now, m)
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

func (h *Home) leaving(now time.Time, id state.ReplicaID) {
	for _, p := range h.order {
		if r := p.replicas[id]; r != nil {
			p.leave(r)
			p.refuseImpossible(now)
			p.dispatch(now)
		}
	}
}

func (h *Home) returned(now time.Time, id state.ReplicaID) {
	for _, p := range h.order {
		if r := p.replicas[id]; r != nil {
			p.renewReplica(r)
			p.dispatch(now)
		}
	}
}

func (h *Home) cached(now time.Time, e CacheReported) {
	for _, p := range h.order {
		if p.replicas[e.Replica] == nil {
			continue
		}
		if e.Gap {
			p.cache.forget(e.Replica)
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
