package route

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func (r *Router) want(now time.Time, w AcquireSlot) {
	if r.asks[w.ID] != nil {
		panic("route: a slot is wanted twice for one attempt")
	}
	s := r.layout.services[w.Service]
	if s == nil || len(s.pools) == 0 {
		r.out = append(r.out, Refused{ID: w.ID, Reason: state.ReasonNoReplica, RetryAfter: 1})
		return
	}
	a := &ask{want: w}
	r.asks[w.ID] = a
	r.wake(w.Deadline.Add(r.cfg.RefusalGrace), w.ID, false)
	r.enter(now, a, r.pick.pick(now, s, a))
}

// enter asks a pool that the ask was not at before.
func (r *Router) enter(now time.Time, a *ask, p *poolInfo) {
	a.tried = append(a.tried, p.spec.ID)
	a.pool, a.misses = p.spec.ID, 0
	p.mine.wait(a.want.ID)
	r.request(now, a, p)
}

// request sends the ask to the pool's home, with what is left of its budget.
func (r *Router) request(now time.Time, a *ask, p *poolInfo) {
	a.home = p.home
	p.load.sent++
	w := a.want
	r.send(p.home, home.SlotRequest{
		ID: w.ID, Pool: p.spec.ID, Class: w.Class, Customer: w.Customer,
		Budget: max(w.Deadline.Sub(now)-r.cfg.TransitMargin, 0), FirstTokenLatency: w.FirstTokenLatency, Cost: w.Cost, Prefixes: w.Prefixes,
		Exclude: w.Exclude, Exclusive: w.Exclusive, Staggered: w.Staggered,
	})
}

// askAgain repeats an ask at its pool's present home, or elsewhere if that
// pool has no home that knows of it.
func (r *Router) askAgain(now time.Time, a *ask) {
	p := r.layout.pools[a.pool]
	if p == nil || a.misses > missesPerPool && r.elsewhereOpen(now, a) {
		r.elsewhere(now, a, state.ReasonNoReplica, 1)
		return
	}
	r.request(now, a, p)
}

func (r *Router) elsewhereOpen(now time.Time, a *ask) bool {
	s := r.layout.services[a.want.Service]
	return s != nil && len(a.tried) < r.cfg.MaxPools && r.pick.pick(now, s, a) != nil
}

// elsewhere moves an ask that its pool can't serve to another one that seems
// to have room in time, or ends it with the reason.
func (r *Router) elsewhere(now time.Time, a *ask, reason state.Reason, after state.RetryAfter) {
	s := r.layout.services[a.want.Service]
	if s == nil || len(a.tried) >= r.cfg.MaxPools {
		r.giveUp(a, reason, after)
		return
	}
	p := r.pick.pick(now, s, a)
	if p == nil {
		r.giveUp(a, reason, after)
		return
	}
	wait := time.Duration((p.load.score(now, r.cfg.SummaryTTL) - 1) * float64(time.Second))
	if now.Add(wait).After(a.want.Deadline) {
		r.giveUp(a, reason, after)
		return
	}
	r.leavePool(a)
	r.enter(now, a, p)
}

// leavePool takes a waiting ask out of its pool's books.
func (r *Router) leavePool(a *ask) {
	if p := r.layout.pools[a.pool]; p != nil {
		p.mine.unwait(a.want.ID)
	}
}

// giveUp ends a waiting ask with a refusal.
func (r *Router) giveUp(a *ask, reason state.Reason, after state.RetryAfter) {
	r.leavePool(a)
	delete(r.asks, a.want.ID)
	r.out = append(r.out, Refused{ID: a.want.ID, Reason: reason, RetryAfter: after})
}

func (r *Router) cancel(k home.SlotRequestID) {
	a := r.asks[k]
	if a == nil || a.held {
		return
	}
	r.leavePool(a)
	delete(r.asks, k)
	r.send(a.home, home.CancelSlotRequest{ID: k, Pool: a.pool})
}

