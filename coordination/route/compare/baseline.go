package compare

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// The engines' load reports as daemons see them.
const (
	reportEvery  = time.Second
	reportMinLag = 500 * time.Millisecond // at its youngest; at its oldest 1 s more
)

// queueBound is each engine's bound of waiting jobs a class, so that all
// engines together queue about as many as one home does.
const queueBound = 7

// direct is a policy in which each daemon sends to an engine of its own choice,
// which queues by priority.
type direct struct {
	loop    *Loop
	engines []*Engine
	reports []int   // load of each engine, lagging
	sent    [][]int // by daemon and engine, since the last report
	rng     *rand.Rand
	choose  func(d int) int
}

func newDirect(loop *Loop, engines []*Engine, daemons int, rng *rand.Rand) *direct {
	p := &direct{loop: loop, engines: engines, reports: make([]int, len(engines)), rng: rng}
	p.sent = make([][]int, daemons)
	for d := range p.sent {
		p.sent[d] = make([]int, len(engines))
	}
	p.report()
	return p
}

// report samples all loads and shows them when the lag has passed.
func (p *direct) report() {
	loads := make([]int, len(p.engines))
	for i, e := range p.engines {
		loads[i] = e.Load()
	}
	p.loop.After(reportMinLag, func() {
		p.reports = loads
		for d := range p.sent {
			clear(p.sent[d])
		}
	})
	p.loop.After(reportEvery, p.report)
}

// random draws an engine by its capacity.
func (p *direct) random(int) int {
	total := 0.0
	for _, e := range p.engines {
		total += e.Spec.Speed * float64(e.Spec.Slots)
	}
	x := p.rng.Float64() * total
	for i, e := range p.engines {
		x -= e.Spec.Speed * float64(e.Spec.Slots)
		if x < 0 {
			return i
		}
	}
	return len(p.engines) - 1
}

// twoChoices draws two engines and takes the one whose reported load is the
// smaller share of its capacity. Counting adds what this daemon sent itself
// since the report.
func (p *direct) twoChoices(counting bool) func(d int) int {
	return func(d int) int {
		a, b := p.random(d), p.random(d)
		if p.load(d, b, counting) < p.load(d, a, counting) {
			return b
		}
		return a
	}
}

func (p *direct) load(d, i int, counting bool) float64 {
	n := p.reports[i] + 1
	if counting {
		n += p.sent[d][i]
	}
	e := p.engines[i]
	return float64(n) / (e.Spec.Speed * float64(e.Spec.Slots))
}

func (p *direct) submit(d int, j *Job) {
	i := p.choose(d)
	p.sent[d][i]++
	if !p.engines[i].Submit(j, queueBound) {
		j.Refused = state.ReasonQueueFull
		j.Ended(j)
	}
}
