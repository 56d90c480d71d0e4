package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// newAccurateSimulation returns a simulation of n daemons with accurate views of
// each other. Nothing in it is random, and every write goes through the first
// daemon as the key's home.
func newAccurateSimulation(n int) *simulation {
	clear(replies)
	sim := newSimulation(func(int, string) int { return 0 })
	for i := range n {
		sim.addNode(fmt.Sprintf("d%d", i), 1).accurateView = true
	}
	return sim
}

// finishCalls ends all store calls in flight, and those that they cause, with the
// outcome f. It does not time out waits for a home's reply.
func (sim *simulation) finishCalls(f outcome) {
	for i := 0; i < len(sim.storeCalls); {
		if sim.storeCalls[i].req == nil {
			i++
			continue
		}
		sim.finishCall(i, f)
		i = 0
	}
}

// outage ends all store calls with the outcome f for the duration d.
func (sim *simulation) outage(d time.Duration, f outcome) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.finishCalls(f)
		sim.advance(50 * time.Millisecond)
	}
	sim.finishCalls(f)
}

func (sim *simulation) lastVerdict(id state.RequestID) claims.VerdictKind {
	vs := sim.verdicts[id]
	if len(vs) == 0 {
		return 0
	}
	return vs[len(vs)-1].Kind
}

