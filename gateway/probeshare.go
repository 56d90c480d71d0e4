package gateway

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/probing"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// askRate and askBurst limit the questions of one daemon, those to witnesses and those to the owners
	// of servers each. What exceeds them is probed by the daemon itself.
	askRate  = 30 // per second
	askBurst = 60
	// leadDivisor divides a route's longest allowed gap: the most that a check may start before a
	// probe is due.
	leadDivisor = 12
	// maxSignAge is how long a sign of life of another daemon is kept.
	maxSignAge = 2 * time.Second
)

// probeOwners are the owners of servers among the members of a view.
type probeOwners struct {
	members   *membership.View
	ids       []state.DaemonID
	addresses map[state.DaemonID]string
	witnesses []state.DaemonID
}

// currentOwners returns the owners among the live daemons.
func (p *prober) currentOwners() *probeOwners {
	members := p.g.currentView.Load().members
	if known := p.owners.Load(); known != nil && known.members == members {
		return known
	}
	out := &probeOwners{members: members, addresses: make(map[state.DaemonID]string)}
	near := make(map[state.DaemonID]bool)
	if members != nil {
		for _, i := range members.Members {
			if i.State == membership.Alive {
				out.addresses[i.Member.ID] = i.Meta.PeerAddress
				near[i.Member.ID] = i.Meta.Domain == p.g.currentSettings().Domain
			}
		}
	}
	out.ids = probing.Owners(lo.Keys(out.addresses))
	out.witnesses = probing.Witnesses(out.ids, p.g.self.ID, func(id state.DaemonID) bool { return near[id] })
	p.owners.Store(out)
	return out
}

// probeLead is how long before a probe is due a stalled stream is checked.
func (s *stream) probeLead() time.Duration {
	if !s.r.g.currentSettings().Contention.ProbeByTraffic {
		return 0
	}
	return min(probing.Lead, s.r.route.Gap/leadDivisor)
}

// checkByTraffic checks the silent hops of a stream of which no daemon's traffic and no probe shows a
// recent sign of life. It returns when the stream is to be checked again.
func (s *stream) checkByTraffic(now time.Time) time.Duration {
	g, gap, lead := s.r.g, s.r.route.Gap, s.probeLead()
	if h, ended, ok := g.shared.deadHop(now, s.path); ok {
		s.hopDied(h, ended && !s.endRecorded.Load())
		return probeResultTTL
	}
	suspicions := func(now time.Time) []suspect.Suspicion {
		return g.shared.suspicions(now, s.tracked, gap/minSilenceDivisor, gap/maxSilenceDivisor)
	}
	expected := suspicions(now.Add(lead))
	if len(expected) == 0 {
		return gap / recheckDivisor
	}
	due := now.Add(lead)
	g.prober.askWitnesses(s.r.service.ID, s.path[0], expected, lead/2)
	time.Sleep(time.Until(now.Add(lead / 2)))
	g.prober.askOwners(s.r.service.ID, s.path[0], suspicions(due), lead/2)
	time.Sleep(time.Until(due))
	if s.ending.Load() {
		return 0
	}
	suspected := suspicions(time.Now())
	g.prober.checkHops(s.r.service.ID, g.prober.unsettled(time.Now(), s.path[0], suspected), hopsOf(suspected))
	return gap/recheckDivisor - lead
}

func hopsOf(suspicions []suspect.Suspicion) []fleet.Hop {
	return lo.Map(suspicions, func(s suspect.Suspicion, _ int) fleet.Hop { return s.Hop })
}

// settles reports whether another daemon's sign of life is recent enough for a stream that may be silent
// for as long as the suspicion allows.
func (p *prober) settles(now time.Time, s suspect.Suspicion) bool {
	return now.Before(p.signs[s.Hop.Server].Add(s.Allowed))
}

// unsettled returns the suspected hops of which no other daemon has a recent sign of life, and always the
// first hop of the path, which this daemon has to reach itself.
func (p *prober) unsettled(now time.Time, first fleet.Hop, suspicions []suspect.Suspicion) []fleet.Hop {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.Hop
	for _, s := range suspicions {
		if s.Hop.Address == first.Address || !p.settles(now, s) {
			out = append(out, s.Hop)
		}
	}
	return out
}

// askWitnesses asks some daemons, one after the other, for what they know of suspected hops, for a time
// at most.
func (p *prober) askWitnesses(svc state.ServiceID, first fleet.Hop, suspicions []suspect.Suspicion, timeout time.Duration) {
	owners := p.currentOwners()
	asked := lo.Reject(p.withoutResult(time.Now(), suspicions), func(s suspect.Suspicion, _ int) bool { return s.Hop.Address == first.Address })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, id := range owners.witnesses {
		if asked = p.withoutResult(time.Now(), asked); len(asked) == 0 || ctx.Err() != nil || !p.asks.Allow() {
			return
		}
		p.ask(ctx, owners.addresses[id], probing.Request{Service: svc, OnlyKnown: true}, asked)
	}
}

