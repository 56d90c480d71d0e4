// Package demo runs the router on embedded stand-ins: three daemons, a model service
// over chains of engines, a plain service, and callers that check their answers
// against the executions recorded by the stand-ins. After a round without failures it
// kills a stage and a daemon mid-stream and drains another daemon under load.
package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	numDaemons       = 3
	numDocuments     = 2
	requestsPerRound = 90

	startTimeout = 10 * time.Second
	drainTimeout = 10 * time.Second
	failureDelay = 150 * time.Millisecond // from the first request to the failure
)

// demo is one run.
type demo struct {
	site    *site.Site
	logStep func(string)

	mu     sync.Mutex
	report Report
	sent   int
}

// Run runs the demo and reports each step through logStep.
func Run(ctx context.Context, log *telemetry.Log, logStep func(string)) (Report, error) {
	s, err := site.New(log)
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	d := &demo{site: s, logStep: logStep}
	if err := d.start(ctx); err != nil {
		return Report{}, err
	}
	d.round(ctx, "no failure", func() {})
	d.round(ctx, "a stage dies mid-stream", func() { s.Engines[chains.Engine(1, 2)].Kill() })
	d.round(ctx, "a daemon dies mid-stream", func() { s.Daemons[1].Kill() })
	if err := d.replace(ctx); err != nil {
		return Report{}, err
	}
	d.round(ctx, "a daemon is drained", func() { s.Daemons[2].Drain(ctx) })
	if err := d.awaitDrained(ctx); err != nil {
		return Report{}, err
	}
	return d.finish(), nil
}

// finish adds the violations recorded by the stand-ins to the report.
func (d *demo) finish() Report {
	violations := d.site.Ledger.Violations()
	for _, v := range violations {
		d.logStep("violation: " + v)
	}
	d.report.LayerOrderViolations = len(violations)
	return d.report
}

// start starts the site and waits until every daemon has both documents.
func (d *demo) start(ctx context.Context) error {
	if err := startBackends(d.site); err != nil {
		return err
	}
	for range numDaemons {
		if _, err := d.site.AddDaemon(nil); err != nil {
			return err
		}
	}
	for _, doc := range []service.Document{draftsDocument(), alertsDocument()} {
		if err := d.apply(ctx, doc); err != nil {
			return err
		}
	}
	d.logStep(fmt.Sprintf("%d daemons in front of %d engines and %d plain servers",
		len(d.site.Daemons), len(d.site.Engines), len(d.site.PlainServers)))
	return d.awaitServing(ctx)
}

// replace starts a daemon in place of the killed one, and restarts the killed engine.
func (d *demo) replace(ctx context.Context) error {
	if _, err := d.site.AddDaemon(nil); err != nil {
		return err
	}
	if err := d.site.Engines[chains.Engine(1, 2)].Restart(); err != nil {
		return err
	}
	return d.awaitServing(ctx)
}

func (d *demo) apply(ctx context.Context, doc service.Document) error {
	edit := caller.Edit{EditID: "demo-" + string(doc.Service), Text: doc.Encode()}
	res := d.site.Daemons[0].Apply(ctx, edit)
	if res.Status != caller.EditAccepted {
		return fmt.Errorf("document %s: %s %v", doc.Service, res.Status, res.Faults)
	}
	return nil
}

// awaitServing waits until every live daemon has both documents and knows every
// other daemon.
func (d *demo) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, live := range d.site.Live() {
		for {
			s := live.DaemonStatus(ctx)
			if len(s.Documents) == numDocuments && !s.Isolated && len(s.Members) >= len(d.site.Live()) {
				break
			}
			if !sleep(ctx, 10*time.Millisecond) {
				return fmt.Errorf("a daemon is not serving: %w", ctx.Err())
			}
		}
	}
	return nil
}

// awaitDrained waits until the drained daemon has stopped.
func (d *demo) awaitDrained(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	select {
	case <-d.site.Daemons[2].Done():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the drained daemon did not stop: %w", ctx.Err())
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// round sends requests, injects the failure mid-stream and checks the answers.
func (d *demo) round(ctx context.Context, name string, fail func()) {
	before := d.report
	addresses := d.addresses(ctx)
	var wg sync.WaitGroup
	for range requestsPerRound {
		req := requestOf(d.sent)
		at := d.sent % len(addresses)
		seeds := append(slices.Clone(addresses[at:]), addresses[:at]...)
		d.sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := call(ctx, seeds, req)
			d.check(req, res, err)
		}()
	}
	sleep(ctx, failureDelay)
	fail()
	wg.Wait()
	d.logStep(fmt.Sprintf("%-26s %d of %d complete", name+":", d.report.Complete-before.Complete, requestsPerRound))
}

// addresses returns the daemons that the first daemon lists for callers.
func (d *demo) addresses(ctx context.Context) []string {
	return d.site.Daemons[0].Addresses(ctx, caller.AddressQuery{Service: drafts}).Addresses
}
