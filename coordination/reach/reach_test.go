package reach_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/reach"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reach")
}

var _ = Describe("A daemon", func() {
	var t *reach.Tracker
	now := time.Unix(1000, 0)
	BeforeEach(func() { t = reach.NewTracker(now) })

	// Guards against checks of a service at each server that ends.
	It("checks a service in full only if several servers fail since the last connection", Label("failure:gateway-cut-off-from-servers"), func() {
		Expect(t.CheckDue(now, "s", 9)).To(Equal(reach.NoCheck))
		t.ConnectFailed(now, "s", "a")
		t.ConnectFailed(now, "s", "a")
		Expect(t.CheckDue(now, "s", 9)).To(Equal(reach.QuickCheck))
		now := now.Add(reach.CheckInterval)
		Expect(t.CheckDue(now, "s", 1)).To(Equal(reach.FullCheck), "the only server fails")
		t.ConnectFailed(now, "s", "b")
		later := now.Add(reach.CheckInterval)
		Expect(t.CheckDue(later, "s", 9)).To(Equal(reach.FullCheck))
		Expect(t.CheckDue(later, "s", 9)).To(Equal(reach.NoCheck), "the check has begun")
		t.Connected("s")
		Expect(t.CheckDue(later.Add(reach.CheckInterval), "s", 9)).To(Equal(reach.NoCheck))
	})

	// Guards against daemons that learn only from failures of their own callers what others have
	// told, and against checks at each notice of each daemon.
	It("checks a service from which others are cut off, one server at a time", Label("failure:cut-off-learned-alone"), func() {
		Expect(t.CheckTold(now, "s")).To(Equal(reach.QuickCheck))
		Expect(t.CheckTold(now, "s")).To(Equal(reach.NoCheck))
		Expect(t.CheckTold(now, "t")).To(Equal(reach.QuickCheck), "another service")
		t.Checked("s", reach.ReachedByOthers)
		Expect(t.CheckTold(now.Add(reach.ToldInterval), "s")).To(Equal(reach.NoCheck), "it knows that it is cut off")
		Expect(t.CheckTold(now.Add(reach.ToldInterval), "t")).To(Equal(reach.QuickCheck))
		Expect(t.Lost()).To(ConsistOf(state.ServiceID("s")))
	})

	// Guards against servers that all daemons connect to all the time while none of them answers.
	It("checks a service less often while no daemon reaches it", Label("failure:cut-off-peers-asked"), func() {
		t.ConnectFailed(now, "s", "a")
		Expect(t.CheckDue(now, "s", 1)).To(Equal(reach.FullCheck))
		t.Checked("s", reach.ReachedByNone)
		Expect(t.CheckDue(now.Add(reach.CheckInterval), "s", 1)).To(Equal(reach.NoCheck))
		Expect(t.CheckDue(now.Add(reach.NoneInterval), "s", 1)).To(Equal(reach.FullCheck))
		t.Checked("s", reach.Unknown)
		Expect(t.CheckDue(now.Add(reach.NoneInterval+reach.CheckInterval), "s", 1)).To(Equal(reach.FullCheck))
	})

	It("says for how long connections have failed", func() {
		t.ConnectFailed(now, "s", "a")
		t.ConnectFailed(now.Add(time.Second), "s", "b")
		Expect(t.FailingFor(now.Add(2*time.Second), "s")).To(Equal(2 * time.Second))
		t.Connected("s")
		Expect(t.FailingFor(now.Add(2*time.Second), "s")).To(BeZero())
	})

	DescribeTable("is cut off only if others reach what it does not", Label("failure:gateway-cut-off-from-servers"),
		func(result reach.CheckResult, cutOff bool) {
			Expect(t.Checked("s", result)).To(Equal(cutOff))
			Expect(t.CutOff("s")).To(Equal(cutOff))
			Expect(t.CutOffFromAny()).To(Equal(cutOff))
			Expect(t.CutOff("t")).To(BeFalse())
		},
		Entry("a server is reached", reach.Reached, false),
		Entry("others reach one", reach.ReachedByOthers, true),
		Entry("nobody reaches any", reach.ReachedByNone, false),
		Entry("the check shows nothing", reach.Unknown, false),
		Entry("others do not answer", reach.Inconclusive, false),
	)

	DescribeTable("asks others about servers if it reaches few", func(servers, failed int, result reach.CheckResult) {
		Expect(reach.ResultOf(servers, failed)).To(Equal(result))
	},
		Entry("none are listed", 0, 0, reach.Unknown),
		Entry("the only one fails", 1, 1, reach.ReachedByNone),
		Entry("one of three fails", 3, 1, reach.Reached),
		Entry("half fail", 8, 4, reach.Unknown),
		Entry("all but two fail", 8, 6, reach.ReachedByNone),
		Entry("all fail", 8, 8, reach.ReachedByNone),
	)

	It("is no longer cut off once it reaches a server", func() {
		t.Checked("s", reach.ReachedByOthers)
		Expect(t.Checked("s", reach.Unknown)).To(BeFalse())
		Expect(t.CutOff("s")).To(BeTrue())
		Expect(t.Checked("s", reach.Reached)).To(BeTrue())
		Expect(t.CutOff("s")).To(BeFalse())
	})

	It("forgets services that are no longer listed", func() {
		t.Checked("s", reach.ReachedByOthers)
		t.Keep(func(state.ServiceID) bool { return false })
		Expect(t.CutOffFromAny()).To(BeFalse())
	})

	// Guards against a daemon that stays out of the addresses because its last notice was lost.
	It("believes notices for as long as they hold, and the newest one of a daemon", Label("failure:gateway-cut-off-from-servers"), func() {
		d := state.Member{ID: "d", Incarnation: 1}
		t.Receive(now, d, reach.Notice{Daemon: "d", CutOff: true, HoldMS: 5000})
		Expect(t.OtherCutOff(now.Add(4*time.Second), d)).To(BeTrue())
		Expect(t.OtherCutOff(now.Add(5*time.Second), d)).To(BeFalse())
		t.Receive(now.Add(time.Second), d, reach.Notice{Daemon: "d"})
		t.Receive(now, d, reach.Notice{Daemon: "d", CutOff: true, HoldMS: 5000})
		Expect(t.OtherCutOff(now.Add(time.Second), d)).To(BeFalse())
		t.Receive(now.Add(time.Second), d, reach.Notice{Daemon: "d", CutOff: true})
		Expect(t.OtherCutOff(now.Add(3*time.Second), d)).To(BeTrue(), "it does not say for how long")
		Expect(t.OtherCutOff(now.Add(4*time.Second), d)).To(BeFalse())
	})

	It("does not believe notices of an earlier process", Label("failure:gateway-cut-off-from-servers"), func() {
		t.Receive(now, state.Member{ID: "d", Incarnation: 1}, reach.Notice{Daemon: "d", CutOff: true, HoldMS: 5000})
		Expect(t.OtherCutOff(now, state.Member{ID: "d", Incarnation: 2})).To(BeFalse())
		t.Receive(now, state.Member{ID: "d", Incarnation: 2}, reach.Notice{Daemon: "d"})
		t.Receive(now.Add(time.Second), state.Member{ID: "d", Incarnation: 1}, reach.Notice{Daemon: "d", CutOff: true, HoldMS: 5000})
		Expect(t.OtherCutOff(now.Add(time.Second), state.Member{ID: "d", Incarnation: 2})).To(BeFalse())
	})

	// Guards against notices that exceed the rate of gossip where many daemons are cut off together,
	// so that they lapse before they arrive.
	It("repeats notices the less often the more daemons are cut off", Label("failure:cut-off-notices-crowd"), func() {
		const maxPerSecond = 4.0 // of 6,000 bytes of gossip a second: each is sent some ten times, in 100 bytes
		t.Checked("s", reach.ReachedByOthers)
		for cutOff := 1; cutOff <= 400; cutOff++ {
			n, interval := t.Notice(now, "self")
			Expect(n.Services).To(ConsistOf(state.ServiceID("s")))
			Expect(float64(cutOff) / interval.Seconds()).To(BeNumerically("<=", maxPerSecond))
			Expect(n.HoldMS).To(BeNumerically(">", 2*interval.Milliseconds()), "one may be lost")
			t.Receive(now, state.Member{ID: state.DaemonID(fmt.Sprint(cutOff))}, reach.Notice{CutOff: true, HoldMS: n.HoldMS})
		}
	})

	// Guards against a daemon that starts without links to the servers and is named to callers.
	It("gives daemons that start time to find out whether they are cut off", Label("failure:cut-off-at-start"), func() {
		early, late := state.Member{ID: "d", Incarnation: 1}, state.Member{ID: "d", Incarnation: 2}
		t.Joined(now.Add(time.Second), early)
		Expect(t.Starting(now.Add(time.Second), early)).To(BeFalse(), "this daemon has just started itself")
		seen := now.Add(time.Minute)
		t.Joined(seen, early)
		Expect(t.Starting(seen, early)).To(BeFalse(), "it is the same process")
		t.Joined(seen, late)
		Expect(t.Starting(seen.Add(900*time.Millisecond), late)).To(BeTrue())
		Expect(t.Starting(seen.Add(time.Second), late)).To(BeFalse())
		Expect(t.Starting(seen, state.Member{ID: "e"})).To(BeFalse(), "it is not known")
		t.Joined(seen.Add(time.Minute), late)
		Expect(t.Starting(seen.Add(time.Minute), late)).To(BeFalse(), "it was believed to be dead")
		t.Left("d")
		Expect(t.Starting(seen, late)).To(BeFalse())
	})

	It("tells services from each other, and expects all of a daemon that names none", func() {
		d, e, f := state.Member{ID: "d"}, state.Member{ID: "e"}, state.Member{ID: "f"}
		t.Receive(now, d, reach.Notice{Daemon: "d", CutOff: true, Services: []state.ServiceID{"s"}})
		t.Receive(now, e, reach.Notice{Daemon: "e", CutOff: true})
		Expect(t.OtherCutOffFrom(now, d, "s")).To(BeTrue())
		Expect(t.OtherCutOffFrom(now, d, "t")).To(BeFalse())
		Expect(t.OtherCutOffFrom(now, e, "t")).To(BeTrue())
		Expect(t.OtherCutOffFrom(now, f, "s")).To(BeFalse())
	})
})
