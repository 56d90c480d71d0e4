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

var engine = &fleet.Engine{Layers: 12, StepMS: 1, ActivateKB: 20, PipeMbps: 8000}

// card is a server with layers from to to in a domain.
func card(id string, domain state.FailureDomain, from, to int) pathing.Card {
	return pathing.Card{
		Server: &fleet.Server{ID: state.BackendID(id), Address: id, Domain: domain, Layers: fleet.Range{From: from, To: to}},
		Kind:   fleet.CardKind{Pace: 1},
		Room:   10000,
	}
}

func addresses(p fleet.Path) []string {
	var out []string
	for _, h := range p {
		out = append(out, fmt.Sprintf("%s=%d-%d", h.Address, h.Layers.From, h.Layers.To))
	}
	return out
}

var _ = Describe("Choose", func() {
	request := pathing.Request{Domain: "a", Prompt: 700, Tokens: 900}

	It("uses a part of a range where ranges overlap", func() {
		path, ok := pathing.Choose(engine, []pathing.Card{card("x", "a", 0, 8), card("y", "a", 4, 12)}, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"x=0-8", "y=8-12"}))
	})

	It("finds none where a layer is held by nobody", func() {
		_, ok := pathing.Choose(engine, []pathing.Card{card("x", "a", 0, 5), card("y", "a", 6, 12)}, request)
		Expect(ok).To(BeFalse())
	})

	// A card in the middle of a chain dies. Callers see their answers go on over
	// another domain's whole chain. Cause: crossing twice for one card would fill
	// the link that all paths share; starting elsewhere sends only texts across.
	It("moves a whole path to another domain rather than crossing in the middle", Label("failure:hop-dies"), func() {
		cards := []pathing.Card{
			card("a1", "a", 0, 6), card("a2", "a", 6, 12),
			card("b1", "b", 0, 6), card("b2", "b", 6, 12),
		}
		r := request
		r.Avoid = map[string]bool{"a2": true}
		path, ok := pathing.Choose(engine, cards, r)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"b1=0-6", "b2=6-12"}))
	})

	It("crosses where no domain has every layer", func() {
		cards := []pathing.Card{card("a1", "a", 0, 6), card("b2", "b", 6, 12)}
		path, ok := pathing.Choose(engine, cards, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"a1=0-6", "b2=6-12"}))
	})

	It("leaves a server whose room is used up", func() {
		full, free := card("full", "a", 0, 12), card("free", "a", 0, 12)
		full.Load.Tokens = 9500
		free.Load.Requests = 20
		path, ok := pathing.Choose(engine, []pathing.Card{full, free}, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"free=0-12"}))
	})

	It("uses no server that is leaving", func() {
		leaving := card("x", "a", 0, 12)
		leaving.Server.Draining = true
		_, ok := pathing.Choose(engine, []pathing.Card{leaving}, request)
		Expect(ok).To(BeFalse())
	})
})

// Over any cover a path runs each layer once and in order, and there is one exactly
// where every layer can be reached.
func TestPathsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 14).Draw(t, "cards")
		var cards []pathing.Card
		covered := make([]bool, engine.Layers)
		for i := range n {
			from := rapid.IntRange(0, engine.Layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, engine.Layers).Draw(t, "to")
			domain := rapid.SampledFrom([]state.FailureDomain{"a", "b"}).Draw(t, "domain")
			c := card(fmt.Sprint(i), domain, from, to)
			c.Load.Requests = rapid.Float64Range(0, 100).Draw(t, "load")
			c.Load.Tokens = rapid.Float64Range(0, 20000).Draw(t, "tokens")
			cards = append(cards, c)
			for l := from; l < to; l++ {
				covered[l] = true
			}
		}
		path, ok := pathing.Choose(engine, cards, pathing.Request{Domain: "a", Prompt: 700, Tokens: 900})
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
