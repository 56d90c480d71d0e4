package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Guards against calls that an ended process has left at servers which read them after its
// successor has spent the retries again.
var _ = Describe("Servers that may still read calls", func() {
	now := time.Unix(1000, 0)
	share := retrybudget.SlackShare{Daemons: 1}
	const slack, reserved = 100, 60
	use := retrybudget.Record{Services: map[state.ServiceID]retrybudget.ServiceRecord{"s": {Reserved: reserved}}}

	// left returns what a successor has left.
	left := func(s *sharedState, at time.Time) int { return s.budget.Left(at, "s", share) }
	successor := func(silent ...string) *sharedState {
		s := newSharedState(Settings{BudgetRatio: 0.2, BudgetWindow: 10 * time.Second, BudgetSlack: slack})
		s.budget = retrybudget.New(budgetConfig(Settings{BudgetRatio: 0.2, BudgetWindow: 10 * time.Second, BudgetSlack: slack}), now)
		s.inheritRetries(now, 0, use, silent)
		return s
	}

	It("hold the retries of the process before until each has answered something else", Label("failure:repeats-of-ended-daemons"), func() {
		s := successor("a", "b")
		later := now.Add(30 * time.Second)
		Expect(left(s, later)).To(Equal(slack - reserved))
		s.settleLateCalls(later, "a", now.Add(time.Second))
		s.settleLateCalls(later, "b", now.Add(-time.Second))
		Expect(left(s, later)).To(Equal(slack-reserved), "the answer of one is to a call of the process before")
		s.settleLateCalls(later, "b", now.Add(time.Second))
		Expect(left(s, later.Add(9*time.Second))).To(Equal(slack-reserved), "it may have arrived just now")
		Expect(left(s, later.Add(11*time.Second))).To(Equal(slack))
	})

	It("hold them for a minute at most", Label("failure:repeats-of-ended-daemons"), func() {
		s := successor("a")
		s.expireLateCalls(now.Add(lateCallTTL))
		Expect(left(s, now.Add(lateCallTTL))).To(Equal(slack - reserved))
		ended := now.Add(lateCallTTL + time.Second)
		s.expireLateCalls(ended)
		Expect(left(s, ended.Add(11*time.Second))).To(Equal(slack))
	})

	It("hold them for a window if none was silent", Label("failure:repeats-of-ended-daemons"), func() {
		s := successor()
		Expect(left(s, now.Add(9*time.Second))).To(Equal(slack - reserved))
		Expect(left(s, now.Add(11*time.Second))).To(Equal(slack))
	})

	It("are named to the process after the next one too", Label("failure:repeats-of-ended-daemons"), func() {
		s := successor("b", "a")
		s.recordSilent(now.Add(time.Second), "c")
		Expect(s.recordSilentServers()).To(Equal([]string{"a", "b", "c"}))
		s.settleLateCalls(now.Add(2*time.Second), "a", now.Add(time.Second))
		Expect(s.recordSilentServers()).To(Equal([]string{"b", "c"}))
		record := s.newRetryRecord(now, 0, []state.ServiceID{"s"}, share)
		Expect(record.Services["s"].Reserved).To(BeNumerically(">=", reserved))
	})

	It("need a record once they have been silent for a while, and again if it is not written", Label("failure:repeats-of-ended-daemons"), func() {
		s := successor()
		s.recordSilent(now, "a")
		Expect(s.needsSilentRecord(now.Add(minRecordedSilence - time.Millisecond))).To(BeFalse())
		later := now.Add(minRecordedSilence)
		s.recordSilent(later, "a")
		Expect(s.needsSilentRecord(later)).To(BeTrue())
		s.recordSilentServers()
		Expect(s.needsSilentRecord(later)).To(BeFalse())
		s.setSilentUnrecorded()
		Expect(s.needsSilentRecord(later)).To(BeTrue())
		s.settleLateCalls(later, "a", later.Add(time.Millisecond))
		Expect(s.needsSilentRecord(later)).To(BeFalse(), "it has answered")
	})
})
