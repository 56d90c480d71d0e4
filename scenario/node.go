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

// node is one daemon: its machines, and whether it lives.
type node struct {
	w      *Simulation
	name   string
	member state.Member
	owner  uint32

	dead    bool
	paused  bool
	cut     bool     // reaches neither peers nor the store
	waiting []func() // what came while paused

	runs    []*run
	claims  []*claim
	retries *retry.Budgets
	docs    *documents.Documents // nil where the site has none

	quarantine *quarantined // nil where the site has none
}

func (w *Simulation) addNode(name string, owner uint32, l Layout) {
	n := &node{
		w:       w,
		name:    name,
		member:  state.Member{ID: state.DaemonID(name), Incarnation: 1},
		owner:   owner,
		retries: retry.New(retry.Config{}, w.now, w.rng),
	}
	w.nodes = append(w.nodes, n)
	if l.Documents {
		n.startDocuments()
	}
	if l.Quarantine {
		n.quarantine = newQuarantined(n)
	}
}

// do lets something reach the daemon: now, when it wakes, or never.
func (n *node) do(f func()) {
	switch {
	case n.dead:
	case n.paused:
		n.waiting = append(n.waiting, f)
	default:
		f()
	}
}

// works reports whether others see the daemon as live.
func (n *node) works() bool { return !n.dead && !n.paused }

// wake lets a paused daemon go on with everything that came meanwhile.
func (n *node) wake() {
	n.paused = false
	waiting := n.waiting
	n.waiting = nil
	for _, f := range waiting {
		n.do(f)
	}
}

func (n *node) nextTick() time.Time {
	if !n.works() {
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
	if !n.works() {
		return
	}
	for _, r := range n.runs {
		if due(r.m.NextTick(), n.w.now) {
			r.feed(request.Tick{})
		}
	}
	for _, c := range n.claims {
		if due(c.m.NextTick(), n.w.now) {
			c.step(claims.Tick{})
		}
	}
	if n.docs != nil && due(n.docs.NextTick(), n.w.now) {
		n.stepDocuments(documents.Tick{})
	}
	if n.quarantine != nil && due(n.quarantine.m.NextTick(), n.w.now) {
		n.quarantine.step(quarantine.Tick{})
	}
}

// run returns the daemon's run of a request, or nil.
func (n *node) run(id state.RequestID) *run {
	for _, r := range n.runs {
		if r.spec.ID == id {
			return r
		}
	}
	return nil
}
