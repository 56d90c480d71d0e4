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

// TestRolloutCutsNothing rolls a version out under traffic, lost calls and
// answers, with and without spare servers and on both kinds of servers. No server
// may be ordered while a request runs on it, the table never falls below capacity
// (with spares) or one below it (without), and the roll-out ends.
func TestRolloutCutsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "replicas")
		spare := rapid.Bool().Draw(t, "spare")
		servers, first := 2*n, 0
		if spare {
			servers, first = 4*n, 2*n
		}
		checks := rapid.Bool().Draw(t, "checks")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), func(int) bool { return checks }, servers)
		h := w.hold(1, true, controller.Desired{Document: 1, Chains: chains("v1", 0, n)})
		w.run(60 * time.Second)
		if w.serving("v1") != n {
			t.Fatalf("%d of %d replicas are ready", w.serving("v1"), n)
		}
		w.lost = rapid.Float64Range(0, 0.2).Draw(t, "lost")
		w.longest = rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 20 * time.Second}).Draw(t, "longest")
		w.run(10 * time.Second)
		h.step(controller.Desired{Document: 2, Chains: chains("v2", first, n)})
		least := n
		for range 6000 {
			w.run(tickOf)
			least = min(least, w.serving(""))
			if w.serving("v2") == n && len(w.table.Replicas) == n {
				break
			}
		}
		if w.broken != "" {
			t.Fatal(w.broken)
		}
		if w.serving("v2") != n || len(w.table.Replicas) != n {
			t.Fatalf("the roll-out did not end: %+v", w.table.Replicas)
		}
		if (spare && least < n) || least < n-1 {
			t.Fatalf("%d replicas served while %d were asked for", least, n)
		}
		if w.loading > w.cfg.GuaranteedLoads {
			t.Fatalf("%d loads at one time", w.loading)
		}
	})
}

// overtake runs a first holder until its replica is ready, holds up an order of
// its next version for delay, and gives the lease to a second holder, which wants
// another version. It returns for how long that order's server held the wrong version.
func overtake(seed uint64, checks func(int) bool, version string, delay, run time.Duration) (*world, *holder, time.Duration) {
	w := newWorld(seed, checks, 2)
	v1 := controller.Desired{Document: 1, Chains: chains("v1", 0, 1)}
	old := w.hold(1, true, v1)
	w.run(30*time.Second + time.Duration(seed%20)*500*time.Millisecond)
	old.holdUp = delay
	// The next version's chain takes the place of the first's at once: both use
	// the same servers, and nothing runs there.
	old.step(controller.Desired{Document: 2, Chains: chains("v2", 0, 1)})
	for range 400 {
		w.run(tickOf)
		if old.holdUp == 0 {
			break
		}
	}
	old.lease(lease.None, 0, false, 0)
	w.hold(2, false, controller.Desired{Document: 3, Chains: chains(version, 0, 1)})
	wrong := time.Duration(0)
	for until := w.now.Add(run); w.now.Before(until); {
		w.run(tickOf)
		if w.servers[old.heldUp].state.Loaded.Version == "v2" {
			wrong += tickOf
		}
	}
	return w, old, wrong
}

