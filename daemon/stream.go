package daemon

import (
	"context"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// answer is the answer of one request: its tokens by index, then its outcome.
// The request's goroutine appends; any number of streams read it concurrently.
type answer struct {
	id state.RequestID

	mu      sync.Mutex
	tokens  []caller.Token
	outcome state.Outcome
	running bool
	changed chan struct{} // closed and replaced at every change
}

func newAnswer(id state.RequestID) *answer {
	return &answer{id: id, changed: make(chan struct{})}
}

// append adds the token if it is the next one. A token that is already present
// comes from an attempt that was taken over and restarted; it is dropped if it
// is the same. If it differs, append reports false and the answer must not be
// continued, since it would mix two executions.
func (a *answer) append(t caller.Token) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case t.Index < len(a.tokens):
		return a.tokens[t.Index].Value == t.Value && (t.Text == "" || a.tokens[t.Index].Text == t.Text)
	case t.Index > len(a.tokens):
		return false
	}
	a.tokens = append(a.tokens, t)
	a.notify()
	return true
}

func (a *answer) setRunning() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = true
}

// end sets the outcome, unless one is set.
func (a *answer) end(o state.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome != nil {
		return
	}
	a.outcome = o
	a.notify()
}

func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// after returns the tokens from index from on, the outcome if there is one, and
// a channel that is closed at the next change. The tokens must not be modified.
func (a *answer) after(from int) ([]caller.Token, state.Outcome, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	from = min(max(from, 0), len(a.tokens))
	return a.tokens[from:len(a.tokens):len(a.tokens)], a.outcome, a.changed
}

func (a *answer) status() caller.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := caller.Status{Request: a.id, Phase: caller.PhaseQueued, Tokens: len(a.tokens), Outcome: a.outcome}
	switch {
	case a.outcome != nil:
		s.Phase = caller.PhaseEnded
	case a.running:
		s.Phase = caller.PhaseRunning
	}
	return s
}

// streamView is one caller's position in an answer.
type streamView struct {
	answer *answer
	next   int
}

// newView returns a stream that starts after index after, -1 for the beginning.
func newView(a *answer, after int) *streamView {
	return &streamView{answer: a, next: after + 1}
}

// ID implements caller.Stream.
func (v *streamView) ID() state.RequestID {
	return v.answer.id
}

// Next implements caller.Stream.
func (v *streamView) Next(ctx context.Context) (caller.Item, error) {
	for {
		tokens, outcome, changed := v.answer.after(v.next)
		if len(tokens) > 0 {
			t := tokens[0]
			v.next++
			return caller.Item{Token: &t}, nil
		}
		if outcome != nil {
			return caller.Item{Outcome: outcome}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return caller.Item{}, ctx.Err()
		}
	}
}

// Close implements caller.Stream.
func (v *streamView) Close() {}
