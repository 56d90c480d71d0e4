package daemon_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// poisonous content crashes every backend server that starts it.
const poisonous = "poisonous"

// crashOnPoison makes every engine crash on poisonous content; restartDead
// restarts crashed ones.
func (h *harness) crashOnPoison() {
	for _, e := range h.Engines {
		e.CrashOn(poisonous)
	}
}

// restartDead restarts every crashed engine, as the platform would.
func (h *harness) restartDead() int {
	dead := 0
	for _, e := range h.Engines {
		if !e.Alive() {
			dead++
			Expect(e.Restart()).To(Succeed())
		}
	}
	return dead
}

var _ = Describe("A request that crashes backend servers", Label("failure:request-crashes-servers"), func() {
	// Guards against a content that crashes one server after another. A caller
	// repeats it at every daemon and under new keys. After at most two crashes
	// it is refused everywhere as not run, since the quarantine goes by content
	// and not by key or daemon. Other requests complete, including those that
	// ran on the same servers.
	It("crashes at most two, whatever key and daemon it is sent with", func() {
		h := newHarness(3, slowStepTime)
		h.crashOnPoison()
		bystander := h.submit(0, summary("bystander"))
		crashed := 0
		Eventually(func(g Gomega) {
			crashed += h.restartDead()
			n := crashed % len(h.Daemons)
			s := summary(fmt.Sprintf("again-%d", GinkgoRandomSeed()))
			s.Prompt = promptOf("x") + " " + poisonous
			outcome := h.send(n, s)
			refused, ok := outcome.(state.Refused)
			g.Expect(ok).To(BeTrue(), "%#v", outcome)
			g.Expect(refused.Reason).To(Equal(state.ReasonQuarantined))
		}).WithTimeout(2 * testTimeout).Should(Succeed())
		crashed += h.restartDead()
		Expect(h.Ledger.Crashes(promptOf("x") + " " + poisonous)).To(BeNumerically("<=", 2))

		for i := range h.Daemons {
			s := note(fmt.Sprintf("elsewhere-%d", i))
			s.Prompt = promptOf("x") + " " + poisonous
			Eventually(func() state.Reason {
				refused, _ := h.send(i, s).(state.Refused)
				return refused.Reason
			}).WithTimeout(testTimeout).Should(Equal(state.ReasonQuarantined))
		}
		Expect(h.Ledger.Crashes(promptOf("x") + " " + poisonous)).To(BeNumerically("<=", 2))
		tokens, outcome := h.read(bystander, -1)
		expectComplete(tokens, outcome, "bystander")
		tokens, outcome = h.read(h.submit(1, note("after")), -1)
		expectComplete(tokens, outcome, "after")
		h.expectNoViolations()
	})
})

// send sends a request and returns its outcome.
func (h *harness) send(n int, s caller.Submission) state.Outcome {
	stream, outcome := h.Daemons[n].Submit(h.ctx, s)
	if outcome != nil {
		return outcome
	}
	_, outcome = h.read(stream, -1)
	return outcome
}
