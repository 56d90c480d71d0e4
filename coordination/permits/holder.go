package permits

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// lifeLeast and lifeMost bound how long a permit can be spent. A permit of a slow rate
	// lives longer, so that a daemon with few requests has the use of it: one and no more is
	// out at a time.
	lifeLeast = 400 * time.Millisecond
	lifeMost  = 2 * time.Second
	// demandOver is the time over which a daemon's demand is counted.
	demandOver = time.Second
	// aheadOf is for how long permits are asked for in advance: some round trips, and the
	// time until a daemon may ask again.
	aheadOf = 250 * time.Millisecond
	// askUnanswered is after what time a question is asked again that nobody has answered.
	askUnanswered = 200 * time.Millisecond
)

// permitLife is how long a permit of a limit can be spent.
func permitLife(perSecond float64) time.Duration {
	gap := time.Duration(float64(time.Second) / perSecond)
	return min(max(gap, lifeLeast), lifeMost)
}

// holder is the permits of one server that a daemon holds.
type holder struct {
	lapse   []time.Time // when each permit lapses, the next one first
	demand  float64     // requests that wanted the server, over demandOver
	at      time.Time   // of demand
	waiting int         // requests that wait for a permit
	denied  bool        // a request was without a permit since the owner's last answer

	due      bool          // a question is to be sent
	again    time.Time     // when the next question may be
	answered time.Time     // when the owner answered last
	first    time.Time     // when the owner expects to issue the next permit; zero for not known
	each     time.Duration // how long each further permit takes
}

// drop takes off the permits that have lapsed.
func (h *holder) drop(now time.Time) {
	for len(h.lapse) > 0 && !now.Before(h.lapse[0]) {
		h.lapse = h.lapse[1:]
	}
}

// wanted counts a request that wants the server. A request that asks again counts once.
func (h *holder) wanted(now time.Time, again bool) {
	h.demand *= math.Exp(-now.Sub(h.at).Seconds() / demandOver.Seconds())
	h.at = now
	if again {
		h.demand = max(h.demand, 1)
	} else {
		h.demand++
	}
}

// wants is how many permits the daemon's requests need beyond those that it holds. What is asked
// for in advance is rounded down: a permit that lapses unused is lost to all.
func (h *holder) wants(now time.Time, life time.Duration) int {
	h.drop(now)
	need := max(h.ahead(min(max(aheadOf, h.again.Sub(now)), life)), h.waiting)
	if h.denied {
		need = max(need, 1)
	}
	return need - len(h.lapse)
}

// ahead is how many requests are likely to want the server in a time.
func (h *holder) ahead(d time.Duration) int {
	return int(h.demand * d.Seconds() / demandOver.Seconds())
}

// ask reports whether a question is due now, and notes so.
func (h *holder) ask(now time.Time, life time.Duration) bool {
	if h.due || now.Before(h.again) || h.wants(now, life) <= 0 {
		return false
	}
	h.due = true
	return true
}

// take takes the answer of an owner.
func (h *holder) take(now time.Time, m PermitGrant, life time.Duration) {
	h.drop(now)
	for range m.Permits {
		h.lapse = append(h.lapse, now.Add(life))
	}
	slices.SortFunc(h.lapse, time.Time.Compare)
	h.denied, h.answered = false, now
	h.again = now.Add(m.RetryAfter)
	h.first, h.each = now.Add(m.NextIn), m.Interval
}

// EachUnavailable calls f with each server that no request is to be sent to now, for want of a permit.
func (p *Limiter) EachUnavailable(now time.Time, f func(server state.Life)) {
	for life := range p.servers {
		if p.Unavailable(now, life) {
			f(life)
		}
	}
}

// Unavailable reports whether no request is to be sent to a server now, for want of a permit.
func (p *Limiter) Unavailable(now time.Time, life state.Life) bool {
	s, ok := p.servers[life]
	if !ok || !s.limit.Named {
		return false
	}
	s.holder.drop(now)
	return len(s.holder.lapse) == 0
}

// Limited reports whether a server names a limit.
func (p *Limiter) Limited(life state.Life) bool {
	s, ok := p.servers[life]
	return ok && s.limit.Named
}

// LimitOf is the limit that a server is known to name.
func (p *Limiter) LimitOf(life state.Life) fleet.RateLimit {
	if s, ok := p.servers[life]; ok {
		return s.limit
	}
	return fleet.RateLimit{}
}

// Take spends a permit for a request to a server; false where there is none. One that names no
// limit needs none. ask is true where a Tick is to follow at once.
func (p *Limiter) Take(now time.Time, life state.Life) (ok, ask bool) {
	if !p.Limited(life) {
		return true, false
	}
	if p.Unavailable(now, life) {
		return false, false
	}
	s := p.servers[life]
	s.touched = now
	s.holder.lapse = s.holder.lapse[1:]
	s.holder.wanted(now, false)
	return true, s.holder.ask(now, p.life(s))
}

// Want notes that a request would have been sent to a server and has no permit; again for one
// of which that is known. It returns true where a Tick is to follow at once.
func (p *Limiter) RecordDemand(now time.Time, life state.Life, again bool) bool {
	if !p.Limited(life) {
		return false
	}
	s := p.servers[life]
	s.touched = now
	s.holder.wanted(now, again)
	s.holder.denied = true
	return s.holder.ask(now, p.life(s))
}

// Join adds a request that waits for a permit of a server, and returns how many wait before
// it; Leave takes it off.
func (p *Limiter) Enqueue(life state.Life) int {
	s, ok := p.servers[life]
	if !ok {
		return 0
	}
	s.holder.waiting++
	return s.holder.waiting - 1
}

// Leave takes off a request that Join has added.
func (p *Limiter) Dequeue(life state.Life) {
	if s, ok := p.servers[life]; ok && s.holder.waiting > 0 {
		s.holder.waiting--
	}
}

// Answered reports whether the owner of a server's permits has answered since a moment.
func (p *Limiter) AnsweredSince(life state.Life, since time.Time) bool {
	s, ok := p.servers[life]
	return ok && !s.holder.answered.Before(since)
}

// Expect is how long it is likely to take until this daemon gets the next permit of a server; 0
// where its owner has not answered yet.
func (p *Limiter) ExpectedWait(now time.Time, life state.Life) time.Duration {
	return p.ExpectedWaitBehind(now, life, 0)
}

// ExpectAfter is the same for a request before which some others wait.
func (p *Limiter) ExpectedWaitBehind(now time.Time, life state.Life, before int) time.Duration {
	s, ok := p.servers[life]
	if !ok || s.holder.first.IsZero() {
		return 0
	}
	return max(s.holder.first.Sub(now), 0) + time.Duration(before)*s.holder.each
}
