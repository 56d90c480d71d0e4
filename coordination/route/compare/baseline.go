package compare

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Timing of the engines' load reports as daemons see them.
const (
	reportInterval = time.Second
	reportMinLag   = 500 * time.Millisecond // age of a new report; the oldest is 1 s older
)

// maxQueued is the limit of waiting jobs per engine and class. It is chosen so that all
// engines together queue about as many jobs as one home does.
const maxQueued = 7

// directPolicy is a policy in which each daemon chooses an engine by itself, and the
// engine queues by priority.
type directPolicy struct {
	loop          *Loop
	engines       []*Engine
	reportedLoads []int   // last reported load of each engine
	sentSince     [][]int // by daemon and engine, since the last report
	rng           *rand.Rand
	choose        func(d int) int
}

func newDirectPolicy(loop *Loop, engines []*Engine, daemons int, rng *rand.Rand) *directPolicy {
	p := &directPolicy{loop: loop, engines: engines, reportedLoads: make([]int, len(engines)), rng: rng}
	p.sentSince = make([][]int, daemons)
	for d := range p.sentSince {
		p.sentSince[d] = make([]int, len(engines))
	}
	p.sampleLoads()
	return p
}

// sampleLoads samples all loads and publishes them after the report lag.
func (p *directPolicy) sampleLoads() {
	loads := make([]int, len(p.engines))
	for i, e := range p.engines {
		loads[i] = e.Load()
	}
	p.loop.After(reportMinLag, func() {
		p.reportedLoads = loads
		for d := range p.sentSince {
			clear(p.sentSince[d])
		}
	})
	p.loop.After(reportInterval, p.sampleLoads)
}

// random chooses an engine at random, weighted by capacity.
func (p *directPolicy) random(int) int {
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

// twoChoices chooses two random engines and takes the one whose reported load is the
// smaller share of its capacity. With counting, the requests that this daemon has sent
// since the report are added.
func (p *directPolicy) twoChoices(counting bool) func(d int) int {
	return func(d int) int {
		a, b := p.random(d), p.random(d)
		if p.load(d, b, counting) < p.load(d, a, counting) {
			return b
		}
		return a
	}
}

func (p *directPolicy) load(d, i int, counting bool) float64 {
	n := p.reportedLoads[i] + 1
	if counting {
		n += p.sentSince[d][i]
	}
	e := p.engines[i]
	return float64(n) / (e.Spec.Speed * float64(e.Spec.Slots))
}

func (p *directPolicy) submit(d int, j *Job) {
	i := p.choose(d)
	p.sentSince[d][i]++
	if !p.engines[i].Submit(j, maxQueued) {
		j.Refused = state.ReasonQueueFull
		j.Ended(j)
	}
}
