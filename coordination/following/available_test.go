package following_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Guards against requests to servers that have left: one daemon's calls to the store fail, and all take that for an
// outage in which entries of live servers expire.
var _ = Describe("An outage of the store", Label("failure:one-followers-outage"), func() {
	const second = time.Second

	// announce receives an announcement of a follower that was sent at a time, and answered by the store age before.
	announce := func(m *following.Machine, id state.DaemonID, sent, age time.Duration) {
		m.Receive(at(sent), following.Announcement{
			Origin: state.Member{ID: id, Incarnation: 1}, Feed: "servers", Sent: sent, Revision: 10, LastChange: 10, StoreAge: age,
		})
	}
	// answered receives announcements of a follower that the store answers once a second.
	answered := func(m *following.Machine, id state.DaemonID, from, to time.Duration) {
		for t := from; t <= to; t += following.AnnounceInterval {
			announce(m, id, t, t%second)
		}
	}

	// recovered receives a follower's announcement that the store answers it again since it was sent.
	recovered := func(m *following.Machine, id state.DaemonID, sent time.Duration) {
		m.Receive(at(sent), following.Announcement{
			Origin: state.Member{ID: id, Incarnation: 1}, Feed: "servers", Sent: sent, Revision: 10, LastChange: 10, RecoveredFor: 1,
		})
	}
	// outage matches the end of an outage d after the start.
	outage := func(d time.Duration) types.GomegaMatcher { return BeTemporally("~", at(d), 100*time.Millisecond) }

	It("is not what one follower reports while another one was answered", func() {
		m := machine("g0")
		answered(m, "g6", 0, 4*second)
		answered(m, "g5", 0, 9*second)
		recovered(m, "g6", 9*second)
		Expect(m.RecoveredAt()).To(outage(0))
	})

	It("ends with the first answer to any daemon", func() {
		m := machine("g0")
		for _, id := range []state.DaemonID{"g6", "g5"} {
			answered(m, id, 0, 4*second)
		}
		announce(m, "g5", 7*second, 3*second) // it is not answered
		recovered(m, "g5", 7200*time.Millisecond)
		recovered(m, "g6", 7500*time.Millisecond)
		Expect(m.RecoveredAt()).To(outage(7200 * time.Millisecond))
		answered(m, "g5", 8*second, 12*second)
		Expect(m.RecoveredAt()).To(outage(7200 * time.Millisecond))
	})

	It("is not what a follower reports while this daemon called the store itself", func() {
		m := machine("g0")
		answered(m, "g5", 0, 4*second)
		for t := 5 * second; t <= 8*second; t += second {
			m.StoreReached(at(t))
			m.StoreAnswered(at(t+900*time.Millisecond), 10, false)
		}
		recovered(m, "g5", 9*second)
		Expect(m.RecoveredAt()).To(outage(0))
	})

	It("is none if an answer becomes known later that was given in it", func() {
		m := machine("g0")
		answered(m, "g5", 0, 4*second)
		recovered(m, "g5", 6100*time.Millisecond)
		Expect(m.RecoveredAt()).To(outage(6100 * time.Millisecond))
		m.StoreReached(at(5700 * time.Millisecond))
		m.StoreAnswered(at(6600*time.Millisecond), 10, false)
		Expect(m.RecoveredAt()).To(outage(0))
	})

	It("counts if nothing is known of its time", func() {
		m := machine("g0")
		Expect(m.RecoveredAt()).To(BeZero())
		recovered(m, "g6", second)
		Expect(m.RecoveredAt()).To(outage(second))
	})

	It("is not reported by a follower that alone was not answered", func() {
		m := machine("g6")
		m.StoreAnswered(at(0), 10, true)
		answered(m, "g5", 0, 6*second)
		m.StoreFailed(at(3 * second))
		m.StoreAnswered(at(6*second), 10, false)
		Expect(m.RecoveredAt()).To(outage(0))
		t, ok := m.Announce(at(6 * second))
		Expect(ok).To(BeTrue())
		Expect(t.RecoveredFor).To(BeNumerically("~", 6*second, 100*time.Millisecond))
	})

	It("is noticed by a follower that is alone", func() {
		m := machine("g6")
		m.StoreAnswered(at(0), 10, true)
		Expect(m.RecoveredAt()).To(BeZero())
		m.StoreFailed(at(second))
		m.StoreAnswered(at(1100*time.Millisecond), 10, false)
		Expect(m.RecoveredAt()).To(Equal(at(1100 * time.Millisecond)))
	})

	It("is remembered whatever the number of answers", func() {
		m := machine("g0")
		for t := time.Duration(0); t < 60*second; t += 10 * time.Millisecond {
			m.StoreReached(at(t))
		}
		recovered(m, "g6", 60*second)
		Expect(m.RecoveredAt()).To(BeTemporally("<=", at(51*second)))
	})
})
