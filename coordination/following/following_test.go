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

const fresh = 2800 * time.Millisecond

var start = time.Unix(1000, 0)

// at is a moment of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

// seven are daemons in three failure domains; g6 and g5 follow.
func seven() []following.Daemon {
	var out []following.Daemon
	for i := range 7 {
		out = append(out, following.Daemon{
			ID: state.DaemonID(fmt.Sprintf("g%d", i)), Domain: state.FailureDomain(fmt.Sprint(i % 3)), Eligible: true,
		})
	}
	return out
}

// many are daemons in five failure domains.
func many(n int) []following.Daemon {
	var out []following.Daemon
	for i := range n {
		out = append(out, following.Daemon{
			ID: state.DaemonID(fmt.Sprintf("g%03d", i)), Domain: state.FailureDomain(fmt.Sprint(i % 5)), Eligible: true,
		})
	}
	return out
}

func machine(id state.DaemonID) *following.Machine {
	m := following.New(state.Member{ID: id, Incarnation: 1}, "servers", fresh, start)
	m.SetMembers(seven())
	return m
}

// announcement is one of g6, whose clock shows what at does.
func announcement(d time.Duration, revision, changed uint64) following.Announcement {
	return following.Announcement{
		Origin: state.Member{ID: "g6", Incarnation: 1}, Feed: "servers",
		Sent: d, Revision: revision, LastChange: changed,
	}
}

