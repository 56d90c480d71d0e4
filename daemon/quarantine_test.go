package daemon_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// poisonous content ends every backend server that begins it.
const poisonous = "poisonous"

// crashOnPoison arms every engine; a dead one is restarted by restartDead.
func (r *rig) crashOnPoison() {
	for _, e := range r.Engines {
		e.CrashOn(poisonous)
	}
}

// restartDead starts every engine that died again, as the platform would.
func (r *rig) restartDead() int {
	dead := 0
	for _, e := range r.Engines {
		if !e.Alive() {
			dead++
			Expect(e.Restart()).To(Succeed())
		}
	}
	return dead
}

var _ = Describe("A request that crashes backend servers", Label("failure:request-crashes-servers"), func() {
	// One caller's draft ends every server that begins it, and the caller sends
	// it again and again, through every daemon and under new keys. At most two
	// servers die of it; then it is refused everywhere, as not run, while other
	// callers' requests are served, those too that ran beside it. Cause: the
	// content, which no key or daemon names.
	It("crashes two at most, whatever key and daemon it comes through", func() {
		r := newRig(3, slowStep)
		r.crashOnPoison()
		bystander := r.submit(0, summary("bystander"))
		crashed := 0
		Eventually(func(g Gomega) {
			crashed += r.restartDead()
			n := crashed % len(r.Daemons)
			s := summary(fmt.Sprintf("again-%d", GinkgoRandomSeed()))
			s.Prompt = promptOf("x") + " " + poisonous
			outcome := r.send(n, s)
			refused, ok := outcome.(state.Refused)
			g.Expect(ok).To(BeTrue(), "%#v", outcome)
			g.Expect(refused.Reason).To(Equal(state.ReasonQuarantined))
		}).WithTimeout(2 * patience).Should(Succeed())
		crashed += r.restartDead()
		Expect(r.Ledger.Crashes(promptOf("x") + " " + poisonous)).To(BeNumerically("<=", 2))

		for i := range r.Daemons {
			s := note(fmt.Sprintf("elsewhere-%d", i))
			s.Prompt = promptOf("x") + " " + poisonous
			Eventually(func() state.Reason {
				refused, _ := r.send(i, s).(state.Refused)
				return refused.Reason
			}).WithTimeout(patience).Should(Equal(state.ReasonQuarantined))
		}
		Expect(r.Ledger.Crashes(promptOf("x") + " " + poisonous)).To(BeNumerically("<=", 2))
		tokens, outcome := r.read(bystander, -1)
		expectWhole(tokens, outcome, "bystander")
		tokens, outcome = r.read(r.submit(1, note("after")), -1)
		expectWhole(tokens, outcome, "after")
		r.expectSound()
	})
})

// send sends a request and returns how it ended.
func (r *rig) send(n int, s caller.Submission) state.Outcome {
	stream, outcome := r.Daemons[n].Submit(r.ctx, s)
	if outcome != nil {
		return outcome
	}
	_, outcome = r.read(stream, -1)
	return outcome
}
