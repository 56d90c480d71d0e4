package demo

import (
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
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
	key := fmt.Sprintf("key-%d", i)
	switch i % 3 {
	case 0:
		return work{Service: drafts, Customer: advocates, Class: classNote, Prompt: prompt, key: key}
	case 1:
		return work{Service: drafts, Customer: bank, Class: classSummary, Prompt: prompt, key: key}
	default:
		return work{Service: alerts, Customer: dairy, Class: classAlert, Prompt: prompt, key: key}
	}
}

// judge counts one answer against what the stand-ins ran.
func (d *demo) judge(w work, res result, err error) {
	runs := d.site.Ledger.Runs(w.Prompt)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.report
	r.Requests++
	if runs > 1 && w.Class != classSummary {
		d.say(fmt.Sprintf("%s (%s) ran %d times", w.Prompt, w.Class, runs))
		r.Duplicated++
	}
	if err != nil {
		d.say(fmt.Sprintf("%s (%s): %v", w.Prompt, w.Class, err))
		r.Lost++
		return
	}
	switch res.end.Outcome {
	case front.EndCompleted:
		r.judgeWhole(d, w, res)
	case front.EndRefused:
		r.RefusedNotRun++
		if runs > 0 {
			d.say(fmt.Sprintf("%s (%s) was refused as not run (%s), but ran", w.Prompt, w.Class, res.end.Reason))
			r.Duplicated++
		}
	case front.EndFailed:
		r.Failed++
	case front.EndUnknown:
		r.Unknown++
	}
}

func (r *Report) judgeWhole(d *demo, w work, res result) {
	if whole(w, res) {
		r.Complete++
		return
	}
	d.say(fmt.Sprintf("%s (%s): answer of %d tokens is not whole", w.Prompt, w.Class, len(res.tokens)))
	r.Lost++
}

// whole reports whether the answer has every token, once, in order.
func whole(w work, res result) bool {
	if w.Service == alerts {
		return len(res.tokens) == 1 && res.tokens[0].Text == standin.PlainAnswer(w.Prompt)
	}
	want := standin.ExpectedTokens(w.Prompt, noteTokens)
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
