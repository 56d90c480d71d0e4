package request

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Action is an instruction of a Request to its owner.
type Action interface{ action() }

type (
	// AcquireSlot requests a slot of a replica that is not in Exclude from the pool
	// homes.
	AcquireSlot struct {
		Attempt state.Attempt // the attempt that needs the slot; identifies the slot
		Exclude []state.ReplicaID
		// Begun is set if the caller has tokens, so that the first token's deadline no
		// longer applies.
		Begun bool
	}

	// CancelSlotRequest cancels AcquireSlot. A grant that was sent meanwhile is
	// released.
	CancelSlotRequest struct{ Attempt state.Attempt }

	// ReleaseSlot releases a slot.
	ReleaseSlot struct {
		Grant   state.Attempt
		Replica state.ReplicaID
		Unused  bool // nothing was sent to the replica
		Failed  bool // the replica failed the request
	}

	// PutClaim requests the claim row while the slot is held. A later attempt writes it
	// again: the row must name the replica before anything is dispatched there, or a
	// daemon that takes over would query the wrong backend servers and take their
	// ignorance for proof.
	PutClaim struct {
		Attempt state.Attempt
		Epoch   state.Epoch
		Replica state.Replica
		// Proof shows that no earlier attempt ran. It is always valid.
		Proof state.NotRunProof
	}

	// AbandonClaim withdraws PutClaim. ClaimSettled answers it at once.
	AbandonClaim struct{}

	// VoidClaim gives up the claim of a request that was not dispatched, by a write
	// conditional on the row as this owner wrote it. VoidSettled answers it within a
	// short time.
	VoidClaim struct{ Proof state.NotRunProof }

	// SettleClaim records how a claimed request ended.
	SettleClaim struct{ Outcome state.Outcome }

	// RunStep sends one step to one stage.
	RunStep struct {
		Step  StepRef
		Stage state.Stage
		// Prompt and PriorTokens are set for the first step of an attempt.
		Prompt      string
		PriorTokens []int64
		Input       []byte
		LastToken   int64
	}

	// QueryStage asks one stage for its state of the attempt and fences lower epochs
	// there.
	QueryStage struct {
		Step  StepRef
		Stage state.Stage
	}

	// CancelAttempt ends an attempt at all its stages. Nothing waits for its
	// completion.
	CancelAttempt struct {
		Attempt state.Attempt
		Replica state.Replica
	}

	// ReleaseAttempt reports that the answer is complete: the stages may free the
	// attempt's KV cache once the tokens are stored elsewhere.
	ReleaseAttempt struct {
		Attempt state.Attempt
		Replica state.Replica
	}

	// DecideRetry asks the retry budget for one more attempt.
	DecideRetry struct {
		Reason    state.RetryReason
		Attempt   state.Attempt // the one that failed
		Replica   state.ReplicaID
		Tried     []state.ReplicaID // by earlier attempts
		Execution state.Execution   // of all attempts so far
	}

	// AttemptStarted reports that a replica certainly runs the request. From here on
	// another daemon may take over the attempt.
	AttemptStarted struct {
		Attempt state.Attempt
		Epoch   state.Epoch
		Replica state.Replica
	}

	// Emit delivers the next token to the caller.
	Emit struct {
		Index int
		Value int64
		Text  string
	}

	// End reports the outcome. It is the last action.
	End struct{ Outcome state.Outcome }
)

func (AcquireSlot) action()       {}
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
func (DecideRetry) action()       {}
func (AttemptStarted) action()    {}
func (Emit) action()              {}
func (End) action()               {}