// askOwners asks the owners of suspected hops for signs of life, for a time at most. The first hop of a
// path is left to this daemon's own probe: its link to the server may be the cause.
func (p *prober) askOwners(svc state.ServiceID, first fleet.Hop, suspicions []suspect.Suspicion, timeout time.Duration) {
	owners := p.currentOwners()
	byOwner := make(map[state.DaemonID][]suspect.Suspicion)
	for _, s := range p.withoutResult(time.Now(), suspicions) {
		owner, ok := probing.Owner(s.Hop.Address, owners.ids)
		if ok && owner != p.g.self.ID && s.Hop.Address != first.Address {
			byOwner[owner] = append(byOwner[owner], s)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var all sync.WaitGroup
	for owner, asked := range byOwner {
		if p.ownerAsks.Allow() {
			all.Go(func() { p.ask(ctx, owners.addresses[owner], probing.Request{Service: svc}, asked) })
		}
	}
	all.Wait()
}

// withoutResult returns the suspicions that neither a recent probe nor a sign of life has settled.
func (p *prober) withoutResult(now time.Time, suspicions []suspect.Suspicion) []suspect.Suspicion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.Reject(suspicions, func(s suspect.Suspicion, _ int) bool {
		return p.isFresh(p.results[s.Hop.Address]) || p.settles(now, s)
	})
}

// ask asks one daemon for signs of life.
func (p *prober) ask(ctx context.Context, address string, req probing.Request, asked []suspect.Suspicion) {
	for _, s := range asked {
		req.Queries = append(req.Queries, probing.Query{Address: s.Hop.Address, Born: s.Hop.Server.Born, MaxAgeMS: int32(min(s.Allowed.Milliseconds(), math.MaxInt32))})
	}
	askedAt := time.Now()
	answer, err := p.g.node.Call(ctx, address, req)
	resp, _ := answer.Msg.(probing.Response)
	if err != nil || len(resp.Signs) != len(asked) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.signs, func(_ state.BackendIncarnation, at time.Time) bool { return askedAt.Sub(at) > maxSignAge }) // servers come and go
	for i, sign := range resp.Signs {
		if at, ok := sign.ShownAt(askedAt); ok && at.After(p.signs[asked[i].Hop.Server]) {
			p.signs[asked[i].Hop.Server] = at
		}
	}
}

// answer answers another daemon's question for signs of life.
func (p *prober) answer(req probing.Request) probing.Response {
	v, owners := p.g.currentView.Load(), p.currentOwners()
	p.asked.SetLimit(probeRate * rate.Limit(len(owners.addresses)) / rate.Limit(max(1, len(owners.ids))))
	out := probing.Response{Signs: make([]probing.Sign, len(req.Queries))}
	var all sync.WaitGroup
	for i, q := range req.Queries {
		listed, ok := v.serverAt(req.Service, q.Address)
		if ok && listed.Born == q.Born {
			all.Go(func() { out.Signs[i] = p.signOf(q, listed.Incarnation(), !req.OnlyKnown) })
		}
	}
	all.Wait()
	return out
}

// signOf returns a sign of life of a server, and probes it, if it may, if there is no recent one.
func (p *prober) signOf(q probing.Query, server state.BackendIncarnation, mayProbe bool) probing.Sign {
	now := time.Now()
	maxAge := time.Duration(q.MaxAgeMS) * time.Millisecond
	if age, ok := p.g.shared.sinceAlive(now, q.Address); ok && age < maxAge {
		return probing.Sign{Alive: true, AgeMS: int32(age.Milliseconds())}
	}
	p.mu.Lock()
	known := p.results[q.Address]
	p.mu.Unlock()
	if age := now.Sub(known.began()); known.outcome == probeAlive && age < maxAge {
		return probing.Sign{Alive: true, AgeMS: int32(age.Milliseconds())}
	}
	if !mayProbe {
		return probing.Sign{}
	}
	result := p.sendShared(probeAsked, server, q.Address)
	replaced := result.startTime != 0 && q.Born != 0 && result.startTime != q.Born
	// A probe that another question had started may have been answered before this question.
	age := max(now.Sub(result.began()), 0)
	if result.outcome != probeAlive || replaced || age > maxAge {
		return probing.Sign{}
	}
	return probing.Sign{Alive: true, AgeMS: int32(age.Milliseconds())}
}

// isFresh reports whether a result may still be reused.
func (p *prober) isFresh(r probeResult) bool {
	if p.g.currentSettings().Contention.ProbeByTraffic {
		return time.Since(r.at) < probing.ResultTTL
	}
	return time.Since(r.at) < probeResultTTL
}

// recoveryInterval is how long to wait before a dead server is probed again.
func (p *prober) recoveryInterval(unanswered int, ended bool) time.Duration {
	shortest := reprobeInterval(p.g.currentView.Load().live)
	if !p.g.currentSettings().Contention.ProbeByTraffic {
		return shortest
	}
	return probing.RecoveryInterval(shortest, unanswered, ended)
}

// lists reports whether the incarnation of a server that a path names is still listed.
func (v *view) lists(h fleet.Hop) bool {
	for _, servers := range v.servers {
		for i := range servers {
			if servers[i].Address == h.Address && servers[i].Incarnation() == h.Server {
				return true
			}
		}
	}
	return false
}

// deadHop returns a hop of a path that was found dead and of which no stream has shown life since, and
// whether its process has ended.
func (s *sharedState) deadHop(now time.Time, path fleet.Path) (hop fleet.Hop, ended, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range path {
		age, seen := s.suspects.SinceAlive(now, h.Address)
		if s.dead[h.Address] && (!seen || now.Add(-age).Before(s.deadSince[h.Address])) {
			return h, s.ended[h.Address], true
		}
	}
	return fleet.Hop{}, false, false
}

// suspicions returns the hops of a stream that have shown no recent sign of life.
func (s *sharedState) suspicions(now time.Time, str *suspect.Stream, minSilence, maxSilence time.Duration) []suspect.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Suspicions(now, str, minSilence, maxSilence)
}

// sinceAlive returns the time since a stream last showed a server to be alive.
func (s *sharedState) sinceAlive(now time.Time, address string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.SinceAlive(now, address)
}
