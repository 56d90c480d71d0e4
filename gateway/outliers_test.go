package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// unsoundSite is a gateway before four plain servers, some of which do not serve.
type unsoundSite struct {
	*harness
	mu      sync.Mutex
	unsound map[string]func() *backend.Answer // by address
	n       int
}

const plainServers = 4

func newUnsoundSite() *unsoundSite {
	s := &unsoundSite{harness: newHarness(), unsound: make(map[string]func() *backend.Answer)}
	s.servers.plain = func(c backend.Call) (*backend.Answer, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if answer := s.unsound[c.Address]; answer != nil {
			return answer(), nil
		}
		return signedAnswer(http.StatusOK, "ok"), nil
	}
	for i := range plainServers {
		id := fmt.Sprintf("p%d", i)
		s.serverFeed.set(id, fleet.Server{ID: state.BackendID(id), Service: "app", Address: id, Domain: "a"})
	}
	s.configs.set("config", config(1))
	Eventually(s.gateway.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
	return s
}

// setAnswer gives servers another way to answer; nil makes them serve.
func (s *unsoundSite) setAnswer(answer func() *backend.Answer, addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		s.unsound[a] = answer
	}
}

func failing() *backend.Answer { return signedAnswer(http.StatusInternalServerError, "failed") }

func rejecting() *backend.Answer {
	a := signedAnswer(http.StatusServiceUnavailable, "")
	a.NotRun = true
	return a
}

// serve sends requests one after the other, and returns how many were answered with success.
func (s *unsoundSite) serve(path string, count int) (answered int) {
	return s.serveAt(s.gateway, path, count)
}

