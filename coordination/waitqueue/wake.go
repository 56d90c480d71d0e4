package waitqueue

import "time"

// Event is what may have made a server available.
type Event uint8

// The values of Event.
const (
	// Released: a request has left a server.
	Released Event = iota + 1
	// Changed: the servers, their state or the permits for them have changed.
	Changed
)

const (
	// maxUnparked is how many requests that were set aside a Released returns to the order.
	maxUnparked = 8
	// maxFruitless is how many requests in a row try without getting a permit after one event.
	maxFruitless = 16
)

// Wake handles an event. It returns the waiter that is to try now, or nil.
func (q *Queue) Wake(now time.Time, e Event) *Waiter {
	limit := len(q.asides.items)
	if e == Released {
		limit = min(limit, maxUnparked)
	}
	for range limit {
		q.setState(q.asides.items[0], ready)
	}
	q.fruitless = 0
	return q.next(now)
}

// Poll lets a waiter try in its order because a time of its own has come, or because nothing has
// happened for long. It returns the waiter that is to try now, or nil.
func (q *Queue) Poll(now time.Time, w *Waiter) *Waiter {
	switch w.state {
	case limited, parked:
		q.setState(w, ready)
	default:
		if now.Sub(q.triedAt) < q.cfg.FallbackInterval {
			return nil
		}
	}
	if q.trying != nil {
		return nil
	}
	q.fruitless = 0
	return q.next(now)
}

// Tried reports the outcome of the try of a waiter that was asked for it. It returns the waiter that
// is to try next, or nil.
func (q *Queue) Tried(now time.Time, w *Waiter, o Outcome) *Waiter {
	if w.state != trying {
		return nil
	}
	if o == Served {
		return q.served(now, w)
	}
	q.trying = nil
	w.permit = w.permit && o != NoneAvailable
	again := q.again
	switch {
	case again, o == NoneAvailable:
		q.setState(w, ready)
	case o == Limited:
		q.setState(w, limited)
		q.fruitless++
	default:
		q.setState(w, parked)
	}
	if !again && (o == NoneAvailable || q.fruitless >= maxFruitless) {
		return nil
	}
	return q.next(now)
}

// Leave ends the wait of a request that was not served, or, with served, that got a server without
// being asked to try. It returns the waiter that is to try next, or nil.
func (q *Queue) Leave(now time.Time, w *Waiter, served bool) *Waiter {
	if w.state == gone {
		return nil
	}
	if served {
		return q.served(now, w)
	}
	next := q.trying == w
	q.remove(now, w)
	if !next {
		return nil
	}
	return q.next(now)
}

func (q *Queue) served(now time.Time, w *Waiter) *Waiter {
	q.sinceAged++
	if oldest, ok := q.aged.first(); !ok || !now.Before(w.agedAt) && !oldest.agedAt.Before(w.agedAt) {
		q.sinceAged = 0
	}
	class := w.class
	q.setState(w, gone)
	class.charge(w)
	q.remove(now, w)
	q.drain.count(now)
	q.returns.forget(w.req.Key)
	q.fruitless = 0
	return q.next(now)
}

// next asks the first waiter in the order to try, unless another one is trying.
func (q *Queue) next(now time.Time) *Waiter {
	if q.trying != nil {
		q.again = true
		return nil
	}
	q.again = false
	w := q.head(now)
	if w == nil {
		return nil
	}
	q.setState(w, trying)
	q.trying, q.triedAt = w, now
	return w
}

func (q *Queue) head(now time.Time) *Waiter {
	if w, ok := q.aged.first(); ok && q.sinceAged+1 >= q.cfg.AgedEvery && !now.Before(w.agedAt) {
		return w
	}
	for _, c := range q.classes {
		if w := c.head(); w != nil {
			return w
		}
	}
	return nil
}
