package compare

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Step times at speed 1, and what a cached prefix saves of the prefill.
const (
	tokenTime   = 25 * time.Millisecond
	cachedShare = 0.2 // of the prefill that is left with a cached prefix
)

// Class is the rank of a request's class.
type Class int

// The classes of the workload.
const (
	Check Class = iota
	Draft
	classes
)

// Names of the classes in documents.
var classNames = [classes]state.ClassID{"check", "draft"}

// Job is one request.
type Job struct {
	ID       home.SlotRequestID
	Class    Class
	Customer state.CustomerID
	Prefill  time.Duration // at speed 1
	Tokens   int
	Prefix   uint64 // 0 for none
	Arrived  time.Time
	Deadline time.Time // for the first token to be worth anything

	Started time.Time // left the queue for a replica's slot
	First   time.Time // first token
	Done    time.Time
	Refused state.Reason
	Replica state.ReplicaID
	Ended   func(*Job) // called once, when the job is done or refused
}

// work is the job's time in a slot of speed 1 without any cached prefix.
func (j *Job) work() time.Duration {
	return j.Prefill + time.Duration(j.Tokens)*tokenTime
}

// Engine stands in for a replica: a batch of slots whose step time does not
// depend on their number, and, for policies without homes, a queue by priority
// in which one slot is kept from drafts.
type Engine struct {
	Spec state.Replica

	// Slowdown divides the speed, as a degraded link does.
	Slowdown float64

	// Dead engines end every job without a token; Failed counts them.
	Dead   bool
	Failed int

	// Peak is the most jobs that ran at one time; Began counts all.
	Peak    int
	Started int

	loop    *Loop
	running int
	drafts  int
	queue   [classes][]*Job
	cache   *lru.Cache[uint64, struct{}]
	events  []home.CacheChange
	hits    int
	misses  int
	busy    time.Duration // slot time that was used, at speed 1
}

// cachedPrefixes is how many prefixes an engine keeps.
const cachedPrefixes = 48

// NewEngine returns an idle engine.
func NewEngine(loop *Loop, spec state.Replica) *Engine {
	e := &Engine{Spec: spec, Slowdown: 1, loop: loop}
	e.cache, _ = lru.NewWithEvict(cachedPrefixes, func(p uint64, _ struct{}) {
		e.events = append(e.events, home.CacheChange{Prefix: p, Evicted: true})
	})
	return e
}

// Load is the number of jobs that run and wait.
func (e *Engine) Load() int {
	return e.running + len(e.queue[Check]) + len(e.queue[Draft])
}

// Submit queues j, or reports that the class's queue is at bound.
func (e *Engine) Submit(j *Job, bound int) bool {
	if len(e.queue[j.Class]) >= bound && !e.admits(j.Class) {
		return false
	}
	e.queue[j.Class] = append(e.queue[j.Class], j)
	e.next()
	return true
}

// Start runs j at once; the caller holds a slot for it.
func (e *Engine) Start(j *Job) {
	e.running++
	e.Started++
	e.Peak = max(e.Peak, e.running)
	if j.Class == Draft {
		e.drafts++
	}
	j.Started, j.Replica = e.loop.Now(), e.Spec.ID
	if e.Dead {
		e.loop.After(time.Millisecond, func() { e.fail(j) })
		return
	}
	e.busy += j.work()
	e.loop.After(e.prefill(j), func() { e.first(j) })
}

func (e *Engine) fail(j *Job) {
	e.Failed++
	e.end(j)
}

func (e *Engine) prefill(j *Job) time.Duration {
	full := float64(j.Prefill) / e.Spec.Speed * e.Slowdown
	if j.Prefix == 0 {
		return time.Duration(full)
	}
	if _, hit := e.cache.Get(j.Prefix); hit {
		e.hits++
		return time.Duration(full * cachedShare)
	}
	e.misses++
	e.cache.Add(j.Prefix, struct{}{})
	e.events = append(e.events, home.CacheChange{Prefix: j.Prefix})
	return time.Duration(full)
}

func (e *Engine) first(j *Job) {
	j.First = e.loop.Now()
	rest := float64(time.Duration(j.Tokens)*tokenTime) / e.Spec.Speed * e.Slowdown
	e.loop.After(time.Duration(rest), func() {
		j.Done = e.loop.Now()
		e.end(j)
	})
}

func (e *Engine) end(j *Job) {
	e.running--
	if j.Class == Draft {
		e.drafts--
	}
	j.Ended(j)
	e.next()
}

// admits reports whether a slot is free for the class.
func (e *Engine) admits(c Class) bool {
	return e.running < e.Spec.Slots && (c == Check || e.drafts < e.Spec.Slots-1)
}

// next starts what waits, checks first, without those that are too late.
func (e *Engine) next() {
	for c := range e.queue {
		for len(e.queue[c]) > 0 {
			j := e.queue[c][0]
			if e.loop.Now().After(j.Deadline) {
				e.queue[c] = e.queue[c][1:]
				j.Refused = state.ReasonDeadline
				j.Ended(j)
				continue
			}
			if !e.admits(Class(c)) {
				break
			}
			e.queue[c] = e.queue[c][1:]
			e.Start(j)
		}
	}
}
