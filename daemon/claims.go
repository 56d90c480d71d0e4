package daemon

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// claimsComponent holds the claims of this daemon's never-repeat requests, one
// per key.
type claimsComponent struct {
	c     *control
	byKey map[claims.Key]*claimRun
}

// claimRun is one claim and the request that it currently serves. It is kept
// until the claim is released, even after its request has ended: a claim that
// was abandoned while the store was unavailable is reused by a repeat of its
// key.
type claimRun struct {
	component *claimsComponent
	claim     *claims.Claim
	r         *runner  // nil once the request has ended
	voiding   bool     // r waits for VoidSettled
	settled   bool     // r has received an answer to its PutClaim
	onRelease []func() // run once the outcome is in the row
}

func newClaimsComponent(c *control) *claimsComponent {
	return &claimsComponent{c: c, byKey: make(map[claims.Key]*claimRun)}
}

func keyOf(spec request.Spec) claims.Key {
	return claims.Key{Service: spec.Service, Customer: spec.Customer, Key: spec.Key}
}

func (cc *claimsComponent) nextTick(time.Time) time.Time {
	var next time.Time
	for _, run := range cc.byKey {
		at := run.claim.NextTick()
		if next.IsZero() || !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

func (cc *claimsComponent) tick(now time.Time) {
	for _, run := range cc.byKey {
		if at := run.claim.NextTick(); !at.IsZero() && !at.After(now) {
			run.step(claims.Tick{})
		}
	}
}

// Owns implements claims.OwnerView.
func (cc *claimsComponent) Owns(rec claims.Record) bool {
	if rec.Owner == cc.c.d.self {
		return cc.c.d.requests.runner(rec.Request) != nil
	}
	return cc.c.members.drivesRequests(rec.Owner)
}

// put starts a request's claim for the granted slot, or moves it to that slot.
func (cc *claimsComponent) put(r *runner, a request.PutClaim) {
	slot := slotOf(a)
	run, ok := cc.byKey[keyOf(r.spec)]
	switch {
	case !ok:
		cc.begin(r, slot)
	case run.r == r:
		run.settled = false
		run.step(claims.Redispatch{Slot: slot, Proof: a.Proof})
	case run.claim.Request().Content != r.contentDigest:
		go r.post(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonKeyReused})
	case run.r == nil && run.claim.Reusable():
		run.r = r
		run.settled = false
		run.step(claims.Reuse{Request: r.spec.ID, Slot: slot, Deadline: r.spec.FirstTokenDeadline})
	default:
		// Another request of the key is live or being settled at this daemon.
		r.join(run.claim.Request().ID, cc.c.d.self)
		go r.post(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
	}
}

func (cc *claimsComponent) begin(r *runner, slot claims.Slot) {
	run := &claimRun{component: cc, r: r}
	run.claim = claims.New(claims.DefaultConfig(), cc.c.rng, cc, claims.Request{
		Key:         keyOf(r.spec),
		Content:     r.contentDigest,
		ID:          r.spec.ID,
		Owner:       cc.c.d.self,
		Nonce:       state.Nonce(randomID()),
		Deadline:    r.spec.FirstTokenDeadline,
		OwnerNumber: cc.c.d.ownerNumber,
	})
	cc.byKey[keyOf(r.spec)] = run
	cc.c.d.metrics.Add(telemetry.ClaimsTotal, 1)
	run.step(claims.Start{Slot: slot})
}

func slotOf(a request.PutClaim) claims.Slot {
	return claims.Slot{
		Attempt: a.Attempt,
		Replica: a.Replica.ID,
		Backends: lo.Map(a.Replica.Stages, func(s state.Stage, _ int) claims.Backend {
			return claims.Backend{ID: s.Backend, BootID: s.BootID}
		}),
	}
}

// claimOf returns the claim that serves r, or nil.
func (cc *claimsComponent) claimOf(r *runner) *claimRun {
	run := cc.byKey[keyOf(r.spec)]
	if run == nil || run.r != r {
		return nil
	}
	return run
}

// abandon cancels PutClaim; the claim answers within its settle timeout.
func (cc *claimsComponent) abandon(r *runner) {
	if run := cc.claimOf(r); run != nil {
		run.step(claims.GiveUp{Reason: state.ReasonCanceled})
	}
}

// void releases the claim of a request that was not dispatched.
func (cc *claimsComponent) void(r *runner, proof state.NotRunProof) {
	run := cc.claimOf(r)
	if run == nil {
		go r.post(request.VoidSettled{})
		return
	}
	run.voiding = true
	run.step(claims.GiveUp{Reason: state.ReasonCanceled, Proof: proof})
}

// settle records how a claimed request ended.
func (cc *claimsComponent) settle(r *runner, o state.Outcome) {
	run := cc.claimOf(r)
	if run == nil {
		return
	}
	phase := claims.PhaseFailed
	switch o.(type) {
	case state.Completed:
		phase = claims.PhaseDone
	case state.Unknown:
		phase = claims.PhaseUnknown
	}
	run.step(claims.Ended{Phase: phase})
}

// detachRequest detaches the request from its claim; the claim itself is kept.
func (cc *claimsComponent) detachRequest(r *runner) {
	if run := cc.claimOf(r); run != nil {
		run.r = nil
	}
}

// afterRelease runs f once the terminal outcome of r's claim is in its row, or
// immediately if there is no claim.
func (cc *claimsComponent) afterRelease(r *runner, f func()) {
	if run := cc.claimOf(r); run != nil {
		run.onRelease = append(run.onRelease, f)
		return
	}
	f()
}

func (run *claimRun) step(ev claims.Event) {
	if run.claim.Released() {
		return
	}
	for _, a := range run.claim.Step(run.component.c.now, ev) {
		run.carryOut(a)
	}
}

func (run *claimRun) carryOut(a claims.Action) {
	c := run.component.c
	switch a := a.(type) {
	case claims.CallStore:
		run.callStore(a)
	case claims.Dispatch:
		run.answer(request.ClaimSettled{Result: request.ClaimWon})
	case claims.Continue:
		run.takeOver(a.Record)
	case claims.QueryAttempt:
		go c.d.queryRecordedAttempt(a.Record, func(ev claims.Evidence) { c.post(func() { run.step(ev) }) })
	case claims.Verdict:
		run.handleVerdict(a)
	case claims.Released:
		delete(run.component.byKey, run.claim.Key())
		run.handleReleased(a.Recorded)
	}
}

// handleReleased runs the callbacks that wait for the outcome to be in the row.
// If it could not be written, they are dropped and the backend servers keep the
// attempt until it expires there: an attempt that was freed looks as if it had
// never started, and a takeover by the row would run it again.
func (run *claimRun) handleReleased(recorded bool) {
	if !recorded {
		return
	}
	for _, f := range run.onRelease {
		f()
	}
}

// callStore sends the claim's write, through the key's home where that is
// allowed.
func (run *claimRun) callStore(a claims.CallStore) {
	c := run.component.c
	answered := func(res store.Result) { run.step(claims.StoreResult{Result: res}) }
	if req, ok := a.WriteRequest(uint64(a.Call.ID)); ok && a.ViaHome {
		c.batcher.write(run.claim.Key(), req, func(reply claims.WriteReply) {
			answered(reply.Result(a.Call.ID, req.Key))
		})
		return
	}
	c.store.do(a.Call, answered)
}

// answer gives r the answer to its PutClaim, once.
func (run *claimRun) answer(ev request.ClaimSettled) {
	if run.r == nil || run.settled {
		return
	}
	run.settled = true
	go run.r.post(ev)
}

// takeOver makes the request continue an attempt that was started under another
// request ID by a daemon that is gone.
func (run *claimRun) takeOver(rec claims.Record) {
	replica, ok := run.component.c.slots.recordedReplica(rec.Slot)
	if !ok || run.r == nil {
		run.step(claims.Ended{Phase: claims.PhaseUnknown})
		run.answer(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
		return
	}
	run.component.c.d.log.Emit(telemetry.EventRequestTakenOver, telemetry.Request(rec.Request), telemetry.Peer(rec.Owner.ID))
	run.r.setExecutionID(rec.Request)
	run.answer(request.ClaimSettled{
		Result:   request.ClaimTakenOver,
		Takeover: request.Takeover{Replica: replica, Attempt: rec.Slot.Attempt, Epoch: rec.Epoch},
	})
}

// handleVerdict reports the final state of the claim to its request.
func (run *claimRun) handleVerdict(v claims.Verdict) {
	if run.r == nil {
		return
	}
	r := run.r
	if run.voiding {
		run.voiding = false
		if v.Kind == claims.VerdictNotRun {
			run.component.c.d.log.Emit(telemetry.EventClaimVoided, telemetry.Request(r.spec.ID))
		}
		run.settled = true
		run.r = nil
		go r.post(request.VoidSettled{Voided: v.Kind == claims.VerdictNotRun})
		return
	}
	settled := request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: reasonOf(v)}
	if v.Kind == claims.VerdictNotRun {
		settled.Result = request.ClaimRefused
	}
	if v.Kind == claims.VerdictJoin || v.Kind == claims.VerdictDuplicate {
		r.join(v.Record.Request, v.Record.Owner)
	}
	if v.Kind == claims.VerdictOvertaken {
		run.component.c.d.log.Emit(telemetry.EventOwnershipLost, telemetry.Request(r.spec.ID))
		return // the backend servers reject its steps, which ends it
	}
	if v.Kind == claims.VerdictJoin {
		// The owner has the row; this claim no longer takes part.
		delete(run.component.byKey, run.claim.Key())
	}
	run.answer(settled)
}

// reasonOf returns the reason why a request has no claim.
func reasonOf(v claims.Verdict) state.Reason {
	switch v.Kind {
	case claims.VerdictKeyReused:
		return state.ReasonKeyReused
	case claims.VerdictUnsettled:
		return state.ReasonStoreUnavailable
	case claims.VerdictNotRun:
		if v.Reason != "" {
			return v.Reason
		}
		return state.ReasonStoreUnavailable
	default:
		return state.ReasonDuplicate
	}
}
