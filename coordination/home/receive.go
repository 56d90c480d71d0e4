package home

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// received handles a message. A message from an earlier incarnation than the view's is
// dropped, since that process is gone.
func (h *Home) received(now time.Time, from state.Member, msg Message) {
	if live, ok := h.live[from.ID]; ok && from.Incarnation < live.Incarnation {
		return
	}
	switch m := msg.(type) {
	case SlotRequest:
		h.request(now, from, m)
	case SlotRelease:
		if p := h.pools[m.Pool]; p != nil {
			p.release(now, from, m)
		}
	case ExclusiveEnded:
		if p := h.pools[m.Pool]; p != nil {
			p.exclusiveEnded(now, from, m.ID)
		}
	case CancelSlotRequest:
		if p := h.pools[m.Pool]; p != nil {
			p.cancel(now, from, m.ID)
		}
	case Renewal:
		for _, d := range m.Pools {
			if p := h.pools[d.Pool]; p != nil {
				p.renew(now, from, d)
			}
		}
	case GrantReport:
		if p := h.pools[m.Pool]; p != nil {
			p.report(now, from, m)
			p.dispatch(now)
		}
	default:
		// SlotGrant, SlotRefusal, NotHome and ReportQuery are for package route.
	}
}

func (h *Home) request(now time.Time, from state.Member, m SlotRequest) {
	p := h.pools[m.Pool]
	if p == nil {
		h.actions = append(h.actions, Send{To: from.ID, Msg: NotHome{Pool: m.Pool, IDs: []SlotRequestID{m.ID}}})
		return
	}
	p.request(now, from, m)
}

// request queues a slot request, or refuses it at once if it cannot be served in time.
// A request that is already known gets the same answer again.
func (p *pool) request(now time.Time, from state.Member, m SlotRequest) {
	if g := p.grants[m.ID]; g != nil {
		p.resendGrant(now, from, m.ID)
		return
	}
	if p.waiters[m.ID] != nil {
		return
	}
	if !p.hasCandidate(m.Exclude) {
		// Every replica has failed this request. It waits for the first that is usable
		// again instead of being refused while one restarts.
		m.Exclude = nil
	}
	rank, weight, reason := p.validate(now, m)
	if reason != "" {
		p.refuse(from.ID, m.ID, reason, 0, now)
		return
	}
	p.holder(from).lastHeard = now
	w := &waiter{
		requestID: m.ID, from: from, rank: rank, customer: m.Customer,
		cost: float64(max(m.Cost, 1)), prefixes: m.Prefixes, exclude: m.Exclude,
		exclusive: m.Exclusive, staggered: m.Exclusive && m.Staggered, arrived: now,
		firstTokenLatency: m.FirstTokenLatency, deadline: now.Add(m.Budget), begun: m.Begun,
	}
	if w.begun {
		w.firstTokenLatency = 0
	}
	w.expires = w.deadline.Add(-w.firstTokenLatencyAt(p.order[0].speed))
	if !now.Before(w.expires) {
		p.refuse(from.ID, m.ID, state.ReasonDeadline, 1, now)
		return
	}
	f := p.queues[rank].flow(m.Customer, weight)
	if !p.recovery.waiting && p.grantImmediately(f, w, now) {
		return
	}
	if !p.admitToQueue(f, w, now) {
		return
	}
	p.enqueue(f, w)
	p.dispatch(now)
}

// validate checks a request against the document and the pool's replicas.
func (p *pool) validate(now time.Time, m SlotRequest) (rank int, weight float64, reason state.Reason) {
	rank, ok := p.terms.rank[m.Class]
	if !ok {
		return 0, 0, state.ReasonBadRequest
	}
	weight, ok = p.terms.weights[m.Customer]
	if !ok {
		return 0, 0, state.ReasonUnknownCustomer
	}
	if !p.hasCandidate(m.Exclude) && !p.awaitsSuccessor(now) {
		return 0, 0, state.ReasonNoReplica
	}
	return rank, weight, ""
}

// grantImmediately grants w if a slot is free for it. This overtakes no waiter: after
// every event, dispatch leaves no free slot that a queued waiter could use.
func (p *pool) grantImmediately(f *flow, w *waiter, now time.Time) bool {
	r := p.choose(w, now)
	if r == nil {
		if w.exclusive {
			p.cancelReservation(w)
		}
		return false
	}
	p.enqueue(f, w)
	p.grantSlot(w, r, now)
	return true
}

// cancelReservation undoes the reservation that choose made for a waiter that is not
// yet queued.
func (p *pool) cancelReservation(w *waiter) {
	if p.reserved != nil && p.reserved.reservedFor == w {
		p.unreserve(p.reserved)
	}
}

