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

// claimsPart holds the claims of this daemon's never-repeat requests, one a key.
type claimsPart struct {
	c     *control
	byKey map[claims.Key]*claimRun
}

// claimRun is one claim and the request that it serves now. It is kept until
// the claim is released, even past its request: a claim that was given up while
// the store was away is reused by a repeat of its key.
type claimRun struct {
	p         *claimsPart
	m         *claims.Claim
	r         *runner  // nil when the request has ended
	voiding   bool     // r waits for VoidSettled
	settled   bool     // r has had an answer to its PutClaim
	onRelease []func() // once the outcome is in the row
}

func newClaimsPart(c *control) *claimsPart {
	return &claimsPart{c: c, byKey: make(map[claims.Key]*claimRun)}
}

func keyOf(spec request.Spec) claims.Key {
	return claims.Key{Service: spec.Service, Customer: spec.Customer, Key: spec.Key}
}

func (p *claimsPart) nextTick(time.Time) time.Time {
	var next time.Time
	for _, run := range p.byKey {
		at := run.m.NextTick()
		if next.IsZero() || !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

func (p *claimsPart) tick(now time.Time) {
	for _, run := range p.byKey {
		if at := run.m.NextTick(); !at.IsZero() && !at.After(now) {
			run.step(claims.Tick{})
		}
	}
}

// Owns implements claims.View.
func (p *claimsPart) Owns(rec claims.Record) bool {
	if rec.Owner == p.c.d.self {
		return p.c.d.requests.runner(rec.Request) != nil
	}
	return p.c.members.owns(rec.Owner)
}

// put begins or moves a request's claim, with the slot in hand.
func (p *claimsPart) put(r *runner, a request.PutClaim) {
	slot := slotOf(a)
	run, ok := p.byKey[keyOf(r.spec)]
	switch {
	case !ok:
		p.begin(r, slot)
	case run.r == r:
		run.settled = false
		run.step(claims.Redispatch{Slot: slot, Proof: a.Proof})
	case run.m.Request().Content != r.content:
		go r.post(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonKeyReused})
	case run.r == nil && run.m.Reusable():
		run.r = r
		run.settled = false
		run.step(claims.Reuse{Request: r.spec.ID, Slot: slot, Deadline: r.spec.FirstTokenDeadline})
	default:
		// Another request of the key is live or being settled at this daemon.
		r.follow(run.m.Request().ID, p.c.d.self)
		go r.post(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
	}
}

func (p *claimsPart) begin(r *runner, slot claims.Slot) {
	run := &claimRun{p: p, r: r}
	run.m = claims.New(claims.DefaultConfig(), p.c.rng, p, claims.Request{
		Key:         keyOf(r.spec),
		Content:     r.content,
		ID:          r.spec.ID,
		Owner:       p.c.d.self,
		Nonce:       state.Nonce(newLife()),
		Deadline:    r.spec.FirstTokenDeadline,
		OwnerNumber: p.c.d.owner,
	})
	p.byKey[keyOf(r.spec)] = run
	p.c.d.metrics.Add(telemetry.ClaimsTotal, 1)
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

// run returns the claim that serves r, or nil.
func (p *claimsPart) run(r *runner) *claimRun {
	run := p.byKey[keyOf(r.spec)]
	if run == nil || run.r != r {
		return nil
	}
	return run
}

// abandon takes PutClaim back; the claim answers within its grace.
func (p *claimsPart) abandon(r *runner) {
	if run := p.run(r); run != nil {
		run.step(claims.GiveUp{Reason: state.ReasonCanceled})
	}
}

// void gives the claim of an undispatched request back.
func (p *claimsPart) void(r *runner, proof state.NotRunProof) {
	run := p.run(r)
	if run == nil {
		go r.post(request.VoidSettled{})
		return
	}
	run.voiding = true
	run.step(claims.GiveUp{Reason: state.ReasonCanceled, Proof: proof})
}

// settle records how a claimed request ended.
func (p *claimsPart) settle(r *runner, o state.Outcome) {
	run := p.run(r)
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

// ended forgets the request, not the claim.
func (p *claimsPart) ended(r *runner) {
	if run := p.run(r); run != nil {
		run.r = nil
	}
}

// whenReleased runs f once the terminal outcome of r's claim is in its row, or
// at once where there is no claim.
func (p *claimsPart) whenReleased(r *runner, f func()) {
	if run := p.run(r); run != nil {
		run.onRelease = append(run.onRelease, f)
		return
	}
	f()
}

func (run *claimRun) step(ev claims.Event) {
	if run.m.Released() {
		return
	}
	for _, a := range run.m.Step(run.p.c.now, ev) {
		run.carryOut(a)
	}
}

func (run *claimRun) carryOut(a claims.Action) {
	c := run.p.c
	switch a := a.(type) {
	case claims.CallStore:
		run.callStore(a)
	case claims.Dispatch:
		run.answer(request.ClaimSettled{Result: request.ClaimWon})
	case claims.Continue:
		run.continued(a.Record)
	case claims.QueryAttempt:
		go c.d.askRecorded(a.Record, func(ev claims.Evidence) { c.post(func() { run.step(ev) }) })
	case claims.Verdict:
		run.verdict(a)
	case claims.Released:
		delete(run.p.byKey, run.m.Key())
		run.released(a.Recorded)
	}
}

// released frees what waited for the outcome to be in the row. Where it could not
// be written, the backend servers keep the attempt until they forget it by
// themselves: freed, it would look as if it had never begun, and a takeover by
// the row would run it again.
func (run *claimRun) released(recorded bool) {
	if !recorded {
		return
	}
	for _, f := range run.onRelease {
		f()
	}
}

// callStore sends the claim's write, by way of the key's home if it may.
func (run *claimRun) callStore(a claims.CallStore) {
	c := run.p.c
	answered := func(res store.Result) { run.step(claims.StoreResult{Result: res}) }
	if req, ok := a.WriteRequest(uint64(a.Call.ID)); ok && a.ViaHome {
		c.batcher.write(run.m.Key(), req, func(reply claims.WriteReply) {
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

// continued makes the request go on with an attempt that a daemon which is gone
// began under another request id.
func (run *claimRun) continued(rec claims.Record) {
	replica, ok := run.p.c.slots.recorded(rec.Slot)
	if !ok || run.r == nil {
		run.step(claims.Ended{Phase: claims.PhaseUnknown})
		run.answer(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
		return
	}
	run.p.c.d.log.Emit(telemetry.EventRequestTakenOver, telemetry.Request(rec.Request), telemetry.Peer(rec.Owner.ID))
	run.r.setExecution(rec.Request)
	run.answer(request.ClaimSettled{
		Result:   request.ClaimTakenOver,
		Takeover: request.Takeover{Replica: replica, Attempt: rec.Slot.Attempt, Epoch: rec.Epoch},
	})
}

// verdict tells the request what became of its claim.
func (run *claimRun) verdict(v claims.Verdict) {
	if run.r == nil {
		return
	}
	r := run.r
	if run.voiding {
		run.voiding = false
		if v.Kind == claims.VerdictNotRun {
			run.p.c.d.log.Emit(telemetry.EventClaimVoided, telemetry.Request(r.spec.ID))
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
		r.follow(v.Record.Request, v.Record.Owner)
	}
	if v.Kind == claims.VerdictOvertaken {
		run.p.c.d.log.Emit(telemetry.EventOwnershipLost, telemetry.Request(r.spec.ID))
		return // its steps are barred at the backend servers, which tell it
	}
	if v.Kind == claims.VerdictJoin {
		// The owner has the row; this claim has no part in it any more.
		delete(run.p.byKey, run.m.Key())
	}
	run.answer(settled)
}

// reasonOf says why a request has no claim.
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
