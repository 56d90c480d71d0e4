package waitqueue_test

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// classes of the tests, the most urgent first, and their levels.
var (
	urgent     = urgency.Class{Customer: 0, Route: 0}
	usual      = urgency.Class{Customer: 1, Route: 0}
	background = urgency.Class{Customer: 1, Route: 2}
	levels     = map[urgency.Class]float64{urgent: 0, usual: 0.5, background: 1}
)

func newQueue(cfg waitqueue.Config) *waitqueue.Queue {
	return waitqueue.New(cfg, rand.New(rand.NewPCG(1, 2)))
}

// request returns a request that arrives now and waits for a second.
func request(now time.Time, customer state.CustomerID, class urgency.Class) waitqueue.Request {
	return waitqueue.Request{
		Customer: customer, Class: class, Level: levels[class], Tokens: 100,
		Place: now, RejectAt: now.Add(time.Second), RetryAfter: 400 * time.Millisecond,
	}
}

// world plays a queue before servers that take one request at each departure.
type world struct {
	queue    *waitqueue.Queue
	rejected int
	served   []waitqueue.Request
	servedAt map[*waitqueue.Waiter]time.Time
	waiters  map[*waitqueue.Waiter]bool
	// fails is how the try of a request ends that is not served; nil for requests that are served.
	fails func(waitqueue.Request) (waitqueue.Outcome, bool)
}

func newWorld(cfg waitqueue.Config) *world {
	return &world{queue: newQueue(cfg), servedAt: make(map[*waitqueue.Waiter]time.Time), waiters: make(map[*waitqueue.Waiter]bool)}
}

// arrive adds a request that found no server.
func (w *world) arrive(now time.Time, r waitqueue.Request) waitqueue.Joined {
	j := w.queue.Join(now, r, waitqueue.NoneAvailable)
	if j.Rejection != nil {
		w.rejected++
		return j
	}
	w.waiters[j.Waiter] = true
	if j.Displaced != nil {
		w.rejected++
		delete(w.waiters, j.Displaced)
	}
	return j
}

// depart makes room for one request, and reports whether one was served.
func (w *world) depart(now time.Time) bool {
	room := true
	for next := w.queue.Wake(now, waitqueue.Released); next != nil; {
		outcome, fails := waitqueue.NoneAvailable, !room
		if room && w.fails != nil {
			outcome, fails = w.fails(next.Request())
		}
		if !fails {
			outcome, room = waitqueue.Served, false
			w.served, w.servedAt[next] = append(w.served, next.Request()), now
			delete(w.waiters, next)
		}
		next = w.queue.Tried(now, next, outcome)
	}
	return !room
}

// count returns how many of the served requests are of a customer.
func (w *world) count(customer state.CustomerID) int {
	n := 0
	for _, r := range w.served {
		if r.Customer == customer {
			n++
		}
	}
	return n
}
