package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// ThroughputConfig configures the throughput measurement.
type ThroughputConfig struct {
	Layout       Layout
	Mix          Mix
	Daemons      int
	WarmUp       time.Duration // before the window of each load
	Window       time.Duration // measurement window of each load
	OfferedLoads []float64     // as shares of the bound
	Seed         uint64
	Log          *telemetry.Log // of the daemons; nil discards it
}

// DefaultThroughput returns the configuration of the published results.
func DefaultThroughput() ThroughputConfig {
	return ThroughputConfig{
		Layout: MixedLayout(), Mix: DefaultMix(), Daemons: 3, WarmUp: 6 * time.Second, Window: 12 * time.Second,
		OfferedLoads: []float64{0.5, 0.9, 1.2, 2}, Seed: 1,
	}
}

// Names of the strategies that are compared.
const (
	StrategyDaemons    = "hibiscuswick"
	StrategyTwoChoices = "two choices, own counts"
)

// StrategyResult is the result of one strategy of distributing requests.
type StrategyResult struct {
	Name   string       `json:"name"`
	Levels []LoadResult `json:"levels"`
}

// Goal is a target and the measured value.
type Goal struct {
	Description string  `json:"what"`
	Limit       float64 `json:"limit"`
	Measured    float64 `json:"measured"`
	Met         bool    `json:"met"`
}

// Throughput is the result of the throughput measurement.
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

// RunThroughput measures throughput and reports each step through report.
func RunThroughput(ctx context.Context, cfg ThroughputConfig, report func(string)) (Throughput, error) {
	bound := cfg.Layout.Bound()
	res := Throughput{
		Machine: currentMachine(), Layout: cfg.Layout, Mix: cfg.Mix, Daemons: cfg.Daemons, WindowSeconds: cfg.Window.Seconds(),
		Bound: bound, RequestBound: bound / cfg.Mix.MeanTokens(),
	}
	f, err := startCluster(ctx, cfg.Log, cfg.Layout, cfg.Daemons, nil)
	if err != nil {
		return res, err
	}
	defer f.site.Close()
	m := &throughput{cfg: cfg, site: f.site, urls: f.urls(), report: report}
	res.Strategies = append(res.Strategies, m.measureStrategy(ctx, StrategyDaemons, daemonSender{f.callers(-1)}))
	baseline := newTwoChoices(f.site, cfg.Layout, cfg.Daemons, cfg.Seed)
	defer baseline.close()
	res.Strategies = append(res.Strategies, m.measureStrategy(ctx, StrategyTwoChoices, baseline))
	res.Goals = throughputGoals(res.Strategies[0].Levels)
	return res, ctx.Err()
}

// throughput is one run of the throughput measurement.
type throughput struct {
	cfg       ThroughputConfig
	site      *site.Site
	urls      []string
	report    func(string)
	sentCount int
}

// measureStrategy offers all loads to one strategy, one after another.
func (t *throughput) measureStrategy(ctx context.Context, name string, s requestSender) StrategyResult {
	w := StrategyResult{Name: name}
	for _, offered := range t.cfg.OfferedLoads {
		lr := t.measureLoad(ctx, offered, s)
		t.report(name + ": " + lr.Summary())
		w.Levels = append(w.Levels, lr)
	}
	return w
}

func (t *throughput) measureLoad(ctx context.Context, offered float64, s requestSender) LoadResult {
	lr := LoadResult{Offered: offered}
	bound := t.cfg.Layout.Bound()
	violations := len(t.site.Ledger.Violations())
	l := load{
		mix: t.cfg.Mix, perSecond: offered * bound / t.cfg.Mix.MeanTokens(), warmUp: t.cfg.WarmUp, window: t.cfg.Window,
		rng: rand.New(rand.NewPCG(t.cfg.Seed, uint64(offered*1000))), firstNumber: t.sentCount,
	}
	seen, opened, closed := l.run(ctx, s, func() func() {
		used := startUsage(ctx, t.urls)
		return func() { lr.CPUShare, lr.ControlShare = used.end(ctx) }
	})
	t.sentCount += len(seen)
	lr.evaluate(seen, opened, closed, bound, t.cfg.Mix.MeanTokens())
	lr.checkLedger(seen, t.site.Ledger)
	lr.Violations = len(t.site.Ledger.Violations()) - violations
	return lr
}

// throughputGoals compares the results with the goals. The load at saturation is the
// smallest one that is not below the bound.
func throughputGoals(levels []LoadResult) []Goal {
	var saturated, twice *LoadResult
	peak := 0.0
	for i := range levels {
		lr := &levels[i]
		peak = max(peak, lr.Goodput)
		if lr.Offered >= 1 && (saturated == nil || lr.Offered < saturated.Offered) {
			saturated = lr
		}
		if lr.Offered == 2 {
			twice = lr
		}
	}
	var out []Goal
	if saturated != nil {
		check, draft := saturated.Classes[0], saturated.Classes[1]
		out = append(out,
			atLeast("tokens at saturation, of the bound", goalTokenRatio, saturated.TokenRatio),
			atMost("checks' first token at saturation, p95, ms", milliseconds(goalFirstToken), check.FirstToken.P95),
			atMost("checks' time between tokens at saturation, p95, ms", milliseconds(goalBetweenTokens), check.BetweenTokens.P95),
			atMost("drafts' time between tokens at saturation, p95, ms", milliseconds(goalBetweenTokens), draft.BetweenTokens.P95))
	}
	if twice != nil && peak > 0 {
		out = append(out, atLeast("goodput at twice the bound, of its peak", goalGoodput, twice.Goodput/peak))
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func atLeast(what string, limit, measured float64) Goal {
	return Goal{Description: what, Limit: limit, Measured: measured, Met: measured >= limit}
}

func atMost(what string, limit, measured float64) Goal {
	return Goal{Description: what, Limit: limit, Measured: measured, Met: measured <= limit}
}
