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

// limited runs nine daemons that are asked for ten times what their server takes, until they
// keep its limit.
func limited(perSecond float64) *world {
	w := newWorld(7, 9, 10*perSecond, false, newIssued)
	w.run(2 * time.Second)
	w.name(perSecond)
	w.run(settles)
	return w
}

// owner is the daemon that issues the permits.
func (w *world) owner() *node {
	var ids []*node
	for _, nd := range w.nodes {
		if !nd.dead && nd.way.(*issued).p.Owns(engine) {
			ids = append(ids, nd)
		}
	}
	Expect(ids).To(HaveLen(1))
	return ids[0]
}

var _ = Describe("A named limit", func() {
	const perSecond = 10

	// The daemon that issues an engine's permits dies. The engine gets nothing for a moment,
	// then its limit again, and never more. Cause: the next daemon by the membership takes the
	// place, and waits until the dead one's permits have lapsed.
	It("goes to another owner when its own dies", Label("failure:permits-owner-dies"), func() {
		w := limited(perSecond)
		w.owner().dead = true
		w.seeAll(1200*time.Millisecond, 2*time.Second)
		w.run(4 * time.Second)
		from := w.now
		w.run(20 * time.Second)
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(perSecond)))
		Expect(w.got(from)).To(BeNumerically(">=", 0.8*20*perSecond*8/9))
	})

	// The owner stands still for 4 s and goes on, while another has taken its place. The
	// engine gets no more than its limit. Cause: what would have been issued meanwhile is not
	// made up for.
	It("is kept when a frozen owner goes on", Label("failure:permits-owner-frozen"), func() {
		w := limited(perSecond)
		old := w.owner()
		old.frozen = w.now.Add(4 * time.Second)
		old.dead = true // it is no part of what others see
		w.seeAll(time.Second, 2*time.Second)
		old.dead = false
		w.run(4 * time.Second)
		w.seeAll(100*time.Millisecond, time.Second)
		w.run(10 * time.Second)
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(perSecond)))
	})

	// Four daemons and five lose each other, and both sides reach the engine. It gets its limit
	// from both sides together. Cause: each side issues the part of the limit that it is of all.
	It("is kept by both sides of a cut together", Label("failure:permits-cut"), func() {
		w := limited(perSecond)
		for i, nd := range w.nodes {
			nd.side = i % 2
		}
		w.seeAll(time.Second, 2*time.Second)
		w.run(3 * time.Second)
		from := w.now
		w.run(20 * time.Second)
		Expect(w.got(from)).To(And(BeNumerically(">=", 0.8*20*perSecond), BeNumerically("<=", 1.1*20*perSecond)))
		for _, nd := range w.nodes {
			nd.side = 0
		}
		w.seeAll(100*time.Millisecond, time.Second)
		w.run(10 * time.Second)
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(perSecond)))
	})

	// All daemons lose power at once and start again. Those that an answer has told the limit
	// keep it from then on.
	It("is learned again after all have restarted", Label("failure:permits-all-restart"), func() {
		w := limited(perSecond)
		for _, nd := range w.nodes {
			w.restart(nd)
		}
		w.run(settles)
		from := w.now
		w.run(20 * time.Second)
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(perSecond)))
		Expect(w.got(from)).To(And(BeNumerically(">=", 0.8*20*perSecond), BeNumerically("<=", 1.1*20*perSecond)))
	})

	It("is kept and used although every third message is lost", func() {
		w := limited(perSecond)
		w.loss = 1.0 / 3
		from := w.now
		w.run(20 * time.Second)
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(perSecond)))
		Expect(w.got(from)).To(BeNumerically(">=", 0.4*20*perSecond))
	})

	It("is another one from when it changes, and ends", func() {
		w := limited(perSecond)
		w.name(2)
		w.run(settles)
		w.run(10 * time.Second)
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(2)))
		w.name(20)
		w.run(settles)
		from := w.now
		w.run(10 * time.Second)
		Expect(w.got(from)).To(BeNumerically(">=", 0.8*10*20))
		w.limit = fleet.RateLimit{}
		w.run(settles)
		from = w.now
		w.run(10 * time.Second)
		Expect(w.got(from)).To(BeNumerically(">=", 0.95*10*10*perSecond))
	})

	It("of none at all is tried now and then, so that its end is noticed", func() {
		w := limited(perSecond)
		w.name(0)
		w.run(settles)
		from := w.now
		w.run(60 * time.Second)
		Expect(w.got(from)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 5)))
		w.limit = fleet.RateLimit{}
		w.run(40 * time.Second)
		from = w.now
		w.run(10 * time.Second)
		Expect(w.got(from)).To(BeNumerically(">=", 0.95*10*10*perSecond))
	})

	// An engine names its limit while answers are on their way that do not name it yet. The
	// limit stands: they say nothing of what came after them.
	It("is not ended by an answer from before it", Label("failure:answer-from-before"), func() {
		p, now := permits.New(), epoch
		p.Step(now, permits.Membership{Self: "d1", Daemons: []state.DaemonID{"d1"}, Share: 1})
		p.Step(now, permits.LimitObserved{Server: engine, Limit: fleet.RateLimit{Named: true, PerSecond: 1}, Sent: now.Add(-time.Second)})
		p.Step(now.Add(time.Second), permits.LimitObserved{Server: engine, Sent: now.Add(-time.Millisecond)})
		Expect(p.Limited(engine)).To(BeTrue())
		p.Step(now.Add(time.Second), permits.LimitObserved{Server: engine, Sent: now.Add(time.Millisecond)})
		Expect(p.Limited(engine)).To(BeFalse())
	})

	// A daemon is suspected and speaks up, again and again, while others see that at different
	// times. The engine gets no more than its limit. Cause: each time another daemon takes its
	// place as the owner, it waits for the former one to learn of that.
	It("is kept while daemons disagree about its owner", Label("failure:permits-two-owners"), func() {
		const perSecond = 40
		w := limited(perSecond)
		old := w.owner()
		for i := range 12 {
			old.suspected = i%2 == 0
			w.seeAll(0, time.Second)
			w.run(1500 * time.Millisecond)
		}
		Expect(w.busiest(w.named.Add(settles))).To(BeNumerically("<=", allowed(perSecond)))
	})

	// A daemon starts while an engine has a limit. It keeps it with its first request: the owner
	// tells all daemons now and then.
	It("is told to daemons that have started since", func() {
		w := limited(perSecond)
		var next *node
		for _, nd := range w.nodes {
			if nd != w.owner() {
				next = nd
			}
		}
		next.demand = 0
		w.run(time.Minute)
		w.restart(next)
		w.run(7 * time.Second)
		Expect(next.told.IsZero()).To(BeTrue())
		Expect(next.way.(*issued).p.Limited(engine)).To(BeTrue())
	})

	// A daemon gets permits and has no use for them; a second later callers come to it. They
	// spend none of those: what lapsed has been issued to others since.
	It("is not kept back for later", func() {
		p, now := permits.New(), epoch
		p.Step(now, permits.Membership{Self: "d1", Daemons: []state.DaemonID{"d1", "d2"}, Share: 1})
		known := permits.LimitReport{Limit: fleet.RateLimit{Named: true, PerSecond: 100}}
		p.Step(now, permits.MessageReceived{From: "d2", Msg: permits.PermitGrant{Server: engine, Permits: 5, Known: known}})
		Expect(p.Unavailable(now, engine)).To(BeFalse())
		Expect(p.Unavailable(now.Add(time.Second), engine)).To(BeTrue())
	})

	// An engine starts again under its name and names no limit. It gets as much as others.
	It("of a former life says nothing of the next one", func() {
		w := limited(perSecond)
		next := engine
		next.Born++
		Expect(w.nodes[0].way.(*issued).p.Limited(engine)).To(BeTrue())
		Expect(w.nodes[0].way.(*issued).p.Unavailable(w.now, next)).To(BeFalse())
	})
})

