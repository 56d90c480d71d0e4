package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/outlier"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const svc state.ServiceID = "app"

func server(i int) state.BackendIncarnation {
	return state.BackendIncarnation{ID: state.BackendID(fmt.Sprintf("s%d", i)), Born: 1}
}

// site is the servers of a service and one daemon before them, which sends requests one after the other
// in virtual time, each to a random one of the servers that are not ejected.
type site struct {
	tracker *outlier.Tracker
	rng     *rand.Rand
	now     time.Time
	fails   []float64 // share of its requests that each server fails
	tried   []int     // requests that each server got
}

func newSite(servers int) *site {
	return &site{
		tracker: outlier.New(), rng: rand.New(rand.NewPCG(1, 73)), now: time.Unix(1000, 0),
		fails: make([]float64, servers), tried: make([]int, servers),
	}
}

func (s *site) ejected(i int) bool { return s.tracker.Ejected(s.now, svc, server(i), true) }

// pick returns a random server that is not ejected, or of all if all are.
func (s *site) pick() int {
	var usable, all []int
	for i := range s.fails {
		all = append(all, i)
		if !s.ejected(i) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		usable = all
	}
	return usable[s.rng.IntN(len(usable))]
}

// send sends a request to a server, which answers at once.
func (s *site) send(i int) {
	s.tried[i]++
	s.tracker.Begin(s.now, svc, server(i))
	if s.rng.Float64() < s.fails[i] {
		s.tracker.Failed(s.now, s.now, svc, server(i), true)
		return
	}
	s.tracker.Answered(s.now, s.now, svc, server(i))
}

// run sends requests at a rate for a while, and returns how many each server got.
func (s *site) run(perSecond float64, d time.Duration) []int {
	s.tried = make([]int, len(s.fails))
	gap := time.Duration(float64(time.Second) / perSecond)
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(gap) {
		s.send(s.pick())
	}
	return s.tried
}

