package gateway_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// isRefusing reports whether a gateway considers a server to be leaving.
func isRefusing(g Gomega, cl *cluster, i int, address string) bool {
	status, err := cl.gateways[i].Status(context.Background())
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
	var cl *cluster
	BeforeEach(func() {
		cl = newCluster("g1", "g2")
		cl.harness.servers.mu.Lock()
		defer cl.harness.servers.mu.Unlock()
		cl.harness.servers.refusing["e0"] = true
	})
	// retry sends a request, which reaches e0 as soon as e0 is tried again after its last
	// refusal.
	retry := func(g Gomega) {
		g.Expect(cl.outcomeAt(0, "/stream/x")).To(Equal(gateway.Answered))
	}

	// The store is unavailable, and some servers leave although they are still listed.
	// Without a notice, each daemon discovers each of them by refusals of its own until the
	// retry budget is used up, and callers are refused although most servers have capacity.
	It("although it has capacity is avoided by all daemons", Label("failure:leaving-unlisted"), func() {
		Eventually(func(g Gomega) {
			retry(g)
			g.Expect(isRefusing(g, cl, 1, "e0")).To(BeTrue())
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
		before := len(cl.harness.servers.sent())
		Expect(cl.outcomeAt(1, "/stream/x")).To(Equal(gateway.Answered))
		Expect(cl.harness.servers.sent()).To(HaveLen(before+1), "no attempt is lost")
	})

	It("for lack of capacity does not count as leaving", func() {
		cl.harness.servers.mu.Lock()
		cl.harness.servers.used = 90
		cl.harness.servers.mu.Unlock()
		Consistently(func(g Gomega) {
			retry(g)
			g.Expect(isRefusing(g, cl, 0, "e0")).To(BeFalse())
		}).WithTimeout(2 * time.Second).Should(Succeed())
	})
})

var _ = Describe("A gateway whose first engine refuses requests and blames others", func() {
	// Guards against sound engines that are avoided in place of the one that blames them.
	It("serves its callers along the other engines", Label("failure:blamed-for-another"), func() {
		h := newHarness()
		h.populate()
		h.servers.mu.Lock()
		h.servers.blaming["e0"] = true
		h.servers.mu.Unlock()
		serve := func(count int) (answered, first int) {
			before := len(h.servers.sent())
			for i := range count {
				req := request("/stream/")
				req.ID = state.RequestID(fmt.Sprintf("s%d", i))
				if h.gateway.Serve(context.Background(), req, &fakeReply{}).Outcome == gateway.Answered {
					answered++
				}
			}
			for _, c := range h.servers.sent()[before:] {
				if c.Address == "e0" {
					first++
				}
			}
			return answered, first
		}
		for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			answered, _ := serve(1)
			Expect(answered).To(Equal(1))
		}
		answered, first := serve(100)
		Expect(answered).To(Equal(100))
		Expect(first).To(BeNumerically("<", 10))
	})
})
