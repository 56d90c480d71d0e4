package scenario

import (
	"fmt"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// caller is who sent one request, and what came back.
type caller struct {
	w       *Simulation
	name    string
	seen    int    // tokens
	outcome string // empty while it waits
	run     *run   // whose answer it reads
}

// watch has the caller read a run's answer from the first token it lacks.
func (c *caller) watch(r *run) {
	c.run = r
	r.callers = append(r.callers, c)
	for i, v := range r.tokens {
		c.token(i, v)
	}
	if r.outcome != nil {
		c.ended(r.outcome)
	}
}

// token takes one token; those that the caller has already are passed over, as
// its stream does.
func (c *caller) token(index int, value int64) {
	switch {
	case value != tokenValue(index):
		c.w.violated("%s got %d as token %d", c.name, value, index)
	case index > c.seen:
		c.w.violated("%s got token %d after %d tokens", c.name, index, c.seen)
	case index == c.seen:
		c.seen++
		c.w.say("%s gets token %d", c.name, index)
	}
}

func (c *caller) ended(o state.Outcome) {
	switch o := o.(type) {
	case state.Completed:
		c.outcome = "completed"
		if o.Tokens != c.seen {
			c.w.violated("%s has %d tokens of %d", c.name, c.seen, o.Tokens)
		}
	case state.Refused:
		c.outcome = fmt.Sprintf("refused as not run: %s", o.Reason)
	case state.Failed:
		c.outcome = fmt.Sprintf("failed after %d tokens: %s", o.Tokens, o.Reason)
	case state.Unknown:
		c.outcome = fmt.Sprintf("outcome unknown: %s", o.Reason)
	}
	c.w.say("%s %s", c.name, c.outcome)
}

// leave ends the caller's connection to the daemon that it reads from.
func (c *caller) leave() {
	if c.run == nil {
		return
	}
	r := c.run
	r.callers = slices.DeleteFunc(r.callers, func(other *caller) bool { return other == c })
	c.run = nil
}
