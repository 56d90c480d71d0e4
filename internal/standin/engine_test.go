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
	patience = time.Second            // progress timeout where a test waits for it
	lag      = 150 * time.Millisecond // of reports
)

// dial returns a client that takes a connection for silent after timeout.
func dial(address string, timeout time.Duration) *enginehttp.Client {
	client := enginehttp.New(address, enginehttp.Options{ProgressTimeout: timeout})
	DeferCleanup(client.Close)
	return client
}

func dialPlain(address string) *enginehttp.PlainClient {
	client := enginehttp.NewPlain(address, enginehttp.Options{ProgressTimeout: generous})
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("an engine's answers", func() {
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

	// A renewal explanation stops halfway and never goes on. The first stage
	// ran the step, but a box between the two ends forgot the connection, so
	// the answer never came; new connections work. The step must not be sent
	// again on the same cache: the stage is asked, and its output taken.
	It("are asked for after a connection went silent", Label("failure:silent-connection"), func(ctx SpecContext) {
		client := dial(c.servers[0].Address(), patience)
		c.clients[0] = client
		c.token(ctx, a)
		c.servers[0].Slow(2 * patience.Seconds() / standin.DefaultStepTime.Seconds())
		silenced := make(chan time.Time)
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return c.servers[0].Running() }, generous).Should(Equal(1))
			c.servers[0].BlackholeConnections()
			silenced <- time.Now()
		}()
		_, err := client.Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).To(MatchError(enginehttp.ErrUnresponsive))
		Expect(engine.NotSent(err)).To(BeFalse())
		c.servers[0].Slow(1)

		a.epoch++
		var held engine.AttemptState
		Eventually(func() (err error) { // the stage answers when the step has ended
			held, err = client.Resume(ctx, a.request, a.attempt, a.epoch)
			return err
		}, generous).Should(Succeed())
		AddReportEntry("recovered after", time.Since(<-silenced))
		Expect(held.NextToken).To(Equal(2))
		results, err := c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, held.LastOutput)})
		Expect(err).NotTo(HaveOccurred())
		a.tokens = append(a.tokens, results[0].Token)
		finish(ctx)
		Expect(c.ledger.Executions("r")).To(Equal(1))
	}, SpecTimeout(generous))

	// A step goes out on a pooled connection that was forgotten while it was
	// idle. Nothing says so: the bytes are taken and nothing comes back. The
	// step did not run, but only the stage can say it.
	It("tell that a step swallowed by an idle connection did not run", Label("failure:silent-connection"), func(ctx SpecContext) {
		client := dial(c.servers[0].Address(), patience)
		c.clients[0] = client
		c.token(ctx, a)
		c.servers[0].BlackholeConnections()
		_, err := client.Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).To(MatchError(enginehttp.ErrUnresponsive))
		Expect(engine.NotSent(err)).To(BeFalse())

		a.epoch++
		held, err := client.Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.NextToken).To(Equal(1))
		finish(ctx)
	}, SpecTimeout(generous))

	// The last stage runs a token and its answer is lost with the connection.
	// Sent again, the layers would run twice for the token.
	It("are asked for after one was lost", func(ctx SpecContext) {
		c.token(ctx, a)
		results, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).NotTo(HaveOccurred())
		c.servers[1].LoseAnswers(1)
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(err).To(HaveOccurred())
		Expect(engine.NotSent(err)).To(BeFalse())

		a.epoch++
		held, err := c.clients[1].Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Tokens).To(Equal(standin.ExpectedTokens(a.prompt, 2)))
		a.tokens = held.Tokens
		finish(ctx)
	}, SpecTimeout(generous))

	// A draft stops between two words: the machine of the second stage died
	// while it ran a step. The step may have run; nothing proves that it did
	// not. A new attempt on another engine goes on after the last token.
	It("end when a stage dies, and a new attempt goes on elsewhere", Label("failure:stage-dies-mid-stream"), func(ctx SpecContext) {
		c.token(ctx, a)
		c.token(ctx, a)
		results, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).NotTo(HaveOccurred())
		c.servers[1].Slow(generous.Seconds() / standin.DefaultStepTime.Seconds())
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return c.servers[1].Running() }, generous).Should(Equal(1))
			c.servers[1].Kill()
		}()
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(err).To(HaveOccurred())
		Expect(engine.NotSent(err)).To(BeFalse())
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(engine.NotSent(err)).To(BeTrue())

		spare := startChain(ctx, 3, 8)
		held, err := c.clients[0].Cancel(ctx, a.request, a.attempt)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Canceled).To(BeTrue())
		a.attempt, a.begin = 2, len(a.tokens)
		for !spare.token(ctx, a) {
		}
		Expect(a.tokens).To(Equal(standin.ExpectedTokens(a.prompt, 0)))
		Expect(append(c.ledger.Violations(), spare.ledger.Violations()...)).To(BeEmpty())
	}, SpecTimeout(generous))

	// A daemon was paused and another took its stream over. Its step is still
	// on a slow link and comes after the new owner was told where the stage
	// stands. If it ran, the new owner's step for the same token would run the
	// layers a second time.
	It("bar the late step of an owner that was overtaken", func(ctx SpecContext) {
		c.token(ctx, a)
		release, late := c.lateStep(ctx, c.step(a, 0, nil))
		a.epoch++
		held, err := c.clients[0].Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.NextToken).To(Equal(1))
		release()
		Expect((<-late).Status).To(Equal(engine.StepSuperseded))
		finish(ctx)
		_, err = c.clients[0].Resume(ctx, a.request, a.attempt, a.epoch-1)
		Expect(err).To(MatchError(engine.ErrStaleEpoch))
	}, SpecTimeout(generous))

	// A caller gives its request up and is told that it was not run; the first
	// step was still on its way and comes after the cancel.
	It("refuse the late step of a canceled attempt", func(ctx SpecContext) {
		release, late := c.lateStep(ctx, c.step(a, 0, nil))
		held, err := c.clients[0].Cancel(ctx, a.request, a.attempt)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Known).To(BeFalse())
		release()
		Expect((<-late).Status).To(Equal(engine.StepNotRun))
		Expect(c.ledger.HasStarted(a.request)).To(BeFalse())
	}, SpecTimeout(generous))

	It("refuse a step that is meant for the process before a restart", func(ctx SpecContext) {
		c.token(ctx, a)
		held, err := c.clients[0].Resume(ctx, a.request, a.attempt, a.epoch)
		Expect(err).NotTo(HaveOccurred())
		c.servers[0].Kill()
		Expect(c.servers[0].Restart()).To(Succeed())
		step := c.step(a, 0, nil)
		step.BootID = held.BootID
		// A new client: the old one's connection may not know yet that it is
		// dead, and a step on it is rightly unanswered.
		results, err := dial(c.servers[0].Address(), generous).Step(ctx, []engine.StepRequest{step})
		Expect(err).NotTo(HaveOccurred())
		Expect(results[0].Status).To(Equal(engine.StepNotRun))
	}, SpecTimeout(generous))

	It("fail a step that is out of order, and the cache with it", func(ctx SpecContext) {
		c.token(ctx, a)
		step := c.step(a, 0, nil)
		step.Token++
		for range 2 {
			results, err := c.clients[0].Step(ctx, []engine.StepRequest{step})
			Expect(err).NotTo(HaveOccurred())
			Expect(results[0].Status).To(Equal(engine.StepFailed))
			step.Token--
		}
	}, SpecTimeout(generous))

	It("move a cache to another engine of the same layers", func(ctx SpecContext) {
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

		client := dial(spare.Address(), generous)
		Expect(client.ImportKV(ctx, a.request, a.attempt, kv)).To(Succeed())
		Expect(client.ImportKV(ctx, a.request, a.attempt, kv)).To(MatchError(engine.ErrCacheNotHeld))
		c.servers[1], c.clients[1] = spare, client
		finish(ctx)
		Expect(c.ledger.Executions("r")).To(Equal(1))
	}, SpecTimeout(generous))

	// An alert's text makes every engine that runs it die. Its caller sees no
	// answer; the ledger counts the deaths by content.
	It("end with the engine that a request crashes", func(ctx SpecContext) {
		c.servers[1].CrashOn("delivery")
		results, err := c.clients[0].Step(ctx, []engine.StepRequest{c.step(a, 0, nil)})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.clients[1].Step(ctx, []engine.StepRequest{c.step(a, 1, results[0].Output)})
		Expect(err).To(HaveOccurred())
		Expect(engine.NotSent(err)).To(BeFalse())
		Expect(c.servers[1].Alive()).To(BeFalse())
		Expect(c.ledger.Crashes(a.prompt)).To(Equal(1))
	}, SpecTimeout(generous))
})

