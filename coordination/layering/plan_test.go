package layering_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/layering"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// arrival is an event in transit to a machine.
type arrival struct {
	at    time.Time
	event layering.Event
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// largeSite lists 3,000 engines in three failure domains.
func largeSite() []fleet.Server {
	servers := emptyEngines(3000)
	for i := range servers {
		servers[i].Domain = state.FailureDomain("abc"[i%3 : i%3+1])
	}
	return servers
}

var _ = Describe("A daemon in front of thousands of engines", func() {
	// Guards against full CPUs on all daemons after a start, while callers of 300 daemons wait for
	// seconds: 3,000 engines are listed, each daemon processes hundreds of messages per second, and
	// every daemon laid out all engines again for each message.
	It("does not plan again if nothing has changed", Label("failure:planned-at-each-event"), func() {
		m := newMachine(largeSite())
		m.Step(at(2000), layering.Tick{})
		Expect(m.Step(at(2010), layering.LeaseNotAcquired{HeldFor: time.Hour})).To(BeEmpty())
		now := at(2020)
		Expect(testing.AllocsPerRun(100, func() { m.Step(now, layering.Tick{}) })).To(BeZero())
	})

	// Guards against a lease holder that spends seconds on the answers to its orders, so that a new
	// configuration takes effect late.
	It("does not plan again for an order that an engine has accepted", Label("failure:planned-at-each-answer"), func() {
		m := newMachine(largeSite())
		m.Step(at(2000), layering.Tick{})
		sent := orders(acquireLease(m, 2010))
		m.Step(at(2011), layering.Tick{})
		now, i := at(2020), 0
		answer := func() {
			sent = append(sent, orders(m.Step(now, layering.OrderResult{Server: sent[i].Server.Incarnation(), Outcome: layering.Accepted}))...)
			i++
		}
		Expect(testing.AllocsPerRun(200, answer)).To(BeNumerically("<", 10))
	})

	// Guards against a configuration that takes effect late at the daemon that sends the orders,
	// since it is queued behind the answers to them. Runs in virtual time with the CPU share of a
	// daemon.
	It("processes other events in time while it receives the answers to its orders", Label("failure:planned-at-each-answer"), func() {
		const (
			share      = 0.4                    // of a core
			eventTime  = 50 * time.Microsecond  // CPU time without a layout
			layoutTime = 2 * time.Millisecond   // CPU time of a layout of 3,000 engines
			answerTime = 5 * time.Millisecond   // until an engine has answered
			configAt   = 300 * time.Millisecond // when a configuration arrives, after the first order
			bound      = 2 * time.Second
		)
		m := newMachine(largeSite())
		m.Step(at(2000), layering.Tick{})
		start := at(2010)
		now := start
		var answers []arrival
		step := func(ev layering.Event) {
			before := m.PlanCount()
			sent := orders(m.Step(now, ev))
			used := eventTime + time.Duration(m.PlanCount()-before)*layoutTime
			now = now.Add(time.Duration(float64(used) / share))
			for _, o := range sent {
				answers = append(answers, arrival{now.Add(answerTime), layering.OrderResult{Server: o.Server.Incarnation(), Outcome: layering.Accepted}})
			}
		}
		step(layering.LeaseAcquired{Fence: 7, Sent: start})
		for len(answers) > 0 && !answers[0].at.After(start.Add(configAt)) {
			now = later(now, answers[0].at)
			ev := answers[0].event
			answers = answers[1:]
			step(ev)
		}
		Expect(now.Sub(start.Add(configAt))).To(BeNumerically("<", bound))
	})

	// Guards against thousands of simultaneous connections and goroutines, which delay the requests
	// that the lease holder serves.
	It("limits the number of unanswered orders", Label("failure:ordered-all-at-once"), func() {
		m := newMachine(largeSite())
		m.Step(at(2000), layering.Tick{})
		waiting := orders(acquireLease(m, 2010))
		ordered := make(map[state.BackendIncarnation]bool)
		for now := at(2011); len(waiting) > 0; now = now.Add(100 * time.Microsecond) {
			Expect(len(waiting)).To(BeNumerically("<=", 256))
			Expect(ordered).NotTo(HaveKey(waiting[0].Server.Incarnation()))
			ordered[waiting[0].Server.Incarnation()] = true
			waiting = append(waiting[1:], orders(m.Step(now, layering.OrderResult{Server: waiting[0].Server.Incarnation(), Outcome: layering.Accepted}))...)
		}
		Expect(ordered).To(HaveLen(3000))
	})

	// Guards against hundreds of daemons that spend their CPU time on layouts that only one of them
	// orders, while callers wait.
	It("processes a constantly changing list less often the higher its rank", Label("failure:planned-by-all"), func() {
		m := layering.New()
		servers := largeSite()
		m.Step(at(0), layering.RankChanged{DaemonsAhead: 200})
		m.Step(at(0), layering.ServersListed{Service: "s", Engine: engine, Servers: servers})
		now := at(60)
		allocs := testing.AllocsPerRun(10, func() {
			m.Step(now, layering.ServersListed{Service: "s", Engine: engine, Servers: servers})
		})
		Expect(allocs).To(BeNumerically("<", 10))
	})

	// Guards against layers that are never ordered because the daemons with the lowest ranks cannot
	// reach the store.
	It("acquires the lease at most a quarter of its rank delay late", Label("failure:first-in-turn-cut-off"), func() {
		const (
			before   = 6
			rankWait = before * 500 // ms
		)
		m := layering.New()
		m.Step(at(0), layering.RankChanged{DaemonsAhead: before})
		now := 0
		acquires := func(ev layering.Event) bool {
			return slices.Contains(m.Step(at(now), ev), layering.Action(layering.AcquireLease{}))
		}
		engines := emptyEngines(4)
		for i := range engines {
			engines[i].Layers = fleet.Range{From: 4 * (i % 2), To: 4*(i%2) + 4}
		}
		for ; now < 3000; now += 50 {
			Expect(acquires(layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(engines)})).To(BeFalse())
		}
		engines[0].Layers = fleet.Range{}
		lost := now
		Expect(acquires(layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(engines)})).To(BeFalse())
		for now < lost+rankWait {
			Expect(acquires(layering.Tick{})).To(BeFalse())
			now += 10
		}
		for !acquires(layering.Tick{}) {
			Expect(now).To(BeNumerically("<=", lost+rankWait*5/4+200), "including the settle time of the list")
			now += 10
		}
	})

	// Guards against engines that stay without layers until the load time of an order that was
	// never sent has passed.
	It("plans again at once after an order that was not sent because its lease ended", Label("failure:order-kept-back"), func() {
		m := newMachine(emptyEngines(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(acquireLease(m, 2010))
		late := m.Step(at(5000), layering.OrderResult{Server: first[0].Server.Incarnation(), Outcome: layering.Expired})
		Expect(late).To(ContainElement(layering.AcquireLease{}))
		again := orders(m.Step(at(5010), layering.LeaseAcquired{Fence: 8, Sent: at(5000)}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Incarnation()).To(Equal(first[0].Server.Incarnation()))
		Expect(again[0].OrderCount).To(Equal(first[0].OrderCount))
	})
})

// TestCachedPlanMatchesFreshPlan checks that a cached plan equals a newly computed one: events
// between which nothing is planned again yield the same orders as with a new list before each
// event.
func TestCachedPlanMatchesFreshPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cached, fresh := layering.New(), layering.New()
		servers := emptyEngines(rapid.IntRange(1, 6).Draw(t, "engines"))
		for _, m := range []*layering.Machine{cached, fresh} {
			m.Step(at(0), layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(servers)})
		}
		var sent []layering.Order
		ms := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			ms += rapid.SampledFrom([]int{1, 50, 199, 200, 201, 700, 1500, 2100}).Draw(t, "later")
			ev := drawEvent(t, ms, &servers, sent)
			if _, ok := ev.(layering.ServersListed); !ok {
				fresh.Step(at(ms-1), layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(servers)})
				cached.Step(at(ms-1), layering.Tick{})
			}
			got, want := cached.Step(at(ms), ev), fresh.Step(at(ms), ev)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("at %d ms, after %T: %v, with a new plan %v", ms, ev, got, want)
			}
			sent = append(sent, orders(got)...)
		}
	})
}

