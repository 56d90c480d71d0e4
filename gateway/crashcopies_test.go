package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// crashTime is how long a run of a crashing content lasts.
	crashTime = 50 * time.Millisecond
	// maxCrashingRuns is how many runs of a content may end with their servers: three, and three
	// retries after them.
	maxCrashingRuns = 6
)

// listPlain lists one more plain server.
func (h *harness) listPlain(id string) {
	h.serverFeed.set(id, fleet.Server{ID: state.BackendID(id), Service: "app", Address: id, Domain: "a"})
}

// crashSlowly makes plain servers end while they run a content. It returns the number of runs.
func crashSlowly(h *harness, c *crashes) *atomic.Int64 {
	var runs atomic.Int64
	h.servers.plain = func(call backend.Call) (*backend.Answer, error) {
		runs.Add(1)
		time.Sleep(crashTime)
		c.end(h, call.Address)
		return nil, backend.ErrIncomplete
	}
	return &runs
}

// serveCrashing sends a request with the crashing content to a gateway.
func serveCrashing(g *gateway.Gateway, id, path string) gateway.Result {
	req := request(path)
	req.ID, req.CallerTimeout = state.RequestID(id), 3*time.Second
	return g.Serve(context.Background(), req, &fakeReply{})
}

var _ = Describe("Copies of a content that ends the servers that run it", func() {
	// Guards against a verdict that is asked before a wait and not after it: the content is refused
	// while a copy of it waits for a connection.
	It("are not sent once it is refused, however long they have waited", Label("failure:request-crashes-servers"), func() {
		h, c := newHarness(), &crashes{ended: make(map[string]bool)}
		plainBeforeHeader(h, c)
		connecting, proceed := make(chan struct{}), make(chan struct{})
		var first atomic.Bool
		h.servers.connect = func(backend.Call) {
			if first.CompareAndSwap(false, true) {
				close(connecting)
				<-proceed
			}
		}
		h.populateForCrashes()
		waited := make(chan gateway.Result, 1)
		go func() { waited <- serveCrashing(h.gateway, "waits", "/again/x") }()
		<-connecting
		serveCrashing(h.gateway, "crashes", "/again/x")
		Expect(c.count()).To(Equal(2))
		close(proceed)
		Expect((<-waited).Reason).To(Equal("crashes_servers"))
		Expect(c.count()).To(Equal(2))
	})

	// Guards against copies that run together: a content has ended the only server, its callers
	// repeat it at several daemons, and all copies wait for the next server.
	It("run one at a time after it has ended a server", Label("failure:request-crashes-servers"), func() {
		h, c := newHarness(), &crashes{ended: make(map[string]bool)}
		runs := crashSlowly(h, c)
		gateways := []*gateway.Gateway{h.gateway, h.start("g2"), h.start("g3")}
		h.listPlain("p0")
		h.configs.set("config", config(1))
		for _, g := range gateways {
			Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		}
		serveCrashing(h.gateway, "first", "/once/x")
		time.Sleep(noticesArrive)
		var all sync.WaitGroup
		for i := range 5 * len(gateways) {
			all.Go(func() { serveCrashing(gateways[i%len(gateways)], fmt.Sprintf("r%d", i), "/once/x") })
		}
		time.Sleep(100 * time.Millisecond)
		for i := 1; i < crashingServers; i++ {
			h.listPlain(fmt.Sprintf("p%d", i))
		}
		all.Wait()
		Expect(runs.Load()).To(BeNumerically("<=", maxCrashingRuns))
	})

	// Guards against a successor that counts a content's crashes anew: all daemons are restarted
	// after each of them.
	It("are counted across restarts of all daemons", Label("failure:request-crashes-servers"), func() {
		h, c := newHarness(), &crashes{ended: make(map[string]bool)}
		plainBeforeHeader(h, c)
		h.populateForCrashes()
		gateways := []*gateway.Gateway{h.gateway, h.start("g2")}
		for i := range crashingServers {
			serveCrashing(gateways[i%2], fmt.Sprintf("r%d", i), "/once/x")
			time.Sleep(noticesArrive)
			for k, id := range []state.DaemonID{"g1", "g2"} {
				gateways[k].Close()
				gateways[k] = h.start(id)
			}
			for _, g := range gateways {
				Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
			}
			time.Sleep(noticesArrive)
		}
		Expect(c.count()).To(BeNumerically("<=", 2))
	})
})
