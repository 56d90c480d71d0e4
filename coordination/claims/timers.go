package claims

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// checkTimers applies the deadline, the settle timeout and the retry time.
func (c *Claim) checkTimers() {
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
	if !c.retryAt.IsZero() && !c.now.Before(c.retryAt) {
		c.retryAt = time.Time{}
		if c.mode == modeQuerying {
			c.out = append(c.out, QueryAttempt{Record: c.target})
			return
		}
		c.advance()
	}
}

func (c *Claim) awaitsDispatch() bool {
	if c.mode == modeQuerying {
		return true
	}
	return c.mode == modeWriting && (c.intent == intentClaim || c.intent == intentTakeover)
}

func (c *Claim) awaitsVerdict() bool {
	return c.mode == modeWriting && c.intent == intentVoid && !c.unsettled
}

func (c *Claim) dispatch() {
	if !c.now.Before(c.req.Deadline) {
		return // checkTimers gives the claim up
	}
	c.mode = modeOwned
	c.dispatched = true
	c.notRunProven = false
	c.out = append(c.out, Dispatch{Record: c.target})
}

func (c *Claim) verdict(kind VerdictKind, rec Record) {
	c.out = append(c.out, Verdict{Kind: kind, Reason: c.giveUpReason, Record: rec, KeyChecked: c.keyChecked})
}

func (c *Claim) finish(kind VerdictKind, rec Record) {
	c.verdict(kind, rec)
	c.release(false)
}

func (c *Claim) release(recorded bool) {
	c.mode = modeReleased
	c.retryAt = time.Time{}
	c.out = append(c.out, Released{Recorded: recorded})
}
