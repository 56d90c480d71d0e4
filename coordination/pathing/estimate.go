package pathing

import (
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Estimate extrapolates the loads of one daemon's own requests to the expected loads of all
// daemons.
//
// Load pattern: 69 daemons in front of 86 engines in three domains have about nine active streams
// each. If one stream on an engine represented those of all daemons, an engine with one stream
// would count as full and the next streams would use ever slower engines. Therefore a stream
// represents as many daemons as fill at most a quarter of an engine's KV-cache capacity, but at
// least those of the daemon's own domain: callers are sent to daemons of their own domain and paths
// begin in the daemon's own domain, so these daemons share its engines. The unseen load of another
// domain's engines is assumed to be that of local engines of the same kind.
//
// Limits: if a daemon has only about two active streams, its own load says little about an engine,
// and only the number of daemons keeps the load even. In the model of the spec, paths cost 35 ms
// per token with 69 daemons and 34 ms with 195, 29 ms if each daemon knew the load of all, and 260
// ms with 195 if a stream represents all daemons. If a stream represents only the domain's daemons,
// a deployment of six daemons scores 0.45 to 0.58 on simulated days with losses and slow engines,
// instead of 0.62 to 0.68.
func (r *Roster) Estimate(states []ServerState, d DaemonCounts) {
	home := slices.Index(r.domains, d.Domain)
	use := r.useByKind(states, home, float64(d.InDomain))
	for i := range states {
		p, load, capacity := &r.estimateInputs[i], &states[i].Load, float64(r.candidates[i].KVCapacity)
		n := d.represents(capacity)
		load.Tokens *= n
		load.FirstHopRequests *= n
		if p.domain != home {
			load.Tokens += d.unseen(n) * use[p.kind] * capacity
		}
	}
}

// DaemonCounts describes the daemons that share a service's engines.
type DaemonCounts struct {
	Domain   state.FailureDomain // of the daemon that estimates
	InDomain int                 // daemons in its domain, including itself; at least 1
	Total    int                 // daemons in all domains; at least InDomain
}

// maxRepresentedShare is the largest share of an engine's KV-cache capacity that one stream may
// represent, unless its domain alone has more daemons. With up to 30 daemons a stream represents
// all of them.
const maxRepresentedShare = 0.25

// represents returns the number of daemons that one local stream represents on an engine of the
// given KV-cache capacity.
func (d DaemonCounts) represents(capacity float64) float64 {
	most := maxRepresentedShare * capacity / streamTokens
	return max(float64(d.InDomain), min(float64(d.Total), most))
}

// unseen returns the part of the load of another domain's engines that a daemon does not see if a
// stream represents n daemons.
func (d DaemonCounts) unseen(n float64) float64 {
	if d.Total <= d.InDomain {
		return 1
	}
	return (float64(d.Total) - n) / float64(d.Total-d.InDomain)
}

// useByKind returns the mean used share of the KV-cache capacity of each accelerator kind in a
// domain.
func (r *Roster) useByKind(states []ServerState, home int, near float64) []float64 {
	held := make([]float64, len(r.kinds)) // tokens times layers
	capacity := make([]float64, len(r.kinds))
	for i := range states {
		p := &r.estimateInputs[i]
		if p.domain != home {
			continue
		}
		held[p.kind] += states[i].Load.Tokens * p.layers
		capacity[p.kind] += float64(r.candidates[i].KVCapacity) * p.layers
	}
	use := make([]float64, len(r.kinds))
	for k := range use {
		if capacity[k] > 0 {
			use[k] = held[k] * near / capacity[k]
		}
	}
	return use
}
