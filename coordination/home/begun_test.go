package home_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// begun makes a request that of an answer that has begun.
func begun(m *home.SlotRequest) { m.Begun = true }

var _ = Describe("an answer that has begun", func() {
	within := func(budget, latency time.Duration) func(*home.SlotRequest) {
		return func(m *home.SlotRequest) { m.Budget, m.FirstTokenLatency = budget, latency }
	}

	// Guards against an answer that is lost although it may wait, because the queue is
	// estimated to be longer than that. The estimate is for first tokens, and after a death
	// it is high: few slots are in use, and few are released.
	It("waits its own time, whatever the estimate", Label("failure:begun-answer-refused-by-an-estimate"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 1), entry1)
		w.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID}})
		for range 10 {
			id := w.request(entry1, "draft", 0)
			w.advance(15 * time.Second)
			w.release(entry1, id, home.OutcomeServed)
		}
		ahead := w.request(entry1, "draft", 0)
		Expect(w.refused[w.request(entry1, "draft", 0, within(10*time.Second, 0))].Reason).To(Equal(state.ReasonDeadline),
			"a request that has not begun")
		first := w.request(entry1, "draft", 0, within(10*time.Second, 0), begun)
		Expect(w.waiting).To(HaveKey(first))
		w.advance(9 * time.Second)
		Expect(w.waiting).To(HaveKey(first))
		w.release(entry1, ahead, home.OutcomeServed)
		Expect(w.granted).To(HaveKey(first))

		second := w.request(entry1, "draft", 0, within(10*time.Second, 0), begun)
		w.advance(10*time.Second - time.Millisecond)
		Expect(w.waiting).To(HaveKey(second))
		w.advance(time.Millisecond)
		Expect(w.refused[second].Reason).To(Equal(state.ReasonDeadline), "its own time has run out")
	})

	// Guards against an answer that is lost because the replicas left are slow.
	It("takes any replica, however late it would produce a first token", Label("failure:begun-answer-refused-by-an-estimate"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 1, 0.1))
		Expect(w.refused[w.request(entry1, "draft", 0, within(10*time.Second, 2*time.Second))].Reason).To(Equal(state.ReasonDeadline))
		Expect(w.granted).To(HaveKey(w.request(entry1, "draft", 0, within(10*time.Second, 2*time.Second), begun)))
		queued := w.request(entry1, "draft", 0, within(10*time.Second, 2*time.Second), begun)
		w.advance(9 * time.Second)
		Expect(w.waiting).To(HaveKey(queued))
	})

	// Guards against an answer that is lost because a death cuts more of them than the
	// queue holds.
	It("is neither refused for a full queue nor evicted from it", Label("failure:begun-answer-refused-by-an-estimate"), func() {
		w := newSimulation(home.Config{}, document(2, 2), replicas(1, 1))
		w.request(entry1, "draft", 0)
		queued := []home.SlotRequestID{w.request(entry1, "draft", 0), w.request(entry1, "draft", 0)}
		resumed := []home.SlotRequestID{w.request(entry1, "draft", 0, begun), w.request(entry1, "draft", 0, begun)}
		for _, id := range append(queued, resumed...) {
			Expect(w.waiting).To(HaveKey(id))
		}
		Expect(w.refused[w.request(entry1, "draft", 0)].Reason).To(Equal(state.ReasonQueueFull))
		light := w.request(entry1, "draft", 1)
		Expect(w.waiting).To(HaveKey(light))
		Expect(w.refused[queued[1]].Reason).To(Equal(state.ReasonQueueFull), "the last that has not begun")
		for _, id := range append(resumed, queued[0]) {
			Expect(w.waiting).To(HaveKey(id))
		}
	})

	// Guards against a home that takes all of a processor's time while a staggered request
	// waits for a full replica: the time at which it could start has passed.
	It("needs no tick while it waits for a slot of its replica", Label("failure:home-ticks-without-pause"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 2), entry1)
		w.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID}})
		for range 2 {
			w.request(entry1, "check", 0)
		}
		staggered := w.request(entry1, "check", 0, begun, func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true })
		w.now = w.now.Add(500 * time.Millisecond)
		w.step(home.Tick{})
		Expect(w.waiting).To(HaveKey(staggered))
		Expect(w.home.NextTick(w.now)).To(BeTemporally(">", w.now))
	})

	// Guards against a request that waits for nothing: its replica is free, but the time at
	// which it may start has come between the last event and the question for the next tick.
	It("gets a tick if it may start since the last event", Label("failure:home-ticks-without-pause"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 2), entry1)
		w.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID}})
		w.request(entry1, "check", 0)
		staggered := w.request(entry1, "check", 0, begun, func(m *home.SlotRequest) { m.Exclusive, m.Staggered = true, true })
		start := w.home.NextTick(w.now)
		w.now = start.Add(-time.Microsecond)
		w.step(home.Tick{})
		Expect(w.waiting).To(HaveKey(staggered))
		w.now = start.Add(time.Microsecond)
		Expect(w.home.NextTick(w.now)).To(Equal(start))
		w.step(home.Tick{})
		Expect(w.granted).To(HaveKey(staggered))
	})

	// Guards against any other way to refuse an answer that has begun: whatever else
	// requests, releases and failures a home sees, only its own time ends its wait.
	It("is refused only when its own time has run out", Label("failure:begun-answer-refused-by-an-estimate"), func() {
		waited := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newSimulation(home.Config{}, document(rapid.IntRange(1, 6).Draw(t, "queue"), 2),
				replicas(rapid.IntRange(1, 3).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "slots"), 1, 0.2), entry1)
			w.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID}})
			until := map[home.SlotRequestID]time.Time{}
			var granted []home.SlotRequestID
			for range rapid.IntRange(1, 100).Draw(t, "events") {
				switch rapid.SampledFrom([]string{"request", "begun", "release", "fail", "time"}).Draw(t, "event") {
				case "request":
					w.request(entry1, "draft", rapid.IntRange(0, 1).Draw(t, "customer"), within(10*time.Second, time.Second))
				case "begun":
					exclusive := rapid.Bool().Draw(t, "exclusive")
					id := w.request(entry1, "draft", rapid.IntRange(0, 1).Draw(t, "customer"), within(10*time.Second, time.Second), begun,
						func(m *home.SlotRequest) { m.Exclusive, m.Staggered = exclusive, exclusive })
					until[id] = w.now.Add(10 * time.Second)
				case "release":
					granted = w.grantedInOrder()
					if len(granted) > 0 {
						w.release(entry1, rapid.SampledFrom(granted).Draw(t, "released"), home.OutcomeServed)
					}
				case "fail":
					granted = w.grantedInOrder()
					if len(granted) > 0 {
						w.release(entry1, rapid.SampledFrom(granted).Draw(t, "failed"), home.OutcomeFailed)
					}
				case "time":
					w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				}
				for id, end := range until {
					if refusal, refused := w.refused[id]; refused && w.now.Before(end) {
						t.Fatalf("%v was refused (%s) %v before its time", id, refusal.Reason, end.Sub(w.now))
					}
					if _, waits := w.waiting[id]; waits {
						waited++
					}
				}
			}
		})
		Expect(waited).To(BeNumerically(">", 100))
	})
})

// grantedInOrder returns the granted requests by name.
func (w *simulation) grantedInOrder() []home.SlotRequestID {
	ids := slices.Collect(maps.Keys(w.granted))
	slices.SortFunc(ids, func(a, b home.SlotRequestID) int { return cmp.Compare(a.Request, b.Request) })
	return ids
}
