package home

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// grant is one slot in use.
type grant struct {
	ask    SlotRequestID
	holder state.Member
	r      *replica
	class  state.ClassID
	rank   int
	at     time.Time
	alone  bool // until passed, where it is apart
	apart  bool
}

// pool is everything that a home knows of one pool.
type pool struct {
	id      PoolID
	service state.ServiceID
	cfg     Config
	terms   *terms

	replicas map[state.ReplicaID]*replica
	order    []*replica // the fastest kind first
	holding  *replica   // held back for one request that runs alone
	base     float64    // tokens a second at speed 1 as observed; 0 not known

	grants  map[SlotRequestID]*grant
	waits   map[SlotRequestID]*wait
	queues  []*classQueue // by class rank
	used    []int         // slots in use by class rank
	holds   []*holding    // by class rank
	expiry  expiryHeap
	barren  time.Time // since when all replicas are leaving; zero for not
	holders map[state.Member]*holder
	cache   *prefixCache
	learn   learning
	arrived uint64 // number of the last wait
	auditAt time.Time

	out *[]Action
}

func newPool(now time.Time, spec PoolSpec, cfg Config, t *terms, out *[]Action) *pool {
	p := &pool{
		id:       spec.ID,
		service:  spec.Service,
		cfg:      cfg,
		replicas: make(map[state.ReplicaID]*replica),
		grants:   make(map[SlotRequestID]*grant),
		waits:    make(map[SlotRequestID]*wait),
		holders:  make(map[state.Member]*holder),
		cache:    newPrefixCache(cfg.MaxPrefixes, cfg.PrefixTTL),
		out:      out,
		auditAt:  now.Add(auditEvery),
	}
	p.applyTerms(now, t)
	p.setReplicas(spec.Replicas)
	return p
}

func (p *pool) send(to state.DaemonID, msg Message) {
	*p.out = append(*p.out, Send{To: to, Msg: msg})
}

// setReplicas takes the pool's replicas as they are now. Grants of a replica
// that is gone end with it.
func (p *pool) setReplicas(specs []state.Replica) {
	seen := make(map[state.ReplicaID]bool, len(specs))
	p.order = p.order[:0]
	for _, spec := range specs {
		seen[spec.ID] = true
		r, ok := p.replicas[spec.ID]
		if !ok {
			r = &replica{id: spec.ID, rank: make([]int, len(p.terms.classes))}
			p.replicas[spec.ID] = r
		}
		if r.renewed(spec) {
			p.renewReplica(r)
		}
		r.spec = spec
		r.slots = max(spec.Slots, 1)
		r.speed = orDefault(spec.Speed, 1)
		p.order = append(p.order, r)
		if spec.Leaving {
			p.leave(r)
		}
	}
	for id, r := range p.replicas {
		if !seen[id] {
			p.dropReplica(r)
		}
	}
	slices.SortFunc(p.order, func(a, b *replica) int {
		switch {
		case a.speed > b.speed, a.speed == b.speed && a.id < b.id:
			return -1
		default:
			return 1
		}
	})
}

func (p *pool) dropReplica(r *replica) {
	for _, g := range p.grants {
		if g.r == r {
			p.free(g)
		}
	}
	p.unhold(r)
	p.cache.forget(r.id)
	delete(p.replicas, r.id)
}

// leave stops new work for a replica.
func (p *pool) leave(r *replica) {
	r.leaving = true
	p.unhold(r)
}

// renewReplica forgets what is known of a replica's earlier processes. Its
// grants stay: their holders release them.
func (p *pool) renewReplica(r *replica) {
	r.leaving = false
	r.clear()
	r.rate = 0
	p.cache.forget(r.id)
}

func (p *pool) unhold(r *replica) {
	if p.holding == r {
		r.held = nil
		p.holding = nil
	}
}

// applyTerms takes another document: ranks, reservations and weights change,
// and everything queued or in use is counted anew by class name.
func (p *pool) applyTerms(now time.Time, t *terms) {
	waits := p.waitsInOrder()
	names := p.classNames()
	p.terms = t
	p.queues = make([]*classQueue, len(t.classes))
	p.holds = make([]*holding, len(t.classes))
	p.used = make([]int, len(t.classes))
	for i := range t.classes {
		p.queues[i] = newClassQueue()
		p.holds[i] = &holding{}
	}
	for _, r := range p.replicas {
		r.rank = make([]int, len(t.classes))
	}
	for _, g := range p.grants {
		g.rank = t.rankOf(g.class)
		p.count(g, +1)
	}
	for _, w := range waits {
		p.requeue(now, w, names[w.class])
	}
}

