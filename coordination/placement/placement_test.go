package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/placement"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// testLinkCost costs 0.1 within a failure domain, 1 between two, and 10 from or to
// the domain "slow".
func testLinkCost(a, b state.FailureDomain) float64 {
	switch {
	case a == b:
		return 0.1
	case a == "slow" || b == "slow":
		return 10
	default:
		return 1
	}
}

// bruteForce returns the smallest bottleneck over all splits of the layers over
// the candidates in order, each of which may be skipped.
func bruteForce(layers int, kinds []placement.Kind, servers []*placement.Server) float64 {
	best := math.Inf(1)
	var try func(next, first, last, held int, worst float64)
	try = func(next, first, last, held int, worst float64) {
		if first == layers {
			best = min(best, max(worst, float64(held)/kinds[last].Speed))
			return
		}
		for j := next; j < len(servers); j++ {
			bottleneck := worst
			if last >= 0 {
				bottleneck = max(bottleneck, float64(held)/kinds[last].Speed+testLinkCost(servers[last].Domain, servers[j].Domain))
			}
			for n := 1; n <= min(kinds[j].MemoryLayers, layers-first); n++ {
				try(j+1, first+n, j, n, bottleneck)
			}
		}
	}
	try(0, 0, -1, 0, 0)
	return best
}

func drawCandidates(t *rapid.T, most int, domains ...state.FailureDomain) (int, []placement.Kind, []*placement.Server) {
	var kinds []placement.Kind
	var servers []*placement.Server
	for i := range rapid.IntRange(1, most).Draw(t, "servers") {
		k := placement.Kind{
			Speed:        rapid.SampledFrom([]float64{1, 0.8, 0.5, 0.25, 0.1}).Draw(t, "speed"),
			MemoryLayers: rapid.IntRange(1, 6).Draw(t, "memory"),
		}
		k.Name = fmt.Sprint(k.Speed, k.MemoryLayers)
		kinds = append(kinds, k)
		servers = append(servers, &placement.Server{
			ID: state.BackendID(fmt.Sprint("b", i)), Kind: k.Name,
			Domain: rapid.SampledFrom(domains).Draw(t, "domain"),
		})
	}
	return rapid.IntRange(1, 9).Draw(t, "layers"), kinds, servers
}

// TestSplitIsExact compares the dynamic program with brute force.
func TestSplitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, kinds, servers := drawCandidates(t, 5, "a", "b", "slow")
		stages, got := placement.Split(layers, kinds, servers, testLinkCost)
		if want := bruteForce(layers, kinds, servers); got != want {
			t.Fatalf("bottleneck %v, brute force %v", got, want)
		}
		if math.IsInf(got, 1) {
			return
		}
		next := 0
		for _, s := range stages {
			if s.Layers.First != next || s.Layers.Len() < 1 {
				t.Fatalf("stages %v", stages)
			}
			next = s.Layers.End
		}
		if next != layers {
			t.Fatalf("stages %v of %d layers", stages, layers)
		}
	})
}

// TestSplitAnyOrderIsExactInADomain compares with brute force over all orders.
func TestSplitAnyOrderIsExactInADomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, kinds, servers := drawCandidates(t, 4, "a")
		_, got := placement.SplitAnyOrder(layers, kinds, servers, testLinkCost)
		want := math.Inf(1)
		permute(len(servers), func(order []int) {
			ks, ss := make([]placement.Kind, len(order)), make([]*placement.Server, len(order))
			for i, o := range order {
				ks[i], ss[i] = kinds[o], servers[o]
			}
			want = min(want, bruteForce(layers, ks, ss))
		})
		if got != want {
			t.Fatalf("bottleneck %v, brute force %v", got, want)
		}
	})
}

func permute(n int, visit func([]int)) {
	order := make([]int, 0, n)
	used := make([]bool, n)
	var rec func()
	rec = func() {
		if len(order) == n {
			visit(order)
		}
		for i := range n {
			if !used[i] {
				used[i], order = true, append(order, i)
				rec()
				used[i], order = false, order[:len(order)-1]
			}
		}
	}
	rec()
}

// newSite returns an input with servers of five kinds, spread over the domains,
// which are spread over the regions.
func newSite(servers, services, domains, regions, layers, replicas int) placement.Input {
	in := placement.Input{LinkCost: testLinkCost}
	kinds := []placement.Kind{
		{Name: "k0", Speed: 1, MemoryLayers: 40}, {Name: "k1", Speed: 0.8, MemoryLayers: 30},
		{Name: "k2", Speed: 0.5, MemoryLayers: 24}, {Name: "k3", Speed: 0.3, MemoryLayers: 16},
		{Name: "k4", Speed: 0.15, MemoryLayers: 12},
	}
	for i := range services {
		in.Services = append(in.Services, placement.Service{
			ID: state.ServiceID(fmt.Sprintf("s%02d", i)), Model: "m", Version: "1",
			Layers: layers, Replicas: replicas, Kinds: kinds,
		})
	}
	for i := range servers {
		d := i % domains
		in.Servers = append(in.Servers, placement.Server{
			ID: state.BackendID(fmt.Sprintf("b%05d", i)), Kind: kinds[(i/domains)%5].Name,
			Domain: state.FailureDomain(fmt.Sprintf("d%02d", d)), Region: state.Region(fmt.Sprintf("r%d", d%regions)),
		})
	}
	return in
}

