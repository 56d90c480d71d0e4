package compare

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Policy names a way to spread requests.
type Policy string

// The policies.
const (
	Random            Policy = "random by capacity"
	TwoChoices        Policy = "two choices, lagging load"
	TwoChoicesCounted Policy = "two choices, lagging load, own sends counted"
	HomePerReplica    Policy = "home per replica"
	HomePerPoolOf8    Policy = "home per pool of 8"
	HomePerPoolOf64   Policy = "home per pool of 64"
	Unreserved        Policy = "home per pool of 64, no reserved slots"
	OnePool           Policy = "one home for all"
)

// Policies lists those that are compared at today's size, where one home serves
// a whole service.
func Policies() []Policy {
	return []Policy{Random, TwoChoices, TwoChoicesCounted, HomePerReplica, HomePerPoolOf8, HomePerPoolOf64, Unreserved}
}

// Setup is what a run is made of. The workload is Poisson; a share Checks of
// the requests are checks of fixed size, the others drafts whose length is
// exponential, cut at MaxTokens.
type Setup struct {
	Daemons    int
	Speeds     []float64 // by replica
	Slots      int
	CheckShare float64
	Load       float64 // of the bound
	Duration   time.Duration
	Seed       uint64
	Prefixes   int  // conversations that share a prefix; 0 for none
	Affinity   bool // requests tell their prefix

	// Cache events reach homes after CacheLag, a share CacheLoss never.
	CacheLag  time.Duration
	CacheLoss float64

	CheckDeadline time.Duration
	DraftDeadline time.Duration
	DraftPrefill  time.Duration // at speed 1
}

// Sizes at speed 1.
const (
	checkPrefill = 100 * time.Millisecond
	checkTokens  = 10
	draftTokens  = 300.0
	maxTokens    = 1200.0
)

// Today is the larger user's size: 40 drafting replicas of five kinds.
func LargeSetup(load float64) Setup {
	s := Setup{
		Daemons: 9, Slots: 8, CheckShare: 0.7, Load: load, Duration: 10 * time.Minute, Seed: 1,
		CheckDeadline: 2 * time.Second, DraftDeadline: 10 * time.Second,
		DraftPrefill: 400 * time.Millisecond,
	}
	for _, speed := range []float64{1, 0.7, 0.5, 0.3, 0.2} {
		for range 8 {
			s.Speeds = append(s.Speeds, speed)
		}
	}
	return s
}

// Counter is 3 replicas of one kind that serve short checks alone.
func SmallSetup(load float64) Setup {
	s := LargeSetup(load)
	s.Speeds, s.CheckShare = []float64{1, 1, 1}, 1
	return s
}

// Result is what a run showed.
type Result struct {
	Offered, Completed, Late, Refused int

	// Throughput is the work completed as a share of the bound: the sum over
	// replicas of slots times speed.
	Throughput float64

	// Goodput counts only requests whose first token came in time.
	Goodput float64

	Wait   [classes]*hdrhistogram.Histogram // microseconds until a slot
	First  [classes]*hdrhistogram.Histogram // microseconds until the first token
	Total  [classes]*hdrhistogram.Histogram // microseconds until the last token
	Missed [classes]float64                 // share refused or late

	Hits float64 // share of drafts whose prefix was cached

	Messages float64 // between daemons, for each request
	Bytes    float64 // of them
}

// run is a Setup under way.
type run struct {
	Setup
	loop    *Loop
	rng     *rand.Rand // of the workload alone, which is the same for all policies
	lossRNG *rand.Rand
	specs   []state.Replica
	submit  func(d int, j *Job)
	fleet   *Fleet
	res     *Result
	serial  int
	total   [classes]int
	missed  [classes]int
	done    time.Duration
	good    time.Duration
	begin   time.Time
	warmed  time.Time
}

// warmUp is left out of the figures.
const warmUp = time.Minute

// Run carries out s under the policy.
func Run(s Setup, policy Policy) Result {
	r := &run{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 7)), lossRNG: rand.New(rand.NewPCG(s.Seed, 9)), res: &Result{}}
	r.begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r.warmed = r.begin.Add(warmUp)
	r.loop = NewLoop(r.begin)
	for c := range classes {
		r.res.Wait[c] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.res.Total[c] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.res.First[c] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	r.build(policy)
	r.loop.Run(time.Second)
	r.arrive()
	r.loop.Run(s.Duration)
	return r.result()
}

