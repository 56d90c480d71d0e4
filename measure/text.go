package measure

import "fmt"

// Summary formats the result as one line.
func (lr LoadResult) Summary() string {
	s := fmt.Sprintf("offered %.2f (%.2f arrived): tokens %.3f of the bound, goodput %.3f, paced %.3f, requests %.3f;", lr.Offered, lr.Arrived, lr.TokenRatio, lr.Goodput, lr.PacedGoodput, lr.RequestRatio)
	for _, c := range lr.Classes {
		s += fmt.Sprintf(" %s first %s, between %s, missed %.3f;", c.Class, c.FirstToken, c.BetweenTokens, c.MissedShare)
	}
	s += fmt.Sprintf(" machine %.2f, control %.3f of a core", lr.CPUShare, lr.ControlShare)
	for _, e := range lr.OtherOutcomes {
		s += fmt.Sprintf("; %s %s %d", e.Outcome, e.Reason, e.Count)
	}
	if lr.WrongAnswers+lr.RefusedButRan+lr.Violations > 0 {
		s += fmt.Sprintf("; WRONG ANSWERS %d, REFUSED BUT RAN %d, OUT OF ORDER %d", lr.WrongAnswers, lr.RefusedButRan, lr.Violations)
	}
	return s
}

// String formats p50, p95 and p99.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.0f/%.0f/%.0f ms", q.P50, q.P95, q.P99)
}

// String formats the goal as one line.
func (g Goal) String() string {
	verdict := "met"
	if !g.Met {
		verdict = "NOT MET"
	}
	return fmt.Sprintf("%-52s %9.3f (goal %.3f) %s", g.Description, g.Measured, g.Limit, verdict)
}

// String formats the result as one line.
func (r FaultResult) String() string {
	s := fmt.Sprintf("%-18s %-14s p50 %5.0f, p99 %5.0f, max %5.0f ms of %d; %d streams", r.Fault, r.Strategy, r.Times.P50, r.Times.P99, r.Times.Max, r.Times.Count, r.Streams)
	if r.Incomplete > 0 {
		s += fmt.Sprintf(", %d incomplete", r.Incomplete)
	}
	for _, e := range r.OtherOutcomes {
		s += fmt.Sprintf("; %s %s %d", e.Outcome, e.Reason, e.Count)
	}
	if r.WrongAnswers+r.RanTwice+r.Violations > 0 {
		s += fmt.Sprintf(", WRONG ANSWERS %d, RAN TWICE %d, OUT OF ORDER %d", r.WrongAnswers, r.RanTwice, r.Violations)
	}
	return s
}
