package scenario

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// ledger records what the engines actually ran, independently of the state
// machines, so that their results can be checked against it.
type ledger struct {
	layerRuns       map[layerRun]int
	keys            map[state.RequestID]state.IdempotencyKey
	startedAttempts map[state.IdempotencyKey]map[attemptKey]bool // attempts that ran at an engine
	refusedAttempts map[attemptKey]bool                          // attempts of requests refused as not run
	atMostOnce      map[state.IdempotencyKey]bool                // keys of requests that must not be repeated
}

// layerRun identifies the run of one stage for one token of an attempt.
type layerRun struct {
	attempt attemptKey
	token   int
	stage   int
}

func newLedger() *ledger {
	return &ledger{
		layerRuns:       make(map[layerRun]int),
		keys:            make(map[state.RequestID]state.IdempotencyKey),
		startedAttempts: make(map[state.IdempotencyKey]map[attemptKey]bool),
		refusedAttempts: make(map[attemptKey]bool),
		atMostOnce:      make(map[state.IdempotencyKey]bool),
	}
}

// recordLayerRun records that a stage ran its layers for a token, and checks the
// invariants of order and uniqueness.
func (b *ledger) recordLayerRun(sim *Simulation, k attemptKey, token, stage int) {
	at := layerRun{attempt: k, token: token, stage: stage}
	b.layerRuns[at]++
	if b.layerRuns[at] > 1 {
		sim.reportViolation("stage %d ran twice for token %d of %s", stage+1, token, k.request)
	}
	if stage > 0 && b.layerRuns[layerRun{attempt: k, token: token, stage: stage - 1}] == 0 {
		sim.reportViolation("stage %d ran before the previous stage for token %d of %s", stage+1, token, k.request)
	}
	b.recordStart(sim, k)
}

// recordStart records that an engine started an attempt.
func (b *ledger) recordStart(sim *Simulation, k attemptKey) {
	if b.refusedAttempts[k] {
		sim.reportViolation("%s was refused as not run, but ran afterwards", k.request)
	}
	key := b.keys[k.request]
	attempts := b.startedAttempts[key]
	if attempts == nil {
		attempts = make(map[attemptKey]bool)
		b.startedAttempts[key] = attempts
	}
	attempts[k] = true
	if b.atMostOnce[key] && len(attempts) > 1 {
		sim.reportViolation("%s must not be repeated, but was started %d times", key, len(attempts))
	}
}

// recordRequest records a request's idempotency key and whether it may be repeated.
func (b *ledger) recordRequest(id state.RequestID, key state.IdempotencyKey, once bool) {
	b.keys[id] = key
	b.atMostOnce[key] = once
}

// attemptCount returns the number of attempts started under a request's key.
func (b *ledger) attemptCount(id state.RequestID) int {
	return len(b.startedAttempts[b.keys[id]])
}

// recordRefusal records that a request was refused as not run, and checks that none
// of its attempts ran.
func (b *ledger) recordRefusal(sim *Simulation, r *run) {
	for k := range r.attempts {
		if b.startedAttempts[b.keys[k.request]][k] {
			sim.reportViolation("%s was refused as not run, but it ran", r.name())
		}
		b.refusedAttempts[k] = true
	}
}
