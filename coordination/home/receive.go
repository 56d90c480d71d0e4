package home

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// received takes a message. One of an earlier incarnation than the view's is
// dropped: that process is gone.
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
		if p := h.pools[m.Pool]; p != nil && p.grants[m.ID] != nil {
			p.passed(now, p.grants[m.ID])
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
		h.out = append(h.out, Send{To: from.ID, Msg: NotHome{Pool: m.Pool, IDs: []SlotRequestID{m.ID}}})
		return
	}
	p.request(now, from, m)
}

// request queues an ask, or refuses it at once where it can't be served in
// time. An ask that is known already is answered as before.
func (p *pool) request(now time.Time, from state.Member, m SlotRequest) {
	if g := p.grants[m.ID]; g != nil {
		p.grantAgain(now, from, m.ID)
		return
	}
	if p.waits[m.ID] != nil {
		return
	}
	if !p.possible(m.Exclude) {
		// Every replica failed this request: it waits for the first that is
		// trusted again, rather than be refused while one restarts.
		m.Exclude = nil
	}
	rank, weight, reason := p.admit(now, m)
	if reason != "" {
		p.refuse(from.ID, m.ID, reason, 0, now)
		return
	}
	p.holder(from).heard = now
	w := &wait{
		ask: m.ID, from: from, class: rank, customer: m.Customer,
		cost: float64(max(m.Cost, 1)), prefixes: m.Prefixes, exclude: m.Exclude,
		alone: m.Exclusive, apart: m.Exclusive && m.Staggered, arrived: now, lead: m.FirstTokenLatency, deadline: now.Add(m.Budget),
	}
	w.expires = w.deadline.Add(-w.leadAt(p.order[0].speed))
	if !now.Before(w.expires) {
		p.refuse(from.ID, m.ID, state.ReasonDeadline, 1, now)
		return
	}
	f := p.queues[rank].flow(m.Customer, weight)
	if !p.learn.waiting && p.placeAtOnce(f, w, now) {
		return
	}
	if !p.fits(f, w, now) {
		return
	}
	p.enqueue(f, w)
	p.dispatch(now)
}

// admit checks an ask against the document and the pool's replicas.
func (p *pool) admit(now time.Time, m SlotRequest) (rank int, weight float64, reason state.Reason) {
	rank, ok := p.terms.rank[m.Class]
	if !ok {
		return 0, 0, state.ReasonBadRequest
	}
	weight, ok = p.terms.weights[m.Customer]
	if !ok {
		return 0, 0, state.ReasonUnknownCustomer
	}
	if !p.possible(m.Exclude) && !p.awaitsSuccessor(now) {
		return 0, 0, state.ReasonNoReplica
	}
	return rank, weight, ""
}

// placeAtOnce grants w if a slot is free for it. That passes nobody by: after
// every event dispatch leaves no free slot that anyone in the queue could use.
func (p *pool) placeAtOnce(f *flow, w *wait, now time.Time) bool {
	r := p.choose(w, now)
	if r == nil {
		if w.alone {
			p.dropHoldOf(w)
		}
		return false
	}
	p.enqueue(f, w)
	p.give(w, r, now)
	return true
}

// dropHoldOf undoes the hold that choose made for a wait not yet queued.
func (p *pool) dropHoldOf(w *wait) {
	if p.holding != nil && p.holding.held == w {
		p.unhold(p.holding)
	}
}

// fits reports whether w may queue, and refuses it or, in a full queue, the
// last wait of the longest flow if not. So a customer that fills a queue
// can't shut the others out of it.
func (p *pool) fits(f *flow, w *wait, now time.Time) bool {
	if estimate, ok := p.estimate(w, f); ok && now.Add(estimate).After(w.deadline) {
		p.refuse(w.from.ID, w.ask, state.ReasonDeadline, seconds(estimate-w.deadline.Sub(now)), now)
		return false
	}
	q := p.queues[w.class]
	if q.count < p.terms.queueBound {
		return true
	}
	long := q.longest()
	if f.backlog(1) < long.backlog(0) {
		p.refuseWait(long.tail, state.ReasonQueueFull, seconds(p.drain()), now)
		return true
	}
	p.refuse(w.from.ID, w.ask, state.ReasonQueueFull, seconds(p.drain()), now)
	return false
}

// release ends a grant and notes what it showed of the replica.
func (p *pool) release(now time.Time, from state.Member, m SlotRelease) {
	g := p.grants[m.ID]
	if g != nil && g.holder == from {
		p.learnFrom(now, g, m)
		p.free(g)
	} else if r := p.replicas[m.Replica]; r != nil {
		// Another home gave the grant; the word on the replica counts here too.
		p.noteUse(now, r, now, m.Outcome)
	}
	p.dispatch(now)
}

func (p *pool) learnFrom(now time.Time, g *grant, m SlotRelease) {
	p.noteUse(now, g.r, g.at, m.Outcome)
	if m.Outcome != OutcomeServed {
		return
	}
	if g.rank < len(p.holds) {
		p.holds[g.rank].add(now.Sub(g.at))
	}
	if g.r.probing && g.r.probe == m.ID {
		p.recovered(g.r)
	}
	if m.Tokens >= minSampleTokens && m.DecodeTime > 0 {
		p.sample(now, g.r, float64(m.Tokens)/m.DecodeTime.Seconds())
	}
}

// noteUse takes what a release says of its replica.
func (p *pool) noteUse(now time.Time, r *replica, granted time.Time, use SlotOutcome) {
	switch use {
	case OutcomeFailed:
		if r.suspect(now, granted, p.cfg) {
			p.unhold(r)
			p.cache.forget(r.id)
			*p.out = append(*p.out, Suspected{Pool: p.id, Replica: r.id, Until: r.until})
		}
	case OutcomeLeaving:
		p.leave(r)
		p.refuseImpossible(now)
	case OutcomeServed, OutcomeUnused:
	}
}

// sample notes a replica's tokens a second.
func (p *pool) sample(now time.Time, r *replica, rate float64) {
	r.observe(now, rate)
	normal := rate / r.speed
	if p.base == 0 {
		p.base = normal
		return
	}
	p.base += baseSmoothing * (normal - p.base)
}

// cancel ends a wait, or the grant that crossed the cancel on the way.
func (p *pool) cancel(now time.Time, from state.Member, ask SlotRequestID) {
	if w := p.waits[ask]; w != nil && w.from == from {
		p.dropWait(w)
	} else if g := p.grants[ask]; g != nil && g.holder == from {
		p.free(g)
	}
	p.dispatch(now)
}
