package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
)

var _ = Describe("A gateway late in a planned stop", func() {
	const grace = 100 * time.Second

	var h *harness
	BeforeEach(func() {
		h = newHarnessWithGrace(grace)
		h.populate()
	})
	// stopEndsIn begins a stop as if it ended in a given time.
	stopEndsIn := func(left time.Duration) {
		h.gateway.Drain()
		h.gateway.AdvanceStop(time.Until(h.gateway.DrainEnd()) - left)
	}

	// Guards against requests that are judged by when their header came, and whose bodies are read
	// until late in a stop.
	It("refuses a request unrun whose body was read for long", Label("failure:lost-in-stops"), func() {
		stopEndsIn(5 * time.Second)
		for _, path := range []string{"/once/x", "/stream/x"} {
			req := request(path)
			req.Arrived, req.CallerTimeout = req.Arrived.Add(-80*time.Second), 5*time.Minute
			Expect(h.gateway.Serve(context.Background(), req, &fakeReply{})).To(And(HaveField("Outcome", gateway.Refused), HaveField("Reason", "draining")))
		}
		Expect(h.servers.sent()).To(BeEmpty())
	})

	// Guards against a process that is killed while it still serves requests: its stop goes on for
	// longer since its settings have changed.
	It("keeps the grace period that was in force when it began", Label("failure:lost-in-stops"), func() {
		h.gateway.Drain()
		end := h.gateway.DrainEnd()
		for _, changed := range []time.Duration{10 * grace, grace / 10} {
			set := h.gateway.CurrentSettings()
			set.DrainTimeout = changed
			Expect(h.gateway.Reload(set)).To(Succeed())
			Expect(h.gateway.DrainEnd()).To(BeTemporally("~", end, time.Second))
		}
	})
})
