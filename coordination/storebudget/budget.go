package storebudget

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// When the store refuses calls, the rate is multiplied by cutFactor, at most once per cutInterval,
// down to minFactor; afterwards it recovers by recoveryRate per second.
const (
	cutFactor    = 0.7
	cutInterval  = time.Second
	minFactor    = 0.05
	recoveryRate = 0.05
)

// maxSpareSeconds bounds the spare tokens of idle classes, in seconds of the rate.
const maxSpareSeconds = 0.5

type queuedCall struct {
	request  Request
	queuedAt time.Time
}

// bucket is the token bucket of one class.
type bucket struct {
	rate   float64
	tokens float64
}

// Budget is the state machine of one daemon's budget. It belongs to the control goroutine.
type Budget struct {
	cfg     Config
	rng     *rand.Rand
	roles   Roles
	buckets [numKinds][store.NumClasses]bucket
	spare   [numKinds]float64 // overflow of full buckets, usable by any class
	queues  [numKinds][store.NumClasses][]queuedCall
	usage   Usage

	last       time.Time // time of the last refill
	lastCut    time.Time
	unanswered int
	probe      uint64 // ID of the current call while the store is down
	probing    bool
	probeAt    time.Time
	probeWait  time.Duration

	now time.Time
	out []Action
}

// New returns a Budget with the given roles and empty buckets.
func New(cfg Config, rng *rand.Rand, roles Roles, now time.Time) *Budget {
	b := &Budget{cfg: cfg, rng: rng, last: now}
	b.usage.Factor = 1
	b.setRoles(roles)
	return b
}

// Usage returns the counters so far.
func (b *Budget) Usage() Usage {
	return b.usage
}

// Waiting returns the number of calls that wait for a Grant.
func (b *Budget) Waiting() int {
	n := 0
	for k := range b.queues {
		for c := range b.queues[k] {
			n += len(b.queues[k][c])
		}
	}
	return n
}

// Step applies one event and returns the resulting actions in order.
func (b *Budget) Step(now time.Time, ev Event) []Action {
	b.now = now
	b.out = nil
	b.refill()
	switch ev := ev.(type) {
	case Request:
		b.enqueue(ev)
	case Cancel:
		b.cancel(ev.ID)
	case Finished:
		b.finished(ev)
	case RolesChanged:
		b.setRoles(ev.Roles)
	case Tick:
	}
	b.expire()
	b.grant()
	return b.out
}

// NextTick returns when a waiting call may next be granted or shed, zero for never.
func (b *Budget) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for k := range b.queues {
		for c, q := range b.queues[k] {
			if len(q) == 0 {
				continue
			}
			earlier(q[0].queuedAt.Add(b.cfg.MaxWait))
			if b.usage.Down {
				if !b.probing {
					earlier(b.probeAt)
				}
				continue
			}
			earlier(b.now.Add(b.delay(&b.buckets[k][c], q[0].request)))
		}
	}
	return next
}

// delay returns how long it takes until the tokens of the class itself pay for req; spare tokens
// may make it shorter.
func (b *Budget) delay(bk *bucket, req Request) time.Duration {
	const shortest, longest = time.Millisecond, time.Second
	if bk.rate <= 0 {
		return longest
	}
	s := (float64(req.Cost) - bk.tokens) / (bk.rate * b.usage.Factor)
	return min(max(time.Duration(s*float64(time.Second)), shortest), longest)
}

func (b *Budget) setRoles(r Roles) {
	b.roles = r
	for k := range b.buckets {
		for c := range b.buckets[k] {
			b.buckets[k][c].rate = b.cfg.Rate(r, Kind(k), store.Class(c))
		}
	}
}

// capacity is the bucket size: the tokens of one second, and at least enough for one call.
func (bk *bucket) capacity() float64 {
	return max(bk.rate, 1)
}

func (b *Budget) refill() {
	dt := b.now.Sub(b.last).Seconds()
	if dt <= 0 {
		return
	}
	b.last = b.now
	if b.now.Sub(b.lastCut) >= cutInterval {
		b.usage.Factor = min(1, b.usage.Factor+recoveryRate*dt)
	}
	for k := range b.buckets {
		rate := 0.0
		for c := range b.buckets[k] {
			bk := &b.buckets[k][c]
			bk.tokens += bk.rate * b.usage.Factor * dt
			over := max(0, bk.tokens-bk.capacity())
			bk.tokens -= over
			b.spare[k] += over
			rate += bk.rate
		}
		b.spare[k] = min(b.spare[k], max(1, rate*maxSpareSeconds))
	}
}

func (b *Budget) enqueue(req Request) {
	req.Cost = max(req.Cost, 1)
	q := &b.queues[req.Kind][req.Class]
	if len(*q) >= b.cfg.MaxQueue {
		b.shed(req)
		return
	}
	*q = append(*q, queuedCall{req, b.now})
}

