package standin_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
)

// The ledger checks the router, so it has to see each way in which a router can
// break the order of layers past engines that each see their own steps only.
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

	It("sees layers that were skipped, and the token is wrong", func(ctx SpecContext) {
		got := run(ctx, 2, run(ctx, 0, nil).Output)
		Expect(c.ledger.Violations()).To(ConsistOf(ContainSubstring("layer 2 was skipped")))
		Expect(got.Token).NotTo(Equal(standin.ExpectedTokens(a.prompt, 1)[0]))
	}, SpecTimeout(generous))

	It("sees layers that ran twice for a token, on two engines", func(ctx SpecContext) {
		input := run(ctx, 0, nil).Output
		run(ctx, 1, input)
		twin, err := standin.StartEngine(c.servers[1].Config())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(twin.Close)
		c.servers[1], c.clients[1] = twin, dial(twin.Address(), generous)
		run(ctx, 1, input)
		Expect(c.ledger.Violations()).To(ConsistOf(ContainSubstring("run twice")))
	}, SpecTimeout(generous))

	It("sees a token that begins before the last one is whole", func(ctx SpecContext) {
		run(ctx, 1, run(ctx, 0, nil).Output)
		a.tokens = standin.ExpectedTokens(a.prompt, 1)
		run(ctx, 0, nil)
		Expect(c.ledger.Violations()).To(ConsistOf(ContainSubstring("token 0 is not whole")))
	}, SpecTimeout(generous))

	It("counts an execution that a death cut off, and a plain call each time", func(ctx SpecContext) {
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
	}, SpecTimeout(generous))
})
