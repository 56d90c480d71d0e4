package limit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Three limits: one with a burst of a single token, one with a burst of fewer
// tokens than there are daemons, and a large one.
var (
	tiny  = service.Customer{ID: "tiny", RequestsPerSecond: 0.5, Burst: 1}
	small = service.Customer{ID: "small", RequestsPerSecond: 5, Burst: 5}
	large = service.Customer{ID: "large", RequestsPerSecond: 100, Burst: 50}
)

const second = time.Second

// overloaded runs nine seats with a demand of 1.5 to 8 times each limit.
func overloaded(seed uint64, until time.Duration, pick func(*simulation) *node) *simulation {
	sim := newSimulation(seed, 9, 9, tiny, small, large)
	for k, rate := range []float64{4, 15, 150} {
		sim.generateLoad(k, 0, until, rate, func() *node { return pick(sim) })
	}
	sim.run(10 * second)
	return sim
}

func anyNode(sim *simulation) *node { return sim.anyNode() }

// report adds the usable share of each limit to the report and checks that no
// limit was exceeded.
func (sim *simulation) report(label string, from, until time.Duration) {
	text := fmt.Sprintf("%-44s", label)
	for _, k := range sim.keys {
		t := sim.reference[k]
		text += fmt.Sprintf("  %s %5.3f (longest gap %.1fs)", k.Customer, t.usableShare(from, until), t.longestGap(from, until).Seconds())
	}
	AddReportEntry(text, ReportEntryVisibilityAlways)
	sim.noOvershoot()
}

func (sim *simulation) noOvershoot() {
	for _, k := range sim.keys {
		t := sim.reference[k]
		Expect(t.minLevel).To(BeNumerically(">=", -1e-6), "%s exceeded", k.Customer)
		Expect(t.maxSpendable).To(BeNumerically("<=", t.customer.Burst), "%s: tokens spendable at the same time", k.Customer)
	}
}

var _ = Describe("The usable share of a limit", func() {
	It("is almost 1 wherever the demand is and however it moves", func() {
		sim := overloaded(1, 40*second, anyNode)
		sim.run(40 * second)
		sim.report("demand spread evenly over 9 daemons", 10*second, 40*second)
		for _, k := range sim.keys {
			Expect(sim.reference[k].usableShare(10*second, 40*second)).To(BeNumerically(">", 0.8))
		}

		sim = overloaded(2, 40*second, func(sim *simulation) *node {
			if sim.rng.IntN(10) > 0 {
				return sim.nodes[0]
			}
			return sim.anyNode()
		})
		sim.run(40 * second)
		sim.report("nine tenths of it at one daemon", 10*second, 40*second)

		sim = overloaded(3, 40*second, func(sim *simulation) *node {
			return sim.nodes[int(sim.now/(2*second))%9]
		})
		sim.run(40 * second)
		sim.report("all of it at one, moving every 2 s", 10*second, 40*second)
		Expect(sim.reference[sim.keys[2]].usableShare(10*second, 40*second)).To(BeNumerically(">", 0.95))
	})

	It("admits at least 95% of the requests that one central bucket would admit, if demand is below the limit", func() {
		for i, c := range []service.Customer{tiny, small, large} {
			sim := newSimulation(uint64(i), 9, 9, c)
			sim.generateLoad(0, 5*second, 200*second, 0.7*c.RequestsPerSecond, sim.anyNode)
			sim.run(200 * second)
			t := sim.reference[sim.keys[0]]
			AddReportEntry(fmt.Sprintf("%s with a demand of 0.7 of its limit: admitted %d of %d, one central bucket %d",
				c.ID, t.admitted, t.requests, t.centralAdmitted), ReportEntryVisibilityAlways)
			sim.noOvershoot()
			Expect(float64(t.admitted)).To(BeNumerically(">=", 0.95*float64(t.centralAdmitted)))
		}
	})
})

