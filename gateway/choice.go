package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// choose takes a path for a request, not over the addresses to avoid, and counts its load
// until release.
func (b *book) choose(now time.Time, v *view, svc *fleet.Service, r pathing.Request, avoid map[string]bool) (fleet.Path, bool) {
	roster := v.rosters[svc.ID]
	if roster == nil {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Backlog = func(x, y state.FailureDomain) float64 { return b.pipes.backlog(now, x, y) }
	// Requests are spread over the daemons at random, so that this one's are a
	// fair sample of all.
	daemons := float64(max(v.live, 1))
	states := b.statesOf(roster, daemons)
	bar(roster, states, b.buried)
	bar(roster, states, avoid)
	suspects := b.suspect(now, roster, states)
	path, ok := roster.Choose(r, states, false)
	if !ok && suspects {
		// A suspect is better than nothing; a dead server is not.
		path, ok = roster.Choose(r, states, true)
	}
	if ok {
		b.pipes.add(now, path, pathing.TransferMS(svc.Engine, r.Prompt)*daemons)
		b.count(path, r.Tokens, 1)
	}
	return path, ok
}

// statesOf is the state of a roster's cards by this daemon's own requests and the number of
// daemons. Few of thousands of servers run any of this daemon's.
func (b *book) statesOf(roster *pathing.Roster, daemons float64) []pathing.State {
	if cap(b.states) < roster.Len() {
		b.states = make([]pathing.State, roster.Len())
	}
	states := b.states[:roster.Len()]
	clear(states)
	for life, load := range b.loads {
		if i, ok := roster.OfLife(life); ok {
			states[i].Load = pathing.Load{
				Requests: load.Requests * daemons, First: load.First * daemons, Tokens: load.Tokens * daemons,
			}
		}
	}
	return states
}

// bar has the cards at some addresses not used.
func bar(roster *pathing.Roster, states []pathing.State, addresses map[string]bool) {
	for address := range addresses {
		if i, ok := roster.At(address); ok {
			states[i].Barred = true
		}
	}
}

// suspect fills in what is believed of the cards. It returns whether any is better not used.
func (b *book) suspect(now time.Time, roster *pathing.Roster, states []pathing.State) bool {
	any := false
	b.suspects.Each(now, func(address string, avoided bool, delayMS float64) {
		if i, ok := roster.At(address); ok {
			states[i].Delay, states[i].Suspect = delayMS, avoided
			any = any || avoided
		}
	})
	b.suspects.EachLeaving(now, func(server state.Life) {
		if i, ok := roster.OfLife(server); ok {
			states[i].Suspect, any = true, true
		}
	})
	b.suspects.EachOutdated(now, func(o suspect.Outdated) {
		if i, ok := roster.OfLife(o.Server); ok && roster.Server(i).Layers == o.Layers {
			states[i].Barred = true
		}
	})
	return any
}
