package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
)

var _ = Describe("A request that finds no server", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// The only engine that held some layers dies, and another one loads them in 1.2 s, while 60
	// streams per second arrive. Each request that can be answered before its caller disconnects is
	// answered; the others are rejected at once with a retry time.
	It("waits for a layer that becomes available again, but not until its caller disconnects", func() {
		const restored = 1200
		answered, refused := 0, 0
		for ms := 0; ms < restored; ms += 17 {
			until := admission.WaitingRequest{Arrived: at(ms), Deadline: at(ms + 20000)}.RejectAt()
			Expect(until.Sub(at(ms))).To(BeNumerically("<", 2*time.Second), "callers disconnect then")
			if until.Before(at(restored)) {
				refused++
				continue
			}
			answered++
		}
		Expect(answered).To(Equal(71))
		Expect(refused).To(BeZero())
	})

	// A status check must be answered within a second. It is rejected while it has enough time left
	// to retry.
	It("waits for a small part of a short deadline", func() {
		until := admission.WaitingRequest{Arrived: at(0), Deadline: at(1000)}.RejectAt()
		Expect(until).To(Equal(at(75)))
	})

	// Guards against answers that are truncated while engines are replaced during a burst: an
	// engine that serves them shuts down, and the others have no capacity for 1.5 s. The limit for
	// requests that have not started was applied to these answers.
	It("is not ended after its answer has started, and retries servers that had no capacity", Label("failure:begun-answer-cut"), func() {
		w := admission.WaitingRequest{Arrived: at(0), Deadline: at(20000), LastEvent: at(6000)}
		Expect(w.RejectAt()).To(Equal(at(20000)), "its caller disconnects first, or its deadline passes")
		attempts := 0
		var rejections admission.Rejections
		for ms := 6000; ms < 8000; ms += 10 { // callers disconnect from a stream that sends nothing for 2 s
			if rejections.BackoffElapsed(at(ms)) {
				rejections = admission.Rejections{}
			}
			if rejections.BackingOff(at(ms)) {
				continue
			}
			attempts++
			rejections.Count++
			rejections.Last = at(ms)
		}
		Expect(attempts).To(And(BeNumerically(">=", 6), BeNumerically("<=", 8)), "it neither gives up nor retries too often")
	})
})

var _ = Describe("A server list that a daemon has just started to read", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Guards against waits of 1.5 s and more after a restart, in which callers disconnect: all
	// daemons were killed while the store was down, and list entries expired. When the store is
	// back, 10 of 41 servers are listed first and the others over 0.8 s; all requests that arrive
	// meanwhile went to these 10.
	It("makes requests wait while it is populated, and no longer", Label("failure:restart-beside-lapsed-entries"), func() {
		l := admission.ServerList{FirstRead: at(0), LastAdded: at(0), MinCopies: 1}
		Expect(l.Populating(at(10))).To(BeFalse(), "the list was complete, as on any other start")
		for ms := 50; ms <= 800; ms += 50 {
			l.LastAdded = at(ms)
			Expect(l.Populating(at(ms + 40))).To(BeTrue())
		}
		Expect(l.Populating(at(999))).To(BeTrue())
		Expect(l.Populating(at(1000))).To(BeFalse(), "the rest may never return")
		l.LastAdded = at(300)
		Expect(l.Populating(at(500))).To(BeFalse(), "no server was added recently")
		l.MinCopies = 2
		Expect(l.Populating(at(310))).To(BeFalse(), "enough servers are listed")
	})
})

var _ = Describe("A daemon that has just started", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Guards against rejecting callers for a second when the configuration is only 0.2 s away: all
	// 195 daemons are killed at once and restart, each has the configuration after 160 to 290 ms,
	// and 375 requests per second arrive. About 80 callers would be rejected.
	It("makes requests wait until the configuration can be available", Label("failure:all-start-at-once"), func() {
		for ms := 0; ms < 290; ms += 3 {
			w := admission.WaitingRequest{Arrived: at(ms), Deadline: at(ms + 20000)}
			Expect(admission.Startup{StartedAt: at(0)}.RejectAt(w)).To(BeTemporally(">", at(290)))
		}
	})

	It("rejects callers at once if it cannot tell when it will be ready", func() {
		w := admission.WaitingRequest{Arrived: at(100), Deadline: at(20100)}
		Expect(admission.Startup{StartedAt: at(0), Failed: true}.RejectAt(w)).To(Equal(at(100)))
		Expect(admission.Startup{StartedAt: at(-600)}.RejectAt(w)).To(BeTemporally("<=", at(100)), "the startup time is over")
		w.Deadline = at(1100)
		Expect(admission.Startup{StartedAt: at(0)}.RejectAt(w)).To(Equal(at(175)), "a check has a short deadline")
	})
})

