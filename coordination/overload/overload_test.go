package overload_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/overload"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
)

const (
	firstTarget = 500 * time.Millisecond
	pauseTarget = 250 * time.Millisecond
)

// streamOf returns a new stream while a share of the demand is more urgent.
func streamOf(moreUrgent float64) overload.Stream {
	return overload.Stream{MoreUrgent: moreUrgent, FirstTarget: firstTarget, PauseTarget: pauseTarget}
}

var _ = Describe("A stream that may start", func() {
	It("starts on engines that are not loaded, whatever its urgency", func() {
		calm := overload.Outlook{Times: overload.Times{First: 80 * time.Millisecond, Pause: 100 * time.Millisecond, KVShare: 0.4}}
		for _, moreUrgent := range []float64{0, 0.5, 1} {
			Expect(streamOf(moreUrgent).Decide(calm)).To(Equal(overload.Admitted))
		}
	})

	It("is turned away if it would be late itself", func() {
		Expect(streamOf(0).Decide(overload.Outlook{Times: overload.Times{Pause: 260 * time.Millisecond}})).To(Equal(overload.LongPauses))
		late := streamOf(0)
		late.Waited = 450 * time.Millisecond
		Expect(late.Decide(overload.Outlook{Times: overload.Times{First: 80 * time.Millisecond}})).To(Equal(overload.LateEvent))
	})

	// Guards against long prompts that are refused for ever: they miss the target on engines without
	// any load, and no waiting helps.
	It("starts on engines without load, however late it will be", Label("failure:long-prompt-never-starts"), func() {
		alone := overload.Times{First: 900 * time.Millisecond, Pause: 400 * time.Millisecond, KVShare: 1.4}
		Expect(streamOf(0.9).Decide(overload.Outlook{Times: alone, Idle: alone})).To(Equal(overload.Admitted))
		busy := alone
		busy.Pause *= 2
		Expect(streamOf(0).Decide(overload.Outlook{Times: busy, Idle: alone})).To(Equal(overload.LongPauses))
	})

	It("is told to return later the later its first event would be", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		late := overload.Outlook{Times: overload.Times{First: 3 * time.Second}}
		Expect(streamOf(0).RetryAfter(late, 3*time.Second, rng)).To(BeNumerically(">", 3*time.Second))
	})

	It("has no target to miss if its route sets none", func() {
		Expect(overload.Stream{}.Decide(overload.Outlook{Times: overload.Times{First: time.Hour, Pause: time.Hour}})).To(Equal(overload.Admitted))
	})

	// Guards against urgent streams that are late behind background work which was admitted first.
	It("leaves room for more urgent ones", Label("failure:background-before-urgent"), func() {
		busy := overload.Outlook{Times: overload.Times{Pause: 200 * time.Millisecond, KVShare: 0.6}}
		Expect(streamOf(0).Decide(busy)).To(Equal(overload.Admitted))
		Expect(streamOf(1).Decide(busy)).To(Equal(overload.LongPauses))
		full := overload.Outlook{Times: overload.Times{Pause: 100 * time.Millisecond, KVShare: 1.15}}
		Expect(streamOf(0).Decide(full)).To(Equal(overload.Admitted))
		Expect(streamOf(1).Decide(full)).To(Equal(overload.NoMemory))
	})

	It("is taken for less urgent if its customer exceeds its share", func() {
		busy := overload.Outlook{Times: overload.Times{Pause: 230 * time.Millisecond, KVShare: 0.6}}
		greedy := streamOf(0)
		greedy.Excess = 1
		Expect(greedy.Decide(busy)).To(Equal(overload.LongPauses))
	})

	It("is told to return when streams will have ended, not at the same time as others", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		const life = 3 * time.Second
		slight, heavy := overload.Outlook{Times: overload.Times{Pause: 260 * time.Millisecond}}, overload.Outlook{Times: overload.Times{Pause: time.Second}}
		var shortest, longest time.Duration
		for range 100 {
			d := streamOf(0).RetryAfter(heavy, life, rng)
			Expect(d).To(BeNumerically(">", streamOf(0).RetryAfter(slight, life, rng)))
			if shortest == 0 || d < shortest {
				shortest = d
			}
			longest = max(longest, d)
		}
		Expect(longest - shortest).To(BeNumerically(">", time.Second))
		Expect(longest).To(BeNumerically("<=", 6*time.Second))
	})
})

var _ = Describe("The correction of predictions", func() {
	start := time.Unix(1000, 0)
	// path has a usual pause of 60 ms, most of it on a slow engine.
	path := pathing.Prediction{FirstMS: 60, Hops: []pathing.HopPrediction{{Kind: "fast", PauseMS: 10}, {Kind: "slow", PauseMS: 50}}}
	other := pathing.Prediction{FirstMS: 60, Hops: []pathing.HopPrediction{{Kind: "fast", PauseMS: 60}}}

	It("is none before anything was measured", func() {
		m := overload.NewModel()
		Expect(m.Outlook(start, path).First).To(Equal(60 * time.Millisecond))
	})

	// Guards against streams that go on starting for seconds on engines that have turned slow.
	It("follows engines that turn slow within a second, and forgets it within three", Label("failure:slow-engines-overfilled"), func() {
		m := overload.NewModel()
		now := start
		for ; now.Before(start.Add(time.Second)); now = now.Add(20 * time.Millisecond) {
			m.Observe(now, path, 300*time.Millisecond)
		}
		Expect(streamOf(0).Decide(m.Outlook(now, path))).To(Equal(overload.LongPauses))
		Expect(m.Outlook(now, other).Pause).To(BeNumerically("<", m.Outlook(now, path).Pause), "the other kind has less part in it")
		Expect(streamOf(0).Decide(m.Outlook(now.Add(3*time.Second), path))).To(Equal(overload.Admitted), "nothing is measured while nothing starts")
	})

	It("bounds what one measurement shows, and keeps what it knows if an earlier one comes later", func() {
		m := overload.NewModel()
		m.Observe(start, path, time.Hour)
		once := m.Outlook(start, path)
		Expect(streamOf(0).Decide(once)).To(Equal(overload.Admitted))
		m.Observe(start.Add(-time.Minute), path, 60*time.Millisecond)
		Expect(m.Outlook(start, path).Pause).To(BeNumerically("~", once.Pause, once.Pause/20))
	})

	It("learns how long streams take", func() {
		m := overload.NewModel()
		for range 200 {
			m.StreamEnded(time.Second)
		}
		Expect(m.Life()).To(BeNumerically("~", time.Second, 50*time.Millisecond))
	})
})
