package placement

import (
	"math"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Split assigns layers [0, layers) to a subset of the candidates, in their given
// order. It returns the stages with the smallest possible bottleneck, and that
// bottleneck. It returns no stages if the memory does not suffice.
//
// It is an exact dynamic program: start[j][l] is the smallest bottleneck of the
// stages before candidate j when j starts at layer l, their transfers included.
// The transfer out of a stage depends only on the next candidate, so the optimum
// of a longer chain consists of optima of shorter ones. With k candidates, n
// layers and m layers of memory it takes O(k*k*n*m) steps.
func Split(layers int, kinds []Kind, servers []*Server, links LinkCost) ([]Stage, float64) {
	k := len(servers)
	start := newCostTable(k, layers)
	for j := range servers {
		start.cost[start.index(j, 0)] = 0
		for i := range j {
			transfer := links(servers[i].Domain, servers[j].Domain)
			start.extendFrom(i, j, kinds[i], transfer)
		}
	}
	best, last, from := math.Inf(1), -1, 0
	for j := range servers {
		for n := 1; n <= min(kinds[j].MemoryLayers, layers); n++ {
			c := max(start.cost[start.index(j, layers-n)], float64(n)/kinds[j].Speed)
			if c < best {
				best, last, from = c, j, layers-n
			}
		}
	}
	if last < 0 {
		return nil, math.Inf(1)
	}
	return start.traceBack(servers, last, from), best
}

// costTable is the table of the dynamic program, with one cell per candidate and
// first layer.
type costTable struct {
	layers int
	cost   []float64
	prev   []predecessor
}

// predecessor is the previous cell: the previous candidate and its first layer.
type predecessor struct{ candidate, first int }

func newCostTable(k, layers int) *costTable {
	t := &costTable{
		layers: layers,
		cost:   make([]float64, k*layers),
		prev:   make([]predecessor, k*layers),
	}
	for i := range t.cost {
		t.cost[i] = math.Inf(1)
	}
	return t
}

func (t *costTable) index(candidate, first int) int {
	return candidate*t.layers + first
}

// extendFrom tries every range on candidate i after which candidate j continues.
func (t *costTable) extendFrom(i, j int, kind Kind, transfer float64) {
	for l := range t.layers - 1 {
		before := t.cost[t.index(i, l)]
		if math.IsInf(before, 1) {
			continue
		}
		for n := 1; n <= kind.MemoryLayers && l+n < t.layers; n++ {
			c := max(before, float64(n)/kind.Speed+transfer)
			cell := t.index(j, l+n)
			if c < t.cost[cell] {
				t.cost[cell] = c
				t.prev[cell] = predecessor{i, l}
			}
		}
	}
}

// traceBack returns the stages of the chain whose last stage starts at layer first
// on candidate last.
func (t *costTable) traceBack(servers []*Server, last, first int) []Stage {
	var reversed []Stage
	end := t.layers
	for {
		reversed = append(reversed, Stage{
			Backend: servers[last].ID,
			Layers:  state.LayerRange{First: first, End: end},
		})
		if first == 0 {
			break
		}
		end = first
		b := t.prev[t.index(last, first)]
		last, first = b.candidate, b.first
	}
	stages := make([]Stage, len(reversed))
	for i, st := range reversed {
		stages[len(reversed)-1-i] = st
	}
	return stages
}

// SplitAnyOrder returns the best result of Split over every choice of the last
// stage, whose output needs no transfer. If all candidates are in one failure
// domain no other order matters, so the result is the optimum over all orders. The
// candidates should be grouped by domain.
func SplitAnyOrder(layers int, kinds []Kind, servers []*Server, links LinkCost) ([]Stage, float64) {
	stages, best := Split(layers, kinds, servers, links)
	ks, ss := make([]Kind, len(kinds)), make([]*Server, len(servers))
	tried := map[string]bool{}
	for last := range servers[:len(servers)-1] {
		key := servers[last].Kind + "\x00" + string(servers[last].Domain)
		if tried[key] {
			continue
		}
		tried[key] = true
		moveLast(ks, kinds, last)
		moveLast(ss, servers, last)
		if st, c := Split(layers, ks, ss, links); c < best {
			stages, best = st, c
		}
	}
	return stages, best
}

// moveLast copies src to dst and moves element i to the end.
func moveLast[T any](dst, src []T, i int) {
	n := copy(dst, src[:i])
	copy(dst[n:], src[i+1:])
	dst[len(dst)-1] = src[i]
}
