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
	requestID SlotRequestID
	holder    state.Member
	target    *replica
	class     state.ClassID
	rank      int
	at        time.Time
	exclusive bool // if staggered, only until ExclusiveEnded
	staggered bool
}

// pool is the state of one pool.
type pool struct {
	id      PoolID
	service state.ServiceID
	cfg     Config
	terms   *terms

	replicas map[state.ReplicaID]*replica
	order    []*replica // fastest first
	reserved *replica   // reserved for a waiter that needs an exclusive slot
	baseRate float64    // observed tokens per second at speed 1; 0 if unknown

	grants          map[SlotRequestID]*grant
	waiters         map[SlotRequestID]*waiter
	queues          []*classQueue // by class rank
	usedByClass     []int         // slots in use by class rank
	holdTimes       []*holdTime   // by class rank
	expiry          expiryHeap
	allLeavingSince time.Time // since when all replicas have been leaving; zero if not all are
	dispatchedAt    time.Time // of the last attempt to grant free slots
	holders         map[state.Member]*holder
	cache           *prefixCache
	recovery        grantRecovery
	lastSeq         uint64 // sequence number of the last waiter
	auditAt         time.Time

	actions *[]Action
}

func newPool(now time.Time, spec PoolSpec, cfg Config, t *terms, out *[]Action) *pool {
	p := &pool{
		id:       spec.ID,
		service:  spec.Service,
		cfg:      cfg,
		replicas: make(map[state.ReplicaID]*replica),
		grants:   make(map[SlotRequestID]*grant),
		waiters:  make(map[SlotRequestID]*waiter),
		holders:  make(map[state.Member]*holder),
		cache:    newPrefixCache(cfg.MaxPrefixes, cfg.PrefixTTL),
		actions:  out,
		auditAt:  now.Add(auditInterval),
	}
	p.applyTerms(now, t)
	p.setReplicas(spec.Replicas)
	return p
}

func (p *pool) send(to state.DaemonID, msg Message) {
	*p.actions = append(*p.actions, Send{To: to, Msg: msg})
}

