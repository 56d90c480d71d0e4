package admission

import "time"

// maxStartupWait is how long a request waits at most for the configuration of a daemon that has
// just started. A daemon that reaches the store or another daemon has it within 0.1 to 0.3 s, even
// if 195 start at once; a rejected caller retries after a second.
const maxStartupWait = 500 * time.Millisecond

// Startup is the state of a daemon that has no configuration yet.
type Startup struct {
	StartedAt time.Time
	// Failed reports that the store has not answered and no other daemon has a configuration. It is
	// unknown when this daemon can serve.
	Failed bool
}

// RejectAt returns when a request at this daemon is rejected if the daemon is still not ready: at
// once if it cannot tell when it will be.
func (s Startup) RejectAt(w WaitingRequest) time.Time {
	if s.Failed {
		return w.Arrived
	}
	until := s.StartedAt.Add(maxStartupWait)
	if own := w.RejectAt(); own.Before(until) {
		until = own
	}
	return until
}
