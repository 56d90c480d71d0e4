package cover

import (
	"math"
	"slices"
	"sort"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Assignment assigns a range of layers to one engine.
type Assignment struct {
	Server fleet.Server
	Layers fleet.Range
}

// PendingOrder is an order that an engine is carrying out.
type PendingOrder struct {
	Layers fleet.Range
	Moved  bool // it held other layers before
}

// nominalShare is the part of the nominal KV-cache capacity that an engine keeps free in addition
// to its weights.
const nominalShare = 1.0

// minShare is how far that part may be reduced if the site could otherwise not hold every layer
// once.
const minShare = 0.05

// Capacity returns how many layers an engine of each kind may hold if it is to keep the given share
// of the nominal KV-cache capacity.
func Capacity(e *fleet.Engine, share float64) map[string]int {
	out := make(map[string]int, len(e.Kinds))
	for name, k := range e.Kinds {
		n := 0
		for n < e.Layers && e.KVCapacity(k, n+1) >= int(share*float64(e.KVTokens)) && float64(n+1)*e.LayerMB <= k.MemoryMB {
			n++
		}
		out[name] = n
	}
	return out
}

// capacityFor chooses the largest KV-cache capacity with which the engines together hold every
// layer twice, or once if twice is not possible.
func capacityFor(e *fleet.Engine, servers []fleet.Server) map[string]int {
	for _, copies := range []int{2, 1} {
		for share := nominalShare; share >= minShare; share /= 2 {
			layers := Capacity(e, share)
			total := 0
			for i := range servers {
				total += layers[servers[i].Kind]
			}
			if total >= copies*e.Layers {
				return layers
			}
		}
	}
	return Capacity(e, minShare)
}

// Plan lays out all engines of a service from scratch.
func Plan(e *fleet.Engine, servers []fleet.Server) []Assignment {
	return Repair(e, servers, nil)
}

// Repair assigns layers to the engines that have none. If a group of engines lacks a layer and too
// few other groups are complete, it also moves one of the group's engines whose layers are all held
// by others of the group. Engines in pending are carrying out an order.
func Repair(e *fleet.Engine, servers []fleet.Server, pending map[state.BackendIncarnation]PendingOrder) []Assignment {
	layers := capacityFor(e, servers)
	all := fleet.NewCover(e.Layers)
	var out []Assignment
	groups := domainGroups(e, servers, layers)
	complete := 0
	for _, g := range groups {
		copies := copiesOf(e, g, pending)
		if copies.Complete() {
			complete++
		}
		for l, n := range copies {
			all[l] += n
		}
	}
	moveEngines := complete < sufficientComplete && !hasNewEngine(servers, pending)
	for _, g := range groups {
		p := &plan{engine: e, layers: layers, copies: copiesOf(e, g, pending), all: all, moveEngines: moveEngines}
		p.assignGroup(g, pending)
		out = append(out, p.out...)
	}
	return out
}

// sufficientComplete is the number of groups with every layer that make it unnecessary to move
// engines in another group. A move takes an engine out of use until the streams across its old
// layers have ended, 3 to 10 s, while two domains carry the whole load of the site.
const sufficientComplete = 2

// hasNewEngine reports whether there is an engine without layers, or one that is loading its first
// layers. Where engines are replaced, each that shuts down has a successor: if an engine in use is
// moved into its place, its own layers are missing. With 14 of 38 engines replaced in 16 s, callers
// got 0.59 of the full credit with such moves and 0.89 without, in the mean of six runs each.
func hasNewEngine(servers []fleet.Server, pending map[state.BackendIncarnation]PendingOrder) bool {
	return slices.ContainsFunc(servers, func(s fleet.Server) bool {
		o, busy := pending[s.Incarnation()]
		if busy {
			return !o.Moved
		}
		return !s.Draining && s.Layers.Len() == 0
	})
}

// copiesOf counts the copies of each layer that a group's engines hold or are loading.
func copiesOf(e *fleet.Engine, servers []fleet.Server, pending map[state.BackendIncarnation]PendingOrder) fleet.Cover {
	copies := fleet.NewCover(e.Layers)
	for _, s := range servers {
		copies.Add(heldLayers(s, pending), 1)
	}
	return copies
}

// domainGroups returns the engines of each domain that can hold every layer by itself, and the
// engines of all other domains together as one more group.
func domainGroups(e *fleet.Engine, servers []fleet.Server, layers map[string]int) [][]fleet.Server {
	var groups [][]fleet.Server
	var rest []fleet.Server
	for _, g := range byDomain(servers) {
		total := 0
		for i := range g {
			total += layers[g[i].Kind]
		}
		if total >= e.Layers {
			groups = append(groups, g)
		} else {
			rest = append(rest, g...)
		}
	}
	if len(rest) > 0 {
		groups = append(groups, rest)
	}
	return groups
}

// heldLayers returns the layers that an engine holds or is loading.
func heldLayers(s fleet.Server, pending map[state.BackendIncarnation]PendingOrder) fleet.Range {
	if o, ok := pending[s.Incarnation()]; ok {
		return o.Layers
	}
	return s.Layers
}

// plan is the layout of one group under construction.
type plan struct {
	engine      *fleet.Engine
	layers      map[string]int // by accelerator kind
	copies      fleet.Cover    // within the group
	all         fleet.Cover    // within the site
	out         []Assignment
	moveEngines bool // move engines onto layers that no engine of the group holds
}

func (p *plan) assign(s fleet.Server, r fleet.Range) {
	if r.Len() <= 0 {
		return
	}
	p.copies.Add(r, 1)
	p.all.Add(r, 1)
	p.out = append(p.out, Assignment{Server: s, Layers: r})
}

// assignGroup assigns layers within one group.
func (p *plan) assignGroup(servers []fleet.Server, pending map[state.BackendIncarnation]PendingOrder) {
	var idle, settled []fleet.Server
	for _, s := range servers {
		_, busy := pending[s.Incarnation()]
		r := heldLayers(s, pending)
		switch {
		case r.Len() == 0:
			idle = append(idle, s)
		case !busy:
			settled = append(settled, s)
		}
	}
	sortServers(idle, p.layers)
	for _, s := range idle {
		p.assign(s, p.nextRange(p.layers[s.Kind]))
	}
	if p.moveEngines {
		p.fillGaps(settled)
	}
}

// nextRange returns the range for an engine of n layers: from the first layer that no engine holds,
// so that ranges are contiguous, and otherwise where there are the fewest copies.
func (p *plan) nextRange(n int) fleet.Range {
	n = min(n, p.engine.Layers)
	gap := slices.IndexFunc(p.copies, func(c int) bool { return c < 1 })
	if n <= 0 || gap < 0 {
		return p.leastCovered(n)
	}
	// The last range overlaps the previous one rather than being short.
	from := min(gap, p.engine.Layers-n)
	return fleet.Range{From: from, To: from + n}
}

// leastCovered returns the range of n layers where one more copy has the most value.
func (p *plan) leastCovered(n int) fleet.Range {
	n = min(n, p.engine.Layers)
	if n <= 0 {
		return fleet.Range{}
	}
	// Copies are counted relative to the minimum, so that a difference among 300 copies of each
	// layer counts as much as one among three.
	least := slices.Min(p.copies)
	best, bestScore := 0, -1.0
	for from := 0; from+n <= p.engine.Layers; from++ {
		score := 0.0
		for l := from; l < from+n; l++ {
			score += copyValue(p.copies[l]-least) + siteWeight*copyValue(p.all[l]-least)
		}
		if score > bestScore {
			best, bestScore = from, score
		}
	}
	return fleet.Range{From: best, To: best + n}
}

// siteWeight lets the copies in other groups decide among ranges that are equal within the group.
const siteWeight = 0.01

// valueDecayBits is the binary logarithm of the factor by which the value of each further copy of a
// layer decreases.
const valueDecayBits = 3

// copyValues holds the value of one more copy of a layer by the number of copies that it has above
// the minimum. Each value is a fraction of the previous one, so that a layer that no engine holds
// has priority. The values are looked up because a layout of 3,000 engines needs about ten million
// of them: 5 ms instead of 270 ms with a division for each (BenchmarkPlan).
var copyValues = func() (out [256]float64) {
	for copies := range out {
		out[copies] = math.Ldexp(1, -valueDecayBits*copies)
	}
	return out
}()

// copyValue returns the value of one more copy of a layer that has more copies above the minimum.
// Beyond the size of the table, further copies make no difference.
func copyValue(more int) float64 {
	return copyValues[min(more, len(copyValues)-1)]
}

// fillGaps moves engines whose layers are also held by others of the group onto layers that no
// engine of the group holds.
func (p *plan) fillGaps(settled []fleet.Server) {
	for range settled {
		if !slices.ContainsFunc(p.copies, func(c int) bool { return c < 1 }) {
			return
		}
		i := slices.IndexFunc(settled, func(s fleet.Server) bool { return p.redundant(s.Layers) })
		if i < 0 {
			return
		}
		s := settled[i]
		settled = slices.Delete(settled, i, i+1)
		p.copies.Add(s.Layers, -1)
		p.assign(s, p.nextRange(p.layers[s.Kind]))
	}
}

// redundant reports whether every layer of r is held by another engine of the group.
func (p *plan) redundant(r fleet.Range) bool {
	for l := r.From; l < r.To; l++ {
		if p.copies[l] < 2 {
			return false
		}
	}
	return r.Len() > 0
}

// byDomain groups servers by failure domain, in the order of the domain names.
func byDomain(servers []fleet.Server) [][]fleet.Server {
	groups := make(map[state.FailureDomain][]fleet.Server)
	var names []state.FailureDomain
	for _, s := range servers {
		if s.Draining {
			continue
		}
		if _, ok := groups[s.Domain]; !ok {
			names = append(names, s.Domain)
		}
		groups[s.Domain] = append(groups[s.Domain], s)
	}
	slices.Sort(names)
	out := make([][]fleet.Server, 0, len(names))
	for _, n := range names {
		out = append(out, groups[n])
	}
	return out
}

// sortServers sorts the servers by the number of layers that they can hold, largest first.
func sortServers(servers []fleet.Server, layers map[string]int) {
	sort.SliceStable(servers, func(a, b int) bool {
		x, y := servers[a], servers[b]
		if layers[x.Kind] != layers[y.Kind] {
			return layers[x.Kind] > layers[y.Kind]
		}
		return x.ID < y.ID
	})
}
