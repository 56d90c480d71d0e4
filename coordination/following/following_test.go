package following_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
			ID: state.DaemonID(fmt.Sprintf("g%d", i)), Domain: state.FailureDomain(fmt.Sprint(i % 3)), Steady: true,
		})
	}
	return out
}

func machine(id state.DaemonID) *following.Machine {
	m := following.New(state.Member{ID: id, Incarnation: 1}, "servers", fresh, start)
	m.Members(seven())
	return m
}

// word is one of g6, whose clock shows what at does.
func word(d time.Duration, revision, changed uint64) following.Told {
	return following.Told{
		Root: state.Member{ID: "g6", Incarnation: 1}, Feed: "servers",
		Sent: d, Revision: revision, Changed: changed,
	}
}

var _ = Describe("Following a feed for others", func() {
	var m *following.Machine

	BeforeEach(func() {
		m = machine("g0")
		m.Answered(at(0), 10, true)
	})

	It("is done by two daemons of different failure domains", func() {
		follow := 0
		for i := range 7 {
			if machine(state.DaemonID(fmt.Sprintf("g%d", i))).Follows() {
				follow++
			}
		}
		Expect(follow).To(Equal(following.Followers))
		Expect(machine("g6").Follows()).To(BeTrue())
		Expect(machine("g5").Follows()).To(BeTrue())
	})

	It("is left to others by one that is about to stop", func() {
		daemons := seven()
		daemons[6].Steady = false
		m := machine("g6")
		m.Members(daemons)
		Expect(m.Follows()).To(BeFalse())
	})

	It("spares the others their calls", func() {
		Expect(m.Mode(at(0))).To(Equal(following.ByStore))
		m.Heard(at(time.Second), word(time.Second, 10, 10))
		Expect(m.Mode(at(time.Second))).To(Equal(following.ByPeers))
	})

	It("begins with the store where nothing is known", func() {
		m = machine("g0")
		m.Heard(at(time.Second), word(time.Second, 10, 10))
		Expect(m.Mode(at(time.Second))).To(Equal(following.ByStore))
	})

	// A configuration is accepted, and one daemon goes on by the old one. Cause: both
	// followers are gone, and it waits for their word.
	It("asks the store once followers fall silent", Label("failure:follower-silent"), func() {
		m.Heard(at(0), word(0, 10, 10))
		Expect(m.Mode(at(following.HeardFor))).To(Equal(following.ByPeers))
		Expect(m.Mode(at(following.HeardFor + time.Millisecond))).To(Equal(following.ByStore))
	})

	// The same, while a follower is heard: its own connection to the store has gone
	// silent, and it tells what it knew.
	It("asks the store once a follower's view is old", Label("failure:follower-stale"), func() {
		t := word(0, 10, 10)
		t.Age = fresh - 100*time.Millisecond
		m.Heard(at(0), t)
		Expect(m.Mode(at(100 * time.Millisecond))).To(Equal(following.ByPeers))
		Expect(m.Mode(at(101 * time.Millisecond))).To(Equal(following.ByStore))
	})

	// The same, while words come that say that they are fresh: the follower's link
	// holds them up for three seconds, all alike.
	It("asks the store where a follower's words are held up", Label("failure:follower-delayed"), func() {
		m.Heard(at(0), word(0, 10, 10))
		for i := range 4 {
			sent := time.Duration(i+1) * time.Second
			m.Heard(at(sent+3*time.Second), word(sent, 10, 10))
		}
		Expect(m.Mode(at(7 * time.Second))).To(Equal(following.ByStore))
	})

	It("takes a new life of a follower with its own clock", func() {
		m.Heard(at(0), word(0, 10, 10))
		t := word(time.Millisecond, 10, 10)
		t.Root.Incarnation = 2
		m.Heard(at(time.Minute), t)
		Expect(m.Mode(at(time.Minute))).To(Equal(following.ByPeers))
	})

	It("asks a store seldom that does not answer followers", func() {
		t := word(0, 10, 10)
		t.Failing = true
		m.Heard(at(0), t)
		Expect(m.Mode(at(0))).To(Equal(following.BySeldom))
	})

	Describe("what a follower tells", func() {
		It("advances where no row changed", func() {
			Expect(m.Heard(at(0), word(0, 15, 10))).To(Equal(following.Advance))
		})

		It("is applied where its rows are the next ones", func() {
			t := word(0, 15, 15)
			t.After, t.Rows = 10, []byte{1}
			Expect(m.Heard(at(0), t)).To(Equal(following.Apply))
			m.Advanced(15, true)
			Expect(m.Heard(at(0), t)).To(Equal(following.Known))
		})

		// A server leaves the list, and one daemon goes on sending to it. Cause: the
		// message with the change was lost; the next one shows that there was one.
		It("shows what was lost", Label("failure:change-lost"), func() {
			Expect(m.Heard(at(0), word(0, 15, 15))).To(Equal(following.Known))
			Expect(m.Mode(at(100 * time.Millisecond))).To(Equal(following.ByPeers))
			Expect(m.Mode(at(200 * time.Millisecond))).To(Equal(following.ByStore))
			m.Answered(at(210*time.Millisecond), 15, true)
			Expect(m.Mode(at(210 * time.Millisecond))).To(Equal(following.ByPeers))
		})

		It("is not applied after a gap", func() {
			t := word(0, 15, 15)
			t.After, t.Rows = 12, []byte{1}
			Expect(m.Heard(at(0), t)).To(Equal(following.Known))
		})
	})

	Describe("a follower", func() {
		BeforeEach(func() {
			m = machine("g6")
			m.Answered(at(0), 10, true)
		})

		It("tells at once of a change, and else now and then", func() {
			t, ok := m.Tell(at(0))
			Expect(ok).To(BeTrue())
			Expect([]uint64{t.Revision, t.Changed}).To(Equal([]uint64{10, 10}))
			_, ok = m.Tell(at(time.Millisecond))
			Expect(ok).To(BeFalse())
			m.Answered(at(time.Millisecond), 11, false)
			_, ok = m.Tell(at(time.Millisecond))
			Expect(ok).To(BeFalse())
			t, ok = m.Tell(at(following.TellInterval))
			Expect(ok).To(BeTrue())
			Expect([]uint64{t.Revision, t.Changed}).To(Equal([]uint64{11, 10}))
			Expect(t.Age).To(Equal(following.TellInterval - time.Millisecond))
		})

		It("tells at once that the store is lost and that it is back", func() {
			m.Tell(at(0))
			m.Failed(at(100 * time.Millisecond))
			t, ok := m.Tell(at(100 * time.Millisecond))
			Expect(ok).To(BeTrue())
			Expect(t.Failing).To(BeTrue())
			m.Answered(at(200*time.Millisecond), 10, false)
			t, ok = m.Tell(at(200 * time.Millisecond))
			Expect(ok).To(BeTrue())
			Expect(t.Failing).To(BeFalse())
		})
	})

	It("reaches each daemon once, each through a few others, and each domain once", func() {
		const n, domains = 420, 17
		var daemons []following.Daemon
		for i := range n {
			daemons = append(daemons, following.Daemon{
				ID: state.DaemonID(fmt.Sprintf("g%03d", i)), Domain: state.FailureDomain(fmt.Sprint(i % domains)), Steady: i%5 != 0,
			})
		}
		for _, root := range []state.DaemonID{"g200", "g419", "g418"} {
			got := make(map[state.DaemonID]int)
			crossing := 0
			for i, d := range daemons {
				m := following.New(state.Member{ID: d.ID}, "servers", fresh, start)
				m.Members(daemons)
				next := m.Next(root)
				if d.ID != root {
					Expect(len(next)).To(BeNumerically("<=", following.Degree))
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
		Expect(m.Next("stranger")).To(BeEmpty())
	})

	// One daemon of a domain is paused. The others of it go on by the followers'
	// words. Cause: both would come through the paused one.
	It("reaches a domain through different daemons", func() {
		first, second := machine("g6").Next("g6"), machine("g5").Next("g5")
		Expect(first).To(ContainElement(state.DaemonID("g1")))
		Expect(second).NotTo(ContainElement(state.DaemonID("g1")))
		Expect(second).To(ContainElement(state.DaemonID("g3")))
	})
})
