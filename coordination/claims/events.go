package claims

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is an input of a Claim.
type Event interface {
	claimEvent()
}

// Start begins the claim with a reserved slot. It is the first event.
type Start struct {
	Slot Slot
}

// StoreResult is the result of a CallStore.
type StoreResult struct {
	Result store.Result
}

// Tick says that time has passed; see Claim.NextTick.
type Tick struct{}

// GiveUp ends the claim without running the work, because the caller cancelled,
// the deadline can't be met or the slot was lost. After a Dispatch it needs a
// valid Proof that nothing ran; without one the outcome is unknown.
type GiveUp struct {
	Reason state.Reason
	Proof  state.NotRunProof
}

// Reuse assigns a claim that was given up, but whose row could not be voided yet,
// to a repeat of the same key and content at the same daemon.
type Reuse struct {
	Request  state.RequestID
	Slot     Slot
	Deadline time.Time
}

// Redispatch asks to dispatch again in another slot, with proof that the previous
// attempt never started. The row must name the new backend servers first;
// otherwise a takeover would query the wrong ones.
type Redispatch struct {
	Slot  Slot
	Proof state.NotRunProof
}

// Ended reports how the dispatched work ended: PhaseDone, PhaseFailed or
// PhaseUnknown.
type Ended struct {
	Phase  Phase
	Digest string
}

// EvidenceKind is the recorded backend servers' answer to a QueryAttempt.
type EvidenceKind uint8

// The values of EvidenceKind.
const (
	// EvidenceNone: there will never be proof, as with a plain service or a
	// backend server that is gone.
	EvidenceNone EvidenceKind = iota
	// EvidenceUnavailable: a backend server could not be reached; query again.
	EvidenceUnavailable
	// EvidenceNotStarted: each server answered a Resume of the new epoch and
	// holds nothing of the attempt. It counts only with unchanged boot ids.
	EvidenceNotStarted
	// EvidenceHeld: the servers hold the complete attempt, so it has ended or can
	// be continued. It counts only if no recorded boot id has changed.
	EvidenceHeld
)

// Evidence answers a QueryAttempt of the same epoch. BootIDs lists the servers'
// current boot ids in the order of Record.Slot.Backends.
type Evidence struct {
	Epoch   state.Epoch
	Kind    EvidenceKind
	BootIDs []string
}

// OwnerGone tells a claim with a VerdictJoin that the owner has died, or has
// reported that it has no such request.
type OwnerGone struct {
	Owner state.Member
}

func (Start) claimEvent()       {}
func (StoreResult) claimEvent() {}
func (Tick) claimEvent()        {}
func (GiveUp) claimEvent()      {}
func (Reuse) claimEvent()       {}
func (Redispatch) claimEvent()  {}
func (Ended) claimEvent()       {}
func (Evidence) claimEvent()    {}
func (OwnerGone) claimEvent()   {}

// Action is an output of a Claim, for the daemon to carry out.
type Action interface {
	claimAction()
}

// CallStore asks for a store call. With ViaHome the call may go to the key's home
// daemon as a WriteRequest instead of directly to the store.
type CallStore struct {
	Call    store.Call
	ViaHome bool
}

// Dispatch permits the owner to send the attempt to the slot's backend
// servers, with the epoch in every step. It is emitted once per attempt.
type Dispatch struct {
	Record Record
}

// QueryAttempt asks the recorded backend servers, by engine.Resume with
// Record.Epoch at each, for the state of the attempt of an owner that is gone. The
// answer is Evidence.
type QueryAttempt struct {
	Record Record
}

// Continue makes this daemon the owner of an attempt that the backend servers
// hold. It continues the attempt, with Record.Epoch in every step.
type Continue struct {
	Record Record
}

// Released ends the claim, which then ignores events. Recorded reports that the
// terminal outcome is in the row. Before that, backend servers must not be made to
// forget the attempt: a takeover would conclude from their answers that it never
// started.
type Released struct {
	Recorded bool
}

// VerdictKind is the result of a claim for the caller.
type VerdictKind uint8

// The values of VerdictKind.
const (
	// VerdictNotRun: there is proof that this request did not and will not run.
	VerdictNotRun VerdictKind = iota + 1
	// VerdictUnsettled: the store does not answer, so the result is not known yet;
	// the caller's outcome is unknown. Another verdict may follow.
	VerdictUnsettled
	// VerdictUnknown: the request may have run; it is never run again.
	VerdictUnknown
	// VerdictJoin: Record.Owner runs the request as Record.Request; attach there.
	VerdictJoin
	// VerdictDuplicate: the request has already ended; Record has the outcome.
	VerdictDuplicate
	// VerdictKeyReused: the key was used before with other content.
	VerdictKeyReused
	// VerdictOvertaken: another daemon, given in Record, took over the dispatched
	// request; this daemon must stop running it.
	VerdictOvertaken
)

// Verdict is the result of the claim. Before a Dispatch, every kind but
// VerdictNotRun means that another daemon may run the request
// (state.Dispatches.MayRunElsewhere).
type Verdict struct {
	Kind   VerdictKind
	Reason state.Reason
	Record Record // set for Join, Duplicate, KeyReused and Overtaken; for Unknown if known

	// KeyChecked reports that the key's row was read after the request arrived.
	// A VerdictNotRun without it says nothing about earlier requests with the
	// same key, because the store could not be read.
	KeyChecked bool
}

func (CallStore) claimAction()    {}
func (Dispatch) claimAction()     {}
func (QueryAttempt) claimAction() {}
func (Continue) claimAction()     {}
func (Released) claimAction()     {}
func (Verdict) claimAction()      {}
