package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

var cfg = retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 200}

var _ = Describe("The retry budget", func() {
	It("shares the slack among the daemons", func() {
		now, n := time.Unix(1000, 0), 0
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", 7) {
			n++
		}
		Expect(7 * n).To(BeNumerically("<=", 200))
		Expect(n).To(BeNumerically(">", 10))
	})

	It("has room again once a window has passed", func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", 7) {
		}
		Expect(b.Spend(now.Add(9*time.Second), "s", 7)).To(BeFalse())
		Expect(b.Spend(now.Add(11*time.Second), "s", 7)).To(BeTrue())
	})

	It("counts services apart", func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", 7) {
		}
		Expect(b.Spend(now, "t", 7)).To(BeTrue())
	})
})

// In no span of one window are there more retries of one daemon than its share of
// the slack and the ratio of the requests of that span and the one before allow.
func TestBudgetHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, "s")
				requests = append(requests, now)
			} else if b.Spend(now, "s", 4) {
				retries = append(retries, now)
			}
		}
		within := func(list []time.Time, from, to time.Time) int {
			n := 0
			for _, at := range list {
				if !at.Before(from) && at.Before(to) {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			to := end.Add(1)
			from := to.Add(-cfg.Window)
			allowed := cfg.Ratio*float64(within(requests, from, to)) + cfg.Slack/4
			if n := within(retries, from, to); float64(n) > allowed {
				t.Fatalf("%d retries in a window that allows %v", n, allowed)
			}
		}
	})
}
