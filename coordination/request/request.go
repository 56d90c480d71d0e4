package request

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Request is the state machine of one request. It is owned by one goroutine.
type Request struct {
	spec       Spec
	phase      phase
	dispatches *state.Dispatches

	attempt state.Attempt
	epoch   state.Epoch
	replica state.Replica
	grant   state.Attempt // slot held, 0 if none
	exclude []state.ReplicaID
	tried   []state.ReplicaID

	// The step in progress: token at stage with input.
	token      int
	stage      int
	input      []byte
	firstToken bool // the attempt's first token: stages have no cache for it yet
	started    bool // a stage certainly ran a step of the attempt
	queries    int  // number of queries to the stage about this step

	tokens        []int64 // emitted to the caller, by index
	unusableSlots int     // granted slots that could not be used

	claimed     bool            // the claim row names this owner
	pending     *pendingOutcome // set while an abandoned claim is being settled
	retryAt     time.Time       // in phaseBackoff and phaseAwaitingReplica
	stageStates []*StageState   // by stage, in phaseTakingOver

	actions []Action
}

// pendingOutcome is the outcome that waits until an abandoned claim is settled.
type pendingOutcome struct {
	reason state.Reason
	after  state.RetryAfter
}

// maxUnusableSlots bounds the granted slots that a request tries whose replica does not
// answer.
const maxUnusableSlots = 8

// unknownReplicaDelay is the delay before a slot is requested again after the grant of
// a replica that this daemon does not know yet. Replica lists reach one daemon some 10
// to 100 ms after another.
const unknownReplicaDelay = 20 * time.Millisecond

// New returns the state machine of one request. The event Start starts it.
func New(spec Spec) *Request {
	return &Request{spec: spec, dispatches: state.NewDispatches()}
}

// Step processes one event and returns the actions to carry out, in order. The slice is
// valid until the next Step.
func (r *Request) Step(now time.Time, ev Event) []Action {
	r.actions = r.actions[:0]
	if r.phase == phaseEnded {
		r.handleLate(ev)
		return r.actions
	}
	switch ev := ev.(type) {
	case Start:
		r.start()
	case Tick:
		r.tick(now)
	case Cancel:
		r.abort(state.ReasonCanceled, 0)
	case SlotGranted:
		r.slotGranted(ev)
	case SlotUnusable:
		r.slotUnusable(now, ev)
	case SlotRefused:
		r.slotRefused(ev)
	case ClaimSettled:
		r.claimSettled(ev)
	case VoidSettled:
		r.voidSettled(ev)
	case RetryDecided:
		r.retryDecided(now, ev)
	default:
		r.stepAnswer(ev)
	}
	return r.actions
}

// stepAnswer handles the answer of a stage.
func (r *Request) stepAnswer(ev Event) {
	switch ev := ev.(type) {
	case StepDone:
		r.stepDone(ev)
	case StepNotRun:
		r.stepNotRun(ev)
	case StepFailed:
		r.stepFailed(ev)
	case StepUnanswered:
		r.stepUnanswered(ev)
	case StageState:
		r.stageState(ev)
	case StageQueryFailed:
		r.stageQueryFailed(ev)
	}
}

// NextTick returns when the machine next needs a Tick, or the zero time.
func (r *Request) NextTick() time.Time {
	switch {
	case r.phase == phaseEnded, r.pending != nil:
		// A pending outcome waits for its claim to be settled, not for a point in time.
		return time.Time{}
	case r.waitsForRetryAt() && (len(r.tokens) > 0 || r.retryAt.Before(r.spec.FirstTokenDeadline)):
		return r.retryAt
	case len(r.tokens) == 0:
		return r.spec.FirstTokenDeadline
	}
	return time.Time{}
}

// Tokens returns the tokens emitted so far. The caller must not modify the slice.
func (r *Request) Tokens() []int64 {
	return r.tokens
}

// Ended reports whether End was returned.
func (r *Request) Ended() bool {
	return r.phase == phaseEnded
}

// Queued reports whether nothing has been dispatched yet.
func (r *Request) Queued() bool {
	return r.phase == phaseNew || r.phase == phaseQueued || r.phase == phaseAwaitingReplica || r.phase == phaseClaiming
}

// waitsForRetryAt reports whether a slot is to be requested at retryAt.
func (r *Request) waitsForRetryAt() bool {
	return r.phase == phaseBackoff || r.phase == phaseAwaitingReplica
}

func (r *Request) issue(a Action) {
	r.actions = append(r.actions, a)
}

func (r *Request) start() {
	if r.phase != phaseNew {
		panic("request: Start event received twice")
	}
	if r.spec.Takeover != nil {
		r.takeOver(*r.spec.Takeover)
		return
	}
	r.requestSlot()
}

func (r *Request) requestSlot() {
	r.phase = phaseQueued
	r.issue(AcquireSlot{Attempt: r.attempt.Next(r.spec.Owner), Exclude: slices.Clone(r.exclude), Begun: len(r.tokens) > 0})
}

func (r *Request) tick(now time.Time) {
	if len(r.tokens) == 0 && !now.Before(r.spec.FirstTokenDeadline) {
		r.abort(state.ReasonDeadline, 0)
		return
	}
	if r.waitsForRetryAt() && !now.Before(r.retryAt) {
		r.requestSlot()
	}
}

func (r *Request) slotGranted(ev SlotGranted) {
	if r.phase != phaseQueued {
		r.issue(ReleaseSlot{Grant: ev.Grant, Replica: ev.Replica.ID, Unused: true})
		return
	}
	r.grant = ev.Grant
	r.replica = ev.Replica
	if r.spec.NeverRepeat {
		r.putClaim()
		return
	}
	r.startAttempt()
}

