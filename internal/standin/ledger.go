package standin

import (
	"fmt"
	"slices"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Ledger records the executions on the backend servers of one site. Its methods are
// safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	attempts   map[attemptID]*attemptRecord
	requests   map[state.RequestID]*requestRecord
	contents   map[string]*contentRecord
	violations []string
	steps      int
}

// attemptID identifies one attempt of one request.
type attemptID struct {
	request state.RequestID
	attempt state.Attempt
}

// attemptRecord is the position that an attempt has reached in its tokens and layers.
type attemptRecord struct {
	started bool // at least one step has been run
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

// recordStart records that an execution of content starts. Engines call it for the
// first layer of an attempt's first token, plain services for each call.
func (l *Ledger) recordStart(id attemptID, content string) {
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

// recordStep records that layers r of a model have been run for one token.
func (l *Ledger) recordStep(id attemptID, token int, r state.LayerRange, modelLayers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps++
	a := l.attempts[id]
	if a == nil {
		a = &attemptRecord{layers: modelLayers}
		l.attempts[id] = a
	}
	if fault := a.violation(token, r); fault != "" {
		l.violations = append(l.violations, fmt.Sprintf("request %s attempt %d token %d layers %s: %s", id.request, id.attempt, token, r, fault))
	}
	a.started = true
	a.token = token
	a.layer = r.End
}

// violation describes how running layers r for token violates the order of layers. It
// returns "" if it does not.
func (a *attemptRecord) violation(token int, r state.LayerRange) string {
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
		return fmt.Sprintf("token %d is incomplete", wantToken)
	case r.First > wantLayer:
		return fmt.Sprintf("layer %d was skipped", wantLayer)
	}
	return ""
}

// recordCrash records that a server crashed because it ran content.
func (l *Ledger) recordCrash(content string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.content(content).crashes++
}

// contentOf returns the prompt or body of a request that was started, and "" for an
// unknown one.
func (l *Ledger) contentOf(id state.RequestID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		return r.content
	}
	return ""
}

// Violations returns a description of every step whose layers were run twice, out of
// order or after a gap.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Runs returns the number of started executions of a prompt or body, over all requests
// and attempts.
func (l *Ledger) Runs(content string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.contents[content]; c != nil {
		return c.executions
	}
	return 0
}

// Crashes returns the number of servers that crashed because they ran content.
func (l *Ledger) Crashes(content string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.contents[content]; c != nil {
		return c.crashes
	}
	return 0
}

// Executions returns the number of started executions of one request.
func (l *Ledger) Executions(request state.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[request]; r != nil {
		return r.executions
	}
	return 0
}

// HasStarted reports whether any backend server started to execute request.
func (l *Ledger) HasStarted(request state.RequestID) bool {
	return l.Executions(request) > 0
}

// Steps returns the number of completed steps on all engines.
func (l *Ledger) Steps() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steps
}
