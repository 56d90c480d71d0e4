package admission

import "time"

// RetryAfter is a request that only servers could take which want no requests for a while.
type RetryAfter struct {
	// AvailableIn is the time until the first of them accepts requests again; 0 if it accepts some
	// already, and the request was not among them.
	AvailableIn time.Duration
}

// RetryAfter returns when the caller may retry: a server accepts requests by then, or has accepted
// more of those that wait.
func (r RetryAfter) RetryAfter() time.Duration {
	if r.AvailableIn <= 0 {
		return retryBusy
	}
	return max(r.AvailableIn, minRetryAfter)
}
