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

// Bounds of the histograms, in microseconds.
const (
	leastRecorded = 1
	mostRecorded  = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Quantiles are of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// times records durations.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times {
	return times{hdrhistogram.New(leastRecorded, mostRecorded, digits)}
}

func (t times) add(d time.Duration) {
	us := min(max(d.Microseconds(), leastRecorded), mostRecorded)
	_ = t.h.RecordValue(us) // within the bounds, so that it is never refused
}

func (t times) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: t.h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(t.h.Max()) / 1000}
}

// ClassLatencies are the latencies of one class.
type ClassLatencies struct {
	Class         state.ClassID `json:"class"`
	FirstToken    Quantiles     `json:"first_token"`    // from the arrival
	BetweenTokens Quantiles     `json:"between_tokens"` // of one answer
	MissedShare   float64       `json:"missed"`         // share refused, or begun after the deadline
}

// ReasonCount counts the ends for one reason.
type ReasonCount struct {
	Outcome caller.Ending `json:"outcome"`
	Reason  state.Reason  `json:"reason"`
	Count   int           `json:"count"`
}

// LoadResult is what one offered load showed, within its window.
type LoadResult struct {
	Offered           float64          `json:"offered"` // of the bound
	Arrived           float64          `json:"arrived"` // of the bound: what came within the window
	Requests          int              `json:"requests"`
	TokensPerSecond   float64          `json:"tokens_per_second"`
	TokenRatio        float64          `json:"ratio"` // of the bound
	RequestsPerSecond float64          `json:"requests_per_second"`
	RequestRatio      float64          `json:"request_ratio"`
	Goodput           float64          `json:"goodput_ratio"` // tokens of whole answers begun in time
	PacedGoodput      float64          `json:"paced_ratio"`   // of those whose mean time between tokens is in the goal
	Classes           []ClassLatencies `json:"classes"`
	OtherOutcomes     []ReasonCount    `json:"ends,omitempty"` // other than whole answers
	WrongAnswers      int              `json:"lost"`           // told to be whole, but is not
	RefusedButRan     int              `json:"refused_but_ran"`
	Repeated          int              `json:"repeated"` // prompts that ran more than once
	Violations        int              `json:"layer_order_violations"`
	CPUShare          float64          `json:"cpu_share"`     // of the whole machine
	ControlShare      float64          `json:"control_share"` // of a core, the busiest daemon's
}

// evaluate fills in what the callers saw within a window.
func (lv *LoadResult) evaluate(seen []*observed, opened, closed time.Time, bound, meanTokens float64) {
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
		if o.good() {
			good += n
		}
		if o.good() && o.pace() <= goalBetween {
			paced += n
		}
		if o.outcome == caller.EndCompleted && inWindow(o.tokens[len(o.tokens)-1]) {
			ended++
		}
	}
	window := closed.Sub(opened).Seconds()
	lv.TokensPerSecond = float64(tokens) / window
	lv.TokenRatio = lv.TokensPerSecond / bound
	lv.Goodput = float64(good) / window / bound
	lv.PacedGoodput = float64(paced) / window / bound
	lv.RequestsPerSecond = float64(ended) / window
	lv.RequestRatio = lv.RequestsPerSecond * meanTokens / bound
	arrived := slices.DeleteFunc(slices.Clone(seen), func(o *observed) bool { return !inWindow(o.arrived) })
	lv.Requests = len(arrived)
	for _, o := range arrived {
		lv.Arrived += float64(o.work.tokens) / window / bound
	}
	lv.Classes = []ClassLatencies{classFigures(classCheck, arrived), classFigures(classDraft, arrived)}
	lv.OtherOutcomes = endsOf(arrived)
}

// prove counts what the stand-ins know better than the callers.
func (lv *LoadResult) prove(seen []*observed, ledger *standin.Ledger) {
	for _, o := range seen {
		runs := ledger.Runs(o.work.prompt)
		switch {
		case o.outcome == caller.EndCompleted && !o.whole:
			lv.WrongAnswers++
		case o.outcome == caller.EndRefused && runs > 0:
			lv.RefusedButRan++
		}
		if runs > 1 {
			lv.Repeated++
		}
	}
}

func classFigures(class state.ClassID, seen []*observed) ClassLatencies {
	first, between := newTimes(), newTimes()
	all, missed := 0, 0
	for _, o := range seen {
		if o.work.class != class {
			continue
		}
		all++
		if !o.good() {
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

func endsOf(seen []*observed) []ReasonCount {
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
