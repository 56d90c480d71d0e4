package home

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// wait is one ask in a queue.
type wait struct {
	seq      uint64 // order of arrival in the pool
	ask      SlotRequestID
	from     state.Member
	class    int // rank
	customer state.CustomerID
	cost     float64
	prefixes []uint64
	exclude  []state.ReplicaID
	alone    bool
	apart    bool // with alone
	arrived  time.Time
	lead     time.Duration // from slot to first token at speed 1
	deadline time.Time     // for the first token
	expires  time.Time     // no replica is fast enough from then on

	flow       *flow
	prev, next *wait
	heapIndex  int
}

// constrained reports whether w can't use every free slot of its class, the
// slowest replica having the given speed.
func (w *wait) constrained(now time.Time, slowest float64) bool {
	return w.alone || len(w.exclude) > 0 || w.late(now, slowest)
}

// late reports whether a replica of the speed would give the first token too
// late.
func (w *wait) late(now time.Time, speed float64) bool {
	return w.lead > 0 && now.Add(w.leadAt(speed)).After(w.deadline)
}

// leadAt is the time from slot to first token at the speed.
func (w *wait) leadAt(speed float64) time.Duration {
	return time.Duration(float64(w.lead) / speed)
}

// flow is one customer's part of a queue, first come first served. Start and
// finish are virtual times of start-time fair queueing.
type flow struct {
	weight     float64
	start      float64 // of the first wait
	finish     float64 // of the last wait that was granted
	busyPeriod uint64  // finish counts in this one only
	pass       uint64  // the last search that went over it
	head, tail *wait
	count      int
}

// classQueue holds one class's waits. It is work-conserving and shares slots
// among customers that wait by weight: the flow with the smallest start tag
// goes first, and a grant advances its flow by cost/weight. A flow that was
// idle starts at the present virtual time, so idling earns no credit, and the
// longest wait of a customer is bounded by one wait of each other customer,
// weighted, before each of its own.
type classQueue struct {
	flows      map[state.CustomerID]*flow
	active     []*flow
	weight     float64 // of the active flows
	virtual    float64
	busyPeriod uint64
	passes     uint64
	count      int
}

func newClassQueue() *classQueue {
	return &classQueue{flows: make(map[state.CustomerID]*flow)}
}

// flow returns the customer's flow. Their number is bounded by the document's
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
func (q *classQueue) add(f *flow, w *wait) {
	w.flow, w.prev, w.next = f, f.tail, nil
	if f.tail != nil {
		f.tail.next = w
	} else {
		f.head = w
	}
	f.tail = w
	f.count++
	q.count++
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

// granted takes w out and charges its flow.
func (q *classQueue) granted(w *wait) {
	f := w.flow
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + w.cost/f.weight
	f.start = f.finish
	q.remove(w)
}

// remove takes w out without a charge.
func (q *classQueue) remove(w *wait) {
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

// search offers waits in fair order to place until it takes one. A wait that
// can use every free slot of the class and is not placed ends the search; one
// that is constrained is passed over, so that it holds up nobody.
func (q *classQueue) search(place, constrained func(*wait) bool) bool {
	q.passes++
	for {
		f := q.nextFlow()
		if f == nil {
			return false
		}
		f.pass = q.passes
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

// nextFlow returns the flow of the smallest start tag that this search has
// not gone over.
func (q *classQueue) nextFlow() *flow {
	var best *flow
	for _, f := range q.active {
		if f.pass == q.passes {
			continue
		}
		if best == nil || f.start < best.start {
			best = f
		}
	}
	return best
}

// longest returns the flow with the most waits for its weight.
func (q *classQueue) longest() *flow {
	var best *flow
	for _, f := range q.active {
		if best == nil || f.backlog(0) > best.backlog(0) {
			best = f
		}
	}
	return best
}

// backlog is the flow's length for its weight, with extra waits.
func (f *flow) backlog(extra int) float64 {
	return float64(f.count+extra) / f.weight
}

// ahead estimates how many of the class's waits go before a new one of f.
func (q *classQueue) ahead(f *flow) float64 {
	weight := q.weight
	if f.count == 0 {
		weight += f.weight
	}
	return min(float64(q.count), float64(f.count+1)*weight/f.weight-1)
}

// expiryHeap orders waits by when they expire.
type expiryHeap []*wait

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*wait)
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
