package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// TestRolloutCutsNothing rolls out a version under traffic with lost calls and
// answers, with and without spare servers, on servers that check fencing numbers
// and on servers that ignore them. No order may take effect on a server while a
// request runs there, the table never has fewer replicas than requested (with
// spare servers) or one fewer (without), and the rollout completes.
func TestRolloutCutsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "replicas")
		spare := rapid.Bool().Draw(t, "spare")
		servers, first := 2*n, 0
		if spare {
			servers, first = 4*n, 2*n
		}
		checks := rapid.Bool().Draw(t, "checks")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), func(int) bool { return checks }, servers)
		h := sim.startHolder(1, true, controller.Desired{Document: 1, Chains: chains("v1", 0, n)})
		sim.run(60 * time.Second)
		if sim.countServing("v1") != n {
			t.Fatalf("%d of %d replicas are ready before the rollout", sim.countServing("v1"), n)
		}
		sim.lossRate = rapid.Float64Range(0, 0.2).Draw(t, "lost")
		sim.maxRequestTime = rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 20 * time.Second}).Draw(t, "longest")
		sim.run(10 * time.Second)
		h.step(controller.Desired{Document: 2, Chains: chains("v2", first, n)})
		least := n
		for range 6000 {
			sim.run(tickInterval)
			least = min(least, sim.countServing(""))
			if sim.countServing("v2") == n && len(sim.table.Replicas) == n {
				break
			}
		}
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		if sim.countServing("v2") != n || len(sim.table.Replicas) != n {
			t.Fatalf("the rollout did not complete: %+v", sim.table.Replicas)
		}
		if (spare && least < n) || least < n-1 {
			t.Fatalf("only %d of %d requested replicas served at some moment", least, n)
		}
		if sim.maxLoading > sim.cfg.GuaranteedLoads {
			t.Fatalf("%d concurrent loads", sim.maxLoading)
		}
	})
}

// runTakeover runs a first holder until its replica is ready, delays an order of
// its next version by delay, and gives the lease to a second holder, which wants
// another version. It returns for how long that order's server held the wrong
// version.
func runTakeover(seed uint64, checks func(int) bool, version string, delay, run time.Duration) (*simulation, *holder, time.Duration) {
	sim := newSimulation(seed, checks, 2)
	v1 := controller.Desired{Document: 1, Chains: chains("v1", 0, 1)}
	former := sim.startHolder(1, true, v1)
	sim.run(30*time.Second + time.Duration(seed%20)*500*time.Millisecond)
	former.delayNext = delay
	// The next version's chain replaces the first one at once: both use the same
	// servers, and no request runs there.
	former.step(controller.Desired{Document: 2, Chains: chains("v2", 0, 1)})
	for range 400 {
		sim.run(tickInterval)
		if former.delayNext == 0 {
			break
		}
	}
	former.lease(lease.None, 0, false, 0)
	sim.startHolder(2, false, controller.Desired{Document: 3, Chains: chains(version, 0, 1)})
	wrongFor := time.Duration(0)
	for until := sim.now.Add(run); sim.now.Before(until); {
		sim.run(tickInterval)
		if sim.servers[former.delayedServer].state.Loaded.Version == "v2" {
			wrongFor += tickInterval
		}
	}
	return sim, former, wrongFor
}

