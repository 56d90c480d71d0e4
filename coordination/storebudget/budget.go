package storebudget

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// The store's refusals cut the rate to cutBy of what it was, at most once a
// cutEvery, down to minFactor; afterwards it grows by growth a second.
const (
	cutBy     = 0.7
	cutEvery  = time.Second
	minFactor = 0.05
	growth    = 0.05
)

// spareSeconds bounds the tokens kept from idle classes.
const spareSeconds = 0.5

type waiting struct {
	want Request
	at   time.Time
}

// bucket is one class's tokens.
type bucket struct {
	rate   float64
	tokens float64
}

// Budget is the machine of one daemon. It belongs to the control goroutine.
type Budget struct {
	cfg     Config
	rng     *rand.Rand
	roles   Roles
	buckets [kinds][store.NumClasses]bucket
	spare   [kinds]float64 // what full buckets left over, for any class
	queues  [kinds][store.NumClasses][]waiting
	usage   Usage

	last       time.Time // of the last refill
	lastCut    time.Time
	unanswered int
	probe      uint64 // ID of the call under way while the store is down
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

// Usage returns the counts so far.
func (b *Budget) Usage() Usage {
	return b.usage
}

// Waiting counts the calls that wait for a Grant.
func (b *Budget) Waiting() int {
	n := 0
	for k := range b.queues {
		for c := range b.queues[k] {
			n += len(b.queues[k][c])
		}
	}
	return n
}

// Step applies one event and returns what is decided, in order.
func (b *Budget) Step(now time.Time, ev Event) []Action {
	b.now = now
	b.out = nil
	b.refill()
	switch ev := ev.(type) {
	case Request:
		b.want(ev)
	case Cancel:
		b.withdraw(ev.ID)
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

// NextTick returns when a waiting call may next be granted or shed, zero for
// never.
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
			earlier(q[0].at.Add(b.cfg.MaxWait))
			if b.usage.Down {
				if !b.probing {
					earlier(b.probeAt)
				}
				continue
			}
			earlier(b.now.Add(b.delay(&b.buckets[k][c], q[0].want)))
		}
	}
	return next
}

// delay is how long a class's own tokens take to pay for w; spare ones may make
// it shorter.
func (b *Budget) delay(bk *bucket, w Request) time.Duration {
	const shortest, longest = time.Millisecond, time.Second
	if bk.rate <= 0 {
		return longest
	}
	s := (float64(w.Cost) - bk.tokens) / (bk.rate * b.usage.Factor)
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

// capacity bounds a bucket: a second's worth, and enough for one call.
func (bk *bucket) capacity() float64 {
	return max(bk.rate, 1)
}

func (b *Budget) refill() {
	dt := b.now.Sub(b.last).Seconds()
	if dt <= 0 {
		return
	}
	b.last = b.now
	if b.now.Sub(b.lastCut) >= cutEvery {
		b.usage.Factor = min(1, b.usage.Factor+growth*dt)
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
		b.spare[k] = min(b.spare[k], max(1, rate*spareSeconds))
	}
}

func (b *Budget) want(w Request) {
	w.Cost = max(w.Cost, 1)
	q := &b.queues[w.Kind][w.Class]
	if len(*q) >= b.cfg.MaxQueue {
		b.shed(w)
		return
	}
	*q = append(*q, waiting{w, b.now})
}

func (b *Budget) withdraw(id uint64) {
	for k := range b.queues {
		for c, q := range b.queues[k] {
			for i := range q {
				if q[i].want.ID == id {
					b.queues[k][c] = append(q[:i], q[i+1:]...)
					return
				}
			}
		}
	}
}

func (b *Budget) shed(w Request) {
	b.usage.Shed[w.Kind][w.Class]++
	b.out = append(b.out, Shed{ID: w.ID})
}

func (b *Budget) expire() {
	for k := range b.queues {
		for c, q := range b.queues[k] {
			n := 0
			for n < len(q) && !b.now.Before(q[n].at.Add(b.cfg.MaxWait)) {
				b.shed(q[n].want)
				n++
			}
			b.queues[k][c] = q[n:]
		}
	}
}

// grant lets calls go, most urgent class first.
func (b *Budget) grant() {
	for c := range store.NumClasses {
		for k := range kinds {
			for len(b.queues[k][c]) > 0 && b.take(Kind(k), store.Class(c)) {
				w := b.queues[k][c][0].want
				b.queues[k][c] = b.queues[k][c][1:]
				b.usage.Granted[k][c]++
				b.out = append(b.out, Grant{ID: w.ID})
			}
		}
	}
}

// take pays for the first call of a queue. While the store is down one call at
// a time goes out, at the end of a back-off.
func (b *Budget) take(k Kind, class store.Class) bool {
	w := b.queues[k][class][0].want
	if b.usage.Down {
		if b.probing || b.now.Before(b.probeAt) {
			return false
		}
		b.probing = true
		b.probe = w.ID
		return true
	}
	return b.pay(k, class, float64(w.Cost))
}

// pay takes cost from the class's tokens, and what is missing from those that
// idle classes left over. Urgent classes are served first, so they have first
// call on the spare ones; none can take what another class is using. A cost
// above what a bucket can hold is paid in part, so that no call waits for ever.
func (b *Budget) pay(k Kind, class store.Class, cost float64) bool {
	own := &b.buckets[k][class]
	cost = min(cost, own.capacity())
	spare := b.spare[k]
	if b.urgentWaits(k, class) {
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

// urgentWaits reports whether a more urgent class is short; without it a less
// urgent one would take the spare tokens by fractions.
func (b *Budget) urgentWaits(k Kind, class store.Class) bool {
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
		b.cut()
	}
	switch {
	case answered:
		b.unanswered = 0
		b.recover()
	case ev.Throttled:
		// A refusal for rate is a store that is up.
		b.unanswered = 0
		b.recover()
	default:
		b.unanswered++
		b.failed()
	}
}

func (b *Budget) cut() {
	if b.now.Sub(b.lastCut) < cutEvery {
		return
	}
	b.lastCut = b.now
	b.usage.Factor = max(minFactor, b.usage.Factor*cutBy)
}

// failed counts the store as down after a few lost answers in a row, and
// lengthens the back-off.
func (b *Budget) failed() {
	if b.unanswered < b.cfg.DownAfter {
		return
	}
	if !b.usage.Down {
		b.usage.Down = true
		b.probeWait = b.cfg.ProbeMin
	} else if !b.now.Before(b.probeAt) {
		b.probeWait = min(2*b.probeWait, b.probeMax())
	}
	b.probeAt = b.now.Add(b.probeWait/2 + time.Duration(b.rng.Int64N(int64(b.probeWait/2)+1)))
}

// probeMax keeps the calls of the whole fleet to a store that is down to about
// 130 a second at any size.
func (b *Budget) probeMax() time.Duration {
	const daemons = 100
	return b.cfg.ProbeMax * time.Duration(max(b.roles.Members, daemons)) / daemons
}

// recover starts with empty buckets once the store answers again: all daemons
// have calls waiting, and a second's worth from each would knock it over.
func (b *Budget) recover() {
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
