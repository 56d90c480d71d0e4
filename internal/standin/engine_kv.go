package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxEndedAttempts limits the ended attempts that an engine retains so that delayed
// calls about them are answered correctly.
const maxEndedAttempts = 1 << 16

// attempt is an engine's record of one attempt. A record that has not started only
// fences the attempt, after a cancel or a higher epoch that came before the first step.
type attempt struct {
	started    bool
	running    bool // a step of it is in the current batch
	canceled   bool
	broken     bool // a step failed, so that its cache is unusable
	final      bool
	holdsKV    bool
	epoch      state.Epoch
	nextToken  int
	prompt     string
	lastOutput activation // of token nextToken-1
	tokens     []int64    // last stage only
	lastUsed   time.Time
}

// admitKV assigns a KV-cache slot to a. If none is free, it evicts the cache that has
// been idle longest, provided that it was idle for more than kvIdleTimeout, after which
// its owner is assumed to be gone.
func (inc *incarnation) admitKV(id attemptID, a *attempt, slots int) bool {
	if inc.kvSlotsInUse >= slots && !inc.evictIdle() {
		return false
	}
	inc.attempts[id] = a
	a.holdsKV = true
	inc.kvSlotsInUse++
	return true
}

func (inc *incarnation) evictIdle() bool {
	var oldest attemptID
	var found *attempt
	for id, a := range inc.attempts {
		idle := a.holdsKV && !a.running && time.Since(a.lastUsed) > kvIdleTimeout
		if idle && (found == nil || a.lastUsed.Before(found.lastUsed)) {
			oldest, found = id, a
		}
	}
	if found == nil {
		return false
	}
	found.broken = true
	inc.release(oldest, found)
	return true
}

// release frees an attempt's KV-cache slot and retains its record for a while.
func (inc *incarnation) release(id attemptID, a *attempt) {
	if a.holdsKV {
		a.holdsKV = false
		inc.kvSlotsInUse--
	}
	inc.retainEnded(id)
}

func (inc *incarnation) retainEnded(id attemptID) {
	inc.endedAttempts = append(inc.endedAttempts, id)
	if len(inc.endedAttempts) <= maxEndedAttempts {
		return
	}
	if old := inc.attempts[inc.endedAttempts[0]]; old != nil && !old.holdsKV {
		delete(inc.attempts, inc.endedAttempts[0])
	}
	inc.endedAttempts = inc.endedAttempts[1:]
}

// recordFor returns the record of an attempt. If there is none, it creates one that
// only fences the attempt.
func (inc *incarnation) recordFor(id attemptID) *attempt {
	a := inc.attempts[id]
	if a == nil {
		a = &attempt{}
		inc.attempts[id] = a
		inc.retainEnded(id)
	}
	return a
}

// state returns the attempt's state for a response.
func (a *attempt) state(inc *incarnation) engine.AttemptState {
	out := engine.AttemptState{BootID: inc.bootID, Known: a.started && !a.broken, Canceled: a.canceled}
	if !out.Known {
		return out
	}
	out.NextToken = a.nextToken
	out.Final = a.final
	out.Tokens = append([]int64(nil), a.tokens...)
	if a.lastOutput != (activation{}) {
		out.LastOutput = a.lastOutput.encode()
	}
	return out
}

// awaitStepEnd waits until no step of a is in the current batch, so that the reported
// state stays valid. It returns false if the engine was killed. The caller holds mu.
func (e *Engine) awaitStepEnd(inc *incarnation, a *attempt) bool {
	for a.running && !inc.dead {
		e.changed.Wait()
	}
	return !inc.dead
}

func (e *Engine) resume(c engine.ResumeCall) (engine.AttemptState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	a := inc.recordFor(attemptID{c.Request, c.Attempt})
	if c.Epoch < a.epoch {
		return engine.AttemptState{}, &statusError{http.StatusConflict, "epoch was overtaken"}
	}
	a.epoch = c.Epoch
	if !e.awaitStepEnd(inc, a) {
		return engine.AttemptState{}, errAborted
	}
	if c.Epoch < a.epoch {
		return engine.AttemptState{}, &statusError{http.StatusConflict, "epoch was overtaken"}
	}
	return a.state(inc), nil
}

func (e *Engine) cancel(c engine.AttemptCall) (engine.AttemptState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	id := attemptID{c.Request, c.Attempt}
	a := inc.recordFor(id)
	a.canceled = true
	if !e.awaitStepEnd(inc, a) {
		return engine.AttemptState{}, errAborted
	}
	inc.release(id, a)
	inc.reportLoad(!e.leavingSince.IsZero())
	return a.state(inc), nil
}

// kvExport is the transfer format of an attempt's cache.
type kvExport struct {
	Layers     state.LayerRange `json:"layers"`
	Epoch      state.Epoch      `json:"epoch"`
	NextToken  int              `json:"next"`
	Prompt     string           `json:"prompt"`
	Activation []byte           `json:"act"`
	Tokens     []int64          `json:"tokens"`
}

func (e *Engine) exportKV(c engine.AttemptCall) (engine.KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	a := inc.attempts[attemptID{c.Request, c.Attempt}]
	if a != nil && !e.awaitStepEnd(inc, a) {
		return engine.KV{}, errAborted
	}
	if a == nil || !a.holdsKV || a.broken || a.canceled {
		return engine.KV{}, &statusError{http.StatusConflict, "no cache for the attempt"}
	}
	kv, err := json.Marshal(kvExport{
		Layers: inc.loaded.Layers, Epoch: a.epoch, NextToken: a.nextToken,
		Prompt: a.prompt, Activation: a.lastOutput.encode(), Tokens: a.tokens,
	})
	return engine.KV{Request: c.Request, Attempt: c.Attempt, KV: kv}, err
}

// importKV stores the KV cache of an attempt that another engine exported. It refuses a
// cache of layers other than its own, and an attempt that was started, canceled or
// fenced by a higher epoch here.
func (e *Engine) importKV(kv engine.KV) (struct{}, error) {
	var in kvExport
	if err := json.Unmarshal(kv.KV, &in); err != nil {
		return struct{}{}, err
	}
	act, ok := decodeActivation(in.Activation)
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	id := attemptID{kv.Request, kv.Attempt}
	a := inc.recordFor(id)
	switch {
	case !ok || in.Layers != inc.loaded.Layers:
		return struct{}{}, &statusError{http.StatusConflict, "cache of other layers"}
	case a.started || a.canceled || in.Epoch < a.epoch:
		return struct{}{}, &statusError{http.StatusConflict, "attempt is known here"}
	case !inc.admitKV(id, a, e.cfg.KVSlots):
		return struct{}{}, &statusError{http.StatusConflict, "no memory"}
	}
	a.started = true
	a.epoch = in.Epoch
	a.nextToken = in.NextToken
	a.prompt = in.Prompt
	a.lastOutput = act
	a.tokens = in.Tokens
	a.lastUsed = time.Now()
	return struct{}{}, nil
}
