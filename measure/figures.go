package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Range of the histograms in microseconds, and their precision.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Quantiles are quantiles of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// latencies is a histogram of durations.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

func (t latencies) add(d time.Duration) {
	us := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	_ = t.h.RecordValue(us) // never fails: the value is within the range
}

func (t latencies) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: t.h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(t.h.Max()) / 1000}
}

// ClassLatencies are the latencies of one class.
type ClassLatencies struct {
	Class         state.ClassID `json:"class"`
	FirstToken    Quantiles     `json:"first_token"`    // since the arrival
	BetweenTokens Quantiles     `json:"between_tokens"` // within one answer
	MissedShare   float64       `json:"missed"`         // share of requests not completed or with a late first token
}

// ReasonCount is the number of requests with one outcome and reason.
type ReasonCount struct {
	Outcome caller.Ending `json:"outcome"`
	Reason  state.Reason  `json:"reason"`
	Count   int           `json:"count"`
}

// LoadResult is the result of one offered load within its measurement window.
type LoadResult struct {
	Offered           float64          `json:"offered"` // of the bound
	Arrived           float64          `json:"arrived"` // of the bound: the requests that arrived within the window
	Requests          int              `json:"requests"`
	TokensPerSecond   float64          `json:"tokens_per_second"`
	TokenRatio        float64          `json:"ratio"` // of the bound
	RequestsPerSecond float64          `json:"requests_per_second"`
	RequestRatio      float64          `json:"request_ratio"`
	Goodput           float64          `json:"goodput_ratio"` // of the bound: tokens of complete answers with the first token in time
	PacedGoodput      float64          `json:"paced_ratio"`   // the part of Goodput with a mean time between tokens within the goal
	Classes           []ClassLatencies `json:"classes"`
	OtherOutcomes     []ReasonCount    `json:"ends,omitempty"` // of requests that were not completed
	WrongAnswers      int              `json:"lost"`           // reported as completed, but with wrong or missing tokens
	RefusedButRan     int              `json:"refused_but_ran"`
	Repeated          int              `json:"repeated"` // prompts that ran more than once
	Violations        int              `json:"layer_order_violations"`
	CPUShare          float64          `json:"cpu_share"`     // of all processors of the machine
	ControlShare      float64          `json:"control_share"` // of one core, for the control goroutine of the busiest daemon
}

// evaluate sets the results from the callers' observations within a window.
func (lr *LoadResult) evaluate(seen []*observation, opened, closed time.Time, bound, meanTokens float64) {
	inWindow := func(at time.Time) bool { return !at.Before(opened) && at.Before(closed) }
	var tokens, good, paced, ended int
	for _, o := range seen {
		n := 0
		for _, at := range o.tokens {
			if inWindow(at) {
				n++
			}
		}
		tokens += n
		if o.inTime() {
			good += n
		}
		if o.inTime() && o.meanTokenInterval() <= goalBetweenTokens {
			paced += n
		}
		if o.outcome == caller.EndCompleted && inWindow(o.tokens[len(o.tokens)-1]) {
			ended++
		}
	}
	window := closed.Sub(opened).Seconds()
	lr.TokensPerSecond = float64(tokens) / window
	lr.TokenRatio = lr.TokensPerSecond / bound
	lr.Goodput = float64(good) / window / bound
	lr.PacedGoodput = float64(paced) / window / bound
	lr.RequestsPerSecond = float64(ended) / window
	lr.RequestRatio = lr.RequestsPerSecond * meanTokens / bound
	arrived := slices.DeleteFunc(slices.Clone(seen), func(o *observation) bool { return !inWindow(o.arrived) })
	lr.Requests = len(arrived)
	for _, o := range arrived {
		lr.Arrived += float64(o.spec.tokens) / window / bound
	}
	lr.Classes = []ClassLatencies{classFigures(classCheck, arrived), classFigures(classDraft, arrived)}
	lr.OtherOutcomes = otherOutcomes(arrived)
}

// checkLedger counts deviations between the callers' outcomes and what the stand-ins
// ran.
func (lr *LoadResult) checkLedger(seen []*observation, ledger *standin.Ledger) {
	for _, o := range seen {
		runs := ledger.Runs(o.spec.prompt)
		switch {
		case o.outcome == caller.EndCompleted && !o.complete:
			lr.WrongAnswers++
		case o.outcome == caller.EndRefused && runs > 0:
			lr.RefusedButRan++
		}
		if runs > 1 {
			lr.Repeated++
		}
	}
}

func classFigures(class state.ClassID, seen []*observation) ClassLatencies {
	first, between := newLatencies(), newLatencies()
	all, missed := 0, 0
	for _, o := range seen {
		if o.spec.class != class {
			continue
		}
		all++
		if !o.inTime() {
			missed++
		}
		for i, at := range o.tokens {
			if i == 0 {
				first.add(at.Sub(o.arrived))
				continue
			}
			between.add(at.Sub(o.tokens[i-1]))
		}
	}
	f := ClassLatencies{Class: class, FirstToken: first.quantiles(), BetweenTokens: between.quantiles()}
	if all > 0 {
		f.MissedShare = float64(missed) / float64(all)
	}
	return f
}

func otherOutcomes(seen []*observation) []ReasonCount {
	counts := make(map[ending]int)
	for _, o := range seen {
		if o.outcome != caller.EndCompleted {
			counts[o.ending]++
		}
	}
	return reasonCounts(counts)
}

func reasonCounts(counts map[ending]int) []ReasonCount {
	var out []ReasonCount
	for e, n := range counts {
		out = append(out, ReasonCount{Outcome: e.outcome, Reason: e.reason, Count: n})
	}
	slices.SortFunc(out, func(a, b ReasonCount) int { return cmp.Compare(b.Count, a.Count) })
	return out
}
