package layering_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/layering"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var (
	start  = time.Unix(1000, 0)
	engine = &fleet.Engine{
		Layers: 8, LayerMB: 1000, KVTokens: 10, TokenKB: 1, LoadTime: 8 * time.Second,
		Kinds: map[string]fleet.AcceleratorKind{"card": {MemoryMB: 4000}},
	}
)

// at returns the time ms after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// emptyEngines lists n engines without layers.
func emptyEngines(n int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		out = append(out, fleet.Server{ID: state.BackendID(id), Address: id, Domain: "a", Kind: "card"})
	}
	return out
}

// orders filters the orders out of actions.
func orders(actions []layering.Action) []layering.Order {
	var out []layering.Order
	for _, a := range actions {
		if o, ok := a.(layering.Order); ok {
			out = append(out, o)
		}
	}
	return out
}

// newMachine returns a machine that received the list of engines at the start.
func newMachine(servers []fleet.Server) *layering.Machine {
	m := layering.New()
	m.Step(at(0), layering.ServersListed{Service: "s", Engine: engine, Servers: servers})
	return m
}

// acquireLease gives the machine the lease at ms.
func acquireLease(m *layering.Machine, ms int) []layering.Action {
	return m.Step(at(ms), layering.LeaseAcquired{Fence: 7, Sent: at(ms)})
}

var _ = Describe("The layering machine", func() {
	It("acquires the lease before it orders anything", func() {
		m := newMachine(emptyEngines(4))
		Expect(m.Step(at(2000), layering.Tick{})).To(Equal([]layering.Action{layering.AcquireLease{}}))
		got := orders(acquireLease(m, 2010))
		Expect(got).To(HaveLen(4))
		Expect(got[0].Fence).To(Equal(state.FencingNumber(7)))
	})

	It("acquires no lease while nothing has to be ordered", func() {
		servers := emptyEngines(2)
		servers[0].Layers = fleet.Range{From: 0, To: 4}
		servers[1].Layers = fleet.Range{From: 4, To: 8}
		m := newMachine(servers)
		Expect(m.Step(at(5000), layering.Tick{})).To(BeEmpty())
	})

	// Guards against a layout that is computed from a partial list: when a site starts, engines
	// register one after the other, and a layout of the first half would place whole layers on one
	// engine.
	It("waits until the first list is stable", Label("failure:list-in-parts"), func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(1000), layering.ServersListed{Service: "s", Engine: engine, Servers: emptyEngines(4)})
		Expect(m.Step(at(2000), layering.Tick{})).To(BeEmpty())
		Expect(m.Step(at(2600), layering.Tick{})).NotTo(BeEmpty())
	})

	It("lets the daemons with a lower rank try first", func() {
		m := newMachine(emptyEngines(4))
		m.Step(at(10), layering.RankChanged{DaemonsAhead: 2})
		Expect(m.Step(at(2000), layering.Tick{})).To(BeEmpty())
		Expect(m.Step(at(3100), layering.Tick{})).To(ContainElement(layering.AcquireLease{}))
	})

	// Guards against orders without a lease: a lease holder is paused for 5 s while its lease
	// expires. It must not send its next order, since another daemon may hold the lease by then and
	// engines know a higher fencing number.
	It("sends no order after its lease has expired", Label("failure:lease-lapses-while-paused"), func() {
		m := newMachine(emptyEngines(4))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		for _, o := range first {
			m.Step(at(2020), layering.OrderResult{Server: o.Server.Incarnation(), Outcome: layering.Unanswered})
			Expect(o.SendBefore).To(BeTemporally("<", at(2010).Add(layering.LeaseDuration)))
		}
		resumed := m.Step(at(7000), layering.Tick{})
		Expect(orders(resumed)).To(BeEmpty())
		Expect(resumed).To(ContainElement(layering.AcquireLease{}))
	})

	// Guards against an order that is carried out twice: the answer is lost or delayed, and the
	// engine carries the order out seconds later. The repeated order names the same number of
	// orders, so that only one of the two can start.
	It("repeats an unanswered order with the same order count", Label("failure:order-unanswered"), func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		Expect(first).To(HaveLen(2))
		m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Unanswered})
		again := orders(m.Step(at(2800), layering.Tick{}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Incarnation()).To(Equal(first[0].Server.Incarnation()))
		Expect(again[0].OrderCount).To(Equal(first[0].OrderCount))
		Expect(again[0].Layers).To(Equal(first[0].Layers))
	})

	// Guards against a delay of 0.7 s for each engine when another daemon takes over the lease: it
	// does not know the engines' order counts and has to learn them from conflicts. Missing layers
	// are ordered as soon as a conflict reports the count.
	It("learns the engine's order count from a conflict, and orders at once", func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		again := orders(m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Conflict, Known: true, OrderCount: 3}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Incarnation()).To(Equal(first[0].Server.Incarnation()))
		Expect(again[0].OrderCount).To(Equal(uint64(3)))
	})

	// Guards against layers that are missing for a load time and several seconds more: an engine
	// restarts under its name while it loads layers. The order to its former incarnation counted as
	// pending, and the order count of that incarnation was sent with the next order.
	It("sends orders to a new incarnation at once, with an order count of zero", Label("failure:restarts-under-its-name"), func() {
		engines := emptyEngines(2)
		m := newMachine(slices.Clone(engines))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Accepted})
		m.Step(at(2021), layering.OrderResult{Server: first[1].Server.Incarnation(), Outcome: layering.Accepted})
		for i := range engines {
			if engines[i].ID == first[0].Server.ID {
				engines[i].Born++
			}
		}
		m.Step(at(2100), layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(engines)})
		again := orders(m.Step(at(2400), layering.Tick{}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Born).To(Equal(first[0].Server.Born + 1))
		Expect(again[0].Layers).To(Equal(first[0].Layers))
		Expect(again[0].OrderCount).To(BeZero())
	})

	It("waits after a conflict that reports nothing new", func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		conflict := layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Conflict, Known: true, OrderCount: 3}
		m.Step(at(2020), conflict)
		Expect(orders(m.Step(at(2030), conflict))).To(BeEmpty())
		Expect(orders(m.Step(at(2800), layering.Tick{}))).To(HaveLen(1))
		busy := layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Conflict, Known: true, OrderCount: 4, Busy: true}
		Expect(orders(m.Step(at(2810), busy))).To(BeEmpty())
	})

	It("gives up its lease when an engine knows a higher fencing number", func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Fenced})
		Expect(m.HoldsLease(at(2021))).To(BeFalse())
	})

	It("waits for the lease of another daemon to expire", func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(2000), layering.Tick{})
		m.Step(at(2010), layering.LeaseNotAcquired{HeldFor: 2 * time.Second})
		Expect(m.Step(at(3900), layering.Tick{})).To(BeEmpty())
		Expect(m.Step(at(4100), layering.Tick{})).To(ContainElement(layering.AcquireLease{}))
	})
})