var _ = Describe("The owner of a limit dies", Label("failure:daemon-dies-mid-stream"), func() {
	// The daemon that gave out the tokens has died. Requests of a customer are
	// refused for a short time although the customer is within its limit, because
	// the next owner may only use seats whose loans to the dead one have expired.
	It("is replaced within the lifetime of a loan, and no limit is exceeded", func() {
		for k := range 3 {
			sim := overloaded(uint64(10+k), 50*second, anyNode)
			i := sim.index(sim.owner(k).id)
			sim.nodes[i].dead = true
			sim.run(14 * second)
			sim.report(fmt.Sprintf("owner of %s dies: first 4 s", sim.keys[k].Customer), 10*second, 14*second)
			sim.run(24 * second)
			sim.report("  then, with 8 of 9", 14*second, 24*second)
			sim.restart(i)
			sim.run(30 * second)
			Expect(sim.owner(k)).To(Equal(sim.nodes[i]), "its shards are back at their owner")
			sim.run(40 * second)
			sim.report("  after its replacement has started", 30*second, 40*second)
			t := sim.reference[sim.keys[2]]
			Expect(t.longestGap(10*second, 14*second)).To(BeNumerically("<=", 3*second))
			Expect(t.usableShare(14*second, 24*second)).To(BeNumerically(">", 0.84))
			Expect(t.usableShare(30*second, 40*second)).To(BeNumerically(">", 0.95))
		}
	})

	// The same daemon stops as planned: callers notice almost nothing.
	It("hands off its shards in a planned stop", Label("failure:planned-stop"), func() {
		sim := overloaded(20, 30*second, anyNode)
		n := sim.owner(2)
		sim.step(n, limit.Drain{})
		sim.run(14 * second)
		sim.report("owner of large drains: first 4 s", 10*second, 14*second)
		Expect(sim.reference[sim.keys[2]].longestGap(10*second, 14*second)).To(BeNumerically("<=", second))
	})
})

var _ = Describe("A daemon with tokens is paused", Label("failure:lease-lapses-while-paused"), func() {
	// A daemon that holds tokens is paused for 3 s and resumes with callers waiting.
	// Meanwhile its tokens have expired and other daemons got the same capacity;
	// admitting requests with the old tokens would exceed the limit.
	It("spends no expired tokens", func() {
		sim := newSimulation(30, 9, 9, large)
		sim.generateLoad(0, 0, 15*second, 80, sim.anyNode)
		sim.run(10 * second)
		n := sim.nodes[0]
		if n == sim.owner(0) {
			n = sim.nodes[1]
		}
		key := sim.keys[0]
		Expect(n.m.Spendable(sim.clock(n), key)).To(BeNumerically(">", 0))
		n.pausedTo = 13 * second
		sim.run(13*second - 1)
		Expect(n.m.Spendable(sim.clock(n), key)).To(BeZero())
		sim.run(15 * second)
		sim.noOvershoot()
	})

	// The owner is paused for 3 s and taken for dead. When it resumes, both it and
	// its successor act as the owner of the shard.
	It("adds no tokens without seats", func() {
		sim := overloaded(31, 30*second, anyNode)
		sim.owner(2).pausedTo = 13 * second
		sim.run(20 * second)
		sim.report("owner of large is paused for 3 s: 10 s", 10*second, 20*second)
	})

	// A daemon is paused for long and its replacement takes the same seat. After
	// the pause it must not lend the seat a second time.
	It("does not lend the seat that its replacement lends", func() {
		sim := overloaded(32, 30*second, anyNode)
		sim.replaceAt(3, 10*second, 2*second, 8*second)
		sim.run(30 * second)
		sim.report("a paused seat was replaced: 20 s", 10*second, 30*second)
		Expect(sim.reference[sim.keys[2]].usableShare(20*second, 30*second)).To(BeNumerically(">", 0.95))
	})
})

var _ = Describe("A network partition between regions", Label("failure:regions-parted"), func() {
	// For two minutes four daemons can't reach the other five. Both partitions
	// admit requests, and each has an owner for every limit. Together they must stay
	// within the limit.
	It("divides each limit between the partitions in proportion to their seats", func() {
		sim := overloaded(40, 150*second, anyNode)
		for _, n := range sim.nodes[:4] {
			n.partition = 1
		}
		sim.run(14 * second)
		sim.report("partitioned into 4 and 5: first 4 s", 10*second, 14*second)
		sim.run(130 * second)
		sim.report("  the other 116 s", 14*second, 130*second)
		for _, n := range sim.nodes {
			n.partition = 0
		}
		sim.run(134 * second)
		sim.report("  healed: first 4 s", 130*second, 134*second)
		sim.run(144 * second)
		sim.report("  then", 134*second, 144*second)
		Expect(sim.reference[sim.keys[2]].usableShare(14*second, 130*second)).To(BeNumerically(">", 0.9))
		Expect(sim.reference[sim.keys[2]].usableShare(134*second, 144*second)).To(BeNumerically(">", 0.95))
	})

	// One daemon, the owner, can't reach any other.
	It("leaves an isolated owner without seats", Label("failure:isolated-daemon"), func() {
		sim := overloaded(41, 40*second, anyNode)
		n := sim.owner(2)
		n.partition = 1
		sim.run(14 * second)
		sim.report("owner of large is isolated: first 4 s", 10*second, 14*second)
		sim.run(24 * second)
		sim.report("  then", 14*second, 24*second)
		admitted := n.admitted
		sim.run(30 * second)
		Expect(n.admitted).To(Equal(admitted))
	})
})

