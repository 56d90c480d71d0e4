package standin

import (
	"fmt"
	"slices"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Ledger is the record of what truly ran on the back ends of one site. Its
// methods may be called by many goroutines.
type Ledger struct {
	mu         sync.Mutex
	attempts   map[attemptID]*attemptRecord
	requests   map[state.RequestID]*requestRecord
	contents   map[string]*contentRecord
	violations []string
	steps      int
}

// attemptID names one attempt of one request.
type attemptID struct {
	request state.RequestID
	attempt state.Attempt
}

// attemptRecord is the place that an attempt's layers have reached.
type attemptRecord struct {
	started bool // a layer was run whole
	token   int
	layer   int // the next layer of token
	layers  int // of the model
}

type requestRecord struct {
	content    string
	executions int
}

type contentRecord struct {
	executions int
	crashes    int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		attempts: make(map[attemptID]*attemptRecord),
		requests: make(map[state.RequestID]*requestRecord),
		contents: make(map[string]*contentRecord),
	}
}

// begin notes that an execution of content begins. Engines call it for the
// first layer of an attempt's first token, plain services for each call.
func (l *Ledger) begin(id attemptID, content string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id.request]
	if r == nil {
		r = &requestRecord{content: content}
		l.requests[id.request] = r
	}
	r.executions++
	l.content(content).executions++
}

func (l *Ledger) content(key string) *contentRecord {
	c := l.contents[key]
	if c == nil {
		c = &contentRecord{}
		l.contents[key] = c
	}
	return c
}

// ran notes that layers r of a model were run whole, in order, for one token.
func (l *Ledger) ran(id attemptID, token int, r state.LayerRange, modelLayers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps++
	a := l.attempts[id]
	if a == nil {
		a = &attemptRecord{layers: modelLayers}
		l.attempts[id] = a
	}
	if fault := a.fault(token, r); fault != "" {
		l.violations = append(l.violations, fmt.Sprintf("request %s attempt %d token %d layers %s: %s", id.request, id.attempt, token, r, fault))
	}
	a.started = true
	a.token = token
	a.layer = r.End
}

// fault says how running layers r for token breaks the order, or "".
func (a *attemptRecord) fault(token int, r state.LayerRange) string {
	wantToken, wantLayer := a.token, a.layer
	switch {
	case !a.started:
		wantToken = token
	case a.layer == a.layers:
		wantToken, wantLayer = a.token+1, 0
	}
	switch {
	case token < wantToken || token == wantToken && r.First < wantLayer:
		return "run twice"
	case token > wantToken:
		return fmt.Sprintf("token %d is not whole", wantToken)
	case r.First > wantLayer:
		return fmt.Sprintf("layer %d was skipped", wantLayer)
	}
	return ""
}

// crashed notes that a server died because it ran content.
func (l *Ledger) crashed(content string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.content(content).crashes++
}

// contentOf returns the prompt or body of a request that began.
func (l *Ledger) contentOf(id state.RequestID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		return r.content
	}
	return ""
}

// Violations lists every layer that was run twice, out of order or after a gap.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Runs counts the executions of a prompt or body that began, over all requests
// and attempts.
func (l *Ledger) Runs(content string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.contents[content]; c != nil {
		return c.executions
	}
	return 0
}

// Crashes counts the servers that died because they ran content.
func (l *Ledger) Crashes(content string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.contents[content]; c != nil {
		return c.crashes
	}
	return 0
}

// Executions counts the executions of one request that began.
func (l *Ledger) Executions(request state.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[request]; r != nil {
		return r.executions
	}
	return 0
}

// RanAny reports whether any back end began request.
func (l *Ledger) HasStarted(request state.RequestID) bool {
	return l.Executions(request) > 0
}

// Steps counts the steps that ran whole, on all engines.
func (l *Ledger) Steps() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steps
}
