package standin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

const (
	progressTimeout = time.Second            // progress timeout in tests that wait for it
	reportLag       = 150 * time.Millisecond // of reports
)

// dial returns a client that treats a connection as unresponsive after timeout.
func dial(address string, timeout time.Duration) *enginehttp.Client {
	client := enginehttp.New(address, enginehttp.Options{ProgressTimeout: timeout})
	DeferCleanup(client.Close)
	return client
}

func dialPlain(address string) *enginehttp.PlainClient {
	client := enginehttp.NewPlain(address, enginehttp.Options{ProgressTimeout: specTimeout})
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("an engine", func() {
	var c *chain
	var a *attempt

	BeforeEach(func(ctx SpecContext) {
		c = startChain(ctx, 3, 8)
		a = &attempt{request: "r", attempt: 1, epoch: 1, prompt: "why was the first attempt at delivery failed? tokens=6"}
	})

	finish := func(ctx SpecContext) {
		GinkgoHelper()
		for !c.token(ctx, a) {
		}
		Expect(a.tokens).To(Equal(standin.ExpectedTokens(a.prompt, 0)))
		Expect(c.ledger.Violations()).To(BeEmpty())
	}

	// A network device drops the connection's state, so that the first stage runs the
	// step but its response never arrives; new connections work. The step must not be
	// sent again on the same cache: the stage is queried and its output used.
	It("reports the state of a step whose connection became unresponsive", Label("failure:silent-connection"), func(ctx SpecContext) {
		client := dial(c.servers[0].Address(), progressTimeout)
		c.clients[0] = client
		c.token(ctx, a)
		c.servers[0].Slow(2 * progressTimeout.Seconds() / standin.DefaultStepTime.Seconds())
		blackholedAt := make(chan time.Time)
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return c.servers[0].Running() }, specTimeout).Should(Equal(1))
			c.servers[0].BlackholeConnections()
			blackholedAt <- time.Now()
		}()
		_, err := client.Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).To(MatchError(enginehttp.ErrUnresponsive))
		Expect(engine.NotSent(err)).To(BeFalse())
		c.servers[0].Slow(1)

		a.epoch++
		var got engine.AttemptState
		Eventually(func() (err error) { // the stage responds once the step has ended
			got, err = client.Resume(ctx, a.request, a.attempt, a.epoch)
			return err
		}, specTimeout).Should(Succeed())
		AddReportEntry("recovered after", time.Since(<-blackholedAt))
		Expect(got.NextToken).To(Equal(2))
		results, err := c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, got.LastOutput)})
		Expect(err).NotTo(HaveOccurred())
		a.tokens = append(a.tokens, results[0].Token)
		finish(ctx)
		Expect(c.ledger.Executions("r")).To(Equal(1))
	}, SpecTimeout(specTimeout))

	// A step is sent on a pooled connection that became unresponsive while idle: the
	// bytes are accepted, but there is no response. The step did not run, which only
	// the stage can confirm.
	It("reports that a step lost on an idle connection did not run", Label("failure:silent-connection"), func(ctx SpecContext) {
		client := dial(c.servers[0].Address(), progressTimeout)
		c.clients[0] = client
		c.token(ctx, a)
		c.servers[0].BlackholeConnections()
		_, err := client.Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).To(MatchError(enginehttp.ErrUnresponsive))
		Expect(engine.NotSent(err)).To(BeFalse())

		a.epoch++
		got, err := client.Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.NextToken).To(Equal(1))
		finish(ctx)
	}, SpecTimeout(specTimeout))

	// The last stage runs a token, and its response is lost with the connection. If the
	// step were sent again, the layers would run twice for the token.
	It("reports the state of a step whose response was lost", func(ctx SpecContext) {
		c.token(ctx, a)
		results, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).NotTo(HaveOccurred())
		c.servers[1].LoseAnswers(1)
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(err).To(HaveOccurred())
		Expect(engine.NotSent(err)).To(BeFalse())

		a.epoch++
		got, err := c.clients[1].Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Tokens).To(Equal(standin.ExpectedTokens(a.prompt, 2)))
		a.tokens = got.Tokens
		finish(ctx)
	}, SpecTimeout(specTimeout))

	// The second stage dies while it runs a step. The step may have run; nothing proves
	// that it did not. A new attempt on another engine must continue after the last
	// token.
	It("fails the steps in flight when it dies, and a new attempt continues elsewhere", Label("failure:stage-dies-mid-stream"), func(ctx SpecContext) {
		c.token(ctx, a)
		c.token(ctx, a)
		results, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).NotTo(HaveOccurred())
		c.servers[1].Slow(specTimeout.Seconds() / standin.DefaultStepTime.Seconds())
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return c.servers[1].Running() }, specTimeout).Should(Equal(1))
			c.servers[1].Kill()
		}()
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(err).To(HaveOccurred())
		Expect(engine.NotSent(err)).To(BeFalse())
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(engine.NotSent(err)).To(BeTrue())

		spare := startChain(ctx, 3, 8)
		got, err := c.clients[0].Cancel(ctx, a.request, a.attempt)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Canceled).To(BeTrue())
		a.attempt, a.startToken = 2, len(a.tokens)
		for !spare.token(ctx, a) {
		}
		Expect(a.tokens).To(Equal(standin.ExpectedTokens(a.prompt, 0)))
		Expect(append(c.ledger.Violations(), spare.ledger.Violations()...)).To(BeEmpty())
	}, SpecTimeout(specTimeout))

	// A daemon was paused and another one took over its stream. A delayed step of the
	// old owner arrives after the new owner has read the stage's state. If it ran, the
	// new owner's step for the same token would run the layers a second time.
	It("fences the delayed step of a superseded owner", func(ctx SpecContext) {
		c.token(ctx, a)
		release, delayed := c.sendDelayedStep(ctx, c.step(a, 0, nil))
		a.epoch++
		got, err := c.clients[0].Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.NextToken).To(Equal(1))
		release()
		Expect((<-delayed).Status).To(Equal(engine.StepSuperseded))
		finish(ctx)
		_, err = c.clients[0].Resume(ctx, a.request, a.attempt, a.epoch-1)
		Expect(err).To(MatchError(engine.ErrStaleEpoch))
	}, SpecTimeout(specTimeout))

	// A caller cancels its request and gets the answer that it was not run, while the
	// first step is still in flight and arrives after the cancel.
	It("refuses the delayed step of a canceled attempt", func(ctx SpecContext) {
		release, delayed := c.sendDelayedStep(ctx, c.step(a, 0, nil))
		got, err := c.clients[0].Cancel(ctx, a.request, a.attempt)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Known).To(BeFalse())
		release()
		Expect((<-delayed).Status).To(Equal(engine.StepNotRun))
		Expect(c.ledger.HasStarted(a.request)).To(BeFalse())
	}, SpecTimeout(specTimeout))

	It("refuses a step for the boot ID before a restart", func(ctx SpecContext) {
		c.token(ctx, a)
		got, err := c.clients[0].Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		c.servers[0].Kill()
		Expect(c.servers[0].Restart()).To(Succeed())
		step := c.step(a, 0, nil)
		step.BootID = got.BootID
		// A new client is needed: the old one may still use its dead connection, on
		// which the step would correctly stay unanswered.
		results, err := dial(c.servers[0].Address(), specTimeout).Step(ctx, []engine.StepRequest{step})
		Expect(err).NotTo(HaveOccurred())
		Expect(results[0].Status).To(Equal(engine.StepNotRun))
	}, SpecTimeout(specTimeout))

	It("fails a step that is out of order and invalidates the cache", func(ctx SpecContext) {
		c.token(ctx, a)
		step := c.step(a, 0, nil)
		step.Token++
		for range 2 {
			results, err := c.clients[0].Step(ctx, []engine.StepRequest{step})
			Expect(err).NotTo(HaveOccurred())
			Expect(results[0].Status).To(Equal(engine.StepFailed))
			step.Token--
		}
	}, SpecTimeout(specTimeout))

	It("exports a cache to another engine with the same layers", func(ctx SpecContext) {
		c.token(ctx, a)
		spare, err := standin.StartEngine(c.servers[1].Config())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(spare.Close)
		kv, err := c.clients[1].ExportKV(ctx, a.request, a.attempt)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.clients[1].Cancel(ctx, a.request, a.attempt)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.clients[1].ExportKV(ctx, a.request, a.attempt)
		Expect(err).To(MatchError(engine.ErrCacheNotHeld))

		client := dial(spare.Address(), specTimeout)
		Expect(client.ImportKV(ctx, a.request, a.attempt, kv)).To(Succeed())
		Expect(client.ImportKV(ctx, a.request, a.attempt, kv)).To(MatchError(engine.ErrCacheNotHeld))
		c.servers[1], c.clients[1] = spare, client
		finish(ctx)
		Expect(c.ledger.Executions("r")).To(Equal(1))
	}, SpecTimeout(specTimeout))

	// A request's content crashes every engine that runs it. The caller gets no
	// response; the ledger counts the crashes by content.
	It("leaves a step unanswered when the request crashes it", func(ctx SpecContext) {
		c.servers[1].CrashOn("delivery")
		results, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(err).To(HaveOccurred())
		Expect(engine.NotSent(err)).To(BeFalse())
		Expect(c.servers[1].Alive()).To(BeFalse())
		Expect(c.ledger.Crashes(a.prompt)).To(Equal(1))
	}, SpecTimeout(specTimeout))
})

