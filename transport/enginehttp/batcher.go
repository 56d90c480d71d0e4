package enginehttp

import (
	"context"
	"errors"
	"runtime"
	"sort"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Defaults of BatcherOptions.
const (
	DefaultMaxOutstanding        = 16
	DefaultMaxOutstandingPartial = 16
	DefaultMaxBatch              = 32
	DefaultYields                = 32
)

// BatcherOptions configure a Batcher. Zero fields take the defaults.
type BatcherOptions struct {
	// MaxOutstanding bounds the batches that are unanswered at one time. With 2, a
	// full batch waits at the engine while the one before it runs.
	MaxOutstanding int

	// MaxOutstandingPartial bounds the unanswered batches while fewer steps than
	// MaxBatch are waiting. With 1, steps accumulate while the engine is busy:
	// best if this daemon is the engine's only client. If several daemons use the
	// engine, it forms its next batch from the steps that all of them have sent,
	// and steps held back here miss that batch.
	MaxOutstandingPartial int

	// MaxBatch bounds the steps of one batch. The engine's own batch cap is the
	// best value.
	MaxBatch int

	// Yields is how many times runtime.Gosched is called before a batch is formed;
	// a negative value disables it.
	Yields int
}

func (o BatcherOptions) withDefaults() BatcherOptions {
	if o.MaxOutstanding <= 0 {
		o.MaxOutstanding = DefaultMaxOutstanding
	}
	if o.MaxOutstandingPartial <= 0 {
		o.MaxOutstandingPartial = DefaultMaxOutstandingPartial
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = DefaultMaxBatch
	}
	if o.Yields == 0 {
		o.Yields = DefaultYields
	}
	return o
}

// Batcher combines the steps of concurrent streams to one engine into batches. A
// batch is sent as soon as fewer than MaxOutstandingPartial are unanswered;
// otherwise steps accumulate until one is answered or they fill a batch. Steps with
// the smallest priority number are sent first, and no step waits for a timer.
//
// Steps of different priorities never share a batch. The engine runs the urgent
// ones first, but answers a call only when all its steps are done, so a check would
// wait for the drafts in its batch.
//
// The streams of a batch all receive their results at the same moment and submit
// their next steps within microseconds. If the first of these were sent alone, the
// streams would split into groups that alternate at the engine, each batch far below
// its cap, and every token would wait for the other groups' steps. So before it forms
// a batch, the Batcher yields to the goroutines that are ready to run.
// docs/design/batching.md has the figures.
type Batcher struct {
	engine engine.Engine
	opts   BatcherOptions

	mu          sync.Mutex
	waiting     []*waiter // by priority, then arrival
	outstanding int       // unanswered batches
	forming     bool      // a sendBatches goroutine is scheduled
}

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request state.RequestID
	attempt state.Attempt
}

// waiter is a call of Step that waits for its result.
type waiter struct {
	step  engine.StepRequest
	batch *batch // nil until sent
	done  chan struct{}
	res   engine.StepResult
	err   error
}

// batch is an in-flight call. It is canceled once all its waiters have given up.
type batch struct {
	cancel    context.CancelFunc
	remaining int // waiters that have not given up
}

// NewBatcher returns a Batcher that sends its batches to e.
func NewBatcher(e engine.Engine, opts BatcherOptions) *Batcher {
	return &Batcher{engine: e, opts: opts.withDefaults()}
}

// Step runs one step. Its errors are those of engine.Engine.Step; if ctx ends before
// the step's batch is sent, engine.NotSent reports true for the error.
func (b *Batcher) Step(ctx context.Context, step engine.StepRequest) (engine.StepResult, error) {
	if err := ctx.Err(); err != nil {
		return engine.StepResult{}, engine.MarkNotSent(err)
	}
	w := &waiter{step: step, done: make(chan struct{})}
	b.mu.Lock()
	b.enqueue(w)
	b.dispatch()
	b.mu.Unlock()

	select {
	case <-w.done:
		return w.res, w.err
	case <-ctx.Done():
		return engine.StepResult{}, b.abandon(w, ctx.Err())
	}
}

// Waiting returns the number of steps that are not in a batch yet.
func (b *Batcher) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// enqueue inserts w and keeps waiting sorted by priority, then arrival.
func (b *Batcher) enqueue(w *waiter) {
	at := sort.Search(len(b.waiting), func(i int) bool {
		return b.waiting[i].step.Priority > w.step.Priority
	})
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = w
}

// abandon removes w after its context ended. If its batch has been sent, the step
// may still run, and the error is not marked as not sent.
func (b *Batcher) abandon(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.batch != nil {
		w.batch.remaining--
		if w.batch.remaining == 0 {
			w.batch.cancel()
		}
		return err
	}
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	return engine.MarkNotSent(err)
}

// canSend reports whether a batch may be sent now. The caller holds mu.
func (b *Batcher) canSend() bool {
	switch n := len(b.waiting); {
	case n == 0:
		return false
	case n >= b.opts.MaxBatch:
		return b.outstanding < b.opts.MaxOutstanding
	default:
		return b.outstanding < min(b.opts.MaxOutstandingPartial, b.opts.MaxOutstanding)
	}
}

// dispatch starts sendBatches if a batch may be sent and it is not already scheduled.
// The caller holds mu.
func (b *Batcher) dispatch() {
	if b.forming || !b.canSend() {
		return
	}
	b.forming = true
	go b.sendBatches()
}

// sendBatches yields so that other streams can add their steps, then sends all
// batches that may be sent.
func (b *Batcher) sendBatches() {
	for range b.opts.Yields {
		runtime.Gosched()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forming = false
	for b.canSend() {
		ws := b.nextBatch()
		ctx, cancel := context.WithCancel(context.Background())
		sent := &batch{cancel: cancel, remaining: len(ws)}
		for _, w := range ws {
			w.batch = sent
		}
		b.outstanding++
		go b.send(ctx, cancel, ws)
	}
}

// nextBatch removes the next batch from waiting: steps of the first one's priority.
// A batch holds at most one step of an attempt; further ones stay in waiting.
func (b *Batcher) nextBatch() []*waiter {
	ws := make([]*waiter, 0, min(len(b.waiting), b.opts.MaxBatch))
	seen := make(map[attemptKey]bool, cap(ws))
	priority := b.waiting[0].step.Priority
	rest := b.waiting[:0]
	for _, w := range b.waiting {
		key := attemptKey{w.step.Request, w.step.Attempt}
		if len(ws) == b.opts.MaxBatch || w.step.Priority != priority || seen[key] {
			rest = append(rest, w)
			continue
		}
		seen[key] = true
		ws = append(ws, w)
	}
	clear(b.waiting[len(rest):])
	b.waiting = rest
	return ws
}

// send sends a batch and delivers its results to the waiters.
func (b *Batcher) send(ctx context.Context, cancel context.CancelFunc, ws []*waiter) {
	defer cancel()
	steps := make([]engine.StepRequest, len(ws))
	for i, w := range ws {
		steps[i] = w.step
	}
	results, err := b.engine.Step(ctx, steps)
	if err == nil && len(results) != len(ws) {
		err = errors.New("engine returned a different number of results than steps")
	}
	for i, w := range ws {
		w.err = err
		if err == nil {
			w.res = results[i]
		}
		close(w.done)
	}
	b.mu.Lock()
	b.outstanding--
	b.dispatch()
	b.mu.Unlock()
}
