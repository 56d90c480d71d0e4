package waitqueue

import (
	"math"
	"time"
)

// drain measures the rate at which requests leave the queue for a server.
type drain struct {
	window time.Duration
	at     time.Time
	busy   bool
	served float64 // requests, each weighted by its age
	time   float64 // seconds in which requests waited, weighted in the same way
}

// minServed is how many requests must have left lately for the rate to be known.
const minServed = 2

func (d *drain) advance(now time.Time) {
	passed := now.Sub(d.at)
	if d.at.IsZero() || passed <= 0 {
		d.at = now
		return
	}
	window := d.window.Seconds()
	keep := math.Exp(-passed.Seconds() / window)
	d.served *= keep
	d.time *= keep
	if d.busy {
		d.time += window * (1 - keep)
	}
	d.at = now
}

func (d *drain) setBusy(now time.Time, busy bool) {
	d.advance(now)
	d.busy = busy
}

func (d *drain) count(now time.Time) {
	d.advance(now)
	d.served++
}

// minBusy is for how many seconds requests must have waited lately for the rate to be known.
const minBusy = 0.1

// wait returns the time in which a number of requests leave, and false if the rate is not known.
func (d *drain) wait(now time.Time, requests int) (time.Duration, bool) {
	d.advance(now)
	if d.served < minServed || d.time < minBusy {
		return 0, false
	}
	return time.Duration(float64(requests) * d.time / d.served * float64(time.Second)), true
}

// turnedAway is a caller that was told to return.
type turnedAway struct {
	key             uint64
	first           time.Time // its first arrival
	due             time.Time // when it may return
	queued          bool      // it is expected to wait in the queue
	dueIndex, index int
}

// returns remembers callers that were told to return.
type returns struct {
	byKey  map[uint64]*turnedAway
	oldest *indexed[*turnedAway] // all, by due
	due    *indexed[*turnedAway] // those that may not return yet, by due
	queued int                   // of those, the ones that are expected to wait in the queue
}

func newReturns() returns {
	before := func(a, b *turnedAway) bool { return a.due.Before(b.due) }
	return returns{
		byKey:  make(map[uint64]*turnedAway),
		oldest: &indexed[*turnedAway]{less: before, index: func(t *turnedAway) *int { return &t.index }},
		due:    &indexed[*turnedAway]{less: before, index: func(t *turnedAway) *int { return &t.dueIndex }},
	}
}

func (r *returns) forget(key uint64) {
	if t, ok := r.byKey[key]; ok {
		delete(r.byKey, key)
		r.oldest.remove(t)
		r.removeDue(t)
	}
}

// removeDue records that a caller may return now.
func (r *returns) removeDue(t *turnedAway) {
	if t.dueIndex != absent && t.queued {
		r.queued--
	}
	r.due.remove(t)
}

// expire drops callers that have not returned in time.
func (r *returns) expire(now time.Time, window time.Duration) {
	for {
		t, ok := r.oldest.first()
		if !ok || now.Sub(t.due) <= window {
			break
		}
		r.forget(t.key)
	}
	for {
		t, ok := r.due.first()
		if !ok || now.Before(t.due) {
			break
		}
		r.removeDue(t)
	}
}

// Rejected records that a caller was told to return. place is the place that its request had, and
// queued whether it was rejected because others wait. A caller that had returned too early keeps the
// time that it was told before.
func (q *Queue) Rejected(now time.Time, key uint64, place time.Time, retryAfter time.Duration, queued bool) {
	q.returns.expire(now, q.cfg.ReturnWindow)
	if t, ok := q.returns.byKey[key]; ok {
		if now.Before(t.due) {
			return
		}
		place = t.first
		q.returns.forget(key)
	}
	if len(q.returns.byKey) >= q.cfg.MaxRemembered {
		first, _ := q.returns.oldest.first()
		q.returns.forget(first.key)
	}
	t := &turnedAway{key: key, first: place, due: now.Add(retryAfter), queued: queued, index: absent, dueIndex: absent}
	q.returns.byKey[key] = t
	q.returns.oldest.add(t)
	q.returns.due.add(t)
	if queued {
		q.returns.queued++
	}
}

// Place returns the place of a request that arrives: the first arrival of its caller if it was turned
// away and returns when it was told to, or the time that it was told if it returns before that. A
// request that has to be rejected because it comes too early is told by early when to return.
func (q *Queue) Place(now time.Time, key uint64, arrived time.Time) (place time.Time, early time.Duration) {
	q.returns.expire(now, q.cfg.ReturnWindow)
	t, ok := q.returns.byKey[key]
	switch {
	case !ok:
		return arrived, 0
	case !now.Before(t.due):
		q.returns.forget(key)
		return t.first, 0
	}
	if first, _ := q.returns.due.first(); first != t || q.Len() > 0 {
		early = t.due.Sub(now)
	}
	return t.due, early
}

// Remembered returns how many callers were told to return and have not returned.
func (q *Queue) Remembered() int { return len(q.returns.byKey) }

const (
	// minRetryAfter is the time for an answer and the next request to travel.
	minRetryAfter = 50 * time.Millisecond
	// minSpread is the least time over which callers that are told to return are spread.
	minSpread = 100 * time.Millisecond
	// spreadShare is the same as a share of the time after which they return.
	spreadShare = 0.25
)

// reject returns the rejection of a request behind ahead others.
func (q *Queue) reject(now time.Time, why Reason, ahead int, unknown time.Duration) *Rejection {
	wait, _ := q.drain.wait(now, ahead)
	return &Rejection{Reason: why, RetryAfter: q.retryAfter(now, ahead, unknown), Position: ahead, ExpectedWait: wait}
}

// RetryAfter returns when the caller of a request that was not served may return: when those that
// wait, and those that were told to return before it, have been served. unknown is used while the
// rate at which requests leave is not known. Callers are spread at random.
func (q *Queue) RetryAfter(now time.Time, r Request, unknown time.Duration) time.Duration {
	return q.retryAfter(now, q.ahead(&r), unknown)
}

func (q *Queue) retryAfter(now time.Time, ahead int, unknown time.Duration) time.Duration {
	q.returns.expire(now, q.cfg.ReturnWindow)
	after, known := q.drain.wait(now, ahead+q.returns.queued)
	if !known {
		after = unknown
	}
	return q.Spread(max(min(after, q.cfg.MaxRetryAfter), minRetryAfter))
}

// Spread adds a random part to the time after which a caller may return, so that callers that are
// turned away at once do not return at once.
func (q *Queue) Spread(after time.Duration) time.Duration {
	spread := max(time.Duration(spreadShare*float64(after)), minSpread)
	return after + time.Duration(q.rng.Float64()*float64(spread))
}
