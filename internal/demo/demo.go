// Package demo runs the main job on embedded stand-ins: three daemons, a model
// over chains of engines, a plain service, and callers that check their answers
// against what the stand-ins truly ran.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// Report is the last line of the demo, counted by the callers and the stand-ins.
type Report struct {
	Requests             int `json:"requests"`
	Complete             int `json:"complete"`
	RefusedNotRun        int `json:"refused_not_run"`
	Unknown              int `json:"unknown"`
	Lost                 int `json:"lost"`
	Duplicated           int `json:"duplicated"`
	LayerOrderViolations int `json:"layer_order_violations"`
}

// OK reports whether nothing was lost, duplicated or run out of order.
func (r Report) OK() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.LayerOrderViolations == 0
}

const (
	daemons   = 3
	documents = 2
	requests  = 120
)

// Run runs the demo and tells each step through say.
func Run(ctx context.Context, log *telemetry.Log, say func(string)) (Report, error) {
	s, err := site.New(log)
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	if err := start(ctx, s); err != nil {
		return Report{}, err
	}
	say(fmt.Sprintf("%d daemons before %d engines and %d plain servers", len(s.Daemons), len(s.Engines), len(s.Plains)))
	return round(ctx, s, say)
}

// start brings the site up and waits until every daemon has both documents.
func start(ctx context.Context, s *site.Site) error {
	if err := startBackends(s); err != nil {
		return err
	}
	for range daemons {
		if _, err := s.AddDaemon(nil); err != nil {
			return err
		}
	}
	for _, doc := range []service.Document{draftsDocument(), alertsDocument()} {
		if err := apply(ctx, s, doc); err != nil {
			return err
		}
	}
	return awaitDocuments(ctx, s)
}

func apply(ctx context.Context, s *site.Site, doc service.Document) error {
	res := s.Daemons[0].Apply(ctx, caller.Edit{EditID: "demo-" + string(doc.Service), Text: doc.Encode()})
	if res.Status != caller.EditAccepted {
		return fmt.Errorf("document %s: %s %v", doc.Service, res.Status, res.Faults)
	}
	return nil
}

func awaitDocuments(ctx context.Context, s *site.Site) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, d := range s.Daemons {
		for len(d.Documents(ctx)) < documents || d.DaemonStatus(ctx).Isolated {
			select {
			case <-ctx.Done():
				return fmt.Errorf("documents are not in force: %w", ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// round sends all requests at once and judges what came back.
func round(ctx context.Context, s *site.Site, say func(string)) (Report, error) {
	addresses := s.Daemons[0].Addresses(ctx, caller.AddressQuery{}).Addresses
	report := Report{Requests: requests}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w := workOf(i)
			res, err := call(ctx, addresses[i%len(addresses)], w)
			mu.Lock()
			defer mu.Unlock()
			report.judge(s, w, res, err)
		}()
	}
	wg.Wait()
	report.LayerOrderViolations = len(s.Ledger.Violations())
	for _, v := range s.Ledger.Violations() {
		say("violation: " + v)
	}
	return report, nil
}

// workOf returns the i-th request: notes and alerts are never repeated, checks
// are.
func workOf(i int) work {
	prompt := fmt.Sprintf("consignment %d", i)
	switch i % 3 {
	case 0:
		return work{Service: drafts, Customer: advocates, Class: classNote, Prompt: prompt, key: fmt.Sprintf("note-%d", i)}
	case 1:
		return work{Service: drafts, Customer: bank, Class: classCheck, Prompt: prompt, key: fmt.Sprintf("check-%d", i)}
	default:
		return work{Service: alerts, Customer: dairy, Class: classAlert, Prompt: prompt, key: fmt.Sprintf("alert-%d", i)}
	}
}

// judge counts one answer against what the stand-ins ran.
func (r *Report) judge(s *site.Site, w work, res result, err error) {
	runs := s.Ledger.Runs(w.Prompt)
	if runs > 1 && w.Class != classCheck {
		r.Duplicated++
	}
	switch {
	case err != nil:
		r.Lost++
	case res.status == http.StatusConflict, res.end.Outcome == front.EndUnknown, res.end.Outcome == front.EndFailed:
		r.Unknown++
	case res.status != 0 || res.end.Outcome == front.EndRefused:
		r.RefusedNotRun++
		if runs > 0 {
			r.Duplicated++ // a refusal that was not true
		}
	case whole(w, res):
		r.Complete++
	default:
		r.Lost++
	}
}

// whole reports whether the answer has every token, once, in order.
func whole(w work, res result) bool {
	if w.Service == alerts {
		return len(res.tokens) == 1 && res.tokens[0].Text == standin.PlainAnswer(w.Prompt)
	}
	limit := noteTokens
	if w.Class == classCheck {
		limit = checkTokens
	}
	want := standin.ExpectedTokens(w.Prompt, limit)
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
