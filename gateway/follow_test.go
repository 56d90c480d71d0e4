package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// cluster is a set of gateways of one site, each with its own connection to the store. The
// last two are the followers of the store.
type cluster struct {
	*harness
	gateways []*gateway.Gateway
	configs  []*gatedFeed[*fleet.Config] // connections to the feeds, by gateway
	servers  []*gatedFeed[fleet.Server]
}

func newCluster(ids ...state.DaemonID) *cluster {
	cl := &cluster{harness: newHarness()}
	cl.gateway.Close()
	cl.harness.configs.keepHistory()
	cl.serverFeed.keepHistory()
	for _, id := range ids {
		c, s := &gatedFeed[*fleet.Config]{feed: cl.harness.configs}, &gatedFeed[fleet.Server]{feed: cl.serverFeed}
		cl.configs, cl.servers = append(cl.configs, c), append(cl.servers, s)
		cl.gateways = append(cl.gateways, cl.startAt(id, c, s))
	}
	cl.gateway = cl.gateways[0]
	cl.populate()
	Eventually(func(g Gomega) {
		for _, gw := range cl.gateways {
			a, _ := gw.Addresses("a")
			g.Expect(a).To(HaveLen(len(ids)))
			g.Expect(gw.Ready()).To(BeTrue())
		}
	}).WithTimeout(eventuallyTimeout).Should(Succeed())
	cl.awaitFollowersOnly()
	return cl
}

// awaitFollowersOnly waits until only the followers poll the store.
func (cl *cluster) awaitFollowersOnly() {
	Eventually(func() int { return cl.countPolling() }).WithTimeout(eventuallyTimeout).Should(Equal(2))
}

// countPolling returns how many gateways currently poll the store for the servers.
func (cl *cluster) countPolling() int {
	before := make([]int64, len(cl.servers))
	for i, gate := range cl.servers {
		before[i] = gate.calls.Load()
	}
	time.Sleep(2300 * time.Millisecond)
	n := 0
	for i, gate := range cl.servers {
		if gate.calls.Load() > before[i] {
			n++
		}
	}
	return n
}

// outcomeAt sends a request for a path to one gateway.
func (cl *cluster) outcomeAt(i int, path string) gateway.Outcome {
	return cl.gateways[i].Serve(context.Background(), request(path), &fakeReply{}).Outcome
}

