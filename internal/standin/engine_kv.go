package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxDone bounds the ended attempts that an engine remembers, so that late
// calls about them are answered rightly.
const maxDone = 1 << 16

// attempt is what an engine knows of one attempt. A record that never started
// holds only a bar: a cancel or an epoch that came before the first step.
type attempt struct {
	started  bool
	running  bool // a step of it is in the batch under way
	canceled bool
	broken   bool // a step failed: its cache is not to be used again
	final    bool
	holdsKV  bool
	epoch    state.Epoch
	next     int
	prompt   string
	act      activation // of token next-1
	tokens   []int64    // last stage only
	used     time.Time
}

// admitKV gives a its share of the cache memory. When that is full, the cache
// that was idle longest is dropped if its owner seems gone.
func (l *life) admitKV(id attemptID, a *attempt, slots int) bool {
	if l.live >= slots && !l.evictIdle() {
		return false
	}
	l.attempts[id] = a
	a.holdsKV = true
	l.live++
	return true
}

func (l *life) evictIdle() bool {
	var oldest attemptID
	var found *attempt
	for id, a := range l.attempts {
		idle := a.holdsKV && !a.running && time.Since(a.used) > defaultKVIdle
		if idle && (found == nil || a.used.Before(found.used)) {
			oldest, found = id, a
		}
	}
	if found == nil {
		return false
	}
	found.broken = true
	l.release(oldest, found)
	return true
}

// release frees an attempt's cache memory and keeps its record for a while.
func (l *life) release(id attemptID, a *attempt) {
	if a.holdsKV {
		a.holdsKV = false
		l.live--
	}
	l.remember(id)
}

func (l *life) remember(id attemptID) {
	l.done = append(l.done, id)
	if len(l.done) <= maxDone {
		return
	}
	if old := l.attempts[l.done[0]]; old != nil && !old.holdsKV {
		delete(l.attempts, l.done[0])
	}
	l.done = l.done[1:]
}

// known returns the record of an attempt, making one that only bars.
func (l *life) known(id attemptID) *attempt {
	a := l.attempts[id]
	if a == nil {
		a = &attempt{}
		l.attempts[id] = a
		l.remember(id)
	}
	return a
}

// held is the answer about a.
func (a *attempt) held(l *life) engine.AttemptState {
	h := engine.AttemptState{BootID: l.name, Known: a.started && !a.broken, Canceled: a.canceled}
	if !h.Known {
		return h
	}
	h.NextToken = a.next
	h.Final = a.final
	h.Tokens = append([]int64(nil), a.tokens...)
	if a.act != (activation{}) {
		h.LastOutput = a.act.encode()
	}
	return h
}

// settled waits until no step of a is in the batch under way, so that what is
// answered about it stays true. It reports false when the engine died. The
// caller holds mu.
func (e *Engine) settled(l *life, a *attempt) bool {
	for a.running && !l.dead {
		e.changed.Wait()
	}
	return !l.dead
}

func (e *Engine) resume(c engine.ResumeCall) (engine.AttemptState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	a := l.known(attemptID{c.Request, c.Attempt})
	if c.Epoch < a.epoch {
		return engine.AttemptState{}, &statusError{http.StatusConflict, "epoch was overtaken"}
	}
	a.epoch = c.Epoch
	if !e.settled(l, a) {
		return engine.AttemptState{}, errAborted
	}
	if c.Epoch < a.epoch {
		return engine.AttemptState{}, &statusError{http.StatusConflict, "epoch was overtaken"}
	}
	return a.held(l), nil
}

func (e *Engine) cancel(c engine.AttemptCall) (engine.AttemptState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	id := attemptID{c.Request, c.Attempt}
	a := l.known(id)
	a.canceled = true
	if !e.settled(l, a) {
		return engine.AttemptState{}, errAborted
	}
	l.release(id, a)
	l.report(!e.left.IsZero())
	return a.held(l), nil
}

// exported is an attempt's cache on its way.
type exported struct {
	Layers state.LayerRange `json:"layers"`
	Epoch  state.Epoch      `json:"epoch"`
	Next   int              `json:"next"`
	Prompt string           `json:"prompt"`
	Act    []byte           `json:"act"`
	Tokens []int64          `json:"tokens"`
}

func (e *Engine) exportKV(c engine.AttemptCall) (engine.KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	a := l.attempts[attemptID{c.Request, c.Attempt}]
	if a != nil && !e.settled(l, a) {
		return engine.KV{}, errAborted
	}
	if a == nil || !a.holdsKV || a.broken || a.canceled {
		return engine.KV{}, &statusError{http.StatusConflict, "no cache for the attempt"}
	}
	kv, err := json.Marshal(exported{
		Layers: l.held.Layers, Epoch: a.epoch, Next: a.next,
		Prompt: a.prompt, Act: a.act.encode(), Tokens: a.tokens,
	})
	return engine.KV{Request: c.Request, Attempt: c.Attempt, KV: kv}, err
}

func (e *Engine) importKV(kv engine.KV) (struct{}, error) {
	var in exported
	if err := json.Unmarshal(kv.KV, &in); err != nil {
		return struct{}{}, err
	}
	act, ok := decodeActivation(in.Act)
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	id := attemptID{kv.Request, kv.Attempt}
	a := l.known(id)
	switch {
	case !ok || in.Layers != l.held.Layers:
		return struct{}{}, &statusError{http.StatusConflict, "cache of other layers"}
	case a.started || a.canceled || in.Epoch < a.epoch:
		return struct{}{}, &statusError{http.StatusConflict, "attempt is known here"}
	case !l.admitKV(id, a, e.cfg.KVSlots):
		return struct{}{}, &statusError{http.StatusConflict, "no memory"}
	}
	a.started = true
	a.epoch = in.Epoch
	a.next = in.Next
	a.prompt = in.Prompt
	a.act = act
	a.tokens = in.Tokens
	a.used = time.Now()
	return struct{}{}, nil
}
