package scenario

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// claim is one claim at one daemon and the run that uses it. It remains until the
// claim is released, even after the run has ended.
type claim struct {
	node    *node
	m       *claims.Claim
	r       *run // nil when the request has ended
	voiding bool // r is waiting for VoidSettled
	settled bool // r has received the answer to its PutClaim
}

func keyOf(r *run) claims.Key {
	return claims.Key{Service: r.spec.Service, Customer: r.spec.Customer, Key: r.spec.Key}
}

func (n *node) claim(key claims.Key) *claim {
	for _, c := range n.claims {
		if c.m.Key() == key {
			return c
		}
	}
	return nil
}

// claimOf returns the claim used by r, or nil.
func (n *node) claimOf(r *run) *claim {
	c := n.claim(keyOf(r))
	if c == nil || c.r != r {
		return nil
	}
	return c
}

// Owns implements claims.View.
func (n *node) Owns(rec claims.Record) bool {
	if rec.Owner == n.member {
		r := n.run(rec.Request)
		return r != nil && !r.m.Ended()
	}
	other := n.sim.node(string(rec.Owner.ID))
	return other != nil && other.isLive() && other.member == rec.Owner
}

func (n *node) putClaim(r *run, a request.PutClaim) {
	slot := claims.Slot{Attempt: a.Attempt, Replica: a.Replica.ID}
	for _, s := range a.Replica.Stages {
		slot.Backends = append(slot.Backends, claims.Backend{ID: s.Backend, BootID: s.BootID})
	}
	c := n.claim(keyOf(r))
	switch {
	case c == nil:
		n.startClaim(r, slot)
	case c.r == r:
		c.settled = false
		c.step(claims.Redispatch{Slot: slot, Proof: a.Proof})
	case c.r == nil && c.m.Reusable():
		c.r = r
		c.settled = false
		c.step(claims.Reuse{Request: r.spec.ID, Slot: slot, Deadline: r.spec.FirstTokenDeadline})
	default:
		r.joined = n.run(c.m.Request().ID)
		r.feedAfter(0, request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
	}
}

func (n *node) startClaim(r *run, slot claims.Slot) {
	n.sim.seq++
	c := &claim{node: n, r: r}
	c.m = claims.New(claims.DefaultConfig(), n.sim.rng, n, claims.Request{
		Key:         keyOf(r),
		Content:     r.spec.Prompt,
		ID:          r.spec.ID,
		Owner:       n.member,
		Nonce:       state.Nonce(fmt.Sprintf("%s/%d", n.name, n.sim.seq)),
		Deadline:    r.spec.FirstTokenDeadline,
		OwnerNumber: n.owner,
	})
	n.claims = append(n.claims, c)
	c.step(claims.Start{Slot: slot})
}

func (n *node) abandonClaim(r *run) {
	if c := n.claimOf(r); c != nil {
		c.step(claims.GiveUp{Reason: state.ReasonCanceled})
	}
}

func (n *node) voidClaim(r *run, proof state.NotRunProof) {
	c := n.claimOf(r)
	if c == nil {
		r.feedAfter(0, request.VoidSettled{})
		return
	}
	c.voiding = true
	c.step(claims.GiveUp{Reason: state.ReasonCanceled, Proof: proof})
}

func (n *node) settleClaim(r *run, o state.Outcome) {
	phase := claims.PhaseFailed
	switch o.(type) {
	case state.Completed:
		phase = claims.PhaseDone
	case state.Unknown:
		phase = claims.PhaseUnknown
	}
	if c := n.claimOf(r); c != nil {
		c.step(claims.Ended{Phase: phase})
	}
}

// detachClaim separates the claim from an ended run; the claim itself remains.
func (n *node) detachClaim(r *run) {
	if c := n.claimOf(r); c != nil {
		c.r = nil
	}
}

func (c *claim) step(ev claims.Event) {
	if c.m.Released() {
		return
	}
	for _, a := range c.m.Step(c.node.sim.now, ev) {
		c.execute(a)
	}
}

func (c *claim) execute(a claims.Action) {
	sim := c.node.sim
	switch a := a.(type) {
	case claims.CallStore:
		sim.callTable(a.Call, func(res store.Result) {
			c.node.deliver(func() { c.step(claims.StoreResult{Result: res}) })
		})
	case claims.Dispatch:
		c.settle(request.ClaimSettled{Result: request.ClaimWon})
	case claims.Continue:
		c.takeOver(a.Record)
	case claims.QueryAttempt:
		sim.after(hopDelay, func() {
			ev := sim.evidence(a.Record)
			sim.after(hopDelay, func() { c.node.deliver(func() { c.step(ev) }) })
		})
	case claims.Verdict:
		c.verdict(a)
	case claims.Released:
		c.node.claims = slices.DeleteFunc(slices.Clone(c.node.claims), func(other *claim) bool { return other == c })
	}
}

// evidence queries the engines of a claimed attempt whose owner is gone.
func (sim *Simulation) evidence(rec claims.Record) claims.Evidence {
	ev := claims.Evidence{Epoch: rec.Epoch, Kind: claims.EvidenceNone}
	held := 0
	for i, b := range rec.Slot.Backends {
		e := sim.engine(string(b.ID))
		if e.dead {
			return ev
		}
		ref := request.StepRef{Attempt: rec.Slot.Attempt, Epoch: rec.Epoch, Stage: i}
		h, ok := e.queryState(rec.Request, ref, 0).(request.StageState)
		if !ok {
			return ev
		}
		ev.BootIDs = append(ev.BootIDs, h.Life)
		if h.Known && !h.Canceled {
			held++
		}
	}
	ev.Kind = claims.EvidenceNotStarted
	if held > 0 {
		ev.Kind = claims.EvidenceHeld
	}
	return ev
}

// settle delivers the answer to the run's PutClaim, at most once. The zero delay makes it
// an event of its own instead of a part of the current step.
func (c *claim) settle(ev request.ClaimSettled) {
	if c.r == nil || c.settled {
		return
	}
	c.settled = true
	c.r.feedAfter(0, ev)
}

// takeOver makes the run continue an attempt that another daemon started.
func (c *claim) takeOver(rec claims.Record) {
	replica, ok := c.node.sim.replica(rec.Slot.Replica)
	if c.r == nil || !ok {
		c.step(claims.Ended{Phase: claims.PhaseUnknown})
		return
	}
	replica.Stages = slices.Clone(replica.Stages)
	for i, b := range rec.Slot.Backends {
		replica.Stages[i].BootID = b.BootID
	}
	c.r.execution = rec.Request
	c.settle(request.ClaimSettled{
		Result:   request.ClaimTakenOver,
		Takeover: request.Takeover{Replica: replica, Attempt: rec.Slot.Attempt, Epoch: rec.Epoch},
	})
}

func (c *claim) verdict(v claims.Verdict) {
	r := c.r
	switch {
	case r == nil:
		return
	case c.voiding:
		c.voiding = false
		c.settled = true
		c.r = nil
		r.feedAfter(0, request.VoidSettled{Voided: v.Kind == claims.VerdictNotRun})
		return
	case v.Kind == claims.VerdictOvertaken:
		r.printf("claim: taken over by %s", v.Record.Owner.ID)
		return
	}
	settled := request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: verdictReason(v)}
	switch v.Kind {
	case claims.VerdictNotRun:
		settled.Result = request.ClaimRefused
	case claims.VerdictJoin, claims.VerdictDuplicate:
		if owner := c.node.sim.node(string(v.Record.Owner.ID)); owner.isLive() {
			r.joined = owner.run(v.Record.Request)
		}
	default:
	}
	if v.Kind == claims.VerdictJoin {
		c.node.claims = slices.DeleteFunc(slices.Clone(c.node.claims), func(other *claim) bool { return other == c })
	}
	c.settle(settled)
}

var verdictReasons = map[claims.VerdictKind]state.Reason{
	claims.VerdictKeyReused: state.ReasonKeyReused,
	claims.VerdictUnsettled: state.ReasonStoreUnavailable,
	claims.VerdictNotRun:    state.ReasonStoreUnavailable,
}

// verdictReason returns the reason for which a request did not get its claim.
func verdictReason(v claims.Verdict) state.Reason {
	if v.Kind == claims.VerdictNotRun && v.Reason != "" {
		return v.Reason
	}
	return lo.ValueOr(verdictReasons, v.Kind, state.ReasonDuplicate)
}
