package home_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const prefix = 42

// withPrefix makes a request name the prefix.
func withPrefix(m *home.SlotRequest) { m.Prefixes = []uint64{prefix} }

var _ = Describe("the choice of a replica", func() {
	place := func(w *simulation, id home.SlotRequestID) state.ReplicaID { return w.granted[id].Replica }

	// A replica is estimated to have a prefix cached, but dropped it, and the cache
	// event comes late or never. Without bounds on the preference, answers start late
	// on a slow or busy replica while a fast one is idle.
	It("bounds the cost of a wrong cache estimate", Label("failure:late-cache-events"), func() {
		w := newSimulation(home.Config{}, document(10, 1), replicas(3, 8, 1, 1, 0.5))
		reportCached := func(i int) {
			w.step(home.CacheReported{Replica: replicaID(i), Changes: []home.CacheChange{{Prefix: prefix}}})
		}
		reportCached(2)
		Expect(place(w, w.request(entry1, "draft", 0, withPrefix))).To(Equal(replicaID(0)), "a slow kind")
		w.step(home.CacheReported{Replica: replicaID(0), Gap: true})
		reportCached(1)
		for range 3 {
			Expect(place(w, w.request(entry1, "draft", 0, withPrefix))).To(Equal(replicaID(1)), "estimated to have it cached")
		}
		Expect(place(w, w.request(entry1, "draft", 0, withPrefix))).To(Equal(replicaID(1)))
		Expect(place(w, w.request(entry1, "draft", 0, withPrefix))).To(Equal(replicaID(0)), "too much extra load")
		w.advance(10 * time.Minute)
		Expect(place(w, w.request(entry1, "draft", 0, withPrefix))).To(Equal(replicaID(0)), "the estimate has expired")
	})

	It("runs a request exclusively and drains a replica for it under full load", Label("failure:request-crashes-servers"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(2, 3))
		var first []home.SlotRequestID
		for range 4 {
			first = append(first, w.request(entry1, "draft", 0))
		}
		for range 10 {
			w.request(entry1, "draft", 0)
		}
		exclusive := w.request(entry1, "check", 0, func(m *home.SlotRequest) { m.Exclusive = true })
		Expect(w.granted).NotTo(HaveKey(exclusive))
		for _, id := range first {
			w.release(entry1, id, home.OutcomeServed)
		}
		Expect(w.granted).To(HaveKey(exclusive))
		Expect(w.usedBy(place(w, exclusive))).To(Equal(1))
		Expect(w.request(entry1, "check", 0)).To(Satisfy(func(a home.SlotRequestID) bool { return place(w, a) != place(w, exclusive) }))
		w.release(entry1, exclusive, home.OutcomeServed)
		Expect(len(w.granted)).To(BeNumerically(">=", 3))
	})

	// A partly delivered draft stalls until its deadline: a server of each replica died
	// while running it and another request, and all were restarted. A replica that
	// failed was given only to other requests, as probes, and there were none.
	It("gives a failed replica to an exclusive request if no other is left", Label("failure:request-crashes-servers"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(2, 3))
		for range 2 {
			w.release(entry1, w.request(entry1, "draft", 0), home.OutcomeFailed)
		}
		staggered := func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true }
		first := w.request(entry1, "draft", 0, staggered)
		Expect(w.granted).NotTo(HaveKey(first), "all replicas have just failed")
		w.advance(5 * time.Second)
		Expect(w.granted).To(HaveKey(first))
		second := w.request(entry1, "draft", 0, staggered)
		Expect(place(w, second)).NotTo(Equal(place(w, first)), "one probe per replica")
		third := w.request(entry1, "draft", 0, staggered)
		Expect(w.granted).NotTo(HaveKey(third))
	})

	// After a server died, each request that may have caused it must run such that a
	// further death can be attributed to it. Staggered requests start one after another
	// on a replica where nothing else has started for a while, each as soon as the one
	// before has ended its exclusive phase, and nothing else starts there meanwhile.
	It("starts staggered requests one after another on a busy replica", Label("failure:request-crashes-servers"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 5))
		w.request(entry1, "draft", 0)
		staggered := func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true }
		first := w.request(entry1, "draft", 0, staggered)
		second := w.request(entry1, "draft", 0, staggered)
		Expect(w.granted).NotTo(HaveKey(first), "another request has just started there")
		w.advance(time.Second)
		Expect(w.granted).To(HaveKey(first))
		Expect(w.granted).NotTo(HaveKey(second))
		third := w.request(entry1, "draft", 0)
		Expect(w.granted).NotTo(HaveKey(third), "nothing else starts meanwhile")
		w.step(home.Received{From: entry1, Msg: home.ExclusiveEnded{ID: first, Pool: poolID}})
		Expect(w.granted).To(HaveKey(second))
		Expect(w.granted).NotTo(HaveKey(third))
		w.step(home.Received{From: entry1, Msg: home.ExclusiveEnded{ID: second, Pool: poolID}})
		Expect(w.granted).To(HaveKey(third))
	})

	// Guards against requests that wait for seconds while replicas that have restarted
	// together serve one request each: the first token proves a replica.
	It("gives a replica other requests at its probe's first token", Label("failure:probe-outlasts-its-proof"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(2, 5), entry1)
		w.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID}})
		for range 2 {
			w.release(entry1, w.request(entry1, "draft", 0), home.OutcomeFailed)
		}
		var waiting []home.SlotRequestID
		for range 6 {
			waiting = append(waiting, w.request(entry1, "draft", 0))
		}
		w.advance(time.Second)
		Expect(w.granted).To(HaveLen(2), "one probe per replica")
		for _, id := range waiting {
			if g, ok := w.granted[id]; ok {
				Expect(g.Probe).To(BeTrue())
			}
		}
		w.advance(50 * time.Millisecond)
		for _, id := range waiting {
			if g, ok := w.granted[id]; ok && g.Probe {
				w.step(home.Received{From: entry1, Msg: home.ExclusiveEnded{ID: id, Pool: poolID}})
			}
		}
		Expect(w.granted).To(HaveLen(6))
		Expect(w.suspected).To(BeEmpty())
	})

	// Guards against a second suspect that starts beside the first, so that a death could
	// not be attributed: only the holder of a staggered grant ends its exclusive phase.
	It("ends an exclusive phase for the grant's holder only", Label("failure:request-crashes-servers"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 5), entry1, entry2)
		for _, from := range []state.Member{entry1, entry2} {
			w.step(home.Received{From: from, Msg: home.GrantReport{Pool: poolID}})
		}
		staggered := func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true }
		first := w.request(entry1, "draft", 0, staggered)
		Expect(w.granted).To(HaveKey(first))
		second := w.request(entry2, "draft", 0, staggered)
		other := state.Member{ID: entry1.ID, Incarnation: entry1.Incarnation + 1}
		for _, from := range []state.Member{entry2, other} {
			w.step(home.Received{From: from, Msg: home.ExclusiveEnded{ID: first, Pool: poolID}})
			Expect(w.granted).NotTo(HaveKey(second), "%v does not hold the grant", from)
		}
		w.step(home.Received{From: entry1, Msg: home.ExclusiveEnded{ID: first, Pool: poolID}})
		Expect(w.granted).To(HaveKey(second))
	})

	// A server reports that it is leaving, and restarts under its name before the
	// platform's list shows either. The report must not outlive the process that it
	// came from, or the replica is never used again.
	It("gives a replica work again after its processes were replaced", Label("failure:backend-leaving"), func() {
		specs := replicas(1, 2)
		specs[0].Stages = []state.Stage{{Backend: "b1", BootID: "one"}}
		for _, returns := range []func(*simulation){
			func(w *simulation) { w.step(home.ReplicaReturned{Replica: replicaID(0)}) },
			func(w *simulation) {
				again := replicas(1, 2)
				again[0].Stages = []state.Stage{{Backend: "b1", BootID: "two"}}
				w.assign(again)
			},
		} {
			w := newSimulation(home.Config{}, document(10, 1), specs)
			w.step(home.ReplicaLeaving{Replica: replicaID(0)})
			w.assign(specs)
			pending := w.request(entry1, "check", 0)
			Expect(w.granted).NotTo(HaveKey(pending))
			w.advance(home.SuccessorTimeout)
			Expect(w.refused[pending].Reason).To(Equal(state.ReasonNoReplica))
			Expect(w.refused[w.request(entry1, "check", 0)].Reason).To(Equal(state.ReasonNoReplica), "there is still no replica")
			returns(w)
			Expect(w.granted).To(HaveKey(w.request(entry1, "check", 0)))
		}
	})

	// A caller is refused during the rollout of a new version although its first
	// replica is loaded and ready. The last replica of the old version reports that it
	// is leaving, and this home learns of it at once, but of the new replica only some
	// 100 ms later. A pool with only leaving replicas refused new and waiting requests
	// at once.
	It("lets requests wait for the successor of a pool's last replica", Label("failure:successor-listed-late"), func() {
		w := newSimulation(home.Config{}, document(10, 1), replicas(2, 2))
		var before []home.SlotRequestID
		for range 4 {
			before = append(before, w.request(entry1, "draft", 0))
		}
		queued := w.request(entry1, "draft", 0)
		w.step(home.ReplicaLeaving{Replica: replicaID(0)})
		w.step(home.ReplicaLeaving{Replica: replicaID(1)})
		arrived := w.request(entry1, "draft", 0)
		excluding := w.request(entry1, "draft", 0, func(m *home.SlotRequest) { m.Exclude = []state.ReplicaID{replicaID(0)} })
		w.advance(home.SuccessorTimeout / 2)
		Expect(w.refused).To(BeEmpty())
		next := replicas(3, 12)[2:]
		w.assign(next)
		for _, id := range []home.SlotRequestID{queued, arrived, excluding} {
			Expect(w.granted).To(HaveKey(id))
			Expect(place(w, id)).To(Equal(next[0].ID))
		}
		Expect(w.granted).To(HaveKey(before[0]))
	})

	// A request is refused when the only replica outside its exclude list leaves,
	// although the excluded one has recovered, because the exclude list was kept for
	// good.
	It("lets a request wait for an excluded replica if no other remains", func() {
		w := newSimulation(home.Config{}, document(10, 1), replicas(2, 1))
		taken := []home.SlotRequestID{w.request(entry1, "draft", 0), w.request(entry1, "draft", 0)}
		excluding := w.request(entry1, "draft", 0, func(m *home.SlotRequest) { m.Exclude = []state.ReplicaID{replicaID(0)} })
		w.step(home.ReplicaLeaving{Replica: replicaID(1)})
		Expect(w.refused).To(BeEmpty())
		for _, id := range taken {
			w.release(entry1, id, home.OutcomeServed)
		}
		Expect(w.granted).To(HaveKey(excluding))
		Expect(place(w, excluding)).To(Equal(replicaID(0)))
	})

	It("refuses the last request of the longest backlog, not the newest one, if a queue is full", func() {
		w := newSimulation(home.Config{}, document(6, 2), replicas(1, 2))
		var heavy []home.SlotRequestID
		for range 8 {
			heavy = append(heavy, w.request(entry1, "draft", 0))
		}
		Expect(w.refused[heavy[7]].Reason).To(Equal(state.ReasonQueueFull))
		light := w.request(entry1, "draft", 1)
		Expect(w.waiting).To(HaveKey(light))
		Expect(w.refused[heavy[6]].Reason).To(Equal(state.ReasonQueueFull))
	})

	It("refuses at once a request that cannot have its first token in time", func() {
		w := newSimulation(home.Config{}, document(100, 2), replicas(1, 2, 0.5))
		for range 20 {
			id := w.request(entry1, "check", 0)
			w.advance(time.Second)
			w.release(entry1, id, home.OutcomeServed)
		}
		w.request(entry1, "check", 0)
		w.request(entry1, "check", 0)
		soon := func(budget, latency time.Duration) func(*home.SlotRequest) {
			return func(m *home.SlotRequest) { m.Budget, m.FirstTokenLatency = budget, latency }
		}
		for _, late := range []home.SlotRequestID{
			w.request(entry1, "check", 0, soon(400*time.Millisecond, 0)),           // 1 ahead of it, 2 slots released per second
			w.request(entry1, "check", 0, soon(time.Second, 400*time.Millisecond)), // and a prefill of 0.8 s
		} {
			Expect(w.refused[late].Reason).To(Equal(state.ReasonDeadline))
			Expect(w.refused[late].RetryAfter).To(BeNumerically(">=", 1))
		}
		Expect(w.waiting).To(HaveKey(w.request(entry1, "check", 0, soon(time.Second, 100*time.Millisecond))))
	})
})
