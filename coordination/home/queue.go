package home

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// waiter is one slot request in a queue.
type waiter struct {
	seq               uint64 // order of arrival in the pool
	requestID         SlotRequestID
	from              state.Member
	rank              int // of the request's class
	customer          state.CustomerID
	cost              float64
	prefixes          []uint64
	exclude           []state.ReplicaID
	exclusive         bool
	staggered         bool // only together with exclusive
	begun             bool // the caller has tokens; no first token is due
	arrived           time.Time
	firstTokenLatency time.Duration // from slot to first token at speed 1; 0 if begun
	deadline          time.Time     // for the first token or, if begun, for the slot
	expires           time.Time     // from then on no replica is fast enough

	flow       *flow
	prev, next *waiter
	heapIndex  int
}

// constrained reports whether w cannot use every free slot of its class, given the
// speed of the slowest replica.
func (w *waiter) constrained(now time.Time, slowest float64) bool {
	return w.exclusive || len(w.exclude) > 0 || w.missesDeadline(now, slowest)
}

// missesDeadline reports whether a replica of the given speed would produce the first
// token too late.
func (w *waiter) missesDeadline(now time.Time, speed float64) bool {
	return w.firstTokenLatency > 0 && now.Add(w.firstTokenLatencyAt(speed)).After(w.deadline)
}

// firstTokenLatencyAt returns the time from slot to first token at the given speed.
func (w *waiter) firstTokenLatencyAt(speed float64) time.Duration {
	return time.Duration(float64(w.firstTokenLatency) / speed)
}

// flow is one customer's part of a queue, first come, first served. start and finish
// are virtual times of start-time fair queueing.
type flow struct {
	weight     float64
	start      float64 // of the first waiter
	finish     float64 // of the last waiter that was granted
	busyPeriod uint64  // finish is valid in this busy period only
	lastSearch uint64  // last search that visited the flow
	head, tail *waiter
	count      int
	begun      int // waiters whose answer has begun
}

// classQueue holds the waiters of one class. It is work-conserving and shares slots by
// weight among the customers that wait: the flow with the smallest start tag goes
// first, and a grant advances its flow by cost/weight. A flow that was idle starts at
// the current virtual time, so idling earns no credit, and before each waiter of a
// customer at most one waiter of each other customer, adjusted by weight, is served.
type classQueue struct {
	flows      map[state.CustomerID]*flow
	active     []*flow
	weight     float64 // sum over the active flows
	virtual    float64
	busyPeriod uint64
	searches   uint64
	count      int
	begun      int // waiters whose answer has begun
}

func newClassQueue() *classQueue {
	return &classQueue{flows: make(map[state.CustomerID]*flow)}
}

// flow returns the customer's flow. The number of flows is bounded by the document's
// customers.
func (q *classQueue) flow(customer state.CustomerID, weight float64) *flow {
	f, ok := q.flows[customer]
	if !ok {
		f = &flow{}
		q.flows[customer] = f
	}
	if f.count == 0 {
		f.weight = weight
	}
	return f
}

// add appends w to f.
func (q *classQueue) add(f *flow, w *waiter) {
	w.flow, w.prev, w.next = f, f.tail, nil
	if f.tail != nil {
		f.tail.next = w
	} else {
		f.head = w
	}
	f.tail = w
	f.count++
	q.count++
	if w.begun {
		f.begun++
		q.begun++
	}
	if f.count == 1 {
		q.activate(f)
	}
}

func (q *classQueue) activate(f *flow) {
	if f.busyPeriod != q.busyPeriod {
		f.busyPeriod, f.finish = q.busyPeriod, 0
	}
	f.start = max(q.virtual, f.finish)
	q.active = append(q.active, f)
	q.weight += f.weight
}

// removeAndCharge removes w and charges its flow.
func (q *classQueue) removeAndCharge(w *waiter) {
	f := w.flow
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + w.cost/f.weight
	f.start = f.finish
	q.remove(w)
}

// remove removes w without a charge.
func (q *classQueue) remove(w *waiter) {
	f := w.flow
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		f.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		f.tail = w.prev
	}
	w.prev, w.next, w.flow = nil, nil, nil
	f.count--
	q.count--
	if w.begun {
		f.begun--
		q.begun--
	}
	if f.count == 0 {
		q.deactivate(f)
	}
}

func (q *classQueue) deactivate(f *flow) {
	for i, other := range q.active {
		if other == f {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			break
		}
	}
	q.weight -= f.weight
	if q.count == 0 {
		q.busyPeriod++
		q.virtual, q.weight = 0, 0
	}
}

// search offers waiters in fair order to place until it takes one. A waiter that can
// use every free slot of the class and is not placed ends the search. A constrained
// waiter is skipped, so that it blocks no other.
func (q *classQueue) search(place, constrained func(*waiter) bool) bool {
	q.searches++
	for {
		f := q.nextFlow()
		if f == nil {
			return false
		}
		f.lastSearch = q.searches
		for w := f.head; w != nil; w = w.next {
			if place(w) {
				return true
			}
			if !constrained(w) {
				return false
			}
		}
	}
}

// nextFlow returns the flow with the smallest start tag that the current search has not
// visited.
func (q *classQueue) nextFlow() *flow {
	var best *flow
	for _, f := range q.active {
		if f.lastSearch == q.searches {
			continue
		}
		if best == nil || f.start < best.start {
			best = f
		}
	}
	return best
}

// refusable returns the number of waiters that count toward the queue's limit: those
// whose answer has not begun.
func (q *classQueue) refusable() int {
	return q.count - q.begun
}

// longestFlow returns the flow with the most refusable waiters relative to its weight.
func (q *classQueue) longestFlow() *flow {
	var best *flow
	for _, f := range q.active {
		if best == nil || f.backlog(0) > best.backlog(0) {
			best = f
		}
	}
	return best
}

// backlog returns the flow's refusable waiters relative to its weight, with extra more.
func (f *flow) backlog(extra int) float64 {
	return float64(f.count-f.begun+extra) / f.weight
}

// lastRefusable returns the flow's last waiter whose answer has not begun, or nil.
func (f *flow) lastRefusable() *waiter {
	w := f.tail
	for w != nil && w.begun {
		w = w.prev
	}
	return w
}

// estimateAhead estimates how many of the class's waiters go before a new one of f.
func (q *classQueue) estimateAhead(f *flow) float64 {
	weight := q.weight
	if f.count == 0 {
		weight += f.weight
	}
	return min(float64(q.count), float64(f.count+1)*weight/f.weight-1)
}

// expiryHeap orders waiters by expiry.
type expiryHeap []*waiter

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	return w
}
