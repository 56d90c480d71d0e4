package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/coordination/route/compare"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const pool = home.PoolID("drafting@/0")

// site is a fleet under a steady load of drafts and checks.
type site struct {
	*compare.Fleet
	loop  *compare.Loop
	specs []state.Replica
	rng   *rand.Rand
	rate  float64 // requests a second; 0 stops them
	entry func(i int) bool

	jobs  []*compare.Job
	late  time.Duration // the longest that a refusal came after its deadline
	ended map[*compare.Job]int
}

func newSite(daemons, replicas, slots int, rate float64) *site {
	s := &site{
		loop: compare.NewLoop(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		rng:  rand.New(rand.NewPCG(1, 2)), rate: rate,
		entry: func(int) bool { return true },
		ended: map[*compare.Job]int{},
	}
	for i := range replicas {
		s.specs = append(s.specs, state.Replica{
			ID: state.ReplicaID(fmt.Sprintf("replica-%02d", i)), Service: "drafting", Slots: slots, Speed: 1,
		})
	}
	doc := compare.Document(replicas)
	s.Fleet = compare.NewFleet(s.loop, daemons, home.Config{}, route.Config{}, doc, s.specs, 3)
	s.loop.Run(time.Second)
	s.arrive()
	return s
}

// arrive submits a request at a daemon that is alive and schedules the next.
func (s *site) arrive() {
	if s.rate == 0 {
		return
	}
	s.loop.After(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	i := s.rng.IntN(len(s.Daemons))
	if s.Daemons[i].Dead || !s.entry(i) {
		return
	}
	now := s.loop.Now()
	j := &compare.Job{
		ID:      home.SlotRequestID{Request: state.RequestID(fmt.Sprintf("entry-%d-%06d", i, len(s.jobs))), Attempt: 1},
		Class:   compare.Draft,
		Prefill: 200 * time.Millisecond, Tokens: 1 + int(s.rng.ExpFloat64()*100),
		Customer: state.CustomerID(fmt.Sprintf("customer-%d", s.rng.IntN(10))),
		Arrived:  now, Deadline: now.Add(10 * time.Second),
	}
	if s.rng.IntN(2) == 0 {
		j.Class, j.Tokens, j.Deadline = compare.Check, 5, now.Add(2*time.Second)
	}
	j.Ended = func(j *compare.Job) {
		s.ended[j]++
		if j.Refused != "" {
			s.late = max(s.late, s.loop.Now().Sub(j.Deadline))
		}
	}
	s.jobs = append(s.jobs, j)
	s.Daemons[i].Submit(j)
}

// homeOf returns the home daemon of the only pool as daemon i sees it.
func (s *site) homeOf(i int) *compare.Daemon {
	id, ok := s.Daemons[i].Router.Home(pool)
	Expect(ok).To(BeTrue())
	for _, d := range s.Daemons {
		if d.Member.ID == id {
			return d
		}
	}
	return nil
}

// resetPeaks begins to count the engines' peaks anew.
func (s *site) resetPeaks() {
	for _, e := range s.Engines {
		e.Peak = 0
	}
}

// peak is the most jobs that any engine ran at one time.
func (s *site) peak() int {
	most := 0
	for _, e := range s.Engines {
		most = max(most, e.Peak)
	}
	return most
}

// settle ends the load and waits for all that is under way.
func (s *site) settle() {
	s.rate = 0
	s.loop.Run(3 * time.Minute)
}

// wrong tells what is wrong after settle: a job whose entry daemon lives that
// did not end once, or a slot that is taken for nobody.
func (s *site) wrong() string {
	for _, j := range s.jobs {
		if n := s.ended[j]; n > 1 || n == 0 && !s.entryDied(j) {
			return fmt.Sprintf("%v ended %d times", j.ID, n)
		}
	}
	for _, d := range s.Daemons {
		sum, ok := d.Home.Summary(s.loop.Now(), pool)
		if ok && !d.Dead && (sum.Used > 0 || sum.Waiting > 0) {
			return fmt.Sprintf("%s believes %d slots used and %d requests waiting", d.Member, sum.Used, sum.Waiting)
		}
	}
	return ""
}

func (s *site) entryDied(j *compare.Job) bool {
	return slices.ContainsFunc(s.Daemons, func(d *compare.Daemon) bool {
		return d.Dead && strings.HasPrefix(string(j.ID.Request), string(d.Member.ID))
	})
}

// longestGap is the longest time within [from, to] in which no job began.
func (s *site) longestGap(from, to time.Time) time.Duration {
	var began []time.Time
	for _, j := range s.jobs {
		if !j.Started.IsZero() && j.Started.After(from) && j.Started.Before(to) {
			began = append(began, j.Started)
		}
	}
	began = append(began, to)
	slices.SortFunc(began, time.Time.Compare)
	gap, last := time.Duration(0), from
	for _, t := range began {
		gap = max(gap, t.Sub(last))
		last = t
	}
	return gap
}

var _ = Describe("a fleet of routers and homes", func() {
	// What a user sees: for a moment no new answer begins, then all go on.
	// Order: the home daemon of a busy pool dies; 4 s later the others know;
	// the next home in rank takes over while hundreds of answers still run.
	// Cause: the grants were known to the dead home only.
	It("learns grants again when a home dies, and never fills a slot twice", Label("failure:daemon-dies-mid-stream"), func() {
		s := newSite(9, 20, 8, 90)
		first := s.homeOf(0)
		s.entry = func(i int) bool { return s.Daemons[i] != first }
		s.loop.Run(30 * time.Second)
		at := s.loop.Now()
		s.Kill(first, 4*time.Second)
		s.loop.Run(time.Minute)
		Expect(s.homeOf(s.other(first))).NotTo(Equal(first))
		gap := s.longestGap(at, s.loop.Now())
		AddReportEntry("longest time without a grant, of which 4 s until the death is known", gap.String())
		Expect(gap).To(BeNumerically("<", 4100*time.Millisecond))
		s.settle()
		for _, j := range s.jobs {
			if j.Class == compare.Draft {
				Expect(j.Refused).To(BeEmpty(), "a draft's deadline is 10 s")
			}
		}
		Expect(s.late).To(BeNumerically("<", 100*time.Millisecond), "checks have 2 s")
		Expect(s.peak()).To(Equal(8))
		Expect(s.wrong()).To(BeEmpty())
	})

	// What a user sees: nothing but slower answers for a while.
	// Order: half of the daemons lose sight of the home and take another one
	// for it, so that two homes hand out the same slots; then they see it
	// again. Cause: the membership views differ.
	It("at most doubles a replica's load under two homes, and recovers", Label("failure:regions-parted"), func() {
		s := newSite(9, 10, 8, 55)
		first := s.homeOf(0)
		s.loop.Run(20 * time.Second)
		var rest []route.Peer
		for _, p := range s.Peers() {
			if p.Member != first.Member {
				rest = append(rest, p)
			}
		}
		blind := 0
		for _, d := range s.Daemons {
			if d != first && blind < 4 {
				d.SetView(rest)
				blind++
			}
		}
		s.loop.Run(30 * time.Second)
		AddReportEntry("most requests on 8 slots under two homes", fmt.Sprint(s.peak()))
		Expect(s.peak()).To(BeNumerically("<=", 16))
		s.SyncViews()
		s.loop.Run(30 * time.Second)
		s.resetPeaks()
		s.loop.Run(30 * time.Second)
		Expect(s.peak()).To(BeNumerically("<=", 8))
		s.settle()
		Expect(s.wrong()).To(BeEmpty())
		Expect(s.runs()).To(Equal(s.completed()))
	})

	// What a user sees: nothing. Order: a replica's server tells one entry
	// daemon that it is leaving; the platform's list is silent for another
	// 10 s. Cause: the list lags.
	It("gives a leaving replica nothing new once any entry daemon was told", Label("failure:backend-leaving"), func() {
		s := newSite(9, 4, 8, 30)
		s.loop.Run(20 * time.Second)
		id := s.specs[1].ID
		told := s.other(s.homeOf(0))
		s.Daemons[told].NotifyLeaving(id)
		s.loop.Run(2 * time.Second)
		began := s.Engines[id].Started
		s.loop.Run(30 * time.Second)
		Expect(s.Engines[id].Started).To(Equal(began))
		s.settle()
		Expect(s.wrong()).To(BeEmpty())
	})

	// What a user sees: nothing. Order: the home drains; its pool moves while
	// answers run and requests wait; then it exits. Cause: a planned stop.
	It("moves a pool from a draining home without a refusal or a slot filled twice", Label("failure:planned-stop"), func() {
		s := newSite(9, 20, 8, 80)
		s.loop.Run(20 * time.Second)
		first := s.homeOf(0)
		first.Draining = true
		at := s.loop.Now()
		s.SyncViews()
		s.loop.Run(30 * time.Second)
		Expect(s.homeOf(0)).NotTo(Equal(first))
		AddReportEntry("longest time without a grant in the second after", s.longestGap(at, at.Add(time.Second)).String())
		s.settle()
		Expect(s.peak()).To(BeNumerically("<=", 8))
		Expect(s.refused()).To(BeZero())
		Expect(s.wrong()).To(BeEmpty())
	})

	// What a user sees: nothing, or slower answers for a while. Order: a daemon
	// is cut off from its peers but not from the replicas; it is held for dead
	// and its slots are given to others; it comes back. Cause: what it runs was
	// never ended.
	It("counts what a daemon held as soon as it is back", Label("failure:isolated-daemon"), func() {
		s := newSite(9, 10, 8, 55)
		s.loop.Run(20 * time.Second)
		cut := s.Daemons[s.other(s.homeOf(0))]
		s.Drop = func(from, to state.DaemonID, _ home.Message) bool {
			return from != to && (from == cut.Member.ID || to == cut.Member.ID)
		}
		var rest []route.Peer
		for _, p := range s.Peers() {
			if p.Member != cut.Member {
				rest = append(rest, p)
			}
		}
		for _, d := range s.Daemons {
			if d != cut {
				d.SetView(rest)
			}
		}
		s.loop.Run(500 * time.Millisecond)
		s.Drop = nil
		s.SyncViews()
		s.loop.Run(5 * time.Millisecond)
		s.resetPeaks()
		s.loop.Run(10 * time.Second)
		Expect(s.peak()).To(BeNumerically("<=", 8))
		s.settle()
		Expect(s.wrong()).To(BeEmpty())
	})

	// What a user sees: some requests take 2 to 3 s longer. Order: a share of
	// the messages between daemons gets lost for a while, each kind alike.
	// Cause: connections go silent and are replaced, with what was in them.
	It("ends every request and frees every slot though messages are lost", Label("failure:silent-connection"), func() {
		s := newSite(9, 10, 8, 40)
		s.Drop = func(from, to state.DaemonID, _ home.Message) bool { return from != to && s.rng.IntN(50) == 0 }
		s.loop.Run(time.Minute)
		s.Drop = nil
		s.settle()
		Expect(s.wrong()).To(BeEmpty())
		Expect(s.runs()).To(Equal(s.completed()))
		Expect(s.peak()).To(BeNumerically("<=", 8))
	})

	// What a user sees: a few answers begin again elsewhere. Order: a replica's
	// stage dies; each call to it fails at once, which makes it look free.
	// Cause: the least loaded replica is the one that fails fastest.
	It("sends a dying replica a probe now and then, not the whole load", Label("failure:stage-dies-mid-stream"), func() {
		s := newSite(9, 10, 8, 40)
		for _, d := range s.Daemons {
			d.Retry = true
		}
		s.loop.Run(10 * time.Second)
		dead := s.Engines[s.specs[0].ID]
		dead.Dead = true
		s.loop.Run(time.Minute)
		AddReportEntry("calls that failed in 60 s", fmt.Sprint(dead.Failed))
		Expect(dead.Failed).To(BeNumerically("<", 20))
		dead.Dead = false
		began := dead.Started
		s.loop.Run(time.Minute)
		Expect(dead.Started - began).To(BeNumerically(">", 50))
		s.settle()
		Expect(s.wrong()).To(BeEmpty())
	})

	// What a user sees: some answers come ten times slower, and more and more
	// of them if nobody notices. Order: a link inside one replica degrades;
	// its slots free up later. Cause: documents name a kind's speed, not a
	// link's.
	It("prefers other replicas over one behind a degraded link", Label("failure:link-degrades"), func() {
		s := newSite(9, 10, 8, 20)
		s.loop.Run(20 * time.Second)
		slow := s.Engines[s.specs[0].ID]
		slow.Slowdown = 10
		s.loop.Run(30 * time.Second)
		before := map[state.ReplicaID]int{}
		for id, e := range s.Engines {
			before[id] = e.Started
		}
		s.loop.Run(2 * time.Minute)
		got, all := slow.Started-before[slow.Spec.ID], 0
		for id, e := range s.Engines {
			all += e.Started - before[id]
		}
		AddReportEntry("share of requests on the slow one of 10 replicas", fmt.Sprintf("%.1f%%", 100*float64(got)/float64(all)))
		Expect(float64(got) / float64(all)).To(BeNumerically("<", 0.005))
	})
})