// lateStep sends a step to the first stage over a link that holds it back until
// release is called.
func (c *chain) lateStep(ctx SpecContext, step engine.StepRequest) (release func(), result <-chan engine.StepResult) {
	GinkgoHelper()
	proxy, err := standin.StartProxy(c.servers[0].Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	proxy.Hold(standin.ToServer, true)
	client := dial(proxy.Address(), generous)
	out := make(chan engine.StepResult)
	go func() {
		defer GinkgoRecover()
		results, err := client.Step(ctx, []engine.StepRequest{step})
		Expect(err).NotTo(HaveOccurred())
		out <- results[0]
	}()
	Eventually(proxy.HeldConnections, generous).Should(Equal(1))
	return func() { proxy.Hold(standin.ToServer, false) }, out
}

var _ = Describe("an engine's orders", func() {
	start := func(checks bool, weights *standin.WeightStore) *enginehttp.Client {
		GinkgoHelper()
		e, err := standin.StartEngine(standin.EngineConfig{ModelLayers: 8, ChecksFencing: checks, Weights: weights})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := dial(e.Address(), generous)
		return client
	}
	load := func(number state.FencingNumber, first, end int) engine.Order {
		return engine.Order{Kind: engine.OrderLoad, FencingNumber: number, Model: "m", Version: "1", Layers: state.LayerRange{First: first, End: end}}
	}

	It("are refused with an old fencing number only where it is checked", func(ctx SpecContext) {
		for _, checks := range []bool{true, false} {
			client := start(checks, nil)
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
	}, SpecTimeout(generous))

	It("load at the weight store's rate, and only the layers that are missing", func(ctx SpecContext) {
		client := start(false, standin.NewWeightStore(20))
		begin := time.Now()
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
		}, generous).Should(BeFalse())
		Expect(time.Since(begin)).To(BeNumerically(">=", 200*time.Millisecond))
		got, err = client.Order(ctx, load(1, 0, 4))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.State.Loading).To(BeFalse())
	}, SpecTimeout(generous))
})

