package gateway

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

var _ = Describe("Connections to other daemons", func() {
	// Guards against hundreds of daemons that keep the connections of their start, and spend
	// most of their messages on heartbeats of them.
	It("get no heartbeats while they are unused", Label("failure:idle-connections-probed"), func() {
		cfg := newTestControl(GinkgoTB()).g.peerConfig()
		Expect(cfg.IdleProbeAfter).To(BeNumerically(">=", cfg.IdleTimeout))
		Expect(cfg.IdleTimeout).To(BeNumerically("<", peer.DefaultInboundIdleTimeout), "else the other side closes it as lost")
	})

	// Guards against a dead daemon that all others try to reach: each failed attempt would
	// start another probe of it, and so would those of the daemons that help with a probe.
	It("start a probe when they are lost, not when they can't be made", Label("failure:failed-dials-probe"), func() {
		c := newTestControl(GinkgoTB())
		c.g.connectionLost("127.0.1.1:1", fmt.Errorf("dial: %w", peer.ErrUnreachable))
		Expect(c.inbox).To(BeEmpty())
		go c.g.connectionLost("127.0.1.1:1", peer.ErrUnresponsive)
		Eventually(c.inbox).Should(HaveLen(1))
	})
})
