package enginehttp

import (
	"context"
	"errors"
	"sort"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Defaults of BatcherOptions.
const (
	DefaultMaxOutstanding = 2
	DefaultMaxBatch       = 64
)

// BatcherOptions set how steps are joined. Zero fields take the defaults.
type BatcherOptions struct {
	// MaxOutstanding is how many batches may be unanswered at one time. With
	// 2, a batch waits at the engine while the one before it runs.
	MaxOutstanding int

	// MaxBatch is the most steps of one batch; the engine's own batch cap is
	// the best value.
	MaxBatch int
}

// Batcher joins the steps of concurrent streams toward one engine. A step goes
// out at once while fewer than MaxOutstanding batches are unanswered; else it
// waits for one of them to come back and leaves with all that have come by
// then, the smallest priority number first. So batches grow with the load, and
// no step ever waits for a timer.
type Batcher struct {
	engine engine.Engine
	opts   BatcherOptions

	mu          sync.Mutex
	waiting     []*waiter // by priority, then arrival
	outstanding int
}

type attemptKey struct {
	request state.RequestID
	attempt state.Attempt
}

type waiter struct {
	step  engine.StepRequest
	batch *batch // nil until sent
	done  chan struct{}
	res   engine.StepResult
	err   error
}

// batch is a call under way. It is canceled once none of its waiters is left.
type batch struct {
	cancel context.CancelFunc
	left   int
}

// NewBatcher returns a batcher toward e.
func NewBatcher(e engine.Engine, opts BatcherOptions) *Batcher {
	if opts.MaxOutstanding <= 0 {
		opts.MaxOutstanding = DefaultMaxOutstanding
	}
	if opts.MaxBatch <= 0 {
		opts.MaxBatch = DefaultMaxBatch
	}
	return &Batcher{engine: e, opts: opts}
}

// Step runs one step. Its errors are those of engine.Engine.Step; a step that
// was given up before its batch left is engine.NotSent.
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

// Waiting counts the steps that no batch has taken yet.
func (b *Batcher) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// enqueue keeps waiting sorted by priority, then arrival.
func (b *Batcher) enqueue(w *waiter) {
	at := sort.Search(len(b.waiting), func(i int) bool {
		return b.waiting[i].step.Priority > w.step.Priority
	})
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = w
}

// abandon gives up w. Once its batch has left, the step may run.
func (b *Batcher) abandon(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.batch != nil {
		w.batch.left--
		if w.batch.left == 0 {
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

// dispatch sends what may be sent now. The caller holds mu.
func (b *Batcher) dispatch() {
	for b.outstanding < b.opts.MaxOutstanding && len(b.waiting) > 0 {
		ws := b.take()
		ctx, cancel := context.WithCancel(context.Background())
		sent := &batch{cancel: cancel, left: len(ws)}
		for _, w := range ws {
			w.batch = sent
		}
		b.outstanding++
		go b.send(ctx, cancel, ws)
	}
}

// take removes the next batch from waiting. Steps of one attempt never stand
// twice in a batch: the second stays.
func (b *Batcher) take() []*waiter {
	ws := make([]*waiter, 0, min(len(b.waiting), b.opts.MaxBatch))
	seen := make(map[attemptKey]bool, cap(ws))
	rest := b.waiting[:0]
	for _, w := range b.waiting {
		key := attemptKey{w.step.Request, w.step.Attempt}
		if len(ws) == b.opts.MaxBatch || seen[key] {
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

func (b *Batcher) send(ctx context.Context, cancel context.CancelFunc, ws []*waiter) {
	defer cancel()
	steps := make([]engine.StepRequest, len(ws))
	for i, w := range ws {
		steps[i] = w.step
	}
	results, err := b.engine.Step(ctx, steps)
	if err == nil && len(results) != len(ws) {
		err = errors.New("engine answered another number of steps")
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
