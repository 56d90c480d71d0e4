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
		for b.Spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
			n++
		}
		Expect(7 * n).To(BeNumerically("<=", 200))
		Expect(n).To(BeNumerically(">", 10))
	})

	It("has room again once a window has passed", func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
		}
		Expect(b.Spend(now.Add(9*time.Second), "s", retrybudget.SlackShare{Daemons: 7})).To(BeFalse())
		Expect(b.Spend(now.Add(11*time.Second), "s", retrybudget.SlackShare{Daemons: 7})).To(BeTrue())
	})

	// All daemons lose power at once and start again. Backend servers get more repeats
	// than the site allows. Cause: what had been spent was forgotten, and each spent
	// its part of the slack once more.
	It("is not spent again by successors within one window", Label("failure:all-lose-power"), func() {
		const daemons = 7
		now, n := time.Unix(1000, 0), 0
		spend := func(anew bool) {
			for range daemons {
				b := retrybudget.New(cfg, now)
				for b.Spend(now, "s", retrybudget.SlackShare{Daemons: daemons, Restarted: anew}) {
					n++
				}
			}
		}
		spend(false)
		now = now.Add(3 * time.Second)
		spend(true)
		Expect(n).To(BeNumerically("<=", cfg.Slack))
		Expect(n).To(BeNumerically(">", 0.8*cfg.Slack))
	})

	// The same, since each daemon that has just started knows of no other one and takes
	// the slack of all for its own.
	It("has no slack where it is not known who shares it", Label("failure:all-lose-power"), func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		Expect(b.Spend(now, "s", retrybudget.SlackShare{Daemons: 0})).To(BeFalse())
		for range 10 {
			b.Request(now, "s")
		}
		Expect(b.Spend(now, "s", retrybudget.SlackShare{Daemons: 0})).To(BeTrue(), "a share of its own requests is its own")
	})

	It("counts services apart", func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
		}
		Expect(b.Spend(now, "t", retrybudget.SlackShare{Daemons: 7})).To(BeTrue())
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
			} else if b.Spend(now, "s", retrybudget.SlackShare{Daemons: 4}) {
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