// sendDelayedStep sends a step to the first stage through a proxy that holds it back
// until release is called.
func (c *chain) sendDelayedStep(ctx SpecContext, step engine.StepRequest) (release func(), result <-chan engine.StepResult) {
	GinkgoHelper()
	proxy, err := standin.StartProxy(c.servers[0].Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	proxy.Hold(standin.ToServer, true)
	client := dial(proxy.Address(), specTimeout)
	out := make(chan engine.StepResult)
	go func() {
		defer GinkgoRecover()
		results, err := client.Step(ctx, []engine.StepRequest{step})
		Expect(err).NotTo(HaveOccurred())
		out <- results[0]
	}()
	Eventually(proxy.HeldConnections, specTimeout).Should(Equal(1))
	return func() { proxy.Hold(standin.ToServer, false) }, out
}

var _ = Describe("an engine's orders", func() {
	startEngine := func(checks bool, weights *standin.WeightStore) *enginehttp.Client {
		GinkgoHelper()
		e, err := standin.StartEngine(standin.EngineConfig{ModelLayers: 8, ChecksFencing: checks, Weights: weights})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := dial(e.Address(), specTimeout)
		return client
	}
	load := func(number state.FencingNumber, first, end int) engine.Order {
		return engine.Order{Kind: engine.OrderLoad, FencingNumber: number, Model: "m", Version: "1", Layers: state.LayerRange{First: first, End: end}}
	}

	It("are refused with an old fencing number only if the engine checks it", func(ctx SpecContext) {
		for _, checks := range []bool{true, false} {
			client := startEngine(checks, nil)
			_, err := client.Order(ctx, load(7, 0, 4))
			Expect(err).NotTo(HaveOccurred())
			got, err := client.Order(ctx, load(6, 4, 8))
			Expect(err).NotTo(HaveOccurred())
			if checks {
				Expect(got.Status).To(Equal(engine.OrderStale))
				Expect(got.State.Layers.End).To(Equal(4))
				Expect(got.State.FencingNumber).To(Equal(state.FencingNumber(7)))
			} else {
				Expect(got.Status).To(Equal(engine.OrderApplied))
				Expect(got.State.Layers.End).To(Equal(8))
				Expect(got.State.FencingNumber).To(BeZero())
			}
		}
	}, SpecTimeout(specTimeout))

	It("load only the missing layers, at the weight store's rate", func(ctx SpecContext) {
		client := startEngine(false, standin.NewWeightStore(20))
		start := time.Now()
		got, err := client.Order(ctx, load(1, 0, 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.State.Loading).To(BeTrue())
		results, err := client.Step(ctx, []engine.StepRequest{{Request: "r", Attempt: 1, Layers: got.State.Layers, Prompt: "p"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(results[0].Status).To(Equal(engine.StepNotRun))
		Eventually(func() bool {
			s, err := client.State(ctx)
			Expect(err).NotTo(HaveOccurred())
			return s.Loading
		}, specTimeout).Should(BeFalse())
		Expect(time.Since(start)).To(BeNumerically(">=", 200*time.Millisecond))
		got, err = client.Order(ctx, load(1, 0, 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.State.Loading).To(BeFalse())
	}, SpecTimeout(specTimeout))
})

var _ = Describe("an engine's reports", func() {
	// Daemons send a prompt to an engine that they expect to have its prefix cached.
	// Cache events arrive late or not at all, so that their estimate may be wrong.
	It("publish cache events late and with gaps", func(ctx SpecContext) {
		e, err := standin.StartEngine(standin.EngineConfig{
			Layers: state.LayerRange{End: 2}, CacheBlocks: 2, CacheGap: 3, CacheLag: reportLag,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := dial(e.Address(), specTimeout)

		prompt := string(make([]byte, 4*state.PrefixBlockSize))
		start := time.Now()
		_, err = client.Step(ctx, []engine.StepRequest{{Request: "r", Attempt: 1, Layers: state.LayerRange{End: 2}, Prompt: prompt}})
		Expect(err).NotTo(HaveOccurred())
		// 4 blocks are added and 2 evicted, which gives events 1 to 6; 3 and 6 are gaps.
		Eventually(func() []uint64 {
			events, err := client.CacheEvents(ctx, 1)
			Expect(err).NotTo(HaveOccurred())
			var seqs []uint64
			for _, ev := range events {
				seqs = append(seqs, ev.Seq)
			}
			return seqs
		}, specTimeout).Should(Equal([]uint64{2, 4, 5}))
		Expect(time.Since(start)).To(BeNumerically(">=", reportLag))
	}, SpecTimeout(specTimeout))

	It("show the load with a lag", func(ctx SpecContext) {
		e, err := standin.StartEngine(standin.EngineConfig{Layers: state.LayerRange{End: 2}, LoadLag: reportLag})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := dial(e.Address(), specTimeout)
		start := time.Now()
		e.Leave()
		Eventually(func() bool {
			load, err := client.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			return load.Leaving
		}, specTimeout).Should(BeTrue())
		Expect(time.Since(start)).To(BeNumerically(">=", reportLag))
	}, SpecTimeout(specTimeout))
})