// Whatever happens to daemons and messages, a server that names a limit gets no more than
// allowed from those that an answer has told of it.
func TestNamedLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 9, 30}).Draw(t, "daemons")
		perSecond := rapid.SampledFrom([]float64{0.3, 1.3, 8, 40}).Draw(t, "limit")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, rapid.SampledFrom([]float64{2, 30}).Draw(t, "load")*perSecond, rapid.Bool().Draw(t, "alone"), newIssued)
		w.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
		w.run(2 * time.Second)
		w.name(perSecond)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			disturb(t, w)
			w.run(time.Duration(rapid.IntRange(50, 5000).Draw(t, "pause ms")) * time.Millisecond)
		}
		w.run(5 * time.Second)
		if got := w.busiest(w.named.Add(settles)); got > allowed(perSecond) {
			t.Fatalf("%d requests in 4 s of %d allowed", got, allowed(perSecond))
		}
	})
}

// disturb has something happen to one daemon or to all.
func disturb(t *rapid.T, w *world) {
	nd := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "daemon")]
	switch rapid.SampledFrom([]string{"end", "start", "freeze", "cut", "heal", "all"}).Draw(t, "what") {
	case "end":
		nd.dead = true
	case "start":
		if nd.dead {
			w.restart(nd)
		}
	case "freeze":
		nd.frozen = w.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
	case "cut":
		nd.side = 1
	case "heal":
		for _, other := range w.nodes {
			other.side = 0
		}
	case "all":
		for _, other := range w.nodes {
			w.restart(other)
		}
	}
	w.seeAll(200*time.Millisecond, 2*time.Second)
}
