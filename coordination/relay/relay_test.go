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
	var r relay.Relay
	budget := 10

	BeforeEach(func() {
		budget = 10
		r = relay.Relay{MaxAttempts: 2, Spend: func(time.Time) bool { budget--; return budget >= 0 }}
	})

	// A plain server runs a request that may run once and its answer is lost. The
	// caller gets 502, which promises nothing. Cause: a refusal would claim that it
	// has not run, and a second server would run it again.
	It("neither repeats nor refuses what may have run once", Label("failure:answer-lost"), func() {
		r.Repeat = fleet.RunOnce
		d := r.Ended(now, relay.Broken)
		Expect(d).To(Equal(relay.Decision{Reason: relay.ReasonRunOnce}))
	})

	It("tries another server after a proof that the request did not run", func() {
		r.Repeat = fleet.RunOnce
		Expect(r.Ended(now, relay.NotRun).Again).To(BeTrue())
		Expect(r.Ended(now, relay.NotSent).Again).To(BeTrue())
		Expect(r.Ended(now, relay.Broken).Again).To(BeFalse())
	})

	It("refuses once several servers proved that they did not run it", func() {
		var d relay.Decision
		for range 4 {
			d = r.Ended(now, relay.NotRun)
		}
		Expect(d).To(Equal(relay.Decision{Refuse: true, Reason: relay.ReasonAttempts}))
	})

	It("never refuses after a run, whatever came before", func() {
		r.Repeat = fleet.RunAgain
		r.Ended(now, relay.Broken)
		d := r.Ended(now, relay.Broken)
		Expect(d.Again).To(BeFalse())
		Expect(d.Refuse).To(BeFalse())
	})

	It("bounds the servers that run one request", func() {
		r.Repeat = fleet.RunOn
		Expect(r.Ended(now, relay.Broken).Again).To(BeTrue())
		Expect(r.Ended(now, relay.Broken)).To(Equal(relay.Decision{Reason: relay.ReasonAttempts}))
	})

	It("passes a server's own failure on where no other may be tried", func() {
		r.Repeat = fleet.RunOnce
		Expect(r.Ended(now, relay.Errored).Pass).To(BeTrue())
	})

	It("goes on after events reached the caller only where that is allowed", func() {
		r.Repeat = fleet.RunAgain
		r.Given()
		Expect(r.Ended(now, relay.Broken).Again).To(BeFalse())
	})

	It("asks the budget only for a retry that would follow", func() {
		r.Repeat = fleet.RunOnce
		r.Ended(now, relay.Broken)
		Expect(budget).To(Equal(10))
	})

	It("stops at the deadline", func() {
		r.Repeat, r.Deadline = fleet.RunAgain, now
		Expect(r.Ended(now, relay.NotRun)).To(Equal(relay.Decision{Refuse: true, Reason: relay.ReasonDeadline}))
	})
})
