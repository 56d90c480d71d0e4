package request

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Action is something that a request wants done.
type Action interface{ action() }

type (
	// AskSlot asks the homes for a replica that is not in Exclude.
	RequestSlot struct {
		Attempt state.Attempt // the one that the slot is for; names the slot
		Exclude []state.ReplicaID
	}

	// StopAsking takes back AskSlot; a grant that crosses it is released.
	CancelSlotRequest struct{ Attempt state.Attempt }

	// ReleaseSlot gives a slot back.
	ReleaseSlot struct {
		Grant   state.Attempt
		Replica state.ReplicaID
		Unused  bool // nothing was sent to the replica
		Failed  bool // the replica failed the request
	}

	// PutClaim asks for the claim row, with the slot in hand. A later attempt
	// puts it again: the row must name the replica before it is dispatched
	// to, or a daemon that takes over would ask the wrong backend servers and
	// take their ignorance for proof.
	PutClaim struct {
		Attempt state.Attempt
		Epoch   state.Epoch
		Replica state.Replica
		// Proof shows that no attempt before ran; it is always valid.
		Proof state.NotRunProof
	}

	// AbandonClaim takes PutClaim back; ClaimSettled answers it at once.
	AbandonClaim struct{}

	// VoidClaim gives a claim back whose request was not dispatched, by a
	// write that is conditional on the row as this owner wrote it. VoidSettled
	// answers it within a short bound.
	VoidClaim struct{ Proof state.NotRunProof }

	// SettleClaim records how a claimed request ended.
	SettleClaim struct{ Outcome state.Outcome }

	// RunStep sends one step to one stage.
	RunStep struct {
		Step  StepRef
		Stage state.Stage
		// Prompt and Given are set for an attempt's first step.
		Prompt      string
		PriorTokens []int64
		Input       []byte
		LastToken   int64
	}

	// AskHeld asks one stage what it holds and bars lower epochs there.
	QueryStage struct {
		Step  StepRef
		Stage state.Stage
	}

	// CancelAttempt ends an attempt at all its stages; nothing waits for it.
	CancelAttempt struct {
		Attempt state.Attempt
		Replica state.Replica
	}

	// ReleaseAttempt says that the answer is whole: the stages may free the
	// attempt's KV cache once the tokens are kept elsewhere.
	ReleaseAttempt struct {
		Attempt state.Attempt
		Replica state.Replica
	}

	// AskRetry asks the retry budget for one more attempt.
	RequestRetry struct {
		Reason    state.RetryReason
		Attempt   state.Attempt // the one that failed
		Replica   state.ReplicaID
		Tried     []state.ReplicaID // by the attempts before
		Execution state.Execution   // of all attempts so far
	}

	// AttemptBegan tells that a replica surely runs the request. From here on
	// another daemon may take the attempt over.
	AttemptStarted struct {
		Attempt state.Attempt
		Epoch   state.Epoch
		Replica state.Replica
	}

	// Emit gives the caller the next token.
	Emit struct {
		Index int
		Value int64
		Text  string
	}

	// End gives the outcome; nothing follows.
	End struct{ Outcome state.Outcome }
)

func (RequestSlot) action()       {}
func (CancelSlotRequest) action() {}
func (ReleaseSlot) action()       {}
func (PutClaim) action()          {}
func (AbandonClaim) action()      {}
func (VoidClaim) action()         {}
func (SettleClaim) action()       {}
func (RunStep) action()           {}
func (QueryStage) action()        {}
func (CancelAttempt) action()     {}
func (ReleaseAttempt) action()    {}
func (RequestRetry) action()      {}
func (AttemptStarted) action()    {}
func (Emit) action()              {}
func (End) action()               {}
