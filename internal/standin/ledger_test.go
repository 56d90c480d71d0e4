package standin_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
)

// Each engine sees only its own steps and can't detect every violation of the order of
// layers. The ledger, against which the router is checked, must detect all of them.
var _ = Describe("the ledger", func() {
	var c *chain
	var a *attempt

	BeforeEach(func(ctx SpecContext) {
		c = startChain(ctx, 2, 4, 6)
		a = &attempt{request: "r", attempt: 1, epoch: 1, prompt: "tariff summary, tokens=9"}
	})

	run := func(ctx SpecContext, stage int, input []byte) engine.StepResult {
		GinkgoHelper()
		results, err := c.clients[stage].Step(ctx, []engine.StepRequest{c.step(a, stage, input)})
		Expect(err).NotTo(HaveOccurred())
		Expect(results[0].Status).To(Equal(engine.StepDone), results[0].Detail)
		return results[0]
	}

	It("detects skipped layers, and the token is wrong", func(ctx SpecContext) {
		got := run(ctx, 2, run(ctx, 0, nil).Output)
		Expect(c.ledger.Violations()).To(ConsistOf(ContainSubstring("layer 2 was skipped")))
		Expect(got.Token).NotTo(Equal(standin.ExpectedTokens(a.prompt, 1)[0]))
	}, SpecTimeout(specTimeout))

	It("detects layers that ran twice for a token, on two engines", func(ctx SpecContext) {
		input := run(ctx, 0, nil).Output
		run(ctx, 1, input)
		second, err := standin.StartEngine(c.servers[1].Config())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(second.Close)
		c.servers[1], c.clients[1] = second, dial(second.Address(), specTimeout)
		run(ctx, 1, input)
		Expect(c.ledger.Violations()).To(ConsistOf(ContainSubstring("run twice")))
	}, SpecTimeout(specTimeout))

	It("detects a token that starts before the last one is complete", func(ctx SpecContext) {
		run(ctx, 1, run(ctx, 0, nil).Output)
		a.tokens = standin.ExpectedTokens(a.prompt, 1)
		run(ctx, 0, nil)
		Expect(c.ledger.Violations()).To(ConsistOf(ContainSubstring("token 0 is incomplete")))
	}, SpecTimeout(specTimeout))

	It("counts an execution interrupted by a crash, and each plain call", func(ctx SpecContext) {
		c.servers[0].CrashOn("tariff")
		_, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).To(HaveOccurred())
		Expect(c.ledger.Runs(a.prompt)).To(Equal(1))
		Expect(c.ledger.HasStarted("r")).To(BeTrue())
		Expect(c.ledger.Steps()).To(BeZero())

		p, err := standin.StartPlain(standin.PlainConfig{Ledger: c.ledger})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		p.LoseAnswers(1)
		for range 2 {
			_, _ = dialPlain(p.Address()).Call(ctx, engine.PlainCall{Request: "alert", Attempt: 1, Body: "charge window"})
		}
		Expect(c.ledger.Runs("charge window")).To(Equal(2))
	}, SpecTimeout(specTimeout))
})
