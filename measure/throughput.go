package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
)

// ThroughputConfig says how throughput is measured.
type ThroughputConfig struct {
	Layout       Layout
	Mix          Mix
	Daemons      int
	WarmUp       time.Duration // of each load, before its window
	Window       time.Duration // of each load
	OfferedLoads []float64     // loads, of the bound
	Seed         uint64
}

// DefaultThroughput is the published measurement.
func DefaultThroughput() ThroughputConfig {
	return ThroughputConfig{
		Layout: MixedLayout(), Mix: DefaultMix(), Daemons: 3, WarmUp: 6 * time.Second, Window: 12 * time.Second,
		OfferedLoads: []float64{0.5, 0.9, 1.2, 2}, Seed: 1,
	}
}

// Names of the ways that are compared.
const (
	StrategyDaemons    = "hibiscuswick"
	StrategyTwoChoices = "two choices, own counts"
)

// StrategyResult is what one way to spread requests showed.
type StrategyResult struct {
	Name   string       `json:"name"`
	Levels []LoadResult `json:"levels"`
}

// Goal is one aim and what was measured.
type Goal struct {
	Description string  `json:"what"`
	Limit       float64 `json:"limit"`
	Measured    float64 `json:"measured"`
	Met         bool    `json:"met"`
}

// Throughput is the result.
type Throughput struct {
	Machine       Machine `json:"machine"`
	Layout        Layout  `json:"layout"`
	Mix           Mix     `json:"mix"`
	Daemons       int     `json:"daemons"`
	WindowSeconds float64 `json:"window_seconds"`

	Bound        float64 `json:"bound_tokens_per_second"`
	RequestBound float64 `json:"bound_requests_per_second"`

	Strategies []StrategyResult `json:"ways"`
	Goals      []Goal           `json:"goals"`
}

// RunThroughput measures throughput and tells each step through say.
func RunThroughput(ctx context.Context, cfg ThroughputConfig, say func(string)) (Throughput, error) {
	bound := cfg.Layout.Bound()
	res := Throughput{
		Machine: thisMachine(), Layout: cfg.Layout, Mix: cfg.Mix, Daemons: cfg.Daemons, WindowSeconds: cfg.Window.Seconds(),
		Bound: bound, RequestBound: bound / cfg.Mix.MeanTokens(),
	}
	f, err := startFleet(ctx, cfg.Layout, cfg.Daemons, nil)
	if err != nil {
		return res, err
	}
	defer f.site.Close()
	m := &throughput{cfg: cfg, site: f.site, urls: f.urls(), say: say}
	res.Strategies = append(res.Strategies, m.way(ctx, StrategyDaemons, viaDaemons{f.callers(-1)}))
	base := newTwoChoices(f.site, cfg.Layout, cfg.Daemons, cfg.Seed)
	defer base.close()
	res.Strategies = append(res.Strategies, m.way(ctx, StrategyTwoChoices, base))
	res.Goals = throughputGoals(res.Strategies[0].Levels)
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
func (t *throughput) way(ctx context.Context, name string, s sender) StrategyResult {
	w := StrategyResult{Name: name}
	for _, offered := range t.cfg.OfferedLoads {
		lv := t.level(ctx, offered, s)
		t.say(name + ": " + lv.Summary())
		w.Levels = append(w.Levels, lv)
	}
	return w
}

func (t *throughput) level(ctx context.Context, offered float64, s sender) LoadResult {
	lv := LoadResult{Offered: offered}
	bound := t.cfg.Layout.Bound()
	violations := len(t.site.Ledger.Violations())
	l := load{
		mix: t.cfg.Mix, perSecond: offered * bound / t.cfg.Mix.MeanTokens(), warm: t.cfg.WarmUp, window: t.cfg.Window,
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
func throughputGoals(levels []LoadResult) []Goal {
	var saturated, twice *LoadResult
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
			atLeast("tokens at saturation, of the bound", goalRatio, saturated.TokenRatio),
			atMost("checks' first token at saturation, p95, ms", ms(goalFirst), check.FirstToken.P95),
			atMost("checks' time between tokens at saturation, p95, ms", ms(goalBetween), check.BetweenTokens.P95),
			atMost("drafts' time between tokens at saturation, p95, ms", ms(goalBetween), draft.BetweenTokens.P95))
	}
	if twice != nil && peak > 0 {
		out = append(out, atLeast("goodput at twice the bound, of its peak", goalGoodput, twice.Goodput/peak))
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func atLeast(what string, limit, measured float64) Goal {
	return Goal{Description: what, Limit: limit, Measured: measured, Met: measured >= limit}
}

func atMost(what string, limit, measured float64) Goal {
	return Goal{Description: what, Limit: limit, Measured: measured, Met: measured <= limit}
}
