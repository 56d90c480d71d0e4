package pathing

import (
	"slices"
	"sort"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Roster is the list of a service's engines, indexed for many requests. It is immutable and safe
// for concurrent use.
//
// Engines of one kind and failure domain that hold the same layers differ only in their state. Only
// the cheapest ones of each such group take part in the search, which hardly grows with the number
// of engines. A choice among 3,000 engines takes 0.07 ms, instead of 1.1 ms with a search over each
// engine (BenchmarkChoose of package gateway).
type Roster struct {
	engine         *fleet.Engine
	candidates     []Candidate
	groups         []group // sorted by their last layer
	domains        []state.FailureDomain
	kinds          []string
	estimateInputs []estimateInput // by candidate
	byIncarnation  map[state.BackendIncarnation]int
	byAddress      map[string]int
}

// estimateInput holds what Estimate needs to know of a candidate.
type estimateInput struct {
	domain, kind int // indexes
	layers       float64
}

// group holds the candidates that differ only in their state.
type group struct {
	layers     fleet.Range
	domain     int // index of the failure domain
	kind       string
	capacity   float64 // KV-cache tokens of all its candidates
	candidates []int
}

// groupKey identifies a group.
type groupKey struct {
	layers fleet.Range
	domain state.FailureDomain
	kind   string
}

// NewRoster indexes the engines that hold layers and are not draining.
func NewRoster(e *fleet.Engine, servers []fleet.Server) *Roster {
	r := &Roster{engine: e, byIncarnation: make(map[state.BackendIncarnation]int, len(servers)), byAddress: make(map[string]int, len(servers))}
	index := make(map[groupKey]int)
	for i := range servers {
		s := &servers[i]
		if s.Layers.Len() <= 0 || s.Draining {
			continue
		}
		kind := e.Kinds[s.Kind]
		c := Candidate{Server: s, Kind: kind, KVCapacity: e.KVCapacity(kind, s.Layers.Len())}
		at := len(r.candidates)
		r.candidates = append(r.candidates, c)
		r.byIncarnation[s.Incarnation()], r.byAddress[s.Address] = at, at
		r.estimateInputs = append(r.estimateInputs, estimateInput{
			domain: indexOf(&r.domains, s.Domain), kind: indexOf(&r.kinds, s.Kind), layers: float64(s.Layers.Len()),
		})
		key := groupKey{layers: s.Layers, domain: s.Domain, kind: s.Kind}
		g, ok := index[key]
		if !ok {
			g = len(r.groups)
			index[key] = g
			r.groups = append(r.groups, group{layers: s.Layers, domain: r.estimateInputs[at].domain, kind: s.Kind})
		}
		r.groups[g].capacity += float64(c.KVCapacity)
		r.groups[g].candidates = append(r.groups[g].candidates, at)
	}
	sort.SliceStable(r.groups, func(a, b int) bool { return r.groups[a].layers.To < r.groups[b].layers.To })
	return r
}

// indexOf returns the index of a name and appends the name if it is new.
func indexOf[T comparable](names *[]T, name T) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// Len returns the number of candidates.
func (r *Roster) Len() int { return len(r.candidates) }

// Server returns the server of candidate i.
func (r *Roster) Server(i int) *fleet.Server { return r.candidates[i].Server }

// IndexOf returns the candidate of a server incarnation; false for none.
func (r *Roster) IndexOf(l state.BackendIncarnation) (int, bool) {
	i, ok := r.byIncarnation[l]
	return i, ok
}

// IndexAt returns the candidate at an address; false for none.
func (r *Roster) IndexAt(address string) (int, bool) {
	i, ok := r.byAddress[address]
	return i, ok
}
