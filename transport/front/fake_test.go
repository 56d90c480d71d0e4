package front_test

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// scriptedAnswer is the answer to one request, whose tokens and outcome a test adds.
type scriptedAnswer struct {
	mu      sync.Mutex
	id      state.RequestID
	tokens  []caller.Token
	outcome state.Outcome
	change  chan struct{} // closed and replaced at each change
	views   int           // open views
}

func newScriptedAnswer(id state.RequestID) *scriptedAnswer {
	return &scriptedAnswer{id: id, change: make(chan struct{})}
}

func (a *scriptedAnswer) update(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.change)
	a.change = make(chan struct{})
}

func (a *scriptedAnswer) add(texts ...string) {
	a.update(func() {
		for _, t := range texts {
			n := len(a.tokens)
			a.tokens = append(a.tokens, caller.Token{Index: n, Value: int64(100 + n), Text: t})
		}
	})
}

func (a *scriptedAnswer) end(o state.Outcome) {
	a.update(func() { a.outcome = o })
}

func (a *scriptedAnswer) openViews() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.views
}

func (a *scriptedAnswer) view(after int) caller.Stream {
	a.update(func() { a.views++ })
	return &fakeView{answer: a, next: after + 1}
}

type fakeView struct {
	answer *scriptedAnswer
	next   int
}

func (v *fakeView) ID() state.RequestID { return v.answer.id }

func (v *fakeView) Close() { v.answer.update(func() { v.answer.views-- }) }

func (v *fakeView) Next(ctx context.Context) (caller.Item, error) {
	for {
		v.answer.mu.Lock()
		change := v.answer.change
		if v.next < len(v.answer.tokens) {
			t := v.answer.tokens[v.next]
			v.next++
			v.answer.mu.Unlock()
			return caller.Item{Token: &t}, nil
		}
		o := v.answer.outcome
		v.answer.mu.Unlock()
		if o != nil {
			return caller.Item{Outcome: o}, nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return caller.Item{}, ctx.Err()
		}
	}
}

// fakeDaemon is a caller.Daemon whose answers a test sets.
type fakeDaemon struct {
	mu         sync.Mutex
	answers    map[state.RequestID]*scriptedAnswer
	submitted  []caller.Submission
	edits      []caller.Edit
	drainCount int

	next    *scriptedAnswer   // returned by the next Submit
	refusal state.Outcome     // returned by Submit instead, if set
	edit    caller.EditResult // returned by Apply
}

func newFakeDaemon() *fakeDaemon {
	return &fakeDaemon{answers: make(map[state.RequestID]*scriptedAnswer)}
}

func (d *fakeDaemon) script(id state.RequestID) *scriptedAnswer {
	a := newScriptedAnswer(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[id] = a
	d.next = a
	return a
}

func (d *fakeDaemon) submissions() []caller.Submission {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]caller.Submission(nil), d.submitted...)
}

func (d *fakeDaemon) Addresses(_ context.Context, q caller.AddressQuery) caller.AddressAnswer {
	return caller.AddressAnswer{
		Addresses: []string{"http://127.0.0.1:1/" + string(q.Service)},
		TTL:       5 * time.Second,
	}
}

func (d *fakeDaemon) Submit(_ context.Context, s caller.Submission) (caller.Stream, state.Outcome) {
	d.mu.Lock()
	d.submitted = append(d.submitted, s)
	a, refusal := d.next, d.refusal
	d.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return a.view(s.After), nil
}

func (d *fakeDaemon) Attach(_ context.Context, id state.RequestID, after int) (caller.Stream, state.Outcome) {
	d.mu.Lock()
	a, ok := d.answers[id]
	d.mu.Unlock()
	if !ok {
		return nil, state.Unknown{Reason: state.ReasonUnknownRequest}
	}
	return a.view(after), nil
}

func (d *fakeDaemon) Status(_ context.Context, id state.RequestID) (caller.Status, bool) {
	d.mu.Lock()
	a, ok := d.answers[id]
	d.mu.Unlock()
	if !ok {
		return caller.Status{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := caller.Status{Request: id, Phase: caller.PhaseRunning, Tokens: len(a.tokens), Outcome: a.outcome}
	if a.outcome != nil {
		s.Phase = caller.PhaseEnded
	}
	return s, true
}

func (d *fakeDaemon) Cancel(ctx context.Context, id state.RequestID) (caller.Status, bool) {
	s, ok := d.Status(ctx, id)
	if ok && s.Phase != caller.PhaseEnded {
		d.answers[id].end(state.Failed{Reason: state.ReasonCanceled, Tokens: s.Tokens})
	}
	return d.Status(ctx, id)
}

func (d *fakeDaemon) Apply(_ context.Context, e caller.Edit) caller.EditResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.edits = append(d.edits, e)
	return d.edit
}

func (d *fakeDaemon) Document(_ context.Context, id state.ServiceID) (service.Versioned, bool) {
	v := service.Versioned{Version: 3, EditID: "e", Document: service.Document{Service: id}}
	return v, id == "notes"
}

func (d *fakeDaemon) Documents(context.Context) []service.Versioned { return nil }

func (d *fakeDaemon) DaemonStatus(context.Context) caller.DaemonStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return caller.DaemonStatus{ID: "entry-1", Draining: d.drainCount > 0}
}

func (d *fakeDaemon) Drain(context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainCount++
}
