package weights_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/weights"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// TestPoolIsNeverGrantedTwice runs requesters with random demand, delays and message losses against
// allocators that replace each other, on clocks that drift by 1% in either direction, and adds up
// the valid shares.
func TestPoolIsNeverGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := weights.DefaultConfig(rapid.IntRange(1, 20).Draw(t, "pool"))
		drift := rapid.SampledFrom([]float64{-0.01, 0.01}).Draw(t, "drift")
		zero := time.Unix(0, 0)
		now := zero
		allocatorClock := func() time.Time { return zero.Add(time.Duration(float64(now.Sub(zero)) * (1 + drift))) }
		requesterClock := func() time.Time { return zero.Add(time.Duration(float64(now.Sub(zero)) * (1 - drift))) }
		a := weights.NewAllocator(cfg)
		term := 0
		takeOver := func() {
			term++
			a.SetLeaseStatus(allocatorClock(), lease.Status{State: lease.Held, TermID: state.Nonce(fmt.Sprint(term)), Until: zero.Add(time.Hour)})
		}
		takeOver()
		var requesters []*weights.Requester
		for i := range 4 {
			requesters = append(requesters, weights.NewRequester(cfg, state.ServiceID(fmt.Sprint("s", i))))
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			k := requesters[rapid.IntRange(0, 3).Draw(t, "requester")]
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				a = weights.NewAllocator(cfg)
				takeOver()
			case 1, 2, 3:
				k.SetWanted(requesterClock(), rapid.IntRange(0, 15).Draw(t, "want"))
			default:
				q, due := k.NextRequest(requesterClock(), 0)
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond)
				if !due || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					break
				}
				if g, ok := a.HandleRequest(allocatorClock(), q); ok {
					k.HandleGrant(g)
				}
			}
			sum := 0
			for _, k := range requesters {
				if n, until := k.Share(); requesterClock().Before(until) {
					sum += n
				}
			}
			if sum > cfg.PoolSize {
				t.Fatalf("%d slots granted from a pool of %d", sum, cfg.PoolSize)
			}
		}
	})
}

var _ = Describe("The allocator", func() {
	// Guards against a repair that waits for another service's whole roll-out: one service rolls
	// out and has taken the whole pool, and a stage of another service dies.
	It("moves half of the pool to a second service within a span", func() {
		cfg := weights.DefaultConfig(16)
		a, now := weights.NewAllocator(cfg), time.Unix(0, 0)
		a.SetLeaseStatus(now, lease.Status{State: lease.Held, TermID: "r", Until: now.Add(time.Hour)})
		x, y := weights.NewRequester(cfg, "x"), weights.NewRequester(cfg, "y")
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
				for _, k := range []*weights.Requester{x, y} {
					if q, ok := k.NextRequest(now, 0); ok {
						if g, ok := a.HandleRequest(now, q); ok {
							k.HandleGrant(g)
						}
					}
				}
			}
		}
		x.SetWanted(now, 100)
		run(20 * time.Second)
		slots, _ := x.Share()
		Expect(slots).To(Equal(16))
		y.SetWanted(now, 100)
		run(2 * cfg.RenewInterval)
		slots, _ = y.Share()
		Expect(slots).To(Equal(8))
	})

	// Guards against a share that is granted twice: a user is paused while it holds the whole pool,
	// the allocator's clock is fast by 1% and the user's slow by 1%. The share must have expired
	// for its user before another one can get it.
	It("does not reassign a share before it has expired for its user", func() {
		cfg := weights.DefaultConfig(4)
		zero := time.Unix(0, 0)
		at := func(t time.Duration, rate float64) time.Time { return zero.Add(time.Duration(float64(t) * rate)) }
		a, x := weights.NewAllocator(cfg), weights.NewRequester(cfg, "x")
		a.SetLeaseStatus(at(-time.Minute, 1.01), lease.Status{State: lease.Held, TermID: "r", Until: zero.Add(time.Hour)})
		x.SetWanted(zero, 4)
		q, _ := x.NextRequest(zero, 0)
		g, _ := a.HandleRequest(zero, q)
		x.HandleGrant(g)
		_, until := x.Share()
		for t := time.Duration(0); ; t += 10 * time.Millisecond {
			if g, _ := a.HandleRequest(at(t, 1.01), weights.ShareRequest{Service: "y", Wanted: 4}); g.Slots > 0 {
				Expect(at(t, 0.99).Before(until)).To(BeFalse())
				break
			}
		}
	})

	// The store is down: the allocator's lease expires, and every share with it.
	It("grants nothing after its lease has expired", Label("failure:store-down"), func() {
		cfg := weights.DefaultConfig(16)
		a, now := weights.NewAllocator(cfg), time.Unix(0, 0)
		a.SetLeaseStatus(now, lease.Status{State: lease.Held, TermID: "r", Until: now.Add(time.Minute)})
		_, ok := a.HandleRequest(now.Add(59*time.Second), weights.ShareRequest{Service: "x", Wanted: 1})
		Expect(ok).To(BeTrue())
		_, ok = a.HandleRequest(now.Add(61*time.Second), weights.ShareRequest{Service: "x", Wanted: 1})
		Expect(ok).To(BeFalse())
	})
})
