package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// learnTime is how long gateways may take to learn that they are cut off: callers may keep an
// address for as long.
const learnTime = 2 * time.Second

// at returns the i-th gateway.
func (s *cuttableSite) at(i int) *gateway.Gateway { return s.gateways[fmt.Sprintf("front-c%d", i)] }

// serveOne sends a request to the i-th gateway, whose caller waits for a time.
func (s *cuttableSite) serveOne(i int, path string, callerTimeout time.Duration) gateway.Result {
	req := request(path)
	req.CallerTimeout = callerTimeout
	return s.at(i).Serve(context.Background(), req, &fakeReply{})
}

// named returns the addresses that the i-th gateway names to callers.
func named(s *cuttableSite, i int) []string {
	list, _ := s.at(i).Addresses("a")
	return list
}

// cutOffCount returns how many of the first n gateways know that they are cut off.
func (s *cuttableSite) cutOffCount(n int) int {
	count := 0
	for i := range n {
		if s.at(i).CutOff() {
			count++
		}
	}
	return count
}

// Guards against gateways that each learn from failures of their own callers what another one
// has told already, so that the failures grow with the number of gateways and of services.
var _ = Describe("Gateways that lose the servers together", func() {
	DescribeTable("learn of it by one failed request", Label("failure:cut-off-learned-alone"),
		func(mode cutMode, path string) {
			s := newCuttableSite(8)
			s.cut(6, mode)
			go s.serveOne(0, path, learnTime)
			Eventually(s.cutOffCount).WithArguments(6).WithTimeout(learnTime).Should(Equal(6))
			Expect(s.at(6).CutOff()).To(BeFalse())
			Expect(s.at(7).CutOff()).To(BeFalse())
		},
		Entry("for a plain server, connections hang", cutSilent, "/once/"),
		Entry("for a plain server, connections are reset", cutReset, "/once/"),
		Entry("for an engine, connections hang", cutSilent, "/stream/"),
	)

	It("learn of the other services too", Label("failure:cut-off-learned-alone"), func() {
		s := newCuttableSite(3)
		s.cut(1, cutReset)
		s.serveOne(0, "/once/", learnTime)
		Eventually(func() string { return s.serveOne(0, "/once/", learnTime).Reason }).WithTimeout(learnTime).Should(Equal("cut_off"))
		time.Sleep(500 * time.Millisecond) // for the check of the other service
		before := s.paths[0].sends.Load()
		res := s.serveOne(0, "/stream/", learnTime)
		Expect(res.Outcome).To(Equal(gateway.Refused))
		Expect(res.Reason).To(Equal("cut_off"))
		Expect(s.paths[0].sends.Load()).To(Equal(before), "it tries no engine")
	})

	It("serve requests for the services that they reach", Label("failure:cut-off-learned-alone"), func() {
		s := newCuttableSite(3)
		s.paths[0].setFor(cutReset, "p")
		s.serveOne(0, "/once/", learnTime)
		Eventually(s.at(0).CutOff).WithTimeout(learnTime).Should(BeTrue())
		Expect(s.serveOne(0, "/stream/", learnTime).Outcome).To(Equal(gateway.Answered))
	})

	// Guards against requests that wait for a connection until their deadline after the check of
	// another request has shown that there will be none.
	It("refuse the requests that wait for a connection", Label("failure:cut-off-request-waits"), func() {
		const callerTimeout = 8 * time.Second
		s := newCuttableSite(3)
		s.cut(1, cutEndless)
		results := make([]gateway.Result, 6)
		began := time.Now()
		var all sync.WaitGroup
		for i := range results {
			all.Go(func() { results[i] = s.serveOne(0, "/once/", callerTimeout) })
		}
		all.Wait()
		Expect(time.Since(began)).To(BeNumerically("<", callerTimeout/2))
		for _, r := range results {
			Expect(r.Outcome).To(Equal(gateway.Refused))
			Expect(r.Reason).To(Equal("cut_off"))
		}
	})

	// Guards against the conclusion that no gateway reaches the servers from the answers of a few
	// that are cut off themselves.
	It("ask further gateways if those that they ask reach no server", Label("failure:cut-off-peers-asked"), func() {
		s := newCuttableSite(10)
		s.cut(8, cutReset)
		for i := range 8 {
			go s.serveOne(i, "/again/", learnTime)
		}
		Eventually(s.cutOffCount).WithArguments(8).WithTimeout(learnTime).Should(Equal(8))
	})

	// Guards against gateways that leave because servers came back between their own connections
	// and those of the gateways that they ask.
	It("are not cut off if the servers return during the check", Label("failure:cut-off-stale-check"), func() {
		for attempt := range 2 {
			s := newCuttableSite(3)
			s.paths[0].refusals.Store(int64(4 + attempt)) // of the request and of the check
			s.serveOne(0, "/again/", learnTime)
			Consistently(s.at(0).CutOff).WithTimeout(500 * time.Millisecond).Should(BeFalse())
		}
	})

	// Guards against the conclusion that no gateway reaches a service since those that do are cut off
	// from another one.
	It("ask gateways that are cut off from another service", Label("failure:cut-off-peers-asked"), func() {
		s := newCuttableSite(2)
		s.paths[0].setFor(cutReset, "p")
		s.paths[1].setFor(cutReset, "e")
		s.serveOne(0, "/once/", learnTime)
		Eventually(s.at(0).CutOff).WithTimeout(learnTime).Should(BeTrue())
		time.Sleep(500 * time.Millisecond) // for the notice
		s.serveOne(1, "/stream/", learnTime)
		Eventually(s.at(1).CutOff).WithTimeout(learnTime).Should(BeTrue())
		Expect(s.serveOne(0, "/stream/", learnTime).Outcome).To(Equal(gateway.Answered))
		Expect(s.serveOne(1, "/once/", learnTime).Outcome).To(Equal(gateway.Answered))
	})
})

