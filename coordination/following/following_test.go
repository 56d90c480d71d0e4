package following_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const maxStoreAge = 2800 * time.Millisecond

var start = time.Unix(1000, 0)

// at returns a time after the start of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

// sevenDaemons returns daemons in three failure domains; g6 and g5 are the followers.
func sevenDaemons() []following.Daemon {
	var out []following.Daemon
	for i := range 7 {
		out = append(out, following.Daemon{
			ID: state.DaemonID(fmt.Sprintf("g%d", i)), Domain: state.FailureDomain(fmt.Sprint(i % 3)), Eligible: true,
		})
	}
	return out
}

// manyDaemons returns daemons in five failure domains.
func manyDaemons(n int) []following.Daemon {
	var out []following.Daemon
	for i := range n {
		out = append(out, following.Daemon{
			ID: state.DaemonID(fmt.Sprintf("g%03d", i)), Domain: state.FailureDomain(fmt.Sprint(i % 5)), Eligible: true,
		})
	}
	return out
}

func machine(id state.DaemonID) *following.Machine {
	m := following.New(state.Member{ID: id, Incarnation: 1}, "servers", maxStoreAge, start)
	m.SetMembers(sevenDaemons())
	return m
}

// announcement returns one of g6, whose clock is in sync with at.
func announcement(d time.Duration, revision, changed uint64) following.Announcement {
	return following.Announcement{
		Origin: state.Member{ID: "g6", Incarnation: 1}, Feed: "servers",
		Sent: d, Revision: revision, LastChange: changed,
	}
}

