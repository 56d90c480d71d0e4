package scenario

import (
	"strings"

	"github.com/hibiscuswick/hibiscuswick/coordination/quarantine"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// crashMark in a prompt crashes every engine that runs it.
const crashMark = "crash"

func crashesEngine(prompt string) bool {
	return strings.Contains(prompt, crashMark)
}

// daemonQuarantine is a daemon's quarantine state machine with its pending requests and
// running attempts.
type daemonQuarantine struct {
	node           *node
	m              *quarantine.Quarantine
	pending        map[uint64]pendingSlotRequest
	runs           map[*run]slotHolder
	reportedDeaths map[string]int // incarnation of each engine whose death was reported last
	calls          uint64
}

// pendingSlotRequest is a slot request that waits for the quarantine's decision.
type pendingSlotRequest struct {
	r *run
	a request.AcquireSlot
}

// slotHolder is an attempt that the quarantine allowed.
type slotHolder struct {
	id      quarantine.RunID // 0 until it has started
	lock    uint64
	replica state.Replica
}

func newDaemonQuarantine(n *node) *daemonQuarantine {
	cfg := quarantine.Config{Self: n.member}
	return &daemonQuarantine{
		node:           n,
		m:              quarantine.New(cfg, n.sim.now, n.sim.rng),
		pending:        make(map[uint64]pendingSlotRequest),
		runs:           make(map[*run]slotHolder),
		reportedDeaths: make(map[string]int),
	}
}

func fingerprint(r *run) quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.spec.Service, "notes", "1", r.spec.Prompt)
}

// requestSlot requests a slot as soon as the quarantine allows the run.
func (q *daemonQuarantine) requestSlot(r *run, a request.AcquireSlot) {
	q.calls++
	q.pending[q.calls] = pendingSlotRequest{r: r, a: a}
	q.step(quarantine.RunRequested{Call: q.calls, Fingerprint: fingerprint(r)})
}

// cancel cancels a run's pending slot request.
func (q *daemonQuarantine) cancel(r *run) {
	for call, p := range q.pending {
		if p.r == r {
			delete(q.pending, call)
			q.step(quarantine.Cancel{Call: call})
			return
		}
	}
}

// runStarted reports that an attempt is about to be sent.
func (q *daemonQuarantine) runStarted(r *run, replica state.Replica) {
	q.calls++
	held := q.runs[r]
	held.id = quarantine.RunID(q.calls)
	held.replica = replica
	q.runs[r] = held
	q.step(quarantine.RunStarted{Run: held.id, Fingerprint: fingerprint(r), Replica: replica.ID, Lock: held.lock})
}

// reportDeaths reports the engines of a run's replica that died during the run.
func (q *daemonQuarantine) reportDeaths(r *run) {
	for _, s := range q.runs[r].replica.Stages {
		e := q.node.sim.engine(s.Address)
		if e.bootID() == s.BootID || q.reportedDeaths[e.name] == e.incarnation {
			continue
		}
		q.reportedDeaths[e.name] = e.incarnation
		q.step(quarantine.BackendDied{Replica: q.runs[r].replica.ID, Domain: state.FailureDomain(q.runs[r].replica.ID)})
	}
}

// runEnded reports that an attempt has ended.
func (q *daemonQuarantine) runEnded(r *run, a request.ReleaseSlot) {
	held := q.runs[r]
	delete(q.runs, r)
	if held.id == 0 && held.lock == 0 {
		return
	}
	result := quarantine.RunStopped
	switch {
	case a.Failed:
		result = quarantine.RunLost
	case len(r.tokens) >= r.spec.MaxTokens:
		result = quarantine.RunCompleted
	}
	q.step(quarantine.RunEnded{Run: held.id, Lock: held.lock, Result: result})
}

func (q *daemonQuarantine) step(ev quarantine.Event) {
	sim := q.node.sim
	for _, a := range q.m.Step(sim.now, ev) {
		switch a := a.(type) {
		case quarantine.Allow:
			q.slotAllowed(a)
		case quarantine.Refuse:
			if req, ok := q.pending[a.Call]; ok {
				delete(q.pending, a.Call)
				req.r.feedAfter(0, request.SlotRefused{Reason: state.ReasonQuarantined})
			}
		case quarantine.Quarantined:
			sim.printf("%s: the content is quarantined", q.node.name)
		case quarantine.CallStore:
			sim.callTable(a.Call, func(res store.Result) {
				q.node.deliver(func() { q.step(quarantine.StoreResult{Result: res}) })
			})
		case quarantine.Send:
			q.send(a)
		case quarantine.DeathPropagated:
			// The model does not delay answers until a death has propagated.
		}
	}
}

func (q *daemonQuarantine) slotAllowed(a quarantine.Allow) {
	req, ok := q.pending[a.Call]
	if !ok {
		return
	}
	delete(q.pending, a.Call)
	if a.Exclusive {
		req.r.printf("must run exclusively")
	}
	q.runs[req.r] = slotHolder{lock: a.Lock}
	q.node.sim.pool.requestSlot(req.r, req.a, a.Exclusive)
}

func (q *daemonQuarantine) send(a quarantine.Send) {
	to := q.node.sim.node(string(a.To))
	q.node.sim.after(hopDelay, func() {
		to.deliver(func() { to.quarantine.step(quarantine.Received{From: q.node.member, Msg: a.Msg}) })
	})
}

// updateQuarantineViews sends the set of live daemons to every quarantine.
func (sim *Simulation) updateQuarantineViews() {
	for _, n := range sim.nodes {
		var live []state.Member
		for _, o := range sim.nodes {
			if o != n && !o.dead {
				live = append(live, o.member)
			}
		}
		n.deliver(func() { n.quarantine.step(quarantine.ViewChanged{Live: live}) })
	}
}
