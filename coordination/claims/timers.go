package claims

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// timers applies the deadline and the grace of a claim that was given up.
func (c *Claim) timers() {
	if c.awaitsDispatch() && !c.now.Before(c.req.Deadline) {
		reason := state.ReasonDeadline
		if !c.isConfirmed {
			reason = state.ReasonStoreUnavailable
		}
		c.giveUp(GiveUp{Reason: reason})
	}
	if c.awaitsVerdict() && !c.now.Before(c.gaveUpAt.Add(c.cfg.SettleTimeout)) {
		c.unsettled = true
		c.verdict(VerdictUnsettled, Record{})
	}
	if !c.wakeAt.IsZero() && !c.now.Before(c.wakeAt) {
		c.wakeAt = time.Time{}
		if c.mode == modeAsking {
			c.out = append(c.out, QueryAttempt{Record: c.target})
			return
		}
		c.advance()
	}
}

func (c *Claim) awaitsDispatch() bool {
	if c.mode == modeAsking {
		return true
	}
	return c.mode == modeWriting && (c.intent == intentClaim || c.intent == intentTakeover)
}

func (c *Claim) awaitsVerdict() bool {
	return c.mode == modeWriting && c.intent == intentVoid && !c.unsettled
}

func (c *Claim) dispatch() {
	if !c.now.Before(c.req.Deadline) {
		return // timers gives up
	}
	c.mode = modeHeld
	c.dispatched = true
	c.clean = false
	c.out = append(c.out, Dispatch{Record: c.target})
}

func (c *Claim) verdict(kind VerdictKind, rec Record) {
	c.out = append(c.out, Verdict{Kind: kind, Reason: c.gaveUp, Record: rec, KeyChecked: c.checked})
}

func (c *Claim) finish(kind VerdictKind, rec Record) {
	c.verdict(kind, rec)
	c.release(false)
}

func (c *Claim) release(recorded bool) {
	c.mode = modeReleased
	c.wakeAt = time.Time{}
	c.out = append(c.out, Released{Recorded: recorded})
}
