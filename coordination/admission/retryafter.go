package admission

import "time"

// RetryAfter is a request that only servers could take which want no requests for a while.
type RetryAfter struct {
	// AvailableIn is the time until the first of them accepts requests again.
	AvailableIn time.Duration
}

// RetryAfter returns when the caller may retry: a server accepts requests by then.
func (r RetryAfter) RetryAfter() time.Duration { return max(r.AvailableIn, minRetryAfter) }