// isOutdated reports whether a gateway considers the entry of a plain server outdated.
func (cl *cluster) isOutdated(i int, server state.BackendID) bool {
	status, err := cl.gateways[i].Status(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, svc := range status.Services {
		for _, s := range svc.Servers {
			if s.ID == server {
				return s.Outdated
			}
		}
	}
	return false
}

// domainOf returns the failure domain that a gateway has for a server.
func (cl *cluster) domainOf(i int, server state.BackendID) state.FailureDomain {
	status, err := cl.gateways[i].Status(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, svc := range status.Services {
		for _, s := range svc.Servers {
			if s.ID == server {
				return s.Domain
			}
		}
	}
	return ""
}

// withRoute returns a configuration with one more route.
func withRoute(version uint64, prefix string) *fleet.Config {
	c := config(version)
	c.Hosts["h"] = append(c.Hosts["h"], fleet.Route{
		Prefix: prefix, Repeat: fleet.Idempotent, MaxAttempts: 1, Split: []fleet.Share{{Service: "app", Weight: 1}},
	})
	return c
}

// expiringOutage is how long the store answers nobody in an outage in which entries expire.
const expiringOutage = 3 * time.Second

var _ = Describe("Gateways of one site", func() {
	// bound is how late a change may become active.
	const bound = 2 * time.Second

	// Guards against a start of thousands of servers at which each change causes a store
	// call of its own, and an announcement that all daemons process.
	It("combine many changes that arrive within seconds", Label("failure:announcement-for-each-change"), func() {
		cl := newCluster("g1", "g2", "g3")
		before := cl.servers[2].calls.Load()
		began := time.Now()
		for i := range 300 {
			id := fmt.Sprintf("late%d", i)
			cl.serverFeed.set(id, fleet.Server{ID: state.BackendID(id), Service: "app", Address: id, Domain: "a"})
			time.Sleep(3 * time.Millisecond)
		}
		calls := cl.servers[2].calls.Load() - before
		Expect(calls).To(BeNumerically("<=", 2+time.Since(began)/(50*time.Millisecond)))
		for i := range cl.gateways {
			Eventually(func() state.FailureDomain { return cl.domainOf(i, "late299") }).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo("a"))
		}
	})

	It("poll the store through two of them, and all receive changes at once", func() {
		cl := newCluster("g1", "g2", "g3", "g4", "g5")
		cl.harness.configs.set("config", withRoute(2, "/two/"))
		for i := range cl.gateways {
			Eventually(func() gateway.Outcome { return cl.outcomeAt(i, "/two/x") }).
				WithTimeout(bound / 4).WithPolling(5 * time.Millisecond).Should(Equal(gateway.Answered))
		}
		cl.serverFeed.remove("p0")
		cl.serverFeed.remove("p1")
		for i := range cl.gateways {
			Eventually(func() gateway.Outcome { return cl.outcomeAt(i, "/two/x") }).
				WithTimeout(bound / 4).WithPolling(5 * time.Millisecond).Should(Equal(gateway.Refused))
		}
		Expect(cl.countPolling()).To(Equal(2))
	})

	// The store refuses one daemon and serves the others. That daemon's callers see new
	// routes as fast as all others, since it receives them from the followers.
	It("receive changes although the store refuses their calls", Label("failure:store-refuses-some"), func() {
		cl := newCluster("g1", "g2", "g3")
		cl.configs[0].refusing.Store(true)
		cl.harness.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return cl.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// The store refuses only the followers. Without calls of their own, the other daemons
	// would wait for the followers and see new routes too late.
	It("poll the store themselves if it refuses the followers", Label("failure:followers-refused"), func() {
		cl := newCluster("g1", "g2", "g3")
		for _, gate := range cl.configs[1:] {
			before := gate.calls.Load()
			gate.refusing.Store(true)
			Eventually(gate.calls.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", before), "a call is refused")
		}
		cl.harness.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return cl.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// refuse makes the store refuse followers, and the other gateways too if all is set, for a while, and waits until
	// it has answered the followers again.
	refuse := func(cl *cluster, followers []int, all bool, d time.Duration) {
		GinkgoHelper()
		awaitCalls := func() {
			GinkgoHelper()
			for _, i := range followers {
				before := cl.servers[i].calls.Load()
				Eventually(cl.servers[i].calls.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", before))
			}
		}
		set := func(refusing bool) {
			for i := range cl.servers {
				if all || lo.Contains(followers, i) {
					cl.servers[i].refusing.Store(refusing)
				}
			}
		}
		set(true)
		time.Sleep(d)
		awaitCalls()
		set(false)
		awaitCalls()
		time.Sleep(settleTime) // they announce that the store answers them again
	}

	// Guards against requests to servers that have left: one follower is cut off from the store, or stands still, and
	// all daemons take its failure for an outage in which entries of live servers expire.
	It("use no server that has left because the store has answered one of them again", Label("failure:one-followers-outage"), func() {
		for _, follower := range []int{1, 2} {
			cl := newCluster("g1", "g2", "g3")
			refuse(cl, []int{follower}, false, expiringOutage)
			cl.serverFeed.remove("p0")
			cl.serverFeed.remove("p1")
			for i := range cl.gateways {
				Eventually(func() gateway.Outcome { return cl.outcomeAt(i, "/again/x") }).WithTimeout(time.Second).Should(Equal(gateway.Refused), "g%d", i+1)
			}
		}
	})

	// Guards against callers that are refused after an outage of the store, in which the entries of all servers have
	// expired: daemons that did not call the store must learn of it.
	It("use servers whose entries have expired while the store answered none of them", Label("failure:entries-lapse"), func() {
		cl := newCluster("g1", "g2", "g3")
		refuse(cl, []int{1, 2}, true, expiringOutage)
		cl.serverFeed.remove("p0")
		cl.serverFeed.remove("p1")
		Consistently(func() gateway.Outcome { return cl.outcomeAt(0, "/again/x") }).WithTimeout(time.Second).Should(Equal(gateway.Answered))
		Eventually(func() gateway.Outcome { return cl.outcomeAt(0, "/again/x") }).WithTimeout(eventuallyTimeout).Should(Equal(gateway.Refused))
	})

	// The connections of both followers to the store become unresponsive, and the followers
	// announce what they knew. The others must still see new routes in time.
	It("poll the store themselves once the announcements are stale", Label("failure:follower-stale"), func() {
		cl := newCluster("g1", "g2", "g3")
		for _, gate := range cl.configs[1:] {
			before := gate.calls.Load()
			gate.hanging.Store(true)
			Eventually(gate.calls.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", before), "a call is unresponsive")
		}
		cl.harness.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return cl.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// A daemon restarts while the store is unavailable. If it does not query its peers for
	// their rows, its callers are refused until the store is back.
	It("serve their rows to a starting daemon that the store does not answer", Label("failure:start-without-store"), func() {
		cl := newCluster("g1", "g2")
		c, s := &gatedFeed[*fleet.Config]{feed: cl.harness.configs}, &gatedFeed[fleet.Server]{feed: cl.serverFeed}
		c.refusing.Store(true)
		s.refusing.Store(true)
		g := cl.startAt("g3", c, s)
		Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Expect(g.Serve(context.Background(), request("/stream/x"), &fakeReply{}).Outcome).To(Equal(gateway.Answered))
		cl.serverFeed.remove("p0")
		cl.serverFeed.remove("p1")
		Eventually(func() gateway.Outcome {
			return g.Serve(context.Background(), request("/again/x"), &fakeReply{}).Outcome
		}).WithTimeout(bound).Should(Equal(gateway.Refused), "it receives changes")
	})

	// Both followers stop. The others must see new routes in time.
	It("follow the store in place of followers that stop", func() {
		cl := newCluster("g1", "g2", "g3")
		cl.gateways[1].Close()
		cl.gateways[2].Close()
		cl.harness.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return cl.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// Engines crash while they can't reach the store, and restart at their addresses; their
	// old entries stay listed for seconds. Without a notice, each daemon discovers each
	// such engine by refusals of its own, again and again, until the retry budget is used
	// up and callers are refused.
	It("notify each other of entries that a server has contradicted", Label("failure:reborn-behind-a-cut"), func() {
		const restarted = "p0" // preferred by all: the other server is in another domain
		cl := newCluster("g1", "g2")
		cl.serverFeed.set("p1", fleet.Server{ID: "p1", Service: "app", Address: "p1", Domain: "b"})
		for i := range cl.gateways { // otherwise the server in the other domain may be used
			Eventually(func() state.FailureDomain { return cl.domainOf(i, "p1") }).WithTimeout(eventuallyTimeout).Should(Equal(state.FailureDomain("b")))
		}
		cl.harness.servers.plain = func(c backend.Call) (*backend.Answer, error) {
			if c.Address == restarted {
				a := signedAnswer(http.StatusMisdirectedRequest, "")
				a.NotRun, a.Stale = true, true
				return a, nil
			}
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		sentCount := func() int {
			return lo.CountBy(cl.harness.servers.sent(), func(c backend.Call) bool { return c.Address == restarted })
		}
		Expect(cl.outcomeAt(0, "/once/x")).To(Equal(gateway.Answered))
		Eventually(func() bool { return cl.isOutdated(1, restarted) }).WithTimeout(eventuallyTimeout).Should(BeTrue(), "the notice has arrived")
		for range 20 {
			Expect(cl.outcomeAt(1, "/once/x")).To(Equal(gateway.Answered))
			Expect(cl.outcomeAt(0, "/once/x")).To(Equal(gateway.Answered))
		}
		Expect(sentCount()).To(Equal(1))
	})
})
