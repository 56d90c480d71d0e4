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
	// A caller repeats a never-repeat request at several daemons while the
	// store loses answers, writes land late, daemons die and pause and wake,
	// beliefs about who lives are wrong and backend servers restart. The
	// recipient sees the note at most once, and a caller that was told "not
	// run" can repeat it until it runs.
	It("runs each key at most once, and what was refused never", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			clear(replies)
			w := newWorld(func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) })
			for i := range 3 {
				w.addNode(fmt.Sprintf("d%d", i), 1)
			}
			var asked []state.RequestID
			for range rapid.IntRange(10, 120).Draw(t, "steps") {
				if id := w.random(t); id != "" {
					asked = append(asked, id)
				}
				w.check(t, asked)
			}
			w.settle()
			w.check(t, asked)
			w.live(t, asked)
		})
	})
})

// random does one thing; it returns the request where that is a submission.
func (w *world) random(t *rapid.T) state.RequestID {
	n := w.nodes[w.choose(len(w.nodes), "node")]
	switch w.choose(14, "op") {
	case 0, 1:
		if !n.dead && !n.paused {
			ttl := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ttl")) * time.Millisecond
			return w.submit(n, "k", "x", w.choose(3, "slot"), ttl)
		}
	case 2, 3, 4, 5:
		if len(w.air) > 0 {
			w.deliverCall(w.choose(len(w.air), "call"), w.fate())
		}
	case 6:
		if len(w.store.late) > 0 {
			w.landLate(w.choose(len(w.store.late), "late"))
		}
	case 7:
		if len(w.steps) > 0 {
			w.deliverStep(w.choose(len(w.steps), "step"), w.choose(4, "refused") == 0)
		}
	case 8:
		if len(w.asks) > 0 {
			w.deliverAsk(w.choose(len(w.asks), "ask"), w.choose(3, "reachable") > 0)
		}
	case 9:
		w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	case 10:
		n.paused = !n.dead && !n.paused
		if !n.paused {
			w.wake(n)
		}
	case 11:
		if w.choose(3, "dies") == 0 && !n.dead {
			n.dead = true
			w.addNode(string(n.member.ID), n.member.Incarnation+1)
		}
	case 12:
		if w.choose(3, "reboots") == 0 {
			w.reboot(replica(w.choose(3, "server")))
		}
	case 13:
		w.interrupt(n)
	}
	return ""
}

// fate favours calls that go well.
func (w *world) fate() fate {
	return max(fateOK, fate(w.choose(int(fates)+3, "fate"))-3)
}

// interrupt gives up a claim that was not dispatched, or tells one that joined
// that its owner is gone.
func (w *world) interrupt(n *node) {
	if n.dead || len(n.claims) == 0 {
		return
	}
	k := n.claims[w.choose(len(n.claims), "claim")]
	if last := w.verdicts[k.Request().ID]; len(last) > 0 && last[len(last)-1].Kind == claims.VerdictJoin {
		w.step(n, k, claims.OwnerGone{Owner: last[len(last)-1].Record.Owner})
		return
	}
	if !k.sent {
		w.step(n, k, claims.GiveUp{Reason: state.ReasonCanceled})
	}
}

func (w *world) check(t *rapid.T, asked []state.RequestID) {
	if w.total > 1 {
		t.Fatalf("the work ran %d times: %v", w.total, w.began)
	}
	for _, id := range asked {
		for _, v := range w.verdicts[id] {
			if v.Kind == claims.VerdictNotRun && w.began[id] > 0 {
				t.Fatalf("request %s was refused as not run, and ran", id)
			}
		}
	}
}

// live checks that a key all of whose requests were refused as not run can run.
func (w *world) live(t *rapid.T, asked []state.RequestID) {
	for _, id := range asked {
		vs := w.verdicts[id]
		if len(vs) == 0 || vs[len(vs)-1].Kind != claims.VerdictNotRun {
			return
		}
	}
	n := w.addNode("fresh", 1)
	n.honest = true
	id := w.submit(n, "k", "x", 0, time.Minute)
	w.settle()
	if w.began[id] != 1 {
		t.Fatalf("all requests were refused as not run, but a repeat did not run: %v", w.verdicts[id])
	}
}
