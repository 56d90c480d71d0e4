package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// startGateways starts gateways with the given settings in place of the harness's own, and waits until
// they know each other.
func (h *harness) startGateways(n int, c gateway.Contention) []*gateway.Gateway {
	h.gateway.Close()
	h.contention = c
	var gateways []*gateway.Gateway
	for i := range n {
		gateways = append(gateways, h.start(state.DaemonID(fmt.Sprintf("s%d", i))))
	}
	for _, g := range gateways {
		Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Eventually(func() int { return liveMembers(g) }).WithTimeout(eventuallyTimeout).Should(Equal(n))
	}
	return gateways
}

func liveMembers(g *gateway.Gateway) int {
	s, err := g.Status(context.Background())
	if err != nil {
		return 0
	}
	n := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			n++
		}
	}
	return n
}

// every calls fn at an interval until the spec ends.
func every(interval time.Duration, fn func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			fn()
			time.Sleep(interval)
		}
	})
	DeferCleanup(func() {
		cancel()
		wg.Wait()
	})
}

var _ = Describe("Customers of a service that is contended", func() {
	const llm state.ServiceID = "llm"
	var (
		h   *harness
		log *logBuffer
	)

	BeforeEach(func() {
		log = &logBuffer{}
		h = newHarnessWithLog(20*time.Second, telemetry.NewLog(telemetry.LogConfig{Output: log}))
		h.populate()
		c := config(2)
		c.Keys = map[string]fleet.Customer{"k1": {ID: "large"}, "k2": {ID: "small"}, "k3": {ID: "other"}}
		h.configs.set("config", c)
	})

	// load admits requests of a large customer at the first gateway and of two small ones at others.
	load := func(gateways []*gateway.Gateway) {
		every(20*time.Millisecond, func() {
			gateways[0].ChargeShare(llm, "large", 1000)
			gateways[0].MarkContended(llm)
		})
		every(100*time.Millisecond, func() {
			gateways[1].ChargeShare(llm, "small", 100)
			gateways[2].ChargeShare(llm, "other", 100)
		})
	}

	// Guards against shares that each gateway keeps for itself: the large customer's callers use one
	// gateway and the small ones' use others, so that none sees both.
	It("learn how they stand at all gateways", Label("failure:shares-kept-by-each"), func() {
		gateways := h.startGateways(4, gateway.Contention{Shares: true})
		load(gateways)
		for _, g := range gateways {
			Eventually(func() float64 { return g.ShareExcess(llm, "large") }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
			Expect(g.ShareExcess(llm, "small")).To(BeZero())
		}
		Eventually(func(m Gomega) {
			s, err := gateways[3].Status(context.Background())
			m.Expect(err).NotTo(HaveOccurred())
			st := s.Services[1].Shares
			m.Expect(st).NotTo(BeNil())
			m.Expect(st.Daemons).To(Equal(4))
			m.Expect(st.Contended).To(BeTrue())
			m.Expect(st.Customers).To(HaveLen(3))
			m.Expect(st.Customers[0].Customer).To(BeEquivalentTo("large"))
			m.Expect(st.Customers[0].Excess).To(BeNumerically(">", 0))
			m.Expect(st.Customers[2].Excess).To(BeZero())
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
		every(20*time.Millisecond, func() { gateways[1].RejectShare(llm, "small", 5000) })
		Eventually(func() float64 { return gateways[0].ShareExcess(llm, "large") }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0.5))
		Eventually(func() []string { return log.lines("customer_over_share") }).WithTimeout(eventuallyTimeout).Should(ContainElement(ContainSubstring("large")))
	})

	It("are told of by the other gateways once one has ended", func() {
		gateways := h.startGateways(4, gateway.Contention{Shares: true})
		load(gateways)
		gateways[3].Close()
		for _, g := range gateways[:3] {
			Eventually(func(m Gomega) {
				s, err := g.Status(context.Background())
				m.Expect(err).NotTo(HaveOccurred())
				m.Expect(s.Services[1].Shares).NotTo(BeNil())
				m.Expect(s.Services[1].Shares.Daemons).To(Equal(3))
				m.Expect(g.ShareExcess(llm, "large")).To(BeNumerically(">", 0))
			}).WithTimeout(eventuallyTimeout).Should(Succeed())
		}
	})

	It("have no shares, and nothing is counted or sent, without the setting", func() {
		gateways := h.startGateways(3, gateway.Contention{Urgency: true})
		load(gateways)
		Consistently(func(m Gomega) {
			for _, g := range gateways {
				m.Expect(g.ShareExcess(llm, "large")).To(BeZero())
				m.Expect(g.SharesRunning()).To(BeFalse())
				s, err := g.Status(context.Background())
				m.Expect(err).NotTo(HaveOccurred())
				m.Expect(s.Services[1].Shares).To(BeNil())
			}
		}).WithTimeout(2 * time.Second).WithPolling(100 * time.Millisecond).Should(Succeed())
		Expect(log.lines("customer_over_share")).To(BeEmpty())
	})
})