var _ = Describe("orders", func() {
	// A holder is paused after it has sent an order; a successor takes the lease
	// and orders; then the old order arrives. Callers would meet a server with
	// another version's layers. The server knows the higher number and refuses, even
	// where the successor had nothing to change.
	It("of a stale holder are refused by servers that check numbers", Label("failure:stale-holder-acts"), func() {
		w, old, wrong := overtake(3, always, "v1", 40*time.Second, 60*time.Second)
		Expect(old.heldUp).NotTo(BeEmpty())
		Expect(wrong).To(BeZero())
		Expect(w.servers["b00"].state.Loaded.Version).To(Equal("v1"))
		Expect(w.servers["b01"].state.Loaded.Version).To(Equal("v1"))
		Expect(w.servers["b00"].state.Fencing).To(BeEquivalentTo(2))
	})

	// The same on servers that ignore numbers, and the order comes within the
	// longest time that orders take: the successor waits that out, so its own
	// orders come last.
	It("of a former holder are waited out", Label("failure:fencing-ignored"), func() {
		for seed := range uint64(20) {
			w, _, _ := overtake(seed, never, "v3", w0().MaxOrderDelay-time.Second, 60*time.Second)
			next := w.holders[1]
			for id, f := range w.servers {
				Expect(slices.IsSorted(f.numbers)).To(BeTrue(), "%s took %v", id, f.numbers)
				Expect(f.numbers).To(ContainElement(BeEquivalentTo(2)))
				Expect(next.calls[id]).To(MatchRegexp("^(r+or)+r*$"), "a read before and after each order")
			}
			for _, o := range next.orders {
				Expect(o.NotAfter).NotTo(BeZero())
			}
			Expect(w.servers["b00"].state.Loaded.Version).To(Equal("v3"))
			Expect(w.serving("v3")).To(Equal(1))
		}
	})

	// The same, but the order was held up for far longer, in a network or a
	// paused process. It takes effect and can't be prevented. The successor finds
	// it by its regular reads and orders the server back.
	It("that no number can stop are found and undone", Label("failure:fencing-ignored"), func() {
		var stood []time.Duration
		for seed := range uint64(40) {
			w, _, wrong := overtake(seed, never, "v1", 60*time.Second+time.Duration(seed)*370*time.Millisecond, 150*time.Second)
			Expect(w.servers["b00"].state.Loaded.Version).To(Equal("v1"))
			Expect(w.serving("v1")).To(Equal(1))
			stood = append(stood, wrong)
		}
		slices.Sort(stood)
		AddReportEntry("a stale order stood: median, longest", fmt.Sprint(stood[len(stood)/2], stood[len(stood)-1]))
		Expect(stood[0]).To(BeNumerically(">", 0), "the order must have taken effect")
		Expect(stood[len(stood)-1]).To(BeNumerically("<=", w0().ReconcileInterval+w0().MaxStateAge))
	})

	// The store is down and the lease has lapsed. A stage dies and its layers are
	// to go to another server: on one that checks numbers they do, on one that
	// does not nothing moves until the lease is held again.
	It("go only to servers that check numbers while the lease is lapsed", Label("failure:store-down"), func() {
		w := newWorld(1, func(i int) bool { return i < 2 }, 4)
		h := w.hold(1, true, controller.Desired{Document: 1})
		w.run(5 * time.Second)
		h.lease(lease.Lapsed, 1, true, -time.Second)
		h.step(controller.Desired{Document: 2, Chains: chains("v1", 0, 2)})
		w.run(30 * time.Second)
		Expect(w.servers["b01"].state.Loaded.Version).To(Equal("v1"))
		Expect(w.servers["b02"].state.Loaded.Version).To(BeEmpty())
		Expect(w.serving("v1")).To(Equal(1))
		h.lease(lease.Held, 1, true, time.Hour)
		w.run(30 * time.Second)
		Expect(w.servers["b02"].state.Loaded.Version).To(Equal("v1"))
		Expect(w.serving("v1")).To(Equal(2))
	})

	// The holder's process stands still between two steps and the lease runs out
	// meanwhile. No event says so; the first step afterwards must not order.
	It("stop by the clock alone", Label("failure:lease-lapses-while-paused"), func() {
		w := newWorld(1, never, 2)
		h := w.hold(1, true, controller.Desired{Document: 1})
		w.run(5 * time.Second)
		h.lease(lease.Held, 1, true, 5*time.Second)
		w.now = w.now.Add(40 * time.Second)
		h.step(controller.Desired{Document: 2, Chains: chains("v1", 0, 1)})
		w.run(10 * time.Second)
		Expect(h.orders).To(BeEmpty())
	})

	// A server was read a while ago and another daemon changed it since, unseen.
	// An order that rests on the old state would undo what it does not know of.
	It("rest on a fresh state where numbers are ignored", Label("failure:fencing-ignored"), func() {
		w := newWorld(1, never, 2)
		h := w.hold(1, true, controller.Desired{Document: 1})
		w.run(5 * time.Second)
		before := h.calls["b00"]
		h.step(controller.Desired{Document: 2, Chains: chains("v1", 0, 1)})
		Expect(h.orders).To(BeEmpty(), "the state is older than ReadFresh")
		w.run(5 * time.Second)
		Expect(h.calls["b00"][len(before):]).To(HavePrefix("ro"))
		w.run(10 * time.Second)
		before = h.calls["b00"]
		h.step(controller.Desired{Document: 3})
		for w.servers["b00"].state.Loaded.Version != "" {
			w.run(tickOf)
		}
		w.run(time.Second)
		Expect(h.calls["b00"][len(before):]).To(HaveSuffix("or"), "the order is verified at once")
	})

	// The pause falls between the decision on an order and its sending: when the
	// process runs on, the order would leave first of all, long after a successor
	// has ordered the server. It carries the end of the lease and is dropped.
	It("do not leave after the lease has run out", Label("failure:lease-lapses-while-paused"), func() {
		w := newWorld(1, never, 2)
		old := w.hold(1, true, controller.Desired{Document: 1, Chains: chains("v1", 0, 1)})
		w.run(20 * time.Second)
		old.lease(lease.Held, 1, true, 9*time.Second)
		old.pause = 40 * time.Second
		old.step(controller.Desired{Document: 2, Chains: chains("v2", 0, 1)})
		for old.calls["b00"][len(old.calls["b00"])-1] != 'o' {
			w.run(tickOf)
		}
		w.run(10 * time.Second)
		old.lease(lease.None, 0, false, 0)
		w.hold(2, false, controller.Desired{Document: 3, Chains: chains("v3", 0, 1)})
		w.run(60 * time.Second)
		Expect(old.dropped).To(BeNumerically(">", 0))
		Expect(w.servers["b00"].numbers).To(HaveExactElements(BeEquivalentTo(1), BeEquivalentTo(2)))
		Expect(w.serving("v3")).To(Equal(1))
	})

	It("set a role without a load and leave other services' servers alone", func() {
		w := newWorld(1, always, 4)
		w.servers["b02"].state = controller.ServerState{Service: "other", Loaded: controller.Assignment{Model: "x"}}
		h := w.hold(1, true, controller.Desired{Document: 1, Chains: chains("v1", 0, 2)})
		w.run(20 * time.Second)
		Expect(w.serving("v1")).To(Equal(1))
		Expect(w.servers["b02"].state.Service).To(BeEquivalentTo("other"))
		changed := chains("v1", 0, 1)
		changed[0].ID = "v1-decode"
		for i := range changed[0].Stages {
			changed[0].Stages[i].Assignment.Role = "decode"
		}
		before := len(h.orders)
		h.step(controller.Desired{Document: 2, Chains: changed})
		w.run(30 * time.Second)
		Expect(w.servers["b00"].state.Loaded.Role).To(Equal("decode"))
		for _, o := range h.orders[before:] {
			Expect(o.Kind).NotTo(Equal(controller.OrderLoad))
		}
	})
})

