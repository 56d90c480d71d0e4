package request

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is something that happened to a request.
type Event interface{ event() }

// StepRef names one step: what is run, for which token, where.
type StepRef struct {
	Attempt state.Attempt
	Epoch   state.Epoch
	Token   int
	Stage   int
}

type (
	// Start begins the request.
	Start struct{}

	// Tick says that time has passed.
	Tick struct{}

	// Cancel is the caller's wish to end the request.
	Cancel struct{}

	// SlotGranted answers AskSlot: Replica may be used.
	SlotGranted struct {
		Grant   state.Attempt // as in AskSlot
		Replica state.Replica
	}

	// SlotUnusable answers AskSlot: a slot was granted, but a backend server of
	// its replica does not answer, so that nothing was sent there.
	SlotUnusable struct {
		Grant   state.Attempt
		Replica state.ReplicaID
		// Unknown: nothing is wrong with the replica; this daemon does not
		// have the document yet that names it.
		UnknownReplica bool
	}

	// SlotRefused answers AskSlot: no replica will be had.
	SlotRefused struct {
		Reason     state.Reason
		RetryAfter state.RetryAfter
	}

	// ClaimSettled answers PutClaim.
	ClaimSettled struct {
		Result   ClaimResult
		Reason   state.Reason // why not, unless ClaimWon
		Takeover Takeover     // with ClaimContinue
	}

	// VoidSettled answers VoidClaim. Unless Voided, another owner may have
	// taken the claim over.
	VoidSettled struct{ Voided bool }

	// StepDone answers RunStep: the layers ran once.
	StepDone struct {
		Step   StepRef
		Output []byte
		Value  int64  // the token, from the last stage
		Text   string // a plain service's answer
		Final  bool   // the answer ends with this token
	}

	// StepNotRun answers RunStep with proof that it did not run and won't.
	StepNotRun struct {
		Step StepRef
		// Overtaken: another owner barred the step, and may have run it.
		Superseded bool
	}

	// StepFailed answers RunStep: the stage's KV cache is not to be used.
	StepFailed struct{ Step StepRef }

	// StepUnanswered answers RunStep: it may have run, unless NotSent.
	StepUnanswered struct {
		Step    StepRef
		NotSent bool // not one byte left this daemon
		Silent  bool // the connection went silent
	}

	// HeldAnswer answers AskHeld; steps of lower epochs are now barred there.
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

	// HeldUnanswered answers AskHeld: nothing is known of the stage.
	StageQueryFailed struct {
		Step       StepRef
		Superseded bool // another daemon owns the stream now
		NotSent    bool // not one byte left this daemon: nobody listens there
	}

	// RetryDecided answers AskRetry.
	RetryDecided struct {
		Allowed bool
		At      time.Time // the earliest time of the next attempt
		Exclude []state.ReplicaID
		Reason  state.Reason
	}
)

// ClaimResult is what became of a claim.
type ClaimResult int

// The values of ClaimResult.
const (
	// ClaimWon: the row carries this request's nonce; it alone may dispatch.
	ClaimWon ClaimResult = iota
	// ClaimContinue: the row named an owner that is gone, and now names this
	// one, written on the condition that it was still as it was read. The
	// attempt that it names is to be continued, never begun anew.
	ClaimTakenOver
	// ClaimRefused: the row proves that this request never was dispatched by
	// anyone and this daemon's claim is not in force.
	ClaimRefused
	// ClaimElsewhere: another request of the same key holds the row and may
	// have run.
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
