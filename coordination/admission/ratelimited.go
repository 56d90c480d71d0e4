package admission

import "time"

// minRetryAfter is the shortest retry time of a caller that is rejected for lack of a permit: the
// time for the answer and the next request to travel.
const minRetryAfter = 50 * time.Millisecond

// RateLimited is a request that only servers with a limit of requests per second could take.
type RateLimited struct {
	// PermitWait is the expected time until a permit for the request is available.
	PermitWait time.Duration
}

// PermitTooLate reports whether no permit will be available within the time that the request may
// wait, so that it is rejected at once.
func (r RateLimited) PermitTooLate(left time.Duration) bool { return r.PermitWait > left }

// RetryAfter returns when the caller may retry: a permit is available by then.
func (r RateLimited) RetryAfter() time.Duration { return max(r.PermitWait, minRetryAfter) }