func w0() controller.Config { return controller.DefaultConfig(drafts) }

// BenchmarkStep ticks a controller whose servers are all as they should be, four
// times a second, and answers the reads that each tick asks for.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := controller.New(w0())
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
						servers[a.Backend] = controller.ServerState{Service: drafts, Loaded: a.Assignment}
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

// BenchmarkTakeover gives the lease of a service of 800 servers, its part of a
// site of 12,000, to a new holder and reports, in virtual time, how long it takes
// until every server was read and fenced, and the calls a second before and after.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(1, always, n)
				w.cfg.GuaranteedLoads = n
				d := controller.Desired{Document: 1, Chains: chains("v1", 0, n/2)}
				old := w.hold(1, true, d)
				w.run(2 * time.Minute)
				if w.serving("v1") != n/2 {
					b.Fatal("not ready")
				}
				old.lease(lease.None, 0, false, 0)
				w.reads, w.cfg.GuaranteedLoads = 0, 4
				next := w.hold(2, false, d)
				begin, fenced := w.now, time.Duration(0)
				for fenced == 0 && w.now.Sub(begin) < 10*time.Minute {
					w.run(time.Second)
					if !slices.ContainsFunc(w.ids(), func(id state.BackendID) bool { return w.servers[id].state.Fencing < 2 }) {
						fenced = w.now.Sub(begin)
					}
				}
				b.ReportMetric(fenced.Seconds(), "s-until-fenced")
				b.ReportMetric(float64(w.reads+len(next.orders))/fenced.Seconds(), "calls/s-takeover")
				w.reads = 0
				w.run(time.Minute)
				b.ReportMetric(float64(w.reads)/60, "reads/s-steady")
			}
		})
	}
}
