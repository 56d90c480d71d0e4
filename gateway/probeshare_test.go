package gateway_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// countingServers counts the probes that one gateway sends.
type countingServers struct {
	*fakeServers
	probes sync.Map // *atomic.Int64 by address
}

// Report implements backend.Client.
func (s *countingServers) Report(ctx context.Context, address string) (backend.Report, error) {
	n, _ := s.probes.LoadOrStore(address, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	return s.fakeServers.Report(ctx, address)
}

func (s *countingServers) count(address string) int64 {
	n, ok := s.probes.Load(address)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

var _ = Describe("Probes of servers whose streams pause", func() {
	const gateways = 4
	var (
		h        *harness
		started  []*gateway.Gateway
		backends []*countingServers
	)
	start := func(contention gateway.Contention) {
		h = newHarness()
		h.gateway.Close()
		h.contention = contention
		started, backends = nil, nil
		for i := range gateways {
			b := &countingServers{fakeServers: h.servers}
			backends = append(backends, b)
			started = append(started, h.startWith(state.DaemonID(fmt.Sprintf("g%d", i)), b))
		}
		h.gateway = started[0]
		h.populate()
		for _, g := range started {
			Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
			Eventually(listedServers).WithArguments(g).WithTimeout(eventuallyTimeout).Should(Equal(populatedServers))
		}
	}
	// serveAll sends a stream to each gateway and returns the results.
	serveAll := func() []gateway.Result {
		results := make([]gateway.Result, gateways)
		var all sync.WaitGroup
		for i, g := range started {
			all.Go(func() {
				req := request("/stream/x")
				req.ID = state.RequestID(fmt.Sprint("r", i))
				results[i] = g.Serve(context.Background(), req, &fakeReply{})
			})
		}
		all.Wait()
		return results
	}

	// Without the setting, traffic is served as before it existed.
	It("are sent by each daemon for itself without the setting", func() {
		start(gateway.Contention{})
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(2))
			for _, b := range backends {
				Eventually(func() int64 { return b.count(c.Path[1].Address) }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
			}
			writeEvents(out, "2", 5)
		}
		for _, res := range serveAll() {
			Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		}
	})

	// Guards against streams that stay on a dead server because no daemon probes it, or because
	// another daemon says that it is alive.
	It("find a server in the middle of a path that dies", Label("failure:probes-in-overload"), func() {
		start(gateway.Contention{ProbeByTraffic: true})
		var dead sync.Map
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.LastEventID == "" {
				_, _ = io.WriteString(out, eventText(2))
				time.Sleep(100 * time.Millisecond) // its probes show that it is alive
				if _, second := dead.LoadOrStore("one", c.Path[1].Address); !second {
					h.servers.markDead(c.Path[1].Address)
				}
				if died, _ := dead.Load("one"); died == c.Path[1].Address {
					return // stalled forever
				}
			}
			writeEvents(out, c.LastEventID, 5)
		}
		for _, res := range serveAll() {
			Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		}
	})

	// Guards against streams that stay where their own daemon no longer reaches the first server of
	// their path, since other daemons do.
	It("are sent to the first server of a path by each daemon for itself", Label("failure:probes-in-overload"), func() {
		start(gateway.Contention{ProbeByTraffic: true})
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(2))
			for _, b := range backends {
				Eventually(func() int64 { return b.count(c.Path[0].Address) }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
			}
			writeEvents(out, "2", 5)
		}
		for _, res := range serveAll() {
			Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		}
	})
})
