package scenario

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	heartbeatInterval = time.Second
	editTimeout       = 5 * time.Second
)

func (n *node) startDocuments() {
	n.docs = documents.New(documents.DefaultConfig(), n.sim.rng, n.member, n.sim.now)
	n.stepDocuments(documents.Tick{})
	n.sim.after(0, n.heartbeat)
}

// heartbeat updates the daemon's view of the reachable members and sends its
// document digest to one of them at random.
func (n *node) heartbeat() {
	if n.dead {
		return
	}
	n.sim.after(heartbeatInterval, n.heartbeat)
	if n.paused {
		return
	}
	var live []state.Member
	for _, o := range n.sim.nodes {
		if o != n && n.canReach(o) {
			live = append(live, o.member)
		}
	}
	n.stepDocuments(documents.Members{Live: live, Known: len(n.sim.nodes)})
	if len(live) > 0 {
		n.sendDocuments(live[n.sim.rng.IntN(len(live))], n.docs.Digest())
	}
}

func (n *node) canReach(o *node) bool {
	return n.isLive() && o.isLive() && !n.partitioned && !o.partitioned
}

func (n *node) stepDocuments(ev documents.Event) {
	for _, a := range slices.Clone(n.docs.Step(n.sim.now, ev)) {
		switch a := a.(type) {
		case documents.CallStore:
			n.callStore(a.Call)
		case documents.Send:
			n.sendDocuments(a.To, a.Msg)
		case documents.Applied:
			n.sim.printf("%s applies %s version %d: %s", n.name, a.Doc.Service, a.Doc.Version, a.Doc.Text)
		case documents.EditAnswered:
			n.reportEdit(a)
		case documents.IsolatedChanged:
			if a.Isolated {
				n.sim.printf("%s is isolated: it accepts no new requests", n.name)
			} else {
				n.sim.printf("%s is no longer isolated", n.name)
			}
		}
	}
}

func (n *node) callStore(c store.Call) {
	answer := func(res store.Result) {
		n.deliver(func() { n.stepDocuments(documents.StoreResult{Result: res}) })
	}
	if n.partitioned {
		n.sim.after(storeTimeout, func() { answer(store.Result{Call: c.ID}) })
		return
	}
	n.sim.callTable(c, answer)
}

func (n *node) sendDocuments(to state.Member, msg documents.Message) {
	o := n.sim.node(string(to.ID))
	if !n.canReach(o) {
		return
	}
	n.sim.after(hopDelay, func() {
		if n.canReach(o) {
			o.deliver(func() { o.stepDocuments(documents.Received{From: n.member, Msg: msg}) })
		}
	})
}

// edit delivers an edit from an operator to the daemon.
func (n *node) edit(e documents.SubmitEdit) {
	n.sim.seq++
	e.ID = uint64(n.sim.seq)
	e.Deadline = n.sim.now.Add(editTimeout)
	n.deliver(func() { n.stepDocuments(e) })
}

func (n *node) reportEdit(a documents.EditAnswered) {
	switch a.Status {
	case documents.EditAccepted:
		n.sim.printf("%s answers an edit: accepted as version %d", n.name, a.Version)
	case documents.EditConflict:
		n.sim.printf("%s answers an edit: conflicts with version %d, %s", n.name, a.Current.Version, a.Current.Text)
	case documents.EditUnavailable:
		n.sim.printf("%s answers an edit: not committed, the store is unavailable", n.name)
	case documents.EditUnknown:
		n.sim.printf("%s answers an edit: outcome unknown, repeat it with its id", n.name)
	}
}

func sortedServices(versions map[state.ServiceID]state.DocumentVersion) []state.ServiceID {
	return slices.Sorted(maps.Keys(versions))
}
