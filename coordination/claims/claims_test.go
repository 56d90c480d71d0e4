package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("At most once", Label("failure:repeat-at-two-daemons"), func() {
	// A caller repeats a request that must run at most once at several daemons,
	// while the store loses answers, writes are committed late, daemons die, pause
	// and resume, daemons have wrong views of which others live, and backend
	// servers restart. The request runs at most once, and a caller that got "not
	// run" can repeat it until it runs.
	It("runs each key at most once and never runs a request refused as not run", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			clear(replies)
			sim := newSimulation(func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) })
			for i := range 3 {
				sim.addNode(fmt.Sprintf("d%d", i), 1)
			}
			var submitted []state.RequestID
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				if id := sim.randomEvent(t); id != "" {
					submitted = append(submitted, id)
				}
				sim.checkAtMostOnce(t, submitted)
			}
			sim.finishAll()
			sim.checkAtMostOnce(t, submitted)
			sim.checkKeyUsable(t, submitted)
		})
	})
})

// randomEvent applies one random event. If that is a submission, it returns the
// request.
func (sim *simulation) randomEvent(t *rapid.T) state.RequestID {
	n := sim.nodes[sim.pick(len(sim.nodes), "node")]
	switch sim.pick(14, "op") {
	case 0, 1:
		if !n.dead && !n.paused {
			ttl := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ttl")) * time.Millisecond
			return sim.submit(n, "k", "x", sim.pick(3, "slot"), ttl)
		}
	case 2, 3, 4, 5:
		if len(sim.storeCalls) > 0 {
			sim.finishCall(sim.pick(len(sim.storeCalls), "call"), sim.randomOutcome())
		}
	case 6:
		if len(sim.store.lateTxns) > 0 {
			sim.commitLate(sim.pick(len(sim.store.lateTxns), "late"))
		}
	case 7:
		if len(sim.firstSteps) > 0 {
			sim.deliverFirstStep(sim.pick(len(sim.firstSteps), "step"), sim.pick(4, "refused") == 0)
		}
	case 8:
		if len(sim.queries) > 0 {
			sim.answerQuery(sim.pick(len(sim.queries), "query"), sim.pick(3, "reachable") > 0)
		}
	case 9:
		sim.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	case 10:
		n.paused = !n.dead && !n.paused
		if !n.paused {
			sim.resume(n)
		}
	case 11:
		if sim.pick(3, "dies") == 0 && !n.dead {
			n.dead = true
			sim.addNode(string(n.member.ID), n.member.Incarnation+1)
		}
	case 12:
		if sim.pick(3, "reboots") == 0 {
			sim.restartBackend(replica(sim.pick(3, "server")))
		}
	case 13:
		sim.cancelOrReportOwnerLost(n)
	}
	return ""
}

// randomOutcome prefers successful calls.
func (sim *simulation) randomOutcome() outcome {
	return max(outcomeOK, outcome(sim.pick(int(numOutcomes)+3, "fate"))-3)
}

// cancelOrReportOwnerLost gives up a claim that was not dispatched, or tells one
// that has joined an owner that the owner is gone.
func (sim *simulation) cancelOrReportOwnerLost(n *node) {
	if n.dead || len(n.claims) == 0 {
		return
	}
	k := n.claims[sim.pick(len(n.claims), "claim")]
	if last := sim.verdicts[k.Request().ID]; len(last) > 0 && last[len(last)-1].Kind == claims.VerdictJoin {
		sim.step(n, k, claims.OwnerGone{Owner: last[len(last)-1].Record.Owner})
		return
	}
	if !k.dispatched {
		sim.step(n, k, claims.GiveUp{Reason: state.ReasonCanceled})
	}
}

func (sim *simulation) checkAtMostOnce(t *rapid.T, submitted []state.RequestID) {
	if sim.executions > 1 {
		t.Fatalf("the work ran %d times, by request: %v", sim.executions, sim.started)
	}
	for _, id := range submitted {
		for _, v := range sim.verdicts[id] {
			if v.Kind == claims.VerdictNotRun && sim.started[id] > 0 {
				t.Fatalf("request %s was refused as not run, but it ran", id)
			}
		}
	}
}

// checkKeyUsable checks that a key can still run if all its requests were refused
// as not run.
func (sim *simulation) checkKeyUsable(t *rapid.T, submitted []state.RequestID) {
	for _, id := range submitted {
		vs := sim.verdicts[id]
		if len(vs) == 0 || vs[len(vs)-1].Kind != claims.VerdictNotRun {
			return
		}
	}
	n := sim.addNode("fresh", 1)
	n.accurateView = true
	id := sim.submit(n, "k", "x", 0, time.Minute)
	sim.finishAll()
	if sim.started[id] != 1 {
		t.Fatalf("all requests were refused as not run, but a repeat did not run: %v", sim.verdicts[id])
	}
}
