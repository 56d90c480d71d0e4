package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// answerSome serves as many requests as a gateway needs to know how long answers take.
func (h *harness) answerSome(path string) {
	for range 30 {
		_, res := h.serve(path)
		Expect(res.Outcome).To(Equal(gateway.Answered))
	}
}

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

	// Guards against requests that are refused late in a stop although servers answer them in time.
	It("accepts a request that servers are likely to answer in time", Label("failure:refused-in-stops"), func() {
		h.answerSome("/once/x")
		stopEndsIn(8 * time.Second)
		Expect(h.serveAt("/once/x", 0).Outcome).To(Equal(gateway.Answered), "its deadline is after the end")
	})

	// Guards against requests that are cut off at the end of a stop while their servers are at work.
	It("refuses a request unrun if servers take too long for it", Label("failure:lost-in-stops"), func() {
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			time.Sleep(200 * time.Millisecond)
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		h.answerSome("/once/x")
		stopEndsIn(350 * time.Millisecond)
		Expect(h.serveAt("/once/x", 0)).To(And(HaveField("Outcome", gateway.Refused), HaveField("Reason", "draining")))
		Expect(h.servers.sent()).To(HaveLen(30))
	})

	// Guards against requests that wait for a server when the stop ends, and whose connections are
	// closed without an answer.
	It("refuses a request unrun that still waits for a server", Label("failure:lost-in-stops"), func() {
		h.answerSome("/once/x")
		for _, id := range []string{"p0", "p1"} {
			h.serverFeed.remove(id)
		}
		Eventually(func() gateway.Outcome { return h.serveFor("/once/x", 100*time.Millisecond).Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Refused))
		sent := len(h.servers.sent())
		stopEndsIn(1300 * time.Millisecond)
		end := time.Now().Add(1300 * time.Millisecond)
		Expect(h.serveFor("/once/x", time.Minute)).To(And(HaveField("Outcome", gateway.Refused), HaveField("Reason", "draining")))
		Expect(time.Now()).To(BeTemporally("<", end))
		Expect(h.servers.sent()).To(HaveLen(sent))
	})

	// Guards against requests that have got their connection too late to be answered before the stop
	// ends.
	It("does not send a request that has waited too long for its connection", Label("failure:lost-in-stops"), func() {
		h.answerSome("/once/x")
		h.servers.connect = func(backend.Call) { time.Sleep(700 * time.Millisecond) }
		stopEndsIn(750 * time.Millisecond)
		Expect(h.serveAt("/once/x", 0)).To(And(HaveField("Outcome", gateway.Refused), HaveField("Reason", "draining")))
		Expect(h.servers.sent()).To(HaveLen(30))
	})

	// Guards against requests whose connections are still being made when the stop ends.
	It("does not wait for a connection to the end of the stop", Label("failure:lost-in-stops"), func() {
		servers := h.startWithLateServers("/once/x")
		servers.connectNever.Store(true)
		stopEndsIn(time.Second)
		end := time.Now().Add(time.Second)
		Expect(h.serveAt("/once/x", 0)).To(And(HaveField("Outcome", gateway.Refused), HaveField("Reason", "draining")))
		Expect(time.Now()).To(BeTemporally("<", end))
	})

	// Guards against an answer that is given up as lost for another attempt, which the stop then does
	// not allow.
	It("waits for a late answer if no other attempt could follow", Label("failure:refused-in-stops"), func() {
		servers := h.startWithLateServers("/again/x")
		servers.answerAfter.Store(int64(800 * time.Millisecond))
		stopEndsIn(1200 * time.Millisecond)
		Expect(h.serveAt("/again/x", 0).Outcome).To(Equal(gateway.Answered))
	})

	// Guards against requests that are sent to a second server so late in a stop that they are cut off.
	It("does not repeat a request that could not be answered in time", Label("failure:lost-in-stops"), func() {
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			time.Sleep(250 * time.Millisecond)
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		h.answerSome("/again/x")
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			time.Sleep(250 * time.Millisecond)
			return nil, backend.ErrIncomplete
		}
		stopEndsIn(750 * time.Millisecond)
		Expect(h.serveAt("/again/x", 0)).To(And(HaveField("Outcome", gateway.Failed), HaveField("Reason", "draining")))
		Expect(h.servers.sent()).To(HaveLen(31))
	})

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

// lateServers are servers to which connections are never made, or that answer late.
type lateServers struct {
	backend.Client
	connectNever atomic.Bool
	answerAfter  atomic.Int64 // ns
}

// startWithLateServers replaces the gateway by one that has served requests of lateServers.
func (h *harness) startWithLateServers(path string) *lateServers {
	servers := &lateServers{Client: h.servers}
	h.gateway = h.startWith("g2", servers)
	Eventually(h.gateway.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
	h.answerSome(path)
	return servers
}

// Send implements backend.Client.
func (s *lateServers) Send(ctx context.Context, c backend.Call) (*backend.Answer, error) {
	if s.connectNever.Load() {
		<-ctx.Done()
		return nil, errors.Join(backend.ErrNotSent, ctx.Err())
	}
	answer, err := s.Client.Send(ctx, c)
	select {
	case <-time.After(time.Duration(s.answerAfter.Load())):
		return answer, err
	case <-ctx.Done():
		return nil, errors.Join(backend.ErrIncomplete, ctx.Err())
	}
}