// without returns the input without the servers for which lost returns true.
func without(in placement.Input, lost func(placement.Server) bool) placement.Input {
	out := in
	out.Servers = nil
	for _, s := range in.Servers {
		if !lost(s) {
			out.Servers = append(out.Servers, s)
		}
	}
	return out
}

// findFault describes an error in a layout, or returns "". It looks for layers that
// are missing or held twice, servers that are gone, used twice or too small, and
// chains that span several regions.
func findFault(l placement.Layout, in placement.Input) string {
	servers := map[state.BackendID]placement.Server{}
	for _, s := range in.Servers {
		servers[s.ID] = s
	}
	used := map[state.BackendID]bool{}
	for _, c := range l.Chains {
		next := 0
		var region state.Region
		for i, st := range c.Stages {
			sv, ok := servers[st.Backend]
			switch {
			case !ok || used[st.Backend]:
				return fmt.Sprintf("server %s is gone or used twice", st.Backend)
			case st.Layers.First != next || st.Layers.Len() < 1:
				return fmt.Sprintf("stages %v", c.Stages)
			case i > 0 && sv.Region != region:
				return fmt.Sprintf("chain across regions: %v", c.Stages)
			}
			for _, k := range in.Services[0].Kinds {
				if k.Name == sv.Kind && k.MemoryLayers < st.Layers.Len() {
					return fmt.Sprintf("%s has not enough memory for %v", sv.ID, st.Layers)
				}
			}
			used[st.Backend], region, next = true, sv.Region, st.Layers.End
		}
		if next != in.Services[0].Layers {
			return fmt.Sprintf("stages %v end early", c.Stages)
		}
	}
	return ""
}

// TestRepairKeepsSurvivors removes random servers, adds others, and checks that
// the repaired layout is valid and that complete chains were not changed.
func TestRepairKeepsSurvivors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := newSite(rapid.IntRange(20, 120).Draw(t, "servers"), 2, 4, 2, 60, rapid.IntRange(1, 8).Draw(t, "replicas"))
		joined := map[state.BackendID]bool{}
		for _, s := range full.Servers {
			if rapid.IntRange(0, 9).Draw(t, "joins") == 0 {
				joined[s.ID] = true
			}
		}
		old := placement.Plan(without(full, func(s placement.Server) bool { return joined[s.ID] }))
		if f := findFault(old, full); f != "" {
			t.Fatal(f)
		}
		dead := map[state.BackendID]bool{}
		for _, s := range full.Servers {
			if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
				dead[s.ID] = true
			}
		}
		in := without(full, func(s placement.Server) bool { return dead[s.ID] })
		l := placement.Repair(old, in)
		if f := findFault(l, in); f != "" {
			t.Fatal(f)
		}
		kept := map[string]bool{}
		for _, c := range l.Chains {
			kept[fmt.Sprint(c.Stages)] = true
		}
		for _, c := range old.Chains {
			complete := true
			for _, st := range c.Stages {
				complete = complete && !dead[st.Backend]
			}
			if complete && !kept[fmt.Sprint(c.Stages)] {
				t.Fatalf("a complete chain was changed: %v", c.Stages)
			}
		}
	})
}

