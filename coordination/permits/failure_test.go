package permits_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// limitedSimulation runs nine daemons with ten times the demand that their server accepts, until
// they observe its limit.
func limitedSimulation(perSecond float64) *simulation {
	sim := newSimulation(7, 9, 10*perSecond, false, newShared)
	sim.run(2 * time.Second)
	sim.declare(perSecond)
	sim.run(convergenceTime)
	return sim
}

// owner returns the daemon that issues the permits.
func (sim *simulation) owner() *node {
	var ids []*node
	for _, nd := range sim.nodes {
		if !nd.dead && nd.strategy.(*shared).l.Owns(engine) {
			ids = append(ids, nd)
		}
	}
	Expect(ids).To(HaveLen(1))
	return ids[0]
}

var _ = Describe("A declared limit", func() {
	const perSecond = 10

	// The daemon that issues an engine's permits dies. The engine gets nothing for a moment, then
	// its limit again, and never more: the membership determines the next owner, which waits until
	// the permits of the dead one have expired.
	It("gets another owner when its owner dies", Label("failure:permits-owner-dies"), func() {
		sim := limitedSimulation(perSecond)
		sim.owner().dead = true
		sim.updateViews(1200*time.Millisecond, 2*time.Second)
		sim.run(4 * time.Second)
		from := sim.now
		sim.run(20 * time.Second)
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(perSecond)))
		Expect(sim.receivedSince(from)).To(BeNumerically(">=", 0.8*20*perSecond*8/9))
	})

	// The owner is frozen for 4 s and resumes after another daemon has taken its place. The engine
	// gets no more than its limit, since permits that would have been issued meanwhile are not
	// issued later.
	It("holds when a frozen owner resumes", Label("failure:permits-owner-frozen"), func() {
		sim := limitedSimulation(perSecond)
		old := sim.owner()
		old.frozenUntil = sim.now.Add(4 * time.Second)
		old.dead = true // the others do not see it
		sim.updateViews(time.Second, 2*time.Second)
		old.dead = false
		sim.run(4 * time.Second)
		sim.updateViews(100*time.Millisecond, time.Second)
		sim.run(10 * time.Second)
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(perSecond)))
	})

	// Four daemons and five are partitioned from each other, and both partitions reach the engine.
	// It gets its limit from both together, since each partition issues its share of the limit.
	It("holds for both partitions together", Label("failure:permits-cut"), func() {
		sim := limitedSimulation(perSecond)
		for i, nd := range sim.nodes {
			nd.partition = i % 2
		}
		sim.updateViews(time.Second, 2*time.Second)
		sim.run(3 * time.Second)
		from := sim.now
		sim.run(20 * time.Second)
		Expect(sim.receivedSince(from)).To(And(BeNumerically(">=", 0.8*20*perSecond), BeNumerically("<=", 1.1*20*perSecond)))
		for _, nd := range sim.nodes {
			nd.partition = 0
		}
		sim.updateViews(100*time.Millisecond, time.Second)
		sim.run(10 * time.Second)
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(perSecond)))
	})

	// All daemons lose power at once and restart. Each obeys the limit again after the first answer
	// that declares it.
	It("is observed again after all daemons have restarted", Label("failure:permits-all-restart"), func() {
		sim := limitedSimulation(perSecond)
		for _, nd := range sim.nodes {
			sim.restart(nd)
		}
		sim.run(convergenceTime)
		from := sim.now
		sim.run(20 * time.Second)
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(perSecond)))
		Expect(sim.receivedSince(from)).To(And(BeNumerically(">=", 0.8*20*perSecond), BeNumerically("<=", 1.1*20*perSecond)))
	})

	It("holds and is used although every third message is lost", func() {
		sim := limitedSimulation(perSecond)
		sim.loss = 1.0 / 3
		from := sim.now
		sim.run(20 * time.Second)
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(perSecond)))
		Expect(sim.receivedSince(from)).To(BeNumerically(">=", 0.4*20*perSecond))
	})

	It("can change and be removed", func() {
		sim := limitedSimulation(perSecond)
		sim.declare(2)
		sim.run(convergenceTime)
		sim.run(10 * time.Second)
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(2)))
		sim.declare(20)
		sim.run(convergenceTime)
		from := sim.now
		sim.run(10 * time.Second)
		Expect(sim.receivedSince(from)).To(BeNumerically(">=", 0.8*10*20))
		sim.limit = fleet.RateLimit{}
		sim.run(convergenceTime)
		from = sim.now
		sim.run(10 * time.Second)
		Expect(sim.receivedSince(from)).To(BeNumerically(">=", 0.95*10*10*perSecond))
	})

	It("of zero is probed periodically, so that its removal is noticed", func() {
		sim := limitedSimulation(perSecond)
		sim.declare(0)
		sim.run(convergenceTime)
		from := sim.now
		sim.run(60 * time.Second)
		Expect(sim.receivedSince(from)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 5)))
		sim.limit = fleet.RateLimit{}
		sim.run(40 * time.Second)
		from = sim.now
		sim.run(10 * time.Second)
		Expect(sim.receivedSince(from)).To(BeNumerically(">=", 0.95*10*10*perSecond))
	})

	// An engine declares its limit while answers without it are in flight. The limit stays: they
	// say nothing about the time after them.
	It("is not removed by an answer from before it", Label("failure:answer-from-before"), func() {
		limiter, now := permits.New(), epoch
		limiter.Step(now, permits.Membership{Self: "d1", Daemons: []state.DaemonID{"d1"}, Share: 1})
		limiter.Step(now, permits.LimitObserved{Server: engine, Limit: fleet.RateLimit{Named: true, PerSecond: 1}, Sent: now.Add(-time.Second)})
		limiter.Step(now.Add(time.Second), permits.LimitObserved{Server: engine, Sent: now.Add(-time.Millisecond)})
		Expect(limiter.Limited(engine)).To(BeTrue())
		limiter.Step(now.Add(time.Second), permits.LimitObserved{Server: engine, Sent: now.Add(time.Millisecond)})
		Expect(limiter.Limited(engine)).To(BeFalse())
	})

	// A daemon is suspected and refutes it, again and again, while others see that at different
	// times. The engine gets no more than its limit: each time another daemon becomes the owner, it
	// waits until the former owner knows.
	It("holds while daemons disagree about its owner", Label("failure:permits-two-owners"), func() {
		const perSecond = 40
		sim := limitedSimulation(perSecond)
		old := sim.owner()
		for i := range 12 {
			old.suspected = i%2 == 0
			sim.updateViews(0, time.Second)
			sim.run(1500 * time.Millisecond)
		}
		Expect(sim.maxPerWindow(sim.declaredAt.Add(convergenceTime))).To(BeNumerically("<=", allowed(perSecond)))
	})

	// A daemon that starts while an engine has a limit obeys it from its first request: the owner
	// announces limits to all daemons periodically.
	It("is announced to daemons that have started since", func() {
		sim := limitedSimulation(perSecond)
		var next *node
		for _, nd := range sim.nodes {
			if nd != sim.owner() {
				next = nd
			}
		}
		next.demand = 0
		sim.run(time.Minute)
		sim.restart(next)
		sim.run(7 * time.Second)
		Expect(next.informedAt.IsZero()).To(BeTrue())
		Expect(next.strategy.(*shared).l.Limited(engine)).To(BeTrue())
	})

	// A daemon gets permits without having a use for them, and its callers arrive a second later.
	// They must not spend these permits: expired permits have been issued to others since.
	It("issues permits that cannot be saved for later", func() {
		limiter, now := permits.New(), epoch
		limiter.Step(now, permits.Membership{Self: "d1", Daemons: []state.DaemonID{"d1", "d2"}, Share: 1})
		known := permits.LimitReport{Limit: fleet.RateLimit{Named: true, PerSecond: 100}}
		limiter.Step(now, permits.MessageReceived{From: "d2", Msg: permits.PermitGrant{Server: engine, Permits: 5, Known: known}})
		Expect(limiter.Unavailable(now, engine)).To(BeFalse())
		Expect(limiter.Unavailable(now.Add(time.Second), engine)).To(BeTrue())
	})

	// An engine restarts under its name and declares no limit. It gets as many requests as other
	// engines.
	It("of a former incarnation does not apply to the next one", func() {
		sim := limitedSimulation(perSecond)
		next := engine
		next.Born++
		Expect(sim.nodes[0].strategy.(*shared).l.Limited(engine)).To(BeTrue())
		Expect(sim.nodes[0].strategy.(*shared).l.Unavailable(sim.now, next)).To(BeFalse())
	})
})

