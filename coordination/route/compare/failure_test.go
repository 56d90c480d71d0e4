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

var _ = Describe("homes compared to policies with outdated information", func() {
	// All daemons read the same load reports, which are 0.5 to 1.5 s old, and send to
	// the same replicas until the next reports. Checks then wait for seconds while
	// replicas are idle.
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

	// Engines drop prefixes and every cache event is lost, so homes keep choosing
	// replicas by wrong estimates. At worst a first token is late by one prefill.
	It("loses no throughput by cache estimates that are all wrong", Label("failure:late-cache-events"), func() {
		s := compare.LargeSetup(0.9)
		s.Duration, s.Prefixes = 4*time.Minute, 5000 // far more than the engines keep
		withoutAffinity := compare.Run(s, compare.HomePerPoolOf64)
		s.Affinity, s.CacheLoss = true, 1
		wrong := compare.Run(s, compare.HomePerPoolOf64)
		Expect(wrong.Throughput).To(BeNumerically(">", 0.99*withoutAffinity.Throughput))
		for _, c := range []compare.Class{compare.Check, compare.Draft} {
			late := wrong.First[c].ValueAtQuantile(95) - withoutAffinity.First[c].ValueAtQuantile(95)
			Expect(late).To(BeNumerically("<", 200_000), "microseconds")
		}
	})
})