// No sequence of pauses, restarts, partitions, wrong membership views and drains
// makes the daemons exceed a limit or break an invariant.
func TestNoInterleavingOvershoots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats := rapid.IntRange(1, 9).Draw(t, "seats")
		daemons := seats + rapid.IntRange(0, 2).Draw(t, "others")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), daemons, seats,
			service.Customer{ID: "tiny", RequestsPerSecond: 0.7, Burst: 1},
			service.Customer{ID: "small", RequestsPerSecond: 8, Burst: 4},
			service.Customer{ID: "large", RequestsPerSecond: 40, Burst: 25})
		sim.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		sim.reorderAndDuplicate = rapid.Bool().Draw(t, "unruly")
		sim.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond}).Draw(t, "delay")
		sim.verify = true
		const end = 7 * time.Second
		for k, rate := range []float64{2, 12, 50} {
			sim.generateLoad(k, 0, end, rate, sim.anyNode)
		}
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(2000, 6500).Draw(t, "at ms")) * time.Millisecond
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			d := time.Duration(rapid.IntRange(10, 5000).Draw(t, "for ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"pause", "restart", "part", "heal", "view", "drain"}).Draw(t, "fault") {
			case "pause":
				sim.schedule(at, func() { sim.nodes[i].pausedTo = sim.now + d })
			case "restart":
				sim.schedule(at, func() { sim.restart(i) })
			case "part":
				sim.schedule(at, func() { sim.nodes[i].partition = 1 })
			case "heal":
				sim.schedule(at, func() {
					for _, n := range sim.nodes {
						n.partition = 0
					}
				})
			case "view":
				// One daemon's view contains only some of the others.
				n := rapid.IntRange(1, daemons).Draw(t, "live")
				sim.schedule(at, func() { sim.setView(i, n) })
			case "drain":
				sim.schedule(at, func() {
					n := sim.nodes[i]
					sim.runOn(sim.now, n, func() { sim.step(n, limit.Drain{}) })
				})
			}
		}
		sim.run(end)
		sim.failOnViolation(t)
	})
}

// Incarnations of one seat that overlap are safe while messages arrive, because
// the first ones of the later incarnation inform every owner.
func TestAReplacedSeatIsNotLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 5, 5, tiny, small, large)
		sim.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "delay")
		sim.verify = true
		for k, rate := range []float64{2, 12, 50} {
			sim.generateLoad(k, 0, 10*second, rate, sim.anyNode)
		}
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 3, rapid.ID[int]).Draw(t, "replaced") {
			at := rapid.IntRange(2600, 4000).Draw(t, "at ms")
			after := rapid.IntRange(0, 1500).Draw(t, "after ms")
			pause := rapid.IntRange(0, 4000).Draw(t, "pause ms")
			sim.replaceAt(i, time.Duration(at)*time.Millisecond, time.Duration(after)*time.Millisecond, time.Duration(pause)*time.Millisecond)
			if rapid.Bool().Draw(t, "view") {
				sim.schedule(time.Duration(at)*time.Millisecond, func() { sim.setView(rapid.IntRange(0, 4).Draw(t, "believer"), 4) })
			}
		}
		sim.run(7 * second)
		sim.failOnViolation(t)
	})
}

// failOnViolation fails t if a limit was exceeded or an invariant was violated.
func (sim *simulation) failOnViolation(t *rapid.T) {
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	for _, k := range sim.keys {
		ref := sim.reference[k]
		if ref.minLevel < -1e-6 {
			t.Fatalf("%s: exceeded its limit by %v requests", k.Customer, -ref.minLevel)
		}
		if ref.maxSpendable > ref.customer.Burst {
			t.Fatalf("%s: %d tokens spendable at the same time, burst %d", k.Customer, ref.maxSpendable, ref.customer.Burst)
		}
	}
}