var _ = Describe("Outlier detection", func() {
	const steady, failTime = 10 * time.Second, 20 * time.Second

	DescribeTable("leaves the servers that fail all requests to single trials", Label("failure:unsound-servers"),
		func(servers, unsound int, perSecond float64) {
			s := newSite(servers)
			s.run(perSecond, steady)
			for i := range unsound {
				s.fails[i] = 1
			}
			tried := s.run(perSecond, failTime)
			for i := range unsound {
				Expect(tried[i]).To(BeNumerically("<=", 10), "requests to server %d", i)
			}
		},
		Entry("one of two", 2, 1, 50.0),
		Entry("one of three", 3, 1, 50.0),
		Entry("half", 4, 2, 50.0),
		Entry("half, seldom asked", 4, 2, 2.0),
		Entry("most", 4, 3, 50.0),
		Entry("half of many", 40, 20, 50.0),
		Entry("half of hundreds", 300, 150, 300.0),
	)

	It("uses a server again soon after it has recovered", func() {
		s := newSite(3)
		s.run(20, steady)
		s.fails[0] = 1
		s.run(20, time.Minute)
		s.fails[0] = 0
		s.run(20, 10*time.Second)
		Expect(s.ejected(0)).To(BeFalse())
		Expect(s.run(20, steady)[0]).To(BeNumerically(">", 40))
	})

	// Guards against sound servers that are avoided because of the requests that they get.
	DescribeTable("ejects nobody who fails as often as the others", Label("failure:all-servers-fail-alike"),
		func(fails float64) {
			s := newSite(4)
			s.run(20, steady)
			for i := range s.fails {
				s.fails[i] = fails
			}
			ejected, checks := 0, 0
			for range 600 {
				s.run(20, 100*time.Millisecond)
				for i := range s.fails {
					checks++
					if s.ejected(i) {
						ejected++
					}
				}
			}
			Expect(float64(ejected) / float64(checks)).To(BeNumerically("<", 0.15))
		},
		Entry("always", 1.0), Entry("mostly", 0.9), Entry("half of the time", 0.5), Entry("seldom", 0.1), Entry("never", 0.0),
	)

	It("gives a server that fails a part of its requests little more than trials", func() {
		s := newSite(4)
		s.run(50, steady)
		s.fails[0] = 0.5
		s.run(50, failTime)
		Expect(s.run(50, failTime)[0]).To(BeNumerically("<", 50), "of 250 without an ejection")
	})

	It("counts failures of requests that were under way together once", func() {
		t := outlier.New()
		now := time.Unix(1000, 0)
		for i := range 3 {
			for range 20 {
				t.Answered(now, now, svc, server(i))
			}
		}
		Expect(t.Failed(now, now, svc, server(0), true).For).To(BeNumerically(">", 0))
		Expect(t.Failed(now.Add(time.Millisecond), now.Add(-time.Millisecond), svc, server(0), true)).To(BeZero())
	})

	It("lets an answer to an older request end no ejection", func() {
		t := outlier.New()
		now := time.Unix(1000, 0)
		for range 2 {
			t.Failed(now, now, svc, server(0), true)
		}
		Expect(t.Ejected(now, svc, server(0), true)).To(BeTrue())
		Expect(t.Answered(now, now.Add(-time.Millisecond), svc, server(0))).To(BeZero())
		Expect(t.Ejected(now, svc, server(0), true)).To(BeTrue())
	})

	It("tries an ejected server with one request at a time, and first with one that may be repeated", func() {
		t := outlier.New()
		now := time.Unix(1000, 0)
		t.Failed(now, now, svc, server(0), true)
		ejection := t.Failed(now, now, svc, server(0), true).For
		now = now.Add(ejection)
		Expect(t.Ejected(now, svc, server(0), false)).To(BeTrue())
		Expect(t.Ejected(now, svc, server(0), true)).To(BeFalse())
		t.Begin(now, svc, server(0))
		Expect(t.Ejected(now, svc, server(0), true)).To(BeTrue())
		Expect(t.Ejected(now.Add(time.Second), svc, server(0), true)).To(BeFalse(), "no answer came")
		Expect(t.Ejected(now.Add(time.Second+ejection), svc, server(0), false)).To(BeFalse())
	})

	It("knows nothing of another incarnation, nor of a server that was not listed meanwhile", func() {
		t := outlier.New()
		now := time.Unix(1000, 0)
		for range 2 {
			t.Failed(now, now, svc, server(0), true)
		}
		Expect(t.Ejected(now, svc, state.BackendIncarnation{ID: "s0", Born: 2}, true)).To(BeFalse())
		t.Prune(func(state.BackendIncarnation) bool { return false })
		Expect(t.Ejected(now, svc, server(0), true)).To(BeFalse())
	})

	Describe("of several daemons", func() {
		start := time.Unix(1000, 0)
		notice := func(d time.Duration) outlier.Notice {
			return outlier.Notice{Service: svc, Server: server(0), MS: d.Milliseconds()}
		}
		var t *outlier.Tracker
		BeforeEach(func() { t = outlier.New() })

		It("ejects a server at those that were told until the one that found out has tried it", func() {
			t.Receive(start, notice(time.Second))
			Expect(t.Ejected(start.Add(2*time.Second), svc, server(0), true)).To(BeTrue())
			Expect(t.Ejected(start.Add(3*time.Second), svc, server(0), true)).To(BeFalse(), "no news")
			t.Receive(start.Add(time.Second), notice(2*time.Second))
			Expect(t.Ejected(start.Add(5*time.Second), svc, server(0), true)).To(BeTrue())
			t.Receive(start.Add(3*time.Second), notice(0))
			Expect(t.Ejected(start.Add(3*time.Second), svc, server(0), true)).To(BeFalse())
		})

		It("ignores notices that come late, or after an answer", func() {
			t.Receive(start.Add(time.Second), notice(0))
			t.Receive(start, notice(time.Second))
			Expect(t.Ejected(start.Add(time.Second), svc, server(0), true)).To(BeFalse())
			t.Answered(start.Add(3*time.Second), start.Add(3*time.Second), svc, server(0))
			t.Receive(start.Add(2*time.Second), notice(time.Second))
			Expect(t.Ejected(start.Add(3*time.Second), svc, server(0), true)).To(BeFalse())
		})

		It("tells of servers as far as it is asked to, and of their return", func() {
			t.Failed(start, start, svc, server(0), false)
			refusal := t.Failed(start, start, svc, server(0), false)
			Expect(refusal.For).To(BeNumerically(">", 0))
			Expect(refusal.Tell).To(BeFalse())
			Expect(t.Answered(start, start, svc, server(0))).To(Equal(outlier.Ejection{Returned: true}))
			t = outlier.New()
			t.Failed(start, start, svc, server(0), true)
			Expect(t.Failed(start, start, svc, server(0), true).Tell).To(BeTrue())
			Expect(t.Answered(start, start, svc, server(0))).To(Equal(outlier.Ejection{Returned: true, Tell: true}))
		})

		It("leaves a server that answers nothing to checks", func() {
			Expect(t.CheckDue(start, start.Add(-time.Second), svc, server(0))).To(BeTrue())
			Expect(t.CheckDue(start, start.Add(-time.Second), svc, server(0))).To(BeFalse(), "just checked")
			Expect(t.Ejected(start, svc, server(0), true)).To(BeTrue(), "being checked")
			Expect(t.Eject(start, svc, server(0), time.Second).Tell).To(BeTrue())
			Expect(t.Held(svc, server(0))).To(BeTrue())
			Expect(t.Ejected(start.Add(time.Minute), svc, server(0), true)).To(BeTrue())
			Expect(t.Return(start.Add(time.Minute), svc, server(0))).To(Equal(outlier.Ejection{Returned: true, Tell: true}))
			Expect(t.Ejected(start.Add(time.Minute), svc, server(0), true)).To(BeFalse())
		})

		It("lets each daemon find out for itself that a server is silent, and one of them tell of it", func() {
			silent := notice(time.Second)
			silent.Silent = true
			Expect(t.Receive(start, silent)).To(BeTrue())
			Expect(t.Ejected(start, svc, server(0), true)).To(BeFalse(), "that is for the probe to show")
			Expect(t.Receive(start.Add(time.Second), silent)).To(BeFalse(), "just probed")
			Expect(t.Receive(start.Add(20*time.Second), silent)).To(BeTrue())
			Expect(t.Eject(start.Add(21*time.Second), svc, server(0), time.Second).Tell).To(BeFalse(), "told already")
			Expect(t.Eject(start.Add(23*time.Second), svc, server(0), time.Second).Tell).To(BeTrue(), "nobody tells it any more")
		})

		// Guards against a server that each daemon finds silent by requests of its own, although all were told.
		It("believes notices of a server again once a probe has borne one out", Label("failure:copies-at-silent-servers-add-up"), func() {
			silent := notice(time.Second)
			silent.Silent = true
			Expect(t.Receive(start, silent)).To(BeTrue())
			t.Eject(start, svc, server(0), time.Second)
			t.Return(start.Add(time.Second), svc, server(0))
			Expect(t.Receive(start.Add(1100*time.Millisecond), silent)).To(BeTrue())
		})

		It("ignores notices of a server that has answered the probe for a while", func() {
			silent := notice(time.Second)
			silent.Silent = true
			Expect(t.Receive(start, silent)).To(BeTrue())
			t.Contradict(start, svc, server(0))
			Expect(t.Receive(start.Add(9*time.Second), silent)).To(BeFalse())
			Expect(t.Receive(start.Add(11*time.Second), silent)).To(BeTrue())
		})

		// Guards against a probe without a result that counts as an answer.
		It("probes again soon if a probe has shown nothing", Label("failure:probe-not-sent"), func() {
			silent := notice(time.Second)
			silent.Silent = true
			Expect(t.Receive(start, silent)).To(BeTrue())
			Expect(t.Receive(start.Add(3*time.Second), silent)).To(BeTrue())
		})

		// Guards against requests as the only way to find out that a server stands still once more.
		It("verifies servers that were not heard of lately if one of their service has been silent", Label("failure:copies-at-silent-servers-add-up"), func() {
			const interval = 50 * time.Millisecond
			due := func(at time.Time, i int) bool { return t.VerifyDue(at, svc, server(i), interval) }
			t.Heard(start, svc, server(0))
			Expect(due(start.Add(time.Minute), 0)).To(BeFalse(), "none has been silent")
			t.Eject(start, svc, server(1), time.Second)
			t.Return(start.Add(time.Second), svc, server(1))
			Expect(due(start.Add(time.Second), 1)).To(BeFalse(), "just heard of")
			Expect(due(start.Add(2*time.Second), 1)).To(BeTrue())
			Expect(due(start.Add(2*time.Second), 0)).To(BeTrue())
			Expect(due(start.Add(2*time.Second), 2)).To(BeTrue(), "never heard of")
			Expect(t.VerifyDue(start.Add(2*time.Second), "other", server(0), interval)).To(BeFalse())
			Expect(due(start.Add(20*time.Minute), 0)).To(BeFalse(), "long ago")
		})

		It("verifies servers if it was told that one of their service is silent", func() {
			silent := notice(time.Second)
			silent.Silent = true
			t.Receive(start, silent)
			Expect(t.VerifyDue(start, svc, server(1), time.Millisecond)).To(BeTrue())
		})

		It("checks no server that has answered since the late request was sent", func() {
			t.Answered(start, start, svc, server(0))
			Expect(t.CheckDue(start, start.Add(-time.Second), svc, server(0))).To(BeFalse())
		})
	})
})
