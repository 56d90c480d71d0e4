package request

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Spec is what a request asks for, checked against its service's document.
type Spec struct {
	ID          state.RequestID
	Service     state.ServiceID
	Customer    state.CustomerID
	Class       state.ClassID
	Key         state.IdempotencyKey
	Priority    int
	Plain       bool // served by a plain service: one stage, one token
	NeverRepeat bool

	Prompt    string
	Adapter   string
	MaxTokens int

	// Owner tells this daemon's life from every other that may drive the
	// request; see state.NewAttempt.
	Owner uint32

	// FirstTokenBy is the deadline of the first token.
	FirstTokenDeadline time.Time

	// Takeover is set where another daemon owned the stream before. Requests
	// that are never to be repeated are taken over by their claim row instead;
	// see ClaimContinue.
	Takeover *Takeover
}

// Takeover is what is known of an attempt that another daemon drove. Of a
// request that may be repeated it is one that surely began; of one that may not,
// it is what the claim row says.
type Takeover struct {
	Replica state.Replica
	Attempt state.Attempt
	Epoch   state.Epoch // of the owner before, or, with ClaimContinue, of this one
}

// phase is where a request stands.
type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseLagging // a granted replica is not known here; a slot is asked for again at retryAt
	phaseClaiming
	phaseRunning   // one step is under way
	phaseAsking    // a stage is asked about a lost step
	phaseAdopting  // all stages are asked, after a takeover
	phaseRetryWait // the retry budget is asked
	phaseBackoff   // a retry is allowed at retryAt
	phaseVoiding   // a claim is given back before the refusal
	phaseEnded
)

// String names the phase for logs and scripts.
func (p phase) String() string {
	names := [...]string{"new", "queued", "claiming", "running", "asking", "adopting", "retry-wait", "backoff", "voiding", "ended"}
	return names[p]
}