// done releases a grant, to the pool's home of now and, if that is another
// one, to the home that gave it.
func (r *Router) done(e ReleaseSlot) {
	a := r.asks[e.ID]
	if a == nil || !a.held {
		return
	}
	delete(r.asks, e.ID)
	m := home.SlotRelease{
		ID: e.ID, Pool: a.pool, Replica: a.replica,
		Outcome: e.Outcome, Tokens: e.Tokens, DecodeTime: e.DecodeTime,
	}
	p := r.layout.pools[a.pool]
	if p != nil {
		p.mine.unhold(e.ID)
		r.send(p.home, m)
	}
	if (p == nil || p.home != a.home) && r.isLive(a.home) {
		r.send(a.home, m)
	}
}

// passed tells the home. A message that is lost costs other requests that are
// apart some time: the grant's end says the same.
func (r *Router) passed(ask home.SlotRequestID) {
	if a := r.asks[ask]; a != nil && a.held {
		r.send(a.home, home.ExclusiveEnded{ID: ask, Pool: a.pool})
	}
}

func (r *Router) isLive(id state.DaemonID) bool {
	return slices.ContainsFunc(r.live, func(p Peer) bool { return p.Member.ID == id })
}

func (r *Router) received(now time.Time, from state.Member, msg home.Message) {
	switch m := msg.(type) {
	case home.SlotGrant:
		r.seen(now, m.Pool, m.Summary)
		r.granted(now, from, m)
	case home.SlotRefusal:
		r.seen(now, m.Pool, m.Summary)
		if a := r.asks[m.ID]; a != nil && !a.held && a.home == from.ID && a.pool == m.Pool {
			r.refused(now, a, m)
		}
	case home.NotHome:
		for _, k := range m.IDs {
			if a := r.asks[k]; a != nil && !a.held && a.home == from.ID && a.pool == m.Pool {
				r.missed(now, a)
			}
		}
	case home.ReportQuery:
		r.report(from.ID, m.Pool)
	default:
		// The rest is for package home.
	}
}

func (r *Router) seen(now time.Time, pool home.PoolID, s home.Summary) {
	if p := r.layout.pools[pool]; p != nil {
		p.load = lastSeen{summary: s, at: now}
	}
}

// granted takes a grant if it is still wanted; else it goes back unused.
func (r *Router) granted(now time.Time, from state.Member, m home.SlotGrant) {
	a := r.asks[m.ID]
	release := home.SlotRelease{ID: m.ID, Pool: m.Pool, Replica: m.Replica, Outcome: home.OutcomeUnused}
	switch {
	case a == nil:
		r.send(from.ID, release)
	case a.held && a.replica == m.Replica:
		// Repeated by the home, or given by two homes that learned of it.
	case a.held || a.pool != m.Pool:
		r.send(from.ID, release)
	case r.leaving[m.Replica]:
		release.Outcome = home.OutcomeLeaving
		r.send(from.ID, release)
		a.want.Exclude = append(slices.Clone(a.want.Exclude), m.Replica)
		r.askAgain(now, a)
	default:
		if from.ID != a.home {
			// Asked again at the next home while this grant was under way.
			r.send(a.home, home.CancelSlotRequest{ID: m.ID, Pool: m.Pool})
		}
		p := r.layout.pools[a.pool]
		p.mine.unwait(m.ID)
		p.mine.hold(m.ID)
		a.held, a.replica, a.home = true, m.Replica, from.ID
		r.out = append(r.out, Granted{ID: m.ID, Replica: m.Replica})
	}
}

// refused tries another pool where that may help: a full queue, a missing
// replica or a long wait are one pool's.
func (r *Router) refused(now time.Time, a *ask, m home.SlotRefusal) {
	switch m.Reason {
	case state.ReasonQueueFull, state.ReasonNoReplica, state.ReasonDeadline:
		r.elsewhere(now, a, m.Reason, m.RetryAfter)
	default:
		r.giveUp(a, m.Reason, m.RetryAfter)
	}
}

// missed is for an ask whose receiver is not the pool's home: this daemon's
// view is behind, or that one's. The ask is sent again, at once if the view
// has changed meanwhile.
func (r *Router) missed(now time.Time, a *ask) {
	a.misses++
	p := r.layout.pools[a.pool]
	if p != nil && p.home != a.home {
		r.askAgain(now, a)
		return
	}
	r.wake(now.Add(r.cfg.NotHomeRetryDelay), a.want.ID, true)
}
