package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Retry allowance of the harness's gateways.
const (
	budgetRatio = 0.2
	budgetSlack = 100
)

// budgetSite is three gateways before plain servers that reject every request unrun.
type budgetSite struct {
	*harness
	gateways []*gateway.Gateway
	requests int // sent by callers so far
}

func newBudgetSite() *budgetSite {
	s := &budgetSite{harness: newHarness()}
	s.servers.plain = func(backend.Call) (*backend.Answer, error) {
		a := signedAnswer(http.StatusServiceUnavailable, "")
		a.NotRun = true
		return a, nil
	}
	s.gateways = []*gateway.Gateway{s.gateway, s.start("g2"), s.start("g3")}
	s.populate()
	s.awaitMembers()
	return s
}

// awaitMembers waits until all gateways serve and see each other.
func (s *budgetSite) awaitMembers() {
	for _, g := range s.gateways {
		Eventually(func() bool { return g.Ready() && s.live(g) == len(s.gateways) }).WithTimeout(eventuallyTimeout).Should(BeTrue())
	}
}

// live returns how many live daemons a gateway sees.
func (s *budgetSite) live(g *gateway.Gateway) int {
	status, err := g.Status(context.Background())
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, m := range status.Members {
		if m.State == "alive" {
			n++
		}
	}
	return n
}

// restartAll ends all gateways and starts them again under their names.
func (s *budgetSite) restartAll() {
	for i, g := range s.gateways {
		g.Close()
		s.gateways[i] = s.start(state.DaemonID(fmt.Sprintf("g%d", i+1)))
	}
	s.awaitMembers()
}

// load sends requests to each gateway at the same time and waits for their results.
func (s *budgetSite) load(perGateway int) {
	var wg sync.WaitGroup
	for _, g := range s.gateways {
		for range perGateway {
			s.requests++
			req := request("/again/")
			req.ID = state.RequestID(fmt.Sprintf("r%d", s.requests))
			wg.Go(func() { g.Serve(context.Background(), req, &fakeReply{}) })
		}
	}
	wg.Wait()
}

// repeats returns how many requests the servers have received beyond the first arrival of each.
func (s *budgetSite) repeats() int {
	arrivals := make(map[string]int)
	n := 0
	for _, c := range s.servers.sent() {
		if arrivals[c.RequestID]++; arrivals[c.RequestID] > 1 {
			n++
		}
	}
	return n
}

// allowed returns how many repeats the site allows within one window for the requests so far.
func (s *budgetSite) allowed() float64 { return budgetRatio*float64(s.requests) + budgetSlack }

