package gateway

import (
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
})
