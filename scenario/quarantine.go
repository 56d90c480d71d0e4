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

func crashes(prompt string) bool {
	return strings.Contains(prompt, crashMark)
}

// quarantined is a daemon's quarantine with what it is asked and told.
type quarantined struct {
	n     *node
	m     *quarantine.Quarantine
	asks  map[uint64]slotAsk
	runs  map[*run]quarantinedRun
	dead  map[string]int // engines seen dead, by the life that they were then in
	calls uint64
}

// slotAsk is a request for a slot that waits for the quarantine's word.
type slotAsk struct {
	r *run
	a request.AcquireSlot
}

// quarantinedRun is an attempt that holds a slot.
type quarantinedRun struct {
	id      quarantine.RunID // 0 before it began
	turn    uint64
	replica state.Replica
}

func newQuarantined(n *node) *quarantined {
	cfg := quarantine.Config{Self: n.member}
	return &quarantined{
		n:    n,
		m:    quarantine.New(cfg, n.w.now, n.w.rng),
		asks: make(map[uint64]slotAsk),
		runs: make(map[*run]quarantinedRun),
		dead: make(map[string]int),
	}
}

func fingerprint(r *run) quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.spec.Service, "notes", "1", r.spec.Prompt)
}

// ask lets a request ask for a slot once the quarantine allows it.
func (q *quarantined) ask(r *run, a request.AcquireSlot) {
	q.calls++
	q.asks[q.calls] = slotAsk{r: r, a: a}
	q.step(quarantine.RunRequested{Call: q.calls, Fingerprint: fingerprint(r)})
}

// stop takes an ask back.
func (q *quarantined) stop(r *run) {
	for call, w := range q.asks {
		if w.r == r {
			delete(q.asks, call)
			q.step(quarantine.Cancel{Call: call})
			return
		}
	}
}

// granted tells that an attempt is about to be sent.
func (q *quarantined) granted(r *run, replica state.Replica) {
	q.calls++
	held := q.runs[r]
	held.id = quarantine.RunID(q.calls)
	held.replica = replica
	q.runs[r] = held
	q.step(quarantine.RunStarted{Run: held.id, Fingerprint: fingerprint(r), Replica: replica.ID, Lock: held.turn})
}

// looked tells of the engines of a run's replica that died under it.
func (q *quarantined) looked(r *run) {
	for _, s := range q.runs[r].replica.Stages {
		e := q.n.w.engine(s.Address)
		if e.lifeName() == s.BootID || q.dead[e.name] == e.life {
			continue
		}
		q.dead[e.name] = e.life
		q.step(quarantine.BackendDied{Replica: q.runs[r].replica.ID, Domain: state.FailureDomain(q.runs[r].replica.ID)})
	}
}

// released tells that an attempt has ended.
func (q *quarantined) released(r *run, a request.ReleaseSlot) {
	held := q.runs[r]
	delete(q.runs, r)
	if held.id == 0 && held.turn == 0 {
		return
	}
	how := quarantine.RunStopped
	switch {
	case a.Failed:
		how = quarantine.RunLost
	case len(r.tokens) >= r.spec.MaxTokens:
		how = quarantine.RunCompleted
	}
	q.step(quarantine.RunEnded{Run: held.id, Lock: held.turn, Result: how})
}

func (q *quarantined) step(ev quarantine.Event) {
	w := q.n.w
	for _, a := range q.m.Step(w.now, ev) {
		switch a := a.(type) {
		case quarantine.Allow:
			q.allowed(a)
		case quarantine.Refuse:
			if ask, ok := q.asks[a.Call]; ok {
				delete(q.asks, a.Call)
				ask.r.later(0, request.SlotRefused{Reason: state.ReasonQuarantined})
			}
		case quarantine.Quarantined:
			w.say("%s: the content is quarantined", q.n.name)
		case quarantine.CallStore:
			w.call(a.Call, func(res store.Result) {
				q.n.do(func() { q.step(quarantine.StoreResult{Result: res}) })
			})
		case quarantine.Send:
			q.send(a)
		case quarantine.DeathPropagated:
			// Answers are not held back here.
		}
	}
}

func (q *quarantined) allowed(a quarantine.Allow) {
	ask, ok := q.asks[a.Call]
	if !ok {
		return
	}
	delete(q.asks, a.Call)
	if a.Exclusive {
		ask.r.say("is to run alone")
	}
	q.runs[ask.r] = quarantinedRun{turn: a.Lock}
	q.n.w.pool.ask(ask.r, ask.a, a.Exclusive)
}

func (q *quarantined) send(a quarantine.Send) {
	to := q.n.w.node(string(a.To))
	q.n.w.after(hop, func() {
		to.do(func() { to.quarantine.step(quarantine.Received{From: q.n.member, Msg: a.Msg}) })
	})
}

// tellQuarantines tells every quarantine which daemons live.
func (w *Simulation) tellQuarantines() {
	for _, n := range w.nodes {
		var live []state.Member
		for _, o := range w.nodes {
			if o != n && !o.dead {
				live = append(live, o.member)
			}
		}
		n.do(func() { n.quarantine.step(quarantine.ViewChanged{Live: live}) })
	}
}
