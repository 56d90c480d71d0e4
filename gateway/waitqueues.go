package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// waitQueues holds the queues of the requests that wait for a server, one per service.
type waitQueues struct {
	// events counts what may have made a server available, so that nothing is missed between a
	// request's try and the start of its wait.
	events     atomic.Uint64
	waiting    atomic.Int64 // requests in all queues
	remembered atomic.Int64 // callers that were told to return, of all queues

	mu     sync.Mutex
	queues map[state.ServiceID]*serviceQueue
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	*waitqueue.Queue
	tickets map[*waitqueue.Waiter]*ticket
}

// ticket is a request's wait in a queue.
type ticket struct {
	handler  *requestHandler
	queue    *serviceQueue
	waiter   *waitqueue.Waiter
	position int // when it joined
	joined   time.Time
	turn     chan struct{}             // receives when the request is to try
	rejected chan *waitqueue.Rejection // receives when it is displaced
}

func newWaitQueues() *waitQueues {
	return &waitQueues{queues: make(map[state.ServiceID]*serviceQueue)}
}

// of returns the queue of a service, and creates it if necessary.
func (w *waitQueues) of(service state.ServiceID) *serviceQueue {
	q, ok := w.queues[service]
	if !ok {
		q = &serviceQueue{
			Queue:   waitqueue.New(waitqueue.DefaultConfig(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
			tickets: make(map[*waitqueue.Waiter]*ticket),
		}
		w.queues[service] = q
	}
	return q
}

// notify asks a waiter, if any, to try.
func (q *serviceQueue) notify(next *waitqueue.Waiter) {
	if next == nil {
		return
	}
	select {
	case q.tickets[next].turn <- struct{}{}:
	default: // it has been asked already
	}
}

// hasWaiters reports whether requests wait for a service.
func (w *waitQueues) hasWaiters(service state.ServiceID) bool {
	if w.waiting.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q, ok := w.queues[service]
	return ok && q.Len() > 0
}

// join adds a request to the queue of its service. seen is the number of events before its try.
func (w *waitQueues) join(now time.Time, r *requestHandler, req waitqueue.Request, tried waitqueue.Outcome, seen uint64) (*ticket, *waitqueue.Rejection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.of(r.service.ID)
	joined := q.Join(now, req, tried)
	if joined.Rejection != nil {
		return nil, joined.Rejection
	}
	t := &ticket{
		handler: r, queue: q, waiter: joined.Waiter, position: joined.Position, joined: now,
		turn: make(chan struct{}, 1), rejected: make(chan *waitqueue.Rejection, 1),
	}
	q.tickets[t.waiter] = t
	w.waiting.Add(1)
	if d := joined.Displaced; d != nil {
		q.tickets[d].rejected <- &joined.DisplacedBy
		w.forget(q, d)
	}
	q.notify(joined.Next)
	if tried != waitqueue.Untried && w.events.Load() != seen {
		q.notify(q.Wake(now, waitqueue.Changed))
	}
	return t, nil
}

// forget drops the ticket of a waiter that has left its queue.
func (w *waitQueues) forget(q *serviceQueue, waiter *waitqueue.Waiter) {
	if _, ok := q.tickets[waiter]; ok {
		delete(q.tickets, waiter)
		w.waiting.Add(-1)
	}
}

// leave ends a request's wait. It may be called again.
func (w *waitQueues) leave(now time.Time, t *ticket, served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := t.queue.Leave(now, t.waiter, served)
	w.forget(t.queue, t.waiter)
	t.queue.notify(next)
}

// failed reports that a request that was asked to try has got no server.
func (w *waitQueues) failed(now time.Time, t *ticket, outcome waitqueue.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.queue.notify(t.queue.Tried(now, t.waiter, outcome))
}

// before returns how many requests may be served before one that waits.
func (w *waitQueues) before(t *ticket) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return t.queue.Before(t.waiter)
}

// poll lets a request try in its order without an event.
func (w *waitQueues) poll(now time.Time, t *ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.queue.notify(t.queue.Poll(now, t.waiter))
}

// released wakes a request that waits for a service: another one has left a server.
func (w *waitQueues) released(service state.ServiceID) {
	w.events.Add(1)
	if w.waiting.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if q, ok := w.queues[service]; ok && q.Len() > 0 {
		q.notify(q.Wake(time.Now(), waitqueue.Released))
	}
}

// changed wakes requests of all services: servers, their state or permits for them have changed.
func (w *waitQueues) changed() {
	w.events.Add(1)
	if w.waiting.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.queues {
		if q.Len() > 0 {
			q.notify(q.Wake(time.Now(), waitqueue.Changed))
		}
	}
}

// reclassify orders the waiting requests by the ranks in a view's configuration, and drops the queues
// of services that it does not contain.
func (w *waitQueues) reclassify(v *view) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, q := range w.queues {
		if _, ok := v.config.Services[id]; !ok && q.Len() == 0 {
			w.remembered.Add(-int64(q.Remembered()))
			delete(w.queues, id)
			continue
		}
		q.Reclassify(func(waiter *waitqueue.Waiter) (urgency.Class, float64) { return q.tickets[waiter].handler.classIn(v) })
	}
}

// rejected remembers a caller that is told when to return.
func (w *waitQueues) rejected(now time.Time, service state.ServiceID, key uint64, place time.Time, retryAfter time.Duration, queued bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.of(service)
	before := q.Remembered()
	q.Rejected(now, key, place, retryAfter, queued)
	w.remembered.Add(int64(q.Remembered() - before))
}

// place returns the place of a request that arrives, or after what time it is to return if it comes
// too early.
func (w *waitQueues) place(now time.Time, service state.ServiceID, key uint64, arrived time.Time) (time.Time, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.of(service)
	before := q.Remembered()
	place, early := q.Place(now, key, arrived)
	w.remembered.Add(int64(q.Remembered() - before))
	return place, early
}

// retryAfter returns when the caller of a request that was not served may return.
func (w *waitQueues) retryAfter(now time.Time, service state.ServiceID, req waitqueue.Request) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.of(service).RetryAfter(now, req, req.RetryAfter)
}

// spread adds a random part to the time after which a caller may return.
func (w *waitQueues) spread(service state.ServiceID, after time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.of(service).Spread(after)
}

// counts returns how many requests of each service and class wait.
func (w *waitQueues) counts() map[state.ServiceID]map[urgency.Class]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[state.ServiceID]map[urgency.Class]int, len(w.queues))
	for id, q := range w.queues {
		out[id] = q.Waiting()
	}
	return out
}
