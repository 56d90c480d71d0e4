package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

const (
	daemons      = 3
	stepTime     = 3 * time.Millisecond
	deadline     = service.Duration(30 * time.Second)
	pollInterval = 10 * time.Millisecond
)

var chains = site.Chains{Prefix: "drafter", Replicas: 2, Stages: 2, Layers: 8}

// harness is a running site whose daemons record to one file.
type harness struct {
	*site.Site
	ctx      context.Context
	path     string
	recorder *trace.Recorder // records faults and stated outcomes
	rng      *rand.Rand

	mu      sync.Mutex
	daemons []*daemon.Daemon // those that callers use

	callers    sync.WaitGroup
	sentCount  map[state.ClassID]int
	firstError atomic.Pointer[error]
}

// runScenario starts a site, runs a scenario and records its stated outcomes.
func runScenario(ctx context.Context, s scenario, path string) error {
	notes, err := trace.Open(path, "site", func(error) {})
	if err != nil {
		return err
	}
	defer notes.Close()
	st, err := site.New(telemetry.Discard())
	if err != nil {
		return err
	}
	r := &harness{Site: st, ctx: ctx, path: path, recorder: notes, rng: rand.New(rand.NewPCG(1, 2)), sentCount: make(map[state.ClassID]int)}
	err = r.start()
	if err == nil {
		err = s.run(r)
	}
	r.callers.Wait()
	st.Close()
	if failed := r.firstError.Load(); err == nil && failed != nil {
		err = *failed
	}
	r.recordExpectations()
	return err
}

// recordExpectations records the stated outcomes: every request was completed by exactly
// one run, and every incarnation of a daemon ended with the same document version.
func (r *harness) recordExpectations() {
	for _, class := range []state.ClassID{classCheck, classDraft, classNote, classAlert} {
		if n := r.sentCount[class]; n > 0 {
			r.recorder.Expect(trace.Expectation{Class: class, Outcome: "completed", Count: &n})
		}
	}
	none := 0
	for _, outcome := range []string{"refused", "failed", "unknown"} {
		r.recorder.Expect(trace.Expectation{Outcome: outcome, Count: &none})
	}
	r.recorder.Expect(trace.Expectation{Service: drafts, Version: editedVersion})
}

// start starts the site, edits the document once and waits until all daemons serve.
func (r *harness) start() error {
	engine := standin.EngineConfig{Service: drafts, Model: "notes", Version: "1", Kind: "large", StepTime: stepTime}
	if err := r.AddChains(chains, engine); err != nil {
		return err
	}
	if err := r.AddPlain(standin.PlainConfig{ID: "alert-1"}, site.Domains[0]); err != nil {
		return err
	}
	for range daemons {
		if err := r.addDaemon(); err != nil {
			return err
		}
	}
	for version, doc := range []service.Document{draftsDocument(firstSlots), draftsDocument(slots)} {
		if err := r.apply(state.DocumentVersion(version), doc); err != nil {
			return err
		}
	}
	if err := r.apply(0, alertsDocument()); err != nil {
		return err
	}
	return r.awaitServing()
}

func (r *harness) addDaemon() error {
	d, err := r.AddDaemon(func(s *settings.Settings) { s.RecordFile = r.path })
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = append(r.daemons, d)
	return nil
}

func (r *harness) apply(base state.DocumentVersion, doc service.Document) error {
	edit := caller.Edit{Base: base, EditID: fmt.Sprintf("%s-%d", doc.Service, base), Text: doc.Encode()}
	res := r.activeDaemons()[0].Apply(r.ctx, edit)
	if res.Status != caller.EditAccepted {
		return fmt.Errorf("document %s was not accepted: %s %v", doc.Service, res.Status, res.Faults)
	}
	return nil
}

// activeDaemons lists the daemons that callers use.
func (r *harness) activeDaemons() []*daemon.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*daemon.Daemon(nil), r.daemons...)
}

// awaitServing waits until every active daemon has the documents and sees all others
// alive.
func (r *harness) awaitServing() error {
	for _, d := range r.activeDaemons() {
		for !r.serves(d) {
			if err := r.sleep(pollInterval); err != nil {
				return fmt.Errorf("daemons are not serving: %w", err)
			}
		}
	}
	return nil
}

func (r *harness) serves(d *daemon.Daemon) bool {
	s := d.DaemonStatus(r.ctx)
	alive := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			alive++
		}
	}
	return s.Documents[drafts] == editedVersion && len(s.Documents) == 2 && !s.Isolated && alive >= len(r.activeDaemons())
}

func (r *harness) sleep(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// removeDaemon removes a stopped daemon from those that callers use.
func (r *harness) removeDaemon(d *daemon.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = slices.DeleteFunc(r.daemons, func(other *daemon.Daemon) bool { return other == d })
}
