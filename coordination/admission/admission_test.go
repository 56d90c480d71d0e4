package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
)

var _ = Describe("A request that finds no server", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// A card dies that alone held some layers, and another one loads them in 1.2 s. 60
	// streams a second come meanwhile. Each is answered that can be before its caller
	// leaves; the callers of the others are told at once when to come back.
	It("waits for a layer that comes back, and not until its caller leaves", func() {
		const back = 1200
		answered, refused := 0, 0
		for ms := 0; ms < back; ms += 17 {
			until := admission.WaitingRequest{Arrived: at(ms), Deadline: at(ms + 20000)}.RejectAt()
			Expect(until.Sub(at(ms))).To(BeNumerically("<", 2*time.Second), "callers leave then")
			if until.Before(at(back)) {
				refused++
				continue
			}
			answered++
		}
		Expect(answered).To(Equal(71))
		Expect(refused).To(BeZero())
	})

	// A clerk's check must have its answer within a second. It is turned away while
	// there is time to come back.
	It("waits for a small part of a short time", func() {
		until := admission.WaitingRequest{Arrived: at(0), Deadline: at(1000)}.RejectAt()
		Expect(until).To(Equal(at(75)))
	})

	// Drafts end in the middle while engines are replaced beside a burst. Order: an engine
	// leaves with them, the others have no room for 1.5 s, and then have. Cause: they were cut
	// when a request that has not begun is turned away.
	It("is not ended once its answer has begun, and asks again those that had no room", Label("failure:begun-answer-cut"), func() {
		w := admission.WaitingRequest{Arrived: at(0), Deadline: at(20000), LastEvent: at(6000)}
		Expect(w.RejectAt()).To(Equal(at(20000)), "its caller leaves before, or its time is up")
		asked := 0
		var turned admission.Rejections
		for ms := 6000; ms < 8000; ms += 10 { // callers leave a stream that shows nothing for 2 s
			if turned.BackoffElapsed(at(ms)) {
				turned = admission.Rejections{}
			}
			if turned.BackingOff(at(ms)) {
				continue
			}
			asked++
			turned.Count++
			turned.Last = at(ms)
		}
		Expect(asked).To(And(BeNumerically(">=", 6), BeNumerically("<=", 8)), "it neither gives up nor storms")
	})
})

var _ = Describe("A list of servers that a daemon has just begun to read", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// All daemons are ended while the store is away, and entries lapse. When it is back,
	// callers wait for 1.5 s and more, and leave. Order: 10 of 41 servers are listed
	// first, the others over 0.8 s. Cause: what came in between went to those 10.
	It("has requests wait while it fills, and no longer", Label("failure:restart-beside-lapsed-entries"), func() {
		l := admission.ServerList{FirstRead: at(0), LastAdded: at(0), MinCopies: 1}
		Expect(l.Populating(at(10))).To(BeFalse(), "it came whole, as on any other start")
		for ms := 50; ms <= 800; ms += 50 {
			l.LastAdded = at(ms)
			Expect(l.Populating(at(ms + 40))).To(BeTrue())
		}
		Expect(l.Populating(at(999))).To(BeTrue())
		Expect(l.Populating(at(1000))).To(BeFalse(), "the rest may be gone for good")
		l.LastAdded = at(300)
		Expect(l.Populating(at(500))).To(BeFalse(), "nothing came for a while")
		l.MinCopies = 2
		Expect(l.Populating(at(310))).To(BeFalse(), "enough are there")
	})
})

var _ = Describe("A daemon that has just started", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// All 195 daemons are ended at once and start again; each knows the configuration 160
	// to 290 ms later, and 375 requests a second come. Some 80 callers would be sent away
	// for a second for want of those 0.2 s.
	It("has requests wait until it can know the configuration", Label("failure:all-start-at-once"), func() {
		for ms := 0; ms < 290; ms += 3 {
			w := admission.WaitingRequest{Arrived: at(ms), Deadline: at(ms + 20000)}
			Expect(admission.Startup{StartedAt: at(0)}.RejectAt(w)).To(BeTemporally(">", at(290)))
		}
	})

	It("sends callers away at once where it can't say when it will serve", func() {
		w := admission.WaitingRequest{Arrived: at(100), Deadline: at(20100)}
		Expect(admission.Startup{StartedAt: at(0), Failed: true}.RejectAt(w)).To(Equal(at(100)))
		Expect(admission.Startup{StartedAt: at(-600)}.RejectAt(w)).To(BeTemporally("<=", at(100)), "it had its time")
		w.Deadline = at(1100)
		Expect(admission.Startup{StartedAt: at(0)}.RejectAt(w)).To(Equal(at(175)), "a check is short of time")
	})
})

var _ = Describe("A caller that is turned away", func() {
	It("comes back when that can help, and while it has time", func() {
		for _, r := range []admission.Refusal{admission.Busy, admission.Uncovered, admission.Stopping, admission.AllStopping, admission.NotReady} {
			Expect(r.RetryAfter()).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
		}
		Expect(admission.Stopping.RetryAfter()).To(BeNumerically("<", admission.Busy.RetryAfter()), "others take it now")
	})

	// All daemons are stopped, each a second after the other. Cause of an earlier fault:
	// each sent new streams to others that sent them on, until their callers gave up.
	It("is kept by the last daemons that stop, while a stream still ends in time", func() {
		stop := admission.Shutdown{Grace: 8 * time.Second}
		taken := func(since time.Duration, elsewhere bool) (bool, admission.Refusal) {
			stop.Elapsed, stop.OthersAccept = since, elsewhere
			return stop.AcceptsStream()
		}
		ok, _ := taken(time.Second, true)
		Expect(ok).To(BeTrue(), "callers still hold answers that name this daemon")
		ok, why := taken(2*time.Second, true)
		Expect(ok).To(BeFalse())
		Expect(why).To(Equal(admission.Stopping))
		ok, _ = taken(2*time.Second, false)
		Expect(ok).To(BeTrue())
		ok, why = taken(3*time.Second, false)
		Expect(ok).To(BeFalse())
		Expect(why).To(Equal(admission.AllStopping))
	})
})
