package pathing

import (
	"math"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Choose returns the cheapest path, or false if some layer is held by no usable server. states has
// one entry per candidate of the roster. Suspect candidates are used only if suspects is set,
// at an additional cost.
func (r *Roster) Choose(req Request, states []ServerState, suspects bool) (fleet.Path, bool) {
	sr := r.newSearch(&req)
	last, lastCost := -1, math.Inf(1)
	for i := range r.groups {
		g := &r.groups[i]
		best, ok := sr.bestOf(g, states, suspects)
		if !ok {
			continue
		}
		sr.paths[i] = sr.pathTo(g, best)
		sr.record(g, i)
		if cost := sr.paths[i].cost; g.layers.To >= r.engine.Layers && cost < lastCost {
			last, lastCost = i, cost
		}
	}
	if last < 0 {
		return nil, false
	}
	return sr.trace(last), true
}

// partialPath is the cheapest partial path that ends with a group.
type partialPath struct {
	cost      float64
	candidate int // index of the group's candidate
	prevGroup int // index of the previous group, or -1
	fromLayer int // first layer that this candidate runs
}

// bestCandidates holds the cheapest candidates of a group.
type bestCandidates struct {
	later []pricedCandidate // as a later hop: each is the cheapest for some number of layers
	// first is the cheapest candidate as the first hop, and firstCost its cost; -1 for none.
	first     int
	firstCost float64
}

// pricedCandidate is a candidate with its price.
type pricedCandidate struct {
	candidate int
	price     price
}

// search holds the cheapest partial path to each layer in each failure domain. A group needs to
// know no more of the groups before it, so the work grows linearly with the number of groups rather
// than quadratically.
type search struct {
	r             *Roster
	req           *Request
	paths         []partialPath     // by group
	crossingCosts [][]float64       // cost of a hop between two domains
	ends          []pathEnd         // by layer, then by domain
	later         []pricedCandidate // buffer of bestOf, reused for each group
}

// pathEnd is the cheapest partial path that ends before a layer.
type pathEnd struct {
	cost  float64
	group int // last group of the path, or -1 for no path
}

func (r *Roster) newSearch(req *Request) *search {
	sr := &search{r: r, req: req, paths: make([]partialPath, len(r.groups)), ends: make([]pathEnd, (r.engine.Layers+1)*len(r.domains))}
	for i := range sr.ends {
		sr.ends[i] = pathEnd{cost: math.Inf(1), group: -1}
	}
	for _, from := range r.domains {
		row := make([]float64, len(r.domains))
		for i, to := range r.domains {
			if from != to {
				row[i] = crossingCost(r.engine, req, from, to)
			}
		}
		sr.crossingCosts = append(sr.crossingCosts, row)
	}
	return sr
}

// endsAt returns the ends before a layer, by domain.
func (sr *search) endsAt(layer int) []pathEnd {
	n := len(sr.r.domains)
	return sr.ends[layer*n : (layer+1)*n]
}

// bestOf finds the cheapest candidates of a group; false if none may be used.
func (sr *search) bestOf(g *group, states []ServerState, suspects bool) (bestCandidates, bool) {
	out := bestCandidates{later: sr.later[:0], first: -1, firstCost: math.Inf(1)}
	for _, i := range g.candidates {
		st := &states[i]
		if st.Excluded || st.Suspect && !suspects {
			continue
		}
		c := &sr.r.candidates[i]
		p := priceOf(c, st, sr.r.engine, sr.req)
		out.consider(pricedCandidate{candidate: i, price: p})
		if extra, ok := sr.firstHopCost(c, st); ok && p.cost(g.layers.Len())+extra < out.firstCost {
			out.first, out.firstCost = i, p.cost(g.layers.Len())+extra
		}
	}
	sr.later = out.later
	return out, len(out.later) > 0
}

// consider adds a candidate unless another one is no more expensive in both parts of the price, and
// removes the candidates that the new one dominates.
func (c *bestCandidates) consider(u pricedCandidate) {
	for _, other := range c.later {
		if other.price.fixed <= u.price.fixed && other.price.perLayer <= u.price.perLayer {
			return
		}
	}
	c.later = append(slices.DeleteFunc(c.later, func(other pricedCandidate) bool {
		return u.price.fixed <= other.price.fixed && u.price.perLayer <= other.price.perLayer
	}), u)
}

// firstHopCost returns the additional cost of a candidate as the first hop; false if it cannot be
// one.
func (sr *search) firstHopCost(c *Candidate, st *ServerState) (float64, bool) {
	s := c.Server
	if st.NotFirstHop || s.Layers.From != 0 || sr.req.FirstHops != nil && !sr.req.FirstHops[s.Address] {
		return 0, false
	}
	extra := 0.0
	if s.Domain != sr.req.Domain {
		extra += remoteFirstHopMS
	}
	if s.Slots > 0 && st.Load.FirstHopRequests >= float64(s.Slots) {
		extra += fullMS
	}
	return extra, true
}

// pathTo finds the cheapest partial path that ends with the last layer of a group.
func (sr *search) pathTo(g *group, c bestCandidates) partialPath {
	out := partialPath{cost: math.Inf(1), candidate: -1, prevGroup: -1}
	if c.first >= 0 {
		out = partialPath{cost: c.firstCost, candidate: c.first, prevGroup: -1}
	}
	for l := max(g.layers.From, 1); l < min(g.layers.To, sr.r.engine.Layers+1); l++ {
		before, ok := sr.cheapestEnd(l, g.domain)
		if !ok {
			continue
		}
		for _, u := range c.later {
			if total := before.cost + u.price.cost(g.layers.To-l); total < out.cost {
				out = partialPath{cost: total, candidate: u.candidate, prevGroup: before.group, fromLayer: l}
			}
		}
	}
	return out
}

// cheapestEnd returns the cheapest partial path before a layer, including the hop to a domain.
func (sr *search) cheapestEnd(layer, domain int) (pathEnd, bool) {
	best := pathEnd{cost: math.Inf(1), group: -1}
	for d, e := range sr.endsAt(layer) {
		if cost := e.cost + sr.crossingCosts[d][domain]; e.group >= 0 && cost < best.cost {
			best = pathEnd{cost: cost, group: e.group}
		}
	}
	return best, best.group >= 0
}

// record records the partial path that ends with a group, if there is one.
func (sr *search) record(g *group, i int) {
	at := &sr.endsAt(min(g.layers.To, sr.r.engine.Layers))[g.domain]
	if cost := sr.paths[i].cost; cost < at.cost {
		*at = pathEnd{cost: cost, group: i}
	}
}

// trace returns the path that ends with group i.
func (sr *search) trace(i int) fleet.Path {
	n := 0
	for k := i; k >= 0; k = sr.paths[k].prevGroup {
		n++
	}
	path := make(fleet.Path, n)
	to := sr.r.engine.Layers
	for i >= 0 {
		n--
		p := sr.paths[i]
		s := sr.r.candidates[p.candidate].Server
		path[n] = fleet.Hop{
			Server: s.Incarnation(), Address: s.Address, Domain: s.Domain,
			Layers: fleet.Range{From: p.fromLayer, To: min(s.Layers.To, to)},
		}
		to, i = p.fromLayer, p.prevGroup
	}
	return path
}
