package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
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
})
