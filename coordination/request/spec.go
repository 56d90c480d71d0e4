package request

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Spec describes a request, already validated against its service's document.
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

	// Owner distinguishes this run of this daemon from every other that may drive the
	// request; see state.NewAttempt.
	Owner uint32

	// FirstTokenDeadline is the deadline of the first token.
	FirstTokenDeadline time.Time

	// Takeover is set if another daemon owned the stream before. A never-repeat request
	// is taken over through its claim row instead; see ClaimTakenOver.
	Takeover *Takeover
}

// Takeover describes an attempt that another daemon drove. For a repeatable request it
// is an attempt that certainly started; for a never-repeat request it is the content of
// the claim row.
type Takeover struct {
	Replica state.Replica
	Attempt state.Attempt
	Epoch   state.Epoch // of the previous owner or, with ClaimTakenOver, of this one
}

// phase is the state of a request.
type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseAwaitingReplica // the granted replica is not known here yet; a slot is requested again at retryAt
	phaseClaiming
	phaseRunning    // one step is in progress
	phaseQuerying   // a stage is queried about a lost step
	phaseTakingOver // all stages are queried, after a takeover
	phaseRetryWait  // waiting for the decision of the retry budget
	phaseBackoff    // a retry is allowed at retryAt
	phaseVoiding    // the claim is voided before the refusal
	phaseEnded
)
