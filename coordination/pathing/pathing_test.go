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

// engine has a KV cache of more than 10,000 tokens in addition to the layers of an engine.
var engine = &fleet.Engine{
	Layers: 12, StepMS: 1, ActivateKB: 20, PipeMbps: 8000, LayerMB: 1, TokenKB: 1,
	Kinds: map[string]fleet.AcceleratorKind{"card": {Pace: 1, MemoryMB: 22}},
}

// testServer is a server with its state.
type testServer struct {
	fleet.Server
	pathing.ServerState
}

// serverWith returns a server that holds the layers from to to in a domain.
func serverWith(id string, domain state.FailureDomain, from, to int) testServer {
	return testServer{Server: fleet.Server{
		ID: state.BackendID(id), Address: id, Domain: domain, Kind: "card", Layers: fleet.Range{From: from, To: to},
	}}
}

// choose chooses a path over engines, without suspects.
func choose(candidates []testServer, r pathing.Request) (fleet.Path, bool) {
	return chooseWith(candidates, r, false)
}

// chooseWith chooses a path over engines, also over suspects if suspects is set.
func chooseWith(candidates []testServer, r pathing.Request, suspects bool) (fleet.Path, bool) {
	servers := make([]fleet.Server, len(candidates))
	for i := range candidates {
		servers[i] = candidates[i].Server
	}
	roster := pathing.NewRoster(engine, servers)
	states := make([]pathing.ServerState, roster.Len())
	for i := range candidates {
		if at, ok := roster.IndexAt(candidates[i].Address); ok {
			states[at] = candidates[i].ServerState
		}
	}
	return roster.Choose(r, states, suspects)
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

	It("uses part of a range where ranges overlap", func() {
		path, ok := choose([]testServer{serverWith("x", "a", 0, 8), serverWith("y", "a", 4, 12)}, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"x=0-8", "y=8-12"}))
	})

	It("finds no path if no engine holds a layer", func() {
		_, ok := choose([]testServer{serverWith("x", "a", 0, 5), serverWith("y", "a", 6, 12)}, request)
		Expect(ok).To(BeFalse())
	})

	// Guards against overloading the link between domains when an engine in the middle of a chain
	// dies: crossing twice to replace one engine would fill the link that all paths share, while a
	// path that starts in the other domain sends only text across. Answers continue on the other
	// domain's chain.
	It("moves a whole path to another domain instead of crossing in the middle", Label("failure:hop-dies"), func() {
		candidates := []testServer{
			serverWith("a1", "a", 0, 6), serverWith("a2", "a", 6, 12),
			serverWith("b1", "b", 0, 6), serverWith("b2", "b", 6, 12),
		}
		candidates[1].Excluded = true
		path, ok := choose(candidates, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"b1=0-6", "b2=6-12"}))
	})

	It("crosses if no domain has every layer", func() {
		candidates := []testServer{serverWith("a1", "a", 0, 6), serverWith("b2", "b", 6, 12)}
		path, ok := choose(candidates, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"a1=0-6", "b2=6-12"}))
	})

	It("avoids a server whose KV-cache capacity is exhausted", func() {
		full, free := serverWith("full", "a", 0, 12), serverWith("free", "a", 0, 12)
		full.Load.Tokens = 9500
		free.Load.Requests = 20
		path, ok := choose([]testServer{full, free}, request)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"free=0-12"}))
	})

	// Guards against paths over all suspects because a part of the layers is held by suspects alone.
	It("prefers sound servers also where it can't do without suspects", Label("failure:suspects-ignored"), func() {
		first, other := serverWith("first", "a", 0, 6), serverWith("other", "a", 0, 6)
		last := serverWith("last", "a", 6, 12)
		first.Suspect, last.Suspect = true, true
		candidates := []testServer{first, other, last}
		_, ok := choose(candidates, request)
		Expect(ok).To(BeFalse())
		path, ok := chooseWith(candidates, request, true)
		Expect(ok).To(BeTrue())
		Expect(addresses(path)).To(Equal([]string{"other=0-6", "last=6-12"}))
	})

	It("does not use a server that is draining", func() {
		leaving := serverWith("x", "a", 0, 12)
		leaving.Draining = true
		_, ok := choose([]testServer{leaving}, request)
		Expect(ok).To(BeFalse())
	})
})

// TestPathsAreWhole checks that a path over any layout runs each layer once and in order, and that
// there is a path exactly if every layer can be reached.
func TestPathsAreWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 14).Draw(t, "cards")
		var candidates []testServer
		covered := make([]bool, engine.Layers)
		for i := range n {
			from := rapid.IntRange(0, engine.Layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, engine.Layers).Draw(t, "to")
			domain := rapid.SampledFrom([]state.FailureDomain{"a", "b"}).Draw(t, "domain")
			c := serverWith(fmt.Sprint(i), domain, from, to)
			c.Load.Requests = rapid.Float64Range(0, 100).Draw(t, "load")
			c.Load.Tokens = rapid.Float64Range(0, 20000).Draw(t, "tokens")
			candidates = append(candidates, c)
			for l := from; l < to; l++ {
				covered[l] = true
			}
		}
		path, ok := choose(candidates, pathing.Request{Domain: "a", PromptTokens: 700, MaxTokens: 500})
		for _, c := range covered {
			if !c && ok {
				t.Fatalf("path over a layer that no engine holds: %v", addresses(path))
			}
		}
		if ok && !path.Complete(engine.Layers) {
			t.Fatalf("incomplete path: %v", addresses(path))
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
