package pathing

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var bigModel = &fleet.Engine{
	Layers: 80, LayerMB: 1750, TokenKB: 459, StepMS: 0.85, SeqMS: 0.0046, ContextMS: 0.006, ReadPerS: 252000, ActivateKB: 22.9, PipeMbps: 7900,
	Kinds: map[string]fleet.AcceleratorKind{
		"fast": {Pace: 3.1, ReadPace: 3.2, MemoryMB: 36000}, "middle": {Pace: 15, ReadPace: 8.2, MemoryMB: 21600}, "slow": {Pace: 16, ReadPace: 15, MemoryMB: 14400},
	},
}

// hopCost returns the cost of an engine as the hop after an engine of another domain, or of its
// own.
func hopCost(r *Roster, req *Request, i int, st *ServerState, layers int, before *state.FailureDomain) float64 {
	c := &r.candidates[i]
	ms := priceOf(c, st, r.engine, req).cost(layers)
	if before != nil && *before != c.Server.Domain {
		ms += crossingCost(r.engine, req, *before, c.Server.Domain)
	}
	return ms
}

// firstCost returns the additional cost of an engine as the first hop.
func firstCost(r *Roster, req *Request, i int, st *ServerState) float64 {
	sr := search{r: r, req: req}
	ms, ok := sr.firstHopCost(&r.candidates[i], st)
	if !ok {
		return math.Inf(1)
	}
	return ms
}

// cheapest returns the cost of the cheapest path, found by comparing each engine with every other
// one, layer by layer.
func cheapest(r *Roster, req Request, states []ServerState, suspects bool) float64 {
	cost := make([]float64, r.Len()) // of the cheapest partial path that ends with an engine
	for i := range cost {
		cost[i] = math.Inf(1)
	}
	best := math.Inf(1)
	for to := 1; to <= r.engine.Layers; to++ {
		for i := range r.candidates {
			s, st := r.candidates[i].Server, &states[i]
			if s.Layers.To != to || st.Excluded || st.Suspect && !suspects {
				continue
			}
			cost[i] = firstCost(r, &req, i, st) + hopCost(r, &req, i, st, s.Layers.Len(), nil)
			for j := range r.candidates {
				before := r.candidates[j].Server
				if at := before.Layers.To; at >= s.Layers.From && at < to && at > 0 {
					cost[i] = min(cost[i], cost[j]+hopCost(r, &req, i, st, to-at, &before.Domain))
				}
			}
			if to == r.engine.Layers {
				best = min(best, cost[i])
			}
		}
	}
	return best
}

// costOf returns the cost of a path.
func costOf(r *Roster, req Request, states []ServerState, path fleet.Path) float64 {
	total := 0.0
	var before *state.FailureDomain
	for k, h := range path {
		i, _ := r.IndexAt(h.Address)
		if k == 0 {
			total += firstCost(r, &req, i, &states[i])
		}
		total += hopCost(r, &req, i, &states[i], h.Layers.Len(), before)
		before = &path[k].Domain
	}
	return total
}

// randomRoster generates engines in several domains with random states.
func randomRoster(t *rapid.T, n int) (*Roster, []ServerState) {
	servers := make([]fleet.Server, n)
	states := make([]ServerState, n)
	for i := range n {
		size := rapid.SampledFrom([]int{6, 9, 15}).Draw(t, "size")
		from := rapid.SampledFrom([]int{0, 6, 12, 21, 30, 44, 50, 60, 65, 71, 74}).Draw(t, "from")
		servers[i] = fleet.Server{
			ID: state.BackendID(fmt.Sprint(i)), Address: fmt.Sprint(i), Slots: 192,
			Kind:   rapid.SampledFrom([]string{"fast", "middle", "slow"}).Draw(t, "kind"),
			Domain: rapid.SampledFrom([]state.FailureDomain{"a", "b", "c"}).Draw(t, "domain"),
			Layers: fleet.Range{From: from, To: min(from+size, bigModel.Layers)},
		}
		states[i] = ServerState{
			Load: Load{
				Requests: rapid.Float64Range(0, 100).Draw(t, "requests"), FirstHopRequests: rapid.Float64Range(0, 300).Draw(t, "first"),
				Tokens: rapid.Float64Range(0, 2e5).Draw(t, "tokens"),
			},
			DelayMS:  rapid.Float64Range(0, 100).Draw(t, "delay"),
			Excluded: rapid.IntRange(0, 9).Draw(t, "barred") == 0, Suspect: rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
		}
	}
	return NewRoster(bigModel, servers), states
}

// TestChooseFindsTheCheapestPath compares Choose with an exhaustive search.
func TestChooseFindsTheCheapestPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roster, states := randomRoster(t, rapid.IntRange(0, 60).Draw(t, "cards"))
		r := Request{Domain: "a", PromptTokens: 700, MaxTokens: 500, LinkBacklog: func(x, y state.FailureDomain) float64 { return float64(len(x + y)) }}
		if rapid.Bool().Draw(t, "begins at few") {
			r.FirstHops = map[string]bool{"0": true, "1": true, "2": true}
		}
		suspects := rapid.Bool().Draw(t, "suspects")
		want := cheapest(roster, r, states, suspects)
		got, ok := roster.Choose(r, states, suspects)
		if ok == math.IsInf(want, 1) {
			t.Fatalf("got %v %v, the cheapest path costs %v", got, ok, want)
		}
		if !ok {
			return
		}
		if !got.Complete(bigModel.Layers) {
			t.Fatalf("incomplete path: %v", got)
		}
		if cost := costOf(roster, r, states, got); math.Abs(cost-want) > 1e-6 {
			t.Fatalf("%v costs %v, the cheapest path costs %v", got, cost, want)
		}
	})
}

// benchServers returns n engines in three domains in a typical layout.
func benchServers(n int) []fleet.Server {
	servers := make([]fleet.Server, n)
	for i := range servers {
		kind := i / 3 % 3
		size := []int{18, 10, 6}[kind]
		servers[i] = fleet.Server{
			ID: state.BackendID(fmt.Sprint(i)), Address: fmt.Sprint(i), Domain: state.FailureDomain("abc"[i%3 : i%3+1]),
			Kind: []string{"fast", "middle", "slow"}[kind], Slots: 192,
		}
		from := min(i/9*size%bigModel.Layers, bigModel.Layers-size)
		servers[i].Layers = fleet.Range{From: from, To: from + size}
	}
	return servers
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{45, 100, 1000, 3000, 12000} {
		b.Run(fmt.Sprintf("%d engines", n), func(b *testing.B) {
			roster := NewRoster(bigModel, benchServers(n))
			states := make([]ServerState, roster.Len())
			for i := range states {
				states[i].Load.Requests = float64(i % 10)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := roster.Choose(Request{Domain: "a", PromptTokens: 700, MaxTokens: 500}, states, false); !ok {
					b.Fatal("no path")
				}
			}
		})
	}
}

func BenchmarkNewRoster(b *testing.B) {
	for _, n := range []int{100, 3000} {
		servers := benchServers(n)
		b.Run(fmt.Sprintf("%d engines", n), func(b *testing.B) {
			for b.Loop() {
				NewRoster(bigModel, servers)
			}
		})
	}
}
