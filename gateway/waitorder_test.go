package gateway_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var _ = Describe("A gateway whose requests wait in the order of a queue", func() {
	var (
		h *harness
		g *gateway.Gateway
	)

	BeforeEach(func() {
		h = newHarness()
		h.populate()
		h.contention = gateway.Contention{Queue: true, Urgency: true}
		g = h.start("g2")
		Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		// The urgent route is listed as version 2, beside the routes of the same service.
		c := config(2)
		c.Hosts["h"][1].Rank = 3
		c.Hosts["h"] = append(c.Hosts["h"], fleet.Route{
			Name: "urgent", Prefix: "/urgent/", Repeat: fleet.Idempotent, MaxAttempts: 2, Target: time.Second, Split: c.Hosts["h"][1].Split,
		})
		h.configs.set("config", c)
		Eventually(func() gateway.Outcome {
			return g.Serve(context.Background(), request("/urgent/x"), &fakeReply{}).Outcome
		}).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Answered))
	})

	// Servers name limits, and callers of both routes send more than these allow. The permits go to
	// urgent requests; the limits are used fully, and the rest is refused with a time to return.
	It("gives permits to urgent requests first", Label("failure:polled-in-no-order"), func() {
		const perSecond, duration = 10, 6 * time.Second
		h.servers.setLimit("p0", perSecond)
		h.servers.setLimit("p1", perSecond)
		sendLoad([]*gateway.Gateway{g}, "/again/x", 40*time.Millisecond, limitSettleTime)
		answered := make(map[string]int)
		var (
			mu sync.Mutex
			wg sync.WaitGroup
		)
		for _, path := range []string{"/again/x", "/urgent/x"} {
			wg.Go(func() {
				for _, res := range sendLoad([]*gateway.Gateway{g}, path, 60*time.Millisecond, duration) {
					if res.Outcome == gateway.Answered {
						mu.Lock()
						answered[path]++
						mu.Unlock()
						continue
					}
					Expect(res.Outcome).To(Equal(gateway.Refused))
					Expect(res.RetryAfter).To(BeNumerically(">=", time.Millisecond))
				}
			})
		}
		wg.Wait()
		Expect(answered["/again/x"] + answered["/urgent/x"]).To(BeNumerically(">=", int(0.7*2*perSecond*duration.Seconds())))
		Expect(answered["/urgent/x"]).To(BeNumerically(">", 2*answered["/again/x"]), "%v", answered)
	})

	It("tells callers that found no server different times to return", Label("failure:all-return-at-once"), func() {
		h.serverFeed.remove("p0")
		h.serverFeed.remove("p1")
		Eventually(func() gateway.Outcome {
			return g.Serve(context.Background(), request("/urgent/x"), &fakeReply{}).Outcome
		}).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Refused))
		times := make(map[time.Duration]bool)
		for _, target := range []string{"/urgent/1", "/urgent/2", "/urgent/3", "/urgent/4"} {
			req := request(target)
			req.CallerTimeout = 500 * time.Millisecond
			res := g.Serve(context.Background(), req, &fakeReply{})
			Expect(res.Outcome).To(Equal(gateway.Refused))
			Expect(res.RetryAfter).To(And(BeNumerically(">=", 400*time.Millisecond), BeNumerically("<=", time.Second)))
			times[res.RetryAfter] = true
		}
		Expect(len(times)).To(BeNumerically(">", 1))
	})
})
