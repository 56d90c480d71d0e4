package scenario

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// books is what truly ran, kept beside the machines to check their words.
type books struct {
	layers  map[layerRun]int
	keys    map[state.RequestID]state.IdempotencyKey
	begun   map[state.IdempotencyKey]map[work]bool // attempts that ran
	refused map[work]bool                          // attempts of requests refused as not run
	once    map[state.IdempotencyKey]bool          // never to be repeated
}

// layerRun is one stage's run for one token.
type layerRun struct {
	work  work
	token int
	stage int
}

func newBooks() *books {
	return &books{
		layers:  make(map[layerRun]int),
		keys:    make(map[state.RequestID]state.IdempotencyKey),
		begun:   make(map[state.IdempotencyKey]map[work]bool),
		refused: make(map[work]bool),
		once:    make(map[state.IdempotencyKey]bool),
	}
}

// ran notes that a stage ran its layers for a token, and checks the promises.
func (b *books) ran(w *Simulation, k work, token, stage int) {
	at := layerRun{work: k, token: token, stage: stage}
	b.layers[at]++
	if b.layers[at] > 1 {
		w.violated("stage %d ran twice for token %d of %s", stage+1, token, k.request)
	}
	if stage > 0 && b.layers[layerRun{work: k, token: token, stage: stage - 1}] == 0 {
		w.violated("stage %d ran before the one below for token %d of %s", stage+1, token, k.request)
	}
	b.began(w, k)
}

// began notes that an engine began an attempt.
func (b *books) began(w *Simulation, k work) {
	if b.refused[k] {
		w.violated("%s was refused as not run, and ran", k.request)
	}
	key := b.keys[k.request]
	attempts := b.begun[key]
	if attempts == nil {
		attempts = make(map[work]bool)
		b.begun[key] = attempts
	}
	attempts[k] = true
	if b.once[key] && len(attempts) > 1 {
		w.violated("%s is never to be repeated, and began %d times", key, len(attempts))
	}
}

// submitted notes what a request's caller asks for.
func (b *books) submitted(id state.RequestID, key state.IdempotencyKey, once bool) {
	b.keys[id] = key
	b.once[key] = once
}

// executions counts the attempts that began under a request's key.
func (b *books) executions(id state.RequestID) int {
	return len(b.begun[b.keys[id]])
}

// refuse notes that a request's caller was told that it was not run.
func (b *books) refuse(w *Simulation, r *run) {
	for k := range r.drove {
		if b.begun[b.keys[k.request]][k] {
			w.violated("%s was refused as not run, but it ran", r.name())
		}
		b.refused[k] = true
	}
}
