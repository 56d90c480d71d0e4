package permits

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// spareMin and spareTime bound the unrequested permits that are accumulated: two, and those of
	// this time.
	spareMin  = 2
	spareTime = 100 * time.Millisecond
	// queueTime is the time for which permits are promised in advance. Daemons beyond that ask
	// again later, since their demand may have changed by then.
	queueTime = time.Second
	// requestTTL is how long a request for permits is valid if it is not repeated.
	requestTTL = time.Second
	// minRetry and maxRetry bound the time after which a daemon asks again.
	minRetry = 50 * time.Millisecond
	maxRetry = 5 * time.Second
	// baseRequestRate and requestsPerPermit determine how many requests per second an owner accepts
	// for one server: enough for each permit to find a daemon that needs it.
	baseRequestRate   = 20.0
	requestsPerPermit = 2.0
)

// issuer issues one server's permits round-robin, one at a time to each waiting daemon.
type issuer struct {
	level   float64   // permits that may be issued
	levelAt time.Time // time of the last update of level
	queue   []waiter
	// requesters holds the daemons that have recently asked, and when.
	requesters map[state.DaemonID]time.Time
	// served holds the daemons that got permits in the last call of issue.
	served []grant
}

// waiter is a daemon that waits for permits.
type waiter struct {
	from state.DaemonID
	want int
	at   time.Time
}

// grant is a number of permits for a daemon.
type grant struct {
	to      state.DaemonID
	permits int
}

// refill adds the permits that have become due.
func (i *issuer) refill(now time.Time, rate float64) {
	if !now.After(i.levelAt) {
		return
	}
	most := spareMin + rate*spareTime.Seconds()
	i.level = min(i.level+rate*now.Sub(i.levelAt).Seconds(), most)
	i.levelAt = now
}

// retryAfter returns after what time a daemon that gets nothing may ask again, based on the number
// of daemons that have recently asked.
func (i *issuer) retryAfter(rate float64) time.Duration {
	seconds := float64(len(i.requesters)) / (baseRequestRate + requestsPerPermit*rate)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetry), maxRetry)
}

// enqueue records the demand of a daemon, limited to its part of the permits due soon. A daemon
// that is already waiting keeps its place.
func (i *issuer) enqueue(now time.Time, from state.DaemonID, want int, rate float64) {
	if i.requesters == nil {
		i.requesters = make(map[state.DaemonID]time.Time)
	}
	i.requesters[from] = now
	i.served = nil
	keep := max(requestTTL, 2*i.retryAfter(rate))
	for d, at := range i.requesters {
		if now.Sub(at) > keep {
			delete(i.requesters, d)
		}
	}
	want = min(want, int(math.Ceil(max(1, rate*queueTime.Seconds()/float64(len(i.requesters))))))
	i.queue = slices.DeleteFunc(i.queue, func(w waiter) bool { return w.from != from && now.Sub(w.at) > requestTTL })
	if k := slices.IndexFunc(i.queue, func(w waiter) bool { return w.from == from }); k >= 0 {
		i.queue[k].want, i.queue[k].at = want, now
		return
	}
	if len(i.queue) > 0 && float64(i.queued()) >= max(1, rate*queueTime.Seconds()) {
		return
	}
	i.queue = append(i.queue, waiter{from: from, want: want, at: now})
}

// isWaiting reports whether a daemon waits for permits.
func (i *issuer) isWaiting(to state.DaemonID) bool {
	return slices.ContainsFunc(i.queue, func(w waiter) bool { return w.from == to })
}

// dequeue removes a daemon that does not wait.
func (i *issuer) dequeue(from state.DaemonID) {
	i.queue = slices.DeleteFunc(i.queue, func(w waiter) bool { return w.from == from })
}

// queued returns the number of permits that are waited for.
func (i *issuer) queued() int {
	n := 0
	for _, w := range i.queue {
		n += w.want
	}
	return n
}

// issue issues the permits that are due.
func (i *issuer) issue(now time.Time, rate float64) []grant {
	i.refill(now, rate)
	i.served = nil
	for i.level >= 1 && len(i.queue) > 0 {
		w := i.queue[0]
		i.queue = i.queue[1:]
		if now.Sub(w.at) > requestTTL || w.want <= 0 {
			continue
		}
		i.level--
		i.serve(w.from)
		if w.want--; w.want > 0 {
			i.queue = append(i.queue, w)
		}
	}
	return i.served
}

func (i *issuer) serve(to state.DaemonID) {
	for k := range i.served {
		if i.served[k].to == to {
			i.served[k].permits++
			return
		}
	}
	i.served = append(i.served, grant{to: to, permits: 1})
}

// wasServed reports whether the last call of issue gave permits to a daemon.
func (i *issuer) wasServed(to state.DaemonID) bool {
	return slices.ContainsFunc(i.served, func(g grant) bool { return g.to == to })
}

// nextIssue returns when the next permit can be issued; false if no daemon waits for one.
func (i *issuer) nextIssue(now time.Time, rate float64) (time.Time, bool) {
	if len(i.queue) == 0 || rate <= 0 {
		return time.Time{}, false
	}
	at := i.levelAt.Add(time.Duration((1 - i.level) / rate * float64(time.Second)))
	if at.Before(now) {
		at = now
	}
	return at, true
}

// forecast returns when a daemon is expected to get its next permit, and the interval between
// further ones, based on the daemons that have recently asked.
func (i *issuer) forecast(now time.Time, to state.DaemonID, rate float64) (nextIn, interval time.Duration) {
	if rate <= 0 {
		return maxRetry, maxRetry
	}
	one := float64(time.Second) / rate
	position := len(i.queue)
	if k := slices.IndexFunc(i.queue, func(w waiter) bool { return w.from == to }); k >= 0 {
		position = k
	}
	due := i.levelAt.Add(time.Duration((float64(position) + 1 - i.level) * one))
	return max(due.Sub(now), 0), time.Duration(float64(max(len(i.requesters), 1)) * one)
}
