package standin

import (
	"slices"
	"sort"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxTimerLateness limits how much timer lateness an engine compensates for. The
// runtime's timers fire up to a millisecond late in an idle process; shortening the
// following batches by as much keeps the engine's mean rate at the nominal one.
const maxTimerLateness = 2 * time.Millisecond

// pendingStep is a step between its arrival and its answer.
type pendingStep struct {
	step   engine.StepRequest
	input  activation
	record *attempt
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

// steps returns once all steps of the call are done. The engine runs them together
// with steps of other calls, in batches that it forms itself.
func (e *Engine) steps(b engine.StepBatch) (engine.StepResults, error) {
	pending := make([]*pendingStep, len(b.Steps))
	e.mu.Lock()
	inc := e.incarnation
	for i, s := range b.Steps {
		pending[i] = &pendingStep{step: s, done: make(chan struct{})}
		if inc.dead {
			close(pending[i].done)
			continue
		}
		inc.enqueue(pending[i])
	}
	inc.reportLoad(!e.leavingSince.IsZero())
	inc.signal()
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

// enqueue inserts p into the queue, which is sorted by priority and then by arrival.
func (inc *incarnation) enqueue(p *pendingStep) {
	at := sort.Search(len(inc.queue), func(i int) bool {
		return inc.queue[i].step.Priority > p.step.Priority
	})
	inc.queue = slices.Insert(inc.queue, at, p)
}

// loop runs batches, one after the other, until the incarnation ends.
func (e *Engine) loop(inc *incarnation) {
	for range inc.wake {
		if !e.runQueue(inc) {
			return
		}
	}
}

// runQueue runs batches until the queue is empty. It returns false if the incarnation
// has ended.
func (e *Engine) runQueue(inc *incarnation) bool {
	freeAt := time.Now().Add(-inc.lateness)
	for {
		e.awaitThaw()
		batch, duration, ok := e.startBatch(inc)
		if !ok || len(batch) == 0 {
			return ok
		}
		if earliest := time.Now().Add(-maxTimerLateness); freeAt.Before(earliest) {
			freeAt = earliest
		}
		freeAt = freeAt.Add(duration)
		time.Sleep(time.Until(freeAt))
		inc.lateness = min(max(time.Since(freeAt), 0), maxTimerLateness)
		e.awaitThaw()
		e.finishBatch(inc, batch)
	}
}

// startBatch takes the next batch from the queue and returns its duration. Steps that
// may not run are answered at once. It returns false if the incarnation has ended.
func (e *Engine) startBatch(inc *incarnation) ([]*pendingStep, time.Duration, bool) {
	e.mu.Lock()
	var batch []*pendingStep
	duration := e.cfg.StepTime + time.Duration(inc.loaded.Layers.Len())*e.cfg.LayerTime
	var fatal []string // contents that crash the engine
	rest := inc.queue[:0]
	for _, p := range inc.queue {
		if len(batch) == e.cfg.BatchCap {
			rest = append(rest, p)
			continue
		}
		if refusal, refused := e.admit(inc, p); refused {
			p.answer(refusal)
			continue
		}
		duration += e.startStep(inc, p)
		if e.crashOn != "" && e.crashesOn(e.contentOf(p)) {
			fatal = append(fatal, e.contentOf(p))
		}
		batch = append(batch, p)
	}
	clear(inc.queue[len(rest):])
	inc.queue = rest
	inc.batchSize = len(batch)
	inc.reportLoad(!e.leavingSince.IsZero())
	duration = time.Duration(float64(duration) * e.slowdown)
	dead := inc.dead
	e.mu.Unlock()

	if len(fatal) > 0 {
		for _, content := range fatal {
			e.cfg.Ledger.recordCrash(content)
		}
		dropBatch(batch)
		e.Kill()
		return nil, 0, false
	}
	return batch, duration, !dead
}

// dropBatch ends the calls of a batch without results, after a crash.
func dropBatch(batch []*pendingStep) {
	for _, p := range batch {
		close(p.done)
	}
}

// contentOf returns the prompt of a step's request. Stages after the first do not
// receive the prompt and take it from the ledger.
func (e *Engine) contentOf(p *pendingStep) string {
	if p.record.prompt != "" {
		return p.record.prompt
	}
	return e.cfg.Ledger.contentOf(p.step.Request)
}

// startStep marks p as running and returns the prefill time that its prompt adds.
func (e *Engine) startStep(inc *incarnation, p *pendingStep) time.Duration {
	p.record.running = true
	p.record.epoch = max(p.record.epoch, p.step.Epoch)
	p.record.lastUsed = time.Now()
	if p.step.Prompt == "" {
		return 0
	}
	missing := inc.cache.lookUp(state.Prefixes(p.step.Prompt), time.Now())
	return time.Duration(missing) * e.cfg.PrefillTime
}

// finishBatch records and answers a batch, unless the incarnation ended during it.
func (e *Engine) finishBatch(inc *incarnation, batch []*pendingStep) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc.dead {
		dropBatch(batch)
		return
	}
	for _, p := range batch {
		p.answer(e.finishStep(inc, p))
	}
	inc.batchSize = 0
	inc.reportLoad(!e.leavingSince.IsZero())
	e.changed.Broadcast()
}

func (e *Engine) finishStep(inc *incarnation, p *pendingStep) engine.StepResult {
	a, s := p.record, p.step
	a.running = false
	a.lastOutput = p.input.run(s.Layers.First, s.Layers.End)
	a.nextToken = s.Token + 1
	e.cfg.Ledger.recordStep(p.id(), s.Token, s.Layers, e.cfg.ModelLayers)

	result := engine.StepResult{Status: engine.StepDone, Output: a.lastOutput.encode()}
	if s.Layers.End != e.cfg.ModelLayers {
		return result
	}
	result.Token = a.lastOutput.outputToken(e.cfg.ModelLayers)
	result.Final = a.nextToken >= int(a.lastOutput.length) || s.MaxTokens > 0 && a.nextToken >= s.MaxTokens
	a.tokens = append(a.tokens, result.Token)
	if result.Final {
		a.final = true
		inc.release(p.id(), a)
	}
	return result
}
