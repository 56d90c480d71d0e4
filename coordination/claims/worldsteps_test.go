package claims_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// deliverCall ends a store call, or the wait for a home's reply.
func (w *world) deliverCall(i int, f fate) {
	c := w.air[i]
	w.air = slices.Delete(w.air, i, i+1)
	if c.req == nil {
		c.reply(store.Result{})
		return
	}
	c.reply(w.store.serve(c.req, f))
}

func (w *world) landLate(i int) {
	txn := w.store.late[i]
	w.store.late = slices.Delete(w.store.late, i, i+1)
	w.store.commit(txn)
}

func attemptKey(rec claims.Record) string {
	return fmt.Sprintf("%s/%d", rec.Request, rec.Slot.Attempt)
}

// deliverStep lets a first step reach its server, or refuses the connection.
func (w *world) deliverStep(i int, refused bool) {
	s := w.steps[i]
	w.steps = slices.Delete(w.steps, i, i+1)
	srv := w.servers[s.rec.Slot.Replica]
	boot := s.rec.Slot.Backends[0].BootID
	key := attemptKey(s.rec)
	barred := srv.bars[key] > s.rec.Epoch || (boot != "" && boot != srv.boot)
	if refused || barred {
		w.unstarted(s)
		return
	}
	srv.held[key] = true
	w.began[s.rec.Request]++
	w.total++
	s.claim.doomed = true
	w.step(s.owner, s.claim, claims.Ended{Phase: claims.PhaseDone, Digest: "d"})
}

// unstarted has the owner move the request to another slot or give it up.
func (w *world) unstarted(s step) {
	s.claim.dispatches.Unstarted(s.rec.Slot.Attempt)
	proof, _ := s.claim.dispatches.NotRun()
	if w.choose(2, "move") == 1 {
		w.nonces++
		w.step(s.owner, s.claim, claims.Redispatch{Slot: w.slot(w.choose(3, "slot"), w.nonces), Proof: proof})
		return
	}
	w.step(s.owner, s.claim, claims.GiveUp{Reason: state.ReasonNoReplica, Proof: proof})
}

// deliverAsk answers a question to the recorded server.
func (w *world) deliverAsk(i int, reachable bool) {
	s := w.asks[i]
	w.asks = slices.Delete(w.asks, i, i+1)
	srv := w.servers[s.rec.Slot.Replica]
	key := attemptKey(s.rec)
	ev := claims.Evidence{Epoch: s.rec.Epoch}
	switch {
	case !reachable:
		ev.Kind = claims.EvidenceUnavailable
	case srv.boot == "":
		// A server that remembers nothing, asked by a careful daemon or by
		// one that takes its ignorance for an answer.
		ev.Kind = claims.EvidenceNone
		if w.choose(2, "careful") == 1 {
			ev.Kind = claims.EvidenceNotStarted
			ev.BootIDs = []string{""}
		}
	default:
		srv.bars[key] = max(srv.bars[key], s.rec.Epoch)
		ev.Kind = claims.EvidenceNotStarted
		ev.BootIDs = []string{srv.boot}
		if srv.held[key] {
			ev.Kind = claims.EvidenceHeld
		}
	}
	w.step(s.owner, s.claim, ev)
}

func (w *world) reboot(r state.ReplicaID) {
	w.nonces++
	if w.servers[r].boot != "" {
		w.servers[r] = &server{boot: fmt.Sprintf("boot-n%d", w.nonces), bars: map[string]state.Epoch{}, held: map[string]bool{}}
	}
}

func (w *world) wake(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// advance lets time pass and gives the ticks that are due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if n.dead || n.paused {
			continue
		}
		for _, k := range slices.Clone(n.claims) {
			if t := k.NextTick(); !t.IsZero() && !t.After(w.now) {
				w.step(n, k, claims.Tick{})
			}
		}
		if t := n.home.NextTick(); !t.IsZero() && !t.After(w.now) {
			w.stepHome(n, claims.Tick{})
		}
		n.claims = slices.DeleteFunc(n.claims, func(k *kept) bool { return k.Released() })
	}
}

// settle lets everything under way end well.
func (w *world) settle() {
	for _, n := range w.nodes {
		n.honest = true
		if n.paused {
			w.wake(n)
		}
	}
	for range 200 {
		for len(w.store.late) > 0 {
			w.landLate(0)
		}
		for len(w.air) > 0 {
			w.deliverCall(w.lastReal(), fateOK)
		}
		for len(w.asks) > 0 {
			w.deliverAsk(0, true)
		}
		for len(w.steps) > 0 {
			w.deliverStep(0, false)
		}
		w.advance(100 * time.Millisecond)
	}
}

// lastReal prefers store calls to the timeouts of home replies.
func (w *world) lastReal() int {
	for i, c := range w.air {
		if c.req != nil {
			return i
		}
	}
	return 0
}
