package pathing

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var big = &fleet.Engine{Layers: 80, StepMS: 0.85, ActivateKB: 22.9, PipeMbps: 7900}

// reference is Choose by comparing each card with each other one.
func reference(e *fleet.Engine, cards []Card, r Request) (fleet.Path, bool) {
	order := usable(cards, &r)
	best := make([]reach, len(order))
	last, lastCost := -1, math.Inf(1)
	for i, c := range order {
		best[i] = first(e, c, &r)
		for j := range i {
			before := order[j].Server
			end := before.Layers.To
			if math.IsInf(best[j].cost, 1) || end < c.Server.Layers.From || end >= c.Server.Layers.To {
				continue
			}
			total := best[j].cost + cost(c, e, c.Server.Layers.To-end, &r)
			if before.Domain != c.Server.Domain {
				total += crossing(e, &r, before.Domain, c.Server.Domain)
			}
			if total < best[i].cost {
				best[i] = reach{cost: total, from: j, at: end}
			}
		}
		if c.Server.Layers.To >= e.Layers && best[i].cost < lastCost {
			last, lastCost = i, best[i].cost
		}
	}
	if last < 0 {
		return nil, false
	}
	return trace(e, order, best, last), true
}

// draw makes cards of several domains with any load.
func draw(t *rapid.T, n int) []Card {
	var cards []Card
	for i := range n {
		size := rapid.SampledFrom([]int{6, 9, 15}).Draw(t, "size")
		from := rapid.IntRange(0, big.Layers-size).Draw(t, "from")
		cards = append(cards, Card{
			Server: &fleet.Server{
				ID: state.BackendID(fmt.Sprint(i)), Address: fmt.Sprint(i), Slots: 192,
				Domain: rapid.SampledFrom([]state.FailureDomain{"a", "b", "c"}).Draw(t, "domain"),
				Layers: fleet.Range{From: from, To: from + size},
			},
			Kind: fleet.CardKind{Pace: rapid.Float64Range(3, 16).Draw(t, "pace")},
			Room: 100000,
			Load: Load{Requests: rapid.Float64Range(0, 100).Draw(t, "requests"), Tokens: rapid.Float64Range(0, 2e5).Draw(t, "tokens")},
		})
	}
	return cards
}

// The path is the cheapest one, however it is found.
func TestChooseFindsTheCheapestPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cards := draw(t, rapid.IntRange(0, 60).Draw(t, "cards"))
		r := Request{Domain: "a", Prompt: 700, Tokens: 900, Backlog: func(x, y state.FailureDomain) float64 { return float64(len(x + y)) }}
		want, wantOK := reference(big, cards, r)
		got, ok := Choose(big, cards, r)
		if ok != wantOK || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v %v, want %v %v", got, ok, want, wantOK)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{38, 1000} {
		b.Run(fmt.Sprintf("%d cards", n), func(b *testing.B) {
			var cards []Card
			for i := range n {
				size := []int{6, 9, 15}[i%3]
				from := i * 7 % (big.Layers - size + 1)
				cards = append(cards, Card{
					Server: &fleet.Server{Address: fmt.Sprint(i), Domain: state.FailureDomain("abc"[i%3 : i%3+1]), Layers: fleet.Range{From: from, To: from + size}},
					Kind:   fleet.CardKind{Pace: 5}, Room: 100000, Load: Load{Requests: float64(i % 10)},
				})
			}
			for b.Loop() {
				Choose(big, cards, Request{Domain: "a", Prompt: 700, Tokens: 900})
			}
		})
	}
}
