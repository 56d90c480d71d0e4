package permits

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// minPermitTTL and maxPermitTTL bound the lifetime of a permit. Permits of a slow rate live
	// longer, so that a daemon with few requests can use them: only one is out at a time.
	minPermitTTL = 400 * time.Millisecond
	maxPermitTTL = 2 * time.Second
	// demandWindow is the time constant of a daemon's demand counter.
	demandWindow = time.Second
	// prefetchTime is the time for which permits are requested in advance: several round trips, and
	// the time until a daemon may send its next request.
	prefetchTime = 250 * time.Millisecond
	// askTimeout is the time after which an unanswered request for permits is repeated.
	askTimeout = 200 * time.Millisecond
)

// permitTTL returns the lifetime of a permit of a limit.
func permitTTL(perSecond float64) time.Duration {
	gap := time.Duration(float64(time.Second) / perSecond)
	return min(max(gap, minPermitTTL), maxPermitTTL)
}

// holder holds the permits of one server that a daemon has received.
type holder struct {
	expiries []time.Time // expiry of each permit, earliest first
	demand   float64     // requests for the server, over demandWindow
	demandAt time.Time   // time of the last update of demand
	waiting  int         // requests that wait for a permit
	denied   bool        // a request found no permit since the owner's last answer

	requestPending bool          // a request for permits is to be sent
	nextRequestAt  time.Time     // earliest time of the next request for permits
	answeredAt     time.Time     // time of the owner's last answer
	nextPermitAt   time.Time     // when the owner expects to issue the next permit; zero for unknown
	permitInterval time.Duration // expected interval between further permits
}

// dropExpired removes the permits that have expired.
func (h *holder) dropExpired(now time.Time) {
	for len(h.expiries) > 0 && !now.Before(h.expiries[0]) {
		h.expiries = h.expiries[1:]
	}
}

// addDemand counts a request for the server. A request that retries counts once.
func (h *holder) addDemand(now time.Time, retry bool) {
	h.demand *= math.Exp(-now.Sub(h.demandAt).Seconds() / demandWindow.Seconds())
	h.demandAt = now
	if retry {
		h.demand = max(h.demand, 1)
	} else {
		h.demand++
	}
}

// missing returns how many permits the daemon's requests need beyond those that it holds. The
// number requested in advance is rounded down: a permit that expires unused is lost to all daemons.
func (h *holder) missing(now time.Time, ttl time.Duration) int {
	h.dropExpired(now)
	need := max(h.expectedRequests(min(max(prefetchTime, h.nextRequestAt.Sub(now)), ttl)), h.waiting)
	if h.denied {
		need = max(need, 1)
	}
	return need - len(h.expiries)
}

// expectedRequests returns the expected number of requests for the server in a period.
func (h *holder) expectedRequests(d time.Duration) int {
	return int(h.demand * d.Seconds() / demandWindow.Seconds())
}

// requestDue reports whether a request for permits has become due, and marks it.
func (h *holder) requestDue(now time.Time, ttl time.Duration) bool {
	if h.requestPending || now.Before(h.nextRequestAt) || h.missing(now, ttl) <= 0 {
		return false
	}
	h.requestPending = true
	return true
}

// applyGrant applies the answer of an owner.
func (h *holder) applyGrant(now time.Time, m PermitGrant, ttl time.Duration) {
	h.dropExpired(now)
	for range m.Permits {
		h.expiries = append(h.expiries, now.Add(ttl))
	}
	slices.SortFunc(h.expiries, time.Time.Compare)
	h.denied, h.answeredAt = false, now
	h.nextRequestAt = now.Add(m.RetryAfter)
	h.nextPermitAt, h.permitInterval = now.Add(m.NextIn), m.Interval
}

// EachUnavailable calls f for each server to which no request may be sent now for lack of a permit.
func (l *Limiter) EachUnavailable(now time.Time, f func(server state.BackendIncarnation)) {
	for incarnation := range l.servers {
		if l.Unavailable(now, incarnation) {
			f(incarnation)
		}
	}
}

// Unavailable reports whether no request may be sent to a server now for lack of a permit.
func (l *Limiter) Unavailable(now time.Time, incarnation state.BackendIncarnation) bool {
	s, ok := l.servers[incarnation]
	if !ok || !s.limit.Named {
		return false
	}
	s.holder.dropExpired(now)
	return len(s.holder.expiries) == 0
}

// Limited reports whether a server declares a limit.
func (l *Limiter) Limited(incarnation state.BackendIncarnation) bool {
	s, ok := l.servers[incarnation]
	return ok && s.limit.Named
}

// LimitOf returns the known limit of a server.
func (l *Limiter) LimitOf(incarnation state.BackendIncarnation) fleet.RateLimit {
	if s, ok := l.servers[incarnation]; ok {
		return s.limit
	}
	return fleet.RateLimit{}
}

// Take spends a permit for a request to a server; false if there is none. A server without a limit
// needs no permits. tickDue is true if a Tick is to follow at once.
func (l *Limiter) Take(now time.Time, incarnation state.BackendIncarnation) (ok, tickDue bool) {
	if !l.Limited(incarnation) {
		return true, false
	}
	if l.Unavailable(now, incarnation) {
		return false, false
	}
	s := l.servers[incarnation]
	s.lastUsed = now
	s.holder.expiries = s.holder.expiries[1:]
	s.holder.addDemand(now, false)
	return true, s.holder.requestDue(now, l.ttl(s))
}

// RecordDemand records a request that had no permit for a server; retry is set for one that is
// already counted. It returns true if a Tick is to follow at once.
func (l *Limiter) RecordDemand(now time.Time, incarnation state.BackendIncarnation, retry bool) bool {
	if !l.Limited(incarnation) {
		return false
	}
	s := l.servers[incarnation]
	s.lastUsed = now
	s.holder.addDemand(now, retry)
	s.holder.denied = true
	return s.holder.requestDue(now, l.ttl(s))
}

// Enqueue adds a request that waits for a permit of a server, and returns how many wait before it.
func (l *Limiter) Enqueue(incarnation state.BackendIncarnation) int {
	s, ok := l.servers[incarnation]
	if !ok {
		return 0
	}
	s.holder.waiting++
	return s.holder.waiting - 1
}

// Dequeue removes a request that Enqueue has added.
func (l *Limiter) Dequeue(incarnation state.BackendIncarnation) {
	if s, ok := l.servers[incarnation]; ok && s.holder.waiting > 0 {
		s.holder.waiting--
	}
}

// AnsweredSince reports whether the owner of a server's permits has answered since a given time.
func (l *Limiter) AnsweredSince(incarnation state.BackendIncarnation, since time.Time) bool {
	s, ok := l.servers[incarnation]
	return ok && !s.holder.answeredAt.Before(since)
}

// ExpectedWait returns the expected time until this daemon gets the next permit of a server; 0 if
// its owner has not answered yet.
func (l *Limiter) ExpectedWait(now time.Time, incarnation state.BackendIncarnation) time.Duration {
	return l.ExpectedWaitBehind(now, incarnation, 0)
}

// ExpectedWaitBehind is the same for a request that waits behind a number of others.
func (l *Limiter) ExpectedWaitBehind(now time.Time, incarnation state.BackendIncarnation, before int) time.Duration {
	s, ok := l.servers[incarnation]
	if !ok || s.holder.nextPermitAt.IsZero() {
		return 0
	}
	return max(s.holder.nextPermitAt.Sub(now), 0) + time.Duration(before)*s.holder.permitInterval
}
