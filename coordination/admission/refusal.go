package admission

import "time"

// Refusal is why a request is rejected that has not run.
type Refusal uint8

// The values of Refusal.
const (
	// Busy means that the servers are full or failing.
	Busy Refusal = iota + 1
	// Uncovered means that some layer is held by no usable server.
	Uncovered
	// Stopping means that this daemon is about to stop, and others accept the request.
	Stopping
	// AllStopping means that all daemons that this one knows are about to stop, too.
	AllStopping
	// NotReady means that this daemon has no configuration yet.
	NotReady
	// CutOff means that this daemon reaches none of the servers, and another daemon does.
	CutOff
	// NoMemory means that this daemon has no memory for the request's body.
	NoMemory
)

const (
	// retryBusy: suspects are tried again after about this time.
	retryBusy = 400 * time.Millisecond
	// retryUncovered: it takes about this time to detect a layer that no server holds and to load
	// it.
	retryUncovered = 2 * time.Second
	// retryElsewhere: any other daemon accepts the request at once.
	retryElsewhere = 20 * time.Millisecond
	// retryAllStopping: a stop takes 3 to 7 s, and the daemon that began it first is back within
	// this time.
	retryAllStopping = 2 * time.Second
	// retryNotReady: a daemon that reaches the store reads the configuration about 10 ms after its
	// start; otherwise it tries again within this time.
	retryNotReady = time.Second
)

// RetryAfter returns when the caller may retry.
func (r Refusal) RetryAfter() time.Duration {
	switch r {
	case Busy, NoMemory:
		return retryBusy
	case Uncovered:
		return retryUncovered
	case Stopping, CutOff:
		return retryElsewhere
	case AllStopping:
		return retryAllStopping
	case NotReady:
		return retryNotReady
	default:
		panic("admission: unknown refusal")
	}
}
