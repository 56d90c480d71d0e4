package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/probing"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// probedServer is a client of servers that count their probes.
type probedServer struct {
	backend.Client
	probes atomic.Int64
	dead   atomic.Bool
}

func (s *probedServer) Report(context.Context, string) (backend.Report, error) {
	s.probes.Add(1)
	if s.dead.Load() {
		return backend.Report{}, errors.Join(backend.ErrNotSent, backend.ErrRefused)
	}
	return backend.Report{}, nil
}

// newOwner returns a gateway that lists the server e1, and its backend.
func newOwner(contention Contention) (*Gateway, *probedServer) {
	GinkgoHelper()
	g := newTestControl(GinkgoTB()).g
	server := &probedServer{}
	g.backends = server
	set := *g.currentSettings()
	set.Contention = contention
	g.settings.Store(&set)
	v := *g.currentView.Load()
	v.servers = map[state.ServiceID][]fleet.Server{"llm": {{ID: "e1", Address: "e1"}}}
	g.currentView.Store(&v)
	DeferCleanup(func() { close(g.done) })
	return g, server
}

var _ = Describe("The owner of a server", func() {
	asked := func(server state.BackendIncarnation, maxAge time.Duration) probing.Request {
		return probing.Request{Service: "llm", Queries: []probing.Query{{Address: "e1", Born: server.Born, MaxAgeMS: int32(maxAge.Milliseconds())}}}
	}
	listed := state.BackendIncarnation{ID: "e1"}

	// Guards against a probe by each daemon whose streams pause at a server.
	It("probes it once for all that ask", Label("failure:probes-in-overload"), func() {
		g, server := newOwner(Contention{ProbeByTraffic: true})
		for range 5 {
			Expect(g.prober.answer(asked(listed, time.Hour)).Signs).To(ConsistOf(HaveField("Alive", true)))
		}
		Expect(server.probes.Load()).To(BeEquivalentTo(1))
	})

	It("does not probe it while its own streams show that it is alive", Label("failure:probes-in-overload"), func() {
		g, server := newOwner(Contention{ProbeByTraffic: true})
		tracked := g.shared.trackStream(time.Now(), fleet.Path{hop("e1")})
		g.shared.recordProgress(time.Now(), &stream{tracked: tracked})
		Expect(g.prober.answer(asked(listed, time.Hour)).Signs).To(ConsistOf(HaveField("Alive", true)))
		Expect(server.probes.Load()).To(BeZero())
	})

	// Guards against a server that dies after a probe and is said to be alive since.
	It("shows no sign of life that is older than asked for, nor one of a dead server", Label("failure:probes-in-overload"), func() {
		g, server := newOwner(Contention{ProbeByTraffic: true})
		Expect(g.prober.answer(asked(listed, 0)).Signs).To(ConsistOf(HaveField("Alive", true)))
		server.dead.Store(true)
		Expect(g.prober.answer(asked(listed, 0)).Signs).To(ConsistOf(probing.Sign{}))
		Expect(server.probes.Load()).To(BeEquivalentTo(2))
	})

	It("shows none of another incarnation, and none of a server that is not listed", Label("failure:probes-in-overload"), func() {
		g, server := newOwner(Contention{ProbeByTraffic: true})
		Expect(g.prober.answer(asked(state.BackendIncarnation{ID: "e1", Born: 7}, time.Hour)).Signs).To(ConsistOf(probing.Sign{}))
		Expect(server.probes.Load()).To(BeZero())
	})
})

var _ = Describe("A dead server that leaves the list", func() {
	hopOf := fleet.Hop{Server: state.BackendIncarnation{ID: "e9"}, Address: "e9"}

	// Guards against probes of a server that no request can be sent to.
	It("is not probed any more", Label("failure:probes-kept-alone"), func() {
		g, server := newOwner(Contention{ProbeByTraffic: true})
		server.dead.Store(true)
		g.prober.handleDeath(hopOf, probeResult{})
		Eventually(func() int { _, dead := g.shared.counts(); return dead }).WithTimeout(10 * time.Second).Should(BeZero())
		Expect(server.probes.Load()).To(BeZero())
	})

	It("is probed as before without the setting", func() {
		g, server := newOwner(Contention{})
		server.dead.Store(true)
		g.prober.handleDeath(hopOf, probeResult{})
		Eventually(server.probes.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 2))
		Expect(g.prober.recoveryInterval(3, true)).To(Equal(minReprobeInterval))
	})
})