var _ = Describe("an engine's reports", func() {
	// A daemon sends a prompt where it believes its prefix to be cached. The
	// engine's events come late, and some never: the belief may be wrong.
	It("publish cache events late and with gaps", func(ctx SpecContext) {
		e, err := standin.StartEngine(standin.EngineConfig{
			Layers: state.LayerRange{End: 2}, CacheBlocks: 2, CacheGap: 3, CacheLag: lag,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := dial(e.Address(), generous)

		prompt := string(make([]byte, 4*state.PrefixBlockSize))
		begin := time.Now()
		_, err = client.Step(ctx, []engine.StepRequest{{Request: "r", Attempt: 1, Layers: state.LayerRange{End: 2}, Prompt: prompt}})
		Expect(err).NotTo(HaveOccurred())
		// 4 blocks enter, 2 of them push one out: numbers 1 to 6 without 3 and 6.
		Eventually(func() []uint64 {
			events, err := client.CacheEvents(ctx, 1)
			Expect(err).NotTo(HaveOccurred())
			var seqs []uint64
			for _, ev := range events {
				seqs = append(seqs, ev.Seq)
			}
			return seqs
		}, generous).Should(Equal([]uint64{2, 4, 5}))
		Expect(time.Since(begin)).To(BeNumerically(">=", lag))
	}, SpecTimeout(generous))

	It("show the load as it was a lag ago", func(ctx SpecContext) {
		e, err := standin.StartEngine(standin.EngineConfig{Layers: state.LayerRange{End: 2}, LoadLag: lag})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		client := dial(e.Address(), generous)
		begin := time.Now()
		e.Leave()
		Eventually(func() bool {
			load, err := client.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			return load.Leaving
		}, generous).Should(BeTrue())
		Expect(time.Since(begin)).To(BeNumerically(">=", lag))
	}, SpecTimeout(generous))
})
