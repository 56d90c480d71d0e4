package pathing

import (
	"math"
	"slices"
	"sort"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Card is one backend server with what speaks for and against it.
type Card struct {
	Server *fleet.Server
	Kind   fleet.CardKind
	Room   int // tokens that it can hold beside its weights
	Load   Load
	Delay  float64 // its part of what answers took to begin of late, in ms
}

// Load is what all daemons together are believed to run on a server.
type Load struct {
	Requests float64 // as any hop
	First    float64 // as the first hop, each of which takes a slot
	Tokens   float64 // held for them, in tokens of the layers that they use
}

// Request is what a path is wanted for.
type Request struct {
	Domain state.FailureDomain // of the daemon that sends it
	Prompt int                 // tokens
	Tokens int                 // prompt and longest answer
	Avoid  map[string]bool     // addresses that may not be used
	// First are the addresses that a path may begin with; nil for any.
	First map[string]bool
	// Backlog is how many ms of transfers wait for the link between two domains;
	// nil for none.
	Backlog func(a, b state.FailureDomain) float64
}

const (
	// hopMS is the fixed cost of one more hop, in ms a token: the link within a
	// domain and the wait for the server's next pass.
	hopMS = 0.4
	// crossWeight is the cost of a hop to another domain for each ms that the
	// prompt's activations take of the pipe between domains. All paths share it:
	// 62 prompts a second of 18 ms each over one crossing are more than it takes,
	// so that a path crosses only where its domain lacks a layer.
	crossWeight = 3.0
	// farMS is the cost of a first hop in another domain. Only texts cross then.
	farMS = 1.0
	// loadMS is what each request that runs on a server adds to a token's wait
	// there, in ms; it spreads requests over equal servers.
	loadMS = 0.15
	// delayWeight is the cost of each ms of an answer's beginning that a server is
	// held to account for: a domain with a slow card, or behind a busy link, is left
	// to its own streams until it is as fast as the others again.
	delayWeight = 0.3
	// fullMS is the cost of a server whose room would be used up. It is paid only
	// where no other way is left.
	fullMS = 200.0
	// scarceFrom is the share of a server's room from which on it grows dearer.
	scarceFrom = 0.6
)

// cost returns what one use of a card costs, in ms a token.
func cost(c *Card, e *fleet.Engine, layers int, r *Request) float64 {
	return fixed(c, r) + float64(layers)*layer(c, e)
}

// layer is the part of cost that grows with the layers.
func layer(c *Card, e *fleet.Engine) float64 {
	return e.StepMS * c.Kind.Pace / float64(e.Layers)
}

// fixed is the part of cost that does not.
func fixed(c *Card, r *Request) float64 {
	ms := hopMS + loadMS*c.Load.Requests + delayWeight*c.Delay
	if c.Room <= 0 {
		return ms
	}
	used := (c.Load.Tokens + float64(r.Tokens)) / float64(c.Room)
	switch {
	case used >= 1:
		ms += fullMS
	case used > scarceFrom:
		ms += fullMS / 10 * (used - scarceFrom) / (1 - scarceFrom)
	}
	return ms
}

// TransferMS is how long a prompt's activations take the link between two domains,
// in ms.
func TransferMS(e *fleet.Engine, prompt int) float64 {
	if e.PipeMbps <= 0 {
		return 0
	}
	return float64(prompt) * e.ActivateKB * 8 / e.PipeMbps
}

// crossing returns what a hop from one domain to another costs.
func crossing(e *fleet.Engine, r *Request, from, to state.FailureDomain) float64 {
	ms := hopMS + crossWeight*TransferMS(e, r.Prompt)
	if r.Backlog != nil {
		ms += r.Backlog(from, to)
	}
	return ms
}

// reach is the cheapest way found that ends with one card.
type reach struct {
	cost float64
	from int // index of the card before, or -1
	at   int // first layer that this card runs
}

// Choose returns the cheapest path, or false where some layer is held by no card
// that may be used.
func Choose(e *fleet.Engine, cards []Card, r Request) (fleet.Path, bool) {
	order := usable(cards, &r)
	best := make([]reach, len(order))
	ends := newEnds(e, order, &r)
	last, lastCost := -1, math.Inf(1)
	for i, c := range order {
		best[i] = ends.arrive(e, c, &r)
		ends.add(c, i, best[i].cost)
		if c.Server.Layers.To >= e.Layers && best[i].cost < lastCost {
			last, lastCost = i, best[i].cost
		}
	}
	if last < 0 {
		return nil, false
	}
	return trace(e, order, best, last), true
}

// usable lists the cards that hold layers and may be used, those that end first
// first.
func usable(cards []Card, r *Request) []*Card {
	order := make([]*Card, 0, len(cards))
	for i := range cards {
		s := cards[i].Server
		if s.Layers.Len() > 0 && !s.Draining && !r.Avoid[s.Address] {
			order = append(order, &cards[i])
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return order[a].Server.Layers.To < order[b].Server.Layers.To })
	return order
}

// first is the way that begins with a card, if one may.
func first(e *fleet.Engine, c *Card, r *Request) reach {
	out := reach{cost: math.Inf(1), from: -1}
	if c.Server.Layers.From != 0 || r.First != nil && !r.First[c.Server.Address] {
		return out
	}
	out.cost = cost(c, e, c.Server.Layers.Len(), r)
	if c.Server.Domain != r.Domain {
		out.cost += farMS
	}
	if slots := c.Server.Slots; slots > 0 && c.Load.First >= float64(slots) {
		out.cost += fullMS
	}
	return out
}

// ends holds the cheapest way to each layer in each failure domain: all that a card
// needs to know of those before it, so that the work grows with the cards and not
// with their square: 0.34 ms for 3.5 with 1,000 cards, 13 us for 7 with 38.
type ends struct {
	domains []state.FailureDomain
	cross   [][]float64 // cost of a hop from one domain to another
	best    [][]end     // by the layer, then by domain
}

// end is the cheapest way that ends before a layer.
type end struct {
	cost float64
	card int // the last one, or -1 for no way
}

func newEnds(e *fleet.Engine, order []*Card, r *Request) *ends {
	t := &ends{best: make([][]end, e.Layers+1)}
	for _, c := range order {
		if !slices.Contains(t.domains, c.Server.Domain) {
			t.domains = append(t.domains, c.Server.Domain)
		}
	}
	for _, from := range t.domains {
		row := make([]float64, len(t.domains))
		for i, to := range t.domains {
			if from != to {
				row[i] = crossing(e, r, from, to)
			}
		}
		t.cross = append(t.cross, row)
	}
	all := make([]end, len(t.best)*len(t.domains))
	for i := range all {
		all[i] = end{cost: math.Inf(1), card: -1}
	}
	for l := range t.best {
		t.best[l], all = all[:len(t.domains)], all[len(t.domains):]
	}
	return t
}

// add notes a way that ends with a card.
func (t *ends) add(c *Card, i int, cost float64) {
	at := &t.best[min(c.Server.Layers.To, len(t.best)-1)][slices.Index(t.domains, c.Server.Domain)]
	if cost < at.cost {
		*at = end{cost: cost, card: i}
	}
}

// arrive finds the cheapest way to use a card up to its last layer.
func (t *ends) arrive(e *fleet.Engine, c *Card, r *Request) reach {
	out := first(e, c, r)
	s := c.Server
	here := slices.Index(t.domains, s.Domain)
	own, each := fixed(c, r), layer(c, e)
	for l := max(s.Layers.From, 1); l < min(s.Layers.To, len(t.best)); l++ {
		rest := own + float64(s.Layers.To-l)*each
		for d, before := range t.best[l] {
			if before.card < 0 {
				continue
			}
			if total := before.cost + rest + t.cross[d][here]; total < out.cost {
				out = reach{cost: total, from: before.card, at: l}
			}
		}
	}
	return out
}

// trace writes the path that ends with card i.
func trace(e *fleet.Engine, order []*Card, best []reach, i int) fleet.Path {
	var back fleet.Path
	end := e.Layers
	for i >= 0 {
		s := order[i].Server
		back = append(back, fleet.Hop{
			Server: s.Life(), Address: s.Address, Domain: s.Domain,
			Layers: fleet.Range{From: best[i].at, To: min(s.Layers.To, end)},
		})
		end = best[i].at
		i = best[i].from
	}
	path := make(fleet.Path, 0, len(back))
	for k := len(back) - 1; k >= 0; k-- {
		path = append(path, back[k])
	}
	return path
}
