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

	// Guards against a second execution of a request that may run only once: a plain server runs
	// the request and its answer is lost. The caller gets 502, which promises nothing. A refusal
	// would claim that the request has not run, and a second server would run it again.
	It("neither retries nor refuses a run-once request that may have run", Label("failure:answer-lost"), func() {
		r.Repeat = fleet.AtMostOnce
		d := r.AttemptEnded(now, relay.Broken, "a")
		Expect(d).To(Equal(relay.Decision{Reason: relay.ReasonRunOnce}))
	})

	// Guards against a ready answer that is replaced by a failure of the daemon: a server answers
	// with an error, and all others turn the request away.
	It("passes a server's own failure on if no other server does better", Label("failure:ready-answer-replaced"), func() {
		r.Repeat = fleet.Idempotent
		Expect(r.AttemptEnded(now, relay.Errored, "a").Retry).To(BeTrue())
		budget = 0
		Expect(r.AttemptEnded(now, relay.NotRun, "b")).To(Equal(relay.Decision{PassFailure: true, Reason: relay.ReasonBudget}))
	})

	It("tries another server after proof that the request did not run", func() {
		r.Repeat = fleet.AtMostOnce
		Expect(r.AttemptEnded(now, relay.NotRun, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.NotSent, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse())
	})

	It("refuses after several servers proved that they did not run the request", func() {
		var d relay.Decision
		for range 4 {
			d = r.AttemptEnded(now, relay.NotRun, "a")
		}
		Expect(d).To(Equal(relay.Decision{Refuse: true, Reason: relay.ReasonAttempts}))
	})

	// Guards against answers that are truncated while engines are replaced during a burst: an
	// engine that serves the streams shuts down, and the others refuse to resume them or the retry
	// budget is used up, each for less than a second. The limits for requests that have not started
	// were applied to these streams.
	It("does not end a started stream for lack of capacity or retries", Label("failure:begun-answer-cut"), func() {
		r.Repeat = fleet.Resumable
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

	It("never refuses after a run, whatever the earlier outcomes", func() {
		r.Repeat = fleet.Idempotent
		r.AttemptEnded(now, relay.Broken, "a")
		d := r.AttemptEnded(now, relay.Broken, "b")
		Expect(d.Retry).To(BeFalse())
		Expect(d.Refuse).To(BeFalse())
	})

	// Guards against giving up an answer that might have continued: a stream stalls because a
	// server of its path died, and the retry budget is used up. The answer was ended before it was
	// known whether another attempt may follow.
	It("reports before an answer is given up whether another attempt follows", Label("failure:silent-without-budget"), func() {
		r.Repeat = fleet.Resumable
		budget = 0
		Expect(r.ReserveRetry(now, "a")).To(BeFalse())
		budget = 1
		Expect(r.ReserveRetry(now, "a")).To(BeTrue())
		Expect(r.ReserveRetry(now, "a")).To(BeTrue())
		Expect(budget).To(Equal(0), "the retry is paid for only once")
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse(), "the next retry is not paid for")
	})

	It("reserves no retry for an attempt that may not follow", func() {
		r.Repeat = fleet.AtMostOnce
		Expect(r.ReserveRetry(now, "a")).To(BeFalse())
		Expect(budget).To(Equal(10))
	})

	It("bounds the number of servers that run one request", func() {
		r.Repeat = fleet.Resumable
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "b")).To(Equal(relay.Decision{Reason: relay.ReasonAttempts}))
	})

	// Guards against cutting off a long stream that loses a hop in the middle of its path three
	// times while engines are replaced one after the other. Each time it is resumed on an engine
	// that has run it before, so that no further engine runs it.
	It("resumes a stream on the servers that have run it", Label("failure:hops-replaced"), func() {
		r.Repeat = fleet.Resumable
		r.MarkPartDelivered()
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		_, exhausted := r.Exhausted()
		Expect(exhausted).To(BeFalse())
		Expect(r.AttemptEnded(now, relay.Broken, "b").Retry).To(BeTrue())
		on, exhausted := r.Exhausted()
		Expect(exhausted).To(BeTrue())
		Expect(on).To(And(HaveKey("a"), HaveKey("b")))
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeTrue())
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse(), "four runs are the limit")
	})

	It("passes on a server's own failure if no other server may be tried", func() {
		r.Repeat = fleet.AtMostOnce
		Expect(r.AttemptEnded(now, relay.Errored, "a").PassFailure).To(BeTrue())
	})

	It("retries after events reached the caller only if the stream is resumable", func() {
		r.Repeat = fleet.Idempotent
		r.MarkPartDelivered()
		Expect(r.AttemptEnded(now, relay.Broken, "a").Retry).To(BeFalse())
	})

	It("takes a retry from the budget only if an attempt would follow", func() {
		r.Repeat = fleet.AtMostOnce
		r.AttemptEnded(now, relay.Broken, "a")
		Expect(budget).To(Equal(10))
	})

	// Guards against retries that are paid for and never made.
	It("names a retry that was paid for and not sent", Label("failure:retry-paid-not-made"), func() {
		r.Repeat = fleet.Idempotent
		_, unused := r.Unused()
		Expect(unused).To(BeFalse())
		r.AttemptEnded(now, relay.NotRun, "a")
		r.AttemptEnded(now.Add(time.Second), relay.NotSent, "b")
		at, unused := r.Unused()
		Expect(unused).To(BeTrue())
		Expect(at).To(Equal(now))
		r.MarkSent()
		_, unused = r.Unused()
		Expect(unused).To(BeFalse())
		Expect(r.ReserveRetry(now, "c")).To(BeTrue())
		_, unused = r.Unused()
		Expect(unused).To(BeTrue())
	})

	It("stops at the deadline", func() {
		r.Repeat, r.Deadline = fleet.Idempotent, now
		Expect(r.AttemptEnded(now, relay.NotRun, "a")).To(Equal(relay.Decision{Refuse: true, Reason: relay.ReasonDeadline}))
	})
})
