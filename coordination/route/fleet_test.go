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

// cluster is a set of daemons under a steady load of drafts and checks.
type cluster struct {
	*compare.Fleet
	loop            *compare.Loop
	specs           []state.Replica
	rng             *rand.Rand
	rate            float64 // requests per second; 0 stops them
	acceptsRequests func(i int) bool

	jobs           []*compare.Job
	maxLateRefusal time.Duration // longest delay of a refusal after its deadline
	ended          map[*compare.Job]int
}

func newCluster(daemons, replicas, slots int, rate float64) *cluster {
	s := &cluster{
		loop: compare.NewLoop(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		rng:  rand.New(rand.NewPCG(1, 2)), rate: rate,
		acceptsRequests: func(int) bool { return true },
		ended:           map[*compare.Job]int{},
	}
	for i := range replicas {
		s.specs = append(s.specs, state.Replica{
			ID: state.ReplicaID(fmt.Sprintf("replica-%02d", i)), Service: "drafting", Slots: slots, Speed: 1,
		})
	}
	doc := compare.Document(replicas)
	s.Fleet = compare.NewFleet(s.loop, daemons, home.Config{}, route.Config{}, doc, s.specs, 3)
	s.loop.Run(time.Second)
	s.submitNext()
	return s
}

// submitNext submits a request at a live daemon and schedules the next one.
func (s *cluster) submitNext() {
	if s.rate == 0 {
		return
	}
	s.loop.After(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.submitNext)
	i := s.rng.IntN(len(s.Daemons))
	if s.Daemons[i].Dead || !s.acceptsRequests(i) {
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
			s.maxLateRefusal = max(s.maxLateRefusal, s.loop.Now().Sub(j.Deadline))
		}
	}
	s.jobs = append(s.jobs, j)
	s.Daemons[i].Submit(j)
}

// homeOf returns the home daemon of the only pool in the view of daemon i.
func (s *cluster) homeOf(i int) *compare.Daemon {
	id, ok := s.Daemons[i].Router.Home(pool)
	Expect(ok).To(BeTrue())
	for _, d := range s.Daemons {
		if d.Member.ID == id {
			return d
		}
	}
	return nil
}

// resetPeaks resets the engines' peaks.
func (s *cluster) resetPeaks() {
	for _, e := range s.Engines {
		e.Peak = 0
	}
}

// peak returns the highest number of jobs that any engine ran at one time.
func (s *cluster) peak() int {
	most := 0
	for _, e := range s.Engines {
		most = max(most, e.Peak)
	}
	return most
}

// drain stops the load and simulates 3 more minutes, in which the requests in flight are
// expected to end.
func (s *cluster) drain() {
	s.rate = 0
	s.loop.Run(3 * time.Minute)
}

// violation returns what is wrong after drain, or "": a job of a live entry daemon that
// did not end exactly once, or a slot that is taken for no request.
func (s *cluster) violation() string {
	for _, j := range s.jobs {
		if n := s.ended[j]; n > 1 || n == 0 && !s.entryDied(j) {
			return fmt.Sprintf("%v ended %d times", j.ID, n)
		}
	}
	for _, d := range s.Daemons {
		sum, ok := d.Home.Summary(s.loop.Now(), pool)
		if ok && !d.Dead && (sum.Used > 0 || sum.Waiting > 0) {
			return fmt.Sprintf("%s records %d slots used and %d requests waiting", d.Member, sum.Used, sum.Waiting)
		}
	}
	return ""
}

func (s *cluster) entryDied(j *compare.Job) bool {
	return slices.ContainsFunc(s.Daemons, func(d *compare.Daemon) bool {
		return d.Dead && strings.HasPrefix(string(j.ID.Request), string(d.Member.ID))
	})
}

// longestGrantGap returns the longest time within [from, to] in which no job started.
func (s *cluster) longestGrantGap(from, to time.Time) time.Duration {
	var starts []time.Time
	for _, j := range s.jobs {
		if !j.Started.IsZero() && j.Started.After(from) && j.Started.Before(to) {
			starts = append(starts, j.Started)
		}
	}
	starts = append(starts, to)
	slices.SortFunc(starts, time.Time.Compare)
	gap, last := time.Duration(0), from
	for _, t := range starts {
		gap = max(gap, t.Sub(last))
		last = t
	}
	return gap
}

