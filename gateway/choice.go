package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// choose takes a path for a request, not over the addresses to avoid, and counts its load
// until release. A path that begins at a server for which the request has no permit is left,
// if the request goes elsewhere, for the next one.
func (b *book) choose(now time.Time, v *view, svc *fleet.Service, r pathing.Request, avoid map[string]bool, permit *permitRequest) (fleet.Path, bool) {
	prepared := v.rosters[svc.ID]
	if prepared == nil {
		return nil, false
	}
	roster := prepared()
	b.mu.Lock()
	defer b.mu.Unlock()
	r.LinkBacklog = func(x, y state.FailureDomain) float64 { return b.pipes.backlog(now, x, y) }
	states := b.statesOf(roster)
	roster.Estimate(states, pathing.DaemonCounts{Domain: r.Domain, InDomain: max(v.near, 1), Total: max(v.live, 1)})
	bar(roster, states, b.buried)
	bar(roster, states, avoid)
	suspects := b.suspect(now, roster, states)
	path, ok := cheapest(roster, r, states, suspects)
	for ok && b.needsPermit(now, path[0].Server, permit) {
		if !permit.elsewhere(now, path[0].Server, b.permits) {
			return nil, false
		}
		b.passOver(now, roster, states, path[0].Server, permit)
		path, ok = cheapest(roster, r, states, suspects)
		permit.stuck = !ok
	}
	if ok {
		b.spendPermit(now, path[0].Server, permit)
		// Requests are spread over the daemons at random: each stands for as many.
		b.pipes.add(now, path, pathing.TransferMS(svc.Engine, r.PromptTokens)*float64(max(v.live, 1)))
		b.count(path, r.ExpectedTokens(), 1)
	}
	return path, ok
}

// passOver has no path begin at a server for which a request has no permit, nor at any such
// once the request has wanted enough of them.
func (b *book) passOver(now time.Time, roster *pathing.Roster, states []pathing.ServerState, server state.Life, permit *permitRequest) {
	not := func(server state.Life) {
		if i, ok := roster.IndexOf(server); ok {
			states[i].NotFirstHop = true
		}
	}
	not(server)
	if permit.full() {
		b.permits.EachUnavailable(now, not)
	}
}

// cheapest is the cheapest path, over suspects where there is no other: a suspect is better than
// nothing, a dead server is not.
func cheapest(roster *pathing.Roster, r pathing.Request, states []pathing.ServerState, suspects bool) (fleet.Path, bool) {
	path, ok := roster.Choose(r, states, false)
	if !ok && suspects {
		path, ok = roster.Choose(r, states, true)
	}
	return path, ok
}

// statesOf is the state of a roster's cards by this daemon's own requests. Few of thousands
// of servers run any of them.
func (b *book) statesOf(roster *pathing.Roster) []pathing.ServerState {
	if cap(b.states) < roster.Len() {
		b.states = make([]pathing.ServerState, roster.Len())
	}
	states := b.states[:roster.Len()]
	clear(states)
	for life, load := range b.loads {
		if i, ok := roster.IndexOf(life); ok {
			states[i].Load = *load
		}
	}
	return states
}

// bar has the cards at some addresses not used.
func bar(roster *pathing.Roster, states []pathing.ServerState, addresses map[string]bool) {
	for address := range addresses {
		if i, ok := roster.IndexAt(address); ok {
			states[i].Excluded = true
		}
	}
}

// suspect fills in what is believed of the cards. It returns whether any is better not used.
func (b *book) suspect(now time.Time, roster *pathing.Roster, states []pathing.ServerState) bool {
	found := false
	b.suspects.Each(now, func(address string, avoided bool, delayMS float64) {
		if i, ok := roster.IndexAt(address); ok {
			states[i].DelayMS, states[i].Suspect = delayMS, avoided
			found = found || avoided
		}
	})
	b.suspects.EachLeaving(now, func(server state.Life) {
		if i, ok := roster.IndexOf(server); ok {
			states[i].Suspect, found = true, true
		}
	})
	b.suspects.EachOutdated(now, func(o suspect.OutdatedNotice) {
		if i, ok := roster.IndexOf(o.Server); ok && roster.Server(i).Layers == o.Layers {
			states[i].Excluded = true
		}
	})
	return found
}
