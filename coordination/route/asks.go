package route

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func (r *Router) acquire(now time.Time, w AcquireSlot) {
	if r.requests[w.ID] != nil {
		panic("route: slot requested twice for one attempt")
	}
	s := r.layout.services[w.Service]
	if s == nil || len(s.pools) == 0 {
		r.actions = append(r.actions, Refused{ID: w.ID, Reason: state.ReasonNoReplica, RetryAfter: 1})
		return
	}
	a := &slotRequest{acquire: w}
	r.requests[w.ID] = a
	r.startTimer(w.Deadline.Add(r.cfg.RefusalGrace), w.ID, false)
	r.enterPool(now, a, r.poolPicker.pick(now, s, a))
}

// enterPool sends the request to a pool that it has not tried before.
func (r *Router) enterPool(now time.Time, a *slotRequest, p *poolInfo) {
	a.triedPools = append(a.triedPools, p.spec.ID)
	a.pool, a.notHomeCount = p.spec.ID, 0
	p.usage.addWaiting(a.acquire.ID)
	r.sendRequest(now, a, p)
}

// sendRequest sends the request to the pool's home, with the remaining budget.
func (r *Router) sendRequest(now time.Time, a *slotRequest, p *poolInfo) {
	a.home = p.home
	p.load.sentSince++
	w := a.acquire
	r.send(p.home, home.SlotRequest{
		ID: w.ID, Pool: p.spec.ID, Class: w.Class, Customer: w.Customer,
		Budget: max(w.Deadline.Sub(now)-r.cfg.TransitMargin, 0), FirstTokenLatency: w.FirstTokenLatency, Cost: w.Cost, Prefixes: w.Prefixes,
		Exclude: w.Exclude, Exclusive: w.Exclusive, Staggered: w.Staggered,
	})
}

// resend repeats a request at its pool's current home, or at another pool if no home of
// that pool can be found.
func (r *Router) resend(now time.Time, a *slotRequest) {
	p := r.layout.pools[a.pool]
	if p == nil || a.notHomeCount > maxNotHomePerPool && r.hasOtherPool(now, a) {
		r.tryOtherPool(now, a, state.ReasonNoReplica, 1)
		return
	}
	r.sendRequest(now, a, p)
}

func (r *Router) hasOtherPool(now time.Time, a *slotRequest) bool {
	s := r.layout.services[a.acquire.Service]
	return s != nil && len(a.triedPools) < r.cfg.MaxPools && r.poolPicker.pick(now, s, a) != nil
}

// tryOtherPool moves a request that its pool cannot serve to another pool that seems to
// have capacity in time, or ends it with the reason.
func (r *Router) tryOtherPool(now time.Time, a *slotRequest, reason state.Reason, after state.RetryAfter) {
	s := r.layout.services[a.acquire.Service]
	if s == nil || len(a.triedPools) >= r.cfg.MaxPools {
		r.refuse(a, reason, after)
		return
	}
	p := r.poolPicker.pick(now, s, a)
	if p == nil {
		r.refuse(a, reason, after)
		return
	}
	wait := time.Duration((p.load.score(now, r.cfg.SummaryTTL) - 1) * float64(time.Second))
	if now.Add(wait).After(a.acquire.Deadline) {
		r.refuse(a, reason, after)
		return
	}
	r.leavePool(a)
	r.enterPool(now, a, p)
}

// leavePool removes a waiting request from its pool's counters.
func (r *Router) leavePool(a *slotRequest) {
	if p := r.layout.pools[a.pool]; p != nil {
		p.usage.removeWaiting(a.acquire.ID)
	}
}

// refuse ends a waiting request with a refusal.
func (r *Router) refuse(a *slotRequest, reason state.Reason, after state.RetryAfter) {
	r.leavePool(a)
	delete(r.requests, a.acquire.ID)
	r.actions = append(r.actions, Refused{ID: a.acquire.ID, Reason: reason, RetryAfter: after})
}

func (r *Router) cancel(k home.SlotRequestID) {
	a := r.requests[k]
	if a == nil || a.held {
		return
	}
	r.leavePool(a)
	delete(r.requests, k)
	r.send(a.home, home.CancelSlotRequest{ID: k, Pool: a.pool})
}

