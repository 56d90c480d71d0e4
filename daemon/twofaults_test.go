package daemon_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("Two simultaneous faults", func() {
	// Guards against a request that waits for a better replica. The chain that
	// runs it loses a stage, and the other replica's link is degraded: a slow
	// replica is avoided, but used if it is the only one.
	It("finishes over a degraded link when a stage dies", Label("failure:stage-dies-mid-stream", "failure:link-degrades"), func() {
		h := newHarness(2, time.Millisecond)
		h.Engines[chains.Engine(1, 1)].Slow(8)
		stream := h.submit(0, summary("a"))
		first, _ := h.read(stream, 3)
		h.Engines[chains.Engine(h.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		h.expectNoViolations()
	})

	// Guards against incomplete answers when a failure domain with a daemon and
	// a replica is lost while a replica joins in another one. Callers of the
	// lost daemon re-attach elsewhere.
	It("survives the loss of a failure domain while an instance joins",
		Label("failure:daemon-dies-mid-stream", "failure:instance-joins-under-load"), func() {
			h := newHarness(3, slowStepTime)
			var streams []caller.Stream
			for i := range 6 {
				streams = append(streams, h.submit(1, summary(fmt.Sprintf("k%d", i))))
			}
			first := make([][]caller.Token, len(streams))
			for i, s := range streams {
				first[i], _ = h.read(s, 3)
			}
			h.Daemons[1].Kill()
			h.Engines[chains.Engine(2, 1)].Kill()
			h.Engines[chains.Engine(2, 2)].Kill()
			h.addReplica(3)
			for i, s := range streams {
				again, outcome := h.Daemons[i%2*2].Attach(h.ctx, s.ID(), 2)
				Expect(outcome).To(BeNil())
				rest, outcome := h.read(again, -1)
				expectComplete(append(first[i], rest...), outcome, fmt.Sprintf("k%d", i))
			}
			h.expectNoViolations()
		})

	// Guards against a drain that never ends or a note that runs twice. While a
	// daemon drains, its connections to the engines become unresponsive; its
	// open streams query their stages on new connections.
	It("drains completely despite unresponsive connections", Label("failure:planned-stop", "failure:silent-connection"), func() {
		h := newHarness(3, slowStepTime)
		stream := h.submit(1, note("a"))
		first, _ := h.read(stream, 3)
		h.Daemons[1].Drain(h.ctx)
		for _, e := range h.Engines {
			e.BlackholeConnections()
		}
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		Expect(h.runCount("a")).To(Equal(1))
		Eventually(h.Daemons[1].Done()).WithTimeout(testTimeout).Should(BeClosed())
		h.expectNoViolations()
	})

	// Guards against a second run of a note whose owner dies while the table
	// service is down. A takeover of a never-repeat request needs its claim
	// row, so it waits for the store and then continues the attempt.
	It("takes over a note once the store is available again", Label("failure:daemon-dies-mid-stream", "failure:store-down"), func() {
		h := newHarness(3, slowStepTime)
		stream := h.submit(1, note("a"))
		first, _ := h.read(stream, 3)
		h.Platform.Down(true)
		h.Daemons[1].Kill()
		again, outcome := h.Daemons[0].Attach(h.ctx, stream.ID(), 2)
		Expect(outcome).To(BeNil())
		time.AfterFunc(700*time.Millisecond, func() { h.Platform.Down(false) })
		rest, outcome := h.read(again, -1)
		expectComplete(append(first, rest...), outcome, "a")
		Expect(h.runCount("a")).To(Equal(1))
		h.expectNoViolations()
	})

	// Guards against a lost answer when a repeat of a note has joined an owner
	// that then dies.
	It("answers the repeat of a note when the first daemon dies",
		Label("failure:repeat-at-two-daemons", "failure:daemon-dies-mid-stream"), func() {
			h := newHarness(3, slowStepTime)
			stream := h.submit(1, note("a"))
			h.read(stream, 3)
			repeat := h.submit(2, note("a"))
			h.read(repeat, 2)
			h.Daemons[1].Kill()
			rest, outcome := h.read(repeat, -1)
			Expect(outcome).To(Equal(state.Completed{Tokens: noteTokens}))
			Expect(rest).To(HaveLen(noteTokens - 2))
			Expect(h.runCount("a")).To(Equal(1))
			h.expectNoViolations()
		})
})