// Guards against requests that platforms send to each gateway that is ready, and that a gateway
// without links to the servers refuses although others could serve them.
var _ = Describe("A gateway that is cut off", func() {
	It("is not ready until it reaches servers again", Label("failure:cut-off-gateway-ready"), func() {
		s := newCuttableSite(3)
		s.cut(1, cutReset)
		s.serveOne(0, "/once/", learnTime)
		Eventually(s.at(0).Ready).WithTimeout(learnTime).Should(BeFalse())
		Consistently(s.at(0).Ready).WithTimeout(time.Second).Should(BeFalse())
		Expect(s.at(1).Ready()).To(BeTrue())
		Expect(s.at(2).Ready()).To(BeTrue())
		s.cut(1, notCut)
		Eventually(s.at(0).Ready).WithTimeout(learnTime).Should(BeTrue())
	})

	// Guards against a gateway that stays out of the addresses because of a service that is gone.
	It("is named again once the service is removed", Label("failure:cut-off-gateway-ready"), func() {
		s := newCuttableSite(3)
		s.paths[0].setFor(cutReset, "p")
		s.serveOne(0, "/once/", learnTime)
		Eventually(named).WithArguments(s, 1).WithTimeout(learnTime).ShouldNot(ContainElement("front-c0"))
		without := config(2)
		without.Hosts["h"] = without.Hosts["h"][:1]
		delete(without.Services, "app")
		s.configs.set("config", without)
		Eventually(named).WithArguments(s, 1).WithTimeout(learnTime).Should(ContainElement("front-c0"))
		Eventually(s.at(0).Ready).WithTimeout(learnTime).Should(BeTrue())
	})

	// Guards against a gateway that stays away from callers because of a service without servers.
	It("is ready again once the service has no servers", Label("failure:cut-off-gateway-ready"), func() {
		s := newCuttableSite(3)
		s.paths[0].setFor(cutReset, "p")
		s.serveOne(0, "/once/", learnTime)
		Eventually(s.at(0).Ready).WithTimeout(learnTime).Should(BeFalse())
		s.serverFeed.remove("p0")
		s.serverFeed.remove("p1")
		Eventually(s.at(0).Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
	})

	// Guards against a site without any gateway that is ready.
	It("stays ready if each gateway is cut off from a service", Label("failure:cut-off-gateway-ready"), func() {
		s := newCuttableSite(2)
		s.paths[0].setFor(cutReset, "p")
		s.paths[1].setFor(cutReset, "e")
		s.serveOne(0, "/once/", learnTime)
		s.serveOne(1, "/stream/", learnTime)
		Eventually(s.cutOffCount).WithArguments(2).WithTimeout(learnTime).Should(Equal(2))
		for i := range 2 {
			Eventually(s.at(i).Ready).WithTimeout(learnTime).Should(BeTrue())
			Consistently(s.at(i).Ready).WithTimeout(time.Second).Should(BeTrue())
		}
		Expect(s.serveOne(0, "/stream/", learnTime).Outcome).To(Equal(gateway.Answered))
		Expect(s.serveOne(1, "/once/", learnTime).Outcome).To(Equal(gateway.Answered))
	})
})

// Guards against a gateway that starts while it is cut off and is sent requests until its own
// callers' failures have told it.
var _ = Describe("A gateway that starts while it is cut off", func() {
	// started starts a gateway whose path to the servers is cut, in a site that runs for a while.
	started := func(s *cuttableSite) *cuttableServers {
		time.Sleep(learnTime)
		path := &cuttableServers{fakeServers: s.servers}
		path.set(cutSilent)
		s.add(len(s.paths), path)
		return path
	}

	It("is neither ready nor named to callers before it reaches the servers", Label("failure:cut-off-at-start"), func() {
		s := newCuttableSite(3)
		path := started(s)
		Consistently(func(g Gomega) {
			g.Expect(s.at(3).Ready()).To(BeFalse())
			for i := range 3 {
				g.Expect(named(s, i)).NotTo(ContainElement("front-c3"))
			}
		}).WithTimeout(3 * time.Second).WithPolling(5 * time.Millisecond).Should(Succeed())
		path.set(notCut)
		for i := range 4 {
			Eventually(named).WithArguments(s, i).WithTimeout(learnTime).Should(ContainElement("front-c3"))
		}
		Eventually(s.at(3).Ready).WithTimeout(learnTime).Should(BeTrue())
	})

	// Guards against a gateway that is ready after a check which shows nothing, since its process got no
	// processor meanwhile.
	It("is not ready before a check shows whether it reaches the servers", Label("failure:cut-off-at-start"), func() {
		const twoChecks = 14 // connections, to one server of each service and to all of them twice
		s := newCuttableSite(3)
		time.Sleep(learnTime)
		path := &cuttableServers{fakeServers: s.servers}
		path.set(cutSilent)
		path.late.Store(twoChecks)
		s.add(3, path)
		Consistently(s.at(3).Ready).WithTimeout(3 * time.Second).WithPolling(5 * time.Millisecond).Should(BeFalse())
		Expect(s.at(3).CutOff()).To(BeTrue())
	})

	// Guards against a site that is not ready since its servers are gone.
	It("is ready if no gateway reaches the servers", Label("failure:cut-off-at-start"), func() {
		s := newCuttableSite(2)
		s.cut(2, cutSilent)
		started(s)
		Eventually(s.at(2).Ready).WithTimeout(learnTime).Should(BeTrue())
		for i := range 3 {
			Eventually(named).WithArguments(s, i).WithTimeout(learnTime).Should(HaveLen(3))
		}
	})

	It("is ready if a service has no servers", Label("failure:cut-off-at-start"), func() {
		h := newHarness()
		h.configs.set("config", config(1))
		h.serverFeed.set("p0", fleet.Server{ID: "p0", Service: "app", Address: "p0", Domain: "a"})
		Eventually(h.gateway.Ready).WithTimeout(learnTime).Should(BeTrue())
	})
})
