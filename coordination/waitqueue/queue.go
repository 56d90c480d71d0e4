package waitqueue

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds the bounds of a queue.
type Config struct {
	// MaxWaiting is how many requests wait at most.
	MaxWaiting int
	// MinAge and MaxAge are the ages from which requests of the most and the least urgent class are
	// served beside more urgent ones.
	MinAge, MaxAge time.Duration
	// AgedEvery is of how many served requests one is the longest aged.
	AgedEvery int
	// RateWindow is the time over which the rate at which requests leave is measured.
	RateWindow time.Duration
	// FallbackInterval is how often a request tries without an event.
	FallbackInterval time.Duration
	// MaxRemembered is how many callers that were turned away are remembered.
	MaxRemembered int
	// ReturnWindow is how long a caller's place is kept after the time at which it may return.
	ReturnWindow time.Duration
	// MaxRetryAfter is the longest time after which a caller is told to return.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the bounds of a daemon's queues.
func DefaultConfig() Config {
	return Config{
		MaxWaiting: 512, MinAge: 2 * time.Second, MaxAge: 8 * time.Second, AgedEvery: 8,
		RateWindow: 2 * time.Second, FallbackInterval: 50 * time.Millisecond,
		MaxRemembered: 2048, ReturnWindow: 4 * time.Second, MaxRetryAfter: 5 * time.Second,
	}
}

// Request is a request that waits for a server.
type Request struct {
	Customer state.CustomerID
	Class    urgency.Class
	Level    float64   // of the class among those of the service: 0 for the most urgent, 1 for the least
	Begun    bool      // it has run or a part of its answer was delivered, so that it can't be rejected as not run
	Tokens   float64   // expected size
	Key      uint64    // identifies the request's customer, route and content
	Place    time.Time // by which it is ordered among those of its customer: its arrival, or see Queue.Place
	RejectAt time.Time // when it is rejected if it was not served
	// RetryAfter is when its caller may return if it is not known when it could be served.
	RetryAfter time.Duration
}

// Outcome is the result of a request's try to get a server.
type Outcome uint8

// The values of Outcome.
const (
	// Served: it has got a server.
	Served Outcome = iota + 1
	// NoneAvailable: no server is available, for this request or any other.
	NoneAvailable
	// Limited: it got no permit for a server.
	Limited
	// OwnReason: it failed for reasons that may not hold for others.
	OwnReason
	// Untried: it has not tried.
	Untried
)

// Reason is why a request is rejected.
type Reason string

// The values of Reason.
const (
	ReasonFull    Reason = "queue_full" // too many requests wait, none of them less urgent
	ReasonTooLate Reason = "too_late"   // it would not be served in time
	ReasonEarly   Reason = "too_early"  // its caller returned before it was told to, and before others
)

// Rejection tells why a request can't wait, with the inputs of the decision.
type Rejection struct {
	Reason       Reason
	RetryAfter   time.Duration
	Position     int           // requests that would be served before it
	ExpectedWait time.Duration // 0 if it is not known
}

// Waiter is a request in a queue.
type Waiter struct {
	req    Request
	class  *class
	flow   *flow
	state  waiterState
	permit bool   // its last try got no permit
	counts bool   // it is among those that are expected to take the next servers
	number uint64 // in the order of joins and parkings
	agedAt time.Time

	index, agedIndex, parkedIndex int
}

// Request returns the request as it joined, with its present class.
func (w *Waiter) Request() Request { return w.req }

// waiterState is where a waiter stands.
type waiterState uint8

const (
	gone    waiterState = iota
	ready               // in the order
	trying              // asked to try
	limited             // set aside until permits change
	parked              // set aside for reasons of its own
)

// Queue holds the requests of one service that wait.
type Queue struct {
	cfg       Config
	rng       *rand.Rand
	classes   []*class          // the most urgent first
	aged      *indexed[*Waiter] // ready requests by the time from which they are aged
	asides    *indexed[*Waiter] // parked and limited requests, the longest parked first
	waiters   map[*Waiter]struct{}
	numbers   uint64
	trying    *Waiter
	again     bool // an event came while a request tried
	fruitless int  // requests in a row that got no permit
	sinceAged int  // requests served since the last aged one
	triedAt   time.Time
	drain     drain
	returns   returns
}

// New returns an empty queue.
func New(cfg Config, rng *rand.Rand) *Queue {
	return &Queue{
		cfg: cfg, rng: rng, waiters: make(map[*Waiter]struct{}),
		aged: &indexed[*Waiter]{
			less: func(a, b *Waiter) bool {
				return a.agedAt.Before(b.agedAt) || a.agedAt.Equal(b.agedAt) && a.number < b.number
			},
			index: func(w *Waiter) *int { return &w.agedIndex },
		},
		asides: &indexed[*Waiter]{
			less:  func(a, b *Waiter) bool { return a.number < b.number },
			index: func(w *Waiter) *int { return &w.parkedIndex },
		},
		drain:   drain{window: cfg.RateWindow},
		returns: newReturns(),
	}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiters) }