var _ = Describe("A rejected caller", func() {
	It("retries when a retry can succeed, and before its deadline", func() {
		for _, r := range []admission.Refusal{admission.Busy, admission.Uncovered, admission.Stopping, admission.AllStopping, admission.NotReady} {
			Expect(r.RetryAfter()).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
		}
		Expect(admission.Stopping.RetryAfter()).To(BeNumerically("<", admission.Busy.RetryAfter()), "other daemons accept it now")
	})

	// Guards against streams that are forwarded in a circle: all daemons are stopped, each a second
	// after the previous one, and each sent new streams to others that forwarded them until their
	// callers gave up.
	It("is accepted by the last daemons that stop, as long as a stream can still end in time", func() {
		stop := admission.Shutdown{Grace: 8 * time.Second}
		accepts := func(since time.Duration, elsewhere bool) (bool, admission.Refusal) {
			stop.Elapsed, stop.OthersAccept = since, elsewhere
			return stop.AcceptsStream()
		}
		ok, _ := accepts(time.Second, true)
		Expect(ok).To(BeTrue(), "callers still hold address answers that name this daemon")
		ok, why := accepts(2*time.Second, true)
		Expect(ok).To(BeFalse())
		Expect(why).To(Equal(admission.Stopping))
		ok, _ = accepts(2*time.Second, false)
		Expect(ok).To(BeTrue())
		ok, why = accepts(3*time.Second, false)
		Expect(ok).To(BeFalse())
		Expect(why).To(Equal(admission.AllStopping))
	})

	// Guards against requests that reach a stopping daemon late, and are cut off at its end while
	// their servers are at work on them.
	DescribeTable("is accepted for a whole answer if it is due before the stop ends", Label("failure:lost-in-stops"),
		func(since, timeLeft time.Duration, elsewhere, want bool) {
			stop := admission.Shutdown{Grace: 8 * time.Second, End: 7440 * time.Millisecond, Elapsed: since, OthersAccept: elsewhere}
			ok, why := stop.AcceptsCall(timeLeft)
			Expect(ok).To(Equal(want))
			if !want {
				Expect(why).To(Equal(lo.Ternary(elsewhere, admission.Stopping, admission.AllStopping)))
			}
		},
		Entry("early in the stop, also if it has long", time.Second, time.Minute, true, true),
		Entry("early in the stop, if no other daemon accepts it", 2800*time.Millisecond, time.Minute, false, true),
		Entry("late in the stop, if it has long", 3*time.Second, time.Minute, true, false),
		Entry("late in the stop, if it has long and no other daemon accepts it", 3*time.Second, time.Minute, false, false),
		Entry("late in the stop, if it ends before", 6*time.Second, time.Second, true, true),
		Entry("late in the stop, if its answer might be written too late", 6400*time.Millisecond, time.Second, false, false),
		Entry("at the end", 7300*time.Millisecond, 200*time.Millisecond, false, false),
	)
})

var _ = Describe("A request that only servers could take which want none for a while", func() {
	// A caller that returns at once would find the servers as they are, and be refused again.
	DescribeTable("tells its caller when to return", func(availableIn, want time.Duration) {
		Expect(admission.RetryAfter{AvailableIn: availableIn}.RetryAfter()).To(Equal(want))
	},
		Entry("after the time that is left", 2700*time.Millisecond, 2700*time.Millisecond),
		Entry("not sooner than an answer travels", time.Millisecond, 50*time.Millisecond),
		Entry("later if the servers already take a few requests", -time.Millisecond, 400*time.Millisecond),
	)
})
