package scenario

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const defaultTokens = 4

func submit(w *Simulation, a args) error {
	name := a.word(0)
	if name == "" || w.caller(name) != nil {
		return fmt.Errorf("submit needs a new name")
	}
	n, err := a.node(w)
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
		Prompt: a.text("prompt", "p"), MaxTokens: tokens, Owner: n.owner, FirstTokenDeadline: w.now.Add(deadline),
	}
	w.books.submitted(spec.ID, spec.Key, spec.NeverRepeat)
	c := &caller{w: w, name: name}
	w.callers = append(w.callers, c)
	n.do(func() { n.accept(spec, c) })
	return nil
}

// accept takes a request in. A repeat of a key that runs here joins it.
func (n *node) accept(spec request.Spec, c *caller) {
	if n.docs != nil && !n.w.now.Before(n.docs.FreshUntil()) {
		c.ended(state.Conclude(state.NewDispatches(), state.ReasonIsolated, 0, 0))
		return
	}
	for _, r := range n.runs {
		if _, done := r.outcome.(state.Completed); spec.NeverRepeat && r.spec.Key == spec.Key && (r.outcome == nil || done) {
			c.w.say("%s joins %s at %s", c.name, r.name(), n.name)
			c.watch(r)
			return
		}
	}
	n.start(spec, c)
}

// attach lets a caller that lost its connection come back at another daemon.
func attach(w *Simulation, a args) error {
	c := w.caller(a.word(0))
	if c == nil {
		return fmt.Errorf("attach needs the name of a request")
	}
	n, err := a.node(w)
	if err != nil {
		return err
	}
	last := c.run
	c.leave()
	if last == nil {
		return fmt.Errorf("%s was never accepted", c.name)
	}
	n.do(func() { n.attach(c, last) })
	return nil
}

func (n *node) attach(c *caller, last *run) {
	switch {
	case last.n.works():
		n.w.say("%s reads on through %s, from %s", c.name, n.name, last.n.name)
		c.watch(last)
	case last.began.Attempt == 0:
		c.ended(state.Unknown{Reason: state.ReasonUnknownRequest})
	default:
		n.w.say("%s takes %s over", n.name, last.name())
		spec := last.spec
		spec.Owner = n.owner
		if !spec.NeverRepeat {
			spec.Takeover = &request.Takeover{
				Replica: last.began.Replica, Attempt: last.began.Attempt, Epoch: last.began.Epoch,
			}
		}
		n.start(spec, c)
	}
}

func cancel(w *Simulation, a args) error {
	c := w.caller(a.word(0))
	if c == nil || c.run == nil {
		return fmt.Errorf("cancel needs the name of a running request")
	}
	c.run.n.do(func() { c.run.feed(request.Cancel{}) })
	return nil
}
