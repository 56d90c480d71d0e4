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
	heartbeatEvery = time.Second
	editWait       = 5 * time.Second
)

func (n *node) startDocuments() {
	n.docs = documents.New(documents.DefaultConfig(), n.w.rng, n.member, n.w.now)
	n.stepDocuments(documents.Tick{})
	n.w.after(0, n.heartbeat)
}

// heartbeat tells the daemon who is in reach, and one of those its digest.
func (n *node) heartbeat() {
	if n.dead {
		return
	}
	n.w.after(heartbeatEvery, n.heartbeat)
	if n.paused {
		return
	}
	var live []state.Member
	for _, o := range n.w.nodes {
		if o != n && n.reaches(o) {
			live = append(live, o.member)
		}
	}
	n.stepDocuments(documents.Members{Live: live, Known: len(n.w.nodes)})
	if len(live) > 0 {
		n.sendDocuments(live[n.w.rng.IntN(len(live))], n.docs.Digest())
	}
}

func (n *node) reaches(o *node) bool {
	return n.works() && o.works() && !n.cut && !o.cut
}

func (n *node) stepDocuments(ev documents.Event) {
	for _, a := range slices.Clone(n.docs.Step(n.w.now, ev)) {
		switch a := a.(type) {
		case documents.CallStore:
			n.callStore(a.Call)
		case documents.Send:
			n.sendDocuments(a.To, a.Msg)
		case documents.Applied:
			n.w.say("%s has %s version %d in force: %s", n.name, a.Doc.Service, a.Doc.Version, a.Doc.Text)
		case documents.EditAnswered:
			n.edited(a)
		case documents.IsolatedChanged:
			if a.Isolated {
				n.w.say("%s is isolated: it takes no new work", n.name)
			} else {
				n.w.say("%s is in touch again", n.name)
			}
		}
	}
}

func (n *node) callStore(c store.Call) {
	answer := func(res store.Result) {
		n.do(func() { n.stepDocuments(documents.StoreResult{Result: res}) })
	}
	if n.cut {
		n.w.after(storeWait, func() { answer(store.Result{Call: c.ID}) })
		return
	}
	n.w.call(c, answer)
}

func (n *node) sendDocuments(to state.Member, msg documents.Message) {
	o := n.w.node(string(to.ID))
	if !n.reaches(o) {
		return
	}
	n.w.after(hop, func() {
		if n.reaches(o) {
			o.do(func() { o.stepDocuments(documents.Received{From: n.member, Msg: msg}) })
		}
	})
}

// edit has an operator send an edit to the daemon.
func (n *node) edit(e documents.SubmitEdit) {
	n.w.seq++
	e.ID = uint64(n.w.seq)
	e.Deadline = n.w.now.Add(editWait)
	n.do(func() { n.stepDocuments(e) })
}

func (n *node) edited(a documents.EditAnswered) {
	switch a.Status {
	case documents.EditAccepted:
		n.w.say("%s answers an edit: accepted as version %d", n.name, a.Version)
	case documents.EditConflict:
		n.w.say("%s answers an edit: lost against version %d, %s", n.name, a.Current.Version, a.Current.Text)
	case documents.EditUnavailable:
		n.w.say("%s answers an edit: not committed, the store does not answer", n.name)
	case documents.EditUnknown:
		n.w.say("%s answers an edit: unknown, repeat it with its id", n.name)
	}
}

func sortedServices(versions map[state.ServiceID]state.DocumentVersion) []state.ServiceID {
	return slices.Sorted(maps.Keys(versions))
}
