package following

import "time"

const (
	// startLeast is how long a daemon that starts asks others at the least.
	startLeast = 60 * time.Millisecond
	// readersEach is the time between two daemons that begin to read the store, where
	// others answer that they know nothing yet: a whole read of thousands of rows takes
	// some 200 ms, and the first ones that have done it give it to the rest.
	readersEach = 10 * time.Millisecond
	readersMost = 3 * time.Second
	// aloneEach and aloneMost are the same where nobody answers.
	aloneEach = 2 * time.Millisecond
	aloneMost = 400 * time.Millisecond
)

// Start is a daemon that starts and knows nothing of a feed.
type Startup struct {
	Daemons int     // that take part or are listed, this one included
	Jitter  float64 // from 0 to 1, another one at each daemon
}

// ReadAfter is how long the daemon asks others before it reads the store itself. Answering is
// whether any of them answers.
func (s Startup) StoreReadDelay(answering bool) time.Duration {
	spread := min(time.Duration(s.Daemons)*aloneEach, aloneMost)
	if answering {
		spread = min(time.Duration(s.Daemons)*readersEach, readersMost)
	}
	return startLeast + time.Duration(s.Jitter*float64(spread))
}
