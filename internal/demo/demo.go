// Package demo runs the main job on embedded stand-ins: three daemons, a model
// over chains of engines, a plain service, and callers that check their answers
// against what the stand-ins truly ran. After a calm round it kills a stage and a
// daemon mid-stream and drains another daemon under load.
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
	daemons   = 3
	documents = 2
	perRound  = 90

	startTimeout = 10 * time.Second
	drainTimeout = 10 * time.Second
	midStream    = 150 * time.Millisecond // from the first request to the failure
)

// demo is one run.
type demo struct {
	site *site.Site
	say  func(string)

	mu     sync.Mutex
	report Report
	sent   int
}

// Run runs the demo and tells each step through say.
func Run(ctx context.Context, log *telemetry.Log, say func(string)) (Report, error) {
	s, err := site.New(log)
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	d := &demo{site: s, say: say}
	if err := d.start(ctx); err != nil {
		return Report{}, err
	}
	d.round(ctx, "calm", func() {})
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

// finish adds what the stand-ins saw.
func (d *demo) finish() Report {
	violations := d.site.Ledger.Violations()
	for _, v := range violations {
		d.say("violation: " + v)
	}
	d.report.LayerOrderViolations = len(violations)
	return d.report
}

// start brings the site up and waits until every daemon has both documents.
func (d *demo) start(ctx context.Context) error {
	if err := startBackends(d.site); err != nil {
		return err
	}
	for range daemons {
		if _, err := d.site.AddDaemon(nil); err != nil {
			return err
		}
	}
	for _, doc := range []service.Document{draftsDocument(), alertsDocument()} {
		if err := d.apply(ctx, doc); err != nil {
			return err
		}
	}
	d.say(fmt.Sprintf("%d daemons before %d engines and %d plain servers",
		len(d.site.Daemons), len(d.site.Engines), len(d.site.PlainServers)))
	return d.awaitServing(ctx)
}

// replace starts a daemon in place of the one that died, and the stage anew.
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
	for _, one := range d.site.Live() {
		for {
			s := one.DaemonStatus(ctx)
			if len(s.Documents) == documents && !s.Isolated && len(s.Members) >= len(d.site.Live()) {
				break
			}
			if !sleep(ctx, 10*time.Millisecond) {
				return fmt.Errorf("a daemon does not serve: %w", ctx.Err())
			}
		}
	}
	return nil
}

// awaitDrained waits for the planned stop of the drained daemon.
func (d *demo) awaitDrained(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	select {
	case <-d.site.Daemons[2].Done():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the drained daemon does not stop: %w", ctx.Err())
	}
}

// sleep reports false if ctx ends first.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

// round sends requests, brings the failure about mid-stream, and checks what came
// back.
func (d *demo) round(ctx context.Context, name string, fail func()) {
	before := d.report
	addresses := d.addresses(ctx)
	var wg sync.WaitGroup
	for range perRound {
		w := workOf(d.sent)
		at := d.sent % len(addresses)
		seeds := append(slices.Clone(addresses[at:]), addresses[:at]...)
		d.sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := call(ctx, seeds, w)
			d.check(w, res, err)
		}()
	}
	sleep(ctx, midStream)
	fail()
	wg.Wait()
	d.say(fmt.Sprintf("%-26s %d of %d complete", name+":", d.report.Complete-before.Complete, perRound))
}

// addresses asks the first daemon which to use, as a caller would, and adds those
// that it leaves out: a caller may have kept an older answer.
func (d *demo) addresses(ctx context.Context) []string {
	return d.site.Daemons[0].Addresses(ctx, caller.AddressQuery{Service: drafts}).Addresses
}