// admitToQueue reports whether w may queue. If not, it refuses w or, if the queue is
// full, the last waiter of the longest flow. A customer that fills a queue therefore
// cannot lock the others out.
//
// Guard (begun-answer-refused-by-an-estimate): an answer that has begun has no first token
// to be late with, and only its own time ends its wait. After a death few slots are in use,
// and the estimate would refuse the answers that the death has cut. It does not count toward
// the queue's limit either: it held a slot before, which bounds the number of such waiters.
func (p *pool) admitToQueue(f *flow, w *waiter, now time.Time) bool {
	if w.begun {
		return true
	}
	if estimate, ok := p.estimateFirstToken(w, f); ok && now.Add(estimate).After(w.deadline) {
		p.refuse(w.from.ID, w.requestID, state.ReasonDeadline, retryAfterSeconds(estimate-w.deadline.Sub(now)), now)
		return false
	}
	q := p.queues[w.rank]
	if q.refusable() < p.terms.maxQueued {
		return true
	}
	longest := q.longestFlow()
	if f.backlog(1) < longest.backlog(0) {
		p.refuseWaiter(longest.lastRefusable(), state.ReasonQueueFull, retryAfterSeconds(p.drainTime()), now)
		return true
	}
	p.refuse(w.from.ID, w.requestID, state.ReasonQueueFull, retryAfterSeconds(p.drainTime()), now)
	return false
}

// release ends a grant and records what it showed of the replica.
func (p *pool) release(now time.Time, from state.Member, m SlotRelease) {
	g := p.grants[m.ID]
	if g != nil && g.holder == from {
		p.recordRelease(now, g, m)
		p.removeGrant(g)
	} else if r := p.replicas[m.Replica]; r != nil {
		// Another home gave the grant; its outcome counts for the replica here too.
		p.recordOutcome(now, r, now, m.Outcome)
	}
	p.dispatch(now)
}

func (p *pool) recordRelease(now time.Time, g *grant, m SlotRelease) {
	p.recordOutcome(now, g.target, g.at, m.Outcome)
	if m.Outcome != OutcomeServed {
		return
	}
	if g.rank < len(p.holdTimes) {
		p.holdTimes[g.rank].add(now.Sub(g.at))
	}
	if g.target.isProbe(m.ID) {
		p.markRecovered(g.target)
	}
	if m.Tokens >= minSampleTokens && m.DecodeTime > 0 {
		p.recordDecodeRate(now, g.target, float64(m.Tokens)/m.DecodeTime.Seconds())
	}
}

// recordOutcome records what a release reports about its replica.
func (p *pool) recordOutcome(now time.Time, r *replica, granted time.Time, outcome SlotOutcome) {
	switch outcome {
	case OutcomeFailed:
		if r.recordFailure(now, granted, p.cfg) {
			p.unreserve(r)
			p.cache.evictReplica(r.id)
			*p.actions = append(*p.actions, Suspected{Pool: p.id, Replica: r.id, Until: r.backoffUntil})
		}
	case OutcomeLeaving:
		p.markLeaving(r)
		p.refuseUnservable(now)
	case OutcomeServed, OutcomeUnused:
	}
}

// recordDecodeRate records a sample of a replica's decode rate in tokens per second. Divided
// by the replica's relative speed, it is also a sample of baseRate, the rate at speed 1.
func (p *pool) recordDecodeRate(now time.Time, r *replica, rate float64) {
	r.observe(now, rate)
	normalized := rate / r.speed
	if p.baseRate == 0 {
		p.baseRate = normalized
		return
	}
	p.baseRate += baseSmoothing * (normalized - p.baseRate)
}

// exclusiveEnded ends the exclusive phase of a grant if its holder reports it. The probe
// of a replica has passed then.
//
// Guard (probe-outlasts-its-proof): with only the duration of a probe as proof, replicas
// that come back together serve one request each for seconds, and all others wait.
func (p *pool) exclusiveEnded(now time.Time, from state.Member, requestID SlotRequestID) {
	g := p.grants[requestID]
	if g == nil || g.holder != from {
		return
	}
	if g.target.isProbe(requestID) {
		p.markRecovered(g.target)
	}
	p.endExclusive(now, g)
	p.dispatch(now)
}

// cancel ends a waiter, or the grant that was sent before the cancel arrived.
func (p *pool) cancel(now time.Time, from state.Member, requestID SlotRequestID) {
	if w := p.waiters[requestID]; w != nil && w.from == from {
		p.dropWaiter(w)
	} else if g := p.grants[requestID]; g != nil && g.holder == from {
		p.removeGrant(g)
	}
	p.dispatch(now)
}
