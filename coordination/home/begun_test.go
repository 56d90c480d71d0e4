package home_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
})
