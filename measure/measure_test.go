package measure_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/measure"
)

// small is a layout that takes a few milliseconds per token.
func small() measure.Layout {
	return measure.Layout{
		Groups:   []measure.ReplicaGroup{{Kind: "fast", Replicas: 2, StepTimes: []time.Duration{3 * time.Millisecond, 6 * time.Millisecond}}},
		Layers:   8,
		BatchCap: 4,
		Slots:    16,
	}
}

var _ = Describe("The bound", func() {
	It("is the rate of full batches of the slowest stage", func() {
		Expect(small().Bound()).To(BeNumerically("~", 2*4/0.006))
	})

	It("is limited by the slots if a pass through all stages occupies them", func() {
		l := small()
		l.Slots = 3
		Expect(l.Bound()).To(BeNumerically("~", 2*3/0.009))
	})
})

var _ = Describe("Throughput", func() {
	It("counts completed answers of both strategies, all of them correct", func() {
		cfg := measure.ThroughputConfig{
			Layout: small(), Daemons: 2, WarmUp: 500 * time.Millisecond, Window: 500 * time.Millisecond,
			Mix:          measure.Mix{CheckShare: 0.5, CheckTokens: 4, MinDraftTokens: 8, MaxDraftTokens: 16},
			OfferedLoads: []float64{0.2, 2}, Seed: 1,
		}
		res, err := measure.RunThroughput(context.Background(), cfg, func(line string) { GinkgoWriter.Println(line) })
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Strategies).To(HaveLen(2))
		for _, w := range res.Strategies {
			Expect(w.Levels).To(HaveLen(len(cfg.OfferedLoads)))
			for _, lv := range w.Levels {
				Expect(lv.TokenRatio).To(BeNumerically(">", 0), w.Name)
				Expect(lv.Goodput).To(BeNumerically("<=", lv.TokenRatio))
				Expect(lv.WrongAnswers).To(BeZero(), w.Name)
				Expect(lv.Violations).To(BeZero(), w.Name)
			}
		}
		for _, lv := range res.Strategies[0].Levels {
			Expect(lv.RefusedButRan).To(BeZero())
		}
		Expect(res.Goals).To(HaveLen(5))
	})
})

var _ = Describe("Recovery", func() {
	It("completes every answer through every failure, each token once", func() {
		cfg := measure.DefaultRecovery()
		cfg.Layout = small()
		cfg.Layout.Groups[0].Replicas = 3
		cfg.Daemons, cfg.Rounds, cfg.Streams, cfg.Tokens, cfg.ShortTimeouts = 3, 1, 8, 40, true
		cfg.Outage = 500 * time.Millisecond
		cfg.Faults = []measure.Fault{
			measure.FaultStageDies, measure.FaultStageUnresponsive, measure.FaultDaemonDies, measure.FaultStoreOutageEnds,
		}
		res, err := measure.RunRecovery(context.Background(), cfg, func(line string) { GinkgoWriter.Println(line) })
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Faults).To(HaveLen(2 + 2 + 2 + 1))
		for _, f := range res.Faults {
			Expect(f.Streams).To(BeNumerically(">", 0))
			Expect(f.WrongAnswers).To(BeZero(), f.String())
			Expect(f.RanTwice).To(BeZero(), f.String())
			Expect(f.Violations).To(BeZero(), f.String())
			if f.Strategy == measure.StrategyDaemons {
				Expect(f.Incomplete).To(BeZero(), f.String())
			}
		}
		Expect(res.Goals).To(HaveLen(2))
	})
})