var _ = Describe("orders", func() {
	// A holder is paused after it has sent an order; a successor takes the lease
	// and sends its own orders; then the old order arrives. If it took effect,
	// requests would reach a server with another version's layers. The server has
	// seen the higher fencing number and refuses the order, even where the
	// successor had nothing to change.
	It("of a stale holder are refused by servers that check fencing numbers", Label("failure:stale-holder-acts"), func() {
		sim, old, wrong := runTakeover(3, always, "v1", 40*time.Second, 60*time.Second)
		Expect(old.delayedServer).NotTo(BeEmpty())
		Expect(wrong).To(BeZero())
		Expect(sim.servers["b00"].state.Loaded.Version).To(Equal("v1"))
		Expect(sim.servers["b01"].state.Loaded.Version).To(Equal("v1"))
		Expect(sim.servers["b00"].state.Fencing).To(BeEquivalentTo(2))
	})

	// The same on servers that ignore fencing numbers, with an order that arrives
	// within MaxOrderDelay: the successor waits for that time, so its own orders
	// come last.
	It("of a former holder expire before the successor sends its own", Label("failure:fencing-ignored"), func() {
		for seed := range uint64(20) {
			sim, _, _ := runTakeover(seed, never, "v3", defaultConfig().MaxOrderDelay-time.Second, 60*time.Second)
			next := sim.holders[1]
			for id, f := range sim.servers {
				Expect(slices.IsSorted(f.fencingNumbers)).To(BeTrue(), "%s took %v", id, f.fencingNumbers)
				Expect(f.fencingNumbers).To(ContainElement(BeEquivalentTo(2)))
				Expect(next.calls[id]).To(MatchRegexp("^(r+or)+r*$"), "a read before and after each order")
			}
			for _, o := range next.orders {
				Expect(o.NotAfter).NotTo(BeZero())
			}
			Expect(sim.servers["b00"].state.Loaded.Version).To(Equal("v3"))
			Expect(sim.countServing("v3")).To(Equal(1))
		}
	})

	// The same, but the order is delayed for far longer, in the network or in a
	// paused process. That it takes effect can't be prevented. The successor
	// detects it by its regular reads and orders the server back.
	It("that no fencing number can stop are detected and reverted", Label("failure:fencing-ignored"), func() {
		var durations []time.Duration
		for seed := range uint64(40) {
			sim, _, wrong := runTakeover(seed, never, "v1", 60*time.Second+time.Duration(seed)*370*time.Millisecond, 150*time.Second)
			Expect(sim.servers["b00"].state.Loaded.Version).To(Equal("v1"))
			Expect(sim.countServing("v1")).To(Equal(1))
			durations = append(durations, wrong)
		}
		slices.Sort(durations)
		AddReportEntry("time until a stale order was reverted: median, longest", fmt.Sprint(durations[len(durations)/2], durations[len(durations)-1]))
		Expect(durations[0]).To(BeNumerically(">", 0), "the order must have taken effect")
		Expect(durations[len(durations)-1]).To(BeNumerically("<=", defaultConfig().ReconcileInterval+defaultConfig().MaxStateAge))
	})

	// The store is down and the lease has lapsed. A stage dies and its layers are
	// reassigned to another server. If that one checks fencing numbers it loads
	// them; if not, nothing changes until the lease is held again.
	It("go only to servers that check fencing numbers while the lease is lapsed", Label("failure:store-down"), func() {
		sim := newSimulation(1, func(i int) bool { return i < 2 }, 4)
		h := sim.startHolder(1, true, controller.Desired{Document: 1})
		sim.run(5 * time.Second)
		h.lease(lease.Lapsed, 1, true, -time.Second)
		h.step(controller.Desired{Document: 2, Chains: chains("v1", 0, 2)})
		sim.run(30 * time.Second)
		Expect(sim.servers["b01"].state.Loaded.Version).To(Equal("v1"))
		Expect(sim.servers["b02"].state.Loaded.Version).To(BeEmpty())
		Expect(sim.countServing("v1")).To(Equal(1))
		h.lease(lease.Held, 1, true, time.Hour)
		sim.run(30 * time.Second)
		Expect(sim.servers["b02"].state.Loaded.Version).To(Equal("v1"))
		Expect(sim.countServing("v1")).To(Equal(2))
	})

	// The holder's process is paused between two steps and the lease expires
	// meanwhile. No event reports this; the first step afterwards must not send
	// an order.
	It("stop when the clock passes the end of the lease", Label("failure:lease-lapses-while-paused"), func() {
		sim := newSimulation(1, never, 2)
		h := sim.startHolder(1, true, controller.Desired{Document: 1})
		sim.run(5 * time.Second)
		h.lease(lease.Held, 1, true, 5*time.Second)
		sim.now = sim.now.Add(40 * time.Second)
		h.step(controller.Desired{Document: 2, Chains: chains("v1", 0, 1)})
		sim.run(10 * time.Second)
		Expect(h.orders).To(BeEmpty())
	})

	// A server was read some time ago and another daemon has changed it since. An
	// order based on the old state would revert a change that the holder does not
	// know of.
	It("are based on a fresh state where fencing numbers are ignored", Label("failure:fencing-ignored"), func() {
		sim := newSimulation(1, never, 2)
		h := sim.startHolder(1, true, controller.Desired{Document: 1})
		sim.run(5 * time.Second)
		before := h.calls["b00"]
		h.step(controller.Desired{Document: 2, Chains: chains("v1", 0, 1)})
		Expect(h.orders).To(BeEmpty(), "the state is older than MaxStateAge")
		sim.run(5 * time.Second)
		Expect(h.calls["b00"][len(before):]).To(HavePrefix("ro"))
		sim.run(10 * time.Second)
		before = h.calls["b00"]
		h.step(controller.Desired{Document: 3})
		for sim.servers["b00"].state.Loaded.Version != "" {
			sim.run(tickInterval)
		}
		sim.run(time.Second)
		Expect(h.calls["b00"][len(before):]).To(HaveSuffix("or"), "the order is verified at once")
	})

	// The process is paused between deciding on an order and sending it. After the
	// pause the order would be sent first, long after a successor has sent its own
	// to the server. The order carries the end of the lease and is dropped.
	It("are not sent after the lease has expired", Label("failure:lease-lapses-while-paused"), func() {
		sim := newSimulation(1, never, 2)
		old := sim.startHolder(1, true, controller.Desired{Document: 1, Chains: chains("v1", 0, 1)})
		sim.run(20 * time.Second)
		old.lease(lease.Held, 1, true, 9*time.Second)
		old.pause = 40 * time.Second
		old.step(controller.Desired{Document: 2, Chains: chains("v2", 0, 1)})
		for old.calls["b00"][len(old.calls["b00"])-1] != 'o' {
			sim.run(tickInterval)
		}
		sim.run(10 * time.Second)
		old.lease(lease.None, 0, false, 0)
		sim.startHolder(2, false, controller.Desired{Document: 3, Chains: chains("v3", 0, 1)})
		sim.run(60 * time.Second)
		Expect(old.dropped).To(BeNumerically(">", 0))
		Expect(sim.servers["b00"].fencingNumbers).To(HaveExactElements(BeEquivalentTo(1), BeEquivalentTo(2)))
		Expect(sim.countServing("v3")).To(Equal(1))
	})

	It("set a role without a load and do not go to other services' servers", func() {
		sim := newSimulation(1, always, 4)
		sim.servers["b02"].state = controller.ServerState{Service: "other", Loaded: controller.Assignment{Model: "x"}}
		h := sim.startHolder(1, true, controller.Desired{Document: 1, Chains: chains("v1", 0, 2)})
		sim.run(20 * time.Second)
		Expect(sim.countServing("v1")).To(Equal(1))
		Expect(sim.servers["b02"].state.Service).To(BeEquivalentTo("other"))
		changed := chains("v1", 0, 1)
		changed[0].ID = "v1-decode"
		for i := range changed[0].Stages {
			changed[0].Stages[i].Assignment.Role = "decode"
		}
		before := len(h.orders)
		h.step(controller.Desired{Document: 2, Chains: changed})
		sim.run(30 * time.Second)
		Expect(sim.servers["b00"].state.Loaded.Role).To(Equal("decode"))
		for _, o := range h.orders[before:] {
			Expect(o.Kind).NotTo(Equal(controller.OrderLoad))
		}
	})
})

