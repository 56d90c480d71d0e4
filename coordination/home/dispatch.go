package home

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// dispatch grants free slots until no wait can use one.
func (p *pool) dispatch(now time.Time) {
	if p.learn.waiting || len(p.waits) == 0 {
		return
	}
	if r := p.holding; r != nil && p.settled(r, r.held, now) {
		p.give(r.held, r, now)
	}
	slowest := p.slowest(now)
	place := func(w *wait) bool { return p.place(w, now) }
	constrained := func(w *wait) bool { return w.constrained(now, slowest) }
	for _, q := range p.queues {
		for q.count > 0 && q.search(place, constrained) {
		}
	}
}

// slowest returns the lowest speed of the pool's replicas.
func (p *pool) slowest(now time.Time) float64 {
	low := math.Inf(1)
	for _, r := range p.order {
		low = min(low, r.effective(now, p.base, p.cfg.SpeedMemory))
	}
	return low
}

// place grants w a slot if one is free for it.
func (p *pool) place(w *wait, now time.Time) bool {
	r := p.choose(w, now)
	if r == nil {
		return false
	}
	p.give(w, r, now)
	return true
}

// give grants w a slot of r.
func (p *pool) give(w *wait, r *replica, now time.Time) {
	p.queues[w.class].granted(w)
	p.dequeue(w)
	p.take(&grant{
		ask: w.ask, holder: w.from, r: r, class: p.terms.classes[w.class].name,
		rank: w.class, at: now, alone: w.alone, apart: w.apart,
	})
	if r.failures > 0 {
		r.probing, r.probe, r.probeAt = true, w.ask, now
	}
	if !w.apart {
		r.begunAt = now
	}
	for _, prefix := range w.prefixes {
		p.cache.insert(now, prefix, r.id)
	}
	p.send(w.from.ID, SlotGrant{Ask: w.ask, Pool: p.id, Replica: r.id, Summary: p.summary(now)})
}

// expire refuses the waits whose time is up.
func (p *pool) expire(now time.Time) {
	for len(p.expiry) > 0 && !p.expiry[0].expires.After(now) {
		p.refuseWait(p.expiry[0], state.ReasonDeadline, seconds(p.drain()), now)
	}
}

// refuseImpossible refuses waits that no replica of the pool can ever serve.
func (p *pool) refuseImpossible(now time.Time) {
	for _, w := range p.waitsInOrder() {
		if !p.possible(w.exclude) {
			p.refuseWait(w, state.ReasonNoReplica, 1, now)
		}
	}
}

// clearProbes ends the suspicion of replicas whose probe runs well.
func (p *pool) clearProbes(now time.Time) {
	for _, r := range p.order {
		if r.probeOK(now) {
			p.recovered(r)
		}
	}
}

func (p *pool) recovered(r *replica) {
	r.clear()
	*p.out = append(*p.out, Recovered{Pool: p.id, Replica: r.id})
}

// nextTick returns when the pool next needs a Tick, or the zero time.
func (p *pool) nextTick(now time.Time) time.Time {
	next := earliest(p.learn.nextTick(p.cfg), p.auditAt)
	if len(p.expiry) > 0 {
		next = earliest(next, p.expiry[0].expires)
	}
	if r := p.holding; r != nil && r.held.apart {
		next = earliest(next, r.begunAt.Add(p.cfg.SettleFor))
	}
	for _, r := range p.order {
		if r.suspected(now) {
			next = earliest(next, r.until)
		}
		if r.probing {
			next = earliest(next, r.probeAt.Add(probeFor))
		}
	}
	return next
}

// earliest returns the earlier of two times, the zero time meaning never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
