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

// arrival is an event on its way to a machine.
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

// large lists 3,000 engines of three failure domains.
func large() []fleet.Server {
	servers := empty(3000)
	for i := range servers {
		servers[i].Domain = state.FailureDomain("abc"[i%3 : i%3+1])
	}
	return servers
}

var _ = Describe("A daemon before thousands of engines", func() {
	// Callers of 300 daemons wait for seconds after a start, and all daemons use their whole
	// processors. Order: 3,000 engines are listed, and each daemon sees some hundred messages
	// a second. Cause: at each of them every daemon laid out all engines anew.
	It("plans nothing anew where nothing happened", Label("failure:planned-at-each-event"), func() {
		m := settled(large())
		m.Step(at(2000), layering.Tick{})
		Expect(m.Step(at(2010), layering.LeaseNotAcquired{HeldFor: time.Hour})).To(BeEmpty())
		now := at(2020)
		Expect(testing.AllocsPerRun(100, func() { m.Step(now, layering.Tick{}) })).To(BeZero())
	})

	// Guards against a holder that is busy with the answers to its orders for seconds: a
	// configuration that it is told of meanwhile is in force late.
	It("lays out nothing anew for an order that an engine has begun", Label("failure:planned-at-each-answer"), func() {
		m := settled(large())
		m.Step(at(2000), layering.Tick{})
		sent := orders(hold(m, 2010))
		m.Step(at(2011), layering.Tick{})
		now, i := at(2020), 0
		answer := func() {
			sent = append(sent, orders(m.Step(now, layering.OrderResult{Server: sent[i].Server.Life(), Outcome: layering.Accepted}))...)
			i++
		}
		Expect(testing.AllocsPerRun(200, answer)).To(BeNumerically("<", 10))
	})

	// Guards against a configuration that is in force late at the daemon which gives the orders:
	// it waits behind the answers to them. In virtual time, on the processor that a daemon has.
	It("takes up what comes beside the answers to its orders in time", Label("failure:planned-at-each-answer"), func() {
		const (
			share      = 0.4                    // of a core
			eventTime  = 50 * time.Microsecond  // of the processor, without a layout
			layoutTime = 2 * time.Millisecond   // the same, of 3,000 engines
			answerTime = 5 * time.Millisecond   // until an engine has answered
			told       = 300 * time.Millisecond // when a configuration comes, after the first order
			bound      = 2 * time.Second
		)
		m := settled(large())
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
				answers = append(answers, arrival{now.Add(answerTime), layering.OrderResult{Server: o.Server.Life(), Outcome: layering.Accepted}})
			}
		}
		step(layering.LeaseAcquired{Fence: 7, Sent: start})
		for len(answers) > 0 && !answers[0].at.After(start.Add(told)) {
			now = later(now, answers[0].at)
			ev := answers[0].event
			answers = answers[1:]
			step(ev)
		}
		Expect(now.Sub(start.Add(told))).To(BeNumerically("<", bound))
	})

	// Guards against thousands of connections and goroutines at a time, beside which a holder
	// serves its requests late.
	It("has no more than some hundred orders wait for their answers", Label("failure:ordered-all-at-once"), func() {
		m := settled(large())
		m.Step(at(2000), layering.Tick{})
		waiting := orders(hold(m, 2010))
		ordered := make(map[state.Life]bool)
		for now := at(2011); len(waiting) > 0; now = now.Add(100 * time.Microsecond) {
			Expect(len(waiting)).To(BeNumerically("<=", 256))
			Expect(ordered).NotTo(HaveKey(waiting[0].Server.Life()))
			ordered[waiting[0].Server.Life()] = true
			waiting = append(waiting[1:], orders(m.Step(now, layering.OrderResult{Server: waiting[0].Server.Life(), Outcome: layering.Accepted}))...)
		}
		Expect(ordered).To(HaveLen(3000))
	})

	// Guards against hundreds of daemons that spend their processors on layouts which only
	// one of them orders, while callers wait.
	It("looks at a list that changes all the time only as often as its turn is near", Label("failure:planned-by-all"), func() {
		m := layering.New()
		servers := large()
		m.Step(at(0), layering.RankChanged{DaemonsAhead: 200})
		m.Step(at(0), layering.ServersListed{Service: "s", Engine: engine, Servers: servers})
		now := at(60)
		allocs := testing.AllocsPerRun(10, func() {
			m.Step(now, layering.ServersListed{Service: "s", Engine: engine, Servers: servers})
		})
		Expect(allocs).To(BeNumerically("<", 10))
	})

	// Guards against layers that nobody orders where the daemons that are first in turn can't
	// reach the store.
	It("takes its turn a quarter late at the most", Label("failure:first-in-turn-cut-off"), func() {
		const (
			before = 6
			turn   = before * 500 // ms
		)
		m := layering.New()
		m.Step(at(0), layering.RankChanged{DaemonsAhead: before})
		now := 0
		asks := func(ev layering.Event) bool {
			return slices.Contains(m.Step(at(now), ev), layering.Action(layering.AcquireLease{}))
		}
		engines := empty(4)
		for i := range engines {
			engines[i].Layers = fleet.Range{From: 4 * (i % 2), To: 4*(i%2) + 4}
		}
		for ; now < 3000; now += 50 {
			Expect(asks(layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(engines)})).To(BeFalse())
		}
		engines[0].Layers = fleet.Range{}
		lost := now
		Expect(asks(layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(engines)})).To(BeFalse())
		for now < lost+turn {
			Expect(asks(layering.Tick{})).To(BeFalse())
			now += 10
		}
		for !asks(layering.Tick{}) {
			Expect(now).To(BeNumerically("<=", lost+turn*5/4+200), "with the time that a list must stand still")
			now += 10
		}
	})

	// Guards against engines that stay without layers until a load that was never ordered
	// should have ended.
	It("decides anew at once on an order that the end of its lease kept back", Label("failure:order-kept-back"), func() {
		m := settled(empty(2))
		m.Step(at(2000), layering.Tick{})
		first := orders(hold(m, 2010))
		late := m.Step(at(5000), layering.OrderResult{Server: first[0].Server.Life(), Outcome: layering.Expired})
		Expect(late).To(ContainElement(layering.AcquireLease{}))
		again := orders(m.Step(at(5010), layering.LeaseAcquired{Fence: 8, Sent: at(5000)}))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Server.Life()).To(Equal(first[0].Server.Life()))
		Expect(again[0].OrderCount).To(Equal(first[0].OrderCount))
	})
})