var _ = Describe("repair", func() {
	// One stage of a chain dies while there are spare servers. Callers wait until
	// the chain is complete again; loading the entire model would take several
	// times as long and use the weight store's entire bandwidth.
	It("loads only the lost stage's layers", Label("failure:stage-dies-mid-stream"), func() {
		in := newSite(60, 1, 3, 1, 80, 4)
		old := placement.Plan(in)
		victim := old.Chains[0].Stages[0]
		now := without(in, func(s placement.Server) bool { return s.ID == victim.Backend })
		l := placement.Repair(old, now)
		Expect(findFault(l, now)).To(BeEmpty())
		Expect(l.Missing).To(BeEmpty())
		Expect(l.LayersToLoad(old)).To(Equal(victim.Layers.Len()))
	})

	// The same without a spare server: the layers go to the neighbors' free memory.
	It("uses the neighbors' memory when there is no spare", Label("failure:stage-dies-mid-stream"), func() {
		in := newSite(10, 1, 1, 1, 60, 2)
		in.Services[0].Kinds = []placement.Kind{{Name: "k0", Speed: 1, MemoryLayers: 40}, {Name: "k1", Speed: 1, MemoryLayers: 40}}
		in.Servers = in.Servers[:0]
		for i := range 3 {
			in.Servers = append(in.Servers, placement.Server{ID: state.BackendID(fmt.Sprint("b", i)), Kind: "k0", Domain: "a", Region: "r"})
		}
		in.Services[0].Replicas = 1
		old := placement.Layout{Chains: []placement.Chain{{Service: "s00", Model: "m", Version: "1", Stages: []placement.Stage{
			{Backend: "b0", Layers: state.LayerRange{First: 0, End: 20}},
			{Backend: "b1", Layers: state.LayerRange{First: 20, End: 40}},
			{Backend: "b2", Layers: state.LayerRange{First: 40, End: 60}},
		}}}}
		now := without(in, func(s placement.Server) bool { return s.ID == "b1" })
		l := placement.Repair(old, now)
		Expect(findFault(l, now)).To(BeEmpty())
		Expect(l.Chains).To(HaveLen(1))
		Expect(l.LayersToLoad(old)).To(Equal(20))
	})

	// An instance joins a site under full load. No serving chain may change; the
	// new servers are used for missing replicas or stay spare.
	It("moves nothing for a server that joins", Label("failure:instance-joins-under-load"), func() {
		in := newSite(60, 2, 3, 1, 80, 4)
		before := without(in, func(s placement.Server) bool { return s.ID >= "b00040" })
		old := placement.Plan(before)
		l := placement.Repair(old, in)
		Expect(l.LayersToLoad(placement.Layout{Chains: l.Chains[:len(old.Chains)]})).To(
			Equal(80 * (len(l.Chains) - len(old.Chains))))
		for _, c := range old.Chains {
			Expect(l.Chains).To(ContainElement(c))
		}
	})

	// A link degrades and recovers repeatedly. Each load that it causes would take
	// longer than the degradation. Only a lasting degradation is worth a move, and
	// after a move there is none for the cooldown.
	It("does not move chains for a link that flaps", Label("failure:link-degrades"), func() {
		h := placement.Hysteresis{Ratio: 1.5, MinDuration: 30 * time.Second, Cooldown: 10 * time.Minute}
		now, moves := time.Unix(0, 0), 0
		observe := func(seconds int, current, best float64) {
			for range seconds {
				now = now.Add(time.Second)
				if h.Observe(now, current, best) {
					moves++
				}
			}
		}
		for range 100 {
			observe(20, 100, 30)
			observe(5, 30, 30)
		}
		Expect(moves).To(Equal(0))
		observe(60, 100, 30)
		Expect(moves).To(Equal(1))
		observe(300, 100, 30)
		Expect(moves).To(Equal(1), "within the cooldown")
	})

	// The link between two parts of one chain stays degraded. That chain is moved
	// and no other.
	It("moves the chain that a degraded link slows, and no other", Label("failure:link-degrades"), func() {
		in := newSite(60, 1, 2, 1, 80, 3)
		old := placement.Plan(in)
		st := slices.Clone(old.Chains[0].Stages)
		at := slices.IndexFunc(in.Servers, func(s placement.Server) bool { return s.ID == st[0].Backend })
		st[0].Backend = spare(in, old, in.Servers[at].Kind, in.Servers[at].Domain)
		old.Chains[0].Stages = st
		in.LinkCost = func(a, b state.FailureDomain) float64 {
			return lo.Ternary(a == b, 0.1, 500)
		}
		Expect(placement.Rebalance(old, in, 1e6, 10).LayersToLoad(old)).To(Equal(0), "below the ratio")
		l := placement.Rebalance(old, in, 1.5, 10)
		Expect(findFault(l, in)).To(BeEmpty())
		for _, c := range l.Chains {
			Expect(c.Bottleneck).To(BeNumerically("<", 500))
		}
		for _, c := range old.Chains[1:] {
			Expect(l.Chains).To(ContainElement(HaveField("Stages", c.Stages)))
		}
	})
})

// spare returns an unused server of a kind in another domain.
func spare(in placement.Input, l placement.Layout, kind string, not state.FailureDomain) state.BackendID {
	used := map[state.BackendID]bool{}
	for _, c := range l.Chains {
		for _, st := range c.Stages {
			used[st.Backend] = true
		}
	}
	for _, s := range in.Servers {
		if !used[s.ID] && s.Kind == kind && s.Domain != not {
			return s.ID
		}
	}
	return ""
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{750, 3000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := newSite(n, 15, 17, 6, 80, n/90)
			b.ReportAllocs()
			for b.Loop() {
				l := placement.Plan(in)
				b.ReportMetric(float64(len(l.Chains)), "chains")
			}
		})
	}
}

// BenchmarkPlanShort requests more replicas than fit, so that groups of mixed
// kinds are searched too.
func BenchmarkPlanShort(b *testing.B) {
	in := newSite(12000, 15, 17, 6, 80, 12000/30)
	b.ReportAllocs()
	for b.Loop() {
		l := placement.Plan(in)
		b.ReportMetric(float64(len(l.Chains)), "chains")
	}
}

func BenchmarkRepairOfADomain(b *testing.B) {
	in := newSite(12000, 15, 17, 6, 80, 12000/90)
	old := placement.Plan(in)
	now := without(in, func(s placement.Server) bool { return s.Domain == "d03" })
	b.ReportAllocs()
	for b.Loop() {
		l := placement.Repair(old, now)
		b.ReportMetric(float64(l.LayersToLoad(old)), "layers-loaded")
		b.ReportMetric(float64(len(old.Chains)-len(l.Chains)), "chains-lost")
	}
}
