package waitqueue

import "time"

// Joined is the result of Join: either a waiter or a rejection.
type Joined struct {
	Waiter    *Waiter
	Position  int // requests that are expected to be served before it
	Rejection *Rejection
	// Displaced is a waiter that was removed to make room, or nil. Its caller is told DisplacedBy.
	Displaced   *Waiter
	DisplacedBy Rejection
	// Next is the waiter that is to try now, or nil.
	Next *Waiter
}

// Join adds a request that has failed to get a server with the given outcome, or has not tried. A
// request that can't be served in time is rejected.
func (q *Queue) Join(now time.Time, r Request, tried Outcome) Joined {
	ahead := q.ahead(&r)
	if wait, known := q.drain.wait(now, ahead); known && !r.Begun && now.Add(wait).After(r.RejectAt) {
		return Joined{Rejection: q.reject(now, ReasonTooLate, ahead, r.RetryAfter)}
	}
	j := Joined{Position: ahead}
	if q.Len() >= q.cfg.MaxWaiting {
		j.Displaced = q.victim(&r)
		if j.Displaced == nil && !r.Begun {
			return Joined{Rejection: q.reject(now, ReasonFull, ahead, r.RetryAfter)}
		}
	}
	if w := j.Displaced; w != nil {
		q.remove(now, w)
		j.DisplacedBy = *q.reject(now, ReasonFull, q.ahead(&w.req), w.req.RetryAfter)
	}
	j.Waiter = q.insert(now, r)
	switch tried {
	case Limited:
		q.setState(j.Waiter, limited)
	case OwnReason:
		q.setState(j.Waiter, parked)
	case Untried:
		q.setState(j.Waiter, ready)
		if q.trying == nil {
			j.Next = q.next(now)
		}
	default:
		q.setState(j.Waiter, ready)
	}
	return j
}

func (q *Queue) insert(now time.Time, r Request) *Waiter {
	q.drain.setBusy(now, true)
	w := &Waiter{req: r, index: absent, agedIndex: absent, parkedIndex: absent}
	q.waiters[w] = struct{}{}
	q.enter(w)
	return w
}
