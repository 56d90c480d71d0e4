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

// BatcherOptions set how steps are joined. Zero fields take the defaults.
type BatcherOptions struct {
	// MaxOutstanding is how many batches may be unanswered at one time. With
	// 2, a full batch waits at the engine while the one before it runs.
	MaxOutstanding int

	// MaxPartial is how many may be unanswered for one to leave when less than
	// a full batch waits. With 1, steps gather while the engine is busy with
	// others: best where this daemon is the engine's only one. Where several
	// are, the engine forms its next batch of what all have sent, and steps
	// that are held back here miss it.
	MaxOutstandingPartial int

	// MaxBatch is the most steps of one batch; the engine's own batch cap is
	// the best value.
	MaxBatch int

	// Yields is how often the processor is given to other goroutines before a
	// batch is formed; negative for never.
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

// Batcher joins the steps of concurrent streams toward one engine. A batch
// leaves as soon as fewer than MaxPartial are unanswered; otherwise steps gather
// until one comes back or they fill a batch. The smallest priority number goes
// first, and no step ever waits for a timer.
//
// Steps of unlike priority never share a batch. The engine runs the urgent ones
// first, but answers a call only when all its steps are done, so that a check
// would wait for the drafts that it was sent with.
//
// A batch's streams all come back at the same moment and ask for their next step
// within microseconds. If the first of them left alone, the streams would split
// into groups that take turns at the engine, each batch far below its cap, and
// every token would wait for the other groups' steps. So the processor is first
// given to whoever is ready to run. docs/design/batching.md has the figures.
type Batcher struct {
	engine engine.Engine
	opts   BatcherOptions

	mu          sync.Mutex
	waiting     []*waiter // by priority, then arrival
	outstanding int
	forming     bool // a goroutine is about to form a batch
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
	return &Batcher{engine: e, opts: opts.withDefaults()}
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

// mayLeave reports whether a batch may be formed now. The caller holds mu.
func (b *Batcher) mayLeave() bool {
	switch n := len(b.waiting); {
	case n == 0:
		return false
	case n >= b.opts.MaxBatch:
		return b.outstanding < b.opts.MaxOutstanding
	default:
		return b.outstanding < min(b.opts.MaxOutstandingPartial, b.opts.MaxOutstanding)
	}
}

// dispatch sees to it that what may leave does so soon. The caller holds mu.
func (b *Batcher) dispatch() {
	if b.forming || !b.mayLeave() {
		return
	}
	b.forming = true
	go b.form()
}

// form lets other streams add their steps and sends the batches that may leave
// then.
func (b *Batcher) form() {
	for range b.opts.Yields {
		runtime.Gosched()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forming = false
	for b.mayLeave() {
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

// take removes the next batch from waiting: steps of the first one's priority.
// Steps of one attempt never stand twice in a batch: the second stays.
func (b *Batcher) take() []*waiter {
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