var _ = Describe("Following a feed for others", func() {
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

	It("is left to others by one that is about to stop", func() {
		daemons := seven()
		daemons[6].Eligible = false
		m := machine("g6")
		m.SetMembers(daemons)
		Expect(m.IsFollower()).To(BeFalse())
	})

	It("spares the others their calls", func() {
		Expect(m.Mode(at(time.Second))).To(Equal(following.ModeStore))
		m.Receive(at(time.Second), announcement(time.Second, 10, 10))
		Expect(m.Mode(at(time.Second))).To(Equal(following.ModePeers))
	})

	It("begins with the store where nothing is known", func() {
		m = machine("g0")
		m.Receive(at(time.Second), announcement(time.Second, 10, 10))
		Expect(m.Mode(at(time.Second))).To(Equal(following.ModeStore))
	})

	// A configuration is accepted, and one daemon goes on by the old one. Cause: both
	// followers are gone, and it waits for their announcement.
	It("asks the store once followers fall silent", Label("failure:follower-silent"), func() {
		m.Receive(at(0), announcement(0, 10, 10))
		Expect(m.Mode(at(following.AnnouncementTTL))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(following.AnnouncementTTL + time.Millisecond))).To(Equal(following.ModeStore))
	})

	// The same, while a follower is heard: its own connection to the store has gone
	// silent, and it tells what it knew.
	It("asks the store once a follower's view is old", Label("failure:follower-stale"), func() {
		t := announcement(time.Second, 10, 10)
		t.StoreAge = fresh - 100*time.Millisecond
		m.Receive(at(time.Second), t)
		Expect(m.Mode(at(1100 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(1101 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	// The same, while announcements come that say that they are fresh: the follower's link
	// holds them up for three seconds, all alike.
	It("asks the store where a follower's announcements are held up", Label("failure:follower-delayed"), func() {
		m.Receive(at(0), announcement(0, 10, 10))
		for i := range 4 {
			sent := time.Duration(i+1) * time.Second
			m.Receive(at(sent+3*time.Second), announcement(sent, 10, 10))
		}
		Expect(m.Mode(at(7 * time.Second))).To(Equal(following.ModeStore))
	})

	It("takes a new life of a follower with its own clock", func() {
		m.Receive(at(0), announcement(0, 10, 10))
		t := announcement(time.Millisecond, 10, 10)
		t.Origin.Incarnation = 2
		m.Receive(at(time.Minute), t)
		Expect(m.Mode(at(time.Minute))).To(Equal(following.ModePeers))
	})

	// Guards against a follower that is not heard any more once its time of day has gone back.
	It("takes a life of a follower with a lower number once the former one is silent", Label("failure:follower-clock-back"), func() {
		former, again := announcement(0, 10, 10), announcement(0, 10, 10)
		former.Origin.Incarnation = 2
		m.Receive(at(0), former)
		m.Receive(at(time.Second), again)
		Expect(m.IsNew(again)).To(BeFalse(), "it may be an announcement of the former life that went round")
		m.Receive(at(13*time.Second), again)
		Expect(m.Mode(at(13 * time.Second))).To(Equal(following.ModePeers))
	})

	It("asks a store seldom that does not answer followers", func() {
		t := announcement(0, 10, 10)
		t.StoreFailing = true
		m.Receive(at(0), t)
		Expect(m.Mode(at(0))).To(Equal(following.ModeStoreReduced))
	})

	// The store answers neither follower: one has found it out, the other one's connection
	// has gone silent. A change is in force a second too late. Cause: a daemon waited for
	// its turn as if the store were known to answer nobody.
	It("asks the store at once where one follower fails and the other's view is old", Label("failure:follower-stale"), func() {
		failing, silent := announcement(0, 10, 10), announcement(0, 10, 10)
		failing.Origin.ID, failing.StoreFailing = "g5", true
		silent.StoreAge = fresh - 100*time.Millisecond
		m.Receive(at(time.Second), failing)
		silent.Sent = time.Second
		m.Receive(at(time.Second), silent)
		Expect(m.Mode(at(1100 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(1101 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	// The store is away for 8 s, and each of 195 daemons asks it once a second: over
	// 3,000 calls, each paid for. Cause: how often one asks did not depend on how many do.
	It("asks such a store no oftener in all where daemons are many", Label("failure:outage-asked-by-all"), func() {
		for _, n := range []int{7, 80, 195, 420} {
			m := following.New(state.Member{ID: "g000"}, "servers", fresh, start)
			m.SetMembers(many(n))
			perSecond := float64(n) / m.ReducedPollInterval().Seconds()
			Expect(perSecond).To(BeNumerically("<=", 7))
			Expect(m.ReducedPollInterval()).To(BeNumerically(">=", time.Second))
		}
	})

	It("rests for a moment after the store's own answer", func() {
		Expect(m.Mode(at(500 * time.Millisecond))).To(Equal(following.ModeCooldown))
		Expect(m.NextTick(at(500 * time.Millisecond))).To(Equal(at(700 * time.Millisecond)))
		Expect(m.Mode(at(700 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	It("goes by the age of what another daemon gave", func() {
		m = machine("g0")
		m.LoadedFromPeer(at(time.Second), 12, 600*time.Millisecond)
		revision, known := m.Revision()
		Expect(known).To(BeTrue())
		Expect(revision).To(Equal(uint64(12)))
		Expect(m.Mode(at(1050 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(2200 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.Mode(at(2201 * time.Millisecond))).To(Equal(following.ModeStore))
	})

	// After a cut of a third of 195 daemons their views of each other differ for a while,
	// announcements reach some of them seldom, and each of these asks the store every 0.7 s. Cause:
	// what another daemon has heard a moment ago is not asked for.
	It("goes by what another daemon has heard as by an announcement", Label("failure:words-pass-by"), func() {
		m.ConfirmedByPeer(at(2*time.Second), 14, fresh-300*time.Millisecond)
		Expect(m.Mode(at(2300 * time.Millisecond))).To(Equal(following.ModePeers))
		Expect(m.NextTick(at(2100 * time.Millisecond))).To(Equal(at(2300 * time.Millisecond)))
		Expect(m.Mode(at(2301*time.Millisecond))).To(Equal(following.ModeStore), "that was too long ago")
		revision, _ := m.Revision()
		Expect(revision).To(Equal(uint64(14)))
	})

	// A configuration is accepted while the store refuses just the two daemons that follow
	// it. The other 193 have it within seconds. Cause of the opposite: each asked seldom,
	// and one that was answered kept it to itself.
	It("tells all where the store answers it and not the followers", Label("failure:followers-refused"), func() {
		for _, id := range []state.DaemonID{"g6", "g5"} {
			t := announcement(0, 10, 10)
			t.Origin.ID, t.StoreFailing = id, true
			m.Receive(at(0), t)
		}
		_, tells := m.Announce(at(0))
		Expect(tells).To(BeFalse())
		m.StoreAnswered(at(100*time.Millisecond), 12, true)
		t, tells := m.Announce(at(100 * time.Millisecond))
		Expect(tells).To(BeTrue())
		Expect(t.Revision).To(Equal(uint64(12)))
		Expect(m.SendsRows(at(100*time.Millisecond))).To(BeTrue(), "its rows are the only ones")
		other := machine("g1")
		other.StoreAnswered(at(0), 10, true)
		other.Receive(at(120*time.Millisecond), t)
		Expect(other.Mode(at(300*time.Millisecond))).To(Equal(following.ModeStore), "it lacks rows")
		lacks, _ := other.OverdueRevision(at(300 * time.Millisecond))
		Expect(lacks).To(Equal(uint64(12)))
		other.AdvanceTo(12, true)
		Expect(other.Mode(at(800 * time.Millisecond))).To(Equal(following.ModePeers))
		m.Receive(at(time.Second), announcement(time.Second, 12, 12))
		_, tells = m.Announce(at(2 * time.Second))
		Expect(tells).To(BeFalse(), "the followers are served again")
	})

	// A third of 195 daemons are cut off, and each of the others tells every change to
	// all, so that the processors of all are full. Cause: each that the store answered
	// stood in for the followers, since it had heard of nobody else that did.
	It("leaves it to the last that stands in", Label("failure:all-stand-in"), func() {
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

	Describe("what a follower tells", func() {
		It("advances where no row changed", func() {
			Expect(m.Receive(at(0), announcement(0, 15, 10))).To(Equal(following.ResultAdvance))
		})

		It("is applied where its rows are the next ones", func() {
			t := announcement(0, 15, 15)
			t.RowsAfter, t.Rows = 10, []byte{1}
			Expect(m.Receive(at(0), t)).To(Equal(following.ResultApply))
			m.AdvanceTo(15, true)
			Expect(m.Receive(at(0), t)).To(Equal(following.ResultIgnore))
		})

		// A server leaves the list, and one daemon goes on sending to it. Cause: the
		// message with the change was lost; the next one shows that there was one.
		It("shows what was lost", Label("failure:change-lost"), func() {
			Expect(m.Receive(at(0), announcement(0, 15, 15))).To(Equal(following.ResultIgnore))
			Expect(m.Mode(at(100 * time.Millisecond))).To(Equal(following.ModePeers))
			Expect(m.Mode(at(200 * time.Millisecond))).To(Equal(following.ModeStore))
			m.StoreAnswered(at(210*time.Millisecond), 15, true)
			Expect(m.Mode(at(210 * time.Millisecond))).To(Equal(following.ModePeers))
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

		It("tells at once of a change, and else now and then", func() {
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

		It("tells at once that the store is lost and that it is back", func() {
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

	It("reaches each daemon once, each through a few others, and each domain once", func() {
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
				m := following.New(state.Member{ID: d.ID}, "servers", fresh, start)
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

	It("passes nothing on of a follower that it does not know", func() {
		Expect(m.ForwardTargets("stranger")).To(BeEmpty())
	})

	// Guards against announcements that go round among daemons until their views are the same, and take
	// the processors of all: configurations are late, and callers wait after a restart of all.
	It("passes each announcement on once where daemons know different ones", Label("failure:announcements-go-round"), func() {
		const n = 300
		rng := rand.New(rand.NewPCG(1, 2))
		daemons := many(n)
		machines := make(map[state.DaemonID]*following.Machine)
		for _, d := range daemons {
			known := lo.Filter(daemons, func(other following.Daemon, _ int) bool {
				return other == d || rng.Float64() < 0.8
			})
			m := following.New(state.Member{ID: d.ID, Incarnation: 1}, "servers", fresh, start)
			m.SetMembers(known)
			m.StoreAnswered(at(0), 10, true)
			machines[d.ID] = m
		}
		root := daemons[n-1].ID
		passed := make(map[state.DaemonID]int)
		for i := range 3 {
			t := announcement(time.Duration(i)*following.AnnounceInterval, 10, 10)
			t.Origin.ID = root
			now := at(t.Sent)
			for queue := machines[root].ForwardTargets(root); len(queue) > 0; queue = queue[1:] {
				m := machines[queue[0]]
				now = now.Add(10 * time.Microsecond)
				if m.IsNew(t) {
					passed[queue[0]]++
					queue = append(queue, m.ForwardTargets(root)...)
				}
				m.Receive(now, t)
				Expect(passed[queue[0]]).To(BeNumerically("<=", i+1))
			}
		}
		Expect(len(passed)).To(BeNumerically(">", n/2))
		Expect(passed).NotTo(HaveKey(root))
	})

	// One daemon of a domain is paused. The others of it go on by the followers'
	// announcements. Cause: both would come through the paused one.
	It("reaches a domain through different daemons", func() {
		first, second := machine("g6").ForwardTargets("g6"), machine("g5").ForwardTargets("g5")
		Expect(first).To(ContainElement(state.DaemonID("g1")))
		Expect(second).NotTo(ContainElement(state.DaemonID("g1")))
		Expect(second).To(ContainElement(state.DaemonID("g3")))
	})
})