// TestNamedLimitHolds checks that, under random failures of daemons and messages, a server that
// declares a limit gets no more than allowed from the daemons that have received it in an answer.
func TestNamedLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 9, 30}).Draw(t, "daemons")
		perSecond := rapid.SampledFrom([]float64{0.3, 1.3, 8, 40}).Draw(t, "limit")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), n, rapid.SampledFrom([]float64{2, 30}).Draw(t, "load")*perSecond, rapid.Bool().Draw(t, "alone"), newShared)
		sim.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
		sim.run(2 * time.Second)
		sim.declare(perSecond)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			disturb(t, sim)
			sim.run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "pause ms")) * time.Millisecond)
		}
		sim.run(5 * time.Second)
		if got := sim.maxPerWindow(sim.declaredAt.Add(convergenceTime)); got > allowed(perSecond) {
			t.Fatalf("%d requests in 4 s, %d allowed", got, allowed(perSecond))
		}
	})
}

// disturb applies a random failure or recovery to one daemon or to all.
func disturb(t *rapid.T, sim *simulation) {
	nd := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "daemon")]
	switch rapid.SampledFrom([]string{"end", "start", "freeze", "cut", "heal", "all"}).Draw(t, "what") {
	case "end":
		nd.dead = true
	case "start":
		if nd.dead {
			sim.restart(nd)
		}
	case "freeze":
		nd.frozenUntil = sim.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
	case "cut":
		nd.partition = 1
	case "heal":
		for _, other := range sim.nodes {
			other.partition = 0
		}
	case "all":
		for _, other := range sim.nodes {
			sim.restart(other)
		}
	}
	sim.updateViews(200*time.Millisecond, 2*time.Second)
}