var _ = Describe("The retry budget of a site", func() {
	// Guards against daemons that spend the site's slack anew after each restart.
	It("is spent once however often all daemons restart within a window", Label("failure:retries-after-restarts"), func() {
		s := newBudgetSite()
		began := time.Now()
		s.load(40)
		for range 6 {
			s.restartAll()
			s.load(40)
		}
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second), "all requests lie within one window")
		Expect(s.repeats()).To(BeNumerically("<=", s.allowed()))
	})

	// retriesLeft returns what a gateway may still spend for a service.
	retriesLeft := func(g *gateway.Gateway, svc state.ServiceID) int {
		status, err := g.Status(context.Background())
		Expect(err).NotTo(HaveOccurred())
		for _, s := range status.Services {
			if s.ID == svc {
				return s.RetriesLeft
			}
		}
		return 0
	}

	// Guards against ways of repeating a request that no retry is spent for.
	DescribeTable("pays for each arrival beyond the first of a request", Label("failure:retries-after-restarts"),
		func(path string, svc state.ServiceID, fail func(h *harness)) {
			h := newHarness()
			h.populate()
			fail(h)
			Eventually(retriesLeft).WithArguments(h.gateway, svc).WithTimeout(eventuallyTimeout).Should(Equal(budgetSlack))
			h.serve(path)
			arrivals := 0
			for _, c := range h.servers.sent() {
				if !h.servers.hasEnded(c.Address) {
					arrivals++
				}
			}
			Expect(arrivals).To(BeNumerically(">", 0))
			Expect(budgetSlack - retriesLeft(h.gateway, svc)).To(Equal(arrivals - 1))
		},
		Entry("a plain server that proves that it has not run it", "/again/", state.ServiceID("app"), func(h *harness) {
			h.servers.plain = func(backend.Call) (*backend.Answer, error) {
				a := signedAnswer(http.StatusServiceUnavailable, "")
				a.NotRun = true
				return a, nil
			}
		}),
		Entry("a plain server that breaks off", "/again/", state.ServiceID("app"), func(h *harness) {
			h.servers.plain = func(backend.Call) (*backend.Answer, error) { return nil, backend.ErrIncomplete }
		}),
		Entry("a plain server's own failure", "/again/", state.ServiceID("app"), func(h *harness) {
			h.servers.plain = func(backend.Call) (*backend.Answer, error) {
				return signedAnswer(http.StatusInternalServerError, "no"), nil
			}
		}),
		Entry("a plain server that refuses the connection", "/again/", state.ServiceID("app"), func(h *harness) {
			// The other server is in another domain, so that this one is tried first.
			h.serverFeed.set("p1", fleet.Server{ID: "p1", Service: "app", Address: "p1", Domain: "b"})
			Eventually(func() state.FailureDomain { s, _ := h.serverStatus("p1"); return s.Domain }).WithTimeout(eventuallyTimeout).Should(Equal(state.FailureDomain("b")))
			h.servers.markEnded("p0")
		}),
		Entry("an engine that breaks off before its header", "/stream/", state.ServiceID("llm"), func(h *harness) {
			h.servers.streamError = func(backend.Call) error { return backend.ErrIncomplete }
		}),
		Entry("an engine whose later hop refuses", "/stream/", state.ServiceID("llm"), func(h *harness) {
			h.servers.refusing["e1"], h.servers.refusing["e3"] = true, true
		}),
		Entry("an engine that breaks off before an event", "/stream/", state.ServiceID("llm"), func(h *harness) {
			h.servers.stream = func(_ backend.Call, out *io.PipeWriter) { _ = out.CloseWithError(backend.ErrIncomplete) }
		}),
		Entry("an engine that breaks off after an event", "/stream/", state.ServiceID("llm"), func(h *harness) {
			h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
				if c.LastEventID == "" {
					_, _ = fmt.Fprint(out, "id: 1\ndata: 1\n\n")
					_ = out.CloseWithError(backend.ErrIncomplete)
					return
				}
				writeEvents(out, c.LastEventID, 5)
			}
		}),
	)

	// Guards against a silent attempt that nothing is spent for when it arrives after the one that
	// replaced it.
	It("pays for a request that is given up and sent elsewhere", Label("failure:repeats-arrive-late"), func() {
		const sound = 200 // requests, which earn a whole number of retries together with the next one
		h := newHarness()
		h.populate()
		for range sound {
			Expect(h.serveAt("/again/", 0).Outcome).To(Equal(gateway.Answered))
		}
		before := retriesLeft(h.gateway, "app")
		silent := make(chan struct{}, 1)
		silent <- struct{}{}
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			select {
			case <-silent:
				time.Sleep(time.Second)
				return nil, backend.ErrIncomplete
			default:
				return signedAnswer(http.StatusOK, "ok"), nil
			}
		}
		Expect(h.serveAt("/again/", 0).Outcome).To(Equal(gateway.Answered))
		Expect(h.servers.sent()).To(HaveLen(sound + 2))
		Expect(retriesLeft(h.gateway, "app")).To(Equal(before - 1))
	})

	// breakFirst makes the first call to a plain server break off before an answer, as something
	// happens to that server, and returns its address.
	breakFirst := func(h *harness, happens func(address string)) (address string) {
		first := make(chan struct{}, 1)
		first <- struct{}{}
		h.servers.plain = func(c backend.Call) (*backend.Answer, error) {
			select {
			case <-first:
				happens(c.Address)
				return nil, backend.ErrIncomplete
			default:
				return signedAnswer(http.StatusOK, "ok"), nil
			}
		}
		Expect(h.serveAt("/again/", 0).Outcome).To(Equal(gateway.Answered))
		return h.servers.sent()[0].Address
	}

	// Guards against a call that a server reads after its connection was reset, when its retry no
	// longer counts.
	It("holds a retry whose first call broke off until its server answers another", Label("failure:repeats-arrive-late"), func() {
		h := newHarness()
		h.populate()
		address := breakFirst(h, h.servers.markDead)
		Consistently(h.gateway.LateCalls).WithTimeout(300 * time.Millisecond).Should(Equal(1))
		h.servers.revive(address)
		Eventually(func() int {
			h.serveAt("/again/", 0)
			return h.gateway.LateCalls()
		}).WithTimeout(eventuallyTimeout).Should(BeZero())
	})

	// Guards against retries that are denied after servers have ended, which read nothing more.
	It("holds no retry for a server that ended with the call", Label("failure:repeats-arrive-late"), func() {
		h := newHarness()
		h.populate()
		breakFirst(h, h.servers.markEnded)
		Expect(h.gateway.LateCalls()).To(BeZero())
	})
})
