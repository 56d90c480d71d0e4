package measure

import "fmt"

// Summary is a level in one line.
func (lv LoadResult) Summary() string {
	s := fmt.Sprintf("offered %.2f (%.2f came): tokens %.3f of the bound, goodput %.3f, paced %.3f, requests %.3f;", lv.Offered, lv.Arrived, lv.TokenRatio, lv.Goodput, lv.PacedGoodput, lv.RequestRatio)
	for _, c := range lv.Classes {
		s += fmt.Sprintf(" %s first %s, between %s, missed %.3f;", c.Class, c.FirstToken, c.BetweenTokens, c.MissedShare)
	}
	s += fmt.Sprintf(" machine %.2f, control %.3f of a core", lv.CPUShare, lv.ControlShare)
	for _, e := range lv.OtherOutcomes {
		s += fmt.Sprintf("; %s %s %d", e.Outcome, e.Reason, e.Count)
	}
	if lv.WrongAnswers+lv.RefusedButRan+lv.Violations > 0 {
		s += fmt.Sprintf("; LOST %d, REFUSED BUT RAN %d, OUT OF ORDER %d", lv.WrongAnswers, lv.RefusedButRan, lv.Violations)
	}
	return s
}

// String gives p50, p95 and p99.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.0f/%.0f/%.0f ms", q.P50, q.P95, q.P99)
}

// String is a goal in one line.
func (g Goal) String() string {
	verdict := "met"
	if !g.Met {
		verdict = "NOT MET"
	}
	return fmt.Sprintf("%-52s %9.3f (goal %.3f) %s", g.Description, g.Measured, g.Limit, verdict)
}

// String is what a way showed under a fault, in one line.
func (r FaultResult) String() string {
	s := fmt.Sprintf("%-18s %-14s p50 %5.0f, p99 %5.0f, max %5.0f ms of %d; %d streams", r.Fault, r.Strategy, r.Times.P50, r.Times.P99, r.Times.Max, r.Times.Count, r.Streams)
	if r.Incomplete > 0 {
		s += fmt.Sprintf(", %d not whole", r.Incomplete)
	}
	for _, e := range r.OtherOutcomes {
		s += fmt.Sprintf("; %s %s %d", e.Outcome, e.Reason, e.Count)
	}
	if r.WrongAnswers+r.RanTwice+r.Violations > 0 {
		s += fmt.Sprintf(", LOST %d, RAN TWICE %d, OUT OF ORDER %d", r.WrongAnswers, r.RanTwice, r.Violations)
	}
	return s
}
