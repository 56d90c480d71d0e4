package cover

import (
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
	layers := capacityFor(e, servers)
	p := &plan{engine: e, layers: layers, copies: make([]float64, e.Layers)}
	var rest []fleet.Server
	for _, group := range byDomain(servers) {
		rest = append(rest, p.tile(group)...)
	}
	for _, s := range rest {
		p.place(s, p.thinnest(layers[s.Kind]))
	}
	return p.out
}

// Repair gives layers to the engines that have none, and where a layer is still
// held by none, moves an engine all of whose layers others hold too. Engines in
// busy are carrying out an order; pending holds what they are about to hold.
func Repair(e *fleet.Engine, servers []fleet.Server, pending map[state.BackendID]fleet.Range) []Assignment {
	layers := capacityFor(e, servers)
	p := &plan{engine: e, layers: layers, copies: make([]float64, e.Layers)}
	var idle, settled []fleet.Server
	for _, s := range servers {
		next, busy := pending[s.ID]
		switch {
		case s.Draining:
		case busy:
			p.count(next, 1)
		case s.Layers.Len() > 0:
			p.count(s.Layers, 1)
			settled = append(settled, s)
		default:
			idle = append(idle, s)
		}
	}
	sortServers(idle, layers)
	for _, s := range idle {
		p.place(s, p.thinnest(layers[s.Kind]))
	}
	p.fillHoles(settled)
	return p.out
}

// plan is a layout under construction.
type plan struct {
	engine *fleet.Engine
	layers map[string]int // by kind of card
	copies []float64      // of each layer
	out    []Assignment
}

func (p *plan) count(r fleet.Range, by float64) {
	for l := max(r.From, 0); l < min(r.To, p.engine.Layers); l++ {
		p.copies[l] += by
	}
}

func (p *plan) place(s fleet.Server, r fleet.Range) {
	if r.Len() <= 0 {
		return
	}
	p.count(r, 1)
	p.out = append(p.out, Assignment{Server: s, Layers: r})
}

// tile lays the engines of one domain end to end and returns those that are left.
// A domain whose engines can't hold every layer leaves all of them.
func (p *plan) tile(group []fleet.Server) []fleet.Server {
	total := 0
	for i := range group {
		total += p.layers[group[i].Kind]
	}
	if total < p.engine.Layers {
		return group
	}
	sortServers(group, p.layers)
	at := 0
	for i, s := range group {
		if at >= p.engine.Layers {
			return group[i:]
		}
		n := p.layers[s.Kind]
		end := min(at+n, p.engine.Layers)
		// The last range reaches back over the one before rather than being short.
		p.place(s, fleet.Range{From: max(0, end-n), To: end})
		at = end
	}
	return nil
}

// thinnest returns the range of n layers with the fewest copies: first the one
// with the most layers that nobody holds, then that with the fewest copies.
func (p *plan) thinnest(n int) fleet.Range {
	n = min(n, p.engine.Layers)
	if n <= 0 {
		return fleet.Range{}
	}
	best, bestScore := 0, -1.0
	for from := 0; from+n <= p.engine.Layers; from++ {
		score := 0.0
		for l := from; l < from+n; l++ {
			score += weight(p.copies[l])
		}
		if score > bestScore {
			best, bestScore = from, score
		}
	}
	return fleet.Range{From: best, To: best + n}
}

// weight is how much one more copy of a layer is worth that has this many: each
// one a fraction of the one before, so that a layer that nobody holds goes first.
func weight(copies float64) float64 {
	w := 1.0
	for range int(copies) {
		w /= 8
	}
	return w
}

// fillHoles moves engines whose layers others hold too onto layers that nobody
// holds.
func (p *plan) fillHoles(settled []fleet.Server) {
	for range settled {
		hole := slices.IndexFunc(p.copies, func(c float64) bool { return c < 1 })
		if hole < 0 {
			return
		}
		i := slices.IndexFunc(settled, func(s fleet.Server) bool { return p.spare(s.Layers) })
		if i < 0 {
			return
		}
		s := settled[i]
		settled = slices.Delete(settled, i, i+1)
		p.count(s.Layers, -1)
		p.place(s, p.thinnest(p.layers[s.Kind]))
	}
}

// spare reports whether every layer of r is held by another engine too.
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