var _ = Describe("A claim", func() {
	// A request is claimed; the store's answer is lost, and the write is committed
	// only after a read has found no row. The request is dispatched once, and only
	// when the row is known to be there.
	It("waits for proof that its row is committed", Label("failure:store-answer-lost"), func() {
		sim := newAccurateSimulation(1)
		id := sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
		sim.outage(1500*time.Millisecond, outcomeAppliedLate)
		Expect(sim.firstSteps).To(BeEmpty())
		sim.finishAll()
		Expect(sim.started[id]).To(Equal(1))
		Expect(sim.executions).To(Equal(1))
	})

	// The store is down until the caller's deadline. This daemon sent nothing, so
	// the answer "not run" is correct, and the caller's repeat runs once the store
	// is available again.
	It("correctly refuses as not run while the store is down", Label("failure:store-down"), func() {
		sim := newAccurateSimulation(1)
		id := sim.submit(sim.nodes[0], "k", "x", 0, time.Second)
		sim.outage(2*time.Second, outcomeNotSent)
		Expect(sim.lastVerdict(id)).To(Equal(claims.VerdictNotRun))
		again := sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
		sim.finishAll()
		Expect(sim.started[again]).To(Equal(1))
	})

	// The store goes down and the answer to the claim's write is lost. The caller
	// gets "unknown", not "not run". Once the store is available again the row is
	// voided, and a repeat at another daemon runs.
	It("voids its row once the store is available again", Label("failure:store-down"), func() {
		sim := newAccurateSimulation(2)
		id := sim.submit(sim.nodes[0], "k", "x", 0, time.Second)
		sim.outage(4*time.Second, outcomeAnswerLost)
		Expect(sim.lastVerdict(id)).To(Equal(claims.VerdictUnsettled))
		back := sim.now
		for sim.lastVerdict(id) != claims.VerdictNotRun && sim.now.Sub(back) < 10*time.Second {
			sim.finishCalls(outcomeOK)
			sim.advance(10 * time.Millisecond)
		}
		GinkgoWriter.Printf("voided %v after the store was available again\n", sim.now.Sub(back))
		Expect(sim.lastVerdict(id)).To(Equal(claims.VerdictNotRun))
		again := sim.submit(sim.nodes[1], "k", "x", 0, time.Minute)
		sim.finishAll()
		Expect(sim.started[again]).To(Equal(1))
		Expect(sim.started[id]).To(BeZero())
	})

	// A key was voided. A repeat claims it again, the write is delayed, and the
	// claim gives up and reads the old voided row. If the delayed write were
	// committed then, the key would stay claimed although its caller got "not
	// run".
	It("makes its own delayed write fail when it gives up", Label("failure:store-answer-lost"), func() {
		sim := newAccurateSimulation(2)
		first := sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
		sim.step(sim.nodes[0], sim.nodes[0].claims[0], claims.GiveUp{Reason: state.ReasonCanceled})
		sim.outage(100*time.Millisecond, outcomeOK)
		Expect(sim.lastVerdict(first)).To(Equal(claims.VerdictNotRun))
		sim.pick = func(n int, _ string) int { return n - 1 }
		second := sim.submit(sim.nodes[1], "k", "x", 2, time.Minute) // a plain service
		sim.finishCall(sim.nextStoreCall(), outcomeOK)               // conflicts
		sim.finishCall(sim.nextStoreCall(), outcomeOK)               // the home reads the voided row
		sim.step(sim.nodes[1], sim.nodes[1].claims[0], claims.GiveUp{Reason: state.ReasonCanceled})
		sim.outage(1500*time.Millisecond, outcomeAppliedLate)
		late := sim.store.lateTxns
		sim.store.lateTxns = nil
		sim.outage(2*time.Second, outcomeOK)
		Expect(sim.lastVerdict(second)).To(Equal(claims.VerdictNotRun))
		sim.store.lateTxns = late
		sim.finishAll()
		third := sim.submit(sim.nodes[1], "k", "x", 0, time.Minute)
		sim.finishAll()
		Expect(sim.started[third]).To(Equal(1))
	})

	// The claim's row is committed when the caller leaves, and the store is down,
	// so that it can't be voided. The caller's repeat arrives at the same daemon
	// and runs on the existing claim, without the store.
	It("is reused by a repeat at the same daemon", Label("failure:store-down"), func() {
		sim := newAccurateSimulation(1)
		n := sim.nodes[0]
		id := sim.submit(n, "k", "x", 0, time.Minute)
		first := n.claims[0]
		sim.step(n, first, claims.GiveUp{Reason: state.ReasonCanceled})
		sim.finishCall(sim.nextStoreCall(), outcomeOK) // the claim is committed; its voiding follows
		sim.outage(1200*time.Millisecond, outcomeNotSent)
		Expect(sim.started[id]).To(BeZero())
		sim.submit(n, "k", "x", 0, time.Minute)
		Expect(sim.firstSteps).To(HaveLen(1))
		sim.finishAll()
		Expect(sim.executions).To(Equal(1))
	})

	// A caller sends the same request to two daemons at the same time. One runs
	// it; the other gets the owner's name.
	It("joins the same request at two daemons", Label("failure:repeat-at-two-daemons"), func() {
		sim := newAccurateSimulation(2)
		a := sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
		b := sim.submit(sim.nodes[1], "k", "x", 1, time.Minute)
		sim.finishCalls(outcomeOK)
		Expect(sim.firstSteps).To(HaveLen(1))
		Expect(sim.lastVerdict(b)).To(Equal(claims.VerdictJoin))
		Expect(sim.verdicts[b][0].Record.Request).To(Equal(a))
		sim.finishAll()
		Expect(sim.executions).To(Equal(1))
		other := sim.submit(sim.nodes[1], "k", "y", 1, time.Minute)
		sim.finishAll()
		Expect(sim.lastVerdict(other)).To(Equal(claims.VerdictKeyReused))
	})

	// A daemon dies after the engine has started the request. The repeat at
	// another daemon takes the attempt over if the engine still holds it. If the
	// engine has restarted and lost it, or is a plain service, the caller gets
	// "unknown", and the request never runs again.
	It("is taken over only with proof", Label("failure:daemon-dies-mid-stream"), func() {
		for _, c := range []struct {
			server  int
			forget  bool
			verdict claims.VerdictKind
		}{{0, false, 0}, {0, true, claims.VerdictUnknown}, {2, false, claims.VerdictUnknown}} {
			sim := newAccurateSimulation(2)
			sim.submit(sim.nodes[0], "k", "x", c.server, time.Minute)
			sim.finishCalls(outcomeOK)
			sim.nodes[0].dead = true
			sim.deliverFirstStep(0, false)
			if c.forget {
				sim.restartBackend(replica(c.server))
			}
			sim.pick = func(n int, _ string) int { return n - 1 } // the daemon that is alive is the home
			b := sim.submit(sim.nodes[1], "k", "x", 1, time.Minute)
			sim.finishAll()
			Expect(sim.executions).To(Equal(1))
			Expect(sim.lastVerdict(b)).To(Equal(c.verdict))
		}
	})

	// The daemon dies mid-stream and one stage of the chain restarts. Continuing
	// with what the other stages hold would make the restarted stage run a step
	// that it has run before.
	It("is not continued if a stage has restarted", Label("failure:daemon-dies-mid-stream"), func() {
		for _, boots := range [][]string{{"boot-0"}, {"another"}, nil} {
			sim := newAccurateSimulation(2)
			sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
			sim.finishCalls(outcomeOK)
			sim.nodes[0].dead = true
			sim.pick = func(n int, _ string) int { return n - 1 }
			b := sim.submit(sim.nodes[1], "k", "x", 1, time.Minute)
			sim.finishCalls(outcomeOK)
			Expect(sim.queries).To(HaveLen(1))
			query := sim.queries[0]
			sim.step(query.owner, query.claim, claims.Evidence{Epoch: query.record.Epoch, Kind: claims.EvidenceHeld, BootIDs: boots})
			same := len(boots) == 1 && boots[0] == "boot-0"
			Expect(query.claim.tookOver).To(Equal(same))
			Expect(sim.lastVerdict(b) == claims.VerdictUnknown).To(Equal(!same))
		}
	})

	// A daemon dies between claim and dispatch. The engine has not restarted and
	// reports that nothing started, so the repeat runs. A delayed step of the dead
	// daemon is refused.
	It("runs the work again if it provably never started", Label("failure:daemon-dies-mid-stream"), func() {
		sim := newAccurateSimulation(2)
		a := sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
		sim.finishCalls(outcomeOK)
		sim.nodes[0].dead = true
		late := sim.firstSteps
		sim.firstSteps = nil
		sim.pick = func(n int, _ string) int { return n - 1 }
		b := sim.submit(sim.nodes[1], "k", "x", 1, time.Minute)
		sim.finishAll()
		sim.firstSteps = late
		sim.finishAll()
		Expect(sim.started[b]).To(Equal(1))
		Expect(sim.started[a]).To(BeZero())
	})

	// A daemon is paused when its claim is committed. Meanwhile the request is
	// taken over and runs elsewhere. After the pause the first daemon dispatches,
	// the engine refuses the step, and the daemon detects that it was overtaken.
	It("does not run what was taken over during a pause", Label("failure:stale-holder-acts"), func() {
		sim := newAccurateSimulation(2)
		a := sim.submit(sim.nodes[0], "k", "x", 0, time.Minute)
		home := sim.nodes[0].batcher
		Expect(home.Pending()).To(Equal(1))
		sim.finishCall(sim.nextStoreCall(), outcomeOK)
		late := sim.firstSteps
		sim.firstSteps = nil
		sim.nodes[0].paused, sim.nodes[1].accurateView = true, false
		sim.nodes[1].wrongView = func() bool { return false } // d1 takes d0 for dead
		sim.pick = func(n int, _ string) int { return n - 1 }
		b := sim.submit(sim.nodes[1], "k", "x", 1, time.Minute)
		for range 20 {
			sim.finishCalls(outcomeOK)
			for len(sim.queries) > 0 {
				sim.answerQuery(0, true)
			}
			for len(sim.firstSteps) > 0 {
				sim.deliverFirstStep(0, false)
			}
			sim.advance(100 * time.Millisecond)
		}
		Expect(sim.started[b]).To(Equal(1))
		sim.resume(sim.nodes[0])
		sim.firstSteps = late
		sim.finishAll()
		Expect(sim.started[a]).To(BeZero())
		Expect(sim.lastVerdict(a)).NotTo(Equal(claims.VerdictNotRun))
	})
})
