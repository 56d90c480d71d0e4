package scenario

import (
	"fmt"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// caller is the sender of one request, with the part of the answer it has received.
type caller struct {
	sim      *Simulation
	name     string
	received int    // tokens
	outcome  string // empty until the request has ended
	run      *run   // the run whose answer it reads; nil when disconnected
}

// readFrom connects the caller to a run's answer, from the first missing token on.
func (c *caller) readFrom(r *run) {
	c.run = r
	r.callers = append(r.callers, c)
	for i, v := range r.tokens {
		c.onToken(i, v)
	}
	if r.outcome != nil {
		c.onEnd(r.outcome)
	}
}

// onToken receives one token. Tokens that the caller already has are skipped, as a
// real stream does.
func (c *caller) onToken(index int, value int64) {
	switch {
	case value != tokenValue(index):
		c.sim.reportViolation("%s got %d as token %d", c.name, value, index)
	case index > c.received:
		c.sim.reportViolation("%s got token %d when it had %d tokens", c.name, index, c.received)
	case index == c.received:
		c.received++
		c.sim.printf("%s gets token %d", c.name, index)
	}
}

func (c *caller) onEnd(o state.Outcome) {
	switch o := o.(type) {
	case state.Completed:
		c.outcome = "completed"
		if o.Tokens != c.received {
			c.sim.reportViolation("%s completed with %d of %d tokens", c.name, c.received, o.Tokens)
		}
	case state.Refused:
		c.outcome = fmt.Sprintf("refused as not run: %s", o.Reason)
	case state.Failed:
		c.outcome = fmt.Sprintf("failed after %d tokens: %s", o.Tokens, o.Reason)
	case state.Unknown:
		c.outcome = fmt.Sprintf("outcome unknown: %s", o.Reason)
	}
	c.sim.printf("%s %s", c.name, c.outcome)
}

// disconnect closes the caller's connection to the daemon that it reads from.
func (c *caller) disconnect() {
	if c.run == nil {
		return
	}
	r := c.run
	r.callers = slices.DeleteFunc(r.callers, func(other *caller) bool { return other == c })
	c.run = nil
}
