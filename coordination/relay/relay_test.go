package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var now = time.Unix(1000, 0)

var _ = Describe("A request's attempts", func() {
	var r relay.Retrier
	budget := 10

	BeforeEach(func() {
		budget = 10
		r = relay.Retrier{MaxAttempts: 2, SpendRetry: func(time.Time) bool { budget--; return budget >= 0 }}
	})

	// A plain server runs a request that may run once and its answer is lost. The
	// caller gets 502, which promises nothing. Cause: a refusal would claim that it
	// has not run, and a second server would run it again.
	It("neither repeats nor refuses what may have run once", Label("failure:answer-lost"), func() {
		r.Repeat = fleet.RunOnce
		d := r.AttemptEnded(now, relay.Broken, "a")
		Expect(d).To(Equal(relay.Decision{Reason: relay.ReasonRunOnce}))
	})

	It("tries another server after a proof that the request did not run", func() {
		r.Repeat = fleet.RunOnce
		Expect(r.AttemptEnded(now, relay.NotRun, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.NotSent, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse())
	})

	It("refuses once several servers proved that they did not run it", func() {
		var d relay.Decision
		for range 4 {
			d = r.AttemptEnded(now, relay.NotRun, "a")
		}
		Expect(d).To(Equal(relay.Decision{Refuse: true, Reason: relay.ReasonAttempts}))
	})

	// Drafts end in the middle while engines are replaced beside a burst. Order: an engine leaves
	// with them, the others refuse the rest or the retry budget is used up; both pass within a
	// second. Cause: what turns a request away that has not begun cut these off.
	It("does not end a stream that has begun for want of room or of retries", Label("failure:begun-answer-cut"), func() {
		r.Repeat = fleet.RunOn
		r.MarkPartDelivered()
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		for range 5 {
			Expect(r.AttemptEnded(now, relay.NotRun, "b").Retry).To(BeTrue())
		}
		budget = 0
		Expect(r.AttemptEnded(now, relay.NotRun, "b")).To(Equal(relay.Decision{RetryLater: true, Reason: relay.ReasonBudget}))
		Expect(r.Reconsider(now).RetryLater).To(BeTrue())
		budget = 1
		Expect(r.Reconsider(now)).To(Equal(relay.Decision{Retry: true}))
		r.Deadline = now
		Expect(r.AttemptEnded(now, relay.NotRun, "b")).To(Equal(relay.Decision{Reason: relay.ReasonDeadline}))
	})

	It("never refuses after a run, whatever came before", func() {
		r.Repeat = fleet.RunAgain
		r.AttemptEnded(now, relay.Broken, "a")
		d := r.AttemptEnded(now, relay.Broken, "b")
		Expect(d.Retry).To(BeFalse())
		Expect(d.Refuse).To(BeFalse())
	})

	// A stream falls silent since a server of its path died, and the retry budget is
	// used up. Its caller loses an answer that might have gone on. Cause: it was
	// ended before it was known whether another attempt may follow.
	It("tells before an answer is given up whether another attempt follows", Label("failure:silent-without-budget"), func() {
		r.Repeat = fleet.RunOn
		budget = 0
		Expect(r.ReserveRetry(now, "a")).To(BeFalse())
		budget = 1
		Expect(r.ReserveRetry(now, "a")).To(BeTrue())
		Expect(r.ReserveRetry(now, "a")).To(BeTrue())
		Expect(budget).To(Equal(0), "the retry is paid for once")
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse(), "the next one is not paid for")
	})

	It("reserves nothing for an attempt that may not follow", func() {
		r.Repeat = fleet.RunOnce
		Expect(r.ReserveRetry(now, "a")).To(BeFalse())
		Expect(budget).To(Equal(10))
	})

	It("bounds the servers that run one request", func() {
		r.Repeat = fleet.RunOn
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "b")).To(Equal(relay.Decision{Reason: relay.ReasonAttempts}))
	})

	// Engines are replaced one after the other, and a long stream loses a hop in the
	// middle of its path three times in all. It goes on each time at an engine that has
	// begun it before, so that no further one runs it, and is not cut.
	It("lets a stream go on at the servers that have run it", Label("failure:hops-replaced"), func() {
		r.Repeat = fleet.RunOn
		r.MarkPartDelivered()
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		_, exhausted := r.Exhausted()
		Expect(exhausted).To(BeFalse())
		Expect(r.AttemptEnded(now, relay.Broken, "b").Retry).To(BeTrue())
		on, exhausted := r.Exhausted()
		Expect(exhausted).To(BeTrue())
		Expect(on).To(And(HaveKey("a"), HaveKey("b")))
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse(), "four runs are enough")
	})

	It("passes a server's own failure on where no other may be tried", func() {
		r.Repeat = fleet.RunOnce
		Expect(r.AttemptEnded(now, relay.Errored, "a").PassFailure).To(BeTrue())
	})

	It("goes on after events reached the caller only where that is allowed", func() {
		r.Repeat = fleet.RunAgain
		r.MarkPartDelivered()
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse())
	})

	It("asks the budget only for a retry that would follow", func() {
		r.Repeat = fleet.RunOnce
		r.AttemptEnded(now, relay.Broken, "a")
		Expect(budget).To(Equal(10))
	})

	It("stops at the deadline", func() {
		r.Repeat, r.Deadline = fleet.RunAgain, now
		Expect(r.AttemptEnded(now, relay.NotRun, "a")).To(Equal(relay.Decision{Refuse: true, Reason: relay.ReasonDeadline}))
	})
})
