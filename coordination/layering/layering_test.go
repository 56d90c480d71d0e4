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
		Kinds: map[string]fleet.CardKind{"card": {MemoryMB: 4000}},
	}
)

// at is a moment of the story, in ms.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// empty lists n engines without layers.
func empty(n int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		out = append(out, fleet.Server{ID: state.BackendID(id), Address: id, Domain: "a", Kind: "card"})
	}
	return out
}

// orders picks the orders out of actions.
func orders(actions []layering.Action) []layering.Order {
	var out []layering.Order
	for _, a := range actions {
		if o, ok := a.(layering.Order); ok {
			out = append(out, o)
		}
	}
	return out
}

// settled returns a machine that has the list of engines, at 2000 ms.
func settled(servers []fleet.Server) *layering.Machine {
	m := layering.New()
	m.Step(at(0), layering.ServersListed{Service: "s", Engine: engine, Servers: servers})
	return m
}

// hold gives the machine the lease at ms.
func hold(m *layering.Machine, ms int) []layering.Action {
	return m.Step(at(ms), layering.LeaseAcquired{Fence: 7, Sent: at(ms)})
}

var _ = Describe("The duty of layers", func() {
	It("takes the lease before it orders anything", func() {
		m := settled(empty(4))
		Expect(m.Step(at(2000), layering.Tick{})).To(Equal([]layering.Action{layering.AcquireLease{}}))
		got := orders(hold(m, 2010))
		Expect(got).To(HaveLen(4))
		Expect(got[0].Fence).To(Equal(state.FencingNumber(7)))
	})

	It("takes no lease while all is as it should be", func() {
		servers := empty(2)
		servers[0].Layers = fleet.Range{From: 0, To: 4}
		servers[1].Layers = fleet.Range{From: 4, To: 8}
		m := settled(servers)
		Expect(m.Step(at(5000), layering.Tick{})).To(BeEmpty())
	})

	// At the start of a site the engines list themselves one after the other. A
	// layout drawn from the first half would leave whole layers on one card. Cause:
	// the list comes in parts.
	It("waits until a first list has stood still", Label("failure:list-in-parts"), func() {
		m := settled(empty(2))
		m.Step(at(1000), layering.ServersListed{Service: "s", Engine: engine, Servers: empty(4)})
		Expect(m.Step(at(2000), layering.Tick{})).To(BeEmpty())
		Expect(m.Step(at(2600), layering.Tick{})).NotTo(BeEmpty())
	})

	It("lets the daemons before it try first", func() {
		m := settled(empty(4))
		m.Step(at(10), layering.RankChanged{DaemonsAhead: 2})
		Expect(m.Step(at(2000), layering.Tick{})).To(BeEmpty())
		Expect(m.Step(at(3100), layering.Tick{})).To(ContainElement(layering.AcquireLease{}))
	})

	// A holder is paused for 5 s and wakes. Its next order is not sent: another
	// daemon may hold the lease by then, and engines know a higher number. Cause:
	// the lease lapsed while the process did not run.
	It("gives no order after its lease has run out", Label("failure:lease-lapses-while-paused"), func() {
		m := settled(empty(4))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		for _, o := range first {
			m.Step(at(2020), layering.OrderResult{Server: o.Server.Life(), Outcome: layering.Unanswered})
			Expect(o.SendBefore).To(BeTemporally("<", at(2010).Add(layering.LeaseDuration)))
		}
		woken := m.Step(at(7000), layering.Tick{})
		Expect(orders(woken)).To(BeEmpty())
		Expect(woken).To(ContainElement(layering.AcquireLease{}))
	})

	// An order gets no answer, but the engine carries it out seconds later. The
	// repeat must not be begun beside it. Cause: the answer was lost or delayed;
	// both name the same number of orders, so that only one can begin.
	It("repeats an unanswered order with the same number of orders", Label("failure:order-unanswered"), func() {
		m := settled(empty(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		Expect(first).To(HaveLen(2))
		m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Unanswered})
		again := orders(m.Step(at(2800), layering.Tick{}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Life()).To(Equal(first[0].Server.Life()))
		Expect(again[0].OrderCount).To(Equal(first[0].OrderCount))
		Expect(again[0].Layers).To(Equal(first[0].Layers))
	})

	// Another daemon takes the lease over. Layers that nobody holds are ordered at
	// once. Cause: it did not know the engines' numbers of orders, and waited 0.7 s
	// after each had told.
	It("learns from a conflict how many orders the engine has begun, and orders at once", func() {
		m := settled(empty(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		again := orders(m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Conflict, Known: true, OrderCount: 3}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Life()).To(Equal(first[0].Server.Life()))
		Expect(again[0].OrderCount).To(Equal(uint64(3)))
	})

	// An engine starts again under its name while it loads layers. Callers miss these
	// layers for the time of the load and some seconds more. Cause: the order that its
	// former life was carrying out counted as under way, and the count of orders that
	// it had told was sent with the next one.
	It("orders a new life at once, as one that has begun no order", Label("failure:restarts-under-its-name"), func() {
		engines := empty(2)
		m := settled(slices.Clone(engines))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Accepted})
		m.Step(at(2021), layering.OrderResult{Server: first[1].Server.Life(), Outcome: layering.Accepted})
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

	It("waits after a conflict that tells nothing new", func() {
		m := settled(empty(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		conflict := layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Conflict, Known: true, OrderCount: 3}
		m.Step(at(2020), conflict)
		Expect(orders(m.Step(at(2030), conflict))).To(BeEmpty())
		Expect(orders(m.Step(at(2800), layering.Tick{}))).To(HaveLen(1))
		busy := layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Conflict, Known: true, OrderCount: 4, Busy: true}
		Expect(orders(m.Step(at(2810), busy))).To(BeEmpty())
	})

	It("gives up its lease when an engine knows a higher fencing number", func() {
		m := settled(empty(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		m.Step(at(2020), layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Fenced})
		Expect(m.HoldsLease(at(2021))).To(BeFalse())
	})

	It("waits for the lease of another daemon to run out", func() {
		m := settled(empty(2))
		m.Step(at(2000), layering.Tick{})
		m.Step(at(2010), layering.LeaseNotAcquired{HeldFor: 2 * time.Second})
		Expect(m.Step(at(3900), layering.Tick{})).To(BeEmpty())
		Expect(m.Step(at(4100), layering.Tick{})).To(ContainElement(layering.AcquireLease{}))
	})
})
