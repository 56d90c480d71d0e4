package admission

import "time"

// leastLimited is how long a caller at least stays away that is turned away for want of a
// permit: the answer's way back, and the way of the next request.
const leastLimited = 50 * time.Millisecond

// Limited is a request that only servers could take which name a limit of requests a second.
type RateLimited struct {
	// Permit is how long it is likely to take until there is a permit for the request.
	PermitWait time.Duration
}

// TooLate reports whether no permit will come while the request may wait, so that it is turned
// away at once.
func (l RateLimited) PermitTooLate(left time.Duration) bool { return l.PermitWait > left }

// RetryAfter is when the caller may come back: a permit is there by then.
func (l RateLimited) RetryAfter() time.Duration { return max(l.PermitWait, leastLimited) }
