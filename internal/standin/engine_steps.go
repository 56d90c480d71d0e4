package standin

import (
	"slices"
	"sort"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxBacklog is how much of its timers' lateness an engine makes up for. The
// runtime's timers wake up to a millisecond late in an idle process; made up for
// in the batches after, the engine's mean rate is the nominal one.
const maxBacklog = 2 * time.Millisecond

// pendingStep is a step between its arrival and its answer.
type pendingStep struct {
	step   engine.StepRequest
	act    activation
	known  *attempt
	result *engine.StepResult // nil while running or when the engine died
	done   chan struct{}
}

func (p *pendingStep) id() attemptID {
	return attemptID{p.step.Request, p.step.Attempt}
}

func (p *pendingStep) answer(r engine.StepResult) {
	p.result = &r
	close(p.done)
}

// steps answers a batch once all its steps are done. They join the steps of
// other calls in the batches that the engine forms itself.
func (e *Engine) steps(b engine.StepBatch) (engine.StepResults, error) {
	pending := make([]*pendingStep, len(b.Steps))
	e.mu.Lock()
	l := e.life
	for i, s := range b.Steps {
		pending[i] = &pendingStep{step: s, done: make(chan struct{})}
		if l.dead {
			close(pending[i].done)
			continue
		}
		l.enqueue(pending[i])
	}
	l.report(!e.left.IsZero())
	l.signal()
	e.mu.Unlock()

	out := engine.StepResults{Results: make([]engine.StepResult, len(pending))}
	for i, p := range pending {
		<-p.done
		if p.result == nil {
			return engine.StepResults{}, errAborted
		}
		out.Results[i] = *p.result
	}
	return out, nil
}

// enqueue keeps the queue sorted by priority, then arrival.
func (l *life) enqueue(p *pendingStep) {
	at := sort.Search(len(l.queue), func(i int) bool {
		return l.queue[i].step.Priority > p.step.Priority
	})
	l.queue = slices.Insert(l.queue, at, p)
}

// loop runs batches, one after another, until the life ends.
func (e *Engine) loop(l *life) {
	for range l.wake {
		if !e.drain(l) {
			return
		}
	}
}

// drain runs batches until the queue is empty. It reports false when the life
// is over.
func (e *Engine) drain(l *life) bool {
	free := time.Now().Add(-l.lateness)
	for {
		e.awaitThaw()
		batch, took, ok := e.begin(l)
		if !ok || len(batch) == 0 {
			return ok
		}
		if earliest := time.Now().Add(-maxBacklog); free.Before(earliest) {
			free = earliest
		}
		free = free.Add(took)
		time.Sleep(time.Until(free))
		l.lateness = min(max(time.Since(free), 0), maxBacklog)
		e.awaitThaw()
		e.finish(l, batch)
	}
}

// begin takes the next batch and says how long it takes. Steps that may not run
// are answered at once. It reports false when the life is over.
func (e *Engine) begin(l *life) ([]*pendingStep, time.Duration, bool) {
	e.mu.Lock()
	var batch []*pendingStep
	took := e.cfg.StepTime + time.Duration(l.held.Layers.Len())*e.cfg.LayerTime
	var fatal []string // contents that end the engine
	rest := l.queue[:0]
	for _, p := range l.queue {
		if len(batch) == e.cfg.BatchCap {
			rest = append(rest, p)
			continue
		}
		if refusal, refused := e.admit(l, p); refused {
			p.answer(refusal)
			continue
		}
		took += e.beginStep(l, p)
		if e.crashOn != "" && e.crashes(e.contentOf(p)) {
			fatal = append(fatal, e.contentOf(p))
		}
		batch = append(batch, p)
	}
	clear(l.queue[len(rest):])
	l.queue = rest
	l.batch = len(batch)
	l.report(!e.left.IsZero())
	took = time.Duration(float64(took) * e.slow)
	dead := l.dead
	e.mu.Unlock()

	if len(fatal) > 0 {
		for _, content := range fatal {
			e.cfg.Ledger.crashed(content)
		}
		abandon(batch)
		e.Kill()
		return nil, 0, false
	}
	return batch, took, !dead
}

// abandon ends the calls of a batch that a crash cut off.
func abandon(batch []*pendingStep) {
	for _, p := range batch {
		close(p.done)
	}
}

// contentOf is the prompt of a step's request. Later stages never see it on the
// wire; the ledger has it.
func (e *Engine) contentOf(p *pendingStep) string {
	if p.known.prompt != "" {
		return p.known.prompt
	}
	return e.cfg.Ledger.contentOf(p.step.Request)
}

// beginStep marks p as running and returns the time that its prompt adds.
func (e *Engine) beginStep(l *life, p *pendingStep) time.Duration {
	p.known.running = true
	p.known.epoch = max(p.known.epoch, p.step.Epoch)
	p.known.used = time.Now()
	if p.step.Prompt == "" {
		return 0
	}
	missing := l.cache.use(state.Prefixes(p.step.Prompt), time.Now())
	return time.Duration(missing) * e.cfg.PrefillTime
}

// finish records and answers a batch, unless the life ended under it.
func (e *Engine) finish(l *life, batch []*pendingStep) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.dead {
		abandon(batch)
		return
	}
	for _, p := range batch {
		p.answer(e.finishStep(l, p))
	}
	l.batch = 0
	l.report(!e.left.IsZero())
	e.changed.Broadcast()
}

func (e *Engine) finishStep(l *life, p *pendingStep) engine.StepResult {
	a, s := p.known, p.step
	a.running = false
	a.act = p.act.run(s.Layers.First, s.Layers.End)
	a.next = s.Token + 1
	e.cfg.Ledger.ran(p.id(), s.Token, s.Layers, e.cfg.ModelLayers)

	result := engine.StepResult{Status: engine.StepDone, Output: a.act.encode()}
	if s.Layers.End != e.cfg.ModelLayers {
		return result
	}
	result.Token = a.act.value(e.cfg.ModelLayers)
	result.Final = a.next >= int(a.act.length) || s.MaxTokens > 0 && a.next >= s.MaxTokens
	a.tokens = append(a.tokens, result.Token)
	if result.Final {
		a.final = true
		l.release(p.id(), a)
	}
	return result
}
