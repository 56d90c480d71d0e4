package demo

import (
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Report is the result of the demo, counted by the callers and the stand-ins. It is
// printed as the last line.
type Report struct {
	Requests             int `json:"requests"`
	Complete             int `json:"complete"`
	RefusedNotRun        int `json:"refused_not_run"`
	Failed               int `json:"failed"`
	Unknown              int `json:"unknown"`
	Lost                 int `json:"lost"`
	Duplicated           int `json:"duplicated"`
	LayerOrderViolations int `json:"layer_order_violations"`
}

// OK reports whether nothing was lost, duplicated or run out of order.
func (r Report) OK() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.LayerOrderViolations == 0
}

// requestOf returns the i-th request. Notes and alerts must run at most once;
// summaries may be repeated.
func requestOf(i int) request {
	prompt := fmt.Sprintf("consignment %d", i)
	key := state.IdempotencyKey(fmt.Sprintf("key-%d", i))
	switch i % 3 {
	case 0:
		return request{drafts, advocates, classNote, prompt, key}
	case 1:
		return request{drafts, bank, classSummary, prompt, key}
	default:
		return request{alerts, dairy, classAlert, prompt, key}
	}
}

// check compares one answer with the executions on the stand-ins and counts it.
func (d *demo) check(req request, res result, err error) {
	runs := d.site.Ledger.Runs(req.prompt)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.report
	r.Requests++
	if runs > 1 && req.class != classSummary {
		d.logStep(fmt.Sprintf("%s (%s) ran %d times", req.prompt, req.class, runs))
		r.Duplicated++
	}
	if err != nil {
		d.logStep(fmt.Sprintf("%s (%s): %v", req.prompt, req.class, err))
		r.Lost++
		return
	}
	switch res.end.Outcome {
	case caller.EndCompleted:
		r.recordCompleted(d, req, res)
	case caller.EndRefused:
		r.RefusedNotRun++
		if runs > 0 {
			d.logStep(fmt.Sprintf("%s (%s) was refused as not run (%s), but did run", req.prompt, req.class, res.end.Reason))
			r.Duplicated++
		}
	case caller.EndFailed:
		r.Failed++
	case caller.EndUnknown:
		r.Unknown++
	}
}

func (r *Report) recordCompleted(d *demo, req request, res result) {
	if isComplete(req, res) {
		r.Complete++
		return
	}
	d.logStep(fmt.Sprintf("%s (%s): incomplete answer of %d tokens", req.prompt, req.class, len(res.tokens)))
	r.Lost++
}

// isComplete reports whether the answer has every expected token exactly once, in
// order.
func isComplete(req request, res result) bool {
	if req.service == alerts {
		return len(res.tokens) == 1 && res.tokens[0].Text == standin.PlainAnswer(req.prompt)
	}
	want := standin.ExpectedTokens(req.prompt, noteTokens)
	if len(want) != len(res.tokens) {
		return false
	}
	for i, t := range res.tokens {
		if t.Index != i || t.Value != want[i] {
			return false
		}
	}
	return true
}
