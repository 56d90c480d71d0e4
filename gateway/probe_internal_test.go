package gateway

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// unreachable is a client whose calls reach no backend server.
type unreachable struct{ backend.Client }

func (unreachable) Report(ctx context.Context, _ string) (backend.Report, error) {
	<-ctx.Done()
	return backend.Report{}, ctx.Err()
}

// newCutOffGateway returns a gateway that reaches no backend server and may send some
// more probes.
func newCutOffGateway(probes int) *Gateway {
	GinkgoHelper()
	g := newTestControl(GinkgoTB()).g
	g.backends = unreachable{}
	g.prober.limit = rate.NewLimiter(0, probes)
	DeferCleanup(func() { close(g.done) })
	return g
}

// endingServer is a client of a server that answers the first probe slowly and ends then.
type endingServer struct {
	backend.Client
	asked  chan struct{}
	answer chan struct{}
	probes atomic.Int64
}

func (e *endingServer) Report(context.Context, string) (backend.Report, error) {
	if e.probes.Add(1) > 1 {
		return backend.Report{}, backend.ErrRefused
	}
	close(e.asked)
	<-e.answer
	return backend.Report{}, nil
}

func hop(id state.BackendID) fleet.Hop {
	return fleet.Hop{Server: state.BackendIncarnation{ID: id}, Address: string(id)}
}

// A dead server comes back, and hundreds of daemons that had streams through it probe it.
// If each probes as often as one daemon may, the starting server gets more probes than
// requests: 600 per second from 300 daemons.
var _ = Describe("Probes of a dead server", func() {
	It("are limited over all daemons together", Label("failure:probes-kept-alone"), func() {
		for daemons := 1; daemons <= 420; daemons++ {
			each := reprobeInterval(daemons)
			Expect(each).To(BeNumerically(">=", minReprobeInterval))
			Expect(float64(daemons) * float64(time.Second) / float64(each)).To(BeNumerically("<=", maxReprobeRate))
		}
		Expect(reprobeInterval(9)).To(Equal(minReprobeInterval))
	})
})

var _ = Describe("A probe that the rate limit holds back", func() {
	// Guards against live servers that a cut-off daemon marks dead, which ends their streams.
	It("does not prove that the daemon is connected", Label("failure:probe-not-sent"), func() {
		g := newCutOffGateway(1)
		hops := []fleet.Hop{hop("e1"), hop("e2")}
		g.prober.checkHops("llm", hops, hops)
		_, dead := g.shared.counts()
		Expect(dead).To(BeZero())
	})

	// Guards against new work for a dead server that nobody has asked again.
	It("does not prove that a dead server is back", Label("failure:probe-not-sent"), func() {
		g := newCutOffGateway(0)
		g.prober.handleDeath(hop("e1"), probeResult{})
		Consistently(func() int { _, dead := g.shared.counts(); return dead }).
			WithTimeout(3 * minReprobeInterval).Should(Equal(1))
	})
})

// oneAlive answers reports of one server, and no others.
type oneAlive struct {
	backend.Client
	address string
}

func (o oneAlive) Report(_ context.Context, address string) (backend.Report, error) {
	if address == o.address {
		return backend.Report{}, nil
	}
	return backend.Report{}, backend.ErrIncomplete
}

var _ = Describe("Hops that other daemons have seen alive", func() {
	hops := []fleet.Hop{hop("e1"), hop("e2"), hop("e3")}

	// Guards against live servers that a cut-off daemon marks dead because signs of the others have
	// left only one hop to probe.
	It("leave a daemon that reaches no server in doubt of itself", Label("failure:cut-off-beside-signs"), func() {
		g := newCutOffGateway(10)
		g.backends = oneAlive{address: "none"}
		g.prober.checkHops("llm", hops[:1], hops)
		_, dead := g.shared.counts()
		Expect(dead).To(BeZero())
	})

	// Guards against two servers that die together and are never found, since no live hop is probed.
	It("are asked whether the daemon is connected if two others do not answer", Label("failure:cut-off-beside-signs"), func() {
		g := newCutOffGateway(10)
		g.backends = oneAlive{address: "e3"}
		g.prober.checkHops("llm", hops[:2], hops)
		_, dead := g.shared.counts()
		Expect(dead).To(Equal(2))
	})

	// Guards against deaths that are found late by streams which may be silent for less than the one
	// that asked, and first hops that only others reach.
	It("are settled for as long as each stream may wait, and never as the first hop", Label("failure:sign-outlasts-stream"), func() {
		g := newCutOffGateway(10)
		now := time.Now()
		for _, h := range hops {
			g.prober.signs[h.Server] = now.Add(-100 * time.Millisecond)
		}
		patient := []suspect.Suspicion{{Hop: hops[1], Allowed: time.Second}}
		urgent := []suspect.Suspicion{{Hop: hops[1], Allowed: 50 * time.Millisecond}}
		Expect(g.prober.unsettled(now, hops[0], patient)).To(BeEmpty())
		Expect(g.prober.unsettled(now, hops[0], urgent)).To(HaveLen(1))
		Expect(g.prober.unsettled(now, hops[1], patient)).To(HaveLen(1))
	})
})

var _ = Describe("A probe that is under way when a server ends", func() {
	// Guards against ends that implicate no content since an earlier probe was answered just before.
	It("does not show that the server is alive", Label("failure:request-crashes-servers"), func() {
		server := &endingServer{asked: make(chan struct{}), answer: make(chan struct{})}
		g := newCutOffGateway(10)
		g.backends = server
		go g.prober.probeSince(probeEnd, time.Time{}, hop("e1").Server, "e1")
		<-server.asked
		after := make(chan probeResult)
		go func() { after <- g.prober.probeSince(probeEnd, time.Now(), hop("e1").Server, "e1") }()
		time.Sleep(10 * time.Millisecond)
		close(server.answer)
		Expect((<-after).outcome).To(Equal(probeDead))
	})
})