var _ = Describe("a fleet of routers and homes", func() {
	// The home daemon of a busy pool dies, and the others detect it 4 s later. The next
	// home in rank takes over while hundreds of answers are still running. Only the
	// dead home knew the grants. Callers see no new answer start for a moment, then all
	// continue.
	It("recovers grants when a home dies and never grants a slot twice", Label("failure:daemon-dies-mid-stream"), func() {
		s := newCluster(9, 20, 8, 90)
		first := s.homeOf(0)
		s.acceptsRequests = func(i int) bool { return s.Daemons[i] != first }
		s.loop.Run(30 * time.Second)
		at := s.loop.Now()
		s.Kill(first, 4*time.Second)
		s.loop.Run(time.Minute)
		Expect(s.homeOf(s.otherDaemon(first))).NotTo(Equal(first))
		gap := s.longestGrantGap(at, s.loop.Now())
		AddReportEntry("longest time without a grant, including 4 s until the death is detected", gap.String())
		Expect(gap).To(BeNumerically("<", 4100*time.Millisecond))
		s.drain()
		for _, j := range s.jobs {
			if j.Class == compare.Draft {
				Expect(j.Refused).To(BeEmpty(), "a draft's deadline is 10 s")
			}
		}
		Expect(s.maxLateRefusal).To(BeNumerically("<", 100*time.Millisecond), "checks have 2 s")
		Expect(s.peak()).To(Equal(8))
		Expect(s.violation()).To(BeEmpty())
	})

	// Half of the daemons lose sight of the home and choose another one, so that two
	// homes grant the same slots, until the membership views agree again. Callers see
	// slower answers.
	It("at most doubles a replica's load under two homes and recovers", Label("failure:regions-parted"), func() {
		s := newCluster(9, 10, 8, 55)
		first := s.homeOf(0)
		s.loop.Run(20 * time.Second)
		var rest []route.Peer
		for _, p := range s.Peers() {
			if p.Member != first.Member {
				rest = append(rest, p)
			}
		}
		unaware := 0
		for _, d := range s.Daemons {
			if d != first && unaware < 4 {
				d.SetView(rest)
				unaware++
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
		s.drain()
		Expect(s.violation()).To(BeEmpty())
		Expect(s.startedJobs()).To(Equal(s.completedJobs()))
	})

	// A replica's server reports to one entry daemon that it is leaving, while the
	// platform's list shows it only 10 s later. Callers must not notice.
	It("grants no slot of a leaving replica once any entry daemon was notified", Label("failure:backend-leaving"), func() {
		s := newCluster(9, 4, 8, 30)
		s.loop.Run(20 * time.Second)
		id := s.specs[1].ID
		notified := s.otherDaemon(s.homeOf(0))
		s.Daemons[notified].NotifyLeaving(id)
		s.loop.Run(2 * time.Second)
		starts := s.Engines[id].Started
		s.loop.Run(30 * time.Second)
		Expect(s.Engines[id].Started).To(Equal(starts))
		s.drain()
		Expect(s.violation()).To(BeEmpty())
	})

	// Planned stop: the home drains, its pool moves while answers run and requests
	// wait, then it exits. Callers must not notice.
	It("moves a pool from a draining home without a refusal and without granting a slot twice", Label("failure:planned-stop"), func() {
		s := newCluster(9, 20, 8, 80)
		s.loop.Run(20 * time.Second)
		first := s.homeOf(0)
		first.Draining = true
		at := s.loop.Now()
		s.SyncViews()
		s.loop.Run(30 * time.Second)
		Expect(s.homeOf(0)).NotTo(Equal(first))
		AddReportEntry("longest time without a grant in the following second", s.longestGrantGap(at, at.Add(time.Second)).String())
		s.drain()
		Expect(s.peak()).To(BeNumerically("<=", 8))
		Expect(s.refusedJobs()).To(BeZero())
		Expect(s.violation()).To(BeEmpty())
	})

	// A daemon is partitioned from its peers but not from the replicas. It is declared
	// dead and its slots are granted to others although its requests still run; then it
	// returns.
	It("counts the grants of a daemon as soon as it is back", Label("failure:isolated-daemon"), func() {
		s := newCluster(9, 10, 8, 55)
		s.loop.Run(20 * time.Second)
		isolated := s.Daemons[s.otherDaemon(s.homeOf(0))]
		s.Drop = func(from, to state.DaemonID, _ home.Message) bool {
			return from != to && (from == isolated.Member.ID || to == isolated.Member.ID)
		}
		var rest []route.Peer
		for _, p := range s.Peers() {
			if p.Member != isolated.Member {
				rest = append(rest, p)
			}
		}
		for _, d := range s.Daemons {
			if d != isolated {
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
		s.drain()
		Expect(s.violation()).To(BeEmpty())
	})

	// A share of the messages between daemons, of all kinds, is lost for a while, as
	// when connections become unresponsive and are replaced. Some requests take 2 to 3
	// s longer.
	It("ends every request and frees every slot although messages are lost", Label("failure:silent-connection"), func() {
		s := newCluster(9, 10, 8, 40)
		s.Drop = func(from, to state.DaemonID, _ home.Message) bool { return from != to && s.rng.IntN(50) == 0 }
		s.loop.Run(time.Minute)
		s.Drop = nil
		s.drain()
		Expect(s.violation()).To(BeEmpty())
		Expect(s.startedJobs()).To(Equal(s.completedJobs()))
		Expect(s.peak()).To(BeNumerically("<=", 8))
	})

	// A stage of a replica dies. Each call to it fails at once, which makes it look
	// idle, so the least loaded replica would be the one that fails fastest.
	It("sends a failing replica occasional probes instead of the full load", Label("failure:stage-dies-mid-stream"), func() {
		s := newCluster(9, 10, 8, 40)
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
		starts := dead.Started
		s.loop.Run(time.Minute)
		Expect(dead.Started - starts).To(BeNumerically(">", 50))
		s.drain()
		Expect(s.violation()).To(BeEmpty())
	})

	// A link inside one replica degrades, and its slots are released later. Documents
	// state the speed of a kind, not of a link, so without measurements ever more
	// answers would be ten times slower.
	It("prefers other replicas over one behind a degraded link", Label("failure:link-degrades"), func() {
		s := newCluster(9, 10, 8, 20)
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
