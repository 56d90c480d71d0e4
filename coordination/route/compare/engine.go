package compare

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Step time at speed 1, and the share of a prefill that remains with a cached prefix.
const (
	tokenTime          = 25 * time.Millisecond
	cachedPrefillShare = 0.2 // of the prefill, with a cached prefix
)

// Class is the rank of a request's class.
type Class int

// The classes of the workload.
const (
	Check Class = iota
	Draft
	classes
)

// classNames are the names of the classes in documents.
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
	Deadline time.Time // for the first token

	Started time.Time // when the job left the queue for a replica's slot
	First   time.Time // when the first token came
	Done    time.Time
	Refused state.Reason
	Replica state.ReplicaID
	Ended   func(*Job) // called once, when the job is done or refused
}

// work returns the job's time in a slot of speed 1 without a cached prefix.
func (j *Job) work() time.Duration {
	return j.Prefill + time.Duration(j.Tokens)*tokenTime
}

// Engine simulates a replica: a batch of slots whose step time does not depend on their
// number and, for policies without homes, a priority queue that reserves one slot for
// checks.
type Engine struct {
	Spec state.Replica

	// Slowdown divides the speed, like a degraded link.
	Slowdown float64

	// Dead engines end every job without a token. Failed counts these jobs.
	Dead   bool
	Failed int

	// Peak is the highest number of jobs that ran at one time. Started counts all jobs.
	Peak    int
	Started int

	loop     *Loop
	running  int
	drafts   int
	queue    [classes][]*Job
	cache    *lru.Cache[uint64, struct{}]
	events   []home.CacheChange
	hits     int
	misses   int
	usedTime time.Duration // slot time used, at speed 1
}

// maxCachedPrefixes is the number of prefixes that an engine keeps.
const maxCachedPrefixes = 48

// NewEngine returns an idle engine.
func NewEngine(loop *Loop, spec state.Replica) *Engine {
	e := &Engine{Spec: spec, Slowdown: 1, loop: loop}
	e.cache, _ = lru.NewWithEvict(maxCachedPrefixes, func(p uint64, _ struct{}) {
		e.events = append(e.events, home.CacheChange{Prefix: p, Evicted: true})
	})
	return e
}

// Load returns the number of jobs that run or wait.
func (e *Engine) Load() int {
	return e.running + len(e.queue[Check]) + len(e.queue[Draft])
}

// Submit queues j, or returns false if the class's queue has bound jobs.
func (e *Engine) Submit(j *Job, bound int) bool {
	if len(e.queue[j.Class]) >= bound && !e.admits(j.Class) {
		return false
	}
	e.queue[j.Class] = append(e.queue[j.Class], j)
	e.startNext()
	return true
}

// Start runs j at once. The caller must hold a slot for it.
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
	e.usedTime += j.work()
	e.loop.After(e.prefill(j), func() { e.firstToken(j) })
}

func (e *Engine) fail(j *Job) {
	e.Failed++
	e.finish(j)
}

func (e *Engine) prefill(j *Job) time.Duration {
	full := float64(j.Prefill) / e.Spec.Speed * e.Slowdown
	if j.Prefix == 0 {
		return time.Duration(full)
	}
	if _, hit := e.cache.Get(j.Prefix); hit {
		e.hits++
		return time.Duration(full * cachedPrefillShare)
	}
	e.misses++
	e.cache.Add(j.Prefix, struct{}{})
	e.events = append(e.events, home.CacheChange{Prefix: j.Prefix})
	return time.Duration(full)
}

func (e *Engine) firstToken(j *Job) {
	j.First = e.loop.Now()
	rest := float64(time.Duration(j.Tokens)*tokenTime) / e.Spec.Speed * e.Slowdown
	e.loop.After(time.Duration(rest), func() {
		j.Done = e.loop.Now()
		e.finish(j)
	})
}

func (e *Engine) finish(j *Job) {
	e.running--
	if j.Class == Draft {
		e.drafts--
	}
	j.Ended(j)
	e.startNext()
}

// admits reports whether a slot is free for the class.
func (e *Engine) admits(c Class) bool {
	return e.running < e.Spec.Slots && (c == Check || e.drafts < e.Spec.Slots-1)
}

// startNext starts waiting jobs, checks first, and refuses those past their deadline.
func (e *Engine) startNext() {
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
