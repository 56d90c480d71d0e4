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

	It("allows retries again once a window has passed", func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
		}
		Expect(b.Spend(now.Add(9*time.Second), "s", retrybudget.SlackShare{Daemons: 7})).To(BeFalse())
		Expect(b.Spend(now.Add(11*time.Second), "s", retrybudget.SlackShare{Daemons: 7})).To(BeTrue())
	})

	// All daemons lose power at once and restart. The record of spent retries is lost,
	// so without the reserve each daemon would spend its part of the slack a second
	// time and backend servers would get more retries than the site allows.
	It("is not spent a second time by restarted daemons within one window", Label("failure:all-lose-power"), func() {
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

	// A daemon that has just started knows of no other daemon yet and would take the
	// whole slack for itself.
	It("has no slack while the number of daemons is unknown", Label("failure:all-lose-power"), func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		Expect(b.Spend(now, "s", retrybudget.SlackShare{Daemons: 0})).To(BeFalse())
		for range 10 {
			b.Request(now, "s")
		}
		Expect(b.Spend(now, "s", retrybudget.SlackShare{Daemons: 0})).To(BeTrue(), "the ratio of its own requests needs no other daemon")
	})

	It("counts each service separately", func() {
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		for b.Spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
		}
		Expect(b.Spend(now, "t", retrybudget.SlackShare{Daemons: 7})).To(BeTrue())
	})
})

// No interval of one window contains more retries of a daemon than its part of the
// slack plus the ratio of the requests in that interval.
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