// waitsInOrder returns the waits by arrival, so that the order of actions does
// not depend on a map's.
func (p *pool) waitsInOrder() []*wait {
	waits := slices.Collect(maps.Values(p.waits))
	slices.SortFunc(waits, func(a, b *wait) int { return cmp.Compare(a.seq, b.seq) })
	return waits
}

func (p *pool) classNames() []state.ClassID {
	if p.terms == nil {
		return nil
	}
	names := make([]state.ClassID, len(p.terms.classes))
	for i, c := range p.terms.classes {
		names[i] = c.name
	}
	return names
}

// requeue moves a wait to its class in the new terms, or refuses it.
func (p *pool) requeue(now time.Time, w *wait, class state.ClassID) {
	rank, ok := p.terms.rank[class]
	weight, known := p.terms.weights[w.customer]
	if !ok || !known {
		w.flow = nil
		reason := state.ReasonBadRequest
		if ok {
			reason = state.ReasonUnknownCustomer
		}
		p.refuseWait(w, reason, 0, now)
		return
	}
	w.class = rank
	q := p.queues[rank]
	q.add(q.flow(w.customer, weight), w)
}

// count adds n uses of g's slot to the counts by rank.
func (p *pool) count(g *grant, n int) {
	if g.rank < len(p.used) {
		p.used[g.rank] += n
		g.r.rank[g.rank] += n
	}
}

// take enters a grant of holder.
func (p *pool) take(g *grant) {
	p.grants[g.ask] = g
	g.r.used++
	g.r.alone = g.r.alone || g.alone
	p.count(g, +1)
	p.holder(g.holder).held ^= g.ask.Digest()
}

// passed lets others begin on the replica of a grant that was apart, the next
// that is to be apart before all others: the replica is settled for it now.
func (p *pool) passed(now time.Time, g *grant) {
	if !g.apart || !g.alone {
		return
	}
	g.alone = false
	g.r.alone = false
	for _, w := range p.waits {
		if w.apart && p.holding == nil && p.usableAlone(g.r, w, now) && p.settled(g.r, w, now) {
			p.give(w, g.r, now)
			break
		}
	}
	p.dispatch(now)
}

// settled reports whether w may begin on r without another request to blame for a
// death: r is idle, or nothing else has begun there for long enough.
func (p *pool) settled(r *replica, w *wait, now time.Time) bool {
	if r.used == 0 {
		return true
	}
	return w.apart && !r.alone && r.used < r.slots && now.Sub(r.begunAt) >= p.cfg.StaggerInterval
}

// free ends a grant.
func (p *pool) free(g *grant) {
	delete(p.grants, g.ask)
	g.r.used--
	if g.alone {
		g.r.alone = false
	}
	if g.r.probing && g.r.probe == g.ask {
		g.r.probing = false
	}
	p.count(g, -1)
	p.holder(g.holder).held ^= g.ask.Digest()
}

// enqueue enters a wait.
func (p *pool) enqueue(f *flow, w *wait) {
	p.arrived++
	w.seq = p.arrived
	p.waits[w.ask] = w
	p.queues[w.class].add(f, w)
	heap.Push(&p.expiry, w)
	p.holder(w.from).waiting ^= w.ask.Digest()
}

// dequeue takes a wait out of everything but its flow.
func (p *pool) dequeue(w *wait) {
	delete(p.waits, w.ask)
	heap.Remove(&p.expiry, w.heapIndex)
	p.holder(w.from).waiting ^= w.ask.Digest()
	if p.holding != nil && p.holding.held == w {
		p.unhold(p.holding)
	}
}

// dropWait ends a wait without an answer.
func (p *pool) dropWait(w *wait) {
	if w.flow != nil {
		p.queues[w.class].remove(w)
	}
	p.dequeue(w)
}

// refuseWait ends a wait with a refusal.
func (p *pool) refuseWait(w *wait, reason state.Reason, after state.RetryAfter, now time.Time) {
	p.dropWait(w)
	p.refuse(w.from.ID, w.ask, reason, after, now)
}

func (p *pool) refuse(to state.DaemonID, ask SlotRequestID, reason state.Reason, after state.RetryAfter, now time.Time) {
	p.send(to, SlotRefusal{ID: ask, Pool: p.id, Reason: reason, RetryAfter: after, Summary: p.summary(now)})
}
