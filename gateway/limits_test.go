package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// limitSettles is how long daemons may take to keep a limit that a server names.
	limitSettles = 3 * time.Second
	// limitWindow is the span over which what a server gets is counted.
	limitWindow = 4 * time.Second
)

// allowed is how many requests a server that names a limit may get in one limitWindow.
func allowed(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds() + 5)
}

// busiest is the most requests in any limitWindow that begins at from or later.
func busiest(at []time.Time, from time.Time) int {
	most := 0
	for i, first := range at {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, t := range at[i:] {
			if t.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// press has each of some gateways asked for a path every step, for some time. It returns the
// results once all have come.
func press(gateways []*gateway.Gateway, path string, step, during time.Duration) []gateway.Result {
	var (
		mu  sync.Mutex
		out []gateway.Result
		all sync.WaitGroup
	)
	until := time.Now().Add(during)
	for _, g := range gateways {
		all.Go(func() {
			for time.Now().Before(until) {
				all.Go(func() {
					res := g.Serve(context.Background(), request(path), &reply{})
					mu.Lock()
					defer mu.Unlock()
					out = append(out, res)
				})
				time.Sleep(step)
			}
		})
	}
	all.Wait()
	return out
}

var _ = Describe("A server that names a limit", func() {
	const daemons = 5
	var (
		r        *rig
		gateways []*gateway.Gateway
	)

	BeforeEach(func() {
		r = newRig()
		r.fill()
		gateways = []*gateway.Gateway{r.gateway}
		for i := 2; i <= daemons; i++ {
			g := r.start(state.DaemonID(fmt.Sprintf("g%d", i)))
			gateways = append(gateways, g)
			Eventually(g.Ready).WithTimeout(patience).Should(BeTrue())
		}
	})

	// An engine in need says how many requests a second it takes from all daemons together,
	// and goes on getting as many as before, from all of them. Seen of an engine with 8.9
	// requests a second: 8.8 from 3 s on after it has named 2.6.
	It("gets no more than that from all daemons together", Label("failure:named-limit-broken"), func() {
		const perSecond = 2
		r.servers.limit("e0", perSecond)
		r.servers.limit("p0", perSecond)
		began := time.Now()
		var both sync.WaitGroup
		for _, path := range []string{"/stream/x", "/again/x"} {
			both.Go(func() { press(gateways, path, 50*time.Millisecond, limitSettles+2*limitWindow) })
		}
		both.Wait()
		for _, address := range []string{"e0", "p0"} {
			Expect(busiest(r.servers.gotAt(address), began.Add(limitSettles))).
				To(BeNumerically("<=", allowed(perSecond)), address)
		}
	})
})
