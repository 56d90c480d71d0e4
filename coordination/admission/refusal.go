package admission

import "time"

// Refusal is why a request is turned away that has not run.
type Refusal uint8

// The values of Refusal.
const (
	// Busy: the servers are full or failing.
	Busy Refusal = iota + 1
	// Uncovered: some layer is held by no server that may be used.
	Uncovered
	// Stopping: this daemon is about to stop, and others take the request.
	Stopping
	// AllStopping: so are all that this daemon knows.
	AllStopping
	// Unready: this daemon knows no configuration yet.
	NotReady
)

const (
	// afterBusy: suspects are tried again after about that time.
	afterBusy = 400 * time.Millisecond
	// afterUncovered: finding and loading a layer that is held nowhere takes about
	// that.
	afterUncovered = 2 * time.Second
	// afterStopping: any other daemon takes it at once.
	afterStopping = 20 * time.Millisecond
	// afterAllStopping: a stop takes 3 to 7 s, and the first daemon to begin it is back
	// within this.
	afterAllStopping = 2 * time.Second
	// afterUnready: a daemon that reaches the store reads the configuration within
	// some 10 ms of its start, and asks again within this where it does not.
	afterUnready = time.Second
)

// RetryAfter is when the caller may come back.
func (r Refusal) RetryAfter() time.Duration {
	switch r {
	case Busy:
		return afterBusy
	case Uncovered:
		return afterUncovered
	case Stopping:
		return afterStopping
	case AllStopping:
		return afterAllStopping
	case NotReady:
		return afterUnready
	default:
		panic("admission: unknown refusal")
	}
}