// putClaim requests the claim row. No attempt can have run at this point: a
// never-repeat request gets a slot only while there is proof of that.
func (r *Request) putClaim() {
	proof, ok := r.dispatches.NotRun()
	if !ok {
		panic("request: claim requested for a request that may have run")
	}
	r.phase = phaseClaiming
	r.issue(PutClaim{
		Attempt: r.attempt.Next(r.spec.Owner),
		Epoch:   r.epoch.Next(r.spec.Owner),
		Replica: r.replica,
		Proof:   proof,
	})
}

// slotUnusable requests another slot. It costs neither an attempt nor a retry, since
// nothing was sent: a never-repeat request must not fail because of a replica that was
// known to be broken, and any other request would lose time there.
func (r *Request) slotUnusable(now time.Time, ev SlotUnusable) {
	r.issue(releaseUnusable(ev))
	if r.phase != phaseQueued {
		return
	}
	if ev.UnknownReplica {
		// Guard (replica-not-known-yet): the home learned of the replica before this
		// daemon. A request repeated at once would be granted the same replica, until
		// the request has used up its tries and is refused within milliseconds although
		// nothing is wrong.
		r.phase = phaseAwaitingReplica
		r.retryAt = now.Add(unknownReplicaDelay)
		return
	}
	r.unusableSlots++
	if r.unusableSlots > maxUnusableSlots {
		r.conclude(state.ReasonNoReplica, 0)
		return
	}
	r.exclude = append(r.exclude, ev.Replica)
	r.requestSlot()
}

func releaseUnusable(ev SlotUnusable) ReleaseSlot {
	return ReleaseSlot{Grant: ev.Grant, Replica: ev.Replica, Unused: ev.UnknownReplica, Failed: !ev.UnknownReplica}
}

func (r *Request) slotRefused(ev SlotRefused) {
	if r.phase == phaseQueued {
		r.abort(ev.Reason, ev.RetryAfter)
	}
}

func (r *Request) claimSettled(ev ClaimSettled) {
	if r.phase != phaseClaiming {
		return
	}
	switch ev.Result {
	case ClaimWon, ClaimTakenOver:
		r.claimed = true
	case ClaimHeldElsewhere:
		// The same key may have run under another request, so this record alone no
		// longer proves anything.
		r.dispatches.MarkMayRunElsewhere()
		r.claimed = false
	case ClaimRefused:
		// The row may still name this owner, from an earlier attempt.
	}
	switch {
	case r.pending != nil:
		if ev.Result == ClaimTakenOver {
			r.dispatches.MarkMayRunElsewhere()
		}
		r.conclude(r.pending.reason, r.pending.after)
	case ev.Result == ClaimTakenOver:
		r.takeOverClaimed(ev.Takeover)
	case ev.Result == ClaimWon:
		r.startAttempt()
	default:
		r.conclude(ev.Reason, 0)
	}
}

// abort ends the request in its current phase.
func (r *Request) abort(reason state.Reason, after state.RetryAfter) {
	switch r.phase {
	case phaseQueued:
		r.issue(CancelSlotRequest{Attempt: r.attempt.Next(r.spec.Owner)})
	case phaseClaiming:
		// Whether the claim was written is unknown. Until it is settled, the outcome
		// cannot be determined.
		if r.pending == nil {
			r.pending = &pendingOutcome{reason: reason, after: after}
			r.issue(AbandonClaim{})
		}
		return
	case phaseVoiding:
		return
	case phaseRunning, phaseQuerying, phaseTakingOver:
		r.issue(CancelAttempt{Attempt: r.attempt, Replica: r.replica})
	default:
	}
	r.conclude(reason, after)
}

// conclude ends the request with the outcome that the record of dispatches permits. A
// claim is voided before its request is refused as not run: another daemon may have
// taken it over in the meantime and run it, and then the voiding write fails.
func (r *Request) conclude(reason state.Reason, after state.RetryAfter) {
	if proof, notRun := r.dispatches.NotRun(); r.claimed && notRun {
		r.phase = phaseVoiding
		r.pending = &pendingOutcome{reason: reason, after: after}
		r.releaseSlot(false)
		r.issue(VoidClaim{Proof: proof})
		return
	}
	r.finish(state.Conclude(r.dispatches, reason, len(r.tokens), after))
}

func (r *Request) finish(o state.Outcome) {
	_, failed := o.(state.Failed)
	r.releaseSlot(failed)
	if r.claimed {
		r.issue(SettleClaim{Outcome: o})
	}
	r.phase = phaseEnded
	r.issue(End{Outcome: o})
}

func (r *Request) voidSettled(ev VoidSettled) {
	if r.phase != phaseVoiding {
		return
	}
	r.claimed = false
	if !ev.Voided {
		r.dispatches.MarkMayRunElsewhere()
	}
	r.conclude(r.pending.reason, r.pending.after)
}

func (r *Request) releaseSlot(failed bool) {
	if r.grant == 0 {
		return
	}
	unused := !failed && r.grant != r.attempt
	r.issue(ReleaseSlot{Grant: r.grant, Replica: r.replica.ID, Unused: unused, Failed: failed})
	r.grant = 0
}

// handleLate handles answers that arrive after the end.
func (r *Request) handleLate(ev Event) {
	switch ev := ev.(type) {
	case SlotGranted:
		r.issue(ReleaseSlot{Grant: ev.Grant, Replica: ev.Replica.ID, Unused: true})
	case SlotUnusable:
		r.issue(releaseUnusable(ev))
	case ClaimSettled:
		// End cannot precede the settlement of the claim: abort waits for it.
		panic("request: claim settled after the request ended")
	default:
	}
}
