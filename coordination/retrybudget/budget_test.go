package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var cfg = retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 200}

// recorded is a budget whose records are written at once, and whose retries arrive at once.
type recorded struct{ *retrybudget.Budget }

func newRecorded(now time.Time) recorded { return recorded{retrybudget.New(cfg, now)} }

// spend takes a retry, after a new record if one is needed, and settles it.
func (b recorded) spend(now time.Time, svc state.ServiceID, by retrybudget.SlackShare) bool {
	grant, ok := b.take(now, svc, by)
	if ok {
		b.Settle(now, grant)
	}
	return ok
}

// take takes a retry, after a new record if one is needed.
func (b recorded) take(now time.Time, svc state.ServiceID, by retrybudget.SlackShare) (retrybudget.Grant, bool) {
	if grant, ok := b.Spend(now, svc, by); ok {
		return grant, true
	}
	b.NewRecord(now, 0, []state.ServiceID{svc}, by)
	b.Written(svc)
	return b.Spend(now, svc, by)
}

var _ = Describe("The retry budget", func() {
	It("shares the slack among the daemons", func() {
		now, n := time.Unix(1000, 0), 0
		b := newRecorded(now)
		for b.spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
			n++
		}
		Expect(7 * n).To(BeNumerically("<=", 200))
		Expect(n).To(BeNumerically(">", 10))
	})

	It("allows retries again once a window has passed", func() {
		now := time.Unix(1000, 0)
		b := newRecorded(now)
		for b.spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
		}
		Expect(b.spend(now.Add(9*time.Second), "s", retrybudget.SlackShare{Daemons: 7})).To(BeFalse())
		Expect(b.spend(now.Add(11*time.Second), "s", retrybudget.SlackShare{Daemons: 7})).To(BeTrue())
	})

	// All daemons lose power at once and restart. If the record of spent retries were lost,
	// each daemon would spend its part of the slack a second time.
	It("is not spent a second time by restarted daemons within one window", Label("failure:all-lose-power"), func() {
		s := newSite(7)
		for i := range s.daemons {
			s.spendAll(i)
		}
		s.now = s.now.Add(3 * time.Second)
		for i := range s.daemons {
			s.restart(i)
			s.spendAll(i)
		}
		Expect(len(s.retries)).To(BeNumerically("<=", cfg.Slack))
		Expect(len(s.retries)).To(BeNumerically(">", 0.95*cfg.Slack))
	})

	// Guards against a bound that holds for one restart within a window and not for more.
	DescribeTable("holds over restarts within a window", Label("failure:retries-after-restarts"),
		func(rounds int, gap time.Duration, restarts func(round, daemon int) bool) {
			s := newSite(9)
			for round := range rounds {
				for i := range s.daemons {
					if round > 0 && restarts(round, i) {
						s.restart(i)
					}
				}
				for range int(gap / (100 * time.Millisecond)) {
					s.now = s.now.Add(100 * time.Millisecond)
					for i := range s.daemons {
						s.request(i)
						s.spendAll(i)
					}
				}
			}
			Expect(s.worstUse()).To(And(BeNumerically("<=", 1), BeNumerically(">", 0.8)))
		},
		Entry("without any", 8, 2*time.Second, func(int, int) bool { return false }),
		Entry("of all daemons, twice", 3, 3*time.Second, func(int, int) bool { return true }),
		Entry("of all daemons, four times", 5, 2*time.Second, func(int, int) bool { return true }),
		Entry("of two daemons at a time, in turn", 12, time.Second, func(round, i int) bool { return i/2 == round%5 }),
		Entry("of three daemons at a time, in turn", 8, time.Second, func(round, i int) bool { return i/3 == round%3 }),
	)

	// Guards against callers whose requests earn retries at each daemon that they move to.
	DescribeTable("holds as callers move from daemon to daemon", Label("failure:repeats-of-moving-callers"),
		func(stay, failing time.Duration) {
			const tick, perTick = 200 * time.Millisecond, 200
			s := newSite(3)
			for at := time.Duration(0); at < 36*time.Second; at += tick {
				s.now = s.now.Add(tick)
				for range perTick {
					s.request(int(at/stay) % len(s.daemons))
				}
				for i := range s.daemons {
					if at >= failing {
						s.spendAll(i)
					}
				}
			}
			Expect(s.ruleUse()).To(And(BeNumerically("<=", 1), BeNumerically(">", 0.8)))
		},
		Entry("every second", time.Second, 10*time.Second),
		Entry("once in half a window", cfg.Window/2, 10*time.Second),
		Entry("as the servers begin to fail", 12*time.Second, 12*time.Second),
	)

	// Guards against requests of many seconds that a link delivers together, and that earn retries
	// for all of them in one window.
	DescribeTable("holds as requests are delivered late", Label("failure:requests-delivered-late"),
		func(perTick int, held, failing time.Duration) {
			const tick, begin = 200 * time.Millisecond, 10 * time.Second
			s := newSite(3)
			for at := time.Duration(0); at < 40*time.Second; at += tick {
				s.now = s.now.Add(tick)
				for i := range s.daemons {
					for range perTick {
						if at < begin || at >= begin+held {
							s.request(i)
						} else {
							s.requests = append(s.requests, s.now)
						}
					}
					if at == begin+held {
						for range perTick * int(held/tick) {
							s.daemons[i].Request(s.now, s.now, "s")
						}
					}
					if at >= failing {
						s.spendAll(i)
					}
				}
			}
			Expect(s.ruleUse()).To(And(BeNumerically("<=", 1), BeNumerically(">", 0.8)))
		},
		Entry("by half a window", 50, cfg.Window/2, 12*time.Second),
		Entry("by seven seconds", 20, 7*time.Second, 15*time.Second),
		Entry("by more than a window", 10, 15*time.Second, 5*time.Second),
		Entry("by more than a window, few of them", 2, 15*time.Second, 15*time.Second),
	)

	It("spends again what a restarted daemon had left", func() {
		s := newSite(4)
		s.restart(0)
		Expect(s.spendAll(0)).To(BeNumerically(">=", int(0.7*cfg.Slack/4)))
	})

	// Guards against retries that are paid for and never made, and against refunds that allow more
	// than a record says.
	It("gives back a retry that was not made", Label("failure:retry-paid-not-made"), func() {
		share := retrybudget.SlackShare{Daemons: 7}
		now := time.Unix(1000, 0)
		b := retrybudget.New(cfg, now)
		record := b.NewRecord(now, 0, services, share)
		b.Written("s")
		var last retrybudget.Grant
		for range record.Services["s"].Reserved {
			grant, ok := b.Spend(now, "s", share)
			Expect(ok).To(BeTrue())
			last = grant
		}
		spent := func(at time.Time) bool {
			_, ok := b.Spend(at, "s", share)
			return ok
		}
		Expect(spent(now)).To(BeFalse(), "the record is used")
		left := b.Left(now, "s", share)
		later := now.Add(2 * time.Second)
		b.Refund(last)
		Expect(b.Left(later, "s", share)).To(Equal(left + 1))
		Expect(spent(later)).To(BeTrue())
		Expect(spent(later)).To(BeFalse(), "the refund allows one retry")
		Expect(b.Left(later.Add(time.Minute), "s", share)).To(Equal(left), "retries that may still arrive do not leave the window")
	})

	// Guards against retries that are granted over two windows and arrive in one.
	It("counts a retry until a window after it can no longer arrive", Label("failure:repeats-arrive-late"), func() {
		share := retrybudget.SlackShare{Daemons: 7}
		now := time.Unix(1000, 0)
		b := newRecorded(now)
		var open []retrybudget.Grant
		for {
			grant, ok := b.take(now, "s", share)
			if !ok {
				break
			}
			open = append(open, grant)
		}
		now = now.Add(3 * cfg.Window)
		Expect(b.spend(now, "s", share)).To(BeFalse(), "all of them may arrive now")
		for _, grant := range open {
			b.Settle(now, grant)
		}
		Expect(b.spend(now.Add(cfg.Window-cfg.Window/10), "s", share)).To(BeFalse(), "they have arrived within this window")
		Expect(b.spend(now.Add(cfg.Window+cfg.Window/10), "s", share)).To(BeTrue())
	})

	// Guards against retries that the table does not know of and that a restarted daemon spends again,
	// and against a daemon whose table is away for long and that retries nothing.
	It("has the reservation of the last record in each window while the table does not answer", Label("failure:retries-unrecorded"), func() {
		now, share := time.Unix(1000, 0), retrybudget.SlackShare{Daemons: 7}
		b := retrybudget.New(cfg, now)
		_, ok := b.Spend(now, "s", share)
		Expect(ok).To(BeFalse(), "no record was written")
		Expect(b.Pending(now, "s", share)).To(BeTrue())
		reserved := b.NewRecord(now, 0, services, share).Services["s"].Reserved
		b.Written("s")
		spendAll := func() (n int) {
			for {
				grant, ok := b.Spend(now, "s", share)
				if !ok {
					return n
				}
				b.Settle(now, grant)
				n++
			}
		}
		Expect(spendAll()).To(And(Equal(reserved), BeNumerically(">", 0)))
		lost := b.NewRecord(now, 0, services, share)
		Expect(lost.Services["s"].Reserved).To(BeNumerically(">", 0))
		Expect(spendAll()).To(BeZero(), "it is not known whether the record was written")
		now = now.Add(cfg.Window - time.Second)
		Expect(spendAll()).To(BeZero())
		now = now.Add(2 * time.Second)
		Expect(spendAll()).To(Equal(reserved))
	})

	// Guards against a write that failed and takes effect later: the next process continues from
	// the older record or from the newer one.
	It("keeps to each record that the next process may read", Label("failure:retries-unrecorded"), func() {
		now, share := time.Unix(1000, 0), retrybudget.SlackShare{Daemons: 1}
		b := retrybudget.New(cfg, now)
		first := b.NewRecord(now, 0, services, share)
		b.Written("s")
		second := b.NewRecord(now, 0, services, share)
		n := 0
		for {
			if _, ok := b.Spend(now, "s", share); !ok {
				break
			}
			n++
		}
		for _, r := range []retrybudget.Record{first, second} {
			next := retrybudget.New(cfg, now)
			next.Inherit(now, 0, r)
			Expect(next.Left(now, "s", share) + n).To(BeNumerically("<=", cfg.Slack))
		}
	})

	// Guards against a daemon that stood still and earns the retries for many seconds of requests in
	// one window.
	It("counts requests from when callers may have sent them", Label("failure:requests-read-late"), func() {
		now, share := time.Unix(1000, 0), retrybudget.SlackShare{Daemons: 1}
		b := newRecorded(now)
		now = now.Add(5 * cfg.Window)
		left := b.Left(now, "s", share)
		for range 100 {
			b.Request(now, now.Add(-2*cfg.Window), "s")
		}
		Expect(b.Left(now, "s", share)).To(Equal(left), "they were sent in an earlier window")
		for range 100 {
			b.Request(now, now.Add(-cfg.Window/2), "s")
		}
		Expect(b.Left(now, "s", share)).To(Equal(left+6), "a third of the ratio: they lie in one of three intervals")
		Expect(b.Left(now.Add(cfg.Window/2), "s", share)).To(Equal(left))
	})

	// Guards against retries that a record dates by when it was made, and that arrive later.
	It("counts retries that were open when a record was made from the next process's start on", Label("failure:repeats-arrive-late"), func() {
		s := newSite(1)
		for {
			if s.spend(0) {
				continue
			}
			before := s.daemons[0].Left(s.now, "s", s.share)
			if before == 0 {
				break
			}
			s.record(0)
		}
		s.record(0)
		s.now = s.now.Add(8 * time.Second)
		s.restart(0) // what was open arrives now
		s.now = s.now.Add(5 * time.Second)
		s.spendAll(0)
		Expect(s.worstUse()).To(BeNumerically("<=", 1))
	})

	// Guards against calls that an ended process has left at servers which read them after its
	// successor has spent the retries again.
	It("counts what an ended process has left until it can arrive no more", Label("failure:repeats-of-ended-daemons"), func() {
		s := newSite(1)
		for s.daemons[0].Left(s.now, "s", s.share) > 0 {
			if !s.spend(0) {
				s.record(0)
			}
		}
		s.record(0)
		for range 2 {
			s.leave(0)
			s.now = s.now.Add(2 * cfg.Window)
			Expect(s.spendAll(0)).To(BeZero())
		}
		for len(s.open) > 0 {
			s.arrive(0)
		}
		s.now = s.now.Add(cfg.Window - time.Second)
		Expect(s.spendAll(0)).To(BeZero())
		s.now = s.now.Add(2 * time.Second)
		Expect(s.spendAll(0)).To(BeNumerically(">", 0.95*cfg.Slack))
		Expect(s.worstUse()).To(BeNumerically("<=", 1))
	})

	It("has no slack while it is withheld", func() {
		s := newSite(1)
		s.share.Withheld = true
		Expect(s.spendAll(0)).To(BeZero())
	})

	// A daemon that has just started knows of no other daemon yet and would take the
	// whole slack for itself.
	It("has no slack while the number of daemons is unknown", Label("failure:all-lose-power"), func() {
		now := time.Unix(1000, 0)
		b := newRecorded(now)
		Expect(b.spend(now, "s", retrybudget.SlackShare{Daemons: 0})).To(BeFalse())
		for range 15 {
			b.Request(now, now, "s")
		}
		Expect(b.spend(now, "s", retrybudget.SlackShare{Daemons: 0})).To(BeTrue(), "the ratio of its own requests needs no other daemon")
	})

	It("counts each service separately", func() {
		now := time.Unix(1000, 0)
		b := newRecorded(now)
		for b.spend(now, "s", retrybudget.SlackShare{Daemons: 7}) {
		}
		Expect(b.spend(now, "t", retrybudget.SlackShare{Daemons: 7})).To(BeTrue())
	})
})

// No interval of one window contains more retries of a daemon than its part of the
// slack plus the ratio of the requests in that interval.
func TestBudgetHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := newRecorded(now)
		var requests, retries []time.Time
		var open []retrybudget.Grant
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch {
			case rapid.Bool().Draw(t, "request"):
				b.Request(now, now, "s")
				requests = append(requests, now)
			case len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "refund") == 0:
				b.Refund(open[len(open)-1])
				open = open[:len(open)-1]
			case len(open) > 0 && rapid.Bool().Draw(t, "arrive"):
				b.Settle(now, open[0])
				retries, open = append(retries, now), open[1:]
			default:
				if grant, ok := b.take(now, "s", retrybudget.SlackShare{Daemons: 4}); ok {
					open = append(open, grant)
				}
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
