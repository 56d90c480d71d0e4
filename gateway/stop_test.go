package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A gateway late in a planned stop", func() {
	const grace = 100 * time.Second

	var h *harness
	BeforeEach(func() {
		h = newHarnessWithGrace(grace)
		h.populate()
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
