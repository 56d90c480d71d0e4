package following

import "time"

const (
	// minPeerTime is the minimum time for which a starting daemon queries other daemons.
	minPeerTime = 60 * time.Millisecond
	// readerSpacing is the mean time between two daemons that begin to read the store, if others
	// answer that they know nothing yet: a complete read of thousands of rows takes about 200 ms,
	// and the first daemons that have finished provide it to the rest.
	readerSpacing   = 10 * time.Millisecond
	maxReaderSpread = 3 * time.Second
	// noAnswerSpacing and maxNoAnswerSpread are the same if no daemon answers.
	noAnswerSpacing   = 2 * time.Millisecond
	maxNoAnswerSpread = 400 * time.Millisecond
)

// Startup is the state of a daemon that starts without knowing a feed.
type Startup struct {
	Daemons int     // participating or listed daemons, including this one
	Jitter  float64 // random value from 0 to 1, different for each daemon
}

// StoreReadDelay returns how long the daemon queries others before it reads the store itself.
// answering is whether any of them answers.
func (s Startup) StoreReadDelay(answering bool) time.Duration {
	spread := min(time.Duration(s.Daemons)*noAnswerSpacing, maxNoAnswerSpread)
	if answering {
		spread = min(time.Duration(s.Daemons)*readerSpacing, maxReaderSpread)
	}
	return minPeerTime + time.Duration(s.Jitter*float64(spread))
}