// release releases a grant at the pool's current home and, if a different home granted
// it, at that one too.
func (r *Router) release(e ReleaseSlot) {
	a := r.requests[e.ID]
	if a == nil || !a.held {
		return
	}
	delete(r.requests, e.ID)
	m := home.SlotRelease{
		ID: e.ID, Pool: a.pool, Replica: a.replica,
		Outcome: e.Outcome, Tokens: e.Tokens, DecodeTime: e.DecodeTime,
	}
	p := r.layout.pools[a.pool]
	if p != nil {
		p.usage.removeHeld(e.ID)
		r.send(p.home, m)
	}
	if (p == nil || p.home != a.home) && r.isLive(a.home) {
		r.send(a.home, m)
	}
}

// endExclusive notifies the home. A lost message only delays other staggered requests
// until the release of the grant, which has the same effect.
func (r *Router) endExclusive(requestID home.SlotRequestID) {
	if a := r.requests[requestID]; a != nil && a.held {
		r.send(a.home, home.ExclusiveEnded{ID: requestID, Pool: a.pool})
	}
}

func (r *Router) isLive(id state.DaemonID) bool {
	return slices.ContainsFunc(r.livePeers, func(p Peer) bool { return p.Member.ID == id })
}

func (r *Router) received(now time.Time, from state.Member, msg home.Message) {
	switch m := msg.(type) {
	case home.SlotGrant:
		r.recordSummary(now, m.Pool, m.Summary)
		r.granted(now, from, m)
	case home.SlotRefusal:
		r.recordSummary(now, m.Pool, m.Summary)
		if a := r.requests[m.ID]; a != nil && !a.held && a.home == from.ID && a.pool == m.Pool {
			r.refused(now, a, m)
		}
	case home.NotHome:
		for _, k := range m.IDs {
			if a := r.requests[k]; a != nil && !a.held && a.home == from.ID && a.pool == m.Pool {
				r.handleNotHome(now, a)
			}
		}
	case home.ReportQuery:
		r.report(from.ID, m.Pool)
	default:
		// The other messages are for package home.
	}
}

func (r *Router) recordSummary(now time.Time, pool home.PoolID, s home.Summary) {
	if p := r.layout.pools[pool]; p != nil {
		p.load = poolLoad{summary: s, receivedAt: now}
	}
}

// granted accepts a grant if it is still needed; otherwise it is returned unused.
func (r *Router) granted(now time.Time, from state.Member, m home.SlotGrant) {
	a := r.requests[m.ID]
	release := home.SlotRelease{ID: m.ID, Pool: m.Pool, Replica: m.Replica, Outcome: home.OutcomeUnused}
	switch {
	case a == nil:
		r.send(from.ID, release)
	case a.held && a.replica == m.Replica:
		// Repeated by the home, or granted by two homes that learned of the request.
	case a.held || a.pool != m.Pool:
		r.send(from.ID, release)
	case r.leaving[m.Replica]:
		release.Outcome = home.OutcomeLeaving
		r.send(from.ID, release)
		a.acquire.Exclude = append(slices.Clone(a.acquire.Exclude), m.Replica)
		r.resend(now, a)
	default:
		if from.ID != a.home {
			// The request was resent to the next home while this grant was in flight.
			r.send(a.home, home.CancelSlotRequest{ID: m.ID, Pool: m.Pool})
		}
		p := r.layout.pools[a.pool]
		p.usage.removeWaiting(m.ID)
		p.usage.addHeld(m.ID)
		a.held, a.replica, a.home = true, m.Replica, from.ID
		r.actions = append(r.actions, Granted{ID: m.ID, Replica: m.Replica})
	}
}

// refused tries another pool if that may help: a full queue, a missing replica and a
// long wait concern one pool only.
func (r *Router) refused(now time.Time, a *slotRequest, m home.SlotRefusal) {
	switch m.Reason {
	case state.ReasonQueueFull, state.ReasonNoReplica, state.ReasonDeadline:
		r.tryOtherPool(now, a, m.Reason, m.RetryAfter)
	default:
		r.refuse(a, m.Reason, m.RetryAfter)
	}
}

// handleNotHome handles a request whose receiver is not the pool's home, because this
// daemon's view or the receiver's is outdated. The request is sent again, at once if
// the view has changed in the meantime.
func (r *Router) handleNotHome(now time.Time, a *slotRequest) {
	a.notHomeCount++
	p := r.layout.pools[a.pool]
	if p != nil && p.home != a.home {
		r.resend(now, a)
		return
	}
	r.startTimer(now.Add(r.cfg.NotHomeRetryDelay), a.acquire.ID, true)
}
