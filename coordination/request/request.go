package request

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Request is the state machine of one request. It belongs to one goroutine.
type Request struct {
	spec  Spec
	phase phase
	sent  *state.Dispatches

	attempt state.Attempt
	epoch   state.Epoch
	replica state.Replica
	grant   state.Attempt // slot in hand, 0 for none
	exclude []state.ReplicaID
	tried   []state.ReplicaID

	// The step under way: token at stage with input; last is the token before.
	token int
	stage int
	input []byte
	fresh bool // the attempt's first token: stages have no cache of it yet
	begun bool // a stage surely ran a step of the attempt
	asks  int  // how often the stage was asked about this step

	tokens  []int64 // given to the caller, by index
	useless int     // slots that could not be used

	claimed  bool          // the claim row names this owner
	ending   *ending       // set while an abandoned claim is settled
	retryAt  time.Time     // in phaseBackoff and phaseLagging
	adopting []*StageState // by stage, in phaseAdopting

	out []Action
}

// ending is the outcome that waits for an abandoned claim.
type ending struct {
	reason state.Reason
	after  state.RetryAfter
}

// maxUseless bounds the slots that a request tries whose replica does not answer.
const maxUseless = 8

// lagWait is the time after which a request asks again that was granted a replica which this
// daemon does not know yet: the list of replicas reaches a daemon some 10 to 100 ms after
// another one.
const lagWait = 20 * time.Millisecond

// New returns the machine of one request; Start begins it.
func New(spec Spec) *Request {
	return &Request{spec: spec, sent: state.NewDispatches()}
}

// Step takes one event and returns what is to be done, in order. The slice is
// valid until the next Step.
func (r *Request) Step(now time.Time, ev Event) []Action {
	r.out = r.out[:0]
	if r.phase == phaseEnded {
		r.late(ev)
		return r.out
	}
	switch ev := ev.(type) {
	case Start:
		r.start()
	case Tick:
		r.tick(now)
	case Cancel:
		r.giveUp(state.ReasonCanceled, 0)
	case SlotGranted:
		r.granted(ev)
	case SlotUnusable:
		r.unusable(now, ev)
	case SlotRefused:
		r.refused(ev)
	case ClaimSettled:
		r.claimSettled(ev)
	case VoidSettled:
		r.voidSettled(ev)
	case RetryDecided:
		r.retryDecided(now, ev)
	default:
		r.stepAnswer(ev)
	}
	return r.out
}

// stepAnswer takes the answer of a stage.
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
		r.heldAnswer(ev)
	case StageQueryFailed:
		r.heldUnanswered(ev)
	}
}

// NextTick returns when the machine next wants a Tick, or the zero time.
func (r *Request) NextTick() time.Time {
	switch {
	case r.phase == phaseEnded, r.ending != nil:
		// What ends after its claim is settled waits for that, not for a time.
		return time.Time{}
	case r.phase == phaseBackoff && len(r.tokens) > 0:
		return r.retryAt
	case r.waitsToAsk() && r.retryAt.Before(r.spec.FirstTokenDeadline):
		return r.retryAt
	case len(r.tokens) == 0:
		return r.spec.FirstTokenDeadline
	}
	return time.Time{}
}

// Tokens returns the tokens given so far; the caller must not change it.
func (r *Request) Tokens() []int64 {
	return r.tokens
}

// Ended reports whether End was returned.
func (r *Request) Ended() bool {
	return r.phase == phaseEnded
}

// Queued reports whether nothing was dispatched yet.
func (r *Request) Queued() bool {
	return r.phase == phaseNew || r.phase == phaseQueued || r.phase == phaseLagging || r.phase == phaseClaiming
}

// waitsToAsk reports whether a slot is asked for at retryAt.
func (r *Request) waitsToAsk() bool {
	return r.phase == phaseBackoff || r.phase == phaseLagging
}

func (r *Request) do(a Action) {
	r.out = append(r.out, a)
}

func (r *Request) start() {
	if r.phase != phaseNew {
		panic("request: started twice")
	}
	if r.spec.Takeover != nil {
		r.adopt(*r.spec.Takeover)
		return
	}
	r.askSlot()
}

func (r *Request) askSlot() {
	r.phase = phaseQueued
	r.do(RequestSlot{Attempt: r.attempt.Next(r.spec.Owner), Exclude: slices.Clone(r.exclude)})
}

func (r *Request) tick(now time.Time) {
	if len(r.tokens) == 0 && !now.Before(r.spec.FirstTokenDeadline) {
		r.giveUp(state.ReasonDeadline, 0)
		return
	}
	if r.waitsToAsk() && !now.Before(r.retryAt) {
		r.askSlot()
	}
}

func (r *Request) granted(ev SlotGranted) {
	if r.phase != phaseQueued {
		r.do(ReleaseSlot{Grant: ev.Grant, Replica: ev.Replica.ID, Unused: true})
		return
	}
	r.grant = ev.Grant
	r.replica = ev.Replica
	if r.spec.NeverRepeat {
		r.putClaim()
		return
	}
	r.begin()
}