// serveAt does so through one of several gateways.
func (s *unsoundSite) serveAt(g *gateway.Gateway, path string, count int) (answered int) {
	for range count {
		s.n++
		req, reply := request(path), &fakeReply{}
		req.ID = state.RequestID(fmt.Sprintf("r%d", s.n))
		if g.Serve(context.Background(), req, reply).Outcome == gateway.Answered && reply.status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// isEjected reports whether a gateway has ejected a server.
func (s *unsoundSite) isEjected(g *gateway.Gateway, address string) bool {
	status, err := g.Status(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, svc := range status.Services {
		if slices.ContainsFunc(svc.Servers, func(srv gateway.ServerStatus) bool { return srv.Address == address && srv.Ejected }) {
			return true
		}
	}
	return false
}

// standStill makes a server silent until a gateway has ejected it, and waits until all use it again.
func (s *unsoundSite) standStill(g *gateway.Gateway, address string) {
	GinkgoHelper()
	s.serve("/again/", 100)
	s.serveAt(g, "/again/", 100)
	s.servers.setSilent(address, true)
	s.serve("/again/", 50)
	Eventually(func() bool { return s.isEjected(g, address) }).WithTimeout(eventuallyTimeout).Should(BeTrue())
	s.servers.setSilent(address, false)
	s.awaitReturn(g, address)
}

// awaitReturn waits until the site's gateway and another one use a server again, and lets each hear of all.
func (s *unsoundSite) awaitReturn(other *gateway.Gateway, address string) {
	GinkgoHelper()
	Eventually(func() bool { return s.isEjected(other, address) || s.isEjected(s.gateway, address) }).WithTimeout(eventuallyTimeout).Should(BeFalse())
	s.serve("/again/", 50)
	s.serveAt(other, "/again/", 50)
}

// arrivals returns how many calls each plain server got since the last call of it.
func (s *unsoundSite) arrivals() map[string]int {
	out := make(map[string]int)
	for _, c := range s.servers.sent() {
		out[c.Address]++
	}
	s.servers.mu.Lock()
	defer s.servers.mu.Unlock()
	s.servers.calls = nil
	return out
}

var _ = Describe("A gateway before plain servers", func() {
	// Guards against servers that get no requests beside others, and against daemons that depend on one.
	It("spreads requests over equally loaded servers", Label("failure:idle-servers"), func() {
		s := newUnsoundSite()
		Expect(s.serve("/again/", 200)).To(Equal(200))
		arrivals := s.arrivals()
		for i := range plainServers {
			Expect(arrivals[fmt.Sprintf("p%d", i)]).To(BeNumerically(">", 20))
		}
	})

	for name, answer := range map[string]func() *backend.Answer{"that fail": failing, "that reject requests": rejecting} {
		Context("half of them "+name, func() {
			// Guards against requests that fail at servers known to be unsound while sound ones are idle.
			It("leaves these out while the others answer, and no longer", Label("failure:unsound-servers"), func() {
				s := newUnsoundSite()
				s.serve("/again/", 100)
				s.setAnswer(answer, "p0", "p1")
				s.arrivals()
				Expect(s.serve("/again/", 300)).To(BeNumerically(">=", 291), "97 in 100")
				Expect(s.serve("/once/", 200)).To(BeNumerically(">=", 198))
				arrivals := s.arrivals()
				Expect(arrivals["p0"] + arrivals["p1"]).To(BeNumerically("<", 20))
				s.setAnswer(nil, "p0", "p1")
				Eventually(func() bool {
					s.serve("/again/", 50)
					arrivals := s.arrivals()
					return arrivals["p0"] > 5 && arrivals["p1"] > 5
				}).WithTimeout(eventuallyTimeout).Should(BeTrue())
			})
		})
	}

	// Guards against callers that wait at a server that stands still, and against requests that it reads
	// when their callers have long been answered.
	It("sends few requests to one that answers nothing, from all gateways together", Label("failure:requests-left-at-silent-servers"), func() {
		s := newUnsoundSite()
		other := s.start("g2")
		Eventually(other.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		s.serve("/again/", 100)
		s.serveAt(other, "/again/", 100)
		s.servers.setSilent("p0", true)
		s.arrivals()
		Expect(s.serve("/again/", 50)).To(Equal(50))
		Eventually(func() bool { return s.isEjected(other, "p0") }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Expect(s.serveAt(other, "/again/", 200)).To(Equal(200))
		Expect(s.serveAt(other, "/once/", 50)).To(Equal(50))
		Expect(s.serve("/again/", 200)).To(Equal(200))
		Expect(s.arrivals()["p0"]).To(Equal(1))
		s.servers.setSilent("p0", false)
		Eventually(func() bool { return s.isEjected(other, "p0") || s.isEjected(s.gateway, "p0") }).WithTimeout(eventuallyTimeout).Should(BeFalse())
		s.serve("/again/", 50)
		s.serveAt(other, "/again/", 50)
		Expect(s.arrivals()["p0"]).To(BeNumerically(">", 10))
	})

	// Guards against late copies of requests that add up over several standstills, and against requests
	// that must not be repeated and are lost in them.
	It("sends no request to one that stands still again", Label("failure:copies-at-silent-servers-add-up"), func() {
		s := newUnsoundSite()
		other := s.start("g2")
		Eventually(other.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		s.standStill(other, "p0")
		for _, g := range []*gateway.Gateway{s.gateway, other} {
			time.Sleep(100 * time.Millisecond) // the server's last signs of life are old then
			s.servers.setSilent("p0", true)
			s.arrivals()
			Expect(s.serveAt(g, "/once/", 50)).To(Equal(50))
			Expect(s.serveAt(g, "/again/", 50)).To(Equal(50))
			Expect(s.arrivals()["p0"]).To(BeZero())
			s.servers.setSilent("p0", false)
			s.awaitReturn(other, "p0")
		}
	})

	// Guards against requests that are kept from all servers because probes fail.
	It("sends a request without a probe's answer if no server gives one", Label("failure:copies-at-silent-servers-add-up"), func() {
		s := newUnsoundSite()
		s.standStill(s.gateway, "p0")
		time.Sleep(100 * time.Millisecond)
		for i := range plainServers {
			s.servers.setSilent(fmt.Sprintf("p%d", i), true)
		}
		s.arrivals()
		req := request("/once/")
		req.CallerTimeout = 2 * time.Second // the ejection for its late answer has ended by then
		s.gateway.Serve(context.Background(), req, &fakeReply{})
		Expect(lo.Sum(lo.Values(s.arrivals()))).To(Equal(1))
		for i := range plainServers {
			Expect(s.isEjected(s.gateway, fmt.Sprintf("p%d", i))).To(BeFalse())
		}
	})

	// Guards against a gateway that leaves out servers because its own links or its process stand still.
	It("leaves out none if all are silent", Label("failure:all-servers-fail-alike"), func() {
		s := newUnsoundSite()
		s.serve("/again/", 100)
		for i := range plainServers {
			s.servers.setSilent(fmt.Sprintf("p%d", i), true)
		}
		req := request("/again/")
		req.CallerTimeout = 2 * time.Second
		s.gateway.Serve(context.Background(), req, &fakeReply{})
		for i := range plainServers {
			Expect(s.isEjected(s.gateway, fmt.Sprintf("p%d", i))).To(BeFalse())
		}
	})

	// Guards against sound servers that are left out because of the requests that they get.
	It("leaves out none if all fail alike", Label("failure:all-servers-fail-alike"), func() {
		s := newUnsoundSite()
		s.serve("/once/", 100)
		s.setAnswer(failing, "p0", "p1", "p2", "p3")
		s.serve("/once/", 50)
		s.arrivals()
		s.serve("/once/", 200)
		counts := s.arrivals()
		Expect(counts).To(HaveLen(plainServers))
		for _, n := range counts {
			Expect(n).To(BeNumerically(">", 20))
		}
		for i := range plainServers {
			Expect(s.isEjected(s.gateway, fmt.Sprintf("p%d", i))).To(BeFalse())
		}
	})
})
