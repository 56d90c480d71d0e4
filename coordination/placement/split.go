package placement

import (
	"math"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Split lays layers [0, layers) over a subset of the candidates, in the order in
// which they stand, and returns the stages with the smallest bottleneck there is
// and that bottleneck. It returns no stage if their memory does not suffice.
//
// It is exact: start[j][l] is the smallest bottleneck of the stages before
// candidate j when j begins at layer l, their transfers included. The transfer
// out of a stage depends on the next candidate only, so the optimum of a longer
// chain is made of optima of shorter ones. With k candidates, n layers and m
// layers of memory it costs k*k*n*m steps.
func Split(layers int, kinds []Kind, servers []*Server, links LinkCost) ([]Stage, float64) {
	k := len(servers)
	start := newTable(k, layers)
	for j := range servers {
		start.cost[start.at(j, 0)] = 0
		for i := range j {
			transfer := links(servers[i].Domain, servers[j].Domain)
			start.extend(i, j, kinds[i], transfer)
		}
	}
	best, last, from := math.Inf(1), -1, 0
	for j := range servers {
		for n := 1; n <= min(kinds[j].MemoryLayers, layers); n++ {
			c := max(start.cost[start.at(j, layers-n)], float64(n)/kinds[j].Speed)
			if c < best {
				best, last, from = c, j, layers-n
			}
		}
	}
	if last < 0 {
		return nil, math.Inf(1)
	}
	return start.trace(servers, last, from), best
}

// table is the dynamic program's: one cell for each candidate and first layer.
type table struct {
	layers int
	cost   []float64
	back   []link
}

// link is the cell before: the previous candidate and its first layer.
type link struct{ candidate, first int }

func newTable(k, layers int) *table {
	t := &table{
		layers: layers,
		cost:   make([]float64, k*layers),
		back:   make([]link, k*layers),
	}
	for i := range t.cost {
		t.cost[i] = math.Inf(1)
	}
	return t
}

func (t *table) at(candidate, first int) int {
	return candidate*t.layers + first
}

// extend tries every range on candidate i that candidate j goes on from.
func (t *table) extend(i, j int, kind Kind, transfer float64) {
	for l := range t.layers - 1 {
		before := t.cost[t.at(i, l)]
		if math.IsInf(before, 1) {
			continue
		}
		for n := 1; n <= kind.MemoryLayers && l+n < t.layers; n++ {
			c := max(before, float64(n)/kind.Speed+transfer)
			cell := t.at(j, l+n)
			if c < t.cost[cell] {
				t.cost[cell] = c
				t.back[cell] = link{i, l}
			}
		}
	}
}

func (t *table) trace(servers []*Server, last, first int) []Stage {
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
		b := t.back[t.at(last, first)]
		last, first = b.candidate, b.first
	}
	stages := make([]Stage, len(reversed))
	for i, st := range reversed {
		stages[len(reversed)-1-i] = st
	}
	return stages
}

// SplitAnyOrder is Split over every choice of the last stage, whose output
// crosses no link. Where all candidates are of one failure domain no other
// order matters, so the result is the optimum over all orders. The candidates
// should stand grouped by domain.
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

// moveLast copies src to dst with element i moved to the end.
func moveLast[T any](dst, src []T, i int) {
	n := copy(dst, src[:i])
	copy(dst[n:], src[i+1:])
	dst[len(dst)-1] = src[i]
}
