package request

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is an input of a Request.
type Event interface{ event() }

// StepRef identifies one step: attempt, epoch, token and stage.
type StepRef struct {
	Attempt state.Attempt
	Epoch   state.Epoch
	Token   int
	Stage   int
}

type (
	// Start starts the request.
	Start struct{}

	// Tick reports that time has passed.
	Tick struct{}

	// Cancel reports that the caller wants to end the request.
	Cancel struct{}

	// SlotGranted answers AcquireSlot: Replica may be used.
	SlotGranted struct {
		Grant   state.Attempt // as in AcquireSlot
		Replica state.Replica
	}

	// SlotUnusable answers AcquireSlot: a slot was granted, but a backend server of its
	// replica does not answer, so nothing was sent there.
	SlotUnusable struct {
		Grant   state.Attempt
		Replica state.ReplicaID
		// UnknownReplica is set if nothing is wrong with the replica, but this daemon
		// has not yet received the document that lists it.
		UnknownReplica bool
	}

	// SlotRefused answers AcquireSlot: no replica is available.
	SlotRefused struct {
		Reason     state.Reason
		RetryAfter state.RetryAfter
	}

	// ClaimSettled answers PutClaim.
	ClaimSettled struct {
		Result   ClaimResult
		Reason   state.Reason // of the failure, unless ClaimWon
		Takeover Takeover     // with ClaimTakenOver
	}

	// VoidSettled answers VoidClaim. Unless Voided, another owner may have taken over
	// the claim.
	VoidSettled struct{ Voided bool }

	// StepDone answers RunStep: the layers ran once.
	StepDone struct {
		Step   StepRef
		Output []byte
		Value  int64  // the token, from the last stage
		Text   string // a plain service's answer
		Final  bool   // this is the last token of the answer
	}

	// StepNotRun answers RunStep with proof that the step did not run and will not run.
	StepNotRun struct {
		Step StepRef
		// Superseded is set if another owner fenced the step and may have run it.
		Superseded bool
		// BootID is the boot ID of the process that declined the step, or empty if it is
		// unknown.
		BootID string
	}

	// StepFailed answers RunStep: the stage's KV cache must not be used.
	StepFailed struct{ Step StepRef }

	// StepUnanswered answers RunStep: the step may have run, unless NotSent.
	StepUnanswered struct {
		Step    StepRef
		NotSent bool // no byte left this daemon
		Silent  bool // the connection stopped responding
	}

	// StageState answers QueryStage. Steps of lower epochs are now fenced at that
	// stage.
	StageState struct {
		Step       StepRef
		Life       string // of the stage's process
		Known      bool
		Canceled   bool
		NextToken  int
		LastOutput []byte
		Tokens     []int64 // from the last stage
		Final      bool
	}

	// StageQueryFailed answers QueryStage: the state of the stage is unknown.
	StageQueryFailed struct {
		Step       StepRef
		Superseded bool // another daemon owns the stream now
		NotSent    bool // there is no listener, so that another query is of no use
	}

	// RetryDecided answers DecideRetry.
	RetryDecided struct {
		Allowed bool
		At      time.Time // the earliest time of the next attempt
		Exclude []state.ReplicaID
		Reason  state.Reason
	}
)

// ClaimResult is the result of a claim.
type ClaimResult int

// The values of ClaimResult.
const (
	// ClaimWon: the row carries this request's nonce, and only this request may
	// dispatch.
	ClaimWon ClaimResult = iota
	// ClaimTakenOver: the row named an owner that is gone and now names this one, by a
	// write conditional on the row as it was read. The attempt that it names is to be
	// continued, never started anew.
	ClaimTakenOver
	// ClaimRefused: the row proves that no daemon ever dispatched this request, and
	// this daemon's claim is not in force.
	ClaimRefused
	// ClaimHeldElsewhere: another request with the same key holds the row and may have
	// run.
	ClaimHeldElsewhere
)

func (Start) event()            {}
func (Tick) event()             {}
func (Cancel) event()           {}
func (SlotGranted) event()      {}
func (SlotUnusable) event()     {}
func (SlotRefused) event()      {}
func (ClaimSettled) event()     {}
func (VoidSettled) event()      {}
func (StepDone) event()         {}
func (StepNotRun) event()       {}
func (StepFailed) event()       {}
func (StepUnanswered) event()   {}
func (StageState) event()       {}
func (StageQueryFailed) event() {}
func (RetryDecided) event()     {}
