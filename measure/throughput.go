package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
)

// ThroughputConfig says how throughput is measured.
type ThroughputConfig struct {
	Layout  Layout
	Mix     Mix
	Daemons int
	Warm    time.Duration // of each load, before its window
	Window  time.Duration // of each load
	Offered []float64     // loads, of the bound
	Seed    uint64
}

// DefaultThroughput is the published measurement.
func DefaultThroughput() ThroughputConfig {
	return ThroughputConfig{
		Layout: Mixed(), Mix: DefaultMix(), Daemons: 3, Warm: 6 * time.Second, Window: 12 * time.Second,
		Offered: []float64{0.5, 0.9, 1.2, 2}, Seed: 1,
	}
}

// Names of the ways that are compared.
const (
	WayDaemons    = "hibiscuswick"
	WayTwoChoices = "two choices, own counts"
)

// Way is what one way to spread requests showed.
type Way struct {
	Name   string  `json:"name"`
	Levels []Level `json:"levels"`
}

// Goal is one aim and what was measured.
type Goal struct {
	What     string  `json:"what"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

// Throughput is the result.
type Throughput struct {
	Machine Machine `json:"machine"`
	Layout  Layout  `json:"layout"`
	Mix     Mix     `json:"mix"`
	Daemons int     `json:"daemons"`
	Seconds float64 `json:"window_seconds"`

	Bound        float64 `json:"bound_tokens_per_second"`
	RequestBound float64 `json:"bound_requests_per_second"`

	Ways  []Way  `json:"ways"`
	Goals []Goal `json:"goals"`
}

// RunThroughput measures throughput and tells each step through say.
func RunThroughput(ctx context.Context, cfg ThroughputConfig, say func(string)) (Throughput, error) {
	bound := cfg.Layout.Bound()
	res := Throughput{
		Machine: thisMachine(), Layout: cfg.Layout, Mix: cfg.Mix, Daemons: cfg.Daemons, Seconds: cfg.Window.Seconds(),
		Bound: bound, RequestBound: bound / cfg.Mix.MeanTokens(),
	}
	f, err := startFleet(ctx, cfg.Layout, cfg.Daemons, nil)
	if err != nil {
		return res, err
	}
	defer f.site.Close()
	m := &throughput{cfg: cfg, site: f.site, urls: f.urls(), say: say}
	res.Ways = append(res.Ways, m.way(ctx, WayDaemons, viaDaemons{f.callers(-1)}))
	base := newTwoChoices(f.site, cfg.Layout, cfg.Daemons, cfg.Seed)
	defer base.close()
	res.Ways = append(res.Ways, m.way(ctx, WayTwoChoices, base))
	res.Goals = throughputGoals(res.Ways[0].Levels)
	return res, ctx.Err()
}

// throughput is one run.
type throughput struct {
	cfg  ThroughputConfig
	site *site.Site
	urls []string
	say  func(string)
	sent int
}

// way offers every load, one after another.
func (t *throughput) way(ctx context.Context, name string, s sender) Way {
	w := Way{Name: name}
	for _, offered := range t.cfg.Offered {
		lv := t.level(ctx, offered, s)
		t.say(name + ": " + lv.Summary())
		w.Levels = append(w.Levels, lv)
	}
	return w
}

func (t *throughput) level(ctx context.Context, offered float64, s sender) Level {
	lv := Level{Offered: offered}
	bound := t.cfg.Layout.Bound()
	violations := len(t.site.Ledger.Violations())
	l := load{
		mix: t.cfg.Mix, perSecond: offered * bound / t.cfg.Mix.MeanTokens(), warm: t.cfg.Warm, window: t.cfg.Window,
		rng: rand.New(rand.NewPCG(t.cfg.Seed, uint64(offered*1000))), first: t.sent,
	}
	seen, opened, closed := l.run(ctx, s, func() func() {
		used := beginUsage(ctx, t.urls)
		return func() { lv.CPUShare, lv.ControlShare = used.end(ctx) }
	})
	t.sent += len(seen)
	lv.evaluate(seen, opened, closed, bound, t.cfg.Mix.MeanTokens())
	lv.prove(seen, t.site.Ledger)
	lv.Violations = len(t.site.Ledger.Violations()) - violations
	return lv
}

// throughputGoals compares with the goals. The load of saturation is the one
// nearest above the bound.
func throughputGoals(levels []Level) []Goal {
	var saturated, twice *Level
	peak := 0.0
	for i := range levels {
		lv := &levels[i]
		peak = max(peak, lv.Goodput)
		if lv.Offered >= 1 && (saturated == nil || lv.Offered < saturated.Offered) {
			saturated = lv
		}
		if lv.Offered == 2 {
			twice = lv
		}
	}
	var out []Goal
	if saturated != nil {
		check, draft := saturated.Classes[0], saturated.Classes[1]
		out = append(out,
			atLeast("tokens at saturation, of the bound", goalRatio, saturated.Ratio),
			atMost("checks' first token at saturation, p95, ms", ms(goalFirst), check.First.P95),
			atMost("checks' time between tokens at saturation, p95, ms", ms(goalBetween), check.Between.P95),
			atMost("drafts' time between tokens at saturation, p95, ms", ms(goalBetween), draft.Between.P95))
	}
	if twice != nil && peak > 0 {
		out = append(out, atLeast("goodput at twice the bound, of its peak", goalGoodput, twice.Goodput/peak))
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func atLeast(what string, limit, measured float64) Goal {
	return Goal{What: what, Limit: limit, Measured: measured, Met: measured >= limit}
}

func atMost(what string, limit, measured float64) Goal {
	return Goal{What: what, Limit: limit, Measured: measured, Met: measured <= limit}
}