// enter assigns a waiter to its class.
func (q *Queue) enter(w *Waiter) {
	w.class = q.classOf(w.req.Class)
	w.flow = w.class.flowOf(w.req.Customer)
	w.class.members++
	w.flow.members++
	w.agedAt = w.req.Place.Add(q.cfg.MinAge + time.Duration(w.req.Level*float64(q.cfg.MaxAge-q.cfg.MinAge)))
}

// exit reverts enter.
func (q *Queue) exit(w *Waiter) {
	w.class.members--
	w.flow.members--
	q.dropClass(w.class)
}

// setState moves a waiter.
func (q *Queue) setState(w *Waiter, s waiterState) {
	switch w.state {
	case ready:
		w.class.remove(w)
		q.aged.remove(w)
	case limited, parked:
		q.asides.remove(w)
	default:
	}
	w.state = s
	w.permit = s == limited || w.permit && s != parked
	// How long a request waits for a permit is known to its caller.
	w.count((s == ready || s == trying) && !w.permit)
	switch s {
	case ready:
		q.numbers++
		if w.number == 0 {
			w.number = q.numbers
		}
		w.class.add(w)
		q.aged.add(w)
	case limited, parked:
		q.numbers++
		w.number = q.numbers
		q.asides.add(w)
	default:
	}
}

// count adjusts the numbers of waiters that expect a server.
func (w *Waiter) count(expects bool) {
	if expects == w.counts {
		return
	}
	w.counts = expects
	by := -1
	if expects {
		by = 1
	}
	w.class.expects += by
	if w.req.Begun {
		w.class.begins += by
		return
	}
	w.flow.expects += by
}

// remove ends a waiter's wait.
func (q *Queue) remove(now time.Time, w *Waiter) {
	q.setState(w, gone)
	q.exit(w)
	delete(q.waiters, w)
	if q.trying == w {
		q.trying = nil
	}
	q.drain.setBusy(now, q.Len() > 0)
}

// Reclassify assigns each waiter to the class and level that of returns for it.
func (q *Queue) Reclassify(of func(*Waiter) (urgency.Class, float64)) {
	for w := range q.waiters {
		c, level := of(w)
		if c == w.req.Class && level == w.req.Level {
			continue
		}
		s := w.state
		q.setState(w, gone)
		q.exit(w)
		w.req.Class, w.req.Level = c, level
		q.enter(w)
		q.setState(w, s)
	}
}

// Before returns how many requests may be served before a waiter, at most, apart from aged ones.
func (q *Queue) Before(w *Waiter) int {
	n := -1 // itself
	for _, c := range q.classes {
		if c.of.Compare(w.req.Class) <= 0 {
			n += c.members
		}
	}
	return max(n, 0)
}

// Waiting returns how many requests of each class wait.
func (q *Queue) Waiting() map[urgency.Class]int {
	out := make(map[urgency.Class]int, len(q.classes))
	for _, c := range q.classes {
		out[c.of] = c.members
	}
	return out
}
