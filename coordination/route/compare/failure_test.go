package compare_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/route/compare"
)

func TestFailures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "compare")
}

var _ = Describe("homes against what daemons see late", func() {
	// What a user sees: a clerk's check waits for seconds though replicas are
	// idle. Order: all daemons read the same load reports, 0.5 to 1.5 s old,
	// and send to the same replicas until the next ones. Cause: the lag.
	It("keeps checks fast where lagging load reports do not", Label("failure:lagging-load"), func() {
		s := compare.LargeSetup(0.9)
		s.Duration = 4 * time.Minute
		lagging := compare.Run(s, compare.TwoChoicesCounted)
		homes := compare.Run(s, compare.HomePerPoolOf64)
		ms := func(r compare.Result, q float64) int64 { return r.First[compare.Check].ValueAtQuantile(q) / 1000 }
		Expect(ms(homes, 99)).To(BeNumerically("<", 550))
		Expect(ms(lagging, 99)).To(BeNumerically(">", 2*ms(homes, 99)))
		Expect(homes.Throughput).To(BeNumerically(">", lagging.Throughput))
		Expect(homes.Missed[compare.Draft]).To(BeNumerically("<", lagging.Missed[compare.Draft]))
	})

	// What a user sees: nothing, or a first token that is a prefill later.
	// Order: engines drop prefixes; every event of it is lost, so homes go on
	// steering requests by beliefs that are wrong. Cause: events come late
	// and with gaps.
	It("loses nothing by beliefs about caches that are all wrong", Label("failure:late-cache-events"), func() {
		s := compare.LargeSetup(0.9)
		s.Duration, s.Prefixes = 4*time.Minute, 5000 // far more than the engines keep
		untold := compare.Run(s, compare.HomePerPoolOf64)
		s.Affinity, s.CacheLoss = true, 1
		wrong := compare.Run(s, compare.HomePerPoolOf64)
		Expect(wrong.Throughput).To(BeNumerically(">", 0.99*untold.Throughput))
		for _, c := range []compare.Class{compare.Check, compare.Draft} {
			late := wrong.First[c].ValueAtQuantile(95) - untold.First[c].ValueAtQuantile(95)
			Expect(late).To(BeNumerically("<", 200_000), "microseconds")
		}
	})
})
