package claims

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is what a Claim is told.
type Event interface {
	claimEvent()
}

// Start begins the claim with a slot in hand. It is the first event.
type Start struct {
	Slot Slot
}

// Answered is the result of a CallStore.
type StoreResult struct {
	Result store.Result
}

// Tick lets time pass; see Claim.NextTick.
type Tick struct{}

// GiveUp ends the claim without running the work: the caller cancelled, the
// deadline can't be met, the slot was lost. After a Dispatch it needs a valid
// Proof that nothing ran; without one the outcome is unknown.
type GiveUp struct {
	Reason state.Reason
	Proof  state.NotRunProof
}

// Reuse gives a claim that was given up, but whose row could not be voided yet,
// to a repeat of the same key and content at the same daemon.
type Reuse struct {
	Request  state.RequestID
	Slot     Slot
	Deadline time.Time
}

// Move asks to dispatch again in another slot, with proof that the attempt
// before never began. The row must name the new backend servers first, or a
// takeover would ask the wrong ones.
type Redispatch struct {
	Slot  Slot
	Proof state.NotRunProof
}

// Ended tells how the dispatched work ended: PhaseDone, PhaseFailed or
// PhaseUnknown.
type Ended struct {
	Phase  Phase
	Digest string
}

// EvidenceKind is what the recorded backend servers said to an Ask.
type EvidenceKind uint8

// The values of EvidenceKind.
const (
	// EvidenceNone: there will never be proof, as from a plain service or a
	// backend server that is gone.
	EvidenceNone EvidenceKind = iota
	// EvidenceLater: a backend server could not be reached; ask again.
	EvidenceUnavailable
	// EvidenceNeverBegan: each server answered a Resume of the new epoch and
	// holds nothing of the attempt. It counts only with equal Boots.
	EvidenceNotStarted
	// EvidenceHeld: the servers hold the attempt whole, so it can go on from
	// where it is, or is complete. It counts only if no Boot that was recorded
	// changed.
	EvidenceHeld
)

// Evidence answers an Ask of the same epoch. Boots lists the servers' boots in
// the order of Record.Slot.Backends.
type Evidence struct {
	Epoch   state.Epoch
	Kind    EvidenceKind
	BootIDs []string
}

// OwnerGone tells a claim with a VerdictJoin that the joined owner died, or
// says that it holds no such request.
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

// Action is what a Claim asks for.
type Action interface {
	claimAction()
}

// CallStore asks for one store call. A call with ViaHome may go to the key's
// home daemon as a WriteRequest instead of straight to the store.
type CallStore struct {
	Call    store.Call
	ViaHome bool
}

// Dispatch permits the owner to send the attempt to the slot's backend
// servers, with the epoch in every step. It is emitted once per attempt.
type Dispatch struct {
	Record Record
}

// Ask has the recorded backend servers asked (engine.Resume with Record.Epoch
// at each) what became of the attempt of an owner that is gone. The answer is
// Evidence.
type QueryAttempt struct {
	Record Record
}

// Continue makes this daemon the owner of an attempt that the backend servers
// hold: go on from there, with Record.Epoch in every step.
type Continue struct {
	Record Record
}

// Released ends the claim; it takes no more events. Recorded reports that the
// terminal outcome is in the row. Until then backend servers must not be told
// to forget the attempt: a takeover would learn from them that it never began.
type Released struct {
	Recorded bool
}

// VerdictKind is what the caller can be told.
type VerdictKind uint8

// The values of VerdictKind.
const (
	// VerdictNotRun: proof that this request did not run and will not.
	VerdictNotRun VerdictKind = iota + 1
	// VerdictUnsettled: the store does not answer, so that it can't be told
	// yet; the caller's outcome is unknown. Another verdict may follow.
	VerdictUnsettled
	// VerdictUnknown: it may have run; it is never run again.
	VerdictUnknown
	// VerdictJoin: Record.Owner runs it as Record.Request; attach there.
	VerdictJoin
	// VerdictDuplicate: it ended before, as Record says.
	VerdictDuplicate
	// VerdictKeyReused: the key came before with other content.
	VerdictKeyReused
	// VerdictOvertaken: another daemon took the dispatched request over as
	// Record says; this daemon must stop driving it.
	VerdictOvertaken
)

// Verdict is what became of the request. Before its Dispatch, all but
// VerdictNotRun mean that another daemon may run it
// (state.Dispatches.MayRunElsewhere).
type Verdict struct {
	Kind   VerdictKind
	Reason state.Reason
	Record Record // of Join, Duplicate, KeyReused, Overtaken, and Unknown where there is one

	// KeyChecked reports that the key's row was seen after the request came.
	// A VerdictNotRun without it says nothing of earlier requests under the
	// same key: the store could not be asked.
	KeyChecked bool
}

func (CallStore) claimAction()    {}
func (Dispatch) claimAction()     {}
func (QueryAttempt) claimAction() {}
func (Continue) claimAction()     {}
func (Released) claimAction()     {}
func (Verdict) claimAction()      {}
