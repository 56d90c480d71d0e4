package claims

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// decide settles on a row that another claimant wrote last.
func (c *Claim) decide(rec Record, revision uint64) {
	if c.intent == intentEnd {
		c.release(false)
		return
	}
	if c.dispatched {
		c.finish(VerdictOvertaken, rec)
		return
	}
	c.isConfirmed = false
	switch {
	case rec.Phase == PhaseVoided:
		c.reclaim(rec, revision)
	case rec.Content != c.req.Content:
		c.finish(VerdictKeyReused, rec)
	case rec.Phase != PhaseClaimed:
		c.finish(verdictOf(rec.Phase), rec)
	case c.intent == intentVoid:
		c.finish(VerdictJoin, rec)
	case c.view.Owns(rec) && !c.mayLandAt(revision):
		c.mode = modeJoined
		c.joined = rec
		c.base = revision
		c.verdict(VerdictJoin, rec)
	default:
		c.takeOver(rec, revision)
	}
}

func verdictOf(p Phase) VerdictKind {
	if p == PhaseUnknown {
		return VerdictUnknown
	}
	return VerdictDuplicate
}

// reclaim writes over a row that was voided: proof that nothing ran under it.
func (c *Claim) reclaim(rec Record, revision uint64) {
	c.clean = true
	if c.intent == intentVoid {
		if c.mayLandAt(revision) {
			c.advance() // our own void bars the claim that is still under way
			return
		}
		c.finish(VerdictNotRun, Record{})
		return
	}
	c.aim(intentClaim, Record{
		Content: c.req.Content,
		Request: c.req.ID,
		Slot:    c.slot,
		Epoch:   rec.Epoch.Next(c.req.OwnerNumber),
		Phase:   PhaseClaimed,
	}, revision)
}

// mayLandAt reports whether a write of ours, conditioned on the revision at which
// the row stands, may still be under way.
func (c *Claim) mayLandAt(revision uint64) bool {
	return c.sentSeq > 0 && c.base == revision
}

// takeOver claims the row of an owner that is gone. The higher epoch bars its
// late steps at backend servers that are asked with it.
func (c *Claim) takeOver(rec Record, revision uint64) {
	c.clean = false
	rec.Epoch = rec.Epoch.TakeOver(c.req.OwnerNumber)
	c.aim(intentTakeover, rec, revision)
}

func (c *Claim) ownerGone(ev OwnerGone) {
	if c.mode != modeJoined || c.joined.Owner != ev.Owner {
		return
	}
	c.takeOver(c.joined, c.base)
}

func (c *Claim) evidence(ev Evidence) {
	if c.mode != modeAsking || ev.Epoch != c.target.Epoch {
		return
	}
	switch {
	case ev.Kind == EvidenceHeld && !forgot(c.target.Slot.Backends, ev.BootIDs):
		c.mode = modeHeld
		c.dispatched = true
		c.continued = true
		c.out = append(c.out, Continue{Record: c.target})
	case ev.Kind == EvidenceUnavailable:
		c.askBackoff = nextBackoff(c.askBackoff, c.cfg)
		c.wakeAt = c.now.Add(c.jitter(c.askBackoff))
	case ev.Kind == EvidenceNotStarted && sameBoots(c.target.Slot.Backends, ev.BootIDs):
		c.rerun()
	default:
		// Never to be known, so a later repeat need not ask again.
		c.verdict(VerdictUnknown, c.target)
		c.end(Ended{Phase: PhaseUnknown})
	}
}

// rerun dispatches the work of an owner that is gone, whose attempt never
// began and is barred, in the slot in hand.
func (c *Claim) rerun() {
	c.clean = true
	rec := c.target
	rec.Request = c.req.ID
	rec.Slot = c.slot
	c.wakeAt = time.Time{}
	c.aim(intentClaim, rec, c.base)
}

// sameBoots guards against a backend server that restarted and forgot: it
// would say that the attempt never began, although it ran before the restart.
func sameBoots(backends []Backend, boots []string) bool {
	recorded := lo.Map(backends, func(b Backend, _ int) string { return b.BootID })
	return len(recorded) > 0 && !slices.Contains(recorded, "") && slices.Equal(recorded, boots)
}

// forgot reports whether a backend server with a boot has another one now. In a
// chain that holds the attempt elsewhere, such a stage would run its last step
// once more.
func forgot(backends []Backend, boots []string) bool {
	for i, b := range backends {
		if b.BootID != "" && (i >= len(boots) || boots[i] != b.BootID) {
			return true
		}
	}
	return false
}