func (r *run) capacity() float64 {
	sum := 0.0
	for _, speed := range r.Speeds {
		sum += speed * float64(r.Slots)
	}
	return sum
}

// Bound is the highest rate of requests a second that all slots together can
// serve: the sum of slots times speed over the mean work of a request.
func (s Setup) Bound() float64 {
	r := run{Setup: s}
	return r.capacity() / s.meanWork().Seconds()
}

func (s Setup) meanWork() time.Duration {
	check := checkPrefill + checkTokens*tokenTime
	tokens := draftTokens * (1 - math.Exp(-maxTokens/draftTokens)) // the mean of the cut distribution
	draft := s.DraftPrefill + time.Duration(tokens*float64(tokenTime))
	return time.Duration(s.CheckShare*float64(check) + (1-s.CheckShare)*float64(draft))
}

// build makes the engines and the policy over them.
func (r *run) build(policy Policy) {
	size := map[Policy]int{HomePerReplica: 1, HomePerPoolOf8: 8, OnePool: 1 << 20}[policy]
	r.specs = specs(r.Speeds, r.Slots, size == 1)
	doc := Document(len(r.specs))
	if policy == Unreserved {
		doc.Classes[Check].ReservedSlots = 0
	}
	rc := route.Config{PoolSize: size}
	if size == 1 {
		doc.Capacity.QueuePerClass = queueBound
	}
	r.fleet = NewFleet(r.loop, r.Daemons, home.Config{}, rc, doc, r.specs, r.Seed)
	r.fleet.CountBytes = true
	r.fleet.Affinity = r.Affinity
	r.submit = func(d int, j *Job) { r.fleet.Daemons[d].Submit(j) }
	engines := make([]*Engine, len(r.specs))
	for i, s := range r.specs {
		engines[i] = r.fleet.Engines[s.ID]
	}
	if r.Prefixes > 0 {
		r.cacheEvents(engines)
	}
	switch policy {
	case Random, TwoChoices, TwoChoicesCounted:
		p := newDirect(r.loop, engines, r.Daemons, rand.New(rand.NewPCG(r.Seed, 8)))
		p.choose = p.random
		if policy != Random {
			p.choose = p.twoChoices(policy == TwoChoicesCounted)
		}
		r.submit = p.submit
	default:
	}
}

// cacheEvents carries the engines' events to the homes, late and with losses.
func (r *run) cacheEvents(engines []*Engine) {
	for _, e := range engines {
		if len(e.events) == 0 {
			continue
		}
		changes := e.events
		e.events = nil
		if r.lossRNG.Float64() < r.CacheLoss {
			continue
		}
		r.loop.After(r.CacheLag, func() {
			for _, d := range r.fleet.Daemons {
				d.CacheEvents(home.CacheReported{Replica: e.Spec.ID, Changes: changes})
			}
		})
	}
	r.loop.After(time.Second, func() { r.cacheEvents(engines) })
}

// ended books a job.
func (r *run) ended(j *Job) {
	if r.loop.Now().Before(r.warmed) {
		return
	}
	r.total[j.Class]++
	if j.Refused != "" {
		r.res.Refused++
		r.missed[j.Class]++
		return
	}
	r.res.Completed++
	r.done += j.work()
	_ = r.res.Wait[j.Class].RecordValue(j.Started.Sub(j.Arrived).Microseconds())
	_ = r.res.First[j.Class].RecordValue(j.First.Sub(j.Arrived).Microseconds())
	_ = r.res.Total[j.Class].RecordValue(j.Done.Sub(j.Arrived).Microseconds())
	if j.First.After(j.Deadline) {
		r.res.Late++
		r.missed[j.Class]++
		return
	}
	r.good += j.work()
}

func (r *run) result() Result {
	span := r.loop.Now().Sub(r.warmed)
	bound := r.capacity() * span.Seconds()
	r.res.Offered = r.serial
	r.res.Throughput = r.done.Seconds() / bound
	r.res.Goodput = r.good.Seconds() / bound
	hits, began := 0, 0
	for _, e := range r.fleet.Engines {
		hits += e.hits
		began += e.hits + e.misses
	}
	r.res.Hits = float64(hits) / float64(max(began, 1))
	for c := range classes {
		r.res.Missed[c] = float64(r.missed[c]) / float64(max(r.total[c], 1))
	}
	r.res.Messages = float64(r.fleet.Messages) / float64(r.serial)
	r.res.Bytes = float64(r.fleet.Bytes) / float64(r.serial)
	return *r.res
}
