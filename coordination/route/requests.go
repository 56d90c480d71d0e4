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
	req := &slotRequest{acquire: w}
	r.requests[w.ID] = req
	r.startTimer(w.Deadline.Add(r.cfg.RefusalGrace), w.ID, false)
	r.enterPool(now, req, r.poolPicker.pick(now, s, req))
}

// enterPool sends the request to a pool that it has not tried before.
func (r *Router) enterPool(now time.Time, req *slotRequest, p *poolInfo) {
	req.triedPools = append(req.triedPools, p.spec.ID)
	req.pool, req.notHomeCount = p.spec.ID, 0
	p.usage.addWaiting(req.acquire.ID)
	r.sendRequest(now, req, p)
}

// sendRequest sends the request to the pool's home, with the remaining budget.
func (r *Router) sendRequest(now time.Time, req *slotRequest, p *poolInfo) {
	req.home = p.home
	p.load.sentSince++
	w := req.acquire
	r.send(p.home, home.SlotRequest{
		ID: w.ID, Pool: p.spec.ID, Class: w.Class, Customer: w.Customer,
		Budget: max(w.Deadline.Sub(now)-r.cfg.TransitMargin, 0), FirstTokenLatency: w.FirstTokenLatency, Cost: w.Cost, Prefixes: w.Prefixes,
		Exclude: w.Exclude, Exclusive: w.Exclusive, Staggered: w.Staggered, Begun: w.Begun,
	})
}

// resend repeats a request at its pool's current home, or at another pool if no home of
// that pool can be found.
func (r *Router) resend(now time.Time, req *slotRequest) {
	p := r.layout.pools[req.pool]
	if p == nil || req.notHomeCount > maxNotHomePerPool && r.hasOtherPool(now, req) {
		r.tryOtherPool(now, req, state.ReasonNoReplica, 1)
		return
	}
	r.sendRequest(now, req, p)
}

func (r *Router) hasOtherPool(now time.Time, req *slotRequest) bool {
	s := r.layout.services[req.acquire.Service]
	return s != nil && len(req.triedPools) < r.cfg.MaxPools && r.poolPicker.pick(now, s, req) != nil
}

// tryOtherPool moves a request that its pool cannot serve to another pool that seems to
// have capacity in time, or ends it with the reason. An answer that has begun may wait
// there until its deadline, whatever that pool's load.
func (r *Router) tryOtherPool(now time.Time, req *slotRequest, reason state.Reason, after state.RetryAfter) {
	s := r.layout.services[req.acquire.Service]
	if s == nil || len(req.triedPools) >= r.cfg.MaxPools {
		r.refuse(req, reason, after)
		return
	}
	p := r.poolPicker.pick(now, s, req)
	if p == nil {
		r.refuse(req, reason, after)
		return
	}
	wait := time.Duration((p.load.score(now, r.cfg.SummaryTTL) - 1) * float64(time.Second))
	if !req.acquire.Begun && now.Add(wait).After(req.acquire.Deadline) {
		r.refuse(req, reason, after)
		return
	}
	r.leavePool(req)
	r.enterPool(now, req, p)
}

// leavePool removes a waiting request from its pool's counters.
func (r *Router) leavePool(req *slotRequest) {
	if p := r.layout.pools[req.pool]; p != nil {
		p.usage.removeWaiting(req.acquire.ID)
	}
}

// refuse ends a waiting request with a refusal.
func (r *Router) refuse(req *slotRequest, reason state.Reason, after state.RetryAfter) {
	r.leavePool(req)
	delete(r.requests, req.acquire.ID)
	r.actions = append(r.actions, Refused{ID: req.acquire.ID, Reason: reason, RetryAfter: after})
}

func (r *Router) cancel(k home.SlotRequestID) {
	req := r.requests[k]
	if req == nil || req.held {
		return
	}
	r.leavePool(req)
	delete(r.requests, k)
	r.send(req.home, home.CancelSlotRequest{ID: k, Pool: req.pool})
}

// release releases a grant at the pool's current home and, if a different home granted
// it, at that one too.
func (r *Router) release(e ReleaseSlot) {
	req := r.requests[e.ID]
	if req == nil || !req.held {
		return
	}
	delete(r.requests, e.ID)
	m := home.SlotRelease{
		ID: e.ID, Pool: req.pool, Replica: req.replica,
		Outcome: e.Outcome, Tokens: e.Tokens, DecodeTime: e.DecodeTime,
	}
	p := r.layout.pools[req.pool]
	if p != nil {
		p.usage.removeHeld(e.ID)
		r.send(p.home, m)
	}
	if (p == nil || p.home != req.home) && r.isLive(req.home) {
		r.send(req.home, m)
	}
}

// endExclusive notifies the home. A lost message only delays other staggered requests
// until the release of the grant, which has the same effect.
func (r *Router) endExclusive(requestID home.SlotRequestID) {
	if req := r.requests[requestID]; req != nil && req.held {
		r.send(req.home, home.ExclusiveEnded{ID: requestID, Pool: req.pool})
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
		if req := r.requests[m.ID]; req != nil && !req.held && req.home == from.ID && req.pool == m.Pool {
			r.refused(now, req, m)
		}
	case home.NotHome:
		for _, k := range m.IDs {
			if req := r.requests[k]; req != nil && !req.held && req.home == from.ID && req.pool == m.Pool {
				r.handleNotHome(now, req)
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
	req := r.requests[m.ID]
	release := home.SlotRelease{ID: m.ID, Pool: m.Pool, Replica: m.Replica, Outcome: home.OutcomeUnused}
	switch {
	case req == nil:
		r.send(from.ID, release)
	case req.held && req.replica == m.Replica:
		// Repeated by the home, or granted by two homes that learned of the request.
	case req.held || req.pool != m.Pool:
		r.send(from.ID, release)
	case r.leaving[m.Replica]:
		release.Outcome = home.OutcomeLeaving
		r.send(from.ID, release)
		req.acquire.Exclude = append(slices.Clone(req.acquire.Exclude), m.Replica)
		r.resend(now, req)
	default:
		if from.ID != req.home {
			// The request was resent to the next home while this grant was in flight.
			r.send(req.home, home.CancelSlotRequest{ID: m.ID, Pool: m.Pool})
		}
		p := r.layout.pools[req.pool]
		p.usage.removeWaiting(m.ID)
		p.usage.addHeld(m.ID)
		req.held, req.replica, req.home = true, m.Replica, from.ID
		r.actions = append(r.actions, Granted{ID: m.ID, Replica: m.Replica, Probe: m.Probe})
	}
}

// refused tries another pool if that may help: a full queue, a missing replica and a
// long wait concern one pool only.
func (r *Router) refused(now time.Time, req *slotRequest, m home.SlotRefusal) {
	switch m.Reason {
	case state.ReasonQueueFull, state.ReasonNoReplica, state.ReasonDeadline:
		r.tryOtherPool(now, req, m.Reason, m.RetryAfter)
	default:
		r.refuse(req, m.Reason, m.RetryAfter)
	}
}

// handleNotHome handles a request whose receiver is not the pool's home, because this
// daemon's view or the receiver's is outdated. The request is sent again, at once if
// the view has changed in the meantime.
func (r *Router) handleNotHome(now time.Time, req *slotRequest) {
	req.notHomeCount++
	p := r.layout.pools[req.pool]
	if p != nil && p.home != req.home {
		r.resend(now, req)
		return
	}
	r.startTimer(now.Add(r.cfg.NotHomeRetryDelay), req.acquire.ID, true)
}