// drawEvent generates an event for a machine that knows servers and has sent orders.
func drawEvent(t *rapid.T, ms int, servers *[]fleet.Server, sent []layering.Order) layering.Event {
	listed := func() layering.Event {
		return layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(*servers)}
	}
	i := rapid.IntRange(0, len(*servers)-1).Draw(t, "engine")
	switch rapid.SampledFrom([]string{"tick", "list", "leaves", "loads", "lease", "no lease", "answer", "restarts"}).Draw(t, "event") {
	case "list":
		return listed()
	case "leaves":
		(*servers)[i].Draining = true
		return listed()
	case "loads":
		(*servers)[i].Layers = rapid.SampledFrom([]fleet.Range{{From: 0, To: 4}, {From: 4, To: 8}, {}}).Draw(t, "layers")
		return listed()
	case "restarts":
		(*servers)[i].Born++
		(*servers)[i].Layers = fleet.Range{}
		return listed()
	case "lease":
		return layering.LeaseAcquired{Fence: 7, Sent: at(ms)}
	case "no lease":
		return layering.LeaseNotAcquired{HeldFor: time.Second}
	case "answer":
		if len(sent) > 0 {
			o := rapid.SampledFrom(sent).Draw(t, "order")
			return layering.OrderResult{
				Server: o.Server.Incarnation(), Outcome: rapid.SampledFrom([]layering.OrderOutcome{layering.Accepted, layering.Unanswered, layering.Conflict, layering.Fenced}).Draw(t, "end"),
				Known: rapid.Bool().Draw(t, "known"), OrderCount: rapid.Uint64Range(0, 3).Draw(t, "orders"),
			}
		}
	}
	return layering.Tick{}
}

// BenchmarkTick measures one event at a daemon that waits for its turn to order 3,000 engines.
func BenchmarkTick(b *testing.B) {
	m := newMachine(largeSite())
	m.Step(at(2000), layering.Tick{})
	m.Step(at(2010), layering.LeaseNotAcquired{HeldFor: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		m.Step(at(2020), layering.Tick{})
	}
}
