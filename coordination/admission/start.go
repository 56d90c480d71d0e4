package admission

import "time"

// startMost is how long a request waits at most for a daemon that has just started to
// know the configuration. One that reaches the store or another daemon does within 0.1
// to 0.3 s, also where 195 start at once; a caller that is sent away comes back after a
// second.
const startMost = 500 * time.Millisecond

// Start is a daemon that knows no configuration yet.
type Startup struct {
	StartedAt time.Time
	// Failed: the store has not answered it, and no other daemon knows more. It is not
	// known when it can serve.
	Failed bool
}

// Until is when a request that meets this daemon is turned away if the daemon is still
// not ready: at once where it can't say that it will be.
func (s Startup) RejectAt(w WaitingRequest) time.Time {
	if s.Failed {
		return w.Arrived
	}
	until := s.StartedAt.Add(startMost)
	if own := w.RejectAt(); own.Before(until) {
		until = own
	}
	return until
}
