package scenario

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const defaultTokens = 4

func submit(sim *Simulation, a args) error {
	name := a.word(0)
	if name == "" || sim.caller(name) != nil {
		return fmt.Errorf("submit: want a name that is not in use")
	}
	n, err := a.node(sim)
	if err != nil {
		return err
	}
	tokens, err := a.number("tokens", defaultTokens)
	if err != nil {
		return err
	}
	deadline, err := a.duration("deadline", 10*time.Second)
	if err != nil {
		return err
	}
	class := state.ClassID(a.text("class", string(classDraft)))
	spec := request.Spec{
		ID: state.RequestID(name), Service: serviceID, Customer: customerID, Class: class,
		Key: state.IdempotencyKey(a.text("key", name)), NeverRepeat: class == classNote,
		Prompt: a.text("prompt", "p"), MaxTokens: tokens, Owner: n.owner, FirstTokenDeadline: sim.now.Add(deadline),
	}
	sim.ledger.recordRequest(spec.ID, spec.Key, spec.NeverRepeat)
	c := &caller{sim: sim, name: name}
	sim.callers = append(sim.callers, c)
	n.deliver(func() { n.accept(spec, c) })
	return nil
}

// accept accepts a request. A repeat of a request that must not be repeated joins
// the run of the same key at this daemon, if it is running or has completed.
func (n *node) accept(spec request.Spec, c *caller) {
	if n.docs != nil && !n.sim.now.Before(n.docs.FreshUntil()) {
		c.onEnd(state.Conclude(state.NewDispatches(), state.ReasonIsolated, 0, 0))
		return
	}
	for _, r := range n.runs {
		if _, done := r.outcome.(state.Completed); spec.NeverRepeat && r.spec.Key == spec.Key && (r.outcome == nil || done) {
			c.sim.printf("%s joins %s at %s", c.name, r.name(), n.name)
			c.readFrom(r)
			return
		}
	}
	n.start(spec, c)
}

// attach reconnects a caller that lost its connection, to another daemon.
func attach(sim *Simulation, a args) error {
	c := sim.caller(a.word(0))
	if c == nil {
		return fmt.Errorf("attach: want the name of a request")
	}
	n, err := a.node(sim)
	if err != nil {
		return err
	}
	last := c.run
	c.disconnect()
	if last == nil {
		return fmt.Errorf("%s was never accepted by a daemon", c.name)
	}
	n.deliver(func() { n.attach(c, last) })
	return nil
}

func (n *node) attach(c *caller, last *run) {
	switch {
	case last.node.isLive():
		n.sim.printf("%s continues reading through %s, from %s", c.name, n.name, last.node.name)
		c.readFrom(last)
	case last.lastStarted.Attempt == 0:
		c.onEnd(state.Unknown{Reason: state.ReasonUnknownRequest})
	default:
		n.sim.printf("%s takes over %s", n.name, last.name())
		spec := last.spec
		spec.Owner = n.owner
		if !spec.NeverRepeat {
			spec.Takeover = &request.Takeover{
				Replica: last.lastStarted.Replica, Attempt: last.lastStarted.Attempt, Epoch: last.lastStarted.Epoch,
			}
		}
		n.start(spec, c)
	}
}

func cancel(sim *Simulation, a args) error {
	c := sim.caller(a.word(0))
	if c == nil || c.run == nil {
		return fmt.Errorf("cancel: want the name of a running request")
	}
	c.run.node.deliver(func() { c.run.feed(request.Cancel{}) })
	return nil
}
