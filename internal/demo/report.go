package demo

import (
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Report is the last line of the demo, counted by the callers and the stand-ins.
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

// workOf returns the i-th request: notes and alerts are never to be repeated,
// checks may be.
func workOf(i int) work {
	prompt := fmt.Sprintf("consignment %d", i)
	key := state.IdempotencyKey(fmt.Sprintf("key-%d", i))
	switch i % 3 {
	case 0:
		return work{drafts, advocates, classNote, prompt, key}
	case 1:
		return work{drafts, bank, classSummary, prompt, key}
	default:
		return work{alerts, dairy, classAlert, prompt, key}
	}
}

// check counts one answer against what the stand-ins ran.
func (d *demo) check(w work, res result, err error) {
	runs := d.site.Ledger.Runs(w.prompt)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.report
	r.Requests++
	if runs > 1 && w.class != classSummary {
		d.say(fmt.Sprintf("%s (%s) ran %d times", w.prompt, w.class, runs))
		r.Duplicated++
	}
	if err != nil {
		d.say(fmt.Sprintf("%s (%s): %v", w.prompt, w.class, err))
		r.Lost++
		return
	}
	switch res.end.Outcome {
	case caller.EndCompleted:
		r.checkWhole(d, w, res)
	case caller.EndRefused:
		r.RefusedNotRun++
		if runs > 0 {
			d.say(fmt.Sprintf("%s (%s) was refused as not run (%s), but ran", w.prompt, w.class, res.end.Reason))
			r.Duplicated++
		}
	case caller.EndFailed:
		r.Failed++
	case caller.EndUnknown:
		r.Unknown++
	}
}

func (r *Report) checkWhole(d *demo, w work, res result) {
	if whole(w, res) {
		r.Complete++
		return
	}
	d.say(fmt.Sprintf("%s (%s): answer of %d tokens is not whole", w.prompt, w.class, len(res.tokens)))
	r.Lost++
}

// whole reports whether the answer has every token, once, in order.
func whole(w work, res result) bool {
	if w.service == alerts {
		return len(res.tokens) == 1 && res.tokens[0].Text == standin.PlainAnswer(w.prompt)
	}
	want := standin.ExpectedTokens(w.prompt, noteTokens)
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
