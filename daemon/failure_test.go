package daemon_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	slowStepTime        = 4 * time.Millisecond
	connectionCloseTime = 500 * time.Millisecond // for a daemon to see that an engine closed its connections
	metricsDelay        = time.Second            // twice the interval at which metrics are reported
)

var _ = Describe("A request", func() {
	// Guards against a broken answer when a stage dies. The KV cache of the
	// attempt is lost with the stage, so a new attempt has to start from the
	// tokens already delivered. The caller sees a pause, then the rest, each
	// token once and in order.
	It("completes the answer after a stage dies mid-stream", Label("failure:stage-dies-mid-stream"), func() {
		h := newHarness(2, slowStepTime)
		stream := h.submit(0, summary("a"))
		first, _ := h.read(stream, 5)
		h.Engines[chains.Engine(h.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		h.expectNoViolations()
	})

	// Guards against an answer that is lost because a death cuts it after the deadline of
	// its first token, which it has kept.
	It("completes an answer that a death cuts after its first token's deadline", Label("failure:begun-answer-past-its-deadline"), func() {
		h := newHarness(2, 20*time.Millisecond)
		s := summary("a")
		s.Deadline = 500 * time.Millisecond
		sent := time.Now()
		stream := h.submit(0, s)
		first, _ := h.read(stream, 1)
		Eventually(func() bool { return time.Since(sent) > 2*s.Deadline }).Should(BeTrue())
		h.Engines[chains.Engine(h.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		h.expectNoViolations()
	})

	// Guards against an answer that is lost because its own daemon has used up the
	// customer's retries, while the other daemons have not.
	It("completes the answers that a death cuts beyond its daemon's own retries", Label("failure:floor-used-up-at-one-daemon"), func() {
		h := newHarness(3, slowStepTime)
		var streams []caller.Stream
		first := make(map[state.RequestID][]caller.Token)
		for i := range 8 {
			s := h.submit(1, summary(fmt.Sprintf("k%d", i)))
			streams = append(streams, s)
		}
		for _, s := range streams {
			first[s.ID()], _ = h.read(s, 2)
		}
		h.Engines[chains.Engine(1, 2)].Kill()
		for i, s := range streams {
			rest, outcome := h.read(s, -1)
			expectComplete(append(first[s.ID()], rest...), outcome, fmt.Sprintf("k%d", i))
		}
		h.expectNoViolations()
	})

	// Guards against a live server that is taken for dead: every stage restarts
	// while this daemon has nothing running there, and its next first step still
	// names the former process.
	It("needs no retry on servers that restarted while idle", Label("failure:stale-boot-id"), func() {
		h := newHarness(2, time.Millisecond)
		h.warmUpReplicas(1)
		for _, e := range h.Engines {
			e.Kill()
			Expect(e.Restart()).To(Succeed())
		}
		// A first step on a connection to the former process may have run there.
		time.Sleep(connectionCloseTime)
		for i := range 2 * chains.Replicas {
			key := fmt.Sprintf("after-%d", i)
			tokens, outcome := h.read(h.submit(1, summary(key)), -1)
			expectComplete(tokens, outcome, key)
		}
		Consistently(func() []string { return h.metric(1, telemetry.RetriedTotal) }).
			WithTimeout(metricsDelay).WithPolling(100 * time.Millisecond).Should(BeEmpty())
		h.expectNoViolations()
	})

	// Guards against running a never-repeat request twice. A stage dies after
	// the request has started there, so the request fails and no attempt
	// follows.
	It("is not started again after a stage dies if it must not be repeated", Label("failure:stage-dies-mid-stream"), func() {
		h := newHarness(2, slowStepTime)
		stream := h.submit(0, note("a"))
		first, _ := h.read(stream, 5)
		h.Engines[chains.Engine(h.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := h.read(stream, -1)
		Expect(outcome).To(BeAssignableToTypeOf(state.Failed{}))
		Expect(len(first) + len(rest)).To(BeNumerically("<", noteTokens))
		Expect(h.runCount("a")).To(Equal(1))
		h.expectNoViolations()
	})

	// Guards against losing a stream with its owner. The owner dies; its record
	// at the registrars and the state of the stages allow another daemon to
	// continue after the last index that the caller has.
	It("continues at another daemon after its owner dies", Label("failure:daemon-dies-mid-stream"), func() {
		h := newHarness(3, slowStepTime)
		for _, submission := range []caller.Submission{summary("s"), note("n")} {
			stream := h.submit(1, submission)
			first, _ := h.read(stream, 5)
			h.Daemons[1].Kill()
			again, outcome := h.Daemons[0].Attach(h.ctx, stream.ID(), first[len(first)-1].Index)
			Expect(outcome).To(BeNil())
			rest, outcome := h.read(again, -1)
			expectComplete(append(first, rest...), outcome, string(submission.IdempotencyKey))
			Expect(h.runCount(string(submission.IdempotencyKey))).To(Equal(1), "the stages were resumed; nothing ran again")
			h.replaceDaemon(1, nil)
		}
		h.expectNoViolations()
	})

	// Guards against a second run when a caller loses its connection to a live
	// owner. The network drops the connection; the caller re-attaches at
	// another daemon.
	It("can be read through another daemon while its owner is alive", Label("failure:silent-connection"), func() {
		h := newHarness(3, slowStepTime)
		stream := h.submit(1, note("a"))
		first, _ := h.read(stream, 3)
		again, outcome := h.Daemons[2].Attach(h.ctx, stream.ID(), 2)
		Expect(outcome).To(BeNil())
		rest, outcome := h.read(again, -1)
		expectComplete(append(first, rest...), outcome, "a")
		Expect(h.runCount("a")).To(Equal(1))
	})

	// Guards against stalls on connections whose state the network has lost:
	// existing connections to an engine become unresponsive, new ones work. The
	// caller sees a pause of about the progress timeout, then the rest.
	It("survives unresponsive connections to a stage", Label("failure:silent-connection"), func() {
		h := newHarness(2, slowStepTime)
		stream := h.submit(0, note("a"))
		first, _ := h.read(stream, 5)
		h.Engines[chains.Engine(h.replicaOf(stream.ID()), 1)].BlackholeConnections()
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		Expect(h.runCount("a")).To(Equal(1), "the stage was queried; the step was not sent again")
		h.expectNoViolations()
	})

	// Guards against running a never-repeat request twice when a caller sends
	// it to a second daemon because its first connection seems dead. Both
	// streams deliver the same answer.
	It("runs once when it is repeated at two daemons", Label("failure:repeat-at-two-daemons"), func() {
		h := newHarness(3, time.Millisecond)
		for i := range 10 {
			key := fmt.Sprintf("k%d", i)
			a := h.submit(0, note(key))
			b := h.submit(1, note(key))
			tokens, outcome := h.read(a, -1)
			expectComplete(tokens, outcome, key)
			tokens, outcome = h.read(b, -1)
			expectComplete(tokens, outcome, key)
			Expect(h.runCount(key)).To(Equal(1))
		}
	})

	// Guards against a second run when the table service commits the claim but
	// its answer is lost. The daemon knows the outcome only after it has read
	// the row.
	It("is claimed once when the store's answers are lost", Label("failure:store-answer-lost"), func() {
		h := newHarness(2, time.Millisecond)
		h.Platform.LoseAnswers(2)
		_, outcome := h.read(h.submit(0, alert("a")), -1)
		Expect(outcome).To(Equal(state.Completed{Tokens: 1}))
		Expect(h.runCount("a")).To(Equal(1))
	})

	// Guards against a dependence of repeatable work on the store. While the
	// table service is down, summaries and running answers continue; a new note
	// waits and runs once when the store is available again, because only
	// never-repeat requests need a claim.
	It("needs the store only if it must not be repeated", Label("failure:store-down"), func() {
		h := newHarness(2, slowStepTime)
		running := h.submit(0, note("running"))
		h.read(running, 2)
		h.Platform.Down(true)
		tokens, outcome := h.read(h.submit(1, summary("s")), -1)
		expectComplete(tokens, outcome, "s")
		waiting := h.submit(1, note("waiting"))
		_, outcome = h.read(running, -1)
		Expect(outcome).To(Equal(state.Completed{Tokens: noteTokens}))
		Expect(h.runCount("waiting")).To(Equal(0))
		h.Platform.Down(false)
		tokens, outcome = h.read(waiting, -1)
		expectComplete(tokens, outcome, "waiting")
		Expect(h.runCount("waiting")).To(Equal(1))
	})
})