// A plan that is kept must be the one that would be made now: events between which nothing
// is planned anew give the same orders as with a fresh look at the same list before each.
func TestKeptPlanIsTheFreshOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, fresh := layering.New(), layering.New()
		servers := empty(rapid.IntRange(1, 6).Draw(t, "engines"))
		for _, m := range []*layering.Machine{kept, fresh} {
			m.Step(at(0), layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(servers)})
		}
		var sent []layering.Order
		ms := 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			ms += rapid.SampledFrom([]int{1, 50, 199, 200, 201, 700, 1500, 2100}).Draw(t, "later")
			ev := drawEvent(t, ms, &servers, sent)
			if _, ok := ev.(layering.ServersListed); !ok {
				fresh.Step(at(ms-1), layering.ServersListed{Service: "s", Engine: engine, Servers: slices.Clone(servers)})
				kept.Step(at(ms-1), layering.Tick{})
			}
			got, want := kept.Step(at(ms), ev), fresh.Step(at(ms), ev)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("at %d ms, after %T: %v, with a fresh look %v", ms, ev, got, want)
			}
			sent = append(sent, orders(got)...)
		}
	})
}

// drawEvent draws what may happen to a machine that knows servers and has sent orders.
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
				Server: o.Server.Life(), Outcome: rapid.SampledFrom([]layering.OrderOutcome{layering.Accepted, layering.Unanswered, layering.Conflict, layering.Fenced}).Draw(t, "end"),
				Known: rapid.Bool().Draw(t, "known"), OrderCount: rapid.Uint64Range(0, 3).Draw(t, "orders"),
			}
		}
	}
	return layering.Tick{}
}

// BenchmarkTick is one event at a daemon that waits for its turn to order 3,000 engines.
func BenchmarkTick(b *testing.B) {
	m := settled(large())
	m.Step(at(2000), layering.Tick{})
	m.Step(at(2010), layering.LeaseNotAcquired{HeldFor: time.Hour})
	b.ReportAllocs()
	for b.Loop() {
		m.Step(at(2020), layering.Tick{})
	}
}
