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

// Policy is a way to distribute requests over replicas.
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

// Policies returns the policies that are compared for LargeSetup, where one home serves
// a whole service.
func Policies() []Policy {
	return []Policy{Random, TwoChoices, TwoChoicesCounted, HomePerReplica, HomePerPoolOf8, HomePerPoolOf64, Unreserved}
}

// Setup describes a comparison run. Requests arrive as a Poisson process. A share
// CheckShare of them are checks of fixed size; the others are drafts of exponentially
// distributed length, truncated at maxTokens.
type Setup struct {
	Daemons    int
	Speeds     []float64 // by replica
	Slots      int
	CheckShare float64
	Load       float64 // share of Bound
	Duration   time.Duration
	Seed       uint64
	Prefixes   int  // number of distinct prefixes; 0 for none
	Affinity   bool // requests carry their prefix

	// Cache events reach homes after CacheLag. A share CacheLoss of them is lost.
	CacheLag  time.Duration
	CacheLoss float64

	CheckDeadline time.Duration
	DraftDeadline time.Duration
	DraftPrefill  time.Duration // at speed 1
}

// Sizes of requests, with times at speed 1.
const (
	checkPrefill = 100 * time.Millisecond
	checkTokens  = 10
	draftTokens  = 300.0
	maxTokens    = 1200.0
)

// LargeSetup is the size of the larger customer: 40 drafting replicas of five kinds.
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

// SmallSetup is 3 replicas of one kind that serve only short checks.
func SmallSetup(load float64) Setup {
	s := LargeSetup(load)
	s.Speeds, s.CheckShare = []float64{1, 1, 1}, 1
	return s
}

// Result is the outcome of a run.
type Result struct {
	Offered, Completed, Late, Refused int

	// Throughput is the completed work as a share of the upper bound: the sum over
	// replicas of slots times speed.
	Throughput float64

	// Goodput counts only requests whose first token came in time.
	Goodput float64

	Wait   [classes]*hdrhistogram.Histogram // microseconds until a slot
	First  [classes]*hdrhistogram.Histogram // microseconds until the first token
	Total  [classes]*hdrhistogram.Histogram // microseconds until the last token
	Missed [classes]float64                 // share refused or late

	Hits float64 // share of drafts whose prefix was cached

	Messages float64 // between daemons, per request
	Bytes    float64 // of these messages, per request
}

// comparison is the state of a run.
type comparison struct {
	Setup
	loop          *Loop
	rng           *rand.Rand // for the workload only, which is the same for all policies
	lossRNG       *rand.Rand
	specs         []state.Replica
	submit        func(d int, j *Job)
	fleet         *Fleet
	res           *Result
	jobCount      int
	total         [classes]int
	missed        [classes]int
	completedWork time.Duration
	goodWork      time.Duration
	start         time.Time
	warmUpEnd     time.Time
}

// warmUp is excluded from the results.
const warmUp = time.Minute

// Run runs s with the given policy.
func Run(s Setup, policy Policy) Result {
	r := &comparison{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 7)), lossRNG: rand.New(rand.NewPCG(s.Seed, 9)), res: &Result{}}
	r.start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r.warmUpEnd = r.start.Add(warmUp)
	r.loop = NewLoop(r.start)
	for c := range classes {
		r.res.Wait[c] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.res.Total[c] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.res.First[c] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	r.build(policy)
	r.loop.Run(time.Second)
	r.submitNext()
	r.loop.Run(s.Duration)
	return r.result()
}

func (r *comparison) capacity() float64 {
	sum := 0.0
	for _, speed := range r.Speeds {
		sum += speed * float64(r.Slots)
	}
	return sum
}

// Bound returns the highest rate, in requests per second, that all slots together can
// serve: the sum of slots times speed over the mean work of a request.
func (s Setup) Bound() float64 {
	r := comparison{Setup: s}
	return r.capacity() / s.meanWork().Seconds()
}

func (s Setup) meanWork() time.Duration {
	check := checkPrefill + checkTokens*tokenTime
	tokens := draftTokens * (1 - math.Exp(-maxTokens/draftTokens)) // mean of the truncated distribution
	draft := s.DraftPrefill + time.Duration(tokens*float64(tokenTime))
	return time.Duration(s.CheckShare*float64(check) + (1-s.CheckShare)*float64(draft))
}

// build creates the engines and the policy.
func (r *comparison) build(policy Policy) {
	size := map[Policy]int{HomePerReplica: 1, HomePerPoolOf8: 8, OnePool: 1 << 20}[policy]
	r.specs = specs(r.Speeds, r.Slots, size == 1)
	doc := Document(len(r.specs))
	if policy == Unreserved {
		doc.Classes[Check].ReservedSlots = 0
	}
	rc := route.Config{PoolSize: size}
	if size == 1 {
		doc.Capacity.QueuePerClass = maxQueued
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
		p := newDirectPolicy(r.loop, engines, r.Daemons, rand.New(rand.NewPCG(r.Seed, 8)))
		p.choose = p.random
		if policy != Random {
			p.choose = p.twoChoices(policy == TwoChoicesCounted)
		}
		r.submit = p.submit
	default:
	}
}

// cacheEvents delivers the engines' cache events to the homes, delayed and with losses.
func (r *comparison) cacheEvents(engines []*Engine) {
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

// recordJob records a finished job.
func (r *comparison) recordJob(j *Job) {
	if r.loop.Now().Before(r.warmUpEnd) {
		return
	}
	r.total[j.Class]++
	if j.Refused != "" {
		r.res.Refused++
		r.missed[j.Class]++
		return
	}
	r.res.Completed++
	r.completedWork += j.work()
	_ = r.res.Wait[j.Class].RecordValue(j.Started.Sub(j.Arrived).Microseconds())
	_ = r.res.First[j.Class].RecordValue(j.First.Sub(j.Arrived).Microseconds())
	_ = r.res.Total[j.Class].RecordValue(j.Done.Sub(j.Arrived).Microseconds())
	if j.First.After(j.Deadline) {
		r.res.Late++
		r.missed[j.Class]++
		return
	}
	r.goodWork += j.work()
}

func (r *comparison) result() Result {
	span := r.loop.Now().Sub(r.warmUpEnd)
	bound := r.capacity() * span.Seconds()
	r.res.Offered = r.jobCount
	r.res.Throughput = r.completedWork.Seconds() / bound
	r.res.Goodput = r.goodWork.Seconds() / bound
	hits, began := 0, 0
	for _, e := range r.fleet.Engines {
		hits += e.hits
		began += e.hits + e.misses
	}
	r.res.Hits = float64(hits) / float64(max(began, 1))
	for c := range classes {
		r.res.Missed[c] = float64(r.missed[c]) / float64(max(r.total[c], 1))
	}
	r.res.Messages = float64(r.fleet.Messages) / float64(r.jobCount)
	r.res.Bytes = float64(r.fleet.Bytes) / float64(r.jobCount)
	return *r.res
}
