package scenario

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/quarantine"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// node is one daemon: its state machines and whether it is running.
type node struct {
	sim    *Simulation
	name   string
	member state.Member
	owner  uint32

	dead        bool
	paused      bool
	partitioned bool     // its documents reach neither peers nor the store
	deferred    []func() // events that arrived while paused

	runs    []*run
	claims  []*claim
	retries *retry.Budgets
	docs    *documents.Documents // nil if the layout has none

	quarantine *daemonQuarantine // nil if the layout has none
}

func (sim *Simulation) addNode(name string, owner uint32, l Layout) {
	n := &node{
		sim:     sim,
		name:    name,
		member:  state.Member{ID: state.DaemonID(name), Incarnation: 1},
		owner:   owner,
		retries: retry.New(retry.Config{}, sim.now, sim.rng),
	}
	sim.nodes = append(sim.nodes, n)
	if l.Documents {
		n.startDocuments()
	}
	if l.Quarantine {
		n.quarantine = newDaemonQuarantine(n)
	}
}

// deliver runs f at the daemon: now, after it resumes, or never if it is dead.
func (n *node) deliver(f func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, f)
	default:
		f()
	}
}

// isLive reports whether the daemon is neither dead nor paused.
func (n *node) isLive() bool { return !n.dead && !n.paused }

// resume resumes a paused daemon and delivers what arrived while it was paused.
func (n *node) resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		n.deliver(f)
	}
}

func (n *node) nextTick() time.Time {
	if !n.isLive() {
		return time.Time{}
	}
	var next time.Time
	for _, r := range n.runs {
		next = earlier(next, r.m.NextTick())
	}
	for _, c := range n.claims {
		next = earlier(next, c.m.NextTick())
	}
	if n.docs != nil {
		next = earlier(next, n.docs.NextTick())
	}
	if n.quarantine != nil {
		next = earlier(next, n.quarantine.m.NextTick())
	}
	return next
}

func (n *node) tick() {
	if !n.isLive() {
		return
	}
	for _, r := range n.runs {
		if due(r.m.NextTick(), n.sim.now) {
			r.feed(request.Tick{})
		}
	}
	for _, c := range n.claims {
		if due(c.m.NextTick(), n.sim.now) {
			c.step(claims.Tick{})
		}
	}
	if n.docs != nil && due(n.docs.NextTick(), n.sim.now) {
		n.stepDocuments(documents.Tick{})
	}
	if n.quarantine != nil && due(n.quarantine.m.NextTick(), n.sim.now) {
		n.quarantine.step(quarantine.Tick{})
	}
}

// run returns the daemon's run of a request, or nil if there is none.
func (n *node) run(id state.RequestID) *run {
	for _, r := range n.runs {
		if r.spec.ID == id {
			return r
		}
	}
	return nil
}
