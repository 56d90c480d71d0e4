package standin_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

const specTimeout = 20 * time.Second

// chain is a model whose layers are split over several engines, which the tests drive
// like an entry daemon.
type chain struct {
	ledger  *standin.Ledger
	servers []*standin.Engine
	clients []*enginehttp.Client
}

func startChain(ctx context.Context, ends ...int) *chain {
	GinkgoHelper()
	c := &chain{ledger: standin.NewLedger()}
	first := 0
	for _, end := range ends {
		e, err := standin.StartEngine(standin.EngineConfig{
			Model: "m", Version: "1", ModelLayers: ends[len(ends)-1],
			Layers: state.LayerRange{First: first, End: end}, Ledger: c.ledger,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := enginehttp.New(e.Address(), enginehttp.Options{ProgressTimeout: specTimeout})
		DeferCleanup(client.Close)
		c.servers = append(c.servers, e)
		c.clients = append(c.clients, client)
		first = end
	}
	return c
}

// attempt is the progress of one attempt in the chain.
type attempt struct {
	request    state.RequestID
	attempt    state.Attempt
	epoch      state.Epoch
	prompt     string
	tokens     []int64
	startToken int // number of tokens from earlier attempts
}

// step returns the step of a stage for the next token.
func (c *chain) step(a *attempt, stage int, input []byte) engine.StepRequest {
	s := engine.StepRequest{
		Request: a.request, Attempt: a.attempt, Epoch: a.epoch, Token: len(a.tokens),
		Layers: c.servers[stage].Config().Layers, Input: input,
	}
	switch {
	case stage > 0:
	case len(a.tokens) == a.startToken:
		s.Prompt = a.prompt
		s.PriorTokens = a.tokens
	default:
		s.LastToken = a.tokens[len(a.tokens)-1]
	}
	return s
}

// token runs one token through all stages and reports whether it is the last one.
func (c *chain) token(ctx context.Context, a *attempt) bool {
	GinkgoHelper()
	var input []byte
	var last engine.StepResult
	for i, client := range c.clients {
		results, err := client.Step(ctx, []engine.StepRequest{c.step(a, i, input)})
		Expect(err).NotTo(HaveOccurred())
		last = results[0]
		Expect(last.Status).To(Equal(engine.StepDone), last.Detail)
		input = last.Output
	}
	a.tokens = append(a.tokens, last.Token)
	return last.Final
}

var _ = Describe("a chain of engines", func() {
	It("generates the expected answer with each layer run once", func(ctx SpecContext) {
		c := startChain(ctx, 3, 8)
		a := &attempt{request: "r", attempt: 1, epoch: 1, prompt: "explain clause 4"}
		for !c.token(ctx, a) {
		}
		Expect(a.tokens).To(Equal(standin.ExpectedTokens(a.prompt, 0)))
		Expect(c.ledger.Violations()).To(BeEmpty())
		Expect(c.ledger.Runs(a.prompt)).To(Equal(1))
	}, SpecTimeout(specTimeout))

	It("continues the answer in a new attempt", func(ctx SpecContext) {
		c := startChain(ctx, 3, 8)
		a := &attempt{request: "r", attempt: 1, epoch: 1, prompt: "explain clause 4"}
		for range 5 {
			c.token(ctx, a)
		}
		a.attempt, a.startToken = 2, len(a.tokens)
		for !c.token(ctx, a) {
		}
		Expect(a.tokens).To(Equal(standin.ExpectedTokens(a.prompt, 0)))
		Expect(c.ledger.Violations()).To(BeEmpty())
		Expect(c.ledger.Executions("r")).To(Equal(2))
	}, SpecTimeout(specTimeout))
})