// putClaim asks for the claim row. Nothing can have run here: a request that is
// never repeated gets a slot only while there is proof of that.
func (r *Request) putClaim() {
	proof, ok := r.sent.NotRun()
	if !ok {
		panic("request: claim of a request that may have run")
	}
	r.phase = phaseClaiming
	r.do(PutClaim{
		Attempt: r.attempt.Next(r.spec.Owner),
		Epoch:   r.epoch.Next(r.spec.Owner),
		Replica: r.replica,
		Proof:   proof,
	})
}

// unusable looks for another slot. It costs no attempt and no retry: nothing was
// sent. A request that is never repeated must not be lost to a replica that was
// known to be broken, and any other would lose time there.
func (r *Request) unusable(now time.Time, ev SlotUnusable) {
	r.do(releaseUnusable(ev))
	if r.phase != phaseQueued {
		return
	}
	if ev.UnknownReplica {
		// Guard (replica-not-known-yet): the home has heard of the replica first. Asked
		// again at once it grants it again, until the request has used up its tries and is
		// refused within milliseconds, although nothing is wrong.
		r.phase = phaseLagging
		r.retryAt = now.Add(lagWait)
		return
	}
	r.useless++
	if r.useless > maxUseless {
		r.end(state.ReasonNoReplica, 0)
		return
	}
	r.exclude = append(r.exclude, ev.Replica)
	r.askSlot()
}

func releaseUnusable(ev SlotUnusable) ReleaseSlot {
	return ReleaseSlot{Grant: ev.Grant, Replica: ev.Replica, Unused: ev.UnknownReplica, Failed: !ev.UnknownReplica}
}

func (r *Request) refused(ev SlotRefused) {
	if r.phase == phaseQueued {
		r.giveUp(ev.Reason, ev.RetryAfter)
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
		// The same key may have run under another request, so that this
		// record alone can prove nothing any more.
		r.sent.MayRunElsewhere()
		r.claimed = false
	case ClaimRefused:
		// The row may still name this owner, from an attempt before.
	}
	switch {
	case r.ending != nil:
		if ev.Result == ClaimTakenOver {
			r.sent.MayRunElsewhere()
		}
		r.end(r.ending.reason, r.ending.after)
	case ev.Result == ClaimTakenOver:
		r.continueClaimed(ev.Takeover)
	case ev.Result == ClaimWon:
		r.begin()
	default:
		r.end(ev.Reason, 0)
	}
}

// giveUp ends the request where it stands.
func (r *Request) giveUp(reason state.Reason, after state.RetryAfter) {
	switch r.phase {
	case phaseQueued:
		r.do(CancelSlotRequest{Attempt: r.attempt.Next(r.spec.Owner)})
	case phaseClaiming:
		// Whether the claim was written is not known; until it is settled
		// nothing can be said of the request.
		if r.ending == nil {
			r.ending = &ending{reason: reason, after: after}
			r.do(AbandonClaim{})
		}
		return
	case phaseVoiding:
		return
	case phaseRunning, phaseAsking, phaseAdopting:
		r.do(CancelAttempt{Attempt: r.attempt, Replica: r.replica})
	default:
	}
	r.end(reason, after)
}

// end gives the outcome that the record of dispatches allows. A claim is voided
// before its request is refused as not run: another daemon may have taken it
// over meanwhile and run it, and then the voiding write fails.
func (r *Request) end(reason state.Reason, after state.RetryAfter) {
	if proof, notRun := r.sent.NotRun(); r.claimed && notRun {
		r.phase = phaseVoiding
		r.ending = &ending{reason: reason, after: after}
		r.releaseSlot(false)
		r.do(VoidClaim{Proof: proof})
		return
	}
	r.finish(state.Conclude(r.sent, reason, len(r.tokens), after))
}

func (r *Request) finish(o state.Outcome) {
	_, failed := o.(state.Failed)
	r.releaseSlot(failed)
	if r.claimed {
		r.do(SettleClaim{Outcome: o})
	}
	r.phase = phaseEnded
	r.do(End{Outcome: o})
}

func (r *Request) voidSettled(ev VoidSettled) {
	if r.phase != phaseVoiding {
		return
	}
	r.claimed = false
	if !ev.Voided {
		r.sent.MayRunElsewhere()
	}
	r.end(r.ending.reason, r.ending.after)
}

func (r *Request) releaseSlot(failed bool) {
	if r.grant == 0 {
		return
	}
	unused := !failed && r.grant != r.attempt
	r.do(ReleaseSlot{Grant: r.grant, Replica: r.replica.ID, Unused: unused, Failed: failed})
	r.grant = 0
}

// late handles answers that come after the end.
func (r *Request) late(ev Event) {
	switch ev := ev.(type) {
	case SlotGranted:
		r.do(ReleaseSlot{Grant: ev.Grant, Replica: ev.Replica.ID, Unused: true})
	case SlotUnusable:
		r.do(releaseUnusable(ev))
	case ClaimSettled:
		// An End can't come before its claim is settled: giveUp waits for it.
		panic("request: claim settled after the end")
	default:
	}
}
