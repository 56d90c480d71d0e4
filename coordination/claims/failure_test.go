package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// steady returns a world of n daemons whose beliefs are true; nothing in it is
// random, and a write goes through the first daemon as the key's home.
func steady(n int) *world {
	clear(replies)
	w := newWorld(func(int, string) int { return 0 })
	for i := range n {
		w.addNode(fmt.Sprintf("d%d", i), 1).honest = true
	}
	return w
}

// calls ends all store calls under way, and those that they lead to. Waits for
// a home's reply do not time out.
func (w *world) calls(f fate) {
	for i := 0; i < len(w.air); {
		if w.air[i].req == nil {
			i++
			continue
		}
		w.deliverCall(i, f)
		i = 0
	}
}

// outage answers all store calls with f for a while.
func (w *world) outage(d time.Duration, f fate) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.calls(f)
		w.advance(50 * time.Millisecond)
	}
	w.calls(f)
}

func (w *world) last(id state.RequestID) claims.VerdictKind {
	vs := w.verdicts[id]
	if len(vs) == 0 {
		return 0
	}
	return vs[len(vs)-1].Kind
}

var _ = Describe("A claim", func() {
	// A clerk's note is claimed; the store's answer is lost, and the write
	// lands only after a read found no row. The note is dispatched once, and
	// only when the row is known to be there.
	It("waits for proof that its row stands", Label("failure:store-answer-lost"), func() {
		w := steady(1)
		id := w.submit(w.nodes[0], "k", "x", 0, time.Minute)
		w.outage(1500*time.Millisecond, fateLate)
		Expect(w.steps).To(BeEmpty())
		w.settle()
		Expect(w.began[id]).To(Equal(1))
		Expect(w.total).To(Equal(1))
	})

	// The store is down while a caller waits for its deadline. Nothing left
	// this daemon, so the caller is truly told "not run", and its repeat runs
	// when the store is back.
	It("refuses truly while the store is down", Label("failure:store-down"), func() {
		w := steady(1)
		id := w.submit(w.nodes[0], "k", "x", 0, time.Second)
		w.outage(2*time.Second, fateNotSent)
		Expect(w.last(id)).To(Equal(claims.VerdictNotRun))
		again := w.submit(w.nodes[0], "k", "x", 0, time.Minute)
		w.settle()
		Expect(w.began[again]).To(Equal(1))
	})

	// The store goes down with the claim's answer. The caller is told
	// "unknown", not "not run". When the store is back the row is voided, and
	// a repeat at another daemon runs.
	It("voids what it gave up once the store is back", Label("failure:store-down"), func() {
		w := steady(2)
		id := w.submit(w.nodes[0], "k", "x", 0, time.Second)
		w.outage(4*time.Second, fateLost)
		Expect(w.last(id)).To(Equal(claims.VerdictUnsettled))
		back := w.now
		for w.last(id) != claims.VerdictNotRun && w.now.Sub(back) < 10*time.Second {
			w.calls(fateOK)
			w.advance(10 * time.Millisecond)
		}
		GinkgoWriter.Printf("voided %v after the store was back\n", w.now.Sub(back))
		Expect(w.last(id)).To(Equal(claims.VerdictNotRun))
		again := w.submit(w.nodes[1], "k", "x", 0, time.Minute)
		w.settle()
		Expect(w.began[again]).To(Equal(1))
		Expect(w.began[id]).To(BeZero())
	})

	// A key was voided; a repeat claims it anew, its write is lost on the way,
	// and it gives up and reads the old void. The lost write lands after all:
	// it must not lock the key behind a caller that was told "not run".
	It("bars its own lost write when it gives up", Label("failure:store-answer-lost"), func() {
		w := steady(2)
		first := w.submit(w.nodes[0], "k", "x", 0, time.Minute)
		w.step(w.nodes[0], w.nodes[0].claims[0], claims.GiveUp{Reason: state.ReasonCanceled})
		w.outage(100*time.Millisecond, fateOK)
		Expect(w.last(first)).To(Equal(claims.VerdictNotRun))
		w.choose = func(n int, _ string) int { return n - 1 }
		second := w.submit(w.nodes[1], "k", "x", 2, time.Minute) // a plain service
		w.deliverCall(w.lastReal(), fateOK)                      // conflicts
		w.deliverCall(w.lastReal(), fateOK)                      // the home reads the void
		w.step(w.nodes[1], w.nodes[1].claims[0], claims.GiveUp{Reason: state.ReasonCanceled})
		w.outage(1500*time.Millisecond, fateLate)
		late := w.store.late
		w.store.late = nil
		w.outage(2*time.Second, fateOK)
		Expect(w.last(second)).To(Equal(claims.VerdictNotRun))
		w.store.late = late
		w.settle()
		third := w.submit(w.nodes[1], "k", "x", 0, time.Minute)
		w.settle()
		Expect(w.began[third]).To(Equal(1))
	})

	// The claim is held when the caller leaves, and the store is down, so that
	// it can't be voided. The caller's repeat comes to the same daemon and
	// runs on the claim that stands, without the store.
	It("is reused by a repeat at the same daemon", Label("failure:store-down"), func() {
		w := steady(1)
		n := w.nodes[0]
		id := w.submit(n, "k", "x", 0, time.Minute)
		first := n.claims[0]
		w.step(n, first, claims.GiveUp{Reason: state.ReasonCanceled})
		w.deliverCall(w.lastReal(), fateOK) // the claim lands; the void follows
		w.outage(1200*time.Millisecond, fateNotSent)
		Expect(w.began[id]).To(BeZero())
		w.submit(n, "k", "x", 0, time.Minute)
		Expect(w.steps).To(HaveLen(1))
		w.settle()
		Expect(w.total).To(Equal(1))
	})

	// A postman's app sends one note through two daemons at the same moment.
	// One runs it; the other is told where.
	It("joins the same request at two daemons", Label("failure:repeat-at-two-daemons"), func() {
		w := steady(2)
		a := w.submit(w.nodes[0], "k", "x", 0, time.Minute)
		b := w.submit(w.nodes[1], "k", "x", 1, time.Minute)
		w.calls(fateOK)
		Expect(w.steps).To(HaveLen(1))
		Expect(w.last(b)).To(Equal(claims.VerdictJoin))
		Expect(w.verdicts[b][0].Record.Request).To(Equal(a))
		w.settle()
		Expect(w.total).To(Equal(1))
		other := w.submit(w.nodes[1], "k", "y", 1, time.Minute)
		w.settle()
		Expect(w.last(other)).To(Equal(claims.VerdictKeyReused))
	})

	// A daemon dies after the engine began the request. The repeat at another
	// daemon takes the attempt over where the engine holds it; where the
	// engine restarted and forgot, or is a plain service, the caller is told
	// "unknown", and it never runs again.
	It("is taken over only with proof", Label("failure:daemon-dies-mid-stream"), func() {
		for _, c := range []struct {
			server  int
			forget  bool
			verdict claims.VerdictKind
		}{{0, false, 0}, {0, true, claims.VerdictUnknown}, {2, false, claims.VerdictUnknown}} {
			w := steady(2)
			w.submit(w.nodes[0], "k", "x", c.server, time.Minute)
			w.calls(fateOK)
			w.nodes[0].dead = true
			w.deliverStep(0, false)
			if c.forget {
				w.reboot(replica(c.server))
			}
			w.choose = func(n int, _ string) int { return n - 1 } // the home that lives
			b := w.submit(w.nodes[1], "k", "x", 1, time.Minute)
			w.settle()
			Expect(w.total).To(Equal(1))
			Expect(w.last(b)).To(Equal(c.verdict))
		}
	})

	// The daemon dies mid-stream, and one stage of the chain restarts. What
	// the other stages hold must not be continued over it: the stage that
	// forgot would run a step that it ran before.
	It("is not continued over a stage that forgot", Label("failure:daemon-dies-mid-stream"), func() {
		for _, boots := range [][]string{{"boot-0"}, {"another"}, nil} {
			w := steady(2)
			w.submit(w.nodes[0], "k", "x", 0, time.Minute)
			w.calls(fateOK)
			w.nodes[0].dead = true
			w.choose = func(n int, _ string) int { return n - 1 }
			b := w.submit(w.nodes[1], "k", "x", 1, time.Minute)
			w.calls(fateOK)
			Expect(w.asks).To(HaveLen(1))
			ask := w.asks[0]
			w.step(ask.owner, ask.claim, claims.Evidence{Epoch: ask.rec.Epoch, Kind: claims.EvidenceHeld, BootIDs: boots})
			same := len(boots) == 1 && boots[0] == "boot-0"
			Expect(ask.claim.continued).To(Equal(same))
			Expect(w.last(b) == claims.VerdictUnknown).To(Equal(!same))
		}
	})

	// A daemon dies between claim and dispatch. The engine has not restarted
	// and says that nothing began, so the repeat runs; the dead daemon's step,
	// should it still be on its way, is barred.
	It("runs again what surely never began", Label("failure:daemon-dies-mid-stream"), func() {
		w := steady(2)
		a := w.submit(w.nodes[0], "k", "x", 0, time.Minute)
		w.calls(fateOK)
		w.nodes[0].dead = true
		late := w.steps
		w.steps = nil
		w.choose = func(n int, _ string) int { return n - 1 }
		b := w.submit(w.nodes[1], "k", "x", 1, time.Minute)
		w.settle()
		w.steps = late
		w.settle()
		Expect(w.began[b]).To(Equal(1))
		Expect(w.began[a]).To(BeZero())
	})

	// A daemon is paused just as its claim is granted. Meanwhile the request
	// is taken over and runs elsewhere. When the paused one wakes it
	// dispatches, is barred, and finds that it was overtaken.
	It("does not run what was taken over during a pause", Label("failure:stale-holder-acts"), func() {
		w := steady(2)
		a := w.submit(w.nodes[0], "k", "x", 0, time.Minute)
		home := w.nodes[0].home
		Expect(home.Pending()).To(Equal(1))
		w.deliverCall(w.lastReal(), fateOK)
		late := w.steps
		w.steps = nil
		w.nodes[0].paused, w.nodes[1].honest = true, false
		w.nodes[1].lie = func() bool { return false } // believes that d0 is dead
		w.choose = func(n int, _ string) int { return n - 1 }
		b := w.submit(w.nodes[1], "k", "x", 1, time.Minute)
		for range 20 {
			w.calls(fateOK)
			for len(w.asks) > 0 {
				w.deliverAsk(0, true)
			}
			for len(w.steps) > 0 {
				w.deliverStep(0, false)
			}
			w.advance(100 * time.Millisecond)
		}
		Expect(w.began[b]).To(Equal(1))
		w.wake(w.nodes[0])
		w.steps = late
		w.settle()
		Expect(w.began[a]).To(BeZero())
		Expect(w.last(a)).NotTo(Equal(claims.VerdictNotRun))
	})
})
