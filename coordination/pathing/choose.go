package pathing

import (
	"math"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Choose returns the cheapest path, or false where some layer is held by no card that may
// be used. states has one entry a card of the roster. Cards that are suspects are used only
// where suspects is set.
func (r *Roster) Choose(req Request, states []ServerState, suspects bool) (fleet.Path, bool) {
	w := r.newWays(&req)
	last, lastCost := -1, math.Inf(1)
	for i := range r.groups {
		g := &r.groups[i]
		best, ok := w.best(g, states, suspects)
		if !ok {
			continue
		}
		w.reached[i] = w.arrive(g, best)
		w.add(g, i)
		if cost := w.reached[i].cost; g.layers.To >= r.engine.Layers && cost < lastCost {
			last, lastCost = i, cost
		}
	}
	if last < 0 {
		return nil, false
	}
	return w.trace(last), true
}

// reach is the cheapest way found that ends with a group.
type reach struct {
	cost float64
	card int // of the group
	from int // index of the group before, or -1
	at   int // first layer that this card runs
}

// choice is the cheapest cards of a group.
type choice struct {
	later []use // as a later hop: each is the cheapest for some number of layers
	// first is the cheapest as the first hop, and what it costs so; -1 for none.
	first     int
	firstCost float64
}

// use is a card with its price.
type use struct {
	card  int
	price price
}

// ways holds the cheapest way to each layer in each failure domain: all that a group needs
// to know of those before it, so that the work grows with the groups and not with their
// square.
type ways struct {
	r       *Roster
	req     *Request
	reached []reach     // by group
	cross   [][]float64 // cost of a hop from one domain to another
	ends    []end       // by the layer, then by domain
	later   []use       // of the group that is looked at; kept for the next one
}

// end is the cheapest way that ends before a layer.
type end struct {
	cost  float64
	group int // the last one, or -1 for no way
}

func (r *Roster) newWays(req *Request) *ways {
	w := &ways{r: r, req: req, reached: make([]reach, len(r.groups)), ends: make([]end, (r.engine.Layers+1)*len(r.domains))}
	for i := range w.ends {
		w.ends[i] = end{cost: math.Inf(1), group: -1}
	}
	for _, from := range r.domains {
		row := make([]float64, len(r.domains))
		for i, to := range r.domains {
			if from != to {
				row[i] = crossing(r.engine, req, from, to)
			}
		}
		w.cross = append(w.cross, row)
	}
	return w
}

// at is the ends before a layer, by domain.
func (w *ways) at(layer int) []end {
	n := len(w.r.domains)
	return w.ends[layer*n : (layer+1)*n]
}

// best finds the cheapest cards of a group; false where none may be used.
func (w *ways) best(g *group, states []ServerState, suspects bool) (choice, bool) {
	out := choice{later: w.later[:0], first: -1, firstCost: math.Inf(1)}
	for _, i := range g.cards {
		st := &states[i]
		if st.Excluded || st.Suspect && !suspects {
			continue
		}
		c := &w.r.cards[i]
		p := priceOf(c, st, w.r.engine, w.req)
		out.consider(use{card: i, price: p})
		if extra, ok := w.first(c, st); ok && p.of(g.layers.Len())+extra < out.firstCost {
			out.first, out.firstCost = i, p.of(g.layers.Len())+extra
		}
	}
	w.later = out.later
	return out, len(out.later) > 0
}

// consider adds a card unless another one is no dearer in both parts of its price, and drops
// those of which that is true now.
func (c *choice) consider(u use) {
	for _, other := range c.later {
		if other.price.fixed <= u.price.fixed && other.price.each <= u.price.each {
			return
		}
	}
	c.later = append(slices.DeleteFunc(c.later, func(other use) bool {
		return u.price.fixed <= other.price.fixed && u.price.each <= other.price.each
	}), u)
}

// first is what a card costs more as the first hop; false where it may not be that.
func (w *ways) first(c *Candidate, st *ServerState) (float64, bool) {
	s := c.Server
	if st.NotFirstHop || s.Layers.From != 0 || w.req.FirstHops != nil && !w.req.FirstHops[s.Address] {
		return 0, false
	}
	extra := 0.0
	if s.Domain != w.req.Domain {
		extra += farMS
	}
	if s.Slots > 0 && st.Load.FirstHopRequests >= float64(s.Slots) {
		extra += fullMS
	}
	return extra, true
}

// arrive finds the cheapest way to use a group up to its last layer.
func (w *ways) arrive(g *group, c choice) reach {
	out := reach{cost: math.Inf(1), card: -1, from: -1}
	if c.first >= 0 {
		out = reach{cost: c.firstCost, card: c.first, from: -1}
	}
	for l := max(g.layers.From, 1); l < min(g.layers.To, w.r.engine.Layers+1); l++ {
		before, ok := w.cheapestEnd(l, g.domain)
		if !ok {
			continue
		}
		for _, u := range c.later {
			if total := before.cost + u.price.of(g.layers.To-l); total < out.cost {
				out = reach{cost: total, card: u.card, from: before.group, at: l}
			}
		}
	}
	return out
}

// cheapestEnd is the cheapest way that ends before a layer, with the hop to a domain.
func (w *ways) cheapestEnd(layer, domain int) (end, bool) {
	best := end{cost: math.Inf(1), group: -1}
	for d, e := range w.at(layer) {
		if cost := e.cost + w.cross[d][domain]; e.group >= 0 && cost < best.cost {
			best = end{cost: cost, group: e.group}
		}
	}
	return best, best.group >= 0
}

// add notes the way that ends with a group, if there is one.
func (w *ways) add(g *group, i int) {
	at := &w.at(min(g.layers.To, w.r.engine.Layers))[g.domain]
	if cost := w.reached[i].cost; cost < at.cost {
		*at = end{cost: cost, group: i}
	}
}

// trace writes the path that ends with group i.
func (w *ways) trace(i int) fleet.Path {
	n := 0
	for k := i; k >= 0; k = w.reached[k].from {
		n++
	}
	path := make(fleet.Path, n)
	to := w.r.engine.Layers
	for i >= 0 {
		n--
		way := w.reached[i]
		s := w.r.cards[way.card].Server
		path[n] = fleet.Hop{
			Server: s.Life(), Address: s.Address, Domain: s.Domain,
			Layers: fleet.Range{From: way.at, To: min(s.Layers.To, to)},
		}
		to, i = way.at, way.from
	}
	return path
}
