package claims_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// finishCall ends a store call, or times out the wait for a home's reply.
func (sim *simulation) finishCall(i int, f outcome) {
	c := sim.storeCalls[i]
	sim.storeCalls = slices.Delete(sim.storeCalls, i, i+1)
	if c.req == nil {
		c.reply(store.Result{})
		return
	}
	c.reply(sim.store.serve(c.req, f))
}

func (sim *simulation) commitLate(i int) {
	txn := sim.store.lateTxns[i]
	sim.store.lateTxns = slices.Delete(sim.store.lateTxns, i, i+1)
	sim.store.commit(txn)
}

func attemptKey(rec claims.Record) string {
	return fmt.Sprintf("%s/%d", rec.Request, rec.Slot.Attempt)
}

// deliverFirstStep delivers a first step to its server, or refuses the connection.
func (sim *simulation) deliverFirstStep(i int, refused bool) {
	s := sim.firstSteps[i]
	sim.firstSteps = slices.Delete(sim.firstSteps, i, i+1)
	srv := sim.servers[s.record.Slot.Replica]
	boot := s.record.Slot.Backends[0].BootID
	key := attemptKey(s.record)
	fenced := srv.minEpochs[key] > s.record.Epoch || (boot != "" && boot != srv.bootID)
	if refused || fenced {
		sim.handleNotStarted(s)
		return
	}
	srv.attempts[key] = true
	sim.started[s.record.Request]++
	sim.executions++
	s.claim.outcomeSent = true
	sim.step(s.owner, s.claim, claims.Ended{Phase: claims.PhaseDone, Digest: "d"})
}

// handleNotStarted makes the owner dispatch the request in another slot or give it
// up.
func (sim *simulation) handleNotStarted(s attemptMessage) {
	s.claim.dispatches.MarkNotStarted(s.record.Slot.Attempt)
	proof, _ := s.claim.dispatches.NotRun()
	if sim.pick(2, "move") == 1 {
		sim.nonces++
		sim.step(s.owner, s.claim, claims.Redispatch{Slot: sim.slot(sim.pick(3, "slot"), sim.nonces), Proof: proof})
		return
	}
	sim.step(s.owner, s.claim, claims.GiveUp{Reason: state.ReasonNoReplica, Proof: proof})
}

// answerQuery answers a query to the recorded server.
func (sim *simulation) answerQuery(i int, reachable bool) {
	s := sim.queries[i]
	sim.queries = slices.Delete(sim.queries, i, i+1)
	srv := sim.servers[s.record.Slot.Replica]
	key := attemptKey(s.record)
	ev := claims.Evidence{Epoch: s.record.Epoch}
	switch {
	case !reachable:
		ev.Kind = claims.EvidenceUnavailable
	case srv.bootID == "":
		// A server that keeps no attempts, queried by a daemon that handles this
		// correctly or by one that takes the answer for evidence.
		ev.Kind = claims.EvidenceNone
		if sim.pick(2, "careful") == 1 {
			ev.Kind = claims.EvidenceNotStarted
			ev.BootIDs = []string{""}
		}
	default:
		srv.minEpochs[key] = max(srv.minEpochs[key], s.record.Epoch)
		ev.Kind = claims.EvidenceNotStarted
		ev.BootIDs = []string{srv.bootID}
		if srv.attempts[key] {
			ev.Kind = claims.EvidenceHeld
		}
	}
	sim.step(s.owner, s.claim, ev)
}

func (sim *simulation) restartBackend(r state.ReplicaID) {
	sim.nonces++
	if sim.servers[r].bootID != "" {
		sim.servers[r] = &backend{bootID: fmt.Sprintf("boot-n%d", sim.nonces), minEpochs: map[string]state.Epoch{}, attempts: map[string]bool{}}
	}
}

func (sim *simulation) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// advance advances the virtual time and sends the ticks that are due.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, n := range sim.nodes {
		if n.dead || n.paused {
			continue
		}
		for _, k := range slices.Clone(n.claims) {
			if t := k.NextTick(); !t.IsZero() && !t.After(sim.now) {
				sim.step(n, k, claims.Tick{})
			}
		}
		if t := n.batcher.NextTick(); !t.IsZero() && !t.After(sim.now) {
			sim.stepHome(n, claims.Tick{})
		}
		n.claims = slices.DeleteFunc(n.claims, func(k *trackedClaim) bool { return k.Released() })
	}
}

// finishAll lets everything in flight succeed.
func (sim *simulation) finishAll() {
	for _, n := range sim.nodes {
		n.accurateView = true
		if n.paused {
			sim.resume(n)
		}
	}
	for range 200 {
		for len(sim.store.lateTxns) > 0 {
			sim.commitLate(0)
		}
		for len(sim.storeCalls) > 0 {
			sim.finishCall(sim.nextStoreCall(), outcomeOK)
		}
		for len(sim.queries) > 0 {
			sim.answerQuery(0, true)
		}
		for len(sim.firstSteps) > 0 {
			sim.deliverFirstStep(0, false)
		}
		sim.advance(100 * time.Millisecond)
	}
}

// nextStoreCall returns the index of the first store call, or 0 if there are only
// timeouts of home replies.
func (sim *simulation) nextStoreCall() int {
	for i, c := range sim.storeCalls {
		if c.req != nil {
			return i
		}
	}
	return 0
}
