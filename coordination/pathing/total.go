package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// EngineGroup names engines that differ only in their load.
type EngineGroup struct {
	Domain state.FailureDomain
	Kind   string
	Layers fleet.Range
}

// GroupTokens are the KV-cache tokens that streams hold on a group of engines.
type GroupTokens struct {
	All float64 // of all daemons
	Own float64 // of this daemon, included in All
}

// recentShare is the share of the domain's other daemons that are assumed to have started or ended as
// many streams on a group as this one since the totals were added up. All daemons prefer the same
// groups, so that some do; that all do would be a guess from a few streams.
const recentShare = 0.25

// ApplyTotals replaces the estimated load of engines by their part of what all daemons hold on their
// group. own are the tokens that this daemon holds on each candidate now, and total returns the
// group's tokens; false leaves the estimate.
func (r *Roster) ApplyTotals(states []ServerState, own []float64, d DaemonCounts, total func(EngineGroup) (GroupTokens, bool)) {
	for k := range r.groups {
		g := &r.groups[k]
		t, ok := total(EngineGroup{Domain: r.domains[g.domain], Kind: g.kind, Layers: g.layers})
		if !ok || g.capacity <= 0 {
			continue
		}
		held := 0.0
		for _, i := range g.candidates {
			held += own[i]
		}
		others := max(t.All-t.Own, 0) + recentShare*(held-t.Own)*float64(max(d.InDomain-1, 0))
		for _, i := range g.candidates {
			states[i].Load.Tokens = own[i] + max(others, 0)*float64(r.candidates[i].KVCapacity)/g.capacity
		}
	}
}

// OwnTokens adds up this daemon's tokens by group of engines.
func (r *Roster) OwnTokens(tokensOf func(state.BackendIncarnation) float64) map[EngineGroup]float64 {
	out := make(map[EngineGroup]float64, len(r.groups))
	for k := range r.groups {
		g := &r.groups[k]
		sum := 0.0
		for _, i := range g.candidates {
			sum += tokensOf(r.candidates[i].Server.Incarnation())
		}
		if sum > 0 {
			out[EngineGroup{Domain: r.domains[g.domain], Kind: g.kind, Layers: g.layers}] = sum
		}
	}
	return out
}

// Domains returns the failure domains of the candidates.
func (r *Roster) Domains() []state.FailureDomain { return r.domains }
