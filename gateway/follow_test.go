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

// posts are gateways of one site, each with its own way to the store. The last two
// follow the store for all.
type posts struct {
	*rig
	gateways []*gateway.Gateway
	configs  []*door[*fleet.Config]
	servers  []*door[fleet.Server]
}

func newPosts(ids ...state.DaemonID) *posts {
	p := &posts{rig: newRig()}
	p.gateway.Close()
	p.rig.configs.keep()
	p.listed.keep()
	for _, id := range ids {
		c, s := &door[*fleet.Config]{feed: p.rig.configs}, &door[fleet.Server]{feed: p.listed}
		p.configs, p.servers = append(p.configs, c), append(p.servers, s)
		p.gateways = append(p.gateways, p.startAt(id, c, s))
	}
	p.gateway = p.gateways[0]
	p.fill()
	Eventually(func(g Gomega) {
		for _, gw := range p.gateways {
			a, _ := gw.Addresses("a")
			g.Expect(a).To(HaveLen(len(ids)))
			g.Expect(gw.Ready()).To(BeTrue())
		}
	}).WithTimeout(patience).Should(Succeed())
	p.settle()
	return p
}

// settle waits until all but the followers have left the store.
func (p *posts) settle() {
	Eventually(func() int { return p.asking() }).WithTimeout(patience).Should(Equal(2))
}

// asking counts the gateways that ask the store for the servers now.
func (p *posts) asking() int {
	before := make([]int64, len(p.servers))
	for i, d := range p.servers {
		before[i] = d.calls.Load()
	}
	time.Sleep(2300 * time.Millisecond)
	n := 0
	for i, d := range p.servers {
		if d.calls.Load() > before[i] {
			n++
		}
	}
	return n
}

// outcomeAt asks one gateway for a path.
func (p *posts) outcomeAt(i int, path string) gateway.Outcome {
	return p.gateways[i].Serve(context.Background(), request(path), &reply{}).Outcome
}

