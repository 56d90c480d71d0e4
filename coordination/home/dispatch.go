package home

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// dispatch grants free slots until no waiter can use one.
func (p *pool) dispatch(now time.Time) {
	p.dispatchedAt = now
	if p.recovery.waiting || len(p.waiters) == 0 {
		return
	}
	if r := p.reserved; r != nil && p.canStart(r, r.reservedFor, now) {
		p.grantSlot(r.reservedFor, r, now)
	}
	slowest := p.slowest(now)
	place := func(w *waiter) bool { return p.tryGrant(w, now) }
	constrained := func(w *waiter) bool { return w.constrained(now, slowest) }
	for _, q := range p.queues {
		for q.count > 0 && q.search(place, constrained) {
		}
	}
}

// slowest returns the lowest effective speed of the pool's replicas.
func (p *pool) slowest(now time.Time) float64 {
	low := math.Inf(1)
	for _, r := range p.order {
		low = min(low, r.effectiveSpeed(now, p.baseRate, p.cfg.SpeedSampleTTL))
	}
	return low
}

// tryGrant grants w a slot if one is free for it.
func (p *pool) tryGrant(w *waiter, now time.Time) bool {
	r := p.choose(w, now)
	if r == nil {
		return false
	}
	p.grantSlot(w, r, now)
	return true
}

// grantSlot grants w a slot of r.
func (p *pool) grantSlot(w *waiter, r *replica, now time.Time) {
	p.queues[w.rank].removeAndCharge(w)
	p.dequeue(w)
	p.addGrant(&grant{
		requestID: w.requestID, holder: w.from, target: r, class: p.terms.classes[w.rank].name,
		rank: w.rank, at: now, exclusive: w.exclusive, staggered: w.staggered,
	})
	if r.failures > 0 {
		r.probing, r.probe, r.probeAt = true, w.requestID, now
	}
	if !w.staggered {
		r.lastStart = now
	}
	for _, prefix := range w.prefixes {
		p.cache.insert(now, prefix, r.id)
	}
	p.sendGrant(w.from.ID, w.requestID, r, now)
}

func (p *pool) sendGrant(to state.DaemonID, requestID SlotRequestID, r *replica, now time.Time) {
	p.send(to, SlotGrant{ID: requestID, Pool: p.id, Replica: r.id, Summary: p.summary(now), Probe: r.isProbe(requestID)})
}

// expire refuses the waiters whose time has run out.
func (p *pool) expire(now time.Time) {
	for len(p.expiry) > 0 && !p.expiry[0].expires.After(now) {
		p.refuseWaiter(p.expiry[0], state.ReasonDeadline, retryAfterSeconds(p.drainTime()), now)
	}
}

// SuccessorTimeout is how long requests wait for a successor of a pool's last replicas
// once all of them are leaving. Daemons notify each other at once that a replica is
// leaving, and the list that names its successor follows within some 100 ms. Without a
// successor the requests are refused after this time.
const SuccessorTimeout = time.Second

// refuseUnservable refuses waiters that no replica of the pool can ever serve. A waiter
// whose excluded replicas are the only ones left waits for those.
func (p *pool) refuseUnservable(now time.Time) {
	if p.hasCandidate(nil) {
		p.allLeavingSince = time.Time{}
		for _, w := range p.waiters {
			if !p.hasCandidate(w.exclude) {
				w.exclude = nil
			}
		}
		return
	}
	if p.awaitsSuccessor(now) {
		return
	}
	for _, w := range p.waitersInOrder() {
		p.refuseWaiter(w, state.ReasonNoReplica, 1, now)
	}
}

// awaitsSuccessor reports whether all replicas of the pool are leaving, and have been
// for so short a time that the list of their successors may still arrive.
//
// Guard (successor-listed-late): a caller would be refused during the rollout of a new
// version although its first replica is ready.
func (p *pool) awaitsSuccessor(now time.Time) bool {
	if len(p.order) == 0 {
		return false
	}
	if p.allLeavingSince.IsZero() {
		p.allLeavingSince = now
	}
	return now.Before(p.allLeavingSince.Add(SuccessorTimeout))
}

// clearProbes returns replicas whose probe runs without failure to good standing.
func (p *pool) clearProbes(now time.Time) {
	for _, r := range p.order {
		if r.probePassed(now) {
			p.markRecovered(r)
		}
	}
}

func (p *pool) markRecovered(r *replica) {
	r.clearFailures()
	*p.actions = append(*p.actions, Recovered{Pool: p.id, Replica: r.id})
}

// nextTick returns when the pool next needs a Tick, or the zero time.
func (p *pool) nextTick(now time.Time) time.Time {
	next := earliest(p.recovery.nextTick(p.cfg), p.auditAt)
	if len(p.expiry) > 0 {
		next = earliest(next, p.expiry[0].expires)
	}
	if !p.allLeavingSince.IsZero() && len(p.waiters) > 0 {
		next = earliest(next, p.allLeavingSince.Add(SuccessorTimeout))
	}
	// Guard (home-ticks-without-pause): after a dispatch at that time, only a release or the
	// end of an exclusive phase lets the waiter start. The time may have passed since the
	// last dispatch, which was then too early.
	if r := p.reserved; r != nil && r.reservedFor.staggered {
		if at := r.lastStart.Add(p.cfg.StaggerInterval); at.After(p.dispatchedAt) {
			next = earliest(next, at)
		}
	}
	for _, r := range p.order {
		if r.inBackoff(now) {
			next = earliest(next, r.backoffUntil)
		}
		if r.probing {
			next = earliest(next, r.probeAt.Add(probeDuration))
		}
	}
	return next
}

// earliest returns the earlier of two times, where the zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
