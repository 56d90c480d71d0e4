package availability_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/availability"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// spread is how much longer than stated a daemon may wait.
const spread = 500 * time.Millisecond

var _ = Describe("A server's statements", func() {
	var (
		tracker *availability.Tracker
		now     time.Time
		server  = state.BackendIncarnation{ID: "s", Born: 1}
	)

	BeforeEach(func() {
		tracker = availability.NewTracker(rand.New(rand.NewPCG(1, 1)))
		now = time.Unix(1000, 0)
	})

	// accepts returns how a server may be used.
	accepts := func() (direct, relayed bool) {
		direct, relayed = true, true
		tracker.EachUnavailable(now, func(_ state.BackendIncarnation, r bool) { direct, relayed = false, r })
		Expect(tracker.Accepts(now, server)).To(Equal(direct))
		return direct, relayed
	}
	retryAfter := func(wait time.Duration) {
		tracker.RecordRetryAfter(now, server, availability.Relayed, wait)
	}

	// sendRound assigns as many requests as the server may get, has them accepted, and returns
	// their number. It stops at twice as many as expected.
	sendRound := func(expected int) int {
		var sent []availability.Assignment
		for tracker.Accepts(now, server) && len(sent) < 2*expected {
			sent = append(sent, tracker.Begin(now, server))
		}
		for i := range sent {
			tracker.End(now, &sent[i], true)
		}
		return len(sent)
	}

	It("keep requests away for as long as stated, and not for much longer", func() {
		retryAfter(3 * time.Second)
		for _, after := range []time.Duration{0, time.Second, 3*time.Second - 1} {
			Expect(tracker.Wanted(now.Add(after), server)).To(BeFalse())
		}
		Expect(tracker.Wanted(now.Add(3*time.Second+spread), server)).To(BeTrue())
	})

	It("are never shortened by a later one", func() {
		retryAfter(3 * time.Second)
		retryAfter(time.Second)
		Expect(tracker.Wanted(now.Add(3*time.Second-1), server)).To(BeFalse())
	})

	It("hold whole for a year", func() {
		const year = 365 * 24 * time.Hour
		retryAfter(year)
		Expect(tracker.Wanted(now.Add(year-1), server)).To(BeFalse())
	})

	It("do not hold for another incarnation at the address", func() {
		retryAfter(time.Hour)
		tracker.RecordLeaving(server)
		other := state.BackendIncarnation{ID: "s", Born: 2}
		Expect(tracker.Accepts(now, other)).To(BeTrue())
	})

	It("keep only direct requests away if another server is blamed", func() {
		tracker.RecordRetryAfter(now, server, availability.Direct, time.Second)
		direct, relayed := accepts()
		Expect(direct).To(BeFalse())
		Expect(relayed).To(BeTrue())
	})

	It("tell when the server accepts requests again", func() {
		retryAfter(3 * time.Second)
		at, ok := tracker.AvailableAt(now, server, availability.Direct)
		Expect(ok).To(BeTrue())
		Expect(at.Sub(now)).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<=", 3*time.Second+spread)))
		tracker.RecordLeaving(server)
		_, ok = tracker.AvailableAt(now, server, availability.Direct)
		Expect(ok).To(BeFalse())
	})

	// Many daemons are turned away at the same moment. If they all returned at the end of the
	// stated time, the server would get the requests of all of them at once.
	It("end at different times at different daemons", Label("failure:return-at-once"), func() {
		const daemons, wait = 100, 3 * time.Second
		returned := 0
		for i := range daemons {
			t := availability.NewTracker(rand.New(rand.NewPCG(uint64(i), 1)))
			t.RecordRetryAfter(now, server, availability.Relayed, wait)
			if t.Wanted(now.Add(wait+30*time.Millisecond), server) {
				returned++
			}
		}
		Expect(returned).To(BeNumerically("<", daemons/5))
	})

	// Requests wait for a server and all leave at the end of the stated time. The server, which
	// has just begun to accept requests, would be overloaded again.
	It("are followed by a slow start", Label("failure:return-at-once"), func() {
		retryAfter(time.Second)
		now = now.Add(2 * time.Second)
		for _, want := range []int{1, 2, 4, 8} {
			Expect(sendRound(want)).To(Equal(want))
		}
	})

	// Requests keep waiting for a server that accepts as many as it can. If the limit ended
	// after some rounds, they would all be sent at once, and all be turned away again.
	It("limit requests for as long as some wait for the server", Label("failure:return-at-once"), func() {
		retryAfter(time.Second)
		now = now.Add(2 * time.Second)
		for _, want := range []int{1, 2, 4, 8} {
			Expect(sendRound(want)).To(Equal(want))
		}
		retryAfter(time.Second) // 16 were too many
		now = now.Add(2 * time.Second)
		for _, want := range []int{1, 2, 4, 8, 8, 8} {
			Expect(sendRound(want)).To(Equal(want))
		}
		now = now.Add(time.Second)
		Expect(sendRound(8)).To(Equal(8))
		Expect(sendRound(9)).To(Equal(9))
	})

	It("limit nothing once no request has waited for a while", func() {
		retryAfter(time.Second)
		now = now.Add(2 * time.Second)
		Expect(sendRound(1)).To(Equal(1))
		now = now.Add(3 * time.Second)
		last := tracker.Begin(now, server)
		tracker.End(now, &last, true)
		for range 100 {
			tracker.Begin(now, server)
		}
		Expect(tracker.Accepts(now, server)).To(BeTrue())
	})

	It("begin anew if the first request is turned away again", func() {
		retryAfter(time.Second)
		now = now.Add(2 * time.Second)
		first := tracker.Begin(now, server)
		retryAfter(time.Second)
		tracker.End(now, &first, false)
		Expect(tracker.Accepts(now, server)).To(BeFalse())
		now = now.Add(2 * time.Second)
		second := tracker.Begin(now, server)
		Expect(tracker.Accepts(now, server)).To(BeFalse())
		tracker.End(now, &first, true) // ended before: counts no more
		Expect(tracker.Accepts(now, server)).To(BeFalse())
		tracker.End(now, &second, true)
		Expect(tracker.Accepts(now, server)).To(BeTrue())
	})

	// The answer to the first request after the stated time is lost. The server must not be
	// unused for ever.
	It("let another request through if an answer does not come", Label("failure:slow-start-stuck"), func() {
		retryAfter(time.Second)
		now = now.Add(2 * time.Second)
		tracker.Begin(now, server)
		Expect(tracker.Accepts(now, server)).To(BeFalse())
		now = now.Add(time.Second)
		Expect(tracker.Accepts(now, server)).To(BeTrue())
	})

	It("count requests that were assigned before for nothing", func() {
		before := tracker.Begin(now, server)
		retryAfter(time.Second)
		tracker.End(now, &before, true)
		Expect(tracker.Accepts(now.Add(2*time.Second), server)).To(BeTrue())
		tracker.Begin(now.Add(2*time.Second), server)
		Expect(tracker.Accepts(now.Add(2*time.Second), server)).To(BeFalse())
	})

	It("that it is leaving hold for ever and on each hop", func() {
		Expect(tracker.RecordLeaving(server)).To(BeTrue())
		Expect(tracker.RecordLeaving(server)).To(BeFalse())
		now = now.Add(24 * time.Hour)
		direct, relayed := accepts()
		Expect(direct).To(BeFalse())
		Expect(relayed).To(BeFalse())
	})

	// The store is away for a while, and entries of live servers expire and return. What a
	// server has stated must hold beyond that.
	It("outlast the server's entry in the list", Label("failure:statement-outlasts-entry"), func() {
		listed, unlisted := func(state.BackendIncarnation) bool { return true }, func(state.BackendIncarnation) bool { return false }
		tracker.RecordLeaving(server)
		tracker.Prune(now, unlisted)
		now = now.Add(9 * time.Minute)
		tracker.Prune(now, unlisted)
		tracker.Prune(now, listed)
		now = now.Add(time.Hour)
		tracker.Prune(now, unlisted)
		Expect(tracker.Leaving(server)).To(BeTrue())
		now = now.Add(11 * time.Minute)
		tracker.Prune(now, unlisted)
		Expect(tracker.Leaving(server)).To(BeFalse())
	})

	// A daemon is paused while the stated time runs. It must not resume with all requests that
	// have arrived meanwhile.
	It("are followed by the slow start after a pause of the daemon", Label("failure:return-at-once"), func() {
		retryAfter(time.Second)
		now = now.Add(time.Hour)
		tracker.Begin(now, server)
		Expect(tracker.Accepts(now, server)).To(BeFalse())
	})
})
