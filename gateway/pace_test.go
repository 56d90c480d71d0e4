package gateway_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

var _ = Describe("An engine that reports to be slow", func() {
	const slowEngine = "e0"
	var h *harness

	// usesOf sends streams to a gateway and returns how many run on the slow engine.
	usesOf := func(gw *gateway.Gateway, streams int) int {
		before := len(h.servers.sent())
		for range streams {
			Expect(gw.Serve(context.Background(), request("/stream/x"), &fakeReply{}).Outcome).To(Equal(gateway.Answered))
		}
		uses := 0
		for _, c := range h.servers.sent()[before:] {
			for _, hop := range c.Path {
				if hop.Address == slowEngine {
					uses++
				}
			}
		}
		return uses
	}
	// stall makes one stream of a gateway pause until its engines are probed.
	stall := func(gw *gateway.Gateway) {
		probed := h.servers.reportCount(slowEngine)
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			writeOpenEvents(out, 1)
			Eventually(func() int { return h.servers.reportCount(slowEngine) }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", probed))
			writeEvents(out, "1", 5)
		}
		Expect(gw.Serve(context.Background(), request("/stream/x"), &fakeReply{}).Outcome).To(Equal(gateway.Answered))
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) { writeEvents(out, c.LastEventID, 5) }
	}

	BeforeEach(func() {
		h = newHarness()
		h.populate()
		h.servers.setPace(slowEngine, 12)
	})

	// Guards against streams that pause on engines that are known to be slow.
	It("gets no streams of any daemon while others are free", Label("failure:slow-engine-used"), func() {
		h.contention = gateway.Contention{ReportedPace: true}
		first, other := h.start("first"), h.start("other")
		for _, gw := range []*gateway.Gateway{first, other} {
			Eventually(gw.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		}
		stall(first)
		Expect(usesOf(first, 5)).To(BeZero())
		Eventually(func() int { return usesOf(other, 3) }).WithTimeout(2 * time.Second).Should(BeZero())
	})

	It("gets streams as before if the settings turn that off", func() {
		gw := h.start("off")
		Eventually(gw.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		stall(gw)
		Expect(usesOf(gw, 5)).To(BeNumerically(">", 0))
	})
})
