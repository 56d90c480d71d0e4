package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/overload"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/coordination/siteload"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// loadCallTimeout is how long the aggregator of a part may take to answer.
const loadCallTimeout = 200 * time.Millisecond

// idleLoadInterval is how often it is checked whether a service calls for reports while none does.
const idleLoadInterval = 2 * time.Second

// loadExchange reports this daemon's load to the aggregators, for services whose streams may be
// turned away.
type loadExchange struct {
	g       *Gateway
	number  uint64 // of the last report
	pruneAt time.Time
}

// run reports until the gateway is closed.
func (x *loadExchange) run() {
	interval := siteload.Interval
	for {
		select {
		case <-x.g.done:
			return
		case <-time.After(interval):
		}
		interval = idleLoadInterval
		if x.tick(time.Now()) {
			interval = siteload.Interval
		}
	}
}

// tick sends the reports that are due. It returns false if no service calls for any.
func (x *loadExchange) tick(now time.Time) (reported bool) {
	v := x.g.currentView.Load()
	if !v.known() {
		return false
	}
	if now.After(x.pruneAt) {
		x.pruneAt = now.Add(time.Minute)
		x.g.shared.pruneSiteLoad(now, v.config.Services)
	}
	if !x.g.currentSettings().Contention.Admission {
		return false
	}
	for id := range v.config.Services {
		newRoster := v.rosters[id]
		if newRoster == nil || !v.scaleOf(id).Contended() {
			continue
		}
		x.report(now, v, id, newRoster())
		reported = true
	}
	return reported
}

// report sends this daemon's load on a service's engines to the aggregators of the failure domains
// that it uses, always including its own.
func (x *loadExchange) report(now time.Time, v *view, svc state.ServiceID, roster *pathing.Roster) {
	x.number++
	own := x.g.shared.ownLoads(roster)
	for _, domain := range roster.Domains() {
		loads := own[domain]
		if len(loads) == 0 && domain != x.g.currentSettings().Domain {
			continue
		}
		r := siteload.Report{Part: siteload.Part{Service: svc, Domain: domain}, Number: x.number, Loads: loads}
		go x.exchange(now, x.aggregatorOf(v, r.Part), r)
	}
}

// exchange sends a report and applies the answer. Without an answer the totals expire.
func (x *loadExchange) exchange(sent time.Time, to string, r siteload.Report) {
	if to == "" {
		x.g.shared.applyTotals(sent, r.Loads, x.g.shared.receiveLoad(time.Now(), x.g.self, r))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadCallTimeout)
	defer cancel()
	answer, err := x.g.node.Call(ctx, to, r)
	if err != nil {
		return
	}
	if t, ok := answer.Msg.(siteload.Totals); ok {
		x.g.shared.applyTotals(sent, r.Loads, t)
	}
}

// aggregatorOf returns the peer address of the aggregator of a part, or "" for this daemon.
func (x *loadExchange) aggregatorOf(v *view, p siteload.Part) string {
	var ids []state.DaemonID
	addresses := make(map[state.DaemonID]string)
	for _, i := range v.members.Members {
		if i.Live() && !i.Draining {
			ids = append(ids, i.Member.ID)
			addresses[i.Member.ID] = i.Meta.PeerAddress
		}
	}
	owner, ok := rendezvous.Owner(string(p.Service)+"\x00"+string(p.Domain), ids)
	if !ok || owner == x.g.self.ID {
		return ""
	}
	return addresses[owner]
}

// groupNumber returns the number of a group of engines in reports.
func groupNumber(g pathing.EngineGroup) siteload.Group {
	return siteload.Group(xxhash.Sum64String(g.Kind + " " + g.Layers.String()))
}

// ownLoads returns the tokens that this daemon's streams hold, by failure domain of the engines.
func (s *sharedState) ownLoads(roster *pathing.Roster) map[state.FailureDomain]siteload.Loads {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[state.FailureDomain]siteload.Loads)
	for g, tokens := range roster.OwnTokens(func(i state.BackendIncarnation) float64 { return s.loadOn(i).Tokens }) {
		if out[g.Domain] == nil {
			out[g.Domain] = make(siteload.Loads)
		}
		out[g.Domain][groupNumber(g)] += uint32(tokens)
	}
	return out
}

// receiveLoad applies a daemon's report to the aggregator.
func (s *sharedState) receiveLoad(now time.Time, from state.Member, r siteload.Report) siteload.Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadSums.Receive(now, from, r)
}

// applyTotals records the answer of an aggregator.
func (s *sharedState) applyTotals(sent time.Time, own siteload.Loads, t siteload.Totals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.siteLoad.Apply(sent, own, t)
}

// pruneSiteLoad drops what is known of services that the configuration no longer contains, and of parts
// without recent reports.
func (s *sharedState) pruneSiteLoad(now time.Time, services map[state.ServiceID]fleet.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadSums.Prune(now)
	s.siteLoad.Prune(now)
	maps.DeleteFunc(s.overload, func(id state.ServiceID, _ *overload.Model) bool { return !lo.HasKey(services, id) })
	maps.DeleteFunc(s.demand, func(id state.ServiceID, _ *overload.Demand) bool { return !lo.HasKey(services, id) })
}

// keepOwnTokens keeps the tokens of this daemon's streams for applySiteLoad.
func (s *sharedState) keepOwnTokens(a *streamAdmission, states []pathing.ServerState) {
	s.ownTokens = s.ownTokens[:0]
	if a == nil {
		return
	}
	for i := range states {
		s.ownTokens = append(s.ownTokens, states[i].Load.Tokens)
	}
}

// applySiteLoad replaces the estimated loads of engines by those of all daemons, where they are known.
// Paths are chosen before it is called, by the estimates: they differ between daemons, while all
// daemons would choose the same path for the same totals.
func (s *sharedState) applySiteLoad(now time.Time, v *view, svc state.ServiceID, roster *pathing.Roster, states []pathing.ServerState, d pathing.DaemonCounts) {
	known := make(map[state.FailureDomain]siteload.Known)
	for _, domain := range roster.Domains() {
		if k, ok := s.siteLoad.Of(now, siteload.Part{Service: svc, Domain: domain}, v.liveDaemonsIn(domain)); ok {
			known[domain] = k
		}
	}
	if len(known) == 0 {
		return
	}
	roster.ApplyTotals(states, s.ownTokens, d, func(g pathing.EngineGroup) (pathing.GroupTokens, bool) {
		k, ok := known[g.Domain]
		n := groupNumber(g)
		return pathing.GroupTokens{All: float64(k.Loads[n]), Own: float64(k.Own[n])}, ok
	})
}
