package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// choosePath chooses a path for a request that does not use the addresses to avoid, and
// adds its load until releasePath. A path whose first server needs a permit that the
// request does not have is passed over if the request skips that server.
func (s *sharedState) choosePath(now time.Time, v *view, svc *fleet.Service, r pathing.Request, avoid map[string]bool, search *serverSearch) (fleet.Path, bool) {
	search.availableAt = time.Time{}
	permit := &search.permit
	permit.lacking = false
	newRoster := v.rosters[svc.ID]
	if newRoster == nil {
		return nil, false
	}
	roster := newRoster()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.LinkBacklog = func(x, y state.FailureDomain) float64 { return s.linkBacklogs.backlog(now, x, y) }
	counts := v.daemonCounts(r.Domain)
	states, suspects, waiting := s.assessEngines(now, roster, counts, avoid, search)
	path, ok := cheapestPath(roster, r, states, suspects)
	if !ok {
		search.availableAt = s.pathAvailableAt(now, roster, r, states, waiting)
	}
	for ok && s.needsPermit(now, path[0].Server, permit) {
		if !permit.skips(now, path[0].Server, s.permits) {
			return nil, false
		}
		s.excludeFirstHops(now, roster, states, path[0].Server, permit)
		path, ok = cheapestPath(roster, r, states, suspects)
		permit.blocked = !ok
	}
	if ok && search.admission != nil {
		s.applySiteLoad(now, v, svc.ID, roster, states, counts)
		ok = s.admitStream(now, search.admission, roster, r, states, path)
	}
	if ok {
		s.spendPermit(now, path[0].Server, permit)
		search.assignment = s.availability.Begin(now, path[0].Server)
		// Requests are spread over the daemons at random, so that each request here stands
		// for one at every daemon.
		s.linkBacklogs.add(now, path, pathing.TransferMS(svc.Engine, r.PromptTokens)*float64(max(v.live, 1)))
		s.addPathLoad(path, r.ExpectedTokens(), 1)
	}
	return path, ok
}

// assessEngines returns the states of a roster's engines, whether any of them is suspected, and those that want no
// requests for a while. The states are valid until the next call.
func (s *sharedState) assessEngines(now time.Time, roster *pathing.Roster, counts pathing.DaemonCounts, avoid map[string]bool, search *serverSearch) (states []pathing.ServerState, suspects bool, waiting []waitingEngine) {
	states = s.resetServerStates(roster)
	s.keepOwnTokens(search.admission, states)
	roster.Estimate(states, counts)
	excludeAddresses(roster, states, s.dead)
	excludeAddresses(roster, states, avoid)
	suspects = s.markSuspects(now, roster, states)
	suspects = markSuspectAddresses(roster, states, search.avoided) || suspects
	return states, suspects, s.excludeUnavailable(now, roster, states)
}

// daemonCounts returns the numbers of daemons by which a daemon of a domain extrapolates its own load.
func (v *view) daemonCounts(domain state.FailureDomain) pathing.DaemonCounts {
	return pathing.DaemonCounts{Domain: domain, InDomain: max(v.liveInDomain, 1), Total: max(v.live, 1)}
}

// findPath returns the path that a request would take now if no server limited its rate, without taking it.
func (s *sharedState) findPath(now time.Time, v *view, svc *fleet.Service, r pathing.Request, avoid map[string]bool, search *serverSearch) (fleet.Path, bool) {
	newRoster := v.rosters[svc.ID]
	if newRoster == nil {
		return nil, false
	}
	roster := newRoster()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.LinkBacklog = func(x, y state.FailureDomain) float64 { return s.linkBacklogs.backlog(now, x, y) }
	states, suspects, _ := s.assessEngines(now, roster, v.daemonCounts(r.Domain), avoid, search)
	return cheapestPath(roster, r, states, suspects)
}

// excludeFirstHops excludes a server for which a request has no permit as first hop, and
// every other such server once the request has asked for as many permits as it may.
func (s *sharedState) excludeFirstHops(now time.Time, roster *pathing.Roster, states []pathing.ServerState, server state.BackendIncarnation, permit *permitRequest) {
	exclude := func(server state.BackendIncarnation) {
		if i, ok := roster.IndexOf(server); ok {
			states[i].NotFirstHop = true
		}
	}
	exclude(server)
	if permit.full() {
		s.permits.EachUnavailable(now, exclude)
	}
}

// cheapestPath returns the cheapest path. It uses suspected servers only if there is no
// other path: a suspect may still answer, a dead server does not.
func cheapestPath(roster *pathing.Roster, r pathing.Request, states []pathing.ServerState, suspects bool) (fleet.Path, bool) {
	path, ok := roster.Choose(r, states, false)
	if !ok && suspects {
		path, ok = roster.Choose(r, states, true)
	}
	return path, ok
}

// resetServerStates returns the states of a roster's engines with this daemon's own load.
// Of thousands of servers only few run any of its requests.
func (s *sharedState) resetServerStates(roster *pathing.Roster) []pathing.ServerState {
	if cap(s.serverStates) < roster.Len() {
		s.serverStates = make([]pathing.ServerState, roster.Len())
	}
	states := s.serverStates[:roster.Len()]
	clear(states)
	for incarnation, load := range s.loads {
		if i, ok := roster.IndexOf(incarnation); ok {
			states[i].Load = *load
		}
	}
	return states
}

// excludeAddresses excludes the engines at some addresses.
func excludeAddresses(roster *pathing.Roster, states []pathing.ServerState, addresses map[string]bool) {
	for address := range addresses {
		if i, ok := roster.IndexAt(address); ok {
			states[i].Excluded = true
		}
	}
}

// markSuspectAddresses marks the engines at some addresses as suspects, and reports whether there are any.
func markSuspectAddresses(roster *pathing.Roster, states []pathing.ServerState, addresses map[string]bool) bool {
	found := false
	for address := range addresses {
		if i, ok := roster.IndexAt(address); ok {
			states[i].Suspect, found = true, true
		}
	}
	return found
}

// markSuspects sets the estimated delays and the suspicions of the engines. It reports
// whether any engine is suspected.
func (s *sharedState) markSuspects(now time.Time, roster *pathing.Roster, states []pathing.ServerState) bool {
	found := false
	s.suspects.Each(now, func(address string, avoided bool, delayMS float64) {
		if i, ok := roster.IndexAt(address); ok {
			states[i].DelayMS, states[i].Suspect = delayMS, avoided
			found = found || avoided
		}
	})
	s.suspects.EachSlow(now, func(server state.BackendIncarnation, pace float64) {
		if i, ok := roster.IndexOf(server); ok {
			states[i].Pace = pace
		}
	})
	s.suspects.EachLeaving(now, func(server state.BackendIncarnation) {
		if i, ok := roster.IndexOf(server); ok {
			states[i].Suspect, found = true, true
		}
	})
	s.suspects.EachOutdated(now, func(notice suspect.OutdatedNotice) {
		if i, ok := roster.IndexOf(notice.Server); ok && roster.Server(i).Layers == notice.Layers {
			states[i].Excluded = true
		}
	})
	return found
}