func defaultConfig() controller.Config { return controller.DefaultConfig(testService) }

// BenchmarkStep ticks a controller whose servers all have their targets, four
// times a second, and answers the reads of each tick.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := controller.New(defaultConfig())
			now := time.Unix(0, 0)
			var list []controller.Backend
			for i := range n {
				list = append(list, controller.Backend{ID: state.BackendID(fmt.Sprintf("b%02d", i))})
			}
			m.Step(now, controller.Backends{List: list})
			m.Step(now, controller.Desired{Document: 1, Chains: chains("v1", 0, n/2)})
			m.Step(now, controller.Lease{Status: lease.Status{State: lease.Held, Fencing: 1, Clean: true, Until: now.Add(10000 * time.Hour), TermID: "r"}})
			servers := map[state.BackendID]controller.ServerState{}
			answer := func(actions []controller.Action) {
				for len(actions) > 0 {
					a := actions[0]
					actions = actions[1:]
					switch a := a.(type) {
					case controller.ReadState:
						actions = append(actions, m.Step(now, controller.ReadResult{Call: a.Call, State: servers[a.Backend]})...)
					case controller.Order:
						servers[a.Backend] = controller.ServerState{Service: testService, Loaded: a.Assignment}
						actions = append(actions, m.Step(now, controller.OrderResult{Call: a.Call, Status: controller.StatusApplied, State: servers[a.Backend]})...)
					}
				}
			}
			answer(m.Step(now, controller.Adopt{}))
			for range 4 * n {
				now = now.Add(250 * time.Millisecond)
				answer(m.Step(now, controller.Tick{}))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				answer(m.Step(now, controller.Tick{}))
			}
		})
	}
}

// BenchmarkTakeover gives the lease of a service of up to 800 servers, which is
// one service's share of a site of 12,000, to a new holder. It reports, in virtual
// time, how long it takes until every server was read and has the new fencing
// number, and the rate of calls before and after that.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				sim := newSimulation(1, always, n)
				sim.cfg.GuaranteedLoads = n
				d := controller.Desired{Document: 1, Chains: chains("v1", 0, n/2)}
				old := sim.startHolder(1, true, d)
				sim.run(2 * time.Minute)
				if sim.countServing("v1") != n/2 {
					b.Fatal("not ready")
				}
				old.lease(lease.None, 0, false, 0)
				sim.reads, sim.cfg.GuaranteedLoads = 0, 4
				next := sim.startHolder(2, false, d)
				begin, fenced := sim.now, time.Duration(0)
				for fenced == 0 && sim.now.Sub(begin) < 10*time.Minute {
					sim.run(time.Second)
					if !slices.ContainsFunc(sim.ids(), func(id state.BackendID) bool { return sim.servers[id].state.Fencing < 2 }) {
						fenced = sim.now.Sub(begin)
					}
				}
				b.ReportMetric(fenced.Seconds(), "s-until-fenced")
				b.ReportMetric(float64(sim.reads+len(next.orders))/fenced.Seconds(), "calls/s-takeover")
				sim.reads = 0
				sim.run(time.Minute)
				b.ReportMetric(float64(sim.reads)/60, "reads/s-steady")
			}
		})
	}
}
