package cover

import (
	"math"
	"slices"
	"sort"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Assignment gives one engine its layers.
type Assignment struct {
	Server fleet.Server
	Layers fleet.Range
}

// Order is one that an engine is carrying out.
type PendingOrder struct {
	Layers fleet.Range
	Moved  bool // it held other layers before
}

// roomShare is the part of the engine's nominal room for tokens that a card keeps
// beside its weights.
const roomShare = 1.0

// leastRoomShare is how far that part may be cut where the site would otherwise
// not hold every layer once.
const leastRoomShare = 0.05

// Capacity returns how many layers a card of each kind may hold so that it keeps
// share of the nominal room for tokens.
func Capacity(e *fleet.Engine, share float64) map[string]int {
	out := make(map[string]int, len(e.Kinds))
	for name, k := range e.Kinds {
		n := 0
		for n < e.Layers && e.Room(k, n+1) >= int(share*float64(e.KVTokens)) && float64(n+1)*e.LayerMB <= k.MemoryMB {
			n++
		}
		out[name] = n
	}
	return out
}

// capacityFor chooses the largest room for tokens with which the engines together
// hold every layer twice, or once where they can't.
func capacityFor(e *fleet.Engine, servers []fleet.Server) map[string]int {
	for _, copies := range []int{2, 1} {
		for share := roomShare; share >= leastRoomShare; share /= 2 {
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
	return Capacity(e, leastRoomShare)
}

// Plan lays out all engines of a service anew.
func Plan(e *fleet.Engine, servers []fleet.Server) []Assignment {
	return Repair(e, servers, nil)
}

// Repair gives layers to the engines that have none, and where a group of engines
// lacks a layer and too few others hold all, moves one of its engines all of whose
// layers others of the group hold too. Engines in pending are carrying out an order.
func Repair(e *fleet.Engine, servers []fleet.Server, pending map[state.Life]PendingOrder) []Assignment {
	layers := capacityFor(e, servers)
	all := fleet.NewCover(e.Layers)
	var out []Assignment
	groups := grouped(e, servers, layers)
	whole := 0
	for _, g := range groups {
		copies := covered(e, g, pending)
		if copies.Whole() {
			whole++
		}
		for l, n := range copies {
			all[l] += n
		}
	}
	fill := whole < enoughWhole && !newcomer(servers, pending)
	for _, g := range groups {
		p := &plan{engine: e, layers: layers, copies: covered(e, g, pending), all: all, fill: fill}
		p.group(g, pending)
		out = append(out, p.out...)
	}
	return out
}

// enoughWhole is how many groups that hold every layer make it needless to move
// engines in another. A move takes an engine out of use until the streams across its
// old layers have ended, 3 to 10 s, while two domains carry a site's whole load.
const enoughWhole = 2

// newcomer reports whether an engine without layers is there, or is loading its first
// ones. Where engines are replaced, each that leaves has a successor: one in use that
// is moved into its place is missing in its own. With 14 of 38 engines replaced in
// 16 s, callers got 0.59 of the full credit with such moves and 0.89 without, in the
// mean of six runs each.
func newcomer(servers []fleet.Server, pending map[state.Life]PendingOrder) bool {
	return slices.ContainsFunc(servers, func(s fleet.Server) bool {
		o, busy := pending[s.Life()]
		if busy {
			return !o.Moved
		}
		return !s.Draining && s.Layers.Len() == 0
	})
}

// covered counts what a group's engines hold, or are about to.
func covered(e *fleet.Engine, servers []fleet.Server, pending map[state.Life]PendingOrder) fleet.Cover {
	copies := fleet.NewCover(e.Layers)
	for _, s := range servers {
		copies.Add(held(s, pending), 1)
	}
	return copies
}

// grouped returns the engines of each domain that can hold every layer by itself,
// and those of all other domains together as one more group.
func grouped(e *fleet.Engine, servers []fleet.Server, layers map[string]int) [][]fleet.Server {
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

// held is what an engine holds or is about to hold.
func held(s fleet.Server, pending map[state.Life]PendingOrder) fleet.Range {
	if o, ok := pending[s.Life()]; ok {
		return o.Layers
	}
	return s.Layers
}

// plan is the layout of one group under construction.
type plan struct {
	engine *fleet.Engine
	layers map[string]int // by kind of card
	copies fleet.Cover    // within the group
	all    fleet.Cover    // within the site
	out    []Assignment
	fill   bool // move engines onto layers that nobody in the group holds
}

func (p *plan) place(s fleet.Server, r fleet.Range) {
	if r.Len() <= 0 {
		return
	}
	p.copies.Add(r, 1)
	p.all.Add(r, 1)
	p.out = append(p.out, Assignment{Server: s, Layers: r})
}

// group lays out one group.
func (p *plan) group(servers []fleet.Server, pending map[state.Life]PendingOrder) {
	var idle, settled []fleet.Server
	for _, s := range servers {
		_, busy := pending[s.Life()]
		r := held(s, pending)
		switch {
		case r.Len() == 0:
			idle = append(idle, s)
		case !busy:
			settled = append(settled, s)
		}
	}
	sortServers(idle, p.layers)
	for _, s := range idle {
		p.place(s, p.next(p.layers[s.Kind]))
	}
	if p.fill {
		p.fillHoles(settled)
	}
}

// next returns the range for an engine of n layers: from the first layer that
// nobody holds, so that ranges lie end to end, and otherwise where copies are
// fewest.
func (p *plan) next(n int) fleet.Range {
	n = min(n, p.engine.Layers)
	hole := slices.IndexFunc(p.copies, func(c int) bool { return c < 1 })
	if n <= 0 || hole < 0 {
		return p.thinnest(n)
	}
	// The last range reaches back over the one before rather than being short.
	from := min(hole, p.engine.Layers-n)
	return fleet.Range{From: from, To: from + n}
}

// thinnest returns the range of n layers where one more copy is worth most.
func (p *plan) thinnest(n int) fleet.Range {
	n = min(n, p.engine.Layers)
	if n <= 0 {
		return fleet.Range{}
	}
	// Counted from the fewest copies, so that 300 copies of each layer are told apart as
	// well as three.
	least := slices.Min(p.copies)
	best, bestScore := 0, -1.0
	for from := 0; from+n <= p.engine.Layers; from++ {
		score := 0.0
		for l := from; l < from+n; l++ {
			score += weight(p.copies[l]-least) + siteWeight*weight(p.all[l]-least)
		}
		if score > bestScore {
			best, bestScore = from, score
		}
	}
	return fleet.Range{From: best, To: best + n}
}

// siteWeight lets the copies in other groups decide among ranges that are equal
// within the group.
const siteWeight = 0.01

// weightBits is the binary logarithm of how many times less each further copy of a layer
// is worth.
const weightBits = 3

// weights are how much one more copy of a layer is worth that has so many copies more than
// the one with the fewest: each one a fraction of the one before, so that a layer that
// nobody holds goes first. They are looked up since a layout of 3,000 engines needs some
// ten million of them: 5 ms for 270 ms where each is divided out by its copies (BenchmarkPlan).
var weights = func() (out [256]float64) {
	for copies := range out {
		out[copies] = math.Ldexp(1, -weightBits*copies)
	}
	return out
}()

// weight is how much one more copy of a layer is worth. What many copies more than the
// fewest are worth makes no difference.
func weight(more int) float64 {
	return weights[min(more, len(weights)-1)]
}

// fillHoles moves engines whose layers others of the group hold too onto layers
// that nobody in it holds.
func (p *plan) fillHoles(settled []fleet.Server) {
	for range settled {
		if !slices.ContainsFunc(p.copies, func(c int) bool { return c < 1 }) {
			return
		}
		i := slices.IndexFunc(settled, func(s fleet.Server) bool { return p.spare(s.Layers) })
		if i < 0 {
			return
		}
		s := settled[i]
		settled = slices.Delete(settled, i, i+1)
		p.copies.Add(s.Layers, -1)
		p.place(s, p.next(p.layers[s.Kind]))
	}
}

// spare reports whether every layer of r is held by another engine of the group.
func (p *plan) spare(r fleet.Range) bool {
	for l := r.From; l < r.To; l++ {
		if p.copies[l] < 2 {
			return false
		}
	}
	return r.Len() > 0
}

// byDomain groups servers by failure domain, in the order of their names.
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

// sortServers puts the servers with the most layers first.
func sortServers(servers []fleet.Server, layers map[string]int) {
	sort.SliceStable(servers, func(a, b int) bool {
		x, y := servers[a], servers[b]
		if layers[x.Kind] != layers[y.Kind] {
			return layers[x.Kind] > layers[y.Kind]
		}
		return x.ID < y.ID
	})
}