var _ = Describe("Following a feed on behalf of others", func() {
	var m *following.Machine

	BeforeEach(func() {
		m = machine("g0")
		m.StoreAnswered(at(0), 10, true)
	})

	It("is done by two daemons of different failure domains", func() {
		follow := 0
		for i := range 7 {
			if machine(state.DaemonID(fmt.Sprintf("g%d", i))).IsFollower() {
				follow++
			}
		}
		Expect(follow).To(Equal(following.FollowerCount))
		Expect(machine("g6").IsFollower()).To(BeTrue())
		Expect(machine("g5").IsFollower()).To(BeTrue())
	})

	It("is not done by a daemon that is about to stop", func() {
		daemons := sevenDaemons()
		daemons[6].Eligible = false
		m := machine("g6")
		m.SetMembers(daemons)
		Expect(m.IsFollower()).To(BeFalse())
	})

	It("saves the calls of the other daemons", func() {
		Expect(m.Mode(at(time.Second))).To(Equal(following.ModeStore))
		m.Receive(at(time.Second), announcement(time.Second, 10, 10))
		Expect(m.Mode(at(time.Second))).To(Equal(following.ModePeers))
	})

	It("starts with the store if nothing is known", func() {
		m = machine("g0")
		m.Receive(at(time.Second), announcement(time.Second, 10, 10))
		Expect(m.Mode(at(time.Second))).To(Equal(following.ModeStore))
	})

	// Guards against a daemon that keeps using an outdated configuration: both followers are gone,
	// and it waits for their announcement.
	It("queries the store when the followers stop announcing", Label("failure:follower-silent"), func() {
		m.Receive(at(0), announcement(0, 10, 10))
		Expect(m.Mode(at(following.AnnouncementTTL))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(following.AnnouncementTTL + time.Millisecond))).To(Equal(following.ModeStore))
	})

	// Guards against the same failure while a follower still sends announcements: its own
	// connection to the store is unresponsive, and it announces an old state.
	It("queries the store when a follower's state is old", Label("failure:follower-stale"), func() {
		t := announcement(time.Second, 10, 10)
		t.StoreAge = maxStoreAge - 100*time.Millisecond
		m.Receive(at(time.Second), t)
		Expect(m.Mode(at(1100 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(1101 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	// Guards against the same failure while announcements that claim to be fresh arrive: the
	// follower's link delays each of them by three seconds.
	It("queries the store when a follower's announcements are delayed", Label("failure:follower-delayed"), func() {
		m.Receive(at(0), announcement(0, 10, 10))
		for i := range 4 {
			sent := time.Duration(i+1) * time.Second
			m.Receive(at(sent+3*time.Second), announcement(sent, 10, 10))
		}
		Expect(m.Mode(at(7 * time.Second))).To(Equal(following.ModeStore))
	})

	It("accepts a new incarnation of a follower with its own clock", func() {
		m.Receive(at(0), announcement(0, 10, 10))
		t := announcement(time.Millisecond, 10, 10)
		t.Origin.Incarnation = 2
		m.Receive(at(time.Minute), t)
		Expect(m.Mode(at(time.Minute))).To(Equal(following.ModePeers))
	})

	// Guards against a follower that is ignored after its wall clock has been set back.
	It("accepts an incarnation of a follower with a lower number when the former one is unresponsive", Label("failure:follower-clock-back"), func() {
		former, again := announcement(0, 10, 10), announcement(0, 10, 10)
		former.Origin.Incarnation = 2
		m.Receive(at(0), former)
		m.Receive(at(time.Second), again)
		Expect(m.IsNew(again)).To(BeFalse(), "it may be a delayed announcement of the former incarnation")
		m.Receive(at(13*time.Second), again)
		Expect(m.Mode(at(13 * time.Second))).To(Equal(following.ModePeers))
	})

	It("queries a store less often that does not answer the followers", func() {
		t := announcement(0, 10, 10)
		t.StoreFailing = true
		m.Receive(at(0), t)
		Expect(m.Mode(at(0))).To(Equal(following.ModeStoreReduced))
	})

	// Guards against a change that is applied a second too late: the store answers neither
	// follower, one has detected it, and the other one's connection is unresponsive. A daemon used
	// the reduced rate as if the store were known to answer no daemon.
	It("queries the store at once if one follower fails and the other's state is old", Label("failure:follower-stale"), func() {
		failing, stale := announcement(0, 10, 10), announcement(0, 10, 10)
		failing.Origin.ID, failing.StoreFailing = "g5", true
		stale.StoreAge = maxStoreAge - 100*time.Millisecond
		m.Receive(at(time.Second), failing)
		stale.Sent = time.Second
		m.Receive(at(time.Second), stale)
		Expect(m.Mode(at(1100 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(1101 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	// Guards against over 3,000 billed calls when the store is unavailable for 8 s and each of 195
	// daemons queries it once per second: the interval did not depend on the number of daemons.
	It("limits the total rate of queries to such a store for any number of daemons", Label("failure:outage-asked-by-all"), func() {
		for _, n := range []int{7, 80, 195, 420} {
			m := following.New(state.Member{ID: "g000"}, "servers", maxStoreAge, start)
			m.SetMembers(manyDaemons(n))
			perSecond := float64(n) / m.ReducedPollInterval().Seconds()
			Expect(perSecond).To(BeNumerically("<=", 7))
			Expect(m.ReducedPollInterval()).To(BeNumerically(">=", time.Second))
		}
	})

	// Guards against a starting daemon that uses another one's rows however old they are: the store
	// failed that one once, and has answered others since.
	It("does not report its own former failure as the store's", Label("failure:former-failure"), func() {
		m.StoreFailed(at(time.Second))
		Expect(m.StoreFailing(at(time.Second))).To(BeTrue())
		m.Receive(at(1500*time.Millisecond), announcement(1500*time.Millisecond, 10, 10))
		Expect(m.StoreFailing(at(1500 * time.Millisecond))).To(BeFalse())
		Expect(m.Age(at(8500*time.Millisecond))).To(Equal(7*time.Second), "no announcement has arrived since")
		Expect(m.StoreFailing(at(8500 * time.Millisecond))).To(BeFalse())
		m.StoreFailed(at(9 * time.Second))
		Expect(m.StoreFailing(at(9 * time.Second))).To(BeTrue())
		m.ConfirmedByPeer(at(10*time.Second), 10, 1500*time.Millisecond)
		Expect(m.StoreFailing(at(10*time.Second))).To(BeTrue(), "the answer was before the failure")
		m.ConfirmedByPeer(at(11*time.Second), 10, 500*time.Millisecond)
		Expect(m.StoreFailing(at(11 * time.Second))).To(BeFalse())
	})

	It("has a cooldown after the store's own answer", func() {
		Expect(m.Mode(at(500 * time.Millisecond))).To(Equal(following.ModeCooldown))
		Expect(m.NextTick(at(500 * time.Millisecond))).To(Equal(at(700 * time.Millisecond)))
		Expect(m.Mode(at(700 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	It("uses the age of the data that another daemon provided", func() {
		m = machine("g0")
		m.LoadedFromPeer(at(time.Second), 12, 600*time.Millisecond)
		revision, known := m.Revision()
		Expect(known).To(BeTrue())
		Expect(revision).To(Equal(uint64(12)))
		Expect(m.Mode(at(1050 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(2200 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(2201 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	// Guards against queries to the store every 0.7 s after a partition of a third of 195 daemons:
	// their membership views differ for a while, so some of them rarely receive announcements. They
	// did not query other daemons for recently received ones.
	It("treats what another daemon has received like an announcement", Label("failure:words-pass-by"), func() {
		m.ConfirmedByPeer(at(2*time.Second), 14, maxStoreAge-300*time.Millisecond)
		Expect(m.Mode(at(2300 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.NextTick(at(2100 * time.Millisecond))).To(Equal(at(2300 * time.Millisecond)))
		Expect(m.Mode(at(2301*time.Millisecond))).To(Equal(following.ModeStore), "the confirmation is too old")
		revision, _ := m.Revision()
		Expect(revision).To(Equal(uint64(14)))
	})

	// Guards against a configuration that does not reach the other 193 daemons within seconds while
	// the store refuses only the two followers: each daemon queried the store at the reduced rate,
	// and one that got an answer did not announce it.
	It("announces changes if the store answers it but not the followers", Label("failure:followers-refused"), func() {
		for _, id := range []state.DaemonID{"g6", "g5"} {
			t := announcement(0, 10, 10)
			t.Origin.ID, t.StoreFailing = id, true
			m.Receive(at(0), t)
		}
		_, announces := m.Announce(at(0))
		Expect(announces).To(BeFalse())
		m.StoreAnswered(at(100*time.Millisecond), 12, true)
		t, announces := m.Announce(at(100 * time.Millisecond))
		Expect(announces).To(BeTrue())
		Expect(t.Revision).To(Equal(uint64(12)))
		Expect(m.SendsRows(at(100*time.Millisecond))).To(BeTrue(), "no other daemon sends rows")
		other := machine("g1")
		other.StoreAnswered(at(0), 10, true)
		other.Receive(at(120*time.Millisecond), t)
		Expect(other.Mode(at(300*time.Millisecond))).To(Equal(following.ModeStore), "it is missing rows")
		missing, _ := other.OverdueRevision(at(300 * time.Millisecond))
		Expect(missing).To(Equal(uint64(12)))
		other.AdvanceTo(12, true)
		Expect(other.Mode(at(800 * time.Millisecond))).To(Equal(following.ModePeers))
		m.Receive(at(time.Second), announcement(time.Second, 12, 12))
		_, announces = m.Announce(at(2 * time.Second))
		Expect(announces).To(BeFalse(), "the store answers the followers again")
	})

	// Guards against full CPUs when a third of 195 daemons are partitioned and each of the others
	// sends every change to all: each daemon that got an answer from the store acted as a
	// substitute follower, since it had received no announcement of another one.
	It("stops announcing if a later substitute by ID announces", Label("failure:all-stand-in"), func() {
		for _, id := range []state.DaemonID{"g6", "g5"} {
			t := announcement(0, 10, 10)
			t.Origin.ID, t.StoreFailing = id, true
			m.Receive(at(0), t)
		}
		m.StoreAnswered(at(100*time.Millisecond), 12, true)
		other := announcement(0, 12, 12)
		other.Origin.ID = "g3"
		m.Receive(at(200*time.Millisecond), other)
		Expect(m.IsAnnouncing(at(200 * time.Millisecond))).To(BeFalse())
		first := machine("g4")
		first.StoreAnswered(at(0), 10, true)
		for _, id := range []state.DaemonID{"g6", "g5"} {
			t := announcement(0, 10, 10)
			t.Origin.ID, t.StoreFailing = id, true
			first.Receive(at(0), t)
		}
		first.StoreAnswered(at(100*time.Millisecond), 12, true)
		first.Receive(at(200*time.Millisecond), other)
		Expect(first.IsAnnouncing(at(200 * time.Millisecond))).To(BeTrue())
	})

	Describe("a follower's announcement", func() {
		It("advances the revision if no row changed", func() {
			Expect(m.Receive(at(0), announcement(0, 15, 10))).To(Equal(following.ResultAdvance))
		})

		It("is applied if its rows are the next ones", func() {
			t := announcement(0, 15, 15)
			t.RowsAfter, t.Rows = 10, []byte{1}
			Expect(m.Receive(at(0), t)).To(Equal(following.ResultApply))
			m.AdvanceTo(15, true)
			Expect(m.Receive(at(0), t)).To(Equal(following.ResultIgnore))
		})

		// Guards against a daemon that keeps sending requests to a server that has left the list:
		// the message with the change was lost. The next message shows that there was one.
		It("reveals a lost change", Label("failure:change-lost"), func() {
			Expect(m.Receive(at(0), announcement(0, 15, 15))).To(Equal(following.ResultIgnore))
			Expect(m.Mode(at(100 * time.Millisecond))).To(Equal(following.ModePeers))
			Expect(m.Mode(at(200 * time.Millisecond))).To(Equal(following.ModeStore))
			m.StoreAnswered(at(210*time.Millisecond), 15, true)
			Expect(m.Mode(at(210 * time.Millisecond))).To(Equal(following.ModePeers))
		})

		// Guards against a configuration that is late by a follower's interval: an announcement that
		// was sent before the lost one, or a daemon that knows no more, hides that there is a change.
		It("reveals a lost change until it is known", Label("failure:change-lost"), func() {
			Expect(m.Receive(at(0), announcement(0, 15, 15))).To(Equal(following.ResultIgnore))
			earlier := announcement(0, 12, 10)
			earlier.Origin.ID = "g5"
			Expect(m.Receive(at(10*time.Millisecond), earlier)).To(Equal(following.ResultAdvance))
			m.AdvanceTo(12, false)
			m.ConfirmedByPeer(at(20*time.Millisecond), 13, 600*time.Millisecond)
			Expect(m.Age(at(30*time.Millisecond))).To(Equal(30*time.Millisecond), "by the store's own answer")
			Expect(m.Mode(at(150 * time.Millisecond))).To(Equal(following.ModeStore))
			missing, _ := m.OverdueRevision(at(150 * time.Millisecond))
			Expect(missing).To(Equal(uint64(15)))
			m.AdvanceTo(15, true)
			Expect(m.Mode(at(150 * time.Millisecond))).To(Equal(following.ModePeers))
		})

		// Guards against a daemon that starts, hears of a change before it knows the feed, loads rows
		// without that change, and takes the announcement as proof that they are current.
		It("reveals a change that the rows of another daemon lack", Label("failure:loaded-before-change"), func() {
			const (
				storeAgeLimit = 1700 * time.Millisecond
				bound         = 2 * time.Second // within which a configuration must be active
				callTime      = 50 * time.Millisecond
			)
			m = following.New(state.Member{ID: "g0", Incarnation: 1}, "servers", storeAgeLimit, start)
			m.SetMembers(sevenDaemons())
			// The change is made at 0.
			m.Receive(at(1550*time.Millisecond), announcement(1550*time.Millisecond, 15, 15))
			m.LoadedFromPeer(at(1600*time.Millisecond), 10, 1650*time.Millisecond)
			Expect(m.Age(at(1600 * time.Millisecond))).To(Equal(1650 * time.Millisecond))
			now := 1600 * time.Millisecond
			for next := 2050 * time.Millisecond; m.Mode(at(now)) != following.ModeStore; now += time.Millisecond {
				if now == next {
					m.Receive(at(now), announcement(now, 15, 15))
					next += following.AnnounceInterval
				}
			}
			Expect(now + callTime).To(BeNumerically("<=", bound))
		})

		It("is not applied after a gap", func() {
			t := announcement(0, 15, 15)
			t.RowsAfter, t.Rows = 12, []byte{1}
			Expect(m.Receive(at(0), t)).To(Equal(following.ResultIgnore))
		})
	})

	Describe("a follower", func() {
		BeforeEach(func() {
			m = machine("g6")
			m.StoreAnswered(at(0), 10, true)
		})

		It("announces a change at once, and its state periodically", func() {
			t, ok := m.Announce(at(0))
			Expect(ok).To(BeTrue())
			Expect([]uint64{t.Revision, t.LastChange}).To(Equal([]uint64{10, 10}))
			_, ok = m.Announce(at(time.Millisecond))
			Expect(ok).To(BeFalse())
			m.StoreAnswered(at(time.Millisecond), 11, false)
			_, ok = m.Announce(at(time.Millisecond))
			Expect(ok).To(BeFalse())
			t, ok = m.Announce(at(following.AnnounceInterval))
			Expect(ok).To(BeTrue())
			Expect([]uint64{t.Revision, t.LastChange}).To(Equal([]uint64{11, 10}))
			Expect(t.StoreAge).To(Equal(following.AnnounceInterval - time.Millisecond))
		})

		It("announces at once that the store fails and that it has recovered", func() {
			m.Announce(at(0))
			m.StoreFailed(at(100 * time.Millisecond))
			t, ok := m.Announce(at(100 * time.Millisecond))
			Expect(ok).To(BeTrue())
			Expect(t.StoreFailing).To(BeTrue())
			m.StoreAnswered(at(200*time.Millisecond), 10, false)
			t, ok = m.Announce(at(200 * time.Millisecond))
			Expect(ok).To(BeTrue())
			Expect(t.StoreFailing).To(BeFalse())
		})
	})

	It("reaches each daemon once with a bounded fanout, and each domain once", func() {
		const n, domains = 420, 17
		var daemons []following.Daemon
		for i := range n {
			daemons = append(daemons, following.Daemon{
				ID: state.DaemonID(fmt.Sprintf("g%03d", i)), Domain: state.FailureDomain(fmt.Sprint(i % domains)), Eligible: i%5 != 0,
			})
		}
		for _, root := range []state.DaemonID{"g200", "g419", "g418"} {
			got := make(map[state.DaemonID]int)
			crossing := 0
			for i, d := range daemons {
				m := following.New(state.Member{ID: d.ID}, "servers", maxStoreAge, start)
				m.SetMembers(daemons)
				next := m.ForwardTargets(root)
				if d.ID != root {
					Expect(len(next)).To(BeNumerically("<=", following.Fanout))
				}
				for _, id := range next {
					got[id]++
					var to int
					_, err := fmt.Sscanf(string(id), "g%d", &to)
					Expect(err).NotTo(HaveOccurred())
					if to%domains != i%domains {
						crossing++
					}
				}
			}
			Expect(got).To(HaveLen(n - 1))
			Expect(got).NotTo(HaveKey(root))
			for _, times := range got {
				Expect(times).To(Equal(1))
			}
			Expect(crossing).To(Equal(domains - 1))
		}
	})

	It("forwards to the daemons that participate now", func() {
		m = following.New(state.Member{ID: "g000"}, "servers", maxStoreAge, start)
		m.SetMembers(manyDaemons(30))
		Expect(m.ForwardTargets("g000")).To(HaveLen(5+4), "the other daemons of its domain, and one in each other domain")
		m.SetMembers(manyDaemons(7))
		Expect(m.ForwardTargets("g000")).To(HaveLen(1 + 4))
	})

	It("forwards nothing from an unknown follower", func() {
		Expect(m.ForwardTargets("stranger")).To(BeEmpty())
	})

	// Guards against announcements that circulate among daemons until their membership views are
	// equal, and take all CPU time: configurations are late, and callers wait after a restart of
	// all daemons.
	It("forwards each announcement once if membership views differ", Label("failure:announcements-go-round"), func() {
		const n = 300
		rng := rand.New(rand.NewPCG(1, 2))
		daemons := manyDaemons(n)
		machines := make(map[state.DaemonID]*following.Machine)
		for _, d := range daemons {
			known := lo.Filter(daemons, func(other following.Daemon, _ int) bool {
				return other == d || rng.Float64() < 0.8
			})
			m := following.New(state.Member{ID: d.ID, Incarnation: 1}, "servers", maxStoreAge, start)
			m.SetMembers(known)
			m.StoreAnswered(at(0), 10, true)
			machines[d.ID] = m
		}
		root := daemons[n-1].ID
		forwarded := make(map[state.DaemonID]int)
		for i := range 3 {
			t := announcement(time.Duration(i)*following.AnnounceInterval, 10, 10)
			t.Origin.ID = root
			now := at(t.Sent)
			for queue := machines[root].ForwardTargets(root); len(queue) > 0; queue = queue[1:] {
				m := machines[queue[0]]
				now = now.Add(10 * time.Microsecond)
				if m.IsNew(t) {
					forwarded[queue[0]]++
					queue = append(queue, m.ForwardTargets(root)...)
				}
				m.Receive(now, t)
				Expect(forwarded[queue[0]]).To(BeNumerically("<=", i+1))
			}
		}
		Expect(len(forwarded)).To(BeNumerically(">", n/2))
		Expect(forwarded).NotTo(HaveKey(root))
	})

	// Guards against a paused daemon through which both followers reach its domain: the other
	// daemons of the domain would receive no announcements.
	It("reaches a domain through different daemons", func() {
		first, second := machine("g6").ForwardTargets("g6"), machine("g5").ForwardTargets("g5")
		Expect(first).To(ContainElement(state.DaemonID("g1")))
		Expect(second).NotTo(ContainElement(state.DaemonID("g1")))
		Expect(second).To(ContainElement(state.DaemonID("g3")))
	})
})
