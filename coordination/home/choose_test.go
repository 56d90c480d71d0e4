package home_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const prefix = 42

// tells makes a request name the prefix.
func tells(m *home.SlotRequest) { m.Prefixes = []uint64{prefix} }

var _ = Describe("the choice of a replica", func() {
	place := func(w *world, ask home.SlotRequestID) state.ReplicaID { return w.granted[ask].Replica }

	// What a user sees: an answer that starts late, on a slow or busy replica,
	// while a fast one is idle. Order: a replica is believed to hold a prefix;
	// it dropped it, and the event comes late or never. Cause: cache events.
	It("pays no more than its bound for a belief that is wrong", Label("failure:late-cache-events"), func() {
		w := newWorld(home.Config{}, document(10, 1), replicas(3, 8, 1, 1, 0.5))
		hold := func(i int) {
			w.step(home.CacheReported{Replica: replicaID(i), Changes: []home.CacheChange{{Prefix: prefix}}})
		}
		hold(2)
		Expect(place(w, w.ask(other, "draft", 0, tells))).To(Equal(replicaID(0)), "a slow kind")
		w.step(home.CacheReported{Replica: replicaID(0), Gap: true})
		hold(1)
		for range 3 {
			Expect(place(w, w.ask(other, "draft", 0, tells))).To(Equal(replicaID(1)), "believed to hold it")
		}
		Expect(place(w, w.ask(other, "draft", 0, tells))).To(Equal(replicaID(1)))
		Expect(place(w, w.ask(other, "draft", 0, tells))).To(Equal(replicaID(0)), "too much more loaded")
		w.advance(10 * time.Minute)
		Expect(place(w, w.ask(other, "draft", 0, tells))).To(Equal(replicaID(0)), "too old a belief")
	})

	It("runs a request alone, and gets a replica idle for it under full load", Label("failure:request-crashes-servers"), func() {
		w := newWorld(home.Config{}, document(100, 1), replicas(2, 3))
		var first []home.SlotRequestID
		for range 4 {
			first = append(first, w.ask(other, "draft", 0))
		}
		for range 10 {
			w.ask(other, "draft", 0)
		}
		alone := w.ask(other, "check", 0, func(m *home.SlotRequest) { m.Exclusive = true })
		Expect(w.granted).NotTo(HaveKey(alone))
		for _, ask := range first {
			w.release(other, ask, home.OutcomeServed)
		}
		Expect(w.granted).To(HaveKey(alone))
		Expect(w.usedBy(place(w, alone))).To(Equal(1))
		Expect(w.ask(other, "check", 0)).To(Satisfy(func(a home.SlotRequestID) bool { return place(w, a) != place(w, alone) }))
		w.release(other, alone, home.OutcomeServed)
		Expect(len(w.granted)).To(BeNumerically(">=", 3))
	})

	// A draft of which some words have come stands still until its deadline. Order: a
	// server of each replica dies under it and another request, and all are started
	// again. Cause: a replica that failed was given to other requests only, to prove it,
	// and there was none.
	It("gives a replica that failed to a request that runs alone, where no other is left", Label("failure:request-crashes-servers"), func() {
		w := newWorld(home.Config{}, document(100, 1), replicas(2, 3))
		for range 2 {
			w.release(other, w.ask(other, "draft", 0), home.OutcomeFailed)
		}
		apart := func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true }
		first := w.ask(other, "draft", 0, apart)
		Expect(w.granted).NotTo(HaveKey(first), "they have just failed")
		w.advance(5 * time.Second)
		Expect(w.granted).To(HaveKey(first))
		second := w.ask(other, "draft", 0, apart)
		Expect(place(w, second)).NotTo(Equal(place(w, first)), "one proves one")
		third := w.ask(other, "draft", 0, apart)
		Expect(w.granted).NotTo(HaveKey(third))
	})

	// What users see: after a server died, their answers go on within a moment
	// each, although each may be what ended it. Order: one begins on a replica
	// that was quiet for a while, then the next as soon as it has passed; nothing
	// else begins there meanwhile. Cause: a death there must point to one.
	It("begins requests apart one after another on a busy replica", Label("failure:request-crashes-servers"), func() {
		w := newWorld(home.Config{}, document(100, 1), replicas(1, 5))
		w.ask(other, "draft", 0)
		apart := func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true }
		first := w.ask(other, "draft", 0, apart)
		second := w.ask(other, "draft", 0, apart)
		Expect(w.granted).NotTo(HaveKey(first), "something has just begun there")
		w.advance(time.Second)
		Expect(w.granted).To(HaveKey(first))
		Expect(w.granted).NotTo(HaveKey(second))
		third := w.ask(other, "draft", 0)
		Expect(w.granted).NotTo(HaveKey(third), "nothing else begins meanwhile")
		w.step(home.Received{From: other, Msg: home.ExclusiveEnded{ID: first, Pool: poolID}})
		Expect(w.granted).To(HaveKey(second))
		Expect(w.granted).NotTo(HaveKey(third))
		w.step(home.Received{From: other, Msg: home.ExclusiveEnded{ID: second, Pool: poolID}})
		Expect(w.granted).To(HaveKey(third))
	})

	// What a user sees: too few replicas, for good. Order: a server says that
	// it is leaving, and restarts under its name before the platform's list
	// shows either. Cause: the word outlives the process that it was of.
	It("gives a replica work again when its processes are new", Label("failure:backend-leaving"), func() {
		specs := replicas(1, 2)
		specs[0].Stages = []state.Stage{{Backend: "b1", Life: "one"}}
		for _, returns := range []func(*world){
			func(w *world) { w.step(home.ReplicaReturned{Replica: replicaID(0)}) },
			func(w *world) {
				again := replicas(1, 2)
				again[0].Stages = []state.Stage{{Backend: "b1", Life: "two"}}
				w.assign(again)
			},
		} {
			w := newWorld(home.Config{}, document(10, 1), specs)
			w.step(home.ReplicaLeaving{Replica: replicaID(0)})
			w.assign(specs)
			waits := w.ask(other, "check", 0)
			Expect(w.granted).NotTo(HaveKey(waits))
			w.advance(home.SuccessorTimeout)
			Expect(w.refused[waits].Reason).To(Equal(state.ReasonNoReplica))
			Expect(w.refused[w.ask(other, "check", 0)].Reason).To(Equal(state.ReasonNoReplica), "there is still none")
			returns(w)
			Expect(w.granted).To(HaveKey(w.ask(other, "check", 0)))
		}
	})

	// A caller is refused while a new version is rolled out, although its first replica is
	// loaded and ready. Order: the last replica of the old version says that it is leaving;
	// this home learns it at once, and of the new one some 100 ms later. Cause: a pool all of
	// whose replicas were leaving refused whoever asked or waited.
	It("lets requests wait for the successor of a pool's last replica", Label("failure:successor-listed-late"), func() {
		w := newWorld(home.Config{}, document(10, 1), replicas(2, 2))
		var before []home.SlotRequestID
		for range 4 {
			before = append(before, w.ask(other, "draft", 0))
		}
		waited := w.ask(other, "draft", 0)
		w.step(home.ReplicaLeaving{Replica: replicaID(0)})
		w.step(home.ReplicaLeaving{Replica: replicaID(1)})
		came := w.ask(other, "draft", 0)
		avoids := w.ask(other, "draft", 0, func(m *home.SlotRequest) { m.Exclude = []state.ReplicaID{replicaID(0)} })
		w.advance(home.SuccessorTimeout / 2)
		Expect(w.refused).To(BeEmpty())
		next := replicas(3, 12)[2:]
		w.assign(next)
		for _, ask := range []home.SlotRequestID{waited, came, avoids} {
			Expect(w.granted).To(HaveKey(ask))
			Expect(place(w, ask)).To(Equal(next[0].ID))
		}
		Expect(w.granted).To(HaveKey(before[0]))
	})

	// The replica that a request did not avoid leaves, and it is refused, although the other
	// one has recovered. Cause: what it avoided was kept to for good.
	It("lets a request wait for a replica that it avoided, where no other stays", func() {
		w := newWorld(home.Config{}, document(10, 1), replicas(2, 1))
		taken := []home.SlotRequestID{w.ask(other, "draft", 0), w.ask(other, "draft", 0)}
		avoids := w.ask(other, "draft", 0, func(m *home.SlotRequest) { m.Exclude = []state.ReplicaID{replicaID(0)} })
		w.step(home.ReplicaLeaving{Replica: replicaID(1)})
		Expect(w.refused).To(BeEmpty())
		for _, ask := range taken {
			w.release(other, ask, home.OutcomeServed)
		}
		Expect(w.granted).To(HaveKey(avoids))
		Expect(place(w, avoids)).To(Equal(replicaID(0)))
	})

	It("refuses the longest backlog's last, not the newcomer, where a queue is full", func() {
		w := newWorld(home.Config{}, document(6, 2), replicas(1, 2))
		var heavy []home.SlotRequestID
		for range 8 {
			heavy = append(heavy, w.ask(other, "draft", 0))
		}
		Expect(w.refused[heavy[7]].Reason).To(Equal(state.ReasonQueueFull))
		light := w.ask(other, "draft", 1)
		Expect(w.waiting).To(HaveKey(light))
		Expect(w.refused[heavy[6]].Reason).To(Equal(state.ReasonQueueFull))
	})

	It("refuses at once what can't have its first token in time", func() {
		w := newWorld(home.Config{}, document(100, 2), replicas(1, 2, 0.5))
		for range 20 {
			ask := w.ask(other, "check", 0)
			w.advance(time.Second)
			w.release(other, ask, home.OutcomeServed)
		}
		w.ask(other, "check", 0)
		w.ask(other, "check", 0)
		soon := func(budget, lead time.Duration) func(*home.SlotRequest) {
			return func(m *home.SlotRequest) { m.Budget, m.FirstTokenLatency = budget, lead }
		}
		for _, late := range []home.SlotRequestID{
			w.ask(other, "check", 0, soon(400*time.Millisecond, 0)),           // 1 before it, 2 a second
			w.ask(other, "check", 0, soon(time.Second, 400*time.Millisecond)), // and a prefill of 0.8 s
		} {
			Expect(w.refused[late].Reason).To(Equal(state.ReasonDeadline))
			Expect(w.refused[late].RetryAfter).To(BeNumerically(">=", 1))
		}
		Expect(w.waiting).To(HaveKey(w.ask(other, "check", 0, soon(time.Second, 100*time.Millisecond))))
	})
})
