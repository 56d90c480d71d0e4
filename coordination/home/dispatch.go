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
		low = min(low, r.effective(now, p.base, p.cfg.SpeedSampleTTL))
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
	p.send(w.from.ID, SlotGrant{ID: w.ask, Pool: p.id, Replica: r.id, Summary: p.summary(now)})
}

// expire refuses the waits whose time is up.
func (p *pool) expire(now time.Time) {
	for len(p.expiry) > 0 && !p.expiry[0].expires.After(now) {
		p.refuseWait(p.expiry[0], state.ReasonDeadline, seconds(p.drain()), now)
	}
}

// SuccessorWait is how long requests wait for the successor of a pool's last replicas, once
// all of them are leaving. Daemons tell each other at once that one leaves, and the list that
// names its successor follows within some 100 ms; without one they are refused after this.
const SuccessorTimeout = time.Second

// refuseImpossible refuses waits that no replica of the pool can ever serve. One whose
// avoided replicas are the only ones that stay waits for those.
func (p *pool) refuseImpossible(now time.Time) {
	if p.possible(nil) {
		p.barren = time.Time{}
		for _, w := range p.waits {
			if !p.possible(w.exclude) {
				w.exclude = nil
			}
		}
		return
	}
	if p.awaitsSuccessor(now) {
		return
	}
	for _, w := range p.waitsInOrder() {
		p.refuseWait(w, state.ReasonNoReplica, 1, now)
	}
}

// awaitsSuccessor reports whether all replicas of the pool are leaving, and that for so
// short a time that the list of their successors may be on its way.
//
// Guard (successor-listed-late): a caller would be refused while a new version is rolled out,
// although its first replica is ready.
func (p *pool) awaitsSuccessor(now time.Time) bool {
	if len(p.order) == 0 {
		return false
	}
	if p.barren.IsZero() {
		p.barren = now
	}
	return now.Before(p.barren.Add(SuccessorTimeout))
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
	if !p.barren.IsZero() && len(p.waits) > 0 {
		next = earliest(next, p.barren.Add(SuccessorTimeout))
	}
	if r := p.holding; r != nil && r.held.apart {
		next = earliest(next, r.begunAt.Add(p.cfg.StaggerInterval))
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
