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
	daemons  = 3
	stepTime = 3 * time.Millisecond
	deadline = service.Duration(30 * time.Second)
	poll     = 10 * time.Millisecond
)

var chains = site.Chains{Prefix: "drafter", Replicas: 2, Stages: 2, Layers: 8}

// rig is a running site whose daemons record into one file.
type rig struct {
	*site.Site
	ctx   context.Context
	path  string
	notes *trace.Recorder // of the faults and stated outcomes
	rng   *rand.Rand

	mu      sync.Mutex
	daemons []*daemon.Daemon // that callers use

	callers sync.WaitGroup
	sent    map[state.ClassID]int
	failed  atomic.Pointer[error]
}

// play runs a story from its start to its stated outcomes.
func play(ctx context.Context, s story, path string) error {
	notes, err := trace.Open(path, "site", func(error) {})
	if err != nil {
		return err
	}
	defer notes.Close()
	st, err := site.New(telemetry.Discard())
	if err != nil {
		return err
	}
	r := &rig{Site: st, ctx: ctx, path: path, notes: notes, rng: rand.New(rand.NewPCG(1, 2)), sent: make(map[state.ClassID]int)}
	err = r.start()
	if err == nil {
		err = s.run(r)
	}
	r.callers.Wait()
	st.Close()
	if failed := r.failed.Load(); err == nil && failed != nil {
		err = *failed
	}
	r.state()
	return err
}

// state states the outcomes: every request that was sent got its whole answer
// from exactly one run, and every life of a daemon ended with the same document.
func (r *rig) state() {
	for _, class := range []state.ClassID{classCheck, classDraft, classNote, classAlert} {
		if n := r.sent[class]; n > 0 {
			r.notes.Expect(trace.Expectation{Class: class, Outcome: "completed", Count: &n})
		}
	}
	none := 0
	for _, outcome := range []string{"refused", "failed", "unknown"} {
		r.notes.Expect(trace.Expectation{Outcome: outcome, Count: &none})
	}
	r.notes.Expect(trace.Expectation{Service: drafts, Version: editedVersion})
}

// start brings the site up, edits the document once, and waits until all serve.
func (r *rig) start() error {
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

func (r *rig) addDaemon() error {
	d, err := r.AddDaemon(func(s *settings.Settings) { s.RecordFile = r.path })
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = append(r.daemons, d)
	return nil
}

func (r *rig) apply(base state.DocumentVersion, doc service.Document) error {
	edit := caller.Edit{Base: base, EditID: fmt.Sprintf("%s-%d", doc.Service, base), Text: doc.Encode()}
	res := r.using()[0].Apply(r.ctx, edit)
	if res.Status != caller.EditAccepted {
		return fmt.Errorf("document %s: %s %v", doc.Service, res.Status, res.Faults)
	}
	return nil
}

// using lists the daemons that callers use.
func (r *rig) using() []*daemon.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*daemon.Daemon(nil), r.daemons...)
}

// awaitServing waits until every daemon in use has the documents and knows every
// other one.
func (r *rig) awaitServing() error {
	for _, d := range r.using() {
		for !r.serves(d) {
			if err := r.sleep(poll); err != nil {
				return fmt.Errorf("daemons do not come into service: %w", err)
			}
		}
	}
	return nil
}

func (r *rig) serves(d *daemon.Daemon) bool {
	s := d.DaemonStatus(r.ctx)
	alive := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			alive++
		}
	}
	return s.Documents[drafts] == editedVersion && len(s.Documents) == 2 && !s.Isolated && alive >= len(r.using())
}

func (r *rig) sleep(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// forget takes a daemon that has stopped out of use.
func (r *rig) forget(d *daemon.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = slices.DeleteFunc(r.daemons, func(other *daemon.Daemon) bool { return other == d })
}
