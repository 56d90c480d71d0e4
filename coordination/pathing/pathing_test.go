package pathing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// engine has room for 10,000 tokens and more beside the layers of a card.
var engine = &fleet.Engine{
	Layers: 12, StepMS: 1, ActivateKB: 20, PipeMbps: 8000, LayerMB: 1, TokenKB: 1,
	Kinds: map[string]fleet.CardKind{"card": {Pace: 1, MemoryMB: 22}},
}

// card is a server with its state.
type card struct {
	fleet.Server
	pathing.ServerState
}

// holding is a server with layers from to to in a domain.
func holding(id string, domain state.FailureDomain, from, to int) card {
	return card{Server: fleet.Server{
		ID: state.BackendID(id), Address: id, Domain: domain, Kind: "card", Layers: fleet.Range{From: from, To: to},
	}}
}

// choose takes a path over cards, none of which is a suspect.
func choose(cards []card, r pathing.Request) (fleet.Path, bool) {
	servers := make([]fleet.Server, len(cards))
	for i := range cards {
		servers[i] = cards[i].Server
	}
	roster := pathing.NewRoster(engine, servers)
	states := make([]pathing.ServerState, roster.Len())
	for i := range cards {
		if at, ok := roster.IndexAt(cards[i].Address); ok {
			states[at] = cards[i].ServerState
		}
	}
	return roster.Choose(r, states, false)
}

func addresses(p fleet.Path) []string {
	var out []string
	for _, h := range p {
		out = append(out, fmt.Sprintf("%s=%d-%d", h.Address, h.Layers.From, h.Layers.To))
	}
	return out
}

var _ = Describe("Choose", func() {
	request := pathing.Request{Domain: "a", PromptTokens: 700, MaxTokens: 500}

	It("uses a part of a range where ranges overlap", func() {
		path, ok := choose([]card{holding("x", "a", 0, 8), holding("y", "a", 4, 12)}, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"x=0-8", "y=8-12"}))
	})

	It("finds none where a layer is held by nobody", func() {
		_, ok := choose([]card{holding("x", "a", 0, 5), holding("y", "a", 6, 12)}, request)
		Expect(ok).To(BeFalse())
	})

	// A card in the middle of a chain dies. Callers see their answers go on over
	// another domain's whole chain. Cause: crossing twice for one card would fill
	// the link that all paths share; starting elsewhere sends only texts across.
	It("moves a whole path to another domain rather than crossing in the middle", Label("failure:hop-dies"), func() {
		cards := []card{
			holding("a1", "a", 0, 6), holding("a2", "a", 6, 12),
			holding("b1", "b", 0, 6), holding("b2", "b", 6, 12),
		}
		cards[1].Excluded = true
		path, ok := choose(cards, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"b1=0-6", "b2=6-12"}))
	})

	It("crosses where no domain has every layer", func() {
		cards := []card{holding("a1", "a", 0, 6), holding("b2", "b", 6, 12)}
		path, ok := choose(cards, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"a1=0-6", "b2=6-12"}))
	})

	It("leaves a server whose room is used up", func() {
		full, free := holding("full", "a", 0, 12), holding("free", "a", 0, 12)
		full.Load.Tokens = 9500
		free.Load.Requests = 20
		path, ok := choose([]card{full, free}, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"free=0-12"}))
	})

	It("uses no server that is leaving", func() {
		leaving := holding("x", "a", 0, 12)
		leaving.Draining = true
		_, ok := choose([]card{leaving}, request)
		Expect(ok).To(BeFalse())
	})
})

// Over any cover a path runs each layer once and in order, and there is one exactly
// where every layer can be reached.
func TestPathsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 14).Draw(t, "cards")
		var cards []card
		covered := make([]bool, engine.Layers)
		for i := range n {
			from := rapid.IntRange(0, engine.Layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, engine.Layers).Draw(t, "to")
			domain := rapid.SampledFrom([]state.FailureDomain{"a", "b"}).Draw(t, "domain")
			c := holding(fmt.Sprint(i), domain, from, to)
			c.Load.Requests = rapid.Float64Range(0, 100).Draw(t, "load")
			c.Load.Tokens = rapid.Float64Range(0, 20000).Draw(t, "tokens")
			cards = append(cards, c)
			for l := from; l < to; l++ {
				covered[l] = true
			}
		}
		path, ok := choose(cards, pathing.Request{Domain: "a", PromptTokens: 700, MaxTokens: 500})
		for _, c := range covered {
			if !c && ok {
				t.Fatalf("a path over a layer that nobody holds: %v", addresses(path))
			}
		}
		if ok && !path.Whole(engine.Layers) {
			t.Fatalf("not whole: %v", addresses(path))
		}
		all := true
		for _, c := range covered {
			all = all && c
		}
		if all && !ok {
			t.Fatalf("no path although every layer is held")
		}
	})
}