func (b *Budget) cancel(id uint64) {
	for k := range b.queues {
		for c, q := range b.queues[k] {
			for i := range q {
				if q[i].request.ID == id {
					b.queues[k][c] = append(q[:i], q[i+1:]...)
					return
				}
			}
		}
	}
}

func (b *Budget) shed(req Request) {
	b.usage.Shed[req.Kind][req.Class]++
	b.out = append(b.out, Shed{ID: req.ID})
}

func (b *Budget) expire() {
	for k := range b.queues {
		for c, q := range b.queues[k] {
			n := 0
			for n < len(q) && !b.now.Before(q[n].queuedAt.Add(b.cfg.MaxWait)) {
				b.shed(q[n].request)
				n++
			}
			b.queues[k][c] = q[n:]
		}
	}
}

// grant grants waiting calls, most urgent class first.
func (b *Budget) grant() {
	for c := range store.NumClasses {
		for k := range numKinds {
			for len(b.queues[k][c]) > 0 && b.admit(Kind(k), store.Class(c)) {
				req := b.queues[k][c][0].request
				b.queues[k][c] = b.queues[k][c][1:]
				b.usage.Granted[k][c]++
				b.out = append(b.out, Grant{ID: req.ID})
			}
		}
	}
}

// admit pays for the first call of a queue. While the store is down, one call at a time is sent as
// a probe, at the end of a backoff.
func (b *Budget) admit(k Kind, class store.Class) bool {
	req := b.queues[k][class][0].request
	if b.usage.Down {
		if b.probing || b.now.Before(b.probeAt) {
			return false
		}
		b.probing = true
		b.probe = req.ID
		return true
	}
	return b.pay(k, class, float64(req.Cost))
}

// pay takes cost from the class's own tokens and the rest from the spare tokens of idle classes.
// Urgent classes are served first and therefore have first access to the spare tokens; no class can
// take what another class is using. A cost above the bucket size is paid in part, so that no call
// waits forever.
func (b *Budget) pay(k Kind, class store.Class, cost float64) bool {
	own := &b.buckets[k][class]
	cost = min(cost, own.capacity())
	spare := b.spare[k]
	if b.urgentWaiting(k, class) {
		spare = 0
	}
	if own.tokens+spare < cost {
		return false
	}
	paid := min(own.tokens, cost)
	own.tokens -= paid
	b.spare[k] -= cost - paid
	return true
}

// urgentWaiting reports whether a more urgent class has waiting calls; without this check a less
// urgent class would take the spare tokens in small fractions.
func (b *Budget) urgentWaiting(k Kind, class store.Class) bool {
	for c := range class {
		if len(b.queues[k][c]) > 0 {
			return true
		}
	}
	return false
}

func (b *Budget) finished(ev Finished) {
	answered := ev.Status == store.Done || ev.Status == store.Conflict
	if b.probing && ev.ID == b.probe {
		b.probing = false
	}
	if ev.Throttled || ev.Took > b.cfg.SlowAfter {
		b.usage.Throttled++
		b.reduceRate()
	}
	switch {
	case answered:
		b.unanswered = 0
		b.markUp()
	case ev.Throttled:
		// A store that rejects calls for their rate is up.
		b.unanswered = 0
		b.markUp()
	default:
		b.unanswered++
		b.callFailed()
	}
}

func (b *Budget) reduceRate() {
	if b.now.Sub(b.lastCut) < cutInterval {
		return
	}
	b.lastCut = b.now
	b.usage.Factor = max(minFactor, b.usage.Factor*cutFactor)
}

// callFailed marks the store as down after several unanswered calls in a
// row, and increases the backoff.
func (b *Budget) callFailed() {
	if b.unanswered < b.cfg.DownAfter {
		return
	}
	if !b.usage.Down {
		b.usage.Down = true
		b.probeWait = b.cfg.ProbeMin
	} else if !b.now.Before(b.probeAt) {
		b.probeWait = min(2*b.probeWait, b.maxProbeWait())
	}
	b.probeAt = b.now.Add(b.probeWait/2 + time.Duration(b.rng.Int64N(int64(b.probeWait/2)+1)))
}

// maxProbeWait keeps the calls of all daemons to a store that is down to about 130 per second at
// any number of daemons.
func (b *Budget) maxProbeWait() time.Duration {
	const daemons = 100
	return b.cfg.ProbeMax * time.Duration(max(b.roles.Members, daemons)) / daemons
}

// markUp restarts with empty buckets once the store answers again: all daemons have calls waiting,
// and a second's worth from each would overload it.
func (b *Budget) markUp() {
	if !b.usage.Down {
		return
	}
	b.usage.Down = false
	b.probing = false
	for k := range b.buckets {
		b.spare[k] = 0
		for c := range b.buckets[k] {
			b.buckets[k][c].tokens = 0
		}
	}
}