// setReplicas sets the current replicas of the pool. Grants of a removed replica end
// with it.
func (p *pool) setReplicas(specs []state.Replica) {
	seen := make(map[state.ReplicaID]bool, len(specs))
	p.order = p.order[:0]
	for _, spec := range specs {
		seen[spec.ID] = true
		r, ok := p.replicas[spec.ID]
		if !ok {
			r = &replica{id: spec.ID, usedByRank: make([]int, len(p.terms.classes))}
			p.replicas[spec.ID] = r
		}
		if r.processesReplaced(spec) {
			p.resetReplica(r)
		}
		r.spec = spec
		r.slots = max(spec.Slots, 1)
		r.speed = orDefault(spec.Speed, 1)
		p.order = append(p.order, r)
		if spec.Leaving {
			p.markLeaving(r)
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
		if g.target == r {
			p.removeGrant(g)
		}
	}
	p.unreserve(r)
	p.cache.evictReplica(r.id)
	delete(p.replicas, r.id)
}

// markLeaving stops new work for a replica.
func (p *pool) markLeaving(r *replica) {
	r.leaving = true
	p.unreserve(r)
}

// resetReplica drops the state that belongs to a replica's earlier processes. Its
// grants stay: their holders release them.
func (p *pool) resetReplica(r *replica) {
	r.leaving = false
	r.clearFailures()
	r.tokenRate = 0
	p.cache.evictReplica(r.id)
}

func (p *pool) unreserve(r *replica) {
	if p.reserved == r {
		r.reservedFor = nil
		p.reserved = nil
	}
}

// applyTerms applies a new document: ranks, reservations and weights change, and all
// queued requests and grants are recounted by class name.
func (p *pool) applyTerms(now time.Time, t *terms) {
	waits := p.waitersInOrder()
	names := p.classNames()
	p.terms = t
	p.queues = make([]*classQueue, len(t.classes))
	p.holdTimes = make([]*holdTime, len(t.classes))
	p.usedByClass = make([]int, len(t.classes))
	for i := range t.classes {
		p.queues[i] = newClassQueue()
		p.holdTimes[i] = &holdTime{}
	}
	for _, r := range p.replicas {
		r.usedByRank = make([]int, len(t.classes))
	}
	for _, g := range p.grants {
		g.rank = t.rankOf(g.class)
		p.count(g, +1)
	}
	for _, w := range waits {
		p.requeue(now, w, names[w.rank])
	}
}

// waitersInOrder returns the waiters by arrival, so that the order of actions does not
// depend on map iteration.
func (p *pool) waitersInOrder() []*waiter {
	waits := slices.Collect(maps.Values(p.waiters))
	slices.SortFunc(waits, func(a, b *waiter) int { return cmp.Compare(a.seq, b.seq) })
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

// requeue moves a waiter to its class in the new terms, or refuses it.
func (p *pool) requeue(now time.Time, w *waiter, class state.ClassID) {
	rank, ok := p.terms.rank[class]
	weight, known := p.terms.weights[w.customer]
	if !ok || !known {
		w.flow = nil
		reason := state.ReasonBadRequest
		if ok {
			reason = state.ReasonUnknownCustomer
		}
		p.refuseWaiter(w, reason, 0, now)
		return
	}
	w.rank = rank
	q := p.queues[rank]
	q.add(q.flow(w.customer, weight), w)
}

// count adds n to the slots in use at g's rank.
func (p *pool) count(g *grant, n int) {
	if g.rank < len(p.usedByClass) {
		p.usedByClass[g.rank] += n
		g.target.usedByRank[g.rank] += n
	}
}

// addGrant records a grant.
func (p *pool) addGrant(g *grant) {
	p.grants[g.requestID] = g
	g.target.used++
	g.target.exclusive = g.target.exclusive || g.exclusive
	p.count(g, +1)
	p.holder(g.holder).held ^= g.requestID.Digest()
}

// endExclusive lets other requests start on the replica of a staggered grant. The next
// staggered request goes first, since the replica is ready for it now.
func (p *pool) endExclusive(now time.Time, g *grant) {
	if !g.staggered || !g.exclusive {
		return
	}
	g.exclusive = false
	g.target.exclusive = false
	for _, w := range p.waiters {
		if w.staggered && p.reserved == nil && p.usableExclusive(g.target, w, now) && p.canStart(g.target, w, now) {
			p.grantSlot(w, g.target, now)
			break
		}
	}
	p.dispatch(now)
}

// canStart reports whether w may start on r such that a failure can be attributed to
// it: r is idle, or nothing else has started there for StaggerInterval.
func (p *pool) canStart(r *replica, w *waiter, now time.Time) bool {
	if r.used == 0 {
		return true
	}
	return w.staggered && !r.exclusive && r.used < r.slots && now.Sub(r.lastStart) >= p.cfg.StaggerInterval
}

// removeGrant ends a grant.
func (p *pool) removeGrant(g *grant) {
	delete(p.grants, g.requestID)
	g.target.used--
	if g.exclusive {
		g.target.exclusive = false
	}
	if g.target.isProbe(g.requestID) {
		g.target.probing = false
	}
	p.count(g, -1)
	p.holder(g.holder).held ^= g.requestID.Digest()
}

// enqueue adds a waiter to its queue.
func (p *pool) enqueue(f *flow, w *waiter) {
	p.lastSeq++
	w.seq = p.lastSeq
	p.waiters[w.requestID] = w
	p.queues[w.rank].add(f, w)
	heap.Push(&p.expiry, w)
	p.holder(w.from).waiting ^= w.requestID.Digest()
}

// dequeue removes a waiter from everything but its flow.
func (p *pool) dequeue(w *waiter) {
	delete(p.waiters, w.requestID)
	heap.Remove(&p.expiry, w.heapIndex)
	p.holder(w.from).waiting ^= w.requestID.Digest()
	if p.reserved != nil && p.reserved.reservedFor == w {
		p.unreserve(p.reserved)
	}
}

// dropWaiter removes a waiter without an answer.
func (p *pool) dropWaiter(w *waiter) {
	if w.flow != nil {
		p.queues[w.rank].remove(w)
	}
	p.dequeue(w)
}

// refuseWaiter removes a waiter with a refusal.
func (p *pool) refuseWaiter(w *waiter, reason state.Reason, after state.RetryAfter, now time.Time) {
	p.dropWaiter(w)
	p.refuse(w.from.ID, w.requestID, reason, after, now)
}

// refuse refuses a slot request. after is the time in seconds after which a retry may
// succeed, or 0 if that is unknown.
func (p *pool) refuse(to state.DaemonID, requestID SlotRequestID, reason state.Reason, after state.RetryAfter, now time.Time) {
	p.send(to, SlotRefusal{ID: requestID, Pool: p.id, Reason: reason, RetryAfter: after, Summary: p.summary(now)})
}