// outdated reports whether a gateway goes by no entry of a plain server.
func (p *posts) outdated(i int, server state.BackendID) bool {
	status, err := p.gateways[i].Status(context.Background())
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

// domainOf is where a gateway has a server listed.
func (p *posts) domainOf(i int, server state.BackendID) state.FailureDomain {
	status, err := p.gateways[i].Status(context.Background())
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

// withRoute is a configuration with one more route.
func withRoute(version uint64, prefix string) *fleet.Config {
	c := config(version)
	c.Hosts["h"] = append(c.Hosts["h"], fleet.Route{
		Prefix: prefix, Repeat: fleet.RunAgain, MaxAttempts: 1, Split: []fleet.Share{{Service: "app", Weight: 1}},
	})
	return c
}

var _ = Describe("Gateways of one site", func() {
	// bound is how late a change may be in force.
	const bound = 2 * time.Second

	// Guards against a start of thousands of servers at which each change is a call to the store
	// of its own, and an announcement that all daemons work on.
	It("take many changes that come within seconds together", Label("failure:announcement-for-each-change"), func() {
		p := newPosts("g1", "g2", "g3")
		before := p.servers[2].calls.Load()
		began := time.Now()
		for i := range 300 {
			id := fmt.Sprintf("late%d", i)
			p.listed.set(id, fleet.Server{ID: state.BackendID(id), Service: "app", Address: id, Domain: "a"})
			time.Sleep(3 * time.Millisecond)
		}
		calls := p.servers[2].calls.Load() - before
		Expect(calls).To(BeNumerically("<=", 2+time.Since(began)/(50*time.Millisecond)))
		for i := range p.gateways {
			Eventually(func() state.FailureDomain { return p.domainOf(i, "late299") }).WithTimeout(patience).Should(BeEquivalentTo("a"))
		}
	})

	It("ask the store through two of them, and all learn of changes at once", func() {
		p := newPosts("g1", "g2", "g3", "g4", "g5")
		p.rig.configs.set("config", withRoute(2, "/two/"))
		for i := range p.gateways {
			Eventually(func() gateway.Outcome { return p.outcomeAt(i, "/two/x") }).
				WithTimeout(bound / 4).WithPolling(5 * time.Millisecond).Should(Equal(gateway.Answered))
		}
		p.listed.remove("p0")
		p.listed.remove("p1")
		for i := range p.gateways {
			Eventually(func() gateway.Outcome { return p.outcomeAt(i, "/two/x") }).
				WithTimeout(bound / 4).WithPolling(5 * time.Millisecond).Should(Equal(gateway.Refused))
		}
		Expect(p.asking()).To(Equal(2))
	})

	// The store refuses one daemon and serves the others. Callers of that one see
	// new routes as fast as all: it learns of them from the daemons that follow.
	It("learn of changes although the store refuses them", Label("failure:store-refuses-some"), func() {
		p := newPosts("g1", "g2", "g3")
		p.configs[0].shut.Store(true)
		p.rig.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return p.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// The store refuses just the daemons that follow it for all. The others see new
	// routes in time. Cause: they would wait for those.
	It("ask the store themselves where it refuses those that follow it", Label("failure:followers-refused"), func() {
		p := newPosts("g1", "g2", "g3")
		for _, d := range p.configs[1:] {
			before := d.calls.Load()
			d.shut.Store(true)
			Eventually(d.calls.Load).WithTimeout(patience).Should(BeNumerically(">", before), "a call is refused")
		}
		p.rig.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return p.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// The connections to the store of both daemons that follow it go silent, and they
	// tell what they knew. The others see new routes in time.
	It("ask the store themselves once what they are told is old", Label("failure:follower-stale"), func() {
		p := newPosts("g1", "g2", "g3")
		for _, d := range p.configs[1:] {
			before := d.calls.Load()
			d.hangs.Store(true)
			Eventually(d.calls.Load).WithTimeout(patience).Should(BeNumerically(">", before), "a call is silent")
		}
		p.rig.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return p.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// A daemon ends and starts again while the store is away. Callers that are sent to it
	// are refused until the store is back. Cause: it asked nobody else for what its peers
	// go by.
	It("give one that starts what they know while the store does not answer it", Label("failure:start-without-store"), func() {
		p := newPosts("g1", "g2")
		c, s := &door[*fleet.Config]{feed: p.rig.configs}, &door[fleet.Server]{feed: p.listed}
		c.shut.Store(true)
		s.shut.Store(true)
		g := p.startAt("g3", c, s)
		Eventually(g.Ready).WithTimeout(patience).Should(BeTrue())
		Expect(g.Serve(context.Background(), request("/stream/x"), &reply{}).Outcome).To(Equal(gateway.Answered))
		p.listed.remove("p0")
		p.listed.remove("p1")
		Eventually(func() gateway.Outcome {
			return g.Serve(context.Background(), request("/again/x"), &reply{}).Outcome
		}).WithTimeout(bound).Should(Equal(gateway.Refused), "it learns of changes")
	})

	// Both daemons that follow the store stop. The others see new routes in time.
	It("follow the store in place of those that stop", func() {
		p := newPosts("g1", "g2", "g3")
		p.gateways[1].Close()
		p.gateways[2].Close()
		p.rig.configs.set("config", withRoute(2, "/two/"))
		Eventually(func() gateway.Outcome { return p.outcomeAt(0, "/two/x") }).
			WithTimeout(bound).Should(Equal(gateway.Answered))
	})

	// Engines crash where the store can't be reached, and start again at their
	// addresses; they stay listed for seconds. Callers wait and are refused. Cause: each
	// daemon learns of each such engine by refusals of its own, again and again, until
	// the retry budget is used up.
	It("tell each other of entries that a server has contradicted", Label("failure:reborn-behind-a-cut"), func() {
		const reborn = "p0" // which all prefer: the other one is in another domain
		p := newPosts("g1", "g2")
		p.listed.set("p1", fleet.Server{ID: "p1", Service: "app", Address: "p1", Domain: "b"})
		for i := range p.gateways { // else the one in another domain may be taken
			Eventually(func() state.FailureDomain { return p.domainOf(i, "p1") }).WithTimeout(patience).Should(Equal(state.FailureDomain("b")))
		}
		p.rig.servers.plain = func(c backend.Call) (*backend.Answer, error) {
			if c.Address == reborn {
				a := answer(http.StatusMisdirectedRequest, "")
				a.NotRun, a.Stale = true, true
				return a, nil
			}
			return answer(http.StatusOK, "ok"), nil
		}
		sentThere := func() int {
			return lo.CountBy(p.rig.servers.sent(), func(c backend.Call) bool { return c.Address == reborn })
		}
		Expect(p.outcomeAt(0, "/once/x")).To(Equal(gateway.Answered))
		Eventually(func() bool { return p.outdated(1, reborn) }).WithTimeout(patience).Should(BeTrue(), "the message has come")
		for range 20 {
			Expect(p.outcomeAt(1, "/once/x")).To(Equal(gateway.Answered))
			Expect(p.outcomeAt(0, "/once/x")).To(Equal(gateway.Answered))
		}
		Expect(sentThere()).To(Equal(1))
	})
})
