package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
)

// refusing reports whether a gateway takes a server for leaving.
func refusing(g Gomega, p *posts, i int, address string) bool {
	status, err := p.gateways[i].Status(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	for _, svc := range status.Services {
		for _, s := range svc.Servers {
			if s.Address == address {
				return s.Refusing
			}
		}
	}
	return false
}

var _ = Describe("A server that refuses requests", func() {
	var p *posts
	BeforeEach(func() {
		p = newPosts("g1", "g2")
		p.rig.servers.mu.Lock()
		defer p.rig.servers.mu.Unlock()
		p.rig.servers.refuse["e0"] = true
	})
	// again sends a request as soon as e0 is tried again after its last refusal.
	again := func(g Gomega) {
		g.Expect(p.outcomeAt(0, "/stream/x")).To(Equal(gateway.Answered))
	}

	// Callers are refused, although most servers have room. Order: the store is away,
	// some servers leave, and no list says so. Cause: each of many daemons learned of
	// each such server by refusals of its own, until the retry budget was used up.
	It("although it has room is avoided by all daemons", Label("failure:leaving-unlisted"), func() {
		Eventually(func(g Gomega) {
			again(g)
			g.Expect(refusing(g, p, 1, "e0")).To(BeTrue())
		}).WithTimeout(patience).Should(Succeed())
		before := len(p.rig.servers.sent())
		Expect(p.outcomeAt(1, "/stream/x")).To(Equal(gateway.Answered))
		Expect(p.rig.servers.sent()).To(HaveLen(before+1), "no attempt is lost")
	})

	It("for want of room is not taken for one that leaves", func() {
		p.rig.servers.mu.Lock()
		p.rig.servers.used = 90
		p.rig.servers.mu.Unlock()
		Consistently(func(g Gomega) {
			again(g)
			g.Expect(refusing(g, p, 0, "e0")).To(BeFalse())
		}).WithTimeout(2 * time.Second).Should(Succeed())
	})
})
