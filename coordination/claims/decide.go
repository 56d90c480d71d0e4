package claims

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// handleForeignRow decides what to do if another claimant wrote the row last.
func (c *Claim) handleForeignRow(rec Record, revision uint64) {
	if c.intent == intentOutcome {
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
	case c.view.Owns(rec) && !c.mayCommitAt(revision):
		c.mode = modeJoined
		c.joinedRecord = rec
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

// reclaim claims a voided row again. That the row is voided proves that nothing
// ran under it.
func (c *Claim) reclaim(rec Record, revision uint64) {
	c.notRunProven = true
	if c.intent == intentVoid {
		if c.mayCommitAt(revision) {
			c.advance() // our voided row makes the claim that is still in flight fail
			return
		}
		c.finish(VerdictNotRun, Record{})
		return
	}
	c.startWrite(intentClaim, Record{
		Content: c.req.Content,
		Request: c.req.ID,
		Slot:    c.slot,
		Epoch:   rec.Epoch.Next(c.req.OwnerNumber),
		Phase:   PhaseClaimed,
	}, revision)
}

// mayCommitAt reports whether a write of ours that is conditional on the row's
// current revision may still be in flight.
func (c *Claim) mayCommitAt(revision uint64) bool {
	return c.maxSentSeq > 0 && c.base == revision
}

// takeOver claims the row of an owner that is gone. Backend servers that are
// queried with the higher epoch refuse delayed steps of that owner.
func (c *Claim) takeOver(rec Record, revision uint64) {
	c.notRunProven = false
	rec.Epoch = rec.Epoch.TakeOver(c.req.OwnerNumber)
	c.startWrite(intentTakeover, rec, revision)
}

func (c *Claim) ownerGone(ev OwnerGone) {
	if c.mode != modeJoined || c.joinedRecord.Owner != ev.Owner {
		return
	}
	c.takeOver(c.joinedRecord, c.base)
}

func (c *Claim) evidence(ev Evidence) {
	if c.mode != modeQuerying || ev.Epoch != c.target.Epoch {
		return
	}
	switch {
	case ev.Kind == EvidenceHeld && !restarted(c.target.Slot.Backends, ev.BootIDs):
		c.mode = modeOwned
		c.dispatched = true
		c.tookOver = true
		c.out = append(c.out, Continue{Record: c.target})
	case ev.Kind == EvidenceUnavailable:
		c.queryBackoff = nextBackoff(c.queryBackoff, c.cfg)
		c.retryAt = c.now.Add(c.jitter(c.queryBackoff))
	case ev.Kind == EvidenceNotStarted && sameBoots(c.target.Slot.Backends, ev.BootIDs):
		c.dispatchAgain()
	default:
		// The outcome will never be known. It is recorded, so that a later repeat
		// does not query again.
		c.verdict(VerdictUnknown, c.target)
		c.recordOutcome(Ended{Phase: PhaseUnknown})
	}
}

// dispatchAgain dispatches, in the reserved slot, the work of an owner that is
// gone. Its attempt never started and the servers will refuse it.
func (c *Claim) dispatchAgain() {
	c.notRunProven = true
	rec := c.target
	rec.Request = c.req.ID
	rec.Slot = c.slot
	c.retryAt = time.Time{}
	c.startWrite(intentClaim, rec, c.base)
}

// sameBoots guards against a backend server that has restarted and lost its
// memory of attempts: it would report that the attempt never started, although it
// ran before the restart.
func sameBoots(backends []Backend, boots []string) bool {
	recorded := lo.Map(backends, func(b Backend, _ int) string { return b.BootID })
	return len(recorded) > 0 && !slices.Contains(recorded, "") && slices.Equal(recorded, boots)
}

// restarted reports whether a backend server with a recorded boot id now has
// another one. If the chain's other stages still hold the attempt, such a stage
// would run its last step a second time.
func restarted(backends []Backend, boots []string) bool {
	for i, b := range backends {
		if b.BootID != "" && (i >= len(boots) || boots[i] != b.BootID) {
			return true
		}
	}
	return false
}
